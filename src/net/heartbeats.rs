//! Workers' heartbeats: the leader decides on them, other controllers pass them on or name the leader.

use super::heartbeat_relay::{self, RelayOutcome};
use super::input_latency::InputKind;
use super::leader_loop;
use super::node::{Node, NodeState};
use crate::core::machine::HeartbeatRoute;
use crate::core::scheduler::response_before_load;
use crate::ids::MachineId;
use crate::peer::{HeartbeatBatch, HeartbeatDecision, HeartbeatDecisions, VERSION};
use crate::time::MonotonicTime;
use crate::wire::{Heartbeat, HeartbeatResponse};
use bytes::Bytes;
use prost::Message;
use serde_json::json;
use std::sync::Arc;

/// Heartbeats of a batch that are decided on in one step; what else there is to do has its turn in between.
const HEARTBEATS_PER_STEP: usize = 256;

fn decision(status: u32, body: impl Into<Bytes>) -> HeartbeatDecision {
    HeartbeatDecision { status, body: body.into() }
}

fn malformed() -> HeartbeatDecision {
    decision(400, json!({"error": "not a report"}).to_string())
}

/// Names the controller that the worker should report to, if one is known.
fn redirect(to: Option<&str>) -> HeartbeatDecision {
    let body = to.map_or(json!({}), |name| json!({ "steward": name }));
    decision(421, body.to_string())
}

fn decided(answer: Option<HeartbeatResponse>) -> HeartbeatDecision {
    match answer {
        Some(answer) => decision(200, serde_json::to_vec(&answer).unwrap_or_default()),
        None => decision(503, json!({"error": "not answered"}).to_string()),
    }
}

/// Answers a worker that has reported to this controller.
pub async fn respond_to_worker(node: &Arc<Node>, body: &Bytes) -> HeartbeatDecision {
    let active_term = {
        let now = node.now();
        node.lock().election.active_term(now).is_some()
    };
    if active_term {
        return answer_directly(node, body);
    }
    match heartbeat_relay::forward(node, body.clone()).await {
        RelayOutcome::Decided(decision) => decision,
        RelayOutcome::Unanswered => redirect(node.lock().relay_routes.take_turn().as_deref()),
        RelayOutcome::Unavailable => answer_directly(node, body),
    }
}

fn answer_directly(node: &Arc<Node>, body: &[u8]) -> HeartbeatDecision {
    let Ok(heartbeat) = serde_json::from_slice::<Heartbeat>(body) else { return malformed() };
    match decide(node, std::slice::from_ref(&heartbeat), None) {
        Some(mut decisions) => decisions.pop().unwrap_or_else(|| decided(None)),
        None => redirect(known_leader(node, &heartbeat).as_deref()),
    }
}

/// The leader's decisions on heartbeats that arrived together, passed on by a peer or not; none: this
/// controller does not lead.
fn decide(node: &Arc<Node>, heartbeats: &[Heartbeat], by: Option<&str>) -> Option<Vec<HeartbeatDecision>> {
    let now = node.now();
    let moves = {
        let mut inner = node.lock();
        let term = inner.election.active_term(now)?;
        if inner.scheduler.is_none() {
            return Some(heartbeats.iter().map(|r| decided(Some(response_before_load(term, r)))).collect());
        }
        heartbeats.iter().map(|r| inner.moved_to(now, r, by)).collect::<Vec<_>>()
    };
    let route = route(node, by);
    leader_loop::step(node, InputKind::Heartbeats, |leader| {
        let decide_one = |(heartbeat, moved): (&Heartbeat, Option<String>)| match moved {
            Some(peer) => redirect(Some(&peer)),
            None => decided(leader.on_heartbeat_via(now, heartbeat, route).ok()),
        };
        heartbeats.iter().zip(moves).map(decide_one).collect()
    })
}

/// The way that heartbeats take which a peer passes on.
fn route(node: &Node, by: Option<&str>) -> HeartbeatRoute {
    let index = by.and_then(|name| node.settings.peers.iter().position(|peer| peer.name == name));
    index.map_or(HeartbeatRoute::DIRECT, HeartbeatRoute::via_peer)
}

impl NodeState {
    /// The peer that should take a worker's heartbeats from now on; none: it stays where it is.
    fn moved_to(&mut self, now: MonotonicTime, heartbeat: &Heartbeat, by: Option<&str>) -> Option<String> {
        // First, as most workers are where they should be.
        let peer = self.heartbeat_balancer.better_peer(now, &heartbeat.zone, by)?.to_string();
        let id = MachineId::parse(&heartbeat.machine)?;
        if !self.scheduler.as_ref()?.may_move(now, &id) {
            return None;
        }
        self.heartbeat_balancer.moved(now);
        Some(peer)
    }
}

/// Whom to send a worker to that can't be answered here.
fn known_leader(node: &Node, heartbeat: &Heartbeat) -> Option<String> {
    let now = node.now();
    let mut inner = node.lock();
    if let Some(peer) = inner.relay_routes.take_turn() {
        return Some(peer);
    }
    // A worker that the leader doesn't hear would only wait there in vain. And a name read before the
    // state service fell silent may send it round in circles; peers may know.
    let health = &inner.store_health;
    let known = if health.is_refused() { health.leader_per_peers() } else { inner.leader_name.as_ref() };
    let known = if inner.suspected.contains(&heartbeat.machine) { None } else { known.cloned() };
    inner.redirected_workers.record(&heartbeat.machine, now, known).filter(|name| *name != node.settings.name)
}

/// Decides on heartbeats that a peer has passed on; none: the message can't be read or is of another
/// version.
pub async fn answer_batch(node: &Arc<Node>, body: &[u8]) -> Option<Vec<u8>> {
    let batch = HeartbeatBatch::decode(body).ok().filter(|b| b.version == VERSION)?;
    let decisions = decide_in_parts(node, &batch).await;
    let leading = decisions.is_some();
    let answer = HeartbeatDecisions { version: VERSION, leading, decisions: decisions.unwrap_or_default() };
    Some(answer.encode_to_vec())
}

/// Decides on all heartbeats of a batch; none: this controller does not lead, or not any more.
async fn decide_in_parts(node: &Arc<Node>, batch: &HeartbeatBatch) -> Option<Vec<HeartbeatDecision>> {
    // An empty batch asks whether this controller leads.
    let (first, rest) = batch.heartbeats.split_at(batch.heartbeats.len().min(HEARTBEATS_PER_STEP));
    let mut decisions = decide_part(node, first, &batch.from)?;
    for part in rest.chunks(HEARTBEATS_PER_STEP) {
        tokio::task::yield_now().await;
        decisions.extend(decide_part(node, part, &batch.from)?);
    }
    Some(decisions)
}

/// Decides on some heartbeats of a batch; none: this controller does not lead.
fn decide_part(node: &Arc<Node>, heartbeats: &[Bytes], from: &str) -> Option<Vec<HeartbeatDecision>> {
    let mut readable = Vec::new();
    let mut is_readable = Vec::new();
    for heartbeat in heartbeats {
        let heartbeat = serde_json::from_slice::<Heartbeat>(heartbeat);
        is_readable.push(heartbeat.is_ok());
        readable.extend(heartbeat);
    }
    let mut decisions = decide(node, &readable, Some(from))?.into_iter();
    let mut next = |readable| if readable { decisions.next().unwrap_or_else(|| decided(None)) } else { malformed() };
    Some(is_readable.into_iter().map(&mut next).collect())
}
