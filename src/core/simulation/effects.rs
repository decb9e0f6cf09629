//! Carries out the effects that the leader requests: sends messages to the workers and the store, and requests to the
//! cloud and the peers.

use super::copies::RequestCopy;
use super::*;
use crate::ids::RequestId;

/// Time after which the leader gets an unknown result for orders that a worker hasn't answered.
pub(super) const ORDERS_TIMEOUT_MS: u64 = 2_000;
/// Time after which the leader gets an unknown outcome for a transaction that the store hasn't answered.
const COMMIT_TIMEOUT_MS: u64 = 1_200;

impl Simulation {
    pub(super) fn perform_effects(&mut self) {
        let Some(effects) = self.leader.as_mut().map(|leader| leader.take_effects()) else { return };
        for effect in effects {
            self.digest.add_effect(&effect);
            self.perform_effect(effect);
        }
    }

    fn perform_effect(&mut self, effect: Effect) {
        let leader = self.leader_number;
        match effect {
            Effect::Orders { request, endpoint, body } => self.send_orders(request, &endpoint, body),
            Effect::Commit { request, transaction } => self.send_commit(request, transaction),
            Effect::RefreshFence(transaction) => self.send_fence_refresh(transaction),
            Effect::Plan { node, input } => self.plan_as_peer(node, &input),
            Effect::LookUpOutcomes(ids) => {
                let lost = self.draw_message_loss();
                let outcomes = ids.iter().filter_map(|id| Some((*id, self.outcome(id)?))).filter(|_| !lost);
                let outcomes = outcomes.collect();
                let delay = self.rng.random_range(5..1_400);
                self.send(delay, Message::OutcomesLookedUp { leader, outcomes });
            }
            Effect::Provision(request) => {
                let outcome =
                    if self.draw_message_loss() { ProvisionOutcome::Unknown } else { self.provision(&request) };
                self.copy_late(self.copy_probability, RequestCopy::Provision(request.clone()));
                self.send(200, Message::Provisioned { leader, name: request.name, outcome });
            }
            Effect::Terminate(ids) => {
                let ok = !self.draw_message_loss();
                let names: Vec<String> = ids.iter().map(|id| id.to_string()).collect();
                // The cloud may refuse a request of which a copy is carried out later.
                let refused = self.copy_probability > 0.0 && self.chance(self.copy_probability);
                let ok = ok && !refused;
                if !refused {
                    names.iter().for_each(|name| self.terminate(name));
                }
                self.copy_late(self.copy_probability, RequestCopy::Terminate(names.clone()));
                self.send(200, Message::Terminated { leader, names, ok });
            }
        }
    }

    fn send_orders(&mut self, request: RequestId, endpoint: &str, body: DirectOrders) {
        let leader = self.leader_number;
        let worker: usize = endpoint.parse().expect("endpoint from a heartbeat");
        let delay = self.draw_message_delay();
        if delay > ORDERS_TIMEOUT_MS {
            self.send(ORDERS_TIMEOUT_MS, Message::OrdersResult { leader, request, result: OrdersResult::Unknown });
        }
        self.send(delay, Message::Orders { leader, request, worker, body });
    }

    fn send_commit(&mut self, request: RequestId, transaction: Transaction) {
        let leader = self.leader_number;
        let delay = self.draw_message_delay();
        let delay = if self.draw_late_commit() { self.rng.random_range(2_000..12_000) } else { delay };
        if delay > COMMIT_TIMEOUT_MS {
            self.send(COMMIT_TIMEOUT_MS, Message::Committed { leader, request, outcome: CommitOutcome::Unknown });
        }
        self.send(delay, Message::Commit { leader, request, transaction });
    }

    fn send_fence_refresh(&mut self, transaction: Transaction) {
        let leader = self.leader_number;
        let delay =
            if self.draw_late_commit() { self.rng.random_range(2_000..12_000) } else { self.draw_message_delay() };
        if delay > COMMIT_TIMEOUT_MS {
            // The store's response would come after the timeout, so the leader's key is read to learn whether the fence
            // refresh was applied.
            self.send(COMMIT_TIMEOUT_MS, Message::ReadLeaderKey { leader, transaction: transaction.clone() });
        }
        self.send(delay, Message::FenceRefresh { leader, transaction });
    }

    /// Computes the plan that the leader has requested from a peer. The plan reaches the leader later, when the input
    /// of the planning may be outdated, and can be lost or duplicated. Some plans are corrupted.
    fn plan_as_peer(&mut self, node: String, input: &PlanInput) {
        let leader = self.leader_number;
        let mut plan = (!self.draw_message_loss()).then(|| placement::plan(input));
        plan.iter().for_each(|plan| self.digest.add_peer_plan(plan));
        if let Some(plan) = &mut plan
            && self.faults_enabled
            && self.chance(0.1)
        {
            self.corrupt_plan(plan);
        }
        let delay = self.draw_message_delay() * 4;
        if self.chance(0.1) {
            self.send(delay + 100, Message::Plan { leader, node: node.clone(), plan: plan.clone() });
        }
        self.send(delay, Message::Plan { leader, node, plan });
    }

    /// Replaces the placements of a plan by random ones. Some corrupted plans also carry the number of the planning
    /// round before the one that they were requested in.
    fn corrupt_plan(&mut self, plan: &mut PlanOutput) {
        for placement in &mut plan.placements {
            placement.machine = self.rng.random_range(0..8);
            placement.count = self.rng.random_range(0..30);
        }
        plan.round -= u64::from(self.chance(0.2));
    }
}
