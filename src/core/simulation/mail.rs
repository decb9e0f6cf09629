//! Messages in transit, and their delivery.

use super::copies::RequestCopy;
use super::effects::ORDERS_TIMEOUT_MS;
use super::workers::HEARTBEAT_TIMEOUT_MS;
use super::*;
use crate::ids::RequestId;

/// A message in transit. The field `leader` is the number of the leader that sent the message or that the message is
/// addressed to.
pub(super) enum Message {
    Heartbeat(SentHeartbeat),
    /// Heartbeats that a relaying controller has collected from workers and sends to the leader in one request.
    RelayBatch(Vec<SentHeartbeat>),
    HeartbeatResponse {
        worker: usize,
        sent_at: u64,
        agent_epoch: AgentEpoch,
        response: HeartbeatResponse,
    },
    Orders {
        leader: u64,
        request: RequestId,
        worker: usize,
        body: DirectOrders,
    },
    /// A copy of a request that was delivered before. Nobody awaits the answer.
    Copy(RequestCopy),
    OrdersResult {
        leader: u64,
        request: RequestId,
        result: OrdersResult,
    },
    Commit {
        leader: u64,
        request: RequestId,
        transaction: Transaction,
    },
    Committed {
        leader: u64,
        request: RequestId,
        outcome: CommitOutcome,
    },
    /// A transaction that rewrites the leader's key and so raises the key's revision. Transactions with a precondition
    /// on an older revision of the key can then no longer be applied.
    FenceRefresh {
        leader: u64,
        transaction: Transaction,
    },
    /// A read of the leader's key, which shows whether a fence refresh without a response has been applied.
    ReadLeaderKey {
        leader: u64,
        transaction: Transaction,
    },
    Provisioned {
        leader: u64,
        name: String,
        outcome: ProvisionOutcome,
    },
    Terminated {
        leader: u64,
        names: Vec<String>,
        ok: bool,
    },
    Plan {
        leader: u64,
        node: String,
        plan: Option<PlanOutput>,
    },
    OutcomesLookedUp {
        leader: u64,
        outcomes: Vec<(JobId, JobOutcome)>,
    },
    /// A change of the record of a live job. `value` is the new record with its revision, or `None` if the record was
    /// deleted.
    WatchEvent {
        leader: u64,
        key: String,
        value: Option<(Value, u64)>,
    },
}

impl Simulation {
    /// Puts a message in transit, which is delivered `delay` milliseconds later.
    pub(super) fn send(&mut self, delay: u64, message: Message) {
        self.messages.push((self.now + delay, message));
    }

    /// Delivers all messages whose delivery time has come, earliest first.
    pub(super) fn deliver_due_messages(&mut self) {
        let now = self.now;
        let (mut due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|(due_at, _)| *due_at <= now);
        self.messages = rest;
        due.sort_by_key(|(due_at, _)| *due_at);
        for (_, message) in due {
            self.deliver_message(message);
            self.perform_effects();
        }
    }

    fn deliver_message(&mut self, message: Message) {
        match message {
            Message::Heartbeat(sent) => self.deliver_heartbeat(&sent),
            Message::RelayBatch(batch) => self.deliver_relay_batch(&batch),
            Message::HeartbeatResponse { worker, sent_at, agent_epoch, response } => {
                self.deliver_heartbeat_response(worker, sent_at, agent_epoch, &response);
            }
            Message::Orders { leader, request, worker, body } => self.deliver_orders(leader, request, worker, body),
            Message::Copy(request) => self.deliver_copy(request),
            Message::Commit { leader, request, transaction } => self.deliver_commit(leader, request, &transaction),
            Message::FenceRefresh { leader, transaction } => self.deliver_fence_refresh(leader, transaction),
            Message::ReadLeaderKey { leader, transaction } => self.deliver_leader_key_read(leader, &transaction),
            to_leader => self.deliver_to_leader(to_leader),
        }
    }

    /// Delivers a heartbeat to the current leader, even if the heartbeat was sent before that leader was elected.
    fn deliver_heartbeat(&mut self, sent: &SentHeartbeat) {
        let Some(response) = self.respond_to_heartbeat(sent) else { return };
        if !self.draw_message_loss() {
            let delay = self.draw_message_delay();
            self.send(delay, response);
        }
    }

