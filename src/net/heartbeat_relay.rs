//! Relays workers' heartbeats to the leader.
//!
//! A controller that doesn't lead collects the heartbeats that it receives, sends them to the leader in batches, and
//! passes the leader's decision on each heartbeat to its worker. It decides nothing itself. For the worker and the
//! leader a relayed heartbeat is no different from a direct one, which may also be lost, delayed or reordered.

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

/// Minimum time between the starts of two batches, so that each batch carries several heartbeats.
const BATCH_INTERVAL: Millis = Millis(100);
/// How long the leader may take to answer a batch. It is shorter than the 4 s that a worker waits for a response, so
/// that the worker can still be redirected if the leader doesn't answer.
const BATCH_TIMEOUT: Millis = Millis(1_800);
/// Average delay of timers, in milliseconds, from which on this controller counts as overloaded and no more workers are
/// redirected to it.
const OVERLOAD_TIMER_LAG_MS: f64 = 200.0;
/// Smoothing factor of the exponential moving average of the timer lag.
const TIMER_LAG_SMOOTHING: f64 = 0.2;
/// Maximum number of heartbeats that wait for the next batch. Workers whose heartbeats exceed it are redirected.
const MAX_WAITING_HEARTBEATS: usize = 4_096;
/// Total size in bytes of the waiting heartbeats at which no more are queued. The last one queued may exceed this size.
const MAX_WAITING_BYTES: usize = 4 << 20;
/// How long after a leader's last heartbeat this controller still sends batches to it. A leader sends a heartbeat to
/// its peers every second.
const LEADER_HEARTBEAT_TIMEOUT: Millis = Millis(4_000);

/// A leader from which this controller has received a heartbeat.
#[derive(Clone, Debug)]
struct KnownLeader {
    name: String,
    term: Term,
    last_heartbeat_at: MonotonicTime,
}

/// A heartbeat that waits for the leader's decision.
struct WaitingHeartbeat {
    heartbeat: Bytes,
    decision: oneshot::Sender<HeartbeatDecision>,
}

/// Workers' heartbeats that wait to be relayed by this controller, and the leader that they are relayed to.
#[derive(Default)]
pub struct HeartbeatRelay {
    leader: Option<KnownLeader>,
    /// Whether the leader has answered the last batch. While it has, workers' heartbeats are queued. Otherwise an empty
    /// batch is sent as a probe after each of the leader's heartbeats.
    leader_confirmed: bool,
    waiting: Vec<WaitingHeartbeat>,
    waiting_bytes: usize,
    /// Moving average of how late timers fire, in milliseconds.
    average_timer_lag_ms: f64,
}

impl HeartbeatRelay {
    /// Records a heartbeat from a leader. The heartbeat is ignored if a leader of a later term is known: its sender may
    /// not have noticed yet that it has lost its lease.
    pub fn record_leader_heartbeat(&mut self, name: &str, term: Term, now: MonotonicTime) {
        if self.leader.as_ref().is_some_and(|known| term < known.term) {
            return;
        }
        self.leader_confirmed &= self.leader.as_ref().is_some_and(|known| known.term == term);
        self.leader = Some(KnownLeader { name: name.into(), term, last_heartbeat_at: now });
    }

    /// Returns the leader to send batches to, or `None` if no leader has sent a heartbeat recently.
    fn current_leader(&self, now: MonotonicTime) -> Option<&KnownLeader> {
        self.leader.as_ref().filter(|leader| now - leader.last_heartbeat_at <= LEADER_HEARTBEAT_TIMEOUT)
    }

    /// Returns whether the leader has answered the last batch.
    pub fn is_leader_confirmed(&self) -> bool {
        self.leader_confirmed
    }

    /// Returns whether workers' heartbeats can be relayed to a leader now.
    pub fn can_relay(&self, now: MonotonicTime) -> bool {
        let queue_has_room = self.waiting.len() < MAX_WAITING_HEARTBEATS && self.waiting_bytes < MAX_WAITING_BYTES;
        self.leader_confirmed && queue_has_room && self.current_leader(now).is_some()
    }

    /// Returns the number of heartbeats that wait for the next batch.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether more workers may be redirected to this controller.
    pub fn has_capacity(&self, now: MonotonicTime) -> bool {
        self.can_relay(now) && self.average_timer_lag_ms < OVERLOAD_TIMER_LAG_MS
    }

    /// Records how late a timer has fired.
    fn record_timer_lag(&mut self, lag: Millis) {
        self.average_timer_lag_ms += TIMER_LAG_SMOOTHING * (lag.0 as f64 - self.average_timer_lag_ms);
    }

    /// Queues a heartbeat for the next batch and returns the receiver of the leader's decision on it. Returns `None` if
    /// heartbeats can't be relayed now.
    fn enqueue(&mut self, heartbeat: Bytes, now: MonotonicTime) -> Option<oneshot::Receiver<HeartbeatDecision>> {
        if !self.can_relay(now) {
            return None;
        }
        let (decision, receiver) = oneshot::channel();
        self.waiting_bytes += heartbeat.len();
        self.waiting.push(WaitingHeartbeat { heartbeat, decision });
        Some(receiver)
    }

