//! Reservations of machine capacity for tasks of a job: capacity that preemption frees for them, or that a gang gathers
//! until it has enough for all its tasks. Without a reservation, tasks of other jobs would take the capacity as soon as
//! it is free, and would be preempted in turn.

use super::Scheduler;
use super::starts::{GangPlacement, merge_by_machine};
use crate::core::machine::{Machine, Resources};
use crate::ids::{Attempt, JobId, MachineId};
use crate::time::{Millis, MonotonicTime};
use crate::wire::JobKind;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// A reservation that is neither used nor renewed expires after this time.
const RESERVATION_TTL: Millis = Millis(4_000);
/// Limit on the reservations for which one scheduler tick tries to start tasks.
const MAX_RESERVATIONS_PER_TICK: usize = 2_048;

/// Sequence number of a reservation. Reservations expire in the order in which they were made.
type ReservationNumber = u64;

/// Capacity of a machine that is reserved for tasks of a job.
pub(super) struct Reservation {
    pub(super) machine: MachineId,
    pub(super) job: JobId,
    /// What one of the tasks needs.
    need: Resources,
    /// How many tasks the capacity is for.
    pub(super) tasks: u32,
    expires_at: MonotonicTime,
}

impl Reservation {
    /// The reserved capacity.
    pub(super) fn capacity(&self) -> Resources {
        self.need.times(self.tasks)
    }
}

/// All reservations. Indexes by machine and by job make the cost of a lookup proportional to its result.
#[derive(Default)]
pub(super) struct Reservations {
    by_number: BTreeMap<ReservationNumber, Reservation>,
    by_machine: BTreeMap<MachineId, BTreeSet<ReservationNumber>>,
    by_job: BTreeMap<JobId, BTreeSet<ReservationNumber>>,
    last_number: ReservationNumber,
    /// The last job whose reservations a scheduler tick tried to use; the next tick starts after it.
    last_tried_job: Option<JobId>,
}

impl Reservations {
    /// Number of reservations.
    pub(super) fn len(&self) -> usize {
        self.by_number.len()
    }

    /// Whether there are no reservations.
    pub(super) fn is_empty(&self) -> bool {
        self.by_number.is_empty()
    }

    /// The reservations on a machine, oldest first.
    pub(super) fn on_machine(&self, machine: &MachineId) -> impl Iterator<Item = &Reservation> {
        self.resolve(self.by_machine.get(machine))
    }

    /// The reservations of a job, oldest first.
    pub(super) fn for_job(&self, job: &JobId) -> impl Iterator<Item = &Reservation> {
        self.resolve(self.by_job.get(job))
    }

    /// Number of tasks of a job that capacity is reserved for.
    pub(super) fn tasks_for_job(&self, job: &JobId) -> u32 {
        self.for_job(job).map(|reservation| reservation.tasks).sum()
    }

    fn resolve<'a>(
        &'a self,
        numbers: Option<&'a BTreeSet<ReservationNumber>>,
    ) -> impl Iterator<Item = &'a Reservation> {
        numbers.into_iter().flatten().filter_map(|number| self.by_number.get(number))
    }

    /// Jobs with reservations, in the order of their ids, starting after `last` and wrapping around, until they have
    /// `limit` reservations together. Returns at least one job if any has reservations.
    fn jobs_after(&self, last: Option<JobId>, limit: usize) -> Vec<JobId> {
        let from = last.map_or(Bound::Unbounded, Bound::Excluded);
        let later = self.by_job.range((from, Bound::Unbounded));
        let earlier = last.into_iter().flat_map(|last| self.by_job.range(..=last));
        let mut total = 0;
        let is_within_limit = |(_, numbers): &(&JobId, &BTreeSet<ReservationNumber>)| {
            let within_limit = total < limit;
            total += numbers.len();
            within_limit
        };
        later.chain(earlier).take_while(is_within_limit).map(|(job, _)| *job).collect()
    }

    /// Reserves capacity for one task of the job. The reservation expires after [`RESERVATION_TTL`].
    pub(super) fn add(&mut self, now: MonotonicTime, machine: MachineId, job: JobId, need: Resources) {
        self.add_tasks(now, machine, job, need, 1);
    }

    /// Reserves capacity for `tasks` tasks of the job that need `need` each, as one reservation, which expires after
    /// [`RESERVATION_TTL`].
    pub(super) fn add_tasks(
        &mut self,
        now: MonotonicTime,
        machine: MachineId,
        job: JobId,
        need: Resources,
        tasks: u32,
    ) {
        self.last_number += 1;
        self.by_machine.entry(machine.clone()).or_default().insert(self.last_number);
        self.by_job.entry(job).or_default().insert(self.last_number);
        let expires_at = now + RESERVATION_TTL;
        self.by_number.insert(self.last_number, Reservation { machine, job, need, tasks, expires_at });
    }

    /// Removes the expired reservations.
    pub(super) fn expire(&mut self, now: MonotonicTime) {
        while let Some((number, first)) = self.by_number.first_key_value()
            && first.expires_at <= now
        {
            self.remove(*number);
        }
    }

    /// Gives up the job's oldest reserved capacity on the machine, as `tasks` of its tasks start there.
    pub(super) fn use_tasks(&mut self, job: &JobId, machine: &MachineId, mut tasks: u32) {
        let (Some(on_machine), Some(of_job)) = (self.by_machine.get(machine), self.by_job.get(job)) else { return };
        let numbers: Vec<ReservationNumber> = on_machine.intersection(of_job).copied().collect();
        for number in numbers {
            let Some(reservation) = self.by_number.get_mut(&number) else { continue };
            let used = tasks.min(reservation.tasks);
            reservation.tasks -= used;
            tasks -= used;
            if reservation.tasks == 0 {
                self.remove(number);
            }
            if tasks == 0 {
                return;
            }
        }
    }

    /// Removes all reservations of a job.
    pub(super) fn release(&mut self, job: &JobId) {
        for number in self.by_job.get(job).cloned().unwrap_or_default() {
            self.remove(number);
        }
    }

    /// Extends the reservations of a job to [`RESERVATION_TTL`] from now.
    pub(super) fn renew(&mut self, now: MonotonicTime, job: &JobId) {
        for number in self.by_job.get(job).cloned().unwrap_or_default() {
            let Some(Reservation { machine, job, need, tasks, .. }) = self.remove(number) else { continue };
            self.add_tasks(now, machine, job, need, tasks);
        }
    }

    /// The jobs whose reservations are to be tried next, round robin.
    fn next_jobs(&mut self, limit: usize) -> Vec<JobId> {
        let jobs = self.jobs_after(self.last_tried_job, limit);
        self.last_tried_job = jobs.last().copied();
        jobs
    }

    fn remove(&mut self, number: ReservationNumber) -> Option<Reservation> {
        let reservation = self.by_number.remove(&number)?;
        remove_from(&mut self.by_machine, &reservation.machine, number);
        remove_from(&mut self.by_job, &reservation.job, number);
        Some(reservation)
    }
}

