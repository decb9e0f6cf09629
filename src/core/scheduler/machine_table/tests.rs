use super::*;

fn id(number: usize) -> MachineId {
    MachineId::parse(&format!("m-{number:06}")).unwrap()
}

#[test]
fn machine_table_remembers_terminated_machines_up_to_its_limit() {
    let mut table = MachineTable::new(MonotonicTime(0));
    table.known.insert(id(0), Machine::new(String::new(), 0, 0, false, MonotonicTime(0)));
    for number in 0..=MAX_TERMINATED_REMEMBERED {
        table.remove_terminated(&id(number));
    }
    assert!(table.known.is_empty());
    assert!(table.is_terminated(&id(0)));
    table.trim_terminated();
    assert!(!table.is_terminated(&id(0)));
    assert!(table.is_terminated(&id(1)) && table.is_terminated(&id(MAX_TERMINATED_REMEMBERED)));
}

#[test]
fn machine_table_keeps_when_a_missing_first_heartbeat_was_first_seen() {
    let mut table = MachineTable::new(MonotonicTime(0));
    assert_eq!(table.awaiting_first_heartbeat_since(&id(1), MonotonicTime(10)), MonotonicTime(10));
    assert_eq!(table.awaiting_first_heartbeat_since(&id(1), MonotonicTime(20)), MonotonicTime(10));
    table.stop_awaiting_first_heartbeat(&id(1));
    assert_eq!(table.awaiting_first_heartbeat_since(&id(1), MonotonicTime(30)), MonotonicTime(30));
}

#[test]
fn machine_table_take_due_review_is_true_once_per_interval() {
    let mut table = MachineTable::new(MonotonicTime(0));
    assert!(!table.take_due_review(MonotonicTime(REVIEW_INTERVAL.0 - 1)));
    assert!(table.take_due_review(MonotonicTime(REVIEW_INTERVAL.0)));
    assert!(!table.take_due_review(MonotonicTime(REVIEW_INTERVAL.0 + 1)));
}
