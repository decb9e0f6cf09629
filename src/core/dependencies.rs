//! The dependency graph of the live jobs: which dependents the end of a job releases or cancels, and the
//! priority, deadlines and rank that a job inherits from its dependents.
//!
//! "Paper" is the publication that [`placement`](super::placement) cites.

use super::records::JobOutcome;
use crate::ids::JobId;
use crate::wire::Priority;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of SLO deadlines that a job inherits. The dependents in an ordinary pipeline have far fewer.
/// Without a limit, a graph in which both jobs of each level depend on both jobs of the level before would
/// double the number at each level.
const MAX_SLO_DEADLINES: usize = 64;

/// The dependencies of all live jobs, and the live jobs that have to be cancelled because of them.
#[derive(Default)]
pub struct DependencyGraph {
    /// For each job on which live jobs depend: these live jobs.
    dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// Jobs on which live jobs depend and of which it is not known whether they are live, done or cancelled. They
    /// have to be looked up in the key-value store.
    unresolved: BTreeSet<JobId>,
    /// The last job that [`Self::next_unresolved`] returned. Its next call starts with the job after this one.
    last_looked_up: Option<JobId>,
    /// Live jobs that have to be cancelled because a direct or transitive dependency was cancelled.
    cascade_cancelled: BTreeSet<JobId>,
}

/// The properties of a job from which its dependencies inherit their constraints.
#[derive(Clone, Debug, PartialEq)]
pub struct JobTiming {
    /// The job's own priority.
    pub priority: Priority,
    /// Seconds from now until the job's deadline. `None` if the job has no deadline.
    pub due_s: Option<f64>,
    /// Seconds from now until each time by which an SLO requires progress of the job.
    pub slo_deadlines: Vec<f64>,
    /// Expected run time of one task of the job, in seconds.
    pub run_s: f64,
    /// Expected time from the end of a dependency to the start of the job, in seconds: the paper's
    /// communication time.
    pub transfer_s: f64,
}

/// The constraints that a job inherits from its direct and transitive dependents.
#[derive(Clone, Debug, PartialEq)]
pub struct InheritedConstraints {
    /// The priority of the most urgent job among the direct and transitive dependents.
    pub priority: Priority,
    /// Latest finish of the job, in seconds from now, with which all its dependents can still meet their deadlines
    /// (paper, eq. 3). `None` if no dependent has a deadline.
    pub due_s: Option<f64>,
    /// The dependents' SLO deadlines, less the time that the dependents need, in seconds from now. Ascending,
    /// without duplicates, at most `MAX_SLO_DEADLINES`.
    pub slo_deadlines: Vec<f64>,
    /// The dependents' share of the job's rank (paper, eq. 1): the longest time that a chain of dependents
    /// takes, in seconds.
    pub rank_s: f64,
}

impl DependencyGraph {
    /// Adds a live job. Its dependencies for which `is_live` returns false have to be looked up in the key-value
    /// store. If one of its dependencies has to be cancelled, so has the job.
    pub fn add(&mut self, id: JobId, depends_on: &BTreeSet<JobId>, is_live: impl Fn(&JobId) -> bool) {
        self.unresolved.remove(&id);
        for dependency in depends_on {
            self.dependents.entry(*dependency).or_default().insert(id);
            if !is_live(dependency) {
                self.unresolved.insert(*dependency);
            }
        }
        if depends_on.iter().any(|dependency| self.cascade_cancelled.contains(dependency)) {
            self.cascade_cancel(id);
        }
    }

    /// Removes a job that is not live any more. `depends_on` are the dependencies that the job was still waiting for.
    pub fn remove(&mut self, id: &JobId, depends_on: &BTreeSet<JobId>) {
        self.cascade_cancelled.remove(id);
        for dependency in depends_on {
            let Some(dependents) = self.dependents.get_mut(dependency) else { continue };
            dependents.remove(id);
            if dependents.is_empty() {
                self.dependents.remove(dependency);
                self.unresolved.remove(dependency);
            }
        }
    }

    /// Records how a job has ended, whether or not the graph contains it as a live job. Returns the dependents that
    /// no longer wait for the job: all if the job was done, otherwise none. If it was cancelled, its dependents have
    /// to be cancelled as well; if its outcome is unknown, it has to be looked up in the key-value store.
    pub fn record_outcome(&mut self, id: &JobId, outcome: JobOutcome) -> BTreeSet<JobId> {
        let Some(dependents) = self.dependents.get(id) else { return BTreeSet::new() };
        match outcome {
            JobOutcome::Unknown => {
                self.unresolved.insert(*id);
                BTreeSet::new()
            }
            JobOutcome::Cancelled => {
                self.unresolved.remove(id);
                for dependent in dependents.clone() {
                    self.cascade_cancel(dependent);
                }
                BTreeSet::new()
            }
            JobOutcome::Done(_) => {
                self.unresolved.remove(id);
                self.dependents.remove(id).unwrap_or_default()
            }
        }
    }

    /// Marks a job and all its direct and transitive dependents as having to be cancelled.
    fn cascade_cancel(&mut self, id: JobId) {
        let mut pending = vec![id];
        while let Some(id) = pending.pop() {
            if self.cascade_cancelled.insert(id) {
                pending.extend(self.dependents.get(&id).into_iter().flatten());
            }
        }
    }

