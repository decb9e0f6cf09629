//! The leader's in-memory state of each live job (which tasks are ready, placed and done, and on which
//! machines they failed), and the measured run times of each class of jobs.

use crate::config::JobAges;
use crate::core::dependencies::InheritedConstraints;
use crate::core::machine::QUARANTINE_PERIOD;
use crate::core::records::LiveRecord;
use crate::core::task_set::TaskSet;
use crate::ids::{Attempt, JobId, MachineId, Revision, TaskId};
use crate::peer::ZoneCount;
use crate::time::{Millis, MonotonicTime, WallTime};
use crate::wire::{JobSpec, Priority};
use fixedbitset::FixedBitSet;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// How long a task's failure on a machine is taken as a sign that the job itself is at fault. Longer than the
/// longest backoff between two attempts of a failing job, so that consecutive failures are counted together.
const FAILURE_WINDOW: Millis = Millis(150_000);

/// A job whose tasks failed on this many machines within `FAILURE_WINDOW` is considered at fault itself.
const MIN_FAILED_MACHINES: usize = 2;

/// Maximum number of job classes whose run times are tracked. Jobs of further classes use the submitter's estimate.
const MAX_CLASSES: usize = 256;

/// Weight, 0 to 1, of the latest task in a job class's moving average of run time divided by estimate.
const RATIO_SMOOTHING: f64 = 0.05;

/// Lower bound on an observed ratio of run time to estimate; limits the effect of outliers.
const MIN_RUN_TIME_RATIO: f64 = 0.1;

/// Upper bound on an observed ratio of run time to estimate; limits the effect of outliers.
const MAX_RUN_TIME_RATIO: f64 = 10.0;

/// One attempt to run all tasks of a gang at the same time.
#[derive(Clone, Debug)]
pub struct GangRun {
    /// The attempt number shared by all tasks of the gang.
    pub attempt: Attempt,
    /// Whether a task of this attempt has ended without being done or is being stopped, so that all other
    /// tasks of the attempt must be stopped as well.
    pub broken: bool,
    /// Whether the stops of all tasks that may be on machines have been queued since the attempt broke.
    pub stops_queued: bool,
}

impl GangRun {
    /// An attempt that isn't broken.
    pub fn new(attempt: Attempt) -> GangRun {
        GangRun { attempt, broken: false, stops_queued: false }
    }
}

/// A machine where a task attempt may be running.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskPlace {
    /// The machine.
    pub machine: MachineId,
    /// Index of the machine's zone in the scheduler's catalog.
    pub zone: u32,
    /// The attempt to run the task.
    pub attempt: Attempt,
}

