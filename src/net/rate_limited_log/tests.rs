use super::*;

const INTERVAL: Millis = Millis(10_000);

#[test]
fn rate_limited_log_counts_messages_and_logs_seldom() {
    let mut bad = RateLimitedLog::new(INTERVAL);
    assert_eq!(bad.record(MonotonicTime(5)), Some(1));
    assert!((0..50).all(|n| bad.record(MonotonicTime(6 + n)).is_none()));
    assert_eq!(bad.record(MonotonicTime(5) + INTERVAL), Some(51));
}
