//! wallstile: a cluster scheduler. The program is in `main.rs`; the library is for it, for the benchmarks and
//! for the tests in `tests/`.
//!
//! [`core`] decides and has no I/O and no clock; [`net`] has the sockets and timers and decides nothing about
//! tasks and machines. Between them are the messages ([`wire`], [`peer`]), the configuration ([`config`]) and
//! the types that all use ([`ids`], [`time`]).

pub mod config;
pub mod core;
pub mod ids;
pub mod logging;
pub mod net;
pub mod peer;
pub mod time;
pub mod wire;