/// A job that is neither done nor cancelled.
pub struct Job {
    /// The job's description, as the user submitted it.
    pub spec: JobSpec,
    /// The key-value store's revision of the job's live record.
    pub revision: Revision,
    /// When the job was submitted.
    pub submitted: WallTime,
    /// Dependencies that are not known to be done. No task may start until this set is empty.
    pub depends_on: BTreeSet<JobId>,
    /// When the job could first start: the later of its submission and the completion of its last dependency.
    pub startable_at: WallTime,
    /// Priority, deadlines and rank inherited from the jobs that depend on this one, as of the last planning
    /// round. `None` if no live job depends on it.
    pub inherited: Option<InheritedConstraints>,
    /// Index of the job's team in the settings.
    pub team: u32,
    /// Indices of the tasks that have ended successfully, as reported by workers or read from the key-value store.
    done: FixedBitSet,
    /// Indices of the tasks that are done according to the completion bitmap in the key-value store.
    durably_done: FixedBitSet,
    /// Number of the job's tasks that are done.
    pub done_count: u32,
    /// Indices of the tasks waiting to be placed: neither done nor possibly on a machine.
    pub ready: TaskSet,
    /// Indices of the ready tasks whose last attempt was lost because the cloud reclaimed its spot machine.
    pub reclaimed: TaskSet,
    /// The machines and attempts where each task may be running, by task index. A task has more than one entry
    /// only while a new leader cannot yet tell which of two heartbeats is the later one.
    pub placed: BTreeMap<u32, Vec<TaskPlace>>,
    /// How many entries of `placed` are in each zone.
    placed_by_zone: BTreeMap<u32, u32>,
    /// The current attempt of a gang; set while any of its tasks may be on a machine.
    pub gang: Option<GangRun>,
    /// Whether a write that ends the job in the key-value store, by storing its terminal record, is in flight.
    pub finishing: bool,
    /// Whether a write of the job's completion bitmap to the key-value store is in flight.
    bitmap_write_in_flight: bool,
    /// What the job's placements have cost above the cheapest candidate machines, in the currency of the cloud's
    /// prices. Later planning rounds deduct this from the amount that the job may spend above the cheapest machines.
    pub excess_cost: f64,
    /// Number of completed tasks with a known run time, and the sum of their run times in seconds.
    pub run_time_totals: (u32, f64),
    /// Number of task failures so far, over all tasks and attempts.
    pub failure_count: u32,
    /// Machines on which tasks of the job have failed, with the time of the latest failure.
    pub last_failure_by_machine: BTreeMap<MachineId, MonotonicTime>,
    /// No task of the job is placed before this time, as a backoff after failures or a lack of capacity.
    pub pause_until: MonotonicTime,
    /// Since when the job has had a task waiting for a spot machine that is not running yet. `None` if it has no such
    /// task.
    pub spot_wait_since: Option<MonotonicTime>,
    /// Whether the job has waited too long for spot machines, so that none are provisioned for it any more.
    pub no_new_spot: bool,
    /// Number of the last planning round in which the scheduler looked for tasks to preempt for this job.
    pub last_preemption_search_round: u64,
}

impl Job {
    /// Creates the state of a job from its stored record, with all tasks ready.
    pub fn new(record: LiveRecord, revision: Revision, team: u32) -> Job {
        let tasks = record.spec.tasks;
        Job {
            revision,
            submitted: record.submitted_at,
            depends_on: record.depends_on.into_iter().collect(),
            startable_at: record.submitted_at,
            inherited: None,
            team,
            done: FixedBitSet::with_capacity(tasks as usize),
            durably_done: FixedBitSet::with_capacity(tasks as usize),
            done_count: 0,
            ready: TaskSet::all(tasks),
            reclaimed: TaskSet::none(tasks),
            placed: BTreeMap::new(),
            placed_by_zone: BTreeMap::new(),
            gang: None,
            finishing: false,
            bitmap_write_in_flight: false,
            excess_cost: 0.0,
            run_time_totals: (0, 0.0),
            failure_count: 0,
            last_failure_by_machine: BTreeMap::new(),
            pause_until: MonotonicTime(0),
            spot_wait_since: None,
            no_new_spot: false,
            last_preemption_search_round: 0,
            spec: record.spec,
        }
    }

    /// Whether the job still waits for dependencies, so that none of its tasks may start.
    pub fn is_waiting(&self) -> bool {
        !self.depends_on.is_empty()
    }

    /// The job's two ages at the wall-clock time `wall`: since the job was submitted, on which its deadline is based,
    /// and since it could start, on which its other SLOs are based. The second is 0 while the job waits for
    /// dependencies.
    pub fn ages(&self, wall: WallTime) -> JobAges {
        let since_startable_s = if self.is_waiting() { 0.0 } else { wall.seconds_since(self.startable_at) };
        JobAges { since_submission_s: wall.seconds_since(self.submitted), since_startable_s }
    }

    /// Number of the job's tasks that wait to be placed; 0 while the job waits for dependencies.
    pub fn startable_tasks(&self) -> usize {
        if self.is_waiting() { 0 } else { self.ready.len() }
    }

    /// The effective priority: the job's own, or that of a more urgent dependent.
    pub fn priority(&self) -> Priority {
        let own = self.spec.priority;
        self.inherited.as_ref().map_or(own, |inherited| inherited.priority.min(own))
    }

