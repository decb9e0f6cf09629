//! The live jobs with their dependencies, and what the scheduler remembers of jobs that have ended.

use crate::core::dependencies::{DependencyGraph, InheritedConstraints, JobTiming};
use crate::core::jobs::{ClassRunTimes, Job};
use crate::core::records::JobOutcome;
use crate::ids::JobId;
use crate::time::{Millis, MonotonicTime};
use crate::wire::JobSpec;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Most ended jobs that are remembered, so that late messages about them are ignored.
const MAX_RECENTLY_TERMINATED: usize = 1024;

/// Most jobs that the key-value store is asked about at once.
const MAX_LOOKUPS: usize = 16;

/// After a look-up that found nothing, none is made for this long.
const LOOKUP_RETRY_INTERVAL: Millis = Millis(500);

/// The live jobs and their dependencies.
///
/// The dependency graph knows the dependencies of exactly the live jobs, and a job that has ended doesn't
/// come back while it is remembered.
pub(super) struct JobTable {
    /// The live jobs by id. They are added by [`JobTable::insert`] and removed by [`JobTable::terminate`]
    /// only.
    pub(super) live: BTreeMap<JobId, Job>,
    dependencies: DependencyGraph,
    /// The store is being asked how dependencies have ended.
    lookup_in_flight: bool,
    /// No look-up starts before then.
    next_lookup_at: MonotonicTime,
    /// The latest jobs that have ended, the oldest first.
    recently_terminated: VecDeque<JobId>,
    /// How long the tasks of each class of jobs really run.
    class_times: ClassRunTimes,
}

/// What the end of a job has changed.
pub(super) struct Termination {
    /// The job as it was; none: it wasn't live here.
    pub(super) job: Option<Job>,
    /// Whether other jobs depend on one job less now.
    pub(super) released_dependents: bool,
}

impl JobTable {
    /// A table without jobs.
    pub(super) fn new(now: MonotonicTime) -> JobTable {
        JobTable {
            live: BTreeMap::new(),
            dependencies: DependencyGraph::default(),
            lookup_in_flight: false,
            next_lookup_at: now,
            recently_terminated: VecDeque::new(),
            class_times: ClassRunTimes::default(),
        }
    }

    /// The expected run time of a job's task in seconds.
    pub(super) fn expected_run_s(&self, spec: &JobSpec) -> f64 {
        self.class_times.expected_run_s(&spec.class, spec.estimate_s)
    }

    /// A task of a live job has run for `ran_s` seconds.
    pub(super) fn learn_run_time(&mut self, id: &JobId, ran_s: f64) {
        if let Some(job) = self.live.get(id) {
            self.class_times.record(&job.spec.class, job.spec.estimate_s, ran_s);
        }
    }

    /// A live job.
    pub(super) fn get(&self, id: &JobId) -> Option<&Job> {
        self.live.get(id)
    }

    /// A live job, to change it.
    pub(super) fn get_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        self.live.get_mut(id)
    }

    /// All live jobs, in the order of their ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.live.iter()
    }

    /// How many jobs are live.
    pub(super) fn len(&self) -> usize {
        self.live.len()
    }

    /// Whether a job is live or has ended lately. The watch may tell of a job's acceptance after its end has
    /// come by another way.
    pub(super) fn is_known(&self, id: &JobId) -> bool {
        self.live.contains_key(id) || self.recently_terminated.contains(id)
    }

    /// Adds a live job that isn't known yet.
    pub(super) fn insert(&mut self, id: JobId, job: Job) {
        self.dependencies.add(id, &job.depends_on, |dependency| self.live.contains_key(dependency));
        self.live.insert(id, job);
    }

    /// A job has ended, live here or not. Its dependents no longer wait for it once it is done, and have to
    /// be cancelled too if it was cancelled.
    pub(super) fn terminate(&mut self, id: &JobId, outcome: JobOutcome) -> Termination {
        self.remember_terminated(id);
        let released_dependents = self.settle_dependents(id, outcome);
        let job = self.live.remove(id);
        if let Some(job) = &job {
            self.dependencies.remove(id, &job.depends_on);
        }
        Termination { job, released_dependents }
    }

    fn remember_terminated(&mut self, id: &JobId) {
        if self.recently_terminated.contains(id) {
            return;
        }
        self.recently_terminated.push_back(*id);
        if self.recently_terminated.len() > MAX_RECENTLY_TERMINATED {
            self.recently_terminated.pop_front();
        }
    }

    /// Hands the outcome of a job to its dependents. Returns whether some of them no longer wait for it.
    fn settle_dependents(&mut self, id: &JobId, outcome: JobOutcome) -> bool {
        let mut released = false;
        for dependent in self.dependencies.record_outcome(id, outcome) {
            let Some(job) = self.live.get_mut(&dependent) else { continue };
            job.depends_on.remove(id);
            if let JobOutcome::Done(Some(at)) = outcome {
                job.startable_at = job.startable_at.max(at);
            }
            released = true;
        }
        released
    }

    /// Whether some live job depends on this one.
    pub(super) fn has_dependents(&self, id: &JobId) -> bool {
        self.dependencies.has_dependents(id)
    }

    /// Live jobs that have to be cancelled, as a job that they depend on was.
    pub(super) fn cascade_cancelled(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.dependencies.cascade_cancelled().filter_map(|id| Some((id, self.live.get(id)?)))
    }

    /// Starts a look-up of how dependencies have ended: the jobs to ask the store about. Empty: none is due.
    pub(super) fn start_lookup(&mut self, now: MonotonicTime) -> Vec<JobId> {
        if self.lookup_in_flight || now < self.next_lookup_at {
            return Vec::new();
        }
        let ids = self.dependencies.next_unresolved(MAX_LOOKUPS);
        self.lookup_in_flight = !ids.is_empty();
        ids
    }

    /// The look-up in flight has ended, and found jobs that have ended or none.
    pub(super) fn finish_lookup(&mut self, now: MonotonicTime, found: bool) {
        self.lookup_in_flight = false;
        if !found {
            self.next_lookup_at = now + LOOKUP_RETRY_INTERVAL;
        }
    }

    /// What each job inherits from its dependents, given the timing of each live job.
    pub(super) fn inherited(&self, timing: impl Fn(&Job) -> JobTiming) -> BTreeMap<JobId, InheritedConstraints> {
        self.dependencies.inherited_constraints(|id| self.live.get(id).map(&timing))
    }

    /// Sets what the live jobs inherit; those that aren't named inherit nothing. Returns the jobs whose
    /// priority has changed by it.
    pub(super) fn set_inherited(&mut self, mut inherited: BTreeMap<JobId, InheritedConstraints>) -> Vec<JobId> {
        let mut changed = Vec::new();
        for (id, job) in &mut self.live {
            let before = job.priority();
            job.inherited = inherited.remove(id);
            if job.priority() != before {
                changed.push(*id);
            }
        }
        changed
    }

    /// Live jobs whose record is no newer than this revision and that aren't among those listed at it.
    pub(super) fn missing_from(&self, listed: &BTreeSet<JobId>, revision: u64) -> Vec<JobId> {
        let missing = self.live.iter().filter(|(id, job)| !listed.contains(*id) && job.revision.0 <= revision);
        missing.map(|(id, _)| *id).collect()
    }
}

#[cfg(test)]
mod tests;
