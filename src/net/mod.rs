//! The edges: sockets and timers round the core.

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
pub mod load_log;
pub mod node;
pub mod outcome_cache;
pub mod peer_service;
pub mod peers;
pub mod rate_limited_log;
pub mod redirected_workers;
pub mod relay_routes;
pub mod server;
pub mod store_health;
pub mod users;

#[cfg(test)]
mod loopback;
