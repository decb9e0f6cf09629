//! The leader: keeps the ledger, has rounds planned, checks and commits placements, and says what
//! to send to workers, cloud and state service. A state machine: the edges feed it inputs and
//! carry out the actions it leaves behind.

use super::fleet::{Amount, Commission, FLEET, FleetRecord, Machine, Sent, Slot, SlotKey, fleet_key};
use super::jobs::{
    self, BITS, ClassTimes, GangRun, Job, LIVE, LiveRecord, OverRecord, chunk_tasks, decode_bits, encode_bits,
    live_key, over_key, priority_number,
};
use super::leadership::LEADER_KEY;
use super::miser;
use super::rentals::{Market, Rentals, Request};
use super::shares::{SHARES_KEY, Shares};
use crate::config::{Settings, Tuning};
use crate::ids::{Attempt, Baton, JobId, MAX_FENCE, MachineId, Stamp, TaskId, Term};
use crate::peer::{
    ImageView, JobCount, JobView, MachineView, Offer, PlanInput, PlanOutput, TeamLeft, TypeView, VERSION, Wish,
    ZoneCount,
};
use crate::time::{Mono, Span, Wall};
use crate::wire::{
    Cause, Change, DirectOrders, Guard, JobPhase, Kind, ListPhase, ListedMachine, LotPhase, LotReport, MachineType,
    Order, Priority, RentRequest, Report, ReportAnswer, Row, Txn,
};
use fixedbitset::FixedBitSet;
use log::{debug, info, warn};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

const MAX_OVER: usize = 1024;

/// What the edges must do for the leader.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Orders {
        ticket: u64,
        endpoint: String,
        body: DirectOrdersBody,
    },
    Commit {
        ticket: u64,
        txn: Txn,
    },
    Rent(RentRequest),
    Return(Vec<MachineId>),
    /// Has a peer plan for its share.
    Plan {
        node: String,
        input: PlanInput,
    },
}

/// Orders as they go to a worker directly.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectOrdersBody {
    pub baton: Baton,
    pub shift: crate::ids::Shift,
    pub orders: Vec<Order>,
}

impl From<DirectOrdersBody> for DirectOrders {
    fn from(b: DirectOrdersBody) -> DirectOrders {
        DirectOrders { baton: b.baton, shift: b.shift, orders: b.orders }
    }
}

#[derive(Clone, Debug)]
pub enum OrdersResult {
    Executed(Report),
    Rejected(Report),
    /// Perhaps executed, perhaps yet to be.
    Unknown,
}

#[derive(Clone, Debug, PartialEq)]
pub enum CommitResult {
    Done,
    Conflict(Vec<String>),
    /// Not carried out, or not known to be.
    Failed,
}

#[derive(Clone, Debug, PartialEq)]
pub enum RentResult {
    Rented(Vec<String>),
    NoCapacity,
    /// Refused for good: the request itself was wrong.
    Malformed,
    /// Perhaps carried out.
    Unknown,
}

enum Purpose {
    Fleet { commission: Vec<MachineId>, forget: Vec<MachineId> },
    Bits(Vec<(JobId, FixedBitSet)>),
    Finish(JobId),
    Shares,
    Tidy,
}

struct Params {
    report: Span,
    lease: Span,
    txn_ops: usize,
    write_rps: f64,
    chunk: u32,
    list_lag: Span,
}

pub struct Leader {
    p: Params,
    settings: Settings,
    tuning: Tuning,
    term: Term,
    /// When the ledger was loaded: no answer to a report that it doesn't know of is later than that.
    since: Mono,
    types: Vec<MachineType>,
    zones: Vec<String>,
    images: HashMap<String, u32>,
    jobs: BTreeMap<JobId, Job>,
    /// The latest jobs that are over.
    over: VecDeque<JobId>,
    machines: BTreeMap<MachineId, Machine>,
    /// Returned for good; late reports of theirs mean nothing.
    gone: BTreeSet<MachineId>,
    /// Listed as running by the cloud, but never heard of: since when.
    unseen: BTreeMap<MachineId, Mono>,
    rentals: Rentals,
    times: ClassTimes,
    attempts: u64,
    tickets: u64,
    orders: HashMap<u64, (MachineId, Vec<SlotKey>)>,
    commits: HashMap<u64, Purpose>,
    forget: BTreeSet<MachineId>,
    stray_bits: Vec<String>,
    tokens: f64,
    tokens_at: Mono,
    bits_at: Mono,
    commit_pause: Mono,
    dirty: bool,
    round_at: Mono,
    rounds: u64,
    hires: u64,
    shares: Shares,
    shares_dirty: bool,
    team_names: Vec<String>,
    /// For each type the most that a GPU job has asked of it.
    gpu_needs: Vec<Amount>,
    open_round: Option<Round>,
    reservations: Vec<Reservation>,
    move_at: Mono,
    actions: Vec<Action>,
    spot_lives: SpotLives,
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
    input: PlanInput,
    jobs: Vec<(JobId, bool)>,
    machines: Vec<Option<MachineId>>,
    outputs: Vec<PlanOutput>,
    /// Peers that haven't answered, with the keys of their jobs.
    missing: BTreeMap<String, Vec<u32>>,
    until: Mono,
}

/// Room on a machine kept for one task of a job, as work was stopped to make it. Without it, other
/// work would take the room as soon as it is free, and be stopped again.
struct Reservation {
    machine: MachineId,
    job: JobId,
    need: Amount,
    until: Mono,
}

const RESERVED_FOR: Span = Span(4_000);

/// How long a round waits for its parts.
const PATIENCE: Span = Span(250);

/// Everything kept in the state service, as read by a new leader.
#[derive(Default)]
pub struct Stored {
    pub live: Vec<Row>,
    pub bits: Vec<Row>,
    pub fleet: Vec<Row>,
    pub shares: Option<Value>,
}

impl Leader {
    pub fn new(settings: Settings, tuning: Tuning, types: Vec<MachineType>, term: Term, now: Mono) -> Leader {
        let c = &settings.cluster;
        let mut zones = c.zones.clone();
        for z in types.iter().flat_map(|t| &t.zones) {
            if !zones.contains(z) {
                zones.push(z.clone());
            }
        }
        let p = Params {
            report: Span::secs(c.workers.report_s),
            lease: Span::secs(c.workers.lease_s),
            txn_ops: c.state.txn_ops,
            // The rest is for submissions and cancellations on all controllers.
            write_rps: c.state.write_rps * 0.6,
            chunk: chunk_tasks(c.state.value_kb),
            list_lag: Span::secs(c.cloud.list_lag_s),
        };
        let team_names: Vec<String> = c.teams.iter().map(|t| t.name.clone()).collect();
        let peers = settings.peers.iter().map(|p| p.name.clone());
        let shares = Shares::new(&settings.name, peers, team_names.len() as u32, now);
        Leader {
            tokens: p.write_rps,
            p,
            spot_lives: SpotLives { mu: tuning.spot_median_s.ln(), sigma: tuning.spot_sigma, seen: 0.0 },
            settings,
            tuning,
            term,
            since: now,
            zones,
            images: HashMap::new(),
            jobs: BTreeMap::new(),
            over: VecDeque::new(),
            machines: BTreeMap::new(),
            gone: BTreeSet::new(),
            unseen: BTreeMap::new(),
            rentals: Rentals::default(),
            times: ClassTimes::default(),
            attempts: 0,
            tickets: 0,
            orders: HashMap::new(),
            commits: HashMap::new(),
            forget: BTreeSet::new(),
            stray_bits: Vec::new(),
            tokens_at: now,
            bits_at: now,
            commit_pause: now,
            dirty: true,
            round_at: now,
            rounds: 0,
            hires: 0,
            shares,
            shares_dirty: true,
            team_names,
            gpu_needs: vec![Amount::default(); types.len()],
            types,
            open_round: None,
            reservations: Vec::new(),
            move_at: now,
            actions: Vec::new(),
        }
    }

    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Live jobs with their counts of done tasks and of tasks that run.
    pub fn counts(&self) -> Vec<JobCount> {
        let mut running: BTreeMap<&JobId, u32> = BTreeMap::new();
        for m in self.machines.values() {
            for ((task, _), s) in &m.slots {
                if matches!(s.phase, Some(LotPhase::Running | LotPhase::Flushing)) {
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
                    self.gpu_needs.push(Amount::default());
                }
            }
        }
    }

    // ---- taking office

    /// What the state service holds. A row that can't be read is left alone.
    pub fn load(&mut self, now: Mono, stored: Stored) {
        for row in stored.live {
            let id = row.path.strip_prefix(LIVE).and_then(JobId::parse);
            match id {
                Some(id) => self.on_live(&id, &row.value, Stamp(row.stamp)),
                None => warn!("state: key {} is no job", row.path),
            }
        }
        for row in stored.bits {
            let rest = row.path.strip_prefix(BITS).unwrap_or_default();
            let parsed = rest.split_once('/').and_then(|(j, c)| Some((JobId::parse(j)?, c.parse::<u32>().ok()?)));
            match parsed.and_then(|(id, c)| Some((self.jobs.get_mut(&id)?, c))) {
                Some((job, chunk)) => {
                    if !decode_bits(&mut job.durable, chunk, self.p.chunk, &row.value) {
                        warn!("state: {} can't be read", row.path);
                    }
                    let done: Vec<usize> = job.durable.ones().collect();
                    for i in done {
                        job.set_done(i as u32);
                    }
                }
                None => self.stray_bits.push(row.path),
            }
        }
        for row in stored.fleet {
            let id = row.path.strip_prefix(FLEET).and_then(MachineId::parse);
            let record = serde_json::from_value::<FleetRecord>(row.value);
            let (Some(id), Ok(r)) = (id, record) else {
                warn!("state: {} can't be read", row.path);
                continue;
            };
            let Some((kind, zone)) = self.place_of(&r.kind, &r.zone) else {
                warn!("state: machine {id} is of unknown kind {} or zone {}", r.kind, r.zone);
                continue;
            };
            let mut m = Machine::new(r.endpoint, kind, zone, r.spot, now);
            m.commission = Commission::Yes;
            // It may hold anything until it reports under this leader's baton.
            m.accounted = false;
            self.machines.insert(id, m);
        }
        if let Some(kept) = stored.shares.and_then(|v| serde_json::from_value(v).ok()) {
            self.shares.restore(&kept, &self.team_names);
            self.shares_dirty = false;
        }
        // Until now reports were answered without the ledger, which renewed workers' leases.
        self.since = now;
        info!("office taken: term={} jobs={} machines={}", self.term, self.jobs.len(), self.machines.len());
    }

