//! Allocations: the tasks that are possibly on a machine, and the run orders behind them.

use crate::core::resources::Resources;
use crate::ids::{Attempt, FencingToken, TaskId};
use crate::time::MonotonicTime;
use crate::wire::{Priority, TaskPhase};

/// A task and the number of one start of it.
pub type TaskAttempt = (TaskId, Attempt);

/// A run order whose fate isn't proven yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingRun {
    /// The fencing token that the order carries.
    pub token: FencingToken,
    /// The worker answered the order, so whatever it lists from then on tells the truth.
    pub answered: bool,
}

/// A task that is possibly on a machine.
#[derive(Clone, Debug)]
pub struct Allocation {
    /// What the task takes of the machine.
    pub need: Resources,
    /// None: a task of a job that is over, known from a heartbeat only.
    pub team: Option<u32>,
    /// Its job's priority when it was placed.
    pub priority: Priority,
    /// None: not listed by the worker yet.
    pub phase: Option<TaskPhase>,
    /// None: no run order is under way, or the worker has listed the task since.
    pub pending_run: Option<PendingRun>,
    /// Which of its machine's lists was the last to have it.
    pub last_listed: u64,
    /// When it was entered.
    pub placed_at: MonotonicTime,
    /// When it was first heard to run.
    pub running_since: Option<MonotonicTime>,
    /// Its whole run was seen, so that its time tells something. Heartbeats that were missing in
    /// between would make it look longer.
    pub fully_observed: bool,
    /// A stop was ordered, with this leeway in seconds.
    pub stop: Option<f64>,
    /// The number of its image in the catalog; `u32::MAX`: unknown.
    pub image: u32,
    /// Seconds that fetching the image is expected to take.
    pub fetch_s: f64,
    /// Seconds that it is expected to run.
    pub run_s: f64,
}

impl Allocation {
    /// Whether the worker has listed it as exited.
    pub fn has_exited(&self) -> bool {
        self.phase == Some(TaskPhase::Exited)
    }

    /// Listed before in this phase, with nothing ordered since and nothing to do about it.
    pub fn is_unchanged(&self, phase: TaskPhase) -> bool {
        self.phase == Some(phase) && phase != TaskPhase::Exited && self.pending_run.is_none() && self.stop.is_none()
    }
}
