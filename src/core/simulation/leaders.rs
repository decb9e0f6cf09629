//! The leader of the simulation: elections and time steps. At most one leader exists at a time.

use super::*;

impl Simulation {
    /// Elects a new leader. The new leader's record is written under the leader's key, and the new leader loads the
    /// stored cluster state.
    pub(super) fn elect_leader(&mut self) {
        self.leader_number += 1;
        self.leader_count += 1;
        self.revision += 1;
        let lease = LeaseId(self.leader_number);
        let record = LeaderRecord { node: "plinth-0".into(), incarnation: self.leader_number, lease };
        self.store.insert(LEADER_KEY.into(), (json!(record), self.revision));
        self.check_cleared_tasks_are_done();
        let mut leader = Scheduler::new(
            self.settings.clone(),
            Tuning { idle_timeout_s: 20.0, gang_reservation_wait_s: 4.0, ..Tuning::default() },
            self.types.clone(),
            Term(self.revision),
            record,
            MonotonicTime(self.now),
        );
        let stored = StoredState {
            live: self.rows(LIVE_PREFIX),
            bitmaps: self.rows(BITMAP_PREFIX),
            machines: self.rows(MACHINE_PREFIX),
            shards: None,
        };
        leader.load(MonotonicTime(self.now), stored);
        self.leader = Some(leader);
    }

    pub(super) fn step_leader(&mut self) {
        if let Some(leader) = &mut self.leader {
            if self.now.is_multiple_of(1_000) {
                for peer in ["plinth-1", "plinth-2"] {
                    leader.mark_peer_responsive(MonotonicTime(self.now), peer);
                }
            }
            leader.tick(MonotonicTime(self.now), WallTime(self.now));
        }
        self.perform_effects();
    }

    /// Returns the leader with the given number, or `None` if that leader has crashed or another one has been elected
    /// since.
    pub(super) fn leader_with_number(&mut self, number: u64) -> Option<&mut Scheduler> {
        self.leader.as_mut().filter(|_| number == self.leader_number)
    }
}
