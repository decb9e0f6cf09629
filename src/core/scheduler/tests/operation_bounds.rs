//! Bounds on the number of operations for a single input to the scheduler. At production size one planning round
//! blocked a leader for over a minute, in which the leader renewed no lease and answered no requests
//! (docs/incidents/production-overload.md).

use super::*;
use crate::core::placement;

/// Returns the maximum number of operations allowed for one input to the scheduler, however many tasks wait to start.
fn operation_bound(machines: usize, jobs: usize, tasks: usize) -> u64 {
    (400 * machines + 20 * jobs + 10 * tasks + 40_000) as u64
}

/// Fills all machines with preemptible tasks, then submits jobs of higher priority for several times the machines'
/// capacity. Returns the number of operations of the most expensive tick after that.
fn max_tick_operations_under_urgent_overload(machines: usize) -> u64 {
    let mut harness = SchedulerHarness::new(machines);
    harness.run(2_000);
    let low = JobSpec { priority: Priority::Low, ..spec("req-000001", JobKind::Array, 8 * machines as u32, 1.0) };
    harness.submit(200, low);
    harness.run(4_000);
    for number in 0..machines as u32 {
        harness.submit(300, spec(&format!("req-{:06}", 100 + number), JobKind::Array, 16, 2.0));
    }
    harness.max_tick_operations = OperationCounts::default();
    harness.run(3_000);
    let urgent =
        harness.workers.values().flat_map(|worker| &worker.tasks).filter(|status| status.phase == TaskPhase::Running);
    let urgent = urgent.filter(|status| status.task.is_some_and(|task| task.job.to_string() != "req-000001")).count();
    assert!(urgent * 2 >= machines, "too few urgent tasks have started: {urgent}");
    harness.max_tick_operations.total()
}

#[test]
fn round_under_urgent_overload_has_a_bounded_cost() {
    let operations = max_tick_operations_under_urgent_overload(100);
    let bound = operation_bound(100, 101, 800);
    assert!(operations <= bound, "one tick took {operations} operations, bound {bound}");
}

#[test]
fn round_with_all_work_waiting_has_a_bounded_cost() {
    // As after an outage in which all worker leases have expired: the machines are empty and all jobs wait to start.
    let machines = 200;
    let jobs = 1_000;
    let mut harness = SchedulerHarness::new(machines);
    harness.run(2_000);
    harness.max_tick_operations = OperationCounts::default();
    for number in 0..jobs {
        harness.submit(300, spec(&format!("req-{:06}", 100 + number), JobKind::Array, 4, 1.0));
    }
    harness.run(1_000);
    let (operations, bound) =
        (harness.max_tick_operations.total(), operation_bound(machines, jobs as usize, 8 * machines));
    assert!(operations <= bound, "one tick took {operations} operations, bound {bound}");
}

/// Maximum factor by which the operations of a tick may grow when the numbers of machines, jobs and tasks double: 2 for
/// linear growth, plus a margin.
const MAX_GROWTH: f64 = 2.4;

#[test]
fn cost_of_a_round_grows_in_proportion_to_the_machines() {
    let maxima: Vec<u64> = [200, 400, 800].map(max_tick_operations_under_urgent_overload).into();
    for pair in maxima.windows(2) {
        let growth = pair[1] as f64 / pair[0] as f64;
        assert!(growth <= MAX_GROWTH, "maximum of operations in a tick at 200, 400 and 800 machines: {maxima:?}");
    }
}

#[test]
fn failing_preemption_searches_starve_no_job() {
    let mut harness = SchedulerHarness::new(100);
    harness.run(2_000);
    harness.submit(200, JobSpec { priority: Priority::Low, ..spec("req-000001", JobKind::Array, 800, 1.0) });
    harness.run(4_000);
    // All machines are in one zone, so half of the tasks of each spread service can never run. The futile searches for
    // tasks to preempt on behalf of these services exceed the operation budget of a planning round.
    for number in 0..300 {
        let service = spec(&format!("req-{:06}", 100 + number), JobKind::Service, 2, 1.0);
        harness.submit(300, JobSpec { priority: Priority::Prod, spread: true, ..service });
    }
    harness.run(8_000);
    let urgent = harness.submit(300, spec("req-000900", JobKind::Array, 4, 2.0));
    harness.run(6_000);
    assert_eq!(harness.running_count(&urgent), 4);
}

