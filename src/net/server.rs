//! The listening side: users, workers and health checks on one address, peers on the other.

use super::heartbeats;
use super::leader_loop;
use super::node::Node;
use super::user_api::{self, Reply};
use super::{peer_service, peers};
use bytes::Bytes;
use salvo::http::header::{CONTENT_TYPE, HeaderValue};
use salvo::prelude::*;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;

/// The limit of PROTOCOL on a request's body.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// A worker with a great many tasks may send more than users may.
const MAX_HEARTBEAT_BYTES: usize = 4 * MAX_BODY_BYTES;
/// A plan's input for a few thousand machines, with the images of each, has one or two MB. One beyond this is
/// refused and logged, and the leader plans that shard itself.
const MAX_PEER_BODY_BYTES: usize = 16 << 20;

/// What the handler of a path does.
#[derive(Clone, Copy)]
enum Route {
    Submit,
    Poll,
    Withdraw,
    Health,
    Heartbeat,
    PeerHeartbeat,
    Plan,
    HeartbeatBatch,
}

/// The handler of one path.
struct RouteHandler {
    node: Arc<Node>,
    route: Route,
}

#[salvo::handler]
impl RouteHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let node = &self.node;
        match self.route {
            Route::Health => {
                let ok = user_api::is_healthy(node);
                send(response, if ok { 200 } else { 503 }, json!({ "ok": ok }).to_string());
            }
            Route::Submit => match request.payload_with_max_size(MAX_BODY_BYTES).await {
                Ok(body) => {
                    let body = body.clone();
                    reply(response, user_api::submit(node, &body).await);
                }
                Err(_) => reply(response, Reply::error(400, "the body can't be read or is over 64 KiB")),
            },
            Route::Poll => {
                let id = request.param::<String>("id").unwrap_or_default();
                reply(response, user_api::poll(node, &id).await);
            }
            Route::Withdraw => {
                let id = request.param::<String>("id").unwrap_or_default();
                reply(response, user_api::withdraw(node, &id).await);
                leader_loop::perform_pending_effects(node);
            }
            Route::Heartbeat => {
                // Unreadable, it is answered like any other that is not a heartbeat.
                let body = request.payload_with_max_size(MAX_HEARTBEAT_BYTES).await.cloned().unwrap_or_default();
                let decision = heartbeats::respond_to_worker(node, &body).await;
                send(response, decision.status as u16, decision.body);
            }
            Route::PeerHeartbeat => {
                let answer = peer_body(request).await.and_then(|body| peer_service::respond_to_heartbeat(node, &body));
                send_to_peer(node, response, answer);
            }
            Route::Plan => {
                let answer = peer_body(request).await.and_then(|body| peer_service::plan(node, &body));
                send_to_peer(node, response, answer);
            }
            Route::HeartbeatBatch => {
                let answer = match peer_body(request).await {
                    Some(body) => heartbeats::answer_batch(node, &body).await,
                    None => None,
                };
                send_to_peer(node, response, answer);
            }
        }
    }
}

/// A peer's message; none: it can't be read or is too large.
async fn peer_body(request: &mut Request) -> Option<Bytes> {
    request.payload_with_max_size(MAX_PEER_BODY_BYTES).await.ok().cloned()
}

/// Sends a peer its answer; none: its message was bad.
fn send_to_peer(node: &Node, response: &mut Response, answer: Option<Vec<u8>>) {
    if let Some(answer) = answer {
        response.status_code(StatusCode::OK);
        // It fails only for a response that has a body already.
        let _ = response.write_body(answer);
        return;
    }
    let now = node.now();
    if let Some(count) = node.lock().bad_messages.record(now) {
        log::warn!("messages of peers that can't be read or are of another version: count={count}");
    }
    send(response, 400, json!({"error": "not a message of this version"}).to_string());
}

fn send(response: &mut Response, status: u16, body: impl Into<Bytes>) {
    response.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    // It fails only for a response that has a body already.
    let _ = response.write_body(body.into());
}

fn reply(response: &mut Response, reply: Reply) {
    if let Some(seconds) = reply.retry_after {
        let _ = response.add_header("retry-after", seconds.to_string(), true);
    }
    send(response, reply.status, reply.body);
}

fn handler(node: &Arc<Node>, route: Route) -> RouteHandler {
    RouteHandler { node: node.clone(), route }
}

/// The paths for users, workers and the load balancer.
pub fn public(node: &Arc<Node>) -> Router {
    Router::new()
        .push(Router::with_path("healthz").get(handler(node, Route::Health)))
        .push(
            Router::with_path("api/jobs")
                .post(handler(node, Route::Submit))
                .push(Router::with_path("{id}").get(handler(node, Route::Poll)))
                .push(Router::with_path("{id}/withdraw").post(handler(node, Route::Withdraw))),
        )
        .push(Router::with_path("v1/report").post(handler(node, Route::Heartbeat)))
}

/// The paths for peers.
pub fn internal(node: &Arc<Node>) -> Router {
    Router::new()
        .push(Router::with_path(&peers::HEARTBEAT_PATH[1..]).post(handler(node, Route::PeerHeartbeat)))
        .push(Router::with_path(&peers::PLAN_PATH[1..]).post(handler(node, Route::Plan)))
        .push(Router::with_path(&peers::HEARTBEAT_BATCH_PATH[1..]).post(handler(node, Route::HeartbeatBatch)))
}

/// The listener can't be opened, or has ended.
#[derive(Debug, thiserror::Error)]
#[error("{addr}: {reason}")]
pub struct ServeError {
    addr: SocketAddr,
    reason: String,
}

/// Serves at most `max_connections` connections at once. Those beyond wait unaccepted, so that the load
/// balancer and the workers turn to another controller.
pub async fn serve(addr: SocketAddr, router: Router, max_connections: usize) -> Result<(), ServeError> {
    let error = |reason: String| ServeError { addr, reason };
    let listener = TcpListener::new(addr).try_bind().await.map_err(|e| error(e.to_string()))?;
    Server::new(listener).max_connections(max_connections).try_serve(router).await.map_err(|e| error(e.to_string()))
}
