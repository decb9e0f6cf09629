//! What users get from a controller that leads alone, and what its worker gets.

use super::*;

/// The worker runs the job's tasks and completes them, and the leader records that.
async fn run_to_the_end(cluster: &FakeCluster, client: &Client, id: &str, tasks: u32) {
    assert_eq!(client.submit(job(id, tasks)).await.0, 201);
    eventually(async || {
        let (status, _) = client.heartbeat(cluster).await;
        status == 200 && cluster.lock().worker.tasks.len() == tasks as usize
    })
    .await;
    eventually(async || client.job(id).await.1["phase"] == "running").await;
    cluster.lock().worker.complete_all_tasks();
    eventually(async || {
        client.heartbeat(cluster).await;
        client.job(id).await.1["phase"] == "done"
    })
    .await;
}

#[tokio::test]
async fn controller_refuses_users_until_it_knows_the_machine_types() {
    let (_node, client) = start_alone(&FakeCluster::default()).await;
    // Nothing can be decided, and that is answered at once.
    assert_eq!(client.get("/healthz").await.0, 503);
    assert_eq!(client.submit(job("req-000001", 2)).await.0, 503);
}

#[tokio::test]
async fn submission_is_accepted_and_its_repetitions_are_answered() {
    let (_node, client) = start_leading(&FakeCluster::default()).await;
    assert_eq!(client.submit(job("req-000001", 2)).await, (201, json!({"id": "req-000001", "phase": "queued"})));
    assert_eq!(client.submit(job("req-000001", 2)).await.0, 200);
    assert_eq!(client.submit(job("req-000001", 0)).await.0, 200, "a known id answers whatever else it says");
}

#[tokio::test]
async fn submission_that_is_malformed_or_impossible_is_refused_and_not_kept() {
    let (_node, client) = start_leading(&FakeCluster::default()).await;
    assert_eq!(client.submit(job("req-000009", 0)).await.0, 400);
    let mut large = job("req-000009", 1);
    large["cast"] = json!("x".repeat(70_000));
    assert_eq!(client.submit(large).await.0, 400);
    let mut of_unknown_team = job("req-000009", 1);
    of_unknown_team["crew"] = json!("nobody");
    assert_eq!(client.submit(of_unknown_team).await.0, 422);
    assert_eq!(client.job("req-000009").await.0, 404);
}

#[tokio::test]
async fn unknown_job_is_not_found() {
    let (_node, client) = start_leading(&FakeCluster::default()).await;
    assert_eq!(client.job("nonsense").await.0, 404);
    assert_eq!(client.cancel("req-000009").await.0, 404);
}

#[tokio::test]
async fn malformed_heartbeat_is_refused_by_the_leader() {
    let (_node, client) = start_leading(&FakeCluster::default()).await;
    assert_eq!(client.post("/v1/report", json!({"what": "is this"})).await.0, 400);
}

#[tokio::test]
async fn job_runs_on_the_worker_until_its_tasks_are_done() {
    let cluster = FakeCluster::default();
    let (_node, client) = start_leading(&cluster).await;
    run_to_the_end(&cluster, &client, "req-000001", 2).await;
    assert!(cluster.has_key("fleet/m-000001"), "registered before its first order");
    assert_eq!(client.cancel("req-000001").await.1["phase"], "done");
}

#[tokio::test]
async fn cancelled_job_stays_cancelled_for_repeated_requests() {
    let (_node, client) = start_leading(&FakeCluster::default()).await;
    assert_eq!(client.submit(job("req-000002", 1)).await.0, 201);
    assert_eq!(client.cancel("req-000002").await.1["phase"], "aborted");
    assert_eq!(client.cancel("req-000002").await.1["phase"], "aborted");
    let (status, answer) = client.submit(job("req-000002", 1)).await;
    assert_eq!((status, answer["phase"].as_str()), (200, Some("aborted")));
}

#[tokio::test]
async fn unreadable_record_is_neither_overwritten_nor_denied() {
    let cluster = FakeCluster::default();
    let (_node, client) = start_leading(&cluster).await;
    cluster.lock().store.put("live/req-000003", json!("garbage"), 1);
    assert_eq!(client.cancel("req-000003").await.0, 503);
    assert_eq!(client.submit(job("req-000003", 1)).await.0, 200);
    assert_eq!(cluster.lock().store.entries["live/req-000003"].0, json!("garbage"));
}

#[tokio::test]
async fn controller_that_the_store_refuses_still_knows_outcomes_and_refuses_the_rest() {
    let cluster = FakeCluster::default();
    let (_node, client) = start_leading(&cluster).await;
    run_to_the_end(&cluster, &client, "req-000001", 2).await;
    cluster.lock().store.refuses_all = true;
    assert_eq!(client.job("req-000001").await.1["phase"], "done");
    assert_eq!(client.job("req-000009").await.0, 503);
    assert_eq!(client.submit(job("req-000004", 1)).await.0, 503);
    assert!(!cluster.has_key("live/req-000004"));
}
