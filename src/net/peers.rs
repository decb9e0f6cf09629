//! Client of the peers: heartbeats and requests for plans. `net::peer_service` answers them.

use super::node::Node;
use crate::config::Peer;
use crate::ids::JobId;
use crate::peer::{PeerHeartbeat, PeerHeartbeatResponse, PlanInput, PlanOutput, VERSION};
use crate::time::Millis;
use hyper::Method;
use prost::Message;
use std::sync::Arc;

/// Where peers take heartbeats of controllers.
pub const HEARTBEAT_PATH: &str = "/peer/hello";
/// Where peers plan for a leader.
pub const PLAN_PATH: &str = "/peer/plan";
/// Where a leader decides on batches of workers' heartbeats.
pub const HEARTBEAT_BATCH_PATH: &str = "/peer/reports";

const CANCELLATION_HINT_TIMEOUT: Millis = Millis(800);
/// A leader waits less for a plan; a later one is dropped.
const PLAN_TIMEOUT: Millis = Millis(400);

/// A heartbeat of this controller that says nothing yet.
pub fn peer_heartbeat(node: &Node) -> PeerHeartbeat {
    PeerHeartbeat { version: VERSION, from: node.settings.name.clone(), ..Default::default() }
}

/// One peer's answer to a heartbeat; none: there was no readable one of this version in time.
async fn ask(node: &Node, addr: &str, heartbeat: &PeerHeartbeat, timeout: Millis) -> Option<PeerHeartbeatResponse> {
    let answer = node.http.call(Method::POST, addr, HEARTBEAT_PATH, heartbeat.encode_to_vec(), timeout).await;
    let Ok((200, body)) = answer else { return None };
    PeerHeartbeatResponse::decode(body).ok().filter(|response| response.version == VERSION)
}

/// Sends a heartbeat to all peers at once. Returns an answer or none for each, in the order of the settings.
pub async fn ask_all(
    node: &Arc<Node>,
    heartbeat: &PeerHeartbeat,
    timeout: Millis,
) -> Vec<Option<PeerHeartbeatResponse>> {
    let mut requests = Vec::new();
    for peer in &node.settings.peers {
        let (node, heartbeat, addr) = (node.clone(), heartbeat.clone(), peer.addr.to_string());
        requests.push(tokio::spawn(async move { ask(&node, &addr, &heartbeat, timeout).await }));
    }
    let mut answers = Vec::new();
    for request in requests {
        answers.push(request.await.ok().flatten());
    }
    answers
}

/// The peers that have answered [`ask_all`], each with its answer.
pub fn answered<'a>(
    node: &'a Node,
    answers: &'a [Option<PeerHeartbeatResponse>],
) -> impl Iterator<Item = (&'a Peer, &'a PeerHeartbeatResponse)> {
    node.settings.peers.iter().zip(answers).filter_map(|(peer, answer)| Some((peer, answer.as_ref()?)))
}

/// Jobs by their names; none: not all of these are names of jobs.
pub fn parse_job_ids(names: &[String]) -> Option<Vec<JobId>> {
    names.iter().map(|name| JobId::parse(name)).collect()
}

/// Tells the leader, without waiting, that a user has just been told of a cancellation. Nothing rests on it, as
/// the leader's watch says so as well.
pub fn tell_leader(node: &Arc<Node>, id: &JobId) {
    let leader = node.lock().leader_name.clone();
    let Some(peer) = node.settings.peers.iter().find(|peer| Some(&peer.name) == leader.as_ref()) else { return };
    let heartbeat = PeerHeartbeat { cancelled: vec![id.to_string()], ..peer_heartbeat(node) };
    let (node, addr) = (node.clone(), peer.addr.to_string());
    tokio::spawn(async move { ask(&node, &addr, &heartbeat, CANCELLATION_HINT_TIMEOUT).await });
}

/// Has a peer plan for its shard; none: it is no peer, or there was no readable plan in time.
pub async fn ask_plan(node: &Node, name: &str, input: &PlanInput) -> Option<PlanOutput> {
    let addr = node.settings.peers.iter().find(|peer| peer.name == name)?.addr.to_string();
    let answer = node.http.call(Method::POST, &addr, PLAN_PATH, input.encode_to_vec(), PLAN_TIMEOUT).await;
    let Ok((200, body)) = answer else { return None };
    PlanOutput::decode(body).ok()
}
