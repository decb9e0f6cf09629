//! Workers' heartbeats: the leader decides on them, other controllers relay them or redirect the worker.
//!
//! A heartbeat that comes from the worker itself passes `respond_to_worker`, one that a peer has relayed
//! `answer_batch`. Both end in `decide`, which gives it to the leader's scheduler.

use super::heartbeat_relay::{self, RelayOutcome};
use super::input_latency::InputKind;
use super::leader_loop;
use super::node::{Node, NodeState};
use crate::core::machine::HeartbeatRoute;
use crate::core::scheduler::{HeartbeatRejection, response_before_load};
use crate::ids::MachineId;
use crate::peer::{HeartbeatBatch, HeartbeatDecision, HeartbeatDecisions, VERSION};
use crate::time::MonotonicTime;
use crate::wire::{Heartbeat, HeartbeatResponse};
use bytes::Bytes;
use prost::Message;
use serde_json::json;
use std::sync::Arc;

/// Heartbeats of a batch that are decided on in one step. Between steps other tasks of this process run.
const MAX_HEARTBEATS_PER_STEP: usize = 256;

/// What is said to a worker about its heartbeat.
enum HeartbeatReply {
    /// 200: the leader's answer, with orders; it extends the worker's lease.
    Answered(HeartbeatResponse),
    /// 400: the body isn't a heartbeat.
    Malformed,
    /// 421: the controller to heartbeat to, if one is known.
    Redirected(Option<String>),
    /// 503: the leader leaves it unanswered, as a copy or one of a machine whose lease is to run out.
    Unanswered,
}

impl From<HeartbeatReply> for HeartbeatDecision {
    fn from(reply: HeartbeatReply) -> HeartbeatDecision {
        let (status, body) = match reply {
            HeartbeatReply::Answered(response) => (200, serde_json::to_vec(&response).unwrap_or_default()),
            HeartbeatReply::Malformed => (400, json!({"error": "not a report"}).to_string().into()),
            HeartbeatReply::Redirected(Some(name)) => (421, json!({ "steward": name }).to_string().into()),
            HeartbeatReply::Redirected(None) => (421, json!({}).to_string().into()),
            HeartbeatReply::Unanswered => (503, json!({"error": "not answered"}).to_string().into()),
        };
        HeartbeatDecision { status, body: body.into() }
    }
}

impl From<Result<HeartbeatResponse, HeartbeatRejection>> for HeartbeatReply {
    fn from(response: Result<HeartbeatResponse, HeartbeatRejection>) -> HeartbeatReply {
        response.map_or(HeartbeatReply::Unanswered, HeartbeatReply::Answered)
    }
}

/// This controller doesn't lead, or not any more, so it decides on no heartbeat.
#[derive(Debug)]
struct NotLeading;

/// Answers a worker that has sent its heartbeat to this controller: as the leader, with the leader's decision,
/// or with the name of another controller.
pub async fn respond_to_worker(node: &Arc<Node>, body: &Bytes) -> HeartbeatDecision {
    let is_leading = {
        let now = node.now();
        node.lock().election.active_term(now).is_some()
    };
    if is_leading {
        return answer_directly(node, body);
    }
    match heartbeat_relay::forward(node, body.clone()).await {
        RelayOutcome::Decided(decision) => decision,
        RelayOutcome::Unanswered => HeartbeatReply::Redirected(node.lock().relay_routes.take_turn()).into(),
        RelayOutcome::Unavailable => answer_directly(node, body),
    }
}

/// Answers a worker without a relay: as the leader, or by redirecting it.
fn answer_directly(node: &Arc<Node>, body: &[u8]) -> HeartbeatDecision {
    let Ok(heartbeat) = serde_json::from_slice::<Heartbeat>(body) else { return HeartbeatReply::Malformed.into() };
    match decide(node, std::slice::from_ref(&heartbeat), None) {
        Ok(mut decisions) => decisions.pop().unwrap_or_else(|| HeartbeatReply::Unanswered.into()),
        Err(NotLeading) => HeartbeatReply::Redirected(redirect_target(node, &heartbeat)).into(),
    }
}

/// The leader's decisions on heartbeats that arrived together, in their order. `relayed_by` names the peer that
/// has relayed them; `None`: they came from the workers themselves.
fn decide(
    node: &Arc<Node>,
    heartbeats: &[Heartbeat],
    relayed_by: Option<&str>,
) -> Result<Vec<HeartbeatDecision>, NotLeading> {
    let now = node.now();
    let moves = {
        let mut inner = node.lock();
        let term = inner.election.active_term(now).ok_or(NotLeading)?;
        if inner.scheduler.is_none() {
            let answer = |heartbeat| HeartbeatReply::Answered(response_before_load(term, heartbeat)).into();
            return Ok(heartbeats.iter().map(answer).collect());
        }
        heartbeats.iter().map(|heartbeat| move_worker(&mut inner, now, heartbeat, relayed_by)).collect::<Vec<_>>()
    };
    let route = heartbeat_route(node, relayed_by);
    let decisions = leader_loop::step(node, InputKind::Heartbeats, |scheduler| {
        let decide_one = |(heartbeat, moved_to): (&Heartbeat, Option<String>)| match moved_to {
            Some(peer) => HeartbeatReply::Redirected(Some(peer)).into(),
            None => HeartbeatReply::from(scheduler.on_heartbeat_via(now, heartbeat, route)).into(),
        };
        heartbeats.iter().zip(moves).map(decide_one).collect()
    });
    decisions.ok_or(NotLeading)
}

