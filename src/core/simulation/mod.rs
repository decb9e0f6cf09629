//! The leader's core against a slow plain model of everything round it: workers, store and cloud
//! with losses, delays, late orders, hanging machines, crashes and changes of leader. The model
//! knows the truth, and checks the rules of the protocol at every step.

mod checks;
pub(super) mod digest;
mod faults;
mod tests;
mod workers;

use self::digest::Digest;
use super::completion_bitmap::{BitmapLayout, parse_key};
use super::election::{LEADER_KEY, LeaderRecord};
use super::machine::MACHINE_PREFIX;
use super::placement;
use super::records::{
    BITMAP_PREFIX, JobOutcome, LIVE_PREFIX, LiveRecord, TERMINAL_PREFIX, TerminalRecord, live_key, terminal_key,
};
use super::scheduler::{CommitOutcome, Effect, OrdersResult, ProvisionOutcome, Scheduler, StoredState};
use crate::config::{Settings, Tuning, sample_settings};
use crate::ids::{AgentEpoch, Attempt, FencingToken, JobId, LeaseId, Revision, SequenceNumber, TaskId, Term};
use crate::peer::PlanOutput;
use crate::time::{Millis, MonotonicTime, WallTime};
use crate::wire::{
    Cause, Heartbeat, HeartbeatResponse, JobPhase, JobSpec, KeyValue, Kind, MachineType, Mutation, Order, Priority,
    ProvisionRequest, TaskPhase, TaskStatus, Transaction,
};
use fixedbitset::FixedBitSet;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

const STEP: u64 = 50;
const FORWARD_EVERY: u64 = 100;

struct Task {
    phase: TaskPhase,
    cause: Option<Cause>,
    /// When the next phase begins.
    next: u64,
    kept: bool,
}

struct Worker {
    kind: usize,
    zone: usize,
    spot: bool,
    up_at: u64,
    dead: bool,
    /// Executes and says nothing until then.
    hangs_until: u64,
    cut_until: u64,
    /// Its reports arrive, but neither answers nor orders reach it.
    deaf_until: u64,
    /// Its reports reach no controller, while orders reach it.
    mute_until: u64,
    sick: bool,
    agent_epoch: u64,
    sequence: u64,
    token: u64,
    began: u64,
    answered_sent: u64,
    next_heartbeat: u64,
    in_flight: Option<(u64, u64)>,
    tasks: BTreeMap<(TaskId, Attempt), Task>,
    notice_at: Option<u64>,
}

/// Something on its way; delivered when its time has come.
enum Mail {
    Heartbeat {
        worker: usize,
        sent: u64,
        heartbeat: Heartbeat,
    },
    /// Heartbeats that a controller which does not lead has gathered; all go the same way.
    Batch {
        heartbeats: Vec<(usize, u64, Heartbeat)>,
    },
    Answer {
        worker: usize,
        sent: u64,
        agent_epoch: u64,
        answer: HeartbeatResponse,
    },
    Orders {
        leader: u64,
        request: crate::ids::RequestId,
        worker: usize,
        token: FencingToken,
        agent_epoch: AgentEpoch,
        orders: Vec<Order>,
    },
    OrdersResult {
        leader: u64,
        request: crate::ids::RequestId,
        result: OrdersResult,
    },
    Commit {
        leader: u64,
        request: crate::ids::RequestId,
        transaction: Transaction,
    },
    Committed {
        leader: u64,
        request: crate::ids::RequestId,
        result: CommitOutcome,
    },
    FenceRefresh {
        leader: u64,
        transaction: Transaction,
    },
    ReadKey {
        leader: u64,
        transaction: Transaction,
    },
    Rented {
        leader: u64,
        name: String,
        result: ProvisionOutcome,
    },
    Returned {
        leader: u64,
        names: Vec<String>,
        ok: bool,
    },
    Plan {
        leader: u64,
        node: String,
        plan: Option<PlanOutput>,
    },
    LookedUp {
        leader: u64,
        outcomes: Vec<(JobId, JobOutcome)>,
    },
    Watch {
        leader: u64,
        key: String,
        value: Option<(Value, u64)>,
    },
}

