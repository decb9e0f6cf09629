//! What users are told of a job: `GET /api/jobs/{id}`, and the answer to a submission of a known job.

use super::cancellation::cancel;
use super::reply::Reply;
use crate::ids::JobId;
use crate::net::admission::Admission;
use crate::net::dependency_check;
use crate::net::linearizable_reads::{Found, look_up};
use crate::net::node::Node;
use crate::wire::KeyValue;
use std::sync::Arc;

/// Admits a request about one job. Error: the reply, where there is no such id, the job's outcome is
/// cached here, or too many requests are under way.
pub(super) fn admit_for_job<'a>(node: &'a Node, id: &str) -> Result<(JobId, Admission<'a>), Reply> {
    let id = JobId::parse(id).ok_or_else(Reply::no_such_job)?;
    let outcome = node.lock().outcomes.get(&id);
    if let Some(record) = outcome {
        return Err(Reply::terminal(&id, record));
    }
    Ok((id, Admission::try_acquire(node)?))
}

/// Answers a poll of a job.
pub async fn poll(node: &Arc<Node>, id: &str) -> Reply {
    let (id, _admission) = match admit_for_job(node, id) {
        Ok(admitted) => admitted,
        Err(reply) => return reply,
    };
    describe(node, &id, Reply::no_such_job()).await
}

/// What the key-value store holds of a job now, or `absent` if there is no such job.
pub(super) async fn describe(node: &Arc<Node>, id: &JobId, absent: Reply) -> Reply {
    match look_up(node, id).await {
        Ok(Found::Terminal(record)) => Reply::terminal(id, record),
        Ok(Found::Live(row)) => describe_live(node, id, row).await,
        Ok(Found::Absent) => absent,
        Err(_) => Reply::store_unreachable(),
    }
}

/// Describes a job that is live by a read just made. Where a job that it depends on is cancelled, it is
/// cancelled first, so that no controller calls it live.
async fn describe_live(node: &Arc<Node>, id: &JobId, row: KeyValue) -> Reply {
    match dependency_check::depends_on_cancelled(node, id, &row).await {
        Ok(false) => {
            let inner = node.lock();
            let (done, running) = inner.counts.get(id).map_or((0, 0), |count| (count.done, count.running));
            Reply::live(id, done, running)
        }
        Ok(true) => cancel(node, id, row).await,
        Err(_) => Reply::store_unreachable(),
    }
}
