//! Measures the processor time of a leading controller as a whole process. Starts the release program with fakes of the
//! key-value store and the cloud on loopback, and with simulated workers and users:
//!
//!     cargo bench --bench load -- [MACHINES [SECONDS]]
//!
//! Prints the processor time and the requests of each kind per second. The process id is printed first, so that
//! `perf stat`, `perf record` or `strace -c -f` can attach.

#[path = "support/fakes.rs"]
mod fakes;
#[path = "support/worker.rs"]
mod worker;
#[path = "support/workload.rs"]
mod workload;

use fakes::{FakeCloud, FakeStore, RequestCounts, free_addr, serve_cloud, serve_store, serve_worker};
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
use worker::{HEARTBEAT_INTERVAL_MS, TASK_RUN_MS, Worker, fleet_cpus};
use workload::{ARRAY_TASKS, job};

/// Minimum time between a worker's previous heartbeat and one that is sent early because a task has ended.
const MIN_HEARTBEAT_GAP_MS: u64 = 500;
/// Interval at which each worker ends its due tasks and checks whether to send a heartbeat.
const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Time before the measurement, in which the machines fill and reach the state in which tasks end as often as they
/// start.
const WARM_UP: Duration = Duration::from_millis(TASK_RUN_MS + 10_000);
/// Interval at which a simulated user polls the status of a job.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// The controller process. Dropping this value kills the process, so that it doesn't outlive the benchmark.
struct Controller(Child);

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Controller {
    fn start(settings_path: &std::path::Path) -> Controller {
        let program = env!("CARGO_BIN_EXE_wallstile");
        let child = Command::new(program).arg("--config").arg(settings_path).env("LOG_LEVEL", "error").spawn();
        Controller(child.expect("the program starts"))
    }

    /// Returns the processor time that the controller process has used so far, in nanoseconds.
    fn processor_time_ns(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.0.id())).expect("the process runs");
        text.split(' ').next().and_then(|field| field.parse().ok()).expect("the first field is a number of nanoseconds")
    }
}

/// Returns the controller's settings as JSON.
fn settings_json(listen: SocketAddr, store: SocketAddr, cloud: SocketAddr) -> String {
    let mut settings: serde_json::Value =
        serde_json::from_str(include_str!("../tests/settings.json")).expect("the sample is valid");
    settings["serve_on"] = json!(listen);
    settings["internal_addr"] = json!(free_addr());
    settings["known"] = json!([]);
    settings["external"] = json!({"cloud": cloud, "state": store});
    settings["cluster"]["state"]["rps"] = json!(200.0);
    settings.to_string()
}

/// Sends the heartbeats of a worker, one at a time with an HTTP client of the worker's own, and lets the worker execute
/// the orders in the responses.
async fn send_heartbeats(worker: Arc<Mutex<Worker>>, controller: SocketAddr, counts: Arc<RequestCounts>) {
    let http = HttpClient::new(4);
    let started = tokio::time::Instant::now();
    let mut last_ms = 0;
    loop {
        tokio::time::sleep(STEP_INTERVAL).await;
        let now_ms = started.elapsed().as_millis() as u64;
        let heartbeat = {
            let mut worker = worker.lock().expect("no holder panics");
            let changed = worker.end_due_tasks(now_ms) && now_ms - last_ms >= MIN_HEARTBEAT_GAP_MS;
            if !changed && worker.next_heartbeat_at_ms > now_ms {
                continue;
            }
            worker.next_heartbeat_at_ms = now_ms + HEARTBEAT_INTERVAL_MS;
            serde_json::to_vec(&worker.next_heartbeat()).expect("a heartbeat is JSON")
        };
        last_ms = now_ms;
        let response = http.call(Method::POST, &controller.to_string(), "/v1/report", heartbeat, Millis(4_000)).await;
        counts.heartbeats.fetch_add(1, Ordering::Relaxed);
        let Ok((200, body)) = response else { continue };
        let Ok(response) = serde_json::from_slice::<HeartbeatResponse>(&body) else { continue };
        let mut worker = worker.lock().expect("no holder panics");
        worker.execute(now_ms, response.token, &response.orders);
    }
}

/// Submits jobs that need slightly more processors than the machines have, and polls the status of each job until the
/// job is done, at most 40 times.
async fn submit_jobs(controller: SocketAddr, machines: usize, counts: Arc<RequestCounts>) {
    let http = Arc::new(HttpClient::new(64));
    let interval_ms = f64::from(ARRAY_TASKS) * TASK_RUN_MS as f64 / fleet_cpus(machines) * 0.95;
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
                let response = http.call(Method::GET, &address, &path, Vec::new(), Millis(2_000)).await;
                counts.users.fetch_add(1, Ordering::Relaxed);
                if response.is_ok_and(|(_, body)| String::from_utf8_lossy(&body).contains("done")) {
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
    let counts = Arc::new(RequestCounts::default());
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
    let settings_path = std::env::temp_dir().join(format!("wallstile-load-{}.json", std::process::id()));
    std::fs::write(&settings_path, settings_json(listen, store, cloud)).expect("the settings can be written");
    let controller = Controller::start(&settings_path);
    println!("controller: process id {}", controller.0.id());
    for worker in workers {
        tokio::spawn(send_heartbeats(worker, listen, counts.clone()));
    }
    tokio::spawn(submit_jobs(listen, machines, counts.clone()));
    tokio::time::sleep(WARM_UP).await;
    let (time_before_ns, counts_before) = (controller.processor_time_ns(), counts.snapshot());
    println!("measuring for {seconds} s");
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let used_ms = (controller.processor_time_ns() - time_before_ns) as f64 / 1e6;
    let per_second = used_ms / seconds as f64;
    println!("machines={machines} seconds={seconds}: {per_second:.2} ms of processor time per second");
    for ((name, after), (_, before)) in counts.snapshot().into_iter().zip(counts_before) {
        println!("{name}: {:.1} per second", (after - before) as f64 / seconds as f64);
    }
    let _ = std::fs::remove_file(&settings_path);
}
