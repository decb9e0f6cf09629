//! The orders for a machine's worker that have not been sent yet.

use crate::core::allocation::TaskAttempt;
use crate::ids::{Attempt, TaskId};
use crate::wire::Order;
use std::collections::{BTreeMap, HashMap};

/// Identifies an order among those of the same verb: its task and attempt, and for stop orders the bits of the leeway.
type OrderKey = (TaskId, Attempt, u64);

/// Orders of one verb, oldest first and each of them once. Looking up, adding or removing an order takes about the same
/// time however many orders are queued.
#[derive(Default)]
struct OrderQueue {
    orders: BTreeMap<u64, Order>,
    positions: HashMap<OrderKey, u64>,
    next_position: u64,
}

impl OrderQueue {
    fn push(&mut self, key: OrderKey, order: Order) {
        if self.positions.contains_key(&key) {
            return;
        }
        self.positions.insert(key, self.next_position);
        self.orders.insert(self.next_position, order);
        self.next_position += 1;
    }

    fn remove(&mut self, key: &OrderKey) -> bool {
        let Some(position) = self.positions.remove(key) else { return false };
        self.orders.remove(&position).is_some()
    }

    fn take(&mut self, limit: usize) -> Vec<Order> {
        let mut taken = Vec::new();
        while taken.len() < limit
            && let Some((_, order)) = self.orders.pop_first()
        {
            self.positions.remove(&key_of(&order));
            taken.push(order);
        }
        taken
    }

    fn clear(&mut self) {
        self.orders.clear();
        self.positions.clear();
    }
}

fn key_of(order: &Order) -> OrderKey {
    match order {
        Order::Run { task, attempt } | Order::Clear { task, attempt } => (*task, *attempt, 0),
        Order::Stop { task, attempt, leeway_s } => (*task, *attempt, leeway_s.to_bits()),
    }
}

/// The orders for a machine's worker that have not been sent yet.
#[derive(Default)]
pub struct Outbox {
    stops: OrderQueue,
    runs: OrderQueue,
    clears: OrderQueue,
}

impl Outbox {
    /// Adds an order, unless the same order is queued already.
    pub fn push(&mut self, order: Order) {
        let queue = match &order {
            Order::Run { .. } => &mut self.runs,
            Order::Stop { .. } => &mut self.stops,
            Order::Clear { .. } => &mut self.clears,
        };
        queue.push(key_of(&order), order);
    }

    /// Whether no order is queued.
    pub fn is_empty(&self) -> bool {
        !self.has_direct_orders() && self.clears.orders.is_empty()
    }

    /// Whether a run or stop order is queued. Clear orders aren't sent directly: they go with responses to heartbeats.
    pub fn has_direct_orders(&self) -> bool {
        !(self.stops.orders.is_empty() && self.runs.orders.is_empty())
    }

    /// The task attempts that the queued run orders start, oldest order first.
    pub fn runs(&self) -> Vec<TaskAttempt> {
        self.runs.orders.values().map(attempt_of).collect()
    }

    /// The task attempts that the queued clear orders are for, oldest order first.
    pub fn clears(&self) -> impl Iterator<Item = TaskAttempt> {
        self.clears.orders.values().map(attempt_of)
    }

    /// Removes the run order of a task attempt. Returns whether it was queued.
    pub fn remove_run(&mut self, (task, attempt): &TaskAttempt) -> bool {
        self.runs.remove(&(*task, *attempt, 0))
    }

    /// Removes all stop orders.
    pub fn discard_stops(&mut self) {
        self.stops.clear();
    }

    /// Removes all orders.
    pub fn clear(&mut self) {
        self.stops.clear();
        self.runs.clear();
        self.clears.clear();
    }

    /// Removes the orders of the next direct message, at most `limit` of them: stop orders, which free capacity, and
    /// then run orders.
    pub fn take_direct_orders(&mut self, limit: usize) -> Vec<Order> {
        let mut orders = self.stops.take(limit);
        orders.extend(self.runs.take(limit - orders.len()));
        orders
    }

    /// Removes clear orders, at most `limit` of them.
    pub fn take_clears(&mut self, limit: usize) -> Vec<Order> {
        self.clears.take(limit)
    }
}

fn attempt_of(order: &Order) -> TaskAttempt {
    match order {
        Order::Run { task, attempt } | Order::Stop { task, attempt, .. } | Order::Clear { task, attempt } => {
            (*task, *attempt)
        }
    }
}

#[cfg(test)]
mod tests;
