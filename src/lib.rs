//! wallstile, a cluster scheduler. The executable is in `main.rs`; the executable, the benchmarks and the tests in
//! `tests/` use this library.
//!
//! [`core`] makes all decisions about tasks and machines, without I/O and without reading a clock. [`net`] does the I/O
//! and runs the timers, and makes no such decisions. Both use the message types ([`wire`], [`peer`]), the configuration
//! ([`config`]) and the basic types ([`ids`], [`time`]).

pub mod config;
pub mod core;
pub mod ids;
pub mod logging;
pub mod net;
pub mod peer;
pub mod time;
pub mod wire;
