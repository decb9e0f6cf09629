//! Changes of leader, writes and doubt.

use super::*;

#[test]
fn machines_on_their_way_to_a_new_leader_are_not_called_silent() {
    // Peers let a machine that the leader calls silent go on to the next controller. Called so 3 s
    // after a restart, most workers were sent past it and lost all they had.
    let mut rig = Rig::new(3);
    let names = |rig: &Rig| rig.leader.suspected_machines(MonotonicTime(rig.now)).0;
    rig.workers.retain(|name, _| name == "w0");
    rig.run(5_000);
    assert_eq!(names(&rig), Vec::<String>::new());
    rig.workers.clear();
    rig.run(4_000);
    assert_eq!(names(&rig), ["m-000000"], "it was heard, and is no more");
}

#[test]
fn after_an_unanswered_write_the_key_is_written_anew_before_anything_else() {
    let mut rig = Rig::new(1);
    rig.run(2_000);
    rig.unanswered = Some(Vec::new());
    let id = rig.submit(200, spec("req-000001", Kind::Array, 2, 1.0));
    rig.run(1_000);
    rig.finish_first_task("w0");
    rig.run(4_000);
    let lost = rig.unanswered.take().unwrap();
    assert_eq!(lost.len(), 1, "nothing more is written while an older write may come late");
    let is_bits = |t: &Transaction| matches!(&t.mutations[0], Mutation::Put { key: write, .. } if write.starts_with(BITMAP_PREFIX));
    assert!(is_bits(&lost[0]));
    assert!(rig.workers["w0"].tasks.iter().any(TaskStatus::is_done), "kept until it is durable");
    rig.committed.clear();
    rig.run(3_000);
    assert!(rig.committed.iter().any(is_bits));
    assert!(
        rig.committed.iter().all(|t| t.preconditions[0].revision > lost[0].preconditions[0].revision),
        "the older one is dead"
    );
    assert!(!rig.workers["w0"].tasks.iter().any(TaskStatus::is_done));
    assert_eq!(rig.runs(&id), 1);
}

#[test]
fn nothing_starts_while_users_may_have_been_told_otherwise() {
    let mut rig = Rig::new(2);
    rig.run(2_000);
    rig.leader.set_in_doubt(true);
    let id = rig.submit(200, spec("req-000001", Kind::Array, 2, 1.0));
    rig.run(2_000);
    assert_eq!(rig.runs(&id), 0);
    rig.leader.set_in_doubt(false);
    rig.run(2_000);
    assert_eq!(rig.runs(&id), 2);
}

#[test]
fn a_team_at_its_limit_gets_nothing_more_while_a_machine_cannot_be_asked() {
    // team-a may use 40 CPUs; 32 are in use when the leader changes and one machine falls silent.
    let mut rig = Rig::new(6);
    rig.run(2_000);
    let team_a = |s: JobSpec| JobSpec { team: "team-a".into(), ..s };
    let full = rig.submit(200, team_a(spec("req-000001", Kind::Array, 4, 8.0)));
    rig.run(3_000);
    assert_eq!(rig.runs(&full), 4);
    let held = rig.busy_worker();
    rig.mute.insert(held.clone());
    rig.succeed();
    // Cancelled in that spell: what it held on the silent machine counts on.
    rig.cancel(&full);
    rig.leader.on_job_terminated(&full, JobOutcome::Cancelled);
    let term = rig.term.0;
    let next = rig.submit(term + 1, team_a(spec("req-000002", Kind::Array, 5, 8.0)));
    rig.run(8_000);
    assert_eq!(rig.runs(&full), 1, "those that can be asked have stopped");
    assert!(rig.runs(&next) <= 4, "{} run beside one that may", rig.runs(&next));
    // Past its lease the silent machine is proven empty.
    rig.workers.get_mut(&held).unwrap().tasks.clear();
    rig.run(12_000);
    assert_eq!(rig.runs(&next), 5);
}

