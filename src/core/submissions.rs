//! What users may submit: reading a submission, and whether its job could ever run.

use crate::config::Team;
use crate::ids::JobId;
use crate::wire::{JobSpec, Kind, MachineType};
use serde_json::Value;
use std::collections::BTreeSet;

/// The most tasks that a job may have.
pub const MAX_TASKS: u32 = 100_000;
/// The largest quantity in a job's description, in the unit of its field.
const MAX_QUANTITY: f64 = 1e9;
/// The most bytes of a name in a job's description.
const MAX_NAME_BYTES: usize = 200;
/// Sums of decimal fractions may be this much above a limit that they meet.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Why a submission is refused for good. Users are shown the message, with the fields' names on the wire.
#[derive(Clone, PartialEq, Debug, thiserror::Error)]
pub enum SubmissionError {
    /// It can't be read, or a field is out of its range (400).
    #[error(transparent)]
    Malformed(#[from] MalformedSubmission),
    /// The job could never run on this cluster (422).
    #[error(transparent)]
    Unsatisfiable(#[from] UnsatisfiableSubmission),
}

/// What of a submission can't be read or is out of its range.
#[derive(Clone, PartialEq, Debug, thiserror::Error)]
pub enum MalformedSubmission {
    /// The body isn't JSON; with the parser's message.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// The body is JSON, but no object.
    #[error("not an object")]
    NotAnObject,
    /// The id isn't there, or isn't a string.
    #[error("id is missing")]
    MissingId,
    /// The id isn't the name of a job.
    #[error("id has not the form req-000000")]
    InvalidId,
    /// A field is missing or of the wrong type; with the parser's message.
    #[error("{0}")]
    Field(String),
    /// The dependencies aren't a list of strings; with the parser's message.
    #[error("awaits: {0}")]
    Dependencies(String),
    /// A quantity is negative, too large or not a number; with the field's name.
    #[error("{0} is out of range")]
    QuantityOutOfRange(&'static str),
    /// There are no tasks, or too many.
    #[error("lots must be 1 to {MAX_TASKS}")]
    TasksOutOfRange,
    /// A name is empty or too long; with the field's name.
    #[error("{0} must have 1 to {MAX_NAME_BYTES} bytes")]
    NameLength(&'static str),
}

/// Why a job could never run on this cluster.
#[derive(Clone, PartialEq, Debug, thiserror::Error)]
pub enum UnsatisfiableSubmission {
    /// The settings have no such team.
    #[error("unknown team {0}")]
    UnknownTeam(String),
    /// No machine type that the job allows, in a zone that it allows, holds one of its tasks.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
    /// At most half of the gang's tasks may share a zone, and there is one zone for all of them.
    #[error("half of the gang at the most may be in the only zone it may use")]
    SpreadOverOneZone,
    /// What must run at the same time is more than the team may use.
    #[error("the job needs more than its team's limit")]
    BeyondTeamLimit,
    /// The job's record doesn't fit one value of the key-value store.
    #[error("the job takes more than the state service holds in a value")]
    RecordTooLarge,
    /// It depends on a job that doesn't exist; with that job's name as the user gave it.
    #[error("awaits {0}, which was never accepted")]
    DependencyNeverAccepted(String),
    /// It depends on a service.
    #[error("awaits {0}, a service, which is never done")]
    DependsOnService(JobId),
}

/// What a user asks for.
#[derive(Clone, PartialEq, Debug)]
pub struct Submission {
    /// The job's description, with fields of the wire that this version doesn't know left out.
    pub spec: JobSpec,
    /// The jobs that have to be done before any task of this one starts, in ascending order, each once.
    pub depends_on: Vec<JobId>,
}

/// A body with a readable id. A job that is known already is answered whatever else the body says.
#[derive(Clone, PartialEq, Debug)]
pub struct ParsedSubmission {
    /// The job's id.
    pub id: JobId,
    /// The rest of the body, or why it is refused.
    pub submission: Result<Submission, SubmissionError>,
}

/// Reads a submission. The error is that there is no readable id.
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
        // What isn't the name of a job was never accepted as one.
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
        ("expect_s", spec.estimate_s),
        ("mark_s", spec.checkpoint_s),
        ("stow_s", spec.save_s),
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

/// Checks that the job could ever run, given the settings' teams and the cloud's machine types. A team's limit
/// of 0 means none (docs/questions.md).
pub fn check_satisfiable(spec: &JobSpec, teams: &[Team], types: &[MachineType]) -> Result<(), UnsatisfiableSubmission> {
    let Some(team) = teams.iter().find(|team| team.name == spec.team) else {
        return Err(UnsatisfiableSubmission::UnknownTeam(spec.team.clone()));
    };
    let offers_zone =
        |machine_type: &MachineType| spec.zone.as_ref().is_none_or(|zone| machine_type.zones.contains(zone));
    if !types.iter().any(|machine_type| type_allows(spec, machine_type) && offers_zone(machine_type)) {
        return Err(UnsatisfiableSubmission::FitsNoMachineType);
    }
    // All tasks of a gang run at the same time, so that what may be in one zone must do.
    if spec.kind == Kind::Gang
        && spec.spread
        && spec.tasks > 1
        && (spec.one_zone || allowed_zones(spec, types).len() < 2)
    {
        return Err(UnsatisfiableSubmission::SpreadOverOneZone);
    }
    let tasks_at_once = if spec.kind == Kind::Array { 1.0 } else { spec.tasks as f64 };
    let exceeds = |per_task: f64, limit: f64| limit > 0.0 && per_task * tasks_at_once > limit + ROUNDING_TOLERANCE;
    if exceeds(spec.cpus, team.cpus_max) || exceeds(spec.gpus, team.gpus_max) {
        return Err(UnsatisfiableSubmission::BeyondTeamLimit);
    }
    Ok(())
}

/// The zones that a job's tasks may be in.
fn allowed_zones<'a>(spec: &JobSpec, types: &'a [MachineType]) -> BTreeSet<&'a String> {
    let allowed = types.iter().filter(|machine_type| type_allows(spec, machine_type));
    let zones = allowed.flat_map(|machine_type| &machine_type.zones);
    zones.filter(|zone| spec.zone.as_ref().is_none_or(|only| only == *zone)).collect()
}

/// Whether the job allows the machine type, and an empty machine of it holds one of the job's tasks.
pub fn type_allows(spec: &JobSpec, machine_type: &MachineType) -> bool {
    spec.types.as_ref().is_none_or(|names| names.contains(&machine_type.name))
        && spec.cpus <= machine_type.cpus + ROUNDING_TOLERANCE
        && spec.gpus <= machine_type.gpus + ROUNDING_TOLERANCE
        && spec.memory_gb <= machine_type.memory_gb + ROUNDING_TOLERANCE
}

#[cfg(test)]
mod tests;
