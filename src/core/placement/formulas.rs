//! The formulas of the paper that [`super`] cites, and the rule for the zones of a job's tasks.

use super::TOLERANCE;
use crate::peer::ZoneCount;

/// The expected outcome of running one task of a job on a candidate machine, whether or not the machine has free
/// capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Estimate {
    /// Expected finish of the task, in seconds from now (the paper's finish time, FT).
    pub(super) finish_s: f64,
    /// Expected time at which the task starts to run, after the machine is up and has the image, in seconds from now.
    pub(super) start_s: f64,
    /// Cost of the task, in the currency of the cloud's prices.
    pub(super) cost: f64,
    /// Probability, 0 to 1, that the machine isn't reclaimed before the task finishes (paper, eq. 6).
    pub(super) reliability: f64,
    /// Whether the candidate is a spot machine.
    pub(super) spot: bool,
}

/// The probability that a spot machine is reclaimed within `lifetime_s` seconds of being provisioned: the log-normal
/// cumulative distribution function (paper, eq. 6). `mu` is the logarithm of the median lifetime in seconds.
pub(super) fn log_normal_cdf(lifetime_s: f64, mu: f64, sigma: f64) -> f64 {
    if lifetime_s <= 0.0 {
        return 0.0;
    }
    0.5 * (1.0 + libm::erf((lifetime_s.ln() - mu) / (sigma * std::f64::consts::SQRT_2)))
}

/// The task's sub-deadline, by which it should finish, in seconds from now (paper, eq. 3).
///
/// `due_s` is the deadline of its job, which already leaves time for the jobs that depend on it. On a spot machine the
/// sub-deadline is earlier by one run time, so that the task can be restarted elsewhere if the machine is reclaimed.
/// The paper migrates tasks instead.
pub fn sub_deadline(due_s: f64, run_s: f64, spot: bool) -> f64 {
    if spot { due_s - run_s } else { due_s }
}

/// Whether one more task of a job may be placed in the zone, see [`zone_allowance`].
pub fn zone_allowed(spread: bool, one_zone: bool, tasks: u32, placed: &[ZoneCount], zone: u32) -> bool {
    zone_allowance(spread, one_zone, tasks, placed, zone) > 0
}

/// How many more tasks of a job may be placed in the zone; [`u32::MAX`] if any number.
///
/// `tasks` is how many tasks the job has and `placed` how many of them are in each zone. At most half of a spread
/// job's tasks, rounded up, may be in one zone. All tasks of a one-zone job must be in the same zone.
pub fn zone_allowance(spread: bool, one_zone: bool, tasks: u32, placed: &[ZoneCount], zone: u32) -> u32 {
    if one_zone && placed.iter().any(|placed| placed.zone != zone && placed.count > 0) {
        return 0;
    }
    if !spread {
        return u32::MAX;
    }
    let here = placed.iter().filter(|placed| placed.zone == zone).map(|placed| placed.count).sum::<u32>();
    tasks.div_ceil(2).saturating_sub(here)
}

/// Counts more tasks of a job in the zone.
pub fn count_in_zone(zones: &mut Vec<ZoneCount>, zone: u32, tasks: u32) {
    match zones.iter_mut().find(|counted| counted.zone == zone) {
        Some(counted) => counted.count += tasks,
        None => zones.push(ZoneCount { zone, count: tasks }),
    }
}

/// The quality of a candidate, 0 to 3: the sum of its scores, 0 to 1 each, for time (paper, eq. 4), cost (eq. 5) and
/// reliability (eq. 7). `lowest` and `highest` hold the minima and maxima of time and cost over the feasible
/// candidates.
pub(super) fn quality(estimate: &Estimate, lowest: &Estimate, highest: &Estimate) -> f64 {
    let score = |value: f64, low: f64, high: f64| {
        if high - low > TOLERANCE { 1.0 - (value - low) / (high - low) } else { 1.0 }
    };
    score(estimate.finish_s, lowest.finish_s, highest.finish_s)
        + score(estimate.cost, lowest.cost, highest.cost)
        + estimate.reliability
}

/// Whether a task should no longer wait for spot machines to be provisioned (paper, eq. 8).
///
/// The wait is over once the slack between the task's expected finish and its sub-deadline is less than the time that
/// the task has waited plus a window (w in the paper). All arguments are in seconds.
pub fn spot_wait_is_over(sub_deadline_s: f64, finish_s: f64, waited_s: f64, window_s: f64) -> bool {
    sub_deadline_s - finish_s < waited_s + window_s
}
