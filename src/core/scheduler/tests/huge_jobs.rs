//! Jobs of as many tasks as a user may submit: no input to the scheduler takes longer than in proportion to the tasks
//! that it handles (docs/incidents/huge-gang.md).

use super::*;
use crate::core::task_slots::{MAX_BODY_BYTES, MAX_TASKS_PER_MACHINE};

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
    let zone_of = |number: usize| if two_zones && number % 2 == 1 { "b" } else { "a" };
    let mut harness = SchedulerHarness::in_zones(MACHINES, zone_of);
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
        assert!(exponents.0 <= MAX_EXPONENT && exponents.1 <= MAX_EXPONENT, "{rule:?}: {smaller:?} {larger:?}");
    }
}

/// Size in bytes of the longest heartbeat that a worker would send now.
fn longest_heartbeat(harness: &SchedulerHarness) -> usize {
    harness.workers.values().map(|worker| json!(worker).to_string().len()).max().unwrap_or(0)
}

/// Runs the harness and checks the size of all heartbeats twice a second.
fn run_with_bounded_heartbeats(harness: &mut SchedulerHarness, ms: u64) {
    for _ in 0..ms / 500 {
        harness.run(500);
        let longest = longest_heartbeat(harness);
        assert!(longest <= MAX_BODY_BYTES, "a heartbeat has {longest} bytes at {} ms", harness.now);
    }
}

fn tiny(id: &str, kind: JobKind, tasks: u32) -> JobSpec {
    JobSpec { memory_gb: 0.001, one_zone: false, ..spec(id, kind, tasks, 0.0005) }
}

/// An array of 100,000 tiny tasks made a machine's heartbeat too large to be read, and the machine was terminated with
/// the tasks of all users.
#[test]
fn heartbeats_of_huge_arrays_and_services_stay_within_the_size_of_a_body() {
    for kind in [JobKind::Array, JobKind::Service] {
        let mut harness = SchedulerHarness::new(4);
        harness.run(2_000);
        let id = harness.submit(300, tiny("req-000001", kind, 100_000));
        run_with_bounded_heartbeats(&mut harness, 10_000);
        assert_eq!(harness.running_count(&id), 4 * MAX_TASKS_PER_MACHINE as usize, "{kind:?} fills the machines");
        assert!(harness.terminated.is_empty());
        harness.cancel(&id);
        harness.give_input(|scheduler| scheduler.on_job_terminated(&id, JobOutcome::Cancelled));
        let other = harness.submit(400, spec("req-000002", JobKind::Array, 4, 8.0));
        run_with_bounded_heartbeats(&mut harness, 4_000);
        assert_eq!((harness.running_count(&id), harness.running_count(&other)), (0, 4));
    }
}

#[test]
fn new_leader_counts_the_tasks_that_it_finds_on_machines() {
    let mut harness = SchedulerHarness::new(4);
    harness.run(2_000);
    let id = harness.submit(300, tiny("req-000001", JobKind::Array, 100_000));
    harness.run(1_000);
    harness.change_leader();
    run_with_bounded_heartbeats(&mut harness, 20_000);
    assert_eq!(harness.running_count(&id), 4 * MAX_TASKS_PER_MACHINE as usize);
}

#[test]
fn exited_tasks_count_until_the_store_has_their_completion() {
    let mut harness = SchedulerHarness::new(4);
    harness.run(2_000);
    harness.unanswered_transactions = Some(Vec::new());
    let id = harness.submit(300, tiny("req-000001", JobKind::Array, 100_000));
    for _ in 0..10 {
        run_with_bounded_heartbeats(&mut harness, 1_000);
        harness.finish_running_tasks();
    }
    let listed: usize = harness.workers.values().map(|worker| worker.tasks.len()).sum();
    assert_eq!(listed, 4 * MAX_TASKS_PER_MACHINE as usize, "all slots hold tasks whose completion isn't stored");
    harness.unanswered_transactions = None;
    for _ in 0..20 {
        run_with_bounded_heartbeats(&mut harness, 2_000);
        harness.finish_running_tasks();
    }
    assert!(harness.scheduler.jobs.live[&id].done_count >= 10_000, "the job goes on once the store answers");
}

