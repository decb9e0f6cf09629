//! Submissions, polls and cancellations. Any controller takes them; what it says comes from a
//! committed write or a linearizable read, so no controller gives an older answer than another.

use super::node::Node;
use super::peers;
use super::state::StateError;
use crate::core::jobs::{
    LiveRecord, OverRecord, Refusal, absent_guards, check_possible, live_key, over_key, parse_submission,
};
use crate::ids::{JobId, Revision};
use crate::time::Span;
use crate::wire::{Change, Guard, JobAnswer, JobPhase, JobSpec, Row, Txn};
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
        let body = json!(JobAnswer { id: &id.to_string(), phase, done, running }).to_string();
        Reply { status, body, retry_after: None }
    }

    fn over(id: &JobId, r: OverRecord) -> Reply {
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

enum Found {
    Absent,
    Live(Row),
    Over(OverRecord),
}

/// Users wait 2 s for the answer to a poll.
const LOOK_UP: Span = Span(1_400);

/// What the state service holds of a job now. A job goes from live to over and never back, so
/// reading in this order misses nothing.
async fn look_up(node: &Node, id: &JobId) -> Result<Found, StateError> {
    if node.state_is_silent() {
        return Err(StateError::Unknown("silent for long".into()));
    }
    tokio::time::timeout(LOOK_UP.std(), read(node, id))
        .await
        .unwrap_or_else(|_| Err(StateError::Unknown("too slow".into())))
}

/// A user is about to be told how a job has ended. A leader must act on what it tells, even where its
/// watch is late, and a leader that can't read it is told by promise.
fn note_over(node: &Node, id: &JobId, record: OverRecord, revision: Revision) {
    let mut inner = node.lock();
    inner.finals.put(id, record);
    if record.phase == JobPhase::Aborted {
        inner.cancellations.tell(*id, revision);
    }
    if let Some(l) = &mut inner.leader {
        l.on_over(id);
    }
}

async fn read(node: &Node, id: &JobId) -> Result<Found, StateError> {
    let live = node.served(node.state.get(&node.http, &live_key(id))).await;
    if let Some(row) = live? {
        return Ok(Found::Live(row));
    }
    let over = node.served(node.state.get(&node.http, &over_key(id))).await;
    let Some(row) = over? else { return Ok(Found::Absent) };
    let record: OverRecord = serde_json::from_value(row.value).map_err(|e| StateError::Unknown(e.to_string()))?;
    note_over(node, id, record, Revision(row.revision));
    Ok(Found::Over(record))
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

pub async fn submit(node: &Node, body: &[u8]) -> Reply {
    let Some(_admission) = Admission::new(node) else { return Reply::later("too many requests under way") };
    let (id, spec) = match parse_submission(body) {
        Ok(x) => x,
        Err(r) => return Reply::refusal(r),
    };
    let known = node.lock().finals.get(&id);
    if let Some(r) = known {
        return Reply::over(&id, r);
    }
    let types = node.lock().types.clone();
    let checked: Result<JobSpec, Option<Refusal>> = match (spec, &types) {
        (Err(r), _) => Err(Some(r)),
        (Ok(_), None) => Err(None),
        (Ok(s), Some(t)) => match check_possible(&s, &node.settings.cluster.teams, t) {
            Ok(()) => Ok(s),
            Err(r) => Err(Some(r)),
        },
    };
    let spec = match checked {
        Ok(s) => s,
        Err(refusal) => {
            return match (look_up(node, &id).await, refusal) {
                (Ok(Found::Over(r)), _) => Reply::over(&id, r),
                (Ok(Found::Live(_)), _) => live_reply(node, &id),
                (Ok(Found::Absent), Some(r)) => Reply::refusal(r),
                (Ok(Found::Absent), None) => Reply::later("machine types are not known yet"),
                (Err(_), _) => Reply::later("the state service is out of reach"),
            };
        }
    };
    let record = json!(LiveRecord { at: node.wall(), spec });
    let txn = Txn { guards: absent_guards(&id), apply: vec![Change::write(live_key(&id), record.clone())] };
    match commit(node, &txn).await {
        Ok(Ok(epoch)) => {
            if let Some(l) = &mut node.lock().leader {
                l.on_live(&id, &record, Revision(epoch));
            }
            Reply::job(201, &id, JobPhase::Queued, None, None)
        }
        Ok(Err(_)) => match look_up(node, &id).await {
            Ok(Found::Over(r)) => Reply::over(&id, r),
            Ok(Found::Live(_)) => live_reply(node, &id),
            _ => Reply::later("the state service is out of reach"),
        },
        Err(_) => Reply::later("the state service is out of reach"),
    }
}

/// Commits; when the state service has too much to do, tries again for a short while only.
async fn commit(node: &Node, txn: &Txn) -> Result<Result<u64, Vec<String>>, StateError> {
    if node.state_is_silent() {
        return Err(StateError::Refused);
    }
    let mut tries = 0;
    loop {
        let r = node.served(node.state.commit(&node.http, txn)).await;
        tries += 1;
        if r != Err(StateError::Busy) || tries >= 3 {
            return r;
        }
        let pause = Span(80 + rand::random::<u64>() % 120);
        tokio::time::sleep(pause.std()).await;
    }
}

pub async fn poll(node: &Node, id: &str) -> Reply {
    let Some(id) = JobId::parse(id) else { return Reply::error(404, "no such job") };
    let known = node.lock().finals.get(&id);
    if let Some(r) = known {
        return Reply::over(&id, r);
    }
    let Some(_admission) = Admission::new(node) else { return Reply::later("too many requests under way") };
    match look_up(node, &id).await {
        Ok(Found::Over(r)) => Reply::over(&id, r),
        Ok(Found::Live(_)) => live_reply(node, &id),
        Ok(Found::Absent) => Reply::error(404, "no such job"),
        Err(_) => Reply::later("the state service is out of reach"),
    }
}

pub async fn withdraw(node: &Arc<Node>, id: &str) -> Reply {
    let Some(id) = JobId::parse(id) else { return Reply::error(404, "no such job") };
    let known = node.lock().finals.get(&id);
    if let Some(r) = known {
        return Reply::over(&id, r);
    }
    let Some(_admission) = Admission::new(node) else { return Reply::later("too many requests under way") };
    for _ in 0..3 {
        let row = match look_up(node, &id).await {
            Ok(Found::Live(row)) => row,
            Ok(Found::Over(r)) => return Reply::over(&id, r),
            Ok(Found::Absent) => return Reply::error(404, "no such job"),
            Err(_) => break,
        };
        // A record that can't be read is never overwritten.
        let Ok(live) = serde_json::from_value::<LiveRecord>(row.value) else {
            return Reply::later("the job's record can't be read");
        };
        let over = OverRecord { phase: JobPhase::Aborted, tasks: live.spec.tasks };
        let txn = Txn {
            guards: vec![Guard { path: live_key(&id), revision: row.revision }],
            apply: vec![Change::drop(live_key(&id)), Change::write(over_key(&id), json!(over))],
        };
        match commit(node, &txn).await {
            Ok(Ok(revision)) => {
                note_over(node, &id, over, Revision(revision));
                peers::tell_leader(node, &id);
                return Reply::over(&id, over);
            }
            // It changed meanwhile: done, or cancelled by another.
            Ok(Err(_)) => {}
            Err(_) => break,
        }
    }
    Reply::later("the state service is out of reach")
}

/// Whether the load balancer should send users here.
pub fn healthy(node: &Node) -> bool {
    let now = node.now();
    let inner = node.lock();
    // Refused alone, others serve users better; refused like all, nothing is gained by hiding.
    let refused = inner.refused_since.is_some_and(|t| now - t > Span(1_500)) && inner.peer_has_state;
    // So does one that hears neither the state service nor any peer.
    let cut_off = inner.state_silent_since.is_some_and(|t| now - t > Span(1_500)) && inner.alone;
    inner.types.is_some() && !refused && !cut_off
}
