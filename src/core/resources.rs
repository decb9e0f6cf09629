//! Processors, GPUs and memory: of a machine, of a task, or a sum of them.

use crate::wire::{JobSpec, MachineType};

/// How much a need may exceed what is there and still be covered: sums of fractions don't come out even.
const COVER_EPSILON: f64 = 1e-6;

/// An amount of each resource.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Processors; fractions are allowed.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

impl Resources {
    /// What a machine of this type has.
    pub fn of_type(machine_type: &MachineType) -> Resources {
        Resources { cpus: machine_type.cpus, gpus: machine_type.gpus, memory_gb: machine_type.memory_gb }
    }

    /// What one task of this job needs.
    pub fn of_task(spec: &JobSpec) -> Resources {
        Resources { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }

    /// Adds the other amount to this one.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Takes the other amount from this one, also below zero.
    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    /// Raises each part to at least that of the other.
    pub fn max_with(&mut self, other: &Resources) {
        self.cpus = self.cpus.max(other.cpus);
        self.gpus = self.gpus.max(other.gpus);
        self.memory_gb = self.memory_gb.max(other.memory_gb);
    }

    /// Whether this amount is enough for the need, but for rounding.
    pub fn covers(&self, need: &Resources) -> bool {
        need.cpus <= self.cpus + COVER_EPSILON
            && need.gpus <= self.gpus + COVER_EPSILON
            && need.memory_gb <= self.memory_gb + COVER_EPSILON
    }
}

#[cfg(test)]
mod tests;
