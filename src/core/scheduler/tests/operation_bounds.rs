//! What one input may cost. At production size one round of decisions held a leader for over a minute, in
//! which it renewed no lease and answered nobody (docs/incidents/production-overload.md).

use super::*;
use crate::core::placement;

/// Most operations that one input to the core may take, whatever waits.
fn operation_bound(machines: usize, jobs: usize, tasks: usize) -> u64 {
    (400 * machines + 20 * jobs + 10 * tasks + 40_000) as u64
}

/// A fleet full of work that can be stopped, and after it urgent work for several times its capacity. Returns the
/// cost of the longest tick until then.
fn longest_tick_under_urgent_overload(machines: usize) -> u64 {
    let mut harness = SchedulerHarness::new(machines);
    harness.run(2_000);
    let low = JobSpec { priority: Priority::Low, ..spec("req-000001", Kind::Array, 8 * machines as u32, 1.0) };
    harness.submit(200, low);
    harness.run(4_000);
    for n in 0..machines as u32 {
        harness.submit(300, spec(&format!("req-{:06}", 100 + n), Kind::Array, 16, 2.0));
    }
    harness.longest_tick = OperationCounts::default();
    harness.run(3_000);
    let urgent = harness.workers.values().flat_map(|r| &r.tasks).filter(|l| l.phase == TaskPhase::Running);
    let urgent = urgent.filter(|l| l.task.is_some_and(|task| task.job.to_string() != "req-000001")).count();
    assert!(urgent * 2 >= machines, "most of the machines have been cleared for urgent work: {urgent}");
    harness.longest_tick.total()
}

#[test]
fn round_under_urgent_overload_has_a_bounded_cost() {
    let work = longest_tick_under_urgent_overload(100);
    let bound = operation_bound(100, 101, 800);
    assert!(work <= bound, "one tick took {work} operations, bound {bound}");
}

#[test]
fn round_with_all_work_waiting_has_a_bounded_cost() {
    // Every lease has run out, and a new leader finds an empty fleet and all jobs waiting.
    let machines = 200;
    let jobs = 1_000;
    let mut harness = SchedulerHarness::new(machines);
    harness.run(2_000);
    harness.longest_tick = OperationCounts::default();
    for n in 0..jobs {
        harness.submit(300, spec(&format!("req-{:06}", 100 + n), Kind::Array, 4, 1.0));
    }
    harness.run(1_000);
    let (work, bound) = (harness.longest_tick.total(), operation_bound(machines, jobs as usize, 8 * machines));
    assert!(work <= bound, "one tick took {work} operations, bound {bound}");
}

/// Twice the machines and the work may cost at most this many times as much: in proportion, with some margin.
const MAX_GROWTH: f64 = 2.4;

#[test]
fn cost_of_a_round_grows_in_proportion_to_the_machines() {
    let work: Vec<u64> = [200, 400, 800].map(longest_tick_under_urgent_overload).into();
    for pair in work.windows(2) {
        let growth = pair[1] as f64 / pair[0] as f64;
        assert!(growth <= MAX_GROWTH, "operations of the longest tick at 200, 400 and 800 machines: {work:?}");
    }
}

#[test]
fn preemption_searches_in_vain_starve_no_job() {
    let mut harness = SchedulerHarness::new(100);
    harness.run(2_000);
    harness.submit(200, JobSpec { priority: Priority::Low, ..spec("req-000001", Kind::Array, 800, 1.0) });
    harness.run(4_000);
    // All machines are in one zone, so half of each of these can never run: searches in vain, for more than
    // a round's budget.
    for n in 0..300 {
        let service = spec(&format!("req-{:06}", 100 + n), Kind::Service, 2, 1.0);
        harness.submit(300, JobSpec { priority: Priority::Prod, spread: true, ..service });
    }
    harness.run(8_000);
    let urgent = harness.submit(300, spec("req-000900", Kind::Array, 4, 2.0));
    harness.run(6_000);
    assert_eq!(harness.running_count(&urgent), 4);
}

#[test]
fn reservations_beyond_a_tick_are_all_used_in_turn() {
    let mut harness = SchedulerHarness::new(300);
    harness.run(2_000);
    let job = harness.submit(300, spec("req-000001", Kind::Array, 2_400, 1.0));
    let other = harness.submit(300, spec("req-000002", Kind::Array, 1, 1.0));
    for (n, name) in
        harness.scheduler.machines.known.keys().cloned().collect::<Vec<_>>().iter().cycle().take(2_400).enumerate()
    {
        let of = if n == 0 { other } else { job };
        harness.scheduler.reservations.add(
            MonotonicTime(harness.now),
            name.clone(),
            of,
            Resources { cpus: 1.0, ..Resources::default() },
        );
    }
    harness.run(1_000);
    assert_eq!((harness.running_count(&job), harness.running_count(&other)), (2_399, 1));
}

