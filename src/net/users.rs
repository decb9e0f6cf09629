//! Submissions, polls and cancellations. Any controller takes them; what it says comes from a
//! committed write or a linearizable read, so no controller gives an older answer than another.

use super::dependency_check::{self, DependencyStatus};
use super::kv::{CommitError, KvError};
use super::linearizable_reads::{Found, look_up, record_outcome};
use super::node::Node;
use super::peers;
use crate::core::records::{
    LiveRecord, TerminalRecord, absent_preconditions, live_key, live_precondition, terminal_key, termination_mutations,
};
use crate::core::submissions::{Refusal, Submission, check_possible, never_accepted, parse_submission};
use crate::ids::{JobId, Revision};
use crate::time::Millis;
use crate::wire::{JobPhase, JobStatus, KeyValue, Mutation, Transaction};
use serde_json::json;
use std::sync::Arc;

/// An answer to a user.
pub struct Reply {
    pub status: u16,
    pub body: String,
    pub retry_after: Option<u32>,
}

impl Reply {
    fn job(status: u16, id: &JobId, phase: JobPhase, done: Option<u32>, running: Option<u32>) -> Reply {
        let body = json!(JobStatus { id: &id.to_string(), phase, done, running }).to_string();
        Reply { status, body, retry_after: None }
    }

    fn terminal(id: &JobId, r: TerminalRecord) -> Reply {
        let done = (r.phase == JobPhase::Done).then_some(r.tasks);
        Reply::job(200, id, r.phase, done, Some(0))
    }

    pub fn error(status: u16, message: &str) -> Reply {
        Reply { status, body: json!({ "error": message }).to_string(), retry_after: None }
    }

    /// Said at once: the user is told when to come back.
    pub fn later(message: &str) -> Reply {
        Reply { retry_after: Some(1), ..Reply::error(503, message) }
    }

    fn refusal(r: Refusal) -> Reply {
        match r {
            Refusal::Malformed(m) => Reply::error(400, &m),
            Refusal::Impossible(m) => Reply::error(422, &m),
        }
    }
}

fn live_reply(node: &Node, id: &JobId) -> Reply {
    let inner = node.lock();
    let count = inner.counts.get(id);
    let (done, running) = count.map_or((0, 0), |c| (c.done, c.running));
    let phase = if running > 0 { JobPhase::Running } else { JobPhase::Queued };
    Reply::job(200, id, phase, Some(done), Some(running))
}

/// Counts a request as under way while it lives.
struct Admission<'a>(&'a Node);

impl Admission<'_> {
    fn new(node: &Node) -> Option<Admission<'_>> {
        let mut inner = node.lock();
        if inner.user_requests >= node.tuning.user_requests as usize {
            return None;
        }
        inner.user_requests += 1;
        Some(Admission(node))
    }
}

impl Drop for Admission<'_> {
    fn drop(&mut self) {
        self.0.lock().user_requests -= 1;
    }
}

