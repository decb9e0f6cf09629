//! A machine as the cluster state has it, and what is stored of it.
//!
//! A task counts as on a machine from before its order is sent until there is proof that it is
//! gone. What counts as proof is decided in [`crate::core::scheduler`], nowhere else.

pub use crate::core::allocation::{Allocation, PendingRun, TaskAttempt};
use crate::core::provisioning::InstancePool;
pub use crate::core::resources::Resources;
use crate::ids::{AgentEpoch, FencingToken, MachineId, RequestId, SequenceNumber, Term};
use crate::time::{Millis, MonotonicTime};
use crate::wire::{Heartbeat, MachineType, Order, TaskPhase};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// How long a machine is avoided that has failed, or is much slower than others. Nothing may wait for
/// 90 s while there is capacity for it.
pub const QUARANTINE_PERIOD: Millis = Millis(60_000);

/// Weight of the latest task in a machine's slowness.
const SLOWNESS_WEIGHT: f64 = 0.25;

/// From this slowness on a machine is much slower than others.
const SLOWNESS_THRESHOLD: f64 = 2.0;

/// A machine's slowness is judged by no fewer tasks.
const MIN_SLOWNESS_SAMPLES: u32 = 5;

/// A single task counts as at most so many times as slow, or as fast, as its job's others.
const MAX_SLOWDOWN_RATIO: f64 = 10.0;

/// An image whose fetch is overdue is taken to need this many seconds more.
const MIN_PULL_LEFT_S: f64 = 0.2;

/// Prefix of machine records, `fleet/ID`: written before a machine gets its first order.
pub const MACHINE_PREFIX: &str = "fleet/";

/// The key of a machine's record.
pub fn machine_key(id: &MachineId) -> String {
    format!("{MACHINE_PREFIX}{id}")
}

/// What is stored of a machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Where its worker takes orders.
    pub endpoint: String,
    /// The name of its type.
    pub kind: String,
    /// The name of its zone.
    pub zone: String,
    /// Whether the cloud may reclaim it.
    pub spot: bool,
}

/// Whether a machine's record is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registration {
    /// There is none, so it gets no orders.
    Unregistered,
    /// It is being written.
    InFlight,
    /// It is stored.
    Registered,
}

/// The way that a machine's heartbeats take to the leader: directly, or by one of the peers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct HeartbeatRoute(usize);

impl HeartbeatRoute {
    /// Not by a peer.
    pub const DIRECT: HeartbeatRoute = HeartbeatRoute(0);

    /// By the peer of this index in the settings.
    pub fn via_peer(index: usize) -> HeartbeatRoute {
        HeartbeatRoute(index + 1)
    }
}

/// A machine that may exist.
pub struct Machine {
    /// Where its worker takes orders; empty until it is known.
    pub endpoint: String,
    /// The number of its type in the catalog.
    pub kind: usize,
    /// The number of its zone in the catalog.
    pub zone: u32,
    /// Whether the cloud may reclaim it.
    pub spot: bool,
    /// A heartbeat of it, or an answer to orders, has reached this leader.
    pub up: bool,
    /// When it was entered, or earlier if the cloud states its age.
    pub since: MonotonicTime,
    /// Whether its record is stored.
    pub registration: Registration,
    /// The latest agent epoch of its worker; 0: none is known.
    pub agent_epoch: AgentEpoch,
    /// When the agent epoch was first heard of. Its lease counts from its beginning, which was before, even
    /// if no heartbeat of it has been answered.
    pub agent_epoch_first_heard: MonotonicTime,
    /// Of the latest message that was applied, in this agent epoch.
    pub sequence: SequenceNumber,
    /// The latest *heartbeat*; answers to orders have sequence numbers as well, but are no heartbeats.
    pub latest_heartbeat: (AgentEpoch, SequenceNumber),
    /// When the last heartbeat that was answered came in. A copy of an earlier one is no sign of life.
    pub last_heartbeat: MonotonicTime,
    /// The route that it took; none: this leader has not answered any.
    pub route: Option<HeartbeatRoute>,
    /// Its agent epoch has ended by the cluster state's own count: what comes of it later is stale.
    pub lease_expired: bool,
    /// It has sent a message with this leader's token, so answers reach it.
    pub token_acknowledged: bool,
    /// Since when it has been answered without acknowledging its token. Its heartbeats arrive, but
    /// nothing may reach it.
    pub unacknowledged_since: Option<MonotonicTime>,
    /// Everything possibly on it is in `allocations`: it has sent a message with this leader's token, or
    /// never had an order, or is proven empty.
    pub reconciled: bool,
    /// The fence that its tokens carry.
    pub fence: u64,
    /// Orders went unanswered: no more are sent until the worker states the raised fence.
    pub fencing: bool,
    /// The request that its unanswered orders were sent as.
    pub in_flight: Option<RequestId>,
    /// Orders that are to be sent.
    pub outbox: Vec<Order>,
    /// The tasks that are possibly on it.
    pub allocations: BTreeMap<TaskAttempt, Allocation>,
    /// Counts the lists taken in from its worker.
    pub heartbeats_applied: u64,
    /// The cloud has announced that it reclaims it.
    pub spot_notice: bool,
    /// Tasks that failed on it in a row, not by their jobs' faults.
    pub errors: u32,
    /// It gets no tasks before then.
    pub quarantined_until: MonotonicTime,
    /// To be terminated; never used again, as a termination may be carried out at any time.
    pub retiring: bool,
    /// The cloud has been asked to terminate it.
    pub termination_in_flight: bool,
    /// The cloud isn't asked again before then.
    pub terminate_after: MonotonicTime,
    /// Since when nothing is on it.
    pub idle_since: Option<MonotonicTime>,
    /// Images that it is believed to hold, with their sizes in GB, the latest used last.
    pub images: VecDeque<(u32, f64)>,
    /// How many times as long as their job's others its tasks run.
    pub slowness: f64,
    /// How many tasks that is known from.
    pub runtime_samples: u32,
}

