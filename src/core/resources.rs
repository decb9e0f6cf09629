//! Amounts of processors, GPUs, memory and task slots: the capacity of a machine, the requirements of a task, or sums of
//! them.

use crate::core::task_slots::MAX_TASKS_PER_MACHINE;
use crate::wire::{JobSpec, MachineType};

/// An amount is still enough for a requirement that exceeds it by no more than this, because sums of fractional amounts
/// have rounding errors.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// An amount of processors, GPUs, memory and task slots: what a machine has, what is free on it, or what tasks need.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Number of processors; may be fractional.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
    /// Amount of memory, in GB.
    pub memory_gb: f64,
    /// Number of tasks, fetching, running and exited ones; see [`MAX_TASKS_PER_MACHINE`].
    pub task_slots: f64,
}

impl Resources {
    /// What each task takes whatever it needs, also once it has exited, until it is cleared: a place in the list of its
    /// worker's heartbeats.
    pub const TASK_SLOT: Resources = Resources { cpus: 0.0, gpus: 0.0, memory_gb: 0.0, task_slots: 1.0 };

    /// The capacity of an empty machine of this type.
    pub fn of_type(machine_type: &MachineType) -> Resources {
        Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
            task_slots: f64::from(MAX_TASKS_PER_MACHINE),
        }
    }

    /// The resources that one task of the job needs.
    pub fn of_task(spec: &JobSpec) -> Resources {
        Resources { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb, ..Resources::TASK_SLOT }
    }

    /// Adds `other` to this amount.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
        self.task_slots += other.task_slots;
    }

    /// Subtracts `other` from this amount. The result may be negative.
    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
        self.task_slots -= other.task_slots;
    }

    /// What `tasks` tasks with this need take together.
    pub fn times(&self, tasks: u32) -> Resources {
        let tasks = f64::from(tasks);
        Resources {
            cpus: self.cpus * tasks,
            gpus: self.gpus * tasks,
            memory_gb: self.memory_gb * tasks,
            task_slots: self.task_slots * tasks,
        }
    }

    /// Raises each resource to at least the amount in `other`.
    pub fn max_with(&mut self, other: &Resources) {
        self.cpus = self.cpus.max(other.cpus);
        self.gpus = self.gpus.max(other.gpus);
        self.memory_gb = self.memory_gb.max(other.memory_gb);
        self.task_slots = self.task_slots.max(other.task_slots);
    }

    /// How many tasks that need `need` each fit into this amount, for a need of at least one task slot.
    pub fn tasks_that_fit(&self, need: &Resources) -> u32 {
        let quotient = |amount: f64, need: f64| match need > 0.0 {
            true => (amount + ROUNDING_TOLERANCE) / need,
            false => f64::INFINITY,
        };
        let tasks = quotient(self.cpus, need.cpus)
            .min(quotient(self.gpus, need.gpus))
            .min(quotient(self.memory_gb, need.memory_gb))
            .min(quotient(self.task_slots, need.task_slots));
        tasks.max(0.0) as u32
    }

    /// How many of `tasks` tasks that need `need` each this amount is enough for.
    pub fn count_covered(mut self, need: &Resources, tasks: u32) -> u32 {
        let mut covered = 0;
        while covered < tasks && self.covers(need) {
            self.sub(need);
            covered += 1;
        }
        covered
    }

    /// Whether this amount is enough for `need` in each resource, apart from rounding errors.
    pub fn covers(&self, need: &Resources) -> bool {
        need.cpus <= self.cpus + ROUNDING_TOLERANCE
            && need.gpus <= self.gpus + ROUNDING_TOLERANCE
            && need.memory_gb <= self.memory_gb + ROUNDING_TOLERANCE
            && need.task_slots <= self.task_slots
    }
}

#[cfg(test)]
mod tests;