#[test]
fn more_reservations_than_a_tick_can_process_are_all_used() {
    let mut harness = SchedulerHarness::new(300);
    harness.run(2_000);
    let job = harness.submit(300, spec("req-000001", JobKind::Array, 2_400, 1.0));
    let other = harness.submit(300, spec("req-000002", JobKind::Array, 1, 1.0));
    for (number, machine) in
        harness.scheduler.machines.known.keys().cloned().collect::<Vec<_>>().iter().cycle().take(2_400).enumerate()
    {
        let owner = if number == 0 { other } else { job };
        harness.scheduler.reservations.add(
            MonotonicTime(harness.now),
            machine.clone(),
            owner,
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
    let job = harness.submit(300, spec("req-000001", JobKind::Array, 2, 1.0));
    for peer in ["plinth-1", "plinth-2"] {
        harness.scheduler.mark_peer_responsive(MonotonicTime(harness.now), peer);
    }
    harness.scheduler.tick(MonotonicTime(harness.now + 1_000), WallTime(harness.now + 1_000));
    let mut requests = Vec::new();
    for effect in harness.scheduler.take_effects() {
        if let Effect::Plan { node, input } = effect {
            requests.push((node, input));
        }
    }
    assert!(!requests.is_empty() && harness.scheduler.has_open_round(), "a peer plans for the job's team");
    harness.scheduler.abandon_round();
    for (node, input) in requests {
        harness.scheduler.on_plan(MonotonicTime(harness.now + 1_100), &node, Some(placement::plan(&input)));
    }
    assert_eq!(harness.scheduler.take_effects(), [], "the plan comes too late");
    harness.now += 1_100;
    harness.run(2_000);
    assert_eq!(harness.running_count(&job), 2, "the next round starts it");
}

#[test]
fn cluster_state_loaded_in_parts_equals_one_loaded_at_once() {
    let rows = |count: usize| (0..count).map(machine_row).collect::<Vec<KeyValue>>();
    let job = |number: u32| {
        let spec = spec(&format!("req-{number:06}"), JobKind::Array, 2, 1.0);
        KeyValue {
            key: format!("live/{}", spec.id),
            value: json!(LiveRecord { submitted_at: WallTime(0), spec, depends_on: vec![] }),
            revision: 9,
        }
    };
    let stored = || StoredState { live: (1..8).map(job).collect(), machines: rows(7), ..StoredState::default() };
    let parts = stored().into_parts(3);
    assert!(
        parts.iter().all(|part| part.live.len() + part.bitmaps.len() + part.machines.len() <= 3) && parts.len() == 6
    );
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
fn preemption_for_a_gang_stops_tasks_only_in_a_zone_with_room_for_it() {
    // The tasks in zone b are the cheapest to preempt, but the zone has too few machines for the gang.
    let mut harness = SchedulerHarness::in_zones(6, |number| if number < 4 { "a" } else { "b" });
    harness.run(2_000);
    let low = |number: u32, zone: &str| {
        let spec = spec(&format!("req-{number:06}"), JobKind::Array, 4, 8.0);
        JobSpec { priority: Priority::Low, zone: Some(zone.into()), ..spec }
    };
    let older = harness.submit(200, low(1, "a"));
    harness.run(10_000);
    let younger = harness.submit(200, low(2, "b"));
    harness.run(2_000);
    assert_eq!((harness.running_count(&older), harness.running_count(&younger)), (4, 2));
    let gang = harness.submit(200, spec("req-000003", JobKind::Gang, 3, 8.0));
    harness.run(6_000);
    assert_eq!((harness.running_count(&gang), harness.running_count(&younger)), (3, 2), "no task is stopped in zone b");
}
