//! Simulated workers of the digest test, which behave the same in every run.

use super::*;

/// A worker whose tasks proceed through their phases by themselves.
pub(super) struct SimulatedWorker {
    /// Number of the worker's machine.
    index: usize,
    /// The worker's state, in the form of its latest heartbeat.
    pub(super) heartbeat: Heartbeat,
    /// Simulated time at which each task attempt on the worker enters its next phase, in milliseconds.
    next_phase_at: BTreeMap<TaskAttempt, u64>,
    pub(super) next_heartbeat_at: u64,
}

impl SimulatedWorker {
    pub(super) fn new(index: usize, kind: &str, zone: &str, spot: bool, next_heartbeat_at: u64) -> SimulatedWorker {
        let kind = kind.into();
        let heartbeat = Heartbeat {
            endpoint: index.to_string(),
            machine_type: kind,
            zone: zone.into(),
            spot,
            ..SchedulerHarness::idle_heartbeat(index)
        };
        SimulatedWorker { index, heartbeat, next_phase_at: BTreeMap::new(), next_heartbeat_at }
    }

    /// Creates the worker with the given number, out of the [`MACHINE_COUNT`] workers that exist at the start of the
    /// run. Machine types, zones and spot machines are mixed.
    pub(super) fn initial(index: usize) -> SimulatedWorker {
        let kind = match index {
            _ if index.is_multiple_of(10) => "gpu",
            _ if index.is_multiple_of(8) => "large",
            _ => "plain",
        };
        let zone = if index.is_multiple_of(2) { "a" } else { "b" };
        let next_heartbeat_at = index as u64 * HEARTBEAT_INTERVAL_MS / MACHINE_COUNT as u64;
        SimulatedWorker::new(index, kind, zone, index.is_multiple_of(5), next_heartbeat_at)
    }

    pub(super) fn machine_row(&self) -> KeyValue {
        let Heartbeat { endpoint, machine_type: kind, zone, spot, .. } = self.heartbeat.clone();
        let value = json!(MachineRecord { endpoint, kind, zone, spot });
        KeyValue { key: format!("{MACHINE_PREFIX}{}", self.heartbeat.machine), value, revision: 1 }
    }

    pub(super) fn execute_orders(&mut self, now: u64, token: FencingToken, orders: &[Order]) {
        self.heartbeat.token = self.heartbeat.token.max(token);
        SchedulerHarness::execute_orders(&mut self.heartbeat, orders);
        for order in orders {
            if let Order::Run { task, attempt } = order {
                self.next_phase_at.insert((*task, *attempt), now + 500);
            }
        }
        for status in self.heartbeat.tasks.iter_mut().filter(|status| status.phase == TaskPhase::Running) {
            let key = (status.task.expect("ordered tasks have ids"), status.attempt);
            if self.next_phase_at.get(&key) == Some(&(now + 500)) {
                status.phase = TaskPhase::Pulling;
            }
        }
    }

    /// Returns whether all tasks fail on this machine.
    fn is_faulty(&self) -> bool {
        self.index % 40 == 7
    }

    /// Returns the factor by which tasks take longer on this machine than on a normal one.
    fn slowness(&self) -> u64 {
        if self.index % 40 == 23 { 5 } else { 1 }
    }

    /// Moves each task whose next phase is due to that phase. Tasks of services never end.
    pub(super) fn step(&mut self, now: u64, services: &BTreeSet<JobId>) {
        let (faulty, slowness) = (self.is_faulty(), self.slowness());
        for status in &mut self.heartbeat.tasks {
            let key = (status.task.expect("ordered tasks have ids"), status.attempt);
            if status.phase == TaskPhase::Exited || self.next_phase_at.get(&key).is_none_or(|at| *at > now) {
                continue;
            }
            if status.phase == TaskPhase::Pulling {
                let run_time = 4_000 + (key.1.0 * 7_919 + u64::from(key.0.index) * 104_729) % 12_000;
                status.phase = TaskPhase::Running;
                self.next_phase_at.insert(key, now + run_time * slowness);
            } else if !services.contains(&key.0.job) {
                let cause = if faulty || key.1.0.is_multiple_of(17) { ExitCause::Error } else { ExitCause::Done };
                (status.phase, status.cause) = (TaskPhase::Exited, Some(cause));
            }
        }
    }

    pub(super) fn next_heartbeat(&mut self) -> Heartbeat {
        self.heartbeat.sequence.0 += 1;
        self.heartbeat.clone()
    }
}
