//! The cluster state: which machines there are, and what is possibly on each of them.
//!
//! A task counts as on a machine from before its order is sent until there is proof that it is
//! gone. What counts as proof is decided here and in [`super::leader`], nowhere else.

use crate::core::provisioning::InstancePool;
use crate::ids::{AgentEpoch, Attempt, FencingToken, MachineId, SequenceNumber, TaskId};
use crate::time::{Millis, MonotonicTime};
use crate::wire::{JobSpec, MachineType, Order, Priority, TaskPhase};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// How long a machine is avoided that has failed, or is much slower than others. Nothing may wait for
/// 90 s while there is room that fits.
pub const QUARANTINE_PERIOD: Millis = Millis(60_000);

/// `fleet/ID` is written before a machine gets its first order.
pub const MACHINE_PREFIX: &str = "fleet/";

pub fn machine_key(id: &MachineId) -> String {
    format!("{MACHINE_PREFIX}{id}")
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    pub endpoint: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

impl Resources {
    pub fn of_type(t: &MachineType) -> Resources {
        Resources { cpus: t.cpus, gpus: t.gpus, memory_gb: t.memory_gb }
    }
    pub fn of_task(s: &JobSpec) -> Resources {
        Resources { cpus: s.cpus, gpus: s.gpus, memory_gb: s.memory_gb }
    }
    pub fn add(&mut self, o: &Resources) {
        self.cpus += o.cpus;
        self.gpus += o.gpus;
        self.memory_gb += o.memory_gb;
    }
    pub fn sub(&mut self, o: &Resources) {
        self.cpus -= o.cpus;
        self.gpus -= o.gpus;
        self.memory_gb -= o.memory_gb;
    }
    /// Raises each part to at least that of the other.
    pub fn max_with(&mut self, o: &Resources) {
        self.cpus = self.cpus.max(o.cpus);
        self.gpus = self.gpus.max(o.gpus);
        self.memory_gb = self.memory_gb.max(o.memory_gb);
    }
    pub fn covers(&self, o: &Resources) -> bool {
        let e = 1e-6;
        o.cpus <= self.cpus + e && o.gpus <= self.gpus + e && o.memory_gb <= self.memory_gb + e
    }
}

/// A run order whose fate isn't proven yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingRun {
    pub token: FencingToken,
    /// The worker answered the order, so whatever it lists from then on tells the truth.
    pub answered: bool,
}

#[derive(Clone, Debug)]
pub struct Allocation {
    pub need: Resources,
    /// None: a task of a job that is over, known from a heartbeat only.
    pub team: Option<u32>,
    pub priority: Priority,
    /// None: not listed by the worker yet.
    pub phase: Option<TaskPhase>,
    pub pending_run: Option<PendingRun>,
    /// Which of its machine's lists was the last to have it.
    pub last_listed: u64,
    pub placed_at: MonotonicTime,
    pub running_since: Option<MonotonicTime>,
    /// Its whole run was seen, so that its time tells something. Heartbeats that were missing in
    /// between would make it look longer.
    pub fully_observed: bool,
    /// A stop was ordered, with this leeway.
    pub stop: Option<f64>,
    pub image: u32,
    pub fetch_s: f64,
    pub run_s: f64,
}

impl Allocation {
    pub fn has_exited(&self) -> bool {
        self.phase == Some(TaskPhase::Exited)
    }