#[test]
fn abandoned_round_starts_and_stops_nothing() {
    let mut harness = SchedulerHarness::new(2);
    harness.run(2_000);
    let job = harness.submit(300, spec("req-000001", Kind::Array, 2, 1.0));
    for peer in ["plinth-1", "plinth-2"] {
        harness.scheduler.mark_peer_responsive(MonotonicTime(harness.now), peer);
    }
    harness.scheduler.tick(MonotonicTime(harness.now + 1_000), WallTime(harness.now + 1_000));
    let mut asked = Vec::new();
    for effect in harness.scheduler.take_effects() {
        if let Effect::Plan { node, input } = effect {
            asked.push((node, input));
        }
    }
    assert!(!asked.is_empty() && harness.scheduler.has_open_round(), "a peer plans for the job's team");
    harness.scheduler.abandon_round();
    for (node, input) in asked {
        harness.scheduler.on_plan(MonotonicTime(harness.now + 1_100), &node, Some(placement::plan(&input)));
    }
    assert_eq!(harness.scheduler.take_effects(), [], "the plan comes too late");
    harness.now += 1_100;
    harness.run(2_000);
    assert_eq!(harness.running_count(&job), 2, "the next round starts it");
}

#[test]
fn cluster_state_loaded_in_parts_is_the_same() {
    let rows = |n: usize| (0..n).map(record).collect::<Vec<KeyValue>>();
    let job = |n: u32| {
        let spec = spec(&format!("req-{n:06}"), Kind::Array, 2, 1.0);
        KeyValue {
            key: format!("live/{}", spec.id),
            value: json!(LiveRecord { submitted_at: WallTime(0), spec, depends_on: vec![] }),
            revision: 9,
        }
    };
    let stored = || StoredState { live: (1..8).map(job).collect(), machines: rows(7), ..StoredState::default() };
    let parts = stored().into_parts(3);
    assert!(parts.iter().all(|p| p.live.len() + p.bitmaps.len() + p.machines.len() <= 3) && parts.len() == 6);
    let load = |parts: Vec<StoredState>| {
        let mut leader = Scheduler::new(
            sample_settings(),
            Tuning::default(),
            machine_types(),
            TERM,
            leader_record(),
            MonotonicTime(0),
        );
        parts.into_iter().for_each(|part| leader.load_part(MonotonicTime(0), part));
        leader.finish_load(MonotonicTime(5));
        leader.load_summary()
    };
    assert_eq!(load(parts), load(vec![stored()]));
}

#[test]
fn preemption_for_a_gang_stops_work_only_in_the_zone_that_can_hold_it() {
    // The machines of zone b have the work that is missed least, but are too few for the gang.
    let mut harness = SchedulerHarness::new(6);
    let zone_of = |n: usize| if n < 4 { "a" } else { "b" };
    for (n, worker) in harness.workers.values_mut().enumerate() {
        worker.zone = zone_of(n).into();
    }
    let rows = (0..6).map(|n| {
        let mut row = record(n);
        row.value["zone"] = json!(zone_of(n));
        row
    });
    harness.scheduler =
        Scheduler::new(sample_settings(), Tuning::default(), machine_types(), TERM, leader_record(), MonotonicTime(0));
    harness.scheduler.load(MonotonicTime(0), StoredState { machines: rows.collect(), ..StoredState::default() });
    harness.run(2_000);
    let low = |n: u32, zone: &str| {
        let spec = spec(&format!("req-{n:06}"), Kind::Array, 4, 8.0);
        JobSpec { priority: Priority::Low, zone: Some(zone.into()), ..spec }
    };
    let old = harness.submit(200, low(1, "a"));
    harness.run(10_000);
    let young = harness.submit(200, low(2, "b"));
    harness.run(2_000);
    assert_eq!((harness.running_count(&old), harness.running_count(&young)), (4, 2));
    let gang = harness.submit(200, spec("req-000003", Kind::Gang, 3, 8.0));
    harness.run(6_000);
    assert_eq!((harness.running_count(&gang), harness.running_count(&young)), (3, 2), "nothing is stopped in vain");
}