    fn place_of(&self, kind: &str, zone: &str) -> Option<(usize, u32)> {
        let kind = self.types.iter().position(|t| t.name == kind)?;
        let zone = self.zones.iter().position(|z| z == zone)?;
        Some((kind, zone as u32))
    }

    // ---- jobs

    /// A job was accepted (or seen again).
    pub fn on_live(&mut self, id: &JobId, value: &Value, stamp: Stamp) {
        // The watch may tell of a job's start after its end came by another way.
        if self.jobs.contains_key(id) || self.over.contains(id) {
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
            for (t, need) in self.types.iter().zip(&mut self.gpu_needs).filter(|(t, _)| jobs::type_allows(s, t)) {
                need.cpus = need.cpus.max(s.cpus).min(t.cpus);
                need.memory_gb = need.memory_gb.max(s.memory_gb).min(t.memory_gb);
            }
        }
        self.jobs.insert(id.clone(), Job::new(record, stamp, team as u32));
        self.dirty = true;
    }

    /// The watch has missed changes: what is no longer listed is over.
    pub fn reload_live(&mut self, now: Mono, rows: Vec<Row>, epoch: u64) {
        let mut listed = BTreeSet::new();
        for row in rows {
            if let Some(id) = row.path.strip_prefix(LIVE).and_then(JobId::parse) {
                self.on_live(&id, &row.value, Stamp(row.stamp));
                listed.insert(id);
            }
        }
        let gone = |(id, j): &(&JobId, &Job)| !listed.contains(*id) && j.stamp.0 <= epoch;
        let over: Vec<JobId> = self.jobs.iter().filter(gone).map(|(id, _)| id.clone()).collect();
        for id in over {
            self.on_over(now, &id);
        }
    }

    /// The job is over: done, or cancelled by its user. Whatever of it is on machines must go.
    pub fn on_over(&mut self, now: Mono, id: &JobId) {
        if !self.over.contains(id) {
            self.over.push_back(id.clone());
            if self.over.len() > MAX_OVER {
                self.over.pop_front();
            }
        }
        let Some(job) = self.jobs.remove(id) else { return };
        self.dirty = true;
        for c in 0..job.spec.tasks.div_ceil(self.p.chunk) {
            let from = (c * self.p.chunk) as usize;
            let to = job.durable.len().min(from + self.p.chunk as usize);
            if job.durable.ones().any(|i| (from..to).contains(&i)) {
                self.stray_bits.push(format!("{BITS}{id}/{c}"));
            }
        }
        for m in self.machines.values_mut() {
            let keys: Vec<SlotKey> = m.slots.keys().filter(|(t, _)| t.job == *id).cloned().collect();
            for k in keys {
                stop_slot(m, &k, 0.0);
            }
        }
        self.flush_orders(now);
    }

    // ---- workers

    /// A worker's report. None: not to be answered.
    pub fn on_report(&mut self, now: Mono, r: &Report) -> Option<ReportAnswer> {
        let id = MachineId::parse(&r.machine)?;
        if self.gone.contains(&id) {
            return None;
        }
        if !self.machines.contains_key(&id) {
            let Some((kind, zone)) = self.place_of(&r.kind, &r.zone) else {
                warn!("machine {id} is of unknown kind {} or zone {}", r.kind, r.zone);
                return None;
            };
            // Nobody has ordered anything here: orders come after the machine's record.
            self.machines.insert(id.clone(), Machine::new(r.endpoint.clone(), kind, zone, r.spot, now));
        }
        let newer = self.take_report(now, &id, r);
        let m = self.machines.get_mut(&id)?;
        if r.shift < m.shift {
            // Of a session that has ended; an answer would mean nothing.
            return None;
        }
        // Even a report that other news has overtaken renews the lease by being answered.
        m.last_report = now;
        let baton = Baton::new(self.term, m.fence);
        let mut orders = Vec::new();
        if newer && m.in_flight.is_none() && !m.doomed {
            // Runs only go out directly, where an answer proves them; the rest may ride along.
            let (runs, rest): (Vec<Order>, Vec<Order>) =
                m.outbox.drain(..).partition(|o| matches!(o, Order::Run { .. }));
            m.outbox = runs;
            orders = rest;
        }
        self.flush_orders(now);
        Some(ReportAnswer { baton, orders })
    }

    pub fn on_orders_result(&mut self, now: Mono, ticket: u64, result: OrdersResult) {
        let Some((id, sent)) = self.orders.remove(&ticket) else { return };
        let Some(m) = self.machines.get_mut(&id) else { return };
        if m.in_flight == Some(ticket) {
            m.in_flight = None;
        }
        match result {
            OrdersResult::Executed(r) => {
                for k in &sent {
                    if let Some(s) = m.slots.get_mut(k).and_then(|s| s.sent.as_mut()) {
                        s.answered = true;
                    }
                }
                self.take_report(now, &id, &r);
            }
            OrdersResult::Rejected(r) => {
                // Nothing of it was carried out, nor will it be.
                for k in &sent {
                    self.vanish(now, &id, k, false);
                }
                self.take_report(now, &id, &r);
            }
            OrdersResult::Unknown => {
                // The orders may be carried out at any time within the session, so the fence
                // rises: once the worker has reported it, they are dead.
                if m.fence >= MAX_FENCE {
                    m.doomed = true;
                } else {
                    m.fence += 1;
                }
                m.fencing = true;
                debug!("machine {id}: orders unanswered, fence={}", m.fence);
            }
        }
        self.flush_orders(now);
    }

    /// Takes in what a worker lists. False: something newer was known.
    fn take_report(&mut self, now: Mono, id: &MachineId, r: &Report) -> bool {
        let Some(m) = self.machines.get_mut(id) else { return false };
        if (r.shift, r.tally) <= (m.shift, m.tally) {
            return false;
        }
        m.endpoint.clone_from(&r.endpoint);
        if !m.up {
            m.up = true;
            m.idle_since = None;
            info!("machine {id} is up after {:.0} s", (now - m.since).as_secs());
        }
        if r.shift > m.shift && m.shift.0 > 0 {
            // A new session: the worker has killed and forgotten all it had.
            let keys: Vec<SlotKey> = m.slots.keys().cloned().collect();
            if !keys.is_empty() {
                info!("machine {id}: new session, tasks={}", keys.len());
            }
            for k in keys {
                self.vanish(now, id, &k, false);
            }
        }
        let own = Baton::new(self.term, 0);
        let Some(m) = self.machines.get_mut(id) else { return false };
        m.shift = r.shift;
        m.tally = r.tally;
        m.baton = m.baton.max(r.baton);
        let fence = Baton::new(self.term, m.fence);
        if m.fencing && r.baton >= fence {
            m.fencing = false;
            self.dirty = true;
        }
        if let Some(s) = r.notice_s
            && !m.notice
        {
            info!("machine {id} will be taken in {s:.0} s");
            m.notice = true;
            if m.spot {
                self.spot_lives.ended((now - m.since).as_secs());
            }
            self.drain(now, id, s);
        }
        let mut listed: BTreeSet<SlotKey> = BTreeSet::new();
        for lot in &r.lots {
            let Some(task) = TaskId::parse(&lot.lot) else {
                warn!("machine {id} lists {:?}", lot.lot);
                continue;
            };
            let key = (task, lot.attempt);
            self.take_lot(now, id, &key, lot);
            listed.insert(key);
        }
        let Some(m) = self.machines.get_mut(id) else { return false };
        if !m.accounted && r.baton >= own {
            m.accounted = true;
            self.dirty = true;
        }
        // What is not listed is gone, if the worker has listed it before, has answered its order,
        // or will refuse the order because it has seen a higher fence since.
        let missing: Vec<SlotKey> = m
            .slots
            .iter()
            .filter(|(k, s)| {
                !listed.contains(k)
                    && match s.sent {
                        Some(sent) if s.phase.is_none() => sent.answered || r.baton > sent.baton,
                        // Its order hasn't left yet.
                        None if s.phase.is_none() => false,
                        _ => true,
                    }
            })
            .map(|(k, _)| k.clone())
            .collect();
        for k in missing {
            self.vanish(now, id, &k, false);
        }
        let Some(m) = self.machines.get_mut(id) else { return false };
        if m.commission == Commission::No && !m.doomed {
            self.dirty = true;
        }
        true
    }

    /// One task that a worker lists.
    fn take_lot(&mut self, now: Mono, id: &MachineId, key: &SlotKey, lot: &LotReport) {
        let (task, attempt) = key;
        let known = self.machines.get(id).is_some_and(|m| m.slots.contains_key(key));
        if !known && !self.adopt(now, id, key, lot) {
            return;
        }
        let over = !self.jobs.contains_key(&task.job);
        let Some(m) = self.machines.get_mut(id) else { return };
        let Some(s) = m.slots.get_mut(key) else { return };
        let before = s.phase;
        s.phase = Some(lot.phase);
        s.sent = None;
        if lot.phase == LotPhase::Running && before != Some(LotPhase::Running) {
            s.running_since.get_or_insert(now);
            self.dirty |= before == Some(LotPhase::Pulling);
        }
        if lot.phase != LotPhase::Exited {
            if over {
                stop_slot(m, key, 0.0);
            } else if let Some(leeway) = s.stop {
                // Told before; said again until it works.
                if lot.phase != LotPhase::Flushing || leeway == 0.0 {
                    stop_slot(m, key, leeway);
                }
            } else if let Some(job) = self.jobs.get(&task.job) {
                let broken = job.gang.as_ref().is_some_and(|g| g.broken && g.attempt == *attempt);
                if broken || job.done.contains(task.index as usize) {
                    stop_slot(m, key, 0.0);
                }
            }
            return;
        }
        if before != Some(LotPhase::Exited) {
            self.dirty = true;
            let ran = s.running_since.map(|t| (now - t).as_secs());
            let stopped = s.stop.is_some();
            let expected = s.run_s;
            self.exited(now, id, key, lot, ran, stopped, expected);
        }
        // The worker may forget it once a done task is durably so; other ends need no keeping.
        let durable = match self.jobs.get(&task.job) {
            Some(j) if lot.cause == Some(Cause::Done) => j.durable.contains(task.index as usize),
            _ => true,
        };
        if durable && let Some(m) = self.machines.get_mut(id) {
            m.order(Order::Clear { lot: task.to_string(), attempt: *attempt });
        }
    }

