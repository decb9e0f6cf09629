//! Whether a dependency of a waiting job, direct or through others, was cancelled. The leader cancels the
//! dependents of a cancelled job; until it has, or while there is none, no controller calls them live.

use super::linearizable_reads::{Found, ReadError, read, within_timeout};
use super::node::Node;
use crate::core::records::{LiveRecord, has_dependencies};
use crate::ids::JobId;
use crate::time::{Millis, MonotonicTime};
use crate::wire::{KeyValue, Kind};
use std::collections::HashMap;
use std::pin::Pin;

/// Most jobs whose checks are remembered; beyond it all are forgotten.
const MAX_CACHED_CHECKS: usize = 8_192;
/// For which part of `cancel_s` a check may be relied on.
const CHECK_VALIDITY_SHARE: f64 = 0.25;
/// Longer chains of waiting jobs aren't followed to their end, as each step costs a read: further up it is the
/// leader alone that cancels.
const MAX_DEPTH: u32 = 64;

/// What a job means to the jobs that depend on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DependencyStatus {
    /// It is done.
    Done,
    /// It may still be done.
    Live,
    /// It runs until it is cancelled, so it is never done.
    Service,
    /// It, or a job that it depends on, is cancelled.
    Cancelled,
    /// There is no such job.
    Absent,
}

/// Waiting jobs none of whose dependencies was cancelled, and when that was read.
#[derive(Default)]
pub struct DependencyCheckCache {
    checked_at: HashMap<JobId, MonotonicTime>,
}

impl DependencyCheckCache {
    /// When the job was checked, if that isn't longer ago than `max_age`.
    fn get(&self, id: &JobId, now: MonotonicTime, max_age: Millis) -> Option<MonotonicTime> {
        self.checked_at.get(id).copied().filter(|at| now - *at <= max_age)
    }

    fn put(&mut self, id: JobId, at: MonotonicTime) {
        if self.checked_at.len() >= MAX_CACHED_CHECKS {
            self.checked_at.clear();
        }
        self.checked_at.insert(id, at);
    }
}

/// A job's status, and when the oldest read that it rests on began.
struct Check {
    status: DependencyStatus,
    at: MonotonicTime,
}

/// What a job means to the jobs that depend on it, by reads that are recent enough to tell users.
pub async fn dependency_status(node: &Node, id: &JobId) -> Result<DependencyStatus, ReadError> {
    within_timeout(node, check(node, *id, MAX_DEPTH)).await.map(|check| check.status)
}

/// Whether a live job, by the entry just read, has to be cancelled, as one that it depends on is.
pub async fn depends_on_cancelled(node: &Node, id: &JobId, row: &KeyValue) -> Result<bool, ReadError> {
    // Most jobs that users ask about have no dependencies.
    if !has_dependencies(&row.value) {
        return Ok(false);
    }
    let check = within_timeout(node, check_live(node, *id, row, MAX_DEPTH)).await?;
    Ok(check.status == DependencyStatus::Cancelled)
}

/// Checks a job and, up to a depth, what it depends on. Boxed, as it calls itself by way of `check_live`.
fn check(
    node: &Node,
    id: JobId,
    max_depth: u32,
) -> Pin<Box<dyn Future<Output = Result<Check, ReadError>> + Send + '_>> {
    Box::pin(async move {
        let at = node.now();
        Ok(match read(node, &id).await? {
            Found::Terminal(record) if record.is_done() => Check { status: DependencyStatus::Done, at },
            Found::Terminal(_) => Check { status: DependencyStatus::Cancelled, at },
            Found::Absent => Check { status: DependencyStatus::Absent, at },
            Found::Live(row) => check_live(node, id, &row, max_depth).await?,
        })
    })
}

/// Checks what a live job depends on.
async fn check_live(node: &Node, id: JobId, row: &KeyValue, max_depth: u32) -> Result<Check, ReadError> {
    let now = node.now();
    // A record that can't be read may be of a later version, whose controllers check it.
    let Ok(record) = serde_json::from_value::<LiveRecord>(row.value.clone()) else {
        return Ok(Check { status: DependencyStatus::Live, at: now });
    };
    let status = match record.spec.kind {
        Kind::Service => DependencyStatus::Service,
        Kind::Array | Kind::Gang => DependencyStatus::Live,
    };
    if record.depends_on.is_empty() || max_depth == 0 {
        return Ok(Check { status, at: now });
    }
    let max_age = Millis::from_secs_f64(node.settings.cluster.workers.cancellation_limit_s * CHECK_VALIDITY_SHARE);
    let cached_at = node.lock().dependency_check_cache.get(&id, now, max_age);
    if let Some(at) = cached_at {
        return Ok(Check { status, at });
    }
    let mut at = now;
    for dependency in record.depends_on {
        let check = check(node, dependency, max_depth - 1).await?;
        if check.status == DependencyStatus::Cancelled {
            return Ok(check);
        }
        at = at.min(check.at);
    }
    node.lock().dependency_check_cache.put(id, at);
    Ok(Check { status, at })
}
