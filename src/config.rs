//! The platform's settings (JSON) and the operators' own (XML), checked before anything starts.

use crate::time::Millis;
use quick_xml::Reader;
use quick_xml::events::Event;
use serde::{Deserialize, Deserializer};
use std::net::SocketAddr;

#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("{path}: {source}")]
    Read { path: String, source: std::io::Error },
    #[error("{path}: {message}")]
    Json { path: String, message: String },
    #[error("{path}: line {line}: {message}")]
    Xml { path: String, line: usize, message: String },
}

#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    #[serde(rename = "host_name")]
    pub name: String,
    #[serde(rename = "location", default)]
    pub zone: String,
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    pub cloud: SocketAddr,
    #[serde(rename = "state")]
    pub store: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: String,
    #[serde(default)]
    pub within_s: f64,
    /// Of an aim on deadlines: how many times the job's deadline.
    #[serde(default = "one")]
    pub times: f64,
}

fn one() -> f64 {
    1.0
}

/// What may be null may equally be omitted.
fn none_as_default<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(d: D) -> Result<T, D::Error> {
    Ok(Option::deserialize(d)?.unwrap_or_default())
}

#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    pub lease_s: f64,
    #[serde(rename = "cancel_s")]
    pub cancellation_limit_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct StoreLimits {
    pub rps: f64,
    pub write_rps: f64,
    #[serde(rename = "value_kb")]
    pub max_value_kb: f64,
    #[serde(rename = "txn_ops")]
    pub max_transaction_ops: usize,
    /// Limits that will be in force from some moment on, without notice.
    #[serde(default, deserialize_with = "none_as_default")]
    pub next: UpcomingStoreLimits,
}

/// Limits of the state service that change; those that aren't named stay.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct UpcomingStoreLimits {
    pub rps: Option<f64>,
    pub write_rps: Option<f64>,
    #[serde(rename = "value_kb")]
    pub max_value_kb: Option<f64>,
    #[serde(rename = "txn_ops")]
    pub max_transaction_ops: Option<usize>,
}

impl StoreLimits {
    /// What holds both now and later: whatever is written within these limits is taken at any time.
    pub fn lowest(&self) -> StoreLimits {
        let lower = |now: f64, later: Option<f64>| later.map_or(now, |later| now.min(later));
        StoreLimits {
            rps: lower(self.rps, self.next.rps),
            write_rps: lower(self.write_rps, self.next.write_rps),
            max_value_kb: lower(self.max_value_kb, self.next.max_value_kb),
            max_transaction_ops: self
                .next
                .max_transaction_ops
                .map_or(self.max_transaction_ops, |later| self.max_transaction_ops.min(later)),
            next: UpcomingStoreLimits::default(),
        }
    }

    /// The most bytes that a value may have, now and later.
    pub fn value_bytes(&self) -> usize {
        (self.lowest().max_value_kb * 1024.0) as usize
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    #[serde(rename = "fd_limit")]
    pub max_sockets: usize,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Cluster {
    #[serde(default)]
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    #[serde(rename = "state")]
    pub store: StoreLimits,
    pub cloud: CloudLimits,
    pub limits: Limits,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    #[serde(rename = "host_name")]
    pub name: String,
    #[serde(rename = "serve_on")]
    pub listen: SocketAddr,
    #[serde(rename = "internal_addr")]
    pub peer_listen: SocketAddr,
    #[serde(rename = "known", default)]
    pub peers: Vec<Peer>,
    #[serde(rename = "external")]
    pub services: Services,
    pub cluster: Cluster,
}

impl Settings {
    pub fn load(path: &str) -> Result<Settings, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Read { path: path.into(), source })?;
        Settings::parse(&text).map_err(|message| ConfigError::Json { path: path.into(), message })
    }

    pub fn parse(text: &str) -> Result<Settings, String> {
        let s: Settings = serde_json::from_str(text).map_err(|e| e.to_string())?;
        s.check()?;
        Ok(s)
    }

