//! Tests of jobs that depend on other jobs.

use super::*;

fn array(number: u64, tasks: u32) -> JobSpec {
    spec(&format!("req-{number:06}"), JobKind::Array, tasks, 1.0)
}

/// Waits until all machines have sent heartbeats, then submits two jobs and a third that depends on both.
fn submit_dependent_jobs(harness: &mut SchedulerHarness) -> [JobId; 3] {
    harness.run(2_000);
    let first = harness.submit(200, array(1, 1));
    let second = harness.submit(201, array(2, 1));
    let last = harness.submit_with_dependencies(202, array(3, 2), &[first, second]);
    harness.run(2_000);
    [first, second, last]
}

/// Completes all running tasks, then waits until heartbeats have reported the completions to the leader.
fn finish_all_tasks(harness: &mut SchedulerHarness) {
    for heartbeat in harness.workers.values_mut() {
        let running: Vec<TaskStatus> = heartbeat.tasks.clone();
        running
            .iter()
            .for_each(|task| SchedulerHarness::exit_task(heartbeat, task.task, task.attempt, ExitCause::Done));
    }
    harness.run(3_000);
}

/// Cancels a job in the store. The watch of live jobs tells the leader only that the job has ended, not how.
fn cancel_with_unknown_outcome(harness: &mut SchedulerHarness, id: &JobId) {
    harness.cancel(id);
    harness.store.insert(terminal_key(id), (json!(TerminalRecord::cancelled(1)), 300));
    harness.scheduler.on_job_terminated(id, JobOutcome::Unknown);
}

#[test]
fn job_starts_only_once_its_dependencies_are_durably_done() {
    let mut harness = SchedulerHarness::new(2);
    let [first, second, last] = submit_dependent_jobs(&mut harness);
    assert_eq!(
        (harness.running_count(&first), harness.running_count(&second), harness.running_count(&last)),
        (1, 1, 0)
    );
    // The leader rejects a placement of the last job while its dependencies are not done, whichever planner has made
    // it.
    let machine = MachineId::parse("m-000001").unwrap();
    assert_eq!(harness.scheduler.placeable_tasks(MonotonicTime(harness.now), &last, &machine, 1), 0);
    assert_eq!(harness.scheduler.placeable_tasks(MonotonicTime(harness.now), &first, &machine, 1), 1);
    // All tasks are done, but the leader's transactions get no response, so the leader can't know that the completions
    // are stored.
    harness.unanswered_transactions = Some(Vec::new());
    finish_all_tasks(&mut harness);
    assert_eq!(harness.running_count(&last), 0);
    harness.unanswered_transactions = None;
    harness.run(3_000);
    assert!(matches!(harness.outcome(&first), Some(JobOutcome::Done(Some(_)))));
    assert_eq!(harness.running_count(&last), 2);
}

#[test]
fn new_leader_loads_the_dependencies_of_waiting_jobs() {
    let mut harness = SchedulerHarness::new(2);
    let [first, _, last] = submit_dependent_jobs(&mut harness);
    harness.change_leader();
    harness.run(3_000);
    assert_eq!((harness.running_count(&first), harness.running_count(&last)), (1, 0));
    // Both dependencies of the last job end under the second leader, so the third leader finds only the last job in the
    // store.
    finish_all_tasks(&mut harness);
    harness.change_leader();
    harness.run(3_000);
    assert_eq!(harness.running_count(&last), 2);
    finish_all_tasks(&mut harness);
    assert!(matches!(harness.outcome(&last), Some(JobOutcome::Done(_))));
}

#[test]
fn dependents_of_a_cancelled_job_are_cancelled_within_the_transaction_limit() {
    let mut harness = SchedulerHarness::new(2);
    let [first, second, last] = submit_dependent_jobs(&mut harness);
    // Four further jobs depend on the last job, and one on a job that isn't cancelled.
    let dependents: Vec<JobId> =
        (4..8).map(|number| harness.submit_with_dependencies(200 + number, array(number, 1), &[last])).collect();
    let unaffected = harness.submit_with_dependencies(210, array(9, 1), &[second]);
    cancel_with_unknown_outcome(&mut harness, &first);
    // This job is submitted after the cancellation of its indirect dependency, when the leader hasn't yet cancelled its
    // direct one.
    let late = harness.submit_with_dependencies(211, array(10, 1), &[dependents[0]]);
    harness.run(5_000);
    for id in [last, late].iter().chain(&dependents) {
        assert_eq!((harness.outcome(id), harness.running_count(id)), (Some(JobOutcome::Cancelled), 0), "{id}");
    }
    assert!(
        harness
            .committed
            .iter()
            .all(|transaction| transaction.mutations.len() <= sample_settings().cluster.store.max_transaction_ops)
    );
    finish_all_tasks(&mut harness);
    assert_eq!((harness.outcome(&unaffected), harness.running_count(&unaffected)), (None, 1));
}

