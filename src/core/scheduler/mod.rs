//! The leader: keeps the cluster state, has rounds planned, checks and commits placements, and says what
//! to send to workers, cloud and state service. A state machine: the edges feed it inputs and
//! carry out the actions it leaves behind.

mod ages;
mod catalog;
mod consolidation;
mod dependencies;
mod effects;
mod eviction;
mod gang_reservations;
mod gpu_demand;
mod gpu_lending;
mod job_table;
mod load;
mod loading;
mod machine_table;
mod machines;
mod placement_checks;
mod plan_commit;
mod planner_view;
mod preemption;
mod preemption_index;
mod quota;
mod reservations;
mod rounds;
mod spot_lives;
mod starts;
#[cfg(test)]
mod tests;
mod workers;
mod writes;

use self::catalog::Catalog;
use self::consolidation::Consolidation;
pub use self::effects::{CommitOutcome, Effect, OrdersResult, ProvisionOutcome};
use self::gpu_lending::GpuLending;
use self::job_table::JobTable;
use self::load::LoadMeter;
pub use self::loading::StoredState;
use self::machine_table::MachineTable;
use self::quota::QuotaTracker;
use self::reservations::Reservations;
use self::rounds::Rounds;
use self::spot_lives::SpotLives;
use self::writes::WriteQueue;
use crate::config::{Settings, Tuning};
use crate::core::completion_bitmap::{self, BitmapLayout};
use crate::core::cost::{CostCounters, CostMeter};
use crate::core::dependencies::DependencyGraph;
use crate::core::election::{LEADER_KEY, LeaderRecord};
use crate::core::jobs::{ClassTimes, GangRun, Job};
use crate::core::machine::{
    Allocation, HeartbeatRoute, MACHINE_PREFIX, Machine, MachineRecord, PendingRun, QUARANTINE_PERIOD, Registration,
    Resources, TaskAttempt, machine_key,
};
use crate::core::provisioning::{InstancePool, PendingProvision, Provisioner};
use crate::core::records::{
    JobOutcome, LIVE_PREFIX, LiveRecord, MUTATIONS_PER_TERMINATION, TerminalRecord, live_key, live_precondition,
    termination_mutations,
};
use crate::core::shards::{SHARDS_KEY, ShardAssignment};
use crate::core::submissions;
use crate::ids::{Attempt, FencingToken, JobId, MAX_FENCE, MachineId, Revision, SequenceNumber, TaskId, Term};
use crate::peer::{JobCount, ScaleOutRequest};
use crate::time::{Millis, MonotonicTime, WallTime};
use crate::wire::{
    Cause, DirectOrders, Heartbeat, HeartbeatResponse, KeyValue, Kind, ListPhase, ListedMachine, MachineType, Mutation,
    Order, Precondition, Priority, ProvisionRequest, TaskPhase, TaskStatus, Transaction,
};
use fixedbitset::FixedBitSet;
use log::{debug, info, warn};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// What the leader takes of the state service's rate of changes.
const SCHEDULER_WRITE_SHARE: f64 = 0.6;

struct ProtocolLimits {
    heartbeat: Millis,
    lease: Millis,
    txn_ops: usize,
    value_bytes: usize,
    write_rps: f64,
    layout: BitmapLayout,
    list_lag: Millis,
}

/// The scheduler that the leader runs. Each part keeps its own state; the scheduler composes them.
pub struct Scheduler {
    limits: ProtocolLimits,
    settings: Settings,
    tuning: Tuning,
    term: Term,
    record: LeaderRecord,
    /// The key-value store doesn't answer, and may answer others: users may have been told of
    /// cancellations that aren't known here.
    in_doubt: bool,
    /// When the cluster state was loaded: no response to a heartbeat that it doesn't know of is later than that.
    since: MonotonicTime,
    catalog: Catalog,
    jobs: JobTable,
    machines: MachineTable,
    quota: QuotaTracker,
    writes: WriteQueue,
    rounds: Rounds,
    gpus: GpuLending,
    reservations: Reservations,
    consolidation: Consolidation,
    provisioner: Provisioner,
    provision_requests: u64,
    spot_lives: SpotLives,
    shards: ShardAssignment,
    load: LoadMeter,
    attempts: u64,
    last_request: u64,
    orders: HashMap<u64, (MachineId, Vec<TaskAttempt>)>,
    effects: Vec<Effect>,
    /// What this scheduler has worked through since it began.
    cost: CostMeter,
}

/// The edges call [`Scheduler::tick`] this often.
pub const TICK_INTERVAL: Millis = Millis(50);

/// How long a round waits for its parts.
const PLAN_TIMEOUT: Millis = Millis(250);

