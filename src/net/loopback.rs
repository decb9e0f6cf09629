//! One controller on loopback against stand-ins of the state service, the cloud and a worker.

mod bounds;
mod dependencies;

use super::http::Http;
use super::node::Node;
use super::{election, heartbeat_relay, leader_loop, peers, relay_routes, server};
use crate::config::{Peer, Settings, Tuning, sample_settings};
use crate::core::cancellations::Cancellations;
use crate::core::election::{LEADER_KEY, SUCCESSOR_KEY};
use crate::core::scheduler::Effect;
use crate::ids::{AgentEpoch, Attempt, FencingToken, LeaseId, Revision, TaskId, Term};
use crate::time::{Millis, MonotonicTime};
use crate::wire::{DirectOrders, Mutation, Order, Transaction};
use hyper::Method;
use salvo::prelude::*;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

#[derive(Default)]
pub(super) struct World {
    store: BTreeMap<String, (Value, u64)>,
    /// All changes, to be followed.
    log: Vec<(String, u64, Value)>,
    epoch: u64,
    /// The state service refuses everything.
    down: bool,
    /// It doesn't answer at all.
    silent: bool,
    /// It refuses these controllers alone.
    refused: BTreeSet<String>,
    worker: String,
    sequence: u64,
    token: u64,
    tasks: BTreeMap<String, Value>,
    orders: Vec<Order>,
}

impl World {
    fn commit(&mut self, transaction: &Transaction) -> (u16, Value) {
        let revision = |w: &World, k: &str| w.store.get(k).map_or(0, |v| v.1);
        let failed: Vec<&String> =
            transaction.preconditions.iter().filter(|g| revision(self, &g.key) != g.revision).map(|g| &g.key).collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "epoch": self.epoch}));
        }
        self.epoch += 1;
        for c in &transaction.mutations {
            match c {
                Mutation::Put { key: write, value, .. } => {
                    self.store.insert(write.clone(), (value.clone(), self.epoch));
                    let entry = json!({"write": write, "value": value, "stamp": self.epoch});
                    self.log.push((write.clone(), self.epoch, entry));
                }
                Mutation::Delete { key: drop } => {
                    self.store.remove(drop);
                    self.log.push((drop.clone(), self.epoch, json!({"drop": drop, "stamp": self.epoch})));
                }
            }
        }
        (200, json!({"epoch": self.epoch}))
    }

    /// Changes of keys with a prefix, after a revision.
    fn follow(&self, query: &str) -> Value {
        let field = |name: &str| query.split('&').find_map(|f| f.strip_prefix(name)).unwrap_or_default();
        let since: u64 = field("since=").parse().unwrap();
        let new = |(key, at, _): &&(String, u64, Value)| key.starts_with(field("prefix=")) && *at > since;
        let log: Vec<&Value> = self.log.iter().filter(new).map(|(_, _, entry)| entry).collect();
        json!({"epoch": self.epoch, "log": log})
    }

    pub(super) fn heartbeat(&mut self) -> Value {
        self.sequence += 1;
        json!({"plinth": "m-000001", "endpoint": self.worker, "build": "g8", "quay": "a", "loaner": false,
            "shift": 1, "tally": self.sequence, "baton": self.token, "warn_s": null,
            "lots": self.tasks.values().collect::<Vec<_>>()})
    }

    fn state(&mut self, method: &str, path: &str, query: &str, body: &[u8]) -> (u16, Value) {
        let row = |k: &String, v: &(Value, u64)| json!({"path": k, "value": v.0, "stamp": v.1});
        match (method, path) {
            ("POST", "commit") => self.commit(&serde_json::from_slice(body).unwrap()),
            ("POST", "holds") => (200, json!({"tenure": 7})),
            (_, p) if p.starts_with("holds/") => (200, json!({})),
            ("GET", "store") => {
                let prefix = query.strip_prefix("prefix=").and_then(|q| q.split('&').next()).unwrap_or_default();
                let rows: Vec<Value> =
                    self.store.iter().filter(|(k, _)| k.starts_with(prefix)).map(|(k, v)| row(k, v)).collect();
                (200, json!({"rows": rows, "has_next": false, "epoch": self.epoch}))
            }
            ("GET", p) => match p.strip_prefix("store/").and_then(|k| self.store.get_key_value(k)) {
                Some((k, v)) => (200, row(k, v)),
                None => (404, json!({"epoch": self.epoch})),
            },
            _ => (400, json!({})),
        }
    }
}

