use super::*;

#[test]
fn workers_are_moved_to_peers_in_turn_and_not_all_at_once() {
    let mut offloading = Offloading::default();
    assert_eq!(offloading.next_peer(Mono(1_000)), None, "no peer passes reports on");
    offloading.set_peers(vec!["one".into(), "two".into()]);
    let first = offloading.next_peer(Mono(1_000)).unwrap();
    assert_eq!(offloading.next_peer(Mono(1_001)), None, "too soon");
    let second = offloading.next_peer(Mono(1_000) + MOVE_INTERVAL).unwrap();
    assert_ne!(first, second);
    offloading.set_peers(vec!["two".into()]);
    assert_eq!(offloading.next_peer(Mono(9_000)).as_deref(), Some("two"));
    offloading.set_peers(Vec::new());
    assert_eq!(offloading.next_peer(Mono(99_000)), None);
}
