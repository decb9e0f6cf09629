//! The feasible candidates of a job in descending order of quality.
//!
//! A candidate is feasible if the job may be placed there, the candidate has free capacity for one more task and the
//! zone rules allow its zone. "Paper" is the publication that [`super`] cites.

use super::{Estimate, TOLERANCE, quality};

#[derive(Clone, Copy)]
struct RankedCandidate {
    /// Index of the candidate in the planner's list of candidates.
    index: usize,
    cost: f64,
    /// Whether the candidate passes the deadline filter (paper, line 12).
    in_time: bool,
}

/// The feasible candidates of a job, best first.
///
/// The tasks of a job are identical, so the candidates aren't compared anew for each task, but only when the round
/// first reaches the job and again whenever no feasible candidate passes both the cost and the deadline filter any
/// more. Until then the earlier comparison stays valid, because capacity, budget and time only shrink within a round.
#[derive(Default)]
pub(super) struct CandidateRanking {
    ranked: Vec<RankedCandidate>,
    cheapest_cost: f64,
    /// No candidate before this position in `ranked` is still feasible and passes both the cost and the deadline
    /// filter.
    passing_from: usize,
    /// No candidate before this position in `ranked` is still feasible.
    feasible_from: usize,
    /// Whether no candidate passed both the cost and the deadline filter when the candidates were last compared.
    none_passes: bool,
    /// Whether the ranking may be used. If false, the candidates must be compared anew first.
    is_current: bool,
}

impl CandidateRanking {
    /// Ranks the feasible candidates, given with their indices, by quality (paper, lines 13 to 15).
    ///
    /// `is_in_time` is the deadline filter. `spare_budget` is how much the job's tasks may cost in total beyond the
    /// cheapest candidate.
    pub(super) fn new(
        feasible: &[(usize, &Estimate)],
        spare_budget: f64,
        is_in_time: impl Fn(&Estimate) -> bool,
    ) -> CandidateRanking {
        let (lowest, highest) = extremes(feasible);
        // Qualities are rounded to the tolerance, and the sort is stable: of equal candidates the first one wins.
        let mut ranked: Vec<(i64, RankedCandidate)> = feasible
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
            feasible_from: 0,
            none_passes: false,
            is_current: true,
        };
        ranking.none_passes = !ranking.ranked.iter().any(|candidate| ranking.passes_filters(candidate, spare_budget));
        ranking
    }

    /// Whether the candidate passes the cost filter (paper, eq. 2 and line 11) and the deadline filter (line 12).
    fn passes_filters(&self, candidate: &RankedCandidate, spare_budget: f64) -> bool {
        candidate.in_time && candidate.cost <= self.cheapest_cost + spare_budget + TOLERANCE
    }

    pub(super) fn is_current(&self) -> bool {
        self.is_current
    }

    /// Marks the ranking as outdated, so that the candidates are compared anew before it is used again.
    pub(super) fn invalidate(&mut self) {
        self.is_current = false;
    }

    pub(super) fn none_passes(&self) -> bool {
        self.none_passes
    }

    /// The index of the best candidate that is still feasible and passes both the cost and the deadline filter. Returns
    /// `None` if there is none.
    pub(super) fn best_passing(&mut self, spare_budget: f64, is_feasible: impl Fn(usize) -> bool) -> Option<usize> {
        let found = self.position(self.passing_from, |candidate| {
            self.passes_filters(candidate, spare_budget) && is_feasible(candidate.index)
        });
        self.passing_from = found.unwrap_or(self.ranked.len());
        found.map(|position| self.ranked[position].index)
    }

    /// The index of the best candidate that is still feasible, whether or not it passes the cost and deadline filters.
    /// Returns `None` if there is none.
    pub(super) fn best_feasible(&mut self, is_feasible: impl Fn(usize) -> bool) -> Option<usize> {
        let found = self.position(self.feasible_from, |candidate| is_feasible(candidate.index));
        self.feasible_from = found.unwrap_or(self.ranked.len());
        found.map(|position| self.ranked[position].index)
    }

    /// Whether any candidate that may still be feasible meets the condition, which is given the candidate's index.
    pub(super) fn any(&self, condition: impl Fn(usize) -> bool) -> bool {
        self.position(self.feasible_from, |candidate| condition(candidate.index)).is_some()
    }

    fn position(&self, from: usize, condition: impl Fn(&RankedCandidate) -> bool) -> Option<usize> {
        self.ranked[from..].iter().position(condition).map(|offset| from + offset)
    }

    /// Inserts a new candidate directly after the last one for which `is_equal` holds. Returns how many candidates
    /// were examined to find that last one. If `is_equal` holds for none, invalidates the ranking and returns `None`.
    pub(super) fn insert_after_equal(
        &mut self,
        index: usize,
        cost: f64,
        is_equal: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let Some(position) = self.ranked.iter().rposition(|candidate| is_equal(candidate.index)) else {
            self.invalidate();
            return None;
        };
        let examined = self.ranked.len() - position;
        let in_time = self.ranked[position].in_time;
        self.ranked.insert(position + 1, RankedCandidate { index, cost, in_time });
        self.passing_from = self.passing_from.min(position + 1);
        self.feasible_from = self.feasible_from.min(position + 1);
        Some(examined)
    }
}

/// The minima (first estimate) and maxima (second) of finish time and cost over the candidates. The other fields of
/// both estimates are unused.
fn extremes(feasible: &[(usize, &Estimate)]) -> (Estimate, Estimate) {
    let unbounded =
        Estimate { finish_s: f64::INFINITY, cost: f64::INFINITY, start_s: 0.0, reliability: 0.0, spot: false };
    let (mut lowest, mut highest) = (unbounded, Estimate { finish_s: 0.0, cost: 0.0, ..unbounded });
    for (_, estimate) in feasible {
        lowest.finish_s = lowest.finish_s.min(estimate.finish_s);
        lowest.cost = lowest.cost.min(estimate.cost);
        highest.finish_s = highest.finish_s.max(estimate.finish_s);
        highest.cost = highest.cost.max(estimate.cost);
    }
    (lowest, highest)
}
