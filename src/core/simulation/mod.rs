//! The scheduler against a slow plain model of everything round it: workers, key-value store and cloud
//! with losses, delays, late orders, hanging machines, crashes and changes of leader. The model
//! knows the truth, and checks the rules of the protocol at every step.
//!
//! A history is a function of its seed: each random draw is made in the order of the code, so that a
//! reordered draw changes the [`Digest`] of the history.

mod checks;
mod cloud;
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
use self::mail::Mail;
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
    Cause, DirectOrders, Heartbeat, HeartbeatResponse, JobPhase, JobSpec, KeyValue, Kind, MachineType, Mutation, Order,
    Precondition, Priority, ProvisionRequest, TaskPhase, TaskStatus, Transaction,
};
use fixedbitset::FixedBitSet;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds of simulated time between two steps.
const STEP_INTERVAL: u64 = 50;

/// The whole model. All times are milliseconds since the history began.
pub(super) struct Simulation {
    rng: StdRng,
    now: u64,
    settings: Settings,
    types: Vec<MachineType>,
    /// The key-value store: each value with the revision at which it was written.
    store: BTreeMap<String, (Value, u64)>,
    /// The store's latest revision.
    revision: u64,
    workers: Vec<Worker>,
    /// Messages on their way, and when they are due.
    mail: Vec<(u64, Mail)>,
    /// Heartbeats that wait at the controller which relays them.
    relay_batch: Vec<SentHeartbeat>,
    leader: Option<Scheduler>,
    /// Counts the leaders; a message to an earlier one is dropped.
    leader_number: u64,
    next_leader_at: u64,
    /// The machines of each provision request, which may be repeated under its name.
    provision_requests: BTreeMap<String, Vec<String>>,
    specs: BTreeMap<JobId, JobSpec>,
    /// The dependencies of each job, as its user named them.
    depends_on: BTreeMap<JobId, Vec<JobId>>,
    /// The jobs whose users know that they are cancelled, and since when.
    cancelled: BTreeMap<JobId, u64>,
    completed_tasks: BTreeSet<TaskId>,
    /// Done tasks that their workers were ordered to clear.
    cleared_tasks: BTreeSet<TaskId>,
    /// The share of transactions that get no answer and are carried out after newer ones.
    late_commit_probability: f64,
    /// How likely the leader ends at a step.
    leader_crash_probability: f64,
    /// For how long there may be no leader after one has ended.
    max_leaderless_time: u64,
    /// How likely a job is cancelled at a step.
    cancellation_probability: f64,
    /// How likely a new job depends on earlier ones.
    dependency_probability: f64,
    /// The share of heartbeats that reach a controller which relays them.
    relay_probability: f64,
    /// How much longer than usual all mail takes at most.
    extra_delay: u64,
    last_job_number: u64,
    /// Whether losses, delays and troubles happen now.
    faults: bool,
    start_count: u64,
    leader_count: u64,
    /// Over all that the leaders put out.
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
            mail: Vec::new(),
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
            extra_delay: 0,
            last_job_number: 0,
            faults: true,
            start_count: 0,
            leader_count: 0,
            digest: Digest::new(),
        };
        for index in 0..5 {
            simulation.add_worker(index % 2, index % 2, false, 0);
        }
        simulation
    }

    /// Plays `faulty_s` seconds with faults and new jobs, and then `calm_s` without.
    pub(super) fn run(&mut self, faulty_s: u64, calm_s: u64) {
        let end = (faulty_s + calm_s) * 1000;
        while self.now < end {
            self.now += STEP_INTERVAL;
            self.faults = self.now < faulty_s * 1000;
            if self.leader.is_none() && self.now >= self.next_leader_at {
                self.elect();
            }
            self.inject_faults();
            self.step_users();
            if !self.faults {
                for worker in &mut self.workers {
                    worker.fails_tasks = false;
                }
            }
            self.deliver();
            self.step_workers();
            self.step_leader();
            self.check_cancelled_jobs_do_not_run();
        }
    }
}
