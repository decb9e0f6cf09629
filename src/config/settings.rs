//! The platform's settings. Where the file uses another name than this program, a serde attribute states it; error
//! messages use the file's names.

use super::{ConfigError, Objective};
use crate::time::Millis;
use serde::{Deserialize, Deserializer};
use std::net::SocketAddr;

/// Lower bound on the mutations that the store must allow in a transaction: a little more than any single transaction
/// of a controller needs.
const MIN_TRANSACTION_OPS: usize = 4;
/// Lower bound on the limit on open sockets: with fewer, none would be left for users and workers.
const MIN_SOCKETS: usize = 32;
/// Time in seconds by which the time limit on cancellations must exceed a worker's lease plus the leader's lease, so
/// that a cancellation is carried out within the limit even if the leader changes meanwhile.
const CANCELLATION_MARGIN_S: f64 = 2.0;
/// Time to live of the leader's lease in the key-value store, as a fraction of that of a worker's lease.
const LEADER_LEASE_FRACTION: f64 = 0.35;
/// Lower bound on the time to live of the leader's lease, in seconds.
const MIN_LEADER_LEASE_S: f64 = 2.0;
/// Upper bound on the time to live of the leader's lease, in seconds.
const MAX_LEADER_LEASE_S: f64 = 6.0;
/// How long a leader may act on its last read of the live jobs, as a fraction of the difference between the time limit
/// on cancellations and the time to live of a worker's lease.
const READ_TTL_FRACTION: f64 = 0.6;

/// An error in the platform's settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file isn't valid JSON, or a setting is missing or has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A limit or duration isn't positive, either now or in the store's upcoming limits (`next`).
    #[error("cluster.{setting} must be above 0, not {value}")]
    NotPositive {
        /// The setting's path within `cluster`.
        setting: &'static str,
        /// The setting's value.
        value: f64,
    },
    /// The limit on sockets is so low that none would be left for users and workers.
    #[error("cluster.limits.fd_limit must be at least {MIN_SOCKETS}, not {0}")]
    TooFewSockets(usize),
    /// The limit on mutations in a transaction is too low for a controller's transactions, either now or in the store's
    /// upcoming limits (`next`).
    #[error("cluster.state.txn_ops must be at least {MIN_TRANSACTION_OPS}, now and in next")]
    TooFewTransactionOps,
    /// The time limit on cancellations is too short for the workers' leases to expire and a new leader to be elected,
    /// so the tasks of a cancelled job could outlive the limit.
    #[error("cluster.workers.cancel_s leaves no room for lease_s and a change of leader")]
    CancellationLimitTooShort,
    /// Two teams have the same name.
    #[error("cluster.teams names {0} twice")]
    RepeatedTeam(String),
    /// The controller's name is empty, or a peer has the same name.
    #[error("host_name must be set and differ from the names in known")]
    NameNotUnique,
}

/// Another controller of the cluster.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// Name of the controller, by which the controllers identify each other.
    #[serde(rename = "host_name")]
    pub name: String,
    /// Zone that the controller is in; empty if unknown.
    #[serde(rename = "location", default)]
    pub zone: String,
    /// Address at which the controller listens for messages of other controllers.
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

/// Services that the controllers depend on.
#[derive(Clone, Debug, Deserialize)]
pub struct ExternalServices {
    /// Address of the cloud, from which machines are provisioned (PROTOCOL, "Controller nodes -> cloud").
    pub cloud: SocketAddr,
    /// Address of the key-value store (PROTOCOL, "Controller nodes -> state service").
    #[serde(rename = "state")]
    pub store: SocketAddr,
}

/// A team with its guarantee and its quota.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Name of the team, unique among the teams.
    pub name: String,
    /// Number of CPUs that the team is guaranteed.
    #[serde(rename = "cpus", default)]
    pub guaranteed_cpus: f64,
    /// Quota: the maximum number of CPUs that the team's tasks may use at a time.
    #[serde(rename = "cpus_max", default)]
    pub max_cpus: f64,
    /// Number of GPUs that the team is guaranteed.
    #[serde(rename = "gpus", default)]
    pub guaranteed_gpus: f64,
    /// Quota: the maximum number of GPUs that the team's tasks may use at a time.
    #[serde(rename = "gpus_max", default)]
    pub max_gpus: f64,
}

/// Timing of the workers and of cancellations (PROTOCOL, "Workers -> controller nodes").
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerLimits {
    /// Seconds between two heartbeats of a worker; the actual time differs by up to a quarter.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Time to live of a worker's lease, in seconds. A worker whose heartbeats aren't answered for this long kills its
    /// tasks.
    pub lease_s: f64,
    /// Seconds after the confirmation to the user within which all tasks of a cancelled job must have ended.
    #[serde(rename = "cancel_s")]
    pub cancellation_limit_s: f64,
}

/// Limits of the key-value store (PROTOCOL, "Limits and errors").
#[derive(Clone, Debug, Deserialize)]
pub struct StoreLimits {
    /// Maximum number of requests to the key-value store per second, from all controllers together.
    pub rps: f64,
    /// Maximum number of mutations (keys set or deleted) per second, from all controllers together.
    pub write_rps: f64,
    /// Maximum size of a value in the key-value store, in KiB.
    #[serde(rename = "value_kb")]
    pub max_value_kb: f64,
    /// Maximum number of mutations in a transaction.
    #[serde(rename = "txn_ops")]
    pub max_transaction_ops: usize,
    /// Limits that the store will change to at some time, without notice.
    #[serde(default, deserialize_with = "null_as_default")]
    pub next: UpcomingStoreLimits,
}

