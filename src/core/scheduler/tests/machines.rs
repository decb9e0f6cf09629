//! Tests of machines and their heartbeats: duplicates, failure detection, leases and stop orders.

use super::*;

#[test]
fn machine_with_an_unacknowledged_token_is_terminated_after_its_lease() {
    let mut harness = SchedulerHarness::new(4);
    harness.cloud_refuses_terminations = true;
    harness.inbound_partitioned.insert("w0".into());
    let old = harness.submit(50, spec("req-000001", JobKind::Array, 2, 1.0));
    harness.run(9_000);
    assert_eq!(harness.running_count(&old), 0, "its tasks may still run on w0");
    assert!(
        harness.send_heartbeat("w0"),
        "the leader still responds, as the machine may be slow to acknowledge the token"
    );
    harness.run(2_000);
    assert!(!harness.send_heartbeat("w0"), "the leader stops responding, so that the worker ends its agent epoch");
    harness.run(12_000);
    assert_eq!(harness.running_count(&old), 2, "after its lease has expired, w0 is known to run nothing");
    assert!(harness.terminated.contains("m-000000"), "w0 is terminated");
    assert!(harness.workers["w0"].tasks.is_empty(), "w0 got no more tasks");
}

#[test]
fn new_agent_epoch_proves_that_earlier_tasks_have_ended() {
    let mut harness = SchedulerHarness::new(2);
    harness.run(2_000);
    let id = harness.submit(200, spec("req-000001", JobKind::Array, 2, 8.0));
    harness.run(3_000);
    assert_eq!(harness.running_count(&id), 2);
    harness.inbound_partitioned.insert("w0".into());
    // The worker's lease has expired, because no response reached it.
    let worker = harness.workers.get_mut("w0").unwrap();
    (worker.agent_epoch, worker.sequence) = (AgentEpoch(2), SequenceNumber(0));
    worker.tasks.clear();
    harness.send_heartbeat("w0");
    assert_eq!(harness.scheduler.jobs.live[&id].ready.len(), 1, "its task is to be started again");
}

#[test]
fn failure_detection_is_lenient_while_ticks_are_late() {
    // Guards against an overloaded leader that terminates machines because it hasn't processed their heartbeats yet. A
    // controller at a third of its usual speed terminated 50 such machines.
    let mut harness = SchedulerHarness::new(6);
    harness.run(2_000);
    for _ in 0..8 {
        harness.now += 950;
        harness.outbound_partitioned = harness.workers.keys().cloned().collect();
        harness.run(TICK_INTERVAL.0);
    }
    assert!(harness.scheduler.lag() >= Millis(250) && harness.terminated.is_empty());
    // The leader ticks on time again, and the heartbeats of all machines but one arrive.
    harness.outbound_partitioned = BTreeSet::from(["w0".into()]);
    harness.run(2_500);
    assert!(harness.scheduler.lag() < Millis(50));
    assert_eq!(harness.terminated, BTreeSet::from(["m-000000".into()]));
}

#[test]
fn failure_detection_is_lenient_while_a_relay_is_lost() {
    // Guards against terminating machines because the peer that relays their heartbeats is cut off from the leader. In
    // a partition between two zones, a leader terminated 82 such machines.
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
    harness.outbound_partitioned = via_peer.clone();
    harness.run(9_000);
    assert!(harness.terminated.is_empty(), "the workers have time to find another controller");
    harness.outbound_partitioned.clear();
    harness.run(1_000);
    // If other heartbeats over the same route still arrive, the machines whose heartbeats stop have more likely failed
    // themselves.
    harness.outbound_partitioned = via_peer;
    harness.run(9_000);
    assert_eq!(harness.terminated.len(), 4);
}

#[test]
fn failure_detection_allows_one_lease_to_machines_that_never_sent_heartbeats_to_a_new_leader() {
    // The leader has got no heartbeat of a machine, so it doesn't know over which route (direct or through a peer) the
    // machine's heartbeats would arrive.
    let mut harness = SchedulerHarness::new(16);
    harness.outbound_partitioned = ["w0", "w1", "w2", "w3"].map(String::from).into();
    harness.run(13_000);
    assert_eq!(harness.terminated.len(), 4);
}

