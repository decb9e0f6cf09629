//! Effects: the operations that the scheduler requests from the I/O code around it, and their results.

use crate::ids::{JobId, MachineId, RequestId, Revision};
use crate::peer::PlanInput;
use crate::wire::{DirectOrders, Heartbeat, ProvisionRequest, Transaction};
use std::sync::Arc;

/// An operation that the caller must carry out for the scheduler. Effects are handed out in order by
/// [`Scheduler::take_effects`](super::Scheduler::take_effects). Each result is passed back in a separate call.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends orders to a worker; the result goes to `Scheduler::on_orders_result`.
    Orders {
        /// Request number that identifies the result.
        request: RequestId,
        /// Address at which the worker accepts orders.
        endpoint: String,
        /// The message to send.
        body: DirectOrders,
    },
    /// Sends a transaction to the key-value store; the result goes to `Scheduler::on_committed`.
    Commit {
        /// Request number that identifies the result.
        request: RequestId,
        /// The mutations and their preconditions.
        transaction: Transaction,
    },
    /// Rewrites the leader's key to get a new fence revision, which goes to `Scheduler::on_fence_refreshed`.
    RefreshFence(Transaction),
    /// Provisions machines in the cloud; the result goes to `Scheduler::on_provisioned`.
    Provision(ProvisionRequest),
    /// Terminates machines in the cloud; the result goes to `Scheduler::on_terminated`.
    Terminate(Vec<MachineId>),
    /// Reads the outcomes of these jobs from the key-value store; the result goes to
    /// `Scheduler::on_outcomes_looked_up`.
    LookUpOutcomes(Vec<JobId>),
    /// Asks a peer to plan for the teams of its shard; the result goes to `Scheduler::on_plan`.
    Plan {
        /// Name of the peer.
        node: String,
        /// The view of the cluster state that the peer plans on.
        input: Arc<PlanInput>,
    },
}

/// Result of an [`Effect::Orders`].
#[derive(Clone, Debug)]
pub enum OrdersResult {
    /// The worker has executed the orders. Its answer has the form of a heartbeat, and lists the worker's tasks as they
    /// are after the orders.
    Executed(Heartbeat),
    /// The worker has refused the orders: it has executed none of them, nor will it.
    Rejected(Heartbeat),
    /// The outcome is unknown: the orders may have been executed, or may still be.
    Unknown,
}

/// Result of an [`Effect::Commit`].
#[derive(Clone, Debug, PartialEq)]
pub enum CommitOutcome {
    /// All mutations were applied, in a transaction of this revision.
    Committed(Revision),
    /// Nothing was applied: the preconditions on these keys didn't hold.
    Conflict(Vec<String>),
    /// The store refused the transaction: nothing was applied, nor will it be.
    Rejected,
    /// The outcome is unknown: the transaction may have been applied, or may still be.
    Unknown,
}

impl CommitOutcome {
    /// Whether all mutations were applied.
    pub fn is_committed(&self) -> bool {
        matches!(self, CommitOutcome::Committed(_))
    }

    /// Whether the transaction failed because the precondition on this key didn't hold.
    pub fn conflicts_on(&self, key: &str) -> bool {
        matches!(self, CommitOutcome::Conflict(failed) if failed.iter().any(|failed| failed == key))
    }
}

/// Result of an [`Effect::Provision`].
#[derive(Clone, Debug, PartialEq)]
pub enum ProvisionOutcome {
    /// The cloud is provisioning machines with these names.
    Provisioned(Vec<String>),
    /// The cloud has no more capacity for the instance pool.
    NoCapacity,
    /// The cloud refused the request as invalid, so a retry would fail as well.
    Malformed,
    /// The outcome is unknown: machines may have been provisioned.
    Unknown,
}
