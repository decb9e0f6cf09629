//! The simulated key-value store: leases, the leader's key and the cancellations.

use super::*;

impl ElectionSimulation {
    pub(super) fn step_leases(&mut self) {
        let now = self.now;
        if now < self.outage_until {
            // When an outage ends, the store gives every lease its full time to live again.
            let earliest_end = self.outage_until + LEADER_LEASE_TTL_MS;
            self.leases.values_mut().for_each(|end| *end = (*end).max(earliest_end));
            return;
        }
        self.leases.retain(|_, end| *end > now);
        if self.leader_key.is_some_and(|key| !self.leases.contains_key(&key.lease)) {
            self.leader_key = None;
            self.revision += 1;
        }
    }

    /// Ends a lease before its time, which deletes the leader's key if that is attached to the lease.
    pub(super) fn revoke(&mut self, lease: u64) {
        self.leases.remove(&lease);
        if self.leader_key.is_some_and(|key| key.lease == lease) {
            self.leader_key = None;
            self.revision += 1;
        }
    }

    /// Cancels the job unless it is cancelled already. Returns the revision of the cancellation.
    pub(super) fn commit_cancellation(&mut self, job: JobId) -> u64 {
        if let Some(revision) = self.cancelled.get(&job) {
            return *revision;
        }
        self.revision += 1;
        self.cancelled.insert(job, self.revision);
        self.revision
    }
}
