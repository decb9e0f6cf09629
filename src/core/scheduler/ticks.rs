//! The scheduler's tick: all periodic work, in a fixed order.

use super::Scheduler;
use crate::time::{Millis, MonotonicTime, WallTime};

/// Upper bound, in milliseconds, of the interval between two planning rounds, however late ticks come.
const MAX_ROUND_INTERVAL_MS: f64 = 1_500.0;

/// Milliseconds by which each millisecond of the ticks' average lateness lengthens the interval between two planning
/// rounds.
const ROUND_INTERVAL_PER_LAG: f64 = 6.0;

impl Scheduler {
    /// Runs the periodic work that is due. The caller invokes it once per [`super::TICK_INTERVAL`].
    pub fn tick(&mut self, now: MonotonicTime, wall: WallTime) {
        self.load.record_tick(now);
        if self.machines.take_due_review(now) {
            self.expire_leases(now);
            self.review_machines(now);
        }
        self.look_up_dependencies(now);
        self.send_writes(now, wall);
        // Planning rounds take most of the scheduler's processor time. When ticks come late, rounds are spaced further
        // apart, and each covers more changes.
        let interval_ms = self.tuning.min_round_interval_ms + ROUND_INTERVAL_PER_LAG * self.load.lag_ms();
        let interval = Millis(interval_ms.min(MAX_ROUND_INTERVAL_MS) as u64);
        self.rebalance_shards(now);
        self.continue_stops();
        self.continue_gang_starts(now);
        self.use_reservations(now);
        self.consolidate_replicas(now);
        self.close_round(now);
        if self.rounds.is_due(now, interval) && !self.in_doubt {
            self.start_round(now, wall);
        }
        self.flush_orders();
    }

    /// The average lateness of ticks, a measure of the leader's CPU load.
    pub fn lag(&self) -> Millis {
        self.load.lag()
    }
}
