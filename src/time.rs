//! Times and spans. `MonotonicTime` is the steady clock of this process, `WallTime` the time of day.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};

/// A span in milliseconds.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct Millis(pub u64);

impl Millis {
    /// Rounded down; a negative number of seconds is none.
    pub fn from_secs_f64(seconds: f64) -> Millis {
        Millis((seconds.max(0.0) * 1000.0) as u64)
    }

    /// The span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// The span as the standard library has it.
    pub fn to_std(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }

    /// At least this long by any machine's clock: clocks drift by up to 0.05% each.
    pub fn plus_clock_drift(self) -> Millis {
        Millis(self.0 + self.0 / 500 + 1)
    }

    /// At most this long by any machine's clock.
    pub fn minus_clock_drift(self) -> Millis {
        Millis(self.0 - self.0 / 500)
    }

    /// The span times a factor, rounded down.
    pub fn mul_f64(self, factor: f64) -> Millis {
        Millis((self.0 as f64 * factor) as u64)
    }
}

/// A moment on the steady clock, in milliseconds since the process began.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct MonotonicTime(pub u64);

impl Add<Millis> for MonotonicTime {
    type Output = MonotonicTime;
    fn add(self, span: Millis) -> MonotonicTime {
        MonotonicTime(self.0.saturating_add(span.0))
    }
}

impl Add<Millis> for Millis {
    type Output = Millis;
    fn add(self, span: Millis) -> Millis {
        Millis(self.0.saturating_add(span.0))
    }
}

impl Sub<MonotonicTime> for MonotonicTime {
    type Output = Millis;
    /// The span since `earlier`; none if that is later.
    fn sub(self, earlier: MonotonicTime) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

/// A time of day in milliseconds since 1970; differs between machines by a known bound.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl WallTime {
    /// Seconds since `earlier`; 0 if that is later.
    pub fn seconds_since(self, earlier: WallTime) -> f64 {
        self.0.saturating_sub(earlier.0) as f64 / 1000.0
    }
}