pub struct Simulation {
    rng: StdRng,
    now: u64,
    settings: Settings,
    types: Vec<MachineType>,
    store: BTreeMap<String, (Value, u64)>,
    epoch: u64,
    workers: Vec<Worker>,
    mail: Vec<(u64, Mail)>,
    /// Heartbeats that wait at the controller which passes them on.
    gathered: Vec<(usize, u64, Heartbeat)>,
    leader: Option<Scheduler>,
    leader_no: u64,
    next_leader_at: u64,
    provision_requests: BTreeMap<String, Vec<String>>,
    specs: BTreeMap<JobId, JobSpec>,
    /// The jobs that each job awaits, as its user named them.
    depends_on: BTreeMap<JobId, Vec<JobId>>,
    /// What its user has been told is cancelled, and when.
    cancelled: BTreeMap<JobId, u64>,
    really_done: BTreeSet<TaskId>,
    /// Done tasks that their workers were told to forget.
    cleared: BTreeSet<TaskId>,
    /// The share of transactions that get no answer and are carried out after newer ones.
    late_writes: f64,
    /// How likely the leader ends at a step, and for how long there may be none.
    ends: f64,
    away: u64,
    /// How likely a job is called off at a step.
    cancels: f64,
    /// How likely a new job awaits earlier ones.
    pipelines: f64,
    /// The share of heartbeats that reach a controller which passes them on.
    forwarded: f64,
    /// How much longer than usual all mail takes.
    slow: u64,
    next_job: u64,
    faults: bool,
    pub starts: u64,
    pub leaders: u64,
    /// Over all that the leaders put out.
    digest: Digest,
}

