//! Splits the planner view of a round into one input for each planner.

use crate::peer::{JobView, MachineView, PlanInput};

/// The kind of tasks that a machine is assigned to a partition for.
#[derive(Clone, Copy)]
enum Work {
    WithoutGpus,
    WithGpus,
}

/// Assigns each machine that is not up to one partition (the input of one planner): to the partition with the most
/// demand per machine assigned to it so far.
struct MachineAssigner {
    /// Total processors that the ready tasks without GPUs need, by partition.
    cpu_demand: Vec<f64>,
    /// Total GPUs that the ready tasks need, by partition.
    gpu_demand: Vec<f64>,
    /// Number of machines assigned for tasks without GPUs plus one, by partition.
    assigned_for_cpus: Vec<f64>,
    /// Number of machines assigned for tasks with GPUs plus one, by partition.
    assigned_for_gpus: Vec<f64>,
}

impl MachineAssigner {
    fn new(partitions: &[PlanInput]) -> MachineAssigner {
        let demand = |amount: fn(&JobView) -> f64, gpus: bool| -> Vec<f64> {
            let total = |input: &PlanInput| input.jobs.iter().filter(|job| gpus == (job.gpus > 0.0)).map(amount).sum();
            partitions.iter().map(total).collect()
        };
        MachineAssigner {
            cpu_demand: demand(|job| f64::from(job.ready_tasks) * job.cpus, false),
            gpu_demand: demand(|job| f64::from(job.ready_tasks) * job.gpus, true),
            assigned_for_cpus: vec![1.0; partitions.len()],
            assigned_for_gpus: vec![1.0; partitions.len()],
        }
    }

    /// The kind of tasks that a machine is assigned for: a GPU machine is assigned for tasks without GPUs if no task
    /// needs GPUs.
    fn work_for(&self, has_gpus: bool) -> Work {
        if has_gpus && self.gpu_demand.iter().any(|gpus| *gpus > 0.0) { Work::WithGpus } else { Work::WithoutGpus }
    }

    /// Chooses the partition that gets the next machine for this kind of tasks. Returns `None` if there are no
    /// partitions.
    fn next_partition(&mut self, work: Work) -> Option<usize> {
        let (demand, assigned) = match work {
            Work::WithoutGpus => (&self.cpu_demand, &mut self.assigned_for_cpus),
            Work::WithGpus => (&self.gpu_demand, &mut self.assigned_for_gpus),
        };
        let demand_per_machine = |index: &usize| demand[*index] / assigned[*index];
        let index = (0..demand.len()).max_by(|a, b| demand_per_machine(a).total_cmp(&demand_per_machine(b)))?;
        assigned[index] += 1.0;
        Some(index)
    }
}

/// Splits the view of a planning round into partitions, one for each planner, given the keys of each partition's jobs.
///
/// Every partition contains all machines that are up, each in a different order, so that planners choose different
/// machines among equally good ones. Each machine that is not up is in one partition only: if all planners counted
/// on the same few booting machines, too few would be provisioned.
pub(in crate::core::scheduler) fn partition_view(input: &PlanInput, job_keys: &[&[u32]]) -> Vec<PlanInput> {
    let mut partitions: Vec<PlanInput> = job_keys.iter().map(|keys| partition_with_jobs(input, keys)).collect();
    let (up, not_up): (Vec<&MachineView>, Vec<&MachineView>) = input.machines.iter().partition(|machine| machine.up);
    let mut assigner = MachineAssigner::new(&partitions);
    for (index, partition) in partitions.iter_mut().enumerate() {
        let first = up.len() * index / job_keys.len().max(1);
        partition.machines.extend(up[first..].iter().chain(&up[..first]).map(|machine| (*machine).clone()));
    }
    for machine in not_up {
        let has_gpus = input.types.get(machine.type_index as usize).is_some_and(|machine_type| machine_type.gpus > 0.0);
        if let Some(index) = assigner.next_partition(assigner.work_for(has_gpus)) {
            partitions[index].machines.push(machine.clone());
        }
    }
    partitions
}

/// Creates a partition with these jobs and without machines.
fn partition_with_jobs(input: &PlanInput, keys: &[u32]) -> PlanInput {
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
        batch_size: input.batch_size,
        budget_share: input.budget_share,
        spot_mu: input.spot_mu,
        spot_sigma: input.spot_sigma,
    }
}
