//! The core: no sockets, no files, no clocks. Inputs in; sends, writes and answers out.

pub mod allocation;
pub mod cancellations;
pub mod completion_bitmap;
pub mod cost;
pub mod dependencies;
pub mod election;
pub mod jobs;
pub mod machine;
pub mod overload;
pub mod placement;
pub mod provisioning;
pub mod records;
pub mod resources;
pub mod scheduler;
pub mod shards;
pub mod submissions;

#[cfg(test)]
mod election_simulation;
#[cfg(test)]
mod simulation;