/// Limits of the key-value store that are going to change. `None` means that the limit stays the same.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct UpcomingStoreLimits {
    /// The upcoming [`StoreLimits::rps`]; `None` if that limit will not change.
    pub rps: Option<f64>,
    /// The upcoming [`StoreLimits::write_rps`]; `None` if that limit will not change.
    pub write_rps: Option<f64>,
    /// The upcoming [`StoreLimits::max_value_kb`]; `None` if that limit will not change.
    #[serde(rename = "value_kb")]
    pub max_value_kb: Option<f64>,
    /// The upcoming [`StoreLimits::max_transaction_ops`]; `None` if that limit will not change.
    #[serde(rename = "txn_ops")]
    pub max_transaction_ops: Option<usize>,
}

/// Deserializes `null` as the default value, as for a field that is omitted.
fn null_as_default<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(deserializer: D) -> Result<T, D::Error> {
    Ok(Option::deserialize(deserializer)?.unwrap_or_default())
}

impl StoreLimits {
    /// Returns the lower of the current and the upcoming value of each limit. Whatever is within the returned limits is
    /// accepted by the store both before and after the change.
    pub fn strictest(&self) -> StoreLimits {
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

    /// Maximum size of a value in bytes, by the stricter of the limit now and its upcoming value.
    pub fn max_value_bytes(&self) -> usize {
        (self.strictest().max_value_kb * 1024.0) as usize
    }
}

/// Limits of the cloud (PROTOCOL, "Controller nodes -> cloud").
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Maximum number of requests to the cloud per second.
    pub rps: f64,
    /// Usual age of the cloud's list of machines, in seconds. Occasionally the list is twice as old.
    pub list_lag_s: f64,
}

/// Limits of the machine that a controller runs on.
#[derive(Clone, Debug, Deserialize)]
pub struct ControllerLimits {
    /// Maximum number of file descriptors that a controller may have open; nearly all of them are sockets.
    #[serde(rename = "fd_limit")]
    pub max_sockets: usize,
}

/// Settings that are the same for all controllers of the cluster.
#[derive(Clone, Debug, Deserialize)]
pub struct ClusterSettings {
    /// Zones of the cloud that machines may be in.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The teams. The scheduler and its messages identify a team by its index in this list.
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of the workers and of cancellations.
    pub workers: WorkerLimits,
    /// Limits of the key-value store.
    #[serde(rename = "state")]
    pub store: StoreLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of the machine that each controller runs on.
    pub limits: ControllerLimits,
}

/// The platform's settings for one controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Name of this controller.
    #[serde(rename = "host_name")]
    pub name: String,
    /// Address at which this controller listens for users, workers and health checks.
    #[serde(rename = "serve_on")]
    pub listen_addr: SocketAddr,
    /// Address at which this controller listens for messages of other controllers.
    #[serde(rename = "internal_addr")]
    pub peer_listen_addr: SocketAddr,
    /// The other controllers.
    #[serde(rename = "known", default)]
    pub peers: Vec<Peer>,
    /// Services that the controllers depend on.
    #[serde(rename = "external")]
    pub services: ExternalServices,
    /// Settings that are the same for all controllers.
    pub cluster: ClusterSettings,
}

impl Settings {
    /// Reads and validates a settings file. Errors state the file's path.
    pub fn load(path: &str) -> Result<Settings, ConfigError> {
        let text = super::read_file(path)?;
        Settings::parse(&text).map_err(|source| ConfigError::Settings { path: path.into(), source })
    }

    /// Parses and validates the JSON text of a settings file. Unknown fields are ignored.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = serde_json::from_str(text)?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), SettingsError> {
        let ClusterSettings { workers, cloud, limits, .. } = &self.cluster;
        let store = self.cluster.store.strictest();
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
        self.validate_names()
    }

    fn validate_names(&self) -> Result<(), SettingsError> {
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

    /// Time to live of the leader's lease in the key-value store. It is short compared with the workers' leases, so
    /// that if the leader fails, a new one is elected before the workers kill their tasks.
    pub fn leader_lease_ttl(&self) -> Millis {
        let ttl_s = self.cluster.workers.lease_s * LEADER_LEASE_FRACTION;
        Millis::from_secs_f64(ttl_s.clamp(MIN_LEADER_LEASE_S, MAX_LEADER_LEASE_S))
    }

    /// How long after its last read of the live jobs a leader may act on what it has read. A cancellation that the
    /// leader fails to read must still take effect in time: when the leader stops acting, the workers' leases expire
    /// and the workers kill the tasks.
    pub fn read_ttl(&self) -> Millis {
        let workers = &self.cluster.workers;
        Millis::from_secs_f64((workers.cancellation_limit_s - workers.lease_s) * READ_TTL_FRACTION)
    }

    /// Divides the platform's limit on sockets among the purposes for which a controller uses sockets.
    pub fn socket_budget(&self) -> SocketBudget {
        let total = self.cluster.limits.max_sockets;
        let share = |percent: usize, min: usize| (total * percent / 100).max(min);
        // The remaining 2% of the sockets are for the listening sockets, the log and the runtime.
        SocketBudget {
            public_listener: share(64, 1),
            peer_listener: share(3, 8),
            service_client: share(3, 8),
            worker_client: share(28, 4),
        }
    }
}

/// How many sockets a controller may use for each purpose. Each worker keeps a connection to the leader open. Orders to
/// workers use separate connections, whose number is limited so that enough sockets remain for the connections that
/// workers open.
pub struct SocketBudget {
    /// Incoming connections of users, workers and health checks.
    pub public_listener: usize,
    /// Incoming connections of peers.
    pub peer_listener: usize,
    /// Outgoing connections to the key-value store, the cloud and peers.
    pub service_client: usize,
    /// Outgoing connections that carry orders to workers.
    pub worker_client: usize,
}
