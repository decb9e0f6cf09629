//! Changes of leader, the write queue, and a leader in doubt about cancellations.

use super::*;

#[test]
fn new_leader_does_not_suspect_machines_that_it_has_not_heard() {
    // Peers let a machine that the leader suspects go on to the next controller. Suspected 3 s
    // after a restart, most workers were sent past it and lost all they had.
    let mut harness = SchedulerHarness::new(3);
    let names = |harness: &SchedulerHarness| harness.scheduler.suspected_machines(MonotonicTime(harness.now)).0;
    harness.workers.retain(|name, _| name == "w0");
    harness.run(5_000);
    assert_eq!(names(&harness), Vec::<String>::new());
    harness.workers.clear();
    harness.run(4_000);
    assert_eq!(names(&harness), ["m-000000"], "it was heard, and is no more");
}

#[test]
fn write_queue_refreshes_the_fence_after_an_unanswered_write() {
    let mut harness = SchedulerHarness::new(1);
    harness.run(2_000);
    harness.unanswered_writes = Some(Vec::new());
    let id = harness.submit(200, spec("req-000001", Kind::Array, 2, 1.0));
    harness.run(1_000);
    harness.finish_first_task("w0");
    harness.run(4_000);
    let lost = harness.unanswered_writes.take().unwrap();
    assert_eq!(lost.len(), 1, "nothing more is written while an older write may come late");
    let is_bits = |t: &Transaction| matches!(&t.mutations[0], Mutation::Put { key: write, .. } if write.starts_with(BITMAP_PREFIX));
    assert!(is_bits(&lost[0]));
    assert!(harness.workers["w0"].tasks.iter().any(TaskStatus::is_done), "kept until it is durable");
    harness.committed.clear();
    harness.run(3_000);
    assert!(harness.committed.iter().any(is_bits));
    assert!(
        harness.committed.iter().all(|t| t.preconditions[0].revision > lost[0].preconditions[0].revision),
        "the older one is dead"
    );
    assert!(!harness.workers["w0"].tasks.iter().any(TaskStatus::is_done));
    assert_eq!(harness.running_count(&id), 1);
}

#[test]
fn leader_in_doubt_starts_nothing() {
    let mut harness = SchedulerHarness::new(2);
    harness.run(2_000);
    harness.scheduler.set_in_doubt(true);
    let id = harness.submit(200, spec("req-000001", Kind::Array, 2, 1.0));
    harness.run(2_000);
    assert_eq!(harness.running_count(&id), 0);
    harness.scheduler.set_in_doubt(false);
    harness.run(2_000);
    assert_eq!(harness.running_count(&id), 2);
}

#[test]
fn quota_counts_all_of_a_machine_that_cannot_be_asked() {
    // team-a may use 40 CPUs; 32 are in use when the leader changes and one machine is not heard any more.
    let mut harness = SchedulerHarness::new(6);
    harness.run(2_000);
    let team_a = |s: JobSpec| JobSpec { team: "team-a".into(), ..s };
    let full = harness.submit(200, team_a(spec("req-000001", Kind::Array, 4, 8.0)));
    harness.run(3_000);
    assert_eq!(harness.running_count(&full), 4);
    let held = harness.busy_worker();
    harness.unheard.insert(held.clone());
    harness.change_leader();
    // Cancelled meanwhile: what it held on the unheard machine still counts.
    harness.cancel(&full);
    harness.scheduler.on_job_terminated(&full, JobOutcome::Cancelled);
    let term = harness.term.0;
    let next = harness.submit(term + 1, team_a(spec("req-000002", Kind::Array, 5, 8.0)));
    harness.run(8_000);
    assert_eq!(harness.running_count(&full), 1, "those that can be asked have stopped");
    assert!(harness.running_count(&next) <= 4, "{} run beside one that may", harness.running_count(&next));
    // Past its lease the unheard machine is proven empty.
    harness.workers.get_mut(&held).unwrap().tasks.clear();
    harness.run(12_000);
    assert_eq!(harness.running_count(&next), 5);
}

