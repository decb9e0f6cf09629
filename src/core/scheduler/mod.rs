//! The leader: keeps the cluster state, has rounds planned, checks and commits placements, and says what
//! to send to workers, cloud and state service. A state machine: the edges feed it inputs and
//! carry out the actions it leaves behind.

mod consolidation;
mod dependencies;
mod gpu_demand;
mod machines;
mod planner_view;
mod preemption;
mod preemption_index;
mod reservations;
mod rounds;
#[cfg(test)]
mod tests;
mod workers;
mod writes;

use self::gpu_demand::GpuDemand;
use self::planner_view::PlannerView;
use self::reservations::Reservations;
use crate::config::{JobAges, Settings, Team, Tuning, next_slo_deadline};
use crate::core::completion_bitmap::{self, BitmapLayout};
use crate::core::cost::{CostCounters, CostMeter};
use crate::core::dependencies::{DependencyGraph, JobTiming};
use crate::core::election::{LEADER_KEY, LeaderRecord};
use crate::core::jobs::{ClassTimes, GangRun, Job, priority_number};
use crate::core::machine::{
    Allocation, HeartbeatRoute, MACHINE_PREFIX, Machine, MachineRecord, PendingRun, QUARANTINE_PERIOD, Registration,
    Resources, TaskAttempt, machine_key,
};
use crate::core::placement;
use crate::core::provisioning::{InstancePool, PendingProvision, Provisioner};
use crate::core::records::{
    JobOutcome, LIVE_PREFIX, LiveRecord, MUTATIONS_PER_TERMINATION, TerminalRecord, live_key, live_precondition,
    termination_mutations,
};
use crate::core::shards::{SHARDS_KEY, ShardAssignment};
use crate::core::submissions;
use crate::ids::{Attempt, FencingToken, JobId, MAX_FENCE, MachineId, Revision, SequenceNumber, TaskId, Term};
use crate::peer::{
    ImageView, JobCount, JobView, MachineView, PlanInput, PlanOutput, ProvisionOffer, ScaleOutRequest, TeamHeadroom,
    TypeView, VERSION, Waiting, ZoneCount,
};
use crate::time::{Millis, MonotonicTime, WallTime};
use crate::wire::{
    Cause, DirectOrders, Heartbeat, HeartbeatResponse, JobSpec, KeyValue, Kind, ListPhase, ListedMachine, MachineType,
    Mutation, Order, Precondition, Priority, ProvisionRequest, TaskPhase, TaskStatus, Transaction,
};
use fixedbitset::FixedBitSet;
use log::{debug, info, warn};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

const MAX_RECENTLY_TERMINATED: usize = 1024;
/// What the leader takes of the state service's rate of changes.
const SCHEDULER_WRITE_SHARE: f64 = 0.6;

/// What the edges must do for the leader.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Orders {
        request: u64,
        endpoint: String,
        body: DirectOrders,
    },
    Commit {
        request: u64,
        transaction: Transaction,
    },
    /// Writes the leader's key anew and says which revision it has then.
    RefreshFence(Transaction),
    Provision(ProvisionRequest),
    Terminate(Vec<MachineId>),
    /// Reads how these jobs have ended.
    LookUp(Vec<JobId>),
    /// Has a peer plan for its share.
    Plan {
        node: String,
        input: Arc<PlanInput>,
    },
}

#[derive(Clone, Debug)]
pub enum OrdersResult {
    Executed(Heartbeat),
    Rejected(Heartbeat),
    /// Perhaps executed, perhaps yet to be.
    Unknown,
}

#[derive(Clone, Debug, PartialEq)]
pub enum CommitOutcome {
    Committed,
    Conflict(Vec<String>),
    /// Not carried out, nor will it be.
    Rejected,
    /// Perhaps carried out, perhaps yet to be.
    Unknown,
}

#[derive(Clone, Debug, PartialEq)]
pub enum ProvisionOutcome {
    Provisioned(Vec<String>),
    NoCapacity,
    /// Refused for good: the request itself was wrong.
    Malformed,
    /// Perhaps carried out.
    Unknown,
}

