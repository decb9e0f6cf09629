//! Polls the cloud's list of machines, and less often the machine types for their current prices.

use super::{step, still_leads};
use crate::ids::Term;
use crate::net::input_latency::InputKind;
use crate::net::node::Node;
use crate::time::Millis;
use std::sync::Arc;

/// Bounds on the interval between two requests for the cloud's list of machines. Within these bounds, the interval is
/// half the time by which the list may lag behind.
const MIN_LIST_INTERVAL: Millis = Millis(2_000);
const MAX_LIST_INTERVAL: Millis = Millis(10_000);
/// Prices are requested once per this many polls of the list, first at the second poll.
const POLLS_PER_PRICE_REQUEST: u64 = 8;

/// Polls the cloud and passes the results to the scheduler while this controller leads for the term.
pub(super) async fn run(node: &Arc<Node>, term: Term) {
    let lag = Millis::from_secs_f64(node.settings.cluster.cloud.list_lag_s);
    let interval = Millis(lag.0 / 2).clamp(MIN_LIST_INTERVAL, MAX_LIST_INTERVAL);
    let mut polls = 0u64;
    while still_leads(node, term) {
        if let Ok(list) = node.cloud.list_machines(&node.http, node.now()).await {
            let now = node.now();
            step(node, InputKind::Result, |scheduler| scheduler.on_machine_list(now, &list));
        }
        if polls % POLLS_PER_PRICE_REQUEST == 1
            && let Ok(types) = node.cloud.machine_types(&node.http, node.now()).await
            && let Some(scheduler) = &mut node.lock().scheduler
        {
            scheduler.set_machine_types(types);
        }
        polls += 1;
        tokio::time::sleep(interval.to_std()).await;
    }
}
