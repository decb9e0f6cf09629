//! Single situations, played against a leader with workers that answer at once.

mod dependencies;
mod digest;
mod leaders;
mod machines;
mod operation_bounds;
mod planning;

use super::planner_view::partition_view;
use super::*;
use crate::config::sample_settings;
use crate::core::records::{BITMAP_PREFIX, TERMINAL_PREFIX, terminal_key};
use crate::ids::{AgentEpoch, LeaseId, SequenceNumber};
use crate::wire::JobSpec;
use serde_json::json;

struct SchedulerHarness {
    scheduler: Scheduler,
    now: u64,
    workers: BTreeMap<String, Heartbeat>,
    /// Where answers and orders don't arrive.
    unreachable: BTreeSet<String>,
    terminated: BTreeSet<String>,
    /// Whose reports don't arrive anywhere.
    unheard: BTreeSet<String>,
    /// The cloud carries out no returns.
    cloud_refuses: bool,
    /// Writes get no answer; they are kept here.
    unanswered_writes: Option<Vec<Transaction>>,
    committed: Vec<Transaction>,
    /// The most work that a tick took.
    longest_tick: CostCounters,
    /// What the state service holds.
    store: BTreeMap<String, (Value, u64)>,
    term: Term,
}

const TERM: Term = Term(100);

fn leader_record() -> LeaderRecord {
    LeaderRecord { node: "plinth-0".into(), incarnation: 1, lease: LeaseId(7) }
}

fn machine_types() -> Vec<MachineType> {
    let t = |name: &str, gpus: f64| MachineType {
        name: name.into(),
        cpus: 8.0,
        gpus,
        memory_gb: 64.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.4,
        boot_s: 10.0,
        zones: vec!["a".into(), "b".into()],
    };
    vec![t("plain", 0.0), t("gpu", 2.0)]
}

fn spec(id: &str, kind: Kind, tasks: u32, cpus: f64) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "any".into(),
        team: "team-b".into(),
        kind,
        priority: Priority::High,
        tasks,
        cpus,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "img".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: kind == Kind::Gang,
        spread: false,
        spot: false,
        estimate_s: 20.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

fn record(i: usize) -> KeyValue {
    let r = MachineRecord { endpoint: format!("w{i}"), kind: "plain".into(), zone: "a".into(), spot: false };
    KeyValue { key: format!("fleet/m-{i:06}"), value: json!(r), revision: 1 }
}

impl SchedulerHarness {
    /// A leader that has just been elected over machines that an earlier one has commissioned.
    fn new(machines: usize) -> SchedulerHarness {
        let tuning = Tuning { gang_reservation_wait_s: 30.0, idle_s: 600.0, ..Tuning::default() };
        let mut leader =
            Scheduler::new(sample_settings(), tuning, machine_types(), TERM, leader_record(), MonotonicTime(0));
        leader.load(
            MonotonicTime(0),
            StoredState { machines: (0..machines).map(record).collect(), ..StoredState::default() },
        );
        let store = (0..machines).map(record).map(|r| (r.key, (r.value, r.revision))).collect();
        let workers = (0..machines).map(|i| (format!("w{i}"), SchedulerHarness::idle_heartbeat(i))).collect();
        SchedulerHarness {
            scheduler: leader,
            now: 0,
            workers,
            unreachable: BTreeSet::new(),
            terminated: BTreeSet::new(),
            unheard: BTreeSet::new(),
            cloud_refuses: false,
            unanswered_writes: None,
            store,
            term: TERM,
            committed: Vec::new(),
            longest_tick: CostCounters::default(),
        }
    }

    fn idle_heartbeat(i: usize) -> Heartbeat {
        Heartbeat {
            machine: format!("m-{i:06}"),
            endpoint: format!("w{i}"),
            kind: "plain".into(),
            zone: "a".into(),
            spot: false,
            agent_epoch: AgentEpoch(1),
            sequence: SequenceNumber(0),
            token: FencingToken(0),
            notice_s: None,
            tasks: Vec::new(),
        }
    }

    fn submit(&mut self, revision: u64, s: JobSpec) -> JobId {
        self.submit_after(revision, s, &[])
    }

    /// A job that awaits others.
    fn submit_after(&mut self, revision: u64, s: JobSpec, depends_on: &[JobId]) -> JobId {
        let depends_on = depends_on.to_vec();
        let id = JobId::parse(&s.id).unwrap();
        let record = json!(LiveRecord { at: WallTime(self.now), spec: s, depends_on });
        self.scheduler.on_job_accepted(&id, &record, Revision(revision));
        self.store.insert(live_key(&id), (record, revision));
        id
    }

    /// A user is told that the job is cancelled; the leader isn't, yet.
    fn cancel(&mut self, id: &JobId) {
        self.store.remove(&live_key(id));
    }

    /// How the state service says that a job has ended.
    fn outcome(&self, id: &JobId) -> Option<JobOutcome> {
        let (record, _) = self.store.get(&terminal_key(id))?;
        Some(serde_json::from_value::<TerminalRecord>(record.clone()).unwrap().outcome())
    }

    fn commit(&mut self, transaction: Transaction) {
        for c in &transaction.mutations {
            match c {
                Mutation::Put { key: write, value, .. } => {
                    self.store.insert(write.clone(), (value.clone(), self.term.0 + 1));
                }
                Mutation::Delete { key: drop } => {
                    self.store.remove(drop);
                }
            }
        }
        self.committed.push(transaction);
    }

