//! Passing workers' heartbeats on to the leader. A controller that does not lead gathers the heartbeats that
//! reach it, sends them to the leader in batches, and gives each worker what the leader has decided on
//! its heartbeat. It decides nothing itself: to the worker and to the leader's cluster state a forwarded report is
//! one that took a longer way, which may be lost, late or delivered after a newer one like any other.

use super::node::Node;
use super::peers;
use super::relay_routes;
use crate::ids::Term;
use crate::peer::{HeartbeatBatch, HeartbeatDecision, HeartbeatDecisions, VERSION};
use crate::time::{Millis, MonotonicTime};
use bytes::Bytes;
use hyper::Method;
use prost::Message;
use std::sync::Arc;
use tokio::sync::{Notify, oneshot};

/// Batches start at least this far apart, so that each carries several reports.
const BATCH_INTERVAL: Millis = Millis(100);
/// A worker waits 4 s for an answer; the leader gets less, so that the worker still learns of a failure.
const BATCH_TIMEOUT: Millis = Millis(1_800);
/// A controller whose timers come this much late on average has no room for more workers.
const STRAINED_LAG_MS: f64 = 200.0;
/// The weight of the latest batch in that average.
const LAG_WEIGHT: f64 = 0.2;
/// Most reports that wait or are on their way, and most of their bytes; what is beyond is redirected.
const MAX_WAITING: usize = 4_096;
const MAX_WAITING_BYTES: usize = 4 << 20;
/// A leader sends a heartbeat every second; one that has been silent for longer is not sent anything.
const LEADER_HEARTBEAT_TIMEOUT: Millis = Millis(4_000);

/// A leader that has sent a heartbeat.
#[derive(Clone, Debug)]
struct HeardLeader {
    name: String,
    term: Term,
    heard_at: MonotonicTime,
}

/// A heartbeat that waits for the leader's decision.
struct WaitingHeartbeat {
    heartbeat: Bytes,
    decision: oneshot::Sender<HeartbeatDecision>,
}

/// The state of forwarding at one controller.
#[derive(Default)]
pub struct HeartbeatRelay {
    leader: Option<HeardLeader>,
    /// The leader has answered the last batch. Workers' heartbeats are taken in only then; until then each
    /// heartbeat of the leader is followed by an empty batch.
    leader_confirmed: bool,
    waiting: Vec<WaitingHeartbeat>,
    waiting_bytes: usize,
    /// By how much timers come late on average.
    lag_ms: f64,
}

impl HeartbeatRelay {
    /// A leader has sent its heartbeat. One of an earlier term may just not know yet that it has lost its lease.
    pub fn heard_leader(&mut self, name: &str, term: Term, now: MonotonicTime) {
        if self.leader.as_ref().is_some_and(|known| term < known.term) {
            return;
        }
        self.leader_confirmed &= self.leader.as_ref().is_some_and(|known| known.term == term);
        self.leader = Some(HeardLeader { name: name.into(), term, heard_at: now });
    }

    /// The leader to send batches to, if there is one that should answer.
    fn destination(&self, now: MonotonicTime) -> Option<&HeardLeader> {
        self.leader.as_ref().filter(|leader| now - leader.heard_at <= LEADER_HEARTBEAT_TIMEOUT)
    }

    /// Whether the leader has answered the last batch.
    pub fn is_leader_confirmed(&self) -> bool {
        self.leader_confirmed
    }

    /// Whether workers' heartbeats can be passed on to a leader now.
    pub fn is_open(&self, now: MonotonicTime) -> bool {
        let has_room = self.waiting.len() < MAX_WAITING && self.waiting_bytes < MAX_WAITING_BYTES;
        self.leader_confirmed && has_room && self.destination(now).is_some()
    }

    /// How many heartbeats wait for the next batch.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether more workers may be sent here.
    pub fn has_capacity(&self, now: MonotonicTime) -> bool {
        self.is_open(now) && self.lag_ms < STRAINED_LAG_MS
    }

    /// A timer has come that much late.
    fn note_lag(&mut self, late: Millis) {
        self.lag_ms += LAG_WEIGHT * (late.0 as f64 - self.lag_ms);
    }

