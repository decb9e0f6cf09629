//! What each machine could free for urgent work, by priority, gathered once for many jobs. Checking a machine
//! for a job then takes a few comparisons; its tasks are passed over only where it may have the capacity.

use super::Scheduler;
use crate::core::jobs::{Job, priority_number};
use crate::core::machine::{Machine, Resources};
use crate::core::provisioning::InstancePool;
use crate::ids::{JobId, MachineId};
use crate::time::MonotonicTime;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// How many priorities there are; [`priority_number`] is below it.
const PRIORITIES: usize = 4;
/// Operations that one search for many jobs may take for each machine.
const SEARCH_OPERATIONS_PER_MACHINE: u64 = 32;
/// Operations that it may take in any fleet, besides those for its machines.
const MIN_SEARCH_OPERATIONS: u64 = 16_384;

/// How urgent work is that other work may be stopped for.
#[derive(Clone, Copy)]
pub(super) struct Urgency {
    /// As [`priority_number`] gives it; the lowest is the most urgent.
    pub(super) priority: usize,
    /// Within its team's guarantee: then work of the same priority beyond a guarantee gives way too.
    pub(super) guaranteed: bool,
}

/// A machine that may get tasks now.
pub(super) struct IndexedMachine {
    pub(super) id: MachineId,
    pub(super) pool: InstancePool,
    /// Neither used nor reserved.
    pub(super) free: Resources,
    /// By priority, what would be free without the tasks of lower priority and those that stop already.
    reclaimable: [Resources; PRIORITIES],
    /// By priority, what its tasks beyond any guarantee use.
    over_guarantee: [Resources; PRIORITIES],
}

impl IndexedMachine {
    /// The most that could become free for such work.
    pub(super) fn reclaimable_by(&self, urgency: Urgency) -> Resources {
        let mut reclaimable = self.reclaimable[urgency.priority];
        if urgency.guaranteed {
            reclaimable.add(&self.over_guarantee[urgency.priority]);
        }
        reclaimable
    }
}

/// By priority, at least what any machine of an instance pool could free.
#[derive(Default)]
struct ReclaimableByPool {
    to_any: [Resources; PRIORITIES],
    to_guaranteed: [Resources; PRIORITIES],
}

impl ReclaimableByPool {
    fn include(&mut self, machine: &IndexedMachine) {
        for priority in 0..PRIORITIES {
            let reclaimable = |guaranteed| machine.reclaimable_by(Urgency { priority, guaranteed });
            self.to_any[priority].max_with(&reclaimable(false));
            self.to_guaranteed[priority].max_with(&reclaimable(true));
        }
    }

    fn may_reclaim(&self, urgency: Urgency, need: &Resources) -> bool {
        let reclaimable = if urgency.guaranteed { &self.to_guaranteed } else { &self.to_any };
        reclaimable[urgency.priority].covers(need)
    }
}

/// The machines that may get tasks, in the order of their names.
pub(super) struct PreemptionIndex {
    pub(super) machines: Vec<IndexedMachine>,
    pools: BTreeMap<InstancePool, ReclaimableByPool>,
}

impl PreemptionIndex {
    fn new(machines: Vec<IndexedMachine>) -> PreemptionIndex {
        let mut pools: BTreeMap<InstancePool, ReclaimableByPool> = BTreeMap::new();
        for machine in &machines {
            pools.entry(machine.pool).or_default().include(machine);
        }
        PreemptionIndex { machines, pools }
    }

    /// Those of the permitted pools in which some machine may have had the capacity when the index was built.
    pub(super) fn promising(
        &self,
        permitted: &BTreeSet<InstancePool>,
        urgency: Urgency,
        need: &Resources,
    ) -> BTreeSet<InstancePool> {
        let may_reclaim = |pool: &&InstancePool| {
            self.pools.get(pool).is_some_and(|reclaimable| reclaimable.may_reclaim(urgency, need))
        };
        permitted.iter().filter(may_reclaim).copied().collect()
    }

    fn position(&self, id: &MachineId) -> Option<usize> {
        self.machines.binary_search_by(|machine| machine.id.cmp(id)).ok()
    }
}

/// The operations that a search may still take.
pub(super) struct OperationBudget {
    all: u64,
    left: u64,
}

impl OperationBudget {
    fn new(machines: usize) -> OperationBudget {
        let all = MIN_SEARCH_OPERATIONS + SEARCH_OPERATIONS_PER_MACHINE * machines as u64;
        OperationBudget { all, left: all }
    }

    /// Takes off what a part of the search took.
    pub(super) fn spend(&mut self, operations: u64) {
        self.left = self.left.saturating_sub(operations);
    }

