//! Selects, at the leader, the controller that each worker should send its heartbeats to.
//!
//! A batch that a peer relays costs the leader about as much as a single worker's heartbeat, so workers are
//! redirected to peers. Peers in the worker's own zone are preferred, so that a network partition between zones
//! separates few workers from the leader.

use super::round_robin::RoundRobin;
use crate::config::Peer;
use crate::time::{Millis, MonotonicTime};

/// Minimum time between two redirects. The pause gives overloaded peers time to report that they have no more capacity.
const MIN_REDIRECT_INTERVAL: Millis = Millis(40);

/// Distributes workers over the peers that can relay their heartbeats, according to the peers' latest responses to
/// the leader's heartbeat.
#[derive(Default)]
pub struct HeartbeatBalancer {
    peers: Vec<Peer>,
    round_robin: RoundRobin,
    next_redirect_at: MonotonicTime,
}

impl HeartbeatBalancer {
    /// Sets the peers that can relay heartbeats now. The round-robin order is not reset.
    pub fn set_peers(&mut self, peers: Vec<Peer>) {
        self.peers = peers;
    }

    /// Returns the name of the peer that a worker in `zone` should be redirected to now, in round-robin order.
    /// Returns `None` if the worker should keep its current controller.
    ///
    /// `relayed_by` is the name of the peer that relayed the worker's heartbeat, or `None` if the worker sent it to
    /// the leader.
    pub fn preferred_relay(&self, now: MonotonicTime, zone: &str, relayed_by: Option<&str>) -> Option<&str> {
        if now < self.next_redirect_at {
            return None;
        }
        let same_zone: Vec<&Peer> = self.peers.iter().filter(|peer| peer.zone == zone).collect();
        let keeps_controller =
            relayed_by.is_some_and(|name| same_zone.is_empty() || same_zone.iter().any(|peer| peer.name == name));
        if keeps_controller {
            return None;
        }
        let candidates = if same_zone.is_empty() { self.peers.iter().collect() } else { same_zone };
        self.round_robin.current(&candidates).map(|peer| peer.name.as_str())
    }

    /// Records that a worker has been redirected to the peer that [`HeartbeatBalancer::preferred_relay`] returned. The
    /// next worker is redirected to the next peer, after `MIN_REDIRECT_INTERVAL` at the earliest.
    pub fn record_redirect(&mut self, now: MonotonicTime) {
        self.round_robin.advance();
        self.next_redirect_at = now + MIN_REDIRECT_INTERVAL;
    }
}

#[cfg(test)]
mod tests;
