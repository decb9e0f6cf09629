//! Simulation of the scheduler against simple models of the workers, the key-value store, the cloud, the peers
//! and the users, with lost, delayed and duplicated messages, frozen machines, crashes and leader changes. The
//! simulation knows the actual state of every worker and checks the invariants of the protocol against it.
//!
//! A run depends on its seed only. Random numbers are drawn in the order of the code, so reordering code that
//! draws them changes the [`Digest`] of the run.

mod checks;
mod cloud;
mod copies;
pub(super) mod digest;
mod effects;
mod faults;
mod leaders;
mod mail;
mod store;
mod tests;
mod users;
mod workers;

use self::digest::Digest;
use self::mail::Message;
use self::workers::{SentHeartbeat, Worker};
use super::completion_bitmap::{BitmapLayout, parse_chunk_key};
use super::election::{LEADER_KEY, LeaderRecord};
use super::machine::MACHINE_PREFIX;
use super::placement;
use super::records::{
    BITMAP_PREFIX, JobOutcome, LIVE_PREFIX, LiveRecord, TERMINAL_PREFIX, TerminalRecord, live_key, terminal_key,
};
use super::scheduler::{CommitOutcome, Effect, OrdersResult, ProvisionOutcome, Scheduler, StoredState};
use crate::config::{Settings, Tuning, sample_settings};
use crate::ids::{
    AgentEpoch, Attempt, FencingToken, JobId, LeaseId, MachineId, Revision, SequenceNumber, TaskId, Term,
};
use crate::peer::{PlanInput, PlanOutput};
use crate::time::{Millis, MonotonicTime, WallTime};
use crate::wire::{
    DirectOrders, ExitCause, Heartbeat, HeartbeatResponse, JobKind, JobPhase, JobSpec, KeyValue, MachineType, Mutation,
    Order, Precondition, Priority, ProvisionRequest, TaskPhase, TaskStatus, Transaction,
};
use fixedbitset::FixedBitSet;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// Simulated time by which each step advances the simulation.
const STEP_INTERVAL_MS: u64 = 50;

/// The state of the simulation. All times and durations are in milliseconds, counted from the start of the run.
pub(super) struct Simulation {
    rng: StdRng,
    now: u64,
    settings: Settings,
    types: Vec<MachineType>,
    /// Contents of the key-value store: the value of each key and the store revision at which the value was written.
    store: BTreeMap<String, (Value, u64)>,
    /// Revision of the latest write to the store.
    revision: u64,
    workers: Vec<Worker>,
    /// Messages in transit, each with the time at which it is delivered.
    messages: Vec<(u64, Message)>,
    /// Heartbeats that the relaying controller has collected from workers and not yet sent to the leader.
    relay_batch: Vec<SentHeartbeat>,
    /// The current leader's scheduler, or `None` between a crash and the next election.
    leader: Option<Scheduler>,
    /// Number of the latest elected leader, counted from 1. Messages addressed to earlier leaders are dropped.
    leader_number: u64,
    /// Time at which a new leader is elected if there is none.
    next_leader_at: u64,
    /// Names of the machines provisioned for each request, by request name. A repeated request gets the same machines.
    provision_requests: BTreeMap<String, Vec<String>>,
    /// The specs of all jobs submitted so far, including ended ones.
    specs: BTreeMap<JobId, JobSpec>,
    /// The dependencies of each job as submitted, including those that had already ended.
    depends_on: BTreeMap<JobId, Vec<JobId>>,
    /// The jobs whose cancellation was confirmed to a user, with the time of the confirmation.
    cancelled: BTreeMap<JobId, u64>,
    /// Tasks that a worker has run to completion.
    completed_tasks: BTreeSet<TaskId>,
    /// Completed tasks that a worker no longer lists, because a leader has ordered it to clear them.
    cleared_tasks: BTreeSet<TaskId>,
    /// Probability that the store applies a transaction only after the leader's request has timed out, and possibly
    /// after transactions that were sent later.
    late_commit_probability: f64,
    /// Probability per step that the leader crashes.
    leader_crash_probability: f64,
    /// Upper bound of the time between a crash of the leader and the next election.
    max_leaderless_time: u64,
    /// Probability per step that a user cancels a job.
    cancellation_probability: f64,
    /// Probability that a new job may depend on earlier jobs.
    dependency_probability: f64,
    /// Probability that a heartbeat reaches the leader through a controller that relays it.
    relay_probability: f64,
    /// Probability that a copy of orders to a worker or of a request to the cloud is delivered late.
    copy_probability: f64,
    /// Probability that a copy of a committed transaction is delivered late, except for writes of completion bitmaps.
    commit_copy_probability: f64,
    /// Probability that a copy of a committed write of completion bitmaps is delivered late.
    bitmap_copy_probability: f64,
    /// The attempts that have started on each worker, by the worker's index.
    started_attempts: BTreeSet<(usize, TaskId, Attempt)>,
    /// Upper bound of the delay added to that of ordinary messages while faults are enabled.
    max_extra_delay: u64,
    last_job_number: u64,
    /// Whether faults are injected and new jobs submitted in the current step.
    faults_enabled: bool,
    /// Number of task attempts that workers have started so far.
    start_count: u64,
    /// Number of leaders elected so far.
    leader_count: u64,
    /// Digest of all outputs of the leaders and of the peers that plan for them.
    digest: Digest,
}

