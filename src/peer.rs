//! The messages between controllers, in prost (PROTOCOL, "Controller nodes <-> controller nodes", leaves them
//! to the service). The planner works on these messages as they are, so that a controller can plan on the
//! leader's view without a second form of it.
//!
//! Versions of the program that run side by side during an upgrade read each other's messages: the numbers of
//! fields stay, and fields are only added.

mod heartbeat;
mod plan;

pub use heartbeat::{
    HeartbeatBatch, HeartbeatDecision, HeartbeatDecisions, JobCount, PeerHeartbeat, PeerHeartbeatResponse,
};
pub use plan::{
    ImageView, JobView, MachineView, Placement, PlanInput, PlanOutput, ProvisionOffer, ScaleOutRequest, TeamHeadroom,
    TypeView, Waiting, ZoneCount,
};

/// Raised whenever a message changes its meaning; messages of other versions are dropped.
pub const VERSION: u32 = 3;

#[cfg(test)]
mod tests;
