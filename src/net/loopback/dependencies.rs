//! What users are told of jobs that await others, while no controller leads.

use super::*;
use crate::core::records::{TerminalRecord, live_key, terminal_key};
use crate::ids::JobId;
use crate::time::WallTime;

fn after(id: &str, depends_on: Value) -> Value {
    let mut job = job(id, 1);
    job["awaits"] = depends_on;
    job
}

/// Two controllers that know the machine types; neither runs for leader.
async fn without_leader(world: &Arc<Mutex<World>>) -> [(Arc<Node>, Client); 2] {
    let pair = pair(world);
    tokio::time::sleep(Millis(200).to_std()).await;
    for (node, _) in &pair {
        let types = node.cloud.types(&node.http, node.now()).await.expect("the stand-in names its types");
        node.lock().types = Some(types);
    }
    pair
}

fn stored(world: &Arc<Mutex<World>>, key: fn(&JobId) -> String, id: &str) -> Option<Value> {
    let key = key(&JobId::parse(id).unwrap());
    world.lock().unwrap().store.get(&key).map(|(value, _)| value.clone())
}

#[tokio::test]
async fn only_jobs_that_were_accepted_and_can_be_done_are_awaited() {
    let world = Arc::new(Mutex::new(World::default()));
    let [(_, client), (_, other)] = without_leader(&world).await;
    let submit = async |job: Value| client.post("/api/jobs", job).await;
    assert_eq!(submit(job("req-000001", 1)).await.0, 201);
    let mut service = job("req-000002", 1);
    service["shape"] = json!("service");
    assert_eq!(submit(service).await.0, 201);
    let done = TerminalRecord::done(1, WallTime(5));
    world.lock().unwrap().store.insert("over/req-000003".into(), (json!(done), 1));

    assert_eq!(submit(after("req-000010", json!(["req-000001", "req-999999"]))).await.0, 422);
    assert_eq!(submit(after("req-000010", json!(["req-000010"]))).await.0, 422, "itself");
    assert_eq!(submit(after("req-000010", json!(["req-000002"]))).await.0, 422, "a service");
    assert_eq!(submit(after("req-000010", json!([17]))).await.0, 400);
    let many: Vec<String> = (0..1_000).map(|n| format!("req-{n:06}")).collect();
    assert_eq!(submit(after("req-000010", json!(many))).await.0, 422, "more than can be kept");
    assert_eq!(client.get("/api/jobs/req-000010").await.0, 404);

    // What is done already needs no keeping; what isn't is kept in a form of its own.
    assert_eq!(
        submit(after("req-000011", json!(["req-000003"]))).await,
        (201, json!({"id": "req-000011", "phase": "queued"}))
    );
    assert!(stored(&world, live_key, "req-000011").unwrap()["spec"].is_object());
    assert_eq!(submit(after("req-000012", json!(["req-000001", "req-000003"]))).await.0, 201);
    let record = stored(&world, live_key, "req-000012").unwrap();
    assert_eq!(record["waiting"]["awaits"], json!(["req-000001"]));
    // A repetition is answered anywhere, also one that names what doesn't exist.
    for repeated in [after("req-000012", json!(["req-000001"])), after("req-000012", json!(["req-999999"]))] {
        let (status, answer) = other.post("/api/jobs", repeated).await;
        assert_eq!((status, &answer["phase"]), (200, &json!("queued")));
    }
    // What can't be looked up can't be judged.
    world.lock().unwrap().down = true;
    let (status, _) = submit(after("req-000013", json!(["req-000001"]))).await;
    assert_eq!(status, 503);
}

#[tokio::test]
async fn no_controller_calls_a_job_live_whose_pipeline_is_cancelled() {
    let world = Arc::new(Mutex::new(World::default()));
    let [(_, client), (_, other)] = without_leader(&world).await;
    assert_eq!(client.post("/api/jobs", job("req-000001", 1)).await.0, 201);
    for (id, depends_on) in [("req-000002", "req-000001"), ("req-000003", "req-000002"), ("req-000004", "req-000003")] {
        assert_eq!(client.post("/api/jobs", after(id, json!([depends_on]))).await.0, 201);
    }
    assert_eq!(client.post("/api/jobs", job("req-000005", 1)).await.0, 201);
    assert_eq!(client.post("/api/jobs", after("req-000006", json!(["req-000005"]))).await.0, 201);
    assert_eq!(client.post("/api/jobs/req-000001/withdraw", json!({})).await.1["phase"], "aborted");

    // No leader cancels the jobs after it, so the controllers do as they are asked.
    let (status, answer) = other.get("/api/jobs/req-000004").await;
    assert_eq!((status, &answer["phase"]), (200, &json!("aborted")));
    assert_eq!(stored(&world, terminal_key, "req-000004").unwrap()["phase"], "aborted");
    assert!(stored(&world, live_key, "req-000004").is_none());
    let (status, answer) = other.post("/api/jobs", after("req-000003", json!(["req-000002"]))).await;
    assert_eq!((status, &answer["phase"]), (200, &json!("aborted")));
    // New jobs that need it, directly or through others, are accepted, and cancelled with it.
    for (id, depends_on) in [("req-000007", "req-000001"), ("req-000008", "req-000002")] {
        let (status, answer) = other.post("/api/jobs", after(id, json!([depends_on, "req-000005"]))).await;
        assert_eq!((status, &answer["phase"]), (201, &json!("aborted")));
        assert_eq!(client.get(&format!("/api/jobs/{id}")).await.1["phase"], "aborted");
    }
    // One that was never accepted outweighs one that is cancelled.
    assert_eq!(other.post("/api/jobs", after("req-000009", json!(["req-000001", "req-999999"]))).await.0, 422);
    // What doesn't need it goes on.
    assert_eq!(other.get("/api/jobs/req-000006").await.1["phase"], "queued");
}
