use super::*;

#[test]
fn current_item_stays_until_advance_and_wraps_around() {
    let mut round_robin = RoundRobin::default();
    let mut selected = Vec::new();
    for _ in 0..4 {
        assert_eq!(round_robin.current(&["one", "two", "three"]), round_robin.current(&["one", "two", "three"]));
        selected.extend(round_robin.current(&["one", "two", "three"]).copied());
        round_robin.advance();
    }
    assert_eq!(selected, ["one", "two", "three", "one"]);
}

#[test]
fn list_may_change_between_turns_and_be_empty() {
    let mut round_robin = RoundRobin::default();
    assert_eq!(round_robin.current::<u32>(&[]), None);
    (0..3).for_each(|_| round_robin.advance());
    // Three turns have been taken, so the current item is the one at index 3 modulo the list's length.
    assert_eq!((round_robin.current(&[10, 11]), round_robin.current(&[10, 11, 12])), (Some(&11), Some(&10)));
}
