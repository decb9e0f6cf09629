//! Jobs that await others.

use super::*;

fn array(number: u64, tasks: u32) -> JobSpec {
    spec(&format!("req-{number:06}"), Kind::Array, tasks, 1.0)
}

/// Two jobs, and a third that awaits both, on a leader whose machines are there.
fn chain(rig: &mut Rig) -> [JobId; 3] {
    rig.run(2_000);
    let first = rig.submit(200, array(1, 1));
    let second = rig.submit(201, array(2, 1));
    let last = rig.submit_after(202, array(3, 2), &[first, second]);
    rig.run(2_000);
    [first, second, last]
}

/// All tasks that run now complete, and the leader hears of it.
fn finish_all(rig: &mut Rig) {
    for heartbeat in rig.workers.values_mut() {
        let running: Vec<TaskStatus> = heartbeat.tasks.clone();
        running.iter().for_each(|task| Rig::end(heartbeat, task.task, task.attempt, Cause::Done));
    }
    rig.run(3_000);
}

/// A user cancels a job, durably. The leader is told by the watch, which says no more than that it is over.
fn cancel_and_watch(rig: &mut Rig, id: &JobId) {
    rig.cancel(id);
    rig.store.insert(terminal_key(id), (json!(TerminalRecord::cancelled(1)), 300));
    rig.leader.on_job_terminated(id, JobOutcome::Unknown);
}

#[test]
fn a_job_starts_only_once_all_that_it_awaits_is_durably_done() {
    let mut rig = Rig::new(2);
    let [first, second, last] = chain(&mut rig);
    assert_eq!((rig.runs(&first), rig.runs(&second), rig.runs(&last)), (1, 1, 0));
    // Whoever has planned it.
    let free = MachineId::parse("m-000001").unwrap();
    assert!(!rig.leader.may_place(MonotonicTime(rig.now), &last, &free, 1.0));
    assert!(rig.leader.may_place(MonotonicTime(rig.now), &first, &free, 1.0));
    // All tasks are done, but the leader's writes aren't answered: nothing is known to be durable.
    rig.unanswered = Some(Vec::new());
    finish_all(&mut rig);
    assert_eq!(rig.runs(&last), 0);
    rig.unanswered = None;
    rig.run(3_000);
    assert!(matches!(rig.outcome(&first), Some(JobOutcome::Done(Some(_)))));
    assert_eq!(rig.runs(&last), 2);
}

#[test]
fn a_new_leader_learns_what_waiting_jobs_await() {
    let mut rig = Rig::new(2);
    let [first, _, last] = chain(&mut rig);
    rig.succeed();
    rig.run(3_000);
    assert_eq!((rig.runs(&first), rig.runs(&last)), (1, 0));
    // Both end under the second leader, and the third leader finds only the last job.
    finish_all(&mut rig);
    rig.succeed();
    rig.run(3_000);
    assert_eq!(rig.runs(&last), 2);
    finish_all(&mut rig);
    assert!(matches!(rig.outcome(&last), Some(JobOutcome::Done(_))));
}

#[test]
fn jobs_after_a_cancelled_one_are_cancelled_within_the_limits_to_come() {
    let mut rig = Rig::new(2);
    let [first, second, last] = chain(&mut rig);
    // Four that need the last, and one that needs a job which goes on.
    let after: Vec<JobId> = (4..8).map(|n| rig.submit_after(200 + n, array(n, 1), &[last])).collect();
    let unhurt = rig.submit_after(210, array(9, 1), &[second]);
    cancel_and_watch(&mut rig, &first);
    // One that names a cancelled job which the leader hasn't cancelled yet.
    let late = rig.submit_after(211, array(10, 1), &[after[0]]);
    rig.run(5_000);
    for id in [last, late].iter().chain(&after) {
        assert_eq!((rig.outcome(id), rig.runs(id)), (Some(JobOutcome::Cancelled), 0), "{id}");
    }
    assert!(
        rig.committed
            .iter()
            .all(|transaction| transaction.mutations.len() <= sample_settings().cluster.store.max_transaction_ops)
    );
    finish_all(&mut rig);
    assert_eq!((rig.outcome(&unhurt), rig.runs(&unhurt)), (None, 1));
}

