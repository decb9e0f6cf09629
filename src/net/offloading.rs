//! Moving workers from the leader to peers that pass reports on: a batch of a peer costs the leader about
//! as much as one worker's report.

use crate::time::{Mono, Span};

/// Workers are moved no faster than one in this time, so that peers can be seen to cope.
const MOVE_INTERVAL: Span = Span(40);

/// The peers that take workers' reports, as of their last answers to the leader's heartbeat.
#[derive(Default)]
pub struct Offloading {
    peers: Vec<String>,
    next: usize,
    not_before: Mono,
}

impl Offloading {
    /// The peers that can pass reports on now.
    pub fn set_peers(&mut self, peers: Vec<String>) {
        self.peers = peers;
    }

    /// The peer that a worker should be moved to now, if any; peers take turns.
    pub fn next_peer(&mut self, now: Mono) -> Option<String> {
        if now < self.not_before || self.peers.is_empty() {
            return None;
        }
        self.not_before = now + MOVE_INTERVAL;
        self.next = (self.next + 1) % self.peers.len();
        self.peers.get(self.next).cloned()
    }
}

#[cfg(test)]
mod tests;
