//! Messages on their way, and what happens when they arrive.

use super::effects::ORDERS_TIMEOUT;
use super::workers::HEARTBEAT_TIMEOUT;
use super::*;
use crate::ids::RequestId;

/// Something on its way; delivered when its time has come. `leader` is the number of the leader that it
/// comes from or goes to.
pub(super) enum Mail {
    Heartbeat(SentHeartbeat),
    /// Heartbeats that a controller which does not lead has gathered; all go the same way.
    RelayBatch(Vec<SentHeartbeat>),
    HeartbeatAnswer {
        worker: usize,
        sent_at: u64,
        agent_epoch: AgentEpoch,
        answer: HeartbeatResponse,
    },
    Orders {
        leader: u64,
        request: RequestId,
        worker: usize,
        body: DirectOrders,
    },
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
    FenceRefresh {
        leader: u64,
        transaction: Transaction,
    },
    ReadKey {
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
    LookedUp {
        leader: u64,
        outcomes: Vec<(JobId, JobOutcome)>,
    },
    Watch {
        leader: u64,
        key: String,
        value: Option<(Value, u64)>,
    },
}

impl Simulation {
    pub(super) fn post(&mut self, delay: u64, mail: Mail) {
        self.mail.push((self.now + delay, mail));
    }

    pub(super) fn deliver(&mut self) {
        let now = self.now;
        let (mut due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.mail).into_iter().partition(|(due_at, _)| *due_at <= now);
        self.mail = rest;
        due.sort_by_key(|(due_at, _)| *due_at);
        for (_, mail) in due {
            self.deliver_one(mail);
            self.perform_effects();
        }
    }

    fn deliver_one(&mut self, mail: Mail) {
        match mail {
            Mail::Heartbeat(sent) => self.deliver_heartbeat(&sent),
            Mail::RelayBatch(batch) => self.deliver_relay_batch(&batch),
            Mail::HeartbeatAnswer { worker, sent_at, agent_epoch, answer } => {
                self.deliver_heartbeat_answer(worker, sent_at, agent_epoch, &answer);
            }
            Mail::Orders { leader, request, worker, body } => self.deliver_orders(leader, request, worker, body),
            Mail::Commit { leader, request, transaction } => self.deliver_commit(leader, request, &transaction),
            Mail::FenceRefresh { leader, transaction } => self.deliver_fence_refresh(leader, transaction),
            Mail::ReadKey { leader, transaction } => self.deliver_key_read(leader, &transaction),
            to_leader => self.deliver_to_leader(to_leader),
        }
    }

    /// A late heartbeat may still reach a leader that came meanwhile.
    fn deliver_heartbeat(&mut self, sent: &SentHeartbeat) {
        let Some(answer) = self.answer_heartbeat(sent) else { return };
        if !self.lost() {
            let delay = self.delay();
            self.post(delay, answer);
        }
    }

    fn deliver_relay_batch(&mut self, batch: &[SentHeartbeat]) {
        let answers: Vec<Mail> = batch.iter().filter_map(|sent| self.answer_heartbeat(sent)).collect();
        if !self.lost() {
            let delay = self.delay();
            answers.into_iter().for_each(|answer| self.post(delay, answer));
        }
    }

    /// What the leader answers to a heartbeat, if the answer can reach the worker.
    fn answer_heartbeat(&mut self, sent: &SentHeartbeat) -> Option<Mail> {
        let leader = self.leader.as_mut()?;
        let answer = leader.on_heartbeat(MonotonicTime(self.now), &sent.heartbeat).ok();
        self.digest.answer(answer.as_ref());
        let answer = answer?;
        let worker = &self.workers[sent.worker];
        let reachable = self.now >= worker.cut_until && self.now >= worker.inbound_cut_until;
        let agent_epoch = sent.heartbeat.agent_epoch;
        reachable.then_some(Mail::HeartbeatAnswer { worker: sent.worker, sent_at: sent.sent_at, agent_epoch, answer })
    }

    fn deliver_heartbeat_answer(
        &mut self,
        index: usize,
        sent_at: u64,
        agent_epoch: AgentEpoch,
        answer: &HeartbeatResponse,
    ) {
        let worker = &mut self.workers[index];
        let listens = !worker.dead && self.now >= worker.hangs_until && worker.agent_epoch == agent_epoch.0;
        if !listens
            || self.now - sent_at > HEARTBEAT_TIMEOUT
            || worker.unanswered_heartbeat_sent_at.is_none_or(|awaited| awaited != sent_at)
        {
            return;
        }
        worker.unanswered_heartbeat_sent_at = None;
        if answer.token.0 < worker.token {
            return;
        }
        if answer.token.0 > worker.token {
            worker.next_heartbeat = worker.next_heartbeat.min(self.now + 500);
        }
        worker.token = answer.token.0;
        worker.lease_renewed_at = worker.lease_renewed_at.max(sent_at);
        self.execute(index, &answer.orders);
    }

