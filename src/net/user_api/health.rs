//! The load balancer's health check.

use crate::net::node::Node;
use crate::time::Millis;

/// A failure of the key-value store that lasts longer hides this controller from users.
const STORE_FAILURE_THRESHOLD: Millis = Millis(1_500);

/// Whether the load balancer should send users here: the machine types are known, and no peer would serve users
/// better.
pub fn is_healthy(node: &Node) -> bool {
    let now = node.now();
    let inner = node.lock();
    // Where the store refuses all controllers, nothing is gained by hiding.
    let refused_alone = inner.store_refused_since.is_some_and(|since| now - since > STORE_FAILURE_THRESHOLD)
        && inner.peer_reaches_store;
    // Cut off from the store and from all peers, this controller can't know whether a peer is served.
    let is_cut_off = inner.store_unreachable_since.is_some_and(|since| now - since > STORE_FAILURE_THRESHOLD)
        && inner.no_peer_answers;
    inner.types.is_some() && !refused_alone && !is_cut_off
}
