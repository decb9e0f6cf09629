//! Stand-ins of the state service, the cloud and the workers' side of orders, over HTTP on loopback.

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
pub struct Counts {
    pub heartbeats: AtomicU64,
    pub orders: AtomicU64,
    pub state: AtomicU64,
    pub users: AtomicU64,
}

impl Counts {
    pub fn snapshot(&self) -> Vec<(&'static str, u64)> {
        let read = |c: &AtomicU64| c.load(Ordering::Relaxed);
        vec![
            ("reports", read(&self.heartbeats)),
            ("orders", read(&self.orders)),
            ("state service", read(&self.state)),
            ("users", read(&self.users)),
        ]
    }
}

/// The key-value store, with all its changes.
#[derive(Default)]
pub struct StateService {
    keys: BTreeMap<String, (Value, u64)>,
    log: Vec<(String, Value)>,
    epoch: u64,
}

impl StateService {
    fn commit(&mut self, transaction: &Transaction) -> (u16, Value) {
        let revision = |key: &str| self.keys.get(key).map_or(0, |(_, revision)| *revision);
        let failed: Vec<&String> =
            transaction.preconditions.iter().filter(|g| revision(&g.key) != g.revision).map(|g| &g.key).collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "epoch": self.epoch}));
        }
        self.epoch += 1;
        let stamp = self.epoch;
        for change in &transaction.mutations {
            let entry = match change {
                Mutation::Put { key: write, value, .. } => {
                    self.keys.insert(write.clone(), (value.clone(), stamp));
                    (write.clone(), json!({"write": write, "value": value, "stamp": stamp}))
                }
                Mutation::Delete { key: drop } => {
                    self.keys.remove(drop);
                    (drop.clone(), json!({"drop": drop, "stamp": stamp}))
                }
            };
            self.log.push(entry);
        }
        (200, json!({"epoch": stamp}))
    }

    fn list(&self, prefix: &str) -> Value {
        let row =
            |(key, (value, stamp)): (&String, &(Value, u64))| json!({"path": key, "value": value, "stamp": stamp});
        let rows: Vec<Value> = self.keys.iter().filter(|(key, _)| key.starts_with(prefix)).map(row).collect();
        json!({"rows": rows, "has_next": false, "epoch": self.epoch})
    }

    /// Changes of keys with a prefix, after a revision; none if there are none.
    fn changes(&self, prefix: &str, since: u64) -> Option<Value> {
        let new = |(key, entry): &&(String, Value)| key.starts_with(prefix) && entry["stamp"].as_u64() > Some(since);
        let log: Vec<&Value> = self.log.iter().rev().take(1_000).filter(new).map(|(_, entry)| entry).collect();
        let log: Vec<&Value> = log.into_iter().rev().collect();
        (!log.is_empty()).then(|| json!({"epoch": self.epoch, "log": log}))
    }

    fn answer(&mut self, method: &str, path: &str, query: &str, body: &[u8]) -> (u16, Value) {
        match (method, path) {
            ("POST", "commit") => match serde_json::from_slice(body) {
                Ok(transaction) => self.commit(&transaction),
                Err(_) => (400, json!({})),
            },
            ("POST", "holds") => (200, json!({"tenure": 7})),
            (_, p) if p.starts_with("holds/") => (200, json!({})),
            ("GET", "store") => (200, self.list(field(query, "prefix="))),
            ("GET", p) => match p.strip_prefix("store/").and_then(|key| self.keys.get_key_value(key)) {
                Some((key, (value, stamp))) => (200, json!({"path": key, "value": value, "stamp": stamp})),
                None => (404, json!({"epoch": self.epoch})),
            },
            _ => (400, json!({})),
        }
    }
}

fn field<'a>(query: &'a str, name: &str) -> &'a str {
    query.split('&').find_map(|f| f.strip_prefix(name)).unwrap_or_default()
}

pub fn free_addr() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("loopback has a free port")
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

struct ServeState(Mutex<StateService>, Arc<Counts>);

#[salvo::handler]
impl ServeState {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let body = request.payload().await.map(|b| b.to_vec()).unwrap_or_default();
        let path = request.uri().path().trim_start_matches('/').to_string();
        let query = request.uri().query().unwrap_or_default().to_string();
        self.1.state.fetch_add(1, Ordering::Relaxed);
        if path != "follow" {
            let (status, value) =
                self.0.lock().expect("no holder panics").answer(request.method().as_str(), &path, &query, &body);
            return send(response, status, value.to_string());
        }
        let number = |name: &str| field(&query, name).parse::<u64>().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("block_ms="));
        loop {
            let changes = self.0.lock().expect("no holder panics").changes(field(&query, "prefix="), number("since="));
            if changes.is_some() || Instant::now() >= until {
                let epoch = self.0.lock().expect("no holder panics").epoch;
                let none = json!({"epoch": epoch, "log": []});
                return send(response, 200, changes.unwrap_or(none).to_string());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

pub fn serve_state(state: StateService, counts: Arc<Counts>) -> SocketAddr {
    spawn(ServeState(Mutex::new(state), counts))
}

/// Has no capacity left, so that the fleet stays as it is.
pub struct Cloud;

#[salvo::handler]
impl Cloud {
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

pub fn serve_cloud(cloud: Cloud) -> SocketAddr {
    spawn(cloud)
}

struct ServeWorker(Arc<Mutex<Worker>>, Arc<Counts>, Instant);

#[salvo::handler]
impl ServeWorker {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let body = request.payload().await.map(|b| b.to_vec()).unwrap_or_default();
        self.1.orders.fetch_add(1, Ordering::Relaxed);
        let Ok(orders) = serde_json::from_slice::<DirectOrders>(&body) else {
            return send(response, 400, json!({}).to_string());
        };
        let mut worker = self.0.lock().expect("no holder panics");
        worker.obey(self.2.elapsed().as_millis() as u64, orders.token, &orders.orders);
        let heartbeat = serde_json::to_string(&worker.next_heartbeat()).expect("a report is JSON");
        drop(worker);
        send(response, 200, heartbeat);
    }
}

pub fn serve_worker(worker: Arc<Mutex<Worker>>, counts: Arc<Counts>) -> SocketAddr {
    spawn(ServeWorker(worker, counts, Instant::now()))
}
