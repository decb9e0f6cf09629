//! Until when a leader acts, and who leads after it.

use super::*;
use crate::ids::RequestId;

#[tokio::test]
async fn leader_that_extends_its_lease_learns_what_was_cancelled_without_it() {
    // The store refused the leader alone, the other controller confirmed a cancellation, and then all were
    // refused: the leader extended its lease, and with it the cancelled task's.
    let cluster = FakeCluster::default();
    let [(leader, at_leader), (other, at_other)] = pair(&cluster).await;
    elect_first(&cluster, [&leader, &other]).await;
    assert!(leader.lock().election.lease().is_some());
    eventually(async || at_leader.submit(job("req-000001", 1)).await.0 == 201).await;
    let heartbeat = async || {
        let (status, answer) = at_leader.heartbeat(&cluster).await;
        if answer["orders"].to_string().contains("stop") {
            cluster.lock().worker.tasks.clear();
        }
        status
    };
    eventually(async || {
        heartbeat().await;
        // The cancellations that the other knows of begin where the leader has read to, or before.
        let read_through = leader.lock().election.lease().map_or(0, |lease| lease.read_through.0);
        let known = other.lock().cancellations.since(Revision(read_through)).is_some();
        !cluster.lock().worker.tasks.is_empty() && known
    })
    .await;

    cluster.lock().store.refuses.insert(leader.settings.name.clone());
    assert_eq!(at_other.cancel("req-000001").await.1["phase"], "aborted");
    cluster.lock().store.refuses_all = true;
    let since = std::time::Instant::now();
    eventually(async || {
        heartbeat().await;
        cluster.lock().worker.tasks.is_empty()
    })
    .await;
    // It goes on for longer than its lease, as the other has pledged.
    while since.elapsed() < leader.settings.leader_lease_ttl().mul_f64(2.0).to_std() {
        heartbeat().await;
        tokio::time::sleep(Millis(300).to_std()).await;
    }
    eventually(async || heartbeat().await == 200).await;

    // The other ends, and what is there in its place can't know what was confirmed to users: no pledge.
    other.lock().cancellations = ConfirmedCancellations::default();
    eventually(async || heartbeat().await == 421).await;
}

#[tokio::test]
async fn leader_cut_off_from_store_and_peers_stops_at_its_bound_and_says_so() {
    let cluster = FakeCluster::default();
    let (node, client) = start_cut_off(&cluster).await;
    stand(&node);
    eventually(async || client.get("/healthz").await.0 == 200).await;
    let heartbeat = async || client.post("/v1/report", cluster.heartbeat()).await;
    eventually(async || heartbeat().await.0 == 200).await;
    assert_eq!(client.submit(job("req-000001", 2)).await.0, 201);

    cluster.lock().store.unresponsive = true;
    // Its workers must find another leader: it stops answering at its bound and names nobody.
    eventually(async || heartbeat().await == (421, json!({}))).await;
    eventually(async || client.get("/healthz").await.0 == 503).await;
    let asked = std::time::Instant::now();
    assert_eq!(client.job("req-000001").await.0, 503);
    assert_eq!(client.submit(job("req-000002", 2)).await.0, 503);
    assert!(asked.elapsed() < Millis(500).to_std(), "answered at once");

    cluster.lock().store.unresponsive = false;
    eventually(async || client.job("req-000001").await.0 == 200).await;
    eventually(async || client.get("/healthz").await.0 == 200).await;
    eventually(async || heartbeat().await.0 == 200).await;
}

#[tokio::test]
async fn controller_does_not_stand_while_a_named_successor_may() {
    // With two zones parted, a leader in one handed over to a controller that heard both, and one in
    // the other zone, which it couldn't tell, was elected first.
    let cluster = FakeCluster::default();
    cluster.lock().store.put(SUCCESSOR_KEY, json!("plinth-1"), 1);
    let (node, _client) = start_alone(&cluster).await;
    stand(&node);
    tokio::time::sleep(Millis(1_500).to_std()).await;
    assert!(!cluster.has_key(LEADER_KEY));
    cluster.lock().store.entries.clear();
    eventually(async || cluster.has_key(LEADER_KEY)).await;
}

#[tokio::test]
async fn worker_is_not_redirected_twice_in_a_row_to_the_same_leader() {
    // Redirected to a leader and back again, a worker goes on to the next controller.
    let cluster = FakeCluster::default();
    let other = json!({"node": "plinth-1", "incarnation": 1, "hold": 7});
    cluster.lock().store.put(LEADER_KEY, other, 2);
    let (node, client) = start_alone(&cluster).await;
    stand(&node);
    eventually(async || node.lock().leader_name.is_some()).await;
    let heartbeat = json!({"plinth": "m-000009", "endpoint": "", "build": "g8", "quay": "a", "loaner": false,
        "shift": 1, "tally": 1, "baton": 0});
    assert_eq!(client.post("/v1/report", heartbeat.clone()).await, (421, json!({"steward": "plinth-1"})));
    let again = client.post("/v1/report", heartbeat).await;
    assert_eq!(again, (421, json!({"steward": "plinth-1"})), "it may be about to start");
    let redirected = |at| {
        let leader = Some("plinth-1".into());
        node.lock().redirected_workers.record("m-000010", MonotonicTime(at), leader).is_some()
    };
    assert_eq!([20_000, 21_000, 26_000, 40_000].map(redirected), [true, true, false, true]);

    cluster.lock().store.entries.clear();
    eventually(async || cluster.has_key(LEADER_KEY)).await;
}

#[tokio::test]
async fn leader_that_still_loads_renews_no_lease_over_tasks() {
    // It can't know which of them are cancelled; until it could, its answers renewed all leases.
    let cluster = FakeCluster::default();
    let (node, client) = start_alone(&cluster).await;
    node.lock().election.elected(Term(5), LeaseId(7), node.now());
    let own = FencingToken::new(Term(5), 0);
    let idle = cluster.heartbeat();
    assert_eq!(client.post("/v1/report", idle).await, (200, json!({"baton": own, "orders": []})));
    let running = json!({"lot": "req-000001/0", "try": 1, "phase": "running"});
    cluster.lock().worker.tasks.insert("any".into(), running);
    let busy = cluster.heartbeat();
    assert_eq!(client.post("/v1/report", busy).await, (200, json!({"baton": 0, "orders": []})));
}

#[tokio::test]
async fn orders_of_an_earlier_term_are_not_sent() {
    // What was decided before a freeze is not sent past the bound.
    let cluster = FakeCluster::default();
    let (node, _client) = start_alone(&cluster).await;
    let endpoint = cluster.lock().worker.endpoint.clone();
    let run = Order::Run { task: TaskId::parse("req-000001/0").unwrap(), attempt: Attempt(1) };
    let body = DirectOrders { token: FencingToken::new(Term(5), 0), agent_epoch: AgentEpoch(1), orders: vec![run] };
    let order = || Effect::Orders { request: RequestId(1), endpoint: endpoint.clone(), body: body.clone() };
    leader_loop::perform_effect(node.clone(), Term(5), order()).await;
    assert!(cluster.lock().worker.orders.is_empty(), "it is no longer the leader");
    node.lock().election.elected(Term(6), LeaseId(7), node.now());
    leader_loop::perform_effect(node.clone(), Term(5), order()).await;
    assert!(cluster.lock().worker.orders.is_empty(), "leader again, but for another term");
    leader_loop::perform_effect(node.clone(), Term(6), order()).await;
    assert_eq!(cluster.lock().worker.orders.len(), 1);
}
