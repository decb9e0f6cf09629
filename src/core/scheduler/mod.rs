//! The scheduler that the leader runs. It holds the cluster state, starts planning rounds, checks and commits
//! placements, and decides what is sent to workers, the cloud and the key-value store.
//!
//! It is a state machine that does no I/O. The surrounding code calls its methods with received messages and
//! results, and carries out the [`Effect`]s that [`Scheduler::take_effects`] returns.

mod catalog;
mod cloud_inventory;
mod consolidation;
mod dependencies;
mod effects;
mod eviction;
mod failure_detection;
mod fences;
mod gang_reservations;
mod gang_starts;
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
mod pending_stops;
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
use self::gang_starts::GangStarts;
use self::gpu_lending::GpuLending;
pub use self::heartbeats::{HeartbeatRejection, response_before_load};
use self::job_table::JobTable;
use self::load::LoadMeter;
pub use self::loading::StoredState;
use self::machine_table::MachineTable;
use self::outstanding_orders::OutstandingOrders;
use self::pending_stops::PendingStops;
use self::quota::QuotaTracker;
use self::reservations::Reservations;
use self::rounds::Rounds;
use self::spot_lives::SpotLifetimes;
use self::writes::WriteQueue;
use crate::config::{Settings, Tuning};
use crate::core::completion_bitmap::BitmapLayout;
use crate::core::cost::{OperationCounts, OperationMeter};
use crate::core::election::LeaderRecord;
use crate::core::jobs::Job;
use crate::core::machine::{Allocation, Resources};
use crate::core::provisioning::Provisioner;
use crate::core::shards::ShardAssignment;
use crate::ids::{JobId, MachineId, RequestId, Revision, Term};
use crate::peer::JobCount;
use crate::time::{Millis, MonotonicTime};
use crate::wire::{MachineType, TaskPhase};
use std::collections::BTreeMap;

/// Fraction of the key-value store's write rate that the scheduler may use. The rest is reserved for submissions and
/// cancellations on all controllers.
const SCHEDULER_WRITE_FRACTION: f64 = 0.6;

/// Limits of the protocols with workers, key-value store and cloud, from the settings.
struct ProtocolLimits {
    /// Interval between a worker's heartbeats.
    heartbeat: Millis,
    /// How long a worker's lease is valid after a heartbeat that was answered.
    lease: Millis,
    /// Maximum number of operations in a transaction of the key-value store.
    txn_ops: usize,
    /// Maximum size of a stored value in bytes.
    value_bytes: usize,
    /// Mutations per second that the scheduler may send to the key-value store.
    write_rps: f64,
    /// How completion bitmaps are split into stored values.
    layout: BitmapLayout,
    /// How far the cloud's machine list may lag behind the actual state.
    list_lag: Millis,
}

/// The scheduler of one leader term, composed of parts that each keep their own state.
pub struct Scheduler {
    limits: ProtocolLimits,
    settings: Settings,
    tuning: Tuning,
    term: Term,
    /// The value that this leader wrote to the leader's key.
    record: LeaderRecord,
    /// Whether the key-value store doesn't answer this controller. The store may answer other controllers, which may
    /// have accepted cancellations that this one doesn't know.
    in_doubt: bool,
    /// When loading of the cluster state finished. Any heartbeat response that didn't come from this scheduler, and may
    /// have renewed a lease, is older than that.
    loaded_at: MonotonicTime,
    catalog: Catalog,
    jobs: JobTable,
    machines: MachineTable,
    quota: QuotaTracker,
    writes: WriteQueue,
    rounds: Rounds,
    gpus: GpuLending,
    reservations: Reservations,
    gang_starts: GangStarts,
    pending_stops: PendingStops,
    consolidation: Consolidation,
    provisioner: Provisioner,
    spot_lifetimes: SpotLifetimes,
    shards: ShardAssignment,
    load: LoadMeter,
    /// Number of attempts started in this term; part of each attempt number.
    attempts_started: u64,
    last_request: RequestId,
    orders: OutstandingOrders,
    /// How often a machine's fence was raised so that clear orders could be sent, since this scheduler was created.
    fences_raised_for_clears: u64,
    effects: Vec<Effect>,
    /// Counts of operations since this scheduler was created.
    meter: OperationMeter,
}

/// Interval at which [`Scheduler::tick`] is to be called.
pub const TICK_INTERVAL: Millis = Millis(50);

/// How long a planning round waits for the plans of peers before the leader itself plans for the teams of their shards.
const PLAN_TIMEOUT: Millis = Millis(250);

