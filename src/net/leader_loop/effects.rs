//! Performs the scheduler's effects: orders to workers, writes to the store, requests for plans from peers, lookups
//! of job outcomes and requests to the cloud.

use super::{notify_scheduler, perform_pending_effects, step};
use crate::core::election::LEADER_KEY;
use crate::core::scheduler::{CommitOutcome, Effect, OrdersResult, ProvisionOutcome};
use crate::ids::{MachineId, Revision, Term};
use crate::net::input_latency::InputKind;
use crate::net::kv::{CommitError, KvError};
use crate::net::node::Node;
use crate::net::{linearizable_reads, peers};
use crate::time::Millis;
use crate::wire::{DirectOrders, Heartbeat, Mutation, Transaction};
use hyper::Method;
use log::{debug, warn};
use std::sync::Arc;

/// Timeout of a request that sends orders to a worker.
const ORDERS_TIMEOUT: Millis = Millis(2_000);

/// Performs an effect that the scheduler of a term requested, and gives the scheduler the result.
///
/// This process may have been suspended after the scheduler requested the effect. Orders, commits and requests to
/// the cloud are therefore sent only if this controller may still act as leader of the term. A refresh of the fence
/// (rewriting the leader's key to give it a new revision) needs no such check, as its precondition names the key's
/// revision.
pub(in crate::net) async fn perform_effect(node: Arc<Node>, term: Term, effect: Effect) {
    let now = node.now();
    let is_term_active = node.lock().election.active_term(now) == Some(term);
    match effect {
        Effect::Orders { request, endpoint, body } => {
            let result =
                if is_term_active { send_orders(&node, &endpoint, &body).await } else { OrdersResult::Unknown };
            notify_scheduler(&node, |scheduler, now| scheduler.on_orders_result(now, request, result));
            perform_pending_effects(&node);
        }
        Effect::Commit { request, transaction } => {
            let result = match is_term_active {
                true => node.commit(&transaction).await.into(),
                false => CommitOutcome::Rejected,
            };
            notify_scheduler(&node, |scheduler, now| scheduler.on_committed(now, request, result));
            perform_pending_effects(&node);
        }
        Effect::RefreshFence(transaction) => {
            let revision = refresh_fence(&node, &transaction).await;
            notify_scheduler(&node, |scheduler, now| scheduler.on_fence_refreshed(now, revision));
            perform_pending_effects(&node);
        }
        Effect::Plan { node: peer, input } => {
            let plan = peers::request_plan(&node, &peer, &input).await;
            let now = node.now();
            step(&node, InputKind::Plan, |scheduler| scheduler.on_plan(now, &peer, plan));
        }
        Effect::LookUpOutcomes(ids) => {
            let outcomes = linearizable_reads::look_up_outcomes(&node, &ids).await;
            notify_scheduler(&node, |scheduler, now| scheduler.on_outcomes_looked_up(now, &outcomes));
            perform_pending_effects(&node);
        }
        Effect::Provision(request) => {
            let result = match is_term_active {
                true => node.cloud.provision(&node.http, now, &request).await,
                false => ProvisionOutcome::Unknown,
            };
            notify_scheduler(&node, |scheduler, now| scheduler.on_provisioned(now, &request.name, result));
        }
        Effect::Terminate(ids) => {
            let names = ids.iter().map(MachineId::to_string).collect();
            let terminated = is_term_active && node.cloud.terminate(&node.http, now, names).await.is_ok();
            notify_scheduler(&node, |scheduler, now| scheduler.on_terminated(now, &ids, terminated));
        }
    }
}

impl From<Result<Revision, CommitError>> for CommitOutcome {
    fn from(result: Result<Revision, CommitError>) -> CommitOutcome {
        match result {
            Ok(revision) => CommitOutcome::Committed(revision),
            Err(CommitError::Conflict(keys)) => CommitOutcome::Conflict(keys),
            Err(CommitError::Store(KvError::NoResponse(_) | KvError::TooLarge)) => CommitOutcome::Unknown,
            Err(CommitError::Store(KvError::Refused | KvError::Busy | KvError::Status(_))) => CommitOutcome::Rejected,
        }
    }
}

/// Sends orders to a worker, without retries: a run order that arrives late could start its task a second time.
async fn send_orders(node: &Node, endpoint: &str, orders: &DirectOrders) -> OrdersResult {
    let body = serde_json::to_vec(orders).unwrap_or_default();
    let parse_heartbeat = |body: &[u8]| serde_json::from_slice::<Heartbeat>(body).ok();
    match node.worker_http.call(Method::POST, endpoint, "/orders", body, ORDERS_TIMEOUT).await {
        Ok((200, body)) => parse_heartbeat(&body).map_or(OrdersResult::Unknown, OrdersResult::Executed),
        Ok((409, body)) => parse_heartbeat(&body).map_or(OrdersResult::Unknown, OrdersResult::Rejected),
        Ok((status, _)) => {
            warn!("worker answered orders with an unexpected status: endpoint={endpoint} status={status}");
            OrdersResult::Unknown
        }
        Err(e) => {
            debug!("orders to worker failed: endpoint={endpoint} error={e}");
            OrdersResult::Unknown
        }
    }
}

/// Writes the leader's key again, to give it a new revision. Returns that revision, or `None` if it isn't known or
/// the key doesn't belong to this leader any more.
async fn refresh_fence(node: &Node, transaction: &Transaction) -> Option<Revision> {
    if let Ok(revision) = node.commit(transaction).await {
        return Some(revision);
    }
    // The write may have been committed although the store returned no result, and so may an earlier attempt. Whether
    // one was committed is seen from the key.
    let row = node.track_store(node.kv.get(&node.http, LEADER_KEY)).await.ok()??;
    let matches_row = |mutation: &Mutation| matches!(mutation, Mutation::Put { value, .. } if *value == row.value);
    transaction.mutations.iter().any(matches_row).then_some(Revision(row.revision))
}
