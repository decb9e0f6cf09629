//! What the key-value store holds of jobs: linearizable reads for users, and the outcomes that this controller
//! remembers of them.

use super::kv::KvError;
use super::node::Node;
use crate::core::records::{JobOutcome, TerminalRecord, live_key, terminal_key};
use crate::ids::{JobId, Revision};
use crate::time::Millis;
use crate::wire::{JobPhase, KeyValue};

/// What the key-value store holds of a job.
pub enum Found {
    /// Nothing: the job was never accepted.
    Absent,
    /// The job hasn't ended; with its `live/` entry, whose record may be of another version.
    Live(KeyValue),
    /// The job has ended.
    Terminal(TerminalRecord),
}

/// Why a job couldn't be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The store hasn't answered for so long that it isn't asked for users.
    #[error("the key-value store is unreachable")]
    StoreUnreachable,
    /// The read took longer than a user can wait.
    #[error("not read within {} ms", READ_TIMEOUT.0)]
    Timeout,
    /// The store's answer to one call.
    #[error(transparent)]
    Store(#[from] KvError),
    /// The record of a job that has ended is of no known form.
    #[error("terminal record of {id} can't be read: {source}")]
    UnreadableRecord {
        /// The job.
        id: JobId,
        /// What the parser says.
        source: serde_json::Error,
    },
}

/// For how long a read may take. Users wait 2 s for the answer to a poll.
const READ_TIMEOUT: Millis = Millis(1_400);

/// What the key-value store holds of a job now, read while the user still waits.
pub async fn look_up(node: &Node, id: &JobId) -> Result<Found, ReadError> {
    within_timeout(node, read(node, id)).await
}

/// Gives up reads that take longer than a user can wait; not begun while the store is unreachable.
pub(super) async fn within_timeout<T>(
    node: &Node,
    reads: impl Future<Output = Result<T, ReadError>>,
) -> Result<T, ReadError> {
    if node.is_store_unreachable() {
        return Err(ReadError::StoreUnreachable);
    }
    tokio::time::timeout(READ_TIMEOUT.to_std(), reads).await.unwrap_or(Err(ReadError::Timeout))
}

/// What the key-value store holds of a job, without a bound on the time. A job goes from live to terminal and
/// never back, so reading in this order misses nothing.
pub(super) async fn read(node: &Node, id: &JobId) -> Result<Found, ReadError> {
    let known = node.lock().outcome_cache.get(id);
    if let Some(record) = known {
        return Ok(Found::Terminal(record));
    }
    let live = node.track_store(node.kv.get(&node.http, &live_key(id))).await?;
    if let Some(row) = live {
        return Ok(Found::Live(row));
    }
    let terminal = node.track_store(node.kv.get(&node.http, &terminal_key(id))).await?;
    let Some(row) = terminal else { return Ok(Found::Absent) };
    let record: TerminalRecord =
        serde_json::from_value(row.value).map_err(|source| ReadError::UnreadableRecord { id: *id, source })?;
    record_outcome(node, id, record, Revision(row.revision));
    Ok(Found::Terminal(record))
}

/// Remembers how a job has ended, before a user is told of it. A leader must act on what it tells, even where
/// its watch is late, and a leader that can't read the store learns of cancellations by pledges.
pub fn record_outcome(node: &Node, id: &JobId, record: TerminalRecord, revision: Revision) {
    let mut inner = node.lock();
    inner.outcome_cache.put(id, record);
    if record.phase == JobPhase::Aborted {
        inner.cancellations.record(*id, revision);
    }
    if let Some(scheduler) = &mut inner.scheduler {
        scheduler.on_job_terminated(id, record.outcome());
    }
}

/// Those of the jobs that have ended, and how. Ends early at a read that fails.
pub async fn outcomes(node: &Node, ids: &[JobId]) -> Vec<(JobId, JobOutcome)> {
    let mut outcomes = Vec::new();
    for id in ids {
        match look_up(node, id).await {
            Ok(Found::Terminal(record)) => outcomes.push((*id, record.outcome())),
            Ok(Found::Live(_) | Found::Absent) => {}
            Err(_) => break,
        }
    }
    outcomes
}
