//! Which live jobs await which others, as the leader keeps it: what the end of a job means to the jobs
//! after it, and what a job inherits from them.

use super::records::JobOutcome;
use crate::ids::JobId;
use crate::wire::Priority;
use std::collections::{BTreeMap, BTreeSet};

/// Most goals that a job inherits: those of all jobs after it in an ordinary pipeline are far fewer.
const MAX_SLO_DEADLINES: usize = 64;

#[derive(Default)]
pub struct DependencyGraph {
    /// For each awaited job, the live jobs that await it.
    successors: BTreeMap<JobId, BTreeSet<JobId>>,
    /// Awaited jobs that aren't known to be live, nor how they have ended: the state service is asked.
    unresolved: BTreeSet<JobId>,
    /// The last job that the state service was asked about.
    asked_last: Option<JobId>,
    /// Live jobs that a cancelled one must take with it.
    cascade_cancelled: BTreeSet<JobId>,
}

/// What a job brings into the deadlines and ranks of the jobs before it.
#[derive(Clone, Debug, PartialEq)]
pub struct JobTiming {
    pub priority: Priority,
    /// Seconds left until its deadline.
    pub due_s: Option<f64>,
    /// Seconds left until each of its aims on finishing.
    pub slo_deadlines: Vec<f64>,
    /// The least time that its tasks run.
    pub run_s: f64,
    /// The time from the end of an awaited job to its start: the paper's communication time.
    pub transfer_s: f64,
}

/// What a job takes over from the jobs that need it.
#[derive(Clone, Debug, PartialEq)]
pub struct InheritedConstraints {
    pub priority: Priority,
    /// Sub-deadline of the paper's eq. 3, in seconds from now.
    pub due_s: Option<f64>,
    pub slo_deadlines: Vec<f64>,
    /// The successors' part of the paper's rank (eq. 1).
    pub rank_s: f64,
}

impl DependencyGraph {
    /// A job has come to be known as live; `is_live` tells of others.
    pub fn add(&mut self, id: JobId, depends_on: &BTreeSet<JobId>, is_live: impl Fn(&JobId) -> bool) {
        self.unresolved.remove(&id);
        for dependency in depends_on {
            self.successors.entry(*dependency).or_default().insert(id);
            if !is_live(dependency) {
                self.unresolved.insert(*dependency);
            }
        }
        if depends_on.iter().any(|dependency| self.cascade_cancelled.contains(dependency)) {
            self.cascade_cancel(id);
        }
    }

    /// A job is not live any more; it was still awaiting these.
    pub fn remove(&mut self, id: &JobId, depends_on: &BTreeSet<JobId>) {
        self.cascade_cancelled.remove(id);
        for dependency in depends_on {
            let Some(successors) = self.successors.get_mut(dependency) else { continue };
            successors.remove(id);
            if successors.is_empty() {
                self.successors.remove(dependency);
                self.unresolved.remove(dependency);
            }
        }
    }

    /// A job has ended. Returns the jobs that need not await it any more.
    pub fn ended(&mut self, id: &JobId, outcome: JobOutcome) -> BTreeSet<JobId> {
        let Some(successors) = self.successors.get(id) else { return BTreeSet::new() };
        match outcome {
            JobOutcome::Unknown => {
                self.unresolved.insert(*id);
                BTreeSet::new()
            }
            JobOutcome::Cancelled => {
                self.unresolved.remove(id);
                for successor in successors.clone() {
                    self.cascade_cancel(successor);
                }
                BTreeSet::new()
            }
            JobOutcome::Done(_) => {
                self.unresolved.remove(id);
                self.successors.remove(id).unwrap_or_default()
            }
        }
    }

    /// Marks a job and all that need it, directly or through others, as to be cancelled.
    fn cascade_cancel(&mut self, id: JobId) {
        let mut next = vec![id];
        while let Some(id) = next.pop() {
            if self.cascade_cancelled.insert(id) {
                next.extend(self.successors.get(&id).into_iter().flatten());
            }
        }
    }

