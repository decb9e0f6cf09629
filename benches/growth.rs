//! How the work for one input grows with the fleet, counted in operations rather than time:
//!
//!     cargo bench --bench growth -- [MACHINES...]
//!
//! Demand is three times the capacity. In `urgent` the machines are full of work that can be stopped; in `waiting`
//! they are empty, as after all leases have run out. The exponent compares the first size with the last: 1 is
//! growth in proportion to machines. Times are of this machine.

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

const SIZES: [usize; 5] = [500, 1_000, 2_000, 4_000, 6_000];
/// Tasks of each array, and processors of each task.
const TASKS: u32 = 32;
const TASK_CPUS: f64 = 2.0;
/// How many times the capacity is asked for.
const DEMAND: f64 = 3.0;
/// What is played of each scenario, and before it to fill the machines, in milliseconds.
const PLAYED_MS: u64 = 4_000;
const FILLING_MS: u64 = 12_000;

/// The most that inputs of one kind took.
#[derive(Default)]
struct Peak {
    cost: OperationCounts,
    took: Duration,
}

impl Peak {
    fn note(&mut self, observed: &Observation) {
        if observed.cost.total() > self.cost.total() {
            self.cost = observed.cost;
        }
        self.took = self.took.max(observed.took);
    }
}

/// Plays a fleet of so many machines.
type Scenario = fn(usize) -> Measured;

struct Measured {
    tick: Peak,
    heartbeat: Peak,
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    let sizes = if sizes.is_empty() { SIZES.to_vec() } else { sizes };
    for (name, play) in [("urgent", urgent as Scenario), ("waiting", waiting)] {
        let mut totals = Vec::new();
        for &machines in &sizes {
            let Measured { tick, heartbeat } = play(machines);
            println!(
                "{name} machines={machines} tick: looks={} {} longest={:.1?}",
                tick.cost.total(),
                tick.cost,
                tick.took
            );
            println!(
                "{name} machines={machines} report: looks={} longest={:.1?}",
                heartbeat.cost.total(),
                heartbeat.took
            );
            totals.push((machines, tick.cost.total(), heartbeat.cost.total()));
        }
        if let [(small, ticks, heartbeats), .., (large, more_ticks, more_heartbeats)] = totals[..] {
            let exponent = |few: u64, many: u64| (many as f64 / few as f64).ln() / (large as f64 / small as f64).ln();
            println!(
                "{name} growth from {small} to {large} machines: tick {:.2}, report {:.2}",
                exponent(ticks, more_ticks),
                exponent(heartbeats.max(1), more_heartbeats.max(1))
            );
        }
    }
}

/// Arrays for so many times the capacity.
fn arrays(machines: usize, demand: f64, first: u64, priority: Priority) -> impl Iterator<Item = JobSpec> {
    let count = (fleet_cpus(machines) * demand / (f64::from(TASKS) * TASK_CPUS)).ceil() as u64;
    (first..first + count).map(move |number| JobSpec {
        kind: JobKind::Array,
        priority,
        tasks: TASKS,
        cpus: TASK_CPUS,
        spread: false,
        ..job(number)
    })
}

fn play(fleet: &mut Fleet, until_ms: u64) -> Measured {
    let mut measured = Measured { tick: Peak::default(), heartbeat: Peak::default() };
    while fleet.now < until_ms {
        for observed in fleet.step() {
            match observed.input {
                Input::Tick => measured.tick.note(&observed),
                Input::Heartbeat => measured.heartbeat.note(&observed),
                Input::EffectResult => {}
            }
        }
    }
    measured
}

fn urgent(machines: usize) -> Measured {
    let mut fleet = Fleet::new(machines, machines);
    arrays(machines, 1.0, 1, Priority::Low).for_each(|spec| fleet.submit(spec));
    play(&mut fleet, FILLING_MS);
    arrays(machines, DEMAND, 500_000, Priority::High).for_each(|spec| fleet.submit(spec));
    play(&mut fleet, FILLING_MS + PLAYED_MS)
}

fn waiting(machines: usize) -> Measured {
    let mut fleet = Fleet::new(machines, machines);
    play(&mut fleet, FILLING_MS);
    arrays(machines, DEMAND, 1, Priority::High).for_each(|spec| fleet.submit(spec));
    play(&mut fleet, FILLING_MS + PLAYED_MS)
}