    /// Whether nothing is left.
    pub(super) fn is_spent(&self) -> bool {
        self.left == 0
    }

    /// Whether so much is spent that the rest is for those who have waited longest for a search.
    pub(super) fn is_mostly_spent(&self) -> bool {
        self.left < self.all / 4
    }
}

/// A search for capacity for many jobs: its index, built when it is first needed, and its budget. No tasks are
/// placed meanwhile.
pub(super) struct PreemptionSearch {
    index: Option<PreemptionIndex>,
    pub(super) budget: OperationBudget,
}

impl PreemptionSearch {
    /// A search among so many machines.
    pub(super) fn new(machines: usize) -> PreemptionSearch {
        PreemptionSearch { index: None, budget: OperationBudget::new(machines) }
    }

    /// The index, which is built if there is none yet.
    pub(super) fn index(&mut self, scheduler: &Scheduler, now: MonotonicTime) -> &PreemptionIndex {
        self.index.get_or_insert_with(|| scheduler.build_preemption_index(now))
    }

    /// Indexes a machine anew whose tasks or reservations have changed.
    pub(super) fn refresh(&mut self, scheduler: &Scheduler, now: MonotonicTime, id: &MachineId) {
        let Some(index) = &mut self.index else { return };
        let Some(position) = index.position(id) else { return };
        if let Some(machine) =
            scheduler.machines.known.get(id).and_then(|machine| scheduler.index_machine(now, id, machine))
        {
            index.machines[position] = machine;
        }
    }
}

/// A machine where stopping work makes capacity, by what would be lost: the least first, then the first by name.
#[derive(Clone, Copy, PartialEq)]
struct Candidate {
    loss: f64,
    /// Its position in the index.
    position: usize,
}

impl Eq for Candidate {}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Candidate) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Candidate {
    fn cmp(&self, other: &Candidate) -> Ordering {
        self.loss.total_cmp(&other.loss).then(self.position.cmp(&other.position))
    }
}

/// Candidates, the one to be taken first on top.
#[derive(Default)]
pub(super) struct Candidates(BinaryHeap<Reverse<Candidate>>);

impl Candidates {
    /// Adds a machine by its position in the index.
    pub(super) fn push(&mut self, loss: f64, position: usize) {
        self.0.push(Reverse(Candidate { loss, position }));
    }

    /// Takes out the machine where the least would be lost. Returns its position in the index.
    pub(super) fn pop(&mut self) -> Option<usize> {
        self.0.pop().map(|Reverse(candidate)| candidate.position)
    }

    /// Whether another machine would lose less than this.
    pub(super) fn has_better_than(&self, loss: f64) -> bool {
        self.0.peek().is_some_and(|Reverse(candidate)| candidate.loss < loss)
    }
}

impl Scheduler {
    /// All machines that may get tasks now, and what each could free.
    fn build_preemption_index(&self, now: MonotonicTime) -> PreemptionIndex {
        self.cost.add_machines(self.machines.known.len());
        let indexed = self.machines.known.iter().filter_map(|(id, machine)| self.index_machine(now, id, machine));
        PreemptionIndex::new(indexed.collect())
    }

    /// None: the machine may not get tasks now.
    fn index_machine(&self, now: MonotonicTime, id: &MachineId, machine: &Machine) -> Option<IndexedMachine> {
        if !machine.is_schedulable(now, self.heartbeat_timeout()) {
            return None;
        }
        self.cost.add_tasks(machine.allocations.len());
        let free = self.unreserved_capacity(id, machine, None);
        let mut reclaimable = [free; PRIORITIES];
        let mut over_guarantee = [Resources::default(); PRIORITIES];
        for (key, allocation) in machine.allocations.iter().filter(|(_, allocation)| !allocation.has_exited()) {
            let priority = priority_number(allocation.priority) as usize;
            // What is already told to stop will be free soon, for anyone.
            let served_below = if allocation.stop_leeway_s.is_some() { PRIORITIES } else { priority };
            reclaimable[..served_below].iter_mut().for_each(|reclaimable| reclaimable.add(&allocation.need));
            if allocation.stop_leeway_s.is_none() && !self.quota.is_within_guarantee(&key.0.job) {
                over_guarantee[priority].add(&allocation.need);
            }
        }
        Some(IndexedMachine { id: id.clone(), pool: machine.pool(), free, reclaimable, over_guarantee })
    }

    /// How urgent a job's work is.
    pub(super) fn urgency(&self, id: &JobId, job: &Job) -> Urgency {
        Urgency { priority: priority_number(job.priority()) as usize, guaranteed: self.quota.is_within_guarantee(id) }
    }
}
