//! Ages of jobs, in seconds of the time of day.

use crate::config::JobAges;
use crate::core::jobs::Job;
use crate::time::WallTime;

/// Seconds from `then` to `now`; 0 if `then` is later.
pub(super) fn elapsed_s(now: WallTime, then: WallTime) -> f64 {
    now.0.saturating_sub(then.0) as f64 / 1000.0
}

/// How old a job is, for its deadline and for its objectives, which count from when it could start.
pub(super) fn job_ages(wall: WallTime, job: &Job) -> JobAges {
    let startable_s = if job.is_waiting() { 0.0 } else { elapsed_s(wall, job.startable_at) };
    JobAges { submitted_s: elapsed_s(wall, job.submitted), startable_s }
}
