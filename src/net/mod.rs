//! The edges: sockets and timers round the core.

mod admission;
pub mod cloud;
pub mod dependency_check;
pub mod election;
pub mod heartbeat_balancing;
pub mod heartbeat_relay;
pub mod heartbeats;
pub mod http;
pub mod input_latency;
pub mod kv;
pub mod leader_loop;
pub mod linearizable_reads;
pub mod node;
pub mod peers;
pub mod rate_limited_log;
pub mod relay_routes;
mod round_robin;
pub mod server;
pub mod user_api;

#[cfg(test)]
mod loopback;
