//! The key-value store of the model: leases, the leader key and the cancellations.

use super::*;

impl ElectionSimulation {
    pub(super) fn step_leases(&mut self) {
        let now = self.now;
        if now < self.outage_until {
            // After an outage all leases regain their full time.
            let regained = self.outage_until + LEADER_LEASE_TTL;
            self.leases.values_mut().for_each(|end| *end = (*end).max(regained));
            return;
        }
        self.leases.retain(|_, end| *end > now);
        if self.leader_key.is_some_and(|key| !self.leases.contains_key(&key.lease)) {
            self.leader_key = None;
            self.revision += 1;
        }
    }

    /// The revision at which the job was cancelled: now, or before.
    pub(super) fn commit_cancellation(&mut self, job: JobId) -> u64 {
        if let Some(revision) = self.cancelled.get(&job) {
            return *revision;
        }
        self.revision += 1;
        self.cancelled.insert(job, self.revision);
        self.revision
    }
}