#[test]
fn lease_of_an_agent_epoch_counts_from_its_first_message() {
    // Guards against a lease counted from the last heartbeat of the previous agent epoch. A worker restarted, the
    // leader learned the new agent epoch from the worker's response to an order, and the worker's heartbeats were lost.
    // The leader took the lease as expired too early and started a task a second time while the first attempt still
    // ran.
    let mut harness = SchedulerHarness::new(2);
    harness.cloud_refuses_terminations = true;
    harness.run(2_000);
    harness.outbound_partitioned.insert("w0".into());
    harness.outbound_partitioned.insert("w1".into());
    harness.run(2_500);
    for name in ["w0", "w1"] {
        let worker = harness.workers.get_mut(name).unwrap();
        (worker.agent_epoch, worker.sequence, worker.token) = (AgentEpoch(2), SequenceNumber(0), FencingToken::NONE);
    }
    let id = harness.submit(200, spec("req-000001", JobKind::Array, 1, 8.0));
    harness.run(1_000);
    assert_eq!(harness.running_count(&id), 1, "ordered in the agent epoch that the first response has stated");
    let busy = harness.first_busy_worker();
    harness.outbound_partitioned.retain(|name| *name == busy);
    harness.run(8_500);
    assert_eq!(harness.running_count(&id), 1, "the agent epoch may not have ended");
    harness.run(3_000);
    assert_eq!(harness.running_count(&id), 2, "the agent epoch has ended, though the harness still lists its task");
}

#[test]
fn duplicate_heartbeat_does_not_renew_lease() {
    let mut harness = SchedulerHarness::new(2);
    harness.run(2_000);
    let id = harness.submit(200, spec("req-000001", JobKind::Array, 2, 8.0));
    harness.run(3_000);
    let duplicate = harness.workers.remove("w0").unwrap();
    harness.cloud_refuses_terminations = true;
    let placed_count = |harness: &SchedulerHarness| harness.scheduler.jobs.live[&id].placed.len();
    for _ in 0..10 {
        harness.run(1_000);
        assert_eq!(
            harness.scheduler.on_heartbeat(MonotonicTime(harness.now), &duplicate),
            Err(HeartbeatRejection::Superseded)
        );
    }
    assert_eq!(placed_count(&harness), 2, "the lease may not have expired");
    harness.run(1_500);
    assert_eq!(placed_count(&harness), 1, "the lease has expired in spite of the duplicates");
    // Once the lease has expired, a heartbeat of the same agent epoch with a higher sequence number doesn't renew it
    // either.
    let mut later = duplicate;
    later.sequence.0 += 100;
    assert_eq!(harness.scheduler.on_heartbeat(MonotonicTime(harness.now), &later), Err(HeartbeatRejection::Superseded));
    assert_eq!(placed_count(&harness), 1);
}

#[test]
fn duplicate_heartbeat_of_a_terminated_machine_places_no_task() {
    let mut harness = SchedulerHarness::new(2);
    let old = harness.submit(50, spec("req-000001", JobKind::Array, 2, 1.0));
    // The sender of the heartbeat, machine 7, was terminated by an earlier leader, so its record has been deleted.
    let mut duplicate = SchedulerHarness::idle_heartbeat(7);
    duplicate.sequence = SequenceNumber(9);
    let attempt = Attempt::new(Term(40), 1);
    let status = TaskStatus {
        task: TaskId::parse("req-000001/0"),
        attempt,
        phase: TaskPhase::Running,
        cause: None,
        progress_saved: None,
    };
    duplicate.tasks.push(status);
    assert_eq!(
        harness.scheduler.on_heartbeat(MonotonicTime(10), &duplicate),
        Err(HeartbeatRejection::NoRecord { tasks: 1 })
    );
    assert!(harness.scheduler.jobs.live[&old].placed.is_empty());
}

#[test]
fn duplicate_heartbeat_does_not_reconcile_a_machine() {
    let mut harness = SchedulerHarness::new(2);
    let old = harness.submit(50, spec("req-000001", JobKind::Array, 2, 1.0));
    // The duplicate of an old heartbeat reaches a new leader before any current heartbeat of the machine. Its task list
    // is outdated.
    let mut duplicate = SchedulerHarness::idle_heartbeat(0);
    (duplicate.sequence, duplicate.token) = (SequenceNumber(3), FencingToken::new(Term(40), 0));
    harness.workers.remove("w0");
    assert!(harness.scheduler.on_heartbeat(MonotonicTime(20), &duplicate).is_ok());
    harness.run(5_000);
    assert_eq!(harness.running_count(&old), 0, "the machine is not reconciled");
}

