//! The leader: keeps the cluster state, has rounds planned, checks and commits placements, and says what
//! to send to workers, cloud and state service. A state machine: the edges feed it inputs and
//! carry out the actions it leaves behind.

mod ages;
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
use crate::ids::{JobId, MachineId, Revision, Term};
use crate::peer::JobCount;
use crate::time::{Millis, MonotonicTime};
use crate::wire::{MachineType, TaskPhase};
use std::collections::BTreeMap;

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
    orders: OutstandingOrders,
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
        let store = c.store.lowest();
        let limits = ProtocolLimits {
            heartbeat: Millis::from_secs_f64(c.workers.heartbeat_interval_s),
            lease: Millis::from_secs_f64(c.workers.lease_s),
            txn_ops: store.max_transaction_ops,
            value_bytes: c.store.value_bytes(),
            // The rest is for submissions and cancellations on all controllers.
            write_rps: store.write_rps * SCHEDULER_WRITE_SHARE,
            layout: BitmapLayout::new(&c.store),
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
        let (reservations, orders, writes) = (self.reservations.len(), self.orders.len(), self.writes.in_flight());
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

    /// Takes in the cloud's list of machine types.
    pub fn set_types(&mut self, types: Vec<MachineType>) {
        let new = self.catalog.set_types(types);
        self.gpus.needs.extend(std::iter::repeat_n(Resources::default(), new));
    }
}
