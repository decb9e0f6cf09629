//! Golden tests of the requests that the clients of the key-value store and of the cloud send, and of how the clients
//! decode the responses. Some of the message types are private, so their encoded field names can be checked only by
//! making a call.

use crate::samples::Samples;
use crate::values::machine_type;
use serde_json::json;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wallstile::core::scheduler::ProvisionOutcome;
use wallstile::ids::{LeaseId, Revision};
use wallstile::net::cloud::CloudClient;
use wallstile::net::http::HttpClient;
use wallstile::net::kv::{CommitError, KvClient};
use wallstile::time::{Millis, MonotonicTime};
use wallstile::wire::{ProvisionRequest, Transaction};

/// An HTTP server that sends the given responses in order, each on a new connection, and records the requests.
struct FakeServer {
    address: String,
    requests: Arc<Mutex<Vec<String>>>,
}

impl FakeServer {
    async fn start(responses: Vec<(u16, String)>) -> FakeServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
        let address = listener.local_addr().expect("the listener is bound").to_string();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let received = requests.clone();
        tokio::spawn(async move {
            for (status, body) in responses {
                let (mut connection, _) = listener.accept().await.expect("the client connects");
                let request = read_request(&mut connection).await;
                received.lock().expect("no holder panics").push(request);
                let length = body.len();
                let response =
                    format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}");
                connection.write_all(response.as_bytes()).await.expect("the client reads the response");
            }
        });
        FakeServer { address, requests }
    }

    fn assert_requests(&self, expected: &[&str]) {
        assert_eq!(*self.requests.lock().expect("no holder panics"), expected);
    }
}

/// Reads a request and returns its method, target and body, separated by spaces.
async fn read_request(connection: &mut TcpStream) -> String {
    let mut text = String::new();
    loop {
        let mut buffer = [0u8; 4096];
        let read = connection.read(&mut buffer).await.expect("the client sends the request");
        assert!(read > 0, "the connection was closed within a request: {text}");
        text.push_str(std::str::from_utf8(&buffer[..read]).expect("the request is UTF-8"));
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let head = head.to_ascii_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.map_or(0, |length| length.trim().parse().expect("the content length is a number"));
        if body.len() == length {
            let request_line = text.lines().next().unwrap_or_default();
            return format!("{} {body}", request_line.trim_end_matches(" HTTP/1.1")).trim_end().to_string();
        }
    }
}

fn to_responses(all: &[(u16, &str)]) -> Vec<(u16, String)> {
    all.iter().map(|(status, body)| (*status, body.to_string())).collect()
}

