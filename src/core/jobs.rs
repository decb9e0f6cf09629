//! Live jobs as the scheduler knows them: which tasks are ready, placed and done, what went wrong with
//! them, and how long the tasks of a class really run.

use crate::config::JobAges;
use crate::core::dependencies::InheritedConstraints;
use crate::core::machine::QUARANTINE_PERIOD;
use crate::core::records::LiveRecord;
use crate::ids::{Attempt, JobId, MachineId, Revision, TaskId};
use crate::time::{Millis, MonotonicTime, WallTime};
use crate::wire::{JobSpec, Priority};
use fixedbitset::FixedBitSet;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// For how long a failure on a machine counts against the job. Longer than the longest pause between two
/// tries of a job that fails.
const FAULT_TTL: Millis = Millis(150_000);

/// A job that has failed on this many machines is itself at fault.
const MIN_FAILED_MACHINES: usize = 2;

/// Most classes whose run times are learned.
const MAX_CLASSES: usize = 256;

/// By what part of the difference a run time moves what is learned of its class.
const LEARNING_RATE: f64 = 0.05;

/// A run time counts as at least this part of the estimate.
const MIN_RUN_TIME_RATIO: f64 = 0.1;

/// A run time counts as at most this many times the estimate.
const MAX_RUN_TIME_RATIO: f64 = 10.0;

/// One start of a whole gang.
#[derive(Clone, Debug)]
pub struct GangRun {
    /// The attempt of all its tasks.
    pub attempt: Attempt,
    /// Some task of it has ended without being done, or is being stopped: the others must stop too.
    pub broken: bool,
}

/// A job that hasn't ended.
pub struct Job {
    /// What was submitted.
    pub spec: JobSpec,
    /// The revision of its live record.
    pub revision: Revision,
    /// When it was submitted.
    pub submitted: WallTime,
    /// The dependencies that aren't known to be done: until there are none no task may start.
    pub depends_on: BTreeSet<JobId>,
    /// When it was submitted or, if that is later, its last dependency was done.
    pub startable_at: WallTime,
    /// What it inherits from its dependents, as of the last round.
    pub inherited: Option<InheritedConstraints>,
    /// Its team, by position in the settings.
    pub team: u32,
    done: FixedBitSet,
    durably_done: FixedBitSet,
    /// How many tasks are done.
    pub done_count: u32,
    /// Tasks that are neither done nor possibly on a machine.
    pub ready: BTreeSet<u32>,
    /// Those of them that were last on a spot machine that was reclaimed.
    pub reclaimed: BTreeSet<u32>,
    /// Where each task possibly is. More than one place only where a new leader can't tell yet which of two
    /// heartbeats is the later one.
    pub placed: BTreeMap<u32, Vec<(MachineId, Attempt)>>,
    /// The run of a gang whose tasks are possibly on machines.
    pub gang: Option<GangRun>,
    /// The write of its terminal record is in flight.
    pub finishing: bool,
    bitmap_write_in_flight: bool,
    /// What its placements have cost beyond the cheapest ones: less is left of its budget.
    pub overspent: f64,
    /// How many tasks have run to their end, and their run times in seconds added up.
    pub ran: (u32, f64),
    /// How many of its tasks have failed.
    pub errors: u32,
    /// The machines on which its tasks have failed, and when they last did.
    pub error_machines: BTreeMap<MachineId, MonotonicTime>,
    /// No task of it is placed before then.
    pub pause_until: MonotonicTime,
    /// Since when a task of it has waited for a spot machine that isn't up yet.
    pub spot_wait_since: Option<MonotonicTime>,
    /// It has waited too long for spot machines, and gets no new ones.
    pub no_new_spot: bool,
    /// The last round in which work was preempted for it.
    pub last_preemption_round: u64,
}