#[test]
fn unknown_machine_is_not_schedulable_until_it_has_acknowledged_the_token() {
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
    // Guards against heartbeat responses without orders to a machine that the leader is having terminated. While the
    // cloud refused terminations, such responses renewed the machine's lease, and a cancelled task went on running
    // there.
    let mut harness = SchedulerHarness::new(2);
    harness.cloud_refuses_terminations = true;
    harness.run(2_000);
    let id = harness.submit(200, spec("req-000001", JobKind::Array, 2, 8.0));
    harness.run(2_000);
    assert_eq!(harness.running_count(&id), 2);
    harness.outbound_partitioned.insert("w0".into());
    harness.run(6_500);
    harness.outbound_partitioned.clear();
    harness.run(1_000);
    assert!(harness.terminated.contains("m-000000"), "its termination was requested, but has not succeeded");
    harness.scheduler.on_job_terminated(&id, JobOutcome::Cancelled);
    harness.run(1_000);
    assert_eq!(harness.running_count(&id), 0);
}

#[test]
fn every_heartbeat_response_contains_all_stop_orders() {
    let mut harness = SchedulerHarness::new(1);
    harness.run(2_000);
    let id = harness.submit(200, spec("req-000001", JobKind::Array, 2, 1.0));
    harness.run(2_000);
    assert_eq!(harness.running_count(&id), 2);
    // Another order is sent to the machine, which does not respond to it.
    harness.submit(201, spec("req-000002", JobKind::Array, 1, 1.0));
    let mut ordered = false;
    for _ in 0..40 {
        harness.now += TICK_INTERVAL.0;
        harness.scheduler.tick(MonotonicTime(harness.now), WallTime(harness.now));
        ordered |= harness.scheduler.take_effects().iter().any(|effect| matches!(effect, Effect::Orders { .. }));
    }
    assert!(ordered);
    harness.scheduler.on_job_terminated(&id, JobOutcome::Cancelled);
    harness.send_heartbeat("w0");
    assert_eq!(harness.running_count(&id), 0);
    // If a heartbeat response with stop orders is lost, the next response repeats these orders.
    let stops =
        |response: &HeartbeatResponse| response.orders.iter().filter(|o| matches!(o, Order::Stop { .. })).count();
    let heartbeat = harness.workers.get_mut("w0").unwrap();
    for status in &mut heartbeat.tasks {
        (status.phase, status.cause) = (TaskPhase::Running, None);
    }
    heartbeat.sequence.0 += 1;
    assert_eq!(harness.scheduler.on_heartbeat(MonotonicTime(harness.now), heartbeat).as_ref().map(stops), Ok(2));
    // The response to a heartbeat that arrives after a newer message of the worker contains the stop orders as well.
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
fn tasks_of_a_suspected_machine_are_not_restarted_before_its_lease_expires() {
    let mut harness = SchedulerHarness::new(3);
    harness.run(2_000);
    let id = harness.submit(200, spec("req-000001", JobKind::Array, 2, 8.0));
    harness.run(3_000);
    harness.cloud_refuses_terminations = true;
    let silent = harness.first_busy_worker();
    harness.outbound_partitioned.insert(silent.clone());
    harness.run(9_000);
    assert_eq!(harness.running_count(&id), 2, "its task may still run, so it is not started again");
    // The agent epoch of the worker without heartbeats ends. Orders still reach the worker, but it rejects them,
    // because they are for the agent epoch that has ended.
    let worker = harness.workers.get_mut(&silent).unwrap();
    (worker.agent_epoch, worker.sequence) = (AgentEpoch(2), SequenceNumber(0));
    worker.tasks.clear();
    harness.run(4_000);
    assert_eq!(harness.running_count(&id), 2, "the task is started on the remaining machine");
    assert!(harness.workers[&silent].tasks.is_empty());
}

#[test]
fn quarantine_of_machines_that_failed_tasks_ends() {
    // Guards against failures of tasks that are held against a job or a machine forever: a gang whose tasks had failed
    // on two machines was permanently presumed to be at fault, and an array could never again use the only machines
    // that fit its tasks.
    let mut harness = SchedulerHarness::new(2);
    harness.run(2_000);
    let id = harness.submit(200, spec("req-000001", JobKind::Array, 4, 4.0));
    harness.run(2_000);
    assert_eq!(harness.running_count(&id), 4);
    for worker in harness.workers.values_mut() {
        let first = worker.tasks[0].clone();
        SchedulerHarness::exit_task(worker, first.task, first.attempt, ExitCause::Done);
        for status in worker.tasks.iter_mut().skip(1) {
            (status.phase, status.cause) = (TaskPhase::Exited, Some(ExitCause::Error));
        }
    }
    harness.run(5_000);
    assert_eq!(harness.running_count(&id), 0, "the machines are quarantined");
    harness.run(70_000);
    assert_eq!(harness.running_count(&id), 4 - harness.scheduler.jobs.live[&id].done_count as usize);
    let job = &harness.scheduler.jobs.live[&id];
    assert!(!job.is_at_fault(MonotonicTime(harness.now + 200_000)));
}
