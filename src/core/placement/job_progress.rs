//! The state of one job within a planning round.
//!
//! A candidate is feasible for a job if the job may be placed there, the candidate has free capacity for one more task
//! and the zone rules allow its zone. "Paper" is the publication that [`super`] cites.

use super::candidates::{Candidate, SearchScope};
use super::estimates::estimate_in_scope;
use super::ranking::CandidateRanking;
use super::{Estimate, TOLERANCE, count_in_zone, sub_deadline, zone_allowance, zone_allowed};
use crate::core::cost::OperationMeter;
use crate::peer::{JobView, Placement, PlanInput, PlanOutput, WaitingTasks, ZoneCount};
use std::collections::BTreeMap;

/// Sort key for the order in which jobs take turns, lowest first.
///
/// Jobs that can still meet their deadline come first, in ascending order of the time until the deadline. Late jobs
/// follow, oldest first. Of equal jobs, the one with the highest rank (paper, eq. 1) is first. Only the rank is from
/// the paper.
#[derive(PartialEq, PartialOrd)]
pub(super) struct TurnOrder {
    is_late: bool,
    /// Seconds until the job's deadline, or for a late job its age in seconds as a negative number.
    time_left_s_or_minus_age_s: f64,
    minus_rank_s: f64,
    job: u32,
}

/// The tasks of a job that the round has placed on one machine.
#[derive(Default)]
struct PlacedTasks {
    count: u32,
    /// What these tasks cost in total above the cheapest candidate, in the currency of the cloud's prices.
    excess_cost: f64,
}

/// The state of one job within a planning round.
pub(super) struct JobProgress<'a> {
    job: &'a JobView,
    /// The estimate of one task of the job on each candidate, by candidate index. `None` if the job may not be placed
    /// on the candidate.
    estimates: Vec<Option<Estimate>>,
    tasks_left: u32,
    cheapest_cost: f64,
    /// What the job's tasks that have not been placed may cost in total above the cheapest candidate (the paper's spare
    /// budget), in the currency of the cloud's prices.
    spare_budget: f64,
    /// The job's deadline, in seconds from now.
    due_s: f64,
    /// How many of the job's tasks are in each zone, including those chosen in this round.
    zone_counts: Vec<ZoneCount>,
    /// The tasks that the round has placed on machines that are up, so that they start now; by machine key.
    placed: BTreeMap<u32, PlacedTasks>,
    /// The job's tasks that can't start now, as they wait for a machine or have no feasible candidate.
    waiting: WaitingTasks,
    /// The job's rank in seconds (paper, eq. 1).
    rank_s: f64,
    ranking: CandidateRanking,
    /// Which GPU machines the job may use. Widened when no machine within the scope is both up and feasible.
    scope: SearchScope,
}

impl<'a> JobProgress<'a> {
    /// Creates the job's state at the start of a round, with an estimate of one of its tasks on every candidate.
    pub(super) fn new(input: &PlanInput, candidates: &[Candidate], job: &'a JobView) -> JobProgress<'a> {
        let scope = if job.service { SearchScope::WithoutGpus } else { SearchScope::Headroom };
        let estimates: Vec<Option<Estimate>> =
            candidates.iter().map(|candidate| estimate_in_scope(input, job, candidate, scope)).collect();
        let known = || estimates.iter().flatten();
        let cheapest_cost = known().map(|estimate| estimate.cost).fold(f64::INFINITY, f64::min);
        let highest_cost = known().map(|estimate| estimate.cost).fold(0.0, f64::max);
        let cheapest_makespan_s = known()
            .filter(|estimate| estimate.cost <= cheapest_cost + TOLERANCE)
            .map(|estimate| estimate.finish_s)
            .fold(f64::INFINITY, f64::min);
        // For the average execution time in eq. 1 of the paper, the average finish time over the candidates is used.
        let known_count = known().count().max(1) as f64;
        let rank_s = known().map(|estimate| estimate.finish_s).sum::<f64>() / known_count + job.dependents_rank_s;
        // The spare budget is B x (highest cost - cheapest cost) for each of the job's tasks, where B is the setting
        // `budget_share`, less what earlier placements have spent of it. This formula for several tasks is not from the
        // paper.
        let spare_budget = if cheapest_cost.is_finite() {
            (input.budget_share * (highest_cost - cheapest_cost) * job.tasks as f64 - job.excess_cost).max(0.0)
        } else {
            0.0
        };
        // Without a deadline, a job is due at an age of twice its makespan on the cheapest candidate (not from the
        // paper).
        let due_s = job.due_s.unwrap_or(2.0 * cheapest_makespan_s - job.age_s);
        JobProgress {
            job,
            estimates,
            tasks_left: job.ready_tasks,
            cheapest_cost,
            spare_budget,
            due_s,
            zone_counts: job.placed.clone(),
            placed: BTreeMap::new(),
            waiting: WaitingTasks { job: job.key, ..Default::default() },
            rank_s,
            ranking: CandidateRanking::default(),
            scope,
        }
    }

    pub(super) fn job(&self) -> &'a JobView {
        self.job
    }