    /// Enters a listed task that the ledger doesn't have. False: there is nothing to follow up.
    fn adopt(&mut self, now: Mono, id: &MachineId, key: &SlotKey, lot: &LotReport) -> bool {
        let (task, attempt) = key;
        let Some(m) = self.machines.get_mut(id) else { return false };
        let mut slot = Slot {
            need: Amount::default(),
            team: None,
            priority: Priority::Low,
            phase: None,
            sent: None,
            placed_at: now,
            running_since: None,
            stop: None,
            image: u32::MAX,
            fetch_s: 0.0,
            run_s: 0.0,
        };
        if let Some(job) = self.jobs.get_mut(&task.job).filter(|j| task.index < j.spec.tasks) {
            if let Some(places) = job.placed.get(&task.index)
                && lot.phase != LotPhase::Exited
            {
                // One of the two reports is late, and which one isn't known: both count until one
                // is proven gone.
                info!("machine {id} lists {task} try {attempt}, and so do {places:?}");
            }
            let s = &job.spec;
            slot.need = Amount { cpus: s.cpus, gpus: s.gpus, memory_gb: s.memory_gb };
            slot.team = Some(job.team);
            slot.priority = s.priority;
            slot.run_s = self.times.expect(&s.class, s.estimate_s);
            let next = self.images.len() as u32;
            slot.image = *self.images.entry(s.image.clone()).or_insert(next);
            m.touch_image(slot.image, s.image_gb, self.types[m.kind].cache_gb);
            if lot.phase != LotPhase::Exited {
                let gang = s.kind == Kind::Gang;
                job.place(task.index, id, *attempt);
                if gang {
                    match &mut job.gang {
                        None => job.gang = Some(GangRun { attempt: *attempt, broken: false }),
                        Some(g) if g.attempt != *attempt => g.broken = true,
                        Some(_) => {}
                    }
                }
            }
        }
        m.slots.insert(key.clone(), slot);
        true
    }

    /// A task has ended, by its worker's word.
    #[allow(clippy::too_many_arguments)]
    fn exited(
        &mut self,
        now: Mono,
        id: &MachineId,
        key: &SlotKey,
        lot: &LotReport,
        ran: Option<f64>,
        stopped: bool,
        expected: f64,
    ) {
        let (task, attempt) = key;
        let cause = lot.cause.unwrap_or(Cause::Other);
        let reclaimed = self.machines.get(id).is_some_and(|m| m.notice);
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        job.unplace(task.index, id, *attempt);
        let alone = job.spec.kind != Kind::Gang;
        match cause {
            Cause::Done => {
                if let Some(s) = ran
                    && alone
                    && expected > 0.0
                {
                    self.times.learn(&job.spec.class, job.spec.estimate_s, s);
                }
                if alone {
                    job.set_done(task.index);
                } else {
                    // A gang completes as one.
                    for i in 0..job.spec.tasks {
                        job.set_done(i);
                    }
                }
                if let Some(m) = self.machines.get_mut(id) {
                    m.errors = 0;
                }
            }
            Cause::Error => {
                job.requeue(task.index, false);
                job.errors += 1;
                job.error_machines.insert(id.clone());
                let fault = job.at_fault();
                if fault {
                    let pause = Span::secs(f64::from(1u32 << job.errors.min(6)).min(60.0));
                    job.pause_until = now + pause;
                }
                debug!("task {task} failed on {id}, errors={}", job.errors);
                if !fault && let Some(m) = self.machines.get_mut(id) {
                    m.errors += 1;
                    if m.errors >= 2 && m.sick_until <= now {
                        m.sick_until = now + Span(120_000);
                        info!("machine {id} fails tasks and is avoided, errors={}", m.errors);
                    } else if m.sick_until <= now {
                        m.sick_until = now + Span(10_000);
                    }
                }
            }
            _ => {
                if !stopped && cause != Cause::MatesGone {
                    debug!("task {task} on {id} ended: {cause:?}");
                }
                job.requeue(task.index, reclaimed);
                if cause == Cause::NoRoom {
                    job.pause_until = job.pause_until.max(now + Span(500));
                }
            }
        }
        if !alone && cause != Cause::Done {
            self.break_gang(now, &task.job, *attempt);
        }
    }

    /// A task is proven to be gone without its worker's word on how it ended.
    fn vanish(&mut self, now: Mono, id: &MachineId, key: &SlotKey, reclaimed: bool) {
        let Some(m) = self.machines.get_mut(id) else { return };
        let Some(slot) = m.slots.remove(key) else { return };
        let run = Order::Run { lot: key.0.to_string(), attempt: key.1 };
        m.outbox.retain(|o| *o != run);
        self.dirty = true;
        if slot.exited() {
            return;
        }
        let (task, attempt) = key;
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        job.unplace(task.index, id, *attempt);
        job.requeue(task.index, reclaimed);
        if job.spec.kind == Kind::Gang {
            self.break_gang(now, &task.job, *attempt);
        }
    }

