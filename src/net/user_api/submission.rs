//! Submissions: `POST /api/jobs`.

use super::commit::{CommitFailure, commit};
use super::polls::describe;
use super::reply::Reply;
use crate::core::records::{LiveRecord, TerminalRecord, absent_preconditions, live_key, terminal_key};
use crate::core::submissions::{
    ParsedSubmission, Submission, SubmissionError, UnsatisfiableSubmission, check_satisfiable, parse_submission,
};
use crate::ids::JobId;
use crate::net::admission::Admission;
use crate::net::dependency_check::{self, DependencyStatus};
use crate::net::linearizable_reads::{ReadError, record_outcome};
use crate::net::node::Node;
use crate::wire::{JobPhase, Mutation, Transaction};
use serde_json::{Value, json};
use std::sync::Arc;

/// Why a job isn't accepted. A job that is stored already is described to its user instead.
#[derive(Debug, thiserror::Error)]
enum NotAccepted {
    /// The submission is refused for good.
    #[error(transparent)]
    Refused(#[from] SubmissionError),
    /// Which machine types there are isn't known yet.
    #[error("machine types are not known yet")]
    MachineTypesUnknown,
    /// What the job depends on can't be read.
    #[error("a dependency can't be read: {0}")]
    DependencyUnread(#[from] ReadError),
}

impl From<UnsatisfiableSubmission> for NotAccepted {
    fn from(error: UnsatisfiableSubmission) -> NotAccepted {
        NotAccepted::Refused(error.into())
    }
}

impl From<NotAccepted> for Reply {
    fn from(reason: NotAccepted) -> Reply {
        match reason {
            NotAccepted::Refused(error) => error.into(),
            NotAccepted::MachineTypesUnknown => Reply::machine_types_unknown(),
            NotAccepted::DependencyUnread(_) => Reply::store_unreachable(),
        }
    }
}

/// What is to be stored of an accepted job.
enum Accepted {
    /// The record of a job that is to run, as JSON.
    Live(Value),
    /// It depends on a job that is cancelled, and is cancelled with it.
    Cancelled(TerminalRecord),
}

/// Accepts a job and makes it durable. A job whose id is known is described instead, whatever the body says.
pub async fn submit(node: &Arc<Node>, body: &[u8]) -> Reply {
    let _admission = match Admission::request(node) {
        Ok(admission) => admission,
        Err(too_many) => return too_many.into(),
    };
    let ParsedSubmission { id, submission } = match parse_submission(body) {
        Ok(parsed) => parsed,
        Err(error) => return SubmissionError::from(error).into(),
    };
    let outcome = node.lock().outcome_cache.get(&id);
    if let Some(record) = outcome {
        return Reply::terminal(&id, record);
    }
    let accepted = match submission {
        Ok(submission) => accept(node, submission).await,
        Err(error) => Err(error.into()),
    };
    match accepted {
        Ok(accepted) => store(node, &id, accepted).await,
        Err(reason) => describe(node, &id, reason.into()).await,
    }
}

/// Checks a submission whose job isn't known to have ended.
async fn accept(node: &Node, submission: Submission) -> Result<Accepted, NotAccepted> {
    let Submission { spec, depends_on } = submission;
    let types = node.lock().machine_types.clone().ok_or(NotAccepted::MachineTypesUnknown)?;
    check_satisfiable(&spec, &node.settings.cluster.teams, &types)?;
    let mut record = LiveRecord { submitted_at: node.wall_time(), spec, depends_on };
    // Checked with all dependencies, also those that are done and won't be stored.
    let value = json!(record);
    if value.to_string().len() > node.settings.cluster.store.value_bytes() {
        return Err(UnsatisfiableSubmission::RecordTooLarge.into());
    }
    match check_dependencies(node, &record.depends_on).await? {
        Dependencies::Cancelled => Ok(Accepted::Cancelled(TerminalRecord::cancelled(record.spec.tasks))),
        Dependencies::Live(live) if live == record.depends_on => Ok(Accepted::Live(value)),
        Dependencies::Live(live) => {
            record.depends_on = live;
            Ok(Accepted::Live(json!(record)))
        }
    }
}

/// What a submitted job still depends on.
enum Dependencies {
    /// The jobs that have yet to be done.
    Live(Vec<JobId>),
    /// At least one is cancelled.
    Cancelled,
}

/// Looks up all dependencies, as one that was never accepted outweighs one that is cancelled.
async fn check_dependencies(node: &Node, depends_on: &[JobId]) -> Result<Dependencies, NotAccepted> {
    let mut live = Vec::new();
    let mut is_cancelled = false;
    for dependency in depends_on {
        match dependency_check::dependency_status(node, dependency).await? {
            DependencyStatus::Done => {}
            DependencyStatus::Live => live.push(*dependency),
            DependencyStatus::Cancelled => is_cancelled = true,
            DependencyStatus::Absent => {
                return Err(UnsatisfiableSubmission::DependencyNeverAccepted(dependency.to_string()).into());
            }
            DependencyStatus::Service => return Err(UnsatisfiableSubmission::DependsOnService(*dependency).into()),
        }
    }
    Ok(if is_cancelled { Dependencies::Cancelled } else { Dependencies::Live(live) })
}

/// Makes an accepted job durable, and only then tells its user.
async fn store(node: &Arc<Node>, id: &JobId, accepted: Accepted) -> Reply {
    let (key, value) = match &accepted {
        Accepted::Live(value) => (live_key(id), value.clone()),
        Accepted::Cancelled(record) => (terminal_key(id), json!(record)),
    };
    let transaction =
        Transaction { preconditions: absent_preconditions(id), mutations: vec![Mutation::put(key, value)] };
    let revision = match commit(node, &transaction).await {
        Ok(revision) => revision,
        // Somebody has submitted the job before.
        Err(CommitFailure::Rejected) => return describe(node, id, Reply::store_unreachable()).await,
        Err(CommitFailure::StoreUnreachable) => return Reply::store_unreachable(),
    };
    match accepted {
        Accepted::Live(value) => {
            if let Some(scheduler) = &mut node.lock().scheduler {
                scheduler.on_job_accepted(id, &value, revision);
            }
            Reply::accepted(id, JobPhase::Queued)
        }
        Accepted::Cancelled(record) => {
            record_outcome(node, id, record, revision);
            Reply::accepted(id, record.phase)
        }
    }
}
