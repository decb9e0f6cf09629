//! Counts messages of peers that can't be read, are too large or of another version, and says seldom enough
//! how many there were that they can't flood the log.

use crate::time::{Mono, Span};

const LOG_INTERVAL: Span = Span(10_000);

/// Bad messages of peers since they were last logged.
#[derive(Default)]
pub struct BadMessages {
    unlogged: u64,
    logged_at: Option<Mono>,
}

impl BadMessages {
    /// Counts one more. How many there were since the last time, if it is time to log them.
    pub fn note(&mut self, now: Mono) -> Option<u64> {
        self.unlogged += 1;
        if self.logged_at.is_some_and(|at| now - at < LOG_INTERVAL) {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.unlogged))
    }
}

#[cfg(test)]
mod tests;
