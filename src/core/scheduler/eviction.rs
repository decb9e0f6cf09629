//! Which tasks of a machine have to be stopped for a task of another job, and what is lost by that.

use super::Scheduler;
use crate::core::jobs::Job;
use crate::core::machine::{Allocation, Machine, Resources, TaskAttempt};
use crate::core::placement;
use crate::ids::{JobId, MachineId};
use crate::peer::ZoneCount;
use crate::time::MonotonicTime;
use crate::wire::Kind;
use log::debug;
use std::cmp::Reverse;

/// What a second of fetching an image counts as, in seconds of a processor.
const IMAGE_FETCH_LOSS_PER_SECOND: f64 = 20.0;
/// What counts against replicas without GPUs on a machine with GPUs: more than anything that may be lost
/// elsewhere.
const GPU_MACHINE_LOSS: f64 = 1e6;
/// The same where GPU jobs need the capacity.
const GPU_CAPACITY_LOSS: f64 = 1e9;

/// On which machines work may be stopped for a task.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum PlacementTarget {
    /// On any that the job permits.
    Anywhere,
    /// Only on those that have the job's image.
    ImageHolders,
}

/// The job that work is stopped for.
#[derive(Clone, Copy)]
pub(super) struct Preemptor<'a> {
    pub(super) id: &'a JobId,
    pub(super) job: &'a Job,
    pub(super) target: PlacementTarget,
}

/// Tasks to be stopped on a machine, and what is lost by that in seconds of a processor.
#[derive(Default)]
pub(super) struct Eviction {
    pub(super) victims: Vec<TaskAttempt>,
    pub(super) loss: f64,
}

impl Scheduler {
    /// What has to be stopped on a machine for one more task of a job whose other tasks are in these zones.
    /// None: the job can't have capacity there.
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

    /// Whether a job's tasks may be on the machine, capacity and the job's other tasks aside.
    fn is_eligible(&self, now: MonotonicTime, job: &Job, id: &MachineId, machine: &Machine) -> bool {
        machine.is_schedulable(now, self.heartbeat_timeout())
            && self.permits(&job.spec, machine)
            && !job.avoids(id, now)
    }

    /// What has to be stopped on an eligible machine. None: stopping all that may be stopped isn't enough.
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
        let service = spec.kind == Kind::Service;
        let image_ready_s = machine.image_ready_in_s(self.image_number(spec), now);
        if preemptor.target == PlacementTarget::ImageHolders && image_ready_s != Some(0.0) {
            return None;
        }
        let plain_on_gpus = machine_type.gpus > 0.0 && need.gpus <= 0.0;
        let takes_gpu_headroom =
            plain_on_gpus && !self.gpus.urgent_headroom(machine, machine_type).covers(&Resources { gpus: 0.0, ..need });
        if takes_gpu_headroom && !service {
            return None;
        }
        let mut eviction = self.choose_victims(now, preemptor, machine_id, machine)?;
        if image_ready_s.is_none() {
            eviction.loss += IMAGE_FETCH_LOSS_PER_SECOND * spec.image_gb / self.fetch_rate(machine);
        }
        if service && plain_on_gpus {
            eviction.loss += if takes_gpu_headroom { GPU_CAPACITY_LOSS } else { GPU_MACHINE_LOSS };
        }
        Some(eviction)
    }

    /// The fewest of a machine's tasks, in the order of [`Scheduler::preemptible_allocations`], that a task of
    /// the job takes the place of. None: all of them aren't enough.
    fn choose_victims(
        &self,
        now: MonotonicTime,
        preemptor: Preemptor,
        machine_id: &MachineId,
        machine: &Machine,
    ) -> Option<Eviction> {
        let need = Resources::of_task(&preemptor.job.spec);
        self.cost.add_tasks(machine.allocations.len());
        let mut free = self.unreserved_capacity(machine_id, machine, None);
        // What is already told to stop will be free soon.
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
            eviction.loss += self.tasks_lost_with(&key.0.job) * (1.0 + ran_s * allocation.need.cpus.max(1.0));
            eviction.victims.push(*key);
        }
        free.covers(&need).then_some(eviction)
    }

    /// The tasks on a machine that may be stopped for a job, those first that are missed least.
    fn preemptible_allocations<'a>(
        &'a self,
        now: MonotonicTime,
        preemptor: Preemptor,
        machine: &'a Machine,
    ) -> Vec<(&'a TaskAttempt, &'a Allocation)> {
        let Preemptor { id, job, target } = preemptor;
        let guaranteed = self.quota.is_within_guarantee(id);
        let may_be_stopped = |(key, allocation): &(&TaskAttempt, &Allocation)| {
            // A team's guarantee goes before what other teams run beyond theirs.
            let beyond = allocation.team != Some(job.team) && !self.quota.is_within_guarantee(&key.0.job);
            let lower =
                allocation.priority > job.priority() || guaranteed && allocation.priority == job.priority() && beyond;
            // Stopping one task of a gang stops it whole: too dear for an image.
            let cheap = target == PlacementTarget::Anywhere || self.tasks_lost_with(&key.0.job) == 1.0;
            !allocation.has_exited() && allocation.stop_leeway_s.is_none() && lower && cheap
        };
        let mut preemptible: Vec<_> = machine.allocations.iter().filter(may_be_stopped).collect();
        preemptible.sort_by_key(|(_, allocation)| {
            let ran = allocation.running_since.map_or(0, |since| (now - since).0);
            (Reverse(allocation.priority), ran)
        });
        preemptible
    }

    /// How many tasks end when one of the job's is stopped.
    fn tasks_lost_with(&self, id: &JobId) -> f64 {
        self.jobs.live.get(id).filter(|job| job.spec.kind == Kind::Gang).map_or(1.0, |job| f64::from(job.spec.tasks))
    }

    /// Stops tasks on a machine and reserves the capacity for a task of a job.
    pub(super) fn evict(&mut self, now: MonotonicTime, id: &JobId, machine: &MachineId, victims: Vec<TaskAttempt>) {
        let Some(need) = self.jobs.live.get(id).map(|job| Resources::of_task(&job.spec)) else { return };
        if !victims.is_empty() {
            debug!("preempting: job={id} machine={machine} tasks={}", victims.len());
        }
        for victim in victims {
            self.stop_task(machine, &victim);
        }
        self.reservations.add(now, machine.clone(), *id, need);
    }
}
