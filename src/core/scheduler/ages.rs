//! Ages of jobs, in seconds of the time of day.

use crate::time::WallTime;

/// Seconds from `then` to `now`; 0 if `then` is later.
pub(super) fn elapsed_s(now: WallTime, then: WallTime) -> f64 {
    now.0.saturating_sub(then.0) as f64 / 1000.0
}