#[derive(Clone)]
enum Part {
    /// The state service, as this controller sees it.
    State(String),
    Cloud,
    Worker,
}

struct StandIn(Arc<Mutex<World>>, Part);

#[salvo::handler]
impl StandIn {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let body = req.payload().await.map(|b| b.to_vec()).unwrap_or_default();
        let path = req.uri().path().trim_start_matches('/').to_string();
        let query = req.uri().query().unwrap_or_default().to_string();
        let silent = matches!(self.1, Part::State(_)) && self.0.lock().unwrap().silent;
        if silent {
            tokio::time::sleep(Millis(8_000).to_std()).await;
        }
        if path == "follow" {
            // Answered from time to time, whether or not something has changed.
            tokio::time::sleep(Millis(300).to_std()).await;
        }
        let (status, value) = {
            let mut w = self.0.lock().unwrap();
            match &self.1 {
                Part::State(name) if w.down || w.refused.contains(name) => (503, json!({"error": "trouble"})),
                Part::State(_) if path == "follow" => (200, w.follow(&query)),
                Part::State(_) => w.state(req.method().as_str(), &path, &query, &body),
                Part::Cloud if path == "machine_types" => (
                    200,
                    json!({"builds": [{"sku": "g8", "cores": 16, "gpus": 0, "ram_gb": 64, "local_gb": 50,
                    "fetch_gb_per_s": 1.0, "price": 1.0, "market_price": 0.5, "startup_s": 5, "quays": ["a"]}]}),
                ),
                Part::Cloud if path == "machines" && req.method() == Method::GET => {
                    (200, json!({"plinths": [], "has_next": false}))
                }
                Part::Cloud => (503, json!({"error": "no capacity"})),
                Part::Worker => {
                    let v: Value = serde_json::from_slice(&body).unwrap();
                    w.token = w.token.max(v["baton"].as_u64().unwrap());
                    for o in serde_json::from_value::<Vec<Order>>(v["orders"].clone()).unwrap() {
                        if let Order::Run { task, attempt } = &o {
                            let entry = json!({"lot": task, "try": attempt, "phase": "running"});
                            w.tasks.insert(task.to_string(), entry);
                        }
                        w.orders.push(o);
                    }
                    (200, w.heartbeat())
                }
            }
        };
        res.status_code(StatusCode::from_u16(status).unwrap());
        res.render(Text::Json(value.to_string()));
    }
}

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

fn stand_in(world: &Arc<Mutex<World>>, part: Part) -> SocketAddr {
    let addr = free_addr();
    let router = Router::with_path("{**rest}").goal(StandIn(world.clone(), part));
    tokio::spawn(server::serve(addr, router, 64));
    addr
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
}

fn job(id: &str, tasks: u32) -> Value {
    json!({"id": id, "berth": "feed", "crew": "team-b", "shape": "batch", "rank": "normal", "lots": tasks,
        "cores": 2.0, "gpus": 0.0, "ram_gb": 2.0, "cast": "img", "pull_gb": 1.0, "same_place": false,
        "apart": false, "loaner": true, "expect_s": 5.0, "mark_s": 0.0, "stow_s": 0.0})
}

/// Waits until something holds; a stuck controller fails the test instead of hanging it.
async fn until(mut f: impl AsyncFnMut() -> bool) {
    for _ in 0..200 {
        if f().await {
            return;
        }
        tokio::time::sleep(Millis(50).to_std()).await;
    }
    panic!("it didn't happen within 10 s");
}

/// A controller with stand-ins round it, and a client of its users' side.
fn controller(world: &Arc<Mutex<World>>, peers: bool) -> (Arc<Node>, Client) {
    let mut settings = sample_settings();
    if peers {
        settings.peers.iter_mut().for_each(|p| p.addr = free_addr());
    } else {
        settings.peers.clear();
    }
    settings.peer_listen = free_addr();
    start(world, settings)
}

