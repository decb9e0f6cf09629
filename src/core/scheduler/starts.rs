//! Starting single tasks and whole gangs on machines that were chosen for them.

use super::Scheduler;
use crate::core::jobs::GangRun;
use crate::core::machine::{Allocation, Machine, Resources};
use crate::ids::{Attempt, FencingToken, JobId, MachineId, TaskId};
use crate::time::MonotonicTime;
use crate::wire::{JobSpec, Order};
use log::debug;

/// Stands for an image that has no number in the catalog yet.
const UNKNOWN_IMAGE: u32 = u32::MAX;
/// Lower bound of a machine type's fetch rate in GB per second, so that fetch times stay finite.
const MIN_FETCH_GB_PER_S: f64 = 0.01;

/// A machine and the number of a gang's tasks that are to start on it.
pub(super) type GangPlacement = (MachineId, u32);

impl Scheduler {
    /// Returns an attempt number for the next start of a task or gang. No other start has the same number, as it
    /// includes the term.
    pub(super) fn next_attempt(&mut self) -> Attempt {
        self.attempts_started += 1;
        Attempt::new(self.term, self.attempts_started)
    }

    /// The number of a job's image in the catalog, or [`UNKNOWN_IMAGE`] if the image has none.
    pub(super) fn image_number(&self, spec: &JobSpec) -> u32 {
        self.catalog.image_number(&spec.image).unwrap_or(UNKNOWN_IMAGE)
    }

    /// The rate in GB per second at which a machine fetches images.
    pub(super) fn fetch_rate(&self, machine: &Machine) -> f64 {
        self.catalog.types[machine.kind].fetch_gb_per_s.max(MIN_FETCH_GB_PER_S)
    }

    /// Seconds until a job's image could be on a machine: 0 if it is there, the rest of a fetch in progress, or else a
    /// whole fetch.
    pub(super) fn image_fetch_s(&self, now: MonotonicTime, spec: &JobSpec, machine: &Machine) -> f64 {
        let remaining_s = machine.image_ready_in_s(self.image_number(spec), now);
        remaining_s.unwrap_or_else(|| spec.image_gb / self.fetch_rate(machine))
    }

    /// Starts a gang on these machines. If one of the machines can't take the tasks meant for it any more, no task of
    /// the gang is started.
    pub(super) fn start_gang(&mut self, now: MonotonicTime, job_id: &JobId, parts: &[GangPlacement]) {
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
            self.start_task(now, job_id, index, machine, attempt);
        }
    }

    /// Undoes the start of a gang. Only valid while none of its run orders has been sent.
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

    /// Records a task attempt in the cluster state and queues its run order. A task attempt is always recorded before
    /// its run order is sent, so that no task can run that isn't accounted for.
    pub(super) fn start_task(
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
        self.meter.add_tasks(machine.allocations.len() + machine.outbox.len());
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
            run_token: FencingToken::NONE,
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