    /// Live jobs that have to be cancelled as one that they need was.
    pub fn cascade_cancelled(&self) -> impl Iterator<Item = &JobId> {
        self.cascade_cancelled.iter()
    }

    /// Whether some live job awaits this one.
    pub fn has_dependents(&self, id: &JobId) -> bool {
        self.successors.contains_key(id)
    }

    /// The next jobs to ask the state service about; all get their turn.
    pub fn next_unresolved(&mut self, most: usize) -> Vec<JobId> {
        let (later, earlier): (Vec<JobId>, Vec<JobId>) =
            self.unresolved.iter().partition(|id| Some(**id) > self.asked_last);
        let next: Vec<JobId> = later.into_iter().chain(earlier).take(most).collect();
        self.asked_last = next.last().copied().or(self.asked_last);
        next
    }

    /// What each awaited job takes over from the jobs that need it, given what is known of each live job.
    pub fn inherit(&self, job_timing: impl Fn(&JobId) -> Option<JobTiming>) -> BTreeMap<JobId, InheritedConstraints> {
        let mut known: BTreeMap<JobId, InheritedConstraints> = BTreeMap::new();
        for id in self.last_jobs_first() {
            let of = |successor: JobId| {
                let after = known.get(&successor).cloned().unwrap_or_else(InheritedConstraints::nothing);
                Some(after.before(&job_timing(&successor)?))
            };
            if let Some(inherited) = self.wanting(&id).filter_map(of).reduce(InheritedConstraints::joined) {
                known.insert(id, inherited);
            }
        }
        known
    }

    /// All jobs that are awaited or await, each after those that need it.
    fn last_jobs_first(&self) -> Vec<JobId> {
        let mut order = Vec::new();
        let mut seen = BTreeSet::new();
        // Depth first without recursion, as chains may be long; the flag says that those after are through.
        let mut open: Vec<(JobId, bool)> = self.successors.keys().map(|id| (*id, false)).collect();
        while let Some((id, through)) = open.pop() {
            if through {
                order.push(id);
            } else if seen.insert(id) {
                open.push((id, true));
                open.extend(self.wanting(&id).map(|successor| (successor, false)));
            }
        }
        order
    }

    /// The jobs that still want this one done.
    fn wanting(&self, id: &JobId) -> impl Iterator<Item = JobId> {
        self.successors.get(id).into_iter().flatten().copied().filter(|s| !self.cascade_cancelled.contains(s))
    }
}

/// The goals that come first, each once. Without a limit a ladder of jobs, each awaiting both of the rung
/// before, would double them at every rung.
fn tightest(mut slo_deadlines: Vec<f64>) -> Vec<f64> {
    slo_deadlines.sort_by(f64::total_cmp);
    slo_deadlines.dedup();
    slo_deadlines.truncate(MAX_SLO_DEADLINES);
    slo_deadlines
}

impl InheritedConstraints {
    /// What a job inherits that no other needs.
    fn nothing() -> InheritedConstraints {
        InheritedConstraints { priority: Priority::Low, due_s: None, slo_deadlines: Vec::new(), rank_s: 0.0 }
    }

    /// What the jobs before a stage inherit, given what the stage itself does.
    fn before(self, job_timing: &JobTiming) -> InheritedConstraints {
        let least_s = job_timing.run_s + job_timing.transfer_s;
        let due_s = self.due_s.into_iter().chain(job_timing.due_s).reduce(f64::min);
        InheritedConstraints {
            priority: self.priority.min(job_timing.priority),
            due_s: due_s.map(|due_s| due_s - least_s),
            slo_deadlines: tightest(
                self.slo_deadlines.iter().chain(&job_timing.slo_deadlines).map(|goal| goal - least_s).collect(),
            ),
            rank_s: self.rank_s + least_s,
        }
    }

    /// What a job inherits from two successors.
    fn joined(self, other: InheritedConstraints) -> InheritedConstraints {
        let slo_deadlines = tightest([self.slo_deadlines, other.slo_deadlines].concat());
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
