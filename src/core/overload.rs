//! When a leader is so slow that a peer should lead in its place.

use crate::time::{Millis, MonotonicTime};

/// Ticks that come this much late on average: reports wait, and renewals are about to fail.
const OVERLOAD_LAG: Millis = Millis(400);
/// How often in a row the lag must be seen, about once a second. A burst of work passes sooner.
const SAMPLES_TO_HAND_OVER: u32 = 3;
/// Where every controller is too slow, handing over often would only add to the load.
const HAND_OVER_INTERVAL: Millis = Millis(60_000);

/// Watches the lag of one controller while it leads.
#[derive(Default)]
pub struct Overload {
    sightings: u32,
    relieved_at: Option<MonotonicTime>,
}

impl Overload {
    /// Takes in the present lag; true: the leader should hand over now.
    pub fn note(&mut self, now: MonotonicTime, lag: Millis) -> bool {
        if lag < OVERLOAD_LAG {
            self.sightings = 0;
            return false;
        }
        self.sightings += 1;
        let relieved_lately = self.relieved_at.is_some_and(|at| now - at < HAND_OVER_INTERVAL);
        if self.sightings < SAMPLES_TO_HAND_OVER || relieved_lately {
            return false;
        }
        self.sightings = 0;
        self.relieved_at = Some(now);
        true
    }
}

#[cfg(test)]
mod tests;