    /// Removes all waiting heartbeats and returns them.
    fn take_waiting(&mut self) -> Vec<WaitingHeartbeat> {
        self.waiting_bytes = 0;
        std::mem::take(&mut self.waiting)
    }

    /// Records whether the leader of `term` has answered the last batch that was sent to that leader.
    fn record_batch_result(&mut self, term: Term, answered: bool) {
        if self.leader.as_ref().is_some_and(|known| known.term == term) {
            self.leader_confirmed = answered;
        }
    }
}

/// The outcome of relaying a heartbeat.
pub enum RelayOutcome {
    /// The leader has decided on the heartbeat.
    Decided(HeartbeatDecision),
    /// The heartbeat was queued or sent, but the leader has made no decision. The worker should try another controller.
    Unanswered,
    /// Heartbeats can't be relayed now, see [`HeartbeatRelay::can_relay`].
    Unavailable,
}

/// Relays a heartbeat to the leader in the next batch and waits for the leader's decision on it.
pub async fn forward(node: &Node, heartbeat: Bytes) -> RelayOutcome {
    let now = node.now();
    let queued = node.lock().heartbeat_relay.enqueue(heartbeat, now);
    let Some(receiver) = queued else { return RelayOutcome::Unavailable };
    node.relay_wakeup.notify_one();
    receiver.await.map_or(RelayOutcome::Unanswered, RelayOutcome::Decided)
}

/// Wakes [`run`] when a heartbeat is waiting, or when the leader should be probed with an empty batch.
pub type RelayWakeup = Notify;

/// Sends waiting heartbeats to the leader in batches until the process ends. If no heartbeat is waiting when the loop
/// is woken, it sends an empty batch to find out whether the leader answers.
pub async fn run(node: Arc<Node>) {
    loop {
        node.relay_wakeup.notified().await;
        let due = node.now() + BATCH_INTERVAL;
        tokio::time::sleep(BATCH_INTERVAL.to_std()).await;
        let now = node.now();
        let (waiting, leader) = {
            let mut state = node.lock();
            state.heartbeat_relay.record_timer_lag(now - due);
            (state.heartbeat_relay.take_waiting(), state.heartbeat_relay.current_leader(now).cloned())
        };
        // Without a leader the heartbeats are dropped, which makes `forward` return `Unanswered` for each, and their
        // workers are redirected.
        let Some(leader) = leader else { continue };
        send_batch(&node, &leader, waiting).await;
    }
}

/// Sends one batch to the leader and passes each decision to the task that waits for it in [`forward`].
async fn send_batch(node: &Arc<Node>, leader: &KnownLeader, waiting: Vec<WaitingHeartbeat>) {
    let heartbeats = waiting.iter().map(|waiting| waiting.heartbeat.clone()).collect();
    let batch = HeartbeatBatch { version: VERSION, heartbeats, from: node.settings.name.clone() };
    let decisions = request_decisions(node, &leader.name, &batch).await;
    let decisions = decisions.filter(|decisions| decisions.len() == waiting.len());
    node.lock().heartbeat_relay.record_batch_result(leader.term, decisions.is_some());
    let Some(decisions) = decisions else {
        log::debug!("heartbeat batch not answered: leader={} heartbeats={}", leader.name, waiting.len());
        // The routes are refreshed before the heartbeats are dropped, so that the workers are redirected to a peer that
        // can relay their heartbeats: if several controllers are unreachable, a worker that tries them one by one would
        // lose its lease. Heartbeats that arrived meanwhile are dropped too, as another batch would only wait for
        // another timeout.
        relay_routes::refresh(node).await;
        drop(node.lock().heartbeat_relay.take_waiting());
        return;
    };
    for (waiting, decision) in waiting.into_iter().zip(decisions) {
        // Sending fails if the worker has closed its connection, so that no task waits for the decision.
        let _ = waiting.decision.send(decision);
    }
}

/// Sends a batch to the leader and returns its decisions in the order of the heartbeats. Returns `None` if there was
/// no valid response in time, or if that controller doesn't lead.
async fn request_decisions(node: &Node, leader: &str, batch: &HeartbeatBatch) -> Option<Vec<HeartbeatDecision>> {
    let address = node.settings.peers.iter().find(|peer| peer.name == leader)?.addr.to_string();
    let body = batch.encode_to_vec();
    let result = node.http.call(Method::POST, &address, peers::HEARTBEAT_BATCH_PATH, body, BATCH_TIMEOUT).await;
    let Ok((200, body)) = result else { return None };
    let response = HeartbeatDecisions::decode(body).ok()?;
    (response.version == VERSION && response.leading).then_some(response.decisions)
}

#[cfg(test)]
mod tests;
