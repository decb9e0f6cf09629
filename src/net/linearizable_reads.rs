//! What the state service holds of jobs: linearizable reads, and what this controller remembers of them.

use super::kv::KvError;
use super::node::Node;
use crate::core::records::{JobOutcome, TerminalRecord, live_key, terminal_key};
use crate::ids::{JobId, Revision};
use crate::time::Millis;
use crate::wire::{JobPhase, KeyValue};

pub enum Found {
    Absent,
    Live(KeyValue),
    Terminal(TerminalRecord),
}

/// Users wait 2 s for the answer to a poll.
pub const READ_TIMEOUT: Millis = Millis(1_400);

/// What the state service holds of a job now. A job goes from live to over and never back, so
/// reading in this order misses nothing.
pub async fn look_up(node: &Node, id: &JobId) -> Result<Found, KvError> {
    in_time(node, read(node, id)).await
}

/// Some reading for a user, given up while the user still waits.
pub async fn in_time<T>(node: &Node, reading: impl Future<Output = Result<T, KvError>>) -> Result<T, KvError> {
    if node.store_unreachable() {
        return Err(KvError::Unknown("silent for long".into()));
    }
    let limited = tokio::time::timeout(READ_TIMEOUT.to_std(), reading).await;
    limited.unwrap_or_else(|_| Err(KvError::Unknown("too slow".into())))
}

pub(super) async fn read(node: &Node, id: &JobId) -> Result<Found, KvError> {
    let known = node.lock().outcomes.get(id);
    if let Some(record) = known {
        return Ok(Found::Terminal(record));
    }
    let live = node.track_store(node.kv.get(&node.http, &live_key(id))).await;
    if let Some(row) = live? {
        return Ok(Found::Live(row));
    }
    let over = node.track_store(node.kv.get(&node.http, &terminal_key(id))).await;
    let Some(row) = over? else { return Ok(Found::Absent) };
    let record: TerminalRecord = serde_json::from_value(row.value).map_err(|e| KvError::Unknown(e.to_string()))?;
    record_outcome(node, id, record, Revision(row.revision));
    Ok(Found::Terminal(record))
}

/// A user is about to be told how a job has ended. A leader must act on what it tells, even where its
/// watch is late, and a leader that can't read it is told by pledge.
pub fn record_outcome(node: &Node, id: &JobId, record: TerminalRecord, revision: Revision) {
    let mut inner = node.lock();
    inner.outcomes.put(id, record);
    if record.phase == JobPhase::Aborted {
        inner.cancellations.tell(*id, revision);
    }
    if let Some(scheduler) = &mut inner.scheduler {
        scheduler.on_job_terminated(id, record.outcome());
    }
}

/// Those of the jobs that are over, and how they have ended.
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