#[test]
fn a_job_that_was_done_before_its_cancellation_holds_up_nothing() {
    let mut rig = Rig::new(2);
    let [first, second, last] = chain(&mut rig);
    // Another leader's end of the job, of which the watch says only that it is over.
    rig.cancel(&first);
    rig.store.insert(terminal_key(&first), (json!({"phase": "done", "tasks": 1}), 300));
    rig.leader.on_job_terminated(&first, JobOutcome::Unknown);
    rig.run(1_000);
    assert_eq!((rig.outcome(&last), rig.runs(&second)), (None, 1));
    finish_all(&mut rig);
    assert_eq!(rig.runs(&last), 2);
}

#[test]
fn a_waiting_job_holds_nothing_of_its_teams_guarantee_and_its_times_count_from_when_it_may_start() {
    let mut rig = Rig::new(2);
    rig.run(2_000);
    let of_team = |s: JobSpec, cpus: f64| JobSpec { team: "team-a".into(), cpus, ..s };
    let first = rig.submit(200, of_team(array(1, 1), 2.0));
    // It would fill the guarantee of 8 CPUs.
    let waiting = rig.submit_after(201, of_team(array(2, 1), 8.0), &[first]);
    let later = rig.submit(202, of_team(array(3, 1), 6.0));
    rig.run(10_000);
    let view = rig.leader.planner_view(MonotonicTime(rig.now), WallTime(rig.now));
    assert!(
        rig.leader.quota.within_guarantee.contains(&later) && !rig.leader.quota.within_guarantee.contains(&waiting)
    );
    assert!(view.input.jobs.is_empty(), "nothing can start");
    finish_all(&mut rig);
    let job = &rig.leader.jobs.live[&waiting];
    assert!(job.startable_at >= WallTime(12_000) && job.submitted < WallTime(3_000));
    assert_eq!(rig.runs(&waiting), 1);
}

#[test]
fn a_pipeline_has_the_priority_and_the_deadline_of_its_last_job() {
    let mut rig = Rig::new(1);
    rig.run(2_000);
    let low = |s: JobSpec| JobSpec { priority: Priority::Low, estimate_s: 10.0, ..s };
    // The machine is full of normal work.
    let normal = rig.submit(200, JobSpec { priority: Priority::Normal, ..array(1, 8) });
    rig.run(2_000);
    assert_eq!(rig.runs(&normal), 8);
    let first = rig.submit(201, low(array(2, 1)));
    let middle = rig.submit_after(202, low(array(3, 1)), &[first]);
    rig.run(1_000);
    assert_eq!(rig.runs(&first), 0);
    let last = JobSpec { priority: Priority::High, deadline_s: Some(60.0), estimate_s: 5.0, ..array(4, 1) };
    rig.submit_after(203, last, &[middle]);
    rig.leader.inherit(WallTime(rig.now));
    let inherited = rig.leader.jobs.live[&first].inherited.clone().unwrap();
    // 60 s less the runs of 10 and 5 s, and a second for each image.
    assert_eq!((inherited.priority, inherited.due_s), (Priority::High, Some(60.0 - 17.0)));
    assert_eq!(inherited.rank_s, 17.0);
    rig.run(3_000);
    assert_eq!((rig.runs(&first), rig.runs(&normal)), (1, 7));
    // Work of normal priority doesn't stop what a job of high priority needs.
    rig.submit(204, JobSpec { priority: Priority::Normal, ..array(5, 4) });
    rig.run(3_000);
    assert_eq!(rig.runs(&first), 1);
}

#[test]
fn an_end_that_the_watch_has_missed_is_looked_up() {
    let mut rig = Rig::new(2);
    let [first, second, last] = chain(&mut rig);
    rig.cancel(&first);
    rig.store.insert(terminal_key(&first), (json!(TerminalRecord::cancelled(1)), 300));
    let rows = rig.store.iter().filter(|(key, _)| key.starts_with(LIVE_PREFIX));
    let rows = rows.map(|(key, v)| KeyValue { key: key.clone(), value: v.0.clone(), revision: v.1 }).collect();
    rig.leader.resync_live_jobs(rows, 400);
    rig.run(2_000);
    assert_eq!((rig.outcome(&last), rig.outcome(&second)), (Some(JobOutcome::Cancelled), None));
}
