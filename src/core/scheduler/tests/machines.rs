//! Machines and what they say: copies, silence, leases, stops.

use super::*;

#[test]
fn a_machine_that_answers_do_not_reach_holds_nothing_up_for_ever() {
    let mut rig = Rig::new(4);
    rig.cloud_down = true;
    rig.deaf.insert("w0".into());
    let old = rig.submit(50, spec("req-000001", Kind::Array, 2, 1.0));
    rig.run(9_000);
    assert_eq!(rig.runs(&old), 0, "w0 may still hold its tasks");
    assert!(rig.heartbeat("w0"), "it may be slow to confirm");
    rig.run(2_000);
    assert!(!rig.heartbeat("w0"), "unanswered, it ends its session");
    rig.run(12_000);
    assert_eq!(rig.runs(&old), 2, "its lease has proven it empty");
    assert!(rig.returned.contains("m-000000"), "and it goes back");
    assert!(rig.workers["w0"].tasks.is_empty(), "it got nothing more");
}

#[test]
fn a_new_session_of_a_deaf_machine_proves_its_tasks_gone() {
    let mut rig = Rig::new(2);
    rig.run(2_000);
    let id = rig.submit(200, spec("req-000001", Kind::Array, 2, 8.0));
    rig.run(3_000);
    assert_eq!(rig.runs(&id), 2);
    rig.deaf.insert("w0".into());
    // Its lease has run out, as the answers didn't reach it.
    let w = rig.workers.get_mut("w0").unwrap();
    (w.agent_epoch, w.sequence) = (AgentEpoch(2), SequenceNumber(0));
    w.tasks.clear();
    rig.heartbeat("w0");
    assert_eq!(rig.leader.jobs.live[&id].ready.len(), 1, "to be started anew");
}

#[test]
fn a_leader_whose_ticks_come_late_does_not_take_unread_reports_for_silence() {
    // A controller at a third of its speed returned 50 machines, whose heartbeats waited for it.
    let mut rig = Rig::new(6);
    rig.run(2_000);
    for _ in 0..8 {
        rig.now += 950;
        rig.mute = rig.workers.keys().cloned().collect();
        rig.run(TICK_INTERVAL.0);
    }
    assert!(rig.leader.lag() >= Millis(250) && rig.returned.is_empty());
    // Heartbeats arrive again but for one machine's; ticks come in time.
    rig.mute = BTreeSet::from(["w0".into()]);
    rig.run(2_500);
    assert!(rig.leader.lag() < Millis(50));
    assert_eq!(rig.returned, BTreeSet::from(["m-000000".into()]));
}

#[test]
fn machines_of_a_peer_that_has_ended_get_time_to_find_another_controller() {
    // Two zones parted, and 82 machines whose heartbeats had come by peers beyond the cut were returned.
    let mut rig = Rig::new(16);
    rig.run(2_000);
    let via_peer: BTreeSet<String> = ["w0", "w1", "w2", "w3"].map(String::from).into();
    for name in &via_peer {
        let heartbeat = rig.workers.get_mut(name).unwrap();
        heartbeat.sequence.0 += 1;
        assert!(rig.leader.on_heartbeat_via(MonotonicTime(rig.now), heartbeat, HeartbeatRoute::via_peer(0)).is_ok());
    }
    rig.mute = via_peer.clone();
    rig.run(9_000);
    assert!(rig.returned.is_empty(), "they look for another controller");
    rig.mute.clear();
    rig.run(1_000);
    // As many, each by a way that others report by as well, are rather dead.
    rig.mute = via_peer.clone();
    rig.run(9_000);
    assert_eq!(rig.returned.len(), 4);

    // Those that a new leader has never heard from tell nothing about a way: a lease is enough.
    let mut rig = Rig::new(16);
    rig.mute = via_peer;
    rig.run(13_000);
    assert_eq!(rig.returned.len(), 4);
}

