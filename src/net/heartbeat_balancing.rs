//! Which controller each worker should report to, as the leader sees it: a batch of a peer costs the leader
//! about as much as one worker's heartbeat, so workers report to peers; and to peers of their own zone, so
//! that zones which can't reach each other cut few workers off.

use crate::config::Peer;
use crate::time::{Millis, MonotonicTime};

/// Workers are moved no faster than one in this time, so that peers can be seen to cope.
const MOVE_INTERVAL: Millis = Millis(40);

/// The peers that take workers' heartbeats, as of their last answers to the leader's heartbeat.
#[derive(Default)]
pub struct HeartbeatBalancer {
    peers: Vec<Peer>,
    moves: usize,
    not_before: MonotonicTime,
}

impl HeartbeatBalancer {
    /// The peers that can pass heartbeats on now.
    pub fn set_peers(&mut self, peers: Vec<Peer>) {
        self.peers = peers;
    }

    /// The peer that a worker of a zone should be moved to now, if any; peers take turns. `by` is the peer
    /// that has passed its heartbeat on; none: the worker has reported to the leader itself.
    pub fn better_peer(&self, now: MonotonicTime, zone: &str, by: Option<&str>) -> Option<&str> {
        if now < self.not_before {
            return None;
        }
        let near: Vec<&Peer> = self.peers.iter().filter(|peer| peer.zone == zone).collect();
        let stays = by.is_some_and(|name| near.is_empty() || near.iter().any(|peer| peer.name == name));
        let candidates = if near.is_empty() { self.peers.iter().collect() } else { near };
        if stays || candidates.is_empty() {
            return None;
        }
        Some(&candidates[self.moves % candidates.len()].name)
    }

    /// A worker has been moved.
    pub fn moved(&mut self, now: MonotonicTime) {
        self.moves += 1;
        self.not_before = now + MOVE_INTERVAL;
    }
}

#[cfg(test)]
mod tests;