    fn deliver_relay_batch(&mut self, batch: &[SentHeartbeat]) {
        let responses: Vec<Message> = batch.iter().filter_map(|sent| self.respond_to_heartbeat(sent)).collect();
        if !self.draw_message_loss() {
            let delay = self.draw_message_delay();
            responses.into_iter().for_each(|response| self.send(delay, response));
        }
    }

    /// Passes a heartbeat to the leader. Returns the message with the response, or `None` if there is no leader, if the
    /// leader rejects the heartbeat, or if the response can't reach the worker.
    fn respond_to_heartbeat(&mut self, sent: &SentHeartbeat) -> Option<Message> {
        let leader = self.leader.as_mut()?;
        let response = leader.on_heartbeat(MonotonicTime(self.now), &sent.heartbeat).ok();
        self.digest.add_heartbeat_response(response.as_ref());
        let response = response?;
        let worker = &self.workers[sent.worker];
        let reachable = self.now >= worker.partitioned_until && self.now >= worker.inbound_partitioned_until;
        let agent_epoch = sent.heartbeat.agent_epoch;
        reachable.then_some(Message::HeartbeatResponse {
            worker: sent.worker,
            sent_at: sent.sent_at,
            agent_epoch,
            response,
        })
    }

    fn deliver_heartbeat_response(
        &mut self,
        index: usize,
        sent_at: u64,
        agent_epoch: AgentEpoch,
        response: &HeartbeatResponse,
    ) {
        let worker = &mut self.workers[index];
        let is_listening = !worker.is_gone && self.now >= worker.frozen_until && worker.agent_epoch == agent_epoch.0;
        if !is_listening
            || self.now - sent_at > HEARTBEAT_TIMEOUT_MS
            || worker.unanswered_heartbeat_sent_at.is_none_or(|awaited| awaited != sent_at)
        {
            return;
        }
        worker.unanswered_heartbeat_sent_at = None;
        if response.token.0 < worker.token {
            return;
        }
        if response.token.0 > worker.token {
            worker.next_heartbeat_at = worker.next_heartbeat_at.min(self.now + 500);
        }
        worker.token = response.token.0;
        worker.lease_renewed_at = worker.lease_renewed_at.max(sent_at);
        self.execute_orders(index, &response.orders);
    }

    fn deliver_orders(&mut self, leader: u64, request: RequestId, index: usize, body: DirectOrders) {
        let worker = &self.workers[index];
        if worker.is_gone || self.now < worker.boots_at {
            return;
        }
        let timed_out = Message::OrdersResult { leader, request, result: OrdersResult::Unknown };
        if self.now < worker.inbound_partitioned_until {
            self.send(ORDERS_TIMEOUT_MS, timed_out);
            return;
        }
        let held_until = worker.frozen_until.max(worker.partitioned_until);
        if self.now < held_until {
            // The leader's request times out, but the worker gets the orders once it is reachable again.
            let delay = held_until - self.now + 10;
            self.send(delay, Message::Orders { leader, request, worker: index, body });
            self.send(ORDERS_TIMEOUT_MS, timed_out);
            return;
        }
        let accepted = self.accept_orders(index, &body);
        self.copy_late(self.copy_probability, RequestCopy::Orders { worker: index, body });
        let heartbeat = self.next_heartbeat(index);
        if self.draw_message_loss() {
            self.send(ORDERS_TIMEOUT_MS, timed_out);
            return;
        }
        let result = if accepted { OrdersResult::Executed(heartbeat) } else { OrdersResult::Rejected(heartbeat) };
        let delay = self.draw_message_delay();
        if delay > 1_900 {
            self.send(ORDERS_TIMEOUT_MS, timed_out);
        } else {
            self.send(delay, Message::OrdersResult { leader, request, result });
        }
    }

    /// Delivers direct orders to a worker, which executes them if their token and agent epoch permit it. Returns
    /// whether the worker has executed them.
    pub(super) fn accept_orders(&mut self, index: usize, body: &DirectOrders) -> bool {
        let worker = &mut self.workers[index];
        if body.token.0 < worker.token || body.agent_epoch.0 != worker.agent_epoch {
            return false;
        }
        worker.token = body.token.0;
        self.execute_orders(index, &body.orders);
        true
    }

