//! A scheduler with simulated workers: everything else answers at once, and the cloud has no machines.

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

/// What the scheduler was given.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Input {
    Tick,
    Heartbeat,
    /// The result of an effect.
    EffectResult,
}

/// One input, with the time that it took and its operation counts.
pub(crate) struct Observation {
    pub(crate) input: Input,
    pub(crate) took: Duration,
    pub(crate) cost: OperationCounts,
}

pub(crate) struct Fleet {
    pub(crate) scheduler: Scheduler,
    pub(crate) workers: Vec<Worker>,
    /// Milliseconds since the leader was elected.
    pub(crate) now: u64,
    pub(crate) commits: u64,
    revision: u64,
    observed: Vec<Observation>,
}

impl Fleet {
    /// Of the machines, the first so many are recorded by an earlier leader: those may get tasks once they
    /// have sent a heartbeat, the others after their records are written, at the rate of the key-value store.
    pub(crate) fn new(machines: usize, recorded: usize) -> Fleet {
        let settings = Settings::parse(include_str!("../../tests/settings.json")).expect("the sample is valid");
        let record = LeaderRecord { node: settings.name.clone(), incarnation: 1, lease: LeaseId(1) };
        let types = crate::workload::machine_types();
        let mut fleet = Fleet {
            scheduler: Scheduler::new(settings, Tuning::default(), types, Term(1), record, MonotonicTime(0)),
            workers: (0..machines).map(|index| Worker::new(index, machines, index.to_string())).collect(),
            now: 0,
            commits: 0,
            revision: 1,
            observed: Vec::new(),
        };
        fleet.load(recorded);
        fleet
    }

    /// Loads what an earlier one has recorded.
    fn load(&mut self, machines: usize) {
        let row = |worker: &Worker| {
            let heartbeat = &worker.heartbeat;
            let (endpoint, kind, zone) = (heartbeat.endpoint.clone(), heartbeat.kind.clone(), heartbeat.zone.clone());
            let record = MachineRecord { endpoint, kind, zone, spot: heartbeat.spot };
            KeyValue {
                key: format!("{MACHINE_PREFIX}{}", heartbeat.machine),
                value: serde_json::json!(record),
                revision: 1,
            }
        };
        let fleet = self.workers.iter().take(machines).map(row).collect();
        self.scheduler.load(MonotonicTime(0), StoredState { machines: fleet, ..StoredState::default() });
    }

    pub(crate) fn submit(&mut self, spec: JobSpec) {
        self.revision += 1;
        let id = JobId::parse(&spec.id).expect("a legal id");
        let record = serde_json::json!(LiveRecord { submitted_at: WallTime(self.now), spec, depends_on: Vec::new() });
        self.scheduler.on_job_accepted(&id, &record, Revision(self.revision));
    }

    /// Plays one tick, the heartbeats that are due and all that follows. Returns what it took.
    pub(crate) fn step(&mut self) -> Vec<Observation> {
        self.now += TICK_INTERVAL.0;
        let (now, wall) = (MonotonicTime(self.now), WallTime(self.now));
        self.observe(Input::Tick, |scheduler| scheduler.tick(now, wall));
        for index in 0..self.workers.len() {
            let worker = &mut self.workers[index];
            let changed = worker.step(self.now);
            if changed || worker.next_heartbeat_at <= self.now {
                worker.next_heartbeat_at = self.now + HEARTBEAT_INTERVAL_MS;
                let heartbeat = worker.next_heartbeat();
                let answer = self.observe(Input::Heartbeat, |scheduler| scheduler.on_heartbeat(now, &heartbeat));
                if let Ok(answer) = answer {
                    self.workers[index].execute(self.now, answer.token, &answer.orders);
                }
            }
        }
        let mut effects = self.scheduler.take_effects();
        while !effects.is_empty() {
            effects.into_iter().for_each(|effect| self.perform(effect));
            effects = self.scheduler.take_effects();
        }
        std::mem::take(&mut self.observed)
    }

    fn perform(&mut self, effect: Effect) {
        let now = MonotonicTime(self.now);
        match effect {
            Effect::Orders { request, endpoint, body } => {
                let worker = &mut self.workers[endpoint.parse::<usize>().expect("a worker's number")];
                worker.execute(self.now, body.token, &body.orders);
                let result = OrdersResult::Executed(worker.next_heartbeat());
                self.observe(Input::EffectResult, |scheduler| scheduler.on_orders_result(now, request, result));
            }
            Effect::Commit { request, .. } => {
                self.commits += 1;
                self.observe(Input::EffectResult, |scheduler| {
                    scheduler.on_committed(now, request, CommitOutcome::Committed)
                });
            }
            Effect::Provision(request) => {
                self.observe(Input::EffectResult, |scheduler| {
                    scheduler.on_provisioned(now, &request.name, ProvisionOutcome::NoCapacity)
                });
            }
            Effect::Terminate(_) | Effect::Plan { .. } | Effect::RefreshFence(_) | Effect::LookUpOutcomes(_) => {}
        }
    }

    fn observe<T>(&mut self, input: Input, give: impl FnOnce(&mut Scheduler) -> T) -> T {
        let (before, started) = (self.scheduler.operation_counts(), Instant::now());
        let answer = give(&mut self.scheduler);
        let (took, cost) = (started.elapsed(), self.scheduler.operation_counts().since(&before));
        self.observed.push(Observation { input, took, cost });
        answer
    }
}