    /// Takes a heartbeat in; none: it can't be passed on now.
    fn admit(&mut self, heartbeat: Bytes, now: MonotonicTime) -> Option<oneshot::Receiver<HeartbeatDecision>> {
        if !self.is_open(now) {
            return None;
        }
        let (decision, receiver) = oneshot::channel();
        self.waiting_bytes += heartbeat.len();
        self.waiting.push(WaitingHeartbeat { heartbeat, decision });
        Some(receiver)
    }

    fn take_waiting(&mut self) -> Vec<WaitingHeartbeat> {
        self.waiting_bytes = 0;
        std::mem::take(&mut self.waiting)
    }

    /// A batch was sent to the leader of a term, who has answered it or not.
    fn sent(&mut self, term: Term, answered: bool) {
        if self.leader.as_ref().is_some_and(|known| known.term == term) {
            self.leader_confirmed = answered;
        }
    }
}

/// What became of a heartbeat that was to be passed on.
pub enum RelayOutcome {
    /// The leader has decided.
    Decided(HeartbeatDecision),
    /// It was sent, and there is no decision: the worker should try another controller.
    Unanswered,
    /// There is no leader that it could be sent to.
    Unavailable,
}

/// Passes a heartbeat on to the leader and waits for its decision.
pub async fn forward(node: &Node, heartbeat: Bytes) -> RelayOutcome {
    let now = node.now();
    let admitted = node.lock().heartbeat_relay.admit(heartbeat, now);
    let Some(receiver) = admitted else { return RelayOutcome::Unavailable };
    node.relay_wakeup.notify_one();
    receiver.await.map_or(RelayOutcome::Unanswered, RelayOutcome::Decided)
}

/// Wakes the task that sends batches.
pub type RelayWakeup = Notify;

/// Sends the heartbeats that wait, batch after batch, for as long as the process runs. Woken without any, it
/// sends an empty batch, which proves the way to the leader.
pub async fn run(node: Arc<Node>) {
    loop {
        node.relay_wakeup.notified().await;
        let due = node.now() + BATCH_INTERVAL;
        tokio::time::sleep(BATCH_INTERVAL.to_std()).await;
        let now = node.now();
        let (waiting, leader) = {
            let mut inner = node.lock();
            inner.heartbeat_relay.note_lag(now - due);
            (inner.heartbeat_relay.take_waiting(), inner.heartbeat_relay.destination(now).cloned())
        };
        // Dropped unanswered, each worker is told to try elsewhere.
        let Some(leader) = leader else { continue };
        send_batch(&node, &leader, waiting).await;
    }
}

async fn send_batch(node: &Arc<Node>, leader: &HeardLeader, waiting: Vec<WaitingHeartbeat>) {
    let heartbeats = waiting.iter().map(|w| w.heartbeat.clone()).collect();
    let batch = HeartbeatBatch { version: VERSION, heartbeats, from: node.settings.name.clone() };
    let decisions = ask_leader(node, &leader.name, &batch).await;
    let decisions = decisions.filter(|d| d.len() == waiting.len());
    node.lock().heartbeat_relay.sent(leader.term, decisions.is_some());
    let Some(decisions) = decisions else {
        log::debug!("{} has not answered a batch of reports={}", leader.name, waiting.len());
        // The workers are told where to try next, as going round all controllers takes longer than a lease
        // where some of them can't be reached either. So are those whose heartbeats have come meanwhile: another
        // batch would only wait as long.
        relay_routes::refresh(node).await;
        drop(node.lock().heartbeat_relay.take_waiting());
        return;
    };
    for (waiting, decision) in waiting.into_iter().zip(decisions) {
        // A worker that has given up has closed its connection; nobody waits then.
        let _ = waiting.decision.send(decision);
    }
}

/// The leader's decisions; none: it did not answer, or does not lead.
async fn ask_leader(node: &Node, leader: &str, batch: &HeartbeatBatch) -> Option<Vec<HeartbeatDecision>> {
    let address = node.settings.peers.iter().find(|p| p.name == leader)?.addr.to_string();
    let body = batch.encode_to_vec();
    let answer = node.http.call(Method::POST, &address, peers::HEARTBEAT_BATCH_PATH, body, BATCH_TIMEOUT).await;
    let Ok((200, body)) = answer else { return None };
    let answer = HeartbeatDecisions::decode(body).ok()?;
    (answer.version == VERSION && answer.leading).then_some(answer.decisions)
}

#[cfg(test)]
mod tests;
