//! Jobs in the leader's memory: their tasks and where these are, and how long classes of jobs run.

use crate::config::JobAges;
use crate::core::dependencies::InheritedConstraints;
use crate::core::machine::QUARANTINE_PERIOD;
use crate::core::records::LiveRecord;
use crate::ids::{Attempt, JobId, MachineId, Revision, TaskId};
use crate::time::{Millis, MonotonicTime, WallTime};
use crate::wire::{JobSpec, Priority};
use fixedbitset::FixedBitSet;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Longer than the longest pause between two tries of a job that fails.
const FAULT_TTL: Millis = Millis(150_000);

/// One start of a whole gang.
#[derive(Clone, Debug)]
pub struct GangRun {
    pub attempt: Attempt,
    /// Some task of it ended otherwise than done, or is being stopped: the rest must go too.
    pub broken: bool,
}

pub struct Job {
    pub spec: JobSpec,
    pub revision: Revision,
    pub submitted: WallTime,
    /// The jobs that have to be done, and aren't known to be, before a task of this one starts.
    pub depends_on: BTreeSet<JobId>,
    /// When it was submitted or, if that is later, the last job that it awaited was done.
    pub startable_at: WallTime,
    /// What it takes over from the jobs that need it, as of the last round.
    pub inherited: Option<InheritedConstraints>,
    pub team: u32,
    pub done: FixedBitSet,
    pub durably_done: FixedBitSet,
    pub done_count: u32,
    /// Tasks that are neither done nor possibly on a machine.
    pub ready: BTreeSet<u32>,
    /// Those of them that were on a spot machine which was taken.
    pub reclaimed: BTreeSet<u32>,
    /// Where a task possibly is. More than one place only where a new leader can't tell yet which
    /// of two heartbeats came late.
    pub placed: BTreeMap<u32, Vec<(MachineId, Attempt)>>,
    pub gang: Option<GangRun>,
    pub finishing: bool,
    pub bitmap_write_in_flight: bool,
    pub overspent: f64,
    /// How many tasks have run how long in all.
    pub ran: (u32, f64),
    pub errors: u32,
    /// Where its tasks have failed, and when they last did.
    pub error_machines: BTreeMap<MachineId, MonotonicTime>,
    pub pause_until: MonotonicTime,
    /// When its tasks first counted on a spot machine that is not up yet.
    pub spot_wait_since: Option<MonotonicTime>,
    pub no_new_spot: bool,
    /// The leader's last round in which work was to be stopped for it.
    pub last_preemption_round: u64,
}

impl Job {
    pub fn new(record: LiveRecord, revision: Revision, team: u32) -> Job {
        let n = record.spec.tasks;
        Job {
            revision,
            submitted: record.at,
            depends_on: record.depends_on.into_iter().collect(),
            startable_at: record.at,
            inherited: None,
            team,
            done: FixedBitSet::with_capacity(n as usize),
            durably_done: FixedBitSet::with_capacity(n as usize),
            done_count: 0,
            ready: (0..n).collect(),
            reclaimed: BTreeSet::new(),
            placed: BTreeMap::new(),
            gang: None,
            finishing: false,
            bitmap_write_in_flight: false,
            overspent: 0.0,
            ran: (0, 0.0),
            errors: 0,
            error_machines: BTreeMap::new(),
            pause_until: MonotonicTime(0),
            spot_wait_since: None,
            no_new_spot: false,
            last_preemption_round: 0,
            spec: record.spec,
        }
    }

    /// Whether it awaits other jobs: none of its tasks may start.
    pub fn is_waiting(&self) -> bool {
        !self.depends_on.is_empty()
    }

    /// How old it is for its deadline, and for its other objectives, which count from when it could start.
    pub fn ages(&self, wall: WallTime) -> JobAges {
        let startable_s = if self.is_waiting() { 0.0 } else { elapsed_s(wall, self.startable_at) };
        JobAges { submitted_s: elapsed_s(wall, self.submitted), startable_s }
    }

    /// How many of its tasks could be started now.
    pub fn startable_tasks(&self) -> usize {
        if self.is_waiting() { 0 } else { self.ready.len() }
    }

    /// Its own priority, or that of a more urgent job that needs it.
    pub fn priority(&self) -> Priority {
        self.inherited.as_ref().map_or(self.spec.priority, |i| i.priority.min(self.spec.priority))
    }

