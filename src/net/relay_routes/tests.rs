use super::*;

#[test]
fn relay_routes_alternate_between_peers_and_may_be_empty() {
    let mut relay_routes = RelayRoutes::default();
    assert_eq!(relay_routes.next_peer(), None);
    relay_routes.set_peers(vec!["one".into(), "two".into()]);
    assert_eq!(
        [relay_routes.next_peer().unwrap(), relay_routes.next_peer().unwrap(), relay_routes.next_peer().unwrap()],
        ["one", "two", "one"]
    );
    relay_routes.set_peers(Vec::new());
    assert_eq!(relay_routes.next_peer(), None);
}
