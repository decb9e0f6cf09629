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

/// The limit of the protocol on a request's body.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// A worker with a great many tasks may say more than users may.
const MAX_HEARTBEAT_BYTES: usize = 4 * MAX_BODY_BYTES;
/// A view of a few thousand machines, with the images of each, has one or two MB. One beyond this is
/// refused and logged, and the leader plans that part itself.
const MAX_PEER_BODY_BYTES: usize = 16 << 20;

#[derive(Clone, Copy)]
enum Route {
    Submit,
    Poll,
    Withdraw,
    Health,
    Heartbeat,
    PeerHeartbeat,
    Plan,
    Heartbeats,
}

struct Edge {
    node: Arc<Node>,
    route: Route,
}

#[salvo::handler]
impl Edge {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let node = &self.node;
        match self.route {
            Route::Health => {
                let ok = user_api::is_healthy(node);
                send(res, if ok { 200 } else { 503 }, json!({ "ok": ok }).to_string());
            }
            Route::Submit => match req.payload_with_max_size(MAX_BODY_BYTES).await {
                Ok(body) => {
                    let body = body.clone();
                    reply(res, user_api::submit(node, &body).await);
                }
                Err(_) => reply(res, Reply::error(400, "the body can't be read or is over 64 KiB")),
            },
            Route::Poll => {
                let id = req.param::<String>("id").unwrap_or_default();
                reply(res, user_api::poll(node, &id).await);
            }
            Route::Withdraw => {
                let id = req.param::<String>("id").unwrap_or_default();
                reply(res, user_api::withdraw(node, &id).await);
                leader_loop::perform_pending(node);
            }
            Route::Heartbeat => {
                // Unreadable, it is answered like any other that is not a heartbeat.
                let body = req.payload_with_max_size(MAX_HEARTBEAT_BYTES).await.cloned().unwrap_or_default();
                let decision = heartbeats::respond_to_worker(node, &body).await;
                send(res, decision.status as u16, decision.body);
            }
            Route::PeerHeartbeat | Route::Plan | Route::Heartbeats => {
                let body = req.payload_with_max_size(MAX_PEER_BODY_BYTES).await.ok();
                let answer = match (body, self.route) {
                    (None, _) => None,
                    (Some(body), Route::Plan) => peer_service::plan(node, body),
                    (Some(body), Route::Heartbeats) => heartbeats::answer_batch(node, body).await,
                    (Some(body), _) => peer_service::respond_to_heartbeat(node, body),
                };
                match answer {
                    Some(answer) => {
                        res.status_code(StatusCode::OK);
                        let _ = res.write_body(answer);
                    }
                    None => {
                        let now = node.now();
                        if let Some(count) = node.lock().bad_messages.note(now) {
                            log::warn!("messages of peers that can't be read or are of another version: {count}");
                        }
                        send(res, 400, json!({"error": "not a message of this version"}).to_string());
                    }
                }
            }
        }
    }
}

fn send(res: &mut Response, status: u16, body: impl Into<Bytes>) {
    res.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    // It fails only for a response that has a body already.
    let _ = res.write_body(body.into());
}

fn reply(res: &mut Response, r: Reply) {
    if let Some(s) = r.retry_after {
        let _ = res.add_header("retry-after", s.to_string(), true);
    }
    send(res, r.status, r.body);
}

fn edge(node: &Arc<Node>, route: Route) -> Edge {
    Edge { node: node.clone(), route }
}

pub fn public(node: &Arc<Node>) -> Router {
    Router::new()
        .push(Router::with_path("healthz").get(edge(node, Route::Health)))
        .push(
            Router::with_path("api/jobs")
                .post(edge(node, Route::Submit))
                .push(Router::with_path("{id}").get(edge(node, Route::Poll)))
                .push(Router::with_path("{id}/withdraw").post(edge(node, Route::Withdraw))),
        )
        .push(Router::with_path("v1/report").post(edge(node, Route::Heartbeat)))
}

pub fn internal(node: &Arc<Node>) -> Router {
    Router::new()
        .push(Router::with_path(&peers::HEARTBEAT_PATH[1..]).post(edge(node, Route::PeerHeartbeat)))
        .push(Router::with_path(&peers::PLAN_PATH[1..]).post(edge(node, Route::Plan)))
        .push(Router::with_path(&peers::HEARTBEAT_BATCH_PATH[1..]).post(edge(node, Route::Heartbeats)))
}

/// Serves at most `most` connections at once. Those beyond wait unaccepted, so that the load
/// balancer and the workers turn to another controller.
pub async fn serve(addr: SocketAddr, router: Router, most: usize) -> Result<(), String> {
    let listener = TcpListener::new(addr).try_bind().await.map_err(|e| format!("{addr}: {e}"))?;
    Server::new(listener).max_connections(most).try_serve(router).await.map_err(|e| format!("{addr}: {e}"))
}