    /// The rest of a gang's attempt goes; a new attempt starts once all are gone.
    fn break_gang(&mut self, now: Mono, id: &JobId, attempt: Attempt) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.placed.is_empty() {
            // Whatever attempt the last one was of.
            job.gang = None;
            return;
        }
        let Some(g) = job.gang.as_mut().filter(|g| g.attempt == attempt) else { return };
        g.broken = true;
        let placed: Vec<(u32, MachineId, Attempt)> = job.places().map(|(i, m, a)| (i, m.clone(), a)).collect();
        for (index, machine, attempt) in placed {
            if let Some(m) = self.machines.get_mut(&machine) {
                stop_slot(m, &(TaskId { job: id.clone(), index }, attempt), 0.0);
            }
        }
        self.flush_orders(now);
    }

    /// Stops a task, or the whole gang that it belongs to, leaving it time to save.
    fn stop_task(&mut self, id: &MachineId, key: &SlotKey) {
        let Some(job) = self.jobs.get(&key.0.job) else { return };
        let leeway = if job.saves() { job.spec.save_s + 0.5 } else { 0.0 };
        let mut which = vec![(id.clone(), key.clone())];
        if job.spec.kind == Kind::Gang {
            which =
                job.places().map(|(index, m, a)| (m.clone(), (TaskId { job: key.0.job.clone(), index }, a))).collect();
        }
        for (id, k) in which {
            if let Some(m) = self.machines.get_mut(&id) {
                stop_slot(m, &k, leeway);
            }
        }
    }

    /// The cloud takes the machine soon: what can save does, what can't finish starts elsewhere.
    fn drain(&mut self, now: Mono, id: &MachineId, left_s: f64) {
        let Some(m) = self.machines.get(id) else { return };
        let go: Vec<SlotKey> = m
            .slots
            .iter()
            .filter(|(_, s)| !s.exited() && s.stop.is_none())
            .filter(|((task, _), s)| {
                let ran = s.running_since.map(|t| (now - t).as_secs());
                let left = ran.map_or(f64::INFINITY, |r| s.run_s - r);
                let service = self.jobs.get(&task.job).is_some_and(|j| j.spec.kind == Kind::Service);
                service || left > left_s * 0.7
            })
            .map(|(k, _)| k.clone())
            .collect();
        for k in go {
            self.stop_task(id, &k);
        }
    }

    /// Sends what is in the outboxes of machines that have no orders under way.
    fn flush_orders(&mut self, now: Mono) {
        for (id, m) in &mut self.machines {
            if m.outbox.is_empty() || m.in_flight.is_some() || m.fencing || m.doomed || !m.up {
                continue;
            }
            // Clears can wait for the next report.
            if m.outbox.iter().all(|o| matches!(o, Order::Clear { .. })) {
                continue;
            }
            let mut orders: Vec<Order> = std::mem::take(&mut m.outbox);
            // Room first: what ends goes before what starts.
            orders.sort_by_key(|o| match o {
                Order::Clear { .. } => 0,
                Order::Stop { .. } => 1,
                Order::Run { .. } => 2,
            });
            let baton = Baton::new(self.term, m.fence);
            let mut runs = Vec::new();
            for o in &orders {
                if let Order::Run { lot, attempt } = o
                    && let Some(task) = TaskId::parse(lot)
                {
                    let key = (task, *attempt);
                    if let Some(s) = m.slots.get_mut(&key) {
                        s.sent = Some(Sent { baton, answered: false });
                    }
                    runs.push(key);
                }
            }
            self.tickets += 1;
            m.in_flight = Some(self.tickets);
            self.orders.insert(self.tickets, (id.clone(), runs));
            let body = DirectOrdersBody { baton, shift: m.shift, orders };
            self.actions.push(Action::Orders { ticket: self.tickets, endpoint: m.endpoint.clone(), body });
        }
        let _ = now;
    }

    // ---- time

    pub fn tick(&mut self, now: Mono, wall: Wall) {
        self.expire(now);
        self.look_after_machines(now);
        self.write(now);
        let due = Span(self.tuning.round_ms as u64);
        self.move_shares(now);
        self.use_reservations(now);
        self.consolidate(now);
        self.close_round(now);
        if self.open_round.is_none() && now - self.round_at >= due && (self.dirty || now - self.round_at >= Span(1_000))
        {
            self.round(now, wall);
        }
        self.flush_orders(now);
    }

    /// Past its lease a worker that nobody answered has killed everything.
    fn expire(&mut self, now: Mono) {
        let lease = self.p.lease.stretched() + Span(300);
        let mut dead = Vec::new();
        for (id, m) in &mut self.machines {
            // Before this leader, answers may have been given until it took office.
            let answered = m.last_report.max(self.since);
            if now - answered <= lease {
                continue;
            }
            if !m.accounted {
                m.accounted = true;
                self.dirty = true;
            }
            if !m.slots.is_empty() {
                dead.push(id.clone());
            }
        }
        for id in dead {
            let Some(m) = self.machines.get_mut(&id) else { continue };
            info!("machine {id} is silent past its lease, tasks={}", m.slots.len());
            // Messages of the ended session that come late mean nothing any more.
            m.shift.0 += 1;
            m.tally.0 = 0;
            m.outbox.clear();
            let spot = m.spot;
            let keys: Vec<SlotKey> = m.slots.keys().cloned().collect();
            for k in keys {
                self.vanish(now, &id, &k, spot);
            }
        }
    }

    fn look_after_machines(&mut self, now: Mono) {
        let quiet = self.quiet();
        let up = self.machines.values().filter(|m| m.up && m.commission == Commission::Yes).count();
        let silent =
            self.machines.values().filter(|m| m.commission == Commission::Yes && now - m.last_report > quiet).count();
        // Many silent at once: a cut, or a leader just come to office, rather than dead machines.
        let many = silent > 2 && silent * 3 > up;
        let silent_after = self.p.lease.times(if many { 3.0 } else { 0.55 });
        let mut returns: Vec<MachineId> = Vec::new();
        let mut idle: Vec<MachineId> = Vec::new();
        for (id, m) in &mut self.machines {
            let busy = m.busy();
            let t_gpus = self.types[m.kind].gpus > 0.0;
            if !m.doomed {
                let t = &self.types[m.kind];
                let boot = Span::secs((t.boot_s * 5.0).max(60.0)) + self.p.list_lag;
                let in_office = now - self.since;
                let silent = now - m.last_report.max(self.since);
                if !m.up && m.commission == Commission::No && now - m.since > boot {
                    info!("machine {id} has not come up and goes back");
                    m.doomed = true;
                } else if m.commission == Commission::Yes && silent > silent_after && in_office > silent_after {
                    info!("machine {id} is silent for {:.1} s and goes back", silent.as_secs());
                    m.doomed = true;
                } else if m.up && !busy && m.accounted && (m.notice || (m.errors >= 2 && m.sick_until > now)) {
                    m.doomed = true;
                }
            }
            if busy || !m.accounted {
                m.idle_since = None;
            } else if m.up && !m.doomed {
                let since = *m.idle_since.get_or_insert(now);
                // GPU machines boot slowly and are few, so they stay longer.
                let factor = if t_gpus { self.tuning.gpu_idle_factor } else { 1.0 };
                if now - since > Span::secs(self.tuning.idle_s * factor) && m.outbox.is_empty() && m.in_flight.is_none()
                {
                    idle.push(id.clone());
                }
            }
            if m.doomed && !m.returning && m.return_after <= now {
                returns.push(id.clone());
            }
        }
        for id in idle {
            if let Some(m) = self.machines.get_mut(&id) {
                info!("machine {id} is idle and goes back");
                m.doomed = true;
                returns.push(id);
            }
        }
        returns.truncate(100);
        if !returns.is_empty() {
            for id in &returns {
                if let Some(m) = self.machines.get_mut(id) {
                    m.returning = true;
                }
            }
            self.actions.push(Action::Return(returns));
        }
    }

    /// Machines that should report but don't, and how many should.
    pub fn silent_machines(&self, now: Mono) -> (Vec<String>, usize) {
        let limit = self.quiet();
        let ours = || self.machines.iter().filter(|(_, m)| m.commission == Commission::Yes && !m.doomed);
        let silent = ours().filter(|(_, m)| now - m.last_report.max(self.since) > limit);
        (silent.map(|(id, _)| id.to_string()).collect(), ours().count())
    }

    /// A worker that hasn't reported for longer gets no new tasks.
    fn quiet(&self) -> Span {
        self.p.report.times(2.0) + Span(500)
    }

    // ---- cloud

    /// The cloud has carried out a return, or it isn't known.
    pub fn on_returned(&mut self, now: Mono, ids: &[MachineId], ok: bool) {
        for id in ids {
            if !ok {
                if let Some(m) = self.machines.get_mut(id) {
                    m.returning = false;
                    m.return_after = now + Span(1_000);
                }
                continue;
            }
            let Some(m) = self.machines.get(id) else { continue };
            let keys: Vec<SlotKey> = m.slots.keys().cloned().collect();
            let (spot, commissioned) = (m.spot, m.commission != Commission::No);
            for k in keys {
                self.vanish(now, id, &k, spot);
            }
            self.machines.remove(id);
            self.gone.insert(id.clone());
            if commissioned {
                self.forget.insert(id.clone());
            }
            self.dirty = true;
        }
        while self.gone.len() > 4096 {
            self.gone.pop_first();
        }
    }

    pub fn on_list(&mut self, now: Mono, list: &[ListedMachine]) {
        for l in list {
            let Some(id) = MachineId::parse(&l.id) else { continue };
            if self.gone.contains(&id) {
                continue;
            }
            if l.phase == ListPhase::Failed {
                // Stopped of its own accord; returning it proves that nothing is left on it.
                let place = self.place_of(&l.kind, &l.zone);
                if let (None, Some((kind, zone))) = (self.machines.get(&id), place) {
                    let m = Machine::new(String::new(), kind, zone, l.spot, now);
                    self.machines.insert(id.clone(), m);
                }
                if let Some(m) = self.machines.get_mut(&id) {
                    m.doomed = true;
                }
                continue;
            }
            if self.machines.contains_key(&id) {
                self.unseen.remove(&id);
                continue;
            }
            let Some((kind, zone)) = self.place_of(&l.kind, &l.zone) else { continue };
            let mut m = Machine::new(l.endpoint.clone().unwrap_or_default(), kind, zone, l.spot, now);
            // Its age may reach back to before this process began.
            m.since = Mono(now.0.saturating_sub(Span::secs(l.age_s).0));
            if l.phase == ListPhase::Running {
                // It may be gone already, as the list is late, or about to report.
                let first = *self.unseen.entry(id.clone()).or_insert(now);
                if now - first < Span(60_000) + self.p.list_lag {
                    continue;
                }
                m.doomed = true;
                self.unseen.remove(&id);
            }
            info!("machine {id} is in the cloud's list: kind={} zone={}", l.kind, l.zone);
            self.machines.insert(id, m);
            self.dirty = true;
        }
    }

    pub fn on_rented(&mut self, now: Mono, hire: &str, result: RentResult) {
        let Some(r) = self.rentals.requests.get_mut(hire) else { return };
        let market = r.market;
        match result {
            RentResult::Rented(names) => {
                let asked = r.number as usize;
                self.rentals.requests.remove(hire);
                info!("rented {} of {asked}: {}", names.len(), self.describe(market));
                if names.len() < asked {
                    self.rentals.refused(market, now);
                } else {
                    self.rentals.granted(market);
                }
                for id in names.iter().filter_map(|n| MachineId::parse(n)) {
                    if !self.gone.contains(&id) {
                        self.machines
                            .entry(id)
                            .or_insert_with(|| Machine::new(String::new(), market.kind, market.zone, market.spot, now));
                    }
                }
            }
            RentResult::NoCapacity => {
                info!("no capacity: {}", self.describe(market));
                self.rentals.requests.remove(hire);
                self.rentals.refused(market, now);
            }
            RentResult::Malformed => {
                warn!("the cloud finds a request malformed: {}", self.describe(market));
                self.rentals.requests.remove(hire);
                self.rentals.refused(market, now);
            }
            RentResult::Unknown => {
                // The same name again rents nothing twice.
                r.in_flight = false;
                r.again_at = now + Span(2_000);
            }
        }
        self.dirty = true;
    }

    fn describe(&self, m: Market) -> String {
        format!("kind={} zone={} spot={}", self.types[m.kind].name, self.zones[m.zone as usize], m.spot)
    }

    fn rent(&mut self, now: Mono, wishes: &[Wish]) {
        let mut loads: BTreeMap<Market, f64> = BTreeMap::new();
        for w in wishes {
            let m = Market { kind: w.kind as usize, zone: w.zone, spot: w.spot };
            if m.kind < self.types.len() && (m.zone as usize) < self.zones.len() {
                *loads.entry(m).or_default() += w.load.clamp(0.0, 1.0);
            }
        }
        for (market, load) in loads {
            let number = ((load - 1e-6).ceil().max(1.0) as u32).min(50);
            if !self.rentals.has_room() || !self.rentals.open(market, now) {
                continue;
            }
            self.hires += 1;
            let name = format!("w{}-{}", self.term, self.hires);
            let request = Request { market, number, in_flight: false, again_at: now };
            self.rentals.requests.insert(name, request);
        }
        let mut send = Vec::new();
        for (name, r) in &mut self.rentals.requests {
            if !r.in_flight && r.again_at <= now {
                r.in_flight = true;
                send.push(RentRequest {
                    hire: name.clone(),
                    kind: self.types[r.market.kind].name.clone(),
                    zone: self.zones[r.market.zone as usize].clone(),
                    spot: r.market.spot,
                    number: r.number,
                });
            }
        }
        self.actions.extend(send.into_iter().map(Action::Rent));
    }

    // ---- state service

    fn own_guard(&self) -> Guard {
        Guard { path: LEADER_KEY.into(), stamp: self.term.0 }
    }

    fn commit(&mut self, purpose: Purpose, txn: Txn) {
        self.tickets += 1;
        self.tokens -= txn.apply.len() as f64;
        self.commits.insert(self.tickets, purpose);
        self.actions.push(Action::Commit { ticket: self.tickets, txn });
    }

    /// Writes what must be durable, most urgent first, within the share of writes.
    fn write(&mut self, now: Mono) {
        let dt = (now - self.tokens_at).as_secs();
        self.tokens = (self.tokens + dt * self.p.write_rps).min(self.p.write_rps);
        self.tokens_at = now;
        if now < self.commit_pause || self.commits.len() >= 6 {
            return;
        }
        // Machines before their first order.
        let fleet_busy = self.commits.values().any(|p| matches!(p, Purpose::Fleet { .. }));
        if self.tokens >= 1.0 && !fleet_busy {
            let mut apply = Vec::new();
            let mut commission = Vec::new();
            for (id, m) in &mut self.machines {
                if apply.len() < self.p.txn_ops && m.up && m.commission == Commission::No && !m.doomed {
                    m.commission = Commission::Writing;
                    let record = FleetRecord {
                        endpoint: m.endpoint.clone(),
                        kind: self.types[m.kind].name.clone(),
                        zone: self.zones[m.zone as usize].clone(),
                        spot: m.spot,
                    };
                    apply.push(Change::write(fleet_key(id), serde_json::json!(record)));
                    commission.push(id.clone());
                }
            }
            let room = self.p.txn_ops - apply.len();
            let forget: Vec<MachineId> = self.forget.iter().take(room).cloned().collect();
            apply.extend(forget.iter().map(|id| Change::drop(fleet_key(id))));
            if !apply.is_empty() {
                let txn = Txn { guards: vec![self.own_guard()], apply };
                self.commit(Purpose::Fleet { commission, forget }, txn);
            }
        }
        // Jobs whose tasks are all done.
        let finish: Vec<JobId> =
            self.jobs.iter().filter(|(_, j)| j.all_done() && !j.finishing).map(|(id, _)| id.clone()).take(8).collect();
        for id in finish {
            if self.tokens < 1.0 || self.commits.len() >= 6 {
                break;
            }
            let guard = self.own_guard();
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.finishing = true;
            let record = OverRecord { phase: JobPhase::Done, tasks: job.spec.tasks };
            let guards = vec![guard, Guard { path: live_key(&id), stamp: job.stamp.0 }];
            let apply = vec![Change::drop(live_key(&id)), Change::write(over_key(&id), serde_json::json!(record))];
            self.commit(Purpose::Finish(id), Txn { guards, apply });
        }
        // Done tasks, so that workers may forget them: the more jobs, the more seldom.
        let dirty: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.done_count > 0 && !j.all_done() && !j.bits_in_flight && j.durable != j.done)
            .map(|(id, _)| id.clone())
            .collect();
        let every = Span::secs((dirty.len() as f64 / (self.p.write_rps * 0.4)).max(1.5));
        if !dirty.is_empty() && now - self.bits_at >= every && self.tokens >= 2.0 {
            self.bits_at = now;
            let room = self.p.txn_ops.min(self.tokens as usize);
            let mut apply = Vec::new();
            let mut which = Vec::new();
            for id in dirty {
                let Some(job) = self.jobs.get_mut(&id) else { continue };
                let mut changed: Vec<u32> =
                    job.done.difference(&job.durable).map(|i| i as u32 / self.p.chunk).collect();
                changed.dedup();
                if apply.len() + changed.len() > room && !apply.is_empty() {
                    break;
                }
                changed.truncate(room);
                let mut durable = job.durable.clone();
                for c in changed {
                    let from = (c * self.p.chunk) as usize;
                    let to = (from + self.p.chunk as usize).min(job.done.len());
                    job.done.ones().filter(|i| (from..to).contains(i)).for_each(|i| durable.insert(i));
                    let value = encode_bits(&job.done, c, self.p.chunk);
                    apply.push(Change::write(format!("{BITS}{id}/{c}"), value));
                }
                job.bits_in_flight = true;
                which.push((id, durable));
                if apply.len() >= room {
                    break;
                }
            }
            let txn = Txn { guards: vec![self.own_guard()], apply };
            self.commit(Purpose::Bits(which), txn);
        } else if self.shares_dirty && self.tokens >= self.p.write_rps * 0.7 && self.commits.is_empty() {
            self.shares_dirty = false;
            let value = serde_json::json!(self.shares.kept(&self.team_names));
            let txn = Txn { guards: vec![self.own_guard()], apply: vec![Change::write(SHARES_KEY, value)] };
            self.commit(Purpose::Shares, txn);
        } else if !self.stray_bits.is_empty() && self.tokens >= self.p.write_rps * 0.7 && self.commits.is_empty() {
            let n = self.stray_bits.len().min(self.p.txn_ops).min(4);
            let apply = self.stray_bits.drain(..n).map(Change::drop).collect();
            let txn = Txn { guards: vec![self.own_guard()], apply };
            self.commit(Purpose::Tidy, txn);
        }
    }

    pub fn on_committed(&mut self, now: Mono, ticket: u64, result: CommitResult) {
        let Some(purpose) = self.commits.remove(&ticket) else { return };
        let ok = result == CommitResult::Done;
        if result == CommitResult::Failed {
            self.commit_pause = now + Span(300);
        }
        self.dirty = true;
        match purpose {
            Purpose::Fleet { commission, forget } => {
                for id in commission {
                    if let Some(m) = self.machines.get_mut(&id) {
                        m.commission = if ok { Commission::Yes } else { Commission::No };
                    } else if ok {
                        self.forget.insert(id);
                    }
                }
                if ok {
                    for id in forget {
                        self.forget.remove(&id);
                    }
                }
            }
            Purpose::Bits(jobs) => {
                for (id, durable) in jobs {
                    let Some(job) = self.jobs.get_mut(&id) else { continue };
                    job.bits_in_flight = false;
                    if !ok {
                        continue;
                    }
                    job.durable = durable;
                    for m in self.machines.values_mut() {
                        let clear: Vec<SlotKey> = m
                            .slots
                            .iter()
                            .filter(|((t, _), s)| t.job == id && s.exited() && job.durable.contains(t.index as usize))
                            .map(|(k, _)| k.clone())
                            .collect();
                        for (task, attempt) in clear {
                            m.order(Order::Clear { lot: task.to_string(), attempt });
                        }
                    }
                }
            }
            Purpose::Finish(id) => match result {
                CommitResult::Done => {
                    info!("job {id} is done");
                    self.on_over(now, &id);
                }
                // The job's key has changed: cancelled, or an earlier try was carried out. The
                // watch says which; until then nothing of it is started, as all is done.
                CommitResult::Conflict(_) => {}
                CommitResult::Failed => {
                    if let Some(j) = self.jobs.get_mut(&id) {
                        j.finishing = false;
                    }
                }
            },
            Purpose::Shares => self.shares_dirty |= !ok,
            Purpose::Tidy => {}
        }
    }

    // ---- rounds

    /// Starts a round: each controller plans for the teams of its share, all on the same view.
    fn round(&mut self, now: Mono, wall: Wall) {
        self.round_at = now;
        self.dirty = false;
        self.rounds += 1;
        let (input, jobs, machines) = self.view(now, wall);
        let mut missing: BTreeMap<String, Vec<u32>> = BTreeMap::new();
        let mut own = Vec::new();
        for j in &input.jobs {
            self.shares.note_load(j.team, j.ready);
            match self.shares.planner(j.team, now) {
                Some(peer) => missing.entry(peer.into()).or_default().push(j.key),
                None => own.push(j.key),
            }
        }
        for (node, keys) in &missing {
            self.actions.push(Action::Plan { node: node.clone(), input: part(&input, keys) });
        }
        let outputs = vec![miser::plan(&part(&input, &own))];
        let until = now + PATIENCE;
        self.open_round = Some(Round { input, jobs, machines, outputs, missing, until });
        self.close_round(now);
    }

    /// A peer's plan. One of another round, term or version is dropped.
    pub fn on_plan(&mut self, now: Mono, node: &str, plan: Option<PlanOutput>) {
        let Some(round) = &mut self.open_round else { return };
        match plan {
            Some(p) if (p.version, p.term, p.round) == (VERSION, self.term.0, round.input.round) => {
                if round.missing.remove(node).is_some() {
                    round.outputs.push(p);
                    self.shares.heard(node, now);
                }
            }
            Some(p) => debug!("a plan of {node} is of round {} of term {}", p.round, p.term),
            None => round.until = now,
        }
        self.close_round(now);
    }

    /// Commits the round once all parts are there, or the leader has planned the missing ones.
    fn close_round(&mut self, now: Mono) {
        if self.open_round.as_ref().is_none_or(|r| !r.missing.is_empty() && now < r.until) {
            return;
        }
        let Some(mut round) = self.open_round.take() else { return };
        for (node, keys) in std::mem::take(&mut round.missing) {
            debug!("{node} is silent, its share is planned here");
            self.shares.silent(&node);
            round.outputs.push(miser::plan(&part(&round.input, &keys)));
        }
        let mut out = PlanOutput::default();
        for o in round.outputs {
            out.placements.extend(o.placements);
            out.wishes.extend(o.wishes);
            out.waiting.extend(o.waiting);
        }
        // The parts were planned apart: where they clash, the more urgent job goes first.
        let urgency = |job: u32| {
            let j = round.input.jobs.get(job as usize);
            j.map_or((u32::MAX, true), |j| (j.priority, !j.guaranteed))
        };
        out.placements.sort_by_key(|p| urgency(p.job));
        out.waiting.sort_by_key(|w| urgency(w.job));
        self.carry_out(now, &round.input, &out, &round.jobs, &round.machines);
    }

    pub fn peer_answered(&mut self, now: Mono, node: &str) {
        self.shares.heard(node, now);
    }

    fn move_shares(&mut self, now: Mono) {
        for (team, from, to) in self.shares.rebalance(now) {
            info!("share moved: team={} from={from} to={to}", self.team_names[team as usize]);
            self.shares_dirty = true;
        }
    }

    /// The fleet and the ready tasks as the planner sees them, with what its keys stand for.
    fn view(&mut self, now: Mono, wall: Wall) -> (PlanInput, Vec<(JobId, bool)>, Vec<Option<MachineId>>) {
        let quiet = self.quiet();
        let types: Vec<TypeView> = self.types.iter().map(type_view).collect();
        let mut machines = Vec::new();
        let mut machine_ids = Vec::new();
        let mut used: BTreeMap<u32, Amount> = BTreeMap::new();
        // What machines that are not accounted for may hold of any team.
        let mut dark = Amount::default();
        let mut all_accounted = true;
        let mut cpus_up = 0.0;
        for (id, m) in &self.machines {
            let t = &self.types[m.kind];
            for s in m.slots.values().filter(|s| !s.exited()) {
                match s.team {
                    Some(team) => used.entry(team).or_default().add(&s.need),
                    None => dark.add(&Amount::of_type(t)),
                }
            }
            if !m.accounted {
                dark.add(&Amount::of_type(t));
                all_accounted = false;
            }
            let usable = m.usable(now, quiet);
            let booting = !m.up && !m.doomed && m.commission == Commission::No;
            let settling = m.up && !m.doomed && m.accounted && m.commission != Commission::Yes;
            if !usable && !booting && !settling {
                continue;
            }
            if usable {
                cpus_up += t.cpus;
            }
            let mut free = m.free(t);
            self.reserved(id).for_each(|r| free.sub(&r.need));
            let spare = self.spare(m);
            let age = (now - m.since).as_secs();
            let ready_s = if usable {
                0.0
            } else if settling {
                0.3
            } else {
                (t.boot_s - age).max(3.0)
            };
            machines.push(MachineView {
                key: machine_ids.len() as u32,
                kind: m.kind as u32,
                zone: m.zone,
                spot: m.spot,
                up: usable,
                ready_s,
                age_s: age,
                free_cpus: free.cpus,
                free_gpus: free.gpus,
                free_memory_gb: free.memory_gb,
                images: m
                    .images
                    .iter()
                    .map(|(i, _)| ImageView { image: *i, ready_s: m.image_ready(*i, now).unwrap_or(0.0) })
                    .collect(),
                slowness: m.slowness,
                spare_cpus: spare.cpus,
                spare_memory_gb: spare.memory_gb,
            });
            machine_ids.push(Some(id.clone()));
        }
        for r in self.rentals.requests.values() {
            let t = &self.types[r.market.kind];
            for _ in 0..r.number {
                machines.push(MachineView {
                    key: machine_ids.len() as u32,
                    kind: r.market.kind as u32,
                    zone: r.market.zone,
                    spot: r.market.spot,
                    ready_s: t.boot_s,
                    free_cpus: t.cpus,
                    free_gpus: t.gpus,
                    free_memory_gb: t.memory_gb,
                    slowness: 1.0,
                    ..Default::default()
                });
                machine_ids.push(None);
            }
        }
        let offers = self.offers(now);
        let guaranteed = self.guaranteed();
        let mut teams = Vec::new();
        for (i, t) in self.settings.cluster.teams.iter().enumerate() {
            let u = used.get(&(i as u32)).copied().unwrap_or_default();
            let left = |most: f64, used: f64, dark: f64| {
                if most > 0.0 { (most - used - dark).max(0.0) } else { 1e12 }
            };
            teams.push(TeamLeft {
                team: i as u32,
                cpus: left(t.cpus_max, u.cpus, dark.cpus),
                gpus: left(t.gpus_max, u.gpus, dark.gpus),
            });
        }
        let mut backlog = 0.0;
        for j in self.jobs.values() {
            backlog += j.ready.len() as f64 * j.spec.cpus * self.times.expect(&j.spec.class, j.spec.estimate_s);
        }
        let drain_s = if cpus_up > 0.0 { backlog / cpus_up } else { f64::INFINITY };
        let mut jobs = Vec::new();
        let mut job_ids = Vec::new();
        for (id, j) in &self.jobs {
            // A job from before this leader may have tasks on machines not accounted for.
            let old = j.stamp.0 <= self.term.0;
            if j.ready.is_empty() || j.pause_until > now || (old && !all_accounted) || j.finishing {
                continue;
            }
            if j.spec.kind == Kind::Gang && (j.gang.is_some() || !j.placed.is_empty()) {
                continue;
            }
            let next = self.images.len() as u32;
            let image = *self.images.entry(j.spec.image.clone()).or_insert(next);
            let reclaimed = j.reclaimed.iter().filter(|i| j.ready.contains(i)).count() as u32;
            let reserved = self.reservations.iter().filter(|r| r.job == *id).count() as u32;
            let ready = (j.ready.len() as u32).saturating_sub(reserved);
            if ready == 0 || (j.spec.kind == Kind::Gang && reserved > 0) {
                continue;
            }
            let reclaimed = reclaimed.min(ready);
            let age = wall_age(wall, j.submitted);
            let run_s = match j.spec.kind {
                Kind::Service => self.tuning.service_horizon_s,
                _ => self.times.expect(&j.spec.class, j.spec.estimate_s).max(0.1),
            };
            // An aim on starting that can still be met is a deadline too.
            let aim = self.settings.start_aim(&j.spec.class, guaranteed.contains(id));
            let aim = aim.filter(|a| *a > age).map(|a| a - age + run_s);
            let due_s = j.spec.deadline_s.map(|d| d - age).into_iter().chain(aim).reduce(f64::min);
            let base = JobView {
                team: j.team,
                priority: priority_number(j.spec.priority),
                gang: j.spec.kind == Kind::Gang,
                tasks: j.spec.tasks,
                cpus: j.spec.cpus,
                gpus: j.spec.gpus,
                memory_gb: j.spec.memory_gb,
                image,
                image_gb: j.spec.image_gb,
                types: match &j.spec.types {
                    None => Vec::new(),
                    Some(l) => {
                        let mut known: Vec<u32> = l
                            .iter()
                            .filter_map(|n| self.types.iter().position(|t| t.name == *n))
                            .map(|i| i as u32)
                            .collect();
                        if known.is_empty() {
                            known.push(u32::MAX);
                        }
                        known
                    }
                },
                zone: j
                    .spec
                    .zone
                    .as_ref()
                    .map(|z| self.zones.iter().position(|o| o == z).map_or(u32::MAX, |i| i as u32)),
                one_zone: j.spec.one_zone,
                spread: j.spec.spread,
                spot: j.spec.spot,
                new_spot: j.spec.spot && !j.no_new_spot,
                run_s,
                due_s,
                goal_s: {
                    let aim = j.spec.deadline_s.or_else(|| self.settings.finish_aim(&j.spec.class, age));
                    aim.map(|d| d - age)
                },
                service: j.spec.kind == Kind::Service,
                age_s: age,
                overspent: j.overspent,
                placed: zone_counts(j, &self.machines),
                avoid: machine_ids
                    .iter()
                    .enumerate()
                    .filter(|(_, m)| m.as_ref().is_some_and(|m| j.error_machines.contains(m) && !j.at_fault()))
                    .map(|(i, _)| i as u32)
                    .collect(),
                guaranteed: guaranteed.contains(id),
                may_rent: !j.at_fault() && (j.spec.priority <= Priority::High || drain_s > 8.0),
                ..Default::default()
            };
            if base.gang || reclaimed == 0 || reclaimed == ready {
                let new_spot = base.new_spot && reclaimed == 0;
                jobs.push(JobView { key: job_ids.len() as u32, ready, new_spot, ..base });
                job_ids.push((id.clone(), reclaimed > 0));
            } else {
                jobs.push(JobView { key: job_ids.len() as u32, ready: ready - reclaimed, ..base.clone() });
                job_ids.push((id.clone(), false));
                let key = job_ids.len() as u32;
                jobs.push(JobView { key, ready: reclaimed, new_spot: false, ..base });
                job_ids.push((id.clone(), true));
            }
        }
        // Batches widen with the load.
        let wanted: u32 = jobs.iter().map(|j| j.ready).sum();
        let batch = (wanted / 4).clamp(self.tuning.batch_min as u32, self.tuning.batch_max as u32);
        let input = PlanInput {
            version: VERSION,
            term: self.term.0,
            round: self.rounds,
            types,
            machines,
            jobs,
            teams,
            offers,
            batch,
            budget_share: self.tuning.budget_share,
            spot_mu: self.spot_lives.mu,
            spot_sigma: self.spot_lives.sigma,
        };
        (input, job_ids, machine_ids)
    }

    fn offers(&self, now: Mono) -> Vec<Offer> {
        let mut offers = Vec::new();
        for (kind, t) in self.types.iter().enumerate() {
            for zone in t.zones.iter().filter_map(|z| self.zones.iter().position(|o| o == z)) {
                for spot in [false, true] {
                    let market = Market { kind, zone: zone as u32, spot };
                    let asked = self.rentals.requests.values().any(|r| r.market == market);
                    if self.rentals.open(market, now) && !asked && self.rentals.has_room() {
                        offers.push(Offer { kind: kind as u32, zone: zone as u32, spot, most: 50 });
                    }
                }
            }
        }
        offers
    }

    /// Jobs that fit into their team's guarantee together with the team's earlier ones.
    fn guaranteed(&self) -> BTreeSet<JobId> {
        let mut by_team: BTreeMap<u32, Vec<(&JobId, &Job)>> = BTreeMap::new();
        for (id, j) in &self.jobs {
            by_team.entry(j.team).or_default().push((id, j));
        }
        let mut set = BTreeSet::new();
        for (team, mut jobs) in by_team {
            let Some(t) = self.settings.cluster.teams.get(team as usize) else { continue };
            if t.cpus <= 0.0 && t.gpus <= 0.0 {
                continue;
            }
            jobs.sort_by_key(|(id, j)| (j.submitted, (*id).clone()));
            let (mut cpus, mut gpus) = (0.0, 0.0);
            for (id, j) in jobs {
                let n = f64::from(j.spec.tasks);
                cpus += n * j.spec.cpus;
                gpus += n * j.spec.gpus;
                if cpus <= t.cpus + 1e-9 && gpus <= t.gpus + 1e-9 {
                    set.insert(id.clone());
                }
            }
        }
        set
    }

    /// Checks a plan against the ledger and commits what still holds.
    fn carry_out(
        &mut self,
        now: Mono,
        input: &PlanInput,
        out: &PlanOutput,
        jobs: &[(JobId, bool)],
        machines: &[Option<MachineId>],
    ) {
        let mut gangs: BTreeMap<u32, Vec<(MachineId, u32)>> = BTreeMap::new();
        for p in &out.placements {
            // Unsigned keys beyond the view are a peer's mistake, and dropped.
            let (Some((job, reclaimed)), Some(Some(machine))) =
                (jobs.get(p.job as usize), machines.get(p.machine as usize))
            else {
                continue;
            };
            let Some(j) = self.jobs.get_mut(job) else { continue };
            j.overspent += p.extra;
            if j.spec.kind == Kind::Gang {
                gangs.entry(p.job).or_default().push((machine.clone(), p.count));
                continue;
            }
            let from = if *reclaimed { &j.reclaimed } else { &j.ready };
            let picked: Vec<u32> = from
                .iter()
                .filter(|i| *reclaimed || !j.reclaimed.contains(i))
                .filter(|i| j.ready.contains(i))
                .take(p.count as usize)
                .copied()
                .collect();
            for index in picked {
                if !self.may_place(now, job, machine, 1.0) {
                    break;
                }
                let attempt = self.next_attempt();
                self.start(now, job, index, machine, attempt);
            }
        }
        for (key, parts) in gangs {
            let (job, _) = &jobs[key as usize];
            let total: u32 = parts.iter().map(|(_, n)| n).sum();
            if self.jobs.get(job).is_some_and(|j| j.spec.tasks == total && j.placed.is_empty() && j.gang.is_none()) {
                self.start_gang(now, job, &parts);
            }
        }
        self.rent(now, &out.wishes);
        self.heed_waiting(now, input, out, jobs);
        self.flush_orders(now);
    }

    fn next_attempt(&mut self) -> Attempt {
        self.attempts += 1;
        Attempt::new(self.term, self.attempts)
    }

    /// The leader's own check of one start, whoever planned it.
    fn may_place(&self, now: Mono, job: &JobId, machine: &MachineId, n: f64) -> bool {
        let mut kept = Amount::default();
        self.reserved(machine).filter(|r| r.job != *job).for_each(|r| kept.add(&r.need));
        let (Some(j), Some(m)) = (self.jobs.get(job), self.machines.get(machine)) else { return false };
        let t = &self.types[m.kind];
        let s = &j.spec;
        let need = Amount { cpus: s.cpus, gpus: s.gpus, memory_gb: s.memory_gb };
        let mut free = m.free(t);
        free.sub(&kept);
        let zone = &self.zones[m.zone as usize];
        let placed = zone_counts(j, &self.machines);
        let here = placed.iter().filter(|z| z.zone == m.zone).map(|z| z.count).sum::<u32>();
        m.usable(now, self.quiet())
            && free.holds(&need)
            && jobs::type_allows(s, t)
            && s.zone.as_ref().is_none_or(|z| z == zone)
            && (s.spot || !m.spot)
            && !(s.spread && here >= s.tasks.div_ceil(2))
            && !(s.one_zone && placed.iter().any(|z| z.zone != m.zone && z.count > 0))
            && self.quota_holds(j, n)
    }

    /// Counts everything possibly on a machine, and all of a machine that isn't accounted for.
    fn quota_holds(&self, j: &Job, n: f64) -> bool {
        let Some(team) = self.settings.cluster.teams.get(j.team as usize) else { return false };
        if team.cpus_max <= 0.0 && team.gpus_max <= 0.0 {
            return true;
        }
        let mut used = Amount::default();
        for m in self.machines.values() {
            for s in m.slots.values().filter(|s| !s.exited() && s.team == Some(j.team)) {
                used.add(&s.need);
            }
            if !m.accounted || m.has_unknown() {
                used.add(&Amount::of_type(&self.types[m.kind]));
            }
        }
        let fits = |most: f64, used: f64, need: f64| most <= 0.0 || used + need * n <= most + 1e-9;
        fits(team.cpus_max, used.cpus, j.spec.cpus) && fits(team.gpus_max, used.gpus, j.spec.gpus)
    }

    fn start_gang(&mut self, now: Mono, job: &JobId, parts: &[(MachineId, u32)]) {
        let attempt = self.next_attempt();
        let Some(j) = self.jobs.get_mut(job) else { return };
        j.gang = Some(GangRun { attempt, broken: false });
        let total = j.spec.tasks;
        let mut index = 0;
        for (machine, n) in parts {
            for _ in 0..*n {
                if !self.may_place(now, job, machine, f64::from(total - index)) {
                    // Nothing was sent yet, so what was entered can be taken back.
                    self.take_back(job);
                    return;
                }
                self.start(now, job, index, machine, attempt);
                index += 1;
            }
        }
    }

    fn take_back(&mut self, job: &JobId) {
        let Some(j) = self.jobs.get_mut(job) else { return };
        j.gang = None;
        let places: Vec<(u32, MachineId, Attempt)> = j.places().map(|(i, m, a)| (i, m.clone(), a)).collect();
        j.placed.clear();
        for (index, machine, attempt) in places {
            let key = (TaskId { job: job.clone(), index }, attempt);
            if let Some(m) = self.machines.get_mut(&machine) {
                m.slots.remove(&key);
                let run = Order::Run { lot: key.0.to_string(), attempt };
                m.outbox.retain(|o| *o != run);
            }
            j.requeue(index, false);
        }
    }

    /// Enters a task in the ledger and queues its order; the ledger always comes first.
    fn start(&mut self, now: Mono, job: &JobId, index: u32, machine: &MachineId, attempt: Attempt) {
        let (Some(j), Some(m)) = (self.jobs.get_mut(job), self.machines.get_mut(machine)) else { return };
        let t = &self.types[m.kind];
        let s = &j.spec;
        let image = self.images.get(&s.image).copied().unwrap_or(u32::MAX);
        let fetch_s = match m.image_ready(image, now) {
            Some(left) => left,
            None => s.image_gb / t.fetch_gb_per_s.max(0.01),
        };
        m.touch_image(image, s.image_gb, t.cache_gb);
        let task = TaskId { job: job.clone(), index };
        let slot = Slot {
            need: Amount { cpus: s.cpus, gpus: s.gpus, memory_gb: s.memory_gb },
            team: Some(j.team),
            priority: s.priority,
            phase: None,
            sent: None,
            placed_at: now,
            running_since: None,
            stop: None,
            image,
            fetch_s,
            run_s: self.times.expect(&s.class, s.estimate_s),
        };
        j.place(index, machine, attempt);
        debug!("start {task} try {attempt} on {machine}");
        m.order(Order::Run { lot: task.to_string(), attempt });
        m.slots.insert((task, attempt), slot);
        m.idle_since = None;
    }

    /// Tasks that found no machine that is up: preemption, and the paper's second fall-back.
    fn heed_waiting(&mut self, now: Mono, input: &PlanInput, out: &PlanOutput, jobs: &[(JobId, bool)]) {
        for w in &out.waiting {
            let Some((id, _)) = jobs.get(w.job as usize) else { continue };
            let Some(view) = input.jobs.get(w.job as usize) else { continue };
            if let Some(j) = self.jobs.get_mut(id) {
                if w.on_spot {
                    let since = *j.spot_wait_since.get_or_insert(now);
                    let due = view.due_s.unwrap_or(2.0 * w.finish_s);
                    let sub = miser::sub_deadline(due, view.run_s, true);
                    let slip = (now - since).as_secs();
                    if !j.no_new_spot && miser::spot_wait_is_over(sub, w.finish_s, slip, self.tuning.spot_window_s) {
                        debug!("job {id} gives up its spot request");
                        j.no_new_spot = true;
                    }
                } else {
                    j.spot_wait_since = None;
                }
            }
            if !(view.priority <= priority_number(Priority::High) || view.guaranteed) {
                continue;
            }
            // Work is only stopped for a job that would start too late otherwise.
            let aim = self.jobs.get(id).and_then(|j| self.settings.start_aim(&j.spec.class, view.guaranteed));
            if aim.is_some_and(|aim| w.ready_s > 0.0 && view.age_s + w.ready_s <= aim) {
                continue;
            }
            for n in 0..w.count.min(64) {
                if !self.make_room(now, id, view) {
                    if view.gang && n > 0 {
                        self.reservations.retain(|r| r.job != *id);
                    }
                    break;
                }
            }
        }
    }

    /// What urgent work without GPUs may still take of a GPU machine.
    fn spare(&self, m: &Machine) -> Amount {
        let mut spare = Amount::of_type(&self.types[m.kind]);
        spare.sub(&self.gpu_needs[m.kind]);
        let fixed = |s: &&Slot| !s.exited() && s.need.gpus <= 0.0 && s.priority <= Priority::High;
        m.slots.values().filter(fixed).for_each(|s| spare.sub(&s.need));
        spare
    }

    fn reserved(&self, id: &MachineId) -> impl Iterator<Item = &Reservation> {
        self.reservations.iter().filter(move |r| r.machine == *id)
    }

    /// Moves replicas off machines that do nothing else, onto machines that are busy anyway, so
    /// that the former can go back. One at a time, and only while nothing waits.
    fn consolidate(&mut self, now: Mono) {
        if now < self.move_at || self.jobs.values().any(|j| !j.ready.is_empty()) || !self.reservations.is_empty() {
            return;
        }
        self.move_at = now + Span(1_000);
        let quiet = self.quiet();
        let share = |m: &Machine| {
            let t = &self.types[m.kind];
            let u = m.used();
            (u.cpus / t.cpus.max(0.1)).max(u.memory_gb / t.memory_gb.max(0.1))
        };
        let is_service = |k: &SlotKey| self.jobs.get(&k.0.job).is_some_and(|j| j.spec.kind == Kind::Service);
        let waste = |m: &Machine| self.types[m.kind].price * (1.0 - share(m));
        let mut sources: Vec<(&MachineId, &Machine)> = self
            .machines
            .iter()
            .filter(|(_, m)| m.usable(now, quiet) && m.in_flight.is_none() && m.busy())
            .filter(|(_, m)| m.slots.iter().all(|(k, s)| !s.exited() && s.stop.is_none() && is_service(k)))
            .filter(|(_, m)| share(m) < 0.5)
            .collect();
        sources.sort_by(|a, b| waste(b.1).total_cmp(&waste(a.1)).then(a.0.cmp(b.0)));
        let mut found = None;
        'search: for (from, source) in sources {
            for (key, slot) in &source.slots {
                let Some(job) = self.jobs.get(&key.0.job) else { continue };
                let mut zones = zone_counts(job, &self.machines);
                zones.iter_mut().filter(|z| z.zone == source.zone).for_each(|z| z.count -= 1);
                let fits = |id: &MachineId, m: &Machine| {
                    let t = &self.types[m.kind];
                    let here = zones.iter().filter(|z| z.zone == m.zone).map(|z| z.count).sum::<u32>();
                    let elsewhere = zones.iter().any(|z| z.zone != m.zone && z.count > 0);
                    id != from
                        && m.usable(now, quiet)
                        && m.busy()
                        && t.gpus <= 0.0
                        && (!m.spot || job.spec.spot)
                        && (share(m) > share(source) || self.types[source.kind].gpus > 0.0)
                        && m.image_ready(slot.image, now) == Some(0.0)
                        && m.free(t).holds(&slot.need)
                        && jobs::type_allows(&job.spec, t)
                        && job.spec.zone.as_ref().is_none_or(|z| *z == self.zones[m.zone as usize])
                        && !(job.spec.spread && here >= job.spec.tasks.div_ceil(2))
                        && !(job.spec.one_zone && elsewhere)
                };
                let to =
                    self.machines.iter().filter(|(id, m)| fits(id, m)).max_by(|a, b| share(a.1).total_cmp(&share(b.1)));
                if let Some((to, _)) = to {
                    found = Some((from.clone(), key.clone(), to.clone(), slot.need));
                    break 'search;
                }
            }
        }
        let Some((from, key, to, need)) = found else { return };
        info!("moving {} from {from} to {to}", key.0);
        let job = key.0.job.clone();
        self.stop_task(&from, &key);
        self.reservations.push(Reservation { machine: to, job, need, until: now + RESERVED_FOR });
    }

    /// Starts what room was kept for, once it is there.
    fn use_reservations(&mut self, now: Mono) {
        self.reservations.retain(|r| r.until > now);
        let mut done: BTreeSet<JobId> = BTreeSet::new();
        let jobs: BTreeSet<JobId> = self.reservations.iter().map(|r| r.job.clone()).collect();
        for job in jobs {
            let Some(j) = self.jobs.get(&job) else {
                done.insert(job);
                continue;
            };
            let machines: Vec<MachineId> =
                self.reservations.iter().filter(|r| r.job == job).map(|r| r.machine.clone()).collect();
            if j.spec.kind == Kind::Gang {
                let idle = j.gang.is_none() && j.placed.is_empty() && j.ready.len() as u32 == j.spec.tasks;
                if !idle || machines.len() as u32 != j.spec.tasks {
                    done.insert(job);
                } else if machines.iter().all(|m| self.may_place(now, &job, m, f64::from(j.spec.tasks))) {
                    let parts: Vec<(MachineId, u32)> = machines.into_iter().map(|m| (m, 1)).collect();
                    self.start_gang(now, &job, &parts);
                    done.insert(job);
                }
                continue;
            }
            for machine in machines {
                let Some(index) = self.jobs.get(&job).and_then(|j| j.ready.first().copied()) else {
                    done.insert(job.clone());
                    break;
                };
                if self.may_place(now, &job, &machine, 1.0) {
                    if let Some(at) = self.reservations.iter().position(|r| r.job == job && r.machine == machine) {
                        self.reservations.remove(at);
                    }
                    let attempt = self.next_attempt();
                    self.start(now, &job, index, &machine, attempt);
                }
            }
        }
        self.reservations.retain(|r| !done.contains(&r.job));
    }

    /// Stops work of lower priority where that makes room for one task. False: nowhere.
    fn make_room(&mut self, now: Mono, id: &JobId, view: &JobView) -> bool {
        let Some(j) = self.jobs.get(id) else { return false };
        let need = Amount { cpus: view.cpus, gpus: view.gpus, memory_gb: view.memory_gb };
        let quiet = self.quiet();
        let mut best: Option<(f64, MachineId, Vec<SlotKey>)> = None;
        for (mid, m) in &self.machines {
            let t = &self.types[m.kind];
            let zone_ok = {
                // Counts what is placed, and what room is being made for.
                let coming = |zone_is: &dyn Fn(u32) -> bool| {
                    let of = self.reservations.iter().filter(|r| r.job == *id);
                    of.filter(|r| self.machines.get(&r.machine).is_some_and(|m| zone_is(m.zone))).count() as u32
                };
                let at = |zone_is: &dyn Fn(u32) -> bool| {
                    view.placed.iter().filter(|z| zone_is(z.zone)).map(|z| z.count).sum::<u32>() + coming(zone_is)
                };
                let here = at(&|z| z == m.zone);
                let elsewhere = at(&|z| z != m.zone) > 0;
                !(view.spread && here >= view.tasks.div_ceil(2) || view.one_zone && elsewhere)
            };
            if !m.usable(now, quiet)
                || !jobs::type_allows(&j.spec, t)
                || view.zone.is_some_and(|z| z != m.zone)
                || (m.spot && !view.spot)
                || !zone_ok
                || j.error_machines.contains(mid)
            {
                continue;
            }
            let mut free = m.free(t);
            self.reserved(mid).for_each(|r| free.sub(&r.need));
            // What is already told to stop will be free soon.
            for s in m.slots.values().filter(|s| !s.exited() && s.stop.is_some()) {
                free.add(&s.need);
            }
            if t.gpus > 0.0 && need.gpus <= 0.0 && !self.spare(m).holds(&Amount { gpus: 0.0, ..need }) {
                continue;
            }
            let mut victims: Vec<(&SlotKey, &Slot)> = m
                .slots
                .iter()
                .filter(|(_, s)| !s.exited() && s.stop.is_none() && priority_number(s.priority) > view.priority)
                .collect();
            victims.sort_by_key(|(_, s)| {
                let ran = s.running_since.map_or(0, |t| (now - t).0);
                (std::cmp::Reverse(priority_number(s.priority)), ran)
            });
            let mut lost = 0.0;
            let mut chosen = Vec::new();
            for (k, s) in victims {
                if free.holds(&need) {
                    break;
                }
                free.add(&s.need);
                lost += 1.0 + s.running_since.map_or(0.0, |t| (now - t).as_secs()) * s.need.cpus.max(1.0);
                chosen.push(k.clone());
            }
            if !free.holds(&need) {
                continue;
            }
            if m.image_ready(view.image, now).is_none() {
                lost += 20.0 * view.image_gb / t.fetch_gb_per_s.max(0.01);
            }
            if view.service && t.gpus > 0.0 && need.gpus <= 0.0 {
                lost += 1e6;
            }
            if best.as_ref().is_none_or(|(b, _, _)| lost < *b) {
                best = Some((lost, mid.clone(), chosen));
            }
        }
        let Some((_, mid, chosen)) = best else { return false };
        if !chosen.is_empty() {
            debug!("making room for {id} on {mid}: tasks={}", chosen.len());
        }
        for k in chosen {
            self.stop_task(&mid, &k);
        }
        self.reservations.push(Reservation { machine: mid, job: id.clone(), need, until: now + RESERVED_FOR });
        true
    }
}

