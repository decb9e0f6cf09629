//! Tests of a leader whose lease has expired, and of heartbeat batches that are processed in several steps.

use super::*;
use crate::core::election::LeaderRecord;
use crate::core::records::{JobOutcome, LiveRecord};
use crate::core::scheduler::{Scheduler, TICK_INTERVAL};
use crate::core::submissions::{ParsedSubmission, Submission, parse_submission};
use crate::ids::JobId;
use crate::net::heartbeats;
use crate::net::input_latency::InputKind;
use crate::peer::{HeartbeatBatch, HeartbeatDecisions, VERSION};
use crate::time::WallTime;
use prost::Message;

/// Returns the scheduler of a leader in a planning round, part of which a peer plans.
async fn leader_in_planning_round(node: &Arc<Node>) -> Scheduler {
    let types = node.cloud.machine_types(&node.http, node.now()).await.expect("the fake cloud lists its machine types");
    let record = LeaderRecord { node: node.settings.name.clone(), incarnation: 1, lease: LeaseId(7) };
    let mut leader = Scheduler::new(node.settings.clone(), Tuning::default(), types, Term(5), record, MonotonicTime(0));
    let ParsedSubmission { id, submission } =
        parse_submission(job("req-000001", 1).to_string().as_bytes()).expect("the id is readable");
    let Ok(Submission { spec, .. }) = submission else { panic!("the submission was refused") };
    let live = json!(LiveRecord { submitted_at: WallTime(0), spec, depends_on: Vec::new() });
    leader.on_job_accepted(&id, &live, Revision(1));
    node.settings.peers.iter().for_each(|peer| leader.mark_peer_responsive(MonotonicTime(0), &peer.name));
    leader.tick(MonotonicTime(0) + TICK_INTERVAL.mul_f64(40.0), WallTime(2_000));
    leader
}

#[tokio::test]
async fn leader_with_expired_lease_abandons_the_round_and_refuses_users() {
    let cluster = FakeCluster::default();
    let (node, client) = start_with_unreachable_peers(&cluster).await;
    let leader = leader_in_planning_round(&node).await;
    assert!(leader.has_open_round());
    node.lock().scheduler = Some(leader);
    // The controller holds no lease: the step isn't executed, and no effects of the round are carried out.
    let answer = leader_loop::step(&node, InputKind::Tick, |leader| {
        leader.on_job_terminated(&JobId::parse("req-000001").unwrap(), JobOutcome::Unknown)
    });
    assert!(answer.is_none());
    assert!(node.lock().scheduler.as_ref().is_some_and(|leader| !leader.has_open_round()));
    cluster.lock().store.refuses_all = true;
    assert_eq!(client.job("req-000001").await.0, 503);
}

#[tokio::test]
async fn large_heartbeat_batch_is_answered_completely_and_in_order() {
    let cluster = FakeCluster::default();
    let (node, _client) = start_without_peers(&cluster).await;
    let heartbeat = cluster.heartbeat().to_string();
    let malformed = |n: usize| n.is_multiple_of(97);
    let body = |n: usize| if malformed(n) { "{}".to_string() } else { heartbeat.clone() };
    let heartbeats = (0..600).map(|n| body(n).into()).collect();
    let batch = HeartbeatBatch { version: VERSION, heartbeats, from: "plinth-1".into() }.encode_to_vec();
    let send_batch = async || {
        let answer = heartbeats::respond_to_batch(&node, &batch).await.expect("the batch is valid");
        HeartbeatDecisions::decode(answer.as_slice()).expect("the response can be decoded")
    };
    let answer = send_batch().await;
    assert!(!answer.leading && answer.decisions.is_empty(), "this controller doesn't lead");
    node.lock().election.elected(Term(5), LeaseId(7), node.now());
    let answer = send_batch().await;
    assert!(answer.leading);
    let statuses: Vec<u32> = answer.decisions.iter().map(|decision| decision.status).collect();
    let expected: Vec<u32> = (0..600).map(|n| if malformed(n) { 400 } else { 200 }).collect();
    assert_eq!(statuses, expected);
}

/// A heartbeat that listed too many tasks was handled as an empty one, so that the machine was terminated.
#[tokio::test]
async fn heartbeat_over_the_protocols_size_is_decided_on_and_one_over_the_maximum_gets_a_clear_answer() {
    let cluster = FakeCluster::default();
    let (node, client) = start_without_peers(&cluster).await;
    node.lock().election.elected(Term(5), LeaseId(7), node.now());
    let with_tasks = |tasks: usize| {
        let mut heartbeat = cluster.heartbeat();
        let status = |index| json!({"lot": format!("req-000001/{index}"), "try": 1_u64 << 60, "phase": "running"});
        heartbeat["lots"] = (0..tasks).map(status).collect();
        heartbeat
    };
    let (status, _) = client.post("/v1/report", with_tasks(8_000)).await;
    assert_eq!(status, 200, "the leader decides on it");
    let (status, body) = client.post("/v1/report", with_tasks(20_000)).await;
    assert_eq!((status, body), (413, json!({"error": "report of over 1048576 bytes"})));
}
