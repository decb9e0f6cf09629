//! How busy the processor of the leader is, measured by how late its ticks come.

use super::TICK_INTERVAL;
use crate::time::{Millis, MonotonicTime};

/// Weight of the latest tick in the average.
const LAG_WEIGHT: f64 = 0.1;

/// With ticks this late on average heartbeats wait unread, so that late heartbeats say little about
/// machines.
const OVERLOAD_LAG_THRESHOLD_MS: f64 = 250.0;

/// The last tick, and how late ticks come on average.
pub(super) struct LoadMeter {
    ticked_at: MonotonicTime,
    lag_ms: f64,
}

impl LoadMeter {
    /// Of a scheduler that begins now.
    pub(super) fn new(now: MonotonicTime) -> LoadMeter {
        LoadMeter { ticked_at: now, lag_ms: 0.0 }
    }

    /// A tick has come.
    pub(super) fn record_tick(&mut self, now: MonotonicTime) {
        let late_ms = (now - self.ticked_at).0.saturating_sub(TICK_INTERVAL.0) as f64;
        self.ticked_at = now;
        self.lag_ms += LAG_WEIGHT * (late_ms - self.lag_ms);
    }

    /// How late ticks come on average, in milliseconds.
    pub(super) fn lag_ms(&self) -> f64 {
        self.lag_ms
    }

    /// The same, rounded down.
    pub(super) fn lag(&self) -> Millis {
        Millis(self.lag_ms as u64)
    }

    /// Heartbeats may be late because of this leader itself.
    pub(super) fn is_overloaded(&self) -> bool {
        self.lag_ms >= OVERLOAD_LAG_THRESHOLD_MS
    }
}

#[cfg(test)]
mod tests;
