//! wallstile: a cluster scheduler. The program is in `main.rs`; the library is for it and for the
//! benchmark of the core.

pub mod config;
pub mod core;
pub mod ids;
pub mod logging;
pub mod net;
pub mod peer;
pub mod time;
pub mod wire;
