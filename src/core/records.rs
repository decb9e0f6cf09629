//! What the state service keeps of jobs, and under which keys.

use crate::ids::{JobId, Revision};
use crate::time::WallTime;
use crate::wire::{JobPhase, JobSpec, Mutation, Precondition};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// A job that is not over is kept under `live/ID`, one that is over under `over/ID`.
pub const LIVE_PREFIX: &str = "live/";
pub const TERMINAL_PREFIX: &str = "over/";
/// Sets of done tasks: `bits/ID/ROW`.
pub const BITMAP_PREFIX: &str = "bits/";

pub fn live_key(id: &JobId) -> String {
    format!("{LIVE_PREFIX}{id}")
}
pub fn terminal_key(id: &JobId) -> String {
    format!("{TERMINAL_PREFIX}{id}")
}

/// Both keys must be absent for a job to be new.
pub fn absent_preconditions(id: &JobId) -> Vec<Precondition> {
    vec![Precondition { key: live_key(id), revision: 0 }, Precondition { key: terminal_key(id), revision: 0 }]
}

/// Nothing may have become of a live job since this revision of its record.
pub fn live_precondition(id: &JobId, revision: Revision) -> Precondition {
    Precondition { key: live_key(id), revision: revision.0 }
}

/// Changes that the end of a job takes.
pub const MUTATIONS_PER_TERMINATION: usize = 2;

/// Moves a job from those that are live to those that are over.
pub fn termination_mutations(id: &JobId, record: &TerminalRecord) -> [Mutation; MUTATIONS_PER_TERMINATION] {
    [Mutation::delete(live_key(id)), Mutation::put(terminal_key(id), json!(record))]
}

/// A job that is neither done nor cancelled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredLive", into = "StoredLive")]
pub struct LiveRecord {
    /// Time of day of the submission.
    pub at: WallTime,
    pub spec: JobSpec,
    /// The jobs that must be done before any task of this one starts.
    pub depends_on: Vec<JobId>,
}

/// The form in which a [`LiveRecord`] is stored. Versions that know nothing of awaited jobs can't read
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

/// Whether a stored live job awaits others, without reading all of it.
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
        match depends_on.is_empty() {
            true => StoredLive::Plain { at, spec },
            false => StoredLive::Waiting { at, waiting: DependentSpec { spec, depends_on } },
        }
    }
}

/// A job that is done or cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TerminalRecord {
    pub phase: JobPhase,
    pub tasks: u32,
    /// When it was done: the times of jobs that await it count from then. Earlier versions don't say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at: Option<WallTime>,
}

impl TerminalRecord {
    pub fn done(tasks: u32, at: WallTime) -> TerminalRecord {
        TerminalRecord { phase: JobPhase::Done, tasks, at: Some(at) }
    }

    pub fn cancelled(tasks: u32) -> TerminalRecord {
        TerminalRecord { phase: JobPhase::Aborted, tasks, at: None }
    }

    pub fn is_done(&self) -> bool {
        self.phase == JobPhase::Done
    }

    pub fn outcome(&self) -> JobOutcome {
        match self.phase {
            JobPhase::Done => JobOutcome::Done(self.at),
            _ => JobOutcome::Cancelled,
        }
    }
}

/// How a job has ended, as far as this is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobOutcome {
    Done(Option<WallTime>),
    Cancelled,
    /// It is over, one way or the other.
    Unknown,
}

#[cfg(test)]
mod tests;
