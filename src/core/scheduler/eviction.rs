//! Chooses which tasks of a machine to stop for a task of another job, and estimates the processor time lost by that.

use super::Scheduler;
use crate::core::jobs::Job;
use crate::core::machine::{Allocation, Machine, Resources, TaskAttempt};
use crate::core::placement;
use crate::ids::{JobId, MachineId};
use crate::peer::ZoneCount;
use crate::time::MonotonicTime;
use crate::wire::JobKind;
use log::debug;
use std::cmp::Reverse;

/// Processor seconds that count as lost for each second that the machine would take to fetch the image of the task to
/// be placed. Machines that hold the image are preferred by that.
const IMAGE_FETCH_LOSS_PER_SECOND: f64 = 20.0;
/// Processor seconds that count as lost if a service replica without GPUs is placed on a GPU machine: more than any
/// loss on another machine.
const GPU_MACHINE_LOSS: f64 = 1e6;
/// Processor seconds that count as lost if a service replica without GPUs is placed in capacity of a GPU machine that
/// is kept free for GPU jobs.
const GPU_JOB_CAPACITY_LOSS: f64 = 1e9;

/// The machines on which other tasks may be preempted for a task.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum PlacementTarget {
    /// Any machine that the job permits.
    Anywhere,
    /// Machines that the job permits and that hold its image.
    ImageHolders,
}

/// The job that tasks of other jobs are preempted for.
#[derive(Clone, Copy)]
pub(super) struct Preemptor<'a> {
    pub(super) id: &'a JobId,
    pub(super) job: &'a Job,
    pub(super) target: PlacementTarget,
}

/// Tasks to be stopped on a machine, and the estimated loss in processor seconds that stopping them causes.
#[derive(Default)]
pub(super) struct Eviction {
    pub(super) victims: Vec<TaskAttempt>,
    pub(super) loss: f64,
}

impl Scheduler {
    /// The eviction needed on a machine for one more task of a job whose other tasks are in `zones`. Returns
    /// `None` if the machine cannot take the task.
    pub(super) fn eviction_for(
        &self,
        now: MonotonicTime,
        preemptor: Preemptor,
        machine_id: &MachineId,
        zones: &[ZoneCount],
    ) -> Option<Eviction> {
        let machine = self.machines.known.get(machine_id)?;
        let spec = &preemptor.job.spec;
        let allowed = placement::zone_allowed(spec.spread, spec.one_zone, spec.tasks, zones, machine.zone);
        if !allowed || !self.is_eligible(now, preemptor.job, machine_id, machine) {
            return None;
        }
        self.eviction(now, preemptor, machine_id, machine)
    }

    /// Whether the machine may run tasks of the job, apart from capacity and zone constraints.
    fn is_eligible(&self, now: MonotonicTime, job: &Job, id: &MachineId, machine: &Machine) -> bool {
        machine.is_schedulable(now, self.heartbeat_timeout())
            && self.permits_machine(&job.spec, machine)
            && !job.avoids(id, now)
    }

    /// The eviction needed on an eligible machine. Returns `None` if the machine lacks the job's image although the
    /// target requires it, if the task would take capacity that is kept free for GPU jobs, or if stopping all
    /// preemptible tasks does not free enough capacity.
    fn eviction(
        &self,
        now: MonotonicTime,
        preemptor: Preemptor,
        machine_id: &MachineId,
        machine: &Machine,
    ) -> Option<Eviction> {
        let spec = &preemptor.job.spec;
        let machine_type = &self.catalog.types[machine.kind];
        let need = Resources::of_task(spec);
        let service = spec.kind == JobKind::Service;
        let image_ready_s = machine.image_ready_in_s(self.image_number(spec), now);
        if preemptor.target == PlacementTarget::ImageHolders && image_ready_s != Some(0.0) {
            return None;
        }
        let cpu_task_on_gpu_machine = machine_type.gpus > 0.0 && need.gpus <= 0.0;
        let exceeds_headroom = cpu_task_on_gpu_machine
            && !self.gpus.urgent_headroom(machine, machine_type).covers(&Resources { gpus: 0.0, ..need });
        if exceeds_headroom && !service {
            return None;
        }
        let mut eviction = self.choose_victims(now, preemptor, machine_id, machine)?;
        if image_ready_s.is_none() {
            eviction.loss += IMAGE_FETCH_LOSS_PER_SECOND * spec.image_gb / self.fetch_rate(machine);
        }
        if service && cpu_task_on_gpu_machine {
            eviction.loss += if exceeds_headroom { GPU_JOB_CAPACITY_LOSS } else { GPU_MACHINE_LOSS };
        }
        Some(eviction)
    }

