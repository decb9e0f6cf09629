use super::*;

#[test]
fn run_times_correct_the_estimates_of_a_class() {
    let mut t = ClassTimes::default();
    assert_eq!(t.expect("x", 10.0), 10.0);
    for _ in 0..200 {
        t.learn("x", 10.0, 20.0);
    }
    assert!((t.expect("x", 10.0) - 20.0).abs() < 0.1);
    for i in 0..1000 {
        t.learn(&format!("c{i}"), 1.0, 1.0);
    }
    assert!(t.ratios.len() <= MAX_CLASSES);
}
