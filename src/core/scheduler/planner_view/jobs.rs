//! The jobs of a planner view.

use super::PlannedJob;
use crate::config::{JobAges, next_slo_deadline};
use crate::core::jobs::{Job, priority_number};
use crate::core::provisioning::InstancePool;
use crate::core::scheduler::Scheduler;
use crate::ids::{JobId, MachineId};
use crate::peer::JobView;
use crate::time::{MonotonicTime, WallTime};
use crate::wire::{JobKind, JobSpec, Priority};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Jobs of normal and low priority cause scaling out only if the machines that are up would need more than this many
/// seconds to run all startable tasks.
const SCALE_OUT_BACKLOG_S: f64 = 8.0;
/// Lower bound on the expected run time of a task, in seconds.
const MIN_RUN_S: f64 = 0.1;
/// Index that stands for an unknown machine type or zone.
const UNKNOWN_INDEX: u32 = u32::MAX;

/// Inputs that are the same for all jobs of a view.
pub(super) struct JobContext<'a> {
    pub(super) now: MonotonicTime,
    pub(super) wall: WallTime,
    /// The jobs with tasks that may be placed now.
    pub(super) plannable: &'a BTreeSet<JobId>,
    /// Keys of the view's machines, by machine id.
    pub(super) keys: &'a HashMap<&'a MachineId, u32>,
    /// Seconds that the machines that are up need to run all startable tasks.
    pub(super) backlog_s: f64,
    /// The number of machines of each instance pool.
    pub(super) fleet: &'a BTreeMap<InstancePool, u32>,
}

/// How many tasks of a job may be placed.
struct ReadyTasks {
    all: u32,
    /// How many of these tasks were on spot machines that the cloud has reclaimed.
    reclaimed: u32,
}

/// A job's deadlines, in seconds from now.
struct JobDeadlines {
    /// The earliest of the job's own deadline, the one that follows from its start-time SLO, and the one that it
    /// inherits from its dependents. `None` if it has none of them.
    due_s: Option<f64>,
    /// The earliest SLO deadline that can still be met; `None` if there is none.
    slo_deadline_s: Option<f64>,
    /// Number of SLO deadlines that can no longer be met.
    missed: u32,
}

impl Scheduler {
    /// The plannable jobs, with what each key refers to. A job's tasks whose spot machines were reclaimed are a
    /// separate entry, as they must not cause spot machines to be provisioned. A gang always is one entry.
    pub(super) fn job_views(&mut self, context: &JobContext) -> (Vec<JobView>, Vec<PlannedJob>) {
        let mut views: Vec<JobView> = Vec::new();
        let mut planned = Vec::new();
        let mut push = |id: JobId, view: JobView, reclaimed_only: bool| {
            views.push(JobView { key: planned.len() as u32, ..view });
            planned.push(PlannedJob { id, reclaimed_only });
        };
        for id in context.plannable {
            let Some(job) = self.jobs.live.get(id) else { continue };
            let Some(ready) = self.ready_tasks(id, job) else { continue };
            let image = self.catalog.assign_image_number(&job.spec.image);
            let base = JobView { image, ..self.job_view(context, id, job) };
            if base.gang || ready.reclaimed == 0 || ready.reclaimed == ready.all {
                let may_provision_spot = base.may_provision_spot && ready.reclaimed == 0;
                push(*id, JobView { ready_tasks: ready.all, may_provision_spot, ..base }, ready.reclaimed > 0);
            } else {
                push(*id, JobView { ready_tasks: ready.all - ready.reclaimed, ..base.clone() }, false);
                push(*id, JobView { ready_tasks: ready.reclaimed, may_provision_spot: false, ..base }, true);
            }
        }
        (views, planned)
    }

    /// How many tasks of a job may be placed now. Returns `None` if there are none.
    fn ready_tasks(&self, id: &JobId, job: &Job) -> Option<ReadyTasks> {
        let gang = job.spec.kind == JobKind::Gang;
        if gang && (job.gang.is_some() || !job.placed.is_empty()) {
            return None;
        }
        let reserved = self.reservations.tasks_for_job(id);
        let all = (job.ready.len() as u32).saturating_sub(reserved);
        if all == 0 || gang && reserved > 0 {
            return None;
        }
        let reclaimed = job.reclaimed.len() as u32;
        Some(ReadyTasks { all, reclaimed: reclaimed.min(all) })
    }

