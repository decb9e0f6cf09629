//! What all asynchronous tasks of a controller process share: its settings, its clients and, behind one mutex, its
//! state.
//!
//! Most parts of the state are types with modules of their own; [`NodeState`] only combines these parts.

use super::cloud::CloudClient;
use super::dependency_check::DependencyCheckCache;
use super::heartbeat_balancing::HeartbeatBalancer;
use super::heartbeat_relay::{HeartbeatRelay, RelayWakeup};
use super::http::HttpClient;
use super::input_latency::InputLatency;
use super::kv::{CommitError, KvClient, KvError};
use super::outcome_cache::OutcomeCache;
use super::rate_limited_log::RateLimitedLog;
use super::redirected_workers::RedirectedWorkers;
use super::relay_routes::RelayRoutes;
use super::store_health::{StoreAvailability, StoreHealth};
use crate::config::{Settings, Tuning};
use crate::core::cancellations::ConfirmedCancellations;
use crate::core::election::Election;
use crate::core::overload::OverloadDetector;
use crate::core::scheduler::Scheduler;
use crate::ids::{JobId, Revision};
use crate::peer::JobCount;
use crate::time::{Millis, MonotonicTime, WallTime};
use crate::wire::{MachineType, Transaction};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// One controller: its settings, its clients and its state.
pub struct Node {
    /// The settings of the cluster and of this controller, from the file given by `--config`.
    pub settings: Settings,
    /// The operators' scheduling settings, from the file given by `--tuning`.
    pub tuning: Tuning,
    /// HTTP client for the store, the cloud and the peers.
    pub http: HttpClient,
    /// HTTP client for orders to workers, with its own limit on sockets, as there are far more workers than other
    /// hosts.
    pub worker_http: HttpClient,
    /// Client of the key-value store. Requests that the controller makes for its own work go through
    /// [`Node::track_store`] or [`Node::commit`], which record whether the store serves this controller.
    pub kv: KvClient,
    /// Client of the cloud provider.
    pub cloud: CloudClient,
    /// Number that distinguishes this process from earlier ones at the same address.
    pub incarnation: u64,
    /// Wakes the asynchronous task that relays workers' heartbeats to the leader.
    pub relay_wakeup: RelayWakeup,
    started_at: Instant,
    state: Mutex<NodeState>,
}

/// The state of one controller.
pub struct NodeState {
    /// This controller's state in the leader election.
    pub election: Election,
    /// The scheduler. `None` unless this controller leads and has loaded the cluster state.
    pub scheduler: Option<Scheduler>,
    /// The name of the leader, as last read from the store. `None` if no leader is known.
    pub leader_name: Option<String>,
    /// The machine types that the cloud offers. `None` until this controller has read them.
    pub machine_types: Option<Vec<MachineType>>,
    /// Outcomes of jobs that are known to have ended.
    pub outcome_cache: OutcomeCache,
    /// The cancellations that this process has confirmed to users.
    pub cancellations: ConfirmedCancellations,
    /// Jobs that were found not to depend on a cancelled job, each with the time of this check.
    pub dependency_check_cache: DependencyCheckCache,
    /// The leader's latest task counts of its live jobs, shown to users that poll a job.
    pub live_job_counts: HashMap<JobId, JobCount>,
    /// The number of user requests in progress.
    pub user_requests_in_progress: usize,
    /// Whether the store serves this controller, and what the peers report about the store and the leader.
    pub store_health: StoreHealth,
    /// Workers that have sent heartbeats to this controller while another one led.
    pub redirected_workers: RedirectedWorkers,
    /// Machines that the leader suspects of having failed, by its latest heartbeat to this controller.
    pub suspected_machines: HashSet<String>,
    /// The name of the peer to which this leader is about to hand over. `None` if no hand-over is due.
    pub successor: Option<String>,
    /// Workers' heartbeats that wait to be relayed to the leader.
    pub heartbeat_relay: HeartbeatRelay,
    /// Limits the rate of log lines about messages of peers that can't be decoded, are too large or are of another
    /// protocol version.
    pub bad_messages: RateLimitedLog,
    /// Limits the log lines about workers' heartbeats that exceed the maximum size.
    pub oversized_heartbeats: RateLimitedLog,
    /// The peers through which this controller can relay heartbeats while it can't reach the leader itself.
    pub relay_routes: RelayRoutes,
    /// While leading: distributes workers over the peers that relay heartbeats.
    pub heartbeat_balancer: HeartbeatBalancer,
    /// While leading: detects that this controller is too slow to lead.
    pub overload: OverloadDetector,
    /// How long each kind of input occupies this controller's single thread.
    pub input_latency: InputLatency,
}