pub(super) fn start(world: &Arc<Mutex<World>>, mut settings: Settings) -> (Arc<Node>, Client) {
    settings.listen = free_addr();
    settings.services.store = stand_in(world, Part::State(settings.name.clone()));
    settings.services.cloud = stand_in(world, Part::Cloud);
    world.lock().unwrap().worker = stand_in(world, Part::Worker).to_string();
    let c = Client { http: Http::new(16), addr: settings.listen.to_string() };
    let node = Node::new(settings, Tuning::default());
    tokio::spawn(heartbeat_relay::run(node.clone()));
    tokio::spawn(relay_routes::run(node.clone()));
    tokio::spawn(server::serve(node.settings.listen, server::public(&node), 64));
    (node, c)
}

/// Two controllers that know each other. The first hears no words of the other's own accord.
pub(super) fn pair(world: &Arc<Mutex<World>>) -> [(Arc<Node>, Client); 2] {
    let mut first = sample_settings();
    first.peers.truncate(1);
    let mut second = sample_settings();
    second.peers.truncate(1);
    (first.peer_listen, second.peer_listen) = (free_addr(), free_addr());
    second.name.clone_from(&first.peers[0].name);
    second.peers[0].name.clone_from(&first.name);
    (first.peers[0].addr, second.peers[0].addr) = (second.peer_listen, first.peer_listen);
    let second = start(world, second);
    tokio::spawn(server::serve(second.0.settings.peer_listen, server::internal(&second.0), 64));
    [start(world, first), second]
}

#[tokio::test]
async fn a_leader_that_holds_on_is_told_what_was_cancelled_without_it() {
    // The state service refused the leader alone, the other controller confirmed a cancellation, and
    // then all were refused: the leader held on, and with it the cancelled task.
    let world = Arc::new(Mutex::new(World::default()));
    let [(leader, at_leader), (other, at_other)] = pair(&world);
    tokio::time::sleep(Millis(200).to_std()).await;
    for node in [&leader, &other] {
        tokio::spawn(leader_loop::learn_types(node.clone()));
        tokio::spawn(election::run(node.clone()));
        until(async || world.lock().unwrap().store.contains_key(LEADER_KEY)).await;
    }
    assert!(leader.lock().election.lease().is_some());
    until(async || at_leader.post("/api/jobs", job("req-000001", 1)).await.0 == 201).await;
    let heartbeat = async || {
        let r = world.lock().unwrap().heartbeat();
        let (status, answer) = at_leader.post("/v1/report", r).await;
        let mut w = world.lock().unwrap();
        w.token = w.token.max(answer["baton"].as_u64().unwrap_or(0));
        if answer["orders"].to_string().contains("stop") {
            w.tasks.clear();
        }
        status
    };
    until(async || {
        heartbeat().await;
        // What the other can tell begins where the leader has read to, or before.
        let read_through = leader.lock().election.lease().map_or(0, |o| o.read_through.0);
        let known = other.lock().cancellations.since(Revision(read_through)).is_some();
        let w = world.lock().unwrap();
        !w.tasks.is_empty() && known
    })
    .await;

    let name = leader.settings.name.clone();
    world.lock().unwrap().refused.insert(name);
    assert_eq!(at_other.post("/api/jobs/req-000001/withdraw", json!({})).await.1["phase"], "aborted");
    world.lock().unwrap().down = true;
    let since = std::time::Instant::now();
    until(async || {
        heartbeat().await;
        world.lock().unwrap().tasks.is_empty()
    })
    .await;
    // It goes on for longer than its lease, as the other has pledged.
    while since.elapsed() < leader.settings.leader_lease_ttl().mul_f64(2.0).to_std() {
        heartbeat().await;
        tokio::time::sleep(Millis(300).to_std()).await;
    }
    until(async || heartbeat().await == 200).await;

    // The other ends, and what is there in its place can't tell what users were told: no pledge.
    other.lock().cancellations = Cancellations::default();
    until(async || heartbeat().await == 421).await;
}