    pub(super) fn turn_order(&self) -> TurnOrder {
        let time_left_s = self.job.slo_deadline_s.unwrap_or(self.due_s);
        let is_late = time_left_s < self.job.run_s;
        TurnOrder {
            is_late,
            time_left_s_or_minus_age_s: if is_late { -self.job.age_s } else { time_left_s },
            minus_rank_s: -self.rank_s,
            job: self.job.key,
        }
    }

    pub(super) fn has_tasks_left(&self) -> bool {
        self.tasks_left > 0
    }

    /// How many tasks one turn of the job deducts from the round's budget: one, or all tasks of a gang.
    pub(super) fn tasks_per_turn(&self) -> u32 {
        if self.job.gang { self.job.tasks } else { 1 }
    }

    /// Number of tasks that the job's next turn tries to place: it places all of them or none.
    pub(super) fn tasks_in_next_turn(&self) -> u32 {
        if self.job.gang { self.tasks_left } else { 1 }
    }

    /// Marks all remaining tasks as waiting, as no candidate is feasible for the job in this round.
    pub(super) fn mark_rest_as_waiting(&mut self) {
        self.waiting.count += self.tasks_left;
        self.tasks_left = 0;
    }

    fn has_capacity(&self, candidates: &[Candidate], index: usize) -> bool {
        candidates[index].fits(self.job, self.scope)
    }

    fn allows_zone(&self, candidate: &Candidate) -> bool {
        zone_allowed(self.job.spread, self.job.one_zone, self.job.tasks, &self.zone_counts, candidate.zone)
    }

    /// Whether a machine that is up is feasible for one more task of the job.
    fn has_feasible_machine_up(&mut self, candidates: &[Candidate], meter: &OperationMeter) -> bool {
        if !self.ranking.is_current() {
            self.rank_candidates(candidates, meter);
        }
        self.ranking.any(|index| {
            let candidate = &candidates[index];
            candidate.up && self.has_capacity(candidates, index) && self.allows_zone(candidate)
        })
    }

    /// Lets a service that needs no GPU use GPU machines if no other machine that is up is feasible: first up to their
    /// headroom for such jobs, then up to their whole capacity.
    pub(super) fn widen_scope(&mut self, input: &PlanInput, candidates: &[Candidate], meter: &OperationMeter) {
        if !self.job.service || self.job.gpus > TOLERANCE {
            return;
        }
        for scope in [SearchScope::Headroom, SearchScope::All] {
            if self.scope >= scope || self.has_feasible_machine_up(candidates, meter) {
                continue;
            }
            self.scope = scope;
            self.estimates =
                candidates.iter().map(|candidate| estimate_in_scope(input, self.job, candidate, scope)).collect();
            self.ranking.invalidate();
        }
    }

    /// The candidate of the highest quality for the job's next task: the best of those that pass the cost and deadline
    /// filters (paper, lines 10 to 16) or, if none passes, the best feasible one (not from the paper).
    pub(super) fn best_candidate(&mut self, candidates: &[Candidate], meter: &OperationMeter) -> Option<usize> {
        if !self.ranking.is_current() {
            self.rank_candidates(candidates, meter);
        }
        // Moved out so that `self` can be borrowed to check feasibility.
        let mut ranking = std::mem::take(&mut self.ranking);
        let best = loop {
            if ranking.none_passes() {
                break ranking.best_feasible(|index| self.is_feasible(candidates, index));
            }
            let passing = ranking.best_passing(self.spare_budget, |index| self.is_feasible(candidates, index));
            if passing.is_some() {
                break passing;
            }
            ranking = self.ranking_of(candidates, meter);
        };
        self.ranking = ranking;
        best
    }

    /// Whether the candidate, on which the job may be placed, has free capacity for one more of the job's tasks and is
    /// in a zone where one more of them is allowed.
    fn is_feasible(&self, candidates: &[Candidate], index: usize) -> bool {
        self.has_capacity(candidates, index) && self.allows_zone(&candidates[index])
    }

    fn rank_candidates(&mut self, candidates: &[Candidate], meter: &OperationMeter) {
        self.ranking = self.ranking_of(candidates, meter);
    }

