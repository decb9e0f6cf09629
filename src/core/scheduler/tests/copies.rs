//! Tests that copies of orders that were carried out are harmless, however late they arrive.

use super::*;
use crate::core::machine::machine_key;

impl SchedulerHarness {
    /// Runs for `ms` milliseconds. After each step, checks that no worker would start a task if a copy of any earlier
    /// message with orders reached it now.
    fn run_with_copies(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.run(TICK_INTERVAL.0);
            self.check_copies_start_nothing();
        }
    }

    fn check_copies_start_nothing(&self) {
        for (endpoint, body) in &self.delivered_orders {
            let worker = &self.workers[endpoint];
            if body.token < worker.token || body.agent_epoch != worker.agent_epoch {
                continue;
            }
            let mut after_copy = worker.clone();
            SchedulerHarness::execute_orders(&mut after_copy, &body.orders);
            let started = after_copy.tasks.len() - worker.tasks.len();
            assert_eq!(started, 0, "a copy of {body:?} starts a task on {endpoint} at {} ms", self.now);
        }
    }

    /// Ticks the leader, whose other effects are performed, until it sends orders. Returns that effect, which is not
    /// performed.
    fn run_until_orders_are_sent(&mut self) -> Effect {
        loop {
            self.now += TICK_INTERVAL.0;
            self.tick();
            for effect in self.scheduler.take_effects() {
                if matches!(effect, Effect::Orders { .. }) {
                    return effect;
                }
                self.perform_effect(effect);
            }
        }
    }

    /// Makes the first task of the first busy worker exit for this cause, and returns the worker's endpoint.
    fn exit_task_of_busy_worker(&mut self, cause: ExitCause) -> String {
        let name = self.first_busy_worker();
        self.exit_first_task(&name, cause);
        name
    }
}

#[test]
fn copy_of_a_run_order_does_not_start_a_cleared_task_anew() {
    // Guards against `ran_twice` after a copy of a run order whose task was stopped, cleared, and started elsewhere.
    for cause in [ExitCause::Halted, ExitCause::Error, ExitCause::NoRoom] {
        let mut harness = SchedulerHarness::new(2);
        harness.run(2_000);
        let id = harness.submit(200, spec("req-000001", JobKind::Array, 1, 8.0));
        harness.run_with_copies(1_000);
        let first = harness.exit_task_of_busy_worker(cause);
        // With a notice of its reclamation the machine gets no more tasks, so that the task starts on the other one.
        harness.workers.get_mut(&first).unwrap().notice_s = Some(1_000.0);
        harness.run_with_copies(20_000);
        assert!(harness.workers[&first].tasks.is_empty(), "the exit is cleared, cause={cause:?}");
        assert_eq!(harness.running_count(&id), 1, "the task runs elsewhere, cause={cause:?}");
    }
}

#[test]
fn copy_of_a_run_order_does_not_start_a_done_task_anew() {
    let mut harness = SchedulerHarness::new(1);
    harness.run(2_000);
    harness.submit(200, spec("req-000001", JobKind::Array, 2, 8.0));
    for _ in 0..2 {
        harness.run_with_copies(3_000);
        harness.finish_first_task("w0");
    }
    harness.run_with_copies(5_000);
    assert!(harness.workers["w0"].tasks.is_empty(), "both done tasks are cleared");
}

#[test]
fn copy_of_a_run_order_of_an_earlier_leader_does_not_start_a_cleared_task_anew() {
    let mut harness = SchedulerHarness::new(2);
    harness.run(2_000);
    let id = harness.submit(200, spec("req-000001", JobKind::Array, 1, 8.0));
    harness.run_with_copies(1_000);
    let first = harness.exit_task_of_busy_worker(ExitCause::Halted);
    harness.change_leader();
    harness.run_with_copies(20_000);
    assert_eq!(harness.running_count(&id), 1);
    assert!(harness.workers[&first].tasks.iter().all(|status| status.phase != TaskPhase::Exited));
}

#[test]
fn fence_is_raised_only_for_clears_of_attempts_that_ran_under_it() {
    // A raise that nothing needs would use up fences for nothing.
    let mut harness = SchedulerHarness::new(1);
    harness.run(2_000);
    let token = harness.workers["w0"].token;
    harness.submit(200, spec("req-000001", JobKind::Array, 8, 1.0));
    harness.run_with_copies(1_000);
    assert_eq!(harness.workers["w0"].token, token, "run orders alone raise nothing");
    for _ in 0..8 {
        harness.exit_task_of_busy_worker(ExitCause::Done);
        harness.run_with_copies(3_000);
    }
    assert_eq!(harness.workers["w0"].token.0, token.0 + 1, "all eight ran under the same fence");
}

