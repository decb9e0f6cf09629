//! Linearizable reads of jobs from the key-value store, for users' requests, and recording of how these jobs have
//! ended.

use super::kv::KvError;
use super::node::Node;
use crate::core::records::{JobOutcome, TerminalRecord, live_key, terminal_key};
use crate::ids::{JobId, Revision};
use crate::time::Millis;
use crate::wire::{JobPhase, KeyValue};

/// The state of a job in the key-value store.
pub enum StoredJob {
    /// The store has no record of the job: it was never accepted.
    Absent,
    /// The job hasn't ended. Contains its `live/` entry, which a different version of this program may have written.
    Live(KeyValue),
    /// The job has ended: it is done or cancelled.
    Terminal(TerminalRecord),
}

/// Why a job couldn't be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The store hasn't responded for so long that users' requests fail without asking it.
    #[error("the key-value store is unreachable")]
    StoreUnreachable,
    /// Reading the job took longer than the time limit for users' requests.
    #[error("read of the key-value store exceeded {} ms", READ_TIMEOUT.0)]
    Timeout,
    /// A request to the store failed.
    #[error(transparent)]
    Store(#[from] KvError),
    /// The terminal record of the job can't be decoded.
    #[error("terminal record of {id} can't be decoded: {source}")]
    UnreadableRecord {
        /// The job whose terminal record can't be decoded.
        id: JobId,
        /// Why the record can't be decoded.
        source: serde_json::Error,
    },
}

/// Time limit of reading a job for a user's request. Shorter than the 2 s that users wait for the response to a poll.
const READ_TIMEOUT: Millis = Millis(1_400);

/// Reads the current state of a job, within the time limit for users' requests.
pub async fn look_up_job(node: &Node, id: &JobId) -> Result<StoredJob, ReadError> {
    with_read_timeout(node, read_job(node, id)).await
}

/// Awaits `reads`, and fails if these reads of the store exceed the time limit for users' requests. Fails immediately,
/// without reading, while the store is unreachable.
pub(super) async fn with_read_timeout<T>(
    node: &Node,
    reads: impl Future<Output = Result<T, ReadError>>,
) -> Result<T, ReadError> {
    if node.is_store_unreachable() {
        return Err(ReadError::StoreUnreachable);
    }
    tokio::time::timeout(READ_TIMEOUT.to_std(), reads).await.unwrap_or(Err(ReadError::Timeout))
}

/// Reads the current state of a job, without a time limit. A job changes from live to terminal and never back, so
/// reading the live key before the terminal key can't miss the job.
pub(super) async fn read_job(node: &Node, id: &JobId) -> Result<StoredJob, ReadError> {
    let cached = node.lock().outcome_cache.get(id);
    if let Some(record) = cached {
        return Ok(StoredJob::Terminal(record));
    }
    let live = node.track_store(node.kv.get(&node.http, &live_key(id))).await?;
    if let Some(entry) = live {
        return Ok(StoredJob::Live(entry));
    }
    let terminal = node.track_store(node.kv.get(&node.http, &terminal_key(id))).await?;
    let Some(entry) = terminal else { return Ok(StoredJob::Absent) };
    let record: TerminalRecord =
        serde_json::from_value(entry.value).map_err(|source| ReadError::UnreadableRecord { id: *id, source })?;
    record_outcome(node, id, record, Revision(entry.revision));
    Ok(StoredJob::Terminal(record))
}

/// Records how a job has ended. Must be called before a user is told of the outcome, for two reasons: if this
/// controller leads, its scheduler must act on the outcome even while its watch of the live jobs lags, and a leader
/// that can't read the store learns of cancellations only from the controllers that have confirmed them, along with
/// their pledges not to stand for election.
pub fn record_outcome(node: &Node, id: &JobId, record: TerminalRecord, revision: Revision) {
    let mut state = node.lock();
    state.outcome_cache.insert(id, record);
    if record.phase == JobPhase::Cancelled {
        state.cancellations.record(*id, revision);
    }
    if let Some(scheduler) = &mut state.scheduler {
        scheduler.on_job_terminated(id, record.outcome());
    }
}

/// Looks up jobs, and returns the outcomes of those that have ended. Stops at the first read that fails.
pub async fn look_up_outcomes(node: &Node, ids: &[JobId]) -> Vec<(JobId, JobOutcome)> {
    let mut outcomes = Vec::new();
    for id in ids {
        match look_up_job(node, id).await {
            Ok(StoredJob::Terminal(record)) => outcomes.push((*id, record.outcome())),
            Ok(StoredJob::Live(_) | StoredJob::Absent) => {}
            Err(_) => break,
        }
    }
    outcomes
}
