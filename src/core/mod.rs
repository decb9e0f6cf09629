//! The core logic of the scheduler, without input and output: this module uses no sockets, files or clocks. Callers
//! pass in events with their times, and get back the messages to send, the records to write and the answers to give.

pub mod allocation;
pub mod cancellations;
pub mod completion_bitmap;
pub mod cost;
pub mod dependencies;
pub mod election;
pub mod jobs;
pub mod machine;
pub mod outbox;
pub mod overload;
pub mod placement;
pub mod provisioning;
pub mod records;
pub mod resources;
pub mod scheduler;
pub mod shards;
pub mod submissions;
pub mod task_set;
pub mod task_slots;

#[cfg(test)]
mod election_simulation;
#[cfg(test)]
mod simulation;
