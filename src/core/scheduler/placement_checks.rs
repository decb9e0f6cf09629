//! The leader's checks of a placement against the cluster state, independent of which controller planned it.

use super::Scheduler;
use super::starts::GangPlacement;
use crate::core::jobs::Job;
use crate::core::machine::{Machine, Resources};
use crate::core::provisioning::InstancePool;
use crate::core::{placement, submissions};
use crate::ids::{JobId, MachineId};
use crate::peer::ZoneCount;
use crate::time::MonotonicTime;
use crate::wire::JobSpec;
use std::collections::BTreeSet;

impl Scheduler {
    /// How many of `tasks` tasks of the job may start on the machine now, one after the other. The machine's
    /// allocations are examined once, however many tasks are to start.
    pub(super) fn placeable_tasks(
        &mut self,
        now: MonotonicTime,
        job_id: &JobId,
        machine_id: &MachineId,
        tasks: u32,
    ) -> u32 {
        let Some(job) = self.jobs.live.get(job_id) else { return 0 };
        let (team, need) = (job.team, Resources::of_task(&job.spec));
        let tasks = self.tasks_that_fit(now, job_id, machine_id, &job.zone_counts(), tasks);
        self.quota.startable(team, &need, tasks, &self.machines.known, &self.catalog.types)
    }

    /// Whether a whole gang may start now on these machines, each of which is named once.
    pub(super) fn may_place_gang(&mut self, now: MonotonicTime, job_id: &JobId, parts: &[GangPlacement]) -> bool {
        let Some(job) = self.jobs.live.get(job_id) else { return false };
        let mut zones = job.zone_counts();
        for (machine_id, tasks) in parts {
            if self.tasks_that_fit(now, job_id, machine_id, &zones, *tasks) < *tasks {
                return false;
            }
            let zone = self.machines.known.get(machine_id).map(|machine| machine.zone);
            zones.extend(zone.map(|zone| ZoneCount { zone, count: *tasks }));
        }
        let (team, need, total) = (job.team, Resources::of_task(&job.spec), job.spec.tasks);
        self.fits_quota(team, &need, f64::from(total))
    }

    /// Whether tasks of a gang that is being started may start on a machine now. The gang counts in its team's quota
    /// already.
    pub(super) fn may_place_gang_part(
        &self,
        now: MonotonicTime,
        job_id: &JobId,
        machine_id: &MachineId,
        tasks: u32,
    ) -> bool {
        let zones = self.jobs.live.get(job_id).map(Job::zone_counts).unwrap_or_default();
        self.tasks_that_fit(now, job_id, machine_id, &zones, tasks) == tasks
    }

    /// How many of `tasks` tasks of the job may start on the machine now, regardless of the team's quota: none if the
    /// store's state is in doubt, the job has pending dependencies or possibly runs on an unreconciled machine, or the
    /// machine is not schedulable or not permitted, and otherwise as many as its unreserved capacity and the zone
    /// constraint allow. `zones` says how many of the job's tasks are in each zone.
    fn tasks_that_fit(
        &self,
        now: MonotonicTime,
        job_id: &JobId,
        machine_id: &MachineId,
        zones: &[ZoneCount],
        tasks: u32,
    ) -> u32 {
        let (Some(job), Some(machine)) = (self.jobs.live.get(job_id), self.machines.known.get(machine_id)) else {
            return 0;
        };
        let spec = &job.spec;
        self.meter.add_tasks(machine.allocations.len());
        let may_start = !self.in_doubt
            && !job.is_waiting()
            && machine.is_schedulable(now, self.heartbeat_timeout())
            && !self.held_back(job)
            && self.permits_machine(spec, machine);
        if !may_start {
            return 0;
        }
        let in_zone = placement::zone_allowance(spec.spread, spec.one_zone, spec.tasks, zones, machine.zone);
        let free = self.unreserved_capacity(machine_id, machine, Some(job_id));
        free.count_covered(&Resources::of_task(spec), tasks.min(in_zone))
    }

    /// Whether `tasks` more tasks with this need fit in the team's quota.
    pub(super) fn fits_quota(&mut self, team: u32, need: &Resources, tasks: f64) -> bool {
        self.quota.fits(team, need, tasks, &self.machines.known, &self.catalog.types)
    }

    /// Whether no task of the job may start because some may already run, unknown to this leader, on machines that
    /// aren't reconciled. This concerns jobs accepted before this leader's term, until all machines that could hold
    /// their tasks are reconciled.
    pub(super) fn held_back(&self, job: &Job) -> bool {
        let predates_term = job.revision.0 <= self.term.0;
        predates_term && self.machines.unreconciled.iter().any(|pool| self.permits_pool(&job.spec, *pool))
    }

    /// Whether the job may run on the machine's type, in its zone, and on a spot machine if the machine is one,
    /// regardless of free capacity.
    pub(super) fn permits_machine(&self, spec: &JobSpec, machine: &Machine) -> bool {
        self.permits_pool(spec, machine.pool())
    }

    pub(super) fn permits_pool(&self, spec: &JobSpec, pool: InstancePool) -> bool {
        submissions::is_eligible_type(spec, &self.catalog.types[pool.kind])
            && spec.zone.as_ref().is_none_or(|zone| *zone == self.catalog.zones[pool.zone as usize])
            && (spec.allows_spot || !pool.spot)
    }

    /// The instance pools on whose machines the job may run.
    pub(super) fn permitted_pools(&self, spec: &JobSpec) -> BTreeSet<InstancePool> {
        let kinds = 0..self.catalog.types.len();
        let zones = 0..self.catalog.zones.len() as u32;
        let pools = kinds.flat_map(|kind| {
            zones.clone().flat_map(move |zone| [false, true].map(|spot| InstancePool { kind, zone, spot }))
        });
        pools.filter(|pool| self.permits_pool(spec, *pool)).collect()
    }
}
