//! Tests of when a leader stops acting, and of which controller leads next.

use super::*;
use crate::ids::RequestId;

#[tokio::test]
async fn leader_that_extends_its_lease_learns_of_cancellations_at_its_peers() {
    // Guards against a cancelled task that keeps running: the store refused only the leader while another controller
    // confirmed a cancellation to a user. Then the store refused all controllers, and the leader extended its lease,
    // and with it that of the cancelled task's worker.
    let cluster = FakeCluster::default();
    let [(leader, leader_client), (other, other_client)] = start_pair(&cluster).await;
    elect_first(&cluster, [&leader, &other]).await;
    assert!(leader.lock().election.lease().is_some());
    eventually(async || leader_client.submit(job("req-000001", 1)).await.0 == 201).await;
    let heartbeat = async || {
        let (status, answer) = leader_client.heartbeat(&cluster).await;
        if answer["orders"].to_string().contains("stop") {
            cluster.lock().worker.tasks.clear();
        }
        status
    };
    eventually(async || {
        heartbeat().await;
        // Waits until the other controller knows all cancellations since the revision up to which the leader has read.
        // A controller that doesn't know them refuses to pledge that it will not stand for election.
        let read_through = leader.lock().election.lease().map_or(0, |lease| lease.read_through.0);
        let known = other.lock().cancellations.since(Revision(read_through)).is_some();
        !cluster.lock().worker.tasks.is_empty() && known
    })
    .await;

    cluster.lock().store.refused_controllers.insert(leader.settings.name.clone());
    assert_eq!(other_client.cancel("req-000001").await.1["phase"], "aborted");
    cluster.lock().store.refuses_all = true;
    let since = std::time::Instant::now();
    eventually(async || {
        heartbeat().await;
        cluster.lock().worker.tasks.is_empty()
    })
    .await;
    // The leader keeps leading after its lease would have expired, as the other controller pledges not to stand for
    // election.
    while since.elapsed() < leader.settings.leader_lease_ttl().mul_f64(2.0).to_std() {
        heartbeat().await;
        tokio::time::sleep(Millis(300).to_std()).await;
    }
    eventually(async || heartbeat().await == 200).await;

    // After a restart, the other controller can't know which cancellations were confirmed to users before, so it
    // refuses to pledge that it will not stand for election.
    other.lock().cancellations = ConfirmedCancellations::default();
    eventually(async || heartbeat().await == 421).await;
}

#[tokio::test]
async fn leader_without_store_and_peers_stops_when_its_lease_expires_and_refuses_users() {
    let cluster = FakeCluster::default();
    let (node, client) = start_with_unreachable_peers(&cluster).await;
    join_election(&node);
    eventually(async || client.get("/healthz").await.0 == 200).await;
    let heartbeat = async || client.post("/v1/report", cluster.heartbeat()).await;
    eventually(async || heartbeat().await.0 == 200).await;
    assert_eq!(client.submit(job("req-000001", 2)).await.0, 201);

    cluster.lock().store.unresponsive = true;
    // When the leader's lease has expired, it redirects workers without naming a controller, so that the workers look
    // for a leader themselves.
    eventually(async || heartbeat().await == (421, json!({}))).await;
    eventually(async || client.get("/healthz").await.0 == 503).await;
    let asked = std::time::Instant::now();
    assert_eq!(client.job("req-000001").await.0, 503);
    assert_eq!(client.submit(job("req-000002", 2)).await.0, 503);
    assert!(asked.elapsed() < Millis(500).to_std(), "refused without waiting for the store");

    cluster.lock().store.unresponsive = false;
    eventually(async || client.job("req-000001").await.0 == 200).await;
    eventually(async || client.get("/healthz").await.0 == 200).await;
    eventually(async || heartbeat().await.0 == 200).await;
}

