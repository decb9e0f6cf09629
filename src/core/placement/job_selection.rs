//! Which jobs a round plans for, and in which classes.

use crate::peer::{JobView, PlanInput};

/// The most comparisons of jobs with candidates that a round begins with.
pub(super) const MAX_ESTIMATES: usize = 65_536;
/// A round plans for at least this many jobs, however many candidates there are.
pub(super) const MIN_JOBS_PER_ROUND: usize = 24;
/// A round plans for at most this many jobs.
const MAX_JOBS_PER_ROUND: usize = 256;

/// Classes are planned for one after the other, in ascending order: jobs of higher priority, within one
/// priority those that a guarantee covers, and of these the ones that can still meet the most of their
/// SLOs. Under overload, turns for the rest would only make these late as well (ours).
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct UrgencyClass {
    priority: u32,
    outside_guarantee: bool,
    missed_slos: u32,
}

impl UrgencyClass {
    pub(super) fn of(job: &JobView) -> UrgencyClass {
        UrgencyClass { priority: job.priority, outside_guarantee: !job.guaranteed, missed_slos: job.missed_slos }
    }
}

/// The jobs that this round plans for. Each is compared with every candidate, so where both are many, three
/// quarters of the jobs are the most urgent, and the others follow each other from round to round, so that no
/// job is passed over for ever (ours).
pub(super) fn jobs_in_scope(input: &PlanInput) -> Vec<&JobView> {
    let candidates = (input.machines.len() + input.offers.len()).max(1);
    let most = (MAX_ESTIMATES / candidates).clamp(MIN_JOBS_PER_ROUND, MAX_JOBS_PER_ROUND);
    let mut jobs: Vec<&JobView> = input.jobs.iter().filter(|job| job.ready > 0).collect();
    if jobs.len() <= most {
        return jobs;
    }
    let left_s = |job: &JobView| job.slo_deadline_s.or(job.due_s).unwrap_or(-job.age_s);
    jobs.sort_by(|a, b| UrgencyClass::of(a).cmp(&UrgencyClass::of(b)).then(left_s(a).total_cmp(&left_s(b))));
    let in_turn = most / 4;
    let mut others = jobs.split_off(most - in_turn);
    others.sort_by_key(|job| job.key);
    let first = (input.round as usize).wrapping_mul(in_turn) % others.len();
    jobs.extend(others[first..].iter().chain(&others[..first]).take(in_turn));
    jobs
}