#[test]
fn the_lease_of_a_session_counts_from_when_it_was_first_heard_of() {
    // A machine was back at once, its new agent epoch became known by the answer to an order, and no heartbeat
    // of that agent epoch arrived: its lease was counted from the last heartbeat of the agent epoch before, and its
    // task started a second time while the first still ran.
    let mut rig = Rig::new(2);
    rig.cloud_down = true;
    rig.run(2_000);
    rig.mute.insert("w0".into());
    rig.mute.insert("w1".into());
    rig.run(2_500);
    for name in ["w0", "w1"] {
        let worker = rig.workers.get_mut(name).unwrap();
        (worker.agent_epoch, worker.sequence, worker.token) = (AgentEpoch(2), SequenceNumber(0), FencingToken::NONE);
    }
    let id = rig.submit(200, spec("req-000001", Kind::Array, 1, 8.0));
    rig.run(1_000);
    assert_eq!(rig.runs(&id), 1, "ordered in the session that the first answer has told of");
    let covers = rig.busy_worker();
    rig.mute.retain(|name| *name == covers);
    rig.run(8_500);
    assert_eq!(rig.runs(&id), 1, "the session may go on");
    rig.run(3_000);
    assert_eq!(rig.runs(&id), 2, "it has ended by now, whatever the model still lists");
}

#[test]
fn a_copy_of_a_report_is_no_sign_of_life() {
    let mut rig = Rig::new(2);
    rig.run(2_000);
    let id = rig.submit(200, spec("req-000001", Kind::Array, 2, 8.0));
    rig.run(3_000);
    let copy = rig.workers.remove("w0").unwrap();
    rig.cloud_down = true;
    let job = |rig: &Rig| rig.leader.jobs.live[&id].placed.len();
    for _ in 0..10 {
        rig.run(1_000);
        assert_eq!(rig.leader.on_heartbeat(MonotonicTime(rig.now), &copy), Err(HeartbeatRejection::Superseded));
    }
    assert_eq!(job(&rig), 2, "the lease may still run");
    rig.run(1_500);
    assert_eq!(job(&rig), 1, "silent past its lease, whatever copies came");
    // After the cluster state has ended the agent epoch, a copy with a later sequence revives nothing either.
    let mut later = copy;
    later.sequence.0 += 100;
    assert_eq!(rig.leader.on_heartbeat(MonotonicTime(rig.now), &later), Err(HeartbeatRejection::Superseded));
    assert_eq!(job(&rig), 1);
}

#[test]
fn a_copy_does_not_bring_back_a_returned_machine_or_account_for_one() {
    let mut rig = Rig::new(2);
    let old = rig.submit(50, spec("req-000001", Kind::Array, 2, 1.0));
    // Of a machine that an earlier leader has returned: it has no record any more.
    let mut ghost = Rig::fresh(7);
    ghost.sequence = SequenceNumber(9);
    let attempt = Attempt::new(Term(40), 1);
    let listed =
        TaskStatus { task: TaskId::parse("req-000001/0"), attempt, phase: TaskPhase::Running, cause: None, kept: None };
    ghost.tasks.push(listed);
    assert_eq!(rig.leader.on_heartbeat(MonotonicTime(10), &ghost), Err(HeartbeatRejection::NoRecord { tasks: 1 }));
    assert!(rig.leader.jobs.live[&old].placed.is_empty());
    // A copy that reaches a new leader before the machine itself tells nothing of now.
    let mut copy = Rig::fresh(0);
    (copy.sequence, copy.token) = (SequenceNumber(3), FencingToken::new(Term(40), 0));
    rig.workers.remove("w0");
    assert!(rig.leader.on_heartbeat(MonotonicTime(20), &copy).is_ok());
    rig.run(5_000);
    assert_eq!(rig.runs(&old), 0, "a copy accounts for nothing");
    // An empty report of a ghost: nothing is ordered there until it has confirmed the token.
    assert!(rig.leader.on_heartbeat(MonotonicTime(rig.now), &Rig::fresh(8)).is_ok());
    ghost = Rig::fresh(8);
    ghost.sequence = SequenceNumber(1);
    assert!(rig.leader.on_heartbeat(MonotonicTime(rig.now), &ghost).is_ok());
    let id = MachineId::parse("m-000008").unwrap();
    rig.run(1_000);
    assert!(!rig.leader.machines.known[&id].usable(MonotonicTime(rig.now), Millis(5_000)));
}

#[test]
fn a_machine_that_is_to_go_back_is_still_told_to_stop() {
    // While the cloud carried out no returns, a machine that had been silent lived on by answers that
    // carried no orders, and with it a task that its user had cancelled.
    let mut rig = Rig::new(2);
    rig.cloud_down = true;
    rig.run(2_000);
    let id = rig.submit(200, spec("req-000001", Kind::Array, 2, 8.0));
    rig.run(2_000);
    assert_eq!(rig.runs(&id), 2);
    rig.mute.insert("w0".into());
    rig.run(6_500);
    rig.mute.clear();
    rig.run(1_000);
    assert!(rig.returned.contains("m-000000"), "given up, but the cloud doesn't say that it is gone");
    rig.leader.on_job_terminated(&id, JobOutcome::Cancelled);
    rig.run(1_000);
    assert_eq!(rig.runs(&id), 0);
}

