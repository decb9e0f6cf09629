//! HTTP servers on loopback that stand in for the key-value store, the cloud and the workers.

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

/// Numbers of requests so far: heartbeats and user requests sent to the controller, and orders and store requests that
/// the controller has sent.
#[derive(Default)]
pub(crate) struct RequestCounts {
    pub(crate) heartbeats: AtomicU64,
    pub(crate) orders: AtomicU64,
    pub(crate) store: AtomicU64,
    pub(crate) users: AtomicU64,
}

impl RequestCounts {
    /// Returns the current counts with their names.
    pub(crate) fn snapshot(&self) -> Vec<(&'static str, u64)> {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        vec![
            ("heartbeats", read(&self.heartbeats)),
            ("orders", read(&self.orders)),
            ("key-value store", read(&self.store)),
            ("user requests", read(&self.users)),
        ]
    }
}

/// An in-memory key-value store.
#[derive(Default)]
pub(crate) struct FakeStore {
    /// The value of each key and the store revision at which the value was written.
    entries: BTreeMap<String, (Value, u64)>,
    /// All changes of the store, oldest first: the changed key and the encoded watch event.
    log: Vec<(String, Value)>,
    revision: u64,
}

impl FakeStore {
    fn commit(&mut self, transaction: &Transaction) -> (u16, Value) {
        let revision = |key: &str| self.entries.get(key).map_or(0, |(_, revision)| *revision);
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
            let change = match mutation {
                Mutation::Put { key, value, .. } => {
                    self.entries.insert(key.clone(), (value.clone(), revision));
                    (key.clone(), json!({"write": key, "value": value, "stamp": revision}))
                }
                Mutation::Delete { key } => {
                    self.entries.remove(key);
                    (key.clone(), json!({"drop": key, "stamp": revision}))
                }
            };
            self.log.push(change);
        }
        (200, json!({"epoch": revision}))
    }

    fn list(&self, prefix: &str) -> Value {
        let row = |(key, (value, revision)): (&String, &(Value, u64))| json!({"path": key, "value": value, "stamp": revision});
        let rows: Vec<Value> = self.entries.iter().filter(|(key, _)| key.starts_with(prefix)).map(row).collect();
        json!({"rows": rows, "has_next": false, "epoch": self.revision})
    }

    /// Returns the changes of keys with the given prefix after revision `since`, out of the last 1000 changes of the
    /// store. Returns `None` if there are no such changes.
    fn changes(&self, prefix: &str, since: u64) -> Option<Value> {
        let is_requested =
            |(key, event): &&(String, Value)| key.starts_with(prefix) && event["stamp"].as_u64() > Some(since);
        let log: Vec<&Value> = self.log.iter().rev().take(1_000).filter(is_requested).map(|(_, event)| event).collect();
        let log: Vec<&Value> = log.into_iter().rev().collect();
        (!log.is_empty()).then(|| json!({"epoch": self.revision, "log": log}))
    }

    /// Returns the HTTP status and the body of the response to a request.
    fn respond(&mut self, method: &str, path: &str, query: &str, body: &[u8]) -> (u16, Value) {
        match (method, path) {
            ("POST", "commit") => match serde_json::from_slice(body) {
                Ok(transaction) => self.commit(&transaction),
                Err(_) => (400, json!({})),
            },
            ("POST", "holds") => (200, json!({"tenure": 7})),
            (_, path) if path.starts_with("holds/") => (200, json!({})),
            ("GET", "store") => (200, self.list(query_parameter(query, "prefix="))),
            ("GET", path) => match path.strip_prefix("store/").and_then(|key| self.entries.get_key_value(key)) {
                Some((key, (value, revision))) => (200, json!({"path": key, "value": value, "stamp": revision})),
                None => (404, json!({"epoch": self.revision})),
            },
            _ => (400, json!({})),
        }
    }
}