#[test]
fn preemption_and_reservations_keep_to_the_task_slots() {
    let mut harness = SchedulerHarness::new(4);
    harness.run(2_000);
    let low = harness.submit(
        300,
        JobSpec { priority: Priority::Low, ..tiny("req-000001", JobKind::Array, 4 * MAX_TASKS_PER_MACHINE) },
    );
    harness.run(15_000);
    assert_eq!(harness.running_count(&low), 4 * MAX_TASKS_PER_MACHINE as usize);
    let gang = harness.submit(300, JobSpec { one_zone: true, ..tiny("req-000002", JobKind::Gang, 1_000) });
    run_with_bounded_heartbeats(&mut harness, 20_000);
    assert_eq!(harness.running_count(&gang), 1_000, "the gang has preempted tasks of the array");
}

/// A team of the sample settings that has a limit.
const LIMITED_TEAM: &str = "team-a";
/// Number of tasks of a gang whose start takes several ticks.
const LARGE_GANG: u32 = 20_000;

/// A harness in which the start of a large gang has begun and not ended.
fn harness_with_half_started_gang() -> (SchedulerHarness, JobId) {
    let mut harness = harness_in_zones(false);
    let id = harness.submit(300, gang("req-000001", LARGE_GANG, ZoneRule::OneZone));
    while harness.scheduler.jobs.live[&id].placed.is_empty() {
        harness.run(TICK_INTERVAL.0);
    }
    harness.run(TICK_INTERVAL.0);
    let placed = harness.scheduler.jobs.live[&id].placed.len();
    assert!(placed > 0 && placed < LARGE_GANG as usize / 2, "after two ticks {placed} tasks are placed");
    (harness, id)
}

/// The start of a whole gang in one input kept heartbeats, renewals and answers waiting.
#[test]
fn large_gang_starts_over_several_ticks_and_as_a_whole() {
    let (mut harness, id) = harness_with_half_started_gang();
    // Other work doesn't take the capacity that the rest of the gang needs.
    let other = harness.submit(300, spec("req-000002", JobKind::Array, 48, 8.0));
    harness.run(2_000);
    assert_eq!(harness.running_count(&id), LARGE_GANG as usize);
    assert!(harness.running_count(&other) < 5 && harness.scheduler.reservations.tasks_for_job(&id) == 0);
}

#[test]
fn large_gang_that_is_cancelled_halfway_through_its_start_leaves_nothing_behind() {
    let (mut harness, id) = harness_with_half_started_gang();
    harness.cancel(&id);
    harness.scheduler.on_job_terminated(&id, JobOutcome::Cancelled);
    let placed_before = harness.delivered_runs(&id);
    let other = harness.submit(300, spec("req-000002", JobKind::Array, 48, 8.0));
    harness.run(4_000);
    assert_eq!(harness.delivered_runs(&id), placed_before, "nothing starts after the cancellation");
    assert_eq!((harness.running_count(&id), harness.running_count(&other)), (0, 48));
}

#[test]
fn large_gang_that_loses_a_machine_halfway_through_its_start_is_stopped_and_starts_anew() {
    let (mut harness, id) = harness_with_half_started_gang();
    let lost = harness.first_busy_worker();
    let worker = harness.workers.get_mut(&lost).unwrap();
    worker.agent_epoch.0 += 1;
    worker.sequence = SequenceNumber(0);
    worker.tasks.clear();
    harness.send_heartbeat(&lost);
    assert!(harness.scheduler.jobs.live[&id].gang.as_ref().is_some_and(|run| run.broken));
    harness.run(10_000);
    assert_eq!(harness.running_count(&id), LARGE_GANG as usize);
    let attempts: BTreeSet<Attempt> =
        harness.workers.values().flat_map(|worker| &worker.tasks).map(|status| status.attempt).collect();
    assert_eq!(attempts.len(), 1, "all tasks are of the new attempt");
}