#[test]
fn an_answer_carries_every_stop_whatever_else_is_under_way() {
    let mut rig = Rig::new(1);
    rig.run(2_000);
    let id = rig.submit(200, spec("req-000001", Kind::Array, 2, 1.0));
    rig.run(2_000);
    assert_eq!(rig.runs(&id), 2);
    // An order to the machine has left and isn't answered yet.
    rig.submit(201, spec("req-000002", Kind::Array, 1, 1.0));
    let mut ordered = false;
    for _ in 0..40 {
        rig.now += TICK_INTERVAL.0;
        rig.leader.tick(MonotonicTime(rig.now), WallTime(rig.now));
        ordered |= rig.leader.take_effects().iter().any(|a| matches!(a, Effect::Orders { .. }));
    }
    assert!(ordered);
    rig.leader.on_job_terminated(&id, JobOutcome::Cancelled);
    rig.heartbeat("w0");
    assert_eq!(rig.runs(&id), 0);
    // Lost with its answer, the stop is said again in the next.
    let stops = |a: &HeartbeatResponse| a.orders.iter().filter(|o| matches!(o, Order::Stop { .. })).count();
    let r = rig.workers.get_mut("w0").unwrap();
    for l in &mut r.tasks {
        (l.phase, l.cause) = (TaskPhase::Running, None);
    }
    r.sequence.0 += 1;
    assert_eq!(rig.leader.on_heartbeat(MonotonicTime(rig.now), r).as_ref().map(stops), Ok(2));
    // Also in the answer to a heartbeat that other news has overtaken.
    r.sequence.0 += 5;
    rig.leader.machines.known.values_mut().for_each(|m| m.sequence = SequenceNumber(r.sequence.0 + 1));
    assert_eq!(rig.leader.on_heartbeat(MonotonicTime(rig.now), r).as_ref().map(stops), Ok(2));
}

#[test]
fn a_machine_that_reaches_no_controller_keeps_its_tasks_until_its_lease_is_over() {
    let mut rig = Rig::new(3);
    rig.run(2_000);
    let id = rig.submit(200, spec("req-000001", Kind::Array, 2, 8.0));
    rig.run(3_000);
    rig.cloud_down = true;
    let mute = rig.busy_worker();
    rig.mute.insert(mute.clone());
    rig.run(9_000);
    assert_eq!(rig.runs(&id), 2, "it may run on, so nothing is started anew");
    // Its agent epoch ends; direct orders still arrive, but they are of an agent epoch that is over.
    let r = rig.workers.get_mut(&mute).unwrap();
    (r.agent_epoch, r.sequence) = (AgentEpoch(2), SequenceNumber(0));
    r.tasks.clear();
    rig.run(4_000);
    assert_eq!(rig.runs(&id), 2, "started on the machine that is left");
    assert!(rig.workers[&mute].tasks.is_empty());
}

#[test]
fn machines_that_have_failed_are_not_avoided_for_good() {
    // A gang that had met two sick machines was held to be at fault for ever, and one array kept off the
    // only machines that fit it.
    let mut rig = Rig::new(2);
    rig.run(2_000);
    let id = rig.submit(200, spec("req-000001", Kind::Array, 4, 4.0));
    rig.run(2_000);
    assert_eq!(rig.runs(&id), 4);
    for r in rig.workers.values_mut() {
        let first = r.tasks[0].clone();
        Rig::end(r, first.task, first.attempt, Cause::Done);
        for l in r.tasks.iter_mut().skip(1) {
            (l.phase, l.cause) = (TaskPhase::Exited, Some(Cause::Error));
        }
    }
    rig.run(5_000);
    assert_eq!(rig.runs(&id), 0, "avoided for a while");
    rig.run(70_000);
    assert_eq!(rig.runs(&id), 4 - rig.leader.jobs.live[&id].done_count as usize);
    let job = &rig.leader.jobs.live[&id];
    assert!(!job.at_fault(MonotonicTime(rig.now + 200_000)));
}
