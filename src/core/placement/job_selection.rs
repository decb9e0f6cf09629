//! Chooses the jobs that a planning round considers, and divides them into classes that are planned one after the
//! other.

use crate::peer::{JobView, PlanInput};

/// Limit on the number of estimates with which a planning round starts: one for each pair of a job and a candidate.
pub(super) const MAX_ESTIMATES: usize = 65_536;
/// A planning round may always consider this many jobs, however many candidates there are.
pub(super) const MIN_JOBS_PER_ROUND: usize = 24;
/// A planning round considers at most this many jobs, however few candidates there are.
const MAX_JOBS_PER_ROUND: usize = 256;

/// The class of a job within a round. Classes are planned one after the other, in ascending order.
///
/// Jobs of more urgent priority come first, then those within their team's guarantee, then those that have missed the
/// fewest SLOs. If all jobs took turns, under overload those that already miss SLOs would delay the others until these
/// missed theirs as well. The classes are not from the paper.
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

/// The jobs that the planning round considers.
///
/// Each job is compared with every candidate, so the number of jobs is limited where there are many candidates. Then
/// three quarters of the jobs are the most urgent ones, and the remaining places rotate through all other jobs from
/// round to round, so that none starves. This limit is not from the paper.
pub(super) fn jobs_in_round(input: &PlanInput) -> Vec<&JobView> {
    let candidates = (input.machines.len() + input.offers.len()).max(1);
    let max_jobs = (MAX_ESTIMATES / candidates).clamp(MIN_JOBS_PER_ROUND, MAX_JOBS_PER_ROUND);
    let mut jobs: Vec<&JobView> = input.jobs.iter().filter(|job| job.ready_tasks > 0).collect();
    if jobs.len() <= max_jobs {
        return jobs;
    }
    let time_left_s = |job: &JobView| job.slo_deadline_s.or(job.due_s).unwrap_or(-job.age_s);
    jobs.sort_by(|a, b| UrgencyClass::of(a).cmp(&UrgencyClass::of(b)).then(time_left_s(a).total_cmp(&time_left_s(b))));
    let rotating = max_jobs / 4;
    let mut others = jobs.split_off(max_jobs - rotating);
    others.sort_by_key(|job| job.key);
    let first = (input.round as usize).wrapping_mul(rotating) % others.len();
    jobs.extend(others[first..].iter().chain(&others[..first]).take(rotating));
    jobs
}
