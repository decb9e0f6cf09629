//! Preemption: stops less urgent tasks for waiting tasks that would otherwise start too late.

use super::Scheduler;
use super::eviction::{PlacementTarget, Preemptor};
use super::gang_reservations::PartialCapacity;
use super::planner_view::{PlannedJob, PlannerView};
use super::preemption_index::{PreemptionCandidates, PreemptionSearch};
use crate::core::jobs::{Job, priority_number};
use crate::core::machine::Resources;
use crate::core::placement;
use crate::core::provisioning::InstancePool;
use crate::ids::JobId;
use crate::peer::{JobView, PlanOutput, WaitingTasks, ZoneCount};
use crate::time::MonotonicTime;
use crate::wire::{JobKind, Priority};
use log::debug;
use std::collections::{BTreeSet, VecDeque};

/// Limit on the tasks of one job that tasks of other jobs are preempted for in one planning round.
const MAX_TASKS_PER_PREEMPTOR: u32 = 64;
/// Limit on the machines whose tasks are examined for one job in one planning round. In a larger fleet the rounds start
/// at different machines, so that all are examined in turn.
const MAX_EXAMINED_MACHINES: usize = 256;
/// Limit on the number of reservations of capacity, per machine of the fleet.
const MAX_RESERVATIONS_PER_MACHINE: usize = 2;
/// Number of reservations allowed in a fleet of any size, in addition to those per machine.
const MIN_RESERVATIONS: usize = 1_024;
/// A job without a deadline is treated as due after this many times the time until its expected finish.
const DEFAULT_DEADLINE_FACTOR: f64 = 2.0;

/// A request to free capacity for tasks of a job.
pub(super) struct PreemptionRequest {
    pub(super) job: JobId,
    pub(super) target: PlacementTarget,
    pub(super) tasks: u32,
    /// The instance pools whose machines may be used.
    pub(super) pools: BTreeSet<InstancePool>,
}

/// A waiting job that tasks of other jobs may be preempted for in this planning round.
struct QueuedPreemptor {
    id: JobId,
    /// Priority number, and whether the job is beyond its team's guarantee. The lowest value is the most urgent.
    urgency: (u32, bool),
    /// The last planning round in which capacity for the job was searched for.
    last_searched_round: u64,
    tasks: u32,
}

impl Scheduler {
    /// Preempts tasks of other jobs for the tasks that the plan could not place on a machine that is up, within the
    /// search's operation budget. Also ends waits for spot machines that are no longer worthwhile.
    pub(super) fn preempt_for_waiting(
        &mut self,
        now: MonotonicTime,
        view: &PlannerView,
        plan: &PlanOutput,
        search: &mut PreemptionSearch,
    ) {
        let mut preemptors = self.waiting_preemptors(now, view, plan);
        // The most urgent jobs come first; among equally urgent ones, the job for which capacity was searched for
        // longest ago, so that jobs which the budget does not cover come first in the next round.
        preemptors.sort_by_key(|preemptor| (preemptor.urgency, preemptor.last_searched_round));
        let mut preemptors: VecDeque<QueuedPreemptor> = preemptors.into();
        while !search.budget.is_mostly_spent()
            && let Some(preemptor) = preemptors.pop_front()
        {
            self.preempt_for(now, &preemptor, search);
        }
        // The rest of the operation budget is shared regardless of urgency, so that urgent jobs whose searches find
        // nothing do not starve the others.
        preemptors.make_contiguous().sort_by_key(|preemptor| preemptor.last_searched_round);
        while !search.budget.is_spent()
            && let Some(preemptor) = preemptors.pop_front()
        {
            self.preempt_for(now, &preemptor, search);
        }
    }

