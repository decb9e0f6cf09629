//! Fakes of a controller's key-value store, cloud and single worker, each a server on the loopback interface.

use super::free_addr;
use crate::net::server;
use crate::time::Millis;
use crate::wire::{Mutation, Order, Transaction};
use hyper::Method;
use salvo::prelude::*;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

/// A handle to the state of all fakes. Clones share the state.
#[derive(Clone, Default)]
pub(in crate::net) struct FakeCluster(Arc<Mutex<FakeState>>);

#[derive(Default)]
pub(in crate::net) struct FakeState {
    pub(in crate::net) store: FakeStore,
    pub(in crate::net) worker: FakeWorker,
}

impl FakeCluster {
    pub(in crate::net) fn lock(&self) -> MutexGuard<'_, FakeState> {
        self.0.lock().expect("no test panics while it holds the lock")
    }

    /// Returns the worker's next heartbeat.
    pub(in crate::net) fn heartbeat(&self) -> Value {
        self.lock().worker.heartbeat()
    }

    pub(super) fn has_key(&self, key: &str) -> bool {
        self.lock().store.entries.contains_key(key)
    }

    /// Starts a server of the store for one controller. Each controller has its own, so that the requests of one can be
    /// refused while those of others are served.
    pub(super) fn serve_store(&self, controller: &str) -> SocketAddr {
        serve(StoreServer { cluster: self.clone(), controller: controller.to_string() })
    }

    pub(super) fn serve_cloud(&self) -> SocketAddr {
        serve(CloudServer)
    }

    pub(super) fn serve_worker(&self) -> SocketAddr {
        let addr = serve(WorkerServer(self.clone()));
        self.lock().worker.endpoint = addr.to_string();
        addr
    }
}

/// A fake key-value store. Its leases never expire, and watches are answered from a log of all changes.
#[derive(Default)]
pub(in crate::net) struct FakeStore {
    /// The value of each key, with the revision at which it was written.
    pub(super) entries: BTreeMap<String, (Value, u64)>,
    /// All changes, each with its key, its revision and its entry in the response to a watch.
    changes: Vec<(String, u64, Value)>,
    revision: u64,
    /// Whether the store refuses all requests.
    pub(super) refuses_all: bool,
    /// Whether responses are delayed beyond the clients' timeouts.
    pub(super) unresponsive: bool,
    /// Names of the controllers whose requests are refused.
    pub(super) refused_controllers: BTreeSet<String>,
}

impl FakeStore {
    pub(super) fn put(&mut self, key: &str, value: Value, revision: u64) {
        self.entries.insert(key.into(), (value, revision));
    }

    fn commit(&mut self, transaction: &Transaction) -> (u16, Value) {
        let revision = |key: &str| self.entries.get(key).map_or(0, |(_, revision)| *revision);
        let preconditions = transaction.preconditions.iter();
        let failed: Vec<&String> = preconditions
            .filter(|precondition| revision(&precondition.key) != precondition.revision)
            .map(|precondition| &precondition.key)
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "epoch": self.revision}));
        }
        self.revision += 1;
        for mutation in &transaction.mutations {
            self.apply(mutation);
        }
        (200, json!({"epoch": self.revision}))
    }

    fn apply(&mut self, mutation: &Mutation) {
        let revision = self.revision;
        match mutation {
            Mutation::Put { key, value, .. } => {
                self.put(key, value.clone(), revision);
                let entry = json!({"write": key, "value": value, "stamp": revision});
                self.changes.push((key.clone(), revision, entry));
            }
            Mutation::Delete { key } => {
                self.entries.remove(key);
                self.changes.push((key.clone(), revision, json!({"drop": key, "stamp": revision})));
            }
        }
    }

    /// Returns the changes of keys with the given prefix after the given revision.
    fn watch(&self, query: &str) -> (u16, Value) {
        let field = |name: &str| query.split('&').find_map(|field| field.strip_prefix(name)).unwrap_or_default();
        let since: u64 = field("since=").parse().unwrap();
        let prefix = field("prefix=");
        let matching = self.changes.iter().filter(|(key, revision, _)| key.starts_with(prefix) && *revision > since);
        let log: Vec<&Value> = matching.map(|(_, _, entry)| entry).collect();
        (200, json!({"epoch": self.revision, "log": log}))
    }

    fn read(&self, key: &str) -> (u16, Value) {
        match self.entries.get_key_value(key) {
            Some((key, stored)) => (200, FakeStore::row(key, stored)),
            None => (404, json!({"epoch": self.revision})),
        }
    }

    fn list(&self, query: &str) -> (u16, Value) {
        let prefix = query.strip_prefix("prefix=").and_then(|rest| rest.split('&').next()).unwrap_or_default();
        let matching = self.entries.iter().filter(|(key, _)| key.starts_with(prefix));
        let rows: Vec<Value> = matching.map(|(key, stored)| FakeStore::row(key, stored)).collect();
        (200, json!({"rows": rows, "has_next": false, "epoch": self.revision}))
    }

    fn row(key: &str, (value, revision): &(Value, u64)) -> Value {
        json!({"path": key, "value": value, "stamp": revision})
    }

    fn respond(&mut self, request: &ReceivedRequest) -> (u16, Value) {
        match (request.method.as_str(), request.path.as_str()) {
            (_, "follow") => self.watch(&request.query),
            ("POST", "commit") => self.commit(&serde_json::from_slice(&request.body).unwrap()),
            ("POST", "holds") => (200, json!({"tenure": 7})),
            (_, path) if path.starts_with("holds/") => (200, json!({})),
            ("GET", "store") => self.list(&request.query),
            ("GET", path) => self.read(path.strip_prefix("store/").unwrap_or_default()),
            _ => (400, json!({})),
        }
    }
}

