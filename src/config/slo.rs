//! Service-level objectives (SLOs; PROTOCOL, "How aims are counted") and the deadlines that they set for jobs.

use super::Settings;
use serde::Deserialize;

/// The kind of a service-level objective: which time the objective limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum ObjectiveKind {
    /// Tasks of a class start within [`Objective::within_s`] after all dependencies of their job are done.
    Wait,
    /// Jobs of a class are done within [`Objective::within_s`] after all their dependencies are done.
    Finished,
    /// Jobs of a class are done within [`Objective::deadline_factor`] times their deadline.
    Deadline,
    /// Tasks of jobs within their team's guarantee, of any class, start within [`Objective::within_s`] after all
    /// dependencies of their job are done.
    Guarantee,
    /// A kind that this version of the program doesn't know; the objective is ignored.
    Unknown,
}

impl From<String> for ObjectiveKind {
    fn from(name: String) -> ObjectiveKind {
        match name.as_str() {
            "wait" => ObjectiveKind::Wait,
            "finished" => ObjectiveKind::Finished,
            "deadline" => ObjectiveKind::Deadline,
            "guarantee" => ObjectiveKind::Guarantee,
            _ => ObjectiveKind::Unknown,
        }
    }
}

/// A service-level objective.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// Which time the objective limits: until a task starts, until a job is done, or a job's time relative to its
    /// deadline.
    pub kind: ObjectiveKind,
    /// Class of the jobs that the objective applies to. Objectives of kind [`ObjectiveKind::Guarantee`] apply to all
    /// classes and leave the class empty.
    #[serde(default)]
    pub class: String,
    /// Time limit in seconds; unused by [`ObjectiveKind::Deadline`].
    #[serde(default)]
    pub within_s: f64,
    /// Only for [`ObjectiveKind::Deadline`]: the factor by which the job's deadline is multiplied.
    #[serde(rename = "times", default = "default_deadline_factor")]
    pub deadline_factor: f64,
}

fn default_deadline_factor() -> f64 {
    1.0
}

/// Ages of a job, from the two points in time that its SLO deadlines are counted from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobAges {
    /// Seconds since the job was submitted.
    pub since_submission_s: f64,
    /// Seconds since the job could start, that is, since all its dependencies were done.
    pub since_startable_s: f64,
}

impl Settings {
    /// Seconds within which a task of the class should start, by the strictest objective that applies. `guaranteed`
    /// states whether the task's job is within its team's guarantee. Returns `None` if no objective applies.
    pub fn start_slo_s(&self, class: &str, guaranteed: bool) -> Option<f64> {
        let is_applicable = |objective: &&Objective| match objective.kind {
            ObjectiveKind::Wait => objective.class == class,
            ObjectiveKind::Guarantee => guaranteed,
            ObjectiveKind::Finished | ObjectiveKind::Deadline | ObjectiveKind::Unknown => false,
        };
        self.cluster.objectives.iter().filter(is_applicable).map(|objective| objective.within_s).reduce(f64::min)
    }

    /// The times by which a job of the class should end according to each objective of the class, in seconds from now
    /// and in no particular order; negative if the time has passed. `run_s` is the expected run time of a task.
    ///
    /// Objectives on deadlines count from the job's submission, all others from the time at which the job could start.
    pub fn slo_deadlines(&self, class: &str, deadline_s: Option<f64>, ages: JobAges, run_s: f64) -> Vec<f64> {
        let remaining_s = |objective: &Objective| match objective.kind {
            ObjectiveKind::Finished => Some(objective.within_s - ages.since_startable_s),
            // A limit on a task's start is treated as a limit on its end that is one run time later.
            ObjectiveKind::Wait => Some(objective.within_s + run_s - ages.since_startable_s),
            ObjectiveKind::Deadline | ObjectiveKind::Guarantee | ObjectiveKind::Unknown => None,
        };
        let mut slo_deadlines: Vec<f64> = self.objectives_of(class).filter_map(remaining_s).collect();
        slo_deadlines.extend(self.deadline_multiples(class, deadline_s, ages.since_submission_s));
        slo_deadlines
    }

    /// Seconds until the job's deadline and until each multiple of the deadline that is an objective of the job's
    /// class; negative if the time has passed. Empty if the job has no deadline. `deadline_s` counts from the
    /// submission, which was `since_submission_s` seconds ago.
    pub fn deadline_multiples(&self, class: &str, deadline_s: Option<f64>, since_submission_s: f64) -> Vec<f64> {
        let Some(deadline_s) = deadline_s else { return Vec::new() };
        let objectives = self.objectives_of(class).filter(|objective| objective.kind == ObjectiveKind::Deadline);
        let multiples = objectives.map(|objective| deadline_s * objective.deadline_factor);
        multiples.chain([deadline_s]).map(|due_s| due_s - since_submission_s).collect()
    }

    fn objectives_of(&self, class: &str) -> impl Iterator<Item = &Objective> {
        self.cluster.objectives.iter().filter(move |objective| objective.class == class)
    }
}

/// The SLO deadline that the planner should aim at for a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NextSlo {
    /// Seconds until the job's earliest SLO deadline that can still be met; `None` if there is none.
    pub deadline_s: Option<f64>,
    /// Number of the job's different SLO deadlines that can no longer be met.
    pub missed: u32,
}

/// Selects the earliest of the SLO deadlines, given in seconds from now, that a job can still meet if it starts now and
/// runs for `run_s` seconds.
pub fn next_slo_deadline(mut slo_deadlines: Vec<f64>, run_s: f64) -> NextSlo {
    slo_deadlines.sort_by(f64::total_cmp);
    slo_deadlines.dedup();
    let missed = slo_deadlines.iter().filter(|deadline_s| **deadline_s < run_s).count();
    NextSlo { deadline_s: slo_deadlines.get(missed).copied(), missed: missed as u32 }
}
