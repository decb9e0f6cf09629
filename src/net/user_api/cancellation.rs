//! Cancellation of jobs: by `POST /api/jobs/{id}/withdraw`, or because a dependency was cancelled.

use super::commit::{CommitFailure, commit_with_retries};
use super::polls::admit_for_job;
use super::reply::Reply;
use crate::core::records::{LiveRecord, TerminalRecord, live_precondition, termination_mutations};
use crate::ids::{JobId, Revision};
use crate::net::linearizable_reads::{StoredJob, look_up_job, record_outcome};
use crate::net::node::Node;
use crate::net::peers;
use crate::wire::{KeyValue, Transaction};
use std::sync::Arc;

/// Maximum number of attempts to cancel a job, if its record in the store is changed concurrently.
const MAX_CANCEL_ATTEMPTS: usize = 3;

/// Cancels a job at a user's request. If the job has ended already, it isn't changed and the reply tells its outcome.
pub async fn cancel(node: &Arc<Node>, id: &str) -> Reply {
    let (id, _admission) = match admit_for_job(node, id) {
        Ok(admitted) => admitted,
        Err(reply) => return reply,
    };
    match look_up_job(node, &id).await {
        Ok(StoredJob::Live(entry)) => cancel_live_job(node, &id, entry).await,
        Ok(StoredJob::Terminal(record)) => Reply::terminal(&id, record),
        Ok(StoredJob::Absent) => Reply::no_such_job(),
        Err(_) => Reply::store_unreachable(),
    }
}

/// Cancels a job, given the `live/` entry that the caller has just read. If the job has ended since, the reply tells
/// its outcome.
pub(super) async fn cancel_live_job(node: &Arc<Node>, id: &JobId, mut entry: KeyValue) -> Reply {
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        // A record that can't be decoded may have been written by a later version, and is never overwritten.
        let Ok(live) = serde_json::from_value::<LiveRecord>(entry.value) else {
            return Reply::unreadable_record();
        };
        let record = TerminalRecord::cancelled(live.spec.tasks);
        let transaction = Transaction {
            preconditions: vec![live_precondition(id, Revision(entry.revision))],
            mutations: termination_mutations(id, &record).into(),
        };
        match commit_with_retries(node, &transaction).await {
            Ok(revision) => {
                record_outcome(node, id, record, revision);
                peers::notify_leader_of_cancellation(node, id);
                return Reply::terminal(id, record);
            }
            // The job is done, was cancelled concurrently, or its record was rewritten: the job is read again.
            Err(CommitFailure::PreconditionFailed) => {}
            Err(CommitFailure::StoreUnreachable) => break,
        }
        match look_up_job(node, id).await {
            Ok(StoredJob::Live(changed)) => entry = changed,
            Ok(StoredJob::Terminal(record)) => return Reply::terminal(id, record),
            Ok(StoredJob::Absent) => return Reply::no_such_job(),
            Err(_) => break,
        }
    }
    Reply::store_unreachable()
}
