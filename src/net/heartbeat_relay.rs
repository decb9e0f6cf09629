//! Relaying workers' heartbeats to the leader. A controller that does not lead gathers the heartbeats that reach
//! it, sends them to the leader in batches, and gives each worker what the leader has decided on its heartbeat.
//! It decides nothing itself: to the worker and to the leader's cluster state a relayed heartbeat is one that
//! took a longer way, which may be lost, late or delivered after a newer one like any other.

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

/// Batches start at least this far apart, so that each carries several heartbeats.
const BATCH_INTERVAL: Millis = Millis(100);
/// A worker waits 4 s for an answer; the leader gets less, so that the worker still learns of a failure.
const BATCH_TIMEOUT: Millis = Millis(1_800);
/// A controller whose timers come this much late on average takes no more workers, in milliseconds.
const STRAINED_LAG_THRESHOLD_MS: f64 = 200.0;
/// The weight of the latest batch in that average.
const LAG_WEIGHT: f64 = 0.2;
/// Most heartbeats that wait for the next batch; workers beyond it are redirected.
const MAX_WAITING: usize = 4_096;
/// Most bytes of the heartbeats that wait.
const MAX_WAITING_BYTES: usize = 4 << 20;
/// A leader sends a peer heartbeat every second; one that hasn't for this long is not sent anything.
const LEADER_HEARTBEAT_TIMEOUT: Millis = Millis(4_000);

/// A leader that has sent a peer heartbeat.
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

/// The heartbeats that wait at one controller, and what it knows of the leader that they go to.
#[derive(Default)]
pub struct HeartbeatRelay {
    leader: Option<HeardLeader>,
    /// The leader has answered the last batch. Workers' heartbeats are taken in only then; until then each
    /// peer heartbeat of the leader is followed by an empty batch.
    leader_confirmed: bool,
    waiting: Vec<WaitingHeartbeat>,
    waiting_bytes: usize,
    /// By how much timers come late on average, in milliseconds.
    lag_ms: f64,
}

impl HeartbeatRelay {
    /// A leader has sent its peer heartbeat. One of an earlier term may just not know yet that it has lost its lease.
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

    /// Whether workers' heartbeats can be relayed to a leader now.
    pub fn is_open(&self, now: MonotonicTime) -> bool {
        let has_capacity = self.waiting.len() < MAX_WAITING && self.waiting_bytes < MAX_WAITING_BYTES;
        self.leader_confirmed && has_capacity && self.destination(now).is_some()
    }

    /// How many heartbeats wait for the next batch.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether more workers may be redirected here.
    pub fn has_capacity(&self, now: MonotonicTime) -> bool {
        self.is_open(now) && self.lag_ms < STRAINED_LAG_THRESHOLD_MS
    }

    /// A timer has come that much late.
    fn record_lag(&mut self, lag: Millis) {
        self.lag_ms += LAG_WEIGHT * (lag.0 as f64 - self.lag_ms);
    }

    /// Takes a heartbeat in, whose decision comes by the receiver; `None`: it can't be relayed now.
    fn admit(&mut self, heartbeat: Bytes, now: MonotonicTime) -> Option<oneshot::Receiver<HeartbeatDecision>> {
        if !self.is_open(now) {
            return None;
        }
        let (decision, receiver) = oneshot::channel();
        self.waiting_bytes += heartbeat.len();
        self.waiting.push(WaitingHeartbeat { heartbeat, decision });
        Some(receiver)
    }

    /// The heartbeats of the next batch.
    fn take_waiting(&mut self) -> Vec<WaitingHeartbeat> {
        self.waiting_bytes = 0;
        std::mem::take(&mut self.waiting)
    }

    /// A batch was sent to the leader of a term, who has answered it or not.
    fn batch_sent(&mut self, term: Term, answered: bool) {
        if self.leader.as_ref().is_some_and(|known| known.term == term) {
            self.leader_confirmed = answered;
        }
    }
}

