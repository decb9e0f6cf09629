use super::*;

#[test]
fn overload_requests_a_hand_over_only_for_a_lasting_lag_and_once_per_interval() {
    let mut overload = OverloadDetector::default();
    let high_lag = OVERLOAD_LAG + Millis(1);
    let observe =
        |overload: &mut OverloadDetector, second: u64, lag| overload.observe(MonotonicTime(second * 1_000), lag);
    assert!(!observe(&mut overload, 1, high_lag) && !observe(&mut overload, 2, high_lag));
    assert!(!observe(&mut overload, 3, Millis(10)), "a burst resets the count");
    assert!(!observe(&mut overload, 4, high_lag) && !observe(&mut overload, 5, high_lag));
    assert!(observe(&mut overload, 6, high_lag));
    assert!((7..66).all(|second| !observe(&mut overload, second, high_lag)), "not again within the interval");
    assert!(observe(&mut overload, 66, high_lag));
}
