//! The leader's CPU load, measured by the lateness of its ticks.

use super::TICK_INTERVAL;
use crate::time::{Millis, MonotonicTime};

/// Weight of the latest tick in the moving average of the lateness.
const LAG_WEIGHT: f64 = 0.1;

/// Average lateness of ticks in milliseconds from which received heartbeats wait to be processed, so that late
/// heartbeats say little about machines.
const OVERLOAD_LAG_THRESHOLD_MS: f64 = 250.0;

/// Exponentially weighted moving average of the lateness of ticks.
pub(super) struct LoadMeter {
    last_tick: MonotonicTime,
    lag_ms: f64,
}

impl LoadMeter {
    /// Creates a meter without lag whose first tick is due one [`TICK_INTERVAL`] after `now`.
    pub(super) fn new(now: MonotonicTime) -> LoadMeter {
        LoadMeter { last_tick: now, lag_ms: 0.0 }
    }

    /// Records a tick, and updates the average with how much later than [`TICK_INTERVAL`] after the previous tick it
    /// comes.
    pub(super) fn record_tick(&mut self, now: MonotonicTime) {
        let late_ms = (now - self.last_tick).0.saturating_sub(TICK_INTERVAL.0) as f64;
        self.last_tick = now;
        self.lag_ms += LAG_WEIGHT * (late_ms - self.lag_ms);
    }

    /// The average lateness of ticks in milliseconds.
    pub(super) fn lag_ms(&self) -> f64 {
        self.lag_ms
    }

    /// The average lateness of ticks, rounded down to whole milliseconds.
    pub(super) fn lag(&self) -> Millis {
        Millis(self.lag_ms as u64)
    }

    /// Whether the leader's own load may be the cause of late heartbeats.
    pub(super) fn is_overloaded(&self) -> bool {
        self.lag_ms >= OVERLOAD_LAG_THRESHOLD_MS
    }
}

#[cfg(test)]
mod tests;
