//! Which controller each worker should send its heartbeats to, as the leader sees it. A batch of a peer costs
//! the leader about as much as one worker's heartbeat, so workers are moved to peers; and to peers of their own
//! zone, so that a cut between zones separates few workers from the leader.

use super::round_robin::RoundRobin;
use crate::config::Peer;
use crate::time::{Millis, MonotonicTime};

/// At most one worker is moved in this time, so that it shows whether the peers cope.
const MOVE_INTERVAL: Millis = Millis(40);

/// The peers that relay workers' heartbeats, as of their last answers to the leader's peer heartbeat.
#[derive(Default)]
pub struct HeartbeatBalancer {
    peers: Vec<Peer>,
    turns: RoundRobin,
    next_move_at: MonotonicTime,
}

impl HeartbeatBalancer {
    /// Replaces the peers that can relay heartbeats now; the turns go on.
    pub fn set_peers(&mut self, peers: Vec<Peer>) {
        self.peers = peers;
    }

    /// The name of the peer that a worker of a zone should be moved to now; `None`: it stays where it is. Peers
    /// take turns. `relayed_by` names the peer that has relayed its heartbeat; `None`: it came from the worker
    /// itself.
    pub fn better_peer(&self, now: MonotonicTime, zone: &str, relayed_by: Option<&str>) -> Option<&str> {
        if now < self.next_move_at {
            return None;
        }
        let near: Vec<&Peer> = self.peers.iter().filter(|peer| peer.zone == zone).collect();
        let stays = relayed_by.is_some_and(|name| near.is_empty() || near.iter().any(|peer| peer.name == name));
        if stays {
            return None;
        }
        let candidates = if near.is_empty() { self.peers.iter().collect() } else { near };
        self.turns.current(&candidates).map(|peer| peer.name.as_str())
    }

    /// A worker has been moved to the peer whose turn it was.
    pub fn moved(&mut self, now: MonotonicTime) {
        self.turns.advance();
        self.next_move_at = now + MOVE_INTERVAL;
    }
}

#[cfg(test)]
mod tests;
