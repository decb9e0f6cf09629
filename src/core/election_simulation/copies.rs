//! Copies of requests to the store and to the peers that were carried out before and arrive again late.

use super::*;

/// Upper bound of the time after which a copy arrives.
const MAX_COPY_DELAY_MS: u64 = 60_000;

/// A request of which a copy arrives late. Nobody awaits the answer to the copy.
#[derive(Clone, Copy)]
pub(super) enum RequestCopy {
    /// The transaction that makes a controller the leader if there is none.
    Candidacy(LeaderKey),
    /// Renews the lease with this id.
    Renewal { lease: u64 },
    /// Revokes the lease with this id.
    Revocation { lease: u64 },
    /// Asks a controller to pledge to the leader of a term that it won't stand for election.
    PledgeRequest { peer: usize, term: Term, read_through: Revision },
}

impl ElectionSimulation {
    /// Draws whether a copy of a request arrives late.
    pub(super) fn copy_late(&mut self, request: RequestCopy) {
        if self.copy_probability > 0.0 && self.chance(self.copy_probability) {
            let due_at = self.now + self.rng.random_range(1..MAX_COPY_DELAY_MS);
            self.copies.push((due_at, request));
        }
    }

    /// Delivers the copies that are due, and may copy them once more.
    pub(super) fn deliver_copies(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.copies).into_iter().partition(|(due_at, _)| *due_at <= now);
        self.copies = rest;
        for (_, request) in due {
            self.deliver_copy(request);
            self.copy_late(request);
        }
    }

    fn deliver_copy(&mut self, request: RequestCopy) {
        let store_serves = self.now >= self.outage_until;
        match request {
            RequestCopy::Candidacy(key) => {
                if store_serves && self.leader_key.is_none() && self.leases.contains_key(&key.lease) {
                    self.revision += 1;
                    self.leader_key = Some(key);
                }
            }
            RequestCopy::Renewal { lease } => {
                let renewed_until = self.now + LEADER_LEASE_TTL_MS;
                if let Some(end) = self.leases.get_mut(&lease).filter(|_| store_serves) {
                    *end = (*end).max(renewed_until);
                }
            }
            RequestCopy::Revocation { lease } if store_serves => self.revoke(lease),
            RequestCopy::Revocation { .. } => {}
            RequestCopy::PledgeRequest { peer, term, read_through } => {
                let controller = &mut self.controllers[peer];
                if self.now >= controller.frozen_until {
                    let clock = controller.clock(self.now);
                    // The pledge reaches nobody.
                    let _ = controller.election.pledge_to(clock, term, read_through, &controller.cancellations);
                }
            }
        }
    }
}
