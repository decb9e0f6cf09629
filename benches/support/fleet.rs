//! A scheduler with simulated workers. Commits succeed immediately, and the cloud has no capacity for new machines.

use crate::worker::{HEARTBEAT_INTERVAL_MS, Worker};
use std::time::{Duration, Instant};
use wallstile::config::{Settings, Tuning};
use wallstile::core::cost::OperationCounts;
use wallstile::core::election::LeaderRecord;
use wallstile::core::machine::{MACHINE_PREFIX, MachineRecord};
use wallstile::core::records::LiveRecord;
use wallstile::core::scheduler::{
    CommitOutcome, Effect, OrdersResult, ProvisionOutcome, Scheduler, StoredState, TICK_INTERVAL,
};
use wallstile::ids::{JobId, LeaseId, Revision, Term};
use wallstile::time::{MonotonicTime, WallTime};
use wallstile::wire::{JobSpec, KeyValue};

/// The kind of an input to the scheduler.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Input {
    Tick,
    Heartbeat,
    /// The result of an effect.
    EffectResult,
}

/// An input to the scheduler, with the processing time and the number of operations that the input took.
pub(crate) struct Observation {
    pub(crate) input: Input,
    pub(crate) duration: Duration,
    pub(crate) operations: OperationCounts,
}

/// A scheduler and its simulated workers.
pub(crate) struct Fleet {
    pub(crate) scheduler: Scheduler,
    pub(crate) workers: Vec<Worker>,
    /// Simulated time, in milliseconds since the leader was elected.
    pub(crate) now_ms: u64,
    /// Number of commits that the scheduler has requested.
    pub(crate) commits: u64,
    /// Revision of the key-value store at the last submission.
    revision: u64,
    /// Observations of the inputs of the current simulation step.
    pub(crate) observations: Vec<Observation>,
}

impl Fleet {
    /// Creates a fleet in which an earlier leader has recorded the first `recorded` machines in the store. Recorded
    /// machines may get tasks once they have sent a heartbeat. The others may get tasks only after the leader has
    /// written their records, which the store's limits slow down.
    pub(crate) fn new(machines: usize, recorded: usize) -> Fleet {
        let settings = Settings::parse(include_str!("../../tests/settings.json")).expect("the sample is valid");
        let record = LeaderRecord { node: settings.name.clone(), incarnation: 1, lease: LeaseId(1) };
        let types = crate::workload::machine_types();
        let mut fleet = Fleet {
            scheduler: Scheduler::new(settings, Tuning::default(), types, Term(1), record, MonotonicTime(0)),
            workers: (0..machines).map(|index| Worker::new(index, machines, index.to_string())).collect(),
            now_ms: 0,
            commits: 0,
            revision: 1,
            observations: Vec::new(),
        };
        fleet.load(recorded);
        fleet
    }

    /// Lets the leader load the state that an earlier leader has stored, with records of the first `recorded` machines.
    fn load(&mut self, recorded: usize) {
        let record_of = |worker: &Worker| {
            let heartbeat = &worker.heartbeat;
            let (endpoint, kind, zone) =
                (heartbeat.endpoint.clone(), heartbeat.machine_type.clone(), heartbeat.zone.clone());
            let record = MachineRecord { endpoint, kind, zone, spot: heartbeat.spot };
            KeyValue {
                key: format!("{MACHINE_PREFIX}{}", heartbeat.machine),
                value: serde_json::json!(record),
                revision: 1,
            }
        };
        let records = self.workers.iter().take(recorded).map(record_of).collect();
        self.scheduler.load(MonotonicTime(0), StoredState { machines: records, ..StoredState::default() });
    }

    pub(crate) fn submit(&mut self, spec: JobSpec) {
        self.revision += 1;
        let id = JobId::parse(&spec.id).expect("a valid id");
        let record =
            serde_json::json!(LiveRecord { submitted_at: WallTime(self.now_ms), spec, depends_on: Vec::new() });
        let revision = Revision(self.revision);
        self.observe(Input::EffectResult, |scheduler| scheduler.on_job_accepted(&id, &record, revision));
    }

    /// Advances the simulated time by one tick interval, passes the tick and the due heartbeats to the scheduler, and
    /// performs the resulting effects. Returns an observation of each input.
    pub(crate) fn step(&mut self) -> Vec<Observation> {
        self.now_ms += TICK_INTERVAL.0;
        let (now, wall) = (MonotonicTime(self.now_ms), WallTime(self.now_ms));
        self.observe(Input::Tick, |scheduler| scheduler.tick(now, wall));
        for index in 0..self.workers.len() {
            let worker = &mut self.workers[index];
            let changed = worker.end_due_tasks(self.now_ms);
            if changed || worker.next_heartbeat_at_ms <= self.now_ms {
                worker.next_heartbeat_at_ms = self.now_ms + HEARTBEAT_INTERVAL_MS;
                let heartbeat = worker.next_heartbeat();
                let response = self.observe(Input::Heartbeat, |scheduler| scheduler.on_heartbeat(now, &heartbeat));
                if let Ok(response) = response {
                    self.workers[index].execute(self.now_ms, response.token, &response.orders);
                }
            }
        }
        let mut effects = self.scheduler.take_effects();
        while !effects.is_empty() {
            effects.into_iter().for_each(|effect| self.perform_effect(effect));
            effects = self.scheduler.take_effects();
        }
        std::mem::take(&mut self.observations)
    }

    /// Performs an effect and passes its result to the scheduler. Effects other than orders, commits and provisioning
    /// requests are dropped.
    fn perform_effect(&mut self, effect: Effect) {
        let now = MonotonicTime(self.now_ms);
        match effect {
            Effect::Orders { request, endpoint, body } => {
                let worker =
                    &mut self.workers[endpoint.parse::<usize>().expect("the endpoint is the index of a worker")];
                worker.execute(self.now_ms, body.token, &body.orders);
                let result = OrdersResult::Executed(worker.next_heartbeat());
                self.observe(Input::EffectResult, |scheduler| scheduler.on_orders_result(now, request, result));
            }
            Effect::Commit { request, .. } => {
                self.commits += 1;
                let outcome = CommitOutcome::Committed(Revision(self.commits));
                self.observe(Input::EffectResult, |scheduler| scheduler.on_committed(now, request, outcome));
            }
            Effect::Provision(request) => {
                self.observe(Input::EffectResult, |scheduler| {
                    scheduler.on_provisioned(now, &request.name, ProvisionOutcome::NoCapacity)
                });
            }
            Effect::RefreshFence(_) => {
                let revision = Revision(self.scheduler.fence_revision().0 + 1);
                self.observe(Input::EffectResult, |scheduler| scheduler.on_fence_refreshed(now, Some(revision)));
            }
            Effect::Terminate(_) | Effect::Plan { .. } | Effect::LookUpOutcomes(_) => {}
        }
    }

    /// Passes an input to the scheduler and records the input's processing time and number of operations.
    pub(crate) fn observe<T>(&mut self, input: Input, process: impl FnOnce(&mut Scheduler) -> T) -> T {
        let (counts_before, started) = (self.scheduler.operation_counts(), Instant::now());
        let output = process(&mut self.scheduler);
        let (duration, operations) = (started.elapsed(), self.scheduler.operation_counts().since(&counts_before));
        self.observations.push(Observation { input, duration, operations });
        output
    }
}
