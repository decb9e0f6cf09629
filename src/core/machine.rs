//! A machine in the leader's cluster state, and the machine record in the key-value store.
//!
//! A machine has an [`Allocation`] for each task that may be on it: from before the order to run the task is sent until
//! there is proof that the task is gone. Only [`crate::core::scheduler`] decides what counts as proof.

pub use crate::core::allocation::{Allocation, PendingRun, TaskAttempt};
use crate::core::outbox::Outbox;
use crate::core::provisioning::InstancePool;
pub use crate::core::resources::Resources;
use crate::ids::{AgentEpoch, FencingToken, MachineId, RequestId, SequenceNumber, Term};
use crate::time::{Millis, MonotonicTime};
use crate::wire::{Heartbeat, MachineType, Order, TaskPhase};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// How long a machine that fails tasks, or is much slower than others, gets no new tasks. A job also avoids a machine
/// for this long after one of its tasks failed there. The period must be less than 90 s, because no task may wait that
/// long while there is capacity for it.
pub const QUARANTINE_PERIOD: Millis = Millis(60_000);

/// Weight, 0 to 1, of the latest task in a machine's `slowness`, which is a geometric moving average.
const SLOWNESS_WEIGHT: f64 = 0.25;

/// A machine is much slower than others if its tasks run more than this many times as long as the average of their
/// jobs.
const SLOWNESS_THRESHOLD: f64 = 2.0;

/// A machine isn't considered slow before this many tasks have been measured on it.
const MIN_SLOWNESS_SAMPLES: u32 = 5;

/// A single task enters a machine's slowness as at most this many times as slow, or as fast, as the average of its
/// job; this limits the effect of outliers.
const MAX_SLOWDOWN_RATIO: f64 = 10.0;

/// An image fetch that has taken longer than expected is assumed to end this many seconds from now.
pub const MIN_REMAINING_FETCH_S: f64 = 0.2;

/// Prefix of the keys of machine records, `fleet/ID`. A record is written before its machine gets its first order.
pub const MACHINE_PREFIX: &str = "fleet/";

/// The key of the machine's record in the key-value store.
pub fn machine_key(id: &MachineId) -> String {
    format!("{MACHINE_PREFIX}{id}")
}

/// The record of a machine in the key-value store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Address at which the machine's worker receives orders.
    pub endpoint: String,
    /// Name of the machine's type in the cloud's list of machine types.
    pub kind: String,
    /// Name of the machine's zone.
    pub zone: String,
    /// Whether the machine is a spot machine, which the cloud may reclaim.
    pub spot: bool,
}

/// Whether the machine's record is in the key-value store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registration {
    /// The key-value store has no record of the machine, which therefore gets no orders.
    Unregistered,
    /// A write of the machine's record to the key-value store is in flight.
    InFlight,
    /// The key-value store has the machine's record.
    Registered,
}

/// How a machine's heartbeats reach the leader: directly, or relayed by one of its peers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct HeartbeatRoute(usize);

impl HeartbeatRoute {
    /// The worker sends its heartbeats to the leader itself.
    pub const DIRECT: HeartbeatRoute = HeartbeatRoute(0);

    /// The worker's heartbeats are relayed by the peer of this index in the settings.
    pub fn via_peer(index: usize) -> HeartbeatRoute {
        HeartbeatRoute(index + 1)
    }
}

