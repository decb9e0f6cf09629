//! Preemption: work of lower priority is stopped for tasks that would start too late otherwise.

use super::Scheduler;
use super::eviction::{PlacementTarget, Preemptor};
use super::gang_reservations::PartialCapacity;
use super::planner_view::{PlannedJob, PlannerView, zone_counts};
use super::preemption_index::{Candidates, PreemptionSearch};
use crate::core::jobs::{Job, priority_number};
use crate::core::machine::Resources;
use crate::core::placement;
use crate::core::provisioning::InstancePool;
use crate::ids::JobId;
use crate::peer::{JobView, PlanOutput, Waiting, ZoneCount};
use crate::time::MonotonicTime;
use crate::wire::{Kind, Priority};
use log::debug;
use std::collections::{BTreeSet, VecDeque};

/// Tasks of a job that work is stopped for in one round.
const MAX_TASKS_PER_PREEMPTOR: u32 = 64;
/// Machines whose tasks one search passes over; a larger fleet has its turn part by part.
const MAX_CANDIDATES: usize = 256;
/// Reservations that there may be for each machine.
const MAX_RESERVATIONS_PER_MACHINE: usize = 2;
/// Reservations that there may be in any fleet, besides those for its machines.
const MIN_RESERVATIONS: usize = 1_024;
/// A job without a deadline is due at this many times the finish that is expected of it.
const DUE_WITHOUT_DEADLINE: f64 = 2.0;

/// Capacity that is to be made for tasks of a job.
pub(super) struct PreemptionRequest {
    pub(super) job: JobId,
    pub(super) target: PlacementTarget,
    pub(super) tasks: u32,
    /// The instance pools that the machines may be of.
    pub(super) pools: BTreeSet<InstancePool>,
}

/// A job whose turn to have work stopped for it comes in this round.
struct QueuedPreemptor {
    id: JobId,
    /// Priority and whether it is beyond its team's guarantee: the lowest is the most urgent.
    urgency: (u32, bool),
    /// The round of the last search for it.
    last_searched_round: u64,
    tasks: u32,
}

impl Scheduler {
    /// Stops work for the tasks that found no machine that is up, within the search's budget; and gives up on
    /// spot machines that don't come.
    pub(super) fn preempt_for_waiting(
        &mut self,
        now: MonotonicTime,
        view: &PlannerView,
        plan: &PlanOutput,
        search: &mut PreemptionSearch,
    ) {
        let mut preemptors = self.waiting_preemptors(now, view, plan);
        // The most urgent first, and of those whoever has waited longest for a search: what the budget
        // doesn't reach goes on in the next round.
        preemptors.sort_by_key(|preemptor| (preemptor.urgency, preemptor.last_searched_round));
        let mut preemptors: VecDeque<QueuedPreemptor> = preemptors.into();
        while !search.budget.is_mostly_spent()
            && let Some(preemptor) = preemptors.pop_front()
        {
            self.preempt_for(now, &preemptor, search);
        }
        // The rest of the budget goes round among all: urgent work that finds nothing starves nobody.
        preemptors.make_contiguous().sort_by_key(|preemptor| preemptor.last_searched_round);
        while !search.budget.is_spent()
            && let Some(preemptor) = preemptors.pop_front()
        {
            self.preempt_for(now, &preemptor, search);
        }
    }

    /// The waiting jobs of a plan that work may be stopped for. Reviews the wait of each for spot machines.
    fn waiting_preemptors(
        &mut self,
        now: MonotonicTime,
        view: &PlannerView,
        plan: &PlanOutput,
    ) -> Vec<QueuedPreemptor> {
        let mut preemptors = Vec::new();
        for waiting in &plan.waiting {
            let Some(PlannedJob { id, .. }) = view.jobs.get(waiting.job as usize) else { continue };
            let Some(job_view) = view.input.jobs.get(waiting.job as usize) else { continue };
            self.review_spot_wait(now, id, job_view, waiting);
            if self.may_preempt(id, job_view, waiting) {
                let last_searched_round = self.jobs.live.get(id).map_or(0, |job| job.last_preemption_search_round);
                preemptors.push(QueuedPreemptor {
                    id: *id,
                    urgency: (job_view.priority, !job_view.guaranteed),
                    last_searched_round,
                    tasks: waiting.count.min(MAX_TASKS_PER_PREEMPTOR),
                });
            }
        }
        self.cost.add_jobs(plan.waiting.len());
        preemptors
    }

    /// The paper's second fall-back: gives up on spot machines that don't come.
    fn review_spot_wait(&mut self, now: MonotonicTime, id: &JobId, view: &JobView, waiting: &Waiting) {
        let window_s = self.tuning.spot_window_s;
        let Some(job) = self.jobs.live.get_mut(id) else { return };
        if !waiting.on_spot {
            job.spot_wait_since = None;
            return;
        }
        let since = *job.spot_wait_since.get_or_insert(now);
        let due_s = view.due_s.unwrap_or(DUE_WITHOUT_DEADLINE * waiting.finish_s);
        let sub_deadline_s = placement::sub_deadline(due_s, view.run_s, true);
        let waited_s = (now - since).as_secs_f64();
        if !job.no_new_spot && placement::spot_wait_is_over(sub_deadline_s, waiting.finish_s, waited_s, window_s) {
            debug!("job waits for spot machines no longer: job={id}");
            job.no_new_spot = true;
        }
    }