    fn check(&self) -> Result<(), String> {
        let c = &self.cluster;
        let state = c.store.lowest();
        let positive = [
            ("workers.report_s", c.workers.heartbeat_interval_s),
            ("workers.lease_s", c.workers.lease_s),
            ("workers.cancel_s", c.workers.cancellation_limit_s),
            ("state.rps", state.rps),
            ("state.write_rps", state.write_rps),
            ("state.value_kb", state.max_value_kb),
            ("state.txn_ops", state.max_transaction_ops as f64),
            ("cloud.rps", c.cloud.rps),
            ("limits.fd_limit", c.limits.max_sockets as f64),
        ];
        for (name, x) in positive {
            if x.is_nan() || x <= 0.0 {
                return Err(format!("cluster.{name} must be above 0, not {x}"));
            }
        }
        if c.limits.max_sockets < MIN_SOCKETS {
            return Err(format!(
                "cluster.limits.fd_limit must be at least {MIN_SOCKETS}, not {}",
                c.limits.max_sockets
            ));
        }
        if state.max_transaction_ops < MIN_TRANSACTION_OPS {
            return Err(format!("cluster.state.txn_ops must be at least {MIN_TRANSACTION_OPS}, now and in next"));
        }
        if c.workers.cancellation_limit_s <= c.workers.lease_s + self.leader_lease_ttl().as_secs_f64() + 2.0 {
            return Err("cluster.workers.cancel_s leaves no room for lease_s and a change of leader".into());
        }
        for (i, t) in c.teams.iter().enumerate() {
            if c.teams[..i].iter().any(|o| o.name == t.name) {
                return Err(format!("cluster.teams names {} twice", t.name));
            }
        }
        if self.name.is_empty() || self.peers.iter().any(|p| p.name == self.name) {
            return Err("host_name must be set and differ from the names in known".into());
        }
        Ok(())
    }

    /// Life of the leader's lease at the state service: short against the workers' lease, so that
    /// a new leader is there before workers give up.
    pub fn leader_lease_ttl(&self) -> Millis {
        Millis::from_secs_f64((self.cluster.workers.lease_s * 0.35).clamp(2.0, 6.0))
    }

    /// How long a leader may act on what it has last read: a cancellation that it hasn't read must be
    /// carried out by the workers' leases alone.
    pub fn reading_validity(&self) -> Millis {
        let w = &self.cluster.workers;
        Millis::from_secs_f64((w.cancellation_limit_s - w.lease_s) * 0.6)
    }

    /// Most seconds until a task of the class should have started, if an aim says so.
    pub fn start_slo_s(&self, class: &str, guaranteed: bool) -> Option<f64> {
        let of = |o: &&Objective| o.kind == "wait" && o.class == class || guaranteed && o.kind == "guarantee";
        self.cluster.objectives.iter().filter(of).map(|o| o.within_s).reduce(f64::min)
    }
}

impl Settings {
    /// In how many seconds a job should end by each of its class's aims. Deadlines count from the
    /// submission, all else from when the job could start.
    pub fn slo_deadlines(&self, class: &str, deadline_s: Option<f64>, ages: JobAges, run_s: f64) -> Vec<f64> {
        let of = |o: &Objective| match o.kind.as_str() {
            "finished" => Some(o.within_s - ages.startable_s),
            // An aim on starting is one on finishing, a run later.
            "wait" => Some(o.within_s + run_s - ages.startable_s),
            _ => None,
        };
        let mut slo_deadlines: Vec<f64> = self.objectives_of(class).filter_map(of).collect();
        slo_deadlines.extend(self.deadlines(class, deadline_s, ages.submitted_s));
        slo_deadlines
    }

