use super::*;

const START: MonotonicTime = MonotonicTime(10_000);
const LATER: MonotonicTime = MonotonicTime(11_501);

fn response(store_available: bool, leader: &str) -> Option<PeerHeartbeatResponse> {
    Some(PeerHeartbeatResponse { store_available, leader: leader.into(), ..Default::default() })
}

#[test]
fn refused_store_is_reachable_and_first_served_request_clears_any_failure() {
    for (error, unreachable) in [(KvError::Refused, false), (KvError::NoResponse("timeout".into()), true)] {
        let mut health = StoreHealth::default();
        health.record(START, StoreAvailability::from(Some(&error)));
        assert!(health.is_unavailable());
        assert!(!health.is_unreachable(MonotonicTime(LATER.0 - 1)), "the failure has not lasted long enough: {error}");
        assert_eq!(health.is_unreachable(LATER), unreachable, "{error}");
        health.record(LATER, StoreAvailability::from(None));
        assert!(!health.is_unavailable() && !health.is_unreachable(LATER + Millis(9_000)), "{error}");
    }
}

#[test]
fn error_responses_other_than_refusals_count_as_served() {
    for error in [KvError::Busy, KvError::TooLarge, KvError::Status(400)] {
        assert_eq!(StoreAvailability::from(Some(&error)), StoreAvailability::Available, "{error}");
    }
}

#[test]
fn refusal_restarts_the_time_without_response() {
    let mut health = StoreHealth::default();
    health.record(START, StoreAvailability::Unreachable);
    health.record(START + Millis(1_000), StoreAvailability::Refused);
    health.record(START + Millis(1_100), StoreAvailability::Unreachable);
    assert!(!health.is_unreachable(LATER));
    assert!(health.is_unreachable(START + Millis(2_601)));
}

#[test]
fn controller_is_isolated_if_the_store_serves_only_its_peers() {
    let mut health = StoreHealth::default();
    health.record(START, StoreAvailability::Refused);
    health.record_peer_responses(&[response(false, ""), None]);
    assert!(!health.is_isolated(LATER), "the store serves no peer either");
    health.record_peer_responses(&[response(true, "plinth-1"), None]);
    assert!(health.is_isolated(LATER));
    assert!(!health.is_isolated(START + FAILURE_GRACE_PERIOD), "the failure has not lasted long enough");
    assert_eq!(health.leader_reported_by_peers().map(String::as_str), Some("plinth-1"));
}

#[test]
fn controller_is_isolated_if_neither_store_nor_peers_respond() {
    let mut health = StoreHealth::default();
    health.record(START, StoreAvailability::Unreachable);
    health.record_peer_responses(&[]);
    assert!(!health.is_isolated(LATER), "no peers are configured");
    health.record_peer_responses(&[None, response(false, "")]);
    assert!(!health.is_isolated(LATER), "a peer responds");
    health.record_peer_responses(&[None, None]);
    assert!(health.is_isolated(LATER));
    assert_eq!(health.leader_reported_by_peers(), None);
}
