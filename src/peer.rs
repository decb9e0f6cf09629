//! Protocol Buffers messages between controllers. PROTOCOL, "Controller nodes <-> controller nodes", leaves their
//! format to the program. The planner works directly on these messages, so that a controller can plan on a leader's
//! view without converting it.
//!
//! During an upgrade, different versions of the program must be able to read each other's messages. Therefore field
//! numbers don't change, and fields are only added.

mod heartbeat;
mod plan;

pub use heartbeat::{
    HeartbeatBatch, HeartbeatDecision, HeartbeatDecisions, JobCount, PeerHeartbeat, PeerHeartbeatResponse,
};
pub use plan::{
    ImageView, JobView, MachineTypeView, MachineView, Placement, PlanInput, PlanOutput, ProvisionOffer,
    ScaleOutRequest, TeamHeadroom, WaitingTasks, ZoneCount,
};

/// Version of the messages. It is raised when the meaning of a message changes; messages of other versions are
/// rejected.
pub const VERSION: u32 = 3;

#[cfg(test)]
mod tests;
