//! Fakes of the key-value store, the cloud and the workers' side of orders, over HTTP on loopback.

use crate::worker::Worker;
use crate::workload::machine_types;
use salvo::conn::tcp::TcpAcceptor;
use salvo::prelude::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use wallstile::wire::{DirectOrders, MachineTypes, Mutation, Transaction};

/// Requests seen so far, by who answers them.
#[derive(Default)]
pub(crate) struct Counts {
    pub(crate) heartbeats: AtomicU64,
    pub(crate) orders: AtomicU64,
    pub(crate) store: AtomicU64,
    pub(crate) users: AtomicU64,
}

impl Counts {
    pub(crate) fn snapshot(&self) -> Vec<(&'static str, u64)> {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        vec![
            ("reports", read(&self.heartbeats)),
            ("orders", read(&self.orders)),
            ("state service", read(&self.store)),
            ("users", read(&self.users)),
        ]
    }
}

/// The key-value store, with all its changes.
#[derive(Default)]
pub(crate) struct FakeStore {
    keys: BTreeMap<String, (Value, u64)>,
    log: Vec<(String, Value)>,
    revision: u64,
}

impl FakeStore {
    fn commit(&mut self, transaction: &Transaction) -> (u16, Value) {
        let revision = |key: &str| self.keys.get(key).map_or(0, |(_, revision)| *revision);
        let failed: Vec<&String> = transaction
            .preconditions
            .iter()
            .filter(|precondition| revision(&precondition.key) != precondition.revision)
            .map(|precondition| &precondition.key)
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "epoch": self.revision}));
        }
        self.revision += 1;
        let revision = self.revision;
        for mutation in &transaction.mutations {
            let entry = match mutation {
                Mutation::Put { key, value, .. } => {
                    self.keys.insert(key.clone(), (value.clone(), revision));
                    (key.clone(), json!({"write": key, "value": value, "stamp": revision}))
                }
                Mutation::Delete { key } => {
                    self.keys.remove(key);
                    (key.clone(), json!({"drop": key, "stamp": revision}))
                }
            };
            self.log.push(entry);
        }
        (200, json!({"epoch": revision}))
    }

    fn list(&self, prefix: &str) -> Value {
        let row = |(key, (value, revision)): (&String, &(Value, u64))| json!({"path": key, "value": value, "stamp": revision});
        let rows: Vec<Value> = self.keys.iter().filter(|(key, _)| key.starts_with(prefix)).map(row).collect();
        json!({"rows": rows, "has_next": false, "epoch": self.revision})
    }

    /// Changes of keys with a prefix, after a revision; `None` if there are none.
    fn changes(&self, prefix: &str, since: u64) -> Option<Value> {
        let new = |(key, entry): &&(String, Value)| key.starts_with(prefix) && entry["stamp"].as_u64() > Some(since);
        let log: Vec<&Value> = self.log.iter().rev().take(1_000).filter(new).map(|(_, entry)| entry).collect();
        let log: Vec<&Value> = log.into_iter().rev().collect();
        (!log.is_empty()).then(|| json!({"epoch": self.revision, "log": log}))
    }

    fn answer(&mut self, method: &str, path: &str, query: &str, body: &[u8]) -> (u16, Value) {
        match (method, path) {
            ("POST", "commit") => match serde_json::from_slice(body) {
                Ok(transaction) => self.commit(&transaction),
                Err(_) => (400, json!({})),
            },
            ("POST", "holds") => (200, json!({"tenure": 7})),
            (_, path) if path.starts_with("holds/") => (200, json!({})),
            ("GET", "store") => (200, self.list(field(query, "prefix="))),
            ("GET", path) => match path.strip_prefix("store/").and_then(|key| self.keys.get_key_value(key)) {
                Some((key, (value, revision))) => (200, json!({"path": key, "value": value, "stamp": revision})),
                None => (404, json!({"epoch": self.revision})),
            },
            _ => (400, json!({})),
        }
    }
}