    /// Live jobs that have to be cancelled because a direct or transitive dependency was cancelled.
    pub fn cascade_cancelled(&self) -> impl Iterator<Item = &JobId> {
        self.cascade_cancelled.iter()
    }

    /// Whether any live job depends on the job.
    pub fn has_dependents(&self, id: &JobId) -> bool {
        self.dependents.contains_key(id)
    }

    /// The next jobs whose outcome is to be looked up in the key-value store, at most `limit`. Successive calls cycle
    /// through all jobs on which live jobs depend and whose state is not known.
    pub fn next_unresolved(&mut self, limit: usize) -> Vec<JobId> {
        let (later, earlier): (Vec<JobId>, Vec<JobId>) =
            self.unresolved.iter().partition(|id| Some(**id) > self.last_looked_up);
        let next: Vec<JobId> = later.into_iter().chain(earlier).take(limit).collect();
        self.last_looked_up = next.last().copied().or(self.last_looked_up);
        next
    }

    /// The constraints that each job inherits from its dependents, given the timing of each live job. Dependents
    /// that have to be cancelled pass on no constraints.
    pub fn inherited_constraints(
        &self,
        job_timing: impl Fn(&JobId) -> Option<JobTiming>,
    ) -> BTreeMap<JobId, InheritedConstraints> {
        let mut inherited_by_job: BTreeMap<JobId, InheritedConstraints> = BTreeMap::new();
        for id in self.dependents_first() {
            let inherited_from = |dependent: JobId| {
                let inherited = inherited_by_job.get(&dependent).cloned().unwrap_or_else(InheritedConstraints::none);
                Some(inherited.propagate(&job_timing(&dependent)?))
            };
            let dependents = self.live_dependents(&id);
            if let Some(inherited) = dependents.filter_map(inherited_from).reduce(InheritedConstraints::merge) {
                inherited_by_job.insert(id, inherited);
            }
        }
        inherited_by_job
    }

    /// All jobs that have dependents or are dependents, ordered so that each job comes after its dependents.
    fn dependents_first(&self) -> Vec<JobId> {
        let mut order = Vec::new();
        let mut seen = BTreeSet::new();
        // Depth-first search with an explicit stack, as recursion could overflow the call stack on long chains of
        // dependents. The flag of an entry says that all dependents of its job have been visited.
        let mut stack: Vec<(JobId, bool)> = self.dependents.keys().map(|id| (*id, false)).collect();
        while let Some((id, dependents_visited)) = stack.pop() {
            if dependents_visited {
                order.push(id);
            } else if seen.insert(id) {
                stack.push((id, true));
                stack.extend(self.live_dependents(&id).map(|dependent| (dependent, false)));
            }
        }
        order
    }

    /// The dependents of a job that do not have to be cancelled.
    fn live_dependents(&self, id: &JobId) -> impl Iterator<Item = JobId> {
        let dependents = self.dependents.get(id).into_iter().flatten().copied();
        dependents.filter(|dependent| !self.cascade_cancelled.contains(dependent))
    }
}

/// The earliest `MAX_SLO_DEADLINES` of the given SLO deadlines, in ascending order, without duplicates.
fn earliest(mut slo_deadlines: Vec<f64>) -> Vec<f64> {
    slo_deadlines.sort_by(f64::total_cmp);
    slo_deadlines.dedup();
    slo_deadlines.truncate(MAX_SLO_DEADLINES);
    slo_deadlines
}

impl InheritedConstraints {
    /// The constraints of a job without dependents.
    fn none() -> InheritedConstraints {
        InheritedConstraints { priority: Priority::Low, due_s: None, slo_deadlines: Vec::new(), rank_s: 0.0 }
    }

    /// The constraints that a job passes to its dependencies: the constraints that the job inherits itself (`self`)
    /// combined with its own timing, with all deadlines earlier by the time that the job needs.
    fn propagate(self, job_timing: &JobTiming) -> InheritedConstraints {
        let transfer_and_run_s = job_timing.run_s + job_timing.transfer_s;
        let due_s = self.due_s.into_iter().chain(job_timing.due_s).reduce(f64::min);
        InheritedConstraints {
            priority: self.priority.min(job_timing.priority),
            due_s: due_s.map(|due_s| due_s - transfer_and_run_s),
            slo_deadlines: earliest(
                self.slo_deadlines
                    .iter()
                    .chain(&job_timing.slo_deadlines)
                    .map(|due_s| due_s - transfer_and_run_s)
                    .collect(),
            ),
            rank_s: self.rank_s + transfer_and_run_s,
        }
    }

    /// Combines the constraints that a job inherits from two of its dependents, by taking the stricter value of each.
    fn merge(self, other: InheritedConstraints) -> InheritedConstraints {
        let slo_deadlines = earliest([self.slo_deadlines, other.slo_deadlines].concat());
        InheritedConstraints {
            priority: self.priority.min(other.priority),
            due_s: self.due_s.into_iter().chain(other.due_s).reduce(f64::min),
            slo_deadlines,
            rank_s: self.rank_s.max(other.rank_s),
        }
    }
}

#[cfg(test)]
mod tests;
