//! Relay routes: peers that reach the leader while this controller does not, as when two zones can't reach
//! each other. Workers that heartbeat here are redirected to such a peer. The leader's own name would not
//! help the workers on this side of the cut, which would wait for it in vain.

use super::node::Node;
use super::peers;
use super::round_robin::RoundRobin;
use crate::time::Millis;
use std::sync::Arc;

/// How often peers are asked while the leader can't be reached.
const REFRESH_INTERVAL: Millis = Millis(1_000);
/// How long a peer has to answer.
const REFRESH_TIMEOUT: Millis = Millis(700);

/// The peers that relay heartbeats to the leader, as of their last answers.
#[derive(Default)]
pub struct RelayRoutes {
    peers: Vec<String>,
    turns: RoundRobin,
}

impl RelayRoutes {
    /// Replaces the peers; the turns go on.
    pub fn set(&mut self, peers: Vec<String>) {
        self.peers = peers;
    }

    /// The name of the peer that a worker should be redirected to, and ends that peer's turn; `None`: no peer
    /// relays heartbeats.
    pub fn take_turn(&mut self) -> Option<String> {
        let peer = self.turns.current(&self.peers)?.clone();
        self.turns.advance();
        Some(peer)
    }
}

/// Refreshes the relay routes at regular intervals, for as long as the process runs.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(REFRESH_INTERVAL.to_std()).await;
        refresh(&node).await;
    }
}

/// Asks the peers whether they relay heartbeats, if relay routes are needed now; otherwise clears them.
pub async fn refresh(node: &Arc<Node>) {
    let names = if needs_relay_routes(node) { relaying_peers(node).await } else { Vec::new() };
    node.lock().relay_routes.set(names);
}

/// Whether another controller leads and heartbeats can't be passed on to it.
fn needs_relay_routes(node: &Node) -> bool {
    let now = node.now();
    let inner = node.lock();
    let another_leads = inner.leader_name.as_ref().is_some_and(|name| *name != node.settings.name);
    another_leads && !inner.heartbeat_relay.is_open(now)
}

/// Asks all peers, and returns the names of those that relay heartbeats.
async fn relaying_peers(node: &Arc<Node>) -> Vec<String> {
    let answers = peers::broadcast_heartbeat(node, &peers::new_heartbeat(node), REFRESH_TIMEOUT).await;
    let relaying = peers::responding_peers(node, &answers).filter(|(_, answer)| answer.relays_heartbeats);
    relaying.map(|(peer, _)| peer.name.clone()).collect()
}

#[cfg(test)]
mod tests;
