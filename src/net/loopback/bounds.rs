//! What happens past the bound of a leader's lease, and how long one message may hold everything else.

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

/// A leader in the middle of a round that a peer plans for.
async fn leader_in_a_round(node: &Arc<Node>) -> Scheduler {
    let types = node.cloud.types(&node.http, node.now()).await.expect("the fake cloud names its types");
    let record = LeaderRecord { node: node.settings.name.clone(), incarnation: 1, lease: LeaseId(7) };
    let mut leader = Scheduler::new(node.settings.clone(), Tuning::default(), types, Term(5), record, MonotonicTime(0));
    let ParsedSubmission { id, submission } =
        parse_submission(job("req-000001", 1).to_string().as_bytes()).expect("the id is readable");
    let Ok(Submission { spec, .. }) = submission else { panic!("the job is possible") };
    let live = json!(LiveRecord { submitted_at: WallTime(0), spec, depends_on: Vec::new() });
    leader.on_job_accepted(&id, &live, Revision(1));
    node.settings.peers.iter().for_each(|peer| leader.mark_peer_responsive(MonotonicTime(0), &peer.name));
    leader.tick(MonotonicTime(0) + TICK_INTERVAL.mul_f64(40.0), WallTime(2_000));
    leader
}

#[tokio::test]
async fn leader_past_its_bound_abandons_the_round_and_refuses_users() {
    let cluster = FakeCluster::default();
    let (node, client) = start_cut_off(&cluster).await;
    let leader = leader_in_a_round(&node).await;
    assert!(leader.has_open_round());
    node.lock().scheduler = Some(leader);
    // Not elected, or not any more: the step is not given, and nothing of the round goes out.
    let answer = leader_loop::step(&node, InputKind::Tick, |leader| {
        leader.on_job_terminated(&JobId::parse("req-000001").unwrap(), JobOutcome::Unknown)
    });
    assert!(answer.is_none());
    assert!(node.lock().scheduler.as_ref().is_some_and(|leader| !leader.has_open_round()));
    cluster.lock().store.refuses_all = true;
    assert_eq!(client.job("req-000001").await.0, 503);
}

#[tokio::test]
async fn large_heartbeat_batch_is_answered_whole_and_in_order() {
    let cluster = FakeCluster::default();
    let (node, _client) = start_alone(&cluster).await;
    let heartbeat = cluster.heartbeat().to_string();
    let malformed = |n: usize| n.is_multiple_of(97);
    let body = |n: usize| if malformed(n) { "{}".to_string() } else { heartbeat.clone() };
    let heartbeats = (0..600).map(|n| body(n).into()).collect();
    let batch = HeartbeatBatch { version: VERSION, heartbeats, from: "plinth-1".into() }.encode_to_vec();
    let ask = async || {
        let answer = heartbeats::answer_batch(&node, &batch).await.expect("it can be read");
        HeartbeatDecisions::decode(answer.as_slice()).expect("it is a message")
    };
    let answer = ask().await;
    assert!(!answer.leading && answer.decisions.is_empty(), "nobody leads here");
    node.lock().election.elected(Term(5), LeaseId(7), node.now());
    let answer = ask().await;
    assert!(answer.leading);
    let statuses: Vec<u32> = answer.decisions.iter().map(|decision| decision.status).collect();
    let expected: Vec<u32> = (0..600).map(|n| if malformed(n) { 400 } else { 200 }).collect();
    assert_eq!(statuses, expected);
}
