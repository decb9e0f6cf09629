//! The leader's core against a slow plain model of everything round it: workers, store and cloud
//! with losses, delays, late orders, hanging machines, crashes and changes of leader. The model
//! knows the truth, and checks the rules of the protocol at every step.

use super::fleet::FLEET;
use super::jobs::{BITS, LIVE, LiveRecord, OVER, OverRecord, chunk_tasks, decode_bits, live_key, over_key};
use super::leader::{Action, CommitResult, Leader, OrdersResult, RentResult, Stored};
use super::leadership::{LEADER_KEY, LeaderRecord};
use super::miser;
use crate::config::{Settings, Tuning, sample_settings};
use crate::ids::{Attempt, FencingToken, JobId, LeaseId, Revision, Sequence, Session, TaskId, Term};
use crate::peer::PlanOutput;
use crate::time::{Mono, Span, Wall};
use crate::wire::{
    Cause, Change, JobPhase, JobSpec, Kind, MachineType, Order, Priority, RentRequest, Report, ReportAnswer, Row,
    TaskPhase, TaskReport, Txn,
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
    session: u64,
    sequence: u64,
    token: u64,
    began: u64,
    answered_sent: u64,
    next_report: u64,
    in_flight: Option<(u64, u64)>,
    tasks: BTreeMap<(TaskId, Attempt), Task>,
    notice_at: Option<u64>,
}

/// Something on its way; delivered when its time has come.
enum Mail {
    Report {
        worker: usize,
        sent: u64,
        report: Report,
    },
    /// Reports that a controller which does not lead has gathered; all go the same way.
    Batch {
        reports: Vec<(usize, u64, Report)>,
    },
    Answer {
        worker: usize,
        sent: u64,
        session: u64,
        answer: ReportAnswer,
    },
    Orders {
        leader: u64,
        ticket: u64,
        worker: usize,
        token: FencingToken,
        session: Session,
        orders: Vec<Order>,
    },
    OrdersResult {
        leader: u64,
        ticket: u64,
        result: OrdersResult,
    },
    Commit {
        leader: u64,
        ticket: u64,
        txn: Txn,
    },
    Committed {
        leader: u64,
        ticket: u64,
        result: CommitResult,
    },
    Reguard {
        leader: u64,
        txn: Txn,
    },
    ReadKey {
        leader: u64,
        txn: Txn,
    },
    Rented {
        leader: u64,
        name: String,
        result: RentResult,
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
    Watch {
        leader: u64,
        key: String,
        value: Option<(Value, u64)>,
    },
}

pub struct Model {
    rng: StdRng,
    now: u64,
    settings: Settings,
    types: Vec<MachineType>,
    store: BTreeMap<String, (Value, u64)>,
    epoch: u64,
    workers: Vec<Worker>,
    mail: Vec<(u64, Mail)>,
    /// Reports that wait at the controller which passes them on.
    gathered: Vec<(usize, u64, Report)>,
    leader: Option<Leader>,
    leader_no: u64,
    next_leader_at: u64,
    requests_made: BTreeMap<String, Vec<String>>,
    specs: BTreeMap<JobId, JobSpec>,
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
    /// The share of reports that reach a controller which passes them on.
    forwarded: f64,
    /// How much longer than usual all mail takes.
    slow: u64,
    next_job: u64,
    faults: bool,
    pub starts: u64,
    pub leaders: u64,
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

impl Model {
    pub fn new(seed: u64) -> Model {
        let settings = sample_settings();
        let mut m = Model {
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
            requests_made: BTreeMap::new(),
            specs: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            really_done: BTreeSet::new(),
            cleared: BTreeSet::new(),
            late_writes: 0.0,
            ends: 0.002,
            away: 9_000,
            cancels: 0.01,
            forwarded: 0.5,
            slow: 0,
            next_job: 0,
            faults: true,
            starts: 0,
            leaders: 0,
        };
        for i in 0..5 {
            m.add_worker(i % 2, i % 2, false, 0);
        }
        m
    }

