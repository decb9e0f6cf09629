//! Jobs that depend on others: when they may start, when they are cancelled with one that they need, and what
//! the jobs before them inherit.

use super::Scheduler;
use super::ages::job_ages;
use super::effects::Effect;
use crate::core::dependencies::JobTiming;
use crate::core::records::JobOutcome;
use crate::core::submissions;
use crate::ids::{JobId, TaskId};
use crate::time::{Millis, MonotonicTime, WallTime};
use crate::wire::JobSpec;

/// Most jobs that the key-value store is asked about at once.
const MAX_LOOKUPS: usize = 16;
/// Jobs whose outcome is still not known are asked about again after this long.
const LOOKUP_RETRY_INTERVAL: Millis = Millis(500);

impl Scheduler {
    /// What the end of a job means to its dependents.
    pub(super) fn settle_dependents(&mut self, id: &JobId, outcome: JobOutcome) {
        for dependent in self.jobs.dependencies.ended(id, outcome) {
            let Some(job) = self.jobs.live.get_mut(&dependent) else { continue };
            job.depends_on.remove(id);
            if let JobOutcome::Done(Some(at)) = outcome {
                job.startable_at = job.startable_at.max(at);
            }
            self.rounds.needed = true;
        }
    }

    /// Has the key-value store asked how dependencies have ended.
    pub(super) fn look_up_dependencies(&mut self, now: MonotonicTime) {
        if self.jobs.lookup_in_flight || now < self.jobs.next_lookup_at {
            return;
        }
        let ids = self.jobs.dependencies.next_unresolved(MAX_LOOKUPS);
        if !ids.is_empty() {
            self.jobs.lookup_in_flight = true;
            self.effects.push(Effect::LookUp(ids));
        }
    }

    /// What the key-value store holds of jobs that were to be looked up; those that haven't ended are left out.
    pub fn on_looked_up(&mut self, now: MonotonicTime, outcomes: &[(JobId, JobOutcome)]) {
        self.jobs.lookup_in_flight = false;
        if outcomes.is_empty() {
            self.jobs.next_lookup_at = now + LOOKUP_RETRY_INTERVAL;
        }
        for (id, outcome) in outcomes {
            self.on_job_terminated(id, *outcome);
        }
    }

    /// Takes over priorities, deadlines and ranks from the jobs that need a job.
    pub(super) fn inherit(&mut self, wall: WallTime) {
        let mut inherited = self.jobs.dependencies.inherit(|id| self.job_timing(wall, id));
        for (id, job) in &mut self.jobs.live {
            let before = job.priority();
            job.inherited = inherited.remove(id);
            let priority = job.priority();
            if priority == before {
                continue;
            }
            for (index, machine, attempt) in job.places() {
                let key = (TaskId { job: *id, index }, attempt);
                if let Some(allocation) = self.machines.known.get_mut(machine).and_then(|m| m.allocations.get_mut(&key))
                {
                    allocation.priority = priority;
                }
            }
        }
    }

    fn job_timing(&self, wall: WallTime, id: &JobId) -> Option<JobTiming> {
        let job = self.jobs.live.get(id)?;
        let spec = &job.spec;
        let run_s = self.jobs.class_times.expect(&spec.class, spec.estimate_s);
        let ages = job_ages(wall, job);
        Some(JobTiming {
            priority: spec.priority,
            due_s: spec.deadline_s.map(|due_s| due_s - ages.submitted_s),
            slo_deadlines: self.settings.deadlines(&spec.class, spec.deadline_s, ages.submitted_s),
            run_s,
            transfer_s: spec.image_gb / self.mean_fetch_rate(spec),
        })
    }

    /// The mean rate at which the machine types open to a job fetch images, in GB per second.
    fn mean_fetch_rate(&self, spec: &JobSpec) -> f64 {
        let rates = self.catalog.types.iter().filter(|t| submissions::type_allows(spec, t)).map(|t| t.fetch_gb_per_s);
        let (count, sum) = rates.fold((0.0, 0.0), |(count, sum), rate| (count + 1.0, sum + rate));
        if sum > 0.0 { sum / count } else { 1.0 }
    }
}