#[tokio::test]
async fn controller_does_not_stand_for_election_while_a_successor_is_named() {
    // Guards against a failed handover during a network partition between two zones: a leader named a successor that
    // could reach both zones, but a controller in the other zone, which the leader couldn't notify, was elected first.
    let cluster = FakeCluster::default();
    cluster.lock().store.put(SUCCESSOR_KEY, json!("plinth-1"), 1);
    let (node, _client) = start_without_peers(&cluster).await;
    join_election(&node);
    tokio::time::sleep(Millis(1_500).to_std()).await;
    assert!(!cluster.has_key(LEADER_KEY));
    cluster.lock().store.entries.clear();
    eventually(async || cluster.has_key(LEADER_KEY)).await;
}

#[tokio::test]
async fn worker_is_not_redirected_again_to_a_leader_where_it_timed_out() {
    // A worker that comes back because the leader didn't respond should go on to the next controller.
    let cluster = FakeCluster::default();
    let other_leader = json!({"node": "plinth-1", "incarnation": 1, "hold": 7});
    cluster.lock().store.put(LEADER_KEY, other_leader, 2);
    let (node, client) = start_without_peers(&cluster).await;
    join_election(&node);
    eventually(async || node.lock().leader_name.is_some()).await;
    let heartbeat = json!({"plinth": "m-000009", "endpoint": "", "build": "g8", "quay": "a", "loaner": false,
        "shift": 1, "tally": 1, "baton": 0});
    assert_eq!(client.post("/v1/report", heartbeat.clone()).await, (421, json!({"steward": "plinth-1"})));
    let repeated = client.post("/v1/report", heartbeat).await;
    assert_eq!(repeated, (421, json!({"steward": "plinth-1"})), "the leader may be about to start");
    let redirected = |at| {
        let leader = Some("plinth-1".into());
        node.lock().redirected_workers.record("m-000010", MonotonicTime(at), leader).is_some()
    };
    assert_eq!([20_000, 21_000, 26_000, 40_000].map(redirected), [true, true, false, true]);

    cluster.lock().store.entries.clear();
    eventually(async || cluster.has_key(LEADER_KEY)).await;
}

#[tokio::test]
async fn loading_leader_does_not_renew_the_lease_of_a_worker_with_tasks() {
    // A leader that is still loading the cluster state can't know which tasks are cancelled. Guards against such a
    // leader renewing the leases of all workers, even of those with tasks.
    let cluster = FakeCluster::default();
    let (node, client) = start_without_peers(&cluster).await;
    node.lock().election.elected(Term(5), LeaseId(7), node.now());
    let token = FencingToken::new(Term(5), 0);
    let idle = cluster.heartbeat();
    assert_eq!(client.post("/v1/report", idle).await, (200, json!({"baton": token, "orders": []})));
    let running = json!({"lot": "req-000001/0", "try": 1, "phase": "running"});
    cluster.lock().worker.tasks.insert("any".into(), running);
    let busy = cluster.heartbeat();
    assert_eq!(client.post("/v1/report", busy).await, (200, json!({"baton": 0, "orders": []})));
}

#[tokio::test]
async fn orders_of_an_earlier_term_are_not_sent() {
    // Guards against orders that a leader decided on before its process froze and sends after its lease has expired.
    let cluster = FakeCluster::default();
    let (node, _client) = start_without_peers(&cluster).await;
    let endpoint = cluster.lock().worker.endpoint.clone();
    let run = Order::Run { task: TaskId::parse("req-000001/0").unwrap(), attempt: Attempt(1) };
    let body = DirectOrders { token: FencingToken::new(Term(5), 0), agent_epoch: AgentEpoch(1), orders: vec![run] };
    let order = || Effect::Orders { request: RequestId(1), endpoint: endpoint.clone(), body: body.clone() };
    leader_loop::perform_effect(node.clone(), Term(5), order()).await;
    assert!(cluster.lock().worker.orders.is_empty(), "it doesn't lead");
    node.lock().election.elected(Term(6), LeaseId(7), node.now());
    leader_loop::perform_effect(node.clone(), Term(5), order()).await;
    assert!(cluster.lock().worker.orders.is_empty(), "it leads, but for a later term");
    leader_loop::perform_effect(node.clone(), Term(6), order()).await;
    assert_eq!(cluster.lock().worker.orders.len(), 1);
}