#[tokio::test]
async fn a_controller_that_does_not_lead_hands_out_the_leaders_decisions_and_none_of_its_own() {
    let world = Arc::new(Mutex::new(World::default()));
    let [(leader, at_leader), (other, at_other)] = pair(&world);
    tokio::spawn(server::serve(leader.settings.peer_listen, server::internal(&leader), 64));
    tokio::time::sleep(Millis(200).to_std()).await;
    for node in [&leader, &other] {
        tokio::spawn(leader_loop::learn_types(node.clone()));
        tokio::spawn(election::run(node.clone()));
        until(async || world.lock().unwrap().store.contains_key(LEADER_KEY)).await;
    }
    let heartbeat = async |client: &Client| {
        let r = world.lock().unwrap().heartbeat();
        let (status, answer) = client.post("/v1/report", r).await;
        let mut w = world.lock().unwrap();
        w.token = w.token.max(answer["baton"].as_u64().unwrap_or(0));
        (status, answer)
    };
    // The worker never speaks to the leader, and gets its token and its tasks.
    until(async || at_leader.post("/api/jobs", job("req-000001", 1)).await.0 == 201).await;
    until(async || {
        let (status, answer) = heartbeat(&at_other).await;
        let term = leader.lock().election.lease().map(|o| FencingToken::new(o.term, 0));
        let held = !world.lock().unwrap().tasks.is_empty();
        held && status == 200 && answer["baton"] == json!(term)
    })
    .await;
    // A cancellation reaches it the same way.
    assert_eq!(at_other.post("/api/jobs/req-000001/withdraw", json!({})).await.1["phase"], "aborted");
    until(async || heartbeat(&at_other).await.1["orders"].to_string().contains("stop")).await;
    assert_eq!(at_other.post("/v1/report", json!({"what": "is this"})).await.0, 400, "malformed wherever it arrives");

    // So is what is no message of this version between controllers.
    let peer = Client { http: Http::new(4), addr: other.settings.peer_listen.to_string() };
    for path in [peers::HEARTBEAT_PATH, peers::PLAN_PATH, peers::HEARTBEAT_BATCH_PATH] {
        assert_eq!(peer.post(path, json!("no message")).await.0, 400, "{path}");
    }

    // The leader moves the worker to the other, which is there for that.
    let other_name = other.settings.name.clone();
    until(async || heartbeat(&at_leader).await == (421, json!({"steward": other_name}))).await;

    // A controller that reaches the other alone sends workers there, as naming the leader is in vain.
    let mut settings = sample_settings();
    settings.name = "plinth-9".into();
    settings.peers.truncate(2);
    settings.peers[0] = Peer { addr: free_addr(), name: leader.settings.name.clone(), zone: String::new() };
    settings.peers[1] = Peer { addr: other.settings.peer_listen, name: other_name.clone(), zone: String::new() };
    let (third, at_third) = start(&world, settings);
    tokio::time::sleep(Millis(200).to_std()).await;
    third.lock().leader_name = Some(leader.settings.name.clone());
    until(async || heartbeat(&at_third).await == (421, json!({"steward": other_name}))).await;

    // Without a leader that acts there is no answer, and none is made up or remembered.
    leader.lock().election.step_down();
    assert_eq!(heartbeat(&at_other).await, (421, json!({})));
    assert_ne!(heartbeat(&at_other).await.0, 200);
}

#[tokio::test]
async fn a_controller_that_has_only_its_workers_says_so() {
    let world = Arc::new(Mutex::new(World::default()));
    // Its peers are behind a cut.
    let (node, c) = controller(&world, true);
    tokio::time::sleep(Millis(200).to_std()).await;
    tokio::spawn(leader_loop::learn_types(node.clone()));
    tokio::spawn(election::run(node.clone()));
    until(async || c.get("/healthz").await.0 == 200).await;
    let heartbeat = async || {
        let r = world.lock().unwrap().heartbeat();
        c.post("/v1/report", r).await
    };
    until(async || heartbeat().await.0 == 200).await;
    assert_eq!(c.post("/api/jobs", job("req-000001", 2)).await.0, 201);

    world.lock().unwrap().silent = true;
    // Its workers must find another leader: it stops answering at its bound and names nobody.
    until(async || heartbeat().await == (421, json!({}))).await;
    until(async || c.get("/healthz").await.0 == 503).await;
    let asked = std::time::Instant::now();
    assert_eq!(c.get("/api/jobs/req-000001").await.0, 503);
    assert_eq!(c.post("/api/jobs", job("req-000002", 2)).await.0, 503);
    assert!(asked.elapsed() < Millis(500).to_std(), "said at once");

    world.lock().unwrap().silent = false;
    until(async || c.get("/api/jobs/req-000001").await.0 == 200).await;
    until(async || c.get("/healthz").await.0 == 200).await;
    until(async || heartbeat().await.0 == 200).await;
}

