//! What the scheduler has its edges carry out, and what they say came of it.

use crate::ids::{JobId, MachineId};
use crate::peer::PlanInput;
use crate::wire::{DirectOrders, Heartbeat, ProvisionRequest, Transaction};
use std::sync::Arc;

/// What the edges must do for the leader.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Orders {
        request: u64,
        endpoint: String,
        body: DirectOrders,
    },
    Commit {
        request: u64,
        transaction: Transaction,
    },
    /// Writes the leader's key anew and says which revision it has then.
    RefreshFence(Transaction),
    Provision(ProvisionRequest),
    Terminate(Vec<MachineId>),
    /// Reads how these jobs have ended.
    LookUp(Vec<JobId>),
    /// Has a peer plan for its share.
    Plan {
        node: String,
        input: Arc<PlanInput>,
    },
}

#[derive(Clone, Debug)]
pub enum OrdersResult {
    Executed(Heartbeat),
    Rejected(Heartbeat),
    /// Perhaps executed, perhaps yet to be.
    Unknown,
}

#[derive(Clone, Debug, PartialEq)]
pub enum CommitOutcome {
    Committed,
    Conflict(Vec<String>),
    /// Not carried out, nor will it be.
    Rejected,
    /// Perhaps carried out, perhaps yet to be.
    Unknown,
}

#[derive(Clone, Debug, PartialEq)]
pub enum ProvisionOutcome {
    Provisioned(Vec<String>),
    NoCapacity,
    /// Refused for good: the request itself was wrong.
    Malformed,
    /// Perhaps carried out.
    Unknown,
}
