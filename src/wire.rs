//! The JSON of users, workers, the cloud and the key-value store. The platform's own names for things stay
//! here, in serde attributes. "PROTOCOL" is the platform's page of that name.

mod cloud;
mod store;
mod user;
mod worker;

pub use cloud::{ListPhase, ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, ProvisionRequest};
pub use store::{KeyValue, Mutation, Precondition, RangeResponse, Transaction, WatchEvent, WatchResponse};
pub use user::{JobPhase, JobSpec, JobStatus, Kind, Priority};
pub use worker::{Cause, DirectOrders, Heartbeat, HeartbeatResponse, Order, TaskPhase, TaskStatus};
