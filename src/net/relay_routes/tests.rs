use super::*;

#[test]
fn relay_routes_take_turns_and_there_may_be_none() {
    let mut relay_routes = RelayRoutes::default();
    assert_eq!(relay_routes.take_turn(), None);
    relay_routes.set(vec!["one".into(), "two".into()]);
    assert_eq!(
        [relay_routes.take_turn().unwrap(), relay_routes.take_turn().unwrap(), relay_routes.take_turn().unwrap()],
        ["one", "two", "one"]
    );
    relay_routes.set(Vec::new());
    assert_eq!(relay_routes.take_turn(), None);
}
