//! The workers of the fixed fleet.

use super::*;

/// A worker whose tasks go on by themselves.
pub(super) struct SimulatedWorker {
    index: usize,
    pub(super) heartbeat: Heartbeat,
    /// When each listed task goes on to its next phase.
    next_phase_at: BTreeMap<TaskAttempt, u64>,
    pub(super) next_heartbeat_at: u64,
}

impl SimulatedWorker {
    pub(super) fn new(index: usize, kind: &str, zone: &str, spot: bool, next_heartbeat_at: u64) -> SimulatedWorker {
        let kind = kind.into();
        let heartbeat = Heartbeat {
            endpoint: index.to_string(),
            kind,
            zone: zone.into(),
            spot,
            ..SchedulerHarness::idle_heartbeat(index)
        };
        SimulatedWorker { index, heartbeat, next_phase_at: BTreeMap::new(), next_heartbeat_at }
    }

    pub(super) fn of_first_fleet(index: usize) -> SimulatedWorker {
        let kind = match index {
            _ if index.is_multiple_of(10) => "gpu",
            _ if index.is_multiple_of(8) => "large",
            _ => "plain",
        };
        let zone = if index.is_multiple_of(2) { "a" } else { "b" };
        let next_heartbeat_at = index as u64 * HEARTBEAT_INTERVAL_MS / MACHINES as u64;
        SimulatedWorker::new(index, kind, zone, index.is_multiple_of(5), next_heartbeat_at)
    }

    pub(super) fn record(&self) -> KeyValue {
        let Heartbeat { endpoint, kind, zone, spot, .. } = self.heartbeat.clone();
        let value = json!(MachineRecord { endpoint, kind, zone, spot });
        KeyValue { key: format!("{MACHINE_PREFIX}{}", self.heartbeat.machine), value, revision: 1 }
    }

    pub(super) fn execute_orders(&mut self, now: u64, token: FencingToken, orders: &[Order]) {
        self.heartbeat.token = self.heartbeat.token.max(token);
        SchedulerHarness::execute(&mut self.heartbeat, orders);
        for order in orders {
            if let Order::Run { task, attempt } = order {
                self.next_phase_at.insert((*task, *attempt), now + 500);
            }
        }
        for listed in self.heartbeat.tasks.iter_mut().filter(|listed| listed.phase == TaskPhase::Running) {
            let key = (listed.task.expect("a task that was ordered"), listed.attempt);
            if self.next_phase_at.get(&key) == Some(&(now + 500)) {
                listed.phase = TaskPhase::Pulling;
            }
        }
    }

    /// All tasks of a few machines fail.
    fn is_faulty(&self) -> bool {
        self.index % 40 == 7
    }

    /// On a few machines tasks take several times as long.
    fn slowness(&self) -> u64 {
        if self.index % 40 == 23 { 5 } else { 1 }
    }

    /// Tasks go on to their next phases; services never end.
    pub(super) fn step(&mut self, now: u64, services: &BTreeSet<JobId>) {
        let (faulty, slowness) = (self.is_faulty(), self.slowness());
        for listed in &mut self.heartbeat.tasks {
            let key = (listed.task.expect("a task that was ordered"), listed.attempt);
            if listed.phase == TaskPhase::Exited || self.next_phase_at.get(&key).is_none_or(|at| *at > now) {
                continue;
            }
            if listed.phase == TaskPhase::Pulling {
                let run = 4_000 + (key.1.0 * 7_919 + u64::from(key.0.index) * 104_729) % 12_000;
                listed.phase = TaskPhase::Running;
                self.next_phase_at.insert(key, now + run * slowness);
            } else if !services.contains(&key.0.job) {
                let cause = if faulty || key.1.0.is_multiple_of(17) { Cause::Error } else { Cause::Done };
                (listed.phase, listed.cause) = (TaskPhase::Exited, Some(cause));
            }
        }
    }

    pub(super) fn next_heartbeat(&mut self) -> Heartbeat {
        self.heartbeat.sequence.0 += 1;
        self.heartbeat.clone()
    }
}
