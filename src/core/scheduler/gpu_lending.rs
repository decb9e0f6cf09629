//! Which GPU machines work without GPUs may fill, and how far.

use super::Scheduler;
use super::gpu_demand::GpuDemand;
use crate::core::jobs::Job;
use crate::core::machine::{Allocation, Machine, Resources};
use crate::ids::{JobId, MachineId};
use crate::time::MonotonicTime;
use crate::wire::{Kind, MachineType, Priority};
use std::collections::{BTreeMap, BTreeSet};

/// Sums of fractions of processors may exceed a headroom by this much.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// What GPU jobs need of GPU machines, and what is left of these for other work.
pub(super) struct GpuLending {
    /// For each type the most that a GPU job has asked of it.
    pub(super) needs: Vec<Resources>,
    demand: GpuDemand,
    /// GPU machines that work without GPUs may fill, as of the last round.
    pub(super) lendable: BTreeSet<MachineId>,
}

/// A GPU machine on which no GPU is in use.
struct IdleGpuMachine<'a> {
    id: &'a MachineId,
    machine: &'a Machine,
    /// Processors that work without GPUs uses on it.
    used_cpus: f64,
}

impl GpuLending {
    /// No GPU job is known yet, and no machine is lent.
    pub(super) fn new(types: usize, zones: usize, now: MonotonicTime) -> GpuLending {
        GpuLending {
            needs: vec![Resources::default(); types],
            demand: GpuDemand::new(zones, now),
            lendable: BTreeSet::new(),
        }
    }

    /// Whether work without GPUs may fill the machine, as of the last round.
    pub(super) fn is_lendable(&self, id: &MachineId) -> bool {
        self.lendable.contains(id)
    }

    /// Chooses the GPU machines that work without GPUs may fill: of each zone's, as many as GPU jobs haven't
    /// wanted lately, and those first that do such work already. Filled as they come free, they
    /// would be cleared for the next GPU job, and what ran there would start over each time.
    ///
    /// `waiting_gpus` is how many GPUs the tasks that could start now want.
    fn update_lendable(
        &mut self,
        now: MonotonicTime,
        machines: &BTreeMap<MachineId, Machine>,
        types: &[MachineType],
        zones: usize,
        waiting_gpus: f64,
    ) {
        let mut installed = vec![0.0; zones];
        let mut in_use = vec![0.0; zones];
        let mut idle: Vec<IdleGpuMachine> = Vec::new();
        let has_gpus = |machine: &Machine| machine.up && !machine.retiring && types[machine.kind].gpus > 0.0;
        for (id, machine) in machines.iter().filter(|(_, machine)| has_gpus(machine)) {
            installed[machine.zone as usize] += types[machine.kind].gpus;
            let used = machine.used();
            in_use[machine.zone as usize] += used.gpus;
            if used.gpus <= 0.0 {
                idle.push(IdleGpuMachine { id, machine, used_cpus: used.cpus });
            }
        }
        let mut unwanted = self.demand.update(now, installed, &in_use, waiting_gpus);
        idle.sort_by(|a, b| b.used_cpus.total_cmp(&a.used_cpus).then(a.id.cmp(b.id)));
        let lent = idle.into_iter().filter(|idle| unwanted.take(idle.machine.zone, types[idle.machine.kind].gpus));
        self.lendable = lent.map(|idle| idle.id.clone()).collect();
    }

    /// What urgent work without GPUs may still take of a GPU machine of this type.
    pub(super) fn urgent_headroom(&self, machine: &Machine, machine_type: &MachineType) -> Resources {
        let mut headroom = Resources::of_type(machine_type);
        headroom.sub(&self.needs[machine.kind]);
        let urgent = |allocation: &&Allocation| {
            !allocation.has_exited() && allocation.need.gpus <= 0.0 && allocation.priority <= Priority::High
        };
        machine.allocations.values().filter(urgent).for_each(|allocation| headroom.sub(&allocation.need));
        headroom
    }

    /// What work without GPUs that can be stopped for GPU jobs may still take of a GPU machine of this type.
    pub(super) fn preemptible_headroom(&self, machine: &Machine, machine_type: &MachineType, lent: bool) -> Resources {
        let mut headroom = machine.free(machine_type);
        let gpu_work =
            machine.allocations.values().any(|allocation| !allocation.has_exited() && allocation.need.gpus > 0.0);
        if !lent && !gpu_work {
            headroom.sub(&self.needs[machine.kind]);
        }
        headroom
    }

    /// Whether a planned start of a task of the job leaves GPU jobs their headroom. Planners keep to that, but
    /// not knowing of each other they may all give the same machine what is left there.
    pub(super) fn preserves_headroom(
        &self,
        job: &Job,
        id: &MachineId,
        machine: &Machine,
        machine_type: &MachineType,
    ) -> bool {
        let spec = &job.spec;
        if machine_type.gpus <= 0.0 || spec.gpus > 0.0 || spec.kind == Kind::Service {
            return true;
        }
        let headroom = if job.priority() <= Priority::High {
            self.urgent_headroom(machine, machine_type)
        } else {
            self.preemptible_headroom(machine, machine_type, self.is_lendable(id))
        };
        headroom.cpus + ROUNDING_TOLERANCE >= spec.cpus && headroom.memory_gb + ROUNDING_TOLERANCE >= spec.memory_gb
    }
}

impl Scheduler {
    /// Chooses the GPU machines that work without GPUs may fill, given the jobs whose tasks could start now.
    pub(super) fn update_lendable_gpu_machines(&mut self, now: MonotonicTime, waiting: &BTreeSet<JobId>) {
        let jobs = waiting.iter().filter_map(|id| self.jobs.live.get(id));
        let waiting_gpus: f64 = jobs.map(|job| job.startable_tasks() as f64 * job.spec.gpus).sum();
        let zones = self.catalog.zones.len();
        self.gpus.update_lendable(now, &self.machines.known, &self.catalog.types, zones, waiting_gpus);
    }
}
