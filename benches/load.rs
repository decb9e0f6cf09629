//! What a leading controller costs as a whole process. Starts the release program against fakes of
//! the key-value store and the cloud on loopback, with simulated workers and users:
//!
//!     cargo bench --bench load -- [MACHINES [SECONDS]]
//!
//! Prints the processor time that the controller takes for each second and for each request. The
//! process number is printed first, so that `perf stat`, `perf record` or `strace -c -f` can attach.

#[path = "support/fakes.rs"]
mod fakes;
#[path = "support/worker.rs"]
mod worker;
#[path = "support/workload.rs"]
mod workload;

use fakes::{Counts, FakeCloud, FakeStore, free_addr, serve_cloud, serve_store, serve_worker};
use hyper::Method;
use serde_json::json;

use std::net::SocketAddr;
use std::process::{Child, Command};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use wallstile::net::http::HttpClient;
use wallstile::time::Millis;
use wallstile::wire::HeartbeatResponse;
use worker::{HEARTBEAT_INTERVAL_MS, RUN_MS, Worker, fleet_cpus};
use workload::{ARRAY_TASKS, job};

/// A worker sends a heartbeat after a change at once, but no more often than this.
const MIN_HEARTBEAT_GAP_MS: u64 = 500;
const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Until the fleet is full and tasks end as often as they start.
const WARM_UP: Duration = Duration::from_millis(RUN_MS + 10_000);
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Ends the controller when the benchmark ends, however it ends.
struct Controller(Child);

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Controller {
    fn start(settings: &std::path::Path) -> Controller {
        let program = env!("CARGO_BIN_EXE_wallstile");
        let child = Command::new(program).arg("--config").arg(settings).env("LOG_LEVEL", "error").spawn();
        Controller(child.expect("the program starts"))
    }

    /// Nanoseconds on a processor so far.
    fn processor_ns(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.0.id())).expect("the process runs");
        text.split(' ').next().and_then(|field| field.parse().ok()).expect("nanoseconds come first")
    }
}

fn settings(listen: SocketAddr, store: SocketAddr, cloud: SocketAddr) -> String {
    let mut settings: serde_json::Value =
        serde_json::from_str(include_str!("../tests/settings.json")).expect("the sample is valid");
    settings["serve_on"] = json!(listen);
    settings["internal_addr"] = json!(free_addr());
    settings["known"] = json!([]);
    settings["external"] = json!({"cloud": cloud, "state": store});
    settings["cluster"]["state"]["rps"] = json!(200.0);
    settings.to_string()
}

/// Sends heartbeats as a worker does, with one connection of its own.
async fn send_heartbeats(worker: Arc<Mutex<Worker>>, controller: SocketAddr, counts: Arc<Counts>) {
    let http = HttpClient::new(4);
    let started = tokio::time::Instant::now();
    let mut last = 0;
    loop {
        tokio::time::sleep(STEP_INTERVAL).await;
        let now = started.elapsed().as_millis() as u64;
        let heartbeat = {
            let mut worker = worker.lock().expect("no holder panics");
            let changed = worker.step(now) && now - last >= MIN_HEARTBEAT_GAP_MS;
            if !changed && worker.next_heartbeat_at > now {
                continue;
            }
            worker.next_heartbeat_at = now + HEARTBEAT_INTERVAL_MS;
            serde_json::to_vec(&worker.next_heartbeat()).expect("a heartbeat is JSON")
        };
        last = now;
        let answer = http.call(Method::POST, &controller.to_string(), "/v1/report", heartbeat, Millis(4_000)).await;
        counts.heartbeats.fetch_add(1, Ordering::Relaxed);
        let Ok((200, body)) = answer else { continue };
        let Ok(answer) = serde_json::from_slice::<HeartbeatResponse>(&body) else { continue };
        let mut worker = worker.lock().expect("no holder panics");
        worker.execute(now, answer.token, &answer.orders);
    }
}

/// Submits slightly more work than the fleet can do, and polls each job.
async fn submit_jobs(controller: SocketAddr, machines: usize, counts: Arc<Counts>) {
    let http = Arc::new(HttpClient::new(64));
    let interval_ms = f64::from(ARRAY_TASKS) * RUN_MS as f64 / fleet_cpus(machines) * 0.95;
    for number in 1.. {
        let spec = job(number);
        let (id, body) = (spec.id.clone(), serde_json::to_vec(&spec).expect("a job is JSON"));
        let (http, counts) = (http.clone(), counts.clone());
        tokio::spawn(async move {
            let address = controller.to_string();
            let _ = http.call(Method::POST, &address, "/api/jobs", body, Millis(5_000)).await;
            counts.users.fetch_add(1, Ordering::Relaxed);
            for _ in 0..40 {
                tokio::time::sleep(POLL_INTERVAL).await;
                let path = format!("/api/jobs/{id}");
                let answer = http.call(Method::GET, &address, &path, Vec::new(), Millis(2_000)).await;
                counts.users.fetch_add(1, Ordering::Relaxed);
                if answer.is_ok_and(|(_, body)| String::from_utf8_lossy(&body).contains("done")) {
                    return;
                }
            }
        });
        tokio::time::sleep(Duration::from_millis(interval_ms as u64)).await;
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let mut args = std::env::args().skip(1).filter(|arg| !arg.starts_with("--"));
    let machines: usize = args.next().and_then(|arg| arg.parse().ok()).unwrap_or(289);
    let seconds: u64 = args.next().and_then(|arg| arg.parse().ok()).unwrap_or(30);
    let counts = Arc::new(Counts::default());
    let mut workers = Vec::new();
    for index in 0..machines {
        let worker = Arc::new(Mutex::new(Worker::new(index, machines, String::new())));
        let address = serve_worker(worker.clone(), counts.clone());
        worker.lock().expect("no holder panics").heartbeat.endpoint = address.to_string();
        workers.push(worker);
    }
    let store = serve_store(FakeStore::default(), counts.clone());
    let cloud = serve_cloud(FakeCloud);
    let listen = free_addr();
    let file = std::env::temp_dir().join(format!("wallstile-load-{}.json", std::process::id()));
    std::fs::write(&file, settings(listen, store, cloud)).expect("the settings can be written");
    let controller = Controller::start(&file);
    println!("controller: process {}", controller.0.id());
    for worker in workers {
        tokio::spawn(send_heartbeats(worker, listen, counts.clone()));
    }
    tokio::spawn(submit_jobs(listen, machines, counts.clone()));
    tokio::time::sleep(WARM_UP).await;
    let (before, counted) = (controller.processor_ns(), counts.snapshot());
    println!("measuring for {seconds} s");
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let used_ms = (controller.processor_ns() - before) as f64 / 1e6;
    let per_second = used_ms / seconds as f64;
    println!("machines={machines} seconds={seconds}: {per_second:.2} ms of processor time a second");
    for ((name, after), (_, before)) in counts.snapshot().into_iter().zip(counted) {
        println!("{name}: {:.1} a second", (after - before) as f64 / seconds as f64);
    }
    let _ = std::fs::remove_file(&file);
}
