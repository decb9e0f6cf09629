use super::*;

#[test]
fn debug_lines_have_a_bounded_rate_and_suppressed_ones_are_counted() {
    let mut limiter = LineRateLimiter { tokens: MAX_DEBUG_BURST, suppressed: 0 };
    let written = (0..10_000).filter(|_| limiter.admit(0.0).is_some()).count();
    assert_eq!(written as f64, MAX_DEBUG_BURST);
    assert_eq!(
        limiter.admit(1.0),
        Some(8_000),
        "a second later lines are admitted again, and the number of suppressed ones is returned"
    );
    assert_eq!(limiter.admit(0.0), Some(0));
}