    /// The waiting jobs of a plan that may preempt tasks of other jobs. Also reviews whether each should keep waiting
    /// for spot machines.
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
        self.meter.add_jobs(plan.waiting.len());
        preemptors
    }

    /// Stops provisioning spot machines for a job once the job's slack is less than its wait for a spot machine so far
    /// plus the configured window (eq. 8 of the paper that [`crate::core::placement`] follows).
    fn review_spot_wait(&mut self, now: MonotonicTime, id: &JobId, view: &JobView, waiting: &WaitingTasks) {
        let window_s = self.tuning.spot_window_s;
        let Some(job) = self.jobs.live.get_mut(id) else { return };
        if !waiting.waits_for_spot {
            job.spot_wait_since = None;
            return;
        }
        let since = *job.spot_wait_since.get_or_insert(now);
        let due_s = view.due_s.unwrap_or(DEFAULT_DEADLINE_FACTOR * waiting.finish_s);
        let sub_deadline_s = placement::sub_deadline(due_s, view.run_s, true);
        let waited_s = (now - since).as_secs_f64();
        if !job.no_new_spot && placement::spot_wait_is_over(sub_deadline_s, waiting.finish_s, waited_s, window_s) {
            debug!("job has waited too long for spot machines, requesting no more for it: job={id}");
            job.no_new_spot = true;
        }
    }

    /// Whether a waiting job may preempt tasks of other jobs: it is of at least high priority or within its team's
    /// guarantee, and needs preemption to meet its start-time SLO, if it has one.
    fn may_preempt(&self, id: &JobId, view: &JobView, waiting: &WaitingTasks) -> bool {
        let urgent = view.priority <= priority_number(Priority::High) || view.guaranteed;
        // A job that is expected to meet its start-time SLO without preemption does not preempt.
        let slo_s = self.jobs.live.get(id).and_then(|job| self.settings.start_slo_s(&job.spec.class, view.guaranteed));
        urgent && !slo_s.is_some_and(|slo_s| waiting.start_s > 0.0 && view.age_s + waiting.start_s <= slo_s)
    }

    fn preempt_for(&mut self, now: MonotonicTime, preemptor: &QueuedPreemptor, search: &mut PreemptionSearch) {
        let Some(job) = self.jobs.live.get_mut(&preemptor.id) else { return };
        job.last_preemption_search_round = self.rounds.count();
        if job.spec.kind == JobKind::Gang {
            // A gang cannot start in part, so tasks of other jobs are preempted only if that frees capacity for all
            // tasks of the gang.
            self.reserve_for_gang(now, search, &preemptor.id, PartialCapacity::Release);
        } else {
            let (id, tasks) = (&preemptor.id, preemptor.tasks);
            self.preempt_in_permitted_pools(now, search, id, PlacementTarget::Anywhere, tasks);
        }
    }

    /// Calls [`Scheduler::preempt_tasks`] for all instance pools that the job permits. Returns the number of tasks that
    /// capacity was reserved for.
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

    /// Stops less urgent tasks where that frees capacity for tasks of a job, and reserves the capacity. Returns the
    /// number of tasks that capacity was reserved for.
    pub(super) fn preempt_tasks(
        &mut self,
        now: MonotonicTime,
        search: &mut PreemptionSearch,
        request: &PreemptionRequest,
    ) -> u32 {
        let before = self.meter.read();
        let id = &request.job;
        let mut zones = self.zones_in_use(id);
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
                // The loss that stopping tasks on the machine would cause has grown since the machine was queued, as
                // its tasks or reservations have changed.
                candidates.push(eviction.loss, position);
                continue;
            }
            self.evict(now, id, &machine, eviction.victims);
            placement::count_in_zone(&mut zones, zone, 1);
            reserved += 1;
            search.refresh(self, now, &machine);
            let Some(job) = self.jobs.live.get(id) else { break };
            let preemptor = Preemptor { id, job, target: request.target };
            if let Some(next) = self.eviction_for(now, preemptor, &machine, &zones) {
                candidates.push(next.loss, position);
            }
        }
        search.budget.spend(self.meter.read().since(&before).total());
        reserved
    }

    fn reservations_exhausted(&self) -> bool {
        self.reservations.len() >= MIN_RESERVATIONS + MAX_RESERVATIONS_PER_MACHINE * self.machines.known.len()
    }

    /// The machines where stopping tasks frees capacity for a task of the job. At most [`MAX_EXAMINED_MACHINES`] are
    /// examined, starting at a different one in each round; for a gang, all are.
    fn candidates_for(
        &self,
        now: MonotonicTime,
        search: &mut PreemptionSearch,
        request: &PreemptionRequest,
        zones: &[ZoneCount],
    ) -> PreemptionCandidates {
        let mut candidates = PreemptionCandidates::default();
        let Some(job) = self.jobs.live.get(&request.job) else { return candidates };
        let preemptor = Preemptor { id: &request.job, job, target: request.target };
        let (need, urgency) = (Resources::of_task(&job.spec), self.urgency(&request.job, job));
        self.meter.add_jobs(1);
        let index = search.index(self, now);
        let candidate_pools = index.pools_that_may_fit(&request.pools, urgency, &need);
        if candidate_pools.is_empty() {
            return candidates;
        }
        self.meter.add_machines(index.machines.len());
        let may_fit = |position: &usize| {
            let machine = &index.machines[*position];
            machine.reclaimable_by(urgency).covers(&need) && candidate_pools.contains(&machine.pool)
        };
        let count = index.machines.len();
        let first = (self.rounds.count() as usize).wrapping_mul(MAX_EXAMINED_MACHINES) % count.max(1);
        // The capacity found for a gang may be spread over all machines.
        let most = if job.spec.kind == JobKind::Gang { count } else { MAX_EXAMINED_MACHINES };
        for position in (first..count).chain(0..first).filter(may_fit).take(most) {
            let machine = &index.machines[position];
            if let Some(eviction) = self.eviction_for(now, preemptor, &machine.id, zones) {
                candidates.push(eviction.loss, position);
            }
        }
        candidates
    }

    /// The zones in which a job's tasks are placed or have reservations. Empty if it has no zone constraint.
    fn zones_in_use(&self, id: &JobId) -> Vec<ZoneCount> {
        let has_zone_constraint = |job: &&Job| job.spec.spread || job.spec.one_zone;
        let Some(job) = self.jobs.live.get(id).filter(has_zone_constraint) else { return Vec::new() };
        let mut zones = job.zone_counts();
        let reserved = self.reservations.for_job(id).filter_map(|reservation| {
            let zone = self.machines.known.get(&reservation.machine)?.zone;
            Some(ZoneCount { zone, count: reservation.tasks })
        });
        zones.extend(reserved);
        self.meter.add_reservations(zones.len());
        zones
    }
}
