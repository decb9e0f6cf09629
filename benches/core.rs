//! What the scheduler costs at a size given on the command line, without any I/O:
//!
//!     cargo bench --bench core -- [MACHINES [SECONDS]]
//!
//! Machines send heartbeats, run arrays of short tasks and are kept full. Compare versions by the ratio of
//! their figures on the same machine, or under `perf stat -e instructions:u`.

use hdrhistogram::Histogram;

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/worker.rs"]
mod worker;
#[path = "support/workload.rs"]
mod workload;

use fleet::{Fleet, Input};
use worker::{RUN_MS, fleet_cpus};
use workload::{ARRAY_TASKS, job};

fn main() {
    let mut args = std::env::args().skip(1).filter(|arg| !arg.starts_with("--"));
    let machines: usize = args.next().and_then(|arg| arg.parse().ok()).unwrap_or(300);
    let seconds: u64 = args.next().and_then(|arg| arg.parse().ok()).unwrap_or(60);
    let mut fleet = Fleet::new(machines, 0);
    let histogram = || Histogram::<u64>::new(3).expect("three digits are allowed");
    let (mut heartbeats, mut ticks, mut answers) = (histogram(), histogram(), histogram());
    // Slightly more work than the machines can do, so that there is always some that waits.
    let interval_ms = (f64::from(ARRAY_TASKS) * RUN_MS as f64 / fleet_cpus(machines) * 0.95).max(1.0) as u64;
    let (mut jobs, mut most_looks) = (0u64, 0u64);
    while fleet.now < seconds * 1_000 {
        while jobs * interval_ms <= fleet.now {
            jobs += 1;
            fleet.submit(job(jobs));
        }
        for observed in fleet.step() {
            most_looks = most_looks.max(observed.cost.total());
            let histogram = match observed.input {
                Input::Tick => &mut ticks,
                Input::Heartbeat => &mut heartbeats,
                Input::EffectResult => &mut answers,
            };
            histogram.record(observed.took.as_nanos() as u64).expect("it grows as needed");
        }
    }
    println!("machines={machines} seconds={seconds} jobs={jobs} commits={} most_looks={most_looks}", fleet.commits);
    for (name, histogram) in [("report", &heartbeats), ("tick", &ticks), ("answer", &answers)] {
        let us = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
        let total_ms = histogram.mean() * histogram.len() as f64 / 1e6;
        println!(
            "{name}: n={} p50={:.1} us p99={:.1} us max={:.1} us, {:.2} ms for each second played",
            histogram.len(),
            us(0.5),
            us(0.99),
            us(1.0),
            total_ms / seconds as f64
        );
    }
}
