//! The JSON of workers (PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers").

use crate::ids::{AgentEpoch, Attempt, FencingToken, SequenceNumber, TaskId};
use serde::{Deserialize, Deserializer, Serialize};
use std::borrow::Cow;

/// State of a task on its machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskPhase {
    /// It waits for its image.
    Pulling,
    /// Task of a gang that waits for the others of its attempt.
    Waiting,
    /// It runs.
    Running,
    /// It was told to stop and is saving.
    Flushing,
    /// It has ended; [`TaskStatus::cause`] says why.
    Exited,
}

/// Why a task has ended, or wasn't started.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It is completed.
    Done,
    /// It was stopped by an order.
    Halted,
    /// Another task of its gang is gone.
    MatesGone,
    /// Its gang wasn't complete in time.
    Alone,
    /// It failed.
    Error,
    /// Refused: the machine hasn't enough free resources.
    NoRoom,
    /// Refused: the task is on the machine with another attempt.
    InUse,
    /// Refused: the worker doesn't know the task or job.
    Unknown,
    /// A cause this version doesn't know; the task is gone all the same.
    #[serde(other)]
    Other,
}

/// A task that a worker lists.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskStatus {
    /// None: a name that no task has.
    #[serde(rename = "lot", deserialize_with = "task_if_any")]
    pub task: Option<TaskId>,
    /// Number of the start that it is about.
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// The task's state.
    pub phase: TaskPhase,
    /// Of an exited task: why.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    /// Of a stopped task: whether its progress was saved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kept: Option<bool>,
}

impl TaskStatus {
    /// Whether the task is completed.
    pub fn is_done(&self) -> bool {
        self.phase == TaskPhase::Exited && self.cause == Some(Cause::Done)
    }
}

/// An invalid name must not make the whole heartbeat unreadable: unanswered, the machine would lose its lease.
fn task_if_any<'de, D: Deserializer<'de>>(d: D) -> Result<Option<TaskId>, D::Error> {
    let name = Cow::<str>::deserialize(d)?;
    Ok(TaskId::parse(&name))
}

/// A worker's heartbeat (PROTOCOL, "POST /v1/report").
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "plinth")]
    pub machine: String,
    /// Where the worker takes orders.
    pub endpoint: String,
    /// Name of the machine's type.
    #[serde(rename = "build")]
    pub kind: String,
    /// Zone of the machine.
    #[serde(rename = "quay")]
    pub zone: String,
    /// It is a spot machine.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// Begins at 1 and rises with each lease that the worker loses.
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    /// Larger in every later message of the agent epoch.
    #[serde(rename = "tally")]
    pub sequence: SequenceNumber,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Seconds until the cloud reclaims the spot machine; none: no notice.
    #[serde(rename = "warn_s", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine, exited ones until they are cleared.
    #[serde(rename = "lots", default)]
    pub tasks: Vec<TaskStatus>,
}

/// What a worker is to do. Orders may be repeated, except for a run after a clear.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Order {
    /// Start the attempt, unless it is known to the worker already.
    Run {
        /// The task.
        #[serde(rename = "lot")]
        task: TaskId,
        /// Number of the start that is meant.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    /// Stop the attempt: at once, or after saving if it can save within the leeway.
    Stop {
        /// The task.
        #[serde(rename = "lot")]
        task: TaskId,
        /// Number of the start that is meant.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// The most seconds that it may save for; 0: none.
        leeway_s: f64,
    },
    /// Forget the exited attempt.
    Clear {
        /// The task.
        #[serde(rename = "lot")]
        task: TaskId,
        /// Number of the start that is meant.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

/// The answer to a heartbeat, which renews the worker's lease if the token is current.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The leader's fencing token for the machine. Workers drop what carries a lower one than they have seen.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// What to do, in this order.
    pub orders: Vec<Order>,
}

/// Orders that are sent to a worker (PROTOCOL, "POST /orders"). They don't renew its lease.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct DirectOrders {
    /// The leader's fencing token for the machine. Workers drop what carries a lower one than they have seen.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// The agent epoch that the orders are for; in any other the worker refuses them.
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    /// What to do, in this order.
    pub orders: Vec<Order>,
}
