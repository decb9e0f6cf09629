//! Tests of heartbeats that a controller relays to the leader.

use super::*;

/// Starts a leader and a peer, and waits until the peer relays the worker's heartbeats to the leader.
async fn leader_and_relay(cluster: &FakeCluster, settings: Settings) -> [(Arc<Node>, Client); 2] {
    let [leader, relay] = start_pair_with(cluster, settings).await;
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
async fn relay_passes_on_the_leaders_token_and_orders() {
    let cluster = FakeCluster::default();
    let [(leader, leader_client), (_relay, relay_client)] = leader_and_relay(&cluster, sample_settings()).await;
    // The worker sends no heartbeat to the leader itself, and yet gets its fencing token and its tasks.
    eventually(async || leader_client.submit(job("req-000001", 1)).await.0 == 201).await;
    eventually(async || {
        let (status, answer) = relay_client.heartbeat(&cluster).await;
        let term = leader.lock().election.lease().map(|lease| FencingToken::new(lease.term, 0));
        let has_tasks = !cluster.lock().worker.tasks.is_empty();
        has_tasks && status == 200 && answer["baton"] == json!(term)
    })
    .await;
    // The stop order for a cancelled job reaches the worker through the relay too.
    assert_eq!(relay_client.cancel("req-000001").await.1["phase"], "aborted");
    eventually(async || relay_client.heartbeat(&cluster).await.1["orders"].to_string().contains("stop")).await;
}

#[tokio::test]
async fn relay_refuses_malformed_heartbeats() {
    let cluster = FakeCluster::default();
    let [_leader, (_relay, relay_client)] = leader_and_relay(&cluster, sample_settings()).await;
    assert_eq!(
        relay_client.post("/v1/report", json!({"what": "is this"})).await.0,
        400,
        "refused by the relay as by the leader"
    );
}

#[tokio::test]
async fn peer_routes_refuse_invalid_messages() {
    let cluster = FakeCluster::default();
    let [_leader, (relay, _)] = leader_and_relay(&cluster, sample_settings()).await;
    let peer = Client { http: HttpClient::new(4), addr: relay.settings.peer_listen_addr.to_string() };
    for path in [peers::HEARTBEAT_PATH, peers::PLAN_PATH, peers::HEARTBEAT_BATCH_PATH] {
        assert_eq!(peer.post(path, json!("no message")).await.0, 400, "{path}");
    }
}

#[tokio::test]
async fn leader_redirects_workers_to_a_relay_after_a_lease() {
    let cluster = FakeCluster::default();
    // A leader redirects workers only after it has led for one worker lease, which this test shortens.
    let mut settings = sample_settings();
    settings.cluster.workers.lease_s = 4.0;
    let [(_leader, leader_client), (relay, _)] = leader_and_relay(&cluster, settings).await;
    let relay_name = relay.settings.name.clone();
    eventually(async || leader_client.heartbeat(&cluster).await == (421, json!({"steward": relay_name}))).await;
}

#[tokio::test]
async fn controller_that_reaches_only_the_relay_redirects_workers_there() {
    // The workers presumably can't reach the leader either, so they must not be redirected to it.
    let cluster = FakeCluster::default();
    let [(leader, _), (relay, _)] = leader_and_relay(&cluster, sample_settings()).await;
    let relay_name = relay.settings.name.clone();
    let mut settings = sample_settings();
    settings.name = "plinth-9".into();
    settings.peers.truncate(2);
    settings.peers[0] = Peer { addr: free_addr(), name: leader.settings.name.clone(), zone: String::new() };
    settings.peers[1] = Peer { addr: relay.settings.peer_listen_addr, name: relay_name.clone(), zone: String::new() };
    let (third, third_client) = start(&cluster, settings).await;
    third.lock().leader_name = Some(leader.settings.name.clone());
    eventually(async || third_client.heartbeat(&cluster).await == (421, json!({"steward": relay_name}))).await;
}

#[tokio::test]
async fn relay_without_a_leader_accepts_no_heartbeats() {
    let cluster = FakeCluster::default();
    let [(leader, _), (_relay, relay_client)] = leader_and_relay(&cluster, sample_settings()).await;
    leader.lock().election.step_down();
    // The relay neither decides itself nor repeats an earlier decision of the leader.
    assert_eq!(relay_client.heartbeat(&cluster).await, (421, json!({})));
    assert_ne!(relay_client.heartbeat(&cluster).await.0, 200);
}
