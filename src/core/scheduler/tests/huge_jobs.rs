//! Jobs of as many tasks as a user may submit: no input to the scheduler takes longer than in proportion to the tasks
//! that it handles (docs/incidents/huge-gang.md).

use super::*;

/// A gang's rule on zones.
#[derive(Clone, Copy, Debug)]
enum ZoneRule {
    AnyZone,
    OneZone,
    Spread,
}

/// Maximum exponent by which the operations of an input may grow with a job's tasks.
const MAX_EXPONENT: f64 = 1.1;
const MACHINES: usize = 48;

/// A harness whose machines are in two zones, by turns if `two_zones`, and otherwise in one.
fn harness_in_zones(two_zones: bool) -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(MACHINES);
    let zone_of = |number: usize| if two_zones && number % 2 == 1 { "b" } else { "a" };
    for worker in harness.workers.values_mut() {
        let number: usize = worker.machine[2..].parse().unwrap();
        worker.zone = zone_of(number).into();
    }
    let rows = (0..MACHINES).map(|number| {
        let mut row = machine_row(number);
        row.value["zone"] = json!(zone_of(number));
        row
    });
    harness.scheduler =
        Scheduler::new(sample_settings(), Tuning::default(), machine_types(), TERM, leader_record(), MonotonicTime(0));
    harness.scheduler.load(MonotonicTime(0), StoredState { machines: rows.collect(), ..StoredState::default() });
    harness.run(2_000);
    harness
}

/// A gang whose tasks together need most of the machines.
fn gang(id: &str, tasks: u32, rule: ZoneRule) -> JobSpec {
    let share = 0.9 * MACHINES as f64 / f64::from(tasks);
    JobSpec {
        one_zone: matches!(rule, ZoneRule::OneZone),
        spread: matches!(rule, ZoneRule::Spread),
        memory_gb: 64.0 * share,
        ..spec(id, JobKind::Gang, tasks, 8.0 * share)
    }
}

fn exponent(smaller: u64, larger: u64, factor: f64) -> f64 {
    (larger as f64 / smaller as f64).ln() / factor.ln()
}

/// Operations of the longest input from the submission of a gang until all its tasks run, and of the longest one from
/// its cancellation until they are gone.
fn operations_of_a_gang(tasks: u32, rule: ZoneRule) -> (u64, u64) {
    let mut harness = harness_in_zones(matches!(rule, ZoneRule::Spread));
    harness.max_input_operations = OperationCounts::default();
    let id = harness.submit(300, gang("req-000001", tasks, rule));
    harness.run(4_000);
    assert_eq!(harness.running_count(&id), tasks as usize, "all tasks of the gang run, {rule:?}");
    let start = std::mem::take(&mut harness.max_input_operations).total();
    harness.cancel(&id);
    harness.give_input(|scheduler| scheduler.on_job_terminated(&id, JobOutcome::Cancelled));
    harness.run(4_000);
    assert_eq!(harness.running_count(&id), 0, "all tasks of the cancelled gang are gone, {rule:?}");
    (start, harness.max_input_operations.total())
}

/// A gang of 100,000 tasks stopped every controller in turn for minutes: its start examined each task for each other one.
#[test]
fn operations_of_a_gang_grow_in_proportion_to_its_tasks() {
    for rule in [ZoneRule::AnyZone, ZoneRule::OneZone, ZoneRule::Spread] {
        let (smaller, larger) = (operations_of_a_gang(2_000, rule), operations_of_a_gang(20_000, rule));
        let exponents = (exponent(smaller.0, larger.0, 10.0), exponent(smaller.1, larger.1, 10.0));
        println!("{rule:?}: {smaller:?} {larger:?} exponents {exponents:?}");
        assert!(exponents.0 <= MAX_EXPONENT && exponents.1 <= MAX_EXPONENT, "{rule:?}: {smaller:?} {larger:?}");
    }
}