    /// Marks a task as done. The machine that ran the task may still list it in later heartbeats.
    pub fn set_done(&mut self, index: u32) {
        if !self.done.put(index as usize) {
            self.done_count += 1;
        }
        self.ready.remove(index);
        self.reclaimed.remove(index);
    }

    /// Marks all tasks as done.
    pub fn set_all_done(&mut self) {
        if !self.all_done() {
            (0..self.spec.tasks).for_each(|index| self.set_done(index));
        }
    }

    /// Whether all tasks of the job are done.
    pub fn all_done(&self) -> bool {
        self.done_count == self.spec.tasks
    }

    /// Makes a task ready again after an attempt that ended without the task being done. Does nothing if the
    /// task is done or placed: a machine may still report an earlier attempt long after the task was placed
    /// again. `reclaimed` says whether the attempt was lost because its spot machine was reclaimed.
    pub fn requeue(&mut self, index: u32, reclaimed: bool) {
        if !self.done.contains(index as usize) && !self.placed.contains_key(&index) {
            self.ready.insert(index);
            if reclaimed {
                self.reclaimed.insert(index);
            }
        }
    }

    /// Records that a task attempt may be running at this place from now on.
    pub fn place(&mut self, index: u32, place: TaskPlace) {
        self.ready.remove(index);
        self.reclaimed.remove(index);
        let places = self.placed.entry(index).or_default();
        if !places.contains(&place) {
            *self.placed_by_zone.entry(place.zone).or_default() += 1;
            places.push(place);
        }
    }

    /// Records that a task attempt is proven not to be on the machine any more.
    pub fn unplace(&mut self, index: u32, machine: &MachineId, attempt: Attempt) {
        let Some(places) = self.placed.get_mut(&index) else { return };
        for removed in places.extract_if(.., |place| place.machine == *machine && place.attempt == attempt) {
            self.placed_by_zone.entry(removed.zone).and_modify(|count| *count -= 1);
        }
        if places.is_empty() {
            self.placed.remove(&index);
        }
    }

    /// How many of the job's task attempts may be running in each zone. Empty if the job has no zone constraint.
    pub fn zone_counts(&self) -> Vec<ZoneCount> {
        if !self.spec.spread && !self.spec.one_zone {
            return Vec::new();
        }
        let counts = self.placed_by_zone.iter().filter(|(_, count)| **count > 0);
        counts.map(|(zone, count)| ZoneCount { zone: *zone, count: *count }).collect()
    }

    /// All task attempts that may be on machines, in ascending order of the task index.
    pub fn places(&self) -> impl Iterator<Item = (u32, &MachineId, Attempt)> {
        let places = self.placed.iter();
        places.flat_map(|(index, places)| places.iter().map(|place| (*index, &place.machine, place.attempt)))
    }

    /// Whether a task attempt on a machine may keep running: its task is not done, and it does not belong to a
    /// broken gang attempt.
    pub fn may_continue(&self, (task, attempt): &(TaskId, Attempt)) -> bool {
        let broken = self.gang.as_ref().is_some_and(|gang| gang.broken && gang.attempt == *attempt);
        !broken && !self.done.contains(task.index as usize)
    }

    /// Indices of the tasks that have ended successfully, as reported by workers or read from the key-value store.
    pub fn done(&self) -> &FixedBitSet {
        &self.done
    }

    /// Indices of the tasks that are done according to the completion bitmap in the key-value store.
    pub fn durably_done(&self) -> &FixedBitSet {
        &self.durably_done
    }

    /// Whether a task is done according to the completion bitmap in the key-value store.
    pub fn is_durably_done(&self, index: u32) -> bool {
        self.durably_done.contains(index as usize)
    }

