//! Replies to users: the HTTP status, and the JSON of a job's status or of an error.

use crate::core::records::TerminalRecord;
use crate::core::submissions::SubmissionError;
use crate::ids::JobId;
use crate::net::admission::TooManyRequests;
use crate::wire::{JobPhase, JobStatus};
use serde_json::json;

/// A reply to a user's request.
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The JSON body: a job's status, or an object with the field `error`.
    pub body: String,
    /// The value of the `Retry-After` header, in seconds. The header is not sent if this is `None`.
    pub retry_after: Option<u32>,
}

impl Reply {
    /// A reply with a job's phase, and the numbers of its tasks that are done and running if they are given.
    fn job(status: u16, id: &JobId, phase: JobPhase, done: Option<u32>, running: Option<u32>) -> Reply {
        let body = json!(JobStatus { id: &id.to_string(), phase, done, running }).to_string();
        Reply { status, body, retry_after: None }
    }

    /// Status 201: the submitted job was accepted and is in the key-value store.
    pub(super) fn accepted(id: &JobId, phase: JobPhase) -> Reply {
        Reply::job(201, id, phase, None, None)
    }

    /// Status 200: a job that hasn't ended, with the leader's latest numbers of its tasks that are done and running.
    pub(super) fn live(id: &JobId, done: u32, running: u32) -> Reply {
        let phase = if running > 0 { JobPhase::Running } else { JobPhase::Queued };
        Reply::job(200, id, phase, Some(done), Some(running))
    }

    /// Status 200: a job that has ended.
    pub(super) fn terminal(id: &JobId, record: TerminalRecord) -> Reply {
        let done = (record.phase == JobPhase::Done).then_some(record.tasks);
        Reply::job(200, id, record.phase, done, Some(0))
    }

    /// A reply with this status whose JSON has the message in the field `error`.
    pub fn error(status: u16, message: &str) -> Reply {
        Reply { status, body: json!({ "error": message }).to_string(), retry_after: None }
    }

    /// Status 503 with a `Retry-After` header: the user should retry, for the reason in the message.
    pub fn unavailable(message: &str) -> Reply {
        Reply { retry_after: Some(1), ..Reply::error(503, message) }
    }

    /// Status 404: there is no such job, or the id is invalid.
    pub(super) fn no_such_job() -> Reply {
        Reply::error(404, "no such job")
    }

    /// Status 503: the key-value store doesn't respond or refuses, or a transaction conflicted with a concurrent change
    /// that later reads don't explain.
    pub(super) fn store_unreachable() -> Reply {
        Reply::unavailable("the state service is out of reach")
    }

    /// Status 503: this controller hasn't read the machine types since it started.
    pub(super) fn machine_types_unknown() -> Reply {
        Reply::unavailable("machine types are not known yet")
    }

    /// Status 503: the job's record in the key-value store can't be decoded; a later version may have written it.
    pub(super) fn unreadable_record() -> Reply {
        Reply::unavailable("the job's record can't be read")
    }
}

impl From<TooManyRequests> for Reply {
    fn from(_: TooManyRequests) -> Reply {
        Reply::unavailable("too many requests under way")
    }
}

impl From<SubmissionError> for Reply {
    fn from(error: SubmissionError) -> Reply {
        let status = match error {
            SubmissionError::Malformed(_) => 400,
            SubmissionError::Unsatisfiable(_) => 422,
        };
        Reply::error(status, &error.to_string())
    }
}

#[cfg(test)]
mod tests;
