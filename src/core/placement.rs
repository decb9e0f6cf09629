//! MISER, the placement policy (docs/design.md cites the paper, equation by equation).
//!
//! Pure: a view of the fleet and of the ready tasks in, placements and wishes for machines out.

mod candidates;
mod planner;

use self::planner::{JobProgress, Planner};
use crate::core::cost::CostMeter;
use crate::peer::{JobView, Placement, PlanInput, PlanOutput, ScaleOutRequest, VERSION, Waiting, ZoneCount};

const EPS: f64 = 1e-6;
/// Most comparisons of jobs with places that a round begins with, and the fewest and most jobs that it plans
/// for. The rest is planned for in later rounds.
const MAX_ESTIMATES: usize = 65_536;
const MIN_JOBS: usize = 24;
const MAX_JOBS: usize = 256;
/// How many times a batch a round looks ahead to machines that aren't up yet.
const PENDING_BATCHES: u32 = 8;
/// Priorities up to this one (prod, high) are not stopped for GPU jobs.
const URGENT: u32 = 1;

/// What a place would mean for one job, room aside.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Expected finish, in seconds from now: the paper's FT.
    pub finish_s: f64,
    /// The part of it before the run begins.
    pub start_s: f64,
    pub cost: f64,
    pub reliability: f64,
    pub spot: bool,
}

/// Log-normal distribution function of a spot machine's life (paper, eq. 6).
pub fn log_normal_cdf(x: f64, mu: f64, sigma: f64) -> f64 {
    if x <= 0.0 {
        return 0.0;
    }
    0.5 * (1.0 + libm::erf((x.ln() - mu) / (sigma * std::f64::consts::SQRT_2)))
}

/// Sub-deadline of a task (paper, eq. 3), given that of its job, in which its successors are counted
/// already; on a spot machine the task's own run time earlier, as a restart takes the place of a migration (ours).
pub fn sub_deadline(due_s: f64, run_s: f64, spot: bool) -> f64 {
    if spot { due_s - run_s } else { due_s }
}

/// Whether one more task may go to the zone, given where the job's others are: of a spread job at
/// most half, rounded up, are in one zone; of a one-zone job all are.
pub fn zone_allowed(spread: bool, one_zone: bool, tasks: u32, placed: &[ZoneCount], zone: u32) -> bool {
    if !spread && !one_zone {
        return true;
    }
    let here = placed.iter().filter(|z| z.zone == zone).map(|z| z.count).sum::<u32>();
    let elsewhere = placed.iter().any(|z| z.zone != zone && z.count > 0);
    !(spread && here >= tasks.div_ceil(2) || one_zone && elsewhere)
}

/// The quality of a choice among those open to the task (paper, eq. 4, 5 and 7).
pub fn quality(c: &Estimate, lo: &Estimate, hi: &Estimate) -> f64 {
    let part = |x: f64, lo: f64, hi: f64| if hi - lo > EPS { 1.0 - (x - lo) / (hi - lo) } else { 1.0 };
    part(c.finish_s, lo.finish_s, hi.finish_s) + part(c.cost, lo.cost, hi.cost) + c.reliability
}

/// The paper's condition for giving up on an unfilled spot request (eq. 8).
pub fn spot_wait_is_over(sub_deadline_s: f64, finish_s: f64, slip_s: f64, window_s: f64) -> bool {
    sub_deadline_s - finish_s < slip_s + window_s
}

/// Whether all that a view refers to is in it; one from a peer may be anything.
fn is_consistent(input: &PlanInput) -> bool {
    let kinds = input.types.len() as u32;
    input.machines.iter().all(|m| m.kind < kinds)
        && input.offers.iter().all(|o| o.kind < kinds && o.most <= 1_000)
        && input.jobs.iter().all(|j| j.tasks <= crate::core::submissions::MAX_TASKS && j.ready <= j.tasks)
}

/// Jobs of a higher class go first: of higher priority, then within a guarantee, then with fewer aims missed.
fn urgency_class(j: &JobView) -> (u32, bool, u32) {
    (j.priority, !j.guaranteed, j.missed)
}

