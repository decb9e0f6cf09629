//! What the machines could yield to urgent work, gathered once for many jobs. A look at a machine for a
//! job is then a few comparisons; its tasks are passed over only where the answer may be yes.

use super::*;
use crate::core::provisioning::InstancePool;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// How many priorities there are; [`priority_number`] is below it.
const PRIORITIES: usize = 4;
/// Looks that one search for many jobs may take, for each machine and at the least.
const SEARCH_OPERATIONS_PER_MACHINE: u64 = 32;
const MIN_SEARCH_OPERATIONS: u64 = 16_384;

/// How urgent work is that seeks room.
#[derive(Clone, Copy)]
pub(super) struct Urgency {
    pub priority: usize,
    /// Within its team's guarantee: then work of the same priority beyond a guarantee gives way too.
    pub guaranteed: bool,
}

/// A machine that may get tasks now.
pub(super) struct IndexedMachine {
    pub id: MachineId,
    pub pool: InstancePool,
    /// Neither used nor reserved.
    pub free: Resources,
    /// By priority, what would be free without the tasks of lower priority and those that stop already.
    reclaimable: [Resources; PRIORITIES],
    /// By priority, what its tasks beyond any guarantee use.
    over_guarantee: [Resources; PRIORITIES],
}

impl IndexedMachine {
    /// The most that could become free for such work.
    pub fn reclaimable_by(&self, urgency: Urgency) -> Resources {
        let mut room = self.reclaimable[urgency.priority];
        if urgency.guaranteed {
            room.add(&self.over_guarantee[urgency.priority]);
        }
        room
    }
}

/// By priority, more than any machine of a market yields.
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
    pub machines: Vec<IndexedMachine>,
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

    /// Those of the markets in which some machine may have had room for such work when it was surveyed.
    pub fn promising(
        &self,
        permitted: &BTreeSet<InstancePool>,
        urgency: Urgency,
        need: &Resources,
    ) -> BTreeSet<InstancePool> {
        let may_reclaim = |pool: &&InstancePool| self.pools.get(pool).is_some_and(|m| m.may_reclaim(urgency, need));
        permitted.iter().filter(may_reclaim).copied().collect()
    }

    fn position(&self, id: &MachineId) -> Option<usize> {
        self.machines.binary_search_by(|machine| machine.id.cmp(id)).ok()
    }
}

/// What finding room may still cost in a round.
pub(super) struct OperationBudget {
    all: u64,
    left: u64,
}

impl OperationBudget {
    fn new(machines: usize) -> OperationBudget {
        let all = MIN_SEARCH_OPERATIONS + SEARCH_OPERATIONS_PER_MACHINE * machines as u64;
        OperationBudget { all, left: all }
    }

    pub fn spend(&mut self, operations: u64) {
        self.left = self.left.saturating_sub(operations);
    }

    pub fn is_spent(&self) -> bool {
        self.left == 0
    }

    /// So much is spent that the rest is for those who have waited longest for a search.
    pub fn is_mostly_spent(&self) -> bool {
        self.left < self.all / 4
    }
}

/// A search for room for many jobs: its survey, made when it is first needed, and its budget. No tasks are
/// placed meanwhile.
pub(super) struct PreemptionSearch {
    index: Option<PreemptionIndex>,
    pub budget: OperationBudget,
}

impl PreemptionSearch {
    pub fn new(machines: usize) -> PreemptionSearch {
        PreemptionSearch { index: None, budget: OperationBudget::new(machines) }
    }

    pub fn index(&mut self, leader: &Scheduler, now: MonotonicTime) -> &PreemptionIndex {
        self.index.get_or_insert_with(|| leader.build_preemption_index(now))
    }

    /// Looks at a machine again, whose tasks or reservations have changed.
    pub fn refresh(&mut self, leader: &Scheduler, now: MonotonicTime, id: &MachineId) {
        let Some(index) = &mut self.index else { return };
        let Some(at) = index.position(id) else { return };
        if let Some(machine) = leader.machines.known.get(id).and_then(|m| leader.index_machine(now, id, m)) {
            index.machines[at] = machine;
        }
    }
}

/// A machine that could make room, by what would be lost: the least first, then the first by name.
#[derive(Clone, Copy, PartialEq)]
struct Candidate {
    loss: f64,
    /// Its position in the survey.
    at: usize,
}

impl Eq for Candidate {}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Candidate) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Candidate {
    fn cmp(&self, other: &Candidate) -> Ordering {
        self.loss.total_cmp(&other.loss).then(self.at.cmp(&other.at))
    }
}

/// Candidates, the one to be taken first on top.
#[derive(Default)]
pub(super) struct Candidates(BinaryHeap<Reverse<Candidate>>);

impl Candidates {
    pub fn push(&mut self, loss: f64, at: usize) {
        self.0.push(Reverse(Candidate { loss, at }));
    }

    /// The position of the machine where the least would be lost.
    pub fn pop(&mut self) -> Option<usize> {
        self.0.pop().map(|Reverse(candidate)| candidate.at)
    }

    /// Whether another machine would lose less than this.
    pub fn has_better_than(&self, loss: f64) -> bool {
        self.0.peek().is_some_and(|Reverse(candidate)| candidate.loss < loss)
    }
}

impl Scheduler {
    /// All machines that may get tasks now, and what each could yield.
    fn build_preemption_index(&self, now: MonotonicTime) -> PreemptionIndex {
        self.cost.add_machines(self.machines.known.len());
        let indexed = self.machines.known.iter().filter_map(|(id, m)| self.index_machine(now, id, m));
        PreemptionIndex::new(indexed.collect())
    }

    fn index_machine(&self, now: MonotonicTime, id: &MachineId, m: &Machine) -> Option<IndexedMachine> {
        if !m.usable(now, self.heartbeat_timeout()) {
            return None;
        }
        self.cost.add_tasks(m.allocations.len());
        let free = self.unreserved_capacity(id, m, None);
        let mut reclaimable = [free; PRIORITIES];
        let mut over_guarantee = [Resources::default(); PRIORITIES];
        for (key, allocation) in m.allocations.iter().filter(|(_, allocation)| !allocation.has_exited()) {
            let priority = priority_number(allocation.priority) as usize;
            // What is already told to stop will be free soon, for anyone.
            let first_served = if allocation.stop.is_some() { PRIORITIES } else { priority };
            reclaimable[..first_served].iter_mut().for_each(|room| room.add(&allocation.need));
            if allocation.stop.is_none() && !self.quota.is_within_guarantee(&key.0.job) {
                over_guarantee[priority].add(&allocation.need);
            }
        }
        Some(IndexedMachine { id: id.clone(), pool: m.pool(), free, reclaimable, over_guarantee })
    }

    /// How urgent a job's work is that seeks room.
    pub(super) fn urgency(&self, id: &JobId, j: &Job) -> Urgency {
        Urgency { priority: priority_number(j.priority()) as usize, guaranteed: self.quota.is_within_guarantee(id) }
    }
}
