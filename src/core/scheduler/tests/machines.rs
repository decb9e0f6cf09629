//! Machines and their heartbeats: copies, failure detection, leases, stop orders.

use super::*;

#[test]
fn machine_with_an_unacknowledged_token_is_terminated_after_its_lease() {
    let mut harness = SchedulerHarness::new(4);
    harness.cloud_refuses = true;
    harness.unreachable.insert("w0".into());
    let old = harness.submit(50, spec("req-000001", Kind::Array, 2, 1.0));
    harness.run(9_000);
    assert_eq!(harness.running_count(&old), 0, "w0 may still hold its tasks");
    assert!(harness.heartbeat("w0"), "it may be slow to confirm");
    harness.run(2_000);
    assert!(!harness.heartbeat("w0"), "unanswered, it ends its agent epoch");
    harness.run(12_000);
    assert_eq!(harness.running_count(&old), 2, "its lease has proven it empty");
    assert!(harness.terminated.contains("m-000000"), "and it is terminated");
    assert!(harness.workers["w0"].tasks.is_empty(), "it got nothing more");
}

#[test]
fn new_agent_epoch_proves_the_tasks_of_the_last_gone() {
    let mut harness = SchedulerHarness::new(2);
    harness.run(2_000);
    let id = harness.submit(200, spec("req-000001", Kind::Array, 2, 8.0));
    harness.run(3_000);
    assert_eq!(harness.running_count(&id), 2);
    harness.unreachable.insert("w0".into());
    // Its lease has run out, as the answers didn't reach it.
    let w = harness.workers.get_mut("w0").unwrap();
    (w.agent_epoch, w.sequence) = (AgentEpoch(2), SequenceNumber(0));
    w.tasks.clear();
    harness.heartbeat("w0");
    assert_eq!(harness.scheduler.jobs.live[&id].ready.len(), 1, "to be started anew");
}

#[test]
fn failure_detection_is_lenient_while_ticks_are_late() {
    // A controller at a third of its speed terminated 50 machines, whose heartbeats waited for it.
    let mut harness = SchedulerHarness::new(6);
    harness.run(2_000);
    for _ in 0..8 {
        harness.now += 950;
        harness.unheard = harness.workers.keys().cloned().collect();
        harness.run(TICK_INTERVAL.0);
    }
    assert!(harness.scheduler.lag() >= Millis(250) && harness.terminated.is_empty());
    // Heartbeats arrive again but for one machine's; ticks come in time.
    harness.unheard = BTreeSet::from(["w0".into()]);
    harness.run(2_500);
    assert!(harness.scheduler.lag() < Millis(50));
    assert_eq!(harness.terminated, BTreeSet::from(["m-000000".into()]));
}

#[test]
fn failure_detection_is_lenient_while_a_relay_is_lost() {
    // Two zones parted, and 82 machines whose heartbeats had come by peers beyond the cut were terminated.
    let mut harness = SchedulerHarness::new(16);
    harness.run(2_000);
    let via_peer: BTreeSet<String> = ["w0", "w1", "w2", "w3"].map(String::from).into();
    for name in &via_peer {
        let heartbeat = harness.workers.get_mut(name).unwrap();
        heartbeat.sequence.0 += 1;
        assert!(
            harness
                .scheduler
                .on_heartbeat_via(MonotonicTime(harness.now), heartbeat, HeartbeatRoute::via_peer(0))
                .is_ok()
        );
    }
    harness.unheard = via_peer.clone();
    harness.run(9_000);
    assert!(harness.terminated.is_empty(), "they look for another controller");
    harness.unheard.clear();
    harness.run(1_000);
    // As many, each by a route that others use as well, are rather dead.
    harness.unheard = via_peer;
    harness.run(9_000);
    assert_eq!(harness.terminated.len(), 4);
}

#[test]
fn failure_detection_allows_one_lease_to_machines_that_a_new_leader_never_heard() {
    // They tell nothing about a route.
    let mut harness = SchedulerHarness::new(16);
    harness.unheard = ["w0", "w1", "w2", "w3"].map(String::from).into();
    harness.run(13_000);
    assert_eq!(harness.terminated.len(), 4);
}