/// A worker that executes run orders immediately and ignores stop orders. Its tasks run until the test ends them.
#[derive(Default)]
pub(in crate::net) struct FakeWorker {
    pub(super) endpoint: String,
    sequence: u64,
    pub(super) token: u64,
    /// The entry of each task in the worker's heartbeats, by task name.
    pub(super) tasks: BTreeMap<String, Value>,
    /// All orders that were sent to the worker's endpoint.
    pub(super) orders: Vec<Order>,
}

impl FakeWorker {
    fn heartbeat(&mut self) -> Value {
        self.sequence += 1;
        json!({"plinth": "m-000001", "endpoint": self.endpoint, "build": "g8", "quay": "a", "loaner": false,
            "shift": 1, "tally": self.sequence, "baton": self.token, "warn_s": null,
            "lots": self.tasks.values().collect::<Vec<_>>()})
    }

    /// Adopts the fencing token of the response to a heartbeat.
    pub(super) fn on_heartbeat_response(&mut self, answer: &Value) {
        self.token = self.token.max(answer["baton"].as_u64().unwrap_or(0));
    }

    fn execute(&mut self, body: &Value) {
        self.token = self.token.max(body["baton"].as_u64().unwrap());
        for order in serde_json::from_value::<Vec<Order>>(body["orders"].clone()).unwrap() {
            if let Order::Run { task, attempt } = &order {
                let entry = json!({"lot": task, "try": attempt, "phase": "running"});
                self.tasks.insert(task.to_string(), entry);
            }
            self.orders.push(order);
        }
    }

    pub(super) fn complete_all_tasks(&mut self) {
        for entry in self.tasks.values_mut() {
            entry["phase"] = json!("exited");
            entry["cause"] = json!("done");
        }
    }
}

/// The parts of a request that the fakes use.
struct ReceivedRequest {
    method: Method,
    path: String,
    query: String,
    body: Vec<u8>,
}

impl ReceivedRequest {
    async fn read(req: &mut Request) -> ReceivedRequest {
        ReceivedRequest {
            method: req.method().clone(),
            path: req.uri().path().trim_start_matches('/').to_string(),
            query: req.uri().query().unwrap_or_default().to_string(),
            body: req.payload().await.map(|body| body.to_vec()).unwrap_or_default(),
        }
    }
}

fn render(res: &mut Response, (status, value): (u16, Value)) {
    res.status_code(StatusCode::from_u16(status).unwrap());
    res.render(Text::Json(value.to_string()));
}

fn serve(server: impl Handler) -> SocketAddr {
    let addr = free_addr();
    tokio::spawn(server::serve(addr, Router::with_path("{**rest}").goal(server), 64));
    addr
}

struct StoreServer {
    cluster: FakeCluster,
    controller: String,
}

#[salvo::handler]
impl StoreServer {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let request = ReceivedRequest::read(req).await;
        let is_unresponsive = self.cluster.lock().store.unresponsive;
        if is_unresponsive {
            tokio::time::sleep(Millis(8_000).to_std()).await;
        }
        if request.path == "follow" {
            // A watch blocks for a fixed time, whether or not there are changes.
            tokio::time::sleep(Millis(300).to_std()).await;
        }
        let answer = {
            let store = &mut self.cluster.lock().store;
            match store.refuses_all || store.refused_controllers.contains(&self.controller) {
                true => (503, json!({"error": "trouble"})),
                false => store.respond(&request),
            }
        };
        render(res, answer);
    }
}

/// A cloud that offers one machine type and has no capacity.
struct CloudServer;

#[salvo::handler]
impl CloudServer {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let request = ReceivedRequest::read(req).await;
        let answer = match request.path.as_str() {
            "machine_types" => (
                200,
                json!({"builds": [{"sku": "g8", "cores": 16, "gpus": 0, "ram_gb": 64, "local_gb": 50,
                    "fetch_gb_per_s": 1.0, "price": 1.0, "market_price": 0.5, "startup_s": 5, "quays": ["a"]}]}),
            ),
            "machines" if request.method == Method::GET => (200, json!({"plinths": [], "has_next": false})),
            _ => (503, json!({"error": "no capacity"})),
        };
        render(res, answer);
    }
}

struct WorkerServer(FakeCluster);

#[salvo::handler]
impl WorkerServer {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let request = ReceivedRequest::read(req).await;
        let body: Value = serde_json::from_slice(&request.body).unwrap();
        let heartbeat = {
            let worker = &mut self.0.lock().worker;
            worker.execute(&body);
            worker.heartbeat()
        };
        render(res, (200, heartbeat));
    }
}
