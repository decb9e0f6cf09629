//! Time, cost and reliability of one task of a job on a candidate (paper, section 3.3).

use super::candidates::{Candidate, CandidateSource, SearchScope};
use super::{Estimate, TOLERANCE, log_normal_cdf};
use crate::core::machine::Resources;
use crate::peer::{JobView, MachineView, PlanInput, ProvisionOffer, TypeView};

/// The cloud charges a new machine for at least this long.
const MIN_BILLED_S: f64 = 60.0;
/// Stands in for a type's fetch rate where it is lower, so that no fetch takes for ever.
const MIN_FETCH_GB_PER_S: f64 = 0.01;
/// Stands in for a machine's slowness where it is lower.
const MIN_SLOWNESS: f64 = 0.1;

/// [`estimate`] for the candidates of a scope: a service without GPUs, and without a choice of types of its
/// own, takes GPU machines only where no other machine that is up has capacity.
pub(super) fn estimate_in_scope(
    input: &PlanInput,
    job: &JobView,
    candidate: &Candidate,
    scope: SearchScope,
) -> Option<Estimate> {
    let has_gpus = input.types[candidate.kind].gpus > TOLERANCE;
    if has_gpus
        && job.service
        && job.gpus <= TOLERANCE
        && job.types.is_empty()
        && (scope == SearchScope::WithoutGpus || !candidate.up)
    {
        return None;
    }
    estimate(input, job, candidate)
}

/// What the candidate would mean for one task of the job; none if the job may not go there.
pub(super) fn estimate(input: &PlanInput, job: &JobView, candidate: &Candidate) -> Option<Estimate> {
    let machine_type = &input.types[candidate.kind];
    let machine = match candidate.source {
        CandidateSource::Machine { index, .. } => Some(&input.machines[index]),
        CandidateSource::Offer(_) => None,
    };
    if !is_eligible(input, job, candidate, machine) {
        return None;
    }
    let ready_s = machine.map_or(machine_type.boot_s, |machine| machine.ready_s);
    let fetch_s = fetch_s(job, machine_type, machine);
    let run_s = job.run_s * machine.map_or(1.0, |machine| machine.slowness.max(MIN_SLOWNESS));
    let start_s = ready_s + fetch_s;
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

/// Whether the job may go there at all, whatever else is on the machine: size, type, zone, pricing, and the
/// machines that the job avoids.
fn is_eligible(input: &PlanInput, job: &JobView, candidate: &Candidate, machine: Option<&MachineView>) -> bool {
    let machine_type = &input.types[candidate.kind];
    let is_offer = candidate.offer().is_some();
    if !Resources::from(machine_type).covers(&Resources::from(job))
        || !allows_type(job, candidate.kind as u32)
        || job.zone.is_some_and(|zone| zone != candidate.zone)
        || (candidate.spot && !job.spot)
        || (is_offer && (!job.may_scale_out || (candidate.spot && !job.new_spot)))
        || machine.is_some_and(|machine| job.avoid.contains(&machine.key))
    {
        return false;
    }
    // GPU machines are not provisioned for work without GPUs while others are on offer for it (ours).
    !(is_offer
        && machine_type.gpus > TOLERANCE
        && job.gpus <= TOLERANCE
        && input.offers.iter().any(|offer| is_offer_without_gpus(input, job, offer)))
}

fn allows_type(job: &JobView, kind: u32) -> bool {
    job.types.is_empty() || job.types.contains(&kind)
}

fn is_offer_without_gpus(input: &PlanInput, job: &JobView, offer: &ProvisionOffer) -> bool {
    let offered = &input.types[offer.kind as usize];
    offered.gpus <= TOLERANCE
        && allows_type(job, offer.kind)
        && Resources::from(offered).covers(&Resources::from(job))
        && (job.new_spot || !offer.spot)
}

/// Seconds until the job's image is on the machine, once that is up.
fn fetch_s(job: &JobView, machine_type: &TypeView, machine: Option<&MachineView>) -> f64 {
    let images = machine.map_or(&[][..], |machine| &machine.images);
    match images.iter().find(|image| image.image == job.image) {
        Some(cached) => cached.ready_s,
        None => {
            // Fetches share the machine's rate.
            let others_s = images.iter().map(|image| image.ready_s).fold(0.0, f64::max);
            others_s + job.image_gb / machine_type.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S)
        }
    }
}

/// The price of the task's part of the machine while it fetches and runs, and for a new machine of its part
/// of the boot (ours; the paper's tasks have machines of their own).
fn cost(job: &JobView, candidate: &Candidate, machine_type: &TypeView, fetch_s: f64, run_s: f64) -> f64 {
    let fraction = used_fraction(machine_type, job);
    let hourly = if candidate.spot { machine_type.spot_price } else { machine_type.price };
    // A new machine's boot is paid by the tasks that share it, and it is charged for a least time.
    let boot_s = if candidate.offer().is_some() {
        let sharing = (1.0 / fraction.max(TOLERANCE)).floor().clamp(1.0, job.ready.max(1) as f64);
        machine_type.boot_s.max(MIN_BILLED_S - fetch_s - run_s) / sharing
    } else {
        0.0
    };
    hourly / 3600.0 * (fraction * (fetch_s + run_s) + boot_s)
}

/// The part of an empty machine of the type that one task takes, 0 to 1: the largest over its resources.
pub(super) fn used_fraction(machine_type: &TypeView, job: &JobView) -> f64 {
    let part = |capacity: f64, need: f64| if capacity > TOLERANCE { need / capacity } else { 0.0 };
    part(machine_type.cpus, job.cpus)
        .max(part(machine_type.gpus, job.gpus))
        .max(part(machine_type.memory_gb, job.memory_gb))
}
