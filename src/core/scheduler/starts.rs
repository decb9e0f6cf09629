//! Starting tasks on machines that were chosen for them.

use super::Scheduler;
use crate::core::jobs::TaskPlace;
use crate::core::machine::{Allocation, MIN_REMAINING_FETCH_S, Machine, Resources};
use crate::ids::{Attempt, FencingToken, JobId, MachineId, TaskId};
use crate::time::MonotonicTime;
use crate::wire::{JobSpec, Order};
use log::debug;
use std::collections::HashMap;

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

    /// Records task attempts of a job on a machine in the cluster state and queues their run orders. A task attempt is
    /// always recorded before its run order is sent, so that no task can run that isn't accounted for.
    pub(super) fn start_tasks(
        &mut self,
        now: MonotonicTime,
        job_id: &JobId,
        machine_id: &MachineId,
        tasks: &[(u32, Attempt)],
    ) {
        let (Some(job), Some(machine)) = (self.jobs.live.get(job_id), self.machines.known.get(machine_id)) else {
            return;
        };
        if tasks.is_empty() {
            return;
        }
        self.meter.add_tasks(machine.allocations.len() + tasks.len());
        let (image, fetch_s) = (self.image_number(&job.spec), self.image_fetch_s(now, &job.spec, machine));
        let run_s = self.jobs.expected_run_s(&job.spec);
        let (Some(job), Some(machine)) = (self.jobs.live.get_mut(job_id), self.machines.known.get_mut(machine_id))
        else {
            return;
        };
        machine.cache_image(image, job.spec.image_gb, self.catalog.types[machine.kind].cache_gb);
        machine.idle_since = None;
        let mut allocation = Allocation {
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
        for (index, attempt) in tasks {
            let (task, attempt) = (TaskId { job: *job_id, index: *index }, *attempt);
            debug!("start: task={task} attempt={attempt} machine={machine_id}");
            job.place(*index, TaskPlace { machine: machine_id.clone(), zone: machine.zone, attempt });
            self.quota.record_start(job.team, &allocation.need);
            machine.outbox.push(Order::Run { task, attempt });
            machine.allocations.insert((task, attempt), allocation.clone());
            // The following tasks share the fetch that the first one has started.
            if fetch_s > 0.0 {
                allocation.fetch_s = fetch_s.max(MIN_REMAINING_FETCH_S);
            }
        }
    }
}

/// Adds up the tasks of a gang that are to start on the same machine, so that each machine is named once.
pub(super) fn merge_by_machine(parts: Vec<GangPlacement>) -> Vec<GangPlacement> {
    let mut merged: Vec<GangPlacement> = Vec::new();
    let mut positions: HashMap<MachineId, usize> = HashMap::new();
    for (machine, tasks) in parts {
        let position = *positions.entry(machine.clone()).or_insert(merged.len());
        match merged.get_mut(position) {
            Some((_, total)) => *total += tasks,
            None => merged.push((machine, tasks)),
        }
    }
    merged
}
