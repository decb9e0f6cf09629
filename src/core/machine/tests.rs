use super::*;

#[test]
fn slow_machine_is_told_apart_from_a_few_long_tasks() {
    let mut m = Machine::new(String::new(), 0, 0, false, MonotonicTime(0));
    assert!((0..40).all(|i| !m.record_slowdown([0.6, 1.6, 0.8, 1.3][i % 4])));
    let mut slow = Machine::new(String::new(), 0, 0, false, MonotonicTime(0));
    assert_eq!((0..20).position(|_| slow.record_slowdown(3.0)), Some(4));
}