fn remove_from<K: Ord>(index: &mut BTreeMap<K, BTreeSet<ReservationNumber>>, key: &K, number: ReservationNumber) {
    let Some(numbers) = index.get_mut(key) else { return };
    numbers.remove(&number);
    if numbers.is_empty() {
        index.remove(key);
    }
}

/// Result of trying to use a job's reservations.
#[derive(Clone, Copy, PartialEq)]
enum ReservationUse {
    /// The job no longer needs any of its reservations.
    Done,
    /// The job keeps its remaining reservations.
    Pending,
}

impl Scheduler {
    /// The capacity of a machine that is neither used nor reserved. Reservations of `except_job` do not count.
    pub(super) fn unreserved_capacity(
        &self,
        id: &MachineId,
        machine: &Machine,
        except_job: Option<&JobId>,
    ) -> Resources {
        let mut free = machine.free(&self.catalog.types[machine.kind]);
        let reservations = self.reservations.on_machine(id).filter(|reservation| except_job != Some(&reservation.job));
        reservations.for_each(|reservation| free.sub(&reservation.capacity()));
        free
    }

    /// Starts tasks whose reserved capacity has become free.
    pub(super) fn use_reservations(&mut self, now: MonotonicTime) {
        self.reservations.expire(now);
        let mut done: BTreeSet<JobId> = BTreeSet::new();
        for id in self.reservations.next_jobs(MAX_RESERVATIONS_PER_TICK) {
            let parts: Vec<GangPlacement> = self
                .reservations
                .for_job(&id)
                .map(|reservation| (reservation.machine.clone(), reservation.tasks))
                .collect();
            self.meter.add_reservations(parts.len());
            let used = match self.jobs.live.get(&id).map(|job| job.spec.kind) {
                None => ReservationUse::Done,
                Some(JobKind::Gang) => self.start_reserved_gang(now, &id, parts),
                Some(JobKind::Array | JobKind::Service) => self.start_reserved_tasks(now, &id, parts),
            };
            if used == ReservationUse::Done {
                done.insert(id);
            }
        }
        done.iter().for_each(|id| self.reservations.release(id));
    }

    /// Starts a gang once all its tasks have reservations and may start.
    fn start_reserved_gang(&mut self, now: MonotonicTime, id: &JobId, parts: Vec<GangPlacement>) -> ReservationUse {
        let Some(job) = self.jobs.live.get(id) else { return ReservationUse::Done };
        if self.gang_starts.contains(id) {
            return ReservationUse::Pending;
        }
        let tasks = job.spec.tasks;
        if job.gang.is_some() || !job.placed.is_empty() || job.ready.len() as u32 != tasks {
            return ReservationUse::Done;
        }
        let parts = merge_by_machine(first_tasks(parts, tasks));
        let reserved: u32 = parts.iter().map(|(_, tasks)| tasks).sum();
        if reserved != tasks || !self.may_place_gang(now, id, &parts) {
            return ReservationUse::Pending;
        }
        self.start_gang(now, id, &parts);
        if self.gang_starts.contains(id) { ReservationUse::Pending } else { ReservationUse::Done }
    }

    /// Starts a ready task for each reservation whose machine may take it.
    fn start_reserved_tasks(&mut self, now: MonotonicTime, id: &JobId, parts: Vec<GangPlacement>) -> ReservationUse {
        for (machine, tasks) in parts {
            let Some(job) = self.jobs.live.get(id).filter(|job| !job.ready.is_empty()) else {
                return ReservationUse::Done;
            };
            let indices: Vec<u32> = job.ready.iter().take(tasks as usize).collect();
            let placeable = self.placeable_tasks(now, id, &machine, indices.len() as u32);
            self.reservations.use_tasks(id, &machine, placeable);
            let indices = indices.into_iter().take(placeable as usize);
            let started: Vec<(u32, Attempt)> = indices.map(|index| (index, self.next_attempt())).collect();
            self.start_tasks(now, id, &machine, &started);
        }
        ReservationUse::Pending
    }
}

/// The first parts with `tasks` tasks together, the last of them cut to that.
fn first_tasks(parts: Vec<GangPlacement>, tasks: u32) -> Vec<GangPlacement> {
    let mut left = tasks;
    let cut = |(machine, tasks): GangPlacement| {
        let taken = tasks.min(left);
        left -= taken;
        (taken > 0).then_some((machine, taken))
    };
    parts.into_iter().map_while(cut).collect()
}

#[cfg(test)]
mod tests;
