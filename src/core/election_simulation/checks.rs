//! The invariants of the election protocol, checked against the state of the whole simulation.

use super::*;

impl ElectionSimulation {
    pub(super) fn check_invariants(&mut self) {
        self.check_at_most_one_active_term();
        self.check_cancelled_tasks_end_in_time();
    }

    fn check_at_most_one_active_term(&mut self) {
        let active: Vec<(usize, Term)> = (0..CONTROLLER_COUNT)
            .filter(|index| self.now >= self.controllers[*index].frozen_until)
            .filter_map(|index| Some((index, self.controllers[index].active_term(self.now)?)))
            .collect();
        assert!(active.len() < 2, "{active:?}: more than one active term at {} ms", self.now);
        for (index, term) in active {
            let last = self.last_active_term;
            assert!(term.0 >= last, "controller {index} is active in term {term} after term {last} at {} ms", self.now);
            self.last_active_term = term.0;
        }
    }

    fn check_cancelled_tasks_end_in_time(&self) {
        for worker in self.workers.iter().filter(|worker| worker.is_running) {
            if let Some(at) = self.confirmed.get(&worker.job) {
                let (job, now) = (worker.job, self.now);
                assert!(
                    now - at <= CANCELLATION_LIMIT_MS,
                    "{job}: cancellation confirmed at {at} ms, still runs at {now} ms"
                );
            }
        }
    }
}
