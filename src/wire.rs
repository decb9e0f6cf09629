//! The JSON of users, workers, cloud and state service. The odd names of the wire stay here.

use crate::ids::{AgentEpoch, Attempt, FencingToken, SequenceNumber, TaskId};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use std::borrow::Cow;

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Kind {
    #[serde(rename = "batch")]
    Array,
    #[serde(rename = "ensemble")]
    Gang,
    #[serde(rename = "service")]
    Service,
}

/// From the most urgent to the least.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    Prod,
    High,
    Normal,
    Low,
}

#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct JobSpec {
    pub id: String,
    #[serde(rename = "berth")]
    pub class: String,
    #[serde(rename = "crew")]
    pub team: String,
    #[serde(rename = "shape")]
    pub kind: Kind,
    #[serde(rename = "rank")]
    pub priority: Priority,
    #[serde(rename = "lots")]
    pub tasks: u32,
    #[serde(rename = "cores")]
    pub cpus: f64,
    pub gpus: f64,
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    #[serde(rename = "cast")]
    pub image: String,
    #[serde(rename = "pull_gb")]
    pub image_gb: f64,
    #[serde(rename = "builds", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(rename = "quay", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    #[serde(rename = "apart")]
    pub spread: bool,
    #[serde(rename = "loaner")]
    pub spot: bool,
    #[serde(rename = "expect_s")]
    pub estimate_s: f64,
    #[serde(rename = "mark_s")]
    pub checkpoint_s: f64,
    #[serde(rename = "stow_s")]
    pub save_s: f64,
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    Queued,
    Running,
    Done,
    Aborted,
}

#[derive(Clone, Debug, Serialize)]
pub struct JobStatus<'a> {
    pub id: &'a str,
    pub phase: JobPhase,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

// ---- workers

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskPhase {
    Pulling,
    Waiting,
    Running,
    Flushing,
    Exited,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    Done,
    Halted,
    MatesGone,
    Alone,
    Error,
    NoRoom,
    InUse,
    Unknown,
    /// A cause this version doesn't know; the task is gone all the same.
    #[serde(other)]
    Other,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskStatus {
    /// None: a name that no task has.
    #[serde(rename = "lot", deserialize_with = "task_if_any")]
    pub task: Option<TaskId>,
    #[serde(rename = "try")]
    pub attempt: Attempt,
    pub phase: TaskPhase,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kept: Option<bool>,
}

impl TaskStatus {
    pub fn is_done(&self) -> bool {
        self.phase == TaskPhase::Exited && self.cause == Some(Cause::Done)
    }
}

/// One odd name must not make the whole report unreadable: unanswered, its machine would be lost.
fn task_if_any<'de, D: Deserializer<'de>>(d: D) -> Result<Option<TaskId>, D::Error> {
    let name = Cow::<str>::deserialize(d)?;
    Ok(TaskId::parse(&name))
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    #[serde(rename = "plinth")]
    pub machine: String,
    pub endpoint: String,
    #[serde(rename = "build")]
    pub kind: String,
    #[serde(rename = "quay")]
    pub zone: String,
    #[serde(rename = "loaner")]
    pub spot: bool,
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    /// Larger in every later message of the agent epoch.
    #[serde(rename = "tally")]
    pub sequence: SequenceNumber,
    #[serde(rename = "baton")]
    pub token: FencingToken,
    #[serde(rename = "warn_s", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "lots", default)]
    pub tasks: Vec<TaskStatus>,
}

#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Order {
    Run {
        #[serde(rename = "lot")]
        task: TaskId,
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    Stop {
        #[serde(rename = "lot")]
        task: TaskId,
        #[serde(rename = "try")]
        attempt: Attempt,
        leeway_s: f64,
    },
    Clear {
        #[serde(rename = "lot")]
        task: TaskId,
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    #[serde(rename = "baton")]
    pub token: FencingToken,
    pub orders: Vec<Order>,
}

#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct DirectOrders {
    #[serde(rename = "baton")]
    pub token: FencingToken,
    #[serde(rename = "shift")]
    pub agent_epoch: AgentEpoch,
    pub orders: Vec<Order>,
}

// ---- cloud

#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "sku")]
    pub name: String,
    #[serde(rename = "cores")]
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    #[serde(default = "one")]
    pub fetch_gb_per_s: f64,
    pub price: f64,
    #[serde(rename = "market_price")]
    pub spot_price: f64,
    #[serde(rename = "startup_s", default)]
    pub boot_s: f64,
    #[serde(rename = "quays", default)]
    pub zones: Vec<String>,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineTypes {
    pub builds: Vec<MachineType>,
}

#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct ProvisionRequest {
    /// The same name again rents nothing more.
    #[serde(rename = "hire")]
    pub name: String,
    #[serde(rename = "build")]
    pub kind: String,
    #[serde(rename = "quay")]
    pub zone: String,
    #[serde(rename = "loaner")]
    pub spot: bool,
    pub number: u32,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineNames {
    pub plinths: Vec<String>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListPhase {
    Starting,
    Running,
    Failed,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedMachine {
    pub id: String,
    #[serde(default)]
    pub endpoint: Option<String>,
    #[serde(rename = "build")]
    pub kind: String,
    #[serde(rename = "quay")]
    pub zone: String,
    #[serde(rename = "loaner")]
    pub spot: bool,
    pub phase: ListPhase,
    #[serde(default)]
    pub age_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct MachineList {
    pub plinths: Vec<ListedMachine>,
    #[serde(default)]
    pub has_next: bool,
}

// ---- state service

#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Precondition {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "stamp")]
    pub revision: u64,
}

#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Mutation {
    Put {
        #[serde(rename = "write")]
        key: String,
        value: Value,
        #[serde(rename = "tenure", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Mutation {
    pub fn put(key: impl Into<String>, value: Value) -> Mutation {
        Mutation::Put { key: key.into(), value, lease: None }
    }
    pub fn delete(key: impl Into<String>) -> Mutation {
        Mutation::Delete { key: key.into() }
    }
}

#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct Transaction {
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    #[serde(rename = "apply")]
    pub mutations: Vec<Mutation>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct KeyValue {
    #[serde(rename = "path")]
    pub key: String,
    pub value: Value,
    #[serde(rename = "stamp")]
    pub revision: u64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct RangeResponse {
    #[serde(rename = "rows")]
    pub entries: Vec<KeyValue>,
    #[serde(default)]
    pub has_next: bool,
    #[serde(rename = "epoch")]
    pub revision: u64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    Put {
        #[serde(rename = "write")]
        key: String,
        value: Value,
        #[serde(rename = "stamp")]
        revision: u64,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
    },
}

#[derive(Clone, Debug, Deserialize)]
pub struct WatchResponse {
    #[serde(rename = "epoch")]
    pub revision: u64,
    #[serde(rename = "log", default)]
    pub events: Vec<WatchEvent>,
}
