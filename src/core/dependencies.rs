//! Which live jobs depend on which others: what the end of a job means for its dependents, and what a job
//! inherits from them.

use super::records::JobOutcome;
use crate::ids::JobId;
use crate::wire::Priority;
use std::collections::{BTreeMap, BTreeSet};

/// Most SLO deadlines that a job inherits. All jobs after it in an ordinary pipeline have far fewer; without a
/// limit a ladder of jobs, each depending on both of the rung before, would double them at every rung.
const MAX_SLO_DEADLINES: usize = 64;

/// The dependencies of all live jobs, and which of these have to be cancelled.
#[derive(Default)]
pub struct DependencyGraph {
    /// For each job that others depend on, its live dependents.
    dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// Dependencies that aren't known to be live, nor how they have ended: the store has to be asked.
    unresolved: BTreeSet<JobId>,
    /// The last job that the store was asked about.
    asked_last: Option<JobId>,
    /// Live jobs that have to be cancelled, as a job that they depend on was, directly or through others.
    cascade_cancelled: BTreeSet<JobId>,
}

/// What a job adds to the deadlines and ranks of its dependencies.
#[derive(Clone, Debug, PartialEq)]
pub struct JobTiming {
    /// Its own priority.
    pub priority: Priority,
    /// Seconds left until its deadline.
    pub due_s: Option<f64>,
    /// Seconds left until each of its SLO deadlines.
    pub slo_deadlines: Vec<f64>,
    /// Expected seconds that its tasks run.
    pub run_s: f64,
    /// Seconds from the end of a dependency to its start: the paper's communication time.
    pub transfer_s: f64,
}

/// What a job inherits from its dependents.
#[derive(Clone, Debug, PartialEq)]
pub struct InheritedConstraints {
    /// The priority of the most urgent dependent, direct or not.
    pub priority: Priority,
    /// Sub-deadline of the paper's eq. 3, in seconds from now.
    pub due_s: Option<f64>,
    /// SLO deadlines, in seconds from now: the earliest first, each once.
    pub slo_deadlines: Vec<f64>,
    /// The dependents' part of the paper's rank (eq. 1), in seconds.
    pub rank_s: f64,
}

impl DependencyGraph {
    /// Adds a live job. `is_live` says which of its dependencies are live; the others are to be looked up.
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

    /// Removes a job that isn't live any more; these are the dependencies that it still had.
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

    /// Notes the outcome of a job, live or not. Returns the dependents that no longer wait for it: all of them
    /// if it was done, otherwise none. If it was cancelled its dependents have to be cancelled as well, if
    /// the outcome is unknown it is to be looked up.
    pub fn ended(&mut self, id: &JobId, outcome: JobOutcome) -> BTreeSet<JobId> {
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

    /// Marks a job and all its dependents, direct or not, as to be cancelled.
    fn cascade_cancel(&mut self, id: JobId) {
        let mut next = vec![id];
        while let Some(id) = next.pop() {
            if self.cascade_cancelled.insert(id) {
                next.extend(self.dependents.get(&id).into_iter().flatten());
            }
        }
    }

    /// Live jobs that have to be cancelled, as a job that they depend on was.
    pub fn cascade_cancelled(&self) -> impl Iterator<Item = &JobId> {
        self.cascade_cancelled.iter()
    }

    /// Whether some live job depends on this one.
    pub fn has_dependents(&self, id: &JobId) -> bool {
        self.dependents.contains_key(id)
    }

    /// The next jobs to look up, in turn.
    pub fn next_unresolved(&mut self, most: usize) -> Vec<JobId> {
        let (later, earlier): (Vec<JobId>, Vec<JobId>) =
            self.unresolved.iter().partition(|id| Some(**id) > self.asked_last);
        let next: Vec<JobId> = later.into_iter().chain(earlier).take(most).collect();
        self.asked_last = next.last().copied().or(self.asked_last);
        next
    }

    /// What each job inherits from its dependents, given the timing of each live job. Dependents that are to
    /// be cancelled don't count.
    pub fn inherit(&self, job_timing: impl Fn(&JobId) -> Option<JobTiming>) -> BTreeMap<JobId, InheritedConstraints> {
        let mut known: BTreeMap<JobId, InheritedConstraints> = BTreeMap::new();
        for id in self.dependents_first() {
            let from = |dependent: JobId| {
                let inherited = known.get(&dependent).cloned().unwrap_or_else(InheritedConstraints::none);
                Some(inherited.passed_on(&job_timing(&dependent)?))
            };
            let dependents = self.live_dependents(&id);
            if let Some(inherited) = dependents.filter_map(from).reduce(InheritedConstraints::merged) {
                known.insert(id, inherited);
            }
        }
        known
    }

    /// All jobs that have or are dependents, each after its dependents.
    fn dependents_first(&self) -> Vec<JobId> {
        let mut order = Vec::new();
        let mut seen = BTreeSet::new();
        // Depth first without recursion, as chains may be long; the flag says that the dependents are done.
        let mut open: Vec<(JobId, bool)> = self.dependents.keys().map(|id| (*id, false)).collect();
        while let Some((id, dependents_done)) = open.pop() {
            if dependents_done {
                order.push(id);
            } else if seen.insert(id) {
                open.push((id, true));
                open.extend(self.live_dependents(&id).map(|dependent| (dependent, false)));
            }
        }
        order
    }

    /// The dependents of a job that aren't to be cancelled.
    fn live_dependents(&self, id: &JobId) -> impl Iterator<Item = JobId> {
        let dependents = self.dependents.get(id).into_iter().flatten().copied();
        dependents.filter(|dependent| !self.cascade_cancelled.contains(dependent))
    }
}

/// The earliest SLO deadlines, each once, at most [`MAX_SLO_DEADLINES`].
fn earliest(mut slo_deadlines: Vec<f64>) -> Vec<f64> {
    slo_deadlines.sort_by(f64::total_cmp);
    slo_deadlines.dedup();
    slo_deadlines.truncate(MAX_SLO_DEADLINES);
    slo_deadlines
}

impl InheritedConstraints {
    /// What a job without dependents inherits.
    fn none() -> InheritedConstraints {
        InheritedConstraints { priority: Priority::Low, due_s: None, slo_deadlines: Vec::new(), rank_s: 0.0 }
    }

    /// What the dependencies of a job inherit from it, given what it inherits itself and its own timing.
    fn passed_on(self, job_timing: &JobTiming) -> InheritedConstraints {
        let least_s = job_timing.run_s + job_timing.transfer_s;
        let due_s = self.due_s.into_iter().chain(job_timing.due_s).reduce(f64::min);
        InheritedConstraints {
            priority: self.priority.min(job_timing.priority),
            due_s: due_s.map(|due_s| due_s - least_s),
            slo_deadlines: earliest(
                self.slo_deadlines.iter().chain(&job_timing.slo_deadlines).map(|due_s| due_s - least_s).collect(),
            ),
            rank_s: self.rank_s + least_s,
        }
    }

    /// What a job inherits from two dependents.
    fn merged(self, other: InheritedConstraints) -> InheritedConstraints {
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
