//! Cancellations: `POST /api/jobs/{id}/withdraw`, and jobs whose dependencies are cancelled.

use super::commit::{CommitFailure, commit};
use super::polls::admit_for_job;
use super::reply::Reply;
use crate::core::records::{LiveRecord, TerminalRecord, live_precondition, termination_mutations};
use crate::ids::{JobId, Revision};
use crate::net::linearizable_reads::{Found, look_up, record_outcome};
use crate::net::node::Node;
use crate::net::peers;
use crate::wire::{KeyValue, Transaction};
use std::sync::Arc;

/// Most attempts to cancel a job that changes meanwhile.
const MAX_CANCEL_ATTEMPTS: usize = 3;

/// Cancels a job for its user. One that has ended stays as it is, and the answer says how it has ended.
pub async fn withdraw(node: &Arc<Node>, id: &str) -> Reply {
    let (id, _admission) = match admit_for_job(node, id) {
        Ok(admitted) => admitted,
        Err(reply) => return reply,
    };
    match look_up(node, &id).await {
        Ok(Found::Live(row)) => cancel(node, &id, row).await,
        Ok(Found::Terminal(record)) => Reply::terminal(&id, record),
        Ok(Found::Absent) => Reply::no_such_job(),
        Err(_) => Reply::store_unreachable(),
    }
}

/// Cancels a job that was live by a read just made, unless it has ended since.
pub(super) async fn cancel(node: &Arc<Node>, id: &JobId, mut row: KeyValue) -> Reply {
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        // A record that can't be read is never overwritten.
        let Ok(live) = serde_json::from_value::<LiveRecord>(row.value) else {
            return Reply::unreadable_record();
        };
        let record = TerminalRecord::cancelled(live.spec.tasks);
        let transaction = Transaction {
            preconditions: vec![live_precondition(id, Revision(row.revision))],
            mutations: termination_mutations(id, &record).into(),
        };
        match commit(node, &transaction).await {
            Ok(revision) => {
                record_outcome(node, id, record, revision);
                peers::tell_leader(node, id);
                return Reply::terminal(id, record);
            }
            // Done, cancelled by another, or its record was rewritten: the look-up tells.
            Err(CommitFailure::Rejected) => {}
            Err(CommitFailure::StoreUnreachable) => break,
        }
        match look_up(node, id).await {
            Ok(Found::Live(changed)) => row = changed,
            Ok(Found::Terminal(record)) => return Reply::terminal(id, record),
            Ok(Found::Absent) => return Reply::no_such_job(),
            Err(_) => break,
        }
    }
    Reply::store_unreachable()
}