#[tokio::test]
async fn a_controller_serves_users_and_a_worker() {
    let world = Arc::new(Mutex::new(World::default()));
    let (node, c) = controller(&world, false);
    tokio::time::sleep(Millis(200).to_std()).await;

    // Before the machine types are known nothing can be decided, and that is said at once.
    assert_eq!(c.get("/healthz").await.0, 503);
    assert_eq!(c.post("/api/jobs", job("req-000001", 2)).await.0, 503);
    tokio::spawn(leader_loop::learn_types(node.clone()));
    tokio::spawn(election::run(node.clone()));
    until(async || c.get("/healthz").await.0 == 200).await;

    // Submissions, repeats and refusals.
    assert_eq!(c.post("/api/jobs", job("req-000001", 2)).await, (201, json!({"id": "req-000001", "phase": "queued"})));
    assert_eq!(c.post("/api/jobs", job("req-000001", 2)).await.0, 200);
    let mut bad = job("req-000001", 0);
    assert_eq!(c.post("/api/jobs", bad.clone()).await.0, 200, "a known id answers whatever else it says");
    bad["id"] = json!("req-000009");
    assert_eq!(c.post("/api/jobs", bad).await.0, 400);
    let mut large = job("req-000009", 1);
    large["cast"] = json!("x".repeat(70_000));
    assert_eq!(c.post("/api/jobs", large).await.0, 400);
    let mut stranger = job("req-000009", 1);
    stranger["crew"] = json!("nobody");
    assert_eq!(c.post("/api/jobs", stranger).await.0, 422);
    assert_eq!(c.get("/api/jobs/req-000009").await.0, 404);
    assert_eq!(c.get("/api/jobs/nonsense").await.0, 404);
    assert_eq!(c.post("/api/jobs/req-000009/withdraw", json!({})).await.0, 404);

    // A worker reports, is commissioned, gets its orders, and its tasks end.
    assert_eq!(c.post("/v1/report", json!({"what": "is this"})).await.0, 400);
    let heartbeat = async || {
        let r = world.lock().unwrap().heartbeat();
        c.post("/v1/report", r).await
    };
    until(async || {
        let (status, answer) = heartbeat().await;
        let mut w = world.lock().unwrap();
        w.token = w.token.max(answer["baton"].as_u64().unwrap_or(0));
        status == 200 && w.tasks.len() == 2
    })
    .await;
    assert!(world.lock().unwrap().store.contains_key("fleet/m-000001"), "commissioned before its first order");
    until(async || c.get("/api/jobs/req-000001").await.1["phase"] == "running").await;
    for listed in world.lock().unwrap().tasks.values_mut() {
        listed["phase"] = json!("exited");
        listed["cause"] = json!("done");
    }
    until(async || {
        heartbeat().await;
        c.get("/api/jobs/req-000001").await.1["phase"] == "done"
    })
    .await;
    assert_eq!(c.post("/api/jobs/req-000001/withdraw", json!({})).await.1["phase"], "done");

    // Cancelled stays cancelled, also for a repeated submission.
    assert_eq!(c.post("/api/jobs", job("req-000002", 1)).await.0, 201);
    assert_eq!(c.post("/api/jobs/req-000002/withdraw", json!({})).await.1["phase"], "aborted");
    assert_eq!(c.post("/api/jobs/req-000002/withdraw", json!({})).await.1["phase"], "aborted");
    let again = c.post("/api/jobs", job("req-000002", 1)).await;
    assert_eq!((again.0, again.1["phase"].as_str()), (200, Some("aborted")));

    // A record that can't be read is neither overwritten nor denied.
    world.lock().unwrap().store.insert("live/req-000003".into(), (json!("garbage"), 1));
    assert_eq!(c.post("/api/jobs/req-000003/withdraw", json!({})).await.0, 503);
    assert_eq!(c.post("/api/jobs", job("req-000003", 1)).await.0, 200);
    assert_eq!(world.lock().unwrap().store["live/req-000003"].0, json!("garbage"));

    // Refused by the state service: what is final is still known, the rest is 503 at once.
    world.lock().unwrap().down = true;
    assert_eq!(c.get("/api/jobs/req-000001").await.1["phase"], "done");
    assert_eq!(c.get("/api/jobs/req-000009").await.0, 503);
    assert_eq!(c.post("/api/jobs", job("req-000004", 1)).await.0, 503);
    assert!(!world.lock().unwrap().store.contains_key("live/req-000004"));
}

