use super::*;
use crate::config::{Tuning, sample_settings};
use crate::core::election::LeaderRecord;
use crate::ids::SequenceNumber;
use crate::ids::{AgentEpoch, Attempt, LeaseId, TaskId};
use crate::time::Millis;
use crate::wire::Order;

const TERM: Term = Term(5);

fn scheduler() -> Scheduler {
    let machine_type = serde_json::from_value(serde_json::json!({
        "sku": "small", "cores": 8.0, "ram_gb": 32.0, "price": 1.0, "market_price": 1.0, "quays": ["a"],
    }))
    .unwrap();
    let record = LeaderRecord { node: "plinth-0".into(), incarnation: 1, lease: LeaseId(7) };
    Scheduler::new(sample_settings(), Tuning::default(), vec![machine_type], TERM, record, MonotonicTime(0))
}

/// The first heartbeat of a machine that has never been sent an order.
fn first_heartbeat() -> Heartbeat {
    Heartbeat {
        machine: "m-000001".into(),
        endpoint: "worker".into(),
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch: AgentEpoch(1),
        sequence: SequenceNumber(1),
        token: FencingToken::NONE,
        notice_s: None,
        tasks: Vec::new(),
    }
}

#[test]
fn on_heartbeat_answers_a_new_machine_with_the_terms_token() {
    let response = scheduler().on_heartbeat(MonotonicTime(10), &first_heartbeat());
    assert_eq!(response, Ok(HeartbeatResponse { token: FencingToken::new(TERM, 0), orders: Vec::new() }));
}

#[test]
fn on_heartbeat_rejects_machines_that_cannot_be_added() {
    let listed = TaskStatus {
        task: TaskId::parse("req-000001/0"),
        attempt: Attempt(1),
        phase: TaskPhase::Running,
        cause: None,
        progress_saved: None,
    };
    let unknown = HeartbeatRejection::UnknownPool { kind: "other".into(), zone: "a".into() };
    let cases = [
        (Heartbeat { machine: "m/1".into(), ..first_heartbeat() }, HeartbeatRejection::MalformedName),
        (Heartbeat { machine_type: "other".into(), ..first_heartbeat() }, unknown),
        (Heartbeat { tasks: vec![listed], ..first_heartbeat() }, HeartbeatRejection::NoRecord { tasks: 1 }),
    ];
    for (heartbeat, expected) in cases {
        let mut scheduler = scheduler();
        assert_eq!(scheduler.on_heartbeat(MonotonicTime(10), &heartbeat), Err(expected));
        assert!(scheduler.machines.known.is_empty());
    }
}

#[test]
fn on_heartbeat_rejects_duplicates_and_terminated_machines() {
    let mut scheduler = scheduler();
    let mut heartbeat = first_heartbeat();
    assert!(scheduler.on_heartbeat(MonotonicTime(10), &heartbeat).is_ok());
    let duplicate = scheduler.on_heartbeat(MonotonicTime(20), &heartbeat);
    assert_eq!(duplicate, Err(HeartbeatRejection::Superseded));
    scheduler.on_terminated(MonotonicTime(30), &[MachineId::parse("m-000001").unwrap()], true);
    heartbeat.sequence.0 += 1;
    let terminated = scheduler.on_heartbeat(MonotonicTime(40), &heartbeat);
    assert_eq!(terminated, Err(HeartbeatRejection::Terminated));
}

#[test]
fn on_heartbeat_rejects_a_worker_that_has_not_acknowledged_its_token_for_a_lease() {
    let mut scheduler = scheduler();
    let lease = scheduler.limits.lease;
    let mut send = |after: Millis, token| {
        let mut heartbeat = Heartbeat { token, ..first_heartbeat() };
        heartbeat.sequence.0 += after.0;
        scheduler.on_heartbeat(MonotonicTime(10) + after, &heartbeat).map(|response| response.token)
    };
    let current = FencingToken::new(TERM, 0);
    assert_eq!(send(Millis(0), FencingToken::NONE), Ok(current));
    assert_eq!(send(lease, FencingToken::NONE), Ok(current));
    assert_eq!(send(lease + Millis(1), FencingToken::NONE), Err(HeartbeatRejection::UnacknowledgedToken));
    assert_eq!(send(lease + Millis(2), current), Ok(current));
}

/// A machine with more tasks than a message has orders for lost its lease, and with it the tasks of all users.
#[test]
fn response_carries_all_due_stops_however_many() {
    let running = |index| TaskStatus {
        task: TaskId::parse(&format!("req-000001/{index}")),
        attempt: Attempt(1),
        phase: TaskPhase::Running,
        cause: None,
        progress_saved: None,
    };
    for tasks in [MAX_ORDERS_PER_MESSAGE, MAX_ORDERS_PER_MESSAGE + 1, 7_000] {
        let mut scheduler = scheduler();
        let mut heartbeat = first_heartbeat();
        assert!(scheduler.on_heartbeat(MonotonicTime(10), &heartbeat).is_ok());
        heartbeat.sequence.0 += 1;
        // The job isn't live, so each of its tasks has to be stopped.
        heartbeat.tasks = (0..tasks).map(running).collect();
        let response = scheduler.on_heartbeat(MonotonicTime(20), &heartbeat).expect("the lease is renewed");
        let stopped = response.orders.iter().filter_map(|order| match order {
            Order::Stop { task, .. } => Some(task.index as usize),
            Order::Run { .. } | Order::Clear { .. } => None,
        });
        assert!(stopped.eq(0..tasks), "each task gets its stop");
        let machine = &scheduler.machines.known[&MachineId::parse(&heartbeat.machine).unwrap()];
        assert_eq!(machine.last_heartbeat_at, MonotonicTime(20));
    }
}
