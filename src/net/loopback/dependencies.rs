//! What users are answered on jobs that depend on others, while no controller leads.

use super::*;
use crate::core::records::{TerminalRecord, live_key, terminal_key};
use crate::ids::JobId;
use crate::time::WallTime;

fn job_after(id: &str, depends_on: Value) -> Value {
    let mut job = job(id, 1);
    job["awaits"] = depends_on;
    job
}

/// Two controllers that know the machine types; neither stands for election.
async fn without_leader(cluster: &FakeCluster) -> [(Arc<Node>, Client); 2] {
    let pair = pair(cluster).await;
    for (node, _) in &pair {
        let types = node.cloud.machine_types(&node.http, node.now()).await.expect("the fake cloud names its types");
        node.lock().machine_types = Some(types);
    }
    pair
}

fn stored(cluster: &FakeCluster, key: fn(&JobId) -> String, id: &str) -> Option<Value> {
    let key = key(&JobId::parse(id).unwrap());
    cluster.lock().store.entries.get(&key).map(|(value, _)| value.clone())
}

/// Three jobs: one that is live, a service, and one that is done.
async fn submit_jobs_to_depend_on(cluster: &FakeCluster, client: &Client) {
    assert_eq!(client.submit(job("req-000001", 1)).await.0, 201);
    let mut service = job("req-000002", 1);
    service["shape"] = json!("service");
    assert_eq!(client.submit(service).await.0, 201);
    let done = TerminalRecord::done(1, WallTime(5));
    cluster.lock().store.put("over/req-000003", json!(done), 1);
}

/// A chain of jobs 1 to 4 whose first is cancelled, and job 6 that depends on job 5.
async fn submit_cancelled_chain(client: &Client) {
    assert_eq!(client.submit(job("req-000001", 1)).await.0, 201);
    for (id, depends_on) in [("req-000002", "req-000001"), ("req-000003", "req-000002"), ("req-000004", "req-000003")] {
        assert_eq!(client.submit(job_after(id, json!([depends_on]))).await.0, 201);
    }
    assert_eq!(client.submit(job("req-000005", 1)).await.0, 201);
    assert_eq!(client.submit(job_after("req-000006", json!(["req-000005"]))).await.0, 201);
    assert_eq!(client.cancel("req-000001").await.1["phase"], "aborted");
}

#[tokio::test]
async fn submission_is_refused_if_a_dependency_can_never_be_done() {
    let cluster = FakeCluster::default();
    let [(_node, client), _other] = without_leader(&cluster).await;
    submit_jobs_to_depend_on(&cluster, &client).await;
    let submit = async |depends_on: Value| client.submit(job_after("req-000010", depends_on)).await;
    assert_eq!(submit(json!(["req-000001", "req-999999"])).await.0, 422);
    assert_eq!(submit(json!(["req-000010"])).await.0, 422, "itself");
    assert_eq!(submit(json!(["req-000002"])).await.0, 422, "a service");
    assert_eq!(submit(json!([17])).await.0, 400);
    let many: Vec<String> = (0..1_000).map(|n| format!("req-{n:06}")).collect();
    assert_eq!(submit(json!(many)).await.0, 422, "more than can be kept");
    assert_eq!(client.job("req-000010").await.0, 404);
}

#[tokio::test]
async fn record_keeps_only_the_dependencies_that_are_not_done() {
    let cluster = FakeCluster::default();
    let [(_node, client), _other] = without_leader(&cluster).await;
    submit_jobs_to_depend_on(&cluster, &client).await;
    assert_eq!(
        client.submit(job_after("req-000011", json!(["req-000003"]))).await,
        (201, json!({"id": "req-000011", "phase": "queued"}))
    );
    assert!(stored(&cluster, live_key, "req-000011").unwrap()["spec"].is_object());
    // A job that waits is kept in a form of its own.
    assert_eq!(client.submit(job_after("req-000012", json!(["req-000001", "req-000003"]))).await.0, 201);
    let record = stored(&cluster, live_key, "req-000012").unwrap();
    assert_eq!(record["waiting"]["awaits"], json!(["req-000001"]));
}

#[tokio::test]
async fn repeated_submission_is_answered_by_any_controller_whatever_it_depends_on() {
    let cluster = FakeCluster::default();
    let [(_node, client), (_, other)] = without_leader(&cluster).await;
    submit_jobs_to_depend_on(&cluster, &client).await;
    assert_eq!(client.submit(job_after("req-000012", json!(["req-000001", "req-000003"]))).await.0, 201);
    for depends_on in ["req-000001", "req-999999"] {
        let (status, answer) = other.submit(job_after("req-000012", json!([depends_on]))).await;
        assert_eq!((status, &answer["phase"]), (200, &json!("queued")));
    }
}

#[tokio::test]
async fn submission_is_refused_while_its_dependencies_can_not_be_looked_up() {
    let cluster = FakeCluster::default();
    let [(_node, client), _other] = without_leader(&cluster).await;
    submit_jobs_to_depend_on(&cluster, &client).await;
    cluster.lock().store.refuses_all = true;
    let (status, _) = client.submit(job_after("req-000013", json!(["req-000001"]))).await;
    assert_eq!(status, 503);
}

#[tokio::test]
async fn controller_without_a_leader_cancels_the_dependents_that_it_is_asked_about() {
    let cluster = FakeCluster::default();
    let [(_node, client), (_, other)] = without_leader(&cluster).await;
    submit_cancelled_chain(&client).await;
    let (status, answer) = other.job("req-000004").await;
    assert_eq!((status, &answer["phase"]), (200, &json!("aborted")));
    assert_eq!(stored(&cluster, terminal_key, "req-000004").unwrap()["phase"], "aborted");
    assert!(stored(&cluster, live_key, "req-000004").is_none());
    let (status, answer) = other.submit(job_after("req-000003", json!(["req-000002"]))).await;
    assert_eq!((status, &answer["phase"]), (200, &json!("aborted")));
    // What doesn't depend on it goes on.
    assert_eq!(other.job("req-000006").await.1["phase"], "queued");
}

#[tokio::test]
async fn new_job_with_a_cancelled_dependency_is_accepted_and_cancelled_with_it() {
    // Directly or through others.
    let cluster = FakeCluster::default();
    let [(_node, client), (_, other)] = without_leader(&cluster).await;
    submit_cancelled_chain(&client).await;
    for (id, depends_on) in [("req-000007", "req-000001"), ("req-000008", "req-000002")] {
        let (status, answer) = other.submit(job_after(id, json!([depends_on, "req-000005"]))).await;
        assert_eq!((status, &answer["phase"]), (201, &json!("aborted")));
        assert_eq!(client.job(id).await.1["phase"], "aborted");
    }
}

#[tokio::test]
async fn dependency_that_was_never_accepted_outweighs_one_that_is_cancelled() {
    let cluster = FakeCluster::default();
    let [(_node, client), (_, other)] = without_leader(&cluster).await;
    submit_cancelled_chain(&client).await;
    assert_eq!(other.submit(job_after("req-000009", json!(["req-000001", "req-999999"]))).await.0, 422);
}
