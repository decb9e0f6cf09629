//! Simulation of the leader election: several controllers stand for election, extend the leader's lease on the
//! peers' pledges not to stand for election, and send cancellations along with these pledges. The key-value store,
//! the users and one worker for each job are simple models. After every step the simulation checks that at most one
//! controller has an active term, and that the tasks of cancelled jobs end in time.
//!
//! A run depends on its seed only. Random numbers are drawn in the order of the code, so reordering code that
//! draws random numbers changes the runs.

mod checks;
mod controllers;
mod copies;
mod faults;
mod mail;
mod store;
mod tests;
mod workers;

use self::controllers::Controller;
use self::copies::RequestCopy;
use self::mail::{CancellationAnswer, PledgeAnswer};
use self::workers::Worker;
use super::cancellations::ConfirmedCancellations;
use super::election::Election;
use crate::ids::{JobId, LeaseId, Revision, Term};
use crate::time::{Millis, MonotonicTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Simulated time between two steps.
const STEP_INTERVAL_MS: u64 = 50;
/// Time to live of the leader's lease in the store (`leader_lease_ttl`).
const LEADER_LEASE_TTL_MS: u64 = 3_500;
/// Time to live of a worker's lease (`lease_s`).
const WORKER_LEASE_TTL_MS: u64 = 10_000;
/// Time within which the task of a cancelled job must have ended (`cancel_s`).
const CANCELLATION_LIMIT_MS: u64 = 30_000;
const CONTROLLER_COUNT: usize = 4;
const JOB_COUNT: usize = 60;

/// The controller that owns the leader's key, and the lease that the key is attached to.
#[derive(Clone, Copy)]
struct LeaderKey {
    controller: usize,
    lease: u64,
}

/// The state of the simulation. All times are milliseconds since its start.
struct ElectionSimulation {
    rng: StdRng,
    now: u64,
    /// The latest revision of the simulated store.
    revision: u64,
    leader_key: Option<LeaderKey>,
    /// The leases in the store, by id, each with the simulated time when it ends.
    leases: BTreeMap<u64, u64>,
    /// Simulated time until which the store refuses the requests of all controllers.
    outage_until: u64,
    controllers: Vec<Controller>,
    workers: Vec<Worker>,
    /// The cancelled jobs in the store, with the revision of each cancellation.
    cancelled: BTreeMap<JobId, u64>,
    /// The store's answers to cancellations that have not yet arrived at the controller.
    cancellation_answers: Vec<CancellationAnswer>,
    /// The jobs whose cancellation was confirmed to a user, each with the simulated time of the first confirmation.
    confirmed: BTreeMap<JobId, u64>,
    pledge_answers: Vec<PledgeAnswer>,
    /// Probability that a copy of a request to the store or to a peer arrives late.
    copy_probability: f64,
    /// The copies that will arrive, each with the simulated time when it does.
    copies: Vec<(u64, RequestCopy)>,
    /// How many times a leader extended its lease because all peers had pledged not to stand for election.
    extension_count: u64,
    /// Number of elections that a controller has won.
    election_count: u64,
    /// Number of cancellations that a leader learned from its peers' pledges and had not read from the store before.
    learned_from_pledges_count: u64,
    /// The highest term in which a controller was allowed to act as leader.
    last_active_term: u64,
}

impl ElectionSimulation {
    fn new(seed: u64) -> ElectionSimulation {
        let mut rng = StdRng::seed_from_u64(seed);
        let workers = (0..JOB_COUNT).map(|number| Worker::new(number, &mut rng)).collect();
        ElectionSimulation {
            rng,
            now: 0,
            revision: 1,
            leader_key: None,
            leases: BTreeMap::new(),
            outage_until: 0,
            controllers: (0..CONTROLLER_COUNT).map(|_| Controller::started_at(0)).collect(),
            workers,
            cancelled: BTreeMap::new(),
            cancellation_answers: Vec::new(),
            confirmed: BTreeMap::new(),
            pledge_answers: Vec::new(),
            copy_probability: 0.0,
            copies: Vec::new(),
            extension_count: 0,
            election_count: 0,
            learned_from_pledges_count: 0,
            last_active_term: 0,
        }
    }

    fn run(&mut self, duration_s: u64) {
        while self.now < duration_s * 1_000 {
            self.now += STEP_INTERVAL_MS;
            self.step_leases();
            self.inject_faults();
            // Cancellations are more frequent while the store refuses a controller, as that one may then miss them.
            let probability = if self.is_any_controller_refused() { 0.1 } else { 0.02 };
            if self.chance(probability) {
                self.cancel_as_user();
            }
            self.deliver_answers();
            self.deliver_copies();
            self.step_controllers();
            self.step_workers();
            self.check_invariants();
        }
    }
}
