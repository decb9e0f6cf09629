//! Computes the constraints that jobs inherit from the jobs that depend on them: priorities, deadlines and ranks.

use super::Scheduler;
use crate::core::dependencies::JobTiming;
use crate::core::jobs::Job;
use crate::core::submissions;
use crate::ids::TaskId;
use crate::time::WallTime;
use crate::wire::JobSpec;

impl Scheduler {
    /// Recomputes the constraints that jobs inherit from their dependents, and updates the priority of the allocations
    /// of jobs whose priority has changed.
    pub(super) fn update_inherited_constraints(&mut self, wall: WallTime) {
        let inherited = self.jobs.inherited(|job| self.job_timing(wall, job));
        for id in self.jobs.set_inherited(inherited) {
            let Some(job) = self.jobs.get(&id) else { continue };
            for (index, machine_id, attempt) in job.places() {
                let Some(machine) = self.machines.known.get_mut(machine_id) else { continue };
                if let Some(allocation) = machine.allocations.get_mut(&(TaskId { job: id, index }, attempt)) {
                    allocation.priority = job.priority();
                }
            }
        }
    }

    fn job_timing(&self, wall: WallTime, job: &Job) -> JobTiming {
        let spec = &job.spec;
        let submitted_s = job.ages(wall).since_submission_s;
        JobTiming {
            priority: spec.priority,
            due_s: spec.deadline_s.map(|due_s| due_s - submitted_s),
            slo_deadlines: self.settings.deadline_multiples(&spec.class, spec.deadline_s, submitted_s),
            run_s: self.jobs.expected_run_s(spec),
            transfer_s: spec.image_gb / self.mean_fetch_rate(spec),
        }
    }

    /// Mean image fetch rate of the machine types that a job permits, in GB per second. Returns 1 if there is no such
    /// type or the mean is zero.
    fn mean_fetch_rate(&self, spec: &JobSpec) -> f64 {
        let types = self.catalog.types.iter().filter(|machine_type| submissions::is_eligible_type(spec, machine_type));
        let rates = types.map(|machine_type| machine_type.fetch_gb_per_s);
        let (count, sum) = rates.fold((0.0, 0.0), |(count, sum), rate| (count + 1.0, sum + rate));
        if sum > 0.0 { sum / count } else { 1.0 }
    }
}
