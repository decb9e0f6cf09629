//! The platform's settings. The files' own names stay in serde attributes and in messages.

use super::{ConfigError, Objective};
use crate::time::Millis;
use serde::{Deserialize, Deserializer};
use std::net::SocketAddr;

/// The most mutations that any one step of a controller needs in a transaction, with some to spare.
const MIN_TRANSACTION_OPS: usize = 4;
/// With fewer sockets there is none left for users and workers.
const MIN_SOCKETS: usize = 32;
/// A cancellation has to take effect even if the leader changes meanwhile: it needs this much beyond the leases.
const CANCELLATION_MARGIN_S: f64 = 2.0;
/// The leader's lease as a part of the workers' lease, and its bounds in seconds.
const LEADER_LEASE_SHARE: f64 = 0.35;
const MIN_LEADER_LEASE_S: f64 = 2.0;
const MAX_LEADER_LEASE_S: f64 = 6.0;
/// How long a reading is valid, as a part of the time between the end of workers' leases and the limit on
/// cancellations.
const READING_VALIDITY_SHARE: f64 = 0.6;

/// Why the platform's settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// They aren't JSON, or a setting is missing or of the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A limit or time isn't above 0, now or in `next`.
    #[error("cluster.{setting} must be above 0, not {value}")]
    NotPositive {
        /// Its name below `cluster`.
        setting: &'static str,
        /// Its value.
        value: f64,
    },
    /// The limit on sockets leaves none for users and workers.
    #[error("cluster.limits.fd_limit must be at least {MIN_SOCKETS}, not {0}")]
    TooFewSockets(usize),
    /// Transactions may be too small for one step, now or in `next`.
    #[error("cluster.state.txn_ops must be at least {MIN_TRANSACTION_OPS}, now and in next")]
    TooFewTransactionOps,
    /// Cancelled tasks may have to be gone before a new leader can see to it.
    #[error("cluster.workers.cancel_s leaves no room for lease_s and a change of leader")]
    CancellationLimitTooShort,
    /// Two teams have the same name.
    #[error("cluster.teams names {0} twice")]
    RepeatedTeam(String),
    /// The controller has no name, or a peer has the same one.
    #[error("host_name must be set and differ from the names in known")]
    NameNotUnique,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// Its name, by which controllers identify each other.
    #[serde(rename = "host_name")]
    pub name: String,
    /// The zone that it is in; empty if not known.
    #[serde(rename = "location", default)]
    pub zone: String,
    /// Where it listens for peers.
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

/// Services that the controllers depend on.
#[derive(Clone, Debug, Deserialize)]
pub struct External {
    /// The cloud that machines are provisioned from (PROTOCOL, "Controller nodes -> cloud").
    pub cloud: SocketAddr,
    /// The key-value store (PROTOCOL, "Controller nodes -> state service").
    #[serde(rename = "state")]
    pub store: SocketAddr,
}

/// A team with its guarantee and its quota.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Its name, unique among the teams.
    pub name: String,
    /// Processors that it is guaranteed.
    #[serde(default)]
    pub cpus: f64,
    /// The most processors that its tasks may use at once.
    #[serde(default)]
    pub cpus_max: f64,
    /// GPUs that it is guaranteed.
    #[serde(default)]
    pub gpus: f64,
    /// The most GPUs that its tasks may use at once.
    #[serde(default)]
    pub gpus_max: f64,
}

/// What the workers hold themselves to (PROTOCOL, "Workers -> controller nodes"). In seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerLimits {
    /// Time between two heartbeats of a worker, plus or minus a quarter.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// A worker whose heartbeats go unanswered for this long kills its tasks.
    pub lease_s: f64,
    /// Tasks of a cancelled job must be gone within this time of the answer to the user.
    #[serde(rename = "cancel_s")]
    pub cancellation_limit_s: f64,
}

/// Limits of the key-value store (PROTOCOL, "Limits and errors").
#[derive(Clone, Debug, Deserialize)]
pub struct StoreLimits {
    /// Requests per second, of all controllers together.
    pub rps: f64,
    /// Mutations per second, of all controllers together.
    pub write_rps: f64,
    /// The largest value, in KiB.
    #[serde(rename = "value_kb")]
    pub max_value_kb: f64,
    /// The most mutations in a transaction.
    #[serde(rename = "txn_ops")]
    pub max_transaction_ops: usize,
    /// Limits that will be in force from some moment on, without notice.
    #[serde(default, deserialize_with = "null_as_default")]
    pub next: UpcomingStoreLimits,
}

/// Limits of the key-value store that are going to change. Those that aren't named stay.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct UpcomingStoreLimits {
    /// See [`StoreLimits::rps`].
    pub rps: Option<f64>,
    /// See [`StoreLimits::write_rps`].
    pub write_rps: Option<f64>,
    /// See [`StoreLimits::max_value_kb`].
    #[serde(rename = "value_kb")]
    pub max_value_kb: Option<f64>,
    /// See [`StoreLimits::max_transaction_ops`].
    #[serde(rename = "txn_ops")]
    pub max_transaction_ops: Option<usize>,
}

/// What may be null may equally be omitted.
fn null_as_default<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(deserializer: D) -> Result<T, D::Error> {
    Ok(Option::deserialize(deserializer)?.unwrap_or_default())
}

impl StoreLimits {
    /// What holds both now and later: whatever is written within these limits is accepted at any time.
    pub fn lowest(&self) -> StoreLimits {
        let lower = |now: f64, later: Option<f64>| later.map_or(now, |later| now.min(later));
        let next = &self.next;
        let later_ops = next.max_transaction_ops.unwrap_or(self.max_transaction_ops);
        StoreLimits {
            rps: lower(self.rps, next.rps),
            write_rps: lower(self.write_rps, next.write_rps),
            max_value_kb: lower(self.max_value_kb, next.max_value_kb),
            max_transaction_ops: self.max_transaction_ops.min(later_ops),
            next: UpcomingStoreLimits::default(),
        }
    }

