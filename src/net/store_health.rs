//! Tracks whether the key-value store serves this controller, and what its peers report about themselves.

use super::kv::KvError;
use crate::peer::PeerHeartbeatResponse;
use crate::time::{Millis, MonotonicTime};

/// A failure of the store has an effect on users only once it has lasted longer than this; retries bridge shorter ones.
const FAILURE_GRACE_PERIOD: Millis = Millis(1_500);

/// The results of the latest requests to the store, and the peers' latest responses.
#[derive(Default)]
pub struct StoreHealth {
    /// Time of the first of the latest consecutive requests that the store didn't serve. `None` if it served the last
    /// request.
    not_served_since: Option<MonotonicTime>,
    /// Time of the first of the latest consecutive requests without a response. `None` if the store responded to the
    /// last request, even by refusing it.
    unreachable_since: Option<MonotonicTime>,
    /// Whether the store serves at least one peer.
    is_peer_served: bool,
    /// Whether there are peers and none of them responded to the latest heartbeat.
    no_peer_responds: bool,
    /// The leader's name, as reported by a peer that the store serves. `None` if no peer reported one.
    leader_reported_by_peers: Option<String>,
}

/// What the result of a request shows about the availability of the key-value store to this controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreAvailability {
    /// The store serves this controller: the store responded, though perhaps with an error other than a refusal.
    Available,
    /// The store responded that it doesn't serve this controller (status 503).
    Refused,
    /// The store didn't respond, or its response can't be decoded.
    Unreachable,
}

impl From<Option<&KvError>> for StoreAvailability {
    /// Converts the error of a request, or `None` if it succeeded.
    fn from(error: Option<&KvError>) -> StoreAvailability {
        match error {
            None | Some(KvError::Busy | KvError::TooLarge | KvError::Status(_)) => StoreAvailability::Available,
            Some(KvError::Refused) => StoreAvailability::Refused,
            Some(KvError::NoResponse(_)) => StoreAvailability::Unreachable,
        }
    }
}

impl StoreHealth {
    /// Records what the result of a request at `now` shows about the store.
    pub fn record(&mut self, now: MonotonicTime, availability: StoreAvailability) {
        match availability {
            StoreAvailability::Available => {
                self.not_served_since = None;
                self.unreachable_since = None;
            }
            StoreAvailability::Refused => {
                self.not_served_since.get_or_insert(now);
                self.unreachable_since = None;
            }
            StoreAvailability::Unreachable => {
                self.not_served_since.get_or_insert(now);
                self.unreachable_since.get_or_insert(now);
            }
        }
    }

    /// Records the responses of all peers to one heartbeat. An element is `None` if its peer didn't respond.
    pub fn record_peer_responses(&mut self, responses: &[Option<PeerHeartbeatResponse>]) {
        let leader = |response: &PeerHeartbeatResponse| Some(response.leader.clone()).filter(|name| !name.is_empty());
        self.is_peer_served = responses.iter().flatten().any(|response| response.store_available);
        self.no_peer_responds = !responses.is_empty() && responses.iter().all(Option::is_none);
        self.leader_reported_by_peers = responses.iter().flatten().find_map(leader);
    }

    /// Whether the store refused this controller's last request or didn't respond to it.
    pub fn is_unavailable(&self) -> bool {
        self.not_served_since.is_some()
    }

    /// Returns the leader's name, as reported by a peer that the store serves, or `None` if no peer reported one.
    pub fn leader_reported_by_peers(&self) -> Option<&String> {
        self.leader_reported_by_peers.as_ref()
    }

    /// Whether the store hasn't responded for so long that a user's request should fail immediately instead of waiting
    /// for the store.
    pub fn is_unreachable(&self, now: MonotonicTime) -> bool {
        is_persistent(self.unreachable_since, now)
    }

    /// Whether other controllers can serve users better: the store doesn't serve this controller but does serve a peer,
    /// or neither the store nor any peer responds. If the store serves no controller, this one stays in rotation, as no
    /// other would do better.
    pub fn is_isolated(&self, now: MonotonicTime) -> bool {
        let only_peers_served = is_persistent(self.not_served_since, now) && self.is_peer_served;
        let partitioned = is_persistent(self.unreachable_since, now) && self.no_peer_responds;
        only_peers_served || partitioned
    }
}

/// Whether a failure that began at `since` has lasted longer than `FAILURE_GRACE_PERIOD`.
fn is_persistent(since: Option<MonotonicTime>, now: MonotonicTime) -> bool {
    since.is_some_and(|since| now - since > FAILURE_GRACE_PERIOD)
}

#[cfg(test)]
mod tests;
