//! Detects a leader that is so slow that a peer should lead in its place.

use crate::time::{Millis, MonotonicTime};

/// Average lag of the ticks at which heartbeats wait and renewals are about to fail.
const OVERLOAD_LAG: Millis = Millis(400);
/// Samples in a row, about one a second, that must be over the limit. A burst of work passes sooner.
const MIN_SAMPLES_TO_HAND_OVER: u32 = 3;
/// Least time between two hand-overs. Where every controller is too slow, handing over often would only add to the load.
const HAND_OVER_INTERVAL: Millis = Millis(60_000);

/// The lag of one controller while it leads, and when it last handed over for it.
#[derive(Default)]
pub struct Overload {
    samples: u32,
    handed_over_at: Option<MonotonicTime>,
}

impl Overload {
    /// Takes in a sample of the average lag of the ticks. Returns whether the leader should hand over now.
    pub fn observe(&mut self, now: MonotonicTime, lag: Millis) -> bool {
        if lag < OVERLOAD_LAG {
            self.samples = 0;
            return false;
        }
        self.samples += 1;
        let handed_over_lately = self.handed_over_at.is_some_and(|at| now - at < HAND_OVER_INTERVAL);
        if self.samples < MIN_SAMPLES_TO_HAND_OVER || handed_over_lately {
            return false;
        }
        self.samples = 0;
        self.handed_over_at = Some(now);
        true
    }
}

#[cfg(test)]
mod tests;
