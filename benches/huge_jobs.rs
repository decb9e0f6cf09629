//! Measures the longest input to the scheduler while one user's job has as many tasks as the protocol permits:
//!
//!     cargo bench --bench huge_jobs -- [MACHINES [TASKS]]
//!
//! Each shape of job is submitted, runs, is found by a new leader, and is cancelled, on a fleet without other jobs. The
//! tasks need next to nothing, so that only their number counts. Durations depend on the host; operations don't.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/lifecycle.rs"]
mod lifecycle;
#[path = "support/worker.rs"]
mod worker;
#[path = "support/workload.rs"]
mod workload;

use fleet::{Fleet, Input, Observation};
use std::collections::BTreeMap;
use std::time::Duration;
use wallstile::wire::{JobKind, JobSpec};
use worker::fleet_cpus;
use workload::job;

/// Number of machines if none is given on the command line: enough for the largest job in one of two zones.
const DEFAULT_MACHINES: usize = 420;
/// Number of tasks if none is given on the command line: the most that PROTOCOL permits.
const DEFAULT_TASKS: u32 = 100_000;
/// Share of the fleet's processors that a job of [`DEFAULT_TASKS`] tasks needs.
const USED_SHARE: f64 = 0.05;
/// Simulated time before the submission, in which the machines send their first heartbeats.
const SETTLING_MS: u64 = 3_000;
/// Simulated time in which the job starts.
const RUNNING_MS: u64 = 8_000;
/// Simulated time in which the new leader finds the job. The first gang tasks end 20 s after their start.
const NEXT_LEADER_MS: u64 = 4_000;
/// Simulated time after the cancellation.
const STOPPING_MS: u64 = 5_000;

/// The longest durations and the most operations of the inputs of each kind.
type Peaks = BTreeMap<&'static str, (Duration, u64)>;

fn main() {
    let arguments: Vec<u32> = std::env::args().skip(1).filter_map(|argument| argument.parse().ok()).collect();
    let machines = arguments.first().map_or(DEFAULT_MACHINES, |machines| *machines as usize);
    let tasks = arguments.get(1).copied().unwrap_or(DEFAULT_TASKS);
    let shape = |kind, one_zone, spread| JobSpec {
        kind,
        tasks,
        cpus: USED_SHARE * fleet_cpus(machines) / f64::from(DEFAULT_TASKS),
        memory_gb: 0.001,
        one_zone,
        spread,
        deadline_s: None,
        estimated_run_s: if kind == JobKind::Service { 0.0 } else { 30.0 },
        ..job(1)
    };
    for (name, spec) in [
        ("gang", shape(JobKind::Gang, false, false)),
        ("gang one_zone", shape(JobKind::Gang, true, false)),
        ("gang spread", shape(JobKind::Gang, false, true)),
        ("array", shape(JobKind::Array, false, false)),
        ("array one_zone", shape(JobKind::Array, true, false)),
        ("service", shape(JobKind::Service, false, false)),
        ("service spread", shape(JobKind::Service, false, true)),
    ] {
        measure(name, machines, &spec);
    }
}

/// Runs one job through its life, and prints the longest inputs of each phase.
fn measure(name: &str, machines: usize, spec: &JobSpec) {
    let mut fleet = Fleet::new(machines, machines);
    run(&mut fleet, SETTLING_MS);
    fleet.submit(spec.clone());
    let peaks = run(&mut fleet, RUNNING_MS);
    print_peaks(name, "start", &peaks, &fleet);
    let counted = fleet.count_live_jobs();
    print_peaks(name, "job counts", &peaks_of([counted]), &fleet);
    let loaded = fleet.change_leader(spec);
    print_peaks(name, "load", &peaks_of([loaded]), &fleet);
    let peaks = run(&mut fleet, NEXT_LEADER_MS);
    print_peaks(name, "new leader", &peaks, &fleet);
    let cancelled = fleet.cancel(&spec.id);
    print_peaks(name, "cancellation", &peaks_of([cancelled]), &fleet);
    let peaks = run(&mut fleet, STOPPING_MS);
    print_peaks(name, "stops", &peaks, &fleet);
}

fn label(input: Input) -> &'static str {
    match input {
        Input::Tick => "tick",
        Input::Heartbeat => "heartbeat",
        Input::EffectResult => "other",
    }
}

fn peaks_of(observations: impl IntoIterator<Item = Observation>) -> Peaks {
    let mut peaks = Peaks::new();
    for observation in observations {
        let (duration, operations) = peaks.entry(label(observation.input)).or_default();
        *duration = (*duration).max(observation.duration);
        *operations = (*operations).max(observation.operations.total());
    }
    peaks
}

/// Advances the simulation by `ms` milliseconds.
fn run(fleet: &mut Fleet, ms: u64) -> Peaks {
    let until_ms = fleet.now_ms + ms;
    let mut observations = Vec::new();
    while fleet.now_ms < until_ms {
        observations.extend(fleet.step());
    }
    peaks_of(observations)
}

fn print_peaks(name: &str, phase: &str, peaks: &Peaks, fleet: &Fleet) {
    let running: usize = fleet.workers.iter().map(|worker| worker.heartbeat.tasks.len()).sum();
    let most = fleet.workers.iter().map(|worker| worker.heartbeat.tasks.len()).max().unwrap_or(0);
    let inputs: Vec<String> = peaks
        .iter()
        .map(|(input, (duration, operations))| {
            format!("{input} {:.2} ms {operations} ops", duration.as_secs_f64() * 1e3)
        })
        .collect();
    println!("{name}: {phase}: {}; tasks={running} most_on_a_machine={most}", inputs.join(", "));
}
