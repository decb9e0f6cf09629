//! What the leading controller does: loads the cluster state, passes inputs to the scheduler and performs the
//! effects that the scheduler requests.
//!
//! | module | purpose |
//! | --- | --- |
//! | `machine_types` | reads the machine types from the store or the cloud |
//! | `loading` | builds the scheduler from the stored state after a failover |
//! | `effects` | performs the scheduler's effects |
//! | `live_jobs` | watches the live jobs in the store |
//! | `cloud_watch` | polls the cloud's list of machines and its prices |
//! | `peer_heartbeats` | sends heartbeats to the peers, and decides whether to hand over to one of them |

mod cloud_watch;
mod effects;
mod live_jobs;
mod loading;
mod machine_types;
mod peer_heartbeats;

use super::input_latency::InputKind;
use super::node::{Node, NodeState};
use crate::core::cost::OperationCounts;
use crate::core::election::LeaderRecord;
use crate::core::scheduler::{Scheduler, TICK_INTERVAL};
use crate::ids::Term;
use crate::time::MonotonicTime;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub(super) use effects::perform_effect;
pub use machine_types::{MACHINE_TYPES_KEY, poll_machine_types};

/// Loads the cluster state and runs the scheduler for a term, until the future is aborted or this controller no longer
/// leads for the term. Meanwhile `net::election` renews the leader's lease.
pub async fn run(node: Arc<Node>, term: Term, record: LeaderRecord) {
    let Some(read_through) = loading::load_scheduler(&node, term, record).await else { return };
    tokio::join!(
        run_ticks(&node, term),
        live_jobs::watch(&node, term, read_through),
        cloud_watch::run(&node, term),
        peer_heartbeats::run(&node, term)
    );
}

/// Whether this controller still leads for the term, even if its lease has expired.
fn still_leads(node: &Node, term: Term) -> bool {
    node.lock().election.lease().is_some_and(|lease| lease.term == term)
}

/// Calls the scheduler at regular intervals while this controller leads for the term.
async fn run_ticks(node: &Arc<Node>, term: Term) {
    while still_leads(node, term) {
        let (now, wall) = (node.now(), node.wall_time());
        step(node, InputKind::Tick, |scheduler| scheduler.tick(now, wall));
        tokio::time::sleep(TICK_INTERVAL.to_std()).await;
    }
}

/// Gives the scheduler an input and starts to perform the effects that the scheduler requests. Returns the result of
/// `input`.
///
/// Returns `None` if this controller may not act as leader now or hasn't loaded the cluster state. In that case the
/// scheduler gets no input, so that it requests no effects.
pub fn step<T>(node: &Arc<Node>, input_kind: InputKind, input: impl FnOnce(&mut Scheduler) -> T) -> Option<T> {
    let now = node.now();
    let (result, term, effects) = {
        let mut state = node.lock();
        let Some(term) = state.election.active_term(now) else {
            if let Some(scheduler) = &mut state.scheduler {
                scheduler.abandon_round();
            }
            return None;
        };
        let (result, effects) =
            step_measured(&mut state, now, input_kind, |scheduler| (input(scheduler), scheduler.take_effects()))?;
        (result, term, effects)
    };
    for effect in effects {
        tokio::spawn(perform_effect(node.clone(), term, effect));
    }
    Some(result)
}

/// Starts to perform the effects that the scheduler has requested and that have not been started.
pub fn perform_pending_effects(node: &Arc<Node>) {
    step(node, InputKind::Result, |_| ());
}

/// Gives the scheduler, if there is one, an input and records its latency.
fn step_measured<T>(
    state: &mut NodeState,
    now: MonotonicTime,
    input_kind: InputKind,
    input: impl FnOnce(&mut Scheduler) -> T,
) -> Option<T> {
    let (result, took, operations) = measure(state.scheduler.as_mut()?, input);
    state.input_latency.record(now, input_kind, took, operations);
    Some(result)
}

/// Gives a scheduler an input. Returns the result of `input`, the time that the call took and the operations that the
/// scheduler counted meanwhile.
fn measure<T>(scheduler: &mut Scheduler, input: impl FnOnce(&mut Scheduler) -> T) -> (T, Duration, OperationCounts) {
    let (started_at, before) = (Instant::now(), scheduler.operation_counts());
    let result = input(scheduler);
    (result, started_at.elapsed(), scheduler.operation_counts().since(&before))
}

/// Gives the scheduler, if there is one, the result of an effect. Does so even after the leader's lease has expired, as
/// recording a result sends nothing.
fn notify_scheduler(node: &Node, notify: impl FnOnce(&mut Scheduler, MonotonicTime)) {
    let now = node.now();
    step_measured(&mut node.lock(), now, InputKind::Result, |scheduler| notify(scheduler, now));
}
