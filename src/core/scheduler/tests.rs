//! Tests of the scheduler in single situations, with simulated workers that respond immediately.

mod copies;
mod dependencies;
mod digest;
mod huge_jobs;
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
    DirectOrders, ExitCause, Heartbeat, HeartbeatResponse, JobKind, JobSpec, KeyValue, ListedMachine, MachinePhase,
    Mutation, Order, Priority, ProvisionRequest, TaskStatus, Transaction,
};
use serde_json::{Value, json};
use std::collections::BTreeSet;

/// A scheduler with workers that respond immediately, a store that commits everything, and a cloud without capacity for
/// new machines. Tests inject faults through the fields.
struct SchedulerHarness {
    scheduler: Scheduler,
    /// Simulated time, in milliseconds since the first leader was elected.
    now: u64,
    /// The state of each worker, by the worker's endpoint, in the form of its latest heartbeat.
    workers: BTreeMap<String, Heartbeat>,
    /// Endpoints of workers that neither heartbeat responses nor orders reach.
    inbound_partitioned: BTreeSet<String>,
    /// Names of the machines that the scheduler has asked the cloud to terminate.
    terminated: BTreeSet<String>,
    /// Endpoints of workers whose heartbeats are lost, while orders still reach them.
    outbound_partitioned: BTreeSet<String>,
    /// Whether requests to the cloud to terminate machines fail.
    cloud_refuses_terminations: bool,
    /// If set, transactions are collected in this list instead of being applied, and the leader gets no response to
    /// them.
    unanswered_transactions: Option<Vec<Transaction>>,
    /// Transactions that the store has applied, oldest first.
    committed: Vec<Transaction>,
    /// Operation counts of the tick with the most operations since the last reset of this field.
    max_tick_operations: OperationCounts,
    /// Operation counts of the input of any kind with the most operations since the last reset of this field.
    max_input_operations: OperationCounts,
    /// All direct orders that have reached a worker, with the worker's endpoint, oldest first.
    delivered_orders: Vec<(String, DirectOrders)>,
    /// Contents of the key-value store: the value of each key and the store revision at which the value was written.
    store: BTreeMap<String, (Value, u64)>,
    /// Term of the current leader.
    term: Term,
}

/// Term of the first leader.
const TERM: Term = Term(100);

fn leader_record() -> LeaderRecord {
    LeaderRecord { node: "plinth-0".into(), incarnation: 1, lease: LeaseId(7) }
}

/// Returns two machine types, one without and one with GPUs, both offered in the same two zones.
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

fn spec(id: &str, kind: JobKind, tasks: u32, cpus: f64) -> JobSpec {
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
        allowed_types: None,
        zone: None,
        one_zone: kind == JobKind::Gang,
        spread: false,
        allows_spot: false,
        estimated_run_s: 20.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_s: 0.0,
        deadline_s: None,
    }
}

/// Returns the stored record of a machine that an earlier leader has registered.
fn machine_row(index: usize) -> KeyValue {
    let record = MachineRecord { endpoint: format!("w{index}"), kind: "plain".into(), zone: "a".into(), spot: false };
    KeyValue { key: format!("fleet/m-{index:06}"), value: json!(record), revision: 1 }
}

impl SchedulerHarness {
    /// Creates a harness with a newly elected leader and machines that an earlier leader has registered.
    fn new(machines: usize) -> SchedulerHarness {
        let tuning = Tuning { gang_reservation_wait_s: 30.0, idle_timeout_s: 600.0, ..Tuning::default() };
        let mut leader =
            Scheduler::new(sample_settings(), tuning, machine_types(), TERM, leader_record(), MonotonicTime(0));
        leader.load(
            MonotonicTime(0),
            StoredState { machines: (0..machines).map(machine_row).collect(), ..StoredState::default() },
        );
        let store = (0..machines).map(machine_row).map(|row| (row.key, (row.value, row.revision))).collect();
        let workers =
            (0..machines).map(|index| (format!("w{index}"), SchedulerHarness::idle_heartbeat(index))).collect();
        SchedulerHarness {
            scheduler: leader,
            now: 0,
            workers,
            inbound_partitioned: BTreeSet::new(),
            terminated: BTreeSet::new(),
            outbound_partitioned: BTreeSet::new(),
            cloud_refuses_terminations: false,
            unanswered_transactions: None,
            delivered_orders: Vec::new(),
            store,
            term: TERM,
            committed: Vec::new(),
            max_tick_operations: OperationCounts::default(),
            max_input_operations: OperationCounts::default(),
        }
    }

    /// Creates a harness whose machines are in the zones that `zone_of` gives for their numbers.
    fn in_zones(machines: usize, zone_of: impl Fn(usize) -> &'static str) -> SchedulerHarness {
        let mut harness = SchedulerHarness::new(machines);
        for worker in harness.workers.values_mut() {
            let number: usize = worker.machine[2..].parse().expect("the number of a machine");
            worker.zone = zone_of(number).into();
        }
        let rows = (0..machines).map(|number| {
            let mut row = machine_row(number);
            row.value["zone"] = json!(zone_of(number));
            row
        });
        let (settings, types) = (sample_settings(), machine_types());
        harness.scheduler = Scheduler::new(settings, Tuning::default(), types, TERM, leader_record(), MonotonicTime(0));
        harness.scheduler.load(MonotonicTime(0), StoredState { machines: rows.collect(), ..StoredState::default() });
        harness
    }

