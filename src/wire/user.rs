//! JSON messages of the interface to users (PROTOCOL, "Users -> controller nodes").

use serde::{Deserialize, Serialize};

/// Kind of a job, which determines how its tasks run together (`shape` in PROTOCOL).
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    #[serde(rename = "batch")]
    Array,
    /// All tasks run at the same time, or none runs (PROTOCOL, "Gangs").
    #[serde(rename = "ensemble")]
    Gang,
    /// Replicas, which run until the job is cancelled.
    #[serde(rename = "service")]
    Service,
}

/// Priority of a job. More urgent priorities compare as less.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// The most urgent priority.
    Prod,
    /// Less urgent than [`Priority::Prod`].
    High,
    /// Less urgent than [`Priority::High`].
    Normal,
    /// The least urgent priority.
    Low,
}

/// The description of a job that a user submits (PROTOCOL, "POST /api/jobs").
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique name of the job, such as `req-000412`, chosen by the user.
    pub id: String,
    /// Class of the job, which determines the service-level objectives that apply.
    #[serde(rename = "berth")]
    pub class: String,
    /// Name of the team whose guarantee and quota apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// Kind of the job: array, gang or service.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority of the job (PROTOCOL, "Preemption").
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks that the job consists of.
    #[serde(rename = "lots")]
    pub tasks: u32,
    /// CPUs that each task needs.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs that each task needs.
    pub gpus: f64,
    /// Memory that each task needs, in GB.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// Name of the image that a machine must have fetched before it can start a task of the job.
    #[serde(rename = "cast")]
    pub image: String,
    /// Size of the image, in GB.
    #[serde(rename = "pull_gb")]
    pub image_gb: f64,
    /// Names of the allowed machine types; `None` if all are allowed.
    #[serde(rename = "builds", default, skip_serializing_if = "Option::is_none")]
    pub allowed_types: Option<Vec<String>>,
    /// Name of the only zone that the tasks may run in; `None` if all zones are allowed.
    #[serde(rename = "quay", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must be in the same zone.
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    /// Whether the tasks must be spread over zones: at most half of them, rounded up, may be in one zone.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// Whether the job's tasks may run on spot machines.
    #[serde(rename = "loaner")]
    pub allows_spot: bool,
    /// The user's estimate of a task's run time, not including the image fetch, in seconds; 0 for services.
    #[serde(rename = "expect_s")]
    pub estimated_run_s: f64,
    /// Run time between two checkpoints of a task, in seconds. 0 means that tasks write no checkpoints.
    #[serde(rename = "mark_s")]
    pub checkpoint_interval_s: f64,
    /// Time that a task needs to save a checkpoint when the task is stopped, in seconds.
    #[serde(rename = "stow_s")]
    pub checkpoint_save_s: f64,
    /// Deadline in seconds after the submission; `None` if the job has none.
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// Phase of a job, as shown to users.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// No task is running.
    Queued,
    /// At least one task is running.
    Running,
    /// All tasks are done. This phase is final.
    Done,
    /// The job was cancelled. This phase is final.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The status of a job (PROTOCOL, "GET /api/jobs/{id}").
#[derive(Clone, Debug, Serialize)]
pub struct JobStatus<'a> {
    /// Name of the job.
    pub id: &'a str,
    /// Phase of the job.
    pub phase: JobPhase,
    /// Number of the job's tasks that are done, for display only; `None` if the response doesn't state this number.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Number of the job's running tasks, for display only; `None` if the response doesn't state this number.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}
