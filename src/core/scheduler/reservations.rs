//! Capacity on machines that is kept for tasks of a job. Work was stopped to make it, or a gang waits until
//! it has capacity for all of its tasks; without a reservation other work would take the capacity as soon as it
//! is free, and be stopped again.

use super::Scheduler;
use crate::core::machine::{Machine, Resources};
use crate::ids::{JobId, MachineId};
use crate::time::{Millis, MonotonicTime};
use crate::wire::Kind;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Kept for this long unless it is used or renewed.
const RESERVATION_TTL: Millis = Millis(4_000);
/// Reservations that one tick tries to use.
const MAX_RESERVATIONS_PER_TICK: usize = 2_048;

/// Numbers reservations in the order in which they were made, which is also that in which they expire.
type Number = u64;

/// Capacity for one task.
pub(super) struct Reservation {
    pub(super) machine: MachineId,
    pub(super) job: JobId,
    pub(super) need: Resources,
    until: MonotonicTime,
}

/// All reservations, indexed by machine and by job: each look-up costs what it finds.
#[derive(Default)]
pub(super) struct Reservations {
    by_number: BTreeMap<Number, Reservation>,
    by_machine: BTreeMap<MachineId, BTreeSet<Number>>,
    by_job: BTreeMap<JobId, BTreeSet<Number>>,
    last: Number,
    /// The last job whose reservations were tried: the next ones have their turn.
    tried_to: Option<JobId>,
}

impl Reservations {
    /// How many there are.
    pub(super) fn len(&self) -> usize {
        self.by_number.len()
    }

    /// Whether there are none.
    pub(super) fn is_empty(&self) -> bool {
        self.by_number.is_empty()
    }

    /// Those on a machine, the oldest first.
    pub(super) fn on(&self, machine: &MachineId) -> impl Iterator<Item = &Reservation> {
        self.numbered(self.by_machine.get(machine))
    }

    /// Those of a job, the oldest first.
    pub(super) fn of(&self, job: &JobId) -> impl Iterator<Item = &Reservation> {
        self.numbered(self.by_job.get(job))
    }

    /// How many a job has.
    pub(super) fn count_of(&self, job: &JobId) -> usize {
        self.by_job.get(job).map_or(0, BTreeSet::len)
    }

    fn numbered<'a>(&'a self, numbers: Option<&'a BTreeSet<Number>>) -> impl Iterator<Item = &'a Reservation> {
        numbers.into_iter().flatten().filter_map(|number| self.by_number.get(number))
    }

    /// Jobs in the order of their names, from the one after `last` on and round again, until they have
    /// `most` reservations between them. At least one job, if there is any.
    fn jobs_after(&self, last: Option<JobId>, most: usize) -> Vec<JobId> {
        let from = last.map_or(Bound::Unbounded, Bound::Excluded);
        let later = self.by_job.range((from, Bound::Unbounded));
        let earlier = last.into_iter().flat_map(|last| self.by_job.range(..=last));
        let mut seen = 0;
        let fits = |(_, numbers): &(&JobId, &BTreeSet<Number>)| {
            let goes_on = seen < most;
            seen += numbers.len();
            goes_on
        };
        later.chain(earlier).take_while(fits).map(|(job, _)| *job).collect()
    }

    /// Keeps capacity for one task of the job until [`RESERVATION_TTL`] has passed.
    pub(super) fn add(&mut self, now: MonotonicTime, machine: MachineId, job: JobId, need: Resources) {
        self.last += 1;
        self.by_machine.entry(machine.clone()).or_default().insert(self.last);
        self.by_job.entry(job).or_default().insert(self.last);
        self.by_number.insert(self.last, Reservation { machine, job, need, until: now + RESERVATION_TTL });
    }

    /// Drops those whose time has passed.
    pub(super) fn expire(&mut self, now: MonotonicTime) {
        while let Some((number, first)) = self.by_number.first_key_value()
            && first.until <= now
        {
            self.remove(*number);
        }
    }

    /// One task of the job starts on the machine: drops its oldest reservation there.
    pub(super) fn use_one(&mut self, job: &JobId, machine: &MachineId) {
        let on_machine = self.by_machine.get(machine);
        let of_job = self.by_job.get(job);
        let both = on_machine.zip(of_job).and_then(|(a, b)| a.intersection(b).next().copied());
        if let Some(number) = both {
            self.remove(number);
        }
    }

    /// Drops all that a job has.
    pub(super) fn release(&mut self, job: &JobId) {
        for number in self.by_job.get(job).cloned().unwrap_or_default() {
            self.remove(number);
        }
    }

    /// The jobs whose reservations are tried next, each in its turn.
    fn next_jobs(&mut self, most: usize) -> Vec<JobId> {
        let jobs = self.jobs_after(self.tried_to, most);
        self.tried_to = jobs.last().copied();
        jobs
    }

    fn remove(&mut self, number: Number) {
        let Some(reservation) = self.by_number.remove(&number) else { return };
        remove_from(&mut self.by_machine, &reservation.machine, number);
        remove_from(&mut self.by_job, &reservation.job, number);
    }
}

fn remove_from<K: Ord>(index: &mut BTreeMap<K, BTreeSet<Number>>, key: &K, number: Number) {
    let Some(numbers) = index.get_mut(key) else { return };
    numbers.remove(&number);
    if numbers.is_empty() {
        index.remove(key);
    }
}

/// What came of an attempt to use a job's reservations.
#[derive(Clone, Copy, PartialEq)]
enum ReservationUse {
    /// The job needs none of them any more.
    Done,
    /// The job keeps what is left of them.
    Pending,
}

impl Scheduler {
    /// What of a machine is neither used nor reserved, but for one job's reservations if that is named.
    pub(super) fn unreserved_capacity(&self, id: &MachineId, machine: &Machine, but_for: Option<&JobId>) -> Resources {
        let mut free = machine.free(&self.catalog.types[machine.kind]);
        let reservations = self.reservations.on(id).filter(|reservation| but_for != Some(&reservation.job));
        reservations.for_each(|reservation| free.sub(&reservation.need));
        free
    }

    /// Starts the tasks whose reserved capacity is free by now.
    pub(super) fn use_reservations(&mut self, now: MonotonicTime) {
        self.reservations.expire(now);
        let mut done: BTreeSet<JobId> = BTreeSet::new();
        for id in self.reservations.next_jobs(MAX_RESERVATIONS_PER_TICK) {
            self.cost.add_reservations(self.reservations.count_of(&id));
            let machines: Vec<MachineId> =
                self.reservations.of(&id).map(|reservation| reservation.machine.clone()).collect();
            let used = match self.jobs.live.get(&id).map(|job| job.spec.kind) {
                None => ReservationUse::Done,
                Some(Kind::Gang) => self.start_reserved_gang(now, &id, machines),
                Some(Kind::Array | Kind::Service) => self.start_reserved_tasks(now, &id, machines),
            };
            if used == ReservationUse::Done {
                done.insert(id);
            }
        }
        done.iter().for_each(|id| self.reservations.release(id));
    }

    /// Starts a gang once all of its tasks have a reservation and may start.
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

    /// Starts a ready task on each machine that has a reservation and may take it.
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