    fn deliver_orders(&mut self, leader: u64, request: RequestId, index: usize, body: DirectOrders) {
        let worker = &self.workers[index];
        if worker.dead || self.now < worker.up_at {
            return;
        }
        let unanswered = Mail::OrdersResult { leader, request, result: OrdersResult::Unknown };
        if self.now < worker.inbound_cut_until {
            self.post(ORDERS_TIMEOUT, unanswered);
            return;
        }
        let held_until = worker.hangs_until.max(worker.cut_until);
        if self.now < held_until {
            // Held back, and delivered after all.
            let later = held_until - self.now + 10;
            self.post(later, Mail::Orders { leader, request, worker: index, body });
            self.post(ORDERS_TIMEOUT, unanswered);
            return;
        }
        let worker = &mut self.workers[index];
        let accepted = body.token.0 >= worker.token && body.agent_epoch.0 == worker.agent_epoch;
        if accepted {
            worker.token = body.token.0;
            self.execute(index, &body.orders);
        }
        let heartbeat = self.heartbeat(index);
        if self.lost() {
            self.post(ORDERS_TIMEOUT, unanswered);
            return;
        }
        let result = if accepted { OrdersResult::Executed(heartbeat) } else { OrdersResult::Rejected(heartbeat) };
        let delay = self.delay();
        if delay > 1_900 {
            self.post(ORDERS_TIMEOUT, unanswered);
        } else {
            self.post(delay, Mail::OrdersResult { leader, request, result });
        }
    }

    fn deliver_commit(&mut self, leader: u64, request: RequestId, transaction: &Transaction) {
        let outcome = self.commit(transaction);
        let outcome = if self.lost() { CommitOutcome::Unknown } else { outcome };
        let delay = self.rng.random_range(1..20);
        self.post(delay, Mail::Committed { leader, request, outcome });
    }

    fn deliver_fence_refresh(&mut self, leader: u64, transaction: Transaction) {
        if self.commit(&transaction) == CommitOutcome::Committed && !self.faults {
            let (now, revision) = (MonotonicTime(self.now), Revision(self.revision));
            if let Some(scheduler) = self.leader_numbered(leader) {
                scheduler.on_fence_refreshed(now, Some(revision));
                return;
            }
        }
        // Answered late, or not at all: read.
        self.post(100, Mail::ReadKey { leader, transaction });
    }

    fn deliver_key_read(&mut self, leader: u64, transaction: &Transaction) {
        let is_own = |stored: &Value| {
            let mut mutations = transaction.mutations.iter();
            mutations.any(|mutation| matches!(mutation, Mutation::Put { value, .. } if value == stored))
        };
        let leader_key = self.store.get(LEADER_KEY);
        let fence_revision = leader_key.filter(|(value, _)| is_own(value)).map(|(_, revision)| Revision(*revision));
        let now = MonotonicTime(self.now);
        if let Some(scheduler) = self.leader_numbered(leader) {
            scheduler.on_fence_refreshed(now, fence_revision);
        }
    }

    /// Results that the leader which asked for them gets, if it still leads.
    fn deliver_to_leader(&mut self, mail: Mail) {
        let now = MonotonicTime(self.now);
        let Some(number) = mail.addressed_leader() else { return };
        let Some(scheduler) = self.leader_numbered(number) else { return };
        match mail {
            Mail::OrdersResult { request, result, .. } => scheduler.on_orders_result(now, request, result),
            Mail::Committed { request, outcome, .. } => scheduler.on_committed(now, request, outcome),
            Mail::Provisioned { name, outcome, .. } => scheduler.on_provisioned(now, &name, outcome),
            Mail::Terminated { names, ok, .. } => {
                let ids: Vec<_> = names.iter().filter_map(|name| MachineId::parse(name)).collect();
                scheduler.on_terminated(now, &ids, ok);
            }
            Mail::Plan { node, plan, .. } => scheduler.on_plan(now, &node, plan),
            Mail::LookedUp { outcomes, .. } => scheduler.on_outcomes_looked_up(now, &outcomes),
            Mail::Watch { key, value, .. } => {
                let Some(id) = key.strip_prefix(LIVE_PREFIX).and_then(JobId::parse) else { return };
                match value {
                    Some((record, revision)) => scheduler.on_job_accepted(&id, &record, Revision(revision)),
                    None => scheduler.on_job_terminated(&id, JobOutcome::Unknown),
                }
            }
            Mail::Heartbeat(_)
            | Mail::RelayBatch(_)
            | Mail::HeartbeatAnswer { .. }
            | Mail::Orders { .. }
            | Mail::Commit { .. }
            | Mail::FenceRefresh { .. }
            | Mail::ReadKey { .. } => unreachable!("this mail is delivered to workers and the store"),
        }
    }
}

impl Mail {
    /// The number of the leader that a result is for; none for mail that workers and the store get.
    fn addressed_leader(&self) -> Option<u64> {
        match self {
            Mail::OrdersResult { leader, .. }
            | Mail::Committed { leader, .. }
            | Mail::Provisioned { leader, .. }
            | Mail::Terminated { leader, .. }
            | Mail::Plan { leader, .. }
            | Mail::LookedUp { leader, .. }
            | Mail::Watch { leader, .. } => Some(*leader),
            Mail::Heartbeat(_)
            | Mail::RelayBatch(_)
            | Mail::HeartbeatAnswer { .. }
            | Mail::Orders { .. }
            | Mail::Commit { .. }
            | Mail::FenceRefresh { .. }
            | Mail::ReadKey { .. } => None,
        }
    }
}
