//! Copies of requests that were delivered before, which arrive late, also after a change of leader.

use super::*;

/// Upper bound of the time after which a copy arrives.
const MAX_COPY_DELAY_MS: u64 = 60_000;

/// A request to a worker, the cloud or the store of which a copy arrives late.
#[derive(Clone)]
pub(super) enum RequestCopy {
    /// Direct orders to the worker with this index.
    Orders {
        worker: usize,
        body: DirectOrders,
    },
    Provision(ProvisionRequest),
    /// A request to terminate the machines of these names.
    Terminate(Vec<String>),
    /// A transaction that was committed.
    Commit(Transaction),
}

impl Simulation {
    /// Draws with this probability whether a copy of a request arrives late.
    pub(super) fn copy_late(&mut self, probability: f64, request: RequestCopy) {
        if probability > 0.0 && self.faults_enabled && self.chance(probability) {
            let delay = self.rng.random_range(1..MAX_COPY_DELAY_MS);
            self.send(delay, Message::Copy(request));
        }
    }

    /// Draws whether a copy of a committed transaction arrives late.
    pub(super) fn copy_commit_late(&mut self, transaction: &Transaction) {
        let is_bitmap =
            |mutation: &Mutation| matches!(mutation, Mutation::Put { key, .. } if key.starts_with(BITMAP_PREFIX));
        let probability = match transaction.mutations.iter().any(is_bitmap) {
            true => self.bitmap_copy_probability,
            false => self.commit_copy_probability,
        };
        self.copy_late(probability, RequestCopy::Commit(transaction.clone()));
    }

    pub(super) fn deliver_copy(&mut self, request: RequestCopy) {
        match &request {
            RequestCopy::Orders { worker, body } => {
                if !self.deliver_orders_copy(*worker, body) {
                    return;
                }
            }
            RequestCopy::Provision(provision) => {
                self.provision(provision);
            }
            RequestCopy::Terminate(names) => names.iter().for_each(|name| self.terminate(name)),
            RequestCopy::Commit(transaction) => {
                self.commit(transaction);
                self.check_cleared_tasks_are_done();
                return;
            }
        }
        // A request is copied again and again, so that its receiver meets copies in all states.
        self.copy_late(self.copy_probability, request);
    }

    /// Delivers a copy of direct orders. Returns `false` if the worker is gone.
    fn deliver_orders_copy(&mut self, index: usize, body: &DirectOrders) -> bool {
        let worker = &self.workers[index];
        let held_until = worker.frozen_until.max(worker.partitioned_until);
        if worker.is_gone {
            return false;
        }
        if self.now >= worker.inbound_partitioned_until && self.now >= held_until {
            self.accept_orders(index, body);
        } else if self.now < held_until {
            let copy = RequestCopy::Orders { worker: index, body: body.clone() };
            self.send(held_until - self.now + 10, Message::Copy(copy));
        }
        true
    }
}
