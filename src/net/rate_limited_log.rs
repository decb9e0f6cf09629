//! Rate limit for log lines about frequent events: the events are counted, and their number is logged at most once per
//! interval.

use crate::time::{Millis, MonotonicTime};

/// Counts events of one kind and decides when to log their number.
pub struct RateLimitedLog {
    /// Minimum time between two log lines.
    interval: Millis,
    unlogged: u64,
    last_logged_at: Option<MonotonicTime>,
}

impl RateLimitedLog {
    /// Creates a counter that allows one log line per `interval`.
    pub fn new(interval: Millis) -> RateLimitedLog {
        RateLimitedLog { interval, unlogged: 0, last_logged_at: None }
    }

    /// Counts an event. If a log line is due, returns the number of events since the last log line, including this one.
    /// Otherwise returns `None`.
    pub fn record(&mut self, now: MonotonicTime) -> Option<u64> {
        self.unlogged += 1;
        if self.last_logged_at.is_some_and(|at| now - at < self.interval) {
            return None;
        }
        self.last_logged_at = Some(now);
        Some(std::mem::take(&mut self.unlogged))
    }

    /// Number of events counted since the last log line was due.
    #[cfg(test)]
    pub(super) fn unlogged(&self) -> u64 {
        self.unlogged
    }
}

#[cfg(test)]
mod tests;
