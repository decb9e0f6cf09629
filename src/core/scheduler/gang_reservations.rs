//! Reservations for whole gangs: a gang starts only when all of its tasks have capacity at the same time.

use super::Scheduler;
use super::eviction::PlacementTarget;
use super::preemption::PreemptionRequest;
use super::preemption_index::{PreemptionSearch, Urgency};
use crate::core::jobs::Job;
use crate::core::machine::Resources;
use crate::core::provisioning::InstancePool;
use crate::ids::{JobId, MachineId};
use crate::time::{MonotonicTime, WallTime};
use crate::wire::{JobKind, JobSpec};
use log::debug;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// What to do with free capacity that is not enough for a whole gang.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum PartialCapacity {
    /// Leave the capacity to other jobs.
    Release,
    /// Reserve the capacity, so that more can be gathered later.
    Reserve,
}

/// The zones that a whole gang may be placed in.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum GangZone {
    /// All tasks must be in this zone.
    Zone(u32),
    /// Each task may be in any zone.
    Any,
}

/// Capacity for a gang in one [`GangZone`], counted in tasks of the gang.
#[derive(Default)]
struct GangCapacity {
    /// By machine, how many of the gang's tasks fit into the machine's free capacity now.
    free: Vec<(MachineId, u32)>,
    /// How many of the gang's tasks would fit on the machines if tasks of lower priority were stopped, including those
    /// that fit into free capacity.
    reclaimable: u32,
    /// How many of the gang's tasks would fit if the machines were empty.
    total: u32,
}

impl GangCapacity {
    fn free_tasks(&self) -> u32 {
        self.free.iter().map(|(_, tasks)| tasks).sum()
    }
}

impl Scheduler {
    /// Gathers capacity for large gangs that have waited long: otherwise smaller jobs would take every machine that
    /// becomes free, and the largest gangs would never start. Free capacity is reserved, for one gang at a time and the
    /// largest first, as no other job can use reserved capacity. Tasks of lower priority are preempted once their
    /// capacity and the free capacity together are enough for the whole gang.
    pub(super) fn reserve_for_large_gangs(&mut self, now: MonotonicTime, wall: WallTime) {
        // Of each class only gangs of at least half the size of the largest: smaller ones find capacity anyway.
        // A gang that the fleet can't hold takes no part in this: it would keep all others of its class from being large.
        let fleet = self.fleet_size();
        let is_holdable = |job: &Job| job.spec.kind == JobKind::Gang && self.can_hold_gang(&fleet, &job.spec);
        let mut largest: BTreeMap<&str, u32> = BTreeMap::new();
        for job in self.jobs.live.values().filter(|job| is_holdable(job)) {
            let tasks = largest.entry(&job.spec.class).or_default();
            *tasks = job.spec.tasks.max(*tasks);
        }
        let is_large =
            |job: &Job| largest.get(&*job.spec.class).is_some_and(|most| job.spec.tasks.saturating_mul(2) >= *most);
        let order = |job: &Job| (job.priority(), Reverse(job.spec.tasks), job.submitted);
        let needs_reservation =
            |job: &Job| self.gang_has_waited_long(now, wall, job) && is_large(job) && is_holdable(job);
        let mut waiting: Vec<_> = self
            .jobs
            .live
            .iter()
            .filter(|(_, job)| needs_reservation(job))
            .map(|(id, job)| (order(job), *id))
            .collect();
        waiting.sort();
        let mut search = PreemptionSearch::new(self.machines.known.len());
        for (_, id) in waiting {
            if search.budget.is_spent() || self.reserve_for_gang(now, &mut search, &id, PartialCapacity::Reserve) {
                break;
            }
        }
    }

    /// The number of machines of each instance pool, whether or not they are up.
    pub(super) fn fleet_size(&self) -> BTreeMap<InstancePool, u32> {
        let mut fleet = BTreeMap::new();
        for machine in self.machines.known.values().filter(|machine| !machine.retiring) {
            *fleet.entry(machine.pool()).or_default() += 1;
        }
        fleet
    }

    /// Whether a fleet could hold all tasks of a gang at the same time if its machines were empty.
    pub(super) fn can_hold_gang(&self, fleet: &BTreeMap<InstancePool, u32>, spec: &JobSpec) -> bool {
        let need = Resources::of_task(spec);
        let mut zones: BTreeMap<GangZone, u32> = BTreeMap::new();
        for (pool, machines) in fleet.iter().filter(|(pool, _)| self.permits_pool(spec, **pool)) {
            let zone = if spec.one_zone { GangZone::Zone(pool.zone) } else { GangZone::Any };
            let tasks = Resources::of_type(&self.catalog.types[pool.kind]).tasks_that_fit(&need);
            let total = zones.entry(zone).or_default();
            *total = total.saturating_add(tasks.saturating_mul(*machines));
        }
        zones.values().any(|tasks| *tasks >= spec.tasks)
    }

    /// Whether a job is a gang that has been startable for at least the configured wait, and still is.
    fn gang_has_waited_long(&self, now: MonotonicTime, wall: WallTime, job: &Job) -> bool {
        job.spec.kind == JobKind::Gang
            && job.spec.tasks as usize == job.startable_tasks()
            && job.placed.is_empty()
            && job.gang.is_none()
            && job.pause_until <= now
            && !job.is_at_fault(now)
            && !self.held_back(job)
            && wall.seconds_since(job.startable_at) >= self.tuning.gang_reservation_wait_s
    }