#[test]
fn fence_is_not_raised_while_orders_are_in_flight() {
    // Guards against a response with a higher token that overtakes orders in flight: the worker would refuse them.
    let mut harness = SchedulerHarness::new(1);
    harness.run(2_000);
    harness.submit(200, spec("req-000001", JobKind::Array, 1, 1.0));
    harness.run(1_000);
    harness.submit(201, spec("req-000002", JobKind::Array, 1, 1.0));
    let in_flight = harness.run_until_orders_are_sent();
    harness.exit_task_of_busy_worker(ExitCause::Halted);
    harness.send_heartbeat("w0");
    let Effect::Orders { body, .. } = &in_flight else { unreachable!("the effect sends orders") };
    assert_eq!(harness.workers["w0"].token, body.token);
    assert_eq!(harness.workers["w0"].tasks.len(), 1, "the clear order waits as well");
    let token = body.token;
    harness.perform_effect(in_flight);
    assert_eq!(harness.workers["w0"].tasks.len(), 2, "the worker has executed the orders");
    harness.send_heartbeat("w0");
    assert_eq!(harness.workers["w0"].tasks.len(), 1, "the exited task is cleared");
    assert!(harness.workers["w0"].token > token);
}

#[test]
fn clear_orders_go_with_responses_only() {
    // Guards against a direct message with a higher token that overtakes a response with a lower one: the worker would
    // drop the response, which then doesn't renew its lease.
    let mut harness = SchedulerHarness::new(1);
    harness.run(2_000);
    harness.submit(200, spec("req-000001", JobKind::Array, 1, 1.0));
    harness.run(1_000);
    harness.exit_task_of_busy_worker(ExitCause::Halted);
    harness.submit(201, spec("req-000002", JobKind::Array, 1, 1.0));
    // The answer to these orders lists the exited task.
    let orders = harness.run_until_orders_are_sent();
    harness.perform_effect(orders);
    harness.submit(202, spec("req-000003", JobKind::Array, 1, 1.0));
    let next_orders = harness.run_until_orders_are_sent();
    let Effect::Orders { body, .. } = &next_orders else { unreachable!("the effect sends orders") };
    assert!(!body.orders.iter().any(|order| matches!(order, Order::Clear { .. })), "{body:?}");
    harness.perform_effect(next_orders);
    harness.send_heartbeat("w0");
    assert!(harness.workers["w0"].tasks.iter().all(|status| status.phase == TaskPhase::Running), "it is cleared");
}

#[test]
fn clears_wait_for_a_refresh_of_the_fence_revision_when_fences_run_out() {
    let mut harness = SchedulerHarness::new(1);
    harness.run(2_000);
    let id = MachineId::parse("m-000000").unwrap();
    let max_fence = FencingToken::max_fence(TERM, harness.scheduler.fence_revision());
    harness.scheduler.machines.known.get_mut(&id).unwrap().fence = max_fence - 100;
    harness.run(1_000);
    let job = harness.submit(200, spec("req-000001", JobKind::Array, 1, 8.0));
    harness.run_with_copies(1_000);
    harness.unanswered_transactions = Some(Vec::new());
    harness.exit_task_of_busy_worker(ExitCause::Halted);
    let is_exited = |status: &&TaskStatus| status.phase == TaskPhase::Exited;
    let exited_count = |harness: &SchedulerHarness| harness.workers["w0"].tasks.iter().filter(is_exited).count();
    harness.run_with_copies(5_000);
    assert_eq!(exited_count(&harness), 1, "no fence is left for the clear order, and the store doesn't answer");
    harness.unanswered_transactions = None;
    harness.run_with_copies(5_000);
    assert_eq!(exited_count(&harness), 0, "the refreshed fence revision allows higher fences");
    assert_eq!(harness.running_count(&job), 1);
    assert!(!harness.scheduler.machines.known[&id].retiring, "the machine stays in use");
    let token = harness.workers["w0"].token;
    assert!(token < FencingToken::new(Term(harness.scheduler.fence_revision().0 + 1), 0), "below any later leader's");
}

#[test]
fn copy_of_a_machine_record_only_delays_the_next_leader() {
    let mut harness = SchedulerHarness::new(1);
    let key = machine_key(&MachineId::parse("m-000001").unwrap());
    let registration = {
        let mut heartbeat = SchedulerHarness::idle_heartbeat(1);
        heartbeat.sequence = SequenceNumber(1);
        harness.workers.insert("w1".into(), heartbeat);
        harness.run(3_000);
        let is_registration = |transaction: &&Transaction| {
            transaction
                .mutations
                .iter()
                .any(|mutation| matches!(mutation, Mutation::Put { key: put, .. } if *put == key))
        };
        harness.committed.iter().find(is_registration).expect("m-000001 is registered").clone()
    };
    harness.workers.remove("w1");
    harness.run(15_000);
    assert!(harness.terminated.contains("m-000001"));
    assert!(!harness.store.contains_key(&key), "the record is deleted");
    harness.commit(registration);
    harness.terminated.clear();
    let job = harness.submit(200, spec("req-000001", JobKind::Array, 1, 8.0));
    harness.change_leader();
    harness.run(20_000);
    assert!(harness.terminated.contains("m-000001"), "the machine that isn't there is terminated again");
    assert!(!harness.store.contains_key(&key));
    assert_eq!(harness.running_count(&job), 1, "the job runs");
}
