//! Whether the key-value store serves this controller, and what the peers say of themselves.

use super::kv::KvError;
use crate::peer::PeerHeartbeatResponse;
use crate::time::{Millis, MonotonicTime};

/// A shorter trouble of the store is left to retries.
const TROUBLE_TIMEOUT: Millis = Millis(1_500);

/// How the latest requests to the store went, and the peers' latest answers.
#[derive(Default)]
pub struct StoreHealth {
    /// No request has been served since then.
    refused_since: Option<MonotonicTime>,
    /// No request has been answered since then, not even by a refusal.
    unreachable_since: Option<MonotonicTime>,
    /// The store serves a peer.
    peer_reaches_store: bool,
    /// No peer answered when last asked.
    no_peer_answers: bool,
    /// Who leads, as told by a peer that the store serves.
    leader_per_peers: Option<String>,
}

/// What a request to the store says of its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreService {
    /// The store serves this controller: anything but a refusal and silence.
    Served,
    /// It has refused the request.
    Refused,
    /// It has not answered.
    Unreachable,
}

impl From<Option<&KvError>> for StoreService {
    /// The error of a request, or none if it succeeded.
    fn from(error: Option<&KvError>) -> StoreService {
        match error {
            None | Some(KvError::Busy | KvError::TooLarge | KvError::Status(_)) => StoreService::Served,
            Some(KvError::Refused) => StoreService::Refused,
            Some(KvError::Unknown(_)) => StoreService::Unreachable,
        }
    }
}

impl StoreHealth {
    /// Takes in how a request to the store went.
    pub fn record(&mut self, now: MonotonicTime, service: StoreService) {
        match service {
            StoreService::Served => {
                self.refused_since = None;
                self.unreachable_since = None;
            }
            StoreService::Refused => {
                self.refused_since.get_or_insert(now);
                self.unreachable_since = None;
            }
            StoreService::Unreachable => {
                self.refused_since.get_or_insert(now);
                self.unreachable_since.get_or_insert(now);
            }
        }
    }

    /// Takes in the answers of all peers, asked together; none for a peer that didn't answer.
    pub fn record_peer_answers(&mut self, answers: &[Option<PeerHeartbeatResponse>]) {
        let leader = |answer: &PeerHeartbeatResponse| Some(answer.leader.clone()).filter(|name| !name.is_empty());
        self.peer_reaches_store = answers.iter().flatten().any(|answer| answer.store_ok);
        self.no_peer_answers = !answers.is_empty() && answers.iter().all(Option::is_none);
        self.leader_per_peers = answers.iter().flatten().find_map(leader);
    }

    /// Whether the last request was refused or not answered.
    pub fn is_refused(&self) -> bool {
        self.refused_since.is_some()
    }

    /// Who leads, as told by a peer that the store serves.
    pub fn leader_per_peers(&self) -> Option<&String> {
        self.leader_per_peers.as_ref()
    }

    /// Whether the store has been silent for so long that asking it for a user would only make the user wait.
    pub fn is_unreachable(&self, now: MonotonicTime) -> bool {
        lasts(self.unreachable_since, now)
    }

    /// Whether users are served better by other controllers: the store refuses this one alone, or this one
    /// reaches neither the store nor any peer. Refused like all, nothing is gained by hiding.
    pub fn is_isolated(&self, now: MonotonicTime) -> bool {
        let refused_alone = lasts(self.refused_since, now) && self.peer_reaches_store;
        let cut_off = lasts(self.unreachable_since, now) && self.no_peer_answers;
        refused_alone || cut_off
    }
}

fn lasts(since: Option<MonotonicTime>, now: MonotonicTime) -> bool {
    since.is_some_and(|since| now - since > TROUBLE_TIMEOUT)
}

#[cfg(test)]
mod tests;
