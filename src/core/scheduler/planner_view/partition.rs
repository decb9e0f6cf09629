//! How a round's view is divided among several planners.

use crate::peer::{JobView, MachineView, PlanInput};

/// Which part of the work a machine is for.
#[derive(Clone, Copy)]
enum Work {
    WithoutGpus,
    WithGpus,
}

/// The machines that aren't up, as they are dealt out among the parts: each goes to the part that wants the
/// most for each machine that it has been given.
struct Dealer {
    /// Processors that each part wants for work without GPUs.
    cpus_wanted: Vec<f64>,
    /// GPUs that each part wants.
    gpus_wanted: Vec<f64>,
    /// Machines that each part has been given for work without GPUs, and one.
    given_without_gpus: Vec<f64>,
    /// The same for work with GPUs.
    given_with_gpus: Vec<f64>,
}

impl Dealer {
    fn new(parts: &[PlanInput]) -> Dealer {
        let wanted = |want: fn(&JobView) -> f64, gpus: bool| -> Vec<f64> {
            let of_part = |part: &PlanInput| part.jobs.iter().filter(|job| gpus == (job.gpus > 0.0)).map(want).sum();
            parts.iter().map(of_part).collect()
        };
        Dealer {
            cpus_wanted: wanted(|job| f64::from(job.ready) * job.cpus, false),
            gpus_wanted: wanted(|job| f64::from(job.ready) * job.gpus, true),
            given_without_gpus: vec![1.0; parts.len()],
            given_with_gpus: vec![1.0; parts.len()],
        }
    }

    /// What a machine is for: GPU machines go to work without GPUs if nobody wants GPUs.
    fn work_for(&self, has_gpus: bool) -> Work {
        if has_gpus && self.gpus_wanted.iter().any(|wanted| *wanted > 0.0) { Work::WithGpus } else { Work::WithoutGpus }
    }

    /// The part that the next machine for such work goes to. None: there are no parts.
    fn next_part(&mut self, work: Work) -> Option<usize> {
        let (wanted, given) = match work {
            Work::WithoutGpus => (&self.cpus_wanted, &mut self.given_without_gpus),
            Work::WithGpus => (&self.gpus_wanted, &mut self.given_with_gpus),
        };
        let ratio = |part: &usize| wanted[*part] / given[*part];
        let part = (0..wanted.len()).max_by(|a, b| ratio(a).total_cmp(&ratio(b)))?;
        given[part] += 1.0;
        Some(part)
    }
}

/// The parts of a round's view that concern some of its jobs each, given by their keys. All parts see the
/// machines that are up, each in an order of its own, so that where several are as good the parts choose
/// different ones. Machines that aren't up are dealt out by what the parts want: counted on by all of them, a
/// few booting machines looked like enough for everyone, and too few were provisioned.
pub(in crate::core::scheduler) fn partition_view(input: &PlanInput, parts: &[&[u32]]) -> Vec<PlanInput> {
    let mut partitions: Vec<PlanInput> = parts.iter().map(|keys| part_of(input, keys)).collect();
    let (up, coming): (Vec<&MachineView>, Vec<&MachineView>) = input.machines.iter().partition(|machine| machine.up);
    let mut dealer = Dealer::new(&partitions);
    for (number, part) in partitions.iter_mut().enumerate() {
        let first = up.len() * number / parts.len().max(1);
        part.machines.extend(up[first..].iter().chain(&up[..first]).map(|machine| (*machine).clone()));
    }
    for machine in coming {
        let has_gpus = input.types.get(machine.kind as usize).is_some_and(|machine_type| machine_type.gpus > 0.0);
        if let Some(part) = dealer.next_part(dealer.work_for(has_gpus)) {
            partitions[part].machines.push(machine.clone());
        }
    }
    partitions
}

/// The part with these jobs, without machines.
fn part_of(input: &PlanInput, keys: &[u32]) -> PlanInput {
    let jobs: Vec<JobView> = keys.iter().filter_map(|key| input.jobs.get(*key as usize)).cloned().collect();
    let teams = input.teams.iter().filter(|team| jobs.iter().any(|job| job.team == team.team)).cloned().collect();
    PlanInput {
        version: input.version,
        term: input.term,
        round: input.round,
        types: input.types.clone(),
        machines: Vec::new(),
        jobs,
        teams,
        offers: input.offers.clone(),
        batch: input.batch,
        budget_share: input.budget_share,
        spot_mu: input.spot_mu,
        spot_sigma: input.spot_sigma,
    }
}
