//! The leader's checks of a placement against the cluster state, independent of which controller planned it.

use super::Scheduler;
use super::planner_view::zone_counts;
use crate::core::jobs::Job;
use crate::core::machine::{Machine, Resources};
use crate::core::provisioning::InstancePool;
use crate::core::{placement, submissions};
use crate::ids::{JobId, MachineId};
use crate::time::MonotonicTime;
use crate::wire::JobSpec;
use std::collections::BTreeSet;

impl Scheduler {
    /// Whether a task of the job may start on the machine now: the store's state isn't in doubt, the job has no
    /// pending dependencies, none of its tasks may already run on an unreconciled machine, the machine is schedulable,
    /// permitted and has unreserved capacity, and `tasks` tasks fit in the team's quota.
    pub(super) fn may_place(&mut self, now: MonotonicTime, job_id: &JobId, machine_id: &MachineId, tasks: f64) -> bool {
        let (Some(job), Some(machine)) = (self.jobs.live.get(job_id), self.machines.known.get(machine_id)) else {
            return false;
        };
        let spec = &job.spec;
        let need = Resources::of_task(spec);
        self.meter.add_tasks(machine.allocations.len());
        if spec.spread || spec.one_zone {
            self.meter.add_tasks(job.placed.len());
        }
        let free = self.unreserved_capacity(machine_id, machine, Some(job_id));
        let placed = zone_counts(job, &self.machines.known);
        let team = job.team;
        !self.in_doubt
            && !job.is_waiting()
            && machine.is_schedulable(now, self.heartbeat_timeout())
            && !self.held_back(job)
            && free.covers(&need)
            && self.permits_machine(spec, machine)
            && placement::zone_allowed(spec.spread, spec.one_zone, spec.tasks, &placed, machine.zone)
            && self.fits_quota(team, &need, tasks)
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

    fn permits_pool(&self, spec: &JobSpec, pool: InstancePool) -> bool {
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
