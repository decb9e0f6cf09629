//! Checks a plan against the cluster state and commits what still holds.

use super::Scheduler;
use super::eviction::PlacementTarget;
use super::planner_view::{PlannedJob, PlannerView};
use super::preemption_index::PreemptionSearch;
use super::starts::GangPart;
use crate::ids::{JobId, MachineId};
use crate::peer::{JobView, Placement, PlanOutput};
use crate::time::MonotonicTime;
use crate::wire::{Kind, Priority};
use std::collections::BTreeMap;

/// A placement whose keys are looked up in the view that it was planned on.
struct PlannedPlacement<'a> {
    job: &'a PlannedJob,
    view: Option<&'a JobView>,
    machine: &'a MachineId,
    tasks: u32,
}

impl PlannedPlacement<'_> {
    /// None: a key is beyond the view, or is that of a machine without a name. Such a placement is the
    /// planner's mistake.
    fn look_up<'a>(view: &'a PlannerView, placement: &Placement) -> Option<PlannedPlacement<'a>> {
        Some(PlannedPlacement {
            job: view.jobs.get(placement.job as usize)?,
            view: view.input.jobs.get(placement.job as usize),
            machine: view.machines.get(placement.machine as usize)?.as_ref()?,
            tasks: placement.count,
        })
    }
}

impl Scheduler {
    /// Commits what still holds of a plan. Single tasks come first, in the order of the plan, then gangs, and
    /// then work is stopped for what waits.
    pub(super) fn commit_plan(&mut self, now: MonotonicTime, view: &PlannerView, plan: &PlanOutput) {
        let mut search = PreemptionSearch::new(self.machines.known.len());
        // By the job's key in the view.
        let mut gangs: BTreeMap<u32, Vec<GangPart>> = BTreeMap::new();
        for placement in &plan.placements {
            let Some(planned) = PlannedPlacement::look_up(view, placement) else { continue };
            let Some(job) = self.jobs.live.get_mut(&planned.job.id) else { continue };
            job.excess_cost += placement.extra;
            if job.spec.kind == Kind::Gang {
                gangs.entry(placement.job).or_default().push((planned.machine.clone(), planned.tasks));
                continue;
            }
            let preempted_for = self.preempt_for_late_start(now, &mut search, &planned);
            self.start_planned_tasks(now, &planned, planned.tasks - preempted_for);
        }
        for (key, parts) in gangs {
            let job_id = &view.jobs[key as usize].id;
            let total: u32 = parts.iter().map(|(_, tasks)| tasks).sum();
            let idle = self
                .jobs
                .live
                .get(job_id)
                .is_some_and(|job| job.spec.tasks == total && job.placed.is_empty() && job.gang.is_none());
            if idle {
                self.start_gang(now, job_id, &parts);
            }
        }
        self.scale_out(now, &plan.scale_out);
        // Tasks have been placed since the last index was built.
        self.preempt_for_waiting(now, view, plan, &mut PreemptionSearch::new(self.machines.known.len()));
        self.flush_orders();
    }

    /// Stops work where a job's image is, if its tasks would start too late on the planned machine. Returns for
    /// how many of the tasks.
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

    /// Starts so many of a job's ready tasks on the planned machine, as far as it may take them.
    fn start_planned_tasks(&mut self, now: MonotonicTime, planned: &PlannedPlacement, tasks: u32) {
        let PlannedJob { id, reclaimed } = planned.job;
        let Some(job) = self.jobs.live.get(id) else { return };
        let from = if *reclaimed { &job.reclaimed } else { &job.ready };
        let picked: Vec<u32> = from
            .iter()
            .filter(|index| *reclaimed || !job.reclaimed.contains(index))
            .filter(|index| job.ready.contains(index))
            .take(tasks as usize)
            .copied()
            .collect();
        for index in picked {
            let (Some(job), Some(machine)) = (self.jobs.live.get(id), self.machines.known.get(planned.machine)) else {
                break;
            };
            if !self.gpus.preserves_headroom(job, planned.machine, machine, &self.catalog.types[machine.kind])
                || !self.may_place(now, id, planned.machine, 1.0)
            {
                break;
            }
            let attempt = self.next_attempt();
            self.start(now, id, index, planned.machine, attempt);
        }
    }

    /// Whether urgent work would miss its objective on starting on this machine, as the image has to be
    /// fetched first, and could meet it elsewhere: then work is stopped where the image is.
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
        // A replica that is lost later is as urgent as a first one.
        let age_s = if job.spec.kind == Kind::Service { 0.0 } else { view.age_s };
        job.priority() <= Priority::High && slo_s.is_some_and(|slo_s| age_s < slo_s && age_s + fetch_s > slo_s)
    }
}
