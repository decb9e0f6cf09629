//! The JSON of users (PROTOCOL, "Users -> controller nodes").

use serde::{Deserialize, Serialize};

/// How the tasks of a job belong together (`shape`).
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Kind {
    /// Independent tasks, each of which runs to completion.
    #[serde(rename = "batch")]
    Array,
    /// All tasks run at the same time, or none does (PROTOCOL, "Gangs").
    #[serde(rename = "ensemble")]
    Gang,
    /// Tasks (replicas) that run until the job is cancelled.
    #[serde(rename = "service")]
    Service,
}

/// From the most urgent to the least.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// The most urgent.
    Prod,
    /// Below [`Priority::Prod`].
    High,
    /// Below [`Priority::High`].
    Normal,
    /// The least urgent.
    Low,
}

/// A job as its user submits it (PROTOCOL, "POST /api/jobs").
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique name, chosen by the user, such as `req-000412`.
    pub id: String,
    /// The class that objectives are about.
    #[serde(rename = "berth")]
    pub class: String,
    /// The team whose guarantee and quota apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// How its tasks belong together.
    #[serde(rename = "shape")]
    pub kind: Kind,
    /// Its priority (PROTOCOL, "Preemption").
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "lots")]
    pub tasks: u32,
    /// Processors that each task takes of its machine.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs that each task takes of its machine.
    pub gpus: f64,
    /// Memory that each task takes of its machine, in GB.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// Image that a machine must have before a task can start.
    #[serde(rename = "cast")]
    pub image: String,
    /// Size of the image, in GB.
    #[serde(rename = "pull_gb")]
    pub image_gb: f64,
    /// Names of the machine types allowed; none: any.
    #[serde(rename = "builds", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only zone allowed; none: any.
    #[serde(rename = "quay", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks must be in the same zone.
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// It may use spot machines.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// The owner's estimate of a task's run time without the fetch of the image, in seconds; 0 for services.
    #[serde(rename = "expect_s")]
    pub estimate_s: f64,
    /// Seconds of progress between two checkpoints; 0: tasks never save.
    #[serde(rename = "mark_s")]
    pub checkpoint_s: f64,
    /// Seconds that a task needs to save when it is stopped.
    #[serde(rename = "stow_s")]
    pub save_s: f64,
    /// Seconds from the submission until it should be done; none: no deadline.
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// What users see of a job's progress.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// No task runs.
    Queued,
    /// Some task runs.
    Running,
    /// All tasks are done. Final.
    Done,
    /// It was cancelled. Final.
    Aborted,
}

/// The answer about a job (PROTOCOL, "GET /api/jobs/{id}").
#[derive(Clone, Debug, Serialize)]
pub struct JobStatus<'a> {
    /// Name of the job.
    pub id: &'a str,
    /// Its progress.
    pub phase: JobPhase,
    /// How many tasks are done, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// How many tasks run, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}