/// A machine that may exist, as far as this leader knows.
pub struct Machine {
    /// Address at which the machine's worker receives orders. Empty until the address is known.
    pub endpoint: String,
    /// Index of the machine's type in the scheduler's catalog.
    pub kind: usize,
    /// Index of the machine's zone in the scheduler's catalog.
    pub zone: u32,
    /// Whether this is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// Whether this leader has received a heartbeat from the machine, or an answer to orders.
    pub up: bool,
    /// When this leader added the machine to the cluster state, or earlier if the cloud's list states the machine's
    /// age.
    pub created_at: MonotonicTime,
    /// Whether the machine's record is in the key-value store.
    pub registration: Registration,
    /// The latest known agent epoch of the machine's worker; 0 if none is known.
    pub agent_epoch: AgentEpoch,
    /// When this leader first received a message of the worker's current agent epoch. The worker began this epoch, with
    /// a full lease, before this time. So the lease ends at the latest one lease time after this time, if no
    /// heartbeat of the epoch was answered.
    pub agent_epoch_first_heard: MonotonicTime,
    /// Sequence number, within the worker's agent epoch, of its latest message that this leader has applied.
    pub sequence: SequenceNumber,
    /// Agent epoch and sequence number of the worker's latest heartbeat. Answers to orders have sequence numbers too,
    /// but are not heartbeats.
    pub latest_heartbeat_position: (AgentEpoch, SequenceNumber),
    /// When this leader received the latest of the machine's heartbeats that it answered. Duplicates of earlier
    /// heartbeats are ignored.
    pub last_heartbeat_at: MonotonicTime,
    /// How the latest heartbeat that this leader answered arrived from the machine. `None` before the first one.
    pub route: Option<HeartbeatRoute>,
    /// Whether the worker's lease has expired by this leader's clock, which ends the worker's agent epoch. Messages of
    /// that epoch that arrive later are stale.
    pub lease_expired: bool,
    /// Whether the worker has sent a message with this leader's fencing token, which shows that this leader's responses
    /// reach the worker.
    pub token_acknowledged: bool,
    /// Since when this leader has answered the worker's heartbeats without the worker acknowledging its current fencing
    /// token. The worker's messages arrive, but the leader's responses may not reach the worker.
    pub unacknowledged_since: Option<MonotonicTime>,
    /// Whether every task that may be on the machine is in `allocations`. So it is once the worker has sent a message
    /// with this leader's fencing token, and if the machine has never been sent an order or is proven empty.
    pub reconciled: bool,
    /// The number in the machine's fencing tokens that is raised within a term, to make the worker refuse all orders
    /// that were sent before.
    pub fence: u64,
    /// The value to which `fence` was last raised because orders were not answered; 0 if it never was. The worker has
    /// to acknowledge it, unlike a fence that was raised for clear orders, which protects once those are executed.
    pub required_fence: u64,
    /// Whether the worker has not acknowledged `required_fence` yet. Until then no orders are sent.
    pub awaits_fence_ack: bool,
    /// The request with orders that is in flight to the machine's worker. While there is one, no other orders are sent
    /// to the worker directly.
    pub orders_in_flight: Option<RequestId>,
    /// Orders for the machine's worker that have not been sent yet.
    pub outbox: Outbox,
    /// The task attempts that may be on the machine.
    pub allocations: BTreeMap<TaskAttempt, Allocation>,
    /// Number of task lists of the machine's worker that have been applied, from heartbeats and from answers to orders.
    pub task_lists_applied: u64,
    /// Whether the cloud has announced that it will reclaim this spot machine.
    pub spot_notice: bool,
    /// Number of consecutive task failures on the machine that were not attributed to the tasks' jobs.
    pub consecutive_failures: u32,
    /// The machine gets no new tasks before this time, because it failed tasks or is much slower than others.
    pub quarantined_until: MonotonicTime,
    /// Whether the machine is to be terminated. Once set, the machine never gets tasks again, because a termination
    /// request may take effect at any time.
    pub retiring: bool,
    /// Whether a request to the cloud to terminate the machine is in flight.
    pub termination_in_flight: bool,
    /// No termination of the machine is requested from the cloud before this time.
    pub terminate_after: MonotonicTime,
    /// Since when no task has been on the machine. `None` if a task may be on it, or the scheduler's periodic review of
    /// the machines has not found it idle yet.
    pub idle_since: Option<MonotonicTime>,
    /// The images in the machine's cache, as far as this leader can tell: index in the scheduler's catalog and size in
    /// GB, least recently used first.
    pub images: VecDeque<(u32, f64)>,
    /// How many times as long tasks run on this machine as the average task of their job: a moving average.
    pub slowness: f64,
    /// Number of tasks on this machine on which `slowness` is based.
    pub slowness_samples: u32,
}

