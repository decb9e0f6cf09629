use super::*;
use crate::ids::JobId;

fn attempt(index: u32) -> TaskAttempt {
    (TaskId { job: JobId::parse("req-000001").unwrap(), index }, Attempt(1))
}

fn run(index: u32) -> Order {
    let (task, attempt) = attempt(index);
    Order::Run { task, attempt }
}

fn stop(index: u32, leeway_s: f64) -> Order {
    let (task, attempt) = attempt(index);
    Order::Stop { task, attempt, leeway_s }
}

fn clear(index: u32) -> Order {
    let (task, attempt) = attempt(index);
    Order::Clear { task, attempt }
}

#[test]
fn direct_messages_hold_stops_before_runs_and_no_clears() {
    let mut outbox = Outbox::default();
    [run(1), clear(5), stop(2, 1.0), run(3), stop(4, 0.0)].into_iter().for_each(|order| outbox.push(order));
    assert_eq!(outbox.take_direct_orders(3), [stop(2, 1.0), stop(4, 0.0), run(1)]);
    outbox.push(stop(6, 0.0));
    assert_eq!(outbox.take_direct_orders(3), [stop(6, 0.0), run(3)]);
    assert!(!outbox.has_direct_orders() && !outbox.is_empty());
    assert_eq!(outbox.take_clears(1), [clear(5)]);
    assert!(outbox.is_empty());
}

#[test]
fn equal_orders_are_queued_once_until_they_are_taken() {
    let mut outbox = Outbox::default();
    [stop(1, 2.0), stop(1, 2.0), stop(1, 0.0), run(1), run(1)].into_iter().for_each(|order| outbox.push(order));
    assert_eq!(outbox.take_direct_orders(9), [stop(1, 2.0), stop(1, 0.0), run(1)]);
    outbox.push(run(1));
    assert!(outbox.remove_run(&attempt(1)) && !outbox.remove_run(&attempt(1)));
    assert!(outbox.is_empty());
}
