use super::*;

#[test]
fn bad_messages_are_counted_and_logged_seldom() {
    let mut bad = BadMessages::default();
    assert_eq!(bad.note(Mono(5)), Some(1));
    assert!((0..50).all(|n| bad.note(Mono(6 + n)).is_none()));
    assert_eq!(bad.note(Mono(5) + LOG_INTERVAL), Some(51));
}