    /// Reserves capacity for a gang. Returns `false` if its team's limit does not permit the gang, or if no zone could
    /// hold the whole gang: even with all machines empty or, with [`PartialCapacity::Release`], even after preemption.
    pub(super) fn reserve_for_gang(
        &mut self,
        now: MonotonicTime,
        search: &mut PreemptionSearch,
        id: &JobId,
        partial: PartialCapacity,
    ) -> bool {
        let Some(job) = self.jobs.live.get(id) else { return false };
        let (team, tasks, need) = (job.team, job.spec.tasks, Resources::of_task(&job.spec));
        if !self.fits_quota(team, &need, f64::from(tasks)) {
            return false;
        }
        let mut pools = self.jobs.live.get(id).map(|job| self.permitted_pools(&job.spec)).unwrap_or_default();
        let before = self.meter.read();
        let reserved_in =
            self.reservations.for_job(id).next().and_then(|r| self.machines.known.get(&r.machine)).map(|m| m.zone);
        let best = self
            .gang_capacity(now, search, id, &pools)
            .into_iter()
            .filter(|(_, capacity)| capacity.total >= tasks)
            .max_by_key(|(zone, capacity)| {
                let reserved_here = reserved_in.is_some_and(|reserved_in| *zone == GangZone::Zone(reserved_in));
                (reserved_here, capacity.reclaimable.min(tasks), capacity.free_tasks())
            });
        search.budget.spend(self.meter.read().since(&before).total());
        let best = best.filter(|(_, capacity)| partial == PartialCapacity::Reserve || capacity.reclaimable >= tasks);
        let Some((zone, capacity)) = best else { return false };
        let missing = tasks - self.reserve_free_capacity(now, search, id, &capacity);
        if missing > 0 && capacity.reclaimable >= tasks {
            debug!(
                "gang capacity found, preempting for the missing tasks: job={id} tasks={tasks} free={}",
                tasks - missing
            );
            pools.retain(|pool| zone == GangZone::Any || zone == GangZone::Zone(pool.zone));
            let request = PreemptionRequest { job: *id, target: PlacementTarget::Anywhere, tasks: missing, pools };
            self.preempt_tasks(now, search, &request);
        }
        true
    }

    /// The capacity for a gang by zone. For a gang that may use several zones, all zones count as one.
    fn gang_capacity(
        &self,
        now: MonotonicTime,
        search: &mut PreemptionSearch,
        id: &JobId,
        pools: &BTreeSet<InstancePool>,
    ) -> BTreeMap<GangZone, GangCapacity> {
        let mut zones: BTreeMap<GangZone, GangCapacity> = BTreeMap::new();
        let Some(job) = self.jobs.live.get(id) else { return zones };
        let need = Resources::of_task(&job.spec);
        let urgency = Urgency { guaranteed: false, ..self.urgency(id, job) };
        let mut reserved: BTreeMap<&MachineId, Resources> = BTreeMap::new();
        for reservation in self.reservations.for_job(id) {
            reserved.entry(&reservation.machine).or_default().add(&reservation.capacity());
        }
        let index = search.index(self, now);
        self.meter.add_machines(index.machines.len());
        for machine in index.machines.iter().filter(|m| pools.contains(&m.pool) && !job.avoids(&m.id, now)) {
            let (mut free, mut reclaimable) = (machine.free, machine.reclaimable_by(urgency));
            if let Some(reserved) = reserved.get(&machine.id) {
                free.add(reserved);
                reclaimable.add(reserved);
            }
            let zone = if job.spec.one_zone { GangZone::Zone(machine.pool.zone) } else { GangZone::Any };
            let capacity = zones.entry(zone).or_default();
            let free = free.tasks_that_fit(&need);
            if free > 0 {
                capacity.free.push((machine.id.clone(), free));
            }
            capacity.reclaimable += reclaimable.tasks_that_fit(&need);
            capacity.total += Resources::of_type(&self.catalog.types[machine.pool.kind]).tasks_that_fit(&need);
        }
        zones
    }

    /// Replaces a gang's reservations by reservations of the free capacity that was found for it. Returns the number of
    /// tasks that capacity was reserved for.
    fn reserve_free_capacity(
        &mut self,
        now: MonotonicTime,
        search: &mut PreemptionSearch,
        id: &JobId,
        capacity: &GangCapacity,
    ) -> u32 {
        let Some(job) = self.jobs.live.get(id) else { return 0 };
        let (tasks, need) = (job.spec.tasks, Resources::of_task(&job.spec));
        let mut changed_machines: BTreeSet<MachineId> =
            self.reservations.for_job(id).map(|r| r.machine.clone()).collect();
        self.reservations.release(id);
        let mut reserved = 0;
        for (machine, count) in &capacity.free {
            let count = (*count).min(tasks - reserved);
            if count > 0 {
                self.reservations.add_tasks(now, machine.clone(), *id, need, count);
                changed_machines.insert(machine.clone());
                reserved += count;
            }
        }
        changed_machines.iter().for_each(|machine| search.refresh(self, now, machine));
        reserved
    }
}
