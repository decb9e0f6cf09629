//! Heartbeats by way of a controller that does not lead.

use super::*;

/// A leader and its peer that relays, with a client of each. The worker's heartbeats are answered through it.
async fn leader_and_relay(cluster: &FakeCluster, settings: Settings) -> [(Arc<Node>, Client); 2] {
    let [leader, relay] = pair_with(cluster, settings).await;
    serve_peers(&leader.0).await;
    elect_first(cluster, [&leader.0, &relay.0]).await;
    eventually(async || {
        let (status, answer) = relay.1.heartbeat(cluster).await;
        let term = leader.0.lock().election.lease().map(|lease| FencingToken::new(lease.term, 0));
        status == 200 && answer["baton"] == json!(term)
    })
    .await;
    [leader, relay]
}

#[tokio::test]
async fn relay_hands_out_the_leaders_token_and_orders() {
    let cluster = FakeCluster::default();
    let [(leader, at_leader), (_relay, at_relay)] = leader_and_relay(&cluster, sample_settings()).await;
    // The worker never sends to the leader, and gets its token and its tasks.
    eventually(async || at_leader.submit(job("req-000001", 1)).await.0 == 201).await;
    eventually(async || {
        let (status, answer) = at_relay.heartbeat(&cluster).await;
        let term = leader.lock().election.lease().map(|lease| FencingToken::new(lease.term, 0));
        let has_tasks = !cluster.lock().worker.tasks.is_empty();
        has_tasks && status == 200 && answer["baton"] == json!(term)
    })
    .await;
    // A cancellation reaches it the same way.
    assert_eq!(at_relay.cancel("req-000001").await.1["phase"], "aborted");
    eventually(async || at_relay.heartbeat(&cluster).await.1["orders"].to_string().contains("stop")).await;
}

#[tokio::test]
async fn relay_refuses_malformed_heartbeats() {
    let cluster = FakeCluster::default();
    let [_leader, (_relay, at_relay)] = leader_and_relay(&cluster, sample_settings()).await;
    assert_eq!(at_relay.post("/v1/report", json!({"what": "is this"})).await.0, 400, "malformed wherever it arrives");
}

#[tokio::test]
async fn peer_routes_refuse_what_is_no_message_of_this_version() {
    let cluster = FakeCluster::default();
    let [_leader, (relay, _)] = leader_and_relay(&cluster, sample_settings()).await;
    let peer = Client { http: HttpClient::new(4), addr: relay.settings.peer_listen.to_string() };
    for path in [peers::HEARTBEAT_PATH, peers::PLAN_PATH, peers::HEARTBEAT_BATCH_PATH] {
        assert_eq!(peer.post(path, json!("no message")).await.0, 400, "{path}");
    }
}

#[tokio::test]
async fn settled_leader_moves_workers_to_a_relay() {
    let cluster = FakeCluster::default();
    // A leader is settled once the workers' leases of an earlier one are over.
    let mut settings = sample_settings();
    settings.cluster.workers.lease_s = 4.0;
    let [(_leader, at_leader), (relay, _)] = leader_and_relay(&cluster, settings).await;
    let relay_name = relay.settings.name.clone();
    eventually(async || at_leader.heartbeat(&cluster).await == (421, json!({"steward": relay_name}))).await;
}

#[tokio::test]
async fn controller_that_reaches_the_relay_alone_sends_workers_there() {
    // Naming the leader would be in vain.
    let cluster = FakeCluster::default();
    let [(leader, _), (relay, _)] = leader_and_relay(&cluster, sample_settings()).await;
    let relay_name = relay.settings.name.clone();
    let mut settings = sample_settings();
    settings.name = "plinth-9".into();
    settings.peers.truncate(2);
    settings.peers[0] = Peer { addr: free_addr(), name: leader.settings.name.clone(), zone: String::new() };
    settings.peers[1] = Peer { addr: relay.settings.peer_listen, name: relay_name.clone(), zone: String::new() };
    let (third, at_third) = start(&cluster, settings).await;
    third.lock().leader_name = Some(leader.settings.name.clone());
    eventually(async || at_third.heartbeat(&cluster).await == (421, json!({"steward": relay_name}))).await;
}

#[tokio::test]
async fn relay_answers_nothing_of_its_own_without_a_leader() {
    let cluster = FakeCluster::default();
    let [(leader, _), (_relay, at_relay)] = leader_and_relay(&cluster, sample_settings()).await;
    leader.lock().election.step_down();
    // Neither made up nor remembered.
    assert_eq!(at_relay.heartbeat(&cluster).await, (421, json!({})));
    assert_ne!(at_relay.heartbeat(&cluster).await.0, 200);
}
