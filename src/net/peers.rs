//! Words between controllers.

use super::input_latency::InputKind;
use super::leader_loop;
use super::node::Node;
use crate::config::Peer;
use crate::core::cost::CostMeter;
use crate::core::placement;
use crate::core::records::JobOutcome;
use crate::ids::{JobId, Revision, Term};
use crate::peer::{PeerHeartbeat, PeerHeartbeatResponse, PlanInput, PlanOutput, VERSION};
use crate::time::Millis;
use bytes::Bytes;
use hyper::Method;
use prost::Message;
use std::sync::Arc;
use std::time::Instant;

pub const HEARTBEAT_PATH: &str = "/peer/hello";
pub const PLAN_PATH: &str = "/peer/plan";
pub const HEARTBEAT_BATCH_PATH: &str = "/peer/reports";

async fn ask(node: &Node, addr: &str, peer_heartbeat: &PeerHeartbeat, limit: Millis) -> Option<PeerHeartbeatResponse> {
    let answer = node.http.call(Method::POST, addr, HEARTBEAT_PATH, peer_heartbeat.encode_to_vec(), limit).await;
    let Ok((200, body)) = answer else { return None };
    PeerHeartbeatResponse::decode(body).ok().filter(|a| a.version == VERSION)
}

/// Says hello to all peers at once; an answer for each, or none.
pub async fn ask_all(
    node: &Arc<Node>,
    peer_heartbeat: &PeerHeartbeat,
    limit: Millis,
) -> Vec<Option<PeerHeartbeatResponse>> {
    let mut asks = Vec::new();
    for p in &node.settings.peers {
        let (node, peer_heartbeat, addr) = (node.clone(), peer_heartbeat.clone(), p.addr.to_string());
        asks.push(tokio::spawn(async move { ask(&node, &addr, &peer_heartbeat, limit).await }));
    }
    let mut answers = Vec::new();
    for a in asks {
        answers.push(a.await.ok().flatten());
    }
    answers
}

/// The peers that have answered, each with its answer.
pub fn answered<'a>(
    node: &'a Node,
    answers: &'a [Option<PeerHeartbeatResponse>],
) -> impl Iterator<Item = (&'a Peer, &'a PeerHeartbeatResponse)> {
    node.settings.peers.iter().zip(answers).filter_map(|(peer, answer)| Some((peer, answer.as_ref()?)))
}

pub fn peer_heartbeat(node: &Node) -> PeerHeartbeat {
    PeerHeartbeat { version: VERSION, from: node.settings.name.clone(), ..Default::default() }
}

/// Jobs by their names; none: not all are names of jobs.
pub fn jobs(names: &[String]) -> Option<Vec<JobId>> {
    names.iter().map(|n| JobId::parse(n)).collect()
}

/// A best-effort word to the leader that a user has just been told of a cancellation. The watch says
/// so as well, and nothing rests on this.
pub fn tell_leader(node: &Arc<Node>, id: &JobId) {
    let leader = node.lock().leader_name.clone();
    let Some(peer) = node.settings.peers.iter().find(|p| Some(&p.name) == leader.as_ref()) else { return };
    let peer_heartbeat = PeerHeartbeat { cancelled: vec![id.to_string()], ..peer_heartbeat(node) };
    let (node, addr) = (node.clone(), peer.addr.to_string());
    tokio::spawn(async move { ask(&node, &addr, &peer_heartbeat, Millis(800)).await });
}

/// Answers a peer; None: the message can't be read or is of another version.
pub fn answer(node: &Arc<Node>, body: &[u8]) -> Option<Vec<u8>> {
    let peer_heartbeat = PeerHeartbeat::decode(body).ok().filter(|h| h.version == VERSION)?;
    let cancelled = jobs(&peer_heartbeat.cancelled)?;
    if !cancelled.is_empty() {
        leader_loop::step(node, InputKind::Result, |scheduler| {
            cancelled.iter().for_each(|id| scheduler.on_job_terminated(id, JobOutcome::Cancelled))
        });
    }
    let now = node.now();
    let mut guard = node.lock();
    let inner = &mut *guard;
    let redirected = inner.redirected_among(&peer_heartbeat.suspected, now);
    if peer_heartbeat.leading && !peer_heartbeat.asks_extension {
        inner.suspected = peer_heartbeat.suspected.into_iter().collect();
        inner.take_counts(&peer_heartbeat.counts);
        inner.heartbeat_relay.heard_leader(&peer_heartbeat.from, Term(peer_heartbeat.term), now);
        if !inner.heartbeat_relay.is_leader_confirmed() && inner.election.active_term(now).is_none() {
            node.relay_wakeup.notify_one();
        }
    }
    if !peer_heartbeat.successor.is_empty() && peer_heartbeat.successor != node.settings.name {
        inner.election.back_off_for_successor(now);
    }
    let mut answer = PeerHeartbeatResponse {
        version: VERSION,
        redirected,
        store_ok: !inner.election.is_refused_by_store(),
        ..Default::default()
    };
    if peer_heartbeat.asks_extension
        && let Ok(p) = inner.election.pledge_to(
            now,
            Term(peer_heartbeat.term),
            Revision(peer_heartbeat.read_through),
            &inner.cancellations,
        )
    {
        answer.pledge_ms = p.span.0;
        answer.cancelled = p.cancelled.iter().map(JobId::to_string).collect();
    }
    answer.relays_heartbeats = inner.heartbeat_relay.has_capacity(now);
    answer.leader = inner.leader_name.clone().filter(|_| answer.store_ok).unwrap_or_default();
    Some(answer.encode_to_vec())
}

/// Has a peer plan for its share; none: it didn't.
pub async fn ask_plan(node: &Node, peer: &str, input: &PlanInput) -> Option<PlanOutput> {
    let addr = node.settings.peers.iter().find(|p| p.name == peer)?.addr.to_string();
    let answer = node.http.call(Method::POST, &addr, PLAN_PATH, input.encode_to_vec(), Millis(400)).await;
    let Ok((200, body)) = answer else { return None };
    PlanOutput::decode(body).ok()
}

/// Plans for a leader. It decides nothing: the leader checks every placement.
pub fn plan(node: &Node, body: &Bytes) -> Option<Vec<u8>> {
    let input = PlanInput::decode(body.as_ref()).ok().filter(|input| input.version == VERSION)?;
    let (now, started, meter) = (node.now(), Instant::now(), CostMeter::default());
    let output = placement::plan_metered(&input, &meter);
    node.lock().input_latency.record(now, InputKind::PlanForPeer, started.elapsed(), meter.read());
    Some(output.encode_to_vec())
}
