//! What users may submit: reading a submission, and whether the job could ever run.

use crate::config::Team;
use crate::ids::JobId;
use crate::wire::{JobSpec, Kind, MachineType};
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt::Display;

/// The most tasks that a job may have.
pub const MAX_TASKS: u32 = 100_000;

/// Why a submission is not accepted.
#[derive(Clone, PartialEq, Debug)]
pub enum Refusal {
    /// 400
    Malformed(String),
    /// 422
    Impossible(String),
}

/// What a user asks for.
#[derive(Clone, PartialEq, Debug)]
pub struct Submission {
    pub spec: JobSpec,
    /// The jobs that have to be done before any task of this one starts, each once.
    pub depends_on: Vec<JobId>,
}

/// Reads a submission. The id comes first, as a known id is answered whatever else the body says.
pub fn parse_submission(body: &[u8]) -> Result<(JobId, Result<Submission, Refusal>), Refusal> {
    let bad = |m: String| Refusal::Malformed(m);
    let value: Value = serde_json::from_slice(body).map_err(|e| bad(format!("not JSON: {e}")))?;
    let object = value.as_object().ok_or_else(|| bad("not an object".into()))?;
    let id = object.get("id").and_then(Value::as_str).ok_or_else(|| bad("id is missing".into()))?;
    let id = JobId::parse(id).ok_or_else(|| bad("id has not the form req-000000".into()))?;
    Ok((id, read_submission(value)))
}

fn read_submission(value: Value) -> Result<Submission, Refusal> {
    let depends_on = value.get("awaits").cloned().unwrap_or_default();
    let spec: JobSpec = serde_json::from_value(value).map_err(|e| Refusal::Malformed(e.to_string()))?;
    check_fields(&spec).map_err(Refusal::Malformed)?;
    Ok(Submission { spec, depends_on: read_awaits(depends_on)? })
}

fn read_awaits(value: Value) -> Result<Vec<JobId>, Refusal> {
    let names: Option<Vec<String>> =
        serde_json::from_value(value).map_err(|e| Refusal::Malformed(format!("awaits: {e}")))?;
    let mut depends_on = BTreeSet::new();
    for name in names.unwrap_or_default() {
        // What isn't the name of a job was never accepted as one.
        let id = JobId::parse(&name).ok_or_else(|| never_accepted(&name))?;
        depends_on.insert(id);
    }
    Ok(depends_on.into_iter().collect())
}

/// The answer to a submission that names a job which doesn't exist.
pub fn never_accepted(name: &impl Display) -> Refusal {
    Refusal::Impossible(format!("awaits {name}, which was never accepted"))
}

fn check_fields(s: &JobSpec) -> Result<(), String> {
    let amounts = [
        ("cores", s.cpus),
        ("gpus", s.gpus),
        ("ram_gb", s.memory_gb),
        ("pull_gb", s.image_gb),
        ("expect_s", s.estimate_s),
        ("mark_s", s.checkpoint_s),
        ("stow_s", s.save_s),
        ("due_s", s.deadline_s.unwrap_or(0.0)),
    ];
    for (name, x) in amounts {
        if !(0.0..=1e9).contains(&x) {
            return Err(format!("{name} is out of range"));
        }
    }
    if s.tasks == 0 || s.tasks > MAX_TASKS {
        return Err(format!("lots must be 1 to {MAX_TASKS}"));
    }
    for (name, text) in [("berth", &s.class), ("crew", &s.team), ("cast", &s.image)] {
        if text.is_empty() || text.len() > 200 {
            return Err(format!("{name} must have 1 to 200 bytes"));
        }
    }
    Ok(())
}

/// Whether the job could ever run. A team's limit of 0 means none (docs/questions.md).
pub fn check_possible(s: &JobSpec, teams: &[Team], types: &[MachineType]) -> Result<(), Refusal> {
    let no = |m: String| Err(Refusal::Impossible(m));
    let Some(team) = teams.iter().find(|t| t.name == s.team) else {
        return no(format!("unknown team {}", s.team));
    };
    let fits = types.iter().any(|t| type_allows(s, t) && s.zone.as_ref().is_none_or(|z| t.zones.contains(z)));
    if !fits {
        return no("a task fits no allowed machine type".into());
    }
    // All tasks of a gang run at the same time, so that what may be in one zone must do.
    if s.kind == Kind::Gang && s.spread && s.tasks > 1 {
        let allowed = types.iter().filter(|t| type_allows(s, t)).flat_map(|t| &t.zones);
        let zones: BTreeSet<&String> = allowed.filter(|z| s.zone.as_ref().is_none_or(|o| o == *z)).collect();
        if s.one_zone || zones.len() < 2 {
            return no("half of the gang at the most may be in the only zone it may use".into());
        }
    }
    let n = if s.kind == Kind::Array { 1.0 } else { s.tasks as f64 };
    let over = |need: f64, most: f64| most > 0.0 && need * n > most + 1e-9;
    if over(s.cpus, team.cpus_max) || over(s.gpus, team.gpus_max) {
        return no("the job needs more than its team's limit".into());
    }
    Ok(())
}

pub fn type_allows(s: &JobSpec, t: &MachineType) -> bool {
    s.types.as_ref().is_none_or(|l| l.contains(&t.name))
        && s.cpus <= t.cpus + 1e-9
        && s.gpus <= t.gpus + 1e-9
        && s.memory_gb <= t.memory_gb + 1e-9
}

#[cfg(test)]
mod tests;
