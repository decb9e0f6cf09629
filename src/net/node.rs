//! What the tasks of one controller share.

use super::cloud::CloudClient;
use super::dependency_check::DependencyCheckCache;
use super::heartbeat_balancing::HeartbeatBalancer;
use super::heartbeat_relay::{HeartbeatRelay, RelayWakeup};
use super::http::Http;
use super::input_latency::InputLatency;
use super::kv::{CommitError, KvClient, KvError};
use super::rate_limited_log::RateLimitedLog;
use super::relay_routes::RelayRoutes;
use crate::config::{Settings, Tuning};
use crate::core::cancellations::Cancellations;
use crate::core::election::Election;
use crate::core::overload::Overload;
use crate::core::records::TerminalRecord;
use crate::core::scheduler::Scheduler;
use crate::ids::{JobId, Revision};
use crate::peer::JobCount;
use crate::time::{Millis, MonotonicTime, WallTime};
use crate::wire::{MachineType, Transaction};
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

pub struct Node {
    pub settings: Settings,
    pub tuning: Tuning,
    pub http: Http,
    /// The same for orders to workers, which are many more than all else that is called.
    pub orders: Http,
    pub kv: KvClient,
    pub cloud: CloudClient,
    /// Tells this process from earlier ones at the same address.
    pub incarnation: u64,
    /// Says that a heartbeat waits to be passed on to the leader.
    pub relay_wakeup: RelayWakeup,
    started: Instant,
    inner: Mutex<NodeState>,
}

pub struct NodeState {
    pub election: Election,
    /// The cluster state, while leading and once it is loaded.
    pub scheduler: Option<Scheduler>,
    /// Who leads, as last read from the state service.
    pub leader_name: Option<String>,
    pub types: Option<Vec<MachineType>>,
    pub outcomes: OutcomeCache,
    pub cancellations: Cancellations,
    /// Waiting jobs, none of whose awaited jobs was cancelled at that time.
    pub dependency_check_cache: DependencyCheckCache,
    pub counts: HashMap<JobId, JobCount>,
    pub user_requests: usize,
    pub store_refused_since: Option<MonotonicTime>,
    /// The state service hasn't answered at all since then, not even with a refusal.
    pub store_unreachable_since: Option<MonotonicTime>,
    pub peer_reaches_store: bool,
    /// No peer answered when last asked.
    pub no_peer_answers: bool,
    /// Who leads, by the word of a peer that the state service answers.
    pub leader_per_peers: Option<String>,
    /// Machines that have reported here while another led, and when.
    redirected: HashMap<String, Redirected>,
    /// Machines that the leader has said it doesn't hear from.
    pub suspected: HashSet<String>,
    /// The peer that this controller should hand over to.
    pub successor: Option<String>,
    /// Workers' heartbeats on their way to the leader.
    pub heartbeat_relay: HeartbeatRelay,
    /// Messages of peers that can't be read, are too large or of another version.
    pub bad_messages: RateLimitedLog,
    /// While another leads and can't be reached: the peers that reach it.
    pub relay_routes: RelayRoutes,
    /// While leading: the peers that take workers' heartbeats.
    pub heartbeat_balancer: HeartbeatBalancer,
    /// While leading: whether this controller is too slow for it.
    pub overload: Overload,
    pub input_latency: InputLatency,
}

/// Workers wait this long for an answer (PROTOCOL).
const WORKER_RESPONSE_TIMEOUT: Millis = Millis(4_000);

struct Redirected {
    at: MonotonicTime,
    /// Whom it was sent to.
    sent_to: Option<String>,
}

/// A worker that has lost its leader may take this long to come round to a controller again.
const REDIRECT_TTL: Millis = Millis(8_000);
/// Far more machines than any fleet served has; a fleet beyond it only loses track of misdirected.
const MAX_REDIRECTED: usize = 65_536;

impl NodeState {
    /// Notes that a machine tried to report here, and says which controller to send it to. One that
    /// has waited there in vain and comes back can't reach it, and would only be sent to and fro. One
    /// that was turned away at once is sent again: that controller may be about to start.
    pub fn record_redirect(&mut self, machine: &str, now: MonotonicTime, leader: Option<String>) -> Option<String> {
        if self.redirected.len() >= MAX_REDIRECTED {
            self.redirected.clear();
        }
        let before = self.redirected.insert(machine.into(), Redirected { at: now, sent_to: leader.clone() });
        let waited = |b: &Redirected| (WORKER_RESPONSE_TIMEOUT..=REDIRECT_TTL).contains(&(now - b.at));
        leader.filter(|l| before.is_none_or(|b| !waited(&b) || b.sent_to.as_ref() != Some(l)))
    }

