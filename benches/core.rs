//! Measures the processing time of the scheduler, without I/O, for a number of machines given on the command line:
//!
//!     cargo bench --bench core -- [MACHINES [SECONDS]]
//!
//! Simulated machines send heartbeats and run services and arrays of short tasks. Jobs are submitted slightly faster
//! than the machines can run them. To compare two versions, take the ratio of their processing times on the
//! same host, or count instructions with `perf stat -e instructions:u`.

use hdrhistogram::Histogram;

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/worker.rs"]
mod worker;
#[path = "support/workload.rs"]
mod workload;

use fleet::{Fleet, Input};
use worker::{TASK_RUN_MS, fleet_cpus};
use workload::{ARRAY_TASKS, job};

fn main() {
    let mut args = std::env::args().skip(1).filter(|arg| !arg.starts_with("--"));
    let machines: usize = args.next().and_then(|arg| arg.parse().ok()).unwrap_or(300);
    let seconds: u64 = args.next().and_then(|arg| arg.parse().ok()).unwrap_or(60);
    let mut fleet = Fleet::new(machines, 0);
    let histogram = || Histogram::<u64>::new(3).expect("three significant digits are supported");
    let (mut heartbeats, mut ticks, mut effect_results) = (histogram(), histogram(), histogram());
    // The jobs' demand for processors slightly exceeds the machines' capacity, so that some tasks always wait.
    let interval_ms = (f64::from(ARRAY_TASKS) * TASK_RUN_MS as f64 / fleet_cpus(machines) * 0.95).max(1.0) as u64;
    let (mut jobs, mut max_operations) = (0u64, 0u64);
    while fleet.now_ms < seconds * 1_000 {
        while jobs * interval_ms <= fleet.now_ms {
            jobs += 1;
            fleet.submit(job(jobs));
        }
        for observation in fleet.step() {
            max_operations = max_operations.max(observation.operations.total());
            let histogram = match observation.input {
                Input::Tick => &mut ticks,
                Input::Heartbeat => &mut heartbeats,
                Input::EffectResult => &mut effect_results,
            };
            histogram.record(observation.duration.as_nanos() as u64).expect("the histogram grows as needed");
        }
    }
    println!(
        "machines={machines} seconds={seconds} jobs={jobs} commits={} max_operations={max_operations}",
        fleet.commits
    );
    for (name, histogram) in [("heartbeat", &heartbeats), ("tick", &ticks), ("effect result", &effect_results)] {
        let us = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
        let total_ms = histogram.mean() * histogram.len() as f64 / 1e6;
        println!(
            "{name}: n={} p50={:.1} us p99={:.1} us max={:.1} us, {:.2} ms per simulated second",
            histogram.len(),
            us(0.5),
            us(0.99),
            us(1.0),
            total_ms / seconds as f64
        );
    }
}
