//! Handles workers' heartbeats: the leader decides on them, and other controllers relay them to the leader or
//! redirect the worker.
//!
//! `respond_to_worker` handles a heartbeat received from the worker itself, and `respond_to_batch` heartbeats that a
//! peer has relayed. Both use `decide`, which passes the heartbeats to the leader's scheduler.

use super::heartbeat_body::{HeartbeatBodyError, MAX_HEARTBEAT_BYTES};
use super::heartbeat_relay::{self, RelayOutcome};
use super::input_latency::InputKind;
use super::leader_loop;
use super::node::{Node, NodeState};
use crate::core::machine::HeartbeatRoute;
use crate::core::scheduler::{HeartbeatRejection, response_before_load};
use crate::core::task_slots::MAX_BODY_BYTES;
use crate::ids::MachineId;
use crate::peer::{HeartbeatBatch, HeartbeatDecision, HeartbeatDecisions, VERSION};
use crate::time::MonotonicTime;
use crate::wire::{Heartbeat, HeartbeatResponse};
use bytes::Bytes;
use prost::Message;
use serde_json::json;
use std::sync::Arc;

/// Maximum number of heartbeats of a batch that are processed in one step. Between steps, other tasks of this
/// process can run.
const MAX_HEARTBEATS_PER_STEP: usize = 256;

/// A reply to a worker's heartbeat. The variants' docs begin with the HTTP status.
enum HeartbeatReply {
    /// 200: the leader's response, which carries orders. Its fencing token, if any, renews the worker's lease.
    Accepted(HeartbeatResponse),
    /// 400: the body isn't a valid heartbeat.
    Malformed,
    /// 413: the body exceeds the maximum size.
    TooLarge,
    /// 421: the worker should send its heartbeats to another controller, which is named if one is known.
    Redirected(Option<String>),
    /// 503: the leader rejects the heartbeat and doesn't renew the worker's lease. Reasons are in
    /// [`HeartbeatRejection`].
    Rejected,
}

impl From<HeartbeatReply> for HeartbeatDecision {
    fn from(reply: HeartbeatReply) -> HeartbeatDecision {
        let (status, body) = match reply {
            HeartbeatReply::Accepted(response) => (200, encode_response(&response)),
            HeartbeatReply::Malformed => (400, json!({"error": "not a report"}).to_string().into()),
            HeartbeatReply::TooLarge => {
                (413, json!({"error": format!("report of over {MAX_HEARTBEAT_BYTES} bytes")}).to_string().into())
            }
            HeartbeatReply::Redirected(Some(name)) => (421, json!({ "steward": name }).to_string().into()),
            HeartbeatReply::Redirected(None) => (421, json!({}).to_string().into()),
            HeartbeatReply::Rejected => (503, json!({"error": "not answered"}).to_string().into()),
        };
        HeartbeatDecision { status, body: body.into() }
    }
}

impl From<Result<HeartbeatResponse, HeartbeatRejection>> for HeartbeatReply {
    fn from(response: Result<HeartbeatResponse, HeartbeatRejection>) -> HeartbeatReply {
        response.map_or(HeartbeatReply::Rejected, HeartbeatReply::Accepted)
    }
}

/// Encodes a response as JSON, with line breaks if it would be a line that is longer than the protocol permits.
fn encode_response(response: &HeartbeatResponse) -> Vec<u8> {
    let line = serde_json::to_vec(response).unwrap_or_default();
    if line.len() <= MAX_BODY_BYTES { line } else { serde_json::to_vec_pretty(response).unwrap_or_default() }
}

/// The error that this controller doesn't lead, or no longer leads, so that it can't decide on heartbeats.
#[derive(Debug)]
struct NotLeading;

/// Responds to a worker that has sent its heartbeat to this controller.
///
/// The leader decides on the heartbeat. Any other controller relays it and passes on the leader's decision, or
/// redirects the worker if that isn't possible.
pub async fn respond_to_worker(node: &Arc<Node>, body: &Bytes) -> HeartbeatDecision {
    let is_leading = {
        let now = node.now();
        node.lock().election.active_term(now).is_some()
    };
    if is_leading {
        return respond_without_relay(node, body);
    }
    match heartbeat_relay::forward(node, body.clone()).await {
        RelayOutcome::Decided(decision) => decision,
        RelayOutcome::Unanswered => HeartbeatReply::Redirected(node.lock().relay_routes.next_peer()).into(),
        RelayOutcome::Unavailable => respond_without_relay(node, body),
    }
}