    /// Notes a task as done; it may still be listed by its machine.
    pub fn set_done(&mut self, index: u32) {
        if !self.done.put(index as usize) {
            self.done_count += 1;
        }
        self.ready.remove(&index);
        self.reclaimed.remove(&index);
    }

    pub fn all_done(&self) -> bool {
        self.done_count == self.spec.tasks
    }

    /// The task is on no machine any more and must run again. What an old start of it has come to
    /// (a machine may list that long after) doesn't count while the task is placed anew.
    pub fn requeue(&mut self, index: u32, reclaimed: bool) {
        if !self.done.contains(index as usize) && !self.placed.contains_key(&index) {
            self.ready.insert(index);
            if reclaimed {
                self.reclaimed.insert(index);
            }
        }
    }

    pub fn place(&mut self, index: u32, machine: &MachineId, attempt: Attempt) {
        self.ready.remove(&index);
        self.reclaimed.remove(&index);
        let places = self.placed.entry(index).or_default();
        if !places.iter().any(|(m, a)| m == machine && *a == attempt) {
            places.push((machine.clone(), attempt));
        }
    }

    /// A start of a task is proven to be gone from its machine.
    pub fn unplace(&mut self, index: u32, machine: &MachineId, attempt: Attempt) {
        if let Some(places) = self.placed.get_mut(&index) {
            places.retain(|(m, a)| m != machine || *a != attempt);
            if places.is_empty() {
                self.placed.remove(&index);
            }
        }
    }

    /// All starts of its tasks that are possibly on machines.
    pub fn places(&self) -> impl Iterator<Item = (u32, &MachineId, Attempt)> {
        self.placed.iter().flat_map(|(i, l)| l.iter().map(|(m, a)| (*i, m, *a)))
    }

    /// Whether a start of a task that is on a machine has a reason to stay there.
    pub fn goes_on(&self, (task, attempt): &(TaskId, Attempt)) -> bool {
        let broken = self.gang.as_ref().is_some_and(|g| g.broken && g.attempt == *attempt);
        !broken && !self.done.contains(task.index as usize)
    }

    /// Whether the state service holds that the task is done.
    pub fn is_durably_done(&self, index: u32) -> bool {
        self.durably_done.contains(index as usize)
    }

    /// A job that fails on several machines is itself at fault; one that hasn't failed for long may just
    /// have met machines that did.
    pub fn at_fault(&self, now: MonotonicTime) -> bool {
        self.done_count == 0 && self.error_machines.values().filter(|t| now - **t < FAULT_TTL).count() >= 2
    }

    /// Whether it keeps off a machine on which it has failed.
    pub fn avoids(&self, id: &MachineId, now: MonotonicTime) -> bool {
        self.error_machines.get(id).is_some_and(|t| now - *t < QUARANTINE_PERIOD)
    }

    pub fn saves(&self) -> bool {
        self.spec.checkpoint_s > 0.0
    }
}

/// What a class of jobs really takes against its owners' estimates; one number a class.
#[derive(Default)]
pub struct ClassTimes {
    ratios: HashMap<String, f64>,
}

const MAX_CLASSES: usize = 256;

impl ClassTimes {
    pub fn learn(&mut self, class: &str, estimate_s: f64, actual_s: f64) {
        if estimate_s <= 0.0 || actual_s <= 0.0 {
            return;
        }
        let ratio = (actual_s / estimate_s).clamp(0.1, 10.0);
        if let Some(r) = self.ratios.get_mut(class) {
            *r += 0.05 * (ratio - *r);
        } else if self.ratios.len() < MAX_CLASSES {
            self.ratios.insert(class.into(), 1.0 + 0.05 * (ratio - 1.0));
        }
    }

    pub fn expect(&self, class: &str, estimate_s: f64) -> f64 {
        estimate_s * self.ratios.get(class).copied().unwrap_or(1.0)
    }
}

/// Seconds between two times of day; never negative.
fn elapsed_s(now: WallTime, then: WallTime) -> f64 {
    now.0.saturating_sub(then.0) as f64 / 1000.0
}

pub fn priority_number(p: Priority) -> u32 {
    p as u32
}

#[cfg(test)]
mod tests;
