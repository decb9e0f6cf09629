//! The rules of the protocol, checked against the true state that the model keeps.

use super::*;

impl ElectionSimulation {
    pub(super) fn check(&mut self) {
        self.check_at_most_one_active_term();
        self.check_cancelled_tasks_are_gone();
    }

    fn check_at_most_one_active_term(&mut self) {
        let active: Vec<(usize, Term)> = (0..CONTROLLERS)
            .filter(|index| self.now >= self.controllers[*index].frozen_until)
            .filter_map(|index| Some((index, self.controllers[index].active_term(self.now)?)))
            .collect();
        assert!(active.len() < 2, "{active:?} all have an active term at {}", self.now);
        for (index, term) in active {
            let last = self.last_active_term;
            assert!(term.0 >= last, "{index} is active again in {term} after {last} at {}", self.now);
            self.last_active_term = term.0;
        }
    }

    fn check_cancelled_tasks_are_gone(&self) {
        for worker in self.workers.iter().filter(|worker| worker.runs) {
            if let Some(at) = self.confirmed.get(&worker.job) {
                let (job, now) = (worker.job, self.now);
                assert!(now - at <= CANCELLATION_TIMEOUT, "ran_cancelled: {job} confirmed at {at} runs at {now}");
            }
        }
    }
}
