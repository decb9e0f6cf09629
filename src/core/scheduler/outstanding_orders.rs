//! The messages with orders that workers haven't answered yet.

use crate::core::machine::TaskAttempt;
use crate::ids::{MachineId, RequestId};
use std::collections::HashMap;

/// What was sent to one worker in one message.
pub(super) struct SentOrders {
    /// The machine that it was sent to.
    pub(super) machine: MachineId,
    /// The task attempts that it orders to run.
    pub(super) runs: Vec<TaskAttempt>,
}

/// Orders whose result isn't known, by request.
#[derive(Default)]
pub(super) struct OutstandingOrders {
    by_request: HashMap<RequestId, SentOrders>,
}

impl OutstandingOrders {
    /// How many messages are unanswered.
    pub(super) fn len(&self) -> usize {
        self.by_request.len()
    }

    /// A message is sent as `request`.
    pub(super) fn sent(&mut self, request: RequestId, orders: SentOrders) {
        self.by_request.insert(request, orders);
    }

    /// The result of a request has come; none: it was of no request for orders, or has come before.
    pub(super) fn take(&mut self, request: RequestId) -> Option<SentOrders> {
        self.by_request.remove(&request)
    }
}

#[cfg(test)]
mod tests;
