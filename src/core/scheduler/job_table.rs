//! The live jobs, their dependencies, and the ids of recently ended jobs.

use crate::core::dependencies::{DependencyGraph, InheritedConstraints, JobTiming};
use crate::core::jobs::{ClassRunTimes, Job};
use crate::core::records::JobOutcome;
use crate::ids::JobId;
use crate::time::{Millis, MonotonicTime};
use crate::wire::JobSpec;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Limit on the ended jobs whose ids are kept, so that late messages about these jobs are ignored.
const MAX_RECENTLY_TERMINATED: usize = 1024;

/// Limit on the jobs whose outcomes are read in one lookup in the key-value store.
const MAX_LOOKUPS: usize = 16;

/// Delay until the next lookup of job outcomes after one that found no ended job.
const LOOKUP_RETRY_INTERVAL: Millis = Millis(500);

/// The live jobs and their dependencies.
///
/// The dependency graph holds the dependencies of exactly the live jobs. A job that has ended is not inserted again
/// while it is among the last [`MAX_RECENTLY_TERMINATED`] ended jobs.
pub(super) struct JobTable {
    /// The live jobs by id. Only [`JobTable::insert`] adds jobs and only [`JobTable::terminate`] removes them.
    pub(super) live: BTreeMap<JobId, Job>,
    dependencies: DependencyGraph,
    /// Whether a lookup of the outcomes of dependencies is in flight.
    lookup_in_flight: bool,
    /// No lookup of the outcomes of dependencies starts before this time.
    next_lookup_at: MonotonicTime,
    /// The most recently ended jobs, oldest first.
    recently_terminated: VecDeque<JobId>,
    /// Observed run times of the tasks of each job class.
    class_times: ClassRunTimes,
}

/// The effects of a job's end on the table.
pub(super) struct Termination {
    /// The removed job; `None` if the job that ended was not live in this table.
    pub(super) job: Option<Job>,
    /// Whether live jobs depended on the ended job and no longer do.
    pub(super) released_dependents: bool,
}

impl JobTable {
    /// Creates an empty table.
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
        self.class_times.expected_run_s(&spec.class, spec.estimated_run_s)
    }

    /// Records that a task of a live job has run for `ran_s` seconds.
    pub(super) fn record_run_time(&mut self, id: &JobId, ran_s: f64) {
        if let Some(job) = self.live.get(id) {
            self.class_times.record(&job.spec.class, job.spec.estimated_run_s, ran_s);
        }
    }

    /// The live job with this id, if there is one.
    pub(super) fn get(&self, id: &JobId) -> Option<&Job> {
        self.live.get(id)
    }

    /// Mutable access to the live job with this id.
    pub(super) fn get_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        self.live.get_mut(id)
    }

    /// All live jobs, in the order of their ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.live.iter()
    }

    /// Number of live jobs.
    pub(super) fn len(&self) -> usize {
        self.live.len()
    }

    /// Whether a job is live or ended recently. The watch on the store may report a job's acceptance after its end
    /// has become known by other means.
    pub(super) fn is_known(&self, id: &JobId) -> bool {
        self.live.contains_key(id) || self.recently_terminated.contains(id)
    }

    /// Adds a live job that is not known yet.
    pub(super) fn insert(&mut self, id: JobId, job: Job) {
        self.dependencies.add(id, &job.depends_on, |dependency| self.live.contains_key(dependency));
        self.live.insert(id, job);
    }

    /// Records the end of a job, which need not be live in this table. If it is done, its dependents no longer wait for
    /// it; if it was cancelled, they have to be cancelled as well.
    pub(super) fn terminate(&mut self, id: &JobId, outcome: JobOutcome) -> Termination {
        self.remember_terminated(id);
        let released_dependents = self.apply_outcome_to_dependents(id, outcome);
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

    /// Applies the outcome of a job to its dependents. Returns whether any of them no longer waits for it.
    fn apply_outcome_to_dependents(&mut self, id: &JobId, outcome: JobOutcome) -> bool {
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

    /// Whether any live job depends on the job with this id.
    pub(super) fn has_dependents(&self, id: &JobId) -> bool {
        self.dependencies.has_dependents(id)
    }

    /// Live jobs that have to be cancelled because a direct or transitive dependency was cancelled.
    pub(super) fn cascade_cancelled(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.dependencies.cascade_cancelled().filter_map(|id| Some((id, self.live.get(id)?)))
    }

    /// Starts a lookup of the outcomes of dependencies and returns the jobs to look up. The list is empty if no lookup
    /// is due.
    pub(super) fn start_lookup(&mut self, now: MonotonicTime) -> Vec<JobId> {
        if self.lookup_in_flight || now < self.next_lookup_at {
            return Vec::new();
        }
        let ids = self.dependencies.next_unresolved(MAX_LOOKUPS);
        self.lookup_in_flight = !ids.is_empty();
        ids
    }

    /// Records the end of the lookup in flight. `found` says whether it found any job that has ended.
    pub(super) fn finish_lookup(&mut self, now: MonotonicTime, found: bool) {
        self.lookup_in_flight = false;
        if !found {
            self.next_lookup_at = now + LOOKUP_RETRY_INTERVAL;
        }
    }

    /// The constraints (priority, deadlines and rank) that each job inherits from its dependents, given the timing of
    /// each live job.
    pub(super) fn inherited(&self, timing: impl Fn(&Job) -> JobTiming) -> BTreeMap<JobId, InheritedConstraints> {
        self.dependencies.inherited_constraints(|id| self.live.get(id).map(&timing))
    }

    /// Sets the constraints that live jobs inherit from their dependents; jobs missing from `inherited` inherit none.
    /// Returns the jobs whose priority has changed.
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

    /// Live jobs that are missing from the list of jobs stored at `revision`. Jobs whose record was stored after that
    /// revision do not count, as they cannot be in the list.
    pub(super) fn missing_from(&self, listed: &BTreeSet<JobId>, revision: u64) -> Vec<JobId> {
        let missing = self.live.iter().filter(|(id, job)| !listed.contains(*id) && job.revision.0 <= revision);
        missing.map(|(id, _)| *id).collect()
    }
}

#[cfg(test)]
mod tests;
