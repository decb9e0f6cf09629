//! A simulated worker: executes orders at once and ends its tasks after a fixed time.

use std::collections::BTreeMap;
use wallstile::ids::{AgentEpoch, Attempt, FencingToken, SequenceNumber, TaskId};
use wallstile::wire::{ExitCause, Heartbeat, Order, TaskPhase, TaskStatus};

/// How long each task runs.
pub(crate) const RUN_MS: u64 = 20_000;
/// Between two regular heartbeats.
pub(crate) const HEARTBEAT_INTERVAL_MS: u64 = 1_500;
/// Every so many machines are of the large kind.
const LARGE_EVERY: usize = 8;
const SMALL_CPUS: f64 = 8.0;
const LARGE_CPUS: f64 = 64.0;

/// Processors of all machines of a simulated fleet.
pub(crate) fn fleet_cpus(machines: usize) -> f64 {
    (0..machines).map(|index| if index.is_multiple_of(LARGE_EVERY) { LARGE_CPUS } else { SMALL_CPUS }).sum()
}

pub(crate) struct Worker {
    /// What its next heartbeat says.
    pub(crate) heartbeat: Heartbeat,
    /// When each listed task that runs will end.
    ends: BTreeMap<(TaskId, Attempt), u64>,
    /// When its next regular heartbeat is due.
    pub(crate) next_heartbeat_at: u64,
}

impl Worker {
    /// The worker of one of so many machines; their heartbeats are spread over the interval.
    pub(crate) fn new(index: usize, machines: usize, endpoint: String) -> Worker {
        let heartbeat = Heartbeat {
            machine: format!("m-{index:06}"),
            endpoint,
            machine_type: if index.is_multiple_of(LARGE_EVERY) { "large" } else { "small" }.into(),
            zone: if index.is_multiple_of(2) { "a" } else { "b" }.into(),
            spot: false,
            agent_epoch: AgentEpoch(1),
            sequence: SequenceNumber(0),
            token: FencingToken::NONE,
            notice_s: None,
            tasks: Vec::new(),
        };
        Worker {
            heartbeat,
            ends: BTreeMap::new(),
            next_heartbeat_at: index as u64 * HEARTBEAT_INTERVAL_MS / machines as u64,
        }
    }

    /// Takes orders under a token, which the next heartbeats carry.
    pub(crate) fn execute(&mut self, now: u64, token: FencingToken, orders: &[Order]) {
        self.heartbeat.token = self.heartbeat.token.max(token);
        for order in orders {
            match order {
                Order::Run { task, attempt } => {
                    let listed = TaskStatus {
                        task: Some(*task),
                        attempt: *attempt,
                        phase: TaskPhase::Running,
                        cause: None,
                        progress_saved: None,
                    };
                    self.heartbeat.tasks.push(listed);
                    self.ends.insert((*task, *attempt), now + RUN_MS);
                }
                Order::Stop { task, attempt, .. } => {
                    let same = |listed: &&mut TaskStatus| listed.task == Some(*task) && listed.attempt == *attempt;
                    for listed in self.heartbeat.tasks.iter_mut().filter(same) {
                        (listed.phase, listed.cause) = (TaskPhase::Exited, Some(ExitCause::Halted));
                    }
                }
                Order::Clear { task, attempt } => {
                    self.heartbeat.tasks.retain(|listed| listed.task != Some(*task) || listed.attempt != *attempt);
                }
            }
        }
    }

    /// The next heartbeat, or the answer to orders.
    pub(crate) fn next_heartbeat(&mut self) -> Heartbeat {
        self.heartbeat.sequence = SequenceNumber(self.heartbeat.sequence.0 + 1);
        self.heartbeat.clone()
    }

    /// Ends tasks that have run their time; true: something has changed.
    pub(crate) fn step(&mut self, now: u64) -> bool {
        let mut changed = false;
        for listed in self.heartbeat.tasks.iter_mut().filter(|listed| listed.phase != TaskPhase::Exited) {
            let Some(task) = listed.task else { continue };
            let key = (task, listed.attempt);
            if self.ends.get(&key).is_some_and(|at| *at <= now) {
                (listed.phase, listed.cause) = (TaskPhase::Exited, Some(ExitCause::Done));
                self.ends.remove(&key);
                changed = true;
            }
        }
        changed
    }
}