#[test]
fn a_report_held_back_until_a_new_leader_has_acted_proves_nothing() {
    let mut rig = Rig::new(3);
    rig.run(2_000);
    let id = rig.submit(200, spec("req-000001", Kind::Array, 2, 8.0));
    // Sent before the machine got its task.
    let sent: BTreeMap<String, Heartbeat> = rig.workers.clone();
    rig.run(3_000);
    assert_eq!(rig.runs(&id), 2);
    let name = rig.busy_worker();
    let held = sent[&name].clone();
    rig.mute.insert(name.clone());
    rig.succeed();
    rig.run(1_000);
    // It arrives at the new leader before any other of its machine: an empty list, which isn't true.
    let mut late = held.clone();
    late.sequence.0 += 1;
    let _ = rig.leader.on_heartbeat(MonotonicTime(rig.now), &late);
    rig.run(3_000);
    assert_eq!(rig.runs(&id), 2, "nothing is started twice");
    let machine = MachineId::parse(&held.machine).unwrap();
    assert!(!rig.leader.machines.known[&machine].reconciled);
    // And after newer ones.
    rig.mute.clear();
    rig.run(2_000);
    assert!(rig.leader.on_heartbeat(MonotonicTime(rig.now), &late).is_err());
    let old = Heartbeat { agent_epoch: AgentEpoch(0), sequence: SequenceNumber(900), ..held };
    assert!(rig.leader.on_heartbeat(MonotonicTime(rig.now), &old).is_err(), "of an earlier session");
    rig.run(1_000);
    assert_eq!(rig.runs(&id), 2);
}

#[test]
fn a_job_bound_to_one_zone_does_not_follow_its_tasks_to_another() {
    // Four machines in zone a, one in zone b with all the room.
    let mut rig = Rig::new(5);
    let far = MachineRecord { endpoint: "w4".into(), kind: "plain".into(), zone: "b".into(), spot: false };
    rig.store.insert("fleet/m-000004".into(), (json!(far), 1));
    rig.workers.get_mut("w4").unwrap().zone = "b".into();
    rig.succeed();
    rig.run(2_000);
    let term = rig.term.0;
    let array = JobSpec { one_zone: true, ..spec("req-000001", Kind::Array, 8, 4.0) };
    let id = rig.submit(term + 1, array);
    rig.run(4_000);
    let zones = |rig: &Rig| -> BTreeSet<String> {
        let runs = |r: &&Heartbeat| r.tasks.iter().any(|l| l.phase == TaskPhase::Running);
        rig.workers.values().filter(runs).map(|r| r.zone.clone()).collect()
    };
    assert_eq!(zones(&rig).len(), 1);
    // Its machines fall silent, all but one: what may still run there binds the rest.
    let lost: Vec<String> = rig.workers.iter().filter(|(_, r)| !r.tasks.is_empty()).map(|(n, _)| n.clone()).collect();
    rig.mute.extend(lost.iter().skip(1).cloned());
    rig.run(4_000);
    assert_eq!(zones(&rig).len(), 1);
    // The leader changes before anything is proven, and can ask none of them.
    rig.mute.extend(lost);
    rig.succeed();
    rig.run(4_000);
    assert_eq!(zones(&rig).len(), 1, "{} run", rig.runs(&id));
}

#[test]
fn what_is_done_stays_done_over_a_change_of_leader() {
    // Two tasks that end far apart, with a change of leader between.
    let mut rig = Rig::new(2);
    rig.run(2_000);
    let id = rig.submit(200, spec("req-000001", Kind::Array, 2, 8.0));
    rig.run(3_000);
    rig.finish_first_task("w0");
    rig.run(4_000);
    assert!(rig.workers["w0"].tasks.is_empty(), "cleared, as it is durably done");
    rig.succeed();
    rig.run(4_000);
    let over = format!("over/{id}");
    assert!(rig.runs(&id) == 1 && rig.workers["w0"].tasks.is_empty(), "not started again");
    assert!(!rig.store.contains_key(&over));
    rig.finish_first_task("w1");
    rig.run(1_000);
    assert_eq!(rig.store[&over].0["phase"], "done");
    // An old list, from when the first task ran: a copy of a job that is over.
    rig.run(1_000);
    assert_eq!(rig.runs(&id), 0);
}

#[test]
fn a_user_cancels_while_the_end_is_being_written() {
    let mut rig = Rig::new(1);
    rig.run(2_000);
    let id = rig.submit(200, spec("req-000001", Kind::Array, 1, 1.0));
    rig.run(2_000);
    rig.unanswered = Some(Vec::new());
    rig.finish_first_task("w0");
    rig.run(1_000);
    // The job's own key guards the end, so that it can't be declared over a cancellation, however late.
    let end = &rig.unanswered.as_ref().unwrap()[0];
    let guard = end.preconditions.iter().find(|g| g.key == live_key(&id)).unwrap();
    assert_eq!(guard.revision, 200);
    rig.cancel(&id);
    rig.leader.on_job_terminated(&id, JobOutcome::Cancelled);
    rig.unanswered = None;
    rig.run(3_000);
    assert!(rig.workers["w0"].tasks.is_empty(), "nothing is kept of it");
    assert!(!rig.store.contains_key(&format!("over/{id}")));
}
