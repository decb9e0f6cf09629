//! Submission of jobs: `POST /api/jobs`.

use super::commit::{CommitFailure, commit_with_retries};
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

/// Why a submission isn't accepted. Used as the reply only if the key-value store doesn't have the job already.
#[derive(Debug, thiserror::Error)]
enum NotAccepted {
    /// The submission is invalid; retrying it is of no use.
    #[error(transparent)]
    Invalid(#[from] SubmissionError),
    /// This controller hasn't read the machine types yet.
    #[error("machine types are not known yet")]
    MachineTypesUnknown,
    /// A dependency of the job couldn't be read.
    #[error("could not read a dependency: {0}")]
    DependencyReadFailed(#[from] ReadError),
}

impl From<UnsatisfiableSubmission> for NotAccepted {
    fn from(error: UnsatisfiableSubmission) -> NotAccepted {
        NotAccepted::Invalid(error.into())
    }
}

impl From<NotAccepted> for Reply {
    fn from(reason: NotAccepted) -> Reply {
        match reason {
            NotAccepted::Invalid(error) => error.into(),
            NotAccepted::MachineTypesUnknown => Reply::machine_types_unknown(),
            NotAccepted::DependencyReadFailed(_) => Reply::store_unreachable(),
        }
    }
}

/// The record of an accepted job that is to be written to the key-value store.
enum Accepted {
    /// The JSON of the live record of a job that is to run.
    Live(Value),
    /// The terminal record of a job that is cancelled on submission, as it depends on a cancelled job.
    Cancelled(TerminalRecord),
}

/// Validates a submission and writes its job to the key-value store. If a job with this id exists already, the reply
/// tells that job's status instead, whatever the rest of the body contains.
pub async fn submit(node: &Arc<Node>, body: &[u8]) -> Reply {
    let _admission = match Admission::try_acquire(node) {
        Ok(admission) => admission,
        Err(error) => return error.into(),
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
        Ok(submission) => validate(node, submission).await,
        Err(error) => Err(error.into()),
    };
    match accepted {
        Ok(accepted) => store_job(node, &id, accepted).await,
        Err(reason) => describe(node, &id, reason.into()).await,
    }
}

/// Validates a submission against the cluster and the jobs in the key-value store. Returns the record to be written.
async fn validate(node: &Node, submission: Submission) -> Result<Accepted, NotAccepted> {
    let Submission { spec, depends_on } = submission;
    let types = node.lock().machine_types.clone().ok_or(NotAccepted::MachineTypesUnknown)?;
    check_satisfiable(&spec, &node.settings.cluster.teams, &types)?;
    let mut record = LiveRecord { submitted_at: node.wall_time(), spec, depends_on };
    // The limit on the size of a value applies to the record with all dependencies, including those that are done and
    // won't be in the record that is written.
    let value = json!(record);
    if value.to_string().len() > node.settings.cluster.store.max_value_bytes() {
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

/// The dependencies of a submitted job that are not done.
enum Dependencies {
    /// No dependency is cancelled. Contains the dependencies that are not done yet.
    Live(Vec<JobId>),
    /// At least one dependency is cancelled.
    Cancelled,
}

/// Checks all dependencies of a submitted job, also those after a cancelled one: if any dependency was never accepted
/// or is a service, the submission is invalid, which takes precedence over cancelling the job.
async fn check_dependencies(node: &Node, depends_on: &[JobId]) -> Result<Dependencies, NotAccepted> {
    let mut live = Vec::new();
    let mut any_cancelled = false;
    for dependency in depends_on {
        match dependency_check::dependency_status(node, dependency).await? {
            DependencyStatus::Done => {}
            DependencyStatus::Live => live.push(*dependency),
            DependencyStatus::Cancelled => any_cancelled = true,
            DependencyStatus::Absent => {
                return Err(UnsatisfiableSubmission::DependencyNeverAccepted(dependency.to_string()).into());
            }
            DependencyStatus::Service => return Err(UnsatisfiableSubmission::DependsOnService(*dependency).into()),
        }
    }
    Ok(if any_cancelled { Dependencies::Cancelled } else { Dependencies::Live(live) })
}

/// Writes an accepted job to the key-value store, and only then returns the reply that confirms the submission.
async fn store_job(node: &Arc<Node>, id: &JobId, accepted: Accepted) -> Reply {
    let (key, value) = match &accepted {
        Accepted::Live(value) => (live_key(id), value.clone()),
        Accepted::Cancelled(record) => (terminal_key(id), json!(record)),
    };
    let transaction =
        Transaction { preconditions: absent_preconditions(id), mutations: vec![Mutation::put(key, value)] };
    let revision = match commit_with_retries(node, &transaction).await {
        Ok(revision) => revision,
        // A job with this id exists already.
        Err(CommitFailure::PreconditionFailed) => return describe(node, id, Reply::store_unreachable()).await,
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
