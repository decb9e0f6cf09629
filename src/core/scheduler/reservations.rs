//! Room on machines that is kept for tasks of a job. Work was stopped to make it, or a gang waits until it
//! has room for all of its tasks; without a reservation other work would take the room as soon as it is
//! free, and be stopped again.

use crate::core::machine::Resources;
use crate::ids::{JobId, MachineId};
use crate::time::{Millis, MonotonicTime};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Kept for this long unless it is used or renewed.
const RESERVATION_TTL: Millis = Millis(4_000);

/// Numbers reservations in the order in which they were made, which is also that in which they expire.
type Number = u64;

/// Room for one task.
pub(super) struct Reservation {
    pub machine: MachineId,
    pub job: JobId,
    pub need: Resources,
    until: MonotonicTime,
}

/// All reservations, indexed by machine and by job: each look-up costs what it finds.
#[derive(Default)]
pub(super) struct Reservations {
    by_number: BTreeMap<Number, Reservation>,
    by_machine: BTreeMap<MachineId, BTreeSet<Number>>,
    by_job: BTreeMap<JobId, BTreeSet<Number>>,
    last: Number,
}

impl Reservations {
    pub fn len(&self) -> usize {
        self.by_number.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_number.is_empty()
    }

    pub fn on(&self, machine: &MachineId) -> impl Iterator<Item = &Reservation> {
        self.numbered(self.by_machine.get(machine))
    }

    pub fn of(&self, job: &JobId) -> impl Iterator<Item = &Reservation> {
        self.numbered(self.by_job.get(job))
    }

    pub fn count_of(&self, job: &JobId) -> usize {
        self.by_job.get(job).map_or(0, BTreeSet::len)
    }

    fn numbered<'a>(&'a self, numbers: Option<&'a BTreeSet<Number>>) -> impl Iterator<Item = &'a Reservation> {
        numbers.into_iter().flatten().filter_map(|number| self.by_number.get(number))
    }

    /// Jobs in the order of their names, from the one after `last` on and round again, until they have
    /// `most` reservations between them. At least one job, if there is any.
    pub fn jobs_after(&self, last: Option<JobId>, most: usize) -> Vec<JobId> {
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

    pub fn add(&mut self, now: MonotonicTime, machine: MachineId, job: JobId, need: Resources) {
        self.last += 1;
        self.by_machine.entry(machine.clone()).or_default().insert(self.last);
        self.by_job.entry(job).or_default().insert(self.last);
        self.by_number.insert(self.last, Reservation { machine, job, need, until: now + RESERVATION_TTL });
    }

    pub fn expire(&mut self, now: MonotonicTime) {
        while let Some((number, first)) = self.by_number.first_key_value()
            && first.until <= now
        {
            self.remove(*number);
        }
    }

    /// One task of the job starts on the machine.
    pub fn use_one(&mut self, job: &JobId, machine: &MachineId) {
        let on_machine = self.by_machine.get(machine);
        let of_job = self.by_job.get(job);
        let both = on_machine.zip(of_job).and_then(|(a, b)| a.intersection(b).next().copied());
        if let Some(number) = both {
            self.remove(number);
        }
    }

    pub fn release(&mut self, job: &JobId) {
        for number in self.by_job.get(job).cloned().unwrap_or_default() {
            self.remove(number);
        }
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

#[cfg(test)]
mod tests;