    /// The shortest prefix of [`Scheduler::preemptible_allocations`] that frees enough capacity for a task of the
    /// job. Returns `None` if stopping all of them is not enough.
    fn choose_victims(
        &self,
        now: MonotonicTime,
        preemptor: Preemptor,
        machine_id: &MachineId,
        machine: &Machine,
    ) -> Option<Eviction> {
        let need = Resources::of_task(&preemptor.job.spec);
        self.meter.add_tasks(machine.allocations.len());
        let mut free = self.unreserved_capacity(machine_id, machine, None);
        // Resources of tasks that are being stopped will soon be free.
        for allocation in machine.allocations.values().filter(|a| !a.has_exited() && a.stop_leeway_s.is_some()) {
            free.add(&allocation.need);
        }
        let mut eviction = Eviction::default();
        for (key, allocation) in self.preemptible_allocations(now, preemptor, machine) {
            if free.covers(&need) {
                break;
            }
            free.add(&allocation.need);
            let ran_s = allocation.running_since.map_or(0.0, |since| (now - since).as_secs_f64());
            eviction.loss += self.tasks_lost_by_stop(&key.0.job) * (1.0 + ran_s * allocation.need.cpus.max(1.0));
            eviction.victims.push(*key);
        }
        free.covers(&need).then_some(eviction)
    }

    /// The tasks on a machine that may be preempted for a job: the lowest priority first, then the shortest run.
    fn preemptible_allocations<'a>(
        &'a self,
        now: MonotonicTime,
        preemptor: Preemptor,
        machine: &'a Machine,
    ) -> Vec<(&'a TaskAttempt, &'a Allocation)> {
        let Preemptor { id, job, target } = preemptor;
        let guaranteed = self.quota.is_within_guarantee(id);
        let may_be_stopped = |(key, allocation): &(&TaskAttempt, &Allocation)| {
            // A job within its team's guarantee may preempt tasks of equal priority that another team runs beyond its
            // own guarantee.
            let over_guarantee = allocation.team != Some(job.team) && !self.quota.is_within_guarantee(&key.0.job);
            let outranked = allocation.priority > job.priority()
                || guaranteed && allocation.priority == job.priority() && over_guarantee;
            // Stopping one task of a gang stops all of them, which costs more than fetching the image saves.
            let is_acceptable_loss = target == PlacementTarget::Anywhere || self.tasks_lost_by_stop(&key.0.job) == 1.0;
            !allocation.has_exited() && allocation.stop_leeway_s.is_none() && outranked && is_acceptable_loss
        };
        let mut preemptible: Vec<_> = machine.allocations.iter().filter(may_be_stopped).collect();
        preemptible.sort_by_key(|(_, allocation)| {
            let ran = allocation.running_since.map_or(0, |since| (now - since).0);
            (Reverse(allocation.priority), ran)
        });
        preemptible
    }

    /// How many tasks are lost when one task of the job is stopped: all tasks of a gang, otherwise one.
    fn tasks_lost_by_stop(&self, id: &JobId) -> f64 {
        self.jobs.live.get(id).filter(|job| job.spec.kind == JobKind::Gang).map_or(1.0, |job| f64::from(job.spec.tasks))
    }

    /// Stops tasks on a machine and reserves capacity there for one task of a job.
    pub(super) fn evict(&mut self, now: MonotonicTime, id: &JobId, machine: &MachineId, victims: Vec<TaskAttempt>) {
        let Some(need) = self.jobs.live.get(id).map(|job| Resources::of_task(&job.spec)) else { return };
        if !victims.is_empty() {
            debug!("preempting tasks for a job: job={id} machine={machine} tasks={}", victims.len());
        }
        self.stop_tasks(machine, &victims);
        self.reservations.add(now, machine.clone(), *id, need);
    }
}
