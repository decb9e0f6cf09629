//! The state of one job within a round.

use super::candidates::{Candidate, SearchScope};
use super::estimates::estimate_in_scope;
use super::ranking::CandidateRanking;
use super::{Estimate, TOLERANCE, sub_deadline, zone_allowed};
use crate::core::cost::CostMeter;
use crate::peer::{JobView, Placement, PlanInput, PlanOutput, Waiting, ZoneCount};
use std::collections::BTreeMap;

/// The job that begins a round of turns is the lowest: of those that can still be in time, the one with the
/// least time left, then the late ones by age (ours), and of equals the one of the highest rank (paper, eq. 1).
#[derive(PartialEq, PartialOrd)]
pub(super) struct TurnOrder {
    is_late: bool,
    left_s_or_minus_age_s: f64,
    minus_rank_s: f64,
    job: u32,
}

/// The tasks of a job that a round has placed on one machine.
#[derive(Default)]
struct PlacedTasks {
    count: u32,
    /// What they cost above the cheapest candidate, all together.
    extra_cost: f64,
}

/// A job's state within a round.
pub(super) struct JobProgress<'a> {
    job: &'a JobView,
    /// By the index of the candidate; none where the job may not go.
    estimates: Vec<Option<Estimate>>,
    tasks_left: u32,
    cheapest_cost: f64,
    /// The paper's spare budget: what the rest of the job may cost above the cheapest candidates.
    spare_budget: f64,
    due_s: f64,
    zones: Vec<ZoneCount>,
    /// By the key of the machine.
    placed: BTreeMap<u32, PlacedTasks>,
    waiting: Waiting,
    rank_s: f64,
    ranking: CandidateRanking,
    /// Widened while no machine in it that is up has capacity.
    scope: SearchScope,
}

impl<'a> JobProgress<'a> {
    /// Compares the job with all candidates.
    pub(super) fn new(input: &PlanInput, candidates: &[Candidate], job: &'a JobView) -> JobProgress<'a> {
        let scope = if job.service { SearchScope::WithoutGpus } else { SearchScope::Headroom };
        let estimates: Vec<Option<Estimate>> =
            candidates.iter().map(|candidate| estimate_in_scope(input, job, candidate, scope)).collect();
        let known = || estimates.iter().flatten();
        let cheapest_cost = known().map(|estimate| estimate.cost).fold(f64::INFINITY, f64::min);
        let dearest_cost = known().map(|estimate| estimate.cost).fold(0.0, f64::max);
        let cheapest_make_span_s = known()
            .filter(|estimate| estimate.cost <= cheapest_cost + TOLERANCE)
            .map(|estimate| estimate.finish_s)
            .fold(f64::INFINITY, f64::min);
        // The average time over the candidates stands for the average execution time of eq. 1.
        let known_count = known().count().max(1) as f64;
        let rank_s = known().map(|estimate| estimate.finish_s).sum::<f64>() / known_count + job.dependents_s;
        // Budget = cheapest + B x (dearest - cheapest) for all tasks (ours), less what was spent.
        let spare_budget = if cheapest_cost.is_finite() {
            (input.budget_share * (dearest_cost - cheapest_cost) * job.tasks as f64 - job.overspent).max(0.0)
        } else {
            0.0
        };
        // Jobs without a deadline get twice their cheapest make span (ours).
        let due_s = job.due_s.unwrap_or(2.0 * cheapest_make_span_s - job.age_s);
        JobProgress {
            job,
            estimates,
            tasks_left: job.ready,
            cheapest_cost,
            spare_budget,
            due_s,
            zones: job.placed.clone(),
            placed: BTreeMap::new(),
            waiting: Waiting { job: job.key, ..Default::default() },
            rank_s,
            ranking: CandidateRanking::default(),
            scope,
        }
    }

    pub(super) fn job(&self) -> &'a JobView {
        self.job
    }

