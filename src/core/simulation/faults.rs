//! What goes wrong in the model: losses, delays, and troubles of machines and of the leader.

use super::*;

impl Simulation {
    pub(super) fn chance(&mut self, p: f64) -> bool {
        self.rng.random::<f64>() < p
    }

    /// Most mail takes little; some takes long.
    pub(super) fn delay(&mut self) -> u64 {
        let usual = if self.faults { self.slow } else { 0 };
        match self.faults && self.chance(0.03) {
            true => self.rng.random_range(500..15_000),
            false => self.rng.random_range(1..40 + usual),
        }
    }

    pub(super) fn lost(&mut self) -> bool {
        self.faults && self.chance(0.03)
    }

    pub(super) fn late(&mut self) -> bool {
        let share = self.late_writes;
        self.faults && self.chance(share)
    }

    pub(super) fn trouble(&mut self) {
        if !self.faults {
            return;
        }
        let n = self.workers.len();
        let i = self.rng.random_range(0..n);
        let until = self.now + self.rng.random_range(1_000..25_000);
        if self.chance(0.01) {
            self.workers[i].hangs_until = until;
        }
        if self.chance(0.01) {
            self.workers[i].cut_until = until;
        }
        if self.chance(0.005) {
            // At times for as long as the history lasts.
            self.workers[i].deaf_until = if self.chance(0.3) { u64::MAX } else { until };
        }
        if self.chance(0.005) {
            self.workers[i].mute_until = until;
        }
        if self.chance(0.003) {
            // Back at once, with a new agent epoch.
            let w = &mut self.workers[i];
            w.agent_epoch += 1;
            w.began = self.now;
            w.tasks.clear();
            w.in_flight = None;
            w.token = 0;
        }
        if self.chance(0.003) {
            self.workers[i].dead = true;
            self.workers[i].tasks.clear();
        }
        if self.chance(0.002) {
            self.workers[i].sick ^= true;
        }
        if self.workers[i].spot && self.chance(0.01) {
            self.workers[i].notice_at.get_or_insert(self.now + 5_000);
        }
        if self.leader.is_some() && self.chance(self.ends) {
            self.leader = None;
            self.next_leader_at = self.now + self.rng.random_range(50..self.away);
        }
    }
}
