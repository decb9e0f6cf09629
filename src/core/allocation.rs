//! Allocations: the tasks that may be on a machine, and the state of the orders to run them.

use crate::core::resources::Resources;
use crate::ids::{Attempt, FencingToken, TaskId};
use crate::time::MonotonicTime;
use crate::wire::{Priority, TaskPhase};

/// A task and the number of one attempt to run it.
pub type TaskAttempt = (TaskId, Attempt);

/// A run order of which it isn't known yet whether the worker has carried it out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingRun {
    /// The worker has not answered the run order.
    Unanswered,
    /// The worker has answered the run order, or the order was withdrawn before it was sent. If a task list after that
    /// lacks the task, the task is gone.
    Answered,
}

/// A task that may be on a machine, and the resources that it uses there.
#[derive(Clone, Debug)]
pub struct Allocation {
    /// The resources that the task uses; only a task slot if its job is unknown or has ended.
    pub need: Resources,
    /// Index of the job's team in the settings. `None` if the job is unknown or has ended, so that the task is known
    /// only from a worker's task list.
    pub team: Option<u32>,
    /// Priority that the task's job had when the task was placed.
    pub priority: Priority,
    /// The phase of the task in the worker's latest task list. `None` if the worker has not listed the task yet.
    pub phase: Option<TaskPhase>,
    /// The run order that was sent for the task. `None` if none was sent or the worker has listed the task since.
    pub pending_run: Option<PendingRun>,
    /// The highest fencing token that a run order of this attempt can have carried, and so a late copy of one;
    /// [`FencingToken::NONE`] if none was sent.
    pub run_token: FencingToken,
    /// The number of the last task list of its machine that contained the task.
    pub last_task_list: u64,
    /// When the scheduler placed the task on the machine, or learned of the task from a task list.
    pub placed_at: MonotonicTime,
    /// When the worker first listed the task as running.
    pub running_since: Option<MonotonicTime>,
    /// Whether the leader has known of the task from its start, without a gap in the machine's heartbeats. Otherwise
    /// the run time can't be measured: missing heartbeats would make it appear too long.
    pub fully_observed: bool,
    /// Seconds that the task may take to write a checkpoint, if it has been ordered to stop; otherwise `None`.
    pub stop_leeway_s: Option<f64>,
    /// Index of the task's image in the scheduler's catalog; `u32::MAX` if unknown.
    pub image: u32,
    /// Expected time to fetch the task's image to the machine, in seconds.
    pub fetch_s: f64,
    /// Expected run time of the task, in seconds.
    pub run_s: f64,
}

impl Allocation {
    /// Whether the worker has listed the task as exited.
    pub fn has_exited(&self) -> bool {
        self.phase == Some(TaskPhase::Exited)
    }

    /// Whether a listing in this phase needs no action: the worker has listed the task in the same phase before, it has
    /// not exited, and no run or stop order is pending.
    pub fn is_unchanged(&self, phase: TaskPhase) -> bool {
        self.phase == Some(phase)
            && phase != TaskPhase::Exited
            && self.pending_run.is_none()
            && self.stop_leeway_s.is_none()
    }
}
