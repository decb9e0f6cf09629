//! The workers of the model, each with the task of one job.

use super::*;

const HEARTBEAT_INTERVAL: u64 = 1_500;
/// Before a worker that got no answer tries the next controller.
const HEARTBEAT_BACKOFF: u64 = 1_000;

pub(super) struct Worker {
    pub(super) job: JobId,
    /// The controller that it sends its heartbeats to.
    controller: usize,
    token: u64,
    /// When the latest heartbeat that was answered was sent; the lease counts from there.
    lease_renewed_at: u64,
    next_heartbeat: u64,
    pub(super) runs: bool,
}

impl Worker {
    pub(super) fn new(number: usize, rng: &mut StdRng) -> Worker {
        Worker {
            job: JobId::parse(&format!("req-{number:06}")).unwrap(),
            controller: rng.random_range(0..CONTROLLERS),
            token: 0,
            lease_renewed_at: 0,
            next_heartbeat: rng.random_range(0..HEARTBEAT_INTERVAL),
            runs: true,
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
        if now - worker.lease_renewed_at > WORKER_LEASE {
            worker.runs = false;
        }
        if now < worker.next_heartbeat {
            return;
        }
        worker.next_heartbeat = now + HEARTBEAT_INTERVAL;
        let controller = &self.controllers[worker.controller];
        let answers = controller.loaded && now >= controller.frozen_until;
        match controller.active_term(now).filter(|_| answers) {
            Some(term) if term.0 >= worker.token => {
                if !answer_lost {
                    worker.token = term.0;
                    worker.lease_renewed_at = now;
                    worker.runs &= !controller.known_cancelled.contains(&worker.job);
                }
            }
            _ => {
                worker.controller = (worker.controller + 1) % CONTROLLERS;
                worker.next_heartbeat = now + HEARTBEAT_BACKOFF;
            }
        }
    }
}
