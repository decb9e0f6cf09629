use super::*;

const START: MonotonicTime = MonotonicTime(10_000);
const LATER: MonotonicTime = MonotonicTime(11_501);

fn answer(store_ok: bool, leader: &str) -> Option<PeerHeartbeatResponse> {
    Some(PeerHeartbeatResponse { store_ok, leader: leader.into(), ..Default::default() })
}

#[test]
fn a_refusal_is_no_silence_and_either_ends_with_the_first_request_served() {
    for (error, unreachable) in [(KvError::Refused, false), (KvError::Unknown("timeout".into()), true)] {
        let mut health = StoreHealth::default();
        health.record(START, StoreService::from(Some(&error)));
        assert!(health.is_refused());
        assert!(!health.is_unreachable(MonotonicTime(LATER.0 - 1)), "not for long enough: {error}");
        assert_eq!(health.is_unreachable(LATER), unreachable, "{error}");
        health.record(LATER, StoreService::from(None));
        assert!(!health.is_refused() && !health.is_unreachable(LATER + Millis(9_000)), "{error}");
    }
}

#[test]
fn errors_that_are_answers_mean_being_served() {
    for error in [KvError::Busy, KvError::TooLarge, KvError::Status(400)] {
        assert_eq!(StoreService::from(Some(&error)), StoreService::Served, "{error}");
    }
}

#[test]
fn a_refusal_between_ends_a_silence() {
    let mut health = StoreHealth::default();
    health.record(START, StoreService::Unreachable);
    health.record(START + Millis(1_000), StoreService::Refused);
    health.record(START + Millis(1_100), StoreService::Unreachable);
    assert!(!health.is_unreachable(LATER));
    assert!(health.is_unreachable(START + Millis(2_601)));
}

#[test]
fn users_are_sent_away_where_the_store_refuses_this_controller_alone() {
    let mut health = StoreHealth::default();
    health.record(START, StoreService::Refused);
    health.record_peer_answers(&[answer(false, ""), None]);
    assert!(!health.is_isolated(LATER), "refused like all");
    health.record_peer_answers(&[answer(true, "plinth-1"), None]);
    assert!(health.is_isolated(LATER));
    assert!(!health.is_isolated(START + TROUBLE_TIMEOUT), "not for long enough");
    assert_eq!(health.leader_per_peers().map(String::as_str), Some("plinth-1"));
}

#[test]
fn users_are_sent_away_where_neither_the_store_nor_a_peer_answers() {
    let mut health = StoreHealth::default();
    health.record(START, StoreService::Unreachable);
    health.record_peer_answers(&[]);
    assert!(!health.is_isolated(LATER), "there are no peers");
    health.record_peer_answers(&[None, answer(false, "")]);
    assert!(!health.is_isolated(LATER), "a peer answers");
    health.record_peer_answers(&[None, None]);
    assert!(health.is_isolated(LATER));
    assert_eq!(health.leader_per_peers(), None);
}
