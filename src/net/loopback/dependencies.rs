//! Tests of the responses to users about jobs that depend on others, while no controller leads.

use super::*;
use crate::core::records::{TerminalRecord, live_key, terminal_key};
use crate::ids::JobId;
use crate::time::WallTime;

fn job_depending_on(id: &str, depends_on: Value) -> Value {
    let mut job = job(id, 1);
    job["awaits"] = depends_on;
    job
}

/// Starts two controllers that know the machine types and don't take part in leader elections.
async fn start_pair_without_leader(cluster: &FakeCluster) -> [(Arc<Node>, Client); 2] {
    let pair = start_pair(cluster).await;
    for (node, _) in &pair {
        let types =
            node.cloud.machine_types(&node.http, node.now()).await.expect("the fake cloud lists its machine types");
        node.lock().machine_types = Some(types);
    }
    pair
}

/// Returns the value of a job's record in the fake store, or `None` if there is none. `key` forms the record's key.
fn stored(cluster: &FakeCluster, key: fn(&JobId) -> String, id: &str) -> Option<Value> {
    let key = key(&JobId::parse(id).unwrap());
    cluster.lock().store.entries.get(&key).map(|(value, _)| value.clone())
}

/// Creates three jobs that others can depend on: a live one, a service, and one that is done.
async fn submit_jobs_to_depend_on(cluster: &FakeCluster, client: &Client) {
    assert_eq!(client.submit(job("req-000001", 1)).await.0, 201);
    let mut service = job("req-000002", 1);
    service["shape"] = json!("service");
    assert_eq!(client.submit(service).await.0, 201);
    let done = TerminalRecord::done(1, WallTime(5));
    cluster.lock().store.put("over/req-000003", json!(done), 1);
}

/// Submits jobs 1 to 4, of which 2 to 4 each depend on the one before, and jobs 5 and 6, of which 6 depends on 5. Then
/// cancels job 1.
async fn submit_cancelled_chain(client: &Client) {
    assert_eq!(client.submit(job("req-000001", 1)).await.0, 201);
    for (id, depends_on) in [("req-000002", "req-000001"), ("req-000003", "req-000002"), ("req-000004", "req-000003")] {
        assert_eq!(client.submit(job_depending_on(id, json!([depends_on]))).await.0, 201);
    }
    assert_eq!(client.submit(job("req-000005", 1)).await.0, 201);
    assert_eq!(client.submit(job_depending_on("req-000006", json!(["req-000005"]))).await.0, 201);
    assert_eq!(client.cancel("req-000001").await.1["phase"], "aborted");
}

#[tokio::test]
async fn submission_is_refused_if_a_dependency_can_never_be_done() {
    let cluster = FakeCluster::default();
    let [(_node, client), _other] = start_pair_without_leader(&cluster).await;
    submit_jobs_to_depend_on(&cluster, &client).await;
    let submit = async |depends_on: Value| client.submit(job_depending_on("req-000010", depends_on)).await;
    assert_eq!(submit(json!(["req-000001", "req-999999"])).await.0, 422);
    assert_eq!(submit(json!(["req-000010"])).await.0, 422, "depends on itself");
    assert_eq!(submit(json!(["req-000002"])).await.0, 422, "depends on a service");
    assert_eq!(submit(json!([17])).await.0, 400);
    let many: Vec<String> = (0..1_000).map(|n| format!("req-{n:06}")).collect();
    assert_eq!(submit(json!(many)).await.0, 422, "more dependencies than a record can hold");
    assert_eq!(client.job("req-000010").await.0, 404);
}

#[tokio::test]
async fn record_keeps_only_the_dependencies_that_are_not_done() {
    let cluster = FakeCluster::default();
    let [(_node, client), _other] = start_pair_without_leader(&cluster).await;
    submit_jobs_to_depend_on(&cluster, &client).await;
    assert_eq!(
        client.submit(job_depending_on("req-000011", json!(["req-000003"]))).await,
        (201, json!({"id": "req-000011", "phase": "queued"}))
    );
    assert!(stored(&cluster, live_key, "req-000011").unwrap()["spec"].is_object());
    // The record of a job that waits for its dependencies has another format than that of a job without dependencies.
    assert_eq!(client.submit(job_depending_on("req-000012", json!(["req-000001", "req-000003"]))).await.0, 201);
    let record = stored(&cluster, live_key, "req-000012").unwrap();
    assert_eq!(record["waiting"]["awaits"], json!(["req-000001"]));
}

#[tokio::test]
async fn repeated_submission_is_answered_by_any_controller_whatever_it_depends_on() {
    let cluster = FakeCluster::default();
    let [(_node, client), (_, other)] = start_pair_without_leader(&cluster).await;
    submit_jobs_to_depend_on(&cluster, &client).await;
    assert_eq!(client.submit(job_depending_on("req-000012", json!(["req-000001", "req-000003"]))).await.0, 201);
    for depends_on in ["req-000001", "req-999999"] {
        let (status, answer) = other.submit(job_depending_on("req-000012", json!([depends_on]))).await;
        assert_eq!((status, &answer["phase"]), (200, &json!("queued")));
    }
}

#[tokio::test]
async fn submission_is_refused_while_its_dependencies_cannot_be_looked_up() {
    let cluster = FakeCluster::default();
    let [(_node, client), _other] = start_pair_without_leader(&cluster).await;
    submit_jobs_to_depend_on(&cluster, &client).await;
    cluster.lock().store.refuses_all = true;
    let (status, _) = client.submit(job_depending_on("req-000013", json!(["req-000001"]))).await;
    assert_eq!(status, 503);
}

#[tokio::test]
async fn controller_without_a_leader_cancels_dependents_that_users_ask_about() {
    let cluster = FakeCluster::default();
    let [(_node, client), (_, other)] = start_pair_without_leader(&cluster).await;
    submit_cancelled_chain(&client).await;
    let (status, answer) = other.job("req-000004").await;
    assert_eq!((status, &answer["phase"]), (200, &json!("aborted")));
    assert_eq!(stored(&cluster, terminal_key, "req-000004").unwrap()["phase"], "aborted");
    assert!(stored(&cluster, live_key, "req-000004").is_none());
    let (status, answer) = other.submit(job_depending_on("req-000003", json!(["req-000002"]))).await;
    assert_eq!((status, &answer["phase"]), (200, &json!("aborted")));
    // A job that doesn't depend on the cancelled one is unaffected.
    assert_eq!(other.job("req-000006").await.1["phase"], "queued");
}

#[tokio::test]
async fn new_job_with_a_cancelled_dependency_is_accepted_and_cancelled_with_it() {
    // The cancelled job is a direct dependency of job 7 and an indirect one of job 8.
    let cluster = FakeCluster::default();
    let [(_node, client), (_, other)] = start_pair_without_leader(&cluster).await;
    submit_cancelled_chain(&client).await;
    for (id, depends_on) in [("req-000007", "req-000001"), ("req-000008", "req-000002")] {
        let (status, answer) = other.submit(job_depending_on(id, json!([depends_on, "req-000005"]))).await;
        assert_eq!((status, &answer["phase"]), (201, &json!("aborted")));
        assert_eq!(client.job(id).await.1["phase"], "aborted");
    }
}

#[tokio::test]
async fn submission_is_refused_for_an_unknown_dependency_even_if_another_one_is_cancelled() {
    let cluster = FakeCluster::default();
    let [(_node, client), (_, other)] = start_pair_without_leader(&cluster).await;
    submit_cancelled_chain(&client).await;
    assert_eq!(other.submit(job_depending_on("req-000009", json!(["req-000001", "req-999999"]))).await.0, 422);
}
