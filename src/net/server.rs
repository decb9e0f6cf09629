//! HTTP servers: one address serves users, workers and health checks, the other serves peer controllers.

use super::heartbeat_body;
use super::heartbeats;
use super::leader_loop;
use super::node::Node;
use super::user_api::{self, Reply};
use super::{peer_service, peers};
use crate::core::task_slots::MAX_BODY_BYTES;
use bytes::Bytes;
use salvo::http::header::{CONTENT_TYPE, HeaderValue};
use salvo::prelude::*;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum size of the body of a submission in bytes, as specified in PROTOCOL.
const MAX_SUBMISSION_BYTES: usize = MAX_BODY_BYTES;
/// Maximum size in bytes of a peer's request body. The input of a plan for a few thousand machines, with their cached
/// images, takes 1 to 2 MB. A larger body is rejected and logged, and the leader plans that shard itself.
const MAX_PEER_BODY_BYTES: usize = 16 << 20;

/// An HTTP endpoint of this controller: a path with its method.
#[derive(Clone, Copy)]
enum Route {
    Submit,
    Poll,
    Cancel,
    Health,
    Heartbeat,
    PeerHeartbeat,
    Plan,
    HeartbeatBatch,
}

/// Handles the requests to one route.
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
                send_json(response, if ok { 200 } else { 503 }, json!({ "ok": ok }).to_string());
            }
            Route::Submit => match request.payload_with_max_size(MAX_SUBMISSION_BYTES).await {
                Ok(body) => {
                    let body = body.clone();
                    send_reply(response, user_api::submit(node, &body).await);
                }
                Err(_) => send_reply(response, Reply::error(400, "the body can't be read or is over 64 KiB")),
            },
            Route::Poll => {
                let id = request.param::<String>("id").unwrap_or_default();
                send_reply(response, user_api::poll(node, &id).await);
            }
            Route::Cancel => {
                let id = request.param::<String>("id").unwrap_or_default();
                send_reply(response, user_api::cancel(node, &id).await);
                leader_loop::perform_pending_effects(node);
            }
            Route::Heartbeat => {
                let decision = match heartbeat_body::read(request).await {
                    Ok(body) => heartbeats::respond_to_worker(node, &body).await,
                    Err(error) => heartbeats::reject_body(node, &error),
                };
                send_json(response, decision.status as u16, decision.body);
            }
            Route::PeerHeartbeat => {
                let response_body =
                    read_peer_body(request).await.and_then(|body| peer_service::respond_to_heartbeat(node, &body));
                send_to_peer(node, response, response_body);
            }
            Route::Plan => {
                let response_body =
                    read_peer_body(request).await.and_then(|body| peer_service::respond_to_plan_request(node, &body));
                send_to_peer(node, response, response_body);
            }
            Route::HeartbeatBatch => {
                let response_body = match read_peer_body(request).await {
                    Some(body) => heartbeats::respond_to_batch(node, &body).await,
                    None => None,
                };
                send_to_peer(node, response, response_body);
            }
        }
    }
}

/// Reads the body of a peer's request. Returns `None` if it can't be read or is over `MAX_PEER_BODY_BYTES`.
async fn read_peer_body(request: &mut Request) -> Option<Bytes> {
    request.payload_with_max_size(MAX_PEER_BODY_BYTES).await.ok().cloned()
}

/// Sends a response to a peer. If `body` is `None`, the request was invalid and is answered with status 400.
fn send_to_peer(node: &Node, response: &mut Response, body: Option<Vec<u8>>) {
    if let Some(body) = body {
        response.status_code(StatusCode::OK);
        // Fails only if the response already has a body.
        let _ = response.write_body(body);
        return;
    }
    let now = node.now();
    if let Some(count) = node.lock().bad_messages.record(now) {
        log::warn!(
            "rejected peer messages that are unreadable, too large or of another protocol version: count={count}"
        );
    }
    send_json(response, 400, json!({"error": "not a message of this version"}).to_string());
}

fn send_json(response: &mut Response, status: u16, body: impl Into<Bytes>) {
    response.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    // Fails only if the response already has a body.
    let _ = response.write_body(body.into());
}

fn send_reply(response: &mut Response, reply: Reply) {
    if let Some(seconds) = reply.retry_after {
        let _ = response.add_header("retry-after", seconds.to_string(), true);
    }
    send_json(response, reply.status, reply.body);
}

fn route_handler(node: &Arc<Node>, route: Route) -> RouteHandler {
    RouteHandler { node: node.clone(), route }
}

/// The HTTP routes of the address that serves users, workers and the load balancer.
pub fn public_router(node: &Arc<Node>) -> Router {
    Router::new()
        .push(Router::with_path("healthz").get(route_handler(node, Route::Health)))
        .push(
            Router::with_path("api/jobs")
                .post(route_handler(node, Route::Submit))
                .push(Router::with_path("{id}").get(route_handler(node, Route::Poll)))
                .push(Router::with_path("{id}/withdraw").post(route_handler(node, Route::Cancel))),
        )
        .push(Router::with_path("v1/report").post(route_handler(node, Route::Heartbeat)))
}

/// The HTTP routes of the address that serves peer controllers.
pub fn internal_router(node: &Arc<Node>) -> Router {
    Router::new()
        .push(Router::with_path(&peers::HEARTBEAT_PATH[1..]).post(route_handler(node, Route::PeerHeartbeat)))
        .push(Router::with_path(&peers::PLAN_PATH[1..]).post(route_handler(node, Route::Plan)))
        .push(Router::with_path(&peers::HEARTBEAT_BATCH_PATH[1..]).post(route_handler(node, Route::HeartbeatBatch)))
}

/// Why a server doesn't run: its address can't be bound, or it has stopped with an error.
#[derive(Debug, thiserror::Error)]
#[error("{addr}: {reason}")]
pub struct ServeError {
    addr: SocketAddr,
    reason: String,
}

/// Serves at most `max_connections` connections at the same time. Further connections are not accepted until one
/// closes, so that the load balancer and the workers turn to another controller.
pub async fn serve(addr: SocketAddr, router: Router, max_connections: usize) -> Result<(), ServeError> {
    let error = |reason: String| ServeError { addr, reason };
    let listener = TcpListener::new(addr).try_bind().await.map_err(|e| error(e.to_string()))?;
    Server::new(listener).max_connections(max_connections).try_serve(router).await.map_err(|e| error(e.to_string()))
}
