//! Checks a plan against the current cluster state and commits the parts that are still valid.

use super::Scheduler;
use super::eviction::PlacementTarget;
use super::planner_view::{PlannedJob, PlannerView};
use super::preemption_index::PreemptionSearch;
use super::starts::{GangPlacement, merge_by_machine};
use crate::ids::{Attempt, JobId, MachineId};
use crate::peer::{JobView, Placement, PlanOutput};
use crate::time::MonotonicTime;
use crate::wire::{JobKind, Priority};
use std::collections::BTreeMap;

/// A placement of a plan. Its keys of a job and a machine are resolved in the planner view that the plan was made on.
struct PlannedPlacement<'a> {
    job: &'a PlannedJob,
    view: Option<&'a JobView>,
    machine: &'a MachineId,
    tasks: u32,
}

impl PlannedPlacement<'_> {
    /// Resolves a placement's keys of a job and a machine. Returns `None` for a planner's mistake: a key outside the
    /// view, or of a machine that has no id yet.
    fn resolve<'a>(view: &'a PlannerView, placement: &Placement) -> Option<PlannedPlacement<'a>> {
        Some(PlannedPlacement {
            job: view.jobs.get(placement.job as usize)?,
            view: view.input.jobs.get(placement.job as usize),
            machine: view.machines.get(placement.machine as usize)?.as_ref()?,
            tasks: placement.count,
        })
    }
}

impl Scheduler {
    /// Commits the parts of a plan that are still valid. Single tasks are started first, in the plan's order, then
    /// gangs. After that, machines are provisioned, and tasks of other jobs are preempted for the tasks that are still
    /// waiting.
    pub(super) fn commit_plan(&mut self, now: MonotonicTime, view: &PlannerView, plan: &PlanOutput) {
        let mut search = PreemptionSearch::new(self.machines.known.len());
        // The planned machines of gangs, by the gang's key in the view.
        let mut gangs: BTreeMap<u32, Vec<GangPlacement>> = BTreeMap::new();
        for placement in &plan.placements {
            let Some(planned) = PlannedPlacement::resolve(view, placement) else { continue };
            let Some(job) = self.jobs.live.get_mut(&planned.job.id) else { continue };
            job.excess_cost += placement.excess_cost;
            if job.spec.kind == JobKind::Gang {
                gangs.entry(placement.job).or_default().push((planned.machine.clone(), planned.tasks));
                continue;
            }
            let tasks_with_preemption = self.preempt_for_late_start(now, &mut search, &planned);
            self.start_planned_tasks(now, &planned, planned.tasks - tasks_with_preemption);
        }
        for (key, parts) in gangs {
            let job_id = &view.jobs[key as usize].id;
            let total: u32 = parts.iter().map(|(_, tasks)| tasks).sum();
            let is_unstarted = self
                .jobs
                .live
                .get(job_id)
                .is_some_and(|job| job.spec.tasks == total && job.placed.is_empty() && job.gang.is_none());
            if is_unstarted {
                self.start_gang(now, job_id, &merge_by_machine(parts));
            }
        }
        self.scale_out(now, &plan.scale_out);
        // A new preemption search is needed, as the tasks started above have outdated the index of the first one.
        self.preempt_for_waiting(now, view, plan, &mut PreemptionSearch::new(self.machines.known.len()));
        self.flush_orders();
    }

    /// Preempts tasks of other jobs on machines that hold the planned job's image, if the planned machine would have to
    /// fetch the image and the job's start-time SLO would be missed by that. Returns the number of tasks that capacity
    /// was reserved for.
    fn preempt_for_late_start(
        &mut self,
        now: MonotonicTime,
        search: &mut PreemptionSearch,
        planned: &PlannedPlacement,
    ) -> u32 {
        if search.budget.is_spent() || !self.starts_late(now, &planned.job.id, planned.machine, planned.view) {
            return 0;
        }
        self.preempt_in_permitted_pools(now, search, &planned.job.id, PlacementTarget::ImageHolders, planned.tasks)
    }

    /// Starts up to `tasks` of a job's ready tasks on the planned machine, as many as may be placed there.
    fn start_planned_tasks(&mut self, now: MonotonicTime, planned: &PlannedPlacement, tasks: u32) {
        let PlannedJob { id, reclaimed_only } = planned.job;
        let (Some(job), Some(machine)) = (self.jobs.live.get(id), self.machines.known.get(planned.machine)) else {
            return;
        };
        let machine_type = &self.catalog.types[machine.kind];
        let tasks = self.gpus.tasks_within_headroom(job, planned.machine, machine, machine_type, tasks);
        let tasks = self.placeable_tasks(now, id, planned.machine, tasks);
        let Some(job) = self.jobs.live.get(id) else { return };
        let indices: Vec<u32> = match reclaimed_only {
            true => job.reclaimed.iter().take(tasks as usize).collect(),
            false => job.ready.difference(&job.reclaimed).take(tasks as usize).collect(),
        };
        let started: Vec<(u32, Attempt)> = indices.into_iter().map(|index| (index, self.next_attempt())).collect();
        self.start_tasks(now, id, planned.machine, &started);
    }

    /// Whether an urgent job's start-time SLO would be missed on this machine only because the image must be fetched
    /// first. The job could still meet the SLO on a machine that holds the image, so tasks of other jobs are preempted
    /// there.
    pub(super) fn starts_late(
        &self,
        now: MonotonicTime,
        job_id: &JobId,
        machine_id: &MachineId,
        view: Option<&JobView>,
    ) -> bool {
        let (Some(job), Some(machine), Some(view)) =
            (self.jobs.live.get(job_id), self.machines.known.get(machine_id), view)
        else {
            return false;
        };
        let fetch_s = self.image_fetch_s(now, &job.spec, machine);
        let slo_s = self.settings.start_slo_s(&job.spec.class, view.guaranteed);
        // For services the job's age doesn't count: the SLO also applies to replicas that replace lost ones.
        let age_s = if job.spec.kind == JobKind::Service { 0.0 } else { view.age_s };
        job.priority() <= Priority::High && slo_s.is_some_and(|slo_s| age_s < slo_s && age_s + fetch_s > slo_s)
    }
}
