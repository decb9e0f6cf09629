use super::*;

const INTERVAL: Millis = Millis(10_000);

#[test]
fn events_are_counted_and_logged_once_per_interval() {
    let mut events = RateLimitedLog::new(INTERVAL);
    assert_eq!(events.record(MonotonicTime(5)), Some(1));
    assert!((0..50).all(|n| events.record(MonotonicTime(6 + n)).is_none()));
    assert_eq!(events.record(MonotonicTime(5) + INTERVAL), Some(51));
}
