//! The scheduler that the leader runs. It holds the cluster state, has rounds planned, checks and
//! commits placements, and decides what is sent to agents, cloud and key-value store.
//!
//! It is a state machine without input or output of its own: the edges call its methods with what
//! has arrived, and carry out the [`Effect`]s that [`Scheduler::take_effects`] hands out.

mod catalog;
mod cloud_inventory;
mod consolidation;
mod dependencies;
mod effects;
mod eviction;
mod failure_detection;
mod gang_reservations;
mod gpu_demand;
mod gpu_lending;
mod heartbeats;
mod job_events;
mod job_table;
mod load;
mod loading;
mod machine_table;
mod orders;
mod outstanding_orders;
mod placement_checks;
mod plan_commit;
mod planner_view;
mod preemption;
mod preemption_index;
mod quota;
mod reservations;
mod rounds;
mod scale_in;
mod scale_out;
mod spot_lives;
mod starts;
mod task_exit;
mod task_status;
#[cfg(test)]
mod tests;
mod ticks;
mod writes;

use self::catalog::Catalog;
use self::consolidation::Consolidation;
pub use self::effects::{CommitOutcome, Effect, OrdersResult, ProvisionOutcome};
use self::gpu_lending::GpuLending;
pub use self::heartbeats::{HeartbeatRejection, response_before_load};
use self::job_table::JobTable;
use self::load::LoadMeter;
pub use self::loading::StoredState;
use self::machine_table::MachineTable;
use self::orders::stop_allocation;
use self::outstanding_orders::OutstandingOrders;
use self::quota::QuotaTracker;
use self::reservations::Reservations;
use self::rounds::Rounds;
use self::spot_lives::SpotLives;
use self::writes::WriteQueue;
use crate::config::{Settings, Tuning};
use crate::core::completion_bitmap::BitmapLayout;
use crate::core::cost::{CostCounters, CostMeter};
use crate::core::election::LeaderRecord;
use crate::core::jobs::Job;
use crate::core::machine::Resources;
use crate::core::provisioning::Provisioner;
use crate::core::shards::ShardAssignment;
use crate::ids::{JobId, MachineId, RequestId, Revision, Term};
use crate::peer::JobCount;
use crate::time::{Millis, MonotonicTime};
use crate::wire::{MachineType, TaskPhase};
use std::collections::BTreeMap;

/// The part of the store's rate of changes that the leader uses. The rest is for submissions and
/// cancellations on all controllers.
const SCHEDULER_WRITE_FRACTION: f64 = 0.6;

/// Limits of the cluster's protocol, from the settings.
struct ProtocolLimits {
    /// Interval of an agent's heartbeats.
    heartbeat: Millis,
    /// How long an agent's lease is valid after a heartbeat.
    lease: Millis,
    /// Most operations in a transaction of the store.
    txn_ops: usize,
    /// Most bytes in a stored value.
    value_bytes: usize,
    /// Changes per second that the leader may make in the store.
    write_rps: f64,
    /// How completion bitmaps are cut into stored values.
    layout: BitmapLayout,
    /// How far the cloud's list of instances may be behind.
    list_lag: Millis,
}

/// The scheduler of one term. Each part keeps its own state; the scheduler composes them.
pub struct Scheduler {
    limits: ProtocolLimits,
    settings: Settings,
    tuning: Tuning,
    term: Term,
    record: LeaderRecord,
    /// The key-value store doesn't answer here but may answer other controllers: they may have
    /// accepted cancellations that aren't known here.
    in_doubt: bool,
    /// When the cluster state was loaded. Responses to heartbeats that this scheduler didn't send are
    /// older.
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
    spot_lives: SpotLives,
    shards: ShardAssignment,
    load: LoadMeter,
    attempts: u64,
    last_request: RequestId,
    orders: OutstandingOrders,
    effects: Vec<Effect>,
    /// Operations since this scheduler began.
    cost: CostMeter,
}

/// Interval at which the edges call [`Scheduler::tick`].
pub const TICK_INTERVAL: Millis = Millis(50);

/// How long a round waits for the plans of its shards.
const PLAN_TIMEOUT: Millis = Millis(250);