/// Responds to a worker whose heartbeat can't be read.
pub(super) fn reject_body(node: &Node, error: &HeartbeatBodyError) -> HeartbeatDecision {
    match error {
        HeartbeatBodyError::TooLarge { .. } => {
            let now = node.now();
            if let Some(count) = node.lock().oversized_heartbeats.record(now) {
                log::warn!("{error} unlogged={}", count - 1);
            }
            HeartbeatReply::TooLarge.into()
        }
        HeartbeatBodyError::Unreadable => HeartbeatReply::Malformed.into(),
    }
}

/// Responds to a worker without relaying its heartbeat: decides on it if this controller leads, and redirects the
/// worker otherwise.
fn respond_without_relay(node: &Arc<Node>, body: &[u8]) -> HeartbeatDecision {
    let Ok(heartbeat) = serde_json::from_slice::<Heartbeat>(body) else { return HeartbeatReply::Malformed.into() };
    match decide(node, std::slice::from_ref(&heartbeat), None) {
        Ok(mut decisions) => decisions.pop().unwrap_or_else(|| HeartbeatReply::Rejected.into()),
        Err(NotLeading) => HeartbeatReply::Redirected(redirect_target(node, &heartbeat)).into(),
    }
}

/// Decides on heartbeats as the leader, and returns the decisions in the order of the heartbeats.
///
/// `relayed_by` is the name of the peer that relayed the heartbeats, or `None` if the workers sent them here.
///
/// # Errors
/// Returns [`NotLeading`] if this controller doesn't lead.
fn decide(
    node: &Arc<Node>,
    heartbeats: &[Heartbeat],
    relayed_by: Option<&str>,
) -> Result<Vec<HeartbeatDecision>, NotLeading> {
    let now = node.now();
    let redirects = {
        let mut state = node.lock();
        let term = state.election.active_term(now).ok_or(NotLeading)?;
        if state.scheduler.is_none() {
            let respond = |heartbeat| HeartbeatReply::Accepted(response_before_load(term, heartbeat)).into();
            return Ok(heartbeats.iter().map(respond).collect());
        }
        heartbeats.iter().map(|heartbeat| redirect_to_relay(&mut state, now, heartbeat, relayed_by)).collect::<Vec<_>>()
    };
    let route = heartbeat_route(node, relayed_by);
    let decisions = leader_loop::step(node, InputKind::Heartbeats, |scheduler| {
        let decide_one = |(heartbeat, redirect): (&Heartbeat, Option<String>)| match redirect {
            Some(peer) => HeartbeatReply::Redirected(Some(peer)).into(),
            None => HeartbeatReply::from(scheduler.on_heartbeat_via(now, heartbeat, route)).into(),
        };
        heartbeats.iter().zip(redirects).map(decide_one).collect()
    });
    decisions.ok_or(NotLeading)
}

/// Returns the route of heartbeats that the peer named `relayed_by` has relayed, or of heartbeats received from workers
/// directly if `relayed_by` is `None`.
fn heartbeat_route(node: &Node, relayed_by: Option<&str>) -> HeartbeatRoute {
    let index = relayed_by.and_then(|name| node.settings.peers.iter().position(|peer| peer.name == name));
    index.map_or(HeartbeatRoute::DIRECT, HeartbeatRoute::via_peer)
}

/// Redirects a worker to a peer that should relay its heartbeats from now on, and returns the peer's name. Returns
/// `None` if the worker isn't redirected.
fn redirect_to_relay(
    state: &mut NodeState,
    now: MonotonicTime,
    heartbeat: &Heartbeat,
    relayed_by: Option<&str>,
) -> Option<String> {
    // The preferred peer is determined first because there is none for most heartbeats: most workers already use the
    // right controller.
    let peer = state.heartbeat_balancer.preferred_relay(now, &heartbeat.zone, relayed_by)?.to_string();
    let id = MachineId::parse(&heartbeat.machine)?;
    if !state.scheduler.as_ref()?.may_redirect_worker(now, &id) {
        return None;
    }
    state.heartbeat_balancer.record_redirect(now);
    Some(peer)
}