    /// The leader ends, and another is elected.
    fn change_leader(&mut self) {
        self.term.0 += 1_000_000;
        let rows = |prefix: &str| -> Vec<KeyValue> {
            let of = self.store.iter().filter(|(k, _)| k.starts_with(prefix));
            of.map(|(k, v)| KeyValue { key: k.clone(), value: v.0.clone(), revision: v.1 }).collect()
        };
        let stored = StoredState {
            live: rows(LIVE_PREFIX),
            bitmaps: rows(BITMAP_PREFIX),
            machines: rows(MACHINE_PREFIX),
            shards: None,
        };
        self.scheduler = Scheduler::new(
            sample_settings(),
            Tuning::default(),
            machine_types(),
            self.term,
            leader_record(),
            MonotonicTime(self.now),
        );
        self.scheduler.load(MonotonicTime(self.now), stored);
    }

    fn execute(r: &mut Heartbeat, orders: &[Order]) {
        for o in orders {
            match o {
                Order::Run { task, attempt } => r.tasks.push(TaskStatus {
                    task: Some(*task),
                    attempt: *attempt,
                    phase: TaskPhase::Running,
                    cause: None,
                    kept: None,
                }),
                Order::Stop { task, attempt, .. } => {
                    SchedulerHarness::exit_task(r, Some(*task), *attempt, Cause::Halted)
                }
                Order::Clear { task, attempt } => r.tasks.retain(|l| l.task != Some(*task) || l.attempt != *attempt),
            }
        }
    }

    fn exit_task(r: &mut Heartbeat, task: Option<TaskId>, attempt: Attempt, cause: Cause) {
        for l in r.tasks.iter_mut().filter(|l| l.task == task && l.attempt == attempt) {
            (l.phase, l.cause) = (TaskPhase::Exited, Some(cause));
        }
    }

    fn heartbeat(&mut self, name: &str) -> bool {
        let Some(r) = self.workers.get_mut(name) else { return false };
        r.sequence.0 += 1;
        let answer = self.scheduler.on_heartbeat(MonotonicTime(self.now), r);
        if let Some(a) = answer.as_ref().filter(|a| a.token >= r.token && !self.unreachable.contains(name)) {
            r.token = a.token;
            SchedulerHarness::execute(r, &a.orders);
        }
        answer.is_some()
    }

    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK_INTERVAL.0;
            let before = self.scheduler.cost_counters();
            self.scheduler.tick(MonotonicTime(self.now), WallTime(self.now));
            let work = self.scheduler.cost_counters().since(&before);
            if work.total() > self.longest_tick.total() {
                self.longest_tick = work;
            }
            if self.now.is_multiple_of(500) {
                for name in self.workers.keys().cloned().collect::<Vec<_>>() {
                    if !self.unheard.contains(&name) {
                        self.heartbeat(&name);
                    }
                }
            }
            for a in self.scheduler.take_effects() {
                let now = MonotonicTime(self.now);
                match a {
                    Effect::Orders { request, endpoint, body } => {
                        let result = match self.workers.get_mut(&endpoint) {
                            Some(r) if !self.unreachable.contains(&endpoint) => {
                                r.sequence.0 += 1;
                                if body.token < r.token || body.agent_epoch != r.agent_epoch {
                                    OrdersResult::Rejected(r.clone())
                                } else {
                                    r.token = body.token;
                                    SchedulerHarness::execute(r, &body.orders);
                                    OrdersResult::Executed(r.clone())
                                }
                            }
                            _ => OrdersResult::Unknown,
                        };
                        self.scheduler.on_orders_result(now, request, result);
                    }
                    Effect::Commit { request, transaction } => match &mut self.unanswered_writes {
                        Some(l) => {
                            l.push(transaction);
                            self.scheduler.on_committed(now, request, CommitOutcome::Unknown);
                        }
                        None => {
                            self.commit(transaction);
                            self.scheduler.on_committed(now, request, CommitOutcome::Committed);
                        }
                    },
                    Effect::RefreshFence(_) => {
                        let next = self
                            .unanswered_writes
                            .is_none()
                            .then(|| Revision(self.scheduler.fence_revision().0 + 1_000));
                        self.scheduler.on_fence_refreshed(now, next);
                    }
                    Effect::Provision(r) => self.scheduler.on_provisioned(now, &r.name, ProvisionOutcome::NoCapacity),
                    Effect::Terminate(ids) => {
                        self.terminated.extend(ids.iter().map(|i| i.to_string()));
                        self.scheduler.on_terminated(now, &ids, !self.cloud_refuses);
                    }
                    Effect::LookUp(ids) => {
                        let outcomes: Vec<_> = ids.iter().filter_map(|id| Some((*id, self.outcome(id)?))).collect();
                        self.scheduler.on_looked_up(now, &outcomes);
                    }
                    Effect::Plan { .. } => {}
                }
            }
        }
    }

    /// The first task that a worker lists completes.
    fn finish_first_task(&mut self, name: &str) {
        let heartbeat = self.workers.get_mut(name).expect("a worker of the harness");
        let first = heartbeat.tasks[0].clone();
        SchedulerHarness::exit_task(heartbeat, first.task, first.attempt, Cause::Done);
    }

    /// The first worker that holds something.
    fn busy_worker(&self) -> String {
        let busy = self.workers.iter().find(|(_, heartbeat)| !heartbeat.tasks.is_empty());
        busy.map(|(name, _)| name.clone()).expect("some worker is busy")
    }

    fn running_count(&self, id: &JobId) -> usize {
        let of = |l: &&TaskStatus| l.phase == TaskPhase::Running && l.task.is_some_and(|t| t.job == *id);
        self.workers.values().flat_map(|r| &r.tasks).filter(of).count()
    }
}