impl Machine {
    /// A machine that nothing is known to be on and that hasn't been heard from.
    pub fn new(endpoint: String, kind: usize, zone: u32, spot: bool, now: MonotonicTime) -> Machine {
        Machine {
            endpoint,
            kind,
            zone,
            spot,
            up: false,
            since: now,
            registration: Registration::Unregistered,
            agent_epoch: AgentEpoch(0),
            agent_epoch_first_heard: now,
            sequence: SequenceNumber(0),
            latest_heartbeat: (AgentEpoch(0), SequenceNumber(0)),
            last_heartbeat: now,
            route: None,
            lease_expired: false,
            token_acknowledged: false,
            unacknowledged_since: None,
            reconciled: true,
            fence: 0,
            fencing: false,
            in_flight: None,
            outbox: Vec::new(),
            allocations: BTreeMap::new(),
            heartbeats_applied: 0,
            spot_notice: false,
            errors: 0,
            quarantined_until: MonotonicTime(0),
            retiring: false,
            termination_in_flight: false,
            terminate_after: MonotonicTime(0),
            idle_since: None,
            images: VecDeque::new(),
            slowness: 1.0,
            runtime_samples: 0,
        }
    }

    /// Records a message's place in the worker's sequence; it is newer than all before. Returns whether the worker
    /// has now acknowledged the raised fence.
    pub fn advance_sequence(&mut self, now: MonotonicTime, heartbeat: &Heartbeat, term: Term) -> bool {
        if heartbeat.agent_epoch > self.agent_epoch || self.sequence == SequenceNumber(0) {
            self.agent_epoch_first_heard = now;
        }
        self.agent_epoch = heartbeat.agent_epoch;
        self.sequence = heartbeat.sequence;
        let acknowledges_fence = self.fencing && heartbeat.token >= FencingToken::new(term, self.fence);
        self.fencing &= !acknowledges_fence;
        acknowledges_fence
    }

    /// A worker that holds a token of the term has listed everything that earlier leaders ordered. Returns whether
    /// this makes a difference.
    pub fn reconcile(&mut self, token: FencingToken, term: Term) -> bool {
        if token < FencingToken::new(term, 0) || (self.reconciled && self.token_acknowledged) {
            return false;
        }
        self.reconciled = true;
        self.token_acknowledged = true;
        true
    }

    /// The tasks that are gone, as the latest heartbeat doesn't list them: the worker has listed them before, has
    /// answered their order, or will refuse the order because it has seen a higher fence since.
    pub fn unlisted_tasks(&self, token: FencingToken) -> Vec<TaskAttempt> {
        let is_gone = |allocation: &Allocation| {
            allocation.last_listed != self.heartbeats_applied
                && match allocation.pending_run {
                    Some(run) if allocation.phase.is_none() => run.answered || token > run.token,
                    // Its order hasn't left yet.
                    None if allocation.phase.is_none() => false,
                    _ => true,
                }
        };
        self.allocations.iter().filter(|(_, allocation)| is_gone(allocation)).map(|(key, _)| *key).collect()
    }