impl Machine {
    /// A machine without tasks or a stored record, from which no message has been received.
    pub fn new(endpoint: String, kind: usize, zone: u32, spot: bool, now: MonotonicTime) -> Machine {
        Machine {
            endpoint,
            kind,
            zone,
            spot,
            up: false,
            created_at: now,
            registration: Registration::Unregistered,
            agent_epoch: AgentEpoch(0),
            agent_epoch_first_heard: now,
            sequence: SequenceNumber(0),
            latest_heartbeat_position: (AgentEpoch(0), SequenceNumber(0)),
            last_heartbeat_at: now,
            route: None,
            lease_expired: false,
            token_acknowledged: false,
            unacknowledged_since: None,
            reconciled: true,
            fence: 0,
            required_fence: 0,
            awaits_fence_ack: false,
            orders_in_flight: None,
            outbox: Outbox::default(),
            allocations: BTreeMap::new(),
            task_lists_applied: 0,
            spot_notice: false,
            consecutive_failures: 0,
            quarantined_until: MonotonicTime(0),
            retiring: false,
            termination_in_flight: false,
            terminate_after: MonotonicTime(0),
            idle_since: None,
            images: VecDeque::new(),
            slowness: 1.0,
            slowness_samples: 0,
        }
    }

    /// Advances the agent epoch and sequence number to those of a message of the worker, which must be newer than all
    /// earlier ones. Returns whether the message acknowledges a raised `fence` for which this leader was waiting.
    pub fn advance_sequence(&mut self, now: MonotonicTime, heartbeat: &Heartbeat, term: Term) -> bool {
        if heartbeat.agent_epoch > self.agent_epoch || self.sequence == SequenceNumber(0) {
            self.agent_epoch_first_heard = now;
        }
        self.agent_epoch = heartbeat.agent_epoch;
        self.sequence = heartbeat.sequence;
        let acknowledges_fence = self.awaits_fence_ack && heartbeat.token >= self.required_token(term);
        self.awaits_fence_ack &= !acknowledges_fence;
        acknowledges_fence
    }

    /// The fencing token of everything that a leader of this term sends to the machine's worker now.
    pub fn token(&self, term: Term) -> FencingToken {
        FencingToken::new(term, self.fence)
    }

    /// The lowest fencing token with which the worker acknowledges a leader of this term.
    pub fn required_token(&self, term: Term) -> FencingToken {
        FencingToken::new(term, self.required_fence)
    }

    /// Marks the machine as reconciled if the worker's token is of this term: the worker then accepts no orders of
    /// earlier leaders any more, so its task list is complete. Returns whether `reconciled` or `token_acknowledged` has
    /// become true by this call.
    pub fn reconcile(&mut self, token: FencingToken, term: Term) -> bool {
        if token < FencingToken::new(term, 0) || (self.reconciled && self.token_acknowledged) {
            return false;
        }
        self.reconciled = true;
        self.token_acknowledged = true;
        true
    }

    /// The lost tasks: those proven gone because the latest task list lacks them although the worker has listed them
    /// before, has answered their run order, or will refuse that order because `token`, the highest token that it has
    /// seen, is above the order's.
    pub fn lost_tasks(&self, token: FencingToken) -> Vec<TaskAttempt> {
        let is_gone = |allocation: &Allocation| {
            allocation.last_task_list != self.task_lists_applied
                && match allocation.pending_run {
                    Some(PendingRun::Answered) if allocation.phase.is_none() => true,
                    Some(PendingRun::Unanswered) if allocation.phase.is_none() => token > allocation.run_token,
                    // The run order has not been sent yet.
                    None if allocation.phase.is_none() => false,
                    _ => true,
                }
        };
        self.allocations.iter().filter(|(_, allocation)| is_gone(allocation)).map(|(key, _)| *key).collect()
    }

    /// The instance pool (machine type, zone and pricing model) to which the machine belongs.
    pub fn pool(&self) -> InstancePool {
        InstancePool { kind: self.kind, zone: self.zone, spot: self.spot }
    }

    /// The resources allocated to tasks that may be on the machine. An exited task only takes a task slot.
    pub fn used(&self) -> Resources {
        let mut used = Resources::default();
        for allocation in self.allocations.values() {
            used.add(if allocation.has_exited() { &Resources::TASK_SLOT } else { &allocation.need });
        }
        used
    }

    /// The machine's resources that no task uses. `machine_type` must be the machine's own type.
    pub fn free(&self, machine_type: &MachineType) -> Resources {
        let mut free = Resources::of_type(machine_type);
        free.sub(&self.used());
        free
    }