    /// The leader's counts of its live jobs, which users are shown.
    pub fn take_counts(&mut self, counts: &[JobCount]) {
        self.counts = counts.iter().filter_map(|c| Some((JobId::parse(&c.job)?, c.clone()))).collect();
    }

    /// Of these machines, those that have lately tried to report here.
    pub fn redirected_among(&mut self, machines: &[String], now: MonotonicTime) -> Vec<String> {
        self.redirected.retain(|_, s| now - s.at <= REDIRECT_TTL);
        machines.iter().filter(|m| self.redirected.contains_key(*m)).cloned().collect()
    }
}

/// Jobs known to be over. What isn't here is read from the state service.
pub struct OutcomeCache {
    map: HashMap<JobId, TerminalRecord>,
    order: VecDeque<JobId>,
}

const MAX_CACHED_OUTCOMES: usize = 20_000;

impl OutcomeCache {
    pub fn get(&self, id: &JobId) -> Option<TerminalRecord> {
        self.map.get(id).copied()
    }
    pub fn put(&mut self, id: &JobId, record: TerminalRecord) {
        if self.map.insert(*id, record).is_none() {
            self.order.push_back(*id);
            if self.order.len() > MAX_CACHED_OUTCOMES
                && let Some(old) = self.order.pop_front()
            {
                self.map.remove(&old);
            }
        }
    }
}

/// Bad messages of peers are logged this often.
const BAD_MESSAGES_INTERVAL: Millis = Millis(10_000);

const UNREACHABLE_TIMEOUT: Millis = Millis(1_500);

impl Node {
    pub fn new(settings: Settings, tuning: Tuning) -> Arc<Node> {
        let cloud = CloudClient::new(settings.services.cloud.to_string(), settings.cluster.cloud.rps);
        let sockets = settings.sockets();
        let kv = KvClient::new(settings.services.state.to_string());
        let inner = NodeState {
            election: Election::new(settings.state_ttl(), settings.read_ttl()),
            scheduler: None,
            leader_name: None,
            types: None,
            outcomes: OutcomeCache { map: HashMap::new(), order: VecDeque::new() },
            cancellations: Cancellations::default(),
            dependency_check_cache: DependencyCheckCache::default(),
            counts: HashMap::new(),
            user_requests: 0,
            store_refused_since: None,
            store_unreachable_since: None,
            peer_reaches_store: false,
            no_peer_answers: false,
            leader_per_peers: None,
            redirected: HashMap::new(),
            suspected: HashSet::new(),
            successor: None,
            heartbeat_relay: HeartbeatRelay::default(),
            bad_messages: RateLimitedLog::new(BAD_MESSAGES_INTERVAL),
            relay_routes: RelayRoutes::default(),
            heartbeat_balancer: HeartbeatBalancer::default(),
            overload: Overload::default(),
            input_latency: InputLatency::default(),
        };
        Arc::new(Node {
            settings,
            tuning,
            http: Http::new(sockets.own),
            orders: Http::new(sockets.orders),
            kv,
            cloud,
            incarnation: rand::random::<u64>() >> 1,
            relay_wakeup: RelayWakeup::default(),
            started: Instant::now(),
            inner: Mutex::new(inner),
        })
    }

    pub fn now(&self) -> MonotonicTime {
        MonotonicTime(self.started.elapsed().as_millis() as u64)
    }

    pub fn wall_time(&self) -> WallTime {
        WallTime(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64))
    }

    /// Never held over an await.
    pub fn lock(&self) -> MutexGuard<'_, NodeState> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
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

    /// Takes in how a request to the store went. All but a refusal and silence means being served.
    pub fn record_store_result(&self, error: Option<&KvError>) {
        let now = self.now();
        let mut inner = self.lock();
        match error {
            Some(error @ (KvError::Refused | KvError::Unknown(_))) => {
                inner.election.store_refused();
                inner.store_refused_since.get_or_insert(now);
                if matches!(error, KvError::Unknown(_)) {
                    inner.store_unreachable_since.get_or_insert(now);
                } else {
                    inner.store_unreachable_since = None;
                }
            }
            None | Some(KvError::Busy | KvError::TooLarge | KvError::Status(_)) => {
                inner.election.store_answered();
                inner.store_refused_since = None;
                inner.store_unreachable_since = None;
            }
        }
    }

    /// Whether the state service has been silent for so long that asking it for a user would only
    /// make the user wait; the election keeps asking.
    pub fn store_unreachable(&self) -> bool {
        let now = self.now();
        self.lock().store_unreachable_since.is_some_and(|t| now - t > UNREACHABLE_TIMEOUT)
    }
}
