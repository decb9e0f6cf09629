//! The table of all machines that may exist, with the terminated machines whose late messages must be
//! rejected.

use crate::core::machine::Machine;
use crate::core::provisioning::InstancePool;
use crate::ids::MachineId;
use crate::time::{Millis, MonotonicTime};
use std::collections::{BTreeMap, BTreeSet};

/// Interval between reviews of leases and late heartbeats. A review iterates over all machines.
const REVIEW_INTERVAL: Millis = Millis(200);

/// Maximum number of terminated machines whose ids are kept, in order to reject their delayed heartbeats.
const MAX_TERMINATED_REMEMBERED: usize = 4096;

/// All machines, in whatever state, and the state of their reviews.
pub(super) struct MachineTable {
    /// Every machine that may exist, by name.
    pub(super) known: BTreeMap<MachineId, Machine>,
    /// Machines that the cloud has terminated. Their delayed heartbeats are rejected.
    terminated: BTreeSet<MachineId>,
    /// Machines that the cloud lists as running but that haven't sent a heartbeat yet, with the time at which the list
    /// first showed them.
    awaiting_first_heartbeat: BTreeMap<MachineId, MonotonicTime>,
    /// Instance pools with machines that may not be reconciled yet (they may run tasks that this leader doesn't know),
    /// as of the last planning round. Pools are only added while the cluster state is loaded.
    pub(super) unreconciled: BTreeSet<InstancePool>,
    /// Whether so many machines don't acknowledge their fencing token that this controller is probably slow or
    /// partitioned itself.
    pub(super) many_unacknowledged: bool,
    last_review: MonotonicTime,
}

impl MachineTable {
    /// Creates an empty table; the first review is due one interval after `now`.
    pub(super) fn new(now: MonotonicTime) -> MachineTable {
        MachineTable {
            known: BTreeMap::new(),
            terminated: BTreeSet::new(),
            awaiting_first_heartbeat: BTreeMap::new(),
            unreconciled: BTreeSet::new(),
            many_unacknowledged: false,
            last_review: now,
        }
    }

    /// Whether the cloud is known to have terminated the machine.
    pub(super) fn is_terminated(&self, id: &MachineId) -> bool {
        self.terminated.contains(id)
    }

    /// Removes a machine that the cloud has terminated, and keeps its id in order to reject its delayed heartbeats.
    pub(super) fn remove_terminated(&mut self, id: &MachineId) {
        self.known.remove(id);
        self.terminated.insert(id.clone());
    }

    /// Drops the ids of terminated machines beyond [`MAX_TERMINATED_REMEMBERED`], lowest ids first.
    pub(super) fn trim_terminated(&mut self) {
        while self.terminated.len() > MAX_TERMINATED_REMEMBERED {
            self.terminated.pop_first();
        }
    }

    /// Records that the cloud lists a machine as running from which no heartbeat has come. Returns when this was first
    /// recorded for the machine.
    pub(super) fn awaiting_first_heartbeat_since(&mut self, id: &MachineId, now: MonotonicTime) -> MonotonicTime {
        *self.awaiting_first_heartbeat.entry(id.clone()).or_insert(now)
    }

    /// Stops recording how long the machine's first heartbeat has been missing, as the machine is in the table now.
    pub(super) fn stop_awaiting_first_heartbeat(&mut self, id: &MachineId) {
        self.awaiting_first_heartbeat.remove(id);
    }

    /// Returns whether a review of all machines is due, and if so starts the next interval.
    pub(super) fn take_due_review(&mut self, now: MonotonicTime) -> bool {
        let is_due = now - self.last_review >= REVIEW_INTERVAL;
        if is_due {
            self.last_review = now;
        }
        is_due
    }
}

#[cfg(test)]
mod tests;