/// The part of a round's view that concerns some of its jobs.
fn part(input: &PlanInput, keys: &[u32]) -> PlanInput {
    let jobs: Vec<JobView> = keys.iter().filter_map(|k| input.jobs.get(*k as usize)).cloned().collect();
    let teams = input.teams.iter().filter(|t| jobs.iter().any(|j| j.team == t.team)).cloned().collect();
    PlanInput { jobs, teams, ..input.clone() }
}

fn type_view(t: &MachineType) -> TypeView {
    TypeView {
        cpus: t.cpus,
        gpus: t.gpus,
        memory_gb: t.memory_gb,
        fetch_gb_per_s: t.fetch_gb_per_s,
        price: t.price,
        spot_price: t.spot_price,
        boot_s: t.boot_s,
    }
}

fn wall_age(now: Wall, then: Wall) -> f64 {
    now.0.saturating_sub(then.0) as f64 / 1000.0
}

/// How many of a job's tasks are possibly in each zone.
fn zone_counts(j: &Job, machines: &BTreeMap<MachineId, Machine>) -> Vec<ZoneCount> {
    if !j.spec.spread && !j.spec.one_zone {
        return Vec::new();
    }
    let mut zones: BTreeMap<u32, u32> = BTreeMap::new();
    for (_, m, _) in j.places() {
        if let Some(m) = machines.get(m) {
            *zones.entry(m.zone).or_default() += 1;
        }
    }
    zones.into_iter().map(|(zone, count)| ZoneCount { zone, count }).collect()
}

/// Tells a worker to stop a task; the ledger keeps it until it is proven gone.
fn stop_slot(m: &mut Machine, key: &SlotKey, leeway: f64) {
    let Some(s) = m.slots.get_mut(key) else { return };
    if s.exited() {
        return;
    }
    s.stop = Some(s.stop.map_or(leeway, |l| l.min(leeway)));
    let run = Order::Run { lot: key.0.to_string(), attempt: key.1 };
    if let Some(at) = m.outbox.iter().position(|o| *o == run) {
        // Not sent yet: the order is turned into nothing, and the next report shows it absent.
        m.outbox.remove(at);
        s.sent = Some(Sent { baton: Baton(0), answered: true });
        return;
    }
    m.order(Order::Stop { lot: key.0.to_string(), attempt: key.1, leeway_s: leeway });
}
