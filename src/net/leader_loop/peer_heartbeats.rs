//! The leader's heartbeats to its peers, and whether it should hand over to one of them.

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
/// The interval while it looks as if the workers can't reach this controller.
const RECHECK_INTERVAL: Millis = Millis(300);
const ANSWER_TIMEOUT: Millis = Millis(800);

/// Sends heartbeats to the peers while this controller leads for the term, and acts on their answers.
pub(super) async fn run(node: &Arc<Node>, term: Term) {
    let mut sightings = 0;
    while still_leads(node, term) {
        let (heartbeat, machines) = leader_heartbeat(node, term);
        let answers = peers::ask_all(node, &heartbeat, ANSWER_TIMEOUT).await;
        record_relay_peers(node, &answers);
        sightings = detect_unreachable_leader(node, &answers, heartbeat.suspected.len(), machines, sightings);
        hand_over_if_overloaded(node, &answers);
        let pause = if sightings > 0 { RECHECK_INTERVAL } else { HEARTBEAT_INTERVAL };
        tokio::time::sleep(pause.to_std()).await;
    }
    info!("no longer leading: term={term}");
}

/// What the peers are told: the counts of live jobs, for polls that reach them, and the suspected machines.
/// Returns with it how many machines there are in all.
fn leader_heartbeat(node: &Node, term: Term) -> (PeerHeartbeat, usize) {
    let mut heartbeat = PeerHeartbeat { leading: true, term: term.0, ..peers::peer_heartbeat(node) };
    let mut machines = 0;
    let mut state = node.lock();
    let now = node.now();
    if let Some(scheduler) = &state.scheduler {
        heartbeat.counts = scheduler.live_job_counts();
        (heartbeat.suspected, machines) = scheduler.suspected_machines(now);
    }
    state.take_counts(&heartbeat.counts);
    (heartbeat, machines)
}

/// Names a successor if this controller has been too slow for a while and a peer can take over.
fn hand_over_if_overloaded(node: &Node, answers: &[Option<PeerHeartbeatResponse>]) {
    let now = node.now();
    let mut state = node.lock();
    let Some(scheduler) = state.scheduler.as_ref().filter(|scheduler| scheduler.has_led_for_lease(now)) else { return };
    let lag = scheduler.lag();
    let able = peers::answered(node, answers).filter(|(_, answer)| answer.store_ok && answer.relays_heartbeats);
    let able: Vec<&Peer> = able.map(|(peer, _)| peer).collect();
    let Some(peer) = able.choose(&mut rand::rng()) else { return };
    if state.overload.observe(now, lag) {
        warn!("handing over, overloaded: lag_ms={} successor={}", lag.0, peer.name);
        state.successor = Some(peer.name.clone());
    }
}

/// Notes which peers can relay workers' heartbeats.
fn record_relay_peers(node: &Node, answers: &[Option<PeerHeartbeatResponse>]) {
    let relays_heartbeats = peers::answered(node, answers).filter(|(_, answer)| answer.relays_heartbeats);
    let peers = relays_heartbeats.map(|(peer, _)| peer.clone()).collect();
    node.lock().heartbeat_balancer.set_peers(peers);
}

/// Takes in the peers' answers, and names a successor if it is this controller that the workers can't reach.
/// Once may be chance, as workers that have just lost their leader try other controllers for a moment:
/// `sightings` is how often in a row it has looked so, and the new count is returned.
fn detect_unreachable_leader(
    node: &Node,
    answers: &[Option<PeerHeartbeatResponse>],
    suspected: usize,
    machines: usize,
    sightings: u32,
) -> u32 {
    let now = node.now();
    let mut state = node.lock();
    let Some(scheduler) = &mut state.scheduler else { return 0 };
    // Workers go round the controllers, so no single peer hears all of them at once.
    let mut redirected: BTreeSet<&str> = BTreeSet::new();
    let mut successor: Option<(usize, &str)> = None;
    for (peer, answer) in peers::answered(node, answers) {
        scheduler.peer_answered(now, &peer.name);
        redirected.extend(answer.redirected.iter().map(String::as_str));
        if answer.store_ok {
            successor = successor.max(Some((answer.redirected.len(), &peer.name)));
        }
    }
    let Some((1.., name)) = successor else { return 0 };
    if !scheduler.has_led_for_lease(now) || !should_hand_over(suspected, redirected.len(), machines) {
        return 0;
    }
    let name = name.to_string();
    if sightings >= 1 || suspected * 2 >= machines {
        warn!("handing over, unreachable: suspected={suspected} machines={machines} successor={name}");
        state.successor = Some(name);
    }
    sightings + 1
}
