//! JSON messages of the interface to workers (PROTOCOL, "Workers -> controller nodes" and "Controller nodes ->
//! workers").

use crate::ids::{AgentEpoch, Attempt, FencingToken, SequenceNumber, TaskId};
use serde::{Deserialize, Deserializer, Serialize};
use std::borrow::Cow;

/// Phase of a task on its machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskPhase {
    /// The task waits until the machine has fetched its image.
    Pulling,
    /// The task belongs to a gang and waits for the gang's other tasks of the same attempt.
    Waiting,
    /// The task is running.
    Running,
    /// The task was ordered to stop and is saving a checkpoint.
    #[serde(rename = "flushing")]
    SavingCheckpoint,
    /// The task has exited, for the reason in [`TaskStatus::cause`].
    Exited,
}

/// Why a task has exited, or was refused by the worker.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// The task completed successfully.
    Done,
    /// The task was stopped by an order.
    Halted,
    /// Another task of its gang has exited.
    MatesGone,
    /// The gang's other tasks weren't ready in time.
    Alone,
    /// The task failed.
    Error,
    /// Refused because the machine doesn't have enough free resources.
    NoRoom,
    /// Refused because another attempt of the task is on the machine.
    InUse,
    /// Refused because the worker doesn't know the task or its job.
    Unknown,
    /// A cause that this version of the program doesn't know. The task has ended all the same.
    #[serde(other)]
    Other,
}

/// Status of a task attempt, as listed in a worker's heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task; `None` if the name in the list is not a valid task name.
    #[serde(rename = "lot", deserialize_with = "deserialize_valid_task")]
    pub task: Option<TaskId>,
    /// Number of the attempt to run the task.
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// Phase of the task.
    pub phase: TaskPhase,
    /// Why the task has exited; `None` if it hasn't.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    /// Whether a stopped task saved its progress; `None` if the worker reports neither.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub progress_saved: Option<bool>,
}

impl TaskStatus {
    /// Whether the task has completed successfully.
    pub fn is_done(&self) -> bool {
        self.phase == TaskPhase::Exited && self.cause == Some(ExitCause::Done)
    }
}

/// Deserializes a task name. An invalid name gives `None` instead of an error: an error would make the whole heartbeat
/// invalid, and a machine whose heartbeats aren't answered loses its lease.
fn deserialize_valid_task<'de, D: Deserializer<'de>>(d: D) -> Result<Option<TaskId>, D::Error> {
    let name = Cow::<str>::deserialize(d)?;
    Ok(TaskId::parse(&name))
}

/// A worker's heartbeat (PROTOCOL, "POST /v1/report").
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine that the worker runs on.
    #[serde(rename = "plinth")]
    pub machine: String,
    /// Address at which the worker receives orders.
    pub endpoint: String,
    /// Name of the machine's type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Name of the zone that the machine is in.
    #[serde(rename = "quay")]
    pub zone: String,
    /// Whether the machine is a spot machine.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// Epoch of the worker: a counter that starts at 1 and increases each time that the worker loses its lease.
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    /// Sequence number of the message, which increases with each message of the agent epoch.
    #[serde(rename = "tally")]
    pub sequence: SequenceNumber,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Seconds until the cloud reclaims the spot machine; `None` if the cloud has given no notice.
    #[serde(rename = "warn_s", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine, including exited ones that have not been cleared.
    #[serde(rename = "lots", default)]
    pub tasks: Vec<TaskStatus>,
}

/// An order to a worker. Repeating an order has no further effect, except that a run order that follows the attempt's
/// clear order would start it again.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Order {
    /// Start a task attempt, unless the worker already knows the attempt.
    Run {
        /// Task to start.
        #[serde(rename = "lot")]
        task: TaskId,
        /// Number of the attempt to start.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    /// Stop a task attempt. An attempt that can save a checkpoint within the leeway is stopped after saving it, any
    /// other immediately.
    Stop {
        /// Task to stop.
        #[serde(rename = "lot")]
        task: TaskId,
        /// Number of the attempt to stop.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Maximum time for saving a checkpoint before the task is stopped, in seconds. 0 means that the task is
        /// stopped without saving.
        leeway_s: f64,
    },
    /// Remove an exited task attempt from the worker's list.
    Clear {
        /// Task whose attempt is removed.
        #[serde(rename = "lot")]
        task: TaskId,
        /// Number of the attempt to remove.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

/// The response to a worker's heartbeat. The response renews the worker's lease if the fencing token in the response is
/// current.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The leader's fencing token for the machine. Workers ignore messages with a lower token than the highest that
    /// they have seen.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Orders, to be carried out in sequence.
    pub orders: Vec<Order>,
}

/// Orders that a leader sends to a worker outside of heartbeat responses (PROTOCOL, "POST /orders"). Direct orders
/// don't renew the worker's lease.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct DirectOrders {
    /// The leader's fencing token for the machine. Workers ignore messages with a lower token than the highest that
    /// they have seen.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    /// Agent epoch that the orders are for. The worker rejects them if it is in another epoch.
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    /// Orders, to be carried out in sequence.
    pub orders: Vec<Order>,
}