enum Purpose {
    Machines { registration: Vec<MachineId>, forget: Vec<MachineId> },
    CompletionBitmaps(Vec<(JobId, FixedBitSet)>),
    Finish(JobId, WallTime),
    Cancel(Vec<JobId>),
    ShardAssignment,
    Tidy(Vec<String>),
}

struct ProtocolLimits {
    heartbeat: Millis,
    lease: Millis,
    txn_ops: usize,
    value_bytes: usize,
    write_rps: f64,
    layout: BitmapLayout,
    list_lag: Millis,
}

pub struct Scheduler {
    limits: ProtocolLimits,
    settings: Settings,
    tuning: Tuning,
    term: Term,
    record: LeaderRecord,
    /// The revision of the leader's key that guards all writes: the term, until a write goes
    /// unanswered. It may be carried out at any time, over newer ones; so the key is written anew, and
    /// what is guarded by an older revision of it never will be.
    fence_revision: Revision,
    fence_refresh: FenceRefresh,
    /// The state service doesn't answer, and may answer others: users may have been told of
    /// cancellations that aren't known here.
    in_doubt: bool,
    /// When the cluster state was loaded: no answer to a heartbeat that it doesn't know of is later than that.
    since: MonotonicTime,
    types: Vec<MachineType>,
    zones: Vec<String>,
    images: HashMap<String, u32>,
    jobs: BTreeMap<JobId, Job>,
    dependencies: DependencyGraph,
    /// The state service is being asked how awaited jobs have ended; otherwise it isn't before then.
    looking_up: bool,
    look_up_at: MonotonicTime,
    /// The latest jobs that are over.
    recently_terminated: VecDeque<JobId>,
    machines: BTreeMap<MachineId, Machine>,
    /// Returned for good; late heartbeats of theirs mean nothing.
    terminated: BTreeSet<MachineId>,
    /// Listed as running by the cloud, but never heard of: since when.
    never_heard: BTreeMap<MachineId, MonotonicTime>,
    provisioner: Provisioner,
    times: ClassTimes,
    attempts: u64,
    last_request: u64,
    orders: HashMap<u64, (MachineId, Vec<TaskAttempt>)>,
    /// Writes under way, each with its guard.
    commits: HashMap<u64, (Purpose, Revision)>,
    forget: BTreeSet<MachineId>,
    orphaned_bitmaps: Vec<String>,
    tokens: f64,
    tokens_at: MonotonicTime,
    bitmaps_written_at: MonotonicTime,
    commit_pause: MonotonicTime,
    round_needed: bool,
    round_at: MonotonicTime,
    rounds: u64,
    provision_requests: u64,
    shards: ShardAssignment,
    shards_unsaved: bool,
    team_names: Vec<String>,
    /// For each type the most that a GPU job has asked of it.
    gpu_needs: Vec<Resources>,
    gpu_demand: GpuDemand,
    /// GPU machines that plain work may fill, as of the last round.
    lendable: BTreeSet<MachineId>,
    open_round: Option<Round>,
    reservations: Reservations,
    /// The last job whose reservations were tried: the next ones have their turn.
    reservations_tried_to: Option<JobId>,
    move_at: MonotonicTime,
    /// Machines that the last search for a replica to move began with, in vain, before its budget was spent.
    move_sources_tried: usize,
    /// The jobs within their team's guarantee, as of the last round.
    within_guarantee: BTreeSet<JobId>,
    /// Where machines may not be accounted for yet, as of the last round; none is added after the load.
    unreconciled: BTreeSet<InstancePool>,
    /// So many machines don't confirm what they are told that it is rather this controller that
    /// is slow or cut off.
    many_unacknowledged: bool,
    /// When the machines were last looked through.
    reviewed_at: MonotonicTime,
    /// The last tick, and how far the ticks fall behind: a measure of the processor's load.
    ticked_at: MonotonicTime,
    lag_ms: f64,
    /// What each team possibly uses: counted when it is needed, kept up by starts, and dropped
    /// whenever a heartbeat may have added to it.
    usage: Option<QuotaUsage>,
    effects: Vec<Effect>,
    /// What this leader has worked through since it began.
    cost: CostMeter,
    spot_lives: SpotLives,
}

#[derive(Clone, Copy, PartialEq)]
enum FenceRefresh {
    Idle,
    Due,
    InFlight,
}

