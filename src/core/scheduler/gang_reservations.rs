//! Reservations for whole gangs: a gang starts only where all of its tasks have capacity at once.

use super::Scheduler;
use super::eviction::PlacementTarget;
use super::preemption::PreemptionRequest;
use super::preemption_index::{PreemptionSearch, Urgency};
use crate::core::jobs::Job;
use crate::core::machine::Resources;
use crate::core::provisioning::InstancePool;
use crate::ids::{JobId, MachineId};
use crate::time::{MonotonicTime, WallTime};
use crate::wire::Kind;
use log::debug;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Sums of fractions of processors may miss a need by this much.
const ROUNDING_TOLERANCE: f64 = 1e-6;
/// More tasks than any machine holds; a task that needs nothing fits this many times.
const MAX_TASKS_THAT_FIT: f64 = 1e6;

/// What to do with capacity for a gang that doesn't suffice yet.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum PartialCapacity {
    /// Leave it to other work.
    Release,
    /// Keep it, so that more can be gathered.
    Reserve,
}

/// Where a gang's tasks may be together.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum GangZone {
    /// All of them in this zone.
    Zone(u32),
    /// In any zones.
    Any,
}

/// Capacity for a gang in one place, in tasks of the gang.
#[derive(Default)]
struct GangCapacity {
    /// What is free for it now.
    free: Vec<(MachineId, u32)>,
    /// What is free, or would be if work of lower priority were stopped.
    reclaimable: u32,
    /// What the machines could hold at the most.
    total: u32,
}

impl GangCapacity {
    fn free_tasks(&self) -> u32 {
        self.free.iter().map(|(_, tasks)| tasks).sum()
    }
}

/// How many times a need fits into a capacity.
fn tasks_that_fit(capacity: &Resources, need: &Resources) -> u32 {
    let times =
        |capacity: f64, need: f64| if need > 0.0 { (capacity + ROUNDING_TOLERANCE) / need } else { f64::INFINITY };
    let tasks = times(capacity.cpus, need.cpus)
        .min(times(capacity.gpus, need.gpus))
        .min(times(capacity.memory_gb, need.memory_gb));
    tasks.clamp(0.0, MAX_TASKS_THAT_FIT) as u32
}

impl Scheduler {
    /// Gathers capacity for gangs that have waited long: smaller work would take every machine that
    /// becomes free, and the largest gangs would never begin. Free machines are reserved, for one gang
    /// at a time and the largest first, as that costs what fresh work could have had; once they
    /// suffice together with what can be had by stopping work of lower priority, it is stopped.
    pub(super) fn reserve_for_large_gangs(&mut self, now: MonotonicTime, wall: WallTime) {
        // Of a class only the largest, down to half of the most: smaller ones find capacity anyway.
        let mut largest: BTreeMap<&str, u32> = BTreeMap::new();
        for job in self.jobs.live.values().filter(|job| job.spec.kind == Kind::Gang) {
            let tasks = largest.entry(&job.spec.class).or_default();
            *tasks = job.spec.tasks.max(*tasks);
        }
        let large =
            |job: &Job| largest.get(&*job.spec.class).is_some_and(|most| job.spec.tasks.saturating_mul(2) >= *most);
        let order = |job: &Job| (job.priority(), Reverse(job.spec.tasks), job.submitted);
        let waits = |job: &Job| self.gang_has_waited_long(now, wall, job) && large(job);
        let mut waiting: Vec<_> =
            self.jobs.live.iter().filter(|(_, job)| waits(job)).map(|(id, job)| (order(job), *id)).collect();
        waiting.sort();
        let mut search = PreemptionSearch::new(self.machines.known.len());
        for (_, id) in waiting {
            if search.budget.is_spent() || self.reserve_for_gang(now, &mut search, &id, PartialCapacity::Reserve) {
                break;
            }
        }
    }