/// What became of a heartbeat that was to be relayed.
pub enum RelayOutcome {
    /// The leader has decided on it.
    Decided(HeartbeatDecision),
    /// It was sent, and there is no decision: the worker should try another controller.
    Unanswered,
    /// There is no leader that it could be sent to.
    Unavailable,
}

/// Relays a heartbeat to the leader with the next batch and waits for the decision on it.
pub async fn forward(node: &Node, heartbeat: Bytes) -> RelayOutcome {
    let now = node.now();
    let admitted = node.lock().heartbeat_relay.admit(heartbeat, now);
    let Some(receiver) = admitted else { return RelayOutcome::Unavailable };
    node.relay_wakeup.notify_one();
    receiver.await.map_or(RelayOutcome::Unanswered, RelayOutcome::Decided)
}

/// Wakes the task that sends batches: a heartbeat waits, or the leader is yet to be confirmed.
pub type RelayWakeup = Notify;

/// Sends the heartbeats that wait, batch after batch, for as long as the process runs. Woken without any, it
/// sends an empty batch, which shows whether the leader answers.
pub async fn run(node: Arc<Node>) {
    loop {
        node.relay_wakeup.notified().await;
        let due = node.now() + BATCH_INTERVAL;
        tokio::time::sleep(BATCH_INTERVAL.to_std()).await;
        let now = node.now();
        let (waiting, leader) = {
            let mut inner = node.lock();
            inner.heartbeat_relay.record_lag(now - due);
            (inner.heartbeat_relay.take_waiting(), inner.heartbeat_relay.destination(now).cloned())
        };
        // Without a leader the heartbeats are dropped unanswered, and each worker is redirected.
        let Some(leader) = leader else { continue };
        send_batch(&node, &leader, waiting).await;
    }
}

/// Sends one batch, and gives each worker the decision on its heartbeat.
async fn send_batch(node: &Arc<Node>, leader: &HeardLeader, waiting: Vec<WaitingHeartbeat>) {
    let heartbeats = waiting.iter().map(|waiting| waiting.heartbeat.clone()).collect();
    let batch = HeartbeatBatch { version: VERSION, heartbeats, from: node.settings.name.clone() };
    let decisions = ask_leader(node, &leader.name, &batch).await;
    let decisions = decisions.filter(|decisions| decisions.len() == waiting.len());
    node.lock().heartbeat_relay.batch_sent(leader.term, decisions.is_some());
    let Some(decisions) = decisions else {
        log::debug!("heartbeat batch not answered: leader={} heartbeats={}", leader.name, waiting.len());
        // The workers are redirected to a peer that relays, as going round all controllers takes longer than
        // a lease where some of them can't be reached either. So are those whose heartbeats have come
        // meanwhile: another batch would only wait as long.
        relay_routes::refresh(node).await;
        drop(node.lock().heartbeat_relay.take_waiting());
        return;
    };
    for (waiting, decision) in waiting.into_iter().zip(decisions) {
        // A worker that has given up has closed its connection; nobody waits then.
        let _ = waiting.decision.send(decision);
    }
}

/// The leader's decisions, in the order of the heartbeats; `None`: it did not answer, or does not lead.
async fn ask_leader(node: &Node, leader: &str, batch: &HeartbeatBatch) -> Option<Vec<HeartbeatDecision>> {
    let address = node.settings.peers.iter().find(|peer| peer.name == leader)?.addr.to_string();
    let body = batch.encode_to_vec();
    let answer = node.http.call(Method::POST, &address, peers::HEARTBEAT_BATCH_PATH, body, BATCH_TIMEOUT).await;
    let Ok((200, body)) = answer else { return None };
    let answer = HeartbeatDecisions::decode(body).ok()?;
    (answer.version == VERSION && answer.leading).then_some(answer.decisions)
}

#[cfg(test)]
mod tests;
