//! Candidates: machines that tasks can be placed on, with the capacity that is still free on them in a planning round.

use super::TOLERANCE;
use crate::core::machine::Resources;
use crate::core::task_slots::MAX_TASKS_PER_MACHINE;
use crate::peer::{JobView, MachineTypeView, MachineView, PlanInput, ProvisionOffer};

/// Jobs whose priority number is at most this (prod and high) are urgent: they are not preempted for GPU jobs.
const MAX_URGENT_PRIORITY: u32 = 1;
/// A priority number (0 is the most urgent) that is less urgent than that of any job.
const LOWEST_PRIORITY: u32 = 9;

impl From<&JobView> for Resources {
    /// The resources that one task of the job needs.
    fn from(job: &JobView) -> Resources {
        Resources { cpus: job.cpus, gpus: job.gpus, memory_gb: job.memory_gb, ..Resources::TASK_SLOT }
    }
}

impl From<&MachineTypeView> for Resources {
    /// The capacity of an empty machine of the type.
    fn from(machine_type: &MachineTypeView) -> Resources {
        Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
            task_slots: f64::from(MAX_TASKS_PER_MACHINE),
        }
    }
}

/// Whether a candidate is a machine that exists or is requested, or one that an offer allows to provision.
#[derive(Clone, Copy)]
pub(super) enum CandidateSource {
    /// A machine of the planner input, which may still be booting, with its index and its key there.
    Machine { index: usize, key: u32 },
    /// A machine that isn't requested from the cloud yet, with the index of its offer in the planner input.
    Offer(usize),
}

/// A machine that tasks can be placed on: an existing or requested one, or one that an offer allows to provision.
pub(super) struct Candidate {
    pub(super) source: CandidateSource,
    /// Index of the candidate's machine type in the planner input.
    pub(super) type_index: usize,
    pub(super) zone: u32,
    pub(super) spot: bool,
    /// Whether the machine is up, so that tasks placed on it can start now.
    pub(super) up: bool,
    /// Whether the candidate is a GPU machine of the planner input. Jobs without GPUs may use only `urgent_headroom` or
    /// `preemptible_headroom` of such a machine.
    headroom_applies: bool,
    /// Capacity of a GPU machine that urgent jobs without GPUs may still use.
    urgent_headroom: Resources,
    /// Capacity of a GPU machine that jobs without GPUs that aren't urgent may still use.
    preemptible_headroom: Resources,
    /// The machine's resources that are not allocated to any task.
    capacity: Resources,
    /// Whether this round has placed a task on the machine, so that it is to be provisioned. Used only for a machine of
    /// an offer.
    pub(super) requested: bool,
    /// The fraction of the machine, 0 to 1, that the tasks placed on it use together. Used only for a machine of an
    /// offer.
    pub(super) load: f64,
    /// The most urgent priority number of the tasks placed on the machine. Used only for a machine of an offer.
    pub(super) priority: u32,
}

impl Candidate {
    /// The candidate for an existing or requested machine, which has this index among the machines of the input.
    pub(super) fn from_machine(input: &PlanInput, index: usize, machine: &MachineView) -> Candidate {
        // A leader of an earlier version doesn't state the task slots; it has no limit on them.
        let task_slots = machine.free_task_slots.map_or(f64::INFINITY, f64::from);
        let headroom = |cpus: f64, memory_gb: f64| Resources { cpus, gpus: 0.0, memory_gb, task_slots };
        let free = Resources {
            cpus: machine.free_cpus,
            gpus: machine.free_gpus,
            memory_gb: machine.free_memory_gb,
            task_slots,
        };
        Candidate {
            source: CandidateSource::Machine { index, key: machine.key },
            type_index: machine.type_index as usize,
            zone: machine.zone,
            spot: machine.spot,
            up: machine.up,
            headroom_applies: input.types[machine.type_index as usize].gpus > TOLERANCE,
            urgent_headroom: headroom(machine.urgent_headroom_cpus, machine.urgent_headroom_memory_gb),
            preemptible_headroom: headroom(machine.preemptible_headroom_cpus, machine.preemptible_headroom_memory_gb),
            capacity: free,
            requested: false,
            load: 0.0,
            priority: LOWEST_PRIORITY,
        }
    }

