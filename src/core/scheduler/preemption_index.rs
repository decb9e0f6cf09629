//! An index of the resources that preemption could free on each machine, by priority. It is built once for many jobs:
//! checking a machine for a job takes a few comparisons, and the machine's tasks are examined only if it may have
//! enough capacity.

use super::Scheduler;
use crate::core::jobs::{Job, priority_number};
use crate::core::machine::{Machine, Resources};
use crate::core::provisioning::InstancePool;
use crate::ids::{JobId, MachineId};
use crate::time::MonotonicTime;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// Number of job priorities; [`priority_number`] returns numbers below this one.
const PRIORITIES: usize = 4;
/// Number of operations that one search for tasks to preempt may perform, per machine of the fleet.
const SEARCH_OPERATIONS_PER_MACHINE: u64 = 32;
/// Number of operations that one search for tasks to preempt may perform in a fleet of any size, in addition to those
/// per machine.
const MIN_SEARCH_OPERATIONS: u64 = 16_384;

/// How urgent a job is, which decides whose tasks it may preempt.
#[derive(Clone, Copy)]
pub(super) struct Urgency {
    /// The job's priority as given by [`priority_number`]; the lowest number is the most urgent.
    pub(super) priority: usize,
    /// Whether the job is within its team's guarantee, so that it may also preempt tasks of the same priority that are
    /// beyond their team's guarantee.
    pub(super) guaranteed: bool,
}

/// A schedulable machine, with what preemption could free on it.
pub(super) struct IndexedMachine {
    pub(super) id: MachineId,
    pub(super) pool: InstancePool,
    /// Resources of the machine that are neither used nor reserved.
    pub(super) free: Resources,
    /// By priority of a preempting job, the resources that would be free without the machine's tasks of lower priority
    /// and without those that are already being stopped.
    reclaimable: [Resources; PRIORITIES],
    /// By priority, the resources that the machine's tasks beyond their team's guarantee use.
    over_guarantee: [Resources; PRIORITIES],
}

impl IndexedMachine {
    /// Upper bound on the resources of the machine that could become free for a job of this urgency.
    pub(super) fn reclaimable_by(&self, urgency: Urgency) -> Resources {
        let mut reclaimable = self.reclaimable[urgency.priority];
        if urgency.guaranteed {
            reclaimable.add(&self.over_guarantee[urgency.priority]);
        }
        reclaimable
    }
}

/// By priority of a preempting job, an upper bound on the resources that preemption could free on any single machine of
/// an instance pool.
#[derive(Default)]
struct PoolReclaimable {
    for_any: [Resources; PRIORITIES],
    for_guaranteed: [Resources; PRIORITIES],
}

impl PoolReclaimable {
    fn include(&mut self, machine: &IndexedMachine) {
        for priority in 0..PRIORITIES {
            let reclaimable = |guaranteed| machine.reclaimable_by(Urgency { priority, guaranteed });
            self.for_any[priority].max_with(&reclaimable(false));
            self.for_guaranteed[priority].max_with(&reclaimable(true));
        }
    }

    fn may_reclaim(&self, urgency: Urgency, need: &Resources) -> bool {
        let reclaimable = if urgency.guaranteed { &self.for_guaranteed } else { &self.for_any };
        reclaimable[urgency.priority].covers(need)
    }
}

/// The schedulable machines, sorted by id.
pub(super) struct PreemptionIndex {
    pub(super) machines: Vec<IndexedMachine>,
    pools: BTreeMap<InstancePool, PoolReclaimable>,
}

impl PreemptionIndex {
    fn new(machines: Vec<IndexedMachine>) -> PreemptionIndex {
        let mut pools: BTreeMap<InstancePool, PoolReclaimable> = BTreeMap::new();
        for machine in &machines {
            pools.entry(machine.pool).or_default().include(machine);
        }
        PreemptionIndex { machines, pools }
    }