impl Scheduler {
    /// A scheduler of term `term` without jobs and machines; [`Scheduler::load`] fills it. `types` is the
    /// cloud's list of machine types, `record` the leader's key as this leader wrote it.
    pub fn new(
        settings: Settings,
        tuning: Tuning,
        types: Vec<MachineType>,
        term: Term,
        record: LeaderRecord,
        now: MonotonicTime,
    ) -> Scheduler {
        let cluster = &settings.cluster;
        let mut zones = cluster.zones.clone();
        for zone in types.iter().flat_map(|machine_type| &machine_type.zones) {
            if !zones.contains(zone) {
                zones.push(zone.clone());
            }
        }
        let store = cluster.store.lowest();
        let limits = ProtocolLimits {
            heartbeat: Millis::from_secs_f64(cluster.workers.heartbeat_interval_s),
            lease: Millis::from_secs_f64(cluster.workers.lease_s),
            txn_ops: store.max_transaction_ops,
            value_bytes: cluster.store.value_bytes(),
            write_rps: store.write_rps * SCHEDULER_WRITE_FRACTION,
            layout: BitmapLayout::new(&cluster.store),
            list_lag: Millis::from_secs_f64(cluster.cloud.list_lag_s),
        };
        let peers = settings.peers.iter().map(|p| p.name.clone());
        let shards = ShardAssignment::new(&settings.name, peers, cluster.teams.len() as u32, now);
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
            shards,
            load: LoadMeter::new(now),
            attempts: 0,
            last_request: RequestId(0),
            orders: OutstandingOrders::default(),
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
        self.writes.fence_revision()
    }

    /// Whether an agent may be sent to another controller now: it has acknowledged its token, and this
    /// leader's machines are reconciled.
    pub fn may_move(&self, now: MonotonicTime, id: &MachineId) -> bool {
        self.settled(now) && self.machines.known.get(id).is_some_and(|machine| machine.token_acknowledged)
    }

    /// Sets whether the store's state is in doubt. While it is, nothing is started: a cancellation
    /// that another controller accepted may not be known here.
    pub fn set_in_doubt(&mut self, in_doubt: bool) {
        self.in_doubt = in_doubt;
    }

    /// Operations of this scheduler since it began.
    pub fn cost_counters(&self) -> CostCounters {
        self.cost.read()
    }

    /// Fields for the log: jobs and machines, and requests that are unanswered.
    pub fn load_summary(&self) -> String {
        let ready: usize = self.jobs.live.values().map(Job::startable_tasks).sum();
        let (jobs, machines) = (self.jobs.live.len(), self.machines.known.len());
        let unreconciled = self.machines.known.values().filter(|machine| !machine.reconciled).count();
        let (reservations, orders, writes) = (self.reservations.len(), self.orders.len(), self.writes.in_flight());
        format!(
            "round={} jobs={jobs} ready={ready} machines={machines} unreconciled={unreconciled} \
             reservations={reservations} orders={orders} writes={writes} lag_ms={} in_doubt={}",
            self.rounds.count(),
            self.lag().0,
            self.in_doubt
        )
    }

    /// Hands out the effects of the inputs since the last call, in the order in which the edges carry
    /// them out.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Live jobs with their counts of done and of running tasks; jobs without either are left out.
    pub fn counts(&self) -> Vec<JobCount> {
        let mut running: BTreeMap<&JobId, u32> = BTreeMap::new();
        for machine in self.machines.known.values() {
            for ((task, _), allocation) in &machine.allocations {
                if matches!(allocation.phase, Some(TaskPhase::Running | TaskPhase::Flushing)) {
                    *running.entry(&task.job).or_default() += 1;
                }
            }
        }
        let count = |(id, job): (&JobId, &Job)| JobCount {
            job: id.to_string(),
            done: job.done_count,
            running: running.get(id).copied().unwrap_or(0),
        };
        self.jobs.live.iter().map(count).filter(|count| count.done + count.running > 0).collect()
    }

    /// Takes over the cloud's list of machine types; types that are known keep their index.
    pub fn set_types(&mut self, types: Vec<MachineType>) {
        let new = self.catalog.set_types(types);
        self.gpus.gpu_job_needs.extend(std::iter::repeat_n(Resources::default(), new));
    }
}
