//! What the clients of the key-value store and of the cloud ask for, and how they read the answers. The
//! types of some of these are private, so that only a call shows their names.

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

/// Answers one request after the other, each on a connection of its own, and keeps what was asked.
struct StandIn {
    address: String,
    asked: Arc<Mutex<Vec<String>>>,
}

impl StandIn {
    async fn with(answers: Vec<(u16, String)>) -> StandIn {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("it is bound").to_string();
        let asked = Arc::new(Mutex::new(Vec::new()));
        let notes = asked.clone();
        tokio::spawn(async move {
            for (status, body) in answers {
                let (mut connection, _) = listener.accept().await.expect("the client connects");
                let request = read_request(&mut connection).await;
                notes.lock().expect("nobody has panicked").push(request);
                let length = body.len();
                let answer =
                    format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}");
                connection.write_all(answer.as_bytes()).await.expect("the client reads");
            }
        });
        StandIn { address, asked }
    }

    fn assert_asked(&self, expected: &[&str]) {
        assert_eq!(*self.asked.lock().expect("nobody has panicked"), expected);
    }
}

/// Method, path and body of a request.
async fn read_request(connection: &mut TcpStream) -> String {
    let mut text = String::new();
    loop {
        let mut part = [0u8; 4096];
        let read = connection.read(&mut part).await.expect("the client writes");
        assert!(read > 0, "the request ends early: {text}");
        text.push_str(std::str::from_utf8(&part[..read]).expect("it is text"));
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let head = head.to_ascii_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.map_or(0, |length| length.trim().parse().expect("it is a number"));
        if body.len() == length {
            let first = text.lines().next().unwrap_or_default();
            return format!("{} {body}", first.trim_end_matches(" HTTP/1.1")).trim_end().to_string();
        }
    }
}

fn answers(all: &[(u16, &str)]) -> Vec<(u16, String)> {
    all.iter().map(|(status, body)| (*status, body.to_string())).collect()
}

#[tokio::test]
async fn leases_of_the_store_are_asked_for() {
    let service = StandIn::with(answers(&[(201, r#"{"tenure":12}"#), (200, "{}"), (404, "{}"), (204, "")])).await;
    let http = HttpClient::new(8);
    let state = KvClient::new(service.address.clone());
    assert_eq!(state.grant_lease(&http, Millis(3500)).await, Ok(LeaseId(12)));
    assert_eq!(state.renew_lease(&http, LeaseId(12), Millis(1000)).await, Ok(true));
    assert_eq!(state.renew_lease(&http, LeaseId(13), Millis(1000)).await, Ok(false));
    assert_eq!(state.revoke_lease(&http, LeaseId(12)).await, Ok(()));
    service.assert_asked(&[
        r#"POST /holds {"life_ms":3500}"#,
        "POST /holds/12/extend {}",
        "POST /holds/13/extend {}",
        "DELETE /holds/12",
    ]);
}

#[tokio::test]
async fn transactions_are_committed() {
    let service =
        StandIn::with(answers(&[(200, r#"{"epoch":9002}"#), (409, r#"{"failed":["ctl/leader"],"epoch":9003}"#)])).await;
    let http = HttpClient::new(8);
    let state = KvClient::new(service.address.clone());
    let samples = Samples::wire();
    let transaction: Transaction = samples.read("transaction");
    assert_eq!(state.commit(&http, &transaction).await, Ok(Revision(9002)));
    assert_eq!(state.commit(&http, &transaction).await, Err(CommitError::Conflict(vec!["ctl/leader".to_string()])));
    let asked = format!("POST /commit {}", samples.text("transaction"));
    service.assert_asked(&[&asked, &asked]);
}

#[tokio::test]
async fn keys_are_read_and_watched() {
    let samples = Samples::wire();
    let row = r#"{"path":"ctl/heir","value":"plinth-1","stamp":9001}"#;
    let (rows, last) = (samples.text("rows"), samples.text("rows_of_the_least_members"));
    let service = StandIn::with(answers(&[
        (200, row),
        (404, "{}"),
        (200, rows),
        (200, last),
        (200, last),
        (200, samples.text("log")),
    ]))
    .await;
    let http = HttpClient::new(8);
    let state = KvClient::new(service.address.clone());
    let read = state.get(&http, "ctl/heir").await.expect("it answers").expect("the key is there");
    assert_eq!((read.key.as_str(), read.value, read.revision), ("ctl/heir", json!("plinth-1"), 9001));
    assert!(state.get(&http, "ctl/leader").await.expect("it answers").is_none());
    let listing = state.list(&http, "ctl/").await.expect("it answers");
    assert_eq!((listing.entries.len(), listing.revision), (1, Revision(9002)));
    assert_eq!(state.current_revision(&http).await, Ok(Revision(9002)));
    let log = state.watch(&http, "live/", Revision(9001), Millis(700)).await.expect("it answers").expect("not too old");
    assert_eq!((log.revision, log.events.len()), (9003, 2));
    service.assert_asked(&[
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
    let service = StandIn::with(answers(&[
        (200, samples.text("machine_types")),
        (200, names),
        (503, r#"{"error":"no capacity"}"#),
        (200, "{}"),
        (200, samples.text("machine_list")),
        (200, samples.text("machine_list_of_the_least_members")),
    ]))
    .await;
    let http = HttpClient::new(8);
    let cloud = CloudClient::new(service.address.clone(), 1000.0);
    // Far enough apart that each call has its turn at once.
    let now = |call: u64| MonotonicTime(10_000 * call);
    assert_eq!(cloud.machine_types(&http, now(1)).await.expect("it answers"), vec![machine_type()]);
    let request: ProvisionRequest = samples.read("rent_request");
    let rented = vec!["m-000231".to_string(), "m-000232".to_string()];
    assert_eq!(cloud.provision(&http, now(2), &request).await, ProvisionOutcome::Provisioned(rented.clone()));
    assert_eq!(cloud.provision(&http, now(3), &request).await, ProvisionOutcome::NoCapacity);
    cloud.terminate(&http, now(4), rented).await.expect("it is confirmed");
    assert_eq!(cloud.list_machines(&http, now(5)).await.expect("it answers").len(), 2);
    let rent = format!("POST /machines {}", samples.text("rent_request"));
    let terminate = format!("POST /machines/return {names}");
    service.assert_asked(&[
        "GET /machine_types",
        &rent,
        &rent,
        &terminate,
        "GET /machines?limit=500",
        "GET /machines?limit=500&since=m-000232",
    ]);
}
