//! The placement policy, MISER: decides which machine each ready task is placed on and which machines to provision.
//!
//! The policy is a pure function: [`plan`] takes a [`PlanInput`] (machines, provisioning offers, jobs with ready tasks)
//! and returns a [`PlanOutput`] (placements, scale-out requests, waiting tasks).
//!
//! The policy is based on sections 3.1 to 3.4 of "Constructing Reliable Computing Environments on Top of Amazon EC2
//! Spot Instances" (*Algorithms* 2020, 13, 187). Comments in this module call that publication "the paper" and cite its
//! equations ("eq.") and the lines of its algorithm ("line"). They say so where the policy differs from the paper or
//! decides what the paper leaves open; docs/design.md gives the reasons.
//!
//! In a planning round, `job_selection` chooses the jobs, `job_progress` keeps the state of each job, `estimates`
//! computes time, cost and reliability of a job's tasks on a candidate machine, `ranking` orders the candidates, and
//! `planner` places the tasks.

mod candidates;
mod estimates;
mod formulas;
mod job_progress;
mod job_selection;
mod planner;
mod ranking;

use self::formulas::{Estimate, log_normal_cdf, quality};
use self::job_progress::JobProgress;
use self::job_selection::{UrgencyClass, jobs_in_round};
use self::planner::{Planner, TurnOutcome};
use crate::core::cost::OperationMeter;
use crate::peer::{PlanInput, PlanOutput, VERSION};
use std::cmp::Ordering;

pub use self::formulas::{count_in_zone, spot_wait_is_over, sub_deadline, zone_allowance, zone_allowed};

/// Resources, times (in seconds) and costs that differ by no more than this are treated as equal.
const TOLERANCE: f64 = 1e-6;
/// A planning round places at most this many batches of tasks on machines that are not up yet; the input of the round
/// sets how many tasks are in a batch.
const MAX_PENDING_BATCHES: u32 = 8;
/// A planner input is rejected if one of its offers to provision machines is for more machines than this.
const MAX_MACHINES_PER_OFFER: u32 = 1_000;

/// How many more tasks the current round may place.
struct RoundBudget {
    /// Number of tasks that the round may still place on machines that are up.
    immediate: u32,
    /// Number of tasks that the round may still place on machines that are not up yet. Such placements start nothing;
    /// they determine how many machines are requested. Their limit is separate from `immediate`: with a common limit,
    /// a long queue would request machines for only one batch per round.
    pending: u32,
}

impl RoundBudget {
    fn new(batch: u32) -> RoundBudget {
        RoundBudget { immediate: batch, pending: batch.saturating_mul(MAX_PENDING_BATCHES) }
    }

    fn is_exhausted(&self) -> bool {
        self.immediate == 0 || self.pending == 0
    }
}

/// Plans one round: which tasks are placed on which machines, which machines to request, and which tasks wait.
///
/// The plan is empty if `input` refers to a machine type that it doesn't list, or exceeds a limit.
pub fn plan(input: &PlanInput) -> PlanOutput {
    plan_metered(input, &OperationMeter::default())
}

/// Like [`plan`], and counts the candidates that it compares in `meter`.
pub fn plan_metered(input: &PlanInput, meter: &OperationMeter) -> PlanOutput {
    if !is_consistent(input) {
        return PlanOutput::default();
    }
    let jobs = jobs_in_round(input);
    let mut planner = Planner::new(input, meter);
    let mut output = PlanOutput { version: VERSION, term: input.term, round: input.round, ..Default::default() };
    let mut budget = RoundBudget::new(input.batch_size);
    let mut classes: Vec<UrgencyClass> = jobs.iter().map(|job| UrgencyClass::of(job)).collect();
    classes.sort_unstable();
    classes.dedup();
    for class in classes {
        let members = jobs.iter().copied().filter(|job| UrgencyClass::of(job) == class);
        let mut active: Vec<JobProgress> = members.map(|job| planner.start_job(job)).collect();
        // The paper doesn't say which job is first. In this planner, jobs that can still meet their deadline come
        // first, in ascending order of the time until their deadline; late jobs follow, oldest first.
        active.sort_by(|a, b| a.turn_order().partial_cmp(&b.turn_order()).unwrap_or(Ordering::Equal));
        place_round_robin(&mut planner, &mut active, &mut budget);
        for progress in active {
            progress.append_to(&mut output);
        }
    }
    output.scale_out = planner.scale_out_requests();
    output
}

/// Places one task (or one gang) of each job in turn, as in the paper's lines 7 to 9, until the round's budget of tasks
/// is used up or no job has tasks to place. All tasks of a job are identical and so have the same rank (paper, eq. 1).
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
                TurnOutcome::Placed => budget.immediate = budget.immediate.saturating_sub(tasks),
                TurnOutcome::Pending => budget.pending = budget.pending.saturating_sub(tasks),
                TurnOutcome::NoCandidate => {
                    progress.mark_rest_as_waiting();
                    continue;
                }
            }
            placed_any = true;
        }
    }
}

/// Whether a planner input lists every machine type that it refers to, and its numbers of machines are within the
/// limits. Checked because inputs from peers aren't trusted.
fn is_consistent(input: &PlanInput) -> bool {
    let types = input.types.len() as u32;
    input.machines.iter().all(|machine| machine.type_index < types)
        && input.offers.iter().all(|offer| offer.type_index < types && offer.max_count <= MAX_MACHINES_PER_OFFER)
        && input.jobs.iter().all(|job| job.tasks <= crate::core::submissions::MAX_TASKS && job.ready_tasks <= job.tasks)
}

#[cfg(test)]
mod tests;