#[test]
fn job_done_before_its_cancellation_does_not_block_dependents() {
    let mut harness = SchedulerHarness::new(2);
    let [first, second, last] = submit_dependent_jobs(&mut harness);
    // Another leader has recorded the first job as done. The watch of live jobs reports only that the job has ended.
    harness.cancel(&first);
    harness.store.insert(terminal_key(&first), (json!({"phase": "done", "tasks": 1}), 300));
    harness.scheduler.on_job_terminated(&first, JobOutcome::Unknown);
    harness.run(1_000);
    assert_eq!((harness.outcome(&last), harness.running_count(&second)), (None, 1));
    finish_all_tasks(&mut harness);
    assert_eq!(harness.running_count(&last), 2);
}

#[test]
fn waiting_job_uses_no_guarantee_and_its_times_count_from_when_it_becomes_startable() {
    let mut harness = SchedulerHarness::new(2);
    harness.run(2_000);
    let of_team_a = |spec: JobSpec, cpus: f64| JobSpec { team: "team-a".into(), cpus, ..spec };
    let first = harness.submit(200, of_team_a(array(1, 1), 2.0));
    // A job that waits for a dependency must not count against the team's guarantee of 8 CPUs, all of which this one
    // asks for.
    let waiting = harness.submit_with_dependencies(201, of_team_a(array(2, 1), 8.0), &[first]);
    let later = harness.submit(202, of_team_a(array(3, 1), 6.0));
    harness.run(10_000);
    let view = harness.scheduler.planner_view(MonotonicTime(harness.now), WallTime(harness.now));
    assert!(
        harness.scheduler.quota.within_guarantee.contains(&later)
            && !harness.scheduler.quota.within_guarantee.contains(&waiting)
    );
    assert!(view.input.jobs.is_empty(), "nothing can start");
    finish_all_tasks(&mut harness);
    let job = &harness.scheduler.jobs.live[&waiting];
    assert!(job.startable_at >= WallTime(12_000) && job.submitted < WallTime(3_000));
    assert_eq!(harness.running_count(&waiting), 1);
}

#[test]
fn pipeline_inherits_priority_and_deadline_of_its_last_job() {
    let mut harness = SchedulerHarness::new(1);
    harness.run(2_000);
    let low = |spec: JobSpec| JobSpec { priority: Priority::Low, estimated_run_s: 10.0, ..spec };
    // Tasks of normal priority occupy the only machine.
    let normal = harness.submit(200, JobSpec { priority: Priority::Normal, ..array(1, 8) });
    harness.run(2_000);
    assert_eq!(harness.running_count(&normal), 8);
    let first = harness.submit(201, low(array(2, 1)));
    let middle = harness.submit_with_dependencies(202, low(array(3, 1)), &[first]);
    harness.run(1_000);
    assert_eq!(harness.running_count(&first), 0);
    let last = JobSpec { priority: Priority::High, deadline_s: Some(60.0), estimated_run_s: 5.0, ..array(4, 1) };
    harness.submit_with_dependencies(203, last, &[middle]);
    harness.scheduler.update_inherited_constraints(WallTime(harness.now));
    let inherited = harness.scheduler.jobs.live[&first].inherited.clone().unwrap();
    // The first job must end by the deadline of 60 s minus the run times of the two jobs after it (10 s and 5 s) and
    // the time to fetch their images (1 s each).
    assert_eq!((inherited.priority, inherited.due_s), (Priority::High, Some(60.0 - 17.0)));
    assert_eq!(inherited.rank_s, 17.0);
    harness.run(3_000);
    assert_eq!((harness.running_count(&first), harness.running_count(&normal)), (1, 7));
    // A job of normal priority doesn't preempt a low-priority job on which a job of high priority depends.
    harness.submit(204, JobSpec { priority: Priority::Normal, ..array(5, 4) });
    harness.run(3_000);
    assert_eq!(harness.running_count(&first), 1);
}

#[test]
fn outcome_that_the_watch_missed_is_looked_up() {
    let mut harness = SchedulerHarness::new(2);
    let [first, second, last] = submit_dependent_jobs(&mut harness);
    harness.cancel(&first);
    harness.store.insert(terminal_key(&first), (json!(TerminalRecord::cancelled(1)), 300));
    let rows = harness.store.iter().filter(|(key, _)| key.starts_with(LIVE_PREFIX));
    let rows =
        rows.map(|(key, stored)| KeyValue { key: key.clone(), value: stored.0.clone(), revision: stored.1 }).collect();
    harness.scheduler.resync_live_jobs(rows, 400);
    harness.run(2_000);
    assert_eq!((harness.outcome(&last), harness.outcome(&second)), (Some(JobOutcome::Cancelled), None));
}
