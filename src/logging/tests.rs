use super::*;

#[test]
fn debug_lines_have_a_bounded_rate_and_suppressed_ones_are_counted() {
    let mut budget = LineBudget { tokens: MAX_DEBUG_BURST, left_out: 0 };
    let written = (0..10_000).filter(|_| budget.admit(0.0).is_some()).count();
    assert_eq!(written as f64, MAX_DEBUG_BURST);
    assert_eq!(budget.admit(1.0), Some(8_000), "a second later there is budget, and the gap is logged");
    assert_eq!(budget.admit(0.0), Some(0));
}
