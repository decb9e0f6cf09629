//! Jobs that depend on others.

use super::*;

fn array(number: u64, tasks: u32) -> JobSpec {
    spec(&format!("req-{number:06}"), Kind::Array, tasks, 1.0)
}

/// Two jobs, and a third that depends on both, on a leader whose machines are there.
fn chain(harness: &mut SchedulerHarness) -> [JobId; 3] {
    harness.run(2_000);
    let first = harness.submit(200, array(1, 1));
    let second = harness.submit(201, array(2, 1));
    let last = harness.submit_after(202, array(3, 2), &[first, second]);
    harness.run(2_000);
    [first, second, last]
}

/// All tasks that run now complete, and their heartbeats say so.
fn finish_all(harness: &mut SchedulerHarness) {
    for heartbeat in harness.workers.values_mut() {
        let running: Vec<TaskStatus> = heartbeat.tasks.clone();
        running.iter().for_each(|task| SchedulerHarness::exit_task(heartbeat, task.task, task.attempt, Cause::Done));
    }
    harness.run(3_000);
}

/// A user cancels a job, durably. The watch says no more than that it is over.
fn cancel_and_watch(harness: &mut SchedulerHarness, id: &JobId) {
    harness.cancel(id);
    harness.store.insert(terminal_key(id), (json!(TerminalRecord::cancelled(1)), 300));
    harness.scheduler.on_job_terminated(id, JobOutcome::Unknown);
}

#[test]
fn job_starts_only_once_its_dependencies_are_durably_done() {
    let mut harness = SchedulerHarness::new(2);
    let [first, second, last] = chain(&mut harness);
    assert_eq!(
        (harness.running_count(&first), harness.running_count(&second), harness.running_count(&last)),
        (1, 1, 0)
    );
    // Whoever has planned it.
    let free = MachineId::parse("m-000001").unwrap();
    assert!(!harness.scheduler.may_place(MonotonicTime(harness.now), &last, &free, 1.0));
    assert!(harness.scheduler.may_place(MonotonicTime(harness.now), &first, &free, 1.0));
    // All tasks are done, but the leader's writes aren't answered: nothing is known to be durable.
    harness.unanswered_writes = Some(Vec::new());
    finish_all(&mut harness);
    assert_eq!(harness.running_count(&last), 0);
    harness.unanswered_writes = None;
    harness.run(3_000);
    assert!(matches!(harness.outcome(&first), Some(JobOutcome::Done(Some(_)))));
    assert_eq!(harness.running_count(&last), 2);
}

#[test]
fn new_leader_learns_the_dependencies_of_waiting_jobs() {
    let mut harness = SchedulerHarness::new(2);
    let [first, _, last] = chain(&mut harness);
    harness.change_leader();
    harness.run(3_000);
    assert_eq!((harness.running_count(&first), harness.running_count(&last)), (1, 0));
    // Both end under the second leader, and the third leader finds only the last job.
    finish_all(&mut harness);
    harness.change_leader();
    harness.run(3_000);
    assert_eq!(harness.running_count(&last), 2);
    finish_all(&mut harness);
    assert!(matches!(harness.outcome(&last), Some(JobOutcome::Done(_))));
}

#[test]
fn dependents_of_a_cancelled_job_are_cancelled_within_the_transaction_limit() {
    let mut harness = SchedulerHarness::new(2);
    let [first, second, last] = chain(&mut harness);
    // Four that depend on the last, and one that depends on a job which goes on.
    let after: Vec<JobId> = (4..8).map(|n| harness.submit_after(200 + n, array(n, 1), &[last])).collect();
    let unaffected = harness.submit_after(210, array(9, 1), &[second]);
    cancel_and_watch(&mut harness, &first);
    // One that names a cancelled job which the leader hasn't cancelled yet.
    let late = harness.submit_after(211, array(10, 1), &[after[0]]);
    harness.run(5_000);
    for id in [last, late].iter().chain(&after) {
        assert_eq!((harness.outcome(id), harness.running_count(id)), (Some(JobOutcome::Cancelled), 0), "{id}");
    }
    assert!(
        harness
            .committed
            .iter()
            .all(|transaction| transaction.mutations.len() <= sample_settings().cluster.store.max_transaction_ops)
    );
    finish_all(&mut harness);
    assert_eq!((harness.outcome(&unaffected), harness.running_count(&unaffected)), (None, 1));
}

