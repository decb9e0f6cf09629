//! The machines that the scheduler knows, and what it remembers of others.

use crate::core::machine::Machine;
use crate::core::provisioning::InstancePool;
use crate::ids::MachineId;
use crate::time::{Millis, MonotonicTime};
use std::collections::{BTreeMap, BTreeSet};

/// Leases and late heartbeats are looked at this often; each review goes through all machines.
const REVIEW_INTERVAL: Millis = Millis(200);

/// How many terminated machines are remembered.
const MAX_TERMINATED_REMEMBERED: usize = 4096;

/// All machines, whatever their state.
pub(super) struct MachineTable {
    /// Every machine that may exist, by name.
    pub(super) known: BTreeMap<MachineId, Machine>,
    /// Terminated for good; late heartbeats of theirs mean nothing.
    terminated: BTreeSet<MachineId>,
    /// Listed as running by the cloud, but never heard of: since when.
    never_heard: BTreeMap<MachineId, MonotonicTime>,
    /// Where machines may not be reconciled yet, as of the last round; none is added after the load.
    pub(super) unreconciled: BTreeSet<InstancePool>,
    /// So many machines don't acknowledge their token that it is rather this controller that
    /// is slow or cut off.
    pub(super) many_unacknowledged: bool,
    reviewed_at: MonotonicTime,
}

impl MachineTable {
    /// Without machines, as just reviewed.
    pub(super) fn new(now: MonotonicTime) -> MachineTable {
        MachineTable {
            known: BTreeMap::new(),
            terminated: BTreeSet::new(),
            never_heard: BTreeMap::new(),
            unreconciled: BTreeSet::new(),
            many_unacknowledged: false,
            reviewed_at: now,
        }
    }

    /// Whether the cloud is known to have terminated this machine.
    pub(super) fn is_terminated(&self, id: &MachineId) -> bool {
        self.terminated.contains(id)
    }

    /// The cloud has terminated this machine.
    pub(super) fn remove_terminated(&mut self, id: &MachineId) {
        self.known.remove(id);
        self.terminated.insert(id.clone());
    }

    /// Forgets terminated machines beyond the limit, the lowest names first.
    pub(super) fn forget_terminated(&mut self) {
        while self.terminated.len() > MAX_TERMINATED_REMEMBERED {
            self.terminated.pop_first();
        }
    }

    /// The cloud lists this machine as running, and no heartbeat of it has come: since when.
    pub(super) fn never_heard_since(&mut self, id: &MachineId, now: MonotonicTime) -> MonotonicTime {
        *self.never_heard.entry(id.clone()).or_insert(now)
    }

    /// The machine has been entered.
    pub(super) fn clear_never_heard(&mut self, id: &MachineId) {
        self.never_heard.remove(id);
    }

    /// Whether a review of all machines is due; the next one counts from now then.
    pub(super) fn take_review(&mut self, now: MonotonicTime) -> bool {
        let is_due = now - self.reviewed_at >= REVIEW_INTERVAL;
        if is_due {
            self.reviewed_at = now;
        }
        is_due
    }
}

#[cfg(test)]
mod tests;
