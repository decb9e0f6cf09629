//! A simulated worker that executes orders immediately and whose tasks run for a fixed time.

use std::collections::BTreeMap;
use wallstile::ids::{AgentEpoch, Attempt, FencingToken, SequenceNumber, TaskId};
use wallstile::wire::{ExitCause, Heartbeat, Order, TaskPhase, TaskStatus};

/// Run time of each task.
pub(crate) const TASK_RUN_MS: u64 = 20_000;
/// Interval between a worker's regular heartbeats.
pub(crate) const HEARTBEAT_INTERVAL_MS: u64 = 1_500;
/// One in this many machines is of the large type.
const LARGE_EVERY: usize = 8;
const SMALL_CPUS: f64 = 8.0;
const LARGE_CPUS: f64 = 64.0;

/// Returns the total number of processors of a simulated fleet of `machines` machines.
pub(crate) fn fleet_cpus(machines: usize) -> f64 {
    (0..machines).map(|index| if index.is_multiple_of(LARGE_EVERY) { LARGE_CPUS } else { SMALL_CPUS }).sum()
}

pub(crate) struct Worker {
    /// The contents of the worker's next heartbeat, except for the sequence number, which [`Worker::next_heartbeat`]
    /// increments.
    pub(crate) heartbeat: Heartbeat,
    /// Simulated time at which each running task attempt ends, in milliseconds.
    end_times_ms: BTreeMap<(TaskId, Attempt), u64>,
    /// Simulated time at which the worker's next regular heartbeat is due, in milliseconds.
    pub(crate) next_heartbeat_at_ms: u64,
}

impl Worker {
    /// Creates the worker of machine number `index` in a fleet of `machines`. The regular heartbeats of the fleet's
    /// workers are spread evenly over the heartbeat interval.
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
            end_times_ms: BTreeMap::new(),
            next_heartbeat_at_ms: index as u64 * HEARTBEAT_INTERVAL_MS / machines as u64,
        }
    }

    /// Executes orders from the leader. Later heartbeats carry the largest fencing token that has come with orders.
    pub(crate) fn execute(&mut self, now_ms: u64, token: FencingToken, orders: &[Order]) {
        self.heartbeat.token = self.heartbeat.token.max(token);
        for order in orders {
            match order {
                Order::Run { task, attempt } => {
                    let status = TaskStatus {
                        task: Some(*task),
                        attempt: *attempt,
                        phase: TaskPhase::Running,
                        cause: None,
                        progress_saved: None,
                    };
                    self.heartbeat.tasks.push(status);
                    self.end_times_ms.insert((*task, *attempt), now_ms + TASK_RUN_MS);
                }
                Order::Stop { task, attempt, .. } => {
                    let matches_order =
                        |status: &&mut TaskStatus| status.task == Some(*task) && status.attempt == *attempt;
                    for status in self.heartbeat.tasks.iter_mut().filter(matches_order) {
                        (status.phase, status.cause) = (TaskPhase::Exited, Some(ExitCause::Halted));
                    }
                }
                Order::Clear { task, attempt } => {
                    self.heartbeat.tasks.retain(|status| status.task != Some(*task) || status.attempt != *attempt);
                }
            }
        }
    }

    /// Returns the worker's next heartbeat, which also serves as the response to orders.
    pub(crate) fn next_heartbeat(&mut self) -> Heartbeat {
        self.heartbeat.sequence = SequenceNumber(self.heartbeat.sequence.0 + 1);
        self.heartbeat.clone()
    }

    /// Ends all running tasks whose run time is over. Returns whether any task has ended.
    pub(crate) fn end_due_tasks(&mut self, now_ms: u64) -> bool {
        let mut changed = false;
        for status in self.heartbeat.tasks.iter_mut().filter(|status| status.phase != TaskPhase::Exited) {
            let Some(task) = status.task else { continue };
            let key = (task, status.attempt);
            if self.end_times_ms.get(&key).is_some_and(|end_ms| *end_ms <= now_ms) {
                (status.phase, status.cause) = (TaskPhase::Exited, Some(ExitCause::Done));
                self.end_times_ms.remove(&key);
                changed = true;
            }
        }
        changed
    }
}
