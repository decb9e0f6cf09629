//! Replies that describe a job: to `GET /api/jobs/{id}`, and to a submission of a job that exists already.

use super::cancellation::cancel_live_job;
use super::reply::Reply;
use crate::ids::JobId;
use crate::net::admission::Admission;
use crate::net::dependency_check;
use crate::net::linearizable_reads::{StoredJob, look_up_job};
use crate::net::node::Node;
use crate::wire::KeyValue;
use std::sync::Arc;

/// Parses the id of a request about one job and admits the request. Returns the reply as the error if the id is
/// invalid, the job's outcome is cached, or the limit on concurrent requests is reached.
pub(super) fn admit_for_job<'a>(node: &'a Node, id: &str) -> Result<(JobId, Admission<'a>), Reply> {
    let id = JobId::parse(id).ok_or_else(Reply::no_such_job)?;
    let outcome = node.lock().outcome_cache.get(&id);
    if let Some(record) = outcome {
        return Err(Reply::terminal(&id, record));
    }
    Ok((id, Admission::try_acquire(node)?))
}

/// Handles a user's poll of a job.
pub async fn poll(node: &Arc<Node>, id: &str) -> Reply {
    let (id, _admission) = match admit_for_job(node, id) {
        Ok(admitted) => admitted,
        Err(reply) => return reply,
    };
    describe(node, &id, Reply::no_such_job()).await
}

/// Reads a job from the key-value store and returns the reply with its status, or `absent` if there is no such job.
pub(super) async fn describe(node: &Arc<Node>, id: &JobId, absent: Reply) -> Reply {
    match look_up_job(node, id).await {
        Ok(StoredJob::Terminal(record)) => Reply::terminal(id, record),
        Ok(StoredJob::Live(entry)) => describe_live_job(node, id, entry).await,
        Ok(StoredJob::Absent) => absent,
        Err(_) => Reply::store_unreachable(),
    }
}

/// Returns the reply with the status of a live job, given its `live/` entry, which the caller has just read. If a job
/// on which it depends was cancelled, cancels the job first, so that no controller reports the job as live.
async fn describe_live_job(node: &Arc<Node>, id: &JobId, entry: KeyValue) -> Reply {
    match dependency_check::depends_on_cancelled(node, id, &entry).await {
        Ok(false) => {
            let state = node.lock();
            let (done, running) = state.live_job_counts.get(id).map_or((0, 0), |count| (count.done, count.running));
            Reply::live(id, done, running)
        }
        Ok(true) => cancel_live_job(node, id, entry).await,
        Err(_) => Reply::store_unreachable(),
    }
}
