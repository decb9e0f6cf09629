//! Orders to workers: sending the machines' outboxes, processing the results, and stopping tasks and draining
//! machines.

use super::Scheduler;
use super::effects::{Effect, OrdersResult};
use super::outstanding_orders::SentOrders;
use crate::core::machine::{Machine, PendingRun, TaskAttempt};
use crate::ids::{JobId, MachineId, RequestId};
use crate::time::MonotonicTime;
use crate::wire::{DirectOrders, JobKind, Order};
use log::debug;
use std::collections::BTreeSet;

/// Maximum number of orders in one message, which may be 64 KiB at most.
pub(super) const MAX_ORDERS_PER_MESSAGE: usize = 500;

/// Seconds that a stopped task gets in addition to the time that its job takes to save a checkpoint.
const SAVE_LEEWAY_MARGIN_S: f64 = 0.5;

/// When the cloud announces that it will reclaim a spot machine, a task keeps running if it is expected to end within
/// this fraction of the announced time.
const DRAIN_FRACTION: f64 = 0.7;

impl Scheduler {
    /// Processes the result of an [`Effect::Orders`] with this request number. Results of unknown requests are
    /// ignored.
    pub fn on_orders_result(&mut self, now: MonotonicTime, request: RequestId, result: OrdersResult) {
        let Some(SentOrders { machine: id, runs }) = self.orders.take(request) else { return };
        let Some(machine) = self.machines.known.get_mut(&id) else { return };
        if machine.orders_in_flight == Some(request) {
            machine.orders_in_flight = None;
        }
        match result {
            OrdersResult::Executed(heartbeat) => {
                for key in &runs {
                    if let Some(run) = machine.allocations.get_mut(key).and_then(|a| a.pending_run.as_mut()) {
                        *run = PendingRun::Answered;
                    }
                }
                self.apply_heartbeat(now, &id, &heartbeat);
            }
            OrdersResult::Rejected(heartbeat) => {
                // None of the orders was executed, nor will be.
                self.remove_lost_tasks(&id, runs, false);
                self.apply_heartbeat(now, &id, &heartbeat);
            }
            OrdersResult::Unknown => self.raise_fence_for_unanswered_orders(&id),
        }
        self.flush_machine(&id);
    }

    /// Stops a task, or its whole gang, with a grace period for saving a checkpoint if the job writes checkpoints.
    pub(super) fn stop_task(&mut self, id: &MachineId, key: &TaskAttempt) {
        let Some(job) = self.jobs.live.get(&key.0.job) else { return };
        let leeway_s = if job.writes_checkpoints() { job.spec.checkpoint_save_s + SAVE_LEEWAY_MARGIN_S } else { 0.0 };
        if job.spec.kind == JobKind::Gang {
            self.end_gang_start(&key.0.job);
            self.stop_placed_tasks(&key.0.job, leeway_s);
        } else if let Some(machine) = self.machines.known.get_mut(id) {
            stop_allocation(machine, key, leeway_s);
        }
    }

    /// Stops tasks of a machine, each with its whole gang, with a grace period for saving a checkpoint.
    pub(super) fn stop_tasks(&mut self, id: &MachineId, keys: &[TaskAttempt]) {
        let mut stopped_gangs: BTreeSet<JobId> = BTreeSet::new();
        for key in keys {
            let job = &key.0.job;
            let is_gang = self.jobs.live.get(job).is_some_and(|job| job.spec.kind == JobKind::Gang);
            if !is_gang || stopped_gangs.insert(*job) {
                self.stop_task(id, key);
            }
        }
    }

    /// Queues orders to stop all tasks of a job that may be on machines. Returns the machines that have orders to send.
    pub(super) fn stop_placed_tasks(&mut self, id: &JobId, leeway_s: f64) -> BTreeSet<MachineId> {
        if let Some(job) = self.jobs.live.get(id) {
            self.pending_stops.add_placed_tasks(id, job, leeway_s);
        }
        self.queue_pending_stops()
    }

    /// Drains a machine that the cloud reclaims in `notice_s` seconds: services, and tasks that are not expected
    /// to end in time, are stopped so that they can save a checkpoint and restart elsewhere.
    pub(super) fn drain(&mut self, now: MonotonicTime, id: &MachineId, notice_s: f64) {
        let Some(machine) = self.machines.known.get(id) else { return };
        let evicted: Vec<TaskAttempt> = machine
            .allocations
            .iter()
            .filter(|(_, allocation)| !allocation.has_exited() && allocation.stop_leeway_s.is_none())
            .filter(|((task, _), allocation)| {
                let ran_s = allocation.running_since.map(|since| (now - since).as_secs_f64());
                let remaining_s = ran_s.map_or(f64::INFINITY, |ran_s| allocation.run_s - ran_s);
                let is_service = self.jobs.live.get(&task.job).is_some_and(|job| job.spec.kind == JobKind::Service);
                is_service || remaining_s > notice_s * DRAIN_FRACTION
            })
            .map(|(key, _)| *key)
            .collect();
        self.stop_tasks(id, &evicted);
    }