/// Returns the name of the controller that a worker is redirected to if its heartbeat can be neither decided on nor
/// relayed here. Returns `None` if no suitable controller is known.
fn redirect_target(node: &Node, heartbeat: &Heartbeat) -> Option<String> {
    let now = node.now();
    let mut state = node.lock();
    if let Some(peer) = state.relay_routes.next_peer() {
        return Some(peer);
    }
    // While the key-value store doesn't serve this controller, the leader's name that was last read from it may be
    // outdated, and redirects to that controller could send workers in circles. Peers may know the current leader.
    let health = &state.store_health;
    let leader = if health.is_unavailable() { health.leader_reported_by_peers() } else { state.leader_name.as_ref() };
    // The leader suspects a machine when it gets no heartbeats from its worker, which probably can't reach the leader.
    let leader = if state.suspected_machines.contains(&heartbeat.machine) { None } else { leader.cloned() };
    state.redirected_workers.record(&heartbeat.machine, now, leader).filter(|name| *name != node.settings.name)
}

/// Decides on an encoded batch of heartbeats that a peer has relayed, and returns the encoded decisions. Returns
/// `None` if the batch can't be decoded or is of another protocol version.
pub async fn respond_to_batch(node: &Arc<Node>, body: &[u8]) -> Option<Vec<u8>> {
    let batch = HeartbeatBatch::decode(body).ok().filter(|batch| batch.version == VERSION)?;
    let (leading, decisions) = match decide_in_steps(node, &batch).await {
        Ok(decisions) => (true, decisions),
        Err(NotLeading) => (false, Vec::new()),
    };
    Some(HeartbeatDecisions { version: VERSION, leading, decisions }.encode_to_vec())
}

/// Decides on all heartbeats of a batch, at most [`MAX_HEARTBEATS_PER_STEP`] in each step.
///
/// # Errors
/// Returns [`NotLeading`] if this controller doesn't lead, or loses its leadership between two steps.
async fn decide_in_steps(node: &Arc<Node>, batch: &HeartbeatBatch) -> Result<Vec<HeartbeatDecision>, NotLeading> {
    // The sender of an empty batch asks whether this controller leads, so the first step is also made without any
    // heartbeats.
    let (first, rest) = batch.heartbeats.split_at(batch.heartbeats.len().min(MAX_HEARTBEATS_PER_STEP));
    let mut decisions = decide_encoded(node, first, &batch.from)?;
    for heartbeats in rest.chunks(MAX_HEARTBEATS_PER_STEP) {
        tokio::task::yield_now().await;
        decisions.extend(decide_encoded(node, heartbeats, &batch.from)?);
    }
    Ok(decisions)
}

/// Parses JSON-encoded heartbeats and decides on them in one step. Those that can't be parsed are reported as
/// malformed.
///
/// # Errors
/// Returns [`NotLeading`] if this controller doesn't lead.
fn decide_encoded(
    node: &Arc<Node>,
    heartbeats: &[Bytes],
    relayed_by: &str,
) -> Result<Vec<HeartbeatDecision>, NotLeading> {
    let mut parsed = Vec::new();
    let mut is_valid = Vec::new();
    for heartbeat in heartbeats {
        let heartbeat = serde_json::from_slice::<Heartbeat>(heartbeat);
        is_valid.push(heartbeat.is_ok());
        parsed.extend(heartbeat);
    }
    let mut decisions = decide(node, &parsed, Some(relayed_by))?.into_iter();
    let decision = |is_valid| match is_valid {
        true => decisions.next().unwrap_or_else(|| HeartbeatReply::Rejected.into()),
        false => HeartbeatReply::Malformed.into(),
    };
    Ok(is_valid.into_iter().map(decision).collect())
}

#[cfg(test)]
mod tests;