    fn ranking_of(&self, candidates: &[Candidate], meter: &OperationMeter) -> CandidateRanking {
        meter.add_comparisons(self.estimates.len());
        let feasible: Vec<(usize, &Estimate)> = self
            .estimates
            .iter()
            .enumerate()
            .filter_map(|(index, estimate)| Some((index, estimate.as_ref()?)))
            .filter(|(index, _)| self.is_feasible(candidates, *index))
            .collect();
        CandidateRanking::new(&feasible, self.spare_budget, |estimate| {
            estimate.finish_s <= sub_deadline(self.due_s, self.job.run_s, estimate.spot) + TOLERANCE
        })
    }

    /// Estimates and ranks the candidates that have been added since this job's estimates were last updated.
    pub(super) fn add_new_candidates(&mut self, input: &PlanInput, candidates: &[Candidate], meter: &OperationMeter) {
        for index in self.estimates.len()..candidates.len() {
            self.estimates.push(estimate_in_scope(input, self.job, &candidates[index], self.scope));
            self.rank_new_candidate(candidates, index, meter);
        }
    }

    /// Ranks a machine of an offer, which has just been added to the candidates, directly after the previous machine of
    /// the same offer, as both are equivalent.
    fn rank_new_candidate(&mut self, candidates: &[Candidate], index: usize, meter: &OperationMeter) {
        meter.add_comparisons(1);
        // Other jobs may have used up the new candidate's capacity, and capacity only shrinks within a round.
        if !self.has_capacity(candidates, index) {
            return;
        }
        let Some(estimate) = &self.estimates[index] else { return };
        let offer = candidates[index].offer();
        let examined =
            self.ranking.insert_after_equal(index, estimate.cost, |other| candidates[other].offer() == offer);
        meter.add_comparisons(examined.unwrap_or(0));
    }

    /// Allocates capacity of the candidate, which is feasible for the job, for up to `tasks` of the job's tasks. Returns
    /// the number of tasks, at least one.
    pub(super) fn allocate(&self, candidate: &mut Candidate, tasks: u32) -> u32 {
        let JobView { spread, one_zone, tasks: total, .. } = *self.job;
        let allowed = zone_allowance(spread, one_zone, total, &self.zone_counts, candidate.zone);
        let most = tasks.min(allowed);
        candidate.allocate(self.job);
        let mut count = 1;
        while count < most && candidate.fits(self.job, self.scope) {
            candidate.allocate(self.job);
            count += 1;
        }
        count
    }

    /// Counts more of the job's tasks in the zone.
    pub(super) fn count_in_zone(&mut self, zone: u32, tasks: u32) {
        count_in_zone(&mut self.zone_counts, zone, tasks);
    }

    /// Restricts the search for a one-zone gang to one zone, by counting one of its tasks as placed in that zone.
    pub(super) fn restrict_to_zone(&mut self, zone: u32) {
        self.zone_counts = vec![ZoneCount { zone, count: 1 }];
        self.ranking.invalidate();
    }

    /// Resets the numbers of tasks in each zone, after a turn that placed nothing, to those at the start of the round.
    /// The tasks placed in earlier turns of the round needn't be included, as the job gets no further turn. A gang has
    /// no earlier turns.
    pub(super) fn undo_turn(&mut self) {
        self.zone_counts = self.job.placed.clone();
        self.ranking.invalidate();
    }

    /// Records that tasks are placed on the candidate, and reduces the spare budget (paper, line 17). `machine` is the
    /// machine's key if the tasks start now, or `None` if they wait for machines to come up.
    pub(super) fn record_tasks(&mut self, candidate: &Candidate, index: usize, machine: Option<u32>, tasks: u32) {
        let estimate = self.estimates[index].unwrap_or(Estimate {
            finish_s: 0.0,
            start_s: 0.0,
            cost: 0.0,
            reliability: 0.0,
            spot: false,
        });
        let excess_cost = (estimate.cost - self.cheapest_cost).max(0.0) * f64::from(tasks);
        self.spare_budget = (self.spare_budget - excess_cost).max(0.0);
        self.tasks_left -= tasks;
        if let Some(machine) = machine {
            let placed = self.placed.entry(machine).or_default();
            placed.count += tasks;
            placed.excess_cost += excess_cost;
        } else {
            self.waiting.count += tasks;
            self.waiting.waits_for_spot |= candidate.spot && !candidate.up;
            self.waiting.finish_s = self.waiting.finish_s.max(estimate.finish_s);
            self.waiting.start_s = self.waiting.start_s.max(estimate.start_s);
        }
    }

    /// Appends the job's placements and waiting tasks to the plan.
    pub(super) fn append_to(self, output: &mut PlanOutput) {
        for (machine, placed) in self.placed {
            let PlacedTasks { count, excess_cost } = placed;
            output.placements.push(Placement { job: self.job.key, machine, count, excess_cost });
        }
        let count = self.waiting.count + self.tasks_left;
        if count > 0 {
            output.waiting.push(WaitingTasks { count, ..self.waiting });
        }
    }
}
