use super::*;

#[test]
fn outstanding_orders_return_each_request_once() {
    let machine = MachineId::parse("m-000001").unwrap();
    let mut orders = OutstandingOrders::default();
    orders.insert(RequestId(7), SentOrders { machine: machine.clone(), runs: Vec::new() });
    assert_eq!(orders.len(), 1);
    assert!(orders.take(RequestId(6)).is_none(), "a request that was never sent");
    assert_eq!(orders.take(RequestId(7)).map(|sent| sent.machine), Some(machine));
    assert!(orders.take(RequestId(7)).is_none(), "a second result");
    assert_eq!(orders.len(), 0);
}