/// The jobs that this round plans for. Each is compared with every place, so where both are many, the most
/// urgent are considered, and of the others some in each round, in turn: nobody starves.
fn jobs_in_scope(input: &PlanInput) -> Vec<&JobView> {
    let candidates = (input.machines.len() + input.offers.len()).max(1);
    let most = (MAX_ESTIMATES / candidates).clamp(MIN_JOBS, MAX_JOBS);
    let mut jobs: Vec<&JobView> = input.jobs.iter().filter(|j| j.ready > 0).collect();
    if jobs.len() <= most {
        return jobs;
    }
    let left_s = |j: &JobView| j.slo_deadline_s.or(j.due_s).unwrap_or(-j.age_s);
    jobs.sort_by(|a, b| urgency_class(a).cmp(&urgency_class(b)).then(left_s(a).total_cmp(&left_s(b))));
    let in_turn = most / 4;
    let mut others = jobs.split_off(most - in_turn);
    others.sort_by_key(|j| j.key);
    let first = (input.round as usize).wrapping_mul(in_turn) % others.len();
    jobs.extend(others[first..].iter().chain(&others[..first]).take(in_turn));
    jobs
}

/// The plan for a view.
pub fn plan(input: &PlanInput) -> PlanOutput {
    plan_metered(input, &CostMeter::default())
}

/// The same; `meter` counts what was compared for it.
pub fn plan_metered(input: &PlanInput, meter: &CostMeter) -> PlanOutput {
    if !is_consistent(input) {
        return PlanOutput::default();
    }
    let jobs = jobs_in_scope(input);
    let mut p = Planner::new(input, meter);
    let mut out = PlanOutput { version: VERSION, term: input.term, round: input.round, ..Default::default() };
    // What only waits for machines to come up starts nothing, but says how many are wanted: a limit
    // of its own, or a long queue's demand would be seen a batch at a time.
    let (mut budget, mut pending_budget) = (input.batch, input.batch.saturating_mul(PENDING_BATCHES));
    // Jobs of higher priority go first, within one priority what a guarantee covers, and of that
    // what can still meet the most of its aims: under overload the rest would only make it late
    // as well (ours).
    let mut classes: Vec<(u32, bool, u32)> = jobs.iter().map(|j| urgency_class(j)).collect();
    classes.sort_unstable();
    classes.dedup();
    for class in classes {
        let mut active: Vec<JobProgress> =
            jobs.iter().copied().filter(|j| urgency_class(j) == class).map(|j| p.activate(j)).collect();
        // Round-robin over the jobs (paper, lines 7-9). The tasks of a job are alike here, so its
        // top task by rank (eq. 1) is any. Which job begins is open in the paper: the one with the
        // least time left of those that can still make it, then the late ones by age (ours).
        active.sort_by(|a, b| a.turn().partial_cmp(&b.turn()).unwrap_or(std::cmp::Ordering::Equal));
        let mut going = true;
        while going {
            going = false;
            for a in active.iter_mut().filter(|a| a.left > 0) {
                if budget == 0 || pending_budget == 0 {
                    break;
                }
                let n = if a.job.gang { a.job.tasks } else { 1 };
                match p.place_next(a) {
                    Some(true) => budget = budget.saturating_sub(n),
                    Some(false) => pending_budget = pending_budget.saturating_sub(n),
                    None => {
                        a.waiting.count += a.left;
                        a.left = 0;
                        continue;
                    }
                }
                going = true;
            }
        }
        for a in active {
            for (machine, (count, extra)) in a.placed_on {
                out.placements.push(Placement { job: a.job.key, machine, count, extra });
            }
            if a.waiting.count + a.left > 0 {
                out.waiting.push(Waiting { count: a.waiting.count + a.left, ..a.waiting });
            }
        }
    }
    for pl in p.candidates.iter().filter(|pl| pl.opened) {
        out.scale_out.push(ScaleOutRequest {
            kind: pl.kind as u32,
            zone: pl.zone,
            spot: pl.spot,
            load: pl.load,
            priority: pl.priority,
        });
    }
    out
}

#[cfg(test)]
mod tests;