    /// Loads a chunk of the job's completion bitmap from the key-value store: `read` adds the chunk's done tasks to the
    /// bitmap that it is given, and these tasks are marked as done. Returns what `read` returns: whether the chunk
    /// was readable.
    pub fn load_bitmap(&mut self, read: impl FnOnce(&mut FixedBitSet) -> bool) -> bool {
        let mut loaded = FixedBitSet::with_capacity(self.durably_done.len());
        let readable = read(&mut loaded);
        loaded.ones().for_each(|index| self.set_done(index as u32));
        self.durably_done.union_with(&loaded);
        readable
    }

    /// Whether the job's completion bitmap has changes to write and no write of the bitmap is in flight. Always false
    /// for a job whose tasks are all done, as its terminal record is written instead.
    pub fn has_unsaved_bitmap(&self) -> bool {
        self.done_count > 0 && !self.all_done() && !self.bitmap_write_in_flight && self.durably_done != self.done
    }

    /// Marks a write of the job's completion bitmap as in flight; no other such write may start until this one ends.
    pub fn start_bitmap_write(&mut self) {
        self.bitmap_write_in_flight = true;
    }

    /// Records that the write of the job's completion bitmap has ended. `durably_done` is the bitmap that the
    /// key-value store now has, or `None` if the write failed.
    pub fn finish_bitmap_write(&mut self, durably_done: Option<FixedBitSet>) {
        self.bitmap_write_in_flight = false;
        if let Some(durably_done) = durably_done {
            self.durably_done = durably_done;
        }
    }

    /// Whether the job itself, rather than the machines, is presumed to cause its failures: none of its tasks is
    /// done, and tasks failed on several machines within `FAILURE_WINDOW`. Older failures are ignored, as faulty
    /// machines may have caused them.
    pub fn is_at_fault(&self, now: MonotonicTime) -> bool {
        let recent = self.last_failure_by_machine.values().filter(|failed_at| now - **failed_at < FAILURE_WINDOW);
        self.done_count == 0 && recent.count() >= MIN_FAILED_MACHINES
    }

    /// Whether the job must not be placed on a machine, because a task of the job failed there within the quarantine
    /// period.
    pub fn avoids(&self, id: &MachineId, now: MonotonicTime) -> bool {
        self.last_failure_by_machine.get(id).is_some_and(|failed_at| now - *failed_at < QUARANTINE_PERIOD)
    }

    /// Whether the job's tasks write checkpoints, from which they resume after a stop.
    pub fn writes_checkpoints(&self) -> bool {
        self.spec.checkpoint_interval_s > 0.0
    }
}

/// Corrects the submitters' run time estimates by the run times measured for each class of jobs.
#[derive(Default)]
pub struct ClassRunTimes {
    /// The moving average of measured run time divided by the submitter's estimate, by job class.
    ratios: HashMap<String, f64>,
}

impl ClassRunTimes {
    /// Records that a task of a job of this class ran for `actual_s` seconds, where the submitter had estimated
    /// `estimate_s` seconds.
    pub fn record(&mut self, class: &str, estimate_s: f64, actual_s: f64) {
        if estimate_s <= 0.0 || actual_s <= 0.0 {
            return;
        }
        let ratio = (actual_s / estimate_s).clamp(MIN_RUN_TIME_RATIO, MAX_RUN_TIME_RATIO);
        if let Some(average) = self.ratios.get_mut(class) {
            *average += RATIO_SMOOTHING * (ratio - *average);
        } else if self.ratios.len() < MAX_CLASSES {
            self.ratios.insert(class.into(), 1.0 + RATIO_SMOOTHING * (ratio - 1.0));
        }
    }

    /// The expected run time of a task of a job of this class, in seconds: the submitter's estimate times the class's
    /// moving average of measured run time divided by estimate. The estimate itself if no task of the class was timed.
    pub fn expected_run_s(&self, class: &str, estimate_s: f64) -> f64 {
        estimate_s * self.ratios.get(class).copied().unwrap_or(1.0)
    }
}

/// The number that stands for a priority in messages between controllers; 0 is the most urgent.
pub fn priority_number(priority: Priority) -> u32 {
    priority as u32
}

#[cfg(test)]
mod tests;
