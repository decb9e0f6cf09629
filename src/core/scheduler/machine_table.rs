//! The machines that the scheduler knows, and what it remembers of others.

use crate::core::machine::Machine;
use crate::core::provisioning::InstancePool;
use crate::ids::MachineId;
use crate::time::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet};

/// All machines, whatever their state.
pub(super) struct MachineTable {
    pub known: BTreeMap<MachineId, Machine>,
    /// Terminated for good; late heartbeats of theirs mean nothing.
    pub terminated: BTreeSet<MachineId>,
    /// Listed as running by the cloud, but never heard of: since when.
    pub never_heard: BTreeMap<MachineId, MonotonicTime>,
    /// Where machines may not be reconciled yet, as of the last round; none is added after the load.
    pub unreconciled: BTreeSet<InstancePool>,
    /// So many machines don't acknowledge their token that it is rather this controller that
    /// is slow or cut off.
    pub many_unacknowledged: bool,
    /// When the machines were last reviewed.
    pub reviewed_at: MonotonicTime,
}

impl MachineTable {
    pub fn new(now: MonotonicTime) -> MachineTable {
        MachineTable {
            known: BTreeMap::new(),
            terminated: BTreeSet::new(),
            never_heard: BTreeMap::new(),
            unreconciled: BTreeSet::new(),
            many_unacknowledged: false,
            reviewed_at: now,
        }
    }
}
