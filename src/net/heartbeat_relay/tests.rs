use super::*;
use crate::config::Peer;
use crate::net::loopback::{FakeCluster, free_addr, start, start_pair};
use crate::net::server;
use serde_json::json;

const NOW: MonotonicTime = MonotonicTime(10_000);

fn relay_with_confirmed_leader() -> HeartbeatRelay {
    let mut relay = HeartbeatRelay::default();
    relay.record_leader_heartbeat("plinth-1", Term(5), NOW);
    relay.record_batch_result(Term(5), true);
    relay
}

fn current_leader(relay: &HeartbeatRelay) -> Option<&str> {
    relay.current_leader(NOW).map(|leader| leader.name.as_str())
}

#[test]
fn current_leader_is_that_of_the_latest_term_while_it_sends_heartbeats() {
    let mut relay = HeartbeatRelay::default();
    assert_eq!(current_leader(&relay), None);
    relay.record_leader_heartbeat("plinth-1", Term(5), NOW);
    assert_eq!(current_leader(&relay), Some("plinth-1"));
    relay.record_leader_heartbeat("plinth-2", Term(4), NOW);
    assert_eq!(current_leader(&relay), Some("plinth-1"), "a heartbeat of an earlier term is ignored");
    relay.record_leader_heartbeat("plinth-2", Term(6), NOW);
    assert_eq!(current_leader(&relay), Some("plinth-2"));
    assert!(relay.current_leader(NOW + LEADER_HEARTBEAT_TIMEOUT + Millis(1)).is_none(), "its heartbeats have ceased");
}

#[test]
fn heartbeats_are_queued_only_if_the_leader_has_answered_the_last_batch() {
    let mut relay = HeartbeatRelay::default();
    relay.record_leader_heartbeat("plinth-1", Term(5), NOW);
    assert!(!relay.can_relay(NOW) && relay.enqueue(Bytes::new(), NOW).is_none(), "no batch has been sent yet");
    relay.record_batch_result(Term(5), true);
    assert!(relay.enqueue(Bytes::from_static(b"{}"), NOW).is_some());
    assert_eq!(relay.take_waiting().len(), 1);
    relay.record_leader_heartbeat("plinth-1", Term(5), NOW);
    assert!(relay.can_relay(NOW), "a further heartbeat of the same leader changes nothing");
    relay.record_batch_result(Term(5), false);
    assert!(!relay.can_relay(NOW));
    relay.record_batch_result(Term(5), true);
    relay.record_leader_heartbeat("plinth-2", Term(6), NOW);
    assert!(!relay.can_relay(NOW), "the new leader hasn't answered a batch yet");
    relay.record_batch_result(Term(5), true);
    assert!(!relay.can_relay(NOW), "a late answer of the previous leader doesn't count");
}

#[test]
fn overloaded_relay_has_no_capacity_but_still_relays() {
    let mut relay = relay_with_confirmed_leader();
    assert!(relay.has_capacity(NOW));
    (0..20).for_each(|_| relay.record_timer_lag(Millis(400)));
    assert!(!relay.has_capacity(NOW) && relay.can_relay(NOW));
    (0..20).for_each(|_| relay.record_timer_lag(Millis(5)));
    assert!(relay.has_capacity(NOW));
}

#[test]
fn relay_bounds_waiting_heartbeats_in_number_and_bytes() {
    let mut relay = relay_with_confirmed_leader();
    let receivers: Vec<_> = (0..MAX_WAITING_HEARTBEATS).map(|_| relay.enqueue(Bytes::new(), NOW)).collect();
    assert!(receivers.iter().all(Option::is_some));
    assert!(relay.enqueue(Bytes::new(), NOW).is_none(), "too many wait");
    assert_eq!(relay.take_waiting().len(), MAX_WAITING_HEARTBEATS);

    let large = Bytes::from(vec![b' '; MAX_WAITING_BYTES]);
    assert!(relay.enqueue(large, NOW).is_some());
    assert!(relay.enqueue(Bytes::new(), NOW).is_none(), "too many bytes wait");
}

#[tokio::test]
async fn relay_redirects_heartbeats_behind_an_unanswered_batch_to_a_relay_route() {
    // Guards against lost leases during a network partition between two zones: heartbeats queued behind an
    // unanswered batch waited for a second timeout, and their workers were then redirected to controllers that
    // they couldn't reach, until their leases expired.
    let cluster = FakeCluster::default();
    let [(relaying, _), (other, _)] = start_pair(&cluster).await;
    tokio::spawn(server::serve(relaying.settings.peer_listen_addr, server::internal_router(&relaying), 64));
    // A leader on a machine that hangs: it accepts connections but never responds.
    let unresponsive = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut settings = other.settings.clone();
    settings.name = "plinth-8".into();
    settings.peers.push(Peer {
        name: "plinth-9".into(),
        addr: unresponsive.local_addr().unwrap(),
        zone: String::new(),
    });
    settings.peer_listen_addr = free_addr();
    let (node, client) = start(&cluster, settings).await;
    let client = Arc::new(client);
    tokio::time::sleep(Millis(200).to_std()).await;
    node.lock().leader_name = Some("plinth-9".into());
    for node in [&relaying, &node] {
        let now = node.now();
        let mut state = node.lock();
        state.heartbeat_relay.record_leader_heartbeat("plinth-9", Term(5), now);
        state.heartbeat_relay.record_batch_result(Term(5), true);
    }
    let started = std::time::Instant::now();
    let mut answers = Vec::new();
    for _ in 0..3 {
        let heartbeat = cluster.heartbeat();
        let client = client.clone();
        answers.push(tokio::spawn(async move { client.post("/v1/report", heartbeat).await }));
        // The next heartbeat is sent while the previous batch is still in flight.
        tokio::time::sleep(Millis(500).to_std()).await;
    }
    for answer in answers {
        assert_eq!(answer.await.unwrap(), (421, json!({"steward": relaying.settings.name})));
    }
    assert!(started.elapsed() < (BATCH_TIMEOUT + Millis(1_000)).to_std(), "one batch timeout, not two");
}