/// Why a submission isn't accepted, unless the job is known already.
enum Rejection {
    Refused(Refusal),
    /// It can't be said now.
    Later(&'static str),
}

impl From<KvError> for Rejection {
    fn from(_: KvError) -> Rejection {
        Rejection::Later(STORE_UNREACHABLE)
    }
}

const STORE_UNREACHABLE: &str = "the state service is out of reach";

/// What is to be stored of an accepted job.
enum Accepted {
    Live(Box<LiveRecord>),
    /// It names a job that is cancelled, and is cancelled with it.
    Cancelled(TerminalRecord),
}

pub async fn submit(node: &Arc<Node>, body: &[u8]) -> Reply {
    let Some(_admission) = Admission::new(node) else { return Reply::later("too many requests under way") };
    let (id, submission) = match parse_submission(body) {
        Ok(x) => x,
        Err(r) => return Reply::refusal(r),
    };
    let known = node.lock().outcomes.get(&id);
    if let Some(r) = known {
        return Reply::terminal(&id, r);
    }
    let accepted = match submission {
        Ok(submission) => accept(node, submission).await,
        Err(refusal) => Err(Rejection::Refused(refusal)),
    };
    match accepted {
        Ok(accepted) => store(node, &id, accepted).await,
        Err(Rejection::Refused(refusal)) => describe(node, &id, Reply::refusal(refusal)).await,
        Err(Rejection::Later(why)) => describe(node, &id, Reply::later(why)).await,
    }
}

/// Checks a submission whose job isn't known to be over.
async fn accept(node: &Node, submission: Submission) -> Result<Accepted, Rejection> {
    let Submission { spec, depends_on } = submission;
    let types = node.lock().types.clone().ok_or(Rejection::Later("machine types are not known yet"))?;
    check_possible(&spec, &node.settings.cluster.teams, &types).map_err(Rejection::Refused)?;
    let mut record = LiveRecord { at: node.wall_time(), spec, depends_on };
    if json!(record).to_string().len() > node.settings.cluster.store.value_bytes() {
        let too_large = "the job takes more than the state service holds in a value".to_string();
        return Err(Rejection::Refused(Refusal::Impossible(too_large)));
    }
    let mut live = Vec::new();
    let mut is_cancelled = false;
    // All of them are looked at, as one that was never accepted outweighs one that is cancelled.
    for dependency in std::mem::take(&mut record.depends_on) {
        match dependency_check::dependency_status(node, &dependency).await? {
            DependencyStatus::Done => {}
            DependencyStatus::Live => live.push(dependency),
            DependencyStatus::Cancelled => is_cancelled = true,
            DependencyStatus::Absent => return Err(Rejection::Refused(never_accepted(&dependency))),
            DependencyStatus::Service => {
                let endless = format!("awaits {dependency}, a service, which is never done");
                return Err(Rejection::Refused(Refusal::Impossible(endless)));
            }
        }
    }
    if is_cancelled {
        return Ok(Accepted::Cancelled(TerminalRecord::cancelled(record.spec.tasks)));
    }
    record.depends_on = live;
    Ok(Accepted::Live(Box::new(record)))
}

/// Makes an accepted job durable, and then tells its user.
async fn store(node: &Arc<Node>, id: &JobId, accepted: Accepted) -> Reply {
    let (key, value) = match &accepted {
        Accepted::Live(record) => (live_key(id), json!(record)),
        Accepted::Cancelled(record) => (terminal_key(id), json!(record)),
    };
    let transaction =
        Transaction { preconditions: absent_preconditions(id), mutations: vec![Mutation::put(key, value.clone())] };
    match (commit(node, &transaction).await, accepted) {
        (Ok(revision), Accepted::Live(_)) => {
            if let Some(scheduler) = &mut node.lock().scheduler {
                scheduler.on_job_accepted(id, &value, revision);
            }
            Reply::job(201, id, JobPhase::Queued, None, None)
        }
        (Ok(revision), Accepted::Cancelled(record)) => {
            record_outcome(node, id, record, revision);
            Reply::job(201, id, record.phase, None, None)
        }
        (Err(CommitError::Conflict(_)), _) => describe(node, id, Reply::later(STORE_UNREACHABLE)).await,
        (Err(CommitError::Store(_)), _) => Reply::later(STORE_UNREACHABLE),
    }
}

/// What the state service says of a job now, or this answer if there is none.
async fn describe(node: &Arc<Node>, id: &JobId, absent: Reply) -> Reply {
    match look_up(node, id).await {
        Ok(Found::Terminal(r)) => Reply::terminal(id, r),
        Ok(Found::Live(row)) => describe_live(node, id, row).await,
        Ok(Found::Absent) => absent,
        Err(_) => Reply::later(STORE_UNREACHABLE),
    }
}

/// The answer about a job that is live by a reading just made.
async fn describe_live(node: &Arc<Node>, id: &JobId, row: KeyValue) -> Reply {
    match dependency_check::depends_on_cancelled(node, id, &row).await {
        Ok(false) => live_reply(node, id),
        Ok(true) => cancel(node, id, row).await,
        Err(_) => Reply::later(STORE_UNREACHABLE),
    }
}

/// Commits; when the state service has too much to do, tries again for a short while only.
async fn commit(node: &Node, transaction: &Transaction) -> Result<Revision, CommitError> {
    if node.store_unreachable() {
        return Err(KvError::Refused.into());
    }
    let mut tries = 0;
    loop {
        let r = node.commit(transaction).await;
        tries += 1;
        if r != Err(KvError::Busy.into()) || tries >= 3 {
            return r;
        }
        let pause = Millis(80 + rand::random::<u64>() % 120);
        tokio::time::sleep(pause.to_std()).await;
    }
}

pub async fn poll(node: &Arc<Node>, id: &str) -> Reply {
    let Some(id) = JobId::parse(id) else { return Reply::error(404, "no such job") };
    let known = node.lock().outcomes.get(&id);
    if let Some(r) = known {
        return Reply::terminal(&id, r);
    }
    let Some(_admission) = Admission::new(node) else { return Reply::later("too many requests under way") };
    describe(node, &id, Reply::error(404, "no such job")).await
}

pub async fn withdraw(node: &Arc<Node>, id: &str) -> Reply {
    let Some(id) = JobId::parse(id) else { return Reply::error(404, "no such job") };
    let known = node.lock().outcomes.get(&id);
    if let Some(r) = known {
        return Reply::terminal(&id, r);
    }
    let Some(_admission) = Admission::new(node) else { return Reply::later("too many requests under way") };
    match look_up(node, &id).await {
        Ok(Found::Live(row)) => cancel(node, &id, row).await,
        Ok(Found::Terminal(r)) => Reply::terminal(&id, r),
        Ok(Found::Absent) => Reply::error(404, "no such job"),
        Err(_) => Reply::later(STORE_UNREACHABLE),
    }
}

/// Most tries to cancel a job that changes meanwhile.
const MAX_CANCEL_ATTEMPTS: usize = 3;

/// Cancels a job that was live a moment ago, unless it has ended since.
async fn cancel(node: &Arc<Node>, id: &JobId, row: KeyValue) -> Reply {
    let mut row = row;
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        // A record that can't be read is never overwritten.
        let Ok(live) = serde_json::from_value::<LiveRecord>(row.value) else {
            return Reply::later("the job's record can't be read");
        };
        let over = TerminalRecord::cancelled(live.spec.tasks);
        let transaction = Transaction {
            preconditions: vec![live_precondition(id, Revision(row.revision))],
            mutations: termination_mutations(id, &over).into(),
        };
        match commit(node, &transaction).await {
            Ok(revision) => {
                record_outcome(node, id, over, revision);
                peers::tell_leader(node, id);
                return Reply::terminal(id, over);
            }
            // It changed meanwhile: done, or cancelled by another.
            Err(CommitError::Conflict(_)) => {}
            Err(CommitError::Store(_)) => break,
        }
        match look_up(node, id).await {
            Ok(Found::Live(changed)) => row = changed,
            Ok(Found::Terminal(r)) => return Reply::terminal(id, r),
            Ok(Found::Absent) => return Reply::error(404, "no such job"),
            Err(_) => break,
        }
    }
    Reply::later(STORE_UNREACHABLE)
}

/// Whether the load balancer should send users here.
pub fn healthy(node: &Node) -> bool {
    let now = node.now();
    let inner = node.lock();
    inner.types.is_some() && !inner.store_health.is_isolated(now)
}