/// Returns the value of a query parameter, or an empty string if it is absent. `name` ends with an equals sign.
fn query_parameter<'a>(query: &'a str, name: &str) -> &'a str {
    query.split('&').find_map(|parameter| parameter.strip_prefix(name)).unwrap_or_default()
}

/// Returns an address on loopback with a port that no process uses at the moment.
pub(crate) fn free_addr() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("loopback has a free port")
}

fn send_response(response: &mut Response, status: u16, body: String) {
    response.status_code(StatusCode::from_u16(status).expect("a valid status code"));
    response.render(Text::Json(body));
}

/// Starts a server whose requests are all handled by `goal`, and returns its address.
fn spawn_server<H: Handler>(goal: H) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let addr = listener.local_addr().expect("the listener is bound");
    listener.set_nonblocking(true).expect("a socket can be non-blocking");
    let listener = tokio::net::TcpListener::from_std(listener).expect("the runtime accepts the listener");
    let acceptor = TcpAcceptor::try_from(listener).expect("the listener is bound");
    let router = Router::with_path("{**rest}").goal(goal);
    tokio::spawn(Server::new(acceptor).serve(router));
    addr
}

struct StoreServer {
    store: Mutex<FakeStore>,
    counts: Arc<RequestCounts>,
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
                self.store.lock().expect("no holder panics").respond(request.method().as_str(), &path, &query, &body);
            return send_response(response, status, value.to_string());
        }
        let number_parameter = |name: &str| query_parameter(&query, name).parse::<u64>().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(number_parameter("block_ms="));
        loop {
            let changes = self
                .store
                .lock()
                .expect("no holder panics")
                .changes(query_parameter(&query, "prefix="), number_parameter("since="));
            if changes.is_some() || Instant::now() >= deadline {
                let revision = self.store.lock().expect("no holder panics").revision;
                let no_changes = json!({"epoch": revision, "log": []});
                return send_response(response, 200, changes.unwrap_or(no_changes).to_string());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

pub(crate) fn serve_store(store: FakeStore, counts: Arc<RequestCounts>) -> SocketAddr {
    spawn_server(StoreServer { store: Mutex::new(store), counts })
}

/// A cloud without capacity for further machines, so that the controller's fleet stays the same.
pub(crate) struct FakeCloud;

#[salvo::handler]
impl FakeCloud {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        match (request.method().as_str(), request.uri().path()) {
            ("GET", "/machine_types") => {
                let types = MachineTypes { types: machine_types() };
                send_response(response, 200, json!(types).to_string());
            }
            ("GET", _) => send_response(response, 200, json!({"plinths": [], "has_next": false}).to_string()),
            _ => send_response(response, 503, json!({"error": "no capacity"}).to_string()),
        }
    }
}

pub(crate) fn serve_cloud(cloud: FakeCloud) -> SocketAddr {
    spawn_server(cloud)
}

struct WorkerServer {
    worker: Arc<Mutex<Worker>>,
    counts: Arc<RequestCounts>,
    started: Instant,
}

#[salvo::handler]
impl WorkerServer {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let body = request.payload().await.map(|body| body.to_vec()).unwrap_or_default();
        self.counts.orders.fetch_add(1, Ordering::Relaxed);
        let Ok(orders) = serde_json::from_slice::<DirectOrders>(&body) else {
            return send_response(response, 400, json!({}).to_string());
        };
        let mut worker = self.worker.lock().expect("no holder panics");
        worker.execute(self.started.elapsed().as_millis() as u64, orders.token, &orders.orders);
        let heartbeat = serde_json::to_string(&worker.next_heartbeat()).expect("a heartbeat is JSON");
        drop(worker);
        send_response(response, 200, heartbeat);
    }
}

pub(crate) fn serve_worker(worker: Arc<Mutex<Worker>>, counts: Arc<RequestCounts>) -> SocketAddr {
    spawn_server(WorkerServer { worker, counts, started: Instant::now() })
}
