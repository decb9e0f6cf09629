//! Service-level objectives (PROTOCOL, "How aims are counted") and the deadlines that follow from them.

use super::Settings;
use serde::Deserialize;

/// What an objective is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum ObjectiveKind {
    /// Tasks of a class start within [`Objective::within_s`].
    Wait,
    /// Jobs of a class are done within [`Objective::within_s`].
    Finished,
    /// Jobs of a class are done within [`Objective::times`] their deadline.
    Deadline,
    /// Work within a team's guarantee, of any class, starts within [`Objective::within_s`].
    Guarantee,
    /// One that this version doesn't know and ignores.
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

/// A service-level objective of the users.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// What it is about.
    pub kind: ObjectiveKind,
    /// The class of jobs that it is for; empty where it is for a guarantee.
    #[serde(default)]
    pub class: String,
    /// Seconds, of the kinds that say so.
    #[serde(default)]
    pub within_s: f64,
    /// Of an objective on deadlines: how many times the job's deadline.
    #[serde(default = "once")]
    pub times: f64,
}

fn once() -> f64 {
    1.0
}

/// Times that SLO deadlines count from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobAges {
    /// Seconds since the job was submitted.
    pub submitted_s: f64,
    /// Seconds since the job could start, as all that it depends on was done.
    pub startable_s: f64,
}

impl Settings {
    /// The most seconds until a task of the class should have started, if an objective says so.
    pub fn start_slo_s(&self, class: &str, guaranteed: bool) -> Option<f64> {
        let applies = |objective: &&Objective| match objective.kind {
            ObjectiveKind::Wait => objective.class == class,
            ObjectiveKind::Guarantee => guaranteed,
            ObjectiveKind::Finished | ObjectiveKind::Deadline | ObjectiveKind::Unknown => false,
        };
        self.cluster.objectives.iter().filter(applies).map(|objective| objective.within_s).reduce(f64::min)
    }

    /// In how many seconds a job of the class should end by each of its objectives, in no particular order.
    /// Deadlines count from the submission, all else from when the job could start.
    pub fn slo_deadlines(&self, class: &str, deadline_s: Option<f64>, ages: JobAges, run_s: f64) -> Vec<f64> {
        let left_s = |objective: &Objective| match objective.kind {
            ObjectiveKind::Finished => Some(objective.within_s - ages.startable_s),
            // An objective on starting is one on finishing, a run later.
            ObjectiveKind::Wait => Some(objective.within_s + run_s - ages.startable_s),
            ObjectiveKind::Deadline | ObjectiveKind::Guarantee | ObjectiveKind::Unknown => None,
        };
        let mut slo_deadlines: Vec<f64> = self.objectives_of(class).filter_map(left_s).collect();
        slo_deadlines.extend(self.deadlines(class, deadline_s, ages.submitted_s));
        slo_deadlines
    }

    /// Seconds left until the deadline of a job, and until each multiple of it that its class has an objective
    /// for. Empty for a job without a deadline.
    pub fn deadlines(&self, class: &str, deadline_s: Option<f64>, submitted_s: f64) -> Vec<f64> {
        let Some(deadline_s) = deadline_s else { return Vec::new() };
        let objectives = self.objectives_of(class).filter(|objective| objective.kind == ObjectiveKind::Deadline);
        let multiples = objectives.map(|objective| deadline_s * objective.times);
        multiples.chain([deadline_s]).map(|due_s| due_s - submitted_s).collect()
    }

    fn objectives_of(&self, class: &str) -> impl Iterator<Item = &Objective> {
        self.cluster.objectives.iter().filter(move |objective| objective.class == class)
    }
}

/// The SLO deadline that a job should be planned for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NextSlo {
    /// Seconds until the first SLO deadline that can still be met; none: there is no such one.
    pub deadline_s: Option<f64>,
    /// How many different SLO deadlines can't be met any more.
    pub missed: u32,
}

/// The first of several SLO deadlines, in seconds from now, that a job with a run time of `run_s` can still
/// meet.
pub fn next_slo_deadline(mut slo_deadlines: Vec<f64>, run_s: f64) -> NextSlo {
    slo_deadlines.sort_by(f64::total_cmp);
    slo_deadlines.dedup();
    let missed = slo_deadlines.iter().filter(|deadline_s| **deadline_s < run_s).count();
    NextSlo { deadline_s: slo_deadlines.get(missed).copied(), missed: missed as u32 }
}
