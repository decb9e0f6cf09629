//! Counts events that may be very frequent, and says when to log how many there were, so that they can't flood the
//! log.

use crate::time::{Millis, MonotonicTime};

/// Events of one kind since they were last logged.
pub struct RateLimitedLog {
    /// At most one line in this time.
    interval: Millis,
    unlogged: u64,
    logged_at: Option<MonotonicTime>,
}

impl RateLimitedLog {
    /// Nothing has happened yet; lines come at least `interval` apart.
    pub fn new(interval: Millis) -> RateLimitedLog {
        RateLimitedLog { interval, unlogged: 0, logged_at: None }
    }

    /// Counts one more event. Returns how many there were since the last line, if it is time for one.
    pub fn record(&mut self, now: MonotonicTime) -> Option<u64> {
        self.unlogged += 1;
        if self.logged_at.is_some_and(|at| now - at < self.interval) {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.unlogged))
    }

    /// How many have not been logged yet.
    #[cfg(test)]
    pub(super) fn unlogged(&self) -> u64 {
        self.unlogged
    }
}

#[cfg(test)]
mod tests;
