//! Durations and points in time, in milliseconds: [`MonotonicTime`] on the monotonic clock of this process,
//! [`WallTime`] on the wall clock.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};

/// A duration in milliseconds.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct Millis(pub u64);

impl Millis {
    /// Converts seconds, rounding down to whole milliseconds. A negative number of seconds gives a zero duration.
    pub fn from_secs_f64(seconds: f64) -> Millis {
        Millis((seconds.max(0.0) * 1000.0) as u64)
    }

    /// The duration in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// Converts to the standard library's type.
    pub fn to_std(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }

    /// A longer duration: while it passes on one machine's clock, at least `self` passes on any other machine's. Each
    /// clock drifts by up to 0.05%, so two differ by up to 0.1%; the margin is 0.2%.
    pub fn plus_clock_drift(self) -> Millis {
        Millis(self.0 + self.0 / 500 + 1)
    }

    /// A shorter duration: while it passes on one machine's clock, at most `self` passes on any other machine's. The
    /// margin is 0.2%, as in [`Millis::plus_clock_drift`].
    pub fn minus_clock_drift(self) -> Millis {
        Millis(self.0 - self.0 / 500)
    }

    /// The duration multiplied by a factor, rounded down.
    pub fn mul_f64(self, factor: f64) -> Millis {
        Millis((self.0 as f64 * factor) as u64)
    }
}

/// A point in time on the monotonic clock of this process, in milliseconds since the process started.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct MonotonicTime(pub u64);

impl Add<Millis> for MonotonicTime {
    type Output = MonotonicTime;
    fn add(self, duration: Millis) -> MonotonicTime {
        MonotonicTime(self.0.saturating_add(duration.0))
    }
}

impl Add<Millis> for Millis {
    type Output = Millis;
    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl Sub<MonotonicTime> for MonotonicTime {
    type Output = Millis;
    /// The duration since `earlier`, or zero if `earlier` is later.
    fn sub(self, earlier: MonotonicTime) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

/// A time on the wall clock, in milliseconds since the Unix epoch. The wall clocks of machines differ by a bounded
/// amount.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl WallTime {
    /// Seconds since `earlier`, or 0 if `earlier` is later.
    pub fn seconds_since(self, earlier: WallTime) -> f64 {
        self.0.saturating_sub(earlier.0) as f64 / 1000.0
    }
}