    /// Seconds left until the deadline of a job, and until each multiple of it that its class has an aim for.
    pub fn deadlines(&self, class: &str, deadline_s: Option<f64>, submitted_s: f64) -> Vec<f64> {
        let Some(deadline_s) = deadline_s else { return Vec::new() };
        let aims = self.objectives_of(class).filter(|o| o.kind == "deadline").map(|o| deadline_s * o.times);
        aims.chain([deadline_s]).map(|due_s| due_s - submitted_s).collect()
    }

    fn objectives_of(&self, class: &str) -> impl Iterator<Item = &Objective> {
        self.cluster.objectives.iter().filter(move |o| o.class == class)
    }
}

/// The first of several goals, in seconds from now, that a job can still meet, and how many it has missed.
pub fn next_slo_deadline(mut slo_deadlines: Vec<f64>, run_s: f64) -> (Option<f64>, u32) {
    slo_deadlines.sort_by(f64::total_cmp);
    slo_deadlines.dedup();
    let missed = slo_deadlines.iter().filter(|goal| **goal < run_s).count();
    (slo_deadlines.get(missed).copied(), missed as u32)
}

/// Seconds since a job was submitted, and since no job that it awaits was left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobAges {
    pub submitted_s: f64,
    pub startable_s: f64,
}

/// The most changes that any one step of a controller needs in a transaction, with some to spare.
const MIN_TRANSACTION_OPS: usize = 4;
/// With fewer there is none left for users and workers.
const MIN_SOCKETS: usize = 32;

/// What the platform's limit on sockets is spent on. Each worker keeps one connection to the leader;
/// orders go over connections of their own, which are few enough to leave the workers theirs.
pub struct Sockets {
    /// Users, workers and health checks.
    pub public: usize,
    /// Peers that call here.
    pub peers: usize,
    /// Calls to the state service, the cloud and peers.
    pub own: usize,
    /// Orders to workers.
    pub orders: usize,
}

impl Settings {
    pub fn sockets(&self) -> Sockets {
        let all = self.cluster.limits.max_sockets;
        let part = |percent: usize, least: usize| (all * percent / 100).max(least);
        // Two in a hundred are left for listeners, logs and the runtime.
        Sockets { public: part(64, 1), peers: part(3, 8), own: part(3, 8), orders: part(28, 4) }
    }
}

/// The operators' settings. All are optional; docs/operations.md explains each.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// The paper's B: how much dearer than the cheapest a job may be, as a share of the range.
    pub budget_share: f64,
    /// Median life that the log-normal starts with, and its sigma.
    pub spot_median_s: f64,
    pub spot_sigma: f64,
    /// The window of the unfilled spot request, in seconds.
    pub spot_window_s: f64,
    /// Seconds after which an idle machine goes back.
    pub idle_s: f64,
    /// A GPU machine may be idle for this many times as long.
    pub gpu_idle_factor: f64,
    /// Stands in for the run time of services in costs.
    pub service_horizon_s: f64,
    /// Tasks placed in a round: at rest, and at the most.
    pub batch_min: f64,
    pub batch_max: f64,
    /// Shortest time between two rounds, in milliseconds.
    pub round_ms: f64,
    /// Requests of users under way at once; more get 503.
    pub user_requests: f64,
    /// A gang that has waited this long has room gathered for it.
    pub gang_reservation_wait_s: f64,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            budget_share: 0.25,
            spot_median_s: 5400.0,
            spot_sigma: 1.0,
            spot_window_s: 10.0,
            idle_s: 20.0,
            gpu_idle_factor: 2.0,
            service_horizon_s: 600.0,
            batch_min: 64.0,
            batch_max: 1024.0,
            round_ms: 150.0,
            user_requests: 64.0,
            gang_reservation_wait_s: 120.0,
        }
    }
}

