//! Carries out the scheduler's effects: orders, writes, plans, look-ups and calls of the cloud.

use super::{notify_scheduler, perform_pending, step};
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

/// How long a worker has to answer orders.
const ORDERS_TIMEOUT: Millis = Millis(2_000);

/// Carries out an effect of the scheduler of a term, and gives it the result. This process may have been
/// frozen since the effect was decided: what this leader may not send any more isn't sent.
pub(in crate::net) async fn perform(node: Arc<Node>, term: Term, effect: Effect) {
    let now = node.now();
    let active_term = node.lock().election.active_term(now) == Some(term);
    match effect {
        Effect::Orders { request, endpoint, body } => {
            let result = if active_term { send_orders(&node, &endpoint, &body).await } else { OrdersResult::Unknown };
            notify_scheduler(&node, |scheduler, now| scheduler.on_orders_result(now, request, result));
            perform_pending(&node);
        }
        Effect::Commit { request, transaction } => {
            let result = match active_term {
                true => node.commit(&transaction).await.into(),
                false => CommitOutcome::Rejected,
            };
            notify_scheduler(&node, |scheduler, now| scheduler.on_committed(now, request, result));
            perform_pending(&node);
        }
        Effect::RefreshFence(transaction) => {
            let revision = refresh_fence(&node, &transaction).await;
            notify_scheduler(&node, |scheduler, now| scheduler.on_fence_refreshed(now, revision));
            perform_pending(&node);
        }
        Effect::Plan { node: peer, input } => {
            let plan = peers::ask_plan(&node, &peer, &input).await;
            let now = node.now();
            step(&node, InputKind::Plan, |scheduler| scheduler.on_plan(now, &peer, plan));
        }
        Effect::LookUpOutcomes(ids) => {
            let outcomes = linearizable_reads::outcomes(&node, &ids).await;
            notify_scheduler(&node, |scheduler, now| scheduler.on_outcomes_looked_up(now, &outcomes));
            perform_pending(&node);
        }
        Effect::Provision(request) => {
            let result = match active_term {
                true => node.cloud.provision(&node.http, now, &request).await,
                false => ProvisionOutcome::Unknown,
            };
            notify_scheduler(&node, |scheduler, now| scheduler.on_provisioned(now, &request.name, result));
        }
        Effect::Terminate(ids) => {
            let names = ids.iter().map(MachineId::to_string).collect();
            let terminated = active_term && node.cloud.terminate(&node.http, now, names).await.is_ok();
            notify_scheduler(&node, |scheduler, now| scheduler.on_terminated(now, &ids, terminated));
        }
    }
}

impl From<Result<Revision, CommitError>> for CommitOutcome {
    fn from(result: Result<Revision, CommitError>) -> CommitOutcome {
        match result {
            Ok(_) => CommitOutcome::Committed,
            Err(CommitError::Conflict(keys)) => CommitOutcome::Conflict(keys),
            Err(CommitError::Store(KvError::Unknown(_) | KvError::TooLarge)) => CommitOutcome::Unknown,
            Err(CommitError::Store(KvError::Refused | KvError::Busy | KvError::Status(_))) => CommitOutcome::Rejected,
        }
    }
}

/// Sends orders to a worker once, and never again: a run order that comes late could start its task anew.
async fn send_orders(node: &Node, endpoint: &str, orders: &DirectOrders) -> OrdersResult {
    let body = serde_json::to_vec(orders).unwrap_or_default();
    let heartbeat = |body: &[u8]| serde_json::from_slice::<Heartbeat>(body).ok();
    match node.orders.call(Method::POST, endpoint, "/orders", body, ORDERS_TIMEOUT).await {
        Ok((200, body)) => heartbeat(&body).map_or(OrdersResult::Unknown, OrdersResult::Executed),
        Ok((409, body)) => heartbeat(&body).map_or(OrdersResult::Unknown, OrdersResult::Rejected),
        Ok((status, _)) => {
            warn!("orders failed: endpoint={endpoint} status={status}");
            OrdersResult::Unknown
        }
        Err(e) => {
            debug!("orders failed: endpoint={endpoint} error={e}");
            OrdersResult::Unknown
        }
    }
}

/// Writes the leader's key anew. Returns its revision then; none if that isn't known, or if the key isn't this
/// leader's any more.
async fn refresh_fence(node: &Node, transaction: &Transaction) -> Option<Revision> {
    if let Ok(revision) = node.commit(transaction).await {
        return Some(revision);
    }
    // Perhaps written, now or by an earlier try.
    let row = node.track_store(node.kv.get(&node.http, LEADER_KEY)).await.ok()??;
    let writes_row = |mutation: &Mutation| matches!(mutation, Mutation::Put { value, .. } if *value == row.value);
    transaction.mutations.iter().any(writes_row).then_some(Revision(row.revision))
}
