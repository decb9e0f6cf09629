//! Messages with orders whose result isn't known yet.

use crate::core::machine::TaskAttempt;
use crate::ids::{MachineId, RequestId};
use std::collections::HashMap;

/// A message with orders that was sent to one worker.
pub(super) struct SentOrders {
    /// The machine whose worker the message was sent to.
    pub(super) machine: MachineId,
    /// The task attempts that the run orders in the message start.
    pub(super) runs: Vec<TaskAttempt>,
}

/// Sent orders whose result isn't known, by request number.
#[derive(Default)]
pub(super) struct OutstandingOrders {
    by_request: HashMap<RequestId, SentOrders>,
}

impl OutstandingOrders {
    /// Number of messages without a result.
    pub(super) fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Records orders that are sent under this request number.
    pub(super) fn insert(&mut self, request: RequestId, orders: SentOrders) {
        self.by_request.insert(request, orders);
    }

    /// Removes and returns the orders that a result belongs to. Returns `None` if the request isn't one for orders
    /// or its result was already processed.
    pub(super) fn take(&mut self, request: RequestId) -> Option<SentOrders> {
        self.by_request.remove(&request)
    }
}

#[cfg(test)]
mod tests;