    /// Whether other work may be stopped for a waiting job.
    fn may_preempt(&self, id: &JobId, view: &JobView, waiting: &Waiting) -> bool {
        let urgent = view.priority <= priority_number(Priority::High) || view.guaranteed;
        // Work is only stopped for a job that would start too late otherwise.
        let slo_s = self.jobs.live.get(id).and_then(|job| self.settings.start_slo_s(&job.spec.class, view.guaranteed));
        urgent && !slo_s.is_some_and(|slo_s| waiting.ready_s > 0.0 && view.age_s + waiting.ready_s <= slo_s)
    }

    fn preempt_for(&mut self, now: MonotonicTime, preemptor: &QueuedPreemptor, search: &mut PreemptionSearch) {
        let Some(job) = self.jobs.live.get_mut(&preemptor.id) else { return };
        job.last_preemption_search_round = self.rounds.count();
        if job.spec.kind == Kind::Gang {
            // All of it or nothing: work is stopped only where that is enough.
            self.reserve_for_gang(now, search, &preemptor.id, PartialCapacity::Release);
        } else {
            let (id, tasks) = (&preemptor.id, preemptor.tasks);
            self.preempt_in_permitted_pools(now, search, id, PlacementTarget::Anywhere, tasks);
        }
    }

    /// [`Scheduler::preempt_tasks`] in all instance pools that the job permits.
    pub(super) fn preempt_in_permitted_pools(
        &mut self,
        now: MonotonicTime,
        search: &mut PreemptionSearch,
        id: &JobId,
        target: PlacementTarget,
        tasks: u32,
    ) -> u32 {
        let Some(job) = self.jobs.live.get(id) else { return 0 };
        let pools = self.permitted_pools(&job.spec);
        self.preempt_tasks(now, search, &PreemptionRequest { job: *id, target, tasks, pools })
    }

    /// Stops work of lower priority where that makes capacity for tasks of a job, and reserves that. Returns for
    /// how many.
    pub(super) fn preempt_tasks(
        &mut self,
        now: MonotonicTime,
        search: &mut PreemptionSearch,
        request: &PreemptionRequest,
    ) -> u32 {
        let before = self.cost.read();
        let id = &request.job;
        let mut zones = self.zones_of(id);
        let mut candidates = self.candidates_for(now, search, request, &zones);
        let mut reserved = 0;
        while reserved < request.tasks && !self.reservations_exhausted() {
            let Some(position) = candidates.pop() else { break };
            let indexed = &search.index(self, now).machines[position];
            let (machine, zone) = (indexed.id.clone(), indexed.pool.zone);
            let Some(job) = self.jobs.live.get(id) else { break };
            let preemptor = Preemptor { id, job, target: request.target };
            let Some(eviction) = self.eviction_for(now, preemptor, &machine, &zones) else { continue };
            if candidates.has_better_than(eviction.loss) {
                // Something else has been stopped or reserved there since.
                candidates.push(eviction.loss, position);
                continue;
            }
            self.evict(now, id, &machine, eviction.victims);
            zones.push(ZoneCount { zone, count: 1 });
            reserved += 1;
            search.refresh(self, now, &machine);
            let Some(job) = self.jobs.live.get(id) else { break };
            let preemptor = Preemptor { id, job, target: request.target };
            if let Some(next) = self.eviction_for(now, preemptor, &machine, &zones) {
                candidates.push(next.loss, position);
            }
        }
        search.budget.spend(self.cost.read().since(&before).total());
        reserved
    }

    fn reservations_exhausted(&self) -> bool {
        self.reservations.len() >= MIN_RESERVATIONS + MAX_RESERVATIONS_PER_MACHINE * self.machines.known.len()
    }

    /// The machines where stopping work makes capacity for a task of a job: all of them in small fleets, in large
    /// ones others in each round.
    fn candidates_for(
        &self,
        now: MonotonicTime,
        search: &mut PreemptionSearch,
        request: &PreemptionRequest,
        zones: &[ZoneCount],
    ) -> Candidates {
        let mut candidates = Candidates::default();
        let Some(job) = self.jobs.live.get(&request.job) else { return candidates };
        let preemptor = Preemptor { id: &request.job, job, target: request.target };
        let (need, urgency) = (Resources::of_task(&job.spec), self.urgency(&request.job, job));
        self.cost.add_jobs(1);
        let index = search.index(self, now);
        let promising = index.promising(&request.pools, urgency, &need);
        if promising.is_empty() {
            return candidates;
        }
        self.cost.add_machines(index.machines.len());
        let suited = |position: &usize| {
            let machine = &index.machines[*position];
            machine.reclaimable_by(urgency).covers(&need) && promising.contains(&machine.pool)
        };
        let count = index.machines.len();
        let first = (self.rounds.count() as usize).wrapping_mul(MAX_CANDIDATES) % count.max(1);
        // A gang was found to have capacity on all of them together.
        let most = if job.spec.kind == Kind::Gang { count } else { MAX_CANDIDATES };
        for position in (first..count).chain(0..first).filter(suited).take(most) {
            let machine = &index.machines[position];
            if let Some(eviction) = self.eviction_for(now, preemptor, &machine.id, zones) {
                candidates.push(eviction.loss, position);
            }
        }
        candidates
    }

    /// The zones in which a job's tasks are placed, or capacity is reserved for them.
    fn zones_of(&self, id: &JobId) -> Vec<ZoneCount> {
        let zones_matter = |job: &&Job| job.spec.spread || job.spec.one_zone;
        let Some(job) = self.jobs.live.get(id).filter(zones_matter) else { return Vec::new() };
        let mut zones = zone_counts(job, &self.machines.known);
        let reserved = self.reservations.of(id).filter_map(|reservation| self.machines.known.get(&reservation.machine));
        zones.extend(reserved.map(|machine| ZoneCount { zone: machine.zone, count: 1 }));
        self.cost.add_tasks(job.placed.len() + zones.len());
        zones
    }
}