    fn add_worker(&mut self, kind: usize, zone: usize, spot: bool, up_at: u64) -> String {
        self.workers.push(Worker {
            kind,
            zone,
            spot,
            up_at,
            dead: false,
            hangs_until: 0,
            cut_until: 0,
            deaf_until: 0,
            mute_until: 0,
            sick: false,
            session: 1,
            sequence: 0,
            token: 0,
            began: up_at,
            answered_sent: up_at,
            next_report: up_at,
            in_flight: None,
            tasks: BTreeMap::new(),
            notice_at: None,
        });
        format!("m-{:06}", self.workers.len() - 1)
    }

    fn chance(&mut self, p: f64) -> bool {
        self.rng.random::<f64>() < p
    }

    /// Most mail takes little; some takes long.
    fn delay(&mut self) -> u64 {
        let usual = if self.faults { self.slow } else { 0 };
        match self.faults && self.chance(0.03) {
            true => self.rng.random_range(500..15_000),
            false => self.rng.random_range(1..40 + usual),
        }
    }

    fn post(&mut self, delay: u64, mail: Mail) {
        self.mail.push((self.now + delay, mail));
    }

    fn lost(&mut self) -> bool {
        self.faults && self.chance(0.03)
    }

    // ---- the store

    fn commit(&mut self, txn: &Txn) -> CommitResult {
        let revision = |m: &Model, k: &str| m.store.get(k).map_or(0, |v| v.1);
        let failed: Vec<String> =
            txn.guards.iter().filter(|g| revision(self, &g.path) != g.revision).map(|g| g.path.clone()).collect();
        if !failed.is_empty() {
            return CommitResult::Conflict(failed);
        }
        assert!(txn.apply.len() <= self.settings.cluster.state.txn_ops, "too many changes in a transaction");
        self.epoch += 1;
        for c in &txn.apply {
            let (key, value) = match c {
                Change::Write { write, value, .. } => (write, Some(value.clone())),
                Change::Drop { drop } => (drop, None),
            };
            match &value {
                Some(v) => {
                    assert!(v.to_string().len() as f64 <= self.settings.cluster.state.value_kb * 1024.0);
                    self.store.insert(key.clone(), (v.clone(), self.epoch));
                }
                None => {
                    self.store.remove(key);
                }
            }
            if let Some(id) = key.strip_prefix(OVER).and_then(JobId::parse) {
                self.check_over(&id);
            }
            if key.starts_with(LIVE) {
                let (leader, value) = (self.leader_no, value.map(|v| (v, self.epoch)));
                let delay = self.rng.random_range(1..200);
                self.post(delay, Mail::Watch { leader, key: key.clone(), value });
            }
        }
        CommitResult::Done
    }

    fn check_over(&self, id: &JobId) {
        let record: OverRecord = serde_json::from_value(self.store[&over_key(id)].0.clone()).unwrap();
        if record.phase == JobPhase::Done {
            for index in 0..self.specs[id].tasks {
                let t = TaskId { job: *id, index };
                assert!(self.really_done.contains(&t), "not_done: {t} at {}", self.now);
            }
            assert!(!self.cancelled.contains_key(id), "went_back: {id}");
        }
    }

    fn rows(&self, prefix: &str) -> Vec<Row> {
        let of = self.store.iter().filter(|(k, _)| k.starts_with(prefix));
        of.map(|(k, v)| Row { path: k.clone(), value: v.0.clone(), revision: v.1 }).collect()
    }

    /// What workers were told to forget stays durably done while its job is live.
    fn check_done_bits(&self) {
        let size = chunk_tasks(self.settings.cluster.state.value_kb);
        for task in &self.cleared {
            if !self.store.contains_key(&live_key(&task.job)) {
                continue;
            }
            let mut set = FixedBitSet::with_capacity(self.specs[&task.job].tasks as usize);
            let chunk = task.index / size;
            if let Some((value, _)) = self.store.get(&format!("{BITS}{}/{chunk}", task.job)) {
                assert!(decode_bits(&mut set, chunk, size, value));
            }
            assert!(set.contains(task.index as usize), "{task} was cleared and isn't done at {}", self.now);
        }
    }

