use super::*;
use crate::config::Peer;
use crate::net::loopback::{FakeCluster, free_addr, pair, start};
use crate::net::server;
use serde_json::json;

const HEARD: MonotonicTime = MonotonicTime(10_000);

fn open() -> HeartbeatRelay {
    let mut relay = HeartbeatRelay::default();
    relay.heard_leader("plinth-1", Term(5), HEARD);
    relay.batch_sent(Term(5), true);
    relay
}

fn destination(relay: &HeartbeatRelay) -> Option<&str> {
    relay.destination(HEARD).map(|leader| leader.name.as_str())
}

#[test]
fn heartbeats_go_to_the_latest_leader_and_only_while_it_is_heard() {
    let mut relay = HeartbeatRelay::default();
    assert_eq!(destination(&relay), None);
    relay.heard_leader("plinth-1", Term(5), HEARD);
    assert_eq!(destination(&relay), Some("plinth-1"));
    relay.heard_leader("plinth-2", Term(4), HEARD);
    assert_eq!(destination(&relay), Some("plinth-1"), "an earlier term is over");
    relay.heard_leader("plinth-2", Term(6), HEARD);
    assert_eq!(destination(&relay), Some("plinth-2"));
    assert!(relay.destination(HEARD + LEADER_HEARTBEAT_TIMEOUT + Millis(1)).is_none(), "not heard for too long");
}

#[test]
fn relay_admits_only_for_a_leader_that_has_answered_the_last_batch() {
    let mut relay = HeartbeatRelay::default();
    relay.heard_leader("plinth-1", Term(5), HEARD);
    assert!(!relay.is_open(HEARD) && relay.admit(Bytes::new(), HEARD).is_none(), "not tried yet");
    relay.batch_sent(Term(5), true);
    assert!(relay.admit(Bytes::from_static(b"{}"), HEARD).is_some());
    assert_eq!(relay.take_waiting().len(), 1);
    relay.heard_leader("plinth-1", Term(5), HEARD);
    assert!(relay.is_open(HEARD), "a heartbeat changes nothing");
    relay.batch_sent(Term(5), false);
    assert!(!relay.is_open(HEARD));
    relay.batch_sent(Term(5), true);
    relay.heard_leader("plinth-2", Term(6), HEARD);
    assert!(!relay.is_open(HEARD), "another leader has yet to answer");
    relay.batch_sent(Term(5), true);
    assert!(!relay.is_open(HEARD), "the one before has, late");
}

#[test]
fn relay_under_load_has_no_capacity_but_stays_open() {
    let mut relay = open();
    assert!(relay.has_capacity(HEARD));
    (0..20).for_each(|_| relay.record_lag(Millis(400)));
    assert!(!relay.has_capacity(HEARD) && relay.is_open(HEARD));
    (0..20).for_each(|_| relay.record_lag(Millis(5)));
    assert!(relay.has_capacity(HEARD));
}

#[test]
fn relay_bounds_waiting_heartbeats_in_number_and_bytes() {
    let mut relay = open();
    let receivers: Vec<_> = (0..MAX_WAITING).map(|_| relay.admit(Bytes::new(), HEARD)).collect();
    assert!(receivers.iter().all(Option::is_some));
    assert!(relay.admit(Bytes::new(), HEARD).is_none(), "too many wait");
    assert_eq!(relay.take_waiting().len(), MAX_WAITING);

    let large = Bytes::from(vec![b' '; MAX_WAITING_BYTES]);
    assert!(relay.admit(large, HEARD).is_some());
    assert!(relay.admit(Bytes::new(), HEARD).is_none(), "too many bytes wait");
}

#[tokio::test]
async fn relay_redirects_heartbeats_behind_an_unanswered_batch_to_a_relay_route() {
    // Two zones could not reach each other: the first heartbeats waited for one time limit and those behind them
    // for two, and the workers then went round controllers beyond the cut until their leases ran out.
    let cluster = FakeCluster::default();
    let [(relaying, _), (other, _)] = pair(&cluster).await;
    tokio::spawn(server::serve(relaying.settings.peer_listen, server::internal_router(&relaying), 64));
    // The leader's machine hangs: it takes connections, and answers nothing.
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut settings = other.settings.clone();
    settings.name = "plinth-8".into();
    settings.peers.push(Peer { name: "plinth-9".into(), addr: silent.local_addr().unwrap(), zone: String::new() });
    settings.peer_listen = free_addr();
    let (node, client) = start(&cluster, settings).await;
    let client = Arc::new(client);
    tokio::time::sleep(Millis(200).to_std()).await;
    node.lock().leader_name = Some("plinth-9".into());
    for node in [&relaying, &node] {
        let now = node.now();
        let mut inner = node.lock();
        inner.heartbeat_relay.heard_leader("plinth-9", Term(5), now);
        inner.heartbeat_relay.batch_sent(Term(5), true);
    }
    let begun = std::time::Instant::now();
    let mut answers = Vec::new();
    for _ in 0..3 {
        let heartbeat = cluster.heartbeat();
        let client = client.clone();
        answers.push(tokio::spawn(async move { client.post("/v1/report", heartbeat).await }));
        // Each comes while the batch before it is under way.
        tokio::time::sleep(Millis(500).to_std()).await;
    }
    for answer in answers {
        assert_eq!(answer.await.unwrap(), (421, json!({"steward": relaying.settings.name})));
    }
    assert!(begun.elapsed() < (BATCH_TIMEOUT + Millis(1_000)).to_std(), "one time limit, not two");
}
