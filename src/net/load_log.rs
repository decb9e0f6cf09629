//! Logs at regular intervals how long inputs occupied the core, and the load of this controller.

use super::node::Node;
use crate::time::Millis;
use log::info;
use std::sync::Arc;

const LOG_INTERVAL: Millis = Millis(10_000);

/// Logs the load of this controller until the process ends.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(LOG_INTERVAL.to_std()).await;
        log_load(&node);
    }
}

fn log_load(node: &Node) {
    let now = node.now();
    let mut state = node.lock();
    // Without any input nothing has changed since the load was last logged.
    let Some(summary) = state.input_latency.take_summary() else { return };
    info!("inputs: {summary}");
    let (heartbeats, requests) = (state.heartbeat_relay.waiting_count(), state.user_requests_in_progress);
    match (&state.scheduler, state.election.active_term(now)) {
        (Some(scheduler), Some(term)) => {
            let load = scheduler.load_summary();
            info!("load: active term={term} {load} heartbeats={heartbeats} requests={requests}");
        }
        _ => info!("load: not active leader={:?} heartbeats={heartbeats} requests={requests}", state.leader_name),
    }
}
