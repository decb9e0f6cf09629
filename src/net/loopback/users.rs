//! Tests of the responses to users and the worker from a leader without peers.

use super::*;

/// Submits a job, has the worker run and complete its tasks, and waits until the job is done.
async fn run_to_completion(cluster: &FakeCluster, client: &Client, id: &str, tasks: u32) {
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
    let (_node, client) = start_without_peers(&FakeCluster::default()).await;
    // Submissions can't be checked without the machine types, so they are refused without waiting.
    assert_eq!(client.get("/healthz").await.0, 503);
    assert_eq!(client.submit(job("req-000001", 2)).await.0, 503);
}

#[tokio::test]
async fn submission_is_accepted_and_repeated_ones_are_answered() {
    let (_node, client) = start_leading(&FakeCluster::default()).await;
    assert_eq!(client.submit(job("req-000001", 2)).await, (201, json!({"id": "req-000001", "phase": "queued"})));
    assert_eq!(client.submit(job("req-000001", 2)).await.0, 200);
    assert_eq!(client.submit(job("req-000001", 0)).await.0, 200, "of a repeated submission only the id matters");
}

#[tokio::test]
async fn invalid_submission_is_refused_and_not_stored() {
    let (_node, client) = start_leading(&FakeCluster::default()).await;
    assert_eq!(client.submit(job("req-000009", 0)).await.0, 400);
    let mut large = job("req-000009", 1);
    large["cast"] = json!("x".repeat(70_000));
    assert_eq!(client.submit(large).await.0, 400);
    let mut unknown_team = job("req-000009", 1);
    unknown_team["crew"] = json!("nobody");
    assert_eq!(client.submit(unknown_team).await.0, 422);
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
    run_to_completion(&cluster, &client, "req-000001", 2).await;
    assert!(cluster.has_key("fleet/m-000001"), "the machine's record is stored before its first order");
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
async fn job_with_unreadable_record_is_not_overwritten_and_counts_as_existing() {
    let cluster = FakeCluster::default();
    let (_node, client) = start_leading(&cluster).await;
    cluster.lock().store.put("live/req-000003", json!("garbage"), 1);
    assert_eq!(client.cancel("req-000003").await.0, 503);
    assert_eq!(client.submit(job("req-000003", 1)).await.0, 200);
    assert_eq!(cluster.lock().store.entries["live/req-000003"].0, json!("garbage"));
}

#[tokio::test]
async fn controller_refused_by_the_store_answers_only_about_jobs_that_have_ended() {
    let cluster = FakeCluster::default();
    let (_node, client) = start_leading(&cluster).await;
    run_to_completion(&cluster, &client, "req-000001", 2).await;
    cluster.lock().store.refuses_all = true;
    assert_eq!(client.job("req-000001").await.1["phase"], "done");
    assert_eq!(client.job("req-000009").await.0, 503);
    assert_eq!(client.submit(job("req-000004", 1)).await.0, 503);
    assert!(!cluster.has_key("live/req-000004"));
}
