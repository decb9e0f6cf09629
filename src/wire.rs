//! JSON messages exchanged with users, workers, the cloud and the key-value store. Where the platform uses another name
//! than this program, a serde attribute states it. "PROTOCOL" is the platform's specification of these interfaces.

mod cloud;
mod store;
mod user;
mod worker;

pub use cloud::{ListPhase, ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, ProvisionRequest};
pub use store::{KeyValue, Mutation, Precondition, RangeResponse, Transaction, WatchEvent, WatchResponse};
pub use user::{JobPhase, JobSpec, JobStatus, Kind, Priority};
pub use worker::{Cause, DirectOrders, Heartbeat, HeartbeatResponse, Order, TaskPhase, TaskStatus};
