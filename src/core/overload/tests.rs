use super::*;

#[test]
fn overload_hands_over_only_on_a_lasting_lag_and_seldom() {
    let mut overload = Overload::default();
    let late = OVERLOAD_LAG + Millis(1);
    let seen = |overload: &mut Overload, second: u64, lag| overload.observe(MonotonicTime(second * 1_000), lag);
    assert!(!seen(&mut overload, 1, late) && !seen(&mut overload, 2, late));
    assert!(!seen(&mut overload, 3, Millis(10)), "it was a burst");
    assert!(!seen(&mut overload, 4, late) && !seen(&mut overload, 5, late));
    assert!(seen(&mut overload, 6, late));
    assert!((7..66).all(|second| !seen(&mut overload, second, late)), "not again at once");
    assert!(seen(&mut overload, 66, late));
}
