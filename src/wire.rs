//! JSON messages exchanged with users, workers, the cloud and the key-value store. Where the platform uses another name
//! than this program, a serde attribute states it. "PROTOCOL" is the platform's specification of these interfaces.

mod cloud;
mod store;
mod user;
mod worker;

pub use cloud::{ListedMachine, MachineList, MachineNames, MachinePhase, MachineType, MachineTypes, ProvisionRequest};
pub use store::{KeyValue, Mutation, Precondition, RangeResponse, Transaction, WatchEvent, WatchResponse};
pub use user::{JobKind, JobPhase, JobSpec, JobStatus, Priority};
pub use worker::{DirectOrders, ExitCause, Heartbeat, HeartbeatResponse, Order, TaskPhase, TaskStatus};