    /// Whether a job is a gang that could have started for longer than the settings let it wait.
    fn gang_has_waited_long(&self, now: MonotonicTime, wall: WallTime, job: &Job) -> bool {
        job.spec.kind == Kind::Gang
            && job.spec.tasks as usize == job.startable_tasks()
            && job.placed.is_empty()
            && job.gang.is_none()
            && job.pause_until <= now
            && !job.is_at_fault(now)
            && !self.held_back(job)
            && wall.seconds_since(job.startable_at) >= self.tuning.gang_reservation_wait_s
    }

    /// Reserves capacity for a gang. False: there is nowhere enough, or its team has no quota left.
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
        let before = self.cost.read();
        let reserved_in =
            self.reservations.of(id).next().and_then(|r| self.machines.known.get(&r.machine)).map(|m| m.zone);
        let best = self
            .gang_capacity(now, search, id, &pools)
            .into_iter()
            .filter(|(_, capacity)| capacity.total >= tasks)
            .max_by_key(|(zone, capacity)| {
                let reserved_here = reserved_in.is_some_and(|reserved_in| *zone == GangZone::Zone(reserved_in));
                (reserved_here, capacity.reclaimable.min(tasks), capacity.free_tasks())
            });
        search.budget.spend(self.cost.read().since(&before).total());
        let best = best.filter(|(_, capacity)| partial == PartialCapacity::Reserve || capacity.reclaimable >= tasks);
        let Some((zone, capacity)) = best else { return false };
        let mut missing = tasks - self.reserve_free_capacity(now, search, id, &capacity);
        if missing > 0 && capacity.reclaimable >= tasks {
            debug!("gang's capacity found: job={id} tasks={tasks} free={}", tasks - missing);
            pools.retain(|pool| zone == GangZone::Any || zone == GangZone::Zone(pool.zone));
            let request = PreemptionRequest { job: *id, target: PlacementTarget::Anywhere, tasks: missing, pools };
            missing -= self.preempt_tasks(now, search, &request);
        }
        self.cost.add_tasks((tasks - missing) as usize);
        true
    }

    /// The capacity that a gang could have in each zone; one that may be anywhere counts all zones as one.
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
        for reservation in self.reservations.of(id) {
            reserved.entry(&reservation.machine).or_default().add(&reservation.need);
        }
        let index = search.index(self, now);
        self.cost.add_machines(index.machines.len());
        for machine in index.machines.iter().filter(|m| pools.contains(&m.pool) && !job.avoids(&m.id, now)) {
            let (mut free, mut reclaimable) = (machine.free, machine.reclaimable_by(urgency));
            if let Some(reserved) = reserved.get(&machine.id) {
                free.add(reserved);
                reclaimable.add(reserved);
            }
            let zone = if job.spec.one_zone { GangZone::Zone(machine.pool.zone) } else { GangZone::Any };
            let capacity = zones.entry(zone).or_default();
            let free = tasks_that_fit(&free, &need);
            if free > 0 {
                capacity.free.push((machine.id.clone(), free));
            }
            capacity.reclaimable += tasks_that_fit(&reclaimable, &need);
            capacity.total += tasks_that_fit(&Resources::of_type(&self.catalog.types[machine.pool.kind]), &need);
        }
        zones
    }

    /// Reserves free capacity for a gang in place of what was reserved for it. Returns for how many tasks.
    fn reserve_free_capacity(
        &mut self,
        now: MonotonicTime,
        search: &mut PreemptionSearch,
        id: &JobId,
        capacity: &GangCapacity,
    ) -> u32 {
        let Some(job) = self.jobs.live.get(id) else { return 0 };
        let (tasks, need) = (job.spec.tasks, Resources::of_task(&job.spec));
        let mut changed: BTreeSet<MachineId> = self.reservations.of(id).map(|r| r.machine.clone()).collect();
        self.reservations.release(id);
        let mut reserved = 0;
        for (machine, count) in &capacity.free {
            for _ in 0..(*count).min(tasks - reserved) {
                self.reservations.add(now, machine.clone(), *id, need);
                changed.insert(machine.clone());
                reserved += 1;
            }
        }
        changed.iter().for_each(|machine| search.refresh(self, now, machine));
        reserved
    }
}
