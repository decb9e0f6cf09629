//! What goes wrong in the model: losses, delays, and troubles of machines and of the leader.

use super::*;

impl Simulation {
    pub(super) fn chance(&mut self, probability: f64) -> bool {
        self.rng.random::<f64>() < probability
    }

    /// Most mail takes little; some takes long.
    pub(super) fn delay(&mut self) -> u64 {
        let extra_delay = if self.faults { self.extra_delay } else { 0 };
        match self.faults && self.chance(0.03) {
            true => self.rng.random_range(500..15_000),
            false => self.rng.random_range(1..40 + extra_delay),
        }
    }

    pub(super) fn lost(&mut self) -> bool {
        self.faults && self.chance(0.03)
    }

    /// Whether a transaction is carried out late.
    pub(super) fn late(&mut self) -> bool {
        self.faults && self.chance(self.late_commit_probability)
    }

    pub(super) fn inject_faults(&mut self) {
        if !self.faults {
            return;
        }
        let worker_count = self.workers.len();
        let index = self.rng.random_range(0..worker_count);
        let until = self.now + self.rng.random_range(1_000..25_000);
        self.disturb_links(index, until);
        self.disturb_machine(index);
        if self.leader.is_some() && self.chance(self.leader_crash_probability) {
            self.leader = None;
            self.next_leader_at = self.now + self.rng.random_range(50..self.max_leaderless_time);
        }
    }

    fn disturb_links(&mut self, index: usize, until: u64) {
        if self.chance(0.01) {
            self.workers[index].hangs_until = until;
        }
        if self.chance(0.01) {
            self.workers[index].cut_until = until;
        }
        if self.chance(0.005) {
            // At times for as long as the history lasts.
            self.workers[index].inbound_cut_until = if self.chance(0.3) { u64::MAX } else { until };
        }
        if self.chance(0.005) {
            self.workers[index].outbound_cut_until = until;
        }
    }

    fn disturb_machine(&mut self, index: usize) {
        let now = self.now;
        if self.chance(0.003) {
            // Back at once, with a new agent epoch.
            self.workers[index].begin_agent_epoch(now);
            self.workers[index].token = 0;
        }
        if self.chance(0.003) {
            self.workers[index].dead = true;
            self.workers[index].tasks.clear();
        }
        if self.chance(0.002) {
            self.workers[index].fails_tasks ^= true;
        }
        if self.workers[index].spot && self.chance(0.01) {
            self.workers[index].reclaimed_at.get_or_insert(now + 5_000);
        }
    }
}
