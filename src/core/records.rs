//! The records and keys of jobs in the key-value store.
//!
//! Key prefixes, field names and the shape of the records must not change: earlier and later versions must be
//! able to read each other's records. The stored names (`over/`, `bits/`, `awaits`) are prescribed and differ
//! from the names of the Rust items.

use crate::ids::{JobId, Revision};
use crate::time::WallTime;
use crate::wire::{JobPhase, JobSpec, Mutation, Precondition};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Key prefix of live jobs, which are stored under `live/ID`.
pub const LIVE_PREFIX: &str = "live/";
/// Key prefix of jobs that have ended, which are stored under `over/ID`.
pub const TERMINAL_PREFIX: &str = "over/";
/// Key prefix of the chunks of completion bitmaps, which are stored under `bits/ID/CHUNK`.
pub const BITMAP_PREFIX: &str = "bits/";
/// Key that is written along with each write of completion bitmaps. Such a write is conditional on the key's revision,
/// so a copy of it that arrives late fails and can't replace a newer bitmap. The value has no meaning.
pub const BITMAP_SEQUENCE_KEY: &str = "ctl/bitmaps";

/// The key of a live job's [`LiveRecord`].
pub fn live_key(id: &JobId) -> String {
    format!("{LIVE_PREFIX}{id}")
}

/// The key of an ended job's [`TerminalRecord`].
pub fn terminal_key(id: &JobId) -> String {
    format!("{TERMINAL_PREFIX}{id}")
}

/// The preconditions for accepting a job: neither a live nor a terminal record of the job exists, so that it was never
/// accepted before.
pub fn absent_preconditions(id: &JobId) -> Vec<Precondition> {
    vec![Precondition { key: live_key(id), revision: 0 }, Precondition { key: terminal_key(id), revision: 0 }]
}

/// The precondition that a job is still live and its live record still has the given revision of the store.
pub fn live_precondition(id: &JobId, revision: Revision) -> Precondition {
    Precondition { key: live_key(id), revision: revision.0 }
}

/// Number of mutations that [`termination_mutations`] returns.
pub const MUTATIONS_PER_TERMINATION: usize = 2;

/// The mutations that end a job by replacing its live record with a terminal one.
pub fn termination_mutations(id: &JobId, record: &TerminalRecord) -> [Mutation; MUTATIONS_PER_TERMINATION] {
    [Mutation::delete(live_key(id)), Mutation::put(terminal_key(id), json!(record))]
}

/// The record of a job that is neither done nor cancelled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredLive", into = "StoredLive")]
pub struct LiveRecord {
    /// When the job was submitted.
    pub submitted_at: WallTime,
    /// The job's description, as the user submitted it.
    pub spec: JobSpec,
    /// The jobs that must be done before any task of this one may start.
    pub depends_on: Vec<JobId>,
}

/// The form in which a [`LiveRecord`] is written to the key-value store. Versions without support for dependencies
/// cannot read `Dependent`, and so ignore a job with dependencies instead of starting it too early.
#[derive(Clone, Serialize, Deserialize)]
#[serde(untagged)]
enum StoredLive {
    Independent { at: WallTime, spec: JobSpec },
    Dependent { at: WallTime, waiting: DependentSpec },
}

#[derive(Clone, Serialize, Deserialize)]
struct DependentSpec {
    spec: JobSpec,
    #[serde(rename = "awaits")]
    depends_on: Vec<JobId>,
}

/// Whether the job of a live record depends on other jobs. `stored` is the JSON of the record, which is not
/// deserialized.
pub fn has_dependencies(stored: &Value) -> bool {
    stored.get("waiting").is_some()
}

impl From<StoredLive> for LiveRecord {
    fn from(stored: StoredLive) -> LiveRecord {
        match stored {
            StoredLive::Independent { at, spec } => LiveRecord { submitted_at: at, spec, depends_on: Vec::new() },
            StoredLive::Dependent { at, waiting } => {
                LiveRecord { submitted_at: at, spec: waiting.spec, depends_on: waiting.depends_on }
            }
        }
    }
}

impl From<LiveRecord> for StoredLive {
    fn from(record: LiveRecord) -> StoredLive {
        let LiveRecord { submitted_at: at, spec, depends_on } = record;
        if depends_on.is_empty() {
            StoredLive::Independent { at, spec }
        } else {
            StoredLive::Dependent { at, waiting: DependentSpec { spec, depends_on } }
        }
    }
}

/// The record of a job that is done or cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TerminalRecord {
    /// How the job ended: `Done` or `Cancelled`.
    pub phase: JobPhase,
    /// Total number of tasks of the job, done or not.
    pub tasks: u32,
    /// When the job was done. A dependent could start only then, so its age is measured from this time. Absent for
    /// cancelled jobs and in records of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at: Option<WallTime>,
}

impl TerminalRecord {
    /// Creates the record of a job whose tasks were all done at this time.
    pub fn done(tasks: u32, at: WallTime) -> TerminalRecord {
        TerminalRecord { phase: JobPhase::Done, tasks, at: Some(at) }
    }

    /// Creates the record of a cancelled job.
    pub fn cancelled(tasks: u32) -> TerminalRecord {
        TerminalRecord { phase: JobPhase::Cancelled, tasks, at: None }
    }

    /// Whether the job was done rather than cancelled.
    pub fn is_done(&self) -> bool {
        self.phase == JobPhase::Done
    }

    /// How the job ended.
    pub fn outcome(&self) -> JobOutcome {
        match self.phase {
            JobPhase::Done => JobOutcome::Done(self.at),
            JobPhase::Queued | JobPhase::Running | JobPhase::Cancelled => JobOutcome::Cancelled,
        }
    }
}

/// How a job has ended, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobOutcome {
    /// All tasks of the job are done. Holds the time when they were, or `None` if the job's terminal record has none.
    Done(Option<WallTime>),
    /// The job was cancelled, by a user or because a job that it depends on was cancelled.
    Cancelled,
    /// The job has ended, done or cancelled: the watch of the key-value store reports only that its live record was
    /// deleted.
    Unknown,
}

#[cfg(test)]
mod tests;
