//! Logs at regular intervals how long inputs held the core, and what this controller has to do.

use super::node::Node;
use crate::time::Millis;
use log::info;
use std::sync::Arc;

const LOG_INTERVAL: Millis = Millis(10_000);

/// Logs the figures of this controller for as long as the process runs.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(LOG_INTERVAL.to_std()).await;
        log_figures(&node);
    }
}

fn log_figures(node: &Node) {
    let now = node.now();
    let mut state = node.lock();
    // Without an input there is nothing new to say.
    let Some(line) = state.input_latency.take_line() else { return };
    info!("inputs: {line}");
    let (heartbeats, requests) = (state.heartbeat_relay.waiting_count(), state.user_requests_in_progress);
    match (&state.scheduler, state.election.active_term(now)) {
        (Some(scheduler), Some(term)) => {
            let load = scheduler.load_summary();
            info!("load: active term={term} {load} heartbeats={heartbeats} requests={requests}");
        }
        _ => info!("load: not active leader={:?} heartbeats={heartbeats} requests={requests}", state.leader_name),
    }
}
