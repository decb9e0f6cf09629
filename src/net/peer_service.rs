//! Handles requests of peer controllers: their heartbeats, a leader's requests for pledges that extend its lease, and
//! requests for plans.

use super::input_latency::InputKind;
use super::leader_loop;
use super::node::{Node, NodeState};
use super::peers;
use crate::core::cost::OperationMeter;
use crate::core::placement;
use crate::core::records::JobOutcome;
use crate::ids::{JobId, Revision, Term};
use crate::peer::{PeerHeartbeat, PeerHeartbeatResponse, PlanInput, VERSION};
use crate::time::MonotonicTime;
use bytes::Bytes;
use prost::Message;
use std::sync::Arc;
use std::time::Instant;

/// Handles a peer's heartbeat and returns the response. Returns `None` if the message can't be decoded or is of another
/// protocol version.
pub fn respond_to_heartbeat(node: &Arc<Node>, body: &[u8]) -> Option<Vec<u8>> {
    let heartbeat = PeerHeartbeat::decode(body).ok().filter(|heartbeat| heartbeat.version == VERSION)?;
    let cancelled = peers::parse_job_ids(&heartbeat.cancelled_jobs)?;
    if !cancelled.is_empty() {
        leader_loop::step(node, InputKind::Result, |scheduler| {
            cancelled.iter().for_each(|id| scheduler.on_job_terminated(id, JobOutcome::Cancelled))
        });
    }
    let now = node.now();
    let mut guard = node.lock();
    let state = &mut *guard;
    let redirected_machines = state.redirected_workers.filter_recent(&heartbeat.suspected_machines, now);
    if heartbeat.leading && !heartbeat.requests_lease_extension {
        apply_leader_heartbeat(node, state, now, &heartbeat);
    }
    if !heartbeat.successor.is_empty() && heartbeat.successor != node.settings.name {
        state.election.back_off_for_successor(now);
    }
    let mut response = PeerHeartbeatResponse {
        version: VERSION,
        redirected_machines,
        store_available: !state.election.is_store_unavailable(),
        ..Default::default()
    };
    if heartbeat.requests_lease_extension {
        grant_pledge(state, now, &heartbeat, &mut response);
    }
    response.relays_heartbeats = state.heartbeat_relay.has_capacity(now);
    response.leader = state.leader_name.clone().filter(|_| response.store_available).unwrap_or_default();
    Some(response.encode_to_vec())
}

/// Updates this controller's state from a leader's heartbeat.
fn apply_leader_heartbeat(node: &Node, state: &mut NodeState, now: MonotonicTime, heartbeat: &PeerHeartbeat) {
    state.suspected_machines = heartbeat.suspected_machines.iter().cloned().collect();
    state.set_live_job_counts(&heartbeat.live_job_counts);
    state.heartbeat_relay.record_leader_heartbeat(&heartbeat.from, Term(heartbeat.term), now);
    if !state.heartbeat_relay.is_leader_confirmed() && state.election.active_term(now).is_none() {
        node.relay_wakeup.notify_one();
    }
}

/// Gives a leader that the store doesn't serve a pledge not to stand for election, if the rules of the election allow
/// one. In that case, the response contains the pledge's duration and the cancellations that the leader can't have
/// read.
fn grant_pledge(
    state: &mut NodeState,
    now: MonotonicTime,
    heartbeat: &PeerHeartbeat,
    response: &mut PeerHeartbeatResponse,
) {
    let (term, read_through) = (Term(heartbeat.term), Revision(heartbeat.read_through));
    if let Ok(pledge) = state.election.pledge_to(now, term, read_through, &state.cancellations) {
        response.pledge_ms = pledge.duration.0;
        response.cancelled_jobs = pledge.cancelled.iter().map(JobId::to_string).collect();
    }
}

/// Plans the jobs of a shard (a set of teams) for a leader. The leader checks every placement of the returned plan
/// before applying it. Returns `None` if the message can't be decoded or is of another protocol version.
pub fn respond_to_plan_request(node: &Node, body: &Bytes) -> Option<Vec<u8>> {
    let input = PlanInput::decode(body.as_ref()).ok().filter(|input| input.version == VERSION)?;
    let (now, started, meter) = (node.now(), Instant::now(), OperationMeter::default());
    let output = placement::plan_metered(&input, &meter);
    node.lock().input_latency.record(now, InputKind::PlanForPeer, started.elapsed(), meter.read());
    Some(output.encode_to_vec())
}
