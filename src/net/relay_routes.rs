//! Relay routes: peers that can reach the leader while this controller can't, for example during a network partition
//! between two zones.
//!
//! Workers that send heartbeats to this controller are redirected to such a peer. Redirecting them to the leader itself
//! would not help workers on this side of the partition: they can't reach the leader either and would only time out.

use super::node::Node;
use super::peers;
use super::round_robin::RoundRobin;
use crate::time::Millis;
use std::sync::Arc;

/// Interval at which peers are queried while the leader can't be reached.
const REFRESH_INTERVAL: Millis = Millis(1_000);
/// How long a peer may take to respond to a query.
const REFRESH_TIMEOUT: Millis = Millis(700);

/// The peers that relay heartbeats to the leader, according to their latest responses.
#[derive(Default)]
pub struct RelayRoutes {
    peers: Vec<String>,
    round_robin: RoundRobin,
}

impl RelayRoutes {
    /// Sets the peers that relay heartbeats to the leader, by name. The round-robin order is not reset.
    pub fn set_peers(&mut self, peers: Vec<String>) {
        self.peers = peers;
    }

    /// Returns the name of the next peer to redirect a worker to, in round-robin order. Returns `None` if no peer
    /// relays heartbeats.
    pub fn next_peer(&mut self) -> Option<String> {
        let peer = self.round_robin.current(&self.peers)?.clone();
        self.round_robin.advance();
        Some(peer)
    }
}

/// Refreshes the relay routes at a regular interval until the process ends.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(REFRESH_INTERVAL.to_std()).await;
        refresh(&node).await;
    }
}

/// Updates the relay routes: queries the peers if routes are needed now, and clears them otherwise.
pub async fn refresh(node: &Arc<Node>) {
    let names = if needs_relay_routes(node) { relaying_peers(node).await } else { Vec::new() };
    node.lock().relay_routes.set_peers(names);
}

/// Returns whether another controller leads and this controller can't relay heartbeats to it.
fn needs_relay_routes(node: &Node) -> bool {
    let now = node.now();
    let state = node.lock();
    let another_leads = state.leader_name.as_ref().is_some_and(|name| *name != node.settings.name);
    another_leads && !state.heartbeat_relay.can_relay(now)
}

/// Queries all peers and returns the names of those that can relay heartbeats to the leader.
async fn relaying_peers(node: &Arc<Node>) -> Vec<String> {
    let responses = peers::broadcast_heartbeat(node, &peers::new_heartbeat(node), REFRESH_TIMEOUT).await;
    let relaying = peers::responding_peers(node, &responses).filter(|(_, response)| response.relays_heartbeats);
    relaying.map(|(peer, _)| peer.name.clone()).collect()
}

#[cfg(test)]
mod tests;