    /// The candidate for one machine of an offer, where the offer has this index in the input.
    pub(super) fn from_offer(input: &PlanInput, index: usize, offer: &ProvisionOffer) -> Candidate {
        Candidate {
            source: CandidateSource::Offer(index),
            type_index: offer.type_index as usize,
            zone: offer.zone,
            spot: offer.spot,
            up: false,
            headroom_applies: false,
            urgent_headroom: Resources::default(),
            preemptible_headroom: Resources::default(),
            capacity: Resources::from(&input.types[offer.type_index as usize]),
            requested: false,
            load: 0.0,
            priority: LOWEST_PRIORITY,
        }
    }

    /// The index of the offer that the candidate belongs to. Returns `None` for an existing or requested machine.
    pub(super) fn offer(&self) -> Option<usize> {
        match self.source {
            CandidateSource::Machine { .. } => None,
            CandidateSource::Offer(index) => Some(index),
        }
    }

    /// Whether the candidate has enough free capacity for one more task of the job, where `scope` says how much of a
    /// GPU machine a job without GPUs may use.
    pub(super) fn fits(&self, job: &JobView, scope: SearchScope) -> bool {
        let need = Resources::from(job);
        let headroom = if is_urgent(job) { &self.urgent_headroom } else { &self.preemptible_headroom };
        self.capacity.covers(&need)
            && (scope == SearchScope::All || !self.is_limited_to_headroom(job) || headroom.covers(&need))
    }

    /// How many tasks with this need fit into the free capacity.
    pub(super) fn tasks_that_fit(&self, need: &Resources) -> u32 {
        self.capacity.tasks_that_fit(need)
    }

    /// Whether the job may use only a part (headroom) of the candidate: the job needs no GPU, and the candidate is a
    /// GPU machine.
    fn is_limited_to_headroom(&self, job: &JobView) -> bool {
        self.headroom_applies && job.gpus <= TOLERANCE
    }

    /// Deducts the resources of one task of the job from the candidate's free capacity, and from the headroom.
    pub(super) fn allocate(&mut self, job: &JobView) {
        let need = Resources::from(job);
        self.capacity.sub(&need);
        if self.is_limited_to_headroom(job) {
            self.preemptible_headroom.sub(&need);
            if is_urgent(job) {
                self.urgent_headroom.sub(&need);
            }
        }
    }

    /// Releases what [`Candidate::allocate`] allocated for `tasks` tasks of the job.
    pub(super) fn release(&mut self, job: &JobView, tasks: u32) {
        let need = Resources::from(job).times(tasks);
        self.capacity.add(&need);
        if self.is_limited_to_headroom(job) {
            self.preemptible_headroom.add(&need);
            if is_urgent(job) {
                self.urgent_headroom.add(&need);
            }
        }
    }
}

fn is_urgent(job: &JobView) -> bool {
    job.priority <= MAX_URGENT_PRIORITY
}

/// How far a job without GPUs may use GPU machines, from the narrowest to the widest scope.
///
/// A service on a GPU machine keeps that machine running indefinitely and blocks GPU jobs from it, so a service starts
/// with the narrowest scope. A service gets a wider scope only if no machine that is up has capacity for it within the
/// present one, because services take precedence over all other jobs. Other jobs always have
/// [`SearchScope::Headroom`]. This rule is not from the paper.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
pub(super) enum SearchScope {
    /// The job may use no GPU machines.
    WithoutGpus,
    /// The job may also use GPU machines, each up to the headroom that the planner input states for such jobs.
    Headroom,
    /// The job may also use GPU machines, up to their whole capacity.
    All,
}
