//! Tests of leader changes, of the queue of writes to the store, and of a leader that can't be sure of the store's
//! latest state.

use super::*;

#[test]
fn new_leader_does_not_suspect_machines_that_have_not_sent_heartbeats_to_it() {
    // Guards against a new leader that suspects every machine from which no heartbeat has arrived within 3 s of the
    // start of the leader's term. Peers redirect the workers of suspected machines to the next controller, so the
    // heartbeats of most workers missed the leader and these workers lost their tasks.
    let mut harness = SchedulerHarness::new(3);
    let suspected = |harness: &SchedulerHarness| harness.scheduler.suspected_machines(MonotonicTime(harness.now)).0;
    harness.workers.retain(|name, _| name == "w0");
    harness.run(5_000);
    assert_eq!(suspected(&harness), Vec::<String>::new());
    harness.workers.clear();
    harness.run(4_000);
    assert_eq!(suspected(&harness), ["m-000000"], "its heartbeats have stopped");
}

#[test]
fn write_queue_refreshes_the_fence_after_an_unanswered_write() {
    let mut harness = SchedulerHarness::new(1);
    harness.run(2_000);
    let id = harness.submit(200, spec("req-000001", JobKind::Array, 3, 1.0));
    harness.run(1_000);
    // The first bitmap write of a term follows a refresh of the fence revision.
    harness.finish_first_task("w0");
    harness.run(4_000);
    assert!(!harness.workers["w0"].tasks.iter().any(TaskStatus::is_done));
    harness.unanswered_transactions = Some(Vec::new());
    harness.finish_first_task("w0");
    harness.run(4_000);
    let unanswered = harness.unanswered_transactions.take().unwrap();
    assert_eq!(unanswered.len(), 1, "no write is sent while an older one may still be applied");
    let writes_bitmap = |t: &Transaction| matches!(&t.mutations[0], Mutation::Put { key: written, .. } if written.starts_with(BITMAP_PREFIX));
    assert!(writes_bitmap(&unanswered[0]));
    assert!(harness.workers["w0"].tasks.iter().any(TaskStatus::is_done), "not cleared until its completion is stored");
    harness.committed.clear();
    harness.run(3_000);
    assert!(harness.committed.iter().any(writes_bitmap));
    assert!(
        harness
            .committed
            .iter()
            .all(|transaction| transaction.preconditions[0].revision > unanswered[0].preconditions[0].revision),
        "the older write can no longer be applied"
    );
    assert!(!harness.workers["w0"].tasks.iter().any(TaskStatus::is_done));
    assert_eq!(harness.running_count(&id), 1);
}

#[test]
fn leader_in_doubt_starts_nothing() {
    let mut harness = SchedulerHarness::new(2);
    harness.run(2_000);
    harness.scheduler.set_in_doubt(true);
    let id = harness.submit(200, spec("req-000001", JobKind::Array, 2, 1.0));
    harness.run(2_000);
    assert_eq!(harness.running_count(&id), 0);
    harness.scheduler.set_in_doubt(false);
    harness.run(2_000);
    assert_eq!(harness.running_count(&id), 2);
}

#[test]
fn quota_counts_all_resources_of_an_unreconciled_machine() {
    // The quota of team-a is 40 CPUs. The team uses 32 when the leader changes and the heartbeats of one machine stop.
    let mut harness = SchedulerHarness::new(6);
    harness.run(2_000);
    let of_team_a = |spec: JobSpec| JobSpec { team: "team-a".into(), ..spec };
    let full = harness.submit(200, of_team_a(spec("req-000001", JobKind::Array, 4, 8.0)));
    harness.run(3_000);
    assert_eq!(harness.running_count(&full), 4);
    let silent = harness.first_busy_worker();
    harness.outbound_partitioned.insert(silent.clone());
    harness.change_leader();
    // The job is cancelled, but its tasks on the machine without heartbeats still count against the quota.
    harness.cancel(&full);
    harness.scheduler.on_job_terminated(&full, JobOutcome::Cancelled);
    let term = harness.term.0;
    let next = harness.submit(term + 1, of_team_a(spec("req-000002", JobKind::Array, 5, 8.0)));
    harness.run(8_000);
    assert_eq!(harness.running_count(&full), 1, "only the task on the silent machine still runs");
    assert!(
        harness.running_count(&next) <= 4,
        "{} tasks run besides the one on the silent machine",
        harness.running_count(&next)
    );
    // After the lease of the machine without heartbeats has expired, the leader knows that no tasks run there.
    harness.workers.get_mut(&silent).unwrap().tasks.clear();
    harness.run(12_000);
    assert_eq!(harness.running_count(&next), 5);
}

