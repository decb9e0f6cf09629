//! Estimates the time, cost and reliability of one task of a job on a candidate (section 3.3 of the paper that
//! [`super`] cites).

use super::candidates::{Candidate, CandidateSource, SearchScope};
use super::{Estimate, TOLERANCE, log_normal_cdf};
use crate::core::machine::Resources;
use crate::peer::{JobView, MachineTypeView, MachineView, PlanInput, ProvisionOffer};

/// The cloud charges for at least this many seconds of a new machine.
const MIN_BILLED_S: f64 = 60.0;
/// Lower bound on a machine type's image fetch rate, so that a rate of zero doesn't make fetch times infinite.
const MIN_FETCH_GB_PER_S: f64 = 0.01;
/// Lower bound on a machine's slowness, the factor by which tasks run longer on it.
const MIN_SLOWNESS: f64 = 0.1;

/// Like [`estimate`], but also returns `None` for a GPU machine outside the job's search scope: a service that needs no
/// GPU and doesn't restrict its machine types uses no GPU machine in [`SearchScope::WithoutGpus`], and in wider scopes
/// only GPU machines that are up.
pub(super) fn estimate_in_scope(
    input: &PlanInput,
    job: &JobView,
    candidate: &Candidate,
    scope: SearchScope,
) -> Option<Estimate> {
    let has_gpus = input.types[candidate.type_index].gpus > TOLERANCE;
    if has_gpus
        && job.service
        && job.gpus <= TOLERANCE
        && job.allowed_types.is_empty()
        && (scope == SearchScope::WithoutGpus || !candidate.up)
    {
        return None;
    }
    estimate(input, job, candidate)
}

/// Estimates finish time, cost and reliability of one task of the job on the candidate. Returns `None` if the job may
/// not be placed there.
pub(super) fn estimate(input: &PlanInput, job: &JobView, candidate: &Candidate) -> Option<Estimate> {
    let machine_type = &input.types[candidate.type_index];
    let machine = match candidate.source {
        CandidateSource::Machine { index, .. } => Some(&input.machines[index]),
        CandidateSource::Offer(_) => None,
    };
    if !is_eligible(input, job, candidate, machine) {
        return None;
    }
    let boot_s = machine.map_or(machine_type.boot_s, |machine| machine.ready_in_s);
    let fetch_s = fetch_s(job, machine_type, machine);
    let run_s = job.run_s * machine.map_or(1.0, |machine| machine.slowness.max(MIN_SLOWNESS));
    let start_s = boot_s + fetch_s;
    let cost = cost(job, candidate, machine_type, fetch_s, run_s);
    let finish_s = start_s + run_s;
    let reliability = if candidate.spot {
        let age_s = machine.map_or(0.0, |machine| machine.age_s);
        1.0 - log_normal_cdf(age_s + finish_s, input.spot_mu, input.spot_sigma)
    } else {
        1.0
    };
    Some(Estimate { finish_s, start_s, cost, reliability, spot: candidate.spot })
}

/// Whether the job's constraints allow the candidate, whatever tasks are on it. The constraints concern the machine's
/// size, type, zone and pricing model, the machines that the job avoids, and the offers that it may use.
fn is_eligible(input: &PlanInput, job: &JobView, candidate: &Candidate, machine: Option<&MachineView>) -> bool {
    let machine_type = &input.types[candidate.type_index];
    let is_offer = candidate.offer().is_some();
    if !Resources::from(machine_type).covers(&Resources::from(job))
        || !allows_type(job, candidate.type_index as u32)
        || job.zone.is_some_and(|zone| zone != candidate.zone)
        || (candidate.spot && !job.allows_spot)
        || (is_offer && (!job.may_scale_out || (candidate.spot && !job.may_provision_spot)))
        || machine.is_some_and(|machine| job.avoided_machines.contains(&machine.key))
    {
        return false;
    }
    // No GPU machine is provisioned for a job without GPUs while machines without GPUs are on offer for it (not from
    // the paper).
    !(is_offer
        && machine_type.gpus > TOLERANCE
        && job.gpus <= TOLERANCE
        && input.offers.iter().any(|offer| is_suitable_offer_without_gpus(input, job, offer)))
}

fn allows_type(job: &JobView, type_index: u32) -> bool {
    job.allowed_types.is_empty() || job.allowed_types.contains(&type_index)
}

fn is_suitable_offer_without_gpus(input: &PlanInput, job: &JobView, offer: &ProvisionOffer) -> bool {
    let machine_type = &input.types[offer.type_index as usize];
    machine_type.gpus <= TOLERANCE
        && allows_type(job, offer.type_index)
        && Resources::from(machine_type).covers(&Resources::from(job))
        && (job.may_provision_spot || !offer.spot)
}

/// Seconds that the machine needs, once it is up, until it has the job's image: 0 if the image is cached there.
fn fetch_s(job: &JobView, machine_type: &MachineTypeView, machine: Option<&MachineView>) -> f64 {
    let images = machine.map_or(&[][..], |machine| &machine.images);
    match images.iter().find(|image| image.image == job.image) {
        Some(cached) => cached.ready_in_s,
        None => {
            // Image fetches share the machine's bandwidth, so the fetch for this task ends after those in progress.
            let others_s = images.iter().map(|image| image.ready_in_s).fold(0.0, f64::max);
            others_s + job.image_gb / machine_type.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S)
        }
    }
}

/// Cost of one task of the job: the price of the fraction of the machine that the task uses while its image is fetched
/// and while it runs, plus the task's share of the boot time of a machine that is yet to be provisioned. In the paper
/// each task has a machine of its own.
fn cost(job: &JobView, candidate: &Candidate, machine_type: &MachineTypeView, fetch_s: f64, run_s: f64) -> f64 {
    let fraction = machine_fraction(machine_type, job);
    let hourly_price = if candidate.spot { machine_type.spot_price } else { machine_type.price };
    // The tasks that share a new machine also share its boot time, or the rest of the minimum billing period if that is
    // longer.
    let boot_share_s = if candidate.offer().is_some() {
        let tasks_per_machine = (1.0 / fraction.max(TOLERANCE)).floor().clamp(1.0, job.ready_tasks.max(1) as f64);
        machine_type.boot_s.max(MIN_BILLED_S - fetch_s - run_s) / tasks_per_machine
    } else {
        0.0
    };
    hourly_price / 3600.0 * (fraction * (fetch_s + run_s) + boot_share_s)
}

/// The fraction, 0 to 1, of an empty machine of the type that one task of the job uses: that of the resource (CPUs,
/// GPUs or memory) of which the task uses the largest fraction.
pub(super) fn machine_fraction(machine_type: &MachineTypeView, job: &JobView) -> f64 {
    let fraction = |capacity: f64, need: f64| if capacity > TOLERANCE { need / capacity } else { 0.0 };
    fraction(machine_type.cpus, job.cpus)
        .max(fraction(machine_type.gpus, job.gpus))
        .max(fraction(machine_type.memory_gb, job.memory_gb))
}
