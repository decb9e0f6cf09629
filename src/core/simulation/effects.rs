//! What the leader puts out becomes mail to workers, store, cloud and peers.

use super::*;
use crate::ids::RequestId;

/// After this the edges give up an exchange with a worker.
pub(super) const ORDERS_TIMEOUT: u64 = 2_000;
/// After this the edges give up an exchange with the store.
const COMMIT_TIMEOUT: u64 = 1_200;

impl Simulation {
    pub(super) fn perform_effects(&mut self) {
        let Some(effects) = self.leader.as_mut().map(|leader| leader.take_effects()) else { return };
        for effect in effects {
            self.digest.effect(&effect);
            self.perform(effect);
        }
    }

    fn perform(&mut self, effect: Effect) {
        let leader = self.leader_number;
        match effect {
            Effect::Orders { request, endpoint, body } => self.send_orders(request, &endpoint, body),
            Effect::Commit { request, transaction } => self.send_commit(request, transaction),
            Effect::RefreshFence(transaction) => self.send_fence_refresh(transaction),
            Effect::Plan { node, input } => self.plan_on_peer(node, &input),
            Effect::LookUpOutcomes(ids) => {
                let lost = self.lost();
                let outcomes = ids.iter().filter_map(|id| Some((*id, self.outcome(id)?))).filter(|_| !lost);
                let outcomes = outcomes.collect();
                let delay = self.rng.random_range(5..1_400);
                self.post(delay, Mail::LookedUp { leader, outcomes });
            }
            Effect::Provision(request) => {
                let outcome = if self.lost() { ProvisionOutcome::Unknown } else { self.provision(&request) };
                self.post(200, Mail::Provisioned { leader, name: request.name, outcome });
            }
            Effect::Terminate(ids) => {
                let ok = !self.lost();
                let names: Vec<String> = ids.iter().map(|id| id.to_string()).collect();
                names.iter().for_each(|name| self.terminate(name));
                self.post(200, Mail::Terminated { leader, names, ok });
            }
        }
    }

    fn send_orders(&mut self, request: RequestId, endpoint: &str, body: DirectOrders) {
        let leader = self.leader_number;
        let worker: usize = endpoint.parse().expect("an endpoint that a heartbeat named");
        let delay = self.delay();
        if delay > ORDERS_TIMEOUT {
            self.post(ORDERS_TIMEOUT, Mail::OrdersResult { leader, request, result: OrdersResult::Unknown });
        }
        self.post(delay, Mail::Orders { leader, request, worker, body });
    }

    fn send_commit(&mut self, request: RequestId, transaction: Transaction) {
        let leader = self.leader_number;
        let delay = self.delay();
        let delay = if self.late() { self.rng.random_range(2_000..12_000) } else { delay };
        if delay > COMMIT_TIMEOUT {
            self.post(COMMIT_TIMEOUT, Mail::Committed { leader, request, outcome: CommitOutcome::Unknown });
        }
        self.post(delay, Mail::Commit { leader, request, transaction });
    }

    fn send_fence_refresh(&mut self, transaction: Transaction) {
        let leader = self.leader_number;
        let delay = if self.late() { self.rng.random_range(2_000..12_000) } else { self.delay() };
        if delay > COMMIT_TIMEOUT {
            // The read that follows an unanswered write.
            self.post(COMMIT_TIMEOUT, Mail::ReadKey { leader, transaction: transaction.clone() });
        }
        self.post(delay, Mail::FenceRefresh { leader, transaction });
    }

    /// Peers plan on a view that is old by then, answer late, twice or not at all, and at times an
    /// answer is of another round, or plain wrong.
    fn plan_on_peer(&mut self, node: String, input: &PlanInput) {
        let leader = self.leader_number;
        let mut plan = (!self.lost()).then(|| placement::plan(input));
        plan.iter().for_each(|plan| self.digest.peer_plan(plan));
        if let Some(plan) = &mut plan
            && self.faults
            && self.chance(0.1)
        {
            self.corrupt(plan);
        }
        let delay = self.delay() * 4;
        if self.chance(0.1) {
            self.post(delay + 100, Mail::Plan { leader, node: node.clone(), plan: plan.clone() });
        }
        self.post(delay, Mail::Plan { leader, node, plan });
    }

    fn corrupt(&mut self, plan: &mut PlanOutput) {
        for placement in &mut plan.placements {
            placement.machine = self.rng.random_range(0..8);
            placement.count = self.rng.random_range(0..30);
        }
        plan.round -= u64::from(self.chance(0.2));
    }
}
