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
use crate::core::machine::{HeartbeatRoute, MACHINE_PREFIX, Machine, MachineRecord, TaskAttempt};
use crate::core::records::{
    BITMAP_PREFIX, JobOutcome, LIVE_PREFIX, LiveRecord, TERMINAL_PREFIX, TerminalRecord, live_key, terminal_key,
};
use crate::ids::{AgentEpoch, Attempt, FencingToken, LeaseId, SequenceNumber, TaskId};
use crate::time::WallTime;
use crate::wire::{
    Cause, DirectOrders, Heartbeat, HeartbeatResponse, JobSpec, KeyValue, Kind, ListPhase, ListedMachine, Mutation,
    Order, Priority, ProvisionRequest, TaskStatus, Transaction,
};
use serde_json::{Value, json};
use std::collections::BTreeSet;

/// A scheduler with workers that answer at once, a store that commits everything and a cloud without
/// capacity. Troubles are set by name.
struct SchedulerHarness {
    scheduler: Scheduler,
    /// Milliseconds since the first leader was elected.
    now: u64,
    /// Each worker's next heartbeat, by its endpoint.
    workers: BTreeMap<String, Heartbeat>,
    /// Workers that answers and orders don't reach.
    unreachable: BTreeSet<String>,
    /// Machines that the scheduler has terminated.
    terminated: BTreeSet<String>,
    /// Workers whose heartbeats don't arrive anywhere.
    unheard: BTreeSet<String>,
    /// The cloud carries out no terminations.
    cloud_refuses: bool,
    /// Writes get no answer; they are kept here.
    unanswered_writes: Option<Vec<Transaction>>,
    committed: Vec<Transaction>,
    /// The highest cost of a tick.
    longest_tick: OperationCounts,
    /// The key-value store: each value with the revision at which it was written.
    store: BTreeMap<String, (Value, u64)>,
    term: Term,
}

const TERM: Term = Term(100);

fn leader_record() -> LeaderRecord {
    LeaderRecord { node: "plinth-0".into(), incarnation: 1, lease: LeaseId(7) }
}