#[tokio::test]
async fn store_leases_are_granted_renewed_and_revoked() {
    let server =
        FakeServer::start(to_responses(&[(201, r#"{"tenure":12}"#), (200, "{}"), (404, "{}"), (204, "")])).await;
    let http = HttpClient::new(8);
    let store = KvClient::new(server.address.clone());
    assert_eq!(store.grant_lease(&http, Millis(3500)).await, Ok(LeaseId(12)));
    assert_eq!(store.renew_lease(&http, LeaseId(12), Millis(1000)).await, Ok(true));
    assert_eq!(store.renew_lease(&http, LeaseId(13), Millis(1000)).await, Ok(false));
    assert_eq!(store.revoke_lease(&http, LeaseId(12)).await, Ok(()));
    server.assert_requests(&[
        r#"POST /holds {"life_ms":3500}"#,
        "POST /holds/12/extend {}",
        "POST /holds/13/extend {}",
        "DELETE /holds/12",
    ]);
}

#[tokio::test]
async fn transactions_are_committed() {
    let server = FakeServer::start(to_responses(&[
        (200, r#"{"epoch":9002}"#),
        (409, r#"{"failed":["ctl/leader"],"epoch":9003}"#),
    ]))
    .await;
    let http = HttpClient::new(8);
    let store = KvClient::new(server.address.clone());
    let samples = Samples::wire();
    let transaction: Transaction = samples.read("transaction");
    assert_eq!(store.commit(&http, &transaction).await, Ok(Revision(9002)));
    assert_eq!(store.commit(&http, &transaction).await, Err(CommitError::Conflict(vec!["ctl/leader".to_string()])));
    let commit = format!("POST /commit {}", samples.text("transaction"));
    server.assert_requests(&[&commit, &commit]);
}

#[tokio::test]
async fn keys_are_read_and_watched() {
    let samples = Samples::wire();
    let entry = r#"{"path":"ctl/heir","value":"plinth-1","stamp":9001}"#;
    let (page, last_page) = (samples.text("rows"), samples.text("rows_of_the_least_members"));
    let server = FakeServer::start(to_responses(&[
        (200, entry),
        (404, "{}"),
        (200, page),
        (200, last_page),
        (200, last_page),
        (200, samples.text("log")),
    ]))
    .await;
    let http = HttpClient::new(8);
    let store = KvClient::new(server.address.clone());
    let entry = store.get(&http, "ctl/heir").await.expect("the server responds").expect("the key exists");
    assert_eq!((entry.key.as_str(), entry.value, entry.revision), ("ctl/heir", json!("plinth-1"), 9001));
    assert!(store.get(&http, "ctl/leader").await.expect("the server responds").is_none());
    let listing = store.list(&http, "ctl/").await.expect("the server responds");
    assert_eq!((listing.entries.len(), listing.revision), (1, Revision(9002)));
    assert_eq!(store.current_revision(&http).await, Ok(Revision(9002)));
    let changes = store
        .watch(&http, "live/", Revision(9001), Millis(700))
        .await
        .expect("the server responds")
        .expect("the changes after the revision are available");
    assert_eq!((changes.revision, changes.events.len()), (9003, 2));
    server.assert_requests(&[
        "GET /store/ctl/heir",
        "GET /store/ctl/leader",
        "GET /store?prefix=ctl/&limit=500",
        "GET /store?prefix=ctl/&since=ctl/heir&limit=500",
        "GET /store?prefix=ctl/&limit=1",
        "GET /follow?prefix=live/&since=9001&block_ms=700",
    ]);
}

#[tokio::test]
async fn machines_are_provisioned_listed_and_terminated() {
    let samples = Samples::wire();
    let names = samples.text("machine_names");
    let server = FakeServer::start(to_responses(&[
        (200, samples.text("machine_types")),
        (200, names),
        (503, r#"{"error":"no capacity"}"#),
        (200, "{}"),
        (200, samples.text("machine_list")),
        (200, samples.text("machine_list_of_the_least_members")),
    ]))
    .await;
    let http = HttpClient::new(8);
    let cloud = CloudClient::new(server.address.clone(), 1000.0);
    // The calls are 10 s apart, so the client's rate limit delays none of them.
    let now = |call: u64| MonotonicTime(10_000 * call);
    assert_eq!(cloud.machine_types(&http, now(1)).await.expect("the server responds"), vec![machine_type()]);
    let request: ProvisionRequest = samples.read("rent_request");
    let machines = vec!["m-000231".to_string(), "m-000232".to_string()];
    assert_eq!(cloud.provision(&http, now(2), &request).await, ProvisionOutcome::Provisioned(machines.clone()));
    assert_eq!(cloud.provision(&http, now(3), &request).await, ProvisionOutcome::NoCapacity);
    cloud.terminate(&http, now(4), machines).await.expect("the termination is confirmed");
    assert_eq!(cloud.list_machines(&http, now(5)).await.expect("the server responds").len(), 2);
    let provision = format!("POST /machines {}", samples.text("rent_request"));
    let terminate = format!("POST /machines/return {names}");
    server.assert_requests(&[
        "GET /machine_types",
        &provision,
        &provision,
        &terminate,
        "GET /machines?limit=500",
        "GET /machines?limit=500&since=m-000232",
    ]);
}