    /// Listed before in this phase, with nothing ordered since and nothing to do about it.
    pub fn is_unchanged(&self, phase: TaskPhase) -> bool {
        self.phase == Some(phase) && phase != TaskPhase::Exited && self.pending_run.is_none() && self.stop.is_none()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registration {
    Unregistered,
    InFlight,
    Registered,
}

pub type TaskAttempt = (TaskId, Attempt);

/// The way that a machine's reports take to the leader: directly, or by one of the peers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct HeartbeatRoute(usize);

impl HeartbeatRoute {
    pub const DIRECT: HeartbeatRoute = HeartbeatRoute(0);

    pub fn via_peer(index: usize) -> HeartbeatRoute {
        HeartbeatRoute(index + 1)
    }
}

pub struct Machine {
    pub endpoint: String,
    pub kind: usize,
    pub zone: u32,
    pub spot: bool,
    /// It has reported to this leader.
    pub up: bool,
    pub since: MonotonicTime,
    pub registration: Registration,
    pub agent_epoch: AgentEpoch,
    /// When the agent epoch was first heard of. Its lease counts from its beginning, which was before, even
    /// if no heartbeat of it has been answered.
    pub agent_epoch_first_heard: MonotonicTime,
    pub sequence: SequenceNumber,
    /// The latest *report*; orders' answers count their sequence numbers on as well, but are no heartbeats.
    pub latest_heartbeat: (AgentEpoch, SequenceNumber),
    /// When the last heartbeat that was answered came in. A copy of an earlier one is no sign of life.
    pub last_heartbeat: MonotonicTime,
    /// The way that it took; none: this leader has not answered any.
    pub route: Option<HeartbeatRoute>,
    /// Its agent epoch has ended by the cluster state's own count: what comes of it later is stale.
    pub lease_expired: bool,
    /// It has reported under this leader's token, so answers reach it.
    pub token_acknowledged: bool,
    /// Since when it has been answered without reporting the token that it was told. Its reports
    /// arrive, but nothing may reach it.
    pub unacknowledged_since: Option<MonotonicTime>,
    /// Everything possibly on it is in `allocations`: it has reported under this leader's token, or
    /// never had an order, or is proven empty.
    pub reconciled: bool,
    pub fence: u64,
    /// An order went unanswered: no more orders until the worker reports the raised fence.
    pub fencing: bool,
    pub in_flight: Option<u64>,
    pub outbox: Vec<Order>,
    pub allocations: BTreeMap<TaskAttempt, Allocation>,
    /// Counts the lists taken in from its worker.
    pub heartbeats_applied: u64,
    pub spot_notice: bool,
    pub errors: u32,
    pub quarantined_until: MonotonicTime,
    /// To be returned; never used again, as a return may be carried out at any time.
    pub retiring: bool,
    pub termination_in_flight: bool,
    pub terminate_after: MonotonicTime,
    pub idle_since: Option<MonotonicTime>,
    /// Images that it is believed to hold, the latest used last.
    pub images: VecDeque<(u32, f64)>,
    /// How many times as long as their job's others its tasks run, and how many were seen.
    pub slowness: f64,
    pub runtime_samples: u32,
}

impl Machine {
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

    /// What the cloud tells its capacity apart by.
    pub fn pool(&self) -> InstancePool {
        InstancePool { kind: self.kind, zone: self.zone, spot: self.spot }
    }

    pub fn used(&self) -> Resources {
        let mut a = Resources::default();
        for s in self.allocations.values().filter(|s| !s.has_exited()) {
            a.add(&s.need);
        }
        a
    }

    pub fn free(&self, t: &MachineType) -> Resources {
        let mut a = Resources::of_type(t);
        a.sub(&self.used());
        a
    }

    pub fn busy(&self) -> bool {
        self.allocations.values().any(|s| !s.has_exited())
    }

    /// A task of a job that is over is listed: what it uses isn't known.
    pub fn has_unknown_usage(&self) -> bool {
        self.allocations.values().any(|s| s.team.is_none() && !s.has_exited())
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
        let log = self.slowness.ln() + 0.25 * (ratio.clamp(0.1, 10.0).ln() - self.slowness.ln());
        self.slowness = log.exp();
        self.runtime_samples += 1;
        self.runtime_samples >= 5 && self.slowness > 2.0
    }

    pub fn cache_image(&mut self, image: u32, gb: f64, cache_gb: f64) {
        self.images.retain(|(i, _)| *i != image);
        self.images.push_back((image, gb));
        while self.images.len() > 1 && self.images.iter().map(|(_, g)| g).sum::<f64>() > cache_gb {
            self.images.pop_front();
        }
    }

    /// Seconds until the image is there, if it is there or on its way.
    pub fn image_ready_in_s(&self, image: u32, now: MonotonicTime) -> Option<f64> {
        self.images.iter().any(|(i, _)| *i == image).then(|| {
            let pulling = self
                .allocations
                .values()
                .filter(|s| s.image == image && s.fetch_s > 0.0 && matches!(s.phase, None | Some(TaskPhase::Pulling)));
            pulling.map(|s| (s.fetch_s - (now - s.placed_at).as_secs_f64()).max(0.2)).fold(0.0, f64::max)
        })
    }

    /// A stop for every task that has to go, as far as a stop does anything to it.
    pub fn pending_stops(&self) -> Vec<Order> {
        let due = |((task, attempt), s): (&TaskAttempt, &Allocation)| {
            let leeway_s = s.stop.filter(|l| !s.has_exited() && (s.phase != Some(TaskPhase::Flushing) || *l == 0.0))?;
            Some(Order::Stop { task: *task, attempt: *attempt, leeway_s })
        };
        self.allocations.iter().filter_map(due).collect()
    }

    pub fn queue_order(&mut self, o: Order) {
        if !self.outbox.contains(&o) {
            self.outbox.push(o);
        }
    }
}

#[cfg(test)]
mod tests;
