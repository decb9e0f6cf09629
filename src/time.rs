//! Times and spans. `Mono` is the steady clock of this process, `Wall` the time of day.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};

/// A span in milliseconds.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct Span(pub u64);

impl Span {
    pub fn secs(s: f64) -> Span {
        Span((s.max(0.0) * 1000.0) as u64)
    }
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1000.0
    }
    pub fn std(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
    /// At least this long by any machine's clock: clocks drift by up to 0.05% each.
    pub fn stretched(self) -> Span {
        Span(self.0 + self.0 / 500 + 1)
    }
    /// At most this long by any machine's clock.
    pub fn shrunk(self) -> Span {
        Span(self.0 - self.0 / 500)
    }
    pub fn times(self, f: f64) -> Span {
        Span((self.0 as f64 * f) as u64)
    }
}

/// A moment on the steady clock, in milliseconds since the process began.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct Mono(pub u64);

impl Add<Span> for Mono {
    type Output = Mono;
    fn add(self, s: Span) -> Mono {
        Mono(self.0.saturating_add(s.0))
    }
}

impl Add<Span> for Span {
    type Output = Span;
    fn add(self, s: Span) -> Span {
        Span(self.0.saturating_add(s.0))
    }
}

impl Sub<Mono> for Mono {
    type Output = Span;
    /// Never negative.
    fn sub(self, o: Mono) -> Span {
        Span(self.0.saturating_sub(o.0))
    }
}

/// A time of day in milliseconds since 1970; differs between machines by a known bound.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Wall(pub u64);
