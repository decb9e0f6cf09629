use super::*;

fn peer(name: &str, zone: &str) -> Peer {
    Peer { name: name.into(), zone: zone.into(), addr: ([127, 0, 0, 1], 1).into() }
}

/// Redirects a worker if the balancer selects another controller for it, and returns the controller's name.
fn redirect_one(
    balancer: &mut HeartbeatBalancer,
    now: MonotonicTime,
    zone: &str,
    relayed_by: Option<&str>,
) -> Option<String> {
    let peer = balancer.preferred_relay(now, zone, relayed_by)?.to_string();
    balancer.record_redirect(now);
    Some(peer)
}

#[test]
fn balancer_redirects_workers_to_peers_of_their_zone_in_turn_at_a_bounded_rate() {
    let mut balancer = HeartbeatBalancer::default();
    assert_eq!(redirect_one(&mut balancer, MonotonicTime(1_000), "a", None), None, "no peer relays heartbeats");
    balancer.set_peers(vec![peer("one", "a"), peer("two", "b"), peer("three", "a")]);
    let first = redirect_one(&mut balancer, MonotonicTime(2_000), "a", None).unwrap();
    assert_eq!(redirect_one(&mut balancer, MonotonicTime(2_001), "a", None), None, "within the minimum interval");
    let second = redirect_one(&mut balancer, MonotonicTime(2_000) + MIN_REDIRECT_INTERVAL, "a", None).unwrap();
    assert_eq!([&first[..], &second[..]], ["one", "three"]);
    assert!(redirect_one(&mut balancer, MonotonicTime(3_000), "c", None).is_some(), "any peer if none is in its zone");
}

#[test]
fn balancer_leaves_workers_with_a_peer_of_their_zone_or_any_if_there_is_none() {
    let mut balancer = HeartbeatBalancer::default();
    balancer.set_peers(vec![peer("one", "a"), peer("two", "b")]);
    assert_eq!(redirect_one(&mut balancer, MonotonicTime(1_000), "a", Some("one")), None);
    assert_eq!(redirect_one(&mut balancer, MonotonicTime(1_000), "c", Some("one")), None);
    assert_eq!(redirect_one(&mut balancer, MonotonicTime(1_000), "b", Some("one")).as_deref(), Some("two"));
    balancer.set_peers(vec![peer("one", "a")]);
    assert_eq!(
        redirect_one(&mut balancer, MonotonicTime(2_000), "b", Some("one")),
        None,
        "the peer in its zone no longer relays heartbeats"
    );
}
