use super::*;

#[test]
fn overload_detector_requests_a_hand_over_only_for_a_lasting_lag_and_once_per_interval() {
    let mut detector = OverloadDetector::default();
    let high_lag = OVERLOAD_LAG + Millis(1);
    let record_lag =
        |detector: &mut OverloadDetector, second: u64, lag| detector.record_lag(MonotonicTime(second * 1_000), lag);
    assert!(!record_lag(&mut detector, 1, high_lag) && !record_lag(&mut detector, 2, high_lag));
    assert!(!record_lag(&mut detector, 3, Millis(10)), "a burst resets the count");
    assert!(!record_lag(&mut detector, 4, high_lag) && !record_lag(&mut detector, 5, high_lag));
    assert!(record_lag(&mut detector, 6, high_lag));
    assert!((7..66).all(|second| !record_lag(&mut detector, second, high_lag)), "not again within the interval");
    assert!(record_lag(&mut detector, 66, high_lag));
}
