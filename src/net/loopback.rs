//! Controllers on loopback against fakes of the key-value store, the cloud and a worker.

mod bounds;
mod dependencies;
mod fakes;
mod leadership;
mod relay;
mod users;

pub(super) use self::fakes::FakeCluster;
use super::http::Http;
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

/// Ports of the tests' servers: below those that the system gives to outgoing connections, which could take
/// one between the look here and the server's start.
const TEST_PORTS: std::ops::Range<u32> = 10_000..32_000;

/// An address that nothing listens on and no other test of this process gets.
pub(super) fn free_addr() -> SocketAddr {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    // Processes that run beside each other begin far apart.
    let first = std::process::id().wrapping_mul(211);
    loop {
        let number = first.wrapping_add(TAKEN.fetch_add(1, Ordering::Relaxed));
        let port = TEST_PORTS.start + number % (TEST_PORTS.end - TEST_PORTS.start);
        let addr = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if std::net::TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

pub(super) struct Client {
    http: Http,
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

    /// The worker sends a heartbeat here, and takes in the token of the answer but no orders.
    async fn heartbeat(&self, cluster: &FakeCluster) -> (u16, Value) {
        let (status, answer) = self.post("/v1/report", cluster.heartbeat()).await;
        cluster.lock().worker.on_answer(&answer);
        (status, answer)
    }
}

fn job(id: &str, tasks: u32) -> Value {
    json!({"id": id, "berth": "feed", "crew": "team-b", "shape": "batch", "rank": "normal", "lots": tasks,
        "cores": 2.0, "gpus": 0.0, "ram_gb": 2.0, "cast": "img", "pull_gb": 1.0, "same_place": false,
        "apart": false, "loaner": true, "expect_s": 5.0, "mark_s": 0.0, "stow_s": 0.0})
}

/// Waits until something holds; a stuck controller fails the test instead of hanging it.
async fn eventually(mut holds: impl AsyncFnMut() -> bool) {
    for _ in 0..200 {
        if holds().await {
            return;
        }
        tokio::time::sleep(Millis(50).to_std()).await;
    }
    panic!("it didn't happen within 10 s");
}

async fn listens(addr: SocketAddr) {
    eventually(async || tokio::net::TcpStream::connect(addr).await.is_ok()).await;
}

/// A controller without peers.
async fn start_alone(cluster: &FakeCluster) -> (Arc<Node>, Client) {
    let mut settings = sample_settings();
    settings.peers.clear();
    settings.peer_listen = free_addr();
    start(cluster, settings).await
}

/// A controller whose peers are behind a cut.
async fn start_cut_off(cluster: &FakeCluster) -> (Arc<Node>, Client) {
    let mut settings = sample_settings();
    settings.peers.iter_mut().for_each(|peer| peer.addr = free_addr());
    settings.peer_listen = free_addr();
    start(cluster, settings).await
}

/// A controller with fakes round it, and a client of its users' side. Returns once all of them listen; the
/// controller doesn't stand for election yet.
pub(super) async fn start(cluster: &FakeCluster, mut settings: Settings) -> (Arc<Node>, Client) {
    settings.listen = free_addr();
    settings.services.store = cluster.serve_store(&settings.name);
    settings.services.cloud = cluster.serve_cloud();
    let worker = cluster.serve_worker();
    let client = Client { http: Http::new(16), addr: settings.listen.to_string() };
    let node = Node::new(settings, Tuning::default());
    tokio::spawn(heartbeat_relay::run(node.clone()));
    tokio::spawn(relay_routes::run(node.clone()));
    tokio::spawn(server::serve(node.settings.listen, server::public(&node), 64));
    for addr in [node.settings.services.store, node.settings.services.cloud, worker, node.settings.listen] {
        listens(addr).await;
    }
    (node, client)
}

/// Lets a controller hear its peers.
async fn serve_peers(node: &Arc<Node>) {
    tokio::spawn(server::serve(node.settings.peer_listen, server::internal(node), 64));
    listens(node.settings.peer_listen).await;
}

/// Lets a controller learn the machine types and stand for election.
fn stand(node: &Arc<Node>) {
    tokio::spawn(leader_loop::poll_machine_types(node.clone()));
    tokio::spawn(election::run(node.clone()));
}

/// A controller that leads alone and serves users.
async fn start_leading(cluster: &FakeCluster) -> (Arc<Node>, Client) {
    let (node, client) = start_alone(cluster).await;
    stand(&node);
    eventually(async || client.get("/healthz").await.0 == 200).await;
    (node, client)
}

/// Two controllers that know each other. The first hears no messages of the other's own accord.
pub(super) async fn pair(cluster: &FakeCluster) -> [(Arc<Node>, Client); 2] {
    pair_with(cluster, sample_settings()).await
}

async fn pair_with(cluster: &FakeCluster, settings: Settings) -> [(Arc<Node>, Client); 2] {
    let (mut first, mut second) = (settings.clone(), settings);
    first.peers.truncate(1);
    second.peers.truncate(1);
    (first.peer_listen, second.peer_listen) = (free_addr(), free_addr());
    second.name.clone_from(&first.peers[0].name);
    second.peers[0].name.clone_from(&first.name);
    (first.peers[0].addr, second.peers[0].addr) = (second.peer_listen, first.peer_listen);
    let second = start(cluster, second).await;
    serve_peers(&second.0).await;
    [start(cluster, first).await, second]
}

/// Lets both stand for election, the first before the other, and waits until it leads.
async fn elect_first(cluster: &FakeCluster, [first, other]: [&Arc<Node>; 2]) {
    stand(first);
    eventually(async || cluster.has_key(LEADER_KEY)).await;
    stand(other);
}