    /// The most bytes that a value may have, now and later.
    pub fn value_bytes(&self) -> usize {
        (self.lowest().max_value_kb * 1024.0) as usize
    }
}

/// Limits of the cloud (PROTOCOL, "Controller nodes -> cloud").
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// How old its list of machines usually is, in seconds; occasionally twice that.
    pub list_lag_s: f64,
}

/// Limits of the machine that a controller runs on.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// The most file descriptors, nearly all of which are sockets.
    #[serde(rename = "fd_limit")]
    pub max_sockets: usize,
}

/// What is common to all controllers.
#[derive(Clone, Debug, Deserialize)]
pub struct Cluster {
    /// Zones that machines may be in.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The teams. Elsewhere a team is identified by its index here.
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Limits of the workers.
    pub workers: WorkerLimits,
    /// Limits of the key-value store.
    #[serde(rename = "state")]
    pub store: StoreLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of the controllers.
    pub limits: Limits,
}

/// The platform's settings of one controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// The controller's own name.
    #[serde(rename = "host_name")]
    pub name: String,
    /// Where users, workers and health checks reach it.
    #[serde(rename = "serve_on")]
    pub listen: SocketAddr,
    /// Where its peers reach it.
    #[serde(rename = "internal_addr")]
    pub peer_listen: SocketAddr,
    /// The other controllers.
    #[serde(rename = "known", default)]
    pub peers: Vec<Peer>,
    /// The services that it depends on.
    #[serde(rename = "external")]
    pub services: External,
    /// What is common to all controllers.
    pub cluster: Cluster,
}

impl Settings {
    /// Reads and checks a file. Errors name its path.
    pub fn load(path: &str) -> Result<Settings, ConfigError> {
        let text = super::read(path)?;
        Settings::parse(&text).map_err(|source| ConfigError::Settings { path: path.into(), source })
    }

    /// Reads and checks the JSON text of a file. Names that aren't known are ignored.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = serde_json::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let Cluster { workers, cloud, limits, .. } = &self.cluster;
        let store = self.cluster.store.lowest();
        let positive = [
            ("workers.report_s", workers.heartbeat_interval_s),
            ("workers.lease_s", workers.lease_s),
            ("workers.cancel_s", workers.cancellation_limit_s),
            ("state.rps", store.rps),
            ("state.write_rps", store.write_rps),
            ("state.value_kb", store.max_value_kb),
            ("state.txn_ops", store.max_transaction_ops as f64),
            ("cloud.rps", cloud.rps),
            ("limits.fd_limit", limits.max_sockets as f64),
        ];
        for (setting, value) in positive {
            if value.is_nan() || value <= 0.0 {
                return Err(SettingsError::NotPositive { setting, value });
            }
        }
        if limits.max_sockets < MIN_SOCKETS {
            return Err(SettingsError::TooFewSockets(limits.max_sockets));
        }
        if store.max_transaction_ops < MIN_TRANSACTION_OPS {
            return Err(SettingsError::TooFewTransactionOps);
        }
        let leader_lease_s = self.leader_lease_ttl().as_secs_f64();
        if workers.cancellation_limit_s <= workers.lease_s + leader_lease_s + CANCELLATION_MARGIN_S {
            return Err(SettingsError::CancellationLimitTooShort);
        }
        self.check_names()
    }

    fn check_names(&self) -> Result<(), SettingsError> {
        let teams = &self.cluster.teams;
        for (index, team) in teams.iter().enumerate() {
            if teams[..index].iter().any(|earlier| earlier.name == team.name) {
                return Err(SettingsError::RepeatedTeam(team.name.clone()));
            }
        }
        if self.name.is_empty() || self.peers.iter().any(|peer| peer.name == self.name) {
            return Err(SettingsError::NameNotUnique);
        }
        Ok(())
    }

    /// Time to live of the leader's lease in the key-value store: short against the workers' lease, so that
    /// there is a new leader before workers kill their tasks.
    pub fn leader_lease_ttl(&self) -> Millis {
        let ttl_s = self.cluster.workers.lease_s * LEADER_LEASE_SHARE;
        Millis::from_secs_f64(ttl_s.clamp(MIN_LEADER_LEASE_S, MAX_LEADER_LEASE_S))
    }

    /// How long a leader may act on what it has last read: a cancellation that it hasn't read must be
    /// carried out by the workers' leases alone.
    pub fn reading_validity(&self) -> Millis {
        let workers = &self.cluster.workers;
        Millis::from_secs_f64((workers.cancellation_limit_s - workers.lease_s) * READING_VALIDITY_SHARE)
    }

    /// How the platform's limit on sockets is divided.
    pub fn sockets(&self) -> SocketShares {
        let all = self.cluster.limits.max_sockets;
        let part = |percent: usize, least: usize| (all * percent / 100).max(least);
        // Two in a hundred are left for listeners, logs and the runtime.
        SocketShares { public: part(64, 1), peers: part(3, 8), own: part(3, 8), orders: part(28, 4) }
    }
}

/// What the platform's limit on sockets is spent on. Each worker keeps one connection to the leader; orders go
/// over connections of their own, which are few enough to leave the workers theirs.
pub struct SocketShares {
    /// Connections of users, workers and health checks.
    pub public: usize,
    /// Connections of peers that call here.
    pub peers: usize,
    /// Calls to the key-value store, the cloud and peers.
    pub own: usize,
    /// Calls with orders to workers.
    pub orders: usize,
}