    fn job_view(&self, context: &JobContext, id: &JobId, job: &Job) -> JobView {
        let spec = &job.spec;
        let service = spec.kind == JobKind::Service;
        let guaranteed = self.quota.is_within_guarantee(id);
        let ages = job.ages(context.wall);
        let run_s = match service {
            true => self.tuning.service_horizon_s,
            false => self.jobs.expected_run_s(spec).max(MIN_RUN_S),
        };
        let JobDeadlines { due_s, slo_deadline_s, missed } = self.job_deadlines(job, ages, run_s, guaranteed);
        let at_fault = job.is_at_fault(context.now);
        JobView {
            team: job.team,
            priority: priority_number(job.priority()),
            gang: spec.kind == JobKind::Gang,
            tasks: spec.tasks,
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
            image_gb: spec.image_gb,
            allowed_types: self.allowed_types(spec),
            zone: spec.zone.as_ref().map(|zone| self.zone_index(zone)),
            one_zone: spec.one_zone,
            spread: spec.spread,
            allows_spot: spec.allows_spot,
            may_provision_spot: spec.allows_spot && !job.no_new_spot,
            run_s,
            due_s,
            slo_deadline_s,
            dependents_rank_s: job.inherited.as_ref().map_or(0.0, |inherited| inherited.rank_s),
            missed_slos: if service { 0 } else { missed },
            service,
            age_s: ages.since_startable_s,
            excess_cost: job.excess_cost,
            placed: job.zone_counts(),
            avoided_machines: if at_fault { Vec::new() } else { avoided_machines(job, context) },
            guaranteed,
            may_scale_out: !at_fault
                && (job.priority() <= Priority::High
                    || context.backlog_s > SCALE_OUT_BACKLOG_S
                    || spec.kind == JobKind::Gang && !self.can_hold_gang(context.fleet, spec)),
            ..Default::default()
        }
    }

    /// Combines a job's own deadlines with those that it inherits from its dependents.
    fn job_deadlines(&self, job: &Job, ages: JobAges, run_s: f64, guaranteed: bool) -> JobDeadlines {
        let spec = &job.spec;
        // A start-time SLO that can still be met counts as a deadline one run time later.
        let start_slo_s = self.settings.start_slo_s(&spec.class, guaranteed);
        let start_due_s = start_slo_s
            .filter(|slo_s| *slo_s > ages.since_startable_s)
            .map(|slo_s| slo_s - ages.since_startable_s + run_s);
        let own_deadline_s = spec.deadline_s.map(|deadline_s| deadline_s - ages.since_submission_s);
        let inherited_due_s = job.inherited.as_ref().and_then(|inherited| inherited.due_s);
        let mut slo_deadlines = self.settings.slo_deadlines(&spec.class, spec.deadline_s, ages, run_s);
        slo_deadlines.extend(job.inherited.iter().flat_map(|inherited| &inherited.slo_deadlines));
        let next_slo = next_slo_deadline(slo_deadlines, run_s);
        JobDeadlines {
            due_s: own_deadline_s.into_iter().chain(start_due_s).chain(inherited_due_s).reduce(f64::min),
            slo_deadline_s: next_slo.deadline_s,
            missed: next_slo.missed,
        }
    }

    /// Indices of the machine types that a job is restricted to; empty if it may use any. If none of these types is
    /// known, the result is [`UNKNOWN_INDEX`], which matches no machine.
    fn allowed_types(&self, spec: &JobSpec) -> Vec<u32> {
        let Some(names) = &spec.allowed_types else { return Vec::new() };
        let index_of =
            |name: &String| self.catalog.types.iter().position(|known| known.name == *name).map(|index| index as u32);
        let known: Vec<u32> = names.iter().filter_map(index_of).collect();
        if known.is_empty() { vec![UNKNOWN_INDEX] } else { known }
    }

    /// Index of a zone, or [`UNKNOWN_INDEX`] if it is unknown.
    fn zone_index(&self, zone: &str) -> u32 {
        self.catalog.zones.iter().position(|known| known == zone).map_or(UNKNOWN_INDEX, |index| index as u32)
    }
}

/// Keys of the machines that a job avoids because its tasks failed there recently.
fn avoided_machines(job: &Job, context: &JobContext) -> Vec<u32> {
    if job.last_failure_by_machine.is_empty() {
        return Vec::new();
    }
    let failed = job.last_failure_by_machine.keys().filter(|id| job.avoids(id, context.now));
    let mut keys: Vec<u32> = failed.filter_map(|id| context.keys.get(id).copied()).collect();
    keys.sort_unstable();
    keys
}