#[test]
fn job_done_before_its_cancellation_does_not_block_dependents() {
    let mut harness = SchedulerHarness::new(2);
    let [first, second, last] = chain(&mut harness);
    // Another leader's end of the job, of which the watch says only that it is over.
    harness.cancel(&first);
    harness.store.insert(terminal_key(&first), (json!({"phase": "done", "tasks": 1}), 300));
    harness.scheduler.on_job_terminated(&first, JobOutcome::Unknown);
    harness.run(1_000);
    assert_eq!((harness.outcome(&last), harness.running_count(&second)), (None, 1));
    finish_all(&mut harness);
    assert_eq!(harness.running_count(&last), 2);
}

#[test]
fn waiting_job_uses_no_guarantee_and_its_times_count_from_when_it_may_start() {
    let mut harness = SchedulerHarness::new(2);
    harness.run(2_000);
    let of_team = |s: JobSpec, cpus: f64| JobSpec { team: "team-a".into(), cpus, ..s };
    let first = harness.submit(200, of_team(array(1, 1), 2.0));
    // It would fill the guarantee of 8 CPUs.
    let waiting = harness.submit_after(201, of_team(array(2, 1), 8.0), &[first]);
    let later = harness.submit(202, of_team(array(3, 1), 6.0));
    harness.run(10_000);
    let view = harness.scheduler.planner_view(MonotonicTime(harness.now), WallTime(harness.now));
    assert!(
        harness.scheduler.quota.within_guarantee.contains(&later)
            && !harness.scheduler.quota.within_guarantee.contains(&waiting)
    );
    assert!(view.input.jobs.is_empty(), "nothing can start");
    finish_all(&mut harness);
    let job = &harness.scheduler.jobs.live[&waiting];
    assert!(job.startable_at >= WallTime(12_000) && job.submitted < WallTime(3_000));
    assert_eq!(harness.running_count(&waiting), 1);
}

#[test]
fn pipeline_inherits_priority_and_deadline_of_its_last_job() {
    let mut harness = SchedulerHarness::new(1);
    harness.run(2_000);
    let low = |s: JobSpec| JobSpec { priority: Priority::Low, estimate_s: 10.0, ..s };
    // The machine is full of normal work.
    let normal = harness.submit(200, JobSpec { priority: Priority::Normal, ..array(1, 8) });
    harness.run(2_000);
    assert_eq!(harness.running_count(&normal), 8);
    let first = harness.submit(201, low(array(2, 1)));
    let middle = harness.submit_after(202, low(array(3, 1)), &[first]);
    harness.run(1_000);
    assert_eq!(harness.running_count(&first), 0);
    let last = JobSpec { priority: Priority::High, deadline_s: Some(60.0), estimate_s: 5.0, ..array(4, 1) };
    harness.submit_after(203, last, &[middle]);
    harness.scheduler.update_inherited_constraints(WallTime(harness.now));
    let inherited = harness.scheduler.jobs.live[&first].inherited.clone().unwrap();
    // 60 s less the runs of 10 and 5 s, and a second for each image.
    assert_eq!((inherited.priority, inherited.due_s), (Priority::High, Some(60.0 - 17.0)));
    assert_eq!(inherited.rank_s, 17.0);
    harness.run(3_000);
    assert_eq!((harness.running_count(&first), harness.running_count(&normal)), (1, 7));
    // Work of normal priority doesn't stop what a job of high priority needs.
    harness.submit(204, JobSpec { priority: Priority::Normal, ..array(5, 4) });
    harness.run(3_000);
    assert_eq!(harness.running_count(&first), 1);
}

#[test]
fn outcome_that_the_watch_missed_is_looked_up() {
    let mut harness = SchedulerHarness::new(2);
    let [first, second, last] = chain(&mut harness);
    harness.cancel(&first);
    harness.store.insert(terminal_key(&first), (json!(TerminalRecord::cancelled(1)), 300));
    let rows = harness.store.iter().filter(|(key, _)| key.starts_with(LIVE_PREFIX));
    let rows = rows.map(|(key, v)| KeyValue { key: key.clone(), value: v.0.clone(), revision: v.1 }).collect();
    harness.scheduler.resync_live_jobs(rows, 400);
    harness.run(2_000);
    assert_eq!((harness.outcome(&last), harness.outcome(&second)), (Some(JobOutcome::Cancelled), None));
}