/// What is possibly on machines, by team.
struct QuotaUsage {
    teams: Vec<Resources>,
    /// All of every machine whose tasks aren't known: it may hold any team's.
    unreconciled: Resources,
}

/// The log-normal of spot machines' lives: starts at the settings' median and shifts with what is
/// seen (ours: the paper leaves the fit to "historical data").
struct SpotLives {
    mu: f64,
    sigma: f64,
    seen: f64,
}

impl SpotLives {
    fn ended(&mut self, age_s: f64) {
        self.seen += 1.0;
        let weight = 1.0 / (20.0 + self.seen.min(200.0));
        let mu = self.mu + weight * (age_s.max(1.0).ln() - self.mu);
        self.mu = mu.clamp(60f64.ln(), 1e6f64.ln());
    }
}

/// A round whose parts are planned by several controllers.
struct Round {
    view: PlannerView,
    outputs: Vec<PlanOutput>,
    /// Peers that haven't answered, with their parts.
    missing: BTreeMap<String, Arc<PlanInput>>,
    until: MonotonicTime,
}

/// The edges call [`Scheduler::tick`] this often.
pub const TICK_INTERVAL: Millis = Millis(50);

/// How long a round waits for its parts.
const PLAN_TIMEOUT: Millis = Millis(250);

/// Everything kept in the state service, as read by a new leader.
#[derive(Default)]
pub struct StoredState {
    pub live: Vec<KeyValue>,
    pub bitmaps: Vec<KeyValue>,
    pub machines: Vec<KeyValue>,
    pub shards: Option<Value>,
}

impl StoredState {
    /// The same in parts of at most so many rows, done sets after all jobs.
    pub fn into_parts(self, rows: usize) -> Vec<StoredState> {
        let StoredState { live, bitmaps, machines, shards } = self;
        let live = in_chunks(live, rows).map(|live| StoredState { live, ..StoredState::default() });
        let bitmaps = in_chunks(bitmaps, rows).map(|bitmaps| StoredState { bitmaps, ..StoredState::default() });
        let machines = in_chunks(machines, rows).map(|machines| StoredState { machines, ..StoredState::default() });
        let shards = shards.map(|shards| StoredState { shards: Some(shards), ..StoredState::default() });
        live.chain(bitmaps).chain(machines).chain(shards).collect()
    }
}

