//! Candidates: machines that a task could be placed on, and their capacity within a round.

use super::TOLERANCE;
use crate::core::machine::Resources;
use crate::peer::{JobView, MachineView, PlanInput, ProvisionOffer, TypeView};

/// Priorities up to this one (prod, high) are not preempted for GPU jobs.
const MAX_URGENT_PRIORITY: u32 = 1;
/// Below every priority that a job can have.
const LOWEST_PRIORITY: u32 = 9;

impl From<&JobView> for Resources {
    /// What one task of the job needs.
    fn from(job: &JobView) -> Resources {
        Resources { cpus: job.cpus, gpus: job.gpus, memory_gb: job.memory_gb }
    }
}

impl From<&TypeView> for Resources {
    /// The capacity of an empty machine of the type.
    fn from(machine_type: &TypeView) -> Resources {
        Resources { cpus: machine_type.cpus, gpus: machine_type.gpus, memory_gb: machine_type.memory_gb }
    }
}

/// Where a candidate comes from.
#[derive(Clone, Copy)]
pub(super) enum CandidateSource {
    /// A machine of the view, by its index there and its key.
    Machine { index: usize, key: u32 },
    /// A machine yet to be provisioned, by the index of its offer.
    Offer(usize),
}

/// Something a task could be placed on: a machine of the view, or one that an offer allows to provision.
pub(super) struct Candidate {
    pub(super) source: CandidateSource,
    /// Index of its type in the view.
    pub(super) kind: usize,
    pub(super) zone: u32,
    pub(super) spot: bool,
    pub(super) up: bool,
    /// A GPU machine of the view: work without GPUs is held to the two headrooms.
    headroom_applies: bool,
    /// Of the capacity, what urgent work without GPUs may take.
    urgent_headroom: Resources,
    /// Of the capacity, what other work without GPUs may take.
    preemptible_headroom: Resources,
    capacity: Resources,
    /// For a machine yet to be provisioned: a task of this round needs it.
    pub(super) opened: bool,
    /// For a machine yet to be provisioned: the part of it that the tasks placed on it take, all together.
    pub(super) load: f64,
    /// For a machine yet to be provisioned: the most urgent priority placed on it.
    pub(super) priority: u32,
}

impl Candidate {
    /// The machine with that index in the view.
    pub(super) fn of_machine(input: &PlanInput, index: usize, machine: &MachineView) -> Candidate {
        let headroom = |cpus: f64, memory_gb: f64| Resources { cpus, gpus: 0.0, memory_gb };
        let free = Resources { cpus: machine.free_cpus, gpus: machine.free_gpus, memory_gb: machine.free_memory_gb };
        Candidate {
            source: CandidateSource::Machine { index, key: machine.key },
            kind: machine.kind as usize,
            zone: machine.zone,
            spot: machine.spot,
            up: machine.up,
            headroom_applies: input.types[machine.kind as usize].gpus > TOLERANCE,
            urgent_headroom: headroom(machine.urgent_cpus, machine.urgent_memory_gb),
            preemptible_headroom: headroom(machine.preemptible_cpus, machine.preemptible_memory_gb),
            capacity: free,
            opened: false,
            load: 0.0,
            priority: LOWEST_PRIORITY,
        }
    }

    /// One machine of the offer with that index.
    pub(super) fn of_offer(input: &PlanInput, index: usize, offer: &ProvisionOffer) -> Candidate {
        Candidate {
            source: CandidateSource::Offer(index),
            kind: offer.kind as usize,
            zone: offer.zone,
            spot: offer.spot,
            up: false,
            headroom_applies: false,
            urgent_headroom: Resources::default(),
            preemptible_headroom: Resources::default(),
            capacity: Resources::from(&input.types[offer.kind as usize]),
            opened: false,
            load: 0.0,
            priority: LOWEST_PRIORITY,
        }
    }

    /// The index of its offer, if it is yet to be provisioned.
    pub(super) fn offer(&self) -> Option<usize> {
        match self.source {
            CandidateSource::Machine { .. } => None,
            CandidateSource::Offer(index) => Some(index),
        }
    }

    /// Whether it has capacity for one more task of the job.
    pub(super) fn fits(&self, job: &JobView, scope: SearchScope) -> bool {
        let need = Resources::from(job);
        let headroom = if is_urgent(job) { &self.urgent_headroom } else { &self.preemptible_headroom };
        self.capacity.covers(&need)
            && (scope == SearchScope::All || !self.is_restricted_for(job) || headroom.covers(&need))
    }

    fn is_restricted_for(&self, job: &JobView) -> bool {
        self.headroom_applies && job.gpus <= TOLERANCE
    }

    /// Takes the capacity for one task of the job.
    pub(super) fn take(&mut self, job: &JobView) {
        let need = Resources::from(job);
        self.capacity.sub(&need);
        if self.is_restricted_for(job) {
            self.preemptible_headroom.sub(&need);
            if is_urgent(job) {
                self.urgent_headroom.sub(&need);
            }
        }
    }

    /// Releases what [`Candidate::take`] took.
    pub(super) fn release(&mut self, job: &JobView) {
        let need = Resources::from(job);
        self.capacity.add(&need);
        if self.is_restricted_for(job) {
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

/// Which machines a service without GPUs may take. It would keep a GPU machine up for good, and GPU jobs off
/// it; but a service takes precedence over everything else (ours). Wider scopes come later.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
pub(super) enum SearchScope {
    /// None with GPUs.
    WithoutGpus,
    /// Of those with GPUs, the headroom.
    Headroom,
    /// All capacity.
    All,
}