impl Tuning {
    /// The setting of that name with its least and greatest value.
    fn slot(&mut self, name: &str) -> Option<(&mut f64, f64, f64)> {
        Some(match name {
            "budget-share" => (&mut self.budget_share, 0.0, 1.0),
            "spot-median-s" => (&mut self.spot_median_s, 1.0, 1e7),
            "spot-sigma" => (&mut self.spot_sigma, 0.01, 10.0),
            "spot-window-s" => (&mut self.spot_window_s, 0.0, 3600.0),
            "idle-s" => (&mut self.idle_s, 0.0, 86_400.0),
            "gpu-idle-factor" => (&mut self.gpu_idle_factor, 0.1, 1000.0),
            "service-horizon-s" => (&mut self.service_horizon_s, 1.0, 1e7),
            "batch-min" => (&mut self.batch_min, 1.0, 100_000.0),
            "batch-max" => (&mut self.batch_max, 1.0, 100_000.0),
            "round-ms" => (&mut self.round_ms, 10.0, 60_000.0),
            "user-requests" => (&mut self.user_requests, 1.0, 10_000.0),
            "gather-s" => (&mut self.gang_reservation_wait_s, 0.0, 86_400.0),
            _ => return None,
        })
    }

    pub fn load(path: &str) -> Result<Tuning, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Read { path: path.into(), source })?;
        Tuning::parse(&text).map_err(|(line, message)| ConfigError::Xml { path: path.into(), line, message })
    }

    /// `<wallstile><idle-s>60</idle-s>...</wallstile>`; an error names its line.
    pub fn parse(text: &str) -> Result<Tuning, (usize, String)> {
        let mut tuning = Tuning::default();
        let mut reader = Reader::from_str(text);
        let mut path: Vec<String> = Vec::new();
        let mut seen: Vec<String> = Vec::new();
        let mut content = String::new();
        loop {
            let event = reader.read_event();
            let at = (reader.buffer_position() as usize).min(text.len());
            let line = text.as_bytes()[..at].iter().filter(|b| **b == b'\n').count() + 1;
            match event.map_err(|e| (line, e.to_string()))? {
                Event::Start(e) => {
                    let name = e.name().as_ref().to_string();
                    match path.len() {
                        0 if name == "wallstile" && seen.is_empty() => seen.push(name.clone()),
                        1 if tuning.slot(&name).is_some() && !seen.contains(&name) => seen.push(name.clone()),
                        1 if seen.contains(&name) => return Err((line, format!("<{name}> stands twice"))),
                        _ => return Err((line, format!("unknown element <{name}>"))),
                    }
                    if e.attributes().next().is_some() {
                        return Err((line, format!("<{name}> takes no attributes")));
                    }
                    content.clear();
                    path.push(name);
                }
                Event::Empty(e) => {
                    let name = e.name().as_ref().to_string();
                    if !(path.is_empty() && name == "wallstile") {
                        return Err((line, format!("<{name}> is empty")));
                    }
                    seen.push(name);
                }
                Event::Text(e) => content.push_str(&e.xml10_content()),
                Event::End(_) => {
                    let name = path.pop().unwrap_or_default();
                    if path.len() == 1 {
                        let x: f64 = content
                            .trim()
                            .parse()
                            .map_err(|_| (line, format!("<{name}> holds no number: {:?}", content.trim())))?;
                        if let Some((slot, least, most)) = tuning.slot(&name) {
                            if !(least..=most).contains(&x) {
                                return Err((line, format!("<{name}> must be {least} to {most}, not {x}")));
                            }
                            *slot = x;
                        }
                        content.clear();
                    } else if !content.trim().is_empty() {
                        return Err((line, format!("stray text in <{name}>")));
                    }
                }
                Event::Eof if seen.is_empty() || !path.is_empty() => {
                    return Err((line, "the document ends before </wallstile>".into()));
                }
                Event::Eof => break,
                _ => {}
            }
        }
        if tuning.batch_min > tuning.batch_max {
            return Err((1, "batch-min is above batch-max".into()));
        }
        Ok(tuning)
    }
}

#[cfg(test)]
pub fn sample_settings() -> Settings {
    Settings::parse(include_str!("../tests/settings.json")).expect("the sample is valid")
}

#[cfg(test)]
mod tests;
