//! How busy the processor of the leader is, measured by how late its ticks come.

use crate::time::MonotonicTime;

/// The last tick, and how far ticks fall behind on average.
pub(super) struct LoadMeter {
    pub ticked_at: MonotonicTime,
    pub lag_ms: f64,
}

impl LoadMeter {
    pub fn new(now: MonotonicTime) -> LoadMeter {
        LoadMeter { ticked_at: now, lag_ms: 0.0 }
    }
}
