//! What the scheduler has its edges carry out, and what they say came of it.

use crate::ids::{JobId, MachineId, RequestId};
use crate::peer::PlanInput;
use crate::wire::{DirectOrders, Heartbeat, ProvisionRequest, Transaction};
use std::sync::Arc;

/// What the edges must carry out for the scheduler. All effects are taken in order by
/// [`Scheduler::take_effects`](super::Scheduler::take_effects); each result is an input of its own.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends orders to a worker; the result goes to `Scheduler::on_orders_result`.
    Orders {
        /// Number that the result comes back under.
        request: RequestId,
        /// Where the worker takes orders.
        endpoint: String,
        /// The message.
        body: DirectOrders,
    },
    /// Sends a transaction to the key-value store; the result goes to `Scheduler::on_committed`.
    Commit {
        /// Number that the result comes back under.
        request: RequestId,
        /// What is written, and on which preconditions.
        transaction: Transaction,
    },
    /// Writes the leader's key again; its new revision goes to `Scheduler::on_fence_refreshed`.
    RefreshFence(Transaction),
    /// Asks the cloud for machines; the result goes to `Scheduler::on_provisioned`.
    Provision(ProvisionRequest),
    /// Has the cloud terminate machines.
    Terminate(Vec<MachineId>),
    /// Reads how these jobs have ended; the result goes to `Scheduler::on_looked_up`.
    LookUp(Vec<JobId>),
    /// Has a peer plan its shard; the result goes to `Scheduler::on_plan`.
    Plan {
        /// Name of the controller.
        node: String,
        /// What it plans on.
        input: Arc<PlanInput>,
    },
}

/// What came of an [`Effect::Orders`].
#[derive(Clone, Debug)]
pub enum OrdersResult {
    /// The worker has executed the orders; its heartbeat shows the tasks after them.
    Executed(Heartbeat),
    /// The worker has executed none of the orders, nor will it.
    Rejected(Heartbeat),
    /// Perhaps executed, perhaps yet to be.
    Unknown,
}

/// What came of an [`Effect::Commit`].
#[derive(Clone, Debug, PartialEq)]
pub enum CommitOutcome {
    /// All mutations were carried out.
    Committed,
    /// Nothing was carried out: the preconditions on these keys didn't hold.
    Conflict(Vec<String>),
    /// Not carried out, nor will it be.
    Rejected,
    /// Perhaps carried out, perhaps yet to be.
    Unknown,
}

impl CommitOutcome {
    /// Whether the transaction failed as the precondition on this key didn't hold.
    pub fn conflicts_on(&self, key: &str) -> bool {
        matches!(self, CommitOutcome::Conflict(failed) if failed.iter().any(|failed| failed == key))
    }
}

/// What came of an [`Effect::Provision`].
#[derive(Clone, Debug, PartialEq)]
pub enum ProvisionOutcome {
    /// The cloud provisions these machines.
    Provisioned(Vec<String>),
    /// The instance pool has no capacity left.
    NoCapacity,
    /// Refused for good: the request itself was wrong.
    Malformed,
    /// Perhaps carried out.
    Unknown,
}
