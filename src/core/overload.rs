//! Detects that the leader is too slow, so that it hands over to a peer.

use crate::time::{Millis, MonotonicTime};

/// A leader whose regular ticks are late by at least this much on average is overloaded: heartbeats wait, and lease
/// renewals are about to fail.
const OVERLOAD_LAG: Millis = Millis(400);
/// Number of consecutive samples of the lag, about one per second, that must be at least `OVERLOAD_LAG` before the
/// leader hands over. A short burst of load ends sooner.
const MIN_OVERLOADED_SAMPLES: u32 = 3;
/// Minimum time between two hand-overs of one controller. Where all controllers are overloaded, frequent hand-overs
/// would only add to the load.
const MIN_HAND_OVER_INTERVAL: Millis = Millis(60_000);

/// Detects overload of one controller while it leads.
#[derive(Default)]
pub struct OverloadDetector {
    /// Number of consecutive samples of the lag, up to the latest one, that were at least `OVERLOAD_LAG`.
    overloaded_samples: u32,
    /// When this controller last handed over because of overload.
    handed_over_at: Option<MonotonicTime>,
}

impl OverloadDetector {
    /// Records a sample of how late the leader's ticks are on average. Returns whether the leader should hand over now.
    pub fn record_lag(&mut self, now: MonotonicTime, lag: Millis) -> bool {
        if lag < OVERLOAD_LAG {
            self.overloaded_samples = 0;
            return false;
        }
        self.overloaded_samples += 1;
        let handed_over_recently = self.handed_over_at.is_some_and(|at| now - at < MIN_HAND_OVER_INTERVAL);
        if self.overloaded_samples < MIN_OVERLOADED_SAMPLES || handed_over_recently {
            return false;
        }
        self.overloaded_samples = 0;
        self.handed_over_at = Some(now);
        true
    }
}

#[cfg(test)]
mod tests;
