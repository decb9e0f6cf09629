//! Checks whether a direct or transitive dependency of a waiting job was cancelled. The leader cancels the dependents
//! of a cancelled job. Until the leader has done so, or while there is no leader, no controller may report these
//! dependents to users as live.

use super::linearizable_reads::{ReadError, StoredJob, read_job, with_read_timeout};
use super::node::Node;
use crate::core::records::{LiveRecord, has_dependencies};
use crate::ids::JobId;
use crate::time::{Millis, MonotonicTime};
use crate::wire::{JobKind, KeyValue};
use std::collections::HashMap;
use std::pin::Pin;

/// Maximum number of jobs whose check is cached. When this number is reached, the cache is cleared.
const MAX_CACHED_CHECKS: usize = 8_192;
/// Maximum age of a cached check, as a fraction of the setting `cancel_s`: the time after a confirmed cancellation in
/// which the job's tasks must be gone.
const MAX_CHECK_AGE_SHARE: f64 = 0.25;
/// Maximum length of a chain of dependencies that a check follows, as each step costs a read of the store. Only the
/// leader propagates a cancellation to jobs that are further away from the cancelled job.
const MAX_DEPTH: u32 = 64;

/// The status of a job as a dependency of other jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DependencyStatus {
    /// The job is done.
    Done,
    /// The job hasn't ended and may still become done.
    Live,
    /// The job is a service, which runs until it is cancelled and so is never done.
    Service,
    /// The job was cancelled, or a job that it depends on directly or transitively was.
    Cancelled,
    /// The store has no record of the job, so it was never accepted.
    Absent,
}

/// Cache of waiting jobs that were found to have no cancelled dependency, with the time of the oldest read that the
/// check is based on.
#[derive(Default)]
pub struct DependencyCheckCache {
    checked_at: HashMap<JobId, MonotonicTime>,
}

impl DependencyCheckCache {
    /// Returns the time of the job's cached check. Returns `None` if no check is cached or it is older than `max_age`.
    fn get(&self, id: &JobId, now: MonotonicTime, max_age: Millis) -> Option<MonotonicTime> {
        self.checked_at.get(id).copied().filter(|at| now - *at <= max_age)
    }

    fn insert(&mut self, id: JobId, at: MonotonicTime) {
        if self.checked_at.len() >= MAX_CACHED_CHECKS {
            self.checked_at.clear();
        }
        self.checked_at.insert(id, at);
    }
}

/// The result of checking a job and its dependencies.
struct CheckResult {
    status: DependencyStatus,
    /// When the oldest of the reads on which `status` is based began.
    read_at: MonotonicTime,
}

/// Determines the status of a job as a dependency, from reads that are recent enough to answer users.
pub async fn dependency_status(node: &Node, id: &JobId) -> Result<DependencyStatus, ReadError> {
    with_read_timeout(node, check_job(node, *id, MAX_DEPTH)).await.map(|result| result.status)
}

/// Whether a live job must be cancelled because a direct or transitive dependency was. `entry` is its `live/` entry,
/// which the caller has just read.
pub async fn depends_on_cancelled(node: &Node, id: &JobId, entry: &KeyValue) -> Result<bool, ReadError> {
    // Fast path: most jobs have no dependencies.
    if !has_dependencies(&entry.value) {
        return Ok(false);
    }
    let result = with_read_timeout(node, check_live_job(node, *id, entry, MAX_DEPTH)).await?;
    Ok(result.status == DependencyStatus::Cancelled)
}

/// Checks a job and its dependencies, at most `max_depth` levels deep. The future is boxed because the function and
/// [`check_live_job`] call each other.
fn check_job(
    node: &Node,
    id: JobId,
    max_depth: u32,
) -> Pin<Box<dyn Future<Output = Result<CheckResult, ReadError>> + Send + '_>> {
    Box::pin(async move {
        let read_at = node.now();
        Ok(match read_job(node, &id).await? {
            StoredJob::Terminal(record) if record.is_done() => CheckResult { status: DependencyStatus::Done, read_at },
            StoredJob::Terminal(_) => CheckResult { status: DependencyStatus::Cancelled, read_at },
            StoredJob::Absent => CheckResult { status: DependencyStatus::Absent, read_at },
            StoredJob::Live(entry) => check_live_job(node, id, &entry, max_depth).await?,
        })
    })
}

/// Checks the dependencies of a live job, at most `max_depth` levels deep.
async fn check_live_job(node: &Node, id: JobId, entry: &KeyValue, max_depth: u32) -> Result<CheckResult, ReadError> {
    let now = node.now();
    // A record that can't be decoded may have been written by a later version, whose controllers check it.
    let Ok(record) = serde_json::from_value::<LiveRecord>(entry.value.clone()) else {
        return Ok(CheckResult { status: DependencyStatus::Live, read_at: now });
    };
    let status = match record.spec.kind {
        JobKind::Service => DependencyStatus::Service,
        JobKind::Array | JobKind::Gang => DependencyStatus::Live,
    };
    if record.depends_on.is_empty() || max_depth == 0 {
        return Ok(CheckResult { status, read_at: now });
    }
    let max_age = Millis::from_secs_f64(node.settings.cluster.workers.cancellation_limit_s * MAX_CHECK_AGE_SHARE);
    let cached = node.lock().dependency_check_cache.get(&id, now, max_age);
    if let Some(read_at) = cached {
        return Ok(CheckResult { status, read_at });
    }
    let mut read_at = now;
    for dependency in record.depends_on {
        let result = check_job(node, dependency, max_depth - 1).await?;
        if result.status == DependencyStatus::Cancelled {
            return Ok(result);
        }
        read_at = read_at.min(result.read_at);
    }
    node.lock().dependency_check_cache.insert(id, read_at);
    Ok(CheckResult { status, read_at })
}
