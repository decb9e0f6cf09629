//! The edges: sockets and timers round the core. Nothing here decides about tasks and machines; that is the
//! scheduler's alone, and the leader's.
//!
//! - Clients: `kv` (key-value store), `cloud`, `peers` (other controllers), all by way of `http`.
//! - Services: `user_api` with `admission`, `linearizable_reads` and `dependency_check`; `heartbeats` with
//!   `heartbeat_relay`, `relay_routes` and `heartbeat_balancing`; `election`; `leader_loop`, which gives the
//!   scheduler its inputs and carries out its effects.
//! - `server` maps the routes to the services, and `node` holds what the services share.
//! - `input_latency` and `rate_limited_log` are for the log.

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
pub mod load_log;
pub mod node;
pub mod outcome_cache;
pub mod peer_service;
pub mod peers;
pub mod rate_limited_log;
pub mod redirected_workers;
pub mod relay_routes;
mod round_robin;
pub mod server;
pub mod store_health;
pub mod user_api;

#[cfg(test)]
mod loopback;
