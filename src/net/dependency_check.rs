//! Whether a job that a waiting job needs, directly or through others, was cancelled. The leader cancels the
//! jobs after a cancelled one; until it has, or while there is none, no controller calls them live.

use super::kv::KvError;
use super::linearizable_reads::{Found, in_time, read};
use super::node::Node;
use crate::core::records::{LiveRecord, has_dependencies};
use crate::ids::JobId;
use crate::time::{Millis, MonotonicTime};
use crate::wire::{KeyValue, Kind};
use std::collections::HashMap;
use std::pin::Pin;

/// How a job stands to the jobs that await it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DependencyStatus {
    Done,
    /// It may still be done.
    Live,
    /// It runs until it is cancelled.
    Service,
    /// It, or a job that it needs, is cancelled.
    Cancelled,
    Absent,
}

/// What was read lately of waiting jobs and all that they need: none of it was cancelled at that time.
#[derive(Default)]
pub struct DependencyCheckCache(HashMap<JobId, MonotonicTime>);

const MAX_CACHED_CHECKS: usize = 8_192;
/// For which part of `cancel_s` such a reading may be relied on.
const CHECK_VALIDITY_SHARE: f64 = 0.25;

impl DependencyCheckCache {
    fn checked_at(&self, id: &JobId, now: MonotonicTime, within: Millis) -> Option<MonotonicTime> {
        self.0.get(id).copied().filter(|at| now - *at <= within)
    }

    fn put(&mut self, id: JobId, at: MonotonicTime) {
        if self.0.len() >= MAX_CACHED_CHECKS {
            self.0.clear();
        }
        self.0.insert(id, at);
    }
}

/// A job's standing, and when the oldest reading that it rests on was asked for.
struct Checked {
    dependency_status: DependencyStatus,
    at: MonotonicTime,
}

/// How a job stands to the jobs that await it, by readings that are fresh enough to tell users.
pub async fn dependency_status(node: &Node, id: &JobId) -> Result<DependencyStatus, KvError> {
    in_time(node, check(node, *id, MAX_DEPTH)).await.map(|checked| checked.dependency_status)
}

/// Longer chains of waiting jobs aren't followed to their end, as each step costs a reading: further up it
/// is the leader alone that cancels.
const MAX_DEPTH: u32 = 64;

/// Whether a live job has to be cancelled, as one that it needs is.
pub async fn depends_on_cancelled(node: &Node, id: &JobId, row: &KeyValue) -> Result<bool, KvError> {
    // Most jobs that users ask about await none.
    if !has_dependencies(&row.value) {
        return Ok(false);
    }
    let checked = in_time(node, check_live(node, *id, row, MAX_DEPTH)).await?;
    Ok(checked.dependency_status == DependencyStatus::Cancelled)
}

fn check(node: &Node, id: JobId, depth: u32) -> Pin<Box<dyn Future<Output = Result<Checked, KvError>> + Send + '_>> {
    Box::pin(async move {
        let at = node.now();
        Ok(match read(node, &id).await? {
            Found::Terminal(record) if record.is_done() => Checked { dependency_status: DependencyStatus::Done, at },
            Found::Terminal(_) => Checked { dependency_status: DependencyStatus::Cancelled, at },
            Found::Absent => Checked { dependency_status: DependencyStatus::Absent, at },
            Found::Live(row) => check_live(node, id, &row, depth).await?,
        })
    })
}

async fn check_live(node: &Node, id: JobId, row: &KeyValue, depth: u32) -> Result<Checked, KvError> {
    let now = node.now();
    let Some(record) = record(row) else { return Ok(Checked { dependency_status: DependencyStatus::Live, at: now }) };
    let dependency_status =
        if record.spec.kind == Kind::Service { DependencyStatus::Service } else { DependencyStatus::Live };
    if record.depends_on.is_empty() || depth == 0 {
        return Ok(Checked { dependency_status, at: now });
    }
    let within = Millis::from_secs_f64(node.settings.cluster.workers.cancellation_limit_s * CHECK_VALIDITY_SHARE);
    let known = node.lock().dependency_check_cache.checked_at(&id, now, within);
    if let Some(at) = known {
        return Ok(Checked { dependency_status, at });
    }
    let mut at = now;
    for dependency in record.depends_on {
        let checked = check(node, dependency, depth - 1).await?;
        if checked.dependency_status == DependencyStatus::Cancelled {
            return Ok(checked);
        }
        at = at.min(checked.at);
    }
    node.lock().dependency_check_cache.put(id, at);
    Ok(Checked { dependency_status, at })
}

/// A live job's record; none: it can't be read.
fn record(row: &KeyValue) -> Option<LiveRecord> {
    serde_json::from_value(row.value.clone()).ok()
}