    /// The permitted pools in which some machine may have had enough capacity when the index was built.
    pub(super) fn pools_that_may_fit(
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

/// The operations that a search may still perform, as counted by the scheduler's operation meter.
pub(super) struct OperationBudget {
    total: u64,
    left: u64,
}

impl OperationBudget {
    fn new(machines: usize) -> OperationBudget {
        let total = MIN_SEARCH_OPERATIONS + SEARCH_OPERATIONS_PER_MACHINE * machines as u64;
        OperationBudget { total, left: total }
    }

    /// Deducts operations that the search has performed from its budget.
    pub(super) fn spend(&mut self, operations: u64) {
        self.left = self.left.saturating_sub(operations);
    }

    /// Whether the search has used up its budget.
    pub(super) fn is_spent(&self) -> bool {
        self.left == 0
    }

    /// Whether less than a quarter of the search's budget remains. The last quarter goes to the jobs for which capacity
    /// was searched for longest ago.
    pub(super) fn is_mostly_spent(&self) -> bool {
        self.left < self.total / 4
    }
}

/// A search for capacity for many jobs, with an index that is built on first use and an operation budget. The
/// index is not updated when tasks are placed, so a new search is needed after that.
pub(super) struct PreemptionSearch {
    index: Option<PreemptionIndex>,
    pub(super) budget: OperationBudget,
}

impl PreemptionSearch {
    /// A search in a fleet of this many machines.
    pub(super) fn new(machines: usize) -> PreemptionSearch {
        PreemptionSearch { index: None, budget: OperationBudget::new(machines) }
    }

    /// The preemption index, which is built on first use.
    pub(super) fn index(&mut self, scheduler: &Scheduler, now: MonotonicTime) -> &PreemptionIndex {
        self.index.get_or_insert_with(|| scheduler.build_preemption_index(now))
    }

    /// Updates the index entry of a machine whose tasks or reservations have changed.
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

/// A machine where stopping tasks frees capacity. Ordered by the loss that stopping them causes, then by machine id.
#[derive(Clone, Copy, PartialEq)]
struct PreemptionCandidate {
    loss: f64,
    /// Position of the machine in the index.
    position: usize,
}

impl Eq for PreemptionCandidate {}

impl PartialOrd for PreemptionCandidate {
    fn partial_cmp(&self, other: &PreemptionCandidate) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for PreemptionCandidate {
    fn cmp(&self, other: &PreemptionCandidate) -> Ordering {
        self.loss.total_cmp(&other.loss).then(self.position.cmp(&other.position))
    }
}

/// Candidate machines, the one with the least loss on top.
#[derive(Default)]
pub(super) struct PreemptionCandidates(BinaryHeap<Reverse<PreemptionCandidate>>);

impl PreemptionCandidates {
    /// Adds the machine at a position of the index, where stopping tasks causes this loss in processor seconds.
    pub(super) fn push(&mut self, loss: f64, position: usize) {
        self.0.push(Reverse(PreemptionCandidate { loss, position }));
    }

    /// Removes the machine with the least loss and returns its position in the index.
    pub(super) fn pop(&mut self) -> Option<usize> {
        self.0.pop().map(|Reverse(candidate)| candidate.position)
    }

    /// Whether stopping tasks on some candidate machine causes less loss than this one.
    pub(super) fn has_better_than(&self, loss: f64) -> bool {
        self.0.peek().is_some_and(|Reverse(candidate)| candidate.loss < loss)
    }
}

impl Scheduler {
    /// Indexes all schedulable machines.
    fn build_preemption_index(&self, now: MonotonicTime) -> PreemptionIndex {
        self.meter.add_machines(self.machines.known.len());
        let indexed = self.machines.known.iter().filter_map(|(id, machine)| self.index_machine(now, id, machine));
        PreemptionIndex::new(indexed.collect())
    }

    /// The index entry of a machine. Returns `None` if the machine is not schedulable.
    fn index_machine(&self, now: MonotonicTime, id: &MachineId, machine: &Machine) -> Option<IndexedMachine> {
        if !machine.is_schedulable(now, self.heartbeat_timeout()) {
            return None;
        }
        self.meter.add_tasks(machine.allocations.len());
        let free = self.unreserved_capacity(id, machine, None);
        let mut reclaimable = [free; PRIORITIES];
        let mut over_guarantee = [Resources::default(); PRIORITIES];
        for (key, allocation) in machine.allocations.iter().filter(|(_, allocation)| !allocation.has_exited()) {
            let priority = priority_number(allocation.priority) as usize;
            // Resources of tasks that are being stopped will soon be free for jobs of any priority.
            let available_below = if allocation.stop_leeway_s.is_some() { PRIORITIES } else { priority };
            reclaimable[..available_below].iter_mut().for_each(|reclaimable| reclaimable.add(&allocation.need));
            if allocation.stop_leeway_s.is_none() && !self.quota.is_within_guarantee(&key.0.job) {
                over_guarantee[priority].add(&allocation.need);
            }
        }
        Some(IndexedMachine { id: id.clone(), pool: machine.pool(), free, reclaimable, over_guarantee })
    }

    /// The priority of a job, and whether it is within its team's guarantee.
    pub(super) fn urgency(&self, id: &JobId, job: &Job) -> Urgency {
        Urgency { priority: priority_number(job.priority()) as usize, guaranteed: self.quota.is_within_guarantee(id) }
    }
}