    /// Sends the outboxes of all machines that have no orders in flight.
    pub(super) fn flush_orders(&mut self) {
        self.meter.add_machines(self.machines.known.len());
        let has_unsent = |machine: &Machine| !machine.outbox.is_empty() && machine.orders_in_flight.is_none();
        let ids: Vec<MachineId> =
            self.machines.known.iter().filter(|(_, machine)| has_unsent(machine)).map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.flush_machine(&id);
        }
    }

    /// Sends one machine's outbox, if the machine may get orders now. The processing of a heartbeat calls this method
    /// instead of [`Scheduler::flush_orders`], as heartbeats are too frequent to iterate over all machines for each.
    pub(super) fn flush_machine(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.known.get_mut(id) else { return };
        if machine.outbox.is_empty() || machine.orders_in_flight.is_some() || machine.awaits_fence_ack || !machine.up {
            return;
        }
        if machine.retiring {
            // A retiring machine gets no new tasks, but stop orders are still sent, as its termination may take long.
            let unsent_runs: Vec<TaskAttempt> = machine.outbox.runs();
            self.remove_lost_tasks(id, unsent_runs, false);
        }
        self.stop_ended_tasks(id);
        let Some(machine) = self.machines.known.get_mut(id) else { return };
        // Clear orders wait for the response to the next heartbeat, where the fence may be raised for them: a direct
        // message with a higher token could overtake a response with a lower one, which the worker would then drop
        // without renewing its lease.
        if !machine.outbox.has_direct_orders() {
            return;
        }
        let orders = machine.outbox.take_direct_orders(MAX_ORDERS_PER_MESSAGE);
        let token = machine.token(self.term);
        let runs = runs_in(&orders);
        for key in &runs {
            if let Some(allocation) = machine.allocations.get_mut(key) {
                allocation.pending_run = Some(PendingRun::Unanswered);
                allocation.run_token = token;
            }
        }
        self.last_request.0 += 1;
        let request = self.last_request;
        machine.orders_in_flight = Some(request);
        self.orders.insert(request, SentOrders { machine: id.clone(), runs });
        debug!("machine {id}: orders sent, request={request} token={token} orders={}", describe_orders(&orders));
        let body = DirectOrders { token, agent_epoch: machine.agent_epoch, orders };
        self.effects.push(Effect::Orders { request, endpoint: machine.endpoint.clone(), body });
    }
}

/// The orders of a message for the log.
pub(super) fn describe_orders(orders: &[Order]) -> String {
    let describe = |order: &Order| match order {
        Order::Run { task, attempt } => format!("run {task} attempt={attempt}"),
        Order::Stop { task, attempt, leeway_s } => format!("stop {task} attempt={attempt} leeway_s={leeway_s}"),
        Order::Clear { task, attempt } => format!("clear {task} attempt={attempt}"),
    };
    let described: Vec<String> = orders.iter().map(describe).collect();
    format!("[{}]", described.join(", "))
}

/// The task attempts that the run orders in `orders` start, in the same sequence.
fn runs_in(orders: &[Order]) -> Vec<TaskAttempt> {
    let run = |order: &Order| match order {
        Order::Run { task, attempt } => Some((*task, *attempt)),
        Order::Stop { .. } | Order::Clear { .. } => None,
    };
    orders.iter().filter_map(run).collect()
}

/// Queues an order to stop a task with a grace period of `leeway_s` seconds. The allocation stays until it is proven
/// that the task doesn't run any more.
pub(super) fn stop_allocation(machine: &mut Machine, key: &TaskAttempt, leeway_s: f64) {
    let Some(allocation) = machine.allocations.get_mut(key) else { return };
    if allocation.has_exited() {
        return;
    }
    allocation.stop_leeway_s = Some(allocation.stop_leeway_s.map_or(leeway_s, |earlier_s| earlier_s.min(leeway_s)));
    if machine.outbox.remove_run(key) {
        // The run order hasn't been sent, so it is removed from the outbox. The allocation's pending run is marked as
        // answered, so that the allocation is removed when the next heartbeat doesn't list the task.
        allocation.pending_run = Some(PendingRun::Answered);
        return;
    }
    machine.outbox.push(Order::Stop { task: key.0, attempt: key.1, leeway_s });
}