impl Scheduler {
    pub fn new(
        settings: Settings,
        tuning: Tuning,
        types: Vec<MachineType>,
        term: Term,
        record: LeaderRecord,
        now: MonotonicTime,
    ) -> Scheduler {
        let c = &settings.cluster;
        let mut zones = c.zones.clone();
        for z in types.iter().flat_map(|t| &t.zones) {
            if !zones.contains(z) {
                zones.push(z.clone());
            }
        }
        let store = c.state.lowest();
        let limits = ProtocolLimits {
            heartbeat: Millis::from_secs_f64(c.workers.report_s),
            lease: Millis::from_secs_f64(c.workers.lease_s),
            txn_ops: store.txn_ops,
            value_bytes: c.state.value_bytes(),
            // The rest is for submissions and cancellations on all controllers.
            write_rps: store.write_rps * SCHEDULER_WRITE_SHARE,
            layout: BitmapLayout::new(&c.state),
            list_lag: Millis::from_secs_f64(c.cloud.list_lag_s),
        };
        let peers = settings.peers.iter().map(|p| p.name.clone());
        let shards = ShardAssignment::new(&settings.name, peers, c.teams.len() as u32, now);
        Scheduler {
            spot_lives: SpotLives::new(tuning.spot_median_s, tuning.spot_sigma),
            in_doubt: false,
            since: now,
            gpus: GpuLending::new(types.len(), zones.len(), now),
            catalog: Catalog::new(types, zones),
            jobs: JobTable::new(now),
            machines: MachineTable::new(now),
            quota: QuotaTracker::new(&settings.cluster.teams),
            writes: WriteQueue::new(term, limits.write_rps, now),
            rounds: Rounds::new(now),
            reservations: Reservations::default(),
            consolidation: Consolidation::new(now),
            provisioner: Provisioner::default(),
            provision_requests: 0,
            shards,
            load: LoadMeter::new(now),
            attempts: 0,
            last_request: 0,
            orders: HashMap::new(),
            effects: Vec::new(),
            cost: CostMeter::default(),
            limits,
            settings,
            tuning,
            term,
            record,
        }
    }

    /// The revision of the leader's key that guards its writes.
    pub fn fence_revision(&self) -> Revision {
        self.writes.fence_revision
    }

    /// Whether a worker may be sent to another controller now: answers reach it, and this leader is not
    /// just gathering its machines.
    pub fn may_move(&self, now: MonotonicTime, id: &MachineId) -> bool {
        self.settled(now) && self.machines.known.get(id).is_some_and(|m| m.token_acknowledged)
    }

    /// In doubt nothing is started: what users have been told meanwhile isn't known.
    pub fn set_in_doubt(&mut self, in_doubt: bool) {
        self.in_doubt = in_doubt;
    }

    /// What this leader has worked through since it began.
    pub fn cost_counters(&self) -> CostCounters {
        self.cost.read()
    }

    /// Figures for the log: how much there is to do, and what waits for answers.
    pub fn load_summary(&self) -> String {
        let ready: usize = self.jobs.live.values().map(Job::startable_tasks).sum();
        let (jobs, machines) = (self.jobs.live.len(), self.machines.known.len());
        let unreconciled = self.machines.known.values().filter(|m| !m.reconciled).count();
        let (reservations, orders, writes) = (self.reservations.len(), self.orders.len(), self.writes.in_flight.len());
        format!(
            "round={} jobs={jobs} ready={ready} machines={machines} unaccounted={unreconciled} \
             reservations={reservations} orders={orders} writes={writes} lag={} ms in_doubt={}",
            self.rounds.count,
            self.lag().0,
            self.in_doubt
        )
    }

    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Live jobs with their counts of done tasks and of tasks that run.
    pub fn counts(&self) -> Vec<JobCount> {
        let mut running: BTreeMap<&JobId, u32> = BTreeMap::new();
        for m in self.machines.known.values() {
            for ((task, _), s) in &m.allocations {
                if matches!(s.phase, Some(TaskPhase::Running | TaskPhase::Flushing)) {
                    *running.entry(&task.job).or_default() += 1;
                }
            }
        }
        let count = |(id, j): (&JobId, &Job)| JobCount {
            job: id.to_string(),
            done: j.done_count,
            running: running.get(id).copied().unwrap_or(0),
        };
        self.jobs.live.iter().map(count).filter(|c| c.done + c.running > 0).collect()
    }

    fn place_of(&self, kind: &str, zone: &str) -> Option<(usize, u32)> {
        let kind = self.catalog.types.iter().position(|t| t.name == kind)?;
        let zone = self.catalog.zones.iter().position(|z| z == zone)?;
        Some((kind, zone as u32))
    }

    pub fn set_types(&mut self, types: Vec<MachineType>) {
        // Prices may move; the kinds themselves stay in their places.
        for t in types {
            match self.catalog.types.iter_mut().find(|o| o.name == t.name) {
                Some(o) => *o = t,
                None => {
                    self.catalog.types.push(t);
                    self.gpus.needs.push(Resources::default());
                }
            }
        }
    }
}

/// The answer of a leader that is still reading its cluster state: it can't tell which tasks are cancelled, so
/// it renews no lease over any. An answer without a token is dropped, but keeps the worker here.
pub fn response_before_load(term: Term, heartbeat: &Heartbeat) -> HeartbeatResponse {
    let empty = heartbeat.tasks.iter().all(|l| l.phase == TaskPhase::Exited);
    let token = if empty { FencingToken::new(term, 0) } else { FencingToken::NONE };
    HeartbeatResponse { token, orders: Vec::new() }
}

/// Most orders in one message, which has a limit of 64 KiB.
const MAX_ORDERS_PER_MESSAGE: usize = 500;

/// Tells a worker to stop a task; the cluster state keeps it until it is proven gone.
fn stop_allocation(m: &mut Machine, key: &TaskAttempt, leeway: f64) {
    let Some(s) = m.allocations.get_mut(key) else { return };
    if s.has_exited() {
        return;
    }
    s.stop = Some(s.stop.map_or(leeway, |l| l.min(leeway)));
    let run = Order::Run { task: key.0, attempt: key.1 };
    if let Some(at) = m.outbox.iter().position(|o| *o == run) {
        // Not sent yet: the order is turned into nothing, and the next heartbeat shows it absent.
        m.outbox.remove(at);
        s.pending_run = Some(PendingRun { token: FencingToken(0), answered: true });
        return;
    }
    m.queue_order(Order::Stop { task: key.0, attempt: key.1, leeway_s: leeway });
}
