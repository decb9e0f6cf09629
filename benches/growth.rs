//! Measures how the cost of a single input to the scheduler grows with the number of machines. The cost is counted in
//! operations rather than time:
//!
//!     cargo bench --bench growth -- [MACHINES...]
//!
//! The jobs together require three times the processors of all machines. In the scenario `urgent` the machines are full
//! of tasks that these jobs may preempt; in `waiting` the machines are empty, as after all worker leases have expired.
//! The exponent of the growth is computed from the first and the last number of machines; 1 is linear growth. Printed
//! durations depend on the host.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/worker.rs"]
mod worker;
#[path = "support/workload.rs"]
mod workload;

use fleet::{Fleet, Input, Observation};
use std::time::Duration;
use wallstile::core::cost::OperationCounts;
use wallstile::wire::{JobKind, JobSpec, Priority};
use worker::fleet_cpus;
use workload::job;

/// Numbers of machines to measure if none are given on the command line.
const DEFAULT_SIZES: [usize; 5] = [500, 1_000, 2_000, 4_000, 6_000];
/// Number of tasks in each array job.
const TASKS_PER_ARRAY: u32 = 32;
/// Processors that each task requires.
const CPUS_PER_TASK: f64 = 2.0;
/// Processors that all jobs require together, as a multiple of the machines' processors.
const DEMAND_FACTOR: f64 = 3.0;
/// Simulated time for which a scenario is measured.
const MEASURED_MS: u64 = 4_000;
/// Simulated time before the measurement, in which the machines register and, in scenario `urgent`, are filled with
/// tasks.
const FILL_MS: u64 = 12_000;

/// The maximum of operations and the maximum of processing time over all inputs of one kind. The two may come from
/// different inputs.
#[derive(Default)]
struct Peak {
    operations: OperationCounts,
    duration: Duration,
}

impl Peak {
    fn record(&mut self, observation: &Observation) {
        if observation.operations.total() > self.operations.total() {
            self.operations = observation.operations;
        }
        self.duration = self.duration.max(observation.duration);
    }
}

/// A function that simulates a scenario with the given number of machines and returns the peaks of the measured time.
type Scenario = fn(usize) -> Peaks;

/// The peaks of the scheduler's ticks and of its processing of heartbeats.
struct Peaks {
    tick: Peak,
    heartbeat: Peak,
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    let sizes = if sizes.is_empty() { DEFAULT_SIZES.to_vec() } else { sizes };
    for (name, run) in [("urgent", urgent as Scenario), ("waiting", waiting)] {
        let mut totals = Vec::new();
        for &machines in &sizes {
            let Peaks { tick, heartbeat } = run(machines);
            println!(
                "{name} machines={machines} tick: operations={} {} longest={:.1?}",
                tick.operations.total(),
                tick.operations,
                tick.duration
            );
            println!(
                "{name} machines={machines} heartbeat: operations={} longest={:.1?}",
                heartbeat.operations.total(),
                heartbeat.duration
            );
            totals.push((machines, tick.operations.total(), heartbeat.operations.total()));
        }
        if let [(small, small_tick, small_heartbeat), .., (large, large_tick, large_heartbeat)] = totals[..] {
            let exponent =
                |before: u64, after: u64| (after as f64 / before as f64).ln() / (large as f64 / small as f64).ln();
            println!(
                "{name} growth from {small} to {large} machines: tick {:.2}, heartbeat {:.2}",
                exponent(small_tick, large_tick),
                exponent(small_heartbeat.max(1), large_heartbeat.max(1))
            );
        }
    }
}

/// Returns array jobs that together require `demand` times the processors of all machines. Their job numbers begin at
/// `first`.
fn arrays(machines: usize, demand: f64, first: u64, priority: Priority) -> impl Iterator<Item = JobSpec> {
    let count = (fleet_cpus(machines) * demand / (f64::from(TASKS_PER_ARRAY) * CPUS_PER_TASK)).ceil() as u64;
    (first..first + count).map(move |number| JobSpec {
        kind: JobKind::Array,
        priority,
        tasks: TASKS_PER_ARRAY,
        cpus: CPUS_PER_TASK,
        spread: false,
        ..job(number)
    })
}

/// Advances the simulation to the given time and returns the peaks of the ticks and heartbeats on the way.
fn run_until(fleet: &mut Fleet, until_ms: u64) -> Peaks {
    let mut peaks = Peaks { tick: Peak::default(), heartbeat: Peak::default() };
    while fleet.now_ms < until_ms {
        for observation in fleet.step() {
            match observation.input {
                Input::Tick => peaks.tick.record(&observation),
                Input::Heartbeat => peaks.heartbeat.record(&observation),
                Input::EffectResult => {}
            }
        }
    }
    peaks
}

/// Scenario in which full machines get jobs of a higher priority, so the scheduler searches for tasks to preempt.
fn urgent(machines: usize) -> Peaks {
    let mut fleet = Fleet::new(machines, machines);
    arrays(machines, 1.0, 1, Priority::Low).for_each(|spec| fleet.submit(spec));
    run_until(&mut fleet, FILL_MS);
    arrays(machines, DEMAND_FACTOR, 500_000, Priority::High).for_each(|spec| fleet.submit(spec));
    run_until(&mut fleet, FILL_MS + MEASURED_MS)
}

/// Scenario in which all jobs are submitted at the same time while the machines are empty.
fn waiting(machines: usize) -> Peaks {
    let mut fleet = Fleet::new(machines, machines);
    run_until(&mut fleet, FILL_MS);
    arrays(machines, DEMAND_FACTOR, 1, Priority::High).for_each(|spec| fleet.submit(spec));
    run_until(&mut fleet, FILL_MS + MEASURED_MS)
}
