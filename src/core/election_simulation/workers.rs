//! The simulated workers, each with the task of one job.

use super::*;

const HEARTBEAT_INTERVAL_MS: u64 = 1_500;
/// Time after which a worker whose heartbeat was not answered sends it to the next controller.
const HEARTBEAT_RETRY_INTERVAL_MS: u64 = 1_000;

pub(super) struct Worker {
    pub(super) job: JobId,
    /// The controller to which this worker sends its heartbeats.
    controller: usize,
    /// The highest term under which a controller answered this worker's heartbeat; answers of lower terms are ignored.
    fencing_token: u64,
    /// When the worker sent its latest answered heartbeat, in simulated time. The worker's lease begins at that time.
    lease_renewed_at: u64,
    next_heartbeat_at: u64,
    /// Whether the worker's task is still running.
    pub(super) is_running: bool,
}

impl Worker {
    pub(super) fn new(number: usize, rng: &mut StdRng) -> Worker {
        Worker {
            job: JobId::parse(&format!("req-{number:06}")).unwrap(),
            controller: rng.random_range(0..CONTROLLER_COUNT),
            fencing_token: 0,
            lease_renewed_at: 0,
            next_heartbeat_at: rng.random_range(0..HEARTBEAT_INTERVAL_MS),
            is_running: true,
        }
    }
}

impl ElectionSimulation {
    pub(super) fn step_workers(&mut self) {
        for index in 0..self.workers.len() {
            let answer_lost = self.chance(0.02);
            self.step_worker(index, answer_lost);
        }
    }

    fn step_worker(&mut self, index: usize, answer_lost: bool) {
        let now = self.now;
        let worker = &mut self.workers[index];
        if now - worker.lease_renewed_at > WORKER_LEASE_TTL_MS {
            worker.is_running = false;
        }
        if now < worker.next_heartbeat_at {
            return;
        }
        worker.next_heartbeat_at = now + HEARTBEAT_INTERVAL_MS;
        let controller = &self.controllers[worker.controller];
        let answers = controller.is_loaded && now >= controller.frozen_until;
        match controller.active_term(now).filter(|_| answers) {
            Some(term) if term.0 >= worker.fencing_token => {
                if !answer_lost {
                    worker.fencing_token = term.0;
                    worker.lease_renewed_at = now;
                    worker.is_running &= !controller.known_cancelled.contains(&worker.job);
                }
            }
            _ => {
                worker.controller = (worker.controller + 1) % CONTROLLER_COUNT;
                worker.next_heartbeat_at = now + HEARTBEAT_RETRY_INTERVAL_MS;
            }
        }
    }
}