impl Scheduler {
    /// Creates a scheduler for a term, without jobs and machines; [`Scheduler::load`] adds these. `types` is the
    /// cloud's list of machine types, `record` the value that this leader wrote to the leader's key.
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
        let store = cluster.store.strictest();
        let limits = ProtocolLimits {
            heartbeat: Millis::from_secs_f64(cluster.workers.heartbeat_interval_s),
            lease: Millis::from_secs_f64(cluster.workers.lease_s),
            txn_ops: store.max_transaction_ops,
            value_bytes: cluster.store.max_value_bytes(),
            write_rps: store.write_rps * SCHEDULER_WRITE_FRACTION,
            layout: BitmapLayout::new(&cluster.store),
            list_lag: Millis::from_secs_f64(cluster.cloud.list_lag_s),
        };
        let peers = settings.peers.iter().map(|p| p.name.clone());
        let shards = ShardAssignment::new(&settings.name, peers, cluster.teams.len() as u32, now);
        Scheduler {
            spot_lifetimes: SpotLifetimes::new(tuning.spot_median_s, tuning.spot_sigma),
            in_doubt: false,
            loaded_at: now,
            gpus: GpuLending::new(types.len(), zones.len(), now),
            catalog: Catalog::new(types, zones),
            jobs: JobTable::new(now),
            machines: MachineTable::new(now),
            quota: QuotaTracker::new(&settings.cluster.teams),
            writes: WriteQueue::new(term, limits.write_rps, now),
            rounds: Rounds::new(now),
            reservations: Reservations::default(),
            gang_starts: GangStarts::default(),
            pending_stops: PendingStops::default(),
            consolidation: Consolidation::new(now),
            provisioner: Provisioner::default(),
            shards,
            load: LoadMeter::new(now),
            attempts_started: 0,
            last_request: RequestId(0),
            orders: OutstandingOrders::default(),
            fences_raised_for_clears: 0,
            effects: Vec::new(),
            meter: OperationMeter::default(),
            limits,
            settings,
            tuning,
            term,
            record,
        }
    }

    /// The revision of the leader's key on which all writes of this leader are conditional.
    pub fn fence_revision(&self) -> Revision {
        self.writes.fence_revision()
    }

    /// Whether a machine's worker may be redirected to another controller now: it has acknowledged its fencing
    /// token, and all workers have had time to find this leader.
    pub fn may_redirect_worker(&self, now: MonotonicTime, id: &MachineId) -> bool {
        self.has_led_for_lease(now) && self.machines.known.get(id).is_some_and(|machine| machine.token_acknowledged)
    }

    /// Sets whether the state of the key-value store is in doubt. While it is, no task is started, as another
    /// controller may have accepted a cancellation that this one doesn't know.
    pub fn set_in_doubt(&mut self, in_doubt: bool) {
        self.in_doubt = in_doubt;
    }

    /// Counts of operations since this scheduler was created.
    pub fn operation_counts(&self) -> OperationCounts {
        self.meter.read()
    }

    /// Log fields with the numbers of jobs, machines and outstanding requests.
    pub fn load_summary(&self) -> String {
        let ready: usize = self.jobs.live.values().map(Job::startable_tasks).sum();
        let (jobs, machines) = (self.jobs.live.len(), self.machines.known.len());
        let unreconciled = self.machines.known.values().filter(|machine| !machine.reconciled).count();
        let (reservations, orders, writes) = (self.reservations.len(), self.orders.len(), self.writes.in_flight());
        format!(
            "round={} jobs={jobs} ready={ready} machines={machines} unreconciled={unreconciled} \
             reservations={reservations} orders={orders} writes={writes} fences_raised={} lag_ms={} in_doubt={}",
            self.rounds.count(),
            self.fences_raised_for_clears,
            self.lag().0,
            self.in_doubt
        )
    }

    /// Takes the effects that have accumulated since the last call, in the order in which they must be carried out.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Numbers of done and running tasks per live job. Jobs with neither are omitted.
    pub fn live_job_counts(&self) -> Vec<JobCount> {
        let mut running: BTreeMap<&JobId, u32> = BTreeMap::new();
        for machine in self.machines.known.values() {
            // The allocations are sorted by job, so each job is looked up once for a machine.
            let mut allocations = machine.allocations.iter().peekable();
            while let Some((task, _)) = allocations.peek().map(|(key, _)| *key) {
                let of_job = std::iter::from_fn(|| allocations.next_if(|((other, _), _)| other.job == task.job));
                let is_running = |allocation: &Allocation| {
                    matches!(allocation.phase, Some(TaskPhase::Running | TaskPhase::SavingCheckpoint))
                };
                let count = of_job.filter(|(_, allocation)| is_running(allocation)).count() as u32;
                if count > 0 {
                    *running.entry(&task.job).or_default() += count;
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

    /// Updates the catalog with the cloud's list of machine types. Known types keep their numbers.
    pub fn set_machine_types(&mut self, types: Vec<MachineType>) {
        let added = self.catalog.set_types(types);
        self.gpus.gpu_job_needs.extend(std::iter::repeat_n(Resources::default(), added));
    }
}