#[test]
fn lease_of_an_agent_epoch_counts_from_its_first_message() {
    // A machine was back at once, its new agent epoch became known by the answer to an order, and no heartbeat
    // of that agent epoch arrived: its lease was counted from the last heartbeat of the agent epoch before, and its
    // task started a second time while the first still ran.
    let mut harness = SchedulerHarness::new(2);
    harness.cloud_refuses = true;
    harness.run(2_000);
    harness.unheard.insert("w0".into());
    harness.unheard.insert("w1".into());
    harness.run(2_500);
    for name in ["w0", "w1"] {
        let worker = harness.workers.get_mut(name).unwrap();
        (worker.agent_epoch, worker.sequence, worker.token) = (AgentEpoch(2), SequenceNumber(0), FencingToken::NONE);
    }
    let id = harness.submit(200, spec("req-000001", Kind::Array, 1, 8.0));
    harness.run(1_000);
    assert_eq!(harness.running_count(&id), 1, "ordered in the agent epoch that the first answer has named");
    let covers = harness.busy_worker();
    harness.unheard.retain(|name| *name == covers);
    harness.run(8_500);
    assert_eq!(harness.running_count(&id), 1, "the agent epoch may go on");
    harness.run(3_000);
    assert_eq!(harness.running_count(&id), 2, "it has ended by now, whatever the model still lists");
}

#[test]
fn heartbeat_copy_does_not_renew_lease() {
    let mut harness = SchedulerHarness::new(2);
    harness.run(2_000);
    let id = harness.submit(200, spec("req-000001", Kind::Array, 2, 8.0));
    harness.run(3_000);
    let copy = harness.workers.remove("w0").unwrap();
    harness.cloud_refuses = true;
    let job = |harness: &SchedulerHarness| harness.scheduler.jobs.live[&id].placed.len();
    for _ in 0..10 {
        harness.run(1_000);
        assert_eq!(
            harness.scheduler.on_heartbeat(MonotonicTime(harness.now), &copy),
            Err(HeartbeatRejection::Superseded)
        );
    }
    assert_eq!(job(&harness), 2, "the lease may still run");
    harness.run(1_500);
    assert_eq!(job(&harness), 1, "suspected past its lease, whatever copies came");
    // After the cluster state has ended the agent epoch, a copy with a later sequence revives nothing either.
    let mut later = copy;
    later.sequence.0 += 100;
    assert_eq!(harness.scheduler.on_heartbeat(MonotonicTime(harness.now), &later), Err(HeartbeatRejection::Superseded));
    assert_eq!(job(&harness), 1);
}

#[test]
fn heartbeat_copy_of_a_terminated_machine_places_no_task() {
    let mut harness = SchedulerHarness::new(2);
    let old = harness.submit(50, spec("req-000001", Kind::Array, 2, 1.0));
    // Of a machine that an earlier leader has terminated: it has no record any more.
    let mut copy = SchedulerHarness::idle_heartbeat(7);
    copy.sequence = SequenceNumber(9);
    let attempt = Attempt::new(Term(40), 1);
    let listed =
        TaskStatus { task: TaskId::parse("req-000001/0"), attempt, phase: TaskPhase::Running, cause: None, kept: None };
    copy.tasks.push(listed);
    assert_eq!(
        harness.scheduler.on_heartbeat(MonotonicTime(10), &copy),
        Err(HeartbeatRejection::NoRecord { tasks: 1 })
    );
    assert!(harness.scheduler.jobs.live[&old].placed.is_empty());
}

#[test]
fn heartbeat_copy_does_not_reconcile_a_machine() {
    let mut harness = SchedulerHarness::new(2);
    let old = harness.submit(50, spec("req-000001", Kind::Array, 2, 1.0));
    // It reaches a new leader before the machine itself, and says nothing of now.
    let mut copy = SchedulerHarness::idle_heartbeat(0);
    (copy.sequence, copy.token) = (SequenceNumber(3), FencingToken::new(Term(40), 0));
    harness.workers.remove("w0");
    assert!(harness.scheduler.on_heartbeat(MonotonicTime(20), &copy).is_ok());
    harness.run(5_000);
    assert_eq!(harness.running_count(&old), 0, "a copy reconciles nothing");
}

#[test]
fn unknown_machine_is_not_usable_until_it_has_acknowledged_the_token() {
    let mut harness = SchedulerHarness::new(2);
    harness.run(5_000);
    assert!(harness.scheduler.on_heartbeat(MonotonicTime(harness.now), &SchedulerHarness::idle_heartbeat(8)).is_ok());
    let mut later = SchedulerHarness::idle_heartbeat(8);
    later.sequence = SequenceNumber(1);
    assert!(harness.scheduler.on_heartbeat(MonotonicTime(harness.now), &later).is_ok());
    let id = MachineId::parse("m-000008").unwrap();
    harness.run(1_000);
    assert!(!harness.scheduler.machines.known[&id].is_schedulable(MonotonicTime(harness.now), Millis(5_000)));
}