#[test]
fn delayed_heartbeat_to_a_new_leader_proves_nothing() {
    let mut harness = SchedulerHarness::new(3);
    harness.run(2_000);
    let id = harness.submit(200, spec("req-000001", JobKind::Array, 2, 8.0));
    // Heartbeats that were sent before the machines got their tasks.
    let earlier: BTreeMap<String, Heartbeat> = harness.workers.clone();
    harness.run(3_000);
    assert_eq!(harness.running_count(&id), 2);
    let name = harness.first_busy_worker();
    let delayed = earlier[&name].clone();
    harness.outbound_partitioned.insert(name.clone());
    harness.change_leader();
    harness.run(1_000);
    // The delayed heartbeat is the first one that the new leader gets from the machine. Its empty task list is
    // outdated.
    let mut late = delayed.clone();
    late.sequence.0 += 1;
    let _ = harness.scheduler.on_heartbeat(MonotonicTime(harness.now), &late);
    harness.run(3_000);
    assert_eq!(harness.running_count(&id), 2, "no task is started a second time");
    let machine = MachineId::parse(&delayed.machine).unwrap();
    assert!(!harness.scheduler.machines.known[&machine].reconciled);
    // The delayed heartbeat is rejected once the machine's newer heartbeats have arrived.
    harness.outbound_partitioned.clear();
    harness.run(2_000);
    assert!(harness.scheduler.on_heartbeat(MonotonicTime(harness.now), &late).is_err());
    let ended = Heartbeat { agent_epoch: AgentEpoch(0), sequence: SequenceNumber(900), ..delayed };
    assert!(harness.scheduler.on_heartbeat(MonotonicTime(harness.now), &ended).is_err(), "from an earlier agent epoch");
    harness.run(1_000);
    assert_eq!(harness.running_count(&id), 2);
}

#[test]
fn one_zone_job_stays_in_its_zone_while_lost_tasks_may_run_there() {
    // Of the five machines, four are in zone a and one is in zone b.
    let mut harness = SchedulerHarness::new(5);
    let in_zone_b = MachineRecord { endpoint: "w4".into(), kind: "plain".into(), zone: "b".into(), spot: false };
    harness.store.insert("fleet/m-000004".into(), (json!(in_zone_b), 1));
    harness.workers.get_mut("w4").unwrap().zone = "b".into();
    harness.change_leader();
    harness.run(2_000);
    let term = harness.term.0;
    let array = JobSpec { one_zone: true, ..spec("req-000001", JobKind::Array, 8, 4.0) };
    let id = harness.submit(term + 1, array);
    harness.run(4_000);
    let zones = |harness: &SchedulerHarness| -> BTreeSet<String> {
        let runs_tasks = |worker: &&Heartbeat| worker.tasks.iter().any(|status| status.phase == TaskPhase::Running);
        harness.workers.values().filter(runs_tasks).map(|worker| worker.zone.clone()).collect()
    };
    assert_eq!(zones(&harness).len(), 1);
    // The heartbeats of all machines that run tasks of the job stop, except for one machine. As long as those tasks may
    // still run, the job's other tasks may start only in the same zone.
    let busy: Vec<String> =
        harness.workers.iter().filter(|(_, worker)| !worker.tasks.is_empty()).map(|(name, _)| name.clone()).collect();
    harness.outbound_partitioned.extend(busy.iter().skip(1).cloned());
    harness.run(4_000);
    assert_eq!(zones(&harness).len(), 1);
    // The leader changes before the lease of any such machine expires, and the new leader gets no heartbeat from any of
    // the machines with tasks of the job.
    harness.outbound_partitioned.extend(busy);
    harness.change_leader();
    harness.run(4_000);
    assert_eq!(zones(&harness).len(), 1, "{} tasks run", harness.running_count(&id));
}

#[test]
fn done_tasks_stay_done_across_a_leader_change() {
    // One of the job's two tasks ends before the leader changes, the other after that.
    let mut harness = SchedulerHarness::new(2);
    harness.run(2_000);
    let id = harness.submit(200, spec("req-000001", JobKind::Array, 2, 8.0));
    harness.run(3_000);
    harness.finish_first_task("w0");
    harness.run(4_000);
    assert!(harness.workers["w0"].tasks.is_empty(), "the done task is cleared, because its completion is stored");
    harness.change_leader();
    harness.run(4_000);
    let terminal_key = format!("over/{id}");
    assert!(
        harness.running_count(&id) == 1 && harness.workers["w0"].tasks.is_empty(),
        "the done task is not started again"
    );
    assert!(!harness.store.contains_key(&terminal_key));
    harness.finish_first_task("w1");
    harness.run(1_000);
    assert_eq!(harness.store[&terminal_key].0["phase"], "done");
    // No task of the job is started again after the job has ended.
    harness.run(1_000);
    assert_eq!(harness.running_count(&id), 0);
}

#[test]
fn job_is_not_recorded_as_done_after_its_cancellation() {
    let mut harness = SchedulerHarness::new(1);
    harness.run(2_000);
    let id = harness.submit(200, spec("req-000001", JobKind::Array, 1, 1.0));
    harness.run(2_000);
    harness.unanswered_transactions = Some(Vec::new());
    harness.finish_first_task("w0");
    harness.run(1_000);
    // The transaction that records the job as done has the revision of the live record as a precondition. A
    // cancellation deletes the live record, so after that the transaction fails, however late it reaches the store.
    let completion = &harness.unanswered_transactions.as_ref().unwrap()[0];
    let precondition = completion.preconditions.iter().find(|precondition| precondition.key == live_key(&id)).unwrap();
    assert_eq!(precondition.revision, 200);
    harness.cancel(&id);
    harness.scheduler.on_job_terminated(&id, JobOutcome::Cancelled);
    harness.unanswered_transactions = None;
    harness.run(3_000);
    assert!(harness.workers["w0"].tasks.is_empty(), "its task is cleared");
    assert!(!harness.store.contains_key(&format!("over/{id}")));
}