    /// Returns the heartbeat of a worker that has just started and has no tasks.
    fn idle_heartbeat(index: usize) -> Heartbeat {
        Heartbeat {
            machine: format!("m-{index:06}"),
            endpoint: format!("w{index}"),
            machine_type: "plain".into(),
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
        self.submit_with_dependencies(revision, spec, &[])
    }

    /// Stores the live record of a job that depends on others, and reports the job to the leader.
    fn submit_with_dependencies(&mut self, revision: u64, spec: JobSpec, depends_on: &[JobId]) -> JobId {
        let depends_on = depends_on.to_vec();
        let id = JobId::parse(&spec.id).unwrap();
        let record = json!(LiveRecord { submitted_at: WallTime(self.now), spec, depends_on });
        self.scheduler.on_job_accepted(&id, &record, Revision(revision));
        self.store.insert(live_key(&id), (record, revision));
        id
    }

    /// Deletes a job's live record, as a user's cancellation does. The leader is not notified.
    fn cancel(&mut self, id: &JobId) {
        self.store.remove(&live_key(id));
    }

    /// Returns the outcome in the job's stored terminal record, or `None` if the job has not ended.
    fn outcome(&self, id: &JobId) -> Option<JobOutcome> {
        let (record, _) = self.store.get(&terminal_key(id))?;
        Some(serde_json::from_value::<TerminalRecord>(record.clone()).unwrap().outcome())
    }

    /// Applies a transaction without checking its preconditions.
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

    /// Replaces the leader by a new leader, which loads the stored cluster state.
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

    fn execute_orders(heartbeat: &mut Heartbeat, orders: &[Order]) {
        for order in orders {
            match order {
                Order::Run { task, attempt } => SchedulerHarness::start_task(heartbeat, *task, *attempt),
                Order::Stop { task, attempt, .. } => {
                    SchedulerHarness::exit_task(heartbeat, Some(*task), *attempt, ExitCause::Halted);
                }
                Order::Clear { task, attempt } => {
                    heartbeat.tasks.retain(|status| status.task != Some(*task) || status.attempt != *attempt);
                }
            }
        }
    }

    /// Starts a task on a worker, unless the worker holds the same attempt in any state.
    fn start_task(heartbeat: &mut Heartbeat, task: TaskId, attempt: Attempt) {
        if heartbeat.tasks.iter().any(|status| status.task == Some(task) && status.attempt == attempt) {
            return;
        }
        heartbeat.tasks.push(TaskStatus {
            task: Some(task),
            attempt,
            phase: TaskPhase::Running,
            cause: None,
            progress_saved: None,
        });
    }

    fn exit_task(heartbeat: &mut Heartbeat, task: Option<TaskId>, attempt: Attempt, cause: ExitCause) {
        let is_attempt = |status: &&mut TaskStatus| status.task == task && status.attempt == attempt;
        for status in heartbeat.tasks.iter_mut().filter(is_attempt) {
            (status.phase, status.cause) = (TaskPhase::Exited, Some(cause));
        }
    }

    /// Sends a worker's next heartbeat. If the leader's response reaches the worker, the worker executes the orders in
    /// the response. Returns whether the leader responded.
    fn send_heartbeat(&mut self, name: &str) -> bool {
        let Some(heartbeat) = self.workers.get_mut(name) else { return false };
        heartbeat.sequence.0 += 1;
        let before = self.scheduler.operation_counts();
        let response = self.scheduler.on_heartbeat(MonotonicTime(self.now), heartbeat).ok();
        let operations = self.scheduler.operation_counts().since(&before);
        self.record_input(operations);
        let reachable = !self.inbound_partitioned.contains(name);
        let Some(heartbeat) = self.workers.get_mut(name) else { return false };
        if let Some(response) = response.as_ref().filter(|response| response.token >= heartbeat.token && reachable) {
            heartbeat.token = response.token;
            SchedulerHarness::execute_orders(heartbeat, &response.orders);
        }
        response.is_some()
    }

    /// Advances the simulated time by `ms` milliseconds: ticks the leader, sends heartbeats, and performs the leader's
    /// effects.
    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK_INTERVAL.0;
            self.tick();
            if self.now.is_multiple_of(500) {
                for name in self.workers.keys().cloned().collect::<Vec<_>>() {
                    if !self.outbound_partitioned.contains(&name) {
                        self.send_heartbeat(&name);
                    }
                }
            }
            for effect in self.scheduler.take_effects() {
                self.perform_effect(effect);
            }
        }
    }

    /// Ticks the leader and updates [`SchedulerHarness::max_tick_operations`].
    fn tick(&mut self) {
        let before = self.scheduler.operation_counts();
        self.scheduler.tick(MonotonicTime(self.now), WallTime(self.now));
        let operations = self.scheduler.operation_counts().since(&before);
        if operations.total() > self.max_tick_operations.total() {
            self.max_tick_operations = operations;
        }
        self.record_input(operations);
    }

    /// Updates [`SchedulerHarness::max_input_operations`].
    fn record_input(&mut self, operations: OperationCounts) {
        if operations.total() > self.max_input_operations.total() {
            self.max_input_operations = operations;
        }
    }

    /// Gives the leader an input, and updates [`SchedulerHarness::max_input_operations`].
    fn give_input(&mut self, input: impl FnOnce(&mut Scheduler)) {
        let before = self.scheduler.operation_counts();
        input(&mut self.scheduler);
        self.record_input(self.scheduler.operation_counts().since(&before));
    }

    fn perform_effect(&mut self, effect: Effect) {
        let now = MonotonicTime(self.now);
        match effect {
            Effect::Orders { request, endpoint, body } => {
                let result = self.send_orders(&endpoint, &body);
                self.give_input(|scheduler| scheduler.on_orders_result(now, request, result));
            }
            Effect::Commit { request, transaction } => match &mut self.unanswered_transactions {
                Some(unanswered) => {
                    unanswered.push(transaction);
                    self.scheduler.on_committed(now, request, CommitOutcome::Unknown);
                }
                None => {
                    self.commit(transaction);
                    let outcome = CommitOutcome::Committed(Revision(self.term.0 + 1));
                    self.scheduler.on_committed(now, request, outcome);
                }
            },
            Effect::RefreshFence(_) => {
                let next_revision = || Revision(self.scheduler.fence_revision().0 + 1_000);
                let next_revision = self.unanswered_transactions.is_none().then(next_revision);
                self.scheduler.on_fence_refreshed(now, next_revision);
            }
            Effect::Provision(request) => {
                self.scheduler.on_provisioned(now, &request.name, ProvisionOutcome::NoCapacity);
            }
            Effect::Terminate(ids) => {
                self.terminated.extend(ids.iter().map(|id| id.to_string()));
                self.scheduler.on_terminated(now, &ids, !self.cloud_refuses_terminations);
            }
            Effect::LookUpOutcomes(ids) => {
                let outcomes: Vec<_> = ids.iter().filter_map(|id| Some((*id, self.outcome(id)?))).collect();
                self.scheduler.on_outcomes_looked_up(now, &outcomes);
            }
            Effect::Plan { .. } => {}
        }
    }

    fn send_orders(&mut self, endpoint: &str, body: &DirectOrders) -> OrdersResult {
        let reachable = !self.inbound_partitioned.contains(endpoint);
        let Some(heartbeat) = self.workers.get_mut(endpoint).filter(|_| reachable) else {
            return OrdersResult::Unknown;
        };
        self.delivered_orders.push((endpoint.into(), body.clone()));
        heartbeat.sequence.0 += 1;
        if body.token < heartbeat.token || body.agent_epoch != heartbeat.agent_epoch {
            return OrdersResult::Rejected(heartbeat.clone());
        }
        heartbeat.token = body.token;
        SchedulerHarness::execute_orders(heartbeat, &body.orders);
        OrdersResult::Executed(heartbeat.clone())
    }

    /// Makes the first task that a worker lists exit as done.
    fn finish_first_task(&mut self, name: &str) {
        self.exit_first_task(name, ExitCause::Done);
    }

    /// Makes the first task that a worker lists exit for this cause.
    fn exit_first_task(&mut self, name: &str, cause: ExitCause) {
        let heartbeat = self.workers.get_mut(name).expect("a worker of the harness");
        let first = heartbeat.tasks[0].clone();
        SchedulerHarness::exit_task(heartbeat, first.task, first.attempt, cause);
    }

    /// Returns the endpoint of the first worker that lists a task.
    fn first_busy_worker(&self) -> String {
        let first_busy = self.workers.iter().find(|(_, heartbeat)| !heartbeat.tasks.is_empty());
        first_busy.map(|(name, _)| name.clone()).expect("some worker is busy")
    }

    /// Returns the number of orders to run a task of the job that have reached workers.
    fn delivered_runs(&self, id: &JobId) -> usize {
        let orders = self.delivered_orders.iter().flat_map(|(_, message)| &message.orders);
        orders.filter(|order| matches!(order, Order::Run { task, .. } if task.job == *id)).count()
    }

    /// Lets all running tasks of all workers complete.
    fn finish_running_tasks(&mut self) {
        let statuses = self.workers.values_mut().flat_map(|heartbeat| &mut heartbeat.tasks);
        for status in statuses.filter(|status| status.phase == TaskPhase::Running) {
            (status.phase, status.cause) = (TaskPhase::Exited, Some(ExitCause::Done));
        }
    }

    /// Returns the number of running tasks of a job, as the workers list them.
    fn running_count(&self, id: &JobId) -> usize {
        let of_job = |status: &&TaskStatus| status.task.is_some_and(|task| task.job == *id);
        let statuses = self.workers.values().flat_map(|heartbeat| &heartbeat.tasks).filter(of_job);
        statuses.filter(|status| status.phase == TaskPhase::Running).count()
    }
}