/// A plain type and one with GPUs, in two zones.
pub(super) fn machine_types() -> Vec<MachineType> {
    let machine_type = |name: &str, gpus: f64| MachineType {
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
    vec![machine_type("plain", 0.0), machine_type("gpu", 2.0)]
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

/// The row of a machine that an earlier leader has registered.
fn record(index: usize) -> KeyValue {
    let record = MachineRecord { endpoint: format!("w{index}"), kind: "plain".into(), zone: "a".into(), spot: false };
    KeyValue { key: format!("fleet/m-{index:06}"), value: json!(record), revision: 1 }
}

impl SchedulerHarness {
    /// A leader that has just been elected over machines that an earlier one has registered.
    fn new(machines: usize) -> SchedulerHarness {
        let tuning = Tuning { gang_reservation_wait_s: 30.0, idle_s: 600.0, ..Tuning::default() };
        let mut leader =
            Scheduler::new(sample_settings(), tuning, machine_types(), TERM, leader_record(), MonotonicTime(0));
        leader.load(
            MonotonicTime(0),
            StoredState { machines: (0..machines).map(record).collect(), ..StoredState::default() },
        );
        let store = (0..machines).map(record).map(|row| (row.key, (row.value, row.revision))).collect();
        let workers =
            (0..machines).map(|index| (format!("w{index}"), SchedulerHarness::idle_heartbeat(index))).collect();
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
            longest_tick: OperationCounts::default(),
        }
    }

    /// Of a worker that has just started and holds no task.
    fn idle_heartbeat(index: usize) -> Heartbeat {
        Heartbeat {
            machine: format!("m-{index:06}"),
            endpoint: format!("w{index}"),
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

    fn submit(&mut self, revision: u64, spec: JobSpec) -> JobId {
        self.submit_after(revision, spec, &[])
    }

    /// A job that depends on others.
    fn submit_after(&mut self, revision: u64, spec: JobSpec, depends_on: &[JobId]) -> JobId {
        let depends_on = depends_on.to_vec();
        let id = JobId::parse(&spec.id).unwrap();
        let record = json!(LiveRecord { submitted_at: WallTime(self.now), spec, depends_on });
        self.scheduler.on_job_accepted(&id, &record, Revision(revision));
        self.store.insert(live_key(&id), (record, revision));
        id
    }

    /// A user cancels the job; the leader doesn't know yet.
    fn cancel(&mut self, id: &JobId) {
        self.store.remove(&live_key(id));
    }

    /// How the job has ended, as the store has it.
    fn outcome(&self, id: &JobId) -> Option<JobOutcome> {
        let (record, _) = self.store.get(&terminal_key(id))?;
        Some(serde_json::from_value::<TerminalRecord>(record.clone()).unwrap().outcome())
    }

    fn commit(&mut self, transaction: Transaction) {
        for mutation in &transaction.mutations {
            match mutation {
                Mutation::Put { key, value, .. } => {
                    self.store.insert(key.clone(), (value.clone(), self.term.0 + 1));
                }
                Mutation::Delete { key } => {
                    self.store.remove(key);
                }
            }
        }
        self.committed.push(transaction);
    }

    /// The leader ends, and another is elected.
    fn change_leader(&mut self) {
        self.term.0 += 1_000_000;
        let rows = |prefix: &str| -> Vec<KeyValue> {
            let rows = self.store.iter().filter(|(key, _)| key.starts_with(prefix));
            rows.map(|(key, (value, revision))| KeyValue {
                key: key.clone(),
                value: value.clone(),
                revision: *revision,
            })
            .collect()
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

    fn execute(heartbeat: &mut Heartbeat, orders: &[Order]) {
        for order in orders {
            match order {
                Order::Run { task, attempt } => heartbeat.tasks.push(TaskStatus {
                    task: Some(*task),
                    attempt: *attempt,
                    phase: TaskPhase::Running,
                    cause: None,
                    kept: None,
                }),
                Order::Stop { task, attempt, .. } => {
                    SchedulerHarness::exit_task(heartbeat, Some(*task), *attempt, Cause::Halted);
                }
                Order::Clear { task, attempt } => {
                    heartbeat.tasks.retain(|listed| listed.task != Some(*task) || listed.attempt != *attempt);
                }
            }
        }
    }

    fn exit_task(heartbeat: &mut Heartbeat, task: Option<TaskId>, attempt: Attempt, cause: Cause) {
        let same = |listed: &&mut TaskStatus| listed.task == task && listed.attempt == attempt;
        for listed in heartbeat.tasks.iter_mut().filter(same) {
            (listed.phase, listed.cause) = (TaskPhase::Exited, Some(cause));
        }
    }

    /// A worker sends its heartbeat and executes the orders of the answer. Returns whether it was answered.
    fn heartbeat(&mut self, name: &str) -> bool {
        let Some(heartbeat) = self.workers.get_mut(name) else { return false };
        heartbeat.sequence.0 += 1;
        let answer = self.scheduler.on_heartbeat(MonotonicTime(self.now), heartbeat).ok();
        let reachable = !self.unreachable.contains(name);
        if let Some(answer) = answer.as_ref().filter(|answer| answer.token >= heartbeat.token && reachable) {
            heartbeat.token = answer.token;
            SchedulerHarness::execute(heartbeat, &answer.orders);
        }
        answer.is_some()
    }

    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK_INTERVAL.0;
            self.tick();
            if self.now.is_multiple_of(500) {
                for name in self.workers.keys().cloned().collect::<Vec<_>>() {
                    if !self.unheard.contains(&name) {
                        self.heartbeat(&name);
                    }
                }
            }
            for effect in self.scheduler.take_effects() {
                self.perform(effect);
            }
        }
    }

    fn tick(&mut self) {
        let before = self.scheduler.operation_counts();
        self.scheduler.tick(MonotonicTime(self.now), WallTime(self.now));
        let cost = self.scheduler.operation_counts().since(&before);
        if cost.total() > self.longest_tick.total() {
            self.longest_tick = cost;
        }
    }

    fn perform(&mut self, effect: Effect) {
        let now = MonotonicTime(self.now);
        match effect {
            Effect::Orders { request, endpoint, body } => {
                let result = self.send_orders(&endpoint, &body);
                self.scheduler.on_orders_result(now, request, result);
            }
            Effect::Commit { request, transaction } => match &mut self.unanswered_writes {
                Some(writes) => {
                    writes.push(transaction);
                    self.scheduler.on_committed(now, request, CommitOutcome::Unknown);
                }
                None => {
                    self.commit(transaction);
                    self.scheduler.on_committed(now, request, CommitOutcome::Committed);
                }
            },
            Effect::RefreshFence(_) => {
                let next = || Revision(self.scheduler.fence_revision().0 + 1_000);
                let next = self.unanswered_writes.is_none().then(next);
                self.scheduler.on_fence_refreshed(now, next);
            }
            Effect::Provision(request) => {
                self.scheduler.on_provisioned(now, &request.name, ProvisionOutcome::NoCapacity);
            }
            Effect::Terminate(ids) => {
                self.terminated.extend(ids.iter().map(|id| id.to_string()));
                self.scheduler.on_terminated(now, &ids, !self.cloud_refuses);
            }
            Effect::LookUpOutcomes(ids) => {
                let outcomes: Vec<_> = ids.iter().filter_map(|id| Some((*id, self.outcome(id)?))).collect();
                self.scheduler.on_outcomes_looked_up(now, &outcomes);
            }
            Effect::Plan { .. } => {}
        }
    }

    fn send_orders(&mut self, endpoint: &str, body: &DirectOrders) -> OrdersResult {
        let reachable = !self.unreachable.contains(endpoint);
        let Some(heartbeat) = self.workers.get_mut(endpoint).filter(|_| reachable) else {
            return OrdersResult::Unknown;
        };
        heartbeat.sequence.0 += 1;
        if body.token < heartbeat.token || body.agent_epoch != heartbeat.agent_epoch {
            return OrdersResult::Rejected(heartbeat.clone());
        }
        heartbeat.token = body.token;
        SchedulerHarness::execute(heartbeat, &body.orders);
        OrdersResult::Executed(heartbeat.clone())
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

    /// How many tasks of a job run.
    fn running_count(&self, id: &JobId) -> usize {
        let of_job = |listed: &&TaskStatus| listed.task.is_some_and(|task| task.job == *id);
        let listed = self.workers.values().flat_map(|heartbeat| &heartbeat.tasks).filter(of_job);
        listed.filter(|listed| listed.phase == TaskPhase::Running).count()
    }
}
