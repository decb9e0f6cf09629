//! Counts what may happen very often, and says seldom enough how often it did that it can't flood the log.

use crate::time::{Millis, MonotonicTime};

/// Events of one kind since they were last logged.
pub struct RateLimitedLog {
    /// At most one line in this time.
    interval: Millis,
    unlogged: u64,
    logged_at: Option<MonotonicTime>,
}

impl RateLimitedLog {
    pub fn new(interval: Millis) -> RateLimitedLog {
        RateLimitedLog { interval, unlogged: 0, logged_at: None }
    }

    /// Counts one more. How many there were since the last time, if it is time to log them.
    pub fn note(&mut self, now: MonotonicTime) -> Option<u64> {
        self.unlogged += 1;
        if self.logged_at.is_some_and(|at| now - at < self.interval) {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.unlogged))
    }

    /// How many have not been logged yet.
    #[cfg(test)]
    pub fn unlogged(&self) -> u64 {
        self.unlogged
    }
}

#[cfg(test)]
mod tests;
