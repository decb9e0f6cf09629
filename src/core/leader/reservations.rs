//! Room on machines that is kept for tasks of a job. Work was stopped to make it, or a gang waits until it
//! has room for all of its tasks; without a reservation other work would take the room as soon as it is
//! free, and be stopped again.

use crate::core::fleet::Amount;
use crate::ids::{JobId, MachineId};
use crate::time::{Mono, Span};
use std::collections::BTreeSet;

/// Kept for this long unless it is used or renewed.
const RESERVED_FOR: Span = Span(4_000);

/// Room for one task.
pub(super) struct Reservation {
    pub machine: MachineId,
    pub job: JobId,
    pub need: Amount,
    until: Mono,
}

#[derive(Default)]
pub(super) struct Reservations {
    list: Vec<Reservation>,
}

impl Reservations {
    pub fn len(&self) -> usize {
        self.list.len()
    }

    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Reservation> {
        self.list.iter()
    }

    pub fn on(&self, machine: &MachineId) -> impl Iterator<Item = &Reservation> {
        self.list.iter().filter(move |r| r.machine == *machine)
    }

    pub fn of(&self, job: &JobId) -> impl Iterator<Item = &Reservation> {
        self.list.iter().filter(move |r| r.job == *job)
    }

    pub fn jobs(&self) -> BTreeSet<JobId> {
        self.list.iter().map(|r| r.job).collect()
    }

    pub fn add(&mut self, now: Mono, machine: MachineId, job: JobId, need: Amount) {
        self.list.push(Reservation { machine, job, need, until: now + RESERVED_FOR });
    }

    pub fn expire(&mut self, now: Mono) {
        self.list.retain(|r| r.until > now);
    }

    /// One task of the job starts on the machine.
    pub fn use_one(&mut self, job: &JobId, machine: &MachineId) {
        if let Some(at) = self.list.iter().position(|r| r.job == *job && r.machine == *machine) {
            self.list.remove(at);
        }
    }

    pub fn release(&mut self, job: &JobId) {
        self.list.retain(|r| r.job != *job);
    }
}

#[cfg(test)]
mod tests;
