//! The paper's formulas, and the rule on zones.

use super::TOLERANCE;
use crate::peer::ZoneCount;

/// What a candidate would mean for one task of a job, whether or not it has capacity left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Estimate {
    /// Expected finish, in seconds from now: the paper's FT.
    pub(super) finish_s: f64,
    /// The part of `finish_s` before the run begins.
    pub(super) start_s: f64,
    /// What the task would cost there, in the currency of the cloud's prices.
    pub(super) cost: f64,
    /// Probability, 0 to 1, that the machine outlives the task (paper, eq. 6).
    pub(super) reliability: f64,
    /// The machine is a spot machine.
    pub(super) spot: bool,
}

/// Log-normal distribution function of a spot machine's life (paper, eq. 6): the probability that it ends
/// within `life_s` seconds. `mu` is the logarithm of the median life in seconds.
pub(super) fn log_normal_cdf(life_s: f64, mu: f64, sigma: f64) -> f64 {
    if life_s <= 0.0 {
        return 0.0;
    }
    0.5 * (1.0 + libm::erf((life_s.ln() - mu) / (sigma * std::f64::consts::SQRT_2)))
}

/// Sub-deadline of a task in seconds from now (paper, eq. 3), given that of its job, in which the job's
/// dependents are counted already. On a spot machine it is earlier by the task's own run time, as a restart
/// takes the place of the paper's migration (ours).
pub fn sub_deadline(due_s: f64, run_s: f64, spot: bool) -> f64 {
    if spot { due_s - run_s } else { due_s }
}

/// Whether one more task of a job with `tasks` tasks may go to the zone, given where its others are
/// (`placed`): of a spread job at most half, rounded up, are in one zone; of a one-zone job all are.
pub fn zone_allowed(spread: bool, one_zone: bool, tasks: u32, placed: &[ZoneCount], zone: u32) -> bool {
    if !spread && !one_zone {
        return true;
    }
    let here = placed.iter().filter(|placed| placed.zone == zone).map(|placed| placed.count).sum::<u32>();
    let elsewhere = placed.iter().any(|placed| placed.zone != zone && placed.count > 0);
    !(spread && here >= tasks.div_ceil(2) || one_zone && elsewhere)
}

/// The quality of a candidate, 0 to 3: the sum of its qualities in time (paper, eq. 4), cost (eq. 5) and
/// reliability (eq. 7). `lowest` and `highest` hold the extremes of time and cost over the candidates open to
/// the task.
pub(super) fn quality(estimate: &Estimate, lowest: &Estimate, highest: &Estimate) -> f64 {
    let part = |value: f64, low: f64, high: f64| {
        if high - low > TOLERANCE { 1.0 - (value - low) / (high - low) } else { 1.0 }
    };
    part(estimate.finish_s, lowest.finish_s, highest.finish_s)
        + part(estimate.cost, lowest.cost, highest.cost)
        + estimate.reliability
}

/// Whether a task gives up on an unfilled spot request (paper, eq. 8): its slack between `finish_s` and
/// `sub_deadline_s` is less than the wait so far and the paper's window w. All in seconds.
pub fn spot_wait_is_over(sub_deadline_s: f64, finish_s: f64, slip_s: f64, window_s: f64) -> bool {
    sub_deadline_s - finish_s < slip_s + window_s
}
