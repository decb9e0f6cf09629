//! What the key-value store holds of jobs, and under which keys.
//!
//! Names and forms here are stored, so they can't change: versions before and after must read each other's
//! records. The words of the platform's pages (`over/`, `bits/`, `awaits`) appear only here.

use crate::ids::{JobId, Revision};
use crate::time::WallTime;
use crate::wire::{JobPhase, JobSpec, Mutation, Precondition};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// A job that hasn't ended is stored under `live/ID`.
pub const LIVE_PREFIX: &str = "live/";
/// A job that has ended is stored under `over/ID`.
pub const TERMINAL_PREFIX: &str = "over/";
/// The chunks of a completion bitmap are stored under `bits/ID/CHUNK`.
pub const BITMAP_PREFIX: &str = "bits/";

/// The key of a live job's [`LiveRecord`].
pub fn live_key(id: &JobId) -> String {
    format!("{LIVE_PREFIX}{id}")
}

/// The key of an ended job's [`TerminalRecord`].
pub fn terminal_key(id: &JobId) -> String {
    format!("{TERMINAL_PREFIX}{id}")
}

/// The preconditions on which a job is accepted: it was never accepted before, so both keys are absent.
pub fn absent_preconditions(id: &JobId) -> Vec<Precondition> {
    vec![Precondition { key: live_key(id), revision: 0 }, Precondition { key: terminal_key(id), revision: 0 }]
}

/// The precondition that a live job's record hasn't changed since this revision, and that it hasn't ended.
pub fn live_precondition(id: &JobId, revision: Revision) -> Precondition {
    Precondition { key: live_key(id), revision: revision.0 }
}

/// How many mutations [`termination_mutations`] gives.
pub const MUTATIONS_PER_TERMINATION: usize = 2;

/// The mutations that end a job: its live record is replaced by a terminal one.
pub fn termination_mutations(id: &JobId, record: &TerminalRecord) -> [Mutation; MUTATIONS_PER_TERMINATION] {
    [Mutation::delete(live_key(id)), Mutation::put(terminal_key(id), json!(record))]
}

/// A job that is neither done nor cancelled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredLive", into = "StoredLive")]
pub struct LiveRecord {
    /// When it was submitted.
    pub at: WallTime,
    /// What was submitted.
    pub spec: JobSpec,
    /// The jobs that must be done before any task of this one starts.
    pub depends_on: Vec<JobId>,
}

/// The form in which a [`LiveRecord`] is stored. Versions that know nothing of dependencies can't read
/// `Waiting`, and leave such a job alone instead of starting it too early.
#[derive(Clone, Serialize, Deserialize)]
#[serde(untagged)]
enum StoredLive {
    Plain { at: WallTime, spec: JobSpec },
    Waiting { at: WallTime, waiting: DependentSpec },
}

#[derive(Clone, Serialize, Deserialize)]
struct DependentSpec {
    spec: JobSpec,
    #[serde(rename = "awaits")]
    depends_on: Vec<JobId>,
}

/// Whether a stored live job depends on others, told without reading all of its record.
pub fn has_dependencies(stored: &Value) -> bool {
    stored.get("waiting").is_some()
}

impl From<StoredLive> for LiveRecord {
    fn from(stored: StoredLive) -> LiveRecord {
        match stored {
            StoredLive::Plain { at, spec } => LiveRecord { at, spec, depends_on: Vec::new() },
            StoredLive::Waiting { at, waiting } => {
                LiveRecord { at, spec: waiting.spec, depends_on: waiting.depends_on }
            }
        }
    }
}

impl From<LiveRecord> for StoredLive {
    fn from(record: LiveRecord) -> StoredLive {
        let LiveRecord { at, spec, depends_on } = record;
        if depends_on.is_empty() {
            StoredLive::Plain { at, spec }
        } else {
            StoredLive::Waiting { at, waiting: DependentSpec { spec, depends_on } }
        }
    }
}

/// A job that is done or cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TerminalRecord {
    /// `Done` or `Aborted`.
    pub phase: JobPhase,
    /// How many tasks it had.
    pub tasks: u32,
    /// When it was done, from which the times of its dependents count. Absent for cancelled jobs and in
    /// records of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at: Option<WallTime>,
}

impl TerminalRecord {
    /// The record of a job whose tasks were all done at this time.
    pub fn done(tasks: u32, at: WallTime) -> TerminalRecord {
        TerminalRecord { phase: JobPhase::Done, tasks, at: Some(at) }
    }

    /// The record of a job that was cancelled.
    pub fn cancelled(tasks: u32) -> TerminalRecord {
        TerminalRecord { phase: JobPhase::Aborted, tasks, at: None }
    }

    /// Whether the job was done, not cancelled.
    pub fn is_done(&self) -> bool {
        self.phase == JobPhase::Done
    }

    /// How the job ended.
    pub fn outcome(&self) -> JobOutcome {
        match self.phase {
            JobPhase::Done => JobOutcome::Done(self.at),
            JobPhase::Queued | JobPhase::Running | JobPhase::Aborted => JobOutcome::Cancelled,
        }
    }
}

/// How a job has ended, as far as this is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobOutcome {
    /// All its tasks were done, at this time if its record says when.
    Done(Option<WallTime>),
    /// It was cancelled, by a user or with a job that it depends on.
    Cancelled,
    /// It was done or cancelled: the watch says only that its live record is gone.
    Unknown,
}

#[cfg(test)]
mod tests;
