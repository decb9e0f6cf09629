//! MISER, the placement policy: which candidate each ready task is placed on, and which machines to provision.
//!
//! The policy is pure: [`plan`] takes a [`PlanInput`] (machines, instance offers, jobs with ready tasks) and
//! returns a [`PlanOutput`] (placements, scale-out requests, tasks that wait). "Paper" in this module is
//! "Constructing Reliable Computing Environments on Top of Amazon EC2 Spot Instances" (*Algorithms* 2020, 13,
//! 187), sections 3.1 to 3.4; "eq." and "line" are the paper's, "ours" marks what it leaves open or what
//! differs. docs/design.md gives the reasons.
//!
//! A round: `job_selection` picks the jobs, `job_progress` holds the state of each, `estimates` works out
//! time, cost and reliability of a candidate, `ranking` orders the candidates, `planner` places the tasks.

mod candidates;
mod estimates;
mod formulas;
mod job_progress;
mod job_selection;
mod planner;
mod ranking;

use self::formulas::{Estimate, log_normal_cdf, quality};
use self::job_progress::JobProgress;
use self::job_selection::{UrgencyClass, jobs_in_scope};
use self::planner::{Planner, TurnOutcome};
use crate::core::cost::CostMeter;
use crate::peer::{PlanInput, PlanOutput, VERSION};
use std::cmp::Ordering;

pub use self::formulas::{spot_wait_is_over, sub_deadline, zone_allowed};

/// Differences up to this much between resources, times and costs count as none.
const TOLERANCE: f64 = 1e-6;
/// Placements that wait for machines to come up are limited to this many batches a round.
const MAX_PENDING_BATCHES: u32 = 8;
/// The most machines that one offer of a view may stand for.
const MAX_MACHINES_PER_OFFER: u32 = 1_000;

/// How many more tasks a round may place.
struct RoundBudget {
    running: u32,
    /// Tasks that wait for machines to come up start nothing, but say how many machines are needed. They
    /// have a limit of their own: counted in the batch, a long queue's demand would be seen a batch at a time.
    pending: u32,
}

impl RoundBudget {
    fn new(batch: u32) -> RoundBudget {
        RoundBudget { running: batch, pending: batch.saturating_mul(MAX_PENDING_BATCHES) }
    }

    fn is_exhausted(&self) -> bool {
        self.running == 0 || self.pending == 0
    }
}

/// The plan for a view: placements, scale-out requests and the tasks that wait. Empty for a view that refers
/// to a machine type that it doesn't list or exceeds a limit.
pub fn plan(input: &PlanInput) -> PlanOutput {
    plan_metered(input, &CostMeter::default())
}

/// [`plan`], with the candidates that were compared counted in `meter`.
pub fn plan_metered(input: &PlanInput, meter: &CostMeter) -> PlanOutput {
    if !is_consistent(input) {
        return PlanOutput::default();
    }
    let jobs = jobs_in_scope(input);
    let mut planner = Planner::new(input, meter);
    let mut output = PlanOutput { version: VERSION, term: input.term, round: input.round, ..Default::default() };
    let mut budget = RoundBudget::new(input.batch);
    let mut classes: Vec<UrgencyClass> = jobs.iter().map(|job| UrgencyClass::of(job)).collect();
    classes.sort_unstable();
    classes.dedup();
    for class in classes {
        let members = jobs.iter().copied().filter(|job| UrgencyClass::of(job) == class);
        let mut active: Vec<JobProgress> = members.map(|job| planner.activate(job)).collect();
        // Which job begins is open in the paper: the one with the least time left of those that can
        // still make it, then the late ones by age (ours).
        active.sort_by(|a, b| a.turn_order().partial_cmp(&b.turn_order()).unwrap_or(Ordering::Equal));
        place_round_robin(&mut planner, &mut active, &mut budget);
        for progress in active {
            progress.append_to(&mut output);
        }
    }
    output.scale_out = planner.scale_out_requests();
    output
}

/// Places one task of each job in turn (paper, lines 7-9) until the budget or the jobs are exhausted. The
/// tasks of a job are alike, so that its top task by rank (eq. 1) is any of them.
fn place_round_robin(planner: &mut Planner, active: &mut [JobProgress], budget: &mut RoundBudget) {
    let mut placed_any = true;
    while placed_any {
        placed_any = false;
        for progress in active.iter_mut().filter(|progress| progress.has_tasks_left()) {
            if budget.is_exhausted() {
                break;
            }
            let tasks = progress.tasks_per_turn();
            match planner.place_next(progress) {
                TurnOutcome::Placed => budget.running = budget.running.saturating_sub(tasks),
                TurnOutcome::Pending => budget.pending = budget.pending.saturating_sub(tasks),
                TurnOutcome::NoCandidate => {
                    progress.leave_waiting();
                    continue;
                }
            }
            placed_any = true;
        }
    }
}

/// Whether all that a view refers to is in it, within the limits. A view from a peer may hold anything.
fn is_consistent(input: &PlanInput) -> bool {
    let types = input.types.len() as u32;
    input.machines.iter().all(|machine| machine.kind < types)
        && input.offers.iter().all(|offer| offer.kind < types && offer.most <= MAX_MACHINES_PER_OFFER)
        && input.jobs.iter().all(|job| job.tasks <= crate::core::submissions::MAX_TASKS && job.ready <= job.tasks)
}

#[cfg(test)]
mod tests;
