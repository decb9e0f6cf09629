//! The input of planners for one round: machines with free capacity, jobs with tasks to place, and what may be
//! provisioned. The key of a job or machine is its position in the view.

mod jobs;
mod machines;
mod partition;

use self::jobs::JobContext;
pub(super) use self::partition::partition_view;
use super::Scheduler;
use crate::core::jobs::Job;
use crate::core::machine::{Machine, Resources};
use crate::core::provisioning::InstancePool;
use crate::ids::{JobId, MachineId};
use crate::peer::{MachineTypeView, PlanInput, ProvisionOffer, VERSION};
use crate::time::{MonotonicTime, WallTime};
use crate::wire::MachineType;
use std::collections::{BTreeSet, HashMap};

/// The batch size (the maximum number of tasks that a planner places in one round on machines that are up) is the
/// number of ready tasks divided by this, within `batch_min` and `batch_max` of the tuning.
const BATCHES_PER_BACKLOG: u32 = 4;
/// Limit on the number of machines in one provisioning offer.
const MAX_MACHINES_PER_OFFER: u32 = 50;

/// A planner's input, with the jobs and machines that its keys refer to.
pub(super) struct PlannerView {
    pub(super) input: PlanInput,
    /// Jobs by key.
    pub(super) jobs: Vec<PlannedJob>,
    /// Machines by key; `None` for one that has been requested from the cloud and has no id yet.
    pub(super) machines: Vec<Option<MachineId>>,
}

/// The job that a key of the view refers to.
pub(super) struct PlannedJob {
    pub(super) id: JobId,
    /// Whether the key covers only those tasks of the job whose spot machines were reclaimed.
    pub(super) reclaimed_only: bool,
}

impl Scheduler {
    /// Builds the view of a new planning round. Also updates the state that is computed once a round: pools with
    /// unreconciled machines, GPU machines that may be filled with tasks without GPUs, quota usage, and the jobs within
    /// their team's guarantee.
    pub(super) fn planner_view(&mut self, now: MonotonicTime, wall: WallTime) -> PlannerView {
        self.meter.add_jobs(self.jobs.live.len());
        self.meter.add_machines(self.machines.known.len());
        self.quota.invalidate_usage();
        self.update_unreconciled_pools();
        let plannable = self.plannable_jobs(now);
        self.update_lendable_gpu_machines(now, &plannable);
        let mut machines = self.machine_views(now, self.smallest_demand(&plannable));
        self.add_requested_machines(&mut machines);
        let offers = self.offers(now);
        self.quota.update_guaranteed_jobs(&self.jobs.live);
        let teams = self.quota.headrooms(&self.machines.known, &self.catalog.types);
        let keys: HashMap<&MachineId, u32> = machines.keys().collect();
        let fleet = self.fleet_size();
        let backlog_s = self.backlog_s(machines.cpus_up);
        let context = JobContext { now, wall, plannable: &plannable, keys: &keys, backlog_s, fleet: &fleet };
        let (job_views, jobs) = self.job_views(&context);
        // With more ready tasks, planners may place more tasks in one round.
        let ready: u32 = job_views.iter().map(|job| job.ready_tasks).sum();
        let batch_size =
            (ready / BATCHES_PER_BACKLOG).clamp(self.tuning.batch_min as u32, self.tuning.batch_max as u32);
        let input = PlanInput {
            version: VERSION,
            term: self.term.0,
            round: self.rounds.count(),
            types: self.catalog.types.iter().map(type_view).collect(),
            machines: machines.views,
            jobs: job_views,
            teams,
            offers,
            batch_size,
            budget_share: self.tuning.budget_share,
            spot_mu: self.spot_lifetimes.mu(),
            spot_sigma: self.spot_lifetimes.sigma(),
        };
        PlannerView { input, jobs, machines: machines.ids }
    }

    /// Recomputes which instance pools still have unreconciled machines, unless there were none before.
    fn update_unreconciled_pools(&mut self) {
        if !self.machines.unreconciled.is_empty() {
            let machines = self.machines.known.values().filter(|machine| !machine.reconciled);
            self.machines.unreconciled = machines.map(Machine::pool).collect();
        }
    }

    /// The jobs with tasks that may be placed now.
    fn plannable_jobs(&self, now: MonotonicTime) -> BTreeSet<JobId> {
        let plannable =
            |job: &Job| job.startable_tasks() > 0 && job.pause_until <= now && !job.finishing && !self.held_back(job);
        self.jobs.live.iter().filter(|(_, job)| plannable(job)).map(|(id, _)| *id).collect()
    }

    /// The smallest need of a task of the plannable jobs, for each resource separately. Returns `None` if there are no
    /// such jobs.
    fn smallest_demand(&self, plannable: &BTreeSet<JobId>) -> Option<Resources> {
        let needs = plannable.iter().filter_map(|id| self.jobs.live.get(id)).map(|job| Resources::of_task(&job.spec));
        needs.reduce(|smallest, need| Resources {
            cpus: smallest.cpus.min(need.cpus),
            gpus: smallest.gpus.min(need.gpus),
            memory_gb: smallest.memory_gb.min(need.memory_gb),
            task_slots: smallest.task_slots.min(need.task_slots),
        })
    }

    /// Seconds that `cpus_up` processors need to run all startable tasks.
    fn backlog_s(&self, cpus_up: f64) -> f64 {
        let work = |job: &Job| job.startable_tasks() as f64 * job.spec.cpus * self.jobs.expected_run_s(&job.spec);
        let cpu_seconds: f64 = self.jobs.live.values().map(work).sum();
        if cpus_up > 0.0 { cpu_seconds / cpus_up } else { f64::INFINITY }
    }

    /// The instance pools from which machines may be requested at this time.
    fn offers(&self, now: MonotonicTime) -> Vec<ProvisionOffer> {
        let mut offers = Vec::new();
        for (kind, machine_type) in self.catalog.types.iter().enumerate() {
            let zone_number = |name: &String| self.catalog.zones.iter().position(|known| known == name);
            for zone in machine_type.zones.iter().filter_map(zone_number) {
                for spot in [false, true] {
                    let pool = InstancePool { kind, zone: zone as u32, spot };
                    let requested = self.provisioner.requests().any(|request| request.pool == pool);
                    if self.provisioner.may_request(pool, now) && !requested && self.provisioner.has_request_slot() {
                        offers.push(ProvisionOffer {
                            type_index: kind as u32,
                            zone: zone as u32,
                            spot,
                            max_count: MAX_MACHINES_PER_OFFER,
                        });
                    }
                }
            }
        }
        offers
    }
}

fn type_view(machine_type: &MachineType) -> MachineTypeView {
    MachineTypeView {
        cpus: machine_type.cpus,
        gpus: machine_type.gpus,
        memory_gb: machine_type.memory_gb,
        fetch_gb_per_s: machine_type.fetch_gb_per_s,
        price: machine_type.price,
        spot_price: machine_type.spot_price,
        boot_s: machine_type.boot_s,
    }
}