#[test]
fn large_gang_whose_leader_ends_halfway_through_its_start_starts_anew() {
    let (mut harness, id) = harness_with_half_started_gang();
    harness.change_leader();
    harness.run(5_000);
    let found = harness.running_count(&id);
    assert!(found > 0 && found < LARGE_GANG as usize, "the new leader adds no tasks to the attempt");
    // Workers end the tasks of a gang that doesn't become complete.
    for status in harness.workers.values_mut().flat_map(|worker| &mut worker.tasks) {
        (status.phase, status.cause) = (TaskPhase::Exited, Some(ExitCause::Alone));
    }
    harness.run(10_000);
    assert_eq!(harness.running_count(&id), LARGE_GANG as usize);
}

#[test]
fn large_gang_counts_in_its_teams_quota_from_the_beginning_of_its_start() {
    let mut harness = harness_in_zones(false);
    let in_team = |id: &str, tasks: u32| JobSpec { team: LIMITED_TEAM.into(), ..tiny(id, JobKind::Gang, tasks) };
    let limit = sample_settings().cluster.teams.iter().find(|team| team.name == LIMITED_TEAM).unwrap().max_cpus;
    let cpus = 0.6 * limit / f64::from(LARGE_GANG);
    let first = harness.submit(300, JobSpec { cpus, ..in_team("req-000001", LARGE_GANG) });
    while harness.scheduler.jobs.live[&first].placed.is_empty() {
        harness.run(TICK_INTERVAL.0);
    }
    let second = harness.submit(300, JobSpec { cpus: 0.15 * limit, ..in_team("req-000002", 4) });
    harness.run(4_000);
    assert_eq!((harness.running_count(&first), harness.running_count(&second)), (LARGE_GANG as usize, 0));
}

/// Operations of the longest input while a gang preempts tasks of an array that fills all task slots.
fn operations_of_a_preempting_gang(tasks: u32) -> u64 {
    let machines = 12;
    let mut harness = SchedulerHarness::new(machines);
    harness.run(2_000);
    let low = tiny("req-000001", JobKind::Array, machines as u32 * MAX_TASKS_PER_MACHINE);
    let low = harness.submit(300, JobSpec { priority: Priority::Low, ..low });
    harness.run(25_000);
    assert_eq!(harness.running_count(&low), machines * MAX_TASKS_PER_MACHINE as usize);
    harness.max_input_operations = OperationCounts::default();
    let gang = harness.submit(300, JobSpec { one_zone: true, ..tiny("req-000002", JobKind::Gang, tasks) });
    harness.run(20_000);
    assert_eq!(harness.running_count(&gang), tasks as usize);
    harness.max_input_operations.total()
}

#[test]
fn operations_of_a_preempting_gang_grow_in_proportion_to_its_tasks() {
    let (smaller, larger) = (operations_of_a_preempting_gang(200), operations_of_a_preempting_gang(2_000));
    assert!(exponent(smaller, larger, 10.0) <= MAX_EXPONENT, "{smaller} and {larger} operations");
}

/// One user's huge jobs take all task slots, and ordinary jobs of others have to wait for their ends.
#[test]
fn huge_jobs_leave_task_slots_to_others() {
    let mut harness = SchedulerHarness::new(4);
    harness.run(2_000);
    for number in 1..=6 {
        harness.submit(300, tiny(&format!("req-{number:06}"), JobKind::Array, 100_000));
    }
    run_with_bounded_heartbeats(&mut harness, 20_000);
    let ordinary = harness.submit(400, spec("req-000900", JobKind::Array, 8, 1.0));
    run_with_bounded_heartbeats(&mut harness, 2_000);
    assert_eq!(harness.running_count(&ordinary), 8);
}
