//! The load balancer's health check.

use crate::net::node::Node;

/// Whether the load balancer should send users here: the machine types are known, and no peer would serve users
/// better.
pub fn is_healthy(node: &Node) -> bool {
    let now = node.now();
    let state = node.lock();
    state.machine_types.is_some() && !state.store_health.is_isolated(now)
}