    pub(super) fn turn_order(&self) -> TurnOrder {
        let left_s = self.job.slo_deadline_s.unwrap_or(self.due_s);
        let is_late = left_s < self.job.run_s;
        TurnOrder {
            is_late,
            left_s_or_minus_age_s: if is_late { -self.job.age_s } else { left_s },
            minus_rank_s: -self.rank_s,
            job: self.job.key,
        }
    }

    pub(super) fn has_tasks_left(&self) -> bool {
        self.tasks_left > 0
    }

    /// What a turn counts for in the round's budget: one task, or the whole gang.
    pub(super) fn tasks_per_turn(&self) -> u32 {
        if self.job.gang { self.job.tasks } else { 1 }
    }

    /// How many tasks the next turn places, all or none.
    pub(super) fn next_tasks(&self) -> u32 {
        if self.job.gang { self.tasks_left } else { 1 }
    }

    /// Nothing is open to the job in this round: the rest of it waits.
    pub(super) fn leave_waiting(&mut self) {
        self.waiting.count += self.tasks_left;
        self.tasks_left = 0;
    }

    fn has_capacity(&self, candidates: &[Candidate], index: usize) -> bool {
        candidates[index].fits(self.job, self.scope)
    }

    fn allows_zone(&self, candidate: &Candidate) -> bool {
        zone_allowed(self.job.spread, self.job.one_zone, self.job.tasks, &self.zones, candidate.zone)
    }

    /// Whether a candidate that is up is open to the job.
    fn has_open_machine(&mut self, candidates: &[Candidate], meter: &CostMeter) -> bool {
        if !self.ranking.is_current() {
            self.rank_candidates(candidates, meter);
        }
        self.ranking.any(|index| {
            let candidate = &candidates[index];
            candidate.up && self.has_capacity(candidates, index) && self.allows_zone(candidate)
        })
    }

    /// Lets a service without GPUs take GPU machines as far as nothing else that is up has capacity.
    pub(super) fn widen_scope(&mut self, input: &PlanInput, candidates: &[Candidate], meter: &CostMeter) {
        if !self.job.service || self.job.gpus > TOLERANCE {
            return;
        }
        for scope in [SearchScope::Headroom, SearchScope::All] {
            if self.scope >= scope || self.has_open_machine(candidates, meter) {
                continue;
            }
            self.scope = scope;
            self.estimates =
                candidates.iter().map(|candidate| estimate_in_scope(input, self.job, candidate, scope)).collect();
            self.ranking.invalidate();
        }
    }

    /// The candidate of the highest quality for the job's next task (paper, lines 10-16): of those that pass
    /// both filters, or of all that are open where none passes (ours).
    pub(super) fn best_candidate(&mut self, candidates: &[Candidate], meter: &CostMeter) -> Option<usize> {
        if !self.ranking.is_current() {
            self.rank_candidates(candidates, meter);
        }
        // Taken out while its own job decides which of its candidates are open.
        let mut ranking = std::mem::take(&mut self.ranking);
        let best = loop {
            if ranking.none_passes() {
                break ranking.best_open(|index| self.is_open(candidates, index));
            }
            let passing = ranking.best_passing(self.spare_budget, |index| self.is_open(candidates, index));
            if passing.is_some() {
                break passing;
            }
            ranking = self.ranking_of(candidates, meter);
        };
        self.ranking = ranking;
        best
    }

    fn is_open(&self, candidates: &[Candidate], index: usize) -> bool {
        self.has_capacity(candidates, index) && self.allows_zone(&candidates[index])
    }

    fn rank_candidates(&mut self, candidates: &[Candidate], meter: &CostMeter) {
        self.ranking = self.ranking_of(candidates, meter);
    }

