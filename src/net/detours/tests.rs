use super::*;

#[test]
fn detours_take_turns_and_there_may_be_none() {
    let mut detours = Detours::default();
    assert_eq!(detours.take_turn(), None);
    detours.set(vec!["one".into(), "two".into()]);
    assert_eq!(
        [detours.take_turn().unwrap(), detours.take_turn().unwrap(), detours.take_turn().unwrap()],
        ["one", "two", "one"]
    );
    detours.set(Vec::new());
    assert_eq!(detours.take_turn(), None);
}
