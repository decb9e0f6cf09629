//! The load balancer's health check.

use crate::net::node::Node;

/// Whether the load balancer should route users to this controller: the machine types are known, and no other controller
/// could serve users better (see [`StoreHealth::is_isolated`](crate::net::store_health::StoreHealth::is_isolated)).
pub fn is_healthy(node: &Node) -> bool {
    let now = node.now();
    let state = node.lock();
    state.machine_types.is_some() && !state.store_health.is_isolated(now)
}