fn machine_types() -> Vec<MachineType> {
    let machine_type = |name: &str, cpus: f64, gpus: f64, price: f64| MachineType {
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
    vec![machine_type("small", 8.0, 0.0, 0.5), machine_type("large", 16.0, 2.0, 4.0)]
}

impl Simulation {
    pub(super) fn new(seed: u64) -> Simulation {
        let mut simulation = Simulation {
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            settings: sample_settings(),
            types: machine_types(),
            store: BTreeMap::new(),
            revision: 0,
            workers: Vec::new(),
            messages: Vec::new(),
            relay_batch: Vec::new(),
            leader: None,
            leader_number: 0,
            next_leader_at: 0,
            provision_requests: BTreeMap::new(),
            specs: BTreeMap::new(),
            depends_on: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            completed_tasks: BTreeSet::new(),
            cleared_tasks: BTreeSet::new(),
            late_commit_probability: 0.0,
            leader_crash_probability: 0.002,
            max_leaderless_time: 9_000,
            cancellation_probability: 0.01,
            dependency_probability: 0.2,
            relay_probability: 0.5,
            copy_probability: 0.0,
            commit_copy_probability: 0.0,
            bitmap_copy_probability: 0.0,
            started_attempts: BTreeSet::new(),
            max_extra_delay: 0,
            last_job_number: 0,
            faults_enabled: true,
            start_count: 0,
            leader_count: 0,
            digest: Digest::new(),
        };
        for index in 0..5 {
            simulation.add_worker(index % 2, index % 2, false, 0);
        }
        simulation
    }

    /// Simulates `faulty_s` seconds with faults and new jobs, and then `fault_free_s` seconds without either.
    pub(super) fn run(&mut self, faulty_s: u64, fault_free_s: u64) {
        let end = (faulty_s + fault_free_s) * 1000;
        while self.now < end {
            self.now += STEP_INTERVAL_MS;
            self.faults_enabled = self.now < faulty_s * 1000;
            if self.leader.is_none() && self.now >= self.next_leader_at {
                self.elect_leader();
            }
            self.inject_faults();
            self.step_users();
            if !self.faults_enabled {
                for worker in &mut self.workers {
                    worker.fails_tasks = false;
                }
            }
            self.deliver_due_messages();
            self.step_workers();
            self.step_leader();
            self.check_cancelled_jobs_do_not_run();
        }
    }
}
