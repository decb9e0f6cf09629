//! Sends the leader's heartbeats to its peers, and decides from their responses whether to hand over to one of them.

use super::still_leads;
use crate::config::Peer;
use crate::core::election::should_hand_over;
use crate::ids::Term;
use crate::net::node::Node;
use crate::net::peers;
use crate::peer::{PeerHeartbeat, PeerHeartbeatResponse};
use crate::time::Millis;
use log::{info, warn};
use rand::seq::IndexedRandom;
use std::collections::BTreeSet;
use std::sync::Arc;

const HEARTBEAT_INTERVAL: Millis = Millis(1_000);
/// Interval between two heartbeats to the peers while their responses suggest that workers can't reach this controller.
const RECHECK_INTERVAL: Millis = Millis(300);
const HEARTBEAT_TIMEOUT: Millis = Millis(800);

/// Sends heartbeats to the peers while this controller leads for the term, and evaluates their responses.
pub(super) async fn run(node: &Arc<Node>, term: Term) {
    let mut detections = 0;
    while still_leads(node, term) {
        let (heartbeat, machines) = leader_heartbeat(node, term);
        let responses = peers::broadcast_heartbeat(node, &heartbeat, HEARTBEAT_TIMEOUT).await;
        record_relay_peers(node, &responses);
        detections =
            detect_unreachable_leader(node, &responses, heartbeat.suspected_machines.len(), machines, detections);
        hand_over_if_overloaded(node, &responses);
        let delay = if detections > 0 { RECHECK_INTERVAL } else { HEARTBEAT_INTERVAL };
        tokio::time::sleep(delay.to_std()).await;
    }
    info!("stopped sending leader heartbeats to peers: term={term}");
}

/// The leader's heartbeat to its peers, and the number of machines that should send heartbeats. The heartbeat contains
/// the task counts of live jobs, which the peers show to users that poll a job, and the machines that the leader
/// suspects of having failed.
fn leader_heartbeat(node: &Node, term: Term) -> (PeerHeartbeat, usize) {
    let mut heartbeat = PeerHeartbeat { leading: true, term: term.0, ..peers::new_heartbeat(node) };
    let mut machines = 0;
    let mut state = node.lock();
    let now = node.now();
    if let Some(scheduler) = &state.scheduler {
        heartbeat.live_job_counts = scheduler.live_job_counts();
        (heartbeat.suspected_machines, machines) = scheduler.suspected_machines(now);
    }
    state.set_live_job_counts(&heartbeat.live_job_counts);
    (heartbeat, machines)
}

/// Names a successor if this controller has been overloaded for several samples and a peer can take over.
fn hand_over_if_overloaded(node: &Node, responses: &[Option<PeerHeartbeatResponse>]) {
    let now = node.now();
    let mut state = node.lock();
    let Some(scheduler) = state.scheduler.as_ref().filter(|scheduler| scheduler.has_led_for_lease(now)) else { return };
    let lag = scheduler.lag();
    let candidates = peers::responding_peers(node, responses)
        .filter(|(_, response)| response.store_available && response.relays_heartbeats);
    let candidates: Vec<&Peer> = candidates.map(|(peer, _)| peer).collect();
    let Some(peer) = candidates.choose(&mut rand::rng()) else { return };
    if state.overload.record_lag(now, lag) {
        warn!("handing over because this leader is overloaded: lag_ms={} successor={}", lag.0, peer.name);
        state.successor = Some(peer.name.clone());
    }
}

/// Records which peers can relay workers' heartbeats.
fn record_relay_peers(node: &Node, responses: &[Option<PeerHeartbeatResponse>]) {
    let relaying = peers::responding_peers(node, responses).filter(|(_, response)| response.relays_heartbeats);
    let peers = relaying.map(|(peer, _)| peer.clone()).collect();
    node.lock().heartbeat_balancer.set_peers(peers);
}

/// Names a successor if the peers' responses show repeatedly that workers can't reach this controller, and records for
/// the scheduler which peers have responded.
///
/// A single detection is not enough unless the leader suspects at least half of all machines of having failed: workers
/// that have just lost contact with the leader try other controllers for a moment. `detections` is the number of
/// consecutive earlier calls that detected this; the number including this call is returned.
fn detect_unreachable_leader(
    node: &Node,
    responses: &[Option<PeerHeartbeatResponse>],
    suspected: usize,
    machines: usize,
    detections: u32,
) -> u32 {
    let now = node.now();
    let mut state = node.lock();
    let Some(scheduler) = &mut state.scheduler else { return 0 };
    // Workers that can't reach the leader try the controllers in turn, so each peer has heard from only some workers.
    let mut redirected: BTreeSet<&str> = BTreeSet::new();
    let mut successor: Option<(usize, &str)> = None;
    for (peer, response) in peers::responding_peers(node, responses) {
        scheduler.mark_peer_responsive(now, &peer.name);
        redirected.extend(response.redirected_machines.iter().map(String::as_str));
        if response.store_available {
            successor = successor.max(Some((response.redirected_machines.len(), &peer.name)));
        }
    }
    let Some((1.., name)) = successor else { return 0 };
    if !scheduler.has_led_for_lease(now) || !should_hand_over(suspected, redirected.len(), machines) {
        return 0;
    }
    let name = name.to_string();
    if detections >= 1 || suspected * 2 >= machines {
        warn!(
            "handing over because workers can't reach this leader: suspected={suspected} machines={machines} successor={name}"
        );
        state.successor = Some(name);
    }
    detections + 1
}
