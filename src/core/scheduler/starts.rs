//! Starts of single tasks and of whole gangs, once they have been checked.

use super::Scheduler;
use crate::core::jobs::GangRun;
use crate::core::machine::{Allocation, Machine, Resources};
use crate::ids::{Attempt, JobId, MachineId, TaskId};
use crate::time::MonotonicTime;
use crate::wire::{JobSpec, Order};
use log::debug;

/// Stands for an image that no view has named yet.
const UNKNOWN_IMAGE: u32 = u32::MAX;
/// Images are fetched at this rate at the least, in GB per second, whatever a machine type says.
const MIN_FETCH_GB_PER_S: f64 = 0.01;

/// Some tasks of a gang and the machine that they are to start on.
pub(super) type GangPart = (MachineId, u32);

impl Scheduler {
    /// The number of the next start of a task or gang, which no leader has given before.
    pub(super) fn next_attempt(&mut self) -> Attempt {
        self.attempts += 1;
        Attempt::new(self.term, self.attempts)
    }

    /// The number of a job's image.
    pub(super) fn image_number(&self, spec: &JobSpec) -> u32 {
        self.catalog.image_number(&spec.image).unwrap_or(UNKNOWN_IMAGE)
    }

    /// The rate at which a machine fetches images, in GB per second.
    pub(super) fn fetch_rate(&self, machine: &Machine) -> f64 {
        self.catalog.types[machine.kind].fetch_gb_per_s.max(MIN_FETCH_GB_PER_S)
    }

    /// Seconds until a machine can have a job's image.
    pub(super) fn image_fetch_s(&self, now: MonotonicTime, spec: &JobSpec, machine: &Machine) -> f64 {
        let remaining_s = machine.image_ready_in_s(self.image_number(spec), now);
        remaining_s.unwrap_or_else(|| spec.image_gb / self.fetch_rate(machine))
    }

    /// Starts a gang on these machines, or nothing of it if one of them can't take its part any more.
    pub(super) fn start_gang(&mut self, now: MonotonicTime, job_id: &JobId, parts: &[GangPart]) {
        let attempt = self.next_attempt();
        let Some(job) = self.jobs.live.get_mut(job_id) else { return };
        job.gang = Some(GangRun { attempt, broken: false });
        let total = job.spec.tasks;
        let machines = parts.iter().flat_map(|(machine, tasks)| std::iter::repeat_n(machine, *tasks as usize));
        for (index, machine) in (0..).zip(machines) {
            if !self.may_place(now, job_id, machine, f64::from(total - index)) {
                self.revert_gang_start(job_id);
                return;
            }
            self.start(now, job_id, index, machine, attempt);
        }
    }

    /// Takes a gang's tasks off their machines again. Only while none of their orders has been sent.
    fn revert_gang_start(&mut self, job_id: &JobId) {
        let Some(job) = self.jobs.live.get_mut(job_id) else { return };
        job.gang = None;
        let places: Vec<(u32, MachineId, Attempt)> =
            job.places().map(|(index, machine, attempt)| (index, machine.clone(), attempt)).collect();
        job.placed.clear();
        for (index, machine, attempt) in places {
            let task = TaskId { job: *job_id, index };
            if let Some(machine) = self.machines.known.get_mut(&machine) {
                machine.allocations.remove(&(task, attempt));
                let run = Order::Run { task, attempt };
                machine.outbox.retain(|order| *order != run);
            }
            job.requeue(index, false);
        }
    }

    /// Enters a task in the cluster state and queues its order; the cluster state always comes first.
    pub(super) fn start(
        &mut self,
        now: MonotonicTime,
        job_id: &JobId,
        index: u32,
        machine_id: &MachineId,
        attempt: Attempt,
    ) {
        let (Some(job), Some(machine)) = (self.jobs.live.get(job_id), self.machines.known.get(machine_id)) else {
            return;
        };
        let (image, fetch_s) = (self.image_number(&job.spec), self.image_fetch_s(now, &job.spec, machine));
        let run_s = self.jobs.expected_run_s(&job.spec);
        let (Some(job), Some(machine)) = (self.jobs.live.get_mut(job_id), self.machines.known.get_mut(machine_id))
        else {
            return;
        };
        machine.cache_image(image, job.spec.image_gb, self.catalog.types[machine.kind].cache_gb);
        let allocation = Allocation {
            need: Resources::of_task(&job.spec),
            team: Some(job.team),
            priority: job.priority(),
            phase: None,
            pending_run: None,
            last_task_list: 0,
            placed_at: now,
            running_since: None,
            fully_observed: true,
            stop_leeway_s: None,
            image,
            fetch_s,
            run_s,
        };
        job.place(index, machine_id, attempt);
        self.quota.record_start(job.team, &allocation.need);
        let task = TaskId { job: *job_id, index };
        debug!("start: task={task} attempt={attempt} machine={machine_id}");
        machine.queue_order(Order::Run { task, attempt });
        machine.allocations.insert((task, attempt), allocation);
        machine.idle_since = None;
    }
}
