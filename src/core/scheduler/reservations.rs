//! Reservations of machine capacity for tasks of a job: capacity that preemption frees for them, or that a gang gathers
//! until it has enough for all its tasks. Without a reservation, tasks of other jobs would take the capacity as soon as
//! it is free, and would be preempted in turn.

use super::Scheduler;
use crate::core::machine::{Machine, Resources};
use crate::ids::{JobId, MachineId};
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

/// Capacity of a machine that is reserved for one task of a job.
pub(super) struct Reservation {
    pub(super) machine: MachineId,
    pub(super) job: JobId,
    pub(super) need: Resources,
    expires_at: MonotonicTime,
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

    /// Number of reservations of a job.
    pub(super) fn count_for_job(&self, job: &JobId) -> usize {
        self.by_job.get(job).map_or(0, BTreeSet::len)
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
        self.last_number += 1;
        self.by_machine.entry(machine.clone()).or_default().insert(self.last_number);
        self.by_job.entry(job).or_default().insert(self.last_number);
        self.by_number.insert(self.last_number, Reservation { machine, job, need, expires_at: now + RESERVATION_TTL });
    }

    /// Removes the expired reservations.
    pub(super) fn expire(&mut self, now: MonotonicTime) {
        while let Some((number, first)) = self.by_number.first_key_value()
            && first.expires_at <= now
        {
            self.remove(*number);
        }
    }

    /// Removes the job's oldest reservation on the machine, as one of its tasks starts there.
    pub(super) fn use_one(&mut self, job: &JobId, machine: &MachineId) {
        let on_machine = self.by_machine.get(machine);
        let of_job = self.by_job.get(job);
        let oldest = on_machine.zip(of_job).and_then(|(a, b)| a.intersection(b).next().copied());
        if let Some(number) = oldest {
            self.remove(number);
        }
    }

    /// Removes all reservations of a job.
    pub(super) fn release(&mut self, job: &JobId) {
        for number in self.by_job.get(job).cloned().unwrap_or_default() {
            self.remove(number);
        }
    }

    /// The jobs whose reservations are to be tried next, round robin.
    fn next_jobs(&mut self, limit: usize) -> Vec<JobId> {
        let jobs = self.jobs_after(self.last_tried_job, limit);
        self.last_tried_job = jobs.last().copied();
        jobs
    }

    fn remove(&mut self, number: ReservationNumber) {
        let Some(reservation) = self.by_number.remove(&number) else { return };
        remove_from(&mut self.by_machine, &reservation.machine, number);
        remove_from(&mut self.by_job, &reservation.job, number);
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
        reservations.for_each(|reservation| free.sub(&reservation.need));
        free
    }

    /// Starts tasks whose reserved capacity has become free.
    pub(super) fn use_reservations(&mut self, now: MonotonicTime) {
        self.reservations.expire(now);
        let mut done: BTreeSet<JobId> = BTreeSet::new();
        for id in self.reservations.next_jobs(MAX_RESERVATIONS_PER_TICK) {
            self.meter.add_reservations(self.reservations.count_for_job(&id));
            let machines: Vec<MachineId> =
                self.reservations.for_job(&id).map(|reservation| reservation.machine.clone()).collect();
            let used = match self.jobs.live.get(&id).map(|job| job.spec.kind) {
                None => ReservationUse::Done,
                Some(JobKind::Gang) => self.start_reserved_gang(now, &id, machines),
                Some(JobKind::Array | JobKind::Service) => self.start_reserved_tasks(now, &id, machines),
            };
            if used == ReservationUse::Done {
                done.insert(id);
            }
        }
        done.iter().for_each(|id| self.reservations.release(id));
    }

    /// Starts a gang once all its tasks have reservations and may start.
    fn start_reserved_gang(&mut self, now: MonotonicTime, id: &JobId, mut machines: Vec<MachineId>) -> ReservationUse {
        let Some(job) = self.jobs.live.get(id) else { return ReservationUse::Done };
        let tasks = job.spec.tasks;
        machines.truncate(tasks as usize);
        if job.gang.is_some() || !job.placed.is_empty() || job.ready.len() as u32 != tasks {
            return ReservationUse::Done;
        }
        if machines.len() as u32 != tasks
            || !machines.iter().all(|machine| self.may_place(now, id, machine, f64::from(tasks)))
        {
            return ReservationUse::Pending;
        }
        let parts: Vec<(MachineId, u32)> = machines.into_iter().map(|machine| (machine, 1)).collect();
        self.start_gang(now, id, &parts);
        ReservationUse::Done
    }

    /// Starts a ready task for each reservation whose machine may take it.
    fn start_reserved_tasks(&mut self, now: MonotonicTime, id: &JobId, machines: Vec<MachineId>) -> ReservationUse {
        for machine in machines {
            let Some(index) = self.jobs.live.get(id).and_then(|job| job.ready.first().copied()) else {
                return ReservationUse::Done;
            };
            if self.may_place(now, id, &machine, 1.0) {
                self.reservations.use_one(id, &machine);
                let attempt = self.next_attempt();
                self.start_task(now, id, index, &machine, attempt);
            }
        }
        ReservationUse::Pending
    }
}

#[cfg(test)]
mod tests;
