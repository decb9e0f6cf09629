//! The scheduler's tick: everything that happens by time, in its order.

use super::Scheduler;
use crate::time::{Millis, MonotonicTime, WallTime};

/// Time between two rounds at most, however late ticks come, in milliseconds.
const MAX_ROUND_INTERVAL_MS: f64 = 1_500.0;

/// By how much each millisecond of lag lengthens the time between two rounds.
const ROUND_INTERVAL_PER_LAG: f64 = 6.0;

impl Scheduler {
    /// Does what is due; the edges call it each [`super::TICK_INTERVAL`].
    pub fn tick(&mut self, now: MonotonicTime, wall: WallTime) {
        self.load.record_tick(now);
        if self.machines.take_review(now) {
            self.expire_leases(now);
            self.review_machines(now);
        }
        self.look_up_dependencies(now);
        self.write(now, wall);
        // Rounds are the bulk of the work: where ticks come late, rounds come seldom, and each
        // decides more.
        let interval_ms = self.tuning.round_ms + ROUND_INTERVAL_PER_LAG * self.load.lag_ms();
        let interval = Millis(interval_ms.min(MAX_ROUND_INTERVAL_MS) as u64);
        self.rebalance_shards(now);
        self.use_reservations(now);
        self.consolidate_replicas(now);
        self.close_round(now);
        if self.rounds.is_due(now, interval) && !self.in_doubt {
            self.start_round(now, wall);
        }
        self.flush_orders();
    }

    /// By how much ticks come late on average: a measure of the processor's load.
    pub fn lag(&self) -> Millis {
        self.load.lag()
    }
}