    fn ranking_of(&self, candidates: &[Candidate], meter: &CostMeter) -> CandidateRanking {
        meter.add_choices(self.estimates.len());
        let open: Vec<(usize, &Estimate)> = self
            .estimates
            .iter()
            .enumerate()
            .filter_map(|(index, estimate)| Some((index, estimate.as_ref()?)))
            .filter(|(index, _)| self.is_open(candidates, *index))
            .collect();
        CandidateRanking::new(&open, self.spare_budget, |estimate| {
            estimate.finish_s <= sub_deadline(self.due_s, self.job.run_s, estimate.spot) + TOLERANCE
        })
    }

    /// Takes in the candidates that were opened since the job was compared with all.
    pub(super) fn add_new_candidates(&mut self, input: &PlanInput, candidates: &[Candidate], meter: &CostMeter) {
        for index in self.estimates.len()..candidates.len() {
            self.estimates.push(estimate_in_scope(input, self.job, &candidates[index], self.scope));
            self.rank_new_candidate(candidates, index, meter);
        }
    }

    /// Ranks a newly opened machine of an offer behind the one opened before it, which is its equal.
    fn rank_new_candidate(&mut self, candidates: &[Candidate], index: usize, meter: &CostMeter) {
        meter.add_choices(1);
        // Others may have filled it already, and capacity only shrinks.
        if !self.has_capacity(candidates, index) {
            return;
        }
        let Some(estimate) = &self.estimates[index] else { return };
        let offer = candidates[index].offer();
        let passed = self.ranking.insert_behind_equal(index, estimate.cost, |other| candidates[other].offer() == offer);
        meter.add_choices(passed.unwrap_or(0));
    }

    /// One more of the job's tasks is to go to the zone.
    pub(super) fn count_in_zone(&mut self, zone: u32) {
        match self.zones.iter_mut().find(|counted| counted.zone == zone) {
            Some(counted) => counted.count += 1,
            None => self.zones.push(ZoneCount { zone, count: 1 }),
        }
    }

    /// Restricts the search for a one-zone gang to a zone.
    pub(super) fn restrict_to_zone(&mut self, zone: u32) {
        self.zones = vec![ZoneCount { zone, count: 1 }];
        self.ranking.invalidate();
    }

    /// The tasks that were counted in this turn are not placed, and their capacity is released.
    pub(super) fn undo_turn(&mut self) {
        self.zones = self.job.placed.clone();
        self.ranking.invalidate();
    }

    /// A task is placed on the candidate, and the spare budget reduced (paper, line 17). `machine` is the
    /// machine's key if the task starts now; without, it waits for machines to come up.
    pub(super) fn record_task(&mut self, candidate: &Candidate, index: usize, machine: Option<u32>) {
        let estimate = self.estimates[index].unwrap_or(Estimate {
            finish_s: 0.0,
            start_s: 0.0,
            cost: 0.0,
            reliability: 0.0,
            spot: false,
        });
        let extra_cost = (estimate.cost - self.cheapest_cost).max(0.0);
        self.spare_budget = (self.spare_budget - extra_cost).max(0.0);
        self.tasks_left -= 1;
        if let Some(machine) = machine {
            let placed = self.placed.entry(machine).or_default();
            placed.count += 1;
            placed.extra_cost += extra_cost;
        } else {
            self.waiting.count += 1;
            self.waiting.on_spot |= candidate.spot && !candidate.up;
            self.waiting.finish_s = self.waiting.finish_s.max(estimate.finish_s);
            self.waiting.ready_s = self.waiting.ready_s.max(estimate.start_s);
        }
    }

    /// Adds what the round has decided about the job.
    pub(super) fn append_to(self, output: &mut PlanOutput) {
        for (machine, placed) in self.placed {
            let PlacedTasks { count, extra_cost } = placed;
            output.placements.push(Placement { job: self.job.key, machine, count, extra: extra_cost });
        }
        let count = self.waiting.count + self.tasks_left;
        if count > 0 {
            output.waiting.push(Waiting { count, ..self.waiting });
        }
    }
}
