use super::*;
use crate::ids::TaskId;
use crate::wire::Order;

const TIMEOUT: Millis = Millis(20_000);

fn machine_that_is_up() -> Machine {
    let mut machine = Machine::new(String::new(), 0, 0, false, MonotonicTime(0));
    machine.up = true;
    machine
}

#[test]
fn review_idleness_measures_from_the_first_review_that_finds_no_tasks() {
    let mut machine = machine_that_is_up();
    assert!(!review_idleness(&mut machine, MonotonicTime(1_000), TIMEOUT));
    assert!(!review_idleness(&mut machine, MonotonicTime(21_000), TIMEOUT));
    assert!(review_idleness(&mut machine, MonotonicTime(21_001), TIMEOUT));
}

#[test]
fn review_idleness_is_false_for_machines_that_may_have_or_get_tasks() {
    let after = MonotonicTime(60_000);
    let attempt = crate::ids::Attempt(1);
    let task = TaskId::parse("req-000001/0").unwrap();
    type Change = fn(&mut Machine, Order);
    let cases: [(&str, Change); 5] = [
        ("unreconciled", |machine, _| machine.reconciled = false),
        ("not up", |machine, _| machine.up = false),
        ("already retiring", |machine, _| machine.retiring = true),
        ("orders queued", |machine, order| machine.outbox.push(order)),
        ("orders in flight", |machine, _| machine.orders_in_flight = Some(crate::ids::RequestId(1))),
    ];
    for (case, change) in cases {
        let mut machine = machine_that_is_up();
        machine.idle_since = Some(MonotonicTime(0));
        change(&mut machine, Order::Clear { task, attempt });
        assert!(!review_idleness(&mut machine, after, TIMEOUT), "{case}");
    }
}

#[test]
fn is_termination_due_for_a_retiring_machine_without_a_request_in_flight() {
    let mut machine = machine_that_is_up();
    assert!(!is_termination_due(&machine, MonotonicTime(0)));
    machine.retiring = true;
    assert!(is_termination_due(&machine, MonotonicTime(0)));
    machine.terminate_after = MonotonicTime(1_000);
    assert!(!is_termination_due(&machine, MonotonicTime(999)) && is_termination_due(&machine, MonotonicTime(1_000)));
    machine.termination_in_flight = true;
    assert!(!is_termination_due(&machine, MonotonicTime(1_000)));
}
