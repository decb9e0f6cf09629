//! Client of the peer controllers: sends them heartbeats and requests for plans, which `net::peer_service` serves.

use super::node::Node;
use crate::config::Peer;
use crate::ids::JobId;
use crate::peer::{PeerHeartbeat, PeerHeartbeatResponse, PlanInput, PlanOutput, VERSION};
use crate::time::Millis;
use hyper::Method;
use prost::Message;
use std::sync::Arc;

/// HTTP path for heartbeats between controllers.
pub const HEARTBEAT_PATH: &str = "/peer/hello";
/// HTTP path on which a leader requests plans from its peers.
pub const PLAN_PATH: &str = "/peer/plan";
/// HTTP path on which a leader receives batches of workers' heartbeats from the peers that relay them.
pub const HEARTBEAT_BATCH_PATH: &str = "/peer/reports";

const CANCELLATION_NOTIFICATION_TIMEOUT: Millis = Millis(800);
/// Time limit of a request for a plan. Longer than the scheduler waits for plans; it discards those that arrive later.
const PLAN_TIMEOUT: Millis = Millis(400);

/// Creates a heartbeat with this controller's name and protocol version, and all other fields empty.
pub fn new_heartbeat(node: &Node) -> PeerHeartbeat {
    PeerHeartbeat { version: VERSION, from: node.settings.name.clone(), ..Default::default() }
}

/// Sends a heartbeat to one peer. Returns `None` if no valid response of this protocol version arrives in time.
async fn send_heartbeat(
    node: &Node,
    addr: &str,
    heartbeat: &PeerHeartbeat,
    timeout: Millis,
) -> Option<PeerHeartbeatResponse> {
    let result = node.http.call(Method::POST, addr, HEARTBEAT_PATH, heartbeat.encode_to_vec(), timeout).await;
    let Ok((200, body)) = result else { return None };
    PeerHeartbeatResponse::decode(body).ok().filter(|response| response.version == VERSION)
}

/// Sends a heartbeat to all peers concurrently. Returns the peers' responses, in the order of the peers in the
/// settings, with `None` for a peer that sent no valid response in time.
pub async fn broadcast_heartbeat(
    node: &Arc<Node>,
    heartbeat: &PeerHeartbeat,
    timeout: Millis,
) -> Vec<Option<PeerHeartbeatResponse>> {
    let mut requests = Vec::new();
    for peer in &node.settings.peers {
        let (node, heartbeat, addr) = (node.clone(), heartbeat.clone(), peer.addr.to_string());
        requests.push(tokio::spawn(async move { send_heartbeat(&node, &addr, &heartbeat, timeout).await }));
    }
    let mut responses = Vec::new();
    for request in requests {
        responses.push(request.await.ok().flatten());
    }
    responses
}

/// The peers that have responded to [`broadcast_heartbeat`], each with its response.
pub fn responding_peers<'a>(
    node: &'a Node,
    responses: &'a [Option<PeerHeartbeatResponse>],
) -> impl Iterator<Item = (&'a Peer, &'a PeerHeartbeatResponse)> {
    node.settings.peers.iter().zip(responses).filter_map(|(peer, response)| Some((peer, response.as_ref()?)))
}

/// Parses the names of jobs. Returns `None` if any of them is invalid.
pub fn parse_job_ids(names: &[String]) -> Option<Vec<JobId>> {
    names.iter().map(|name| JobId::parse(name)).collect()
}

/// Notifies the leader that a user's cancellation of a job was confirmed, without waiting for a response. The
/// notification only saves the leader from starting tasks of the job in the meantime: losing it does no harm, as the
/// leader also watches the live jobs in the store.
pub fn notify_leader_of_cancellation(node: &Arc<Node>, id: &JobId) {
    let leader = node.lock().leader_name.clone();
    let Some(peer) = node.settings.peers.iter().find(|peer| Some(&peer.name) == leader.as_ref()) else { return };
    let heartbeat = PeerHeartbeat { cancelled_jobs: vec![id.to_string()], ..new_heartbeat(node) };
    let (node, addr) = (node.clone(), peer.addr.to_string());
    tokio::spawn(async move { send_heartbeat(&node, &addr, &heartbeat, CANCELLATION_NOTIFICATION_TIMEOUT).await });
}

/// Requests a plan for a shard from the peer with this name. Returns `None` if there is no such peer, or it returns no
/// valid plan in time.
pub async fn request_plan(node: &Node, name: &str, input: &PlanInput) -> Option<PlanOutput> {
    let addr = node.settings.peers.iter().find(|peer| peer.name == name)?.addr.to_string();
    let result = node.http.call(Method::POST, &addr, PLAN_PATH, input.encode_to_vec(), PLAN_TIMEOUT).await;
    let Ok((200, body)) = result else { return None };
    PlanOutput::decode(body).ok()
}