    fn deliver_commit(&mut self, leader: u64, request: RequestId, transaction: &Transaction) {
        let outcome = self.commit(transaction);
        if outcome.is_committed() {
            self.copy_commit_late(transaction);
        }
        let outcome = if self.draw_message_loss() { CommitOutcome::Unknown } else { outcome };
        let delay = self.rng.random_range(1..20);
        self.send(delay, Message::Committed { leader, request, outcome });
    }

    fn deliver_fence_refresh(&mut self, leader: u64, transaction: Transaction) {
        let committed = self.commit(&transaction).is_committed();
        if committed {
            self.copy_commit_late(&transaction);
        }
        if committed && !self.faults_enabled {
            let (now, revision) = (MonotonicTime(self.now), Revision(self.revision));
            if let Some(scheduler) = self.leader_with_number(leader) {
                scheduler.on_fence_refreshed(now, Some(revision));
                return;
            }
        }
        // The fence refresh failed, or its response is lost. While faults are enabled every such response is lost. The
        // leader's key is read to learn whether the refresh was applied.
        self.send(100, Message::ReadLeaderKey { leader, transaction });
    }

    fn deliver_leader_key_read(&mut self, leader: u64, transaction: &Transaction) {
        let is_written_by_refresh = |stored: &Value| {
            let mut mutations = transaction.mutations.iter();
            mutations.any(|mutation| matches!(mutation, Mutation::Put { value, .. } if value == stored))
        };
        let leader_key = self.store.get(LEADER_KEY);
        let fence_revision =
            leader_key.filter(|(value, _)| is_written_by_refresh(value)).map(|(_, revision)| Revision(*revision));
        let now = MonotonicTime(self.now);
        if let Some(scheduler) = self.leader_with_number(leader) {
            scheduler.on_fence_refreshed(now, fence_revision);
        }
    }

    /// Delivers a result or a watch event to the leader that it is addressed to. Drops the message if that leader has
    /// crashed or been replaced.
    fn deliver_to_leader(&mut self, message: Message) {
        let now = MonotonicTime(self.now);
        let Some(number) = message.addressed_leader() else { return };
        let Some(scheduler) = self.leader_with_number(number) else { return };
        match message {
            Message::OrdersResult { request, result, .. } => scheduler.on_orders_result(now, request, result),
            Message::Committed { request, outcome, .. } => scheduler.on_committed(now, request, outcome),
            Message::Provisioned { name, outcome, .. } => scheduler.on_provisioned(now, &name, outcome),
            Message::Terminated { names, ok, .. } => {
                let ids: Vec<_> = names.iter().filter_map(|name| MachineId::parse(name)).collect();
                scheduler.on_terminated(now, &ids, ok);
            }
            Message::Plan { node, plan, .. } => scheduler.on_plan(now, &node, plan),
            Message::OutcomesLookedUp { outcomes, .. } => scheduler.on_outcomes_looked_up(now, &outcomes),
            Message::WatchEvent { key, value, .. } => {
                let Some(id) = key.strip_prefix(LIVE_PREFIX).and_then(JobId::parse) else { return };
                match value {
                    Some((record, revision)) => scheduler.on_job_accepted(&id, &record, Revision(revision)),
                    None => scheduler.on_job_terminated(&id, JobOutcome::Unknown),
                }
            }
            Message::Heartbeat(_)
            | Message::RelayBatch(_)
            | Message::HeartbeatResponse { .. }
            | Message::Orders { .. }
            | Message::Copy(_)
            | Message::Commit { .. }
            | Message::FenceRefresh { .. }
            | Message::ReadLeaderKey { .. } => unreachable!("not addressed to a leader by its number"),
        }
    }
}

impl Message {
    /// Returns the number of the leader that the message is addressed to, or `None` for messages to workers, the store
    /// or whichever leader is current.
    fn addressed_leader(&self) -> Option<u64> {
        match self {
            Message::OrdersResult { leader, .. }
            | Message::Committed { leader, .. }
            | Message::Provisioned { leader, .. }
            | Message::Terminated { leader, .. }
            | Message::Plan { leader, .. }
            | Message::OutcomesLookedUp { leader, .. }
            | Message::WatchEvent { leader, .. } => Some(*leader),
            Message::Heartbeat(_)
            | Message::RelayBatch(_)
            | Message::HeartbeatResponse { .. }
            | Message::Orders { .. }
            | Message::Copy(_)
            | Message::Commit { .. }
            | Message::FenceRefresh { .. }
            | Message::ReadLeaderKey { .. } => None,
        }
    }
}
