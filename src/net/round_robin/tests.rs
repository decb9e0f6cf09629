use super::*;

#[test]
fn the_turn_stays_until_it_is_ended_and_goes_round() {
    let mut turns = RoundRobin::default();
    let mut taken = Vec::new();
    for _ in 0..4 {
        assert_eq!(turns.current(&["one", "two", "three"]), turns.current(&["one", "two", "three"]));
        taken.extend(turns.current(&["one", "two", "three"]).copied());
        turns.advance();
    }
    assert_eq!(taken, ["one", "two", "three", "one"]);
}

#[test]
fn the_list_may_change_between_turns_and_be_empty() {
    let mut turns = RoundRobin::default();
    assert_eq!(turns.current::<u32>(&[]), None);
    (0..3).for_each(|_| turns.advance());
    // Counted in turns taken, whatever the lists were.
    assert_eq!((turns.current(&[10, 11]), turns.current(&[10, 11, 12])), (Some(&11), Some(&10)));
}
