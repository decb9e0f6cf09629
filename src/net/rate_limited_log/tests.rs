use super::*;

const INTERVAL: Millis = Millis(10_000);

#[test]
fn bad_messages_are_counted_and_logged_seldom() {
    let mut bad = RateLimitedLog::new(INTERVAL);
    assert_eq!(bad.record(MonotonicTime(5)), Some(1));
    assert!((0..50).all(|n| bad.record(MonotonicTime(6 + n)).is_none()));
    assert_eq!(bad.record(MonotonicTime(5) + INTERVAL), Some(51));
}
