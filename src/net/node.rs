//! What the tasks of one controller share: its clients and, under one mutex, its state.
//!
//! Each part of the state is a type of its own module; this one only holds them together.

use super::cloud::CloudClient;
use super::dependency_check::DependencyCheckCache;
use super::heartbeat_balancing::HeartbeatBalancer;
use super::heartbeat_relay::{HeartbeatRelay, RelayWakeup};
use super::http::Http;
use super::input_latency::InputLatency;
use super::kv::{CommitError, KvClient, KvError};
use super::outcome_cache::OutcomeCache;
use super::rate_limited_log::RateLimitedLog;
use super::redirected_workers::RedirectedWorkers;
use super::relay_routes::RelayRoutes;
use super::store_health::{StoreHealth, StoreService};
use crate::config::{Settings, Tuning};
use crate::core::cancellations::ConfirmedCancellations;
use crate::core::election::Election;
use crate::core::overload::Overload;
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
    /// The platform's settings.
    pub settings: Settings,
    /// The operators' settings.
    pub tuning: Tuning,
    /// Calls of the store, the cloud and the peers.
    pub http: Http,
    /// Orders to workers, which are many more hosts than all others.
    pub orders: Http,
    /// The key-value store. What is asked for the controller itself goes by [`Node::track_store`] or
    /// [`Node::commit`].
    pub kv: KvClient,
    /// The cloud.
    pub cloud: CloudClient,
    /// Tells this process from earlier ones at the same address.
    pub incarnation: u64,
    /// Wakes the task that relays heartbeats.
    pub relay_wakeup: RelayWakeup,
    started: Instant,
    state: Mutex<NodeState>,
}

/// The state of one controller.
pub struct NodeState {
    /// Whether this controller leads or may stand for election.
    pub election: Election,
    /// The scheduler, while leading and once the cluster state is loaded.
    pub scheduler: Option<Scheduler>,
    /// Who leads, as last read from the store.
    pub leader_name: Option<String>,
    /// The machine types, once known.
    pub types: Option<Vec<MachineType>>,
    /// Jobs known to have ended.
    pub outcomes: OutcomeCache,
    /// The cancellations that this process has confirmed to users.
    pub cancellations: ConfirmedCancellations,
    /// Jobs that were found not to depend on a cancelled one, and when.
    pub dependency_check_cache: DependencyCheckCache,
    /// The leader's counts of its live jobs, which users are shown.
    pub counts: HashMap<JobId, JobCount>,
    /// Users' requests under way.
    pub user_requests: usize,
    /// Whether the store serves this controller, and what the peers say.
    pub store_health: StoreHealth,
    /// Workers that have tried here while another controller led.
    pub redirected_workers: RedirectedWorkers,
    /// Machines that the leader suspects, as told in its heartbeat.
    pub suspected: HashSet<String>,
    /// While leading: the peer that this controller should hand over to.
    pub successor: Option<String>,
    /// Workers' heartbeats on their way to the leader.
    pub heartbeat_relay: HeartbeatRelay,
    /// Messages of peers that can't be read, are too large or of another version.
    pub bad_messages: RateLimitedLog,
    /// While another leads and can't be reached: the peers that reach it.
    pub relay_routes: RelayRoutes,
    /// While leading: the peers that relay workers' heartbeats.
    pub heartbeat_balancer: HeartbeatBalancer,
    /// While leading: whether this controller is too slow for it.
    pub overload: Overload,
    /// How long inputs hold this controller's one thread.
    pub input_latency: InputLatency,
}

impl NodeState {
    fn new(settings: &Settings) -> NodeState {
        NodeState {
            election: Election::new(settings.leader_lease_ttl(), settings.reading_validity()),
            scheduler: None,
            leader_name: None,
            types: None,
            outcomes: OutcomeCache::default(),
            cancellations: ConfirmedCancellations::default(),
            dependency_check_cache: DependencyCheckCache::default(),
            counts: HashMap::new(),
            user_requests: 0,
            store_health: StoreHealth::default(),
            redirected_workers: RedirectedWorkers::default(),
            suspected: HashSet::new(),
            successor: None,
            heartbeat_relay: HeartbeatRelay::default(),
            bad_messages: RateLimitedLog::new(BAD_MESSAGES_LOG_INTERVAL),
            relay_routes: RelayRoutes::default(),
            heartbeat_balancer: HeartbeatBalancer::default(),
            overload: Overload::default(),
            input_latency: InputLatency::default(),
        }
    }

    /// Takes in the leader's counts of its live jobs.
    pub fn take_counts(&mut self, counts: &[JobCount]) {
        self.counts = counts.iter().filter_map(|count| Some((JobId::parse(&count.job)?, count.clone()))).collect();
    }
}

/// Bad messages of peers are logged this often at most.
const BAD_MESSAGES_LOG_INTERVAL: Millis = Millis(10_000);

impl Node {
    /// A controller that has just started. It does nothing by itself: the program starts its tasks.
    pub fn new(settings: Settings, tuning: Tuning) -> Arc<Node> {
        let sockets = settings.sockets();
        Arc::new(Node {
            http: Http::new(sockets.own),
            orders: Http::new(sockets.orders),
            kv: KvClient::new(settings.services.store.to_string()),
            cloud: CloudClient::new(settings.services.cloud.to_string(), settings.cluster.cloud.rps),
            incarnation: rand::random::<u64>() >> 1,
            relay_wakeup: RelayWakeup::default(),
            started: Instant::now(),
            state: Mutex::new(NodeState::new(&settings)),
            settings,
            tuning,
        })
    }

    /// The present moment on this process's steady clock.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime(self.started.elapsed().as_millis() as u64)
    }

    /// The present time of day.
    pub fn wall_time(&self) -> WallTime {
        WallTime(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64))
    }

    /// The state. The guard must never be held over an await.
    pub fn lock(&self) -> MutexGuard<'_, NodeState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// A request to the store. How it went tells whether the store serves this controller.
    pub async fn track_store<T>(&self, call: impl Future<Output = Result<T, KvError>>) -> Result<T, KvError> {
        let result = call.await;
        self.record_store_result(result.as_ref().err());
        result
    }

    /// Commits a transaction; like [`Node::track_store`] otherwise.
    pub async fn commit(&self, transaction: &Transaction) -> Result<Revision, CommitError> {
        let result = self.kv.commit(&self.http, transaction).await;
        self.record_store_result(match &result {
            Ok(_) | Err(CommitError::Conflict(_)) => None,
            Err(CommitError::Store(error)) => Some(error),
        });
        result
    }

    /// Takes in how a request to the store went: its error, or none if it succeeded.
    pub fn record_store_result(&self, error: Option<&KvError>) {
        let now = self.now();
        let service = StoreService::from(error);
        let mut state = self.lock();
        state.store_health.record(now, service);
        match service {
            StoreService::Served => state.election.store_answered(),
            StoreService::Refused | StoreService::Unreachable => state.election.store_refused(),
        }
    }

    /// Whether the store has been silent for so long that asking it for a user would only make the user wait.
    /// The election keeps asking.
    pub fn store_unreachable(&self) -> bool {
        let now = self.now();
        self.lock().store_health.is_unreachable(now)
    }
}
