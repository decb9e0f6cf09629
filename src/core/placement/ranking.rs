//! The candidates open to a job, in the order of their quality.

use super::{Estimate, TOLERANCE, quality};

#[derive(Clone, Copy)]
struct RankedCandidate {
    /// Index among the planner's candidates.
    index: usize,
    cost: f64,
    /// It passes the deadline filter (paper, line 12).
    in_time: bool,
}

/// The candidates open to a job, the best first. The job's tasks are alike, so candidates are compared when
/// the round comes to the job and again when none is left that passes both filters, not for each task:
/// capacity, budget and time only shrink within a round.
#[derive(Default)]
pub(super) struct CandidateRanking {
    ranked: Vec<RankedCandidate>,
    cheapest_cost: f64,
    /// No candidate before this position is open and passes both filters any more.
    passing_from: usize,
    /// No candidate before this position is open any more.
    open_from: usize,
    /// No candidate passed both filters when they were last compared.
    none_passes: bool,
    /// Cleared when the candidates must be compared anew before the ranking is used.
    is_current: bool,
}

impl CandidateRanking {
    /// Ranks the open candidates by quality (paper, lines 13-15). `is_in_time` is the deadline filter;
    /// `spare_budget` is what the job may spend above the cheapest.
    pub(super) fn new(
        open: &[(usize, &Estimate)],
        spare_budget: f64,
        is_in_time: impl Fn(&Estimate) -> bool,
    ) -> CandidateRanking {
        let (lowest, highest) = extremes(open);
        // Qualities that differ by less than the tolerance are equal: then the first candidate goes first.
        let mut ranked: Vec<(i64, RankedCandidate)> = open
            .iter()
            .map(|(index, estimate)| {
                let candidate = RankedCandidate { index: *index, cost: estimate.cost, in_time: is_in_time(estimate) };
                ((-quality(estimate, &lowest, &highest) / TOLERANCE) as i64, candidate)
            })
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        let mut ranking = CandidateRanking {
            ranked: ranked.into_iter().map(|(_, candidate)| candidate).collect(),
            cheapest_cost: lowest.cost,
            passing_from: 0,
            open_from: 0,
            none_passes: false,
            is_current: true,
        };
        ranking.none_passes = !ranking.ranked.iter().any(|candidate| ranking.passes_filters(candidate, spare_budget));
        ranking
    }

    /// The cost filter (paper, eq. 2 and line 11) and the deadline filter (line 12).
    fn passes_filters(&self, candidate: &RankedCandidate, spare_budget: f64) -> bool {
        candidate.in_time && candidate.cost <= self.cheapest_cost + spare_budget + TOLERANCE
    }

    pub(super) fn is_current(&self) -> bool {
        self.is_current
    }

    /// Has the candidates compared anew before the ranking is used next.
    pub(super) fn invalidate(&mut self) {
        self.is_current = false;
    }

    pub(super) fn none_passes(&self) -> bool {
        self.none_passes
    }

    /// The best candidate that is open and passes both filters.
    pub(super) fn best_passing(&mut self, spare_budget: f64, is_open: impl Fn(usize) -> bool) -> Option<usize> {
        let found = self.position(self.passing_from, |candidate| {
            self.passes_filters(candidate, spare_budget) && is_open(candidate.index)
        });
        self.passing_from = found.unwrap_or(self.ranked.len());
        found.map(|position| self.ranked[position].index)
    }

    /// The best candidate that is open, whether or not it passes the filters.
    pub(super) fn best_open(&mut self, is_open: impl Fn(usize) -> bool) -> Option<usize> {
        let found = self.position(self.open_from, |candidate| is_open(candidate.index));
        self.open_from = found.unwrap_or(self.ranked.len());
        found.map(|position| self.ranked[position].index)
    }

    /// Whether one of the candidates that may still be open fulfils the condition.
    pub(super) fn any(&self, condition: impl Fn(usize) -> bool) -> bool {
        self.position(self.open_from, |candidate| condition(candidate.index)).is_some()
    }

    fn position(&self, from: usize, condition: impl Fn(&RankedCandidate) -> bool) -> Option<usize> {
        self.ranked[from..].iter().position(condition).map(|offset| from + offset)
    }

    /// Enters a new candidate behind the last one that `is_equal` to it. Returns how many candidates were
    /// passed on the way; none, and the ranking is no longer current, if there is no equal.
    pub(super) fn insert_behind_equal(
        &mut self,
        index: usize,
        cost: f64,
        is_equal: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let Some(position) = self.ranked.iter().rposition(|candidate| is_equal(candidate.index)) else {
            self.invalidate();
            return None;
        };
        let passed = self.ranked.len() - position;
        let in_time = self.ranked[position].in_time;
        self.ranked.insert(position + 1, RankedCandidate { index, cost, in_time });
        self.passing_from = self.passing_from.min(position + 1);
        self.open_from = self.open_from.min(position + 1);
        Some(passed)
    }
}

/// The lowest and the highest finish and cost.
fn extremes(open: &[(usize, &Estimate)]) -> (Estimate, Estimate) {
    let unbounded =
        Estimate { finish_s: f64::INFINITY, cost: f64::INFINITY, start_s: 0.0, reliability: 0.0, spot: false };
    let (mut lowest, mut highest) = (unbounded, Estimate { finish_s: 0.0, cost: 0.0, ..unbounded });
    for (_, estimate) in open {
        lowest.finish_s = lowest.finish_s.min(estimate.finish_s);
        lowest.cost = lowest.cost.min(estimate.cost);
        highest.finish_s = highest.finish_s.max(estimate.finish_s);
        highest.cost = highest.cost.max(estimate.cost);
    }
    (lowest, highest)
}