impl Job {
    /// A job of which nothing but its record is known: all its tasks are ready.
    pub fn new(record: LiveRecord, revision: Revision, team: u32) -> Job {
        let tasks = record.spec.tasks;
        Job {
            revision,
            submitted: record.at,
            depends_on: record.depends_on.into_iter().collect(),
            startable_at: record.at,
            inherited: None,
            team,
            done: FixedBitSet::with_capacity(tasks as usize),
            durably_done: FixedBitSet::with_capacity(tasks as usize),
            done_count: 0,
            ready: (0..tasks).collect(),
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

    /// Whether it has dependencies left: none of its tasks may start.
    pub fn is_waiting(&self) -> bool {
        !self.depends_on.is_empty()
    }

    /// How old it is for its deadline, and for its other objectives, which count from when it could start.
    pub fn ages(&self, wall: WallTime) -> JobAges {
        let startable_s = if self.is_waiting() { 0.0 } else { wall.seconds_since(self.startable_at) };
        JobAges { submitted_s: wall.seconds_since(self.submitted), startable_s }
    }

    /// How many of its tasks could be started now.
    pub fn startable_tasks(&self) -> usize {
        if self.is_waiting() { 0 } else { self.ready.len() }
    }

    /// Its own priority, or that of a more urgent dependent.
    pub fn priority(&self) -> Priority {
        let own = self.spec.priority;
        self.inherited.as_ref().map_or(own, |inherited| inherited.priority.min(own))
    }

    /// A task is done. Its machine may still list it.
    pub fn set_done(&mut self, index: u32) {
        if !self.done.put(index as usize) {
            self.done_count += 1;
        }
        self.ready.remove(&index);
        self.reclaimed.remove(&index);
    }

    /// Whether all tasks are done.
    pub fn all_done(&self) -> bool {
        self.done_count == self.spec.tasks
    }

    /// A task attempt has ended without the task being done, so the task is ready again. An earlier attempt,
    /// which a machine may list long after, changes nothing while the task is placed anew.
    pub fn requeue(&mut self, index: u32, reclaimed: bool) {
        if !self.done.contains(index as usize) && !self.placed.contains_key(&index) {
            self.ready.insert(index);
            if reclaimed {
                self.reclaimed.insert(index);
            }
        }
    }

    /// A task attempt is possibly on a machine from now on.
    pub fn place(&mut self, index: u32, machine: &MachineId, attempt: Attempt) {
        self.ready.remove(&index);
        self.reclaimed.remove(&index);
        let places = self.placed.entry(index).or_default();
        if !places.iter().any(|(other, other_attempt)| other == machine && *other_attempt == attempt) {
            places.push((machine.clone(), attempt));
        }
    }

    /// A task attempt is proven to be gone from its machine.
    pub fn unplace(&mut self, index: u32, machine: &MachineId, attempt: Attempt) {
        if let Some(places) = self.placed.get_mut(&index) {
            places.retain(|(other, other_attempt)| other != machine || *other_attempt != attempt);
            if places.is_empty() {
                self.placed.remove(&index);
            }
        }
    }

    /// All task attempts that are possibly on machines, by index of the task.
    pub fn places(&self) -> impl Iterator<Item = (u32, &MachineId, Attempt)> {
        let places = self.placed.iter();
        places.flat_map(|(index, places)| places.iter().map(|(machine, attempt)| (*index, machine, *attempt)))
    }

    /// Whether a task attempt on a machine may go on: its task isn't done, and its gang is whole.
    pub fn goes_on(&self, (task, attempt): &(TaskId, Attempt)) -> bool {
        let broken = self.gang.as_ref().is_some_and(|gang| gang.broken && gang.attempt == *attempt);
        !broken && !self.done.contains(task.index as usize)
    }

    /// Which tasks are done.
    pub fn done(&self) -> &FixedBitSet {
        &self.done
    }

    /// Which tasks the key-value store holds as done.
    pub fn durably_done(&self) -> &FixedBitSet {
        &self.durably_done
    }

    /// Whether the key-value store holds a task as done.
    pub fn is_durably_done(&self, index: u32) -> bool {
        self.durably_done.contains(index as usize)
    }

    /// Reads a stored part of the completion bitmap into it; its tasks count as done. `read` says whether it
    /// could, and so does the result.
    pub fn load_bitmap(&mut self, read: impl FnOnce(&mut FixedBitSet) -> bool) -> bool {
        let readable = read(&mut self.durably_done);
        let done: Vec<usize> = self.durably_done.ones().collect();
        for index in done {
            self.set_done(index as u32);
        }
        readable
    }

    /// Whether more tasks are done than is stored, and a write of the bitmap is worth it: a job that is wholly
    /// done gets its terminal record instead.
    pub fn has_unsaved_bitmap(&self) -> bool {
        self.done_count > 0 && !self.all_done() && !self.bitmap_write_in_flight && self.durably_done != self.done
    }

    /// A write of the bitmap is sent; none other may be until it has ended.
    pub fn start_bitmap_write(&mut self) {
        self.bitmap_write_in_flight = true;
    }

    /// The write of the bitmap has ended: what is durably done by it, or nothing new if it failed.
    pub fn finish_bitmap_write(&mut self, durably_done: Option<FixedBitSet>) {
        self.bitmap_write_in_flight = false;
        if let Some(durably_done) = durably_done {
            self.durably_done = durably_done;
        }
    }

    /// Whether the job itself is at fault, as it has failed on several machines and no task was ever done. If
    /// it hasn't failed for long, it may just have met faulty machines.
    pub fn at_fault(&self, now: MonotonicTime) -> bool {
        let recent = self.error_machines.values().filter(|failed_at| now - **failed_at < FAULT_TTL);
        self.done_count == 0 && recent.count() >= MIN_FAILED_MACHINES
    }

    /// Whether it isn't placed on a machine, as it has failed there lately.
    pub fn avoids(&self, id: &MachineId, now: MonotonicTime) -> bool {
        self.error_machines.get(id).is_some_and(|failed_at| now - *failed_at < QUARANTINE_PERIOD)
    }

    /// Whether its tasks make checkpoints, from which they continue after a stop.
    pub fn saves(&self) -> bool {
        self.spec.checkpoint_s > 0.0
    }
}

/// How long the tasks of each class really run, against the estimates of their submitters.
#[derive(Default)]
pub struct ClassTimes {
    /// By class, the moving average of run time over estimate.
    ratios: HashMap<String, f64>,
}

impl ClassTimes {
    /// A task of a class has run for `actual_s` seconds where `estimate_s` were estimated.
    pub fn learn(&mut self, class: &str, estimate_s: f64, actual_s: f64) {
        if estimate_s <= 0.0 || actual_s <= 0.0 {
            return;
        }
        let ratio = (actual_s / estimate_s).clamp(MIN_RUN_TIME_RATIO, MAX_RUN_TIME_RATIO);
        if let Some(learned) = self.ratios.get_mut(class) {
            *learned += LEARNING_RATE * (ratio - *learned);
        } else if self.ratios.len() < MAX_CLASSES {
            self.ratios.insert(class.into(), 1.0 + LEARNING_RATE * (ratio - 1.0));
        }
    }

    /// The expected run time of a task in seconds: the estimate, corrected by what is learned of the class.
    pub fn expect(&self, class: &str, estimate_s: f64) -> f64 {
        estimate_s * self.ratios.get(class).copied().unwrap_or(1.0)
    }
}

/// The number of a priority in messages between controllers: 0 is the most urgent.
pub fn priority_number(priority: Priority) -> u32 {
    priority as u32
}

#[cfg(test)]
mod tests;