fn types() -> Vec<MachineType> {
    let t = |name: &str, cpus: f64, gpus: f64, price: f64| MachineType {
        name: name.into(),
        cpus,
        gpus,
        memory_gb: cpus * 4.0,
        cache_gb: 20.0,
        fetch_gb_per_s: 1.0,
        price,
        spot_price: price / 3.0,
        boot_s: 8.0,
        zones: vec!["a".into(), "b".into()],
    };
    vec![t("small", 8.0, 0.0, 0.5), t("large", 16.0, 2.0, 4.0)]
}

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
        let settings = sample_settings();
        let mut m = Simulation {
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            settings,
            types: types(),
            store: BTreeMap::new(),
            epoch: 0,
            workers: Vec::new(),
            mail: Vec::new(),
            gathered: Vec::new(),
            leader: None,
            leader_no: 0,
            next_leader_at: 0,
            provision_requests: BTreeMap::new(),
            specs: BTreeMap::new(),
            depends_on: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            really_done: BTreeSet::new(),
            cleared: BTreeSet::new(),
            late_writes: 0.0,
            ends: 0.002,
            away: 9_000,
            cancels: 0.01,
            pipelines: 0.2,
            forwarded: 0.5,
            slow: 0,
            next_job: 0,
            faults: true,
            starts: 0,
            leaders: 0,
            digest: Digest::new(),
        };
        for i in 0..5 {
            m.add_worker(i % 2, i % 2, false, 0);
        }
        m
    }

    fn post(&mut self, delay: u64, mail: Mail) {
        self.mail.push((self.now + delay, mail));
    }

    // ---- the store

    fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        let revision = |m: &Simulation, k: &str| m.store.get(k).map_or(0, |v| v.1);
        let failed: Vec<String> = transaction
            .preconditions
            .iter()
            .filter(|g| revision(self, &g.key) != g.revision)
            .map(|g| g.key.clone())
            .collect();
        if !failed.is_empty() {
            return CommitOutcome::Conflict(failed);
        }
        assert!(
            transaction.mutations.len() <= self.settings.cluster.store.max_transaction_ops,
            "too many changes in a transaction"
        );
        self.epoch += 1;
        for c in &transaction.mutations {
            let (key, value) = match c {
                Mutation::Put { key: write, value, .. } => (write, Some(value.clone())),
                Mutation::Delete { key: drop } => (drop, None),
            };
            match &value {
                Some(v) => {
                    assert!(v.to_string().len() as f64 <= self.settings.cluster.store.max_value_kb * 1024.0);
                    self.store.insert(key.clone(), (v.clone(), self.epoch));
                }
                None => {
                    self.store.remove(key);
                }
            }
            if let Some(id) = key.strip_prefix(TERMINAL_PREFIX).and_then(JobId::parse) {
                self.check_over(&id);
            }
            if key.starts_with(LIVE_PREFIX) {
                let (leader, value) = (self.leader_no, value.map(|v| (v, self.epoch)));
                let delay = self.rng.random_range(1..200);
                self.post(delay, Mail::Watch { leader, key: key.clone(), value });
            }
        }
        CommitOutcome::Committed
    }

    fn rows(&self, prefix: &str) -> Vec<KeyValue> {
        let of = self.store.iter().filter(|(k, _)| k.starts_with(prefix));
        of.map(|(k, v)| KeyValue { key: k.clone(), value: v.0.clone(), revision: v.1 }).collect()
    }

    // ---- leaders

    fn elect(&mut self) {
        self.leader_no += 1;
        self.leaders += 1;
        self.epoch += 1;
        let record =
            LeaderRecord { node: "plinth-0".into(), incarnation: self.leader_no, lease: LeaseId(self.leader_no) };
        self.store.insert(LEADER_KEY.into(), (json!(record), self.epoch));
        self.check_done_bits();
        let mut l = Scheduler::new(
            self.settings.clone(),
            Tuning { idle_s: 20.0, gang_reservation_wait_s: 4.0, ..Tuning::default() },
            self.types.clone(),
            Term(self.epoch),
            record,
            MonotonicTime(self.now),
        );
        let stored = StoredState {
            live: self.rows(LIVE_PREFIX),
            bitmaps: self.rows(BITMAP_PREFIX),
            machines: self.rows(MACHINE_PREFIX),
            shards: None,
        };
        l.load(MonotonicTime(self.now), stored);
        self.leader = Some(l);
    }

    fn act(&mut self) {
        let Some(effects) = self.leader.as_mut().map(|l| l.take_effects()) else { return };
        let leader = self.leader_no;
        for a in effects {
            self.digest.effect(&a);
            match a {
                Effect::Orders { request, endpoint, body } => {
                    let worker: usize = endpoint.parse().expect("an endpoint that was reported");
                    let delay = self.delay();
                    if delay > 2_000 {
                        let result = OrdersResult::Unknown;
                        self.post(2_000, Mail::OrdersResult { leader, request, result });
                    }
                    let (token, agent_epoch, orders) = (body.token, body.agent_epoch, body.orders);
                    self.post(delay, Mail::Orders { leader, request, worker, token, agent_epoch, orders });
                }
                Effect::Commit { request, transaction } => {
                    let delay = self.delay();
                    let delay = if self.late() { self.rng.random_range(2_000..12_000) } else { delay };
                    if delay > 1_200 {
                        self.post(1_200, Mail::Committed { leader, request, result: CommitOutcome::Unknown });
                    }
                    self.post(delay, Mail::Commit { leader, request, transaction });
                }
                Effect::RefreshFence(transaction) => {
                    let delay = if self.late() { self.rng.random_range(2_000..12_000) } else { self.delay() };
                    if delay > 1_200 {
                        // The read that follows an unanswered write.
                        self.post(1_200, Mail::ReadKey { leader, transaction: transaction.clone() });
                    }
                    self.post(delay, Mail::FenceRefresh { leader, transaction });
                }
                Effect::Plan { node, input } => {
                    // Peers plan on a view that is old by then, answer late, twice or not at all,
                    // and at times an answer is of another round, or plain wrong.
                    let mut plan = (!self.lost()).then(|| placement::plan(&input));
                    plan.iter().for_each(|plan| self.digest.peer_plan(plan));
                    if let Some(p) = &mut plan
                        && self.faults
                        && self.chance(0.1)
                    {
                        for x in &mut p.placements {
                            x.machine = self.rng.random_range(0..8);
                            x.count = self.rng.random_range(0..30);
                        }
                        p.round -= u64::from(self.chance(0.2));
                    }
                    let delay = self.delay() * 4;
                    if self.chance(0.1) {
                        self.post(delay + 100, Mail::Plan { leader, node: node.clone(), plan: plan.clone() });
                    }
                    self.post(delay, Mail::Plan { leader, node, plan });
                }
                Effect::LookUp(ids) => {
                    let lost = self.lost();
                    let outcomes = ids.iter().filter_map(|id| Some((*id, self.outcome(id)?))).filter(|_| !lost);
                    let outcomes = outcomes.collect();
                    let delay = self.rng.random_range(5..1_400);
                    self.post(delay, Mail::LookedUp { leader, outcomes });
                }
                Effect::Provision(r) => {
                    let result = if self.lost() { ProvisionOutcome::Unknown } else { self.rent(&r) };
                    self.post(200, Mail::Rented { leader, name: r.name, result });
                }
                Effect::Terminate(ids) => {
                    let ok = !self.lost();
                    let names: Vec<String> = ids.iter().map(|i| i.to_string()).collect();
                    for n in &names {
                        let i: usize = n[2..].parse().unwrap();
                        self.workers[i].dead = true;
                        self.workers[i].tasks.clear();
                    }
                    self.post(200, Mail::Returned { leader, names, ok });
                }
            }
        }
    }

    fn rent(&mut self, r: &ProvisionRequest) -> ProvisionOutcome {
        if let Some(names) = self.provision_requests.get(&r.name) {
            return ProvisionOutcome::Provisioned(names.clone());
        }
        if self.workers.iter().filter(|w| !w.dead).count() >= 12 {
            return ProvisionOutcome::NoCapacity;
        }
        let kind = self.types.iter().position(|t| t.name == r.kind).unwrap();
        let zone = self.types[kind].zones.iter().position(|z| *z == r.zone).unwrap();
        let names: Vec<String> = (0..r.number.min(2))
            .map(|_| {
                let up = self.now + self.rng.random_range(100..12_000);
                self.add_worker(kind, zone, r.spot, up)
            })
            .collect();
        self.provision_requests.insert(r.name.clone(), names.clone());
        ProvisionOutcome::Provisioned(names)
    }

    // ---- users

    fn submit(&mut self) {
        self.next_job += 1;
        let id = JobId::parse(&format!("req-{:06}", self.next_job)).unwrap();
        let kind = [Kind::Array, Kind::Array, Kind::Gang, Kind::Service][self.rng.random_range(0..4)];
        let gpu = self.chance(0.2);
        let spec = JobSpec {
            id: id.to_string(),
            class: format!("{kind:?}"),
            team: if self.chance(0.6) { "team-a".into() } else { "team-b".into() },
            kind,
            priority: match kind {
                Kind::Service => Priority::Prod,
                Kind::Gang => Priority::High,
                Kind::Array => [Priority::Normal, Priority::Low][self.rng.random_range(0..2)],
            },
            tasks: if kind == Kind::Array { self.rng.random_range(1..20) } else { self.rng.random_range(1..4) },
            cpus: self.rng.random_range(1..5) as f64,
            gpus: if gpu { 1.0 } else { 0.0 },
            memory_gb: 2.0,
            image: format!("img-{}", self.rng.random_range(0..4)),
            image_gb: 1.0,
            types: if self.chance(0.1) { Some(vec!["large".into()]) } else { None },
            zone: if self.chance(0.1) { Some("a".into()) } else { None },
            one_zone: kind == Kind::Gang && self.chance(0.5),
            spread: kind == Kind::Service,
            spot: kind != Kind::Service && self.chance(0.6),
            estimate_s: 5.0,
            checkpoint_s: if kind == Kind::Gang { 2.0 } else { 0.0 },
            save_s: 0.5,
            deadline_s: None,
        };
        self.specs.insert(id, spec.clone());
        let named = if self.chance(self.pipelines) { self.named_by_new_job(id) } else { Vec::new() };
        self.depends_on.insert(id, named.clone());
        if named.iter().any(|named| self.outcome(named) == Some(JobOutcome::Cancelled)) {
            self.epoch += 1;
            self.store.insert(terminal_key(&id), (json!(TerminalRecord::cancelled(spec.tasks)), self.epoch));
            return;
        }
        let depends_on = named.into_iter().filter(|named| self.outcome(named).is_none()).collect();
        let record = json!(LiveRecord { at: WallTime(self.now), spec, depends_on });
        self.epoch += 1;
        self.store.insert(live_key(&id), (record.clone(), self.epoch));
        let (leader, epoch) = (self.leader_no, self.epoch);
        let delay = self.rng.random_range(1..300);
        self.post(delay, Mail::Watch { leader, key: live_key(&id), value: Some((record, epoch)) });
    }

    fn cancel(&mut self, id: &JobId) {
        let Some((_, _)) = self.store.get(&live_key(id)) else { return };
        let over = TerminalRecord::cancelled(self.specs[id].tasks);
        let revision = self.store[&live_key(id)].1;
        let preconditions = vec![crate::wire::Precondition { key: live_key(id), revision }];
        let mutations = vec![Mutation::delete(live_key(id)), Mutation::put(terminal_key(id), json!(over))];
        let cancelled_before = self.cancelled.insert(*id, self.now);
        if self.commit(&Transaction { preconditions, mutations }) != CommitOutcome::Committed {
            match cancelled_before {
                Some(at) => self.cancelled.insert(*id, at),
                None => self.cancelled.remove(id),
            };
        }
    }

    /// One or two of the latest jobs that end by themselves.
    fn named_by_new_job(&mut self, new: JobId) -> Vec<JobId> {
        let earlier = self.specs.iter().rev().filter(|(id, spec)| **id != new && spec.kind != Kind::Service);
        let earlier: Vec<JobId> = earlier.map(|(id, _)| *id).take(5).collect();
        let count = self.rng.random_range(1..3);
        earlier.into_iter().filter(|_| self.rng.random_bool(0.4)).take(count).collect()
    }

    /// How a job has ended; none: it hasn't.
    fn outcome(&self, id: &JobId) -> Option<JobOutcome> {
        let (value, _) = self.store.get(&terminal_key(id))?;
        serde_json::from_value::<TerminalRecord>(value.clone()).ok().map(|record| record.outcome())
    }

    // ---- the world

    fn deliver(&mut self) {
        let now = self.now;
        let mut due: Vec<(u64, Mail)> = Vec::new();
        let mut rest = Vec::new();
        for (t, m) in std::mem::take(&mut self.mail) {
            if t <= now { due.push((t, m)) } else { rest.push((t, m)) }
        }
        self.mail = rest;
        due.sort_by_key(|(t, _)| *t);
        for (_, m) in due {
            self.deliver_one(m);
            self.act();
        }
    }

    fn deliver_one(&mut self, m: Mail) {
        let now = MonotonicTime(self.now);
        let current = self.leader_no;
        match m {
            // A late heartbeat may still reach a leader that came meanwhile.
            Mail::Heartbeat { worker, sent, heartbeat } => {
                let Some(answer) = self.answer(worker, sent, &heartbeat) else { return };
                if !self.lost() {
                    let delay = self.delay();
                    self.post(delay, answer);
                }
            }
            Mail::Batch { heartbeats } => {
                let answers: Vec<Mail> =
                    heartbeats.iter().filter_map(|(w, sent, r)| self.answer(*w, *sent, r)).collect();
                if !self.lost() {
                    let delay = self.delay();
                    answers.into_iter().for_each(|answer| self.post(delay, answer));
                }
            }
            Mail::Answer { worker, sent, agent_epoch, answer } => {
                let w = &mut self.workers[worker];
                let live = !w.dead && self.now >= w.hangs_until && w.agent_epoch == agent_epoch;
                if !live || self.now - sent > 4_000 || w.in_flight.is_none_or(|(_, s)| s != sent) {
                    return;
                }
                w.in_flight = None;
                if answer.token.0 < w.token {
                    return;
                }
                if answer.token.0 > w.token {
                    w.next_heartbeat = w.next_heartbeat.min(self.now + 500);
                }
                w.token = answer.token.0;
                w.answered_sent = w.answered_sent.max(sent);
                self.execute(worker, &answer.orders);
            }
            Mail::Orders { leader, request, worker, token, agent_epoch, orders } => {
                let w = &self.workers[worker];
                if w.dead || self.now < w.up_at {
                    return;
                }
                if self.now < w.deaf_until {
                    self.post(2_000, Mail::OrdersResult { leader, request, result: OrdersResult::Unknown });
                    return;
                }
                if self.now < w.hangs_until.max(w.cut_until) {
                    // Held back, and delivered after all.
                    let later = w.hangs_until.max(w.cut_until) - self.now + 10;
                    self.post(later, Mail::Orders { leader, request, worker, token, agent_epoch, orders });
                    self.post(2_000, Mail::OrdersResult { leader, request, result: OrdersResult::Unknown });
                    return;
                }
                let w = &mut self.workers[worker];
                let ok = token.0 >= w.token && agent_epoch.0 == w.agent_epoch;
                if ok {
                    w.token = token.0;
                    self.execute(worker, &orders);
                }
                let heartbeat = self.heartbeat(worker);
                if self.lost() {
                    self.post(2_000, Mail::OrdersResult { leader, request, result: OrdersResult::Unknown });
                    return;
                }
                let result = if ok { OrdersResult::Executed(heartbeat) } else { OrdersResult::Rejected(heartbeat) };
                let delay = self.delay();
                if delay > 1_900 {
                    self.post(2_000, Mail::OrdersResult { leader, request, result: OrdersResult::Unknown });
                } else {
                    self.post(delay, Mail::OrdersResult { leader, request, result });
                }
            }
            Mail::OrdersResult { leader, request, result } if leader == current => {
                if let Some(l) = &mut self.leader {
                    l.on_orders_result(now, request, result);
                }
            }
            Mail::Commit { leader, request, transaction } => {
                let result = self.commit(&transaction);
                let result = if self.lost() { CommitOutcome::Unknown } else { result };
                let delay = self.rng.random_range(1..20);
                self.post(delay, Mail::Committed { leader, request, result });
            }
            Mail::FenceRefresh { leader, transaction } => {
                if self.commit(&transaction) == CommitOutcome::Committed {
                    let revision = Revision(self.epoch);
                    if let Some(l) = self.leader.as_mut().filter(|_| leader == current && !self.faults) {
                        l.on_fence_refreshed(now, Some(revision));
                        return;
                    }
                }
                // Answered late, or not at all: read.
                self.post(100, Mail::ReadKey { leader, transaction });
            }
            Mail::ReadKey { leader, transaction } if leader == current => {
                let own = |v: &(Value, u64)| {
                    transaction.mutations.iter().any(|c| matches!(c, Mutation::Put { value, .. } if *value == v.0))
                };
                let revision = self.store.get(LEADER_KEY).filter(|v| own(v)).map(|v| Revision(v.1));
                if let Some(l) = &mut self.leader {
                    l.on_fence_refreshed(now, revision);
                }
            }
            Mail::Committed { leader, request, result } if leader == current => {
                if let Some(l) = &mut self.leader {
                    l.on_committed(now, request, result);
                }
            }
            Mail::Rented { leader, name, result } if leader == current => {
                if let Some(l) = &mut self.leader {
                    l.on_provisioned(now, &name, result);
                }
            }
            Mail::Returned { leader, names, ok } if leader == current => {
                let ids: Vec<_> = names.iter().filter_map(|n| crate::ids::MachineId::parse(n)).collect();
                if let Some(l) = &mut self.leader {
                    l.on_terminated(now, &ids, ok);
                }
            }
            Mail::Plan { leader, node, plan } if leader == current => {
                if let Some(l) = &mut self.leader {
                    l.on_plan(now, &node, plan);
                }
            }
            Mail::LookedUp { leader, outcomes } if leader == current => {
                if let Some(l) = &mut self.leader {
                    l.on_looked_up(now, &outcomes);
                }
            }
            Mail::Watch { leader, key, value } if leader == current => {
                let (Some(l), Some(id)) = (&mut self.leader, key.strip_prefix(LIVE_PREFIX).and_then(JobId::parse))
                else {
                    return;
                };
                match value {
                    Some((v, revision)) => l.on_job_accepted(&id, &v, Revision(revision)),
                    None => l.on_job_terminated(&id, JobOutcome::Unknown),
                }
            }
            _ => {}
        }
    }

    pub fn run(&mut self, secs: u64, calm_secs: u64) {
        let end = (secs + calm_secs) * 1000;
        while self.now < end {
            self.now += STEP;
            self.faults = self.now < secs * 1000;
            if self.leader.is_none() && self.now >= self.next_leader_at {
                self.elect();
            }
            self.trouble();
            if self.faults && self.chance(0.03) {
                self.submit();
            }
            if self.chance(self.cancels)
                && let Some(id) = self.specs.keys().nth(self.rng.random_range(0..self.specs.len().max(1))).cloned()
            {
                self.cancel(&id);
            }
            if !self.faults {
                for w in &mut self.workers {
                    w.sick = false;
                }
            }
            self.deliver();
            self.step_workers();
            if let Some(l) = &mut self.leader {
                if self.now.is_multiple_of(1_000) {
                    for p in ["plinth-1", "plinth-2"] {
                        l.peer_answered(MonotonicTime(self.now), p);
                    }
                }
                l.tick(MonotonicTime(self.now), WallTime(self.now));
            }
            self.act();
            self.check_cancelled();
        }
    }
}
