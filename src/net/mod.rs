//! The edges: sockets and timers round the core.

pub mod cloud;
pub mod dependency_check;
pub mod detours;
pub mod election;
pub mod forwarding;
pub mod heartbeats;
pub mod http;
pub mod input_latency;
pub mod kv;
pub mod leader_loop;
pub mod lookups;
pub mod node;
pub mod offloading;
pub mod peers;
pub mod rare_log;
pub mod server;
pub mod users;

#[cfg(test)]
mod loopback;
