//! Stops of many tasks at once: of a job that has ended, or of a gang. For a large job they are queued over several ticks,
//! so that other inputs don't wait for them.

use super::Scheduler;
use super::orders::stop_allocation;
use crate::core::jobs::Job;
use crate::core::machine::TaskAttempt;
use crate::ids::{JobId, MachineId, TaskId};
use std::collections::{BTreeSet, VecDeque};

/// Limit on the tasks of large jobs that are stopped between two ticks.
const MAX_STOPS_PER_TICK: usize = 4_096;

/// A task attempt that is to be stopped.
struct PendingStop {
    machine: MachineId,
    key: TaskAttempt,
    leeway_s: f64,
}

/// The task attempts that are to be stopped.
pub(super) struct PendingStops {
    queue: VecDeque<PendingStop>,
    /// How many tasks may still be stopped before the next tick.
    left: usize,
}

impl Default for PendingStops {
    fn default() -> PendingStops {
        PendingStops { queue: VecDeque::new(), left: MAX_STOPS_PER_TICK }
    }
}

impl PendingStops {
    /// Whether all stops have been queued for their machines.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Adds all tasks of a job that may be on machines.
    pub(super) fn add_placed_tasks(&mut self, id: &JobId, job: &Job, leeway_s: f64) {
        self.queue.extend(job.places().map(|(index, machine, attempt)| PendingStop {
            machine: machine.clone(),
            key: (TaskId { job: *id, index }, attempt),
            leeway_s,
        }));
    }
}

impl Scheduler {
    /// Queues orders for pending stops. Called once a tick.
    pub(super) fn continue_stops(&mut self) {
        self.pending_stops.left = MAX_STOPS_PER_TICK;
        self.queue_pending_stops();
    }

    /// Queues orders for pending stops, as many as may be queued before the next tick. Returns the machines concerned.
    pub(super) fn queue_pending_stops(&mut self) -> BTreeSet<MachineId> {
        let mut machines = BTreeSet::new();
        while self.pending_stops.left > 0
            && let Some(PendingStop { machine: id, key, leeway_s }) = self.pending_stops.queue.pop_front()
        {
            self.pending_stops.left -= 1;
            self.meter.add_tasks(1);
            if let Some(machine) = self.machines.known.get_mut(&id) {
                stop_allocation(machine, &key, leeway_s);
                machines.insert(id);
            }
        }
        machines
    }

    /// Queues the stops of those tasks of a machine that must end and whose stops are still pending. Called before
    /// anything is sent to the machine's worker: a cancelled task must neither start nor keep its lease.
    pub(super) fn stop_ended_tasks(&mut self, id: &MachineId) {
        if self.pending_stops.is_empty() {
            return;
        }
        let Some(machine) = self.machines.known.get_mut(id) else { return };
        self.meter.add_tasks(machine.allocations.len());
        let may_continue = |key: &TaskAttempt| self.jobs.live.get(&key.0.job).is_some_and(|job| job.may_continue(key));
        let ended: Vec<TaskAttempt> = machine
            .allocations
            .iter()
            .filter(|(key, allocation)| allocation.stop_leeway_s.is_none() && !may_continue(key))
            .map(|(key, _)| *key)
            .collect();
        ended.iter().for_each(|key| stop_allocation(machine, key, 0.0));
    }
}