    fn late(&mut self) -> bool {
        let share = self.late_writes;
        self.faults && self.chance(share)
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
        let mut l = Leader::new(
            self.settings.clone(),
            Tuning { idle_s: 20.0, gather_s: 4.0, ..Tuning::default() },
            self.types.clone(),
            Term(self.epoch),
            record,
            Mono(self.now),
        );
        let stored = Stored { live: self.rows(LIVE), bits: self.rows(BITS), fleet: self.rows(FLEET), shares: None };
        l.load(Mono(self.now), stored);
        self.leader = Some(l);
    }

    fn act(&mut self) {
        let Some(actions) = self.leader.as_mut().map(|l| l.take_actions()) else { return };
        let leader = self.leader_no;
        for a in actions {
            match a {
                Action::Orders { ticket, endpoint, body } => {
                    let worker: usize = endpoint.parse().expect("an endpoint that was reported");
                    let delay = self.delay();
                    if delay > 2_000 {
                        let result = OrdersResult::Unknown;
                        self.post(2_000, Mail::OrdersResult { leader, ticket, result });
                    }
                    let (token, session, orders) = (body.token, body.session, body.orders);
                    self.post(delay, Mail::Orders { leader, ticket, worker, token, session, orders });
                }
                Action::Commit { ticket, txn } => {
                    let delay = self.delay();
                    let delay = if self.late() { self.rng.random_range(2_000..12_000) } else { delay };
                    if delay > 1_200 {
                        self.post(1_200, Mail::Committed { leader, ticket, result: CommitResult::Unknown });
                    }
                    self.post(delay, Mail::Commit { leader, ticket, txn });
                }
                Action::Reguard(txn) => {
                    let delay = if self.late() { self.rng.random_range(2_000..12_000) } else { self.delay() };
                    if delay > 1_200 {
                        // The read that follows an unanswered write.
                        self.post(1_200, Mail::ReadKey { leader, txn: txn.clone() });
                    }
                    self.post(delay, Mail::Reguard { leader, txn });
                }
                Action::Plan { node, input } => {
                    // Peers plan on a view that is old by then, answer late, twice or not at all,
                    // and at times an answer is of another round, or plain wrong.
                    let mut plan = (!self.lost()).then(|| miser::plan(&input));
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
                Action::Rent(r) => {
                    let result = if self.lost() { RentResult::Unknown } else { self.rent(&r) };
                    self.post(200, Mail::Rented { leader, name: r.name, result });
                }
                Action::Return(ids) => {
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

    fn rent(&mut self, r: &RentRequest) -> RentResult {
        if let Some(names) = self.requests_made.get(&r.name) {
            return RentResult::Rented(names.clone());
        }
        if self.workers.iter().filter(|w| !w.dead).count() >= 12 {
            return RentResult::NoCapacity;
        }
        let kind = self.types.iter().position(|t| t.name == r.kind).unwrap();
        let zone = self.types[kind].zones.iter().position(|z| *z == r.zone).unwrap();
        let names: Vec<String> = (0..r.number.min(2))
            .map(|_| {
                let up = self.now + self.rng.random_range(100..12_000);
                self.add_worker(kind, zone, r.spot, up)
            })
            .collect();
        self.requests_made.insert(r.name.clone(), names.clone());
        RentResult::Rented(names)
    }

    // ---- workers

    fn report(&mut self, i: usize) -> Report {
        let w = &mut self.workers[i];
        w.sequence += 1;
        Report {
            machine: format!("m-{i:06}"),
            endpoint: i.to_string(),
            kind: self.types[w.kind].name.clone(),
            zone: self.types[w.kind].zones[w.zone].clone(),
            spot: w.spot,
            session: Session(w.session),
            sequence: Sequence(w.sequence),
            token: FencingToken(w.token),
            notice_s: w.notice_at.map(|t| t.saturating_sub(self.now) as f64 / 1000.0),
            tasks: w
                .tasks
                .iter()
                .map(|((t, a), x)| TaskReport {
                    task: Some(*t),
                    attempt: *a,
                    phase: x.phase,
                    cause: x.cause,
                    kept: x.kept.then_some(true),
                })
                .collect(),
        }
    }

    fn execute(&mut self, i: usize, orders: &[Order]) {
        for o in orders {
            match o {
                Order::Run { task, attempt } => {
                    let key = (*task, *attempt);
                    if !self.workers[i].tasks.contains_key(&key) {
                        self.check_start(i, &key.0);
                        self.starts += 1;
                        let next = self.now + self.rng.random_range(50..2_000);
                        let t = Task { phase: TaskPhase::Pulling, cause: None, next, kept: false };
                        self.workers[i].tasks.insert(key, t);
                    }
                }
                Order::Stop { task, attempt, leeway_s } => {
                    let key = (*task, *attempt);
                    let saves = self.specs[&key.0.job].checkpoint_s > 0.0;
                    let now = self.now;
                    if let Some(t) = self.workers[i].tasks.get_mut(&key) {
                        if t.phase == TaskPhase::Running && saves && *leeway_s > 0.0 {
                            t.phase = TaskPhase::Flushing;
                            t.next = now + 500;
                        } else if t.phase != TaskPhase::Exited && !(t.phase == TaskPhase::Flushing && *leeway_s > 0.0) {
                            t.phase = TaskPhase::Exited;
                            t.cause = Some(Cause::Halted);
                        }
                    }
                }
                Order::Clear { task, attempt } => {
                    let key = (*task, *attempt);
                    if self.workers[i].tasks.get(&key).is_some_and(|t| t.phase == TaskPhase::Exited) {
                        let t = self.workers[i].tasks.remove(&key);
                        if t.is_some_and(|t| t.cause == Some(Cause::Done)) {
                            self.cleared.insert(*task);
                            self.check_done_bits();
                        }
                    }
                }
            }
        }
    }

    /// The rules at the moment of a start.
    fn check_start(&mut self, i: usize, task: &TaskId) {
        let spec = self.specs[&task.job].clone();
        let (now, w) = (self.now, &self.workers[i]);
        let t = &self.types[w.kind];
        assert!(!w.spot || spec.spot, "wrong_place: {task} on a spot machine");
        assert!(spec.zone.as_ref().is_none_or(|z| *z == t.zones[w.zone]), "wrong_place: zone of {task}");
        assert!(spec.types.as_ref().is_none_or(|l| l.contains(&t.name)), "wrong_place: type of {task}");
        if let Some(at) = self.cancelled.get(&task.job) {
            assert!(now - at < 30_000, "ran_cancelled: {task} starts");
        }
        let team = self.settings.cluster.teams.iter().find(|x| x.name == spec.team).unwrap();
        let mut used = spec.cpus;
        let mut zones = [0; 2];
        zones[w.zone] += 1;
        for (n, o) in self.workers.iter().enumerate().filter(|(_, o)| !o.dead) {
            for ((other, _), x) in &o.tasks {
                if x.phase == TaskPhase::Exited {
                    continue;
                }
                assert!(other != task, "ran_twice: {task} on m-{n:06} and m-{i:06} at {now}");
                let s = &self.specs[&other.job];
                if s.team == spec.team {
                    used += s.cpus;
                }
                if other.job == task.job {
                    zones[o.zone] += 1;
                }
            }
        }
        assert!(team.cpus_max == 0.0 || used <= team.cpus_max + 1e-6, "quota: {used} by {} at {now}", team.name);
        if spec.one_zone {
            assert!(zones.contains(&0), "wrong_place: {task} in two zones at {now}");
        }
        if spec.spread {
            assert!(zones[w.zone] <= spec.tasks.div_ceil(2), "wrong_place: {task} not spread at {now}");
        }
    }

    fn step_workers(&mut self) {
        for i in 0..self.workers.len() {
            let now = self.now;
            let w = &self.workers[i];
            if w.dead || now < w.up_at {
                continue;
            }
            // Hanging or not: a machine that resumes past its lease kills before anything else.
            self.step_lease(i);
            let w = &mut self.workers[i];
            if now < w.hangs_until {
                continue;
            }
            if w.notice_at.is_some_and(|t| t <= now) {
                w.dead = true;
                w.tasks.clear();
                continue;
            }
            let mut ended = Vec::new();
            for ((task, attempt), t) in &mut w.tasks {
                if t.next > now {
                    continue;
                }
                match t.phase {
                    TaskPhase::Pulling => {
                        t.phase = if self.specs[&task.job].kind == Kind::Gang {
                            TaskPhase::Waiting
                        } else {
                            TaskPhase::Running
                        };
                        t.next = now + 2_000 + (attempt.0 * 7919 + u64::from(task.index) * 104_729) % 6_000;
                        if w.sick {
                            t.phase = TaskPhase::Exited;
                            t.cause = Some(Cause::Error);
                        }
                    }
                    TaskPhase::Running if self.specs[&task.job].kind == Kind::Array => {
                        t.phase = TaskPhase::Exited;
                        t.cause = Some(Cause::Done);
                        ended.push(*task);
                    }
                    TaskPhase::Flushing => {
                        t.phase = TaskPhase::Exited;
                        t.cause = Some(Cause::Halted);
                        t.kept = true;
                    }
                    _ => {}
                }
            }
            self.really_done.extend(ended);
            let w = &mut self.workers[i];
            if w.in_flight.is_some_and(|(_, sent)| now - sent > 4_000) {
                w.in_flight = None;
                w.next_report = now + 1_000;
            }
            if w.in_flight.is_none() && now >= w.next_report {
                let report = self.report(i);
                let w = &mut self.workers[i];
                w.in_flight = Some((report.sequence.0, now));
                w.next_report = now + 1_500;
                let cut = now < w.cut_until;
                // A report on its way into a cut comes late or never.
                if cut && self.chance(0.5) || self.lost() || now < self.workers[i].mute_until {
                    continue;
                }
                let delay = if cut { self.rng.random_range(3_000..20_000) } else { self.delay() };
                if self.faults && self.chance(0.05) {
                    // A copy, seconds to well over a lease later; nobody hears an answer to it.
                    let late = self.rng.random_range(1_000..30_000);
                    let copy = report.clone();
                    self.post(late, Mail::Report { worker: i, sent: 0, report: copy });
                }
                if self.chance(self.forwarded) {
                    self.gathered.push((i, now, report));
                } else {
                    self.post(delay, Mail::Report { worker: i, sent: now, report });
                }
            }
        }
        self.step_gangs();
        self.forward();
    }

    /// The controller that passes reports on sends a batch. Batches are lost, late and doubled as a
    /// whole, and that controller restarts.
    fn forward(&mut self) {
        if self.gathered.is_empty() || !self.now.is_multiple_of(FORWARD_EVERY) {
            return;
        }
        let reports = std::mem::take(&mut self.gathered);
        if self.lost() {
            return;
        }
        if self.faults && self.chance(0.03) {
            let late = self.rng.random_range(1_000..30_000);
            let copies = reports.iter().map(|(worker, _, report)| (*worker, 0, report.clone())).collect();
            self.post(late, Mail::Batch { reports: copies });
        }
        let delay = self.delay();
        self.post(delay, Mail::Batch { reports });
    }

    /// What the leader answers to a report, if the answer can reach the worker.
    fn answer(&mut self, worker: usize, sent: u64, report: &Report) -> Option<Mail> {
        let leader = self.leader.as_mut()?;
        let answer = leader.on_report(Mono(self.now), report)?;
        let w = &self.workers[worker];
        let reachable = self.now >= w.cut_until && self.now >= w.deaf_until;
        reachable.then_some(Mail::Answer { worker, sent, session: report.session.0, answer })
    }

    /// Gangs begin when all tasks wait, complete together, and break when one is gone.
    fn step_gangs(&mut self) {
        let mut runs: BTreeMap<(JobId, Attempt), Vec<(usize, TaskId)>> = BTreeMap::new();
        for (i, w) in self.workers.iter().enumerate().filter(|(_, w)| !w.dead) {
            for ((t, a), x) in &w.tasks {
                if self.specs[&t.job].kind == Kind::Gang && x.phase != TaskPhase::Exited {
                    runs.entry((t.job, *a)).or_default().push((i, *t));
                }
            }
        }
        for ((job, a), members) in runs {
            let all = members.len() as u32 == self.specs[&job].tasks;
            let now = self.now;
            let mut phases = Vec::new();
            for (i, t) in &members {
                phases.push(self.workers[*i].tasks[&(*t, a)].phase);
            }
            let begin = all && phases.iter().all(|p| *p == TaskPhase::Waiting);
            let broken = !all && phases.contains(&TaskPhase::Running);
            let done = all
                && members.iter().all(|(i, t)| {
                    let x = &self.workers[*i].tasks[&(*t, a)];
                    x.phase == TaskPhase::Running && x.next <= now
                });
            for (i, t) in &members {
                let x = self.workers[*i].tasks.get_mut(&(*t, a)).unwrap();
                if begin {
                    x.phase = TaskPhase::Running;
                    x.next = now + 4_000;
                } else if done || broken && x.phase == TaskPhase::Running {
                    x.phase = TaskPhase::Exited;
                    x.cause = Some(if done { Cause::Done } else { Cause::MatesGone });
                    if done {
                        self.really_done.insert(*t);
                    }
                }
            }
        }
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
        let record = json!(LiveRecord { at: Wall(self.now), spec });
        self.epoch += 1;
        self.store.insert(live_key(&id), (record.clone(), self.epoch));
        let (leader, epoch) = (self.leader_no, self.epoch);
        let delay = self.rng.random_range(1..300);
        self.post(delay, Mail::Watch { leader, key: live_key(&id), value: Some((record, epoch)) });
    }

    fn cancel(&mut self, id: &JobId) {
        let Some((_, _)) = self.store.get(&live_key(id)) else { return };
        let over = OverRecord { phase: JobPhase::Aborted, tasks: self.specs[id].tasks };
        let revision = self.store[&live_key(id)].1;
        let guards = vec![crate::wire::Guard { path: live_key(id), revision }];
        let apply = vec![Change::drop(live_key(id)), Change::write(over_key(id), json!(over))];
        if self.commit(&Txn { guards, apply }) == CommitResult::Done {
            self.cancelled.insert(*id, self.now);
        }
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
        let now = Mono(self.now);
        let current = self.leader_no;
        match m {
            // A late report may still reach a leader that came meanwhile.
            Mail::Report { worker, sent, report } => {
                let Some(answer) = self.answer(worker, sent, &report) else { return };
                if !self.lost() {
                    let delay = self.delay();
                    self.post(delay, answer);
                }
            }
            Mail::Batch { reports } => {
                let answers: Vec<Mail> = reports.iter().filter_map(|(w, sent, r)| self.answer(*w, *sent, r)).collect();
                if !self.lost() {
                    let delay = self.delay();
                    answers.into_iter().for_each(|answer| self.post(delay, answer));
                }
            }
            Mail::Answer { worker, sent, session, answer } => {
                let w = &mut self.workers[worker];
                let live = !w.dead && self.now >= w.hangs_until && w.session == session;
                if !live || self.now - sent > 4_000 || w.in_flight.is_none_or(|(_, s)| s != sent) {
                    return;
                }
                w.in_flight = None;
                if answer.token.0 < w.token {
                    return;
                }
                if answer.token.0 > w.token {
                    w.next_report = w.next_report.min(self.now + 500);
                }
                w.token = answer.token.0;
                w.answered_sent = w.answered_sent.max(sent);
                self.execute(worker, &answer.orders);
            }
            Mail::Orders { leader, ticket, worker, token, session, orders } => {
                let w = &self.workers[worker];
                if w.dead || self.now < w.up_at {
                    return;
                }
                if self.now < w.deaf_until {
                    self.post(2_000, Mail::OrdersResult { leader, ticket, result: OrdersResult::Unknown });
                    return;
                }
                if self.now < w.hangs_until.max(w.cut_until) {
                    // Held back, and delivered after all.
                    let later = w.hangs_until.max(w.cut_until) - self.now + 10;
                    self.post(later, Mail::Orders { leader, ticket, worker, token, session, orders });
                    self.post(2_000, Mail::OrdersResult { leader, ticket, result: OrdersResult::Unknown });
                    return;
                }
                let w = &mut self.workers[worker];
                let ok = token.0 >= w.token && session.0 == w.session;
                if ok {
                    w.token = token.0;
                    self.execute(worker, &orders);
                }
                let report = self.report(worker);
                if self.lost() {
                    self.post(2_000, Mail::OrdersResult { leader, ticket, result: OrdersResult::Unknown });
                    return;
                }
                let result = if ok { OrdersResult::Executed(report) } else { OrdersResult::Rejected(report) };
                let delay = self.delay();
                if delay > 1_900 {
                    self.post(2_000, Mail::OrdersResult { leader, ticket, result: OrdersResult::Unknown });
                } else {
                    self.post(delay, Mail::OrdersResult { leader, ticket, result });
                }
            }
            Mail::OrdersResult { leader, ticket, result } if leader == current => {
                if let Some(l) = &mut self.leader {
                    l.on_orders_result(now, ticket, result);
                }
            }
            Mail::Commit { leader, ticket, txn } => {
                let result = self.commit(&txn);
                let result = if self.lost() { CommitResult::Unknown } else { result };
                let delay = self.rng.random_range(1..20);
                self.post(delay, Mail::Committed { leader, ticket, result });
            }
            Mail::Reguard { leader, txn } => {
                if self.commit(&txn) == CommitResult::Done {
                    let revision = Revision(self.epoch);
                    if let Some(l) = self.leader.as_mut().filter(|_| leader == current && !self.faults) {
                        l.on_reguarded(now, Some(revision));
                        return;
                    }
                }
                // Answered late, or not at all: read.
                self.post(100, Mail::ReadKey { leader, txn });
            }
            Mail::ReadKey { leader, txn } if leader == current => {
                let own = |v: &(Value, u64)| {
                    txn.apply.iter().any(|c| matches!(c, Change::Write { value, .. } if *value == v.0))
                };
                let revision = self.store.get(LEADER_KEY).filter(|v| own(v)).map(|v| Revision(v.1));
                if let Some(l) = &mut self.leader {
                    l.on_reguarded(now, revision);
                }
            }
            Mail::Committed { leader, ticket, result } if leader == current => {
                if let Some(l) = &mut self.leader {
                    l.on_committed(now, ticket, result);
                }
            }
            Mail::Rented { leader, name, result } if leader == current => {
                if let Some(l) = &mut self.leader {
                    l.on_rented(now, &name, result);
                }
            }
            Mail::Returned { leader, names, ok } if leader == current => {
                let ids: Vec<_> = names.iter().filter_map(|n| crate::ids::MachineId::parse(n)).collect();
                if let Some(l) = &mut self.leader {
                    l.on_returned(now, &ids, ok);
                }
            }
            Mail::Plan { leader, node, plan } if leader == current => {
                if let Some(l) = &mut self.leader {
                    l.on_plan(now, &node, plan);
                }
            }
            Mail::Watch { leader, key, value } if leader == current => {
                let (Some(l), Some(id)) = (&mut self.leader, key.strip_prefix(LIVE).and_then(JobId::parse)) else {
                    return;
                };
                match value {
                    Some((v, revision)) => l.on_live(&id, &v, Revision(revision)),
                    None => l.on_over(&id),
                }
            }
            _ => {}
        }
    }

    fn step_lease(&mut self, i: usize) {
        let lease = Span::secs(self.settings.cluster.workers.lease_s).0;
        let now = self.now;
        let w = &mut self.workers[i];
        if now - w.answered_sent.max(w.began) > lease {
            w.session += 1;
            w.began = now;
            w.tasks.clear();
            w.in_flight = None;
        }
    }

    fn trouble(&mut self) {
        if !self.faults {
            return;
        }
        let n = self.workers.len();
        let i = self.rng.random_range(0..n);
        let until = self.now + self.rng.random_range(1_000..25_000);
        if self.chance(0.01) {
            self.workers[i].hangs_until = until;
        }
        if self.chance(0.01) {
            self.workers[i].cut_until = until;
        }
        if self.chance(0.005) {
            // At times for as long as the history lasts.
            self.workers[i].deaf_until = if self.chance(0.3) { u64::MAX } else { until };
        }
        if self.chance(0.005) {
            self.workers[i].mute_until = until;
        }
        if self.chance(0.003) {
            // Back at once, with a new session.
            let w = &mut self.workers[i];
            w.session += 1;
            w.began = self.now;
            w.tasks.clear();
            w.in_flight = None;
            w.token = 0;
        }
        if self.chance(0.003) {
            self.workers[i].dead = true;
            self.workers[i].tasks.clear();
        }
        if self.chance(0.002) {
            self.workers[i].sick ^= true;
        }
        if self.workers[i].spot && self.chance(0.01) {
            self.workers[i].notice_at.get_or_insert(self.now + 5_000);
        }
        if self.leader.is_some() && self.chance(self.ends) {
            self.leader = None;
            self.next_leader_at = self.now + self.rng.random_range(50..self.away);
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
                        l.peer_answered(Mono(self.now), p);
                    }
                }
                l.tick(Mono(self.now), Wall(self.now));
            }
            self.act();
            self.check_cancelled();
        }
    }

    fn check_cancelled(&self) {
        for (i, w) in self.workers.iter().enumerate().filter(|(_, w)| !w.dead) {
            for ((t, _), x) in &w.tasks {
                if let Some(at) = self.cancelled.get(&t.job) {
                    let gone = x.phase == TaskPhase::Exited || self.now - at <= 30_000;
                    assert!(gone, "ran_cancelled: {t} on m-{i:06} at {}", self.now);
                }
            }
        }
    }

    /// Arrays and gangs that are neither done nor cancelled.
    pub fn unfinished(&self) -> Vec<String> {
        let live = self.store.keys().filter_map(|k| k.strip_prefix(LIVE).and_then(JobId::parse));
        live.filter(|id| self.specs[id].kind != Kind::Service).map(|id| id.to_string()).collect()
    }
}

#[test]
fn the_rules_hold_in_random_histories() {
    let (mut starts, mut leaders) = (0, 0);
    for seed in 0..60 {
        let mut m = Model::new(seed);
        m.run(120, 0);
        starts += m.starts;
        leaders += m.leaders;
    }
    // The histories are worth something only if a lot happens in them.
    assert!(starts > 4_000 && leaders > 150, "starts={starts} leaders={leaders}");
}

/// Histories in which something happens more than usual; how many starts and leaders there were.
fn play(seeds: std::ops::Range<u64>, set: impl Fn(&mut Model)) -> (u64, u64) {
    let (mut starts, mut leaders) = (0, 0);
    for seed in seeds {
        let mut m = Model::new(seed);
        set(&mut m);
        m.run(120, 0);
        starts += m.starts;
        leaders += m.leaders;
    }
    (starts, leaders)
}

#[test]
fn reports_may_all_go_by_way_of_a_controller_that_does_not_lead() {
    let (starts, leaders) = play(600..620, |m| (m.forwarded, m.ends) = (1.0, 0.004));
    assert!(starts > 1_000 && leaders > 80, "starts={starts} leaders={leaders}");
}

#[test]
fn late_transactions_undo_nothing() {
    let (starts, _) = play(200..230, |m| m.late_writes = 0.25);
    assert!(starts > 1_500, "starts={starts}");
}

#[test]
fn ten_leaders_in_two_minutes_break_nothing() {
    let (starts, leaders) = play(300..320, |m| (m.ends, m.away, m.late_writes) = (0.008, 2_000, 0.1));
    assert!(starts > 1_000 && leaders > 200, "starts={starts} leaders={leaders}");
}

#[test]
fn leaders_may_be_away_for_longer_than_a_lease_while_users_cancel() {
    let (starts, leaders) = play(400..420, |m| (m.ends, m.away, m.cancels) = (0.002, 25_000, 0.03));
    assert!(starts > 500 && leaders > 40, "starts={starts} leaders={leaders}");
}

#[test]
fn slow_links_and_more_work_than_room_break_nothing() {
    let (starts, _) = play(500..520, |m| (m.slow, m.cancels) = (1_500, 0.02));
    assert!(starts > 500, "starts={starts}");
}

#[test]
fn every_job_ends_once_troubles_are_over() {
    for seed in 100..106 {
        let mut m = Model::new(seed);
        m.run(60, 400);
        assert!(m.unfinished().is_empty(), "seed {seed}: {:?}", m.unfinished());
    }
}