#[tokio::test]
async fn a_named_successor_is_waited_for_and_a_worker_is_not_sent_to_and_fro() {
    // With two zones parted, a leader in one handed over to a controller that heard both, and one in
    // the other zone, which it couldn't tell, was elected first.
    let world = Arc::new(Mutex::new(World::default()));
    world.lock().unwrap().store.insert(SUCCESSOR_KEY.into(), (json!("plinth-1"), 1));
    let (node, c) = controller(&world, false);
    tokio::spawn(leader_loop::learn_types(node.clone()));
    tokio::spawn(election::run(node.clone()));
    tokio::time::sleep(Millis(1_500).to_std()).await;
    assert!(!world.lock().unwrap().store.contains_key(LEADER_KEY));

    // Named a leader and back again, a worker is let go on to the next controller.
    let other = json!({"node": "plinth-1", "incarnation": 1, "hold": 7});
    world.lock().unwrap().store.insert(LEADER_KEY.into(), (other, 2));
    until(async || node.lock().leader_name.is_some()).await;
    let r = json!({"plinth": "m-000009", "endpoint": "", "build": "g8", "quay": "a", "loaner": false,
        "shift": 1, "tally": 1, "baton": 0});
    assert_eq!(c.post("/v1/report", r.clone()).await, (421, json!({"steward": "plinth-1"})));
    assert_eq!(c.post("/v1/report", r).await, (421, json!({"steward": "plinth-1"})), "it may be about to start");
    let sent =
        |at| node.lock().redirected_workers.record("m-000010", MonotonicTime(at), Some("plinth-1".into())).is_some();
    assert_eq!([20_000, 21_000, 26_000, 40_000].map(sent), [true, true, false, true]);

    world.lock().unwrap().store.clear();
    until(async || world.lock().unwrap().store.contains_key(LEADER_KEY)).await;
}

#[tokio::test]
async fn a_leader_that_still_reads_its_ledger_renews_no_lease_over_tasks() {
    // It can't tell which of them are cancelled; until it could, its answers renewed all leases.
    let world = Arc::new(Mutex::new(World::default()));
    let (node, c) = controller(&world, false);
    tokio::time::sleep(Millis(200).to_std()).await;
    node.lock().election.elected(Term(5), LeaseId(7), node.now());
    let own = FencingToken::new(Term(5), 0);
    let empty = world.lock().unwrap().heartbeat();
    assert_eq!(c.post("/v1/report", empty).await, (200, json!({"baton": own, "orders": []})));
    world.lock().unwrap().tasks.insert("any".into(), json!({"lot": "req-000001/0", "try": 1, "phase": "running"}));
    let busy = world.lock().unwrap().heartbeat();
    assert_eq!(c.post("/v1/report", busy).await, (200, json!({"baton": 0, "orders": []})));
}

#[tokio::test]
async fn what_was_decided_before_a_freeze_is_not_sent_past_the_bound() {
    let world = Arc::new(Mutex::new(World::default()));
    let (node, _) = controller(&world, false);
    tokio::time::sleep(Millis(200).to_std()).await;
    let endpoint = world.lock().unwrap().worker.clone();
    let run = Order::Run { task: TaskId::parse("req-000001/0").unwrap(), attempt: Attempt(1) };
    let body = DirectOrders { token: FencingToken::new(Term(5), 0), agent_epoch: AgentEpoch(1), orders: vec![run] };
    let order = || Effect::Orders { request: crate::ids::RequestId(1), endpoint: endpoint.clone(), body: body.clone() };
    leader_loop::perform(node.clone(), Term(5), order()).await;
    assert!(world.lock().unwrap().orders.is_empty(), "it is no longer the leader");
    node.lock().election.elected(Term(6), LeaseId(7), node.now());
    leader_loop::perform(node.clone(), Term(5), order()).await;
    assert!(world.lock().unwrap().orders.is_empty(), "leader again, but for another term");
    leader_loop::perform(node.clone(), Term(6), order()).await;
    assert_eq!(world.lock().unwrap().orders.len(), 1);
}
