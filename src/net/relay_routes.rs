//! Peers that reach the leader while this controller does not, as when two zones can't reach each other:
//! workers that heartbeat here are sent to them. Naming the leader would only make those wait which are
//! on this side of the cut.

use super::node::Node;
use super::peers;
use crate::time::Millis;
use std::sync::Arc;

/// Peers are asked this often while the leader can't be reached.
const REFRESH_INTERVAL: Millis = Millis(1_000);
const REFRESH_TIMEOUT: Millis = Millis(700);

/// The peers that pass heartbeats on to the leader, as of their last answers.
#[derive(Default)]
pub struct RelayRoutes {
    peers: Vec<String>,
    taken: usize,
}

impl RelayRoutes {
    pub fn set(&mut self, peers: Vec<String>) {
        self.peers = peers;
    }

    /// A peer to send a worker to; peers take turns.
    pub fn take_turn(&mut self) -> Option<String> {
        let peer = self.peers.get(self.taken.checked_rem(self.peers.len())?)?;
        self.taken += 1;
        Some(peer.clone())
    }
}

/// Looks for detours at regular intervals whenever another controller leads and can't be reached, for as long as the process
/// runs.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(REFRESH_INTERVAL.to_std()).await;
        refresh(&node).await;
    }
}

/// Asks the peers for detours, if they are needed now.
pub async fn refresh(node: &Arc<Node>) {
    let names = if needs_relay_routes(node) { ask_peers(node).await } else { Vec::new() };
    node.lock().relay_routes.set(names);
}

fn needs_relay_routes(node: &Node) -> bool {
    let now = node.now();
    let inner = node.lock();
    let another_leads = inner.leader_name.as_ref().is_some_and(|name| *name != node.settings.name);
    another_leads && !inner.heartbeat_relay.is_open(now)
}

async fn ask_peers(node: &Arc<Node>) -> Vec<String> {
    let answers = peers::ask_all(node, &peers::peer_heartbeat(node), REFRESH_TIMEOUT).await;
    let relays_heartbeats = peers::answered(node, &answers).filter(|(_, answer)| answer.relays_heartbeats);
    relays_heartbeats.map(|(peer, _)| peer.name.clone()).collect()
}

#[cfg(test)]
mod tests;
