//! The leader's work: loads the cluster state, gives the scheduler its inputs and carries out its effects.
//!
//! | module | what it does |
//! | --- | --- |
//! | `machine_types` | learns the machine types, from the store or the cloud |
//! | `loading` | reads the stored state on a failover |
//! | `effects` | carries out what the scheduler asks for |
//! | `live_jobs` | follows the live jobs in the store |
//! | `cloud_watch` | reads the cloud's list of machines and the prices |
//! | `peer_heartbeats` | tells the peers what they need, and hands over where they should lead |

mod cloud_watch;
mod effects;
mod live_jobs;
mod loading;
mod machine_types;
mod peer_heartbeats;

use super::input_latency::InputKind;
use super::node::{Node, NodeState};
use crate::core::cost::CostCounters;
use crate::core::election::LeaderRecord;
use crate::core::scheduler::{Scheduler, TICK_INTERVAL};
use crate::ids::Term;
use crate::time::MonotonicTime;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub(super) use effects::perform;
pub use machine_types::{MACHINE_TYPES_KEY, learn_types};

/// Does the work of the leader of a term until it is aborted or the term has ended. The lease is kept by
/// `net::election`.
pub async fn run(node: Arc<Node>, term: Term, record: LeaderRecord) {
    let Some(read_through) = loading::load_scheduler(&node, term, record).await else { return };
    tokio::join!(
        tick(&node, term),
        live_jobs::follow(&node, term, read_through),
        cloud_watch::run(&node, term),
        peer_heartbeats::run(&node, term)
    );
}

/// Whether this controller leads for the term, within its bound or not.
fn still_leads(node: &Node, term: Term) -> bool {
    node.lock().election.lease().is_some_and(|lease| lease.term == term)
}

async fn tick(node: &Arc<Node>, term: Term) {
    while still_leads(node, term) {
        let (now, wall) = (node.now(), node.wall_time());
        step(node, InputKind::Tick, |scheduler| scheduler.tick(now, wall));
        tokio::time::sleep(TICK_INTERVAL.to_std()).await;
    }
}

/// Gives the scheduler an input and starts carrying out its effects. Returns the scheduler's answer.
///
/// None: this controller doesn't lead or hasn't loaded the cluster state, or the bound of its lease has
/// passed. Then the scheduler gets no input, so that nothing is sent.
pub fn step<T>(node: &Arc<Node>, input_kind: InputKind, input: impl FnOnce(&mut Scheduler) -> T) -> Option<T> {
    let now = node.now();
    let (answer, term, effects) = {
        let mut state = node.lock();
        let Some(term) = state.election.active_term(now) else {
            if let Some(scheduler) = &mut state.scheduler {
                scheduler.abandon_round();
            }
            return None;
        };
        let (answer, effects) =
            step_measured(&mut state, now, input_kind, |scheduler| (input(scheduler), scheduler.take_effects()))?;
        (answer, term, effects)
    };
    for effect in effects {
        tokio::spawn(perform(node.clone(), term, effect));
    }
    Some(answer)
}

/// Starts carrying out the effects that the scheduler has left.
pub fn perform_pending(node: &Arc<Node>) {
    step(node, InputKind::Result, |_| ());
}

/// Gives the scheduler, if there is one, an input, and notes how long that took.
fn step_measured<T>(
    state: &mut NodeState,
    now: MonotonicTime,
    input_kind: InputKind,
    input: impl FnOnce(&mut Scheduler) -> T,
) -> Option<T> {
    let (answer, took, cost) = measured(state.scheduler.as_mut()?, input);
    state.input_latency.record(now, input_kind, took, cost);
    Some(answer)
}

/// Gives a scheduler an input. Returns its answer, how long that took and what it looked at.
fn measured<T>(scheduler: &mut Scheduler, input: impl FnOnce(&mut Scheduler) -> T) -> (T, Duration, CostCounters) {
    let (started, before) = (Instant::now(), scheduler.cost_counters());
    let answer = input(scheduler);
    (answer, started.elapsed(), scheduler.cost_counters().since(&before))
}

/// Gives the scheduler, if there is one, the result of an effect: also past the bound of the lease, as a
/// result is knowledge and sends nothing.
fn notify_scheduler(node: &Node, tell: impl FnOnce(&mut Scheduler, MonotonicTime)) {
    let now = node.now();
    step_measured(&mut node.lock(), now, InputKind::Result, |scheduler| tell(scheduler, now));
}