    /// Whether a task that hasn't exited may be on the machine.
    pub fn has_active_tasks(&self) -> bool {
        self.allocations.values().any(|allocation| !allocation.has_exited())
    }

    /// Whether a task of a job that is unknown or has ended may be on the machine, so that the resources in use aren't
    /// known.
    pub fn has_unknown_usage(&self) -> bool {
        self.allocations.values().any(|allocation| allocation.team.is_none() && !allocation.has_exited())
    }

    /// Whether the machine may get new tasks now.
    pub fn is_schedulable(&self, now: MonotonicTime, heartbeat_timeout: Millis) -> bool {
        self.up
            && self.reconciled
            && self.token_acknowledged
            && self.registration == Registration::Registered
            && !self.awaits_fence_ack
            && !self.spot_notice
            && !self.retiring
            && !self.has_unknown_usage()
            && self.quarantined_until <= now
            && now - self.last_heartbeat_at <= heartbeat_timeout
    }

    /// Records that a task ran `ratio` times as long as the average of its job. Returns whether enough tasks have been
    /// recorded to tell that the machine is much slower than others.
    pub fn record_slowdown(&mut self, ratio: f64) -> bool {
        let sample = ratio.clamp(1.0 / MAX_SLOWDOWN_RATIO, MAX_SLOWDOWN_RATIO);
        let log_slowness = self.slowness.ln() + SLOWNESS_WEIGHT * (sample.ln() - self.slowness.ln());
        self.slowness = log_slowness.exp();
        self.slowness_samples += 1;
        self.slowness_samples >= MIN_SLOWNESS_SAMPLES && self.slowness > SLOWNESS_THRESHOLD
    }

    /// Marks the image as the most recently used in the cache, and evicts the least recently used images while the
    /// cache exceeds `cache_gb`. The image itself is kept even if it is larger than that.
    pub fn cache_image(&mut self, image: u32, image_gb: f64, cache_gb: f64) {
        self.images.retain(|(cached, _)| *cached != image);
        self.images.push_back((image, image_gb));
        while self.images.len() > 1 && self.images.iter().map(|(_, size_gb)| size_gb).sum::<f64>() > cache_gb {
            self.images.pop_front();
        }
    }

    /// Seconds until the image is on the machine: 0 if it is cached, `None` if it is neither cached nor being fetched.
    pub fn image_ready_in_s(&self, image: u32, now: MonotonicTime) -> Option<f64> {
        if !self.images.iter().any(|(cached, _)| *cached == image) {
            return None;
        }
        let is_fetching = |allocation: &&Allocation| {
            allocation.image == image
                && allocation.fetch_s > 0.0
                && matches!(allocation.phase, None | Some(TaskPhase::Pulling))
        };
        let remaining_s = |allocation: &Allocation| {
            (allocation.fetch_s - (now - allocation.placed_at).as_secs_f64()).max(MIN_REMAINING_FETCH_S)
        };
        Some(self.allocations.values().filter(is_fetching).map(remaining_s).fold(0.0, f64::max))
    }

    /// Stop orders for all tasks that are to stop, except those that have exited and those that are already writing a
    /// checkpoint and have been given time for it.
    pub fn pending_stops(&self) -> Vec<Order> {
        let stop_order = |((task, attempt), allocation): (&TaskAttempt, &Allocation)| {
            let leeway_s = allocation.stop_leeway_s?;
            let is_writing_checkpoint = allocation.phase == Some(TaskPhase::SavingCheckpoint);
            if allocation.has_exited() || (is_writing_checkpoint && leeway_s != 0.0) {
                return None;
            }
            Some(Order::Stop { task: *task, attempt: *attempt, leeway_s })
        };
        self.allocations.iter().filter_map(stop_order).collect()
    }

    /// Whether the fence must be raised before the clear orders in the outbox may be sent.
    ///
    /// A worker ignores a copy of a run order as long as it lists the attempt. Once the attempt is cleared, only a higher
    /// token makes the worker refuse the copy, so a clear order must carry a higher token than the attempt's run order.
    pub fn clears_need_higher_fence(&self, term: Term) -> bool {
        let token = self.token(term);
        let mut clears = self.outbox.clears();
        clears.any(|key| self.allocations.get(&key).is_some_and(|allocation| allocation.run_token >= token))
    }
}

#[cfg(test)]
mod tests;