impl NodeState {
    fn new(settings: &Settings) -> NodeState {
        NodeState {
            election: Election::new(settings.leader_lease_ttl(), settings.read_ttl()),
            scheduler: None,
            leader_name: None,
            machine_types: None,
            outcome_cache: OutcomeCache::default(),
            cancellations: ConfirmedCancellations::default(),
            dependency_check_cache: DependencyCheckCache::default(),
            live_job_counts: HashMap::new(),
            user_requests_in_progress: 0,
            store_health: StoreHealth::default(),
            redirected_workers: RedirectedWorkers::default(),
            suspected_machines: HashSet::new(),
            successor: None,
            heartbeat_relay: HeartbeatRelay::default(),
            bad_messages: RateLimitedLog::new(BAD_MESSAGES_LOG_INTERVAL),
            oversized_heartbeats: RateLimitedLog::new(BAD_MESSAGES_LOG_INTERVAL),
            relay_routes: RelayRoutes::default(),
            heartbeat_balancer: HeartbeatBalancer::default(),
            overload: OverloadDetector::default(),
            input_latency: InputLatency::default(),
        }
    }

    /// Replaces the task counts of live jobs by those that the leader has sent.
    pub fn set_live_job_counts(&mut self, counts: &[JobCount]) {
        self.live_job_counts =
            counts.iter().filter_map(|count| Some((JobId::parse(&count.job)?, count.clone()))).collect();
    }
}

/// Minimum interval between two log lines about invalid messages of peers.
const BAD_MESSAGES_LOG_INTERVAL: Millis = Millis(10_000);

impl Node {
    /// Creates the clients and the initial state. The caller starts the asynchronous tasks that run the controller.
    pub fn new(settings: Settings, tuning: Tuning) -> Arc<Node> {
        let sockets = settings.socket_budget();
        Arc::new(Node {
            http: HttpClient::new(sockets.service_client),
            worker_http: HttpClient::new(sockets.worker_client),
            kv: KvClient::new(settings.services.store.to_string()),
            cloud: CloudClient::new(settings.services.cloud.to_string(), settings.cluster.cloud.rps),
            incarnation: rand::random::<u64>() >> 1,
            relay_wakeup: RelayWakeup::default(),
            started_at: Instant::now(),
            state: Mutex::new(NodeState::new(&settings)),
            settings,
            tuning,
        })
    }

    /// The current time on this process's monotonic clock, which begins with the process.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime(self.started_at.elapsed().as_millis() as u64)
    }

    /// The current wall-clock time.
    pub fn wall_time(&self) -> WallTime {
        WallTime(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64))
    }

    /// Locks the state. The guard must not be held across an `await`.
    pub fn lock(&self) -> MutexGuard<'_, NodeState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Awaits a request to the store, and records with [`Node::record_store_result`] whether the store served it.
    pub async fn track_store<T>(&self, call: impl Future<Output = Result<T, KvError>>) -> Result<T, KvError> {
        let result = call.await;
        self.record_store_result(result.as_ref().err());
        result
    }

    /// Commits a transaction to the store, and records with [`Node::record_store_result`] whether the store served it.
    pub async fn commit(&self, transaction: &Transaction) -> Result<Revision, CommitError> {
        let result = self.kv.commit(&self.http, transaction).await;
        self.record_store_result(match &result {
            Ok(_) | Err(CommitError::Conflict(_)) => None,
            Err(CommitError::Store(error)) => Some(error),
        });
        result
    }

    /// Records whether the store serves this controller, as shown by a request: `error` is its error, or `None` if it
    /// succeeded. The store counts as available after any valid response other than a refusal.
    pub fn record_store_result(&self, error: Option<&KvError>) {
        let now = self.now();
        let availability = StoreAvailability::from(error);
        let mut state = self.lock();
        state.store_health.record(now, availability);
        match availability {
            StoreAvailability::Available => state.election.store_served(),
            StoreAvailability::Refused | StoreAvailability::Unreachable => state.election.store_failed(),
        }
    }

    /// Whether the store has not responded for so long that user requests should fail immediately instead of waiting
    /// for the store. The leader election keeps sending requests to the store.
    pub fn is_store_unreachable(&self) -> bool {
        let now = self.now();
        self.lock().store_health.is_unreachable(now)
    }
}
