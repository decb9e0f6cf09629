//! Reads the cloud's list of machines, and now and then its prices.

use super::{step, still_leads};
use crate::ids::Term;
use crate::net::input_latency::InputKind;
use crate::net::node::Node;
use crate::time::Millis;
use std::sync::Arc;

/// Bounds of the time between two lists; within them it is half the list's own lag.
const MIN_LIST_INTERVAL: Millis = Millis(2_000);
const MAX_LIST_INTERVAL: Millis = Millis(10_000);
/// Prices are read after every so many lists, for the first time after the second.
const LISTS_PER_PRICE_READING: u64 = 8;

/// Gives the scheduler the cloud's lists while this controller leads for the term.
pub(super) async fn run(node: &Arc<Node>, term: Term) {
    let lag = Millis::from_secs_f64(node.settings.cluster.cloud.list_lag_s);
    let interval = Millis(lag.0 / 2).clamp(MIN_LIST_INTERVAL, MAX_LIST_INTERVAL);
    let mut rounds = 0u64;
    while still_leads(node, term) {
        if let Ok(list) = node.cloud.list(&node.http, node.now()).await {
            let now = node.now();
            step(node, InputKind::Result, |scheduler| scheduler.on_machine_list(now, &list));
        }
        if rounds % LISTS_PER_PRICE_READING == 1
            && let Ok(types) = node.cloud.types(&node.http, node.now()).await
            && let Some(scheduler) = &mut node.lock().scheduler
        {
            scheduler.set_machine_types(types);
        }
        rounds += 1;
        tokio::time::sleep(interval.to_std()).await;
    }
}
