//! Parsing and validation of job submissions, including whether a job could ever run on this cluster.

use crate::config::Team;
use crate::ids::JobId;
use crate::wire::{JobKind, JobSpec, MachineType};
use serde_json::Value;
use std::collections::BTreeSet;

/// Maximum number of tasks in a job.
pub const MAX_TASKS: u32 = 100_000;
/// Upper bound on each number in a job's description (such as CPUs, GB or seconds), in the unit of its field.
const MAX_QUANTITY: f64 = 1e9;
/// Maximum length of a name in a job's description, in bytes.
const MAX_NAME_BYTES: usize = 200;
/// Tolerance when a quantity is compared with a limit, as sums of decimal fractions are not exact.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Why a submission is permanently refused. The message is sent to the user and so names fields as in the
/// submitted JSON.
#[derive(Clone, PartialEq, Debug, thiserror::Error)]
pub enum SubmissionError {
    /// The body cannot be parsed, or a field is out of range (HTTP 400).
    #[error(transparent)]
    Malformed(#[from] MalformedSubmission),
    /// The job could never run on this cluster (HTTP 422).
    #[error(transparent)]
    Unsatisfiable(#[from] UnsatisfiableSubmission),
}

/// Why the body of a submission cannot be accepted: a part of it cannot be parsed or is out of range.
#[derive(Clone, PartialEq, Debug, thiserror::Error)]
pub enum MalformedSubmission {
    /// The body is not JSON; holds the parser's message.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// The body is JSON, but not an object.
    #[error("not an object")]
    NotAnObject,
    /// The job's `id` is missing or not a string.
    #[error("id is missing")]
    MissingId,
    /// The `id` is a string, but not of the form of a job id.
    #[error("id has not the form req-000000")]
    InvalidId,
    /// A field is missing or of the wrong type; holds the parser's message.
    #[error("{0}")]
    Field(String),
    /// The dependencies are not a list of strings; holds the parser's message.
    #[error("awaits: {0}")]
    Dependencies(String),
    /// A quantity is negative, too large or NaN; holds the field's name.
    #[error("{0} is out of range")]
    QuantityOutOfRange(&'static str),
    /// The job has no tasks or more than [`MAX_TASKS`].
    #[error("lots must be 1 to {MAX_TASKS}")]
    TasksOutOfRange,
    /// A name is empty or too long; holds the field's name.
    #[error("{0} must have 1 to {MAX_NAME_BYTES} bytes")]
    NameLength(&'static str),
}

/// Why a job could never run on this cluster.
#[derive(Clone, PartialEq, Debug, thiserror::Error)]
pub enum UnsatisfiableSubmission {
    /// The settings have no team of this name.
    #[error("unknown team {0}")]
    UnknownTeam(String),
    /// None of the machine types that the job allows, in a zone that it allows, is large enough for one of its
    /// tasks.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
    /// At most half of the gang's tasks may be in the same zone, but only one zone is open to the job.
    #[error("half of the gang at the most may be in the only zone it may use")]
    SpreadOverOneZone,
    /// The job's tasks that must run at the same time need more resources than its team may ever use.
    #[error("the job needs more than its team's limit")]
    BeyondTeamLimit,
    /// The job's record exceeds the key-value store's limit on the size of a value.
    #[error("the job takes more than the state service holds in a value")]
    RecordTooLarge,
    /// The job depends on one that does not exist; holds that job's id as submitted.
    #[error("awaits {0}, which was never accepted")]
    DependencyNeverAccepted(String),
    /// The job depends on a service, which runs until it is cancelled and so is never done.
    #[error("awaits {0}, a service, which is never done")]
    DependsOnService(JobId),
}

/// A valid submission.
#[derive(Clone, PartialEq, Debug)]
pub struct Submission {
    /// The job's description, without JSON fields that are unknown to this version.
    pub spec: JobSpec,
    /// The jobs that must be done before any task of this one may start, in ascending order, without duplicates.
    pub depends_on: Vec<JobId>,
}

/// The result of parsing a body that has a valid id. The id is separate from the rest, as a submission of a job
/// that was accepted before is answered by the job's status, even if the rest of the body is invalid.
#[derive(Clone, PartialEq, Debug)]
pub struct ParsedSubmission {
    /// The valid id of the job in the body, known even if the submission is refused.
    pub id: JobId,
    /// The parsed description and dependencies of the job, or why they are refused.
    pub submission: Result<Submission, SubmissionError>,
}

/// Parses the body of a submission. Returns an error if the body has no valid id; any other fault is in the
/// result's `submission`.
pub fn parse_submission(body: &[u8]) -> Result<ParsedSubmission, MalformedSubmission> {
    let value: Value = serde_json::from_slice(body).map_err(|error| MalformedSubmission::NotJson(error.to_string()))?;
    let object = value.as_object().ok_or(MalformedSubmission::NotAnObject)?;
    let id = object.get("id").and_then(Value::as_str).ok_or(MalformedSubmission::MissingId)?;
    let id = JobId::parse(id).ok_or(MalformedSubmission::InvalidId)?;
    Ok(ParsedSubmission { id, submission: parse_body(value) })
}

fn parse_body(value: Value) -> Result<Submission, SubmissionError> {
    let dependencies = value.get("awaits").cloned().unwrap_or_default();
    let spec: JobSpec = serde_json::from_value(value).map_err(|error| MalformedSubmission::Field(error.to_string()))?;
    check_fields(&spec)?;
    Ok(Submission { spec, depends_on: parse_dependencies(dependencies)? })
}

fn parse_dependencies(value: Value) -> Result<Vec<JobId>, SubmissionError> {
    let names: Option<Vec<String>> =
        serde_json::from_value(value).map_err(|error| MalformedSubmission::Dependencies(error.to_string()))?;
    let mut depends_on = BTreeSet::new();
    for name in names.unwrap_or_default() {
        // A dependency's id that is invalid counts as unknown, as no job with an invalid id was ever accepted.
        let id = JobId::parse(&name).ok_or(UnsatisfiableSubmission::DependencyNeverAccepted(name))?;
        depends_on.insert(id);
    }
    Ok(depends_on.into_iter().collect())
}

fn check_fields(spec: &JobSpec) -> Result<(), MalformedSubmission> {
    let quantities = [
        ("cores", spec.cpus),
        ("gpus", spec.gpus),
        ("ram_gb", spec.memory_gb),
        ("pull_gb", spec.image_gb),
        ("expect_s", spec.estimated_run_s),
        ("mark_s", spec.checkpoint_interval_s),
        ("stow_s", spec.checkpoint_save_s),
        ("due_s", spec.deadline_s.unwrap_or(0.0)),
    ];
    for (field, quantity) in quantities {
        if !(0.0..=MAX_QUANTITY).contains(&quantity) {
            return Err(MalformedSubmission::QuantityOutOfRange(field));
        }
    }
    if spec.tasks == 0 || spec.tasks > MAX_TASKS {
        return Err(MalformedSubmission::TasksOutOfRange);
    }
    for (field, name) in [("berth", &spec.class), ("crew", &spec.team), ("cast", &spec.image)] {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(MalformedSubmission::NameLength(field));
        }
    }
    Ok(())
}

/// Checks that a job could ever run, given the teams in the settings and the cloud's machine types. A team limit
/// of 0 means that the team has no limit (docs/questions.md).
pub fn check_satisfiable(spec: &JobSpec, teams: &[Team], types: &[MachineType]) -> Result<(), UnsatisfiableSubmission> {
    let Some(team) = teams.iter().find(|team| team.name == spec.team) else {
        return Err(UnsatisfiableSubmission::UnknownTeam(spec.team.clone()));
    };
    let offers_zone =
        |machine_type: &MachineType| spec.zone.as_ref().is_none_or(|zone| machine_type.zones.contains(zone));
    if !types.iter().any(|machine_type| is_eligible_type(spec, machine_type) && offers_zone(machine_type)) {
        return Err(UnsatisfiableSubmission::FitsNoMachineType);
    }
    // All tasks of a gang run at the same time, so a gang that must be spread over zones needs at least two zones. A
    // job that must stay in one zone can use only one.
    if spec.kind == JobKind::Gang
        && spec.spread
        && spec.tasks > 1
        && (spec.one_zone || allowed_zones(spec, types).len() < 2)
    {
        return Err(UnsatisfiableSubmission::SpreadOverOneZone);
    }
    let tasks_at_once = if spec.kind == JobKind::Array { 1.0 } else { spec.tasks as f64 };
    let exceeds = |per_task: f64, limit: f64| limit > 0.0 && per_task * tasks_at_once > limit + ROUNDING_TOLERANCE;
    if exceeds(spec.cpus, team.max_cpus) || exceeds(spec.gpus, team.max_gpus) {
        return Err(UnsatisfiableSubmission::BeyondTeamLimit);
    }
    Ok(())
}

/// The zones that are open to a job: those of the machine types that it allows and that fit one of its tasks,
/// restricted to the job's own zone if it names one.
fn allowed_zones<'a>(spec: &JobSpec, types: &'a [MachineType]) -> BTreeSet<&'a String> {
    let allowed = types.iter().filter(|machine_type| is_eligible_type(spec, machine_type));
    let zones = allowed.flat_map(|machine_type| &machine_type.zones);
    zones.filter(|zone| spec.zone.as_ref().is_none_or(|required| required == *zone)).collect()
}

/// Whether a job allows a machine type, and an empty machine of that type is large enough for one of its tasks.
pub fn is_eligible_type(spec: &JobSpec, machine_type: &MachineType) -> bool {
    spec.allowed_types.as_ref().is_none_or(|names| names.contains(&machine_type.name))
        && spec.cpus <= machine_type.cpus + ROUNDING_TOLERANCE
        && spec.gpus <= machine_type.gpus + ROUNDING_TOLERANCE
        && spec.memory_gb <= machine_type.memory_gb + ROUNDING_TOLERANCE
}

#[cfg(test)]
mod tests;