/// The way that heartbeats have taken, by the peer that relayed them.
fn heartbeat_route(node: &Node, relayed_by: Option<&str>) -> HeartbeatRoute {
    let index = relayed_by.and_then(|name| node.settings.peers.iter().position(|peer| peer.name == name));
    index.map_or(HeartbeatRoute::DIRECT, HeartbeatRoute::via_peer)
}

/// Moves a worker to a better controller, whose name is returned; `None`: it stays where it is.
fn move_worker(
    inner: &mut NodeState,
    now: MonotonicTime,
    heartbeat: &Heartbeat,
    relayed_by: Option<&str>,
) -> Option<String> {
    // First, as most workers are where they should be.
    let peer = inner.heartbeat_balancer.better_peer(now, &heartbeat.zone, relayed_by)?.to_string();
    let id = MachineId::parse(&heartbeat.machine)?;
    if !inner.scheduler.as_ref()?.may_redirect_worker(now, &id) {
        return None;
    }
    inner.heartbeat_balancer.moved(now);
    Some(peer)
}

/// The controller to redirect a worker to that can't be answered here, if one is known.
fn redirect_target(node: &Node, heartbeat: &Heartbeat) -> Option<String> {
    let now = node.now();
    let mut inner = node.lock();
    if let Some(peer) = inner.relay_routes.take_turn() {
        return Some(peer);
    }
    // A name that was read before the key-value store failed may send workers round in circles; peers may know
    // a newer one.
    let health = &inner.store_health;
    let leader = if health.is_unavailable() { health.leader_reported_by_peers() } else { inner.leader_name.as_ref() };
    // A worker that the leader doesn't hear would wait there in vain.
    let leader = if inner.suspected_machines.contains(&heartbeat.machine) { None } else { leader.cloned() };
    inner.redirected_workers.record(&heartbeat.machine, now, leader).filter(|name| *name != node.settings.name)
}

/// Decides on heartbeats that a peer has relayed, and encodes the decisions; `None`: the message can't be read
/// or is of another version.
pub async fn answer_batch(node: &Arc<Node>, body: &[u8]) -> Option<Vec<u8>> {
    let batch = HeartbeatBatch::decode(body).ok().filter(|batch| batch.version == VERSION)?;
    let (leading, decisions) = match decide_in_steps(node, &batch).await {
        Ok(decisions) => (true, decisions),
        Err(NotLeading) => (false, Vec::new()),
    };
    Some(HeartbeatDecisions { version: VERSION, leading, decisions }.encode_to_vec())
}

/// Decides on all heartbeats of a batch, some in each step.
async fn decide_in_steps(node: &Arc<Node>, batch: &HeartbeatBatch) -> Result<Vec<HeartbeatDecision>, NotLeading> {
    // An empty batch asks whether this controller leads, so the first step is made without heartbeats too.
    let (first, rest) = batch.heartbeats.split_at(batch.heartbeats.len().min(MAX_HEARTBEATS_PER_STEP));
    let mut decisions = decide_encoded(node, first, &batch.from)?;
    for heartbeats in rest.chunks(MAX_HEARTBEATS_PER_STEP) {
        tokio::task::yield_now().await;
        decisions.extend(decide_encoded(node, heartbeats, &batch.from)?);
    }
    Ok(decisions)
}

/// Decides on some heartbeats of a batch, of which some may not be readable.
fn decide_encoded(
    node: &Arc<Node>,
    heartbeats: &[Bytes],
    relayed_by: &str,
) -> Result<Vec<HeartbeatDecision>, NotLeading> {
    let mut readable = Vec::new();
    let mut is_readable = Vec::new();
    for heartbeat in heartbeats {
        let heartbeat = serde_json::from_slice::<Heartbeat>(heartbeat);
        is_readable.push(heartbeat.is_ok());
        readable.extend(heartbeat);
    }
    let mut decisions = decide(node, &readable, Some(relayed_by))?.into_iter();
    let decision = |is_readable| match is_readable {
        true => decisions.next().unwrap_or_else(|| HeartbeatReply::Unanswered.into()),
        false => HeartbeatReply::Malformed.into(),
    };
    Ok(is_readable.into_iter().map(decision).collect())
}

#[cfg(test)]
mod tests;
