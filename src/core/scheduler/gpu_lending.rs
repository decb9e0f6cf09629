//! GPU lending: decides which GPU machines may be filled with tasks that need no GPUs, and how much capacity has to be
//! kept free for GPU jobs on the others.

use super::Scheduler;
use super::gpu_demand::GpuDemand;
use crate::core::jobs::Job;
use crate::core::machine::{Allocation, Machine, Resources};
use crate::ids::{JobId, MachineId};
use crate::time::MonotonicTime;
use crate::wire::{JobKind, MachineType, Priority};
use std::collections::{BTreeMap, BTreeSet};

/// What GPU jobs need on GPU machines, and which GPU machines are lendable: tasks that need no GPUs may fill them.
pub(super) struct GpuLending {
    /// By machine type, the most processors and the most memory that a task of a GPU job permitted there needs.
    pub(super) gpu_job_needs: Vec<Resources>,
    demand: GpuDemand,
    /// Ids of the GPU machines that may be filled completely with tasks that need no GPUs, as of the last planning
    /// round.
    pub(super) lendable: BTreeSet<MachineId>,
}

/// A GPU machine on which no GPU is in use.
struct IdleGpuMachine<'a> {
    id: &'a MachineId,
    machine: &'a Machine,
    /// Processors in use on it.
    used_cpus: f64,
}

impl GpuLending {
    /// Creates the state in which no GPU job is known, and no GPU machine may be filled with tasks that need no GPUs.
    pub(super) fn new(types: usize, zones: usize, now: MonotonicTime) -> GpuLending {
        GpuLending {
            gpu_job_needs: vec![Resources::default(); types],
            demand: GpuDemand::new(zones, now),
            lendable: BTreeSet::new(),
        }
    }

    /// Whether tasks that need no GPUs may fill the machine completely, as of the last planning round.
    pub(super) fn is_lendable(&self, id: &MachineId) -> bool {
        self.lendable.contains(id)
    }

    /// Chooses the GPU machines that tasks without GPUs may fill completely: in each zone as many as recent GPU demand
    /// does not need, starting with the machines on which such tasks already use the most processors. If any GPU
    /// machine could be filled as soon as it is free, the next GPU job would preempt these tasks, which would then
    /// restart from the beginning each time.
    ///
    /// `waiting_gpus` is the number of GPUs that all startable tasks need.
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
        let mut spare_gpus = self.demand.update(now, installed, &in_use, waiting_gpus);
        idle.sort_by(|a, b| b.used_cpus.total_cmp(&a.used_cpus).then(a.id.cmp(b.id)));
        let lendable =
            idle.into_iter().filter(|idle| spare_gpus.take(idle.machine.zone, types[idle.machine.kind].gpus));
        self.lendable = lendable.map(|idle| idle.id.clone()).collect();
    }

    /// Resources of a GPU machine that tasks of high priority without GPUs may still take. The largest need of a GPU
    /// job is always kept free, as GPU jobs do not preempt such tasks.
    pub(super) fn urgent_headroom(&self, machine: &Machine, machine_type: &MachineType) -> Resources {
        let mut headroom = Resources::of_type(machine_type);
        headroom.sub(&self.gpu_job_needs[machine.kind]);
        let urgent = |allocation: &&Allocation| {
            !allocation.has_exited() && allocation.need.gpus <= 0.0 && allocation.priority <= Priority::High
        };
        machine.allocations.values().filter(urgent).for_each(|allocation| headroom.sub(&allocation.need));
        headroom
    }

    /// Resources of a GPU machine that tasks of lower priority without GPUs may still take. GPU jobs may preempt such
    /// tasks. The largest need of a GPU job is kept free, unless the machine runs a GPU task or is lendable, which
    /// means that tasks without GPUs may fill it.
    pub(super) fn preemptible_headroom(
        &self,
        machine: &Machine,
        machine_type: &MachineType,
        lendable: bool,
    ) -> Resources {
        let mut headroom = machine.free(machine_type);
        let runs_gpu_work =
            machine.allocations.values().any(|allocation| !allocation.has_exited() && allocation.need.gpus > 0.0);
        if !lendable && !runs_gpu_work {
            headroom.sub(&self.gpu_job_needs[machine.kind]);
        }
        headroom
    }

    /// How many of `tasks` tasks of the job take no capacity of the machine that is kept free for GPU jobs. Services
    /// may take such capacity. Planners keep to this limit, but as they plan independently, several of them may use the
    /// same remaining capacity.
    pub(super) fn tasks_within_headroom(
        &self,
        job: &Job,
        id: &MachineId,
        machine: &Machine,
        machine_type: &MachineType,
        tasks: u32,
    ) -> u32 {
        let spec = &job.spec;
        if machine_type.gpus <= 0.0 || spec.gpus > 0.0 || spec.kind == JobKind::Service {
            return tasks;
        }
        let headroom = if job.priority() <= Priority::High {
            self.urgent_headroom(machine, machine_type)
        } else {
            self.preemptible_headroom(machine, machine_type, self.is_lendable(id))
        };
        let headroom = Resources { gpus: 0.0, ..headroom };
        headroom.count_covered(&Resources { gpus: 0.0, ..Resources::of_task(spec) }, tasks)
    }
}

impl Scheduler {
    /// Updates which GPU machines may be filled completely with tasks that need no GPUs, given the jobs with tasks that
    /// may be placed now.
    pub(super) fn update_lendable_gpu_machines(&mut self, now: MonotonicTime, plannable: &BTreeSet<JobId>) {
        let jobs = plannable.iter().filter_map(|id| self.jobs.live.get(id));
        let waiting_gpus: f64 = jobs.map(|job| job.startable_tasks() as f64 * job.spec.gpus).sum();
        let zones = self.catalog.zones.len();
        self.gpus.update_lendable(now, &self.machines.known, &self.catalog.types, zones, waiting_gpus);
    }
}
