use super::*;

fn machine() -> Machine {
    Machine::new(String::new(), 0, 0, false, MonotonicTime(0))
}

#[test]
fn machine_record_slowdown_distinguishes_a_slow_machine_from_a_few_long_tasks() {
    let mut normal = machine();
    assert!((0..40).all(|i| !normal.record_slowdown([0.6, 1.6, 0.8, 1.3][i % 4])));
    let mut slow = machine();
    assert_eq!((0..20).position(|_| slow.record_slowdown(3.0)), Some(4));
}

#[test]
fn machine_cache_image_evicts_the_least_recently_used_image() {
    let mut machine = machine();
    machine.cache_image(1, 4.0, 10.0);
    machine.cache_image(2, 4.0, 10.0);
    machine.cache_image(1, 4.0, 10.0);
    machine.cache_image(3, 4.0, 10.0);
    let ready = [1, 2, 3].map(|image| machine.image_ready_in_s(image, MonotonicTime(0)));
    assert_eq!(ready, [Some(0.0), None, Some(0.0)]);
}
