//! Fault injection: refused requests, outages of the store, partitions, stalled watches, suspended processes and
//! restarts.

use super::*;

impl ElectionSimulation {
    pub(super) fn chance(&mut self, probability: f64) -> bool {
        self.rng.random::<f64>() < probability
    }

    pub(super) fn inject_faults(&mut self) {
        let now = self.now;
        let random_index = self.rng.random_range(0..CONTROLLER_COUNT);
        let leader_index = self.leader().unwrap_or(random_index);
        if self.chance(0.004) {
            self.refuse_one_controller(leader_index, random_index);
        }
        let refused_alone = self.is_any_controller_refused();
        if now > self.outage_until + 5_000 && self.chance(if refused_alone { 0.03 } else { 0.001 }) {
            self.outage_until = now + self.rng.random_range(2_000..60_000);
        }
        if self.chance(0.0015) {
            let stalled_index = if self.chance(0.7) { leader_index } else { random_index };
            self.controllers[stalled_index].watch_stalled_until = now + self.rng.random_range(1_000..60_000);
        }
        if self.chance(0.001) {
            self.controllers[random_index].frozen_until = now + self.rng.random_range(500..30_000);
        }
        // Restarts are more frequent while the store refuses a controller: the other controllers then confirm
        // cancellations that the refused one can't read, and a restarted process has no record of the cancellations
        // that its predecessor confirmed.
        let outage = now < self.outage_until;
        if self.chance(if refused_alone && !outage { 0.012 } else { 0.001 }) {
            self.restart(random_index);
        }
    }

    /// The store starts to refuse the requests of a single controller, usually the leader. Often it refuses those of
    /// all controllers soon after.
    fn refuse_one_controller(&mut self, leader_index: usize, random_index: usize) {
        let refused_index = if self.chance(0.8) { leader_index } else { random_index };
        self.controllers[refused_index].refused_until = self.now + self.rng.random_range(1_000..20_000);
        if self.chance(0.2) {
            // The controller loses its peers as well; workers and users still reach it.
            self.controllers[refused_index].partitioned_until = self.controllers[refused_index].refused_until;
        }
    }

    /// A controller's process ends, and a new one starts in the next step or up to 3 s later.
    fn restart(&mut self, index: usize) {
        let started_at = self.now + if self.chance(0.7) { 50 } else { self.rng.random_range(50..3_000) };
        let mut restarted = Controller::started_at(started_at);
        restarted.refused_until = self.controllers[index].refused_until;
        restarted.frozen_until = started_at;
        self.controllers[index] = restarted;
    }
}
