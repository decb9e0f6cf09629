//! What goes wrong in the model: refusals, outages, cuts, freezes and restarts.

use super::*;

impl ElectionSimulation {
    pub(super) fn chance(&mut self, probability: f64) -> bool {
        self.rng.random::<f64>() < probability
    }

    pub(super) fn inject_faults(&mut self) {
        let now = self.now;
        let some = self.rng.random_range(0..CONTROLLERS);
        let leader = self.leader().unwrap_or(some);
        if self.chance(0.004) {
            self.refuse_one(leader, some);
        }
        let refused_alone = self.is_any_controller_refused();
        if now > self.outage_until + 5_000 && self.chance(if refused_alone { 0.03 } else { 0.001 }) {
            self.outage_until = now + self.rng.random_range(2_000..60_000);
        }
        if self.chance(0.0015) {
            let stalled = if self.chance(0.7) { leader } else { some };
            self.controllers[stalled].watch_stalled_until = now + self.rng.random_range(1_000..60_000);
        }
        if self.chance(0.001) {
            self.controllers[some].frozen_until = now + self.rng.random_range(500..30_000);
        }
        // While one is refused, those that have confirmed cancellations to users end as well.
        let outage = now < self.outage_until;
        if self.chance(if refused_alone && !outage { 0.012 } else { 0.001 }) {
            self.restart(some);
        }
    }

    /// The store refuses one controller alone, mostly the leader, and often refuses all soon after.
    fn refuse_one(&mut self, leader: usize, some: usize) {
        let refused = if self.chance(0.8) { leader } else { some };
        self.controllers[refused].refused_until = self.now + self.rng.random_range(1_000..20_000);
        if self.chance(0.2) {
            // Workers and users still reach it.
            self.controllers[refused].cut_until = self.controllers[refused].refused_until;
        }
    }

    /// A controller ends; another process is there soon after, at times at once.
    fn restart(&mut self, index: usize) {
        let started_at = self.now + if self.chance(0.7) { 50 } else { self.rng.random_range(50..3_000) };
        let mut restarted = Controller::started_at(started_at);
        restarted.refused_until = self.controllers[index].refused_until;
        restarted.frozen_until = started_at;
        self.controllers[index] = restarted;
    }
}
