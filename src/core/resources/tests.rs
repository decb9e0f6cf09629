use super::*;

#[test]
fn resources_cover_a_need_if_each_resource_does_apart_from_rounding() {
    let free = Resources { cpus: 4.0, gpus: 1.0, memory_gb: 16.0, task_slots: 1.0 };
    let cases = [
        (Resources { cpus: 4.0, gpus: 1.0, memory_gb: 16.0, task_slots: 1.0 }, true),
        (Resources { cpus: 4.0 + 1e-9, ..free }, true),
        (Resources { cpus: 4.1, ..free }, false),
        (Resources { gpus: 2.0, ..free }, false),
        (Resources { memory_gb: 16.1, ..free }, false),
        (Resources { task_slots: 2.0, ..free }, false),
    ];
    for (need, expected) in cases {
        assert_eq!(free.covers(&need), expected, "{need:?}");
    }
}
