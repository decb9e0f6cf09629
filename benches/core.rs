//! What the leader's core costs at a size given on the command line, without any I/O:
//!
//!     cargo bench --bench core -- [MACHINES [SECONDS]]
//!
//! Machines report, run arrays of short tasks and are kept full. Compare versions by the ratio of
//! their figures on the same machine, or under `perf stat -e instructions:u`.

use hdrhistogram::Histogram;
use std::time::Instant;
use wallstile::config::{Settings, Tuning};
use wallstile::core::leader::{Action, CommitResult, Leader, OrdersResult, RentResult, TICK};
use wallstile::core::leadership::LeaderRecord;
use wallstile::core::records::{LiveRecord, live_key};
use wallstile::ids::{JobId, LeaseId, Revision, Term};
use wallstile::time::{Mono, Wall};

#[path = "support/worker.rs"]
mod worker;
#[path = "support/workload.rs"]
mod workload;

use worker::{REPORT_MS, RUN_MS, Worker, fleet_cpus};
use workload::{ARRAY_TASKS, job, machine_types};

fn main() {
    let mut args = std::env::args().skip(1).filter(|a| !a.starts_with("--"));
    let machines: usize = args.next().and_then(|a| a.parse().ok()).unwrap_or(300);
    let seconds: u64 = args.next().and_then(|a| a.parse().ok()).unwrap_or(60);
    let settings = Settings::parse(include_str!("../tests/settings.json")).expect("the sample is valid");
    let record = LeaderRecord { node: settings.name.clone(), incarnation: 1, lease: LeaseId(1) };
    let mut leader = Leader::new(settings, Tuning::default(), machine_types(), Term(1), record, Mono(0));
    let mut workers: Vec<Worker> = (0..machines).map(|i| Worker::new(i, machines, i.to_string())).collect();
    let (mut jobs, mut epoch) = (0u64, 1u64);
    let hist = || Histogram::<u64>::new(3).expect("three digits are allowed");
    let (mut reports, mut ticks, mut answers) = (hist(), hist(), hist());
    let mut done = 0u64;
    // Slightly more work than the machines can do, so that there is always some that waits.
    let every = (f64::from(ARRAY_TASKS) * RUN_MS as f64 / fleet_cpus(machines) * 0.95).max(1.0) as u64;
    let mut now = 0u64;
    while now < seconds * 1_000 {
        now += TICK.0;
        while jobs * every < now {
            jobs += 1;
            epoch += 1;
            let s = job(jobs);
            let id = JobId::parse(&s.id).expect("a legal id");
            let record = serde_json::json!(LiveRecord { at: Wall(now), spec: s, awaits: Vec::new() });
            assert!(live_key(&id).len() < 200);
            leader.on_live(&id, &record, Revision(epoch));
        }
        let at = Instant::now();
        leader.tick(Mono(now), Wall(now));
        ticks.record(at.elapsed().as_nanos() as u64).expect("it grows as needed");
        for w in &mut workers {
            let changed = w.step(now);
            if changed || w.report_at <= now {
                w.report_at = now + REPORT_MS;
                let r = w.next_report();
                let at = Instant::now();
                let answer = leader.on_report(Mono(now), &r);
                reports.record(at.elapsed().as_nanos() as u64).expect("it grows as needed");
                w.execute(now, &answer.map(|a| a.orders).unwrap_or_default());
            }
        }
        let mut actions = leader.take_actions();
        while !actions.is_empty() {
            for a in actions {
                let at;
                match a {
                    Action::Orders { ticket, endpoint, body } => {
                        let w = &mut workers[endpoint.parse::<usize>().expect("a worker's number")];
                        w.execute(now, &body.orders);
                        let r = w.next_report();
                        at = Instant::now();
                        leader.on_orders_result(Mono(now), ticket, OrdersResult::Executed(r));
                    }
                    Action::Commit { ticket, .. } => {
                        at = Instant::now();
                        leader.on_committed(Mono(now), ticket, CommitResult::Done);
                        done += 1;
                    }
                    Action::Rent(r) => {
                        at = Instant::now();
                        leader.on_rented(Mono(now), &r.name, RentResult::NoCapacity);
                    }
                    Action::Return(_) | Action::Plan { .. } | Action::Reguard(_) | Action::LookUp(_) => continue,
                }
                answers.record(at.elapsed().as_nanos() as u64).expect("it grows as needed");
            }
            actions = leader.take_actions();
        }
    }
    println!("machines={machines} seconds={seconds} jobs={jobs} commits={done}");
    for (name, h) in [("report", &reports), ("tick", &ticks), ("answer", &answers)] {
        let us = |q: f64| h.value_at_quantile(q) as f64 / 1e3;
        let total_ms = h.mean() * h.len() as f64 / 1e6;
        println!(
            "{name}: n={} p50={:.1} us p99={:.1} us max={:.1} us, {:.2} ms for each second played",
            h.len(),
            us(0.5),
            us(0.99),
            us(1.0),
            total_ms / seconds as f64
        );
    }
}
