//! Network I/O and timers around the core. This module makes no scheduling decisions: the leader's scheduler in
//! `core::scheduler` does.
//!
//! - Clients: `kv` (key-value store), `cloud` and `peers` (other controllers), all built on `http`.
//! - Services: `user_api` with `admission`, `linearizable_reads` and `dependency_check`; `heartbeats` with
//!   `heartbeat_relay`, `relay_routes`, `redirected_workers` and `heartbeat_balancing`; `peer_service`; `election`;
//!   `leader_loop`, which passes inputs to the scheduler and carries out its effects.
//! - `server` routes requests to the services, and `node` holds the state that the services share, such as
//!   `store_health` and `outcome_cache`.
//! - Logging: `input_latency`, `load_log` and `rate_limited_log`.

mod admission;
pub mod cloud;
pub mod dependency_check;
pub mod election;
pub mod heartbeat_balancing;
mod heartbeat_body;
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