#[test]
fn retiring_machine_still_gets_stop_orders() {
    // While the cloud carried out no terminations, a machine that had been suspected lived on by answers that
    // carried no orders, and with it a task that its user had cancelled.
    let mut harness = SchedulerHarness::new(2);
    harness.cloud_refuses = true;
    harness.run(2_000);
    let id = harness.submit(200, spec("req-000001", Kind::Array, 2, 8.0));
    harness.run(2_000);
    assert_eq!(harness.running_count(&id), 2);
    harness.unheard.insert("w0".into());
    harness.run(6_500);
    harness.unheard.clear();
    harness.run(1_000);
    assert!(harness.terminated.contains("m-000000"), "given up, but the cloud doesn't say that it is gone");
    harness.scheduler.on_job_terminated(&id, JobOutcome::Cancelled);
    harness.run(1_000);
    assert_eq!(harness.running_count(&id), 0);
}

#[test]
fn heartbeat_answer_carries_every_stop_order() {
    let mut harness = SchedulerHarness::new(1);
    harness.run(2_000);
    let id = harness.submit(200, spec("req-000001", Kind::Array, 2, 1.0));
    harness.run(2_000);
    assert_eq!(harness.running_count(&id), 2);
    // An order to the machine has left and isn't answered yet.
    harness.submit(201, spec("req-000002", Kind::Array, 1, 1.0));
    let mut ordered = false;
    for _ in 0..40 {
        harness.now += TICK_INTERVAL.0;
        harness.scheduler.tick(MonotonicTime(harness.now), WallTime(harness.now));
        ordered |= harness.scheduler.take_effects().iter().any(|effect| matches!(effect, Effect::Orders { .. }));
    }
    assert!(ordered);
    harness.scheduler.on_job_terminated(&id, JobOutcome::Cancelled);
    harness.heartbeat("w0");
    assert_eq!(harness.running_count(&id), 0);
    // Lost with its answer, the stop order is repeated in the next.
    let stops =
        |answer: &HeartbeatResponse| answer.orders.iter().filter(|order| matches!(order, Order::Stop { .. })).count();
    let heartbeat = harness.workers.get_mut("w0").unwrap();
    for listed in &mut heartbeat.tasks {
        (listed.phase, listed.cause) = (TaskPhase::Running, None);
    }
    heartbeat.sequence.0 += 1;
    assert_eq!(harness.scheduler.on_heartbeat(MonotonicTime(harness.now), heartbeat).as_ref().map(stops), Ok(2));
    // Also in the answer to a heartbeat that a later message has overtaken.
    heartbeat.sequence.0 += 5;
    harness
        .scheduler
        .machines
        .known
        .values_mut()
        .for_each(|machine| machine.sequence = SequenceNumber(heartbeat.sequence.0 + 1));
    assert_eq!(harness.scheduler.on_heartbeat(MonotonicTime(harness.now), heartbeat).as_ref().map(stops), Ok(2));
}

#[test]
fn suspected_machine_keeps_its_tasks_until_its_lease_is_over() {
    let mut harness = SchedulerHarness::new(3);
    harness.run(2_000);
    let id = harness.submit(200, spec("req-000001", Kind::Array, 2, 8.0));
    harness.run(3_000);
    harness.cloud_refuses = true;
    let unheard = harness.busy_worker();
    harness.unheard.insert(unheard.clone());
    harness.run(9_000);
    assert_eq!(harness.running_count(&id), 2, "it may run on, so nothing is started anew");
    // Its agent epoch ends; direct orders still arrive, but they are of an agent epoch that is over.
    let r = harness.workers.get_mut(&unheard).unwrap();
    (r.agent_epoch, r.sequence) = (AgentEpoch(2), SequenceNumber(0));
    r.tasks.clear();
    harness.run(4_000);
    assert_eq!(harness.running_count(&id), 2, "started on the machine that is left");
    assert!(harness.workers[&unheard].tasks.is_empty());
}

#[test]
fn quarantine_of_machines_that_failed_tasks_ends() {
    // A gang that had met two failing machines was held to be at fault for ever, and one array kept off the
    // only machines that fit it.
    let mut harness = SchedulerHarness::new(2);
    harness.run(2_000);
    let id = harness.submit(200, spec("req-000001", Kind::Array, 4, 4.0));
    harness.run(2_000);
    assert_eq!(harness.running_count(&id), 4);
    for r in harness.workers.values_mut() {
        let first = r.tasks[0].clone();
        SchedulerHarness::exit_task(r, first.task, first.attempt, Cause::Done);
        for listed in r.tasks.iter_mut().skip(1) {
            (listed.phase, listed.cause) = (TaskPhase::Exited, Some(Cause::Error));
        }
    }
    harness.run(5_000);
    assert_eq!(harness.running_count(&id), 0, "quarantined for a while");
    harness.run(70_000);
    assert_eq!(harness.running_count(&id), 4 - harness.scheduler.jobs.live[&id].done_count as usize);
    let job = &harness.scheduler.jobs.live[&id];
    assert!(!job.is_at_fault(MonotonicTime(harness.now + 200_000)));
}