fn in_chunks(rows: Vec<KeyValue>, most: usize) -> impl Iterator<Item = Vec<KeyValue>> {
    let mut rows = rows.into_iter();
    std::iter::from_fn(move || {
        Some(rows.by_ref().take(most).collect::<Vec<KeyValue>>()).filter(|chunk| !chunk.is_empty())
    })
}

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
        let team_names: Vec<String> = c.teams.iter().map(|t| t.name.clone()).collect();
        let peers = settings.peers.iter().map(|p| p.name.clone());
        let shards = ShardAssignment::new(&settings.name, peers, team_names.len() as u32, now);
        Scheduler {
            tokens: limits.write_rps,
            limits,
            spot_lives: SpotLives { mu: tuning.spot_median_s.ln(), sigma: tuning.spot_sigma, seen: 0.0 },
            settings,
            tuning,
            term,
            record,
            fence_revision: Revision(term.0),
            fence_refresh: FenceRefresh::Idle,
            in_doubt: false,
            since: now,
            gpu_demand: GpuDemand::new(zones.len(), now),
            lendable: BTreeSet::new(),
            zones,
            images: HashMap::new(),
            jobs: BTreeMap::new(),
            dependencies: DependencyGraph::default(),
            looking_up: false,
            look_up_at: now,
            recently_terminated: VecDeque::new(),
            machines: BTreeMap::new(),
            terminated: BTreeSet::new(),
            never_heard: BTreeMap::new(),
            provisioner: Provisioner::default(),
            times: ClassTimes::default(),
            attempts: 0,
            last_request: 0,
            orders: HashMap::new(),
            commits: HashMap::new(),
            forget: BTreeSet::new(),
            orphaned_bitmaps: Vec::new(),
            tokens_at: now,
            bitmaps_written_at: now,
            commit_pause: now,
            round_needed: true,
            round_at: now,
            rounds: 0,
            provision_requests: 0,
            shards,
            shards_unsaved: true,
            team_names,
            gpu_needs: vec![Resources::default(); types.len()],
            types,
            open_round: None,
            reservations: Reservations::default(),
            reservations_tried_to: None,
            move_at: now,
            move_sources_tried: 0,
            within_guarantee: BTreeSet::new(),
            unreconciled: BTreeSet::new(),
            many_unacknowledged: false,
            reviewed_at: now,
            ticked_at: now,
            lag_ms: 0.0,
            usage: None,
            effects: Vec::new(),
            cost: CostMeter::default(),
        }
    }

    /// The revision of the leader's key that guards its writes.
    pub fn fence_revision(&self) -> Revision {
        self.fence_revision
    }

    /// Whether a worker may be sent to another controller now: answers reach it, and this leader is not
    /// just gathering its machines.
    pub fn may_move(&self, now: MonotonicTime, id: &MachineId) -> bool {
        self.settled(now) && self.machines.get(id).is_some_and(|m| m.token_acknowledged)
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
        let ready: usize = self.jobs.values().map(Job::startable_tasks).sum();
        let (jobs, machines) = (self.jobs.len(), self.machines.len());
        let unreconciled = self.machines.values().filter(|m| !m.reconciled).count();
        let (reservations, orders, writes) = (self.reservations.len(), self.orders.len(), self.commits.len());
        format!(
            "round={} jobs={jobs} ready={ready} machines={machines} unaccounted={unreconciled} \
             reservations={reservations} orders={orders} writes={writes} lag={} ms in_doubt={}",
            self.rounds,
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
        for m in self.machines.values() {
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
        self.jobs.iter().map(count).filter(|c| c.done + c.running > 0).collect()
    }

    pub fn set_types(&mut self, types: Vec<MachineType>) {
        // Prices may move; the kinds themselves stay in their places.
        for t in types {
            match self.types.iter_mut().find(|o| o.name == t.name) {
                Some(o) => *o = t,
                None => {
                    self.types.push(t);
                    self.gpu_needs.push(Resources::default());
                }
            }
        }
    }

    // ---- becoming leader

    /// What the state service holds, in one go.
    pub fn load(&mut self, now: MonotonicTime, stored: StoredState) {
        self.load_part(now, stored);
        self.finish_load(now);
    }

    /// Some of what the state service holds; done sets come after their jobs. A row that can't be read is
    /// left alone.
    pub fn load_part(&mut self, now: MonotonicTime, stored: StoredState) {
        self.cost.add_jobs(stored.live.len() + stored.bitmaps.len());
        self.cost.add_machines(stored.machines.len());
        stored.live.into_iter().for_each(|row| self.load_job(row));
        stored.bitmaps.into_iter().for_each(|row| self.load_completion_bitmap(row));
        stored.machines.into_iter().for_each(|row| self.load_machine(now, row));
        if let Some(kept) = stored.shards.and_then(|v| serde_json::from_value(v).ok()) {
            self.shards.restore(&kept, &self.team_names);
            self.shards_unsaved = false;
        }
    }

    /// All that the state service holds has been loaded.
    pub fn finish_load(&mut self, now: MonotonicTime) {
        // Until now reports were answered without the cluster state, which renewed workers' leases.
        self.since = now;
        info!("cluster state loaded: term={} jobs={} machines={}", self.term, self.jobs.len(), self.machines.len());
    }

    fn load_job(&mut self, row: KeyValue) {
        match row.key.strip_prefix(LIVE_PREFIX).and_then(JobId::parse) {
            Some(id) => self.on_job_accepted(&id, &row.value, Revision(row.revision)),
            None => warn!("state: key {} is no job", row.key),
        }
    }

    fn load_completion_bitmap(&mut self, row: KeyValue) {
        let parsed = completion_bitmap::parse_key(&row.key);
        let Some((job, number)) = parsed.and_then(|(id, number)| Some((self.jobs.get_mut(&id)?, number))) else {
            self.orphaned_bitmaps.push(row.key);
            return;
        };
        if !self.limits.layout.read(&mut job.durably_done, number, &row.value) {
            warn!("state: {} can't be read", row.key);
        }
        let done: Vec<usize> = job.durably_done.ones().collect();
        for i in done {
            job.set_done(i as u32);
        }
    }

    fn load_machine(&mut self, now: MonotonicTime, row: KeyValue) {
        let id = row.key.strip_prefix(MACHINE_PREFIX).and_then(MachineId::parse);
        let record = serde_json::from_value::<MachineRecord>(row.value);
        let (Some(id), Ok(r)) = (id, record) else {
            return warn!("state: {} can't be read", row.key);
        };
        let Some((kind, zone)) = self.place_of(&r.kind, &r.zone) else {
            return warn!("state: machine {id} is of unknown kind {} or zone {}", r.kind, r.zone);
        };
        let mut m = Machine::new(r.endpoint, kind, zone, r.spot, now);
        m.registration = Registration::Registered;
        // It may hold anything until it reports under this leader's token.
        m.reconciled = false;
        self.unreconciled.insert(m.pool());
        self.machines.insert(id, m);
    }

    fn place_of(&self, kind: &str, zone: &str) -> Option<(usize, u32)> {
        let kind = self.types.iter().position(|t| t.name == kind)?;
        let zone = self.zones.iter().position(|z| z == zone)?;
        Some((kind, zone as u32))
    }

    // ---- jobs

    /// A job was accepted (or seen again).
    pub fn on_job_accepted(&mut self, id: &JobId, value: &Value, revision: Revision) {
        // The watch may tell of a job's start after its end came by another way.
        if self.jobs.contains_key(id) || self.recently_terminated.contains(id) {
            return;
        }
        let record = match serde_json::from_value::<LiveRecord>(value.clone()) {
            Ok(r) => r,
            Err(e) => return warn!("state: job {id} can't be read: {e}"),
        };
        let Some(team) = self.settings.cluster.teams.iter().position(|t| t.name == record.spec.team) else {
            return warn!("state: job {id} is of unknown team {}", record.spec.team);
        };
        let s = &record.spec;
        if s.gpus > 0.0 {
            for (t, need) in self.types.iter().zip(&mut self.gpu_needs).filter(|(t, _)| submissions::type_allows(s, t))
            {
                need.cpus = need.cpus.max(s.cpus).min(t.cpus);
                need.memory_gb = need.memory_gb.max(s.memory_gb).min(t.memory_gb);
            }
        }
        let job = Job::new(record, revision, team as u32);
        self.dependencies.add(*id, &job.depends_on, |dependency| self.jobs.contains_key(dependency));
        self.jobs.insert(*id, job);
        self.round_needed = true;
    }

    /// The watch has missed changes: what is no longer listed is over.
    pub fn resync_live_jobs(&mut self, rows: Vec<KeyValue>, revision: u64) {
        let mut listed = BTreeSet::new();
        for row in rows {
            if let Some(id) = row.key.strip_prefix(LIVE_PREFIX).and_then(JobId::parse) {
                self.on_job_accepted(&id, &row.value, Revision(row.revision));
                listed.insert(id);
            }
        }
        let gone = |(id, j): &(&JobId, &Job)| !listed.contains(*id) && j.revision.0 <= revision;
        let over: Vec<JobId> = self.jobs.iter().filter(gone).map(|(id, _)| *id).collect();
        for id in over {
            self.on_job_terminated(&id, JobOutcome::Unknown);
        }
    }

    /// The job is over: done, or cancelled by its user. Whatever of it is on machines must go.
    pub fn on_job_terminated(&mut self, id: &JobId, outcome: JobOutcome) {
        if !self.recently_terminated.contains(id) {
            self.recently_terminated.push_back(*id);
            if self.recently_terminated.len() > MAX_RECENTLY_TERMINATED {
                self.recently_terminated.pop_front();
            }
        }
        self.settle_dependents(id, outcome);
        let Some(job) = self.jobs.remove(id) else { return };
        self.round_needed = true;
        self.dependencies.remove(id, &job.depends_on);
        let rows = self.limits.layout.chunks(job.spec.tasks);
        let stored = rows.iter().filter(|row| row.members(&job.durably_done).next().is_some());
        self.orphaned_bitmaps.extend(stored.map(|row| row.key(id)));
        for (index, machine, attempt) in job.places() {
            if let Some(m) = self.machines.get_mut(machine) {
                stop_allocation(m, &(TaskId { job: *id, index }, attempt), 0.0);
                self.flush_machine(machine);
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
