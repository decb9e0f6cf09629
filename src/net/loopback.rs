//! Integration tests: controllers on the loopback interface with a fake key-value store, cloud and worker.

mod bounds;
mod dependencies;
mod fakes;
mod leadership;
mod relay;
mod users;

pub(super) use self::fakes::FakeCluster;
use super::http::HttpClient;
use super::node::Node;
use super::{election, heartbeat_relay, leader_loop, peers, relay_routes, server};
use crate::config::{Peer, Settings, Tuning, sample_settings};
use crate::core::cancellations::ConfirmedCancellations;
use crate::core::election::{LEADER_KEY, SUCCESSOR_KEY};
use crate::core::scheduler::Effect;
use crate::ids::{AgentEpoch, Attempt, FencingToken, LeaseId, Revision, TaskId, Term};
use crate::time::{Millis, MonotonicTime};
use crate::wire::{DirectOrders, Order};
use hyper::Method;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Ports of the tests' servers. They lie below the ephemeral ports, as the operating system could assign one of
/// those to an outgoing connection after `free_addr` has found it free and before the server binds it.
const TEST_PORTS: std::ops::Range<u32> = 10_000..32_000;

/// Returns an address that nothing listens on and that no other test of this process gets.
pub(super) fn free_addr() -> SocketAddr {
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    // Test processes that run at the same time start at ports that are far apart.
    let first = std::process::id().wrapping_mul(211);
    loop {
        let number = first.wrapping_add(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed));
        let port = TEST_PORTS.start + number % (TEST_PORTS.end - TEST_PORTS.start);
        let addr = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if std::net::TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// An HTTP client of one controller's public API, for users and workers.
pub(super) struct Client {
    http: HttpClient,
    addr: String,
}

impl Client {
    async fn call(&self, method: Method, path: &str, body: Value) -> (u16, Value) {
        let (status, body) =
            self.http.call(method, &self.addr, path, body.to_string().into(), Millis(3_000)).await.unwrap();
        (status, serde_json::from_slice(&body).unwrap_or_default())
    }

    pub(super) async fn post(&self, path: &str, body: Value) -> (u16, Value) {
        self.call(Method::POST, path, body).await
    }

    async fn get(&self, path: &str) -> (u16, Value) {
        self.call(Method::GET, path, json!({})).await
    }

    async fn submit(&self, job: Value) -> (u16, Value) {
        self.post("/api/jobs", job).await
    }

    async fn cancel(&self, id: &str) -> (u16, Value) {
        self.post(&format!("/api/jobs/{id}/withdraw"), json!({})).await
    }

    async fn job(&self, id: &str) -> (u16, Value) {
        self.get(&format!("/api/jobs/{id}")).await
    }

    /// Sends the worker's next heartbeat to this controller. The worker adopts the response's fencing token and ignores
    /// its orders.
    async fn heartbeat(&self, cluster: &FakeCluster) -> (u16, Value) {
        let (status, answer) = self.post("/v1/report", cluster.heartbeat()).await;
        cluster.lock().worker.on_heartbeat_response(&answer);
        (status, answer)
    }
}

fn job(id: &str, tasks: u32) -> Value {
    json!({"id": id, "berth": "feed", "crew": "team-b", "shape": "batch", "rank": "normal", "lots": tasks,
        "cores": 2.0, "gpus": 0.0, "ram_gb": 2.0, "cast": "img", "pull_gb": 1.0, "same_place": false,
        "apart": false, "loaner": true, "expect_s": 5.0, "mark_s": 0.0, "stow_s": 0.0})
}

/// Waits until a condition holds, and panics after 10 s, so that a controller that is stuck doesn't hang the test.
async fn eventually(mut condition: impl AsyncFnMut() -> bool) {
    for _ in 0..200 {
        if condition().await {
            return;
        }
        tokio::time::sleep(Millis(50).to_std()).await;
    }
    panic!("condition did not hold within 10 s");
}

/// Waits until a server accepts connections at the address.
async fn wait_for_listener(addr: SocketAddr) {
    eventually(async || tokio::net::TcpStream::connect(addr).await.is_ok()).await;
}

/// Starts a controller without peers.
async fn start_without_peers(cluster: &FakeCluster) -> (Arc<Node>, Client) {
    let mut settings = sample_settings();
    settings.peers.clear();
    settings.peer_listen_addr = free_addr();
    start(cluster, settings).await
}

/// Starts a controller whose peers can't be reached.
async fn start_with_unreachable_peers(cluster: &FakeCluster) -> (Arc<Node>, Client) {
    let mut settings = sample_settings();
    settings.peers.iter_mut().for_each(|peer| peer.addr = free_addr());
    settings.peer_listen_addr = free_addr();
    start(cluster, settings).await
}

/// Starts a controller and the fakes that it talks to, and returns it with a client of its public API. All servers
/// accept connections when this function returns. The controller doesn't stand for election yet.
pub(super) async fn start(cluster: &FakeCluster, mut settings: Settings) -> (Arc<Node>, Client) {
    settings.listen_addr = free_addr();
    settings.services.store = cluster.serve_store(&settings.name);
    settings.services.cloud = cluster.serve_cloud();
    let worker = cluster.serve_worker();
    let client = Client { http: HttpClient::new(16), addr: settings.listen_addr.to_string() };
    let node = Node::new(settings, Tuning::default());
    tokio::spawn(heartbeat_relay::run(node.clone()));
    tokio::spawn(relay_routes::run(node.clone()));
    tokio::spawn(server::serve(node.settings.listen_addr, server::public_router(&node), 64));
    for addr in [node.settings.services.store, node.settings.services.cloud, worker, node.settings.listen_addr] {
        wait_for_listener(addr).await;
    }
    (node, client)
}

/// Starts a controller's server for its peers, so that it receives their messages.
async fn serve_peers(node: &Arc<Node>) {
    tokio::spawn(server::serve(node.settings.peer_listen_addr, server::internal_router(node), 64));
    wait_for_listener(node.settings.peer_listen_addr).await;
}

/// Starts the tasks of a controller that poll the machine types and take part in leader elections.
fn join_election(node: &Arc<Node>) {
    tokio::spawn(leader_loop::poll_machine_types(node.clone()));
    tokio::spawn(election::run(node.clone()));
}

/// Starts a controller without peers, and waits until it leads and serves users.
async fn start_leading(cluster: &FakeCluster) -> (Arc<Node>, Client) {
    let (node, client) = start_without_peers(cluster).await;
    join_election(&node);
    eventually(async || client.get("/healthz").await.0 == 200).await;
    (node, client)
}

/// Starts two controllers that are each other's peers. The first doesn't receive messages from the second until
/// [`serve_peers`] is called for the first controller.
pub(super) async fn start_pair(cluster: &FakeCluster) -> [(Arc<Node>, Client); 2] {
    start_pair_with(cluster, sample_settings()).await
}

/// Like [`start_pair`], with other settings.
async fn start_pair_with(cluster: &FakeCluster, settings: Settings) -> [(Arc<Node>, Client); 2] {
    let (mut first, mut second) = (settings.clone(), settings);
    first.peers.truncate(1);
    second.peers.truncate(1);
    (first.peer_listen_addr, second.peer_listen_addr) = (free_addr(), free_addr());
    second.name.clone_from(&first.peers[0].name);
    second.peers[0].name.clone_from(&first.name);
    (first.peers[0].addr, second.peers[0].addr) = (second.peer_listen_addr, first.peer_listen_addr);
    let second = start(cluster, second).await;
    serve_peers(&second.0).await;
    [start(cluster, first).await, second]
}

/// Lets two controllers take part in leader elections: the first is elected before the other one starts.
async fn elect_first(cluster: &FakeCluster, [first, other]: [&Arc<Node>; 2]) {
    join_election(first);
    eventually(async || cluster.has_key(LEADER_KEY)).await;
    join_election(other);
}
