//! Fault injection: lost and delayed messages, partitions, frozen, restarted and crashed machines, and leader crashes.

use super::*;

impl Simulation {
    /// Draws at random whether an event of the given probability occurs.
    pub(super) fn chance(&mut self, probability: f64) -> bool {
        self.rng.random::<f64>() < probability
    }

    /// Draws the delay of a message in milliseconds. Most messages arrive soon; while faults are enabled, a few take up
    /// to 15 s.
    pub(super) fn draw_message_delay(&mut self) -> u64 {
        let max_extra_delay = if self.faults_enabled { self.max_extra_delay } else { 0 };
        match self.faults_enabled && self.chance(0.03) {
            true => self.rng.random_range(500..15_000),
            false => self.rng.random_range(1..40 + max_extra_delay),
        }
    }

    /// Draws whether a message is lost.
    pub(super) fn draw_message_loss(&mut self) -> bool {
        self.faults_enabled && self.chance(0.03)
    }

    /// Draws whether the store applies a transaction late, possibly after the leader's request has timed out.
    pub(super) fn draw_late_commit(&mut self) -> bool {
        self.faults_enabled && self.chance(self.late_commit_probability)
    }

    pub(super) fn inject_faults(&mut self) {
        if !self.faults_enabled {
            return;
        }
        let worker_count = self.workers.len();
        let index = self.rng.random_range(0..worker_count);
        let until = self.now + self.rng.random_range(1_000..25_000);
        self.inject_network_faults(index, until);
        self.inject_machine_faults(index);
        if self.leader.is_some() && self.chance(self.leader_crash_probability) {
            self.leader = None;
            self.next_leader_at = self.now + self.rng.random_range(50..self.max_leaderless_time);
        }
    }

    fn inject_network_faults(&mut self, index: usize, until: u64) {
        if self.chance(0.01) {
            self.workers[index].frozen_until = until;
        }
        if self.chance(0.01) {
            self.workers[index].partitioned_until = until;
        }
        if self.chance(0.005) {
            // Some inbound partitions last until the end of the run.
            self.workers[index].inbound_partitioned_until = if self.chance(0.3) { u64::MAX } else { until };
        }
        if self.chance(0.005) {
            self.workers[index].outbound_partitioned_until = until;
        }
    }

    fn inject_machine_faults(&mut self, index: usize) {
        let now = self.now;
        if self.chance(0.003) {
            // The machine restarts without delay. Its worker begins a new agent epoch and has lost its fencing token.
            self.workers[index].begin_agent_epoch(now);
            self.workers[index].token = 0;
        }
        if self.chance(0.003) {
            self.workers[index].is_gone = true;
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
