//! Jobs: what users may submit, how a job is kept in the state service, and its tasks.

use crate::config::Team;
use crate::core::fleet::AVOIDED_FOR;
use crate::ids::{Attempt, JobId, MachineId, Revision, TaskId};
use crate::time::{Mono, Span, Wall};
use crate::wire::{Guard, JobPhase, JobSpec, Kind, MachineType, Priority};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use fixedbitset::FixedBitSet;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};

pub const MAX_TASKS: u32 = 100_000;

/// Longer than the longest pause between two tries of a job that fails.
const FAULT_LASTS: Span = Span(150_000);

#[derive(Clone, PartialEq, Debug)]
pub enum Refusal {
    /// 400
    Malformed(String),
    /// 422
    Impossible(String),
}

/// Reads a submission. The id comes first, as a known id is answered whatever else the body says.
pub fn parse_submission(body: &[u8]) -> Result<(JobId, Result<JobSpec, Refusal>), Refusal> {
    let bad = |m: String| Refusal::Malformed(m);
    let value: Value = serde_json::from_slice(body).map_err(|e| bad(format!("not JSON: {e}")))?;
    let object = value.as_object().ok_or_else(|| bad("not an object".into()))?;
    let id = object.get("id").and_then(Value::as_str).ok_or_else(|| bad("id is missing".into()))?;
    let id = JobId::parse(id).ok_or_else(|| bad("id has not the form req-000000".into()))?;
    let spec = serde_json::from_value::<JobSpec>(value).map_err(|e| bad(e.to_string()));
    Ok((id, spec.and_then(|s| check_fields(&s).map(|()| s).map_err(bad))))
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

// ---- in the state service

/// A job that is not over is kept under `live/ID`, one that is over under `over/ID`.
pub const LIVE: &str = "live/";
pub const OVER: &str = "over/";
/// Sets of done tasks: `bits/ID/CHUNK`.
pub const BITS: &str = "bits/";

pub fn live_key(id: &JobId) -> String {
    format!("{LIVE}{id}")
}
pub fn over_key(id: &JobId) -> String {
    format!("{OVER}{id}")
}

/// Both keys must be absent for a job to be new.
pub fn absent_guards(id: &JobId) -> Vec<Guard> {
    vec![Guard { path: live_key(id), revision: 0 }, Guard { path: over_key(id), revision: 0 }]
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LiveRecord {
    /// Time of day of the submission.
    pub at: Wall,
    pub spec: JobSpec,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct OverRecord {
    pub phase: JobPhase,
    pub tasks: u32,
}

/// Tasks per chunk so that its base64 stays well below a value's limit.
pub fn chunk_tasks(value_kb: f64) -> u32 {
    ((value_kb * 1024.0 * 0.5) as u32 * 6).clamp(64, MAX_TASKS)
}

pub fn encode_bits(set: &FixedBitSet, chunk: u32, size: u32) -> Value {
    let from = (chunk * size) as usize;
    let to = set.len().min(from + size as usize);
    let mut bytes = vec![0u8; (to - from).div_ceil(8)];
    for i in set.ones().filter(|i| (from..to).contains(i)) {
        bytes[(i - from) / 8] |= 1 << ((i - from) % 8);
    }
    Value::String(STANDARD.encode(bytes))
}

/// Adds a stored chunk to the set; false: it can't be read.
pub fn decode_bits(set: &mut FixedBitSet, chunk: u32, size: u32, value: &Value) -> bool {
    let Some(bytes) = value.as_str().and_then(|s| STANDARD.decode(s).ok()) else {
        return false;
    };
    let from = chunk as usize * size as usize;
    for (n, b) in bytes.iter().enumerate() {
        for bit in 0..8 {
            let i = from + n * 8 + bit;
            if b & (1 << bit) != 0 && i < set.len() {
                set.insert(i);
            }
        }
    }
    true
}

// ---- in the leader's memory

/// One start of a whole gang.
#[derive(Clone, Debug)]
pub struct GangRun {
    pub attempt: Attempt,
    /// Some task of it ended otherwise than done, or is being stopped: the rest must go too.
    pub broken: bool,
}

pub struct Job {
    pub spec: JobSpec,
    pub revision: Revision,
    pub submitted: Wall,
    pub team: u32,
    pub done: FixedBitSet,
    pub durable: FixedBitSet,
    pub done_count: u32,
    /// Tasks that are neither done nor possibly on a machine.
    pub ready: BTreeSet<u32>,
    /// Those of them that were on a spot machine which was taken.
    pub reclaimed: BTreeSet<u32>,
    /// Where a task possibly is. More than one place only where a new leader can't tell yet which
    /// of two reports came late.
    pub placed: BTreeMap<u32, Vec<(MachineId, Attempt)>>,
    pub gang: Option<GangRun>,
    pub finishing: bool,
    pub bits_in_flight: bool,
    pub overspent: f64,
    /// How many tasks have run how long in all.
    pub ran: (u32, f64),
    pub errors: u32,
    /// Where its tasks have failed, and when they last did.
    pub error_machines: BTreeMap<MachineId, Mono>,
    pub pause_until: Mono,
    /// When its tasks first counted on a spot machine that is not up yet.
    pub spot_wait_since: Option<Mono>,
    pub no_new_spot: bool,
}

impl Job {
    pub fn new(record: LiveRecord, revision: Revision, team: u32) -> Job {
        let n = record.spec.tasks;
        Job {
            revision,
            submitted: record.at,
            team,
            done: FixedBitSet::with_capacity(n as usize),
            durable: FixedBitSet::with_capacity(n as usize),
            done_count: 0,
            ready: (0..n).collect(),
            reclaimed: BTreeSet::new(),
            placed: BTreeMap::new(),
            gang: None,
            finishing: false,
            bits_in_flight: false,
            overspent: 0.0,
            ran: (0, 0.0),
            errors: 0,
            error_machines: BTreeMap::new(),
            pause_until: Mono(0),
            spot_wait_since: None,
            no_new_spot: false,
            spec: record.spec,
        }
    }

    /// Notes a task as done; it may still be listed by its machine.
    pub fn set_done(&mut self, index: u32) {
        if !self.done.put(index as usize) {
            self.done_count += 1;
        }
        self.ready.remove(&index);
        self.reclaimed.remove(&index);
    }

    pub fn all_done(&self) -> bool {
        self.done_count == self.spec.tasks
    }

    /// The task is on no machine any more and must run again. What an old start of it has come to
    /// (a machine may list that long after) doesn't count while the task is placed anew.
    pub fn requeue(&mut self, index: u32, reclaimed: bool) {
        if !self.done.contains(index as usize) && !self.placed.contains_key(&index) {
            self.ready.insert(index);
            if reclaimed {
                self.reclaimed.insert(index);
            }
        }
    }

    pub fn place(&mut self, index: u32, machine: &MachineId, attempt: Attempt) {
        self.ready.remove(&index);
        self.reclaimed.remove(&index);
        let places = self.placed.entry(index).or_default();
        if !places.iter().any(|(m, a)| m == machine && *a == attempt) {
            places.push((machine.clone(), attempt));
        }
    }

    /// A start of a task is proven to be gone from its machine.
    pub fn unplace(&mut self, index: u32, machine: &MachineId, attempt: Attempt) {
        if let Some(places) = self.placed.get_mut(&index) {
            places.retain(|(m, a)| m != machine || *a != attempt);
            if places.is_empty() {
                self.placed.remove(&index);
            }
        }
    }

    /// All starts of its tasks that are possibly on machines.
    pub fn places(&self) -> impl Iterator<Item = (u32, &MachineId, Attempt)> {
        self.placed.iter().flat_map(|(i, l)| l.iter().map(|(m, a)| (*i, m, *a)))
    }

    /// Whether a start of a task that is on a machine has a reason to stay there.
    pub fn goes_on(&self, (task, attempt): &(TaskId, Attempt)) -> bool {
        let broken = self.gang.as_ref().is_some_and(|g| g.broken && g.attempt == *attempt);
        !broken && !self.done.contains(task.index as usize)
    }

    /// Whether the state service holds that the task is done.
    pub fn is_durable(&self, index: u32) -> bool {
        self.durable.contains(index as usize)
    }

    /// A job that fails on several machines is itself at fault; one that hasn't failed for long may just
    /// have met machines that did.
    pub fn at_fault(&self, now: Mono) -> bool {
        self.done_count == 0 && self.error_machines.values().filter(|t| now - **t < FAULT_LASTS).count() >= 2
    }

    /// Whether it keeps off a machine on which it has failed.
    pub fn avoids(&self, id: &MachineId, now: Mono) -> bool {
        self.error_machines.get(id).is_some_and(|t| now - *t < AVOIDED_FOR)
    }

    pub fn saves(&self) -> bool {
        self.spec.checkpoint_s > 0.0
    }
}

/// What a class of jobs really takes against its owners' estimates; one number a class.
#[derive(Default)]
pub struct ClassTimes {
    ratios: HashMap<String, f64>,
}

const MAX_CLASSES: usize = 256;

impl ClassTimes {
    pub fn learn(&mut self, class: &str, estimate_s: f64, actual_s: f64) {
        if estimate_s <= 0.0 || actual_s <= 0.0 {
            return;
        }
        let ratio = (actual_s / estimate_s).clamp(0.1, 10.0);
        if let Some(r) = self.ratios.get_mut(class) {
            *r += 0.05 * (ratio - *r);
        } else if self.ratios.len() < MAX_CLASSES {
            self.ratios.insert(class.into(), 1.0 + 0.05 * (ratio - 1.0));
        }
    }

    pub fn expect(&self, class: &str, estimate_s: f64) -> f64 {
        estimate_s * self.ratios.get(class).copied().unwrap_or(1.0)
    }
}

pub fn priority_number(p: Priority) -> u32 {
    p as u32
}

#[cfg(test)]
mod tests;