#[test]
fn heartbeat_held_back_until_a_new_leader_has_acted_proves_nothing() {
    let mut harness = SchedulerHarness::new(3);
    harness.run(2_000);
    let id = harness.submit(200, spec("req-000001", Kind::Array, 2, 8.0));
    // Sent before the machine got its task.
    let sent: BTreeMap<String, Heartbeat> = harness.workers.clone();
    harness.run(3_000);
    assert_eq!(harness.running_count(&id), 2);
    let name = harness.busy_worker();
    let held = sent[&name].clone();
    harness.unheard.insert(name.clone());
    harness.change_leader();
    harness.run(1_000);
    // It arrives at the new leader before any other of its machine: an empty list, which isn't true.
    let mut late = held.clone();
    late.sequence.0 += 1;
    let _ = harness.scheduler.on_heartbeat(MonotonicTime(harness.now), &late);
    harness.run(3_000);
    assert_eq!(harness.running_count(&id), 2, "nothing is started twice");
    let machine = MachineId::parse(&held.machine).unwrap();
    assert!(!harness.scheduler.machines.known[&machine].reconciled);
    // And after newer ones.
    harness.unheard.clear();
    harness.run(2_000);
    assert!(harness.scheduler.on_heartbeat(MonotonicTime(harness.now), &late).is_err());
    let old = Heartbeat { agent_epoch: AgentEpoch(0), sequence: SequenceNumber(900), ..held };
    assert!(harness.scheduler.on_heartbeat(MonotonicTime(harness.now), &old).is_err(), "of an earlier agent epoch");
    harness.run(1_000);
    assert_eq!(harness.running_count(&id), 2);
}

#[test]
fn one_zone_job_stays_in_its_zone_while_lost_tasks_may_run_there() {
    // Four machines in zone a, one in zone b with all the capacity.
    let mut harness = SchedulerHarness::new(5);
    let far = MachineRecord { endpoint: "w4".into(), kind: "plain".into(), zone: "b".into(), spot: false };
    harness.store.insert("fleet/m-000004".into(), (json!(far), 1));
    harness.workers.get_mut("w4").unwrap().zone = "b".into();
    harness.change_leader();
    harness.run(2_000);
    let term = harness.term.0;
    let array = JobSpec { one_zone: true, ..spec("req-000001", Kind::Array, 8, 4.0) };
    let id = harness.submit(term + 1, array);
    harness.run(4_000);
    let zones = |harness: &SchedulerHarness| -> BTreeSet<String> {
        let runs = |r: &&Heartbeat| r.tasks.iter().any(|l| l.phase == TaskPhase::Running);
        harness.workers.values().filter(runs).map(|r| r.zone.clone()).collect()
    };
    assert_eq!(zones(&harness).len(), 1);
    // Its machines are not heard any more, all but one: what may still run there binds the rest.
    let lost: Vec<String> =
        harness.workers.iter().filter(|(_, r)| !r.tasks.is_empty()).map(|(n, _)| n.clone()).collect();
    harness.unheard.extend(lost.iter().skip(1).cloned());
    harness.run(4_000);
    assert_eq!(zones(&harness).len(), 1);
    // The leader changes before anything is proven, and can ask none of them.
    harness.unheard.extend(lost);
    harness.change_leader();
    harness.run(4_000);
    assert_eq!(zones(&harness).len(), 1, "{} run", harness.running_count(&id));
}

#[test]
fn done_tasks_stay_done_over_a_change_of_leader() {
    // Two tasks that end far apart, with a change of leader between.
    let mut harness = SchedulerHarness::new(2);
    harness.run(2_000);
    let id = harness.submit(200, spec("req-000001", Kind::Array, 2, 8.0));
    harness.run(3_000);
    harness.finish_first_task("w0");
    harness.run(4_000);
    assert!(harness.workers["w0"].tasks.is_empty(), "cleared, as it is durably done");
    harness.change_leader();
    harness.run(4_000);
    let over = format!("over/{id}");
    assert!(harness.running_count(&id) == 1 && harness.workers["w0"].tasks.is_empty(), "not started again");
    assert!(!harness.store.contains_key(&over));
    harness.finish_first_task("w1");
    harness.run(1_000);
    assert_eq!(harness.store[&over].0["phase"], "done");
    // An old list, from when the first task ran: a copy of a job that is over.
    harness.run(1_000);
    assert_eq!(harness.running_count(&id), 0);
}

#[test]
fn terminal_record_does_not_overrule_a_cancellation() {
    let mut harness = SchedulerHarness::new(1);
    harness.run(2_000);
    let id = harness.submit(200, spec("req-000001", Kind::Array, 1, 1.0));
    harness.run(2_000);
    harness.unanswered_writes = Some(Vec::new());
    harness.finish_first_task("w0");
    harness.run(1_000);
    // The job's own key guards the end, so that it can't be declared over a cancellation, however late.
    let end = &harness.unanswered_writes.as_ref().unwrap()[0];
    let guard = end.preconditions.iter().find(|g| g.key == live_key(&id)).unwrap();
    assert_eq!(guard.revision, 200);
    harness.cancel(&id);
    harness.scheduler.on_job_terminated(&id, JobOutcome::Cancelled);
    harness.unanswered_writes = None;
    harness.run(3_000);
    assert!(harness.workers["w0"].tasks.is_empty(), "nothing is kept of it");
    assert!(!harness.store.contains_key(&format!("over/{id}")));
}
