//! Several controllers that stand for election, extend the leader's lease on pledges and pass on
//! cancellations, against a slow plain model of the key-value store, the users and one worker for each
//! job. It checks at every step that at most one of them has an active term, and that a cancelled task is
//! gone in time.
//!
//! A history is a function of its seed: each random draw is made in the order of the code.

mod checks;
mod controllers;
mod faults;
mod mail;
mod store;
mod tests;
mod workers;

use self::controllers::Controller;
use self::mail::{CancellationAnswer, PledgeAnswer};
use self::workers::Worker;
use super::cancellations::ConfirmedCancellations;
use super::election::Election;
use crate::ids::{JobId, LeaseId, Revision, Term};
use crate::time::{Millis, MonotonicTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds of simulated time between two steps.
const STEP_INTERVAL: u64 = 50;
/// Milliseconds that the leader's lease lasts in the store (`leader_lease_ttl`).
const LEADER_LEASE_TTL: u64 = 3_500;
/// Milliseconds that a worker's lease lasts (`lease_s`).
const WORKER_LEASE: u64 = 10_000;
/// Milliseconds within which a cancelled task must be gone (`cancel_s`).
const CANCELLATION_TIMEOUT: u64 = 30_000;
const CONTROLLERS: usize = 4;
const JOBS: usize = 60;

/// Who holds the leader key, under which lease.
#[derive(Clone, Copy)]
struct LeaderKey {
    controller: usize,
    lease: u64,
}

/// The whole model. All times are milliseconds since the history began.
struct ElectionSimulation {
    rng: StdRng,
    now: u64,
    /// The store's latest revision.
    revision: u64,
    leader_key: Option<LeaderKey>,
    /// The store's leases and when they end.
    leases: BTreeMap<u64, u64>,
    /// The store refuses everybody until then.
    outage_until: u64,
    controllers: Vec<Controller>,
    workers: Vec<Worker>,
    /// The cancellations in the store, and their revisions.
    cancelled: BTreeMap<JobId, u64>,
    /// Cancellations that are committed, and whose answer is on its way to a controller.
    cancellation_answers: Vec<CancellationAnswer>,
    /// The jobs whose users know that they are cancelled, and since when.
    confirmed: BTreeMap<JobId, u64>,
    pledge_answers: Vec<PledgeAnswer>,
    /// How often a lease was extended on pledges.
    extension_count: u64,
    /// How many cancellations a leader learned from pledges alone.
    carried_count: u64,
    /// The latest term that any controller has had active.
    last_active_term: u64,
}

impl ElectionSimulation {
    fn new(seed: u64) -> ElectionSimulation {
        let mut rng = StdRng::seed_from_u64(seed);
        let workers = (0..JOBS).map(|number| Worker::new(number, &mut rng)).collect();
        ElectionSimulation {
            rng,
            now: 0,
            revision: 1,
            leader_key: None,
            leases: BTreeMap::new(),
            outage_until: 0,
            controllers: (0..CONTROLLERS).map(|_| Controller::started_at(0)).collect(),
            workers,
            cancelled: BTreeMap::new(),
            cancellation_answers: Vec::new(),
            confirmed: BTreeMap::new(),
            pledge_answers: Vec::new(),
            extension_count: 0,
            carried_count: 0,
            last_active_term: 0,
        }
    }

    fn run(&mut self, duration_s: u64) {
        while self.now < duration_s * 1_000 {
            self.now += STEP_INTERVAL;
            self.step_leases();
            self.inject_faults();
            // Few at ordinary times, many while a controller is refused.
            let probability = if self.is_any_controller_refused() { 0.1 } else { 0.02 };
            if self.chance(probability) {
                self.cancel_as_user();
            }
            self.deliver();
            self.step_controllers();
            self.step_workers();
            self.check();
        }
    }
}