fn field<'a>(query: &'a str, name: &str) -> &'a str {
    query.split('&').find_map(|field| field.strip_prefix(name)).unwrap_or_default()
}

pub(crate) fn free_addr() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("loopback has a free port")
}

fn send(response: &mut Response, status: u16, body: String) {
    response.status_code(StatusCode::from_u16(status).expect("a legal status"));
    response.render(Text::Json(body));
}

fn spawn<H: Handler>(goal: H) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let addr = listener.local_addr().expect("it is bound");
    listener.set_nonblocking(true).expect("a socket can be");
    let listener = tokio::net::TcpListener::from_std(listener).expect("the runtime takes sockets");
    let acceptor = TcpAcceptor::try_from(listener).expect("it is bound");
    let router = Router::with_path("{**rest}").goal(goal);
    tokio::spawn(Server::new(acceptor).serve(router));
    addr
}

struct StoreServer {
    store: Mutex<FakeStore>,
    counts: Arc<Counts>,
}

#[salvo::handler]
impl StoreServer {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let body = request.payload().await.map(|body| body.to_vec()).unwrap_or_default();
        let path = request.uri().path().trim_start_matches('/').to_string();
        let query = request.uri().query().unwrap_or_default().to_string();
        self.counts.store.fetch_add(1, Ordering::Relaxed);
        if path != "follow" {
            let (status, value) =
                self.store.lock().expect("no holder panics").answer(request.method().as_str(), &path, &query, &body);
            return send(response, status, value.to_string());
        }
        let number = |name: &str| field(&query, name).parse::<u64>().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("block_ms="));
        loop {
            let changes =
                self.store.lock().expect("no holder panics").changes(field(&query, "prefix="), number("since="));
            if changes.is_some() || Instant::now() >= until {
                let revision = self.store.lock().expect("no holder panics").revision;
                let none = json!({"epoch": revision, "log": []});
                return send(response, 200, changes.unwrap_or(none).to_string());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

pub(crate) fn serve_store(store: FakeStore, counts: Arc<Counts>) -> SocketAddr {
    spawn(StoreServer { store: Mutex::new(store), counts })
}

/// Has no capacity left, so that the fleet stays as it is.
pub(crate) struct FakeCloud;

#[salvo::handler]
impl FakeCloud {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        match (request.method().as_str(), request.uri().path()) {
            ("GET", "/machine_types") => {
                let types = MachineTypes { builds: machine_types() };
                send(response, 200, json!(types).to_string());
            }
            ("GET", _) => send(response, 200, json!({"plinths": [], "has_next": false}).to_string()),
            _ => send(response, 503, json!({"error": "no capacity"}).to_string()),
        }
    }
}

pub(crate) fn serve_cloud(cloud: FakeCloud) -> SocketAddr {
    spawn(cloud)
}

struct WorkerServer {
    worker: Arc<Mutex<Worker>>,
    counts: Arc<Counts>,
    started: Instant,
}

#[salvo::handler]
impl WorkerServer {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let body = request.payload().await.map(|body| body.to_vec()).unwrap_or_default();
        self.counts.orders.fetch_add(1, Ordering::Relaxed);
        let Ok(orders) = serde_json::from_slice::<DirectOrders>(&body) else {
            return send(response, 400, json!({}).to_string());
        };
        let mut worker = self.worker.lock().expect("no holder panics");
        worker.execute(self.started.elapsed().as_millis() as u64, orders.token, &orders.orders);
        let heartbeat = serde_json::to_string(&worker.next_heartbeat()).expect("a heartbeat is JSON");
        drop(worker);
        send(response, 200, heartbeat);
    }
}

pub(crate) fn serve_worker(worker: Arc<Mutex<Worker>>, counts: Arc<Counts>) -> SocketAddr {
    spawn(WorkerServer { worker, counts, started: Instant::now() })
}