    /// The instance pool that it counts to.
    pub fn pool(&self) -> InstancePool {
        InstancePool { kind: self.kind, zone: self.zone, spot: self.spot }
    }

    /// What the tasks take that are possibly on it and haven't exited.
    pub fn used(&self) -> Resources {
        let mut used = Resources::default();
        for allocation in self.allocations.values().filter(|allocation| !allocation.has_exited()) {
            used.add(&allocation.need);
        }
        used
    }

    /// What is left of a machine of this type.
    pub fn free(&self, machine_type: &MachineType) -> Resources {
        let mut free = Resources::of_type(machine_type);
        free.sub(&self.used());
        free
    }

    /// Whether a task is possibly on it that hasn't exited.
    pub fn busy(&self) -> bool {
        self.allocations.values().any(|allocation| !allocation.has_exited())
    }

    /// A task of a job that is over is listed: what it uses isn't known.
    pub fn has_unknown_usage(&self) -> bool {
        self.allocations.values().any(|allocation| allocation.team.is_none() && !allocation.has_exited())
    }

    /// May get new tasks now.
    pub fn usable(&self, now: MonotonicTime, heartbeat_timeout: Millis) -> bool {
        self.up
            && self.reconciled
            && self.token_acknowledged
            && self.registration == Registration::Registered
            && !self.fencing
            && !self.spot_notice
            && !self.retiring
            && !self.has_unknown_usage()
            && self.quarantined_until <= now
            && now - self.last_heartbeat <= heartbeat_timeout
    }

    /// A task has run `ratio` times as long as its job's average. True: by now it is plain that
    /// the machine is much slower than others.
    pub fn record_slowdown(&mut self, ratio: f64) -> bool {
        let sample = ratio.clamp(1.0 / MAX_SLOWDOWN_RATIO, MAX_SLOWDOWN_RATIO);
        let log = self.slowness.ln() + SLOWNESS_WEIGHT * (sample.ln() - self.slowness.ln());
        self.slowness = log.exp();
        self.runtime_samples += 1;
        self.runtime_samples >= MIN_SLOWNESS_SAMPLES && self.slowness > SLOWNESS_THRESHOLD
    }

    /// The image was used; those used longest ago go while the cache is over its size of `cache_gb`.
    pub fn cache_image(&mut self, image: u32, image_gb: f64, cache_gb: f64) {
        self.images.retain(|(cached, _)| *cached != image);
        self.images.push_back((image, image_gb));
        while self.images.len() > 1 && self.images.iter().map(|(_, size_gb)| size_gb).sum::<f64>() > cache_gb {
            self.images.pop_front();
        }
    }

    /// Seconds until the image is there, if it is there or on its way.
    pub fn image_ready_in_s(&self, image: u32, now: MonotonicTime) -> Option<f64> {
        if !self.images.iter().any(|(cached, _)| *cached == image) {
            return None;
        }
        let is_pulling = |allocation: &&Allocation| {
            allocation.image == image
                && allocation.fetch_s > 0.0
                && matches!(allocation.phase, None | Some(TaskPhase::Pulling))
        };
        let left_s = |allocation: &Allocation| {
            (allocation.fetch_s - (now - allocation.placed_at).as_secs_f64()).max(MIN_PULL_LEFT_S)
        };
        Some(self.allocations.values().filter(is_pulling).map(left_s).fold(0.0, f64::max))
    }

    /// A stop for every task that has to go, as far as a stop does anything to it.
    pub fn pending_stops(&self) -> Vec<Order> {
        let due = |((task, attempt), allocation): (&TaskAttempt, &Allocation)| {
            let leeway_s = allocation.stop?;
            let is_saving = allocation.phase == Some(TaskPhase::Flushing);
            if allocation.has_exited() || (is_saving && leeway_s != 0.0) {
                return None;
            }
            Some(Order::Stop { task: *task, attempt: *attempt, leeway_s })
        };
        self.allocations.iter().filter_map(due).collect()
    }

    /// Puts an order into the outbox, unless it is there already.
    pub fn queue_order(&mut self, order: Order) {
        if !self.outbox.contains(&order) {
            self.outbox.push(order);
        }
    }
}

#[cfg(test)]
mod tests;
