//! Accepting a worker's heartbeat and answering it.
//!
//! A response renews the worker's lease (PROTOCOL, leases), so each reason not to give one is a
//! [`HeartbeatRejection`].

use super::Scheduler;
use super::orders::MAX_ORDERS_PER_MESSAGE;
use crate::core::machine::{HeartbeatRoute, Machine, Registration, TaskAttempt};
use crate::ids::{FencingToken, MachineId, Term};
use crate::time::MonotonicTime;
use crate::wire::{Heartbeat, HeartbeatResponse, Order, TaskPhase, TaskStatus};
use log::{Level, info, log, warn};
use thiserror::Error;

/// Why a heartbeat gets no response. The worker's lease isn't renewed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HeartbeatRejection {
    /// The machine's name can't be part of a stored key.
    #[error("the machine's name is malformed")]
    MalformedName,
    /// The cloud has terminated the machine.
    #[error("the machine is terminated")]
    Terminated,
    /// Machines are recorded before their first order and until their termination is proven, so a
    /// heartbeat that lists tasks of a machine without a record is a late copy.
    #[error("the machine has no record and lists tasks={tasks}")]
    NoRecord {
        /// How many tasks it lists.
        tasks: usize,
    },
    /// The machine's type or its zone is in neither the settings nor the cloud's list of types.
    #[error("unknown type or zone, kind={kind} zone={zone}")]
    UnknownPool {
        /// The type that the worker states.
        kind: String,
        /// The zone that the worker states.
        zone: String,
    },
    /// Of an agent epoch that has ended, or a copy of a heartbeat that was accepted before. No worker
    /// waits for a response to it, and it is no sign of life.
    #[error("a copy, or of an agent epoch that has ended")]
    Superseded,
    /// Responses haven't reached the worker for a lease. Without them its lease runs out, which
    /// proves it empty.
    #[error("the worker doesn't acknowledge its token")]
    UnacknowledgedToken,
    /// More stops are due than one message may carry. A response without all of them would renew the
    /// lease of tasks that must end.
    #[error("too many for a response, stops={stops}")]
    TooManyStops {
        /// How many stops are due.
        stops: usize,
    },
}

impl HeartbeatRejection {
    /// Whether operators should look into it; the others are expected on a lossy network.
    fn needs_attention(&self) -> bool {
        match self {
            HeartbeatRejection::UnknownPool { .. } | HeartbeatRejection::TooManyStops { .. } => true,
            HeartbeatRejection::MalformedName
            | HeartbeatRejection::Terminated
            | HeartbeatRejection::NoRecord { .. }
            | HeartbeatRejection::Superseded
            | HeartbeatRejection::UnacknowledgedToken => false,
        }
    }
}

impl Scheduler {
    /// Accepts a heartbeat that has come directly from its worker.
    ///
    /// # Errors
    /// Why it isn't answered.
    pub fn on_heartbeat(
        &mut self,
        now: MonotonicTime,
        heartbeat: &Heartbeat,
    ) -> Result<HeartbeatResponse, HeartbeatRejection> {
        self.on_heartbeat_via(now, heartbeat, HeartbeatRoute::DIRECT)
    }

    /// Accepts a worker's heartbeat that has come by `route`.
    ///
    /// # Errors
    /// Why it isn't answered.
    pub fn on_heartbeat_via(
        &mut self,
        now: MonotonicTime,
        heartbeat: &Heartbeat,
        route: HeartbeatRoute,
    ) -> Result<HeartbeatResponse, HeartbeatRejection> {
        let response = self.accept_heartbeat(now, heartbeat, route);
        if let Err(rejection) = &response {
            let level = if rejection.needs_attention() { Level::Warn } else { Level::Debug };
            log!(level, "machine {}: heartbeat not answered: {rejection}", heartbeat.machine);
        }
        response
    }

    fn accept_heartbeat(
        &mut self,
        now: MonotonicTime,
        heartbeat: &Heartbeat,
        route: HeartbeatRoute,
    ) -> Result<HeartbeatResponse, HeartbeatRejection> {
        let id = MachineId::parse(&heartbeat.machine).ok_or(HeartbeatRejection::MalformedName)?;
        if self.machines.is_terminated(&id) {
            return Err(HeartbeatRejection::Terminated);
        }
        if !self.machines.known.contains_key(&id) {
            self.enter_reporting_machine(now, &id, heartbeat)?;
        }
        self.record_sign_of_life(now, &id, heartbeat)?;
        let is_newer = self.apply_heartbeat(now, &id, heartbeat);
        self.renew_lease(now, &id, heartbeat.token, route)?;
        self.respond(&id, is_newer)
    }

    /// Enters a machine that this leader hears of by its first heartbeat.
    fn enter_reporting_machine(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        heartbeat: &Heartbeat,
    ) -> Result<(), HeartbeatRejection> {
        if !heartbeat.tasks.is_empty() {
            return Err(HeartbeatRejection::NoRecord { tasks: heartbeat.tasks.len() });
        }
        let Some((kind, zone)) = self.catalog.place_of(&heartbeat.kind, &heartbeat.zone) else {
            let (kind, zone) = (heartbeat.kind.clone(), heartbeat.zone.clone());
            return Err(HeartbeatRejection::UnknownPool { kind, zone });
        };
        // Nobody has ordered anything here: orders come after the machine's record.
        let machine = Machine::new(heartbeat.endpoint.clone(), kind, zone, heartbeat.spot, now);
        self.machines.known.insert(id.clone(), machine);
        Ok(())
    }

    /// The heartbeat is later than all earlier ones: its agent epoch goes on.
    fn record_sign_of_life(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        heartbeat: &Heartbeat,
    ) -> Result<(), HeartbeatRejection> {
        let heartbeat_timeout = self.heartbeat_timeout();
        let machine = self.machines.known.get_mut(id).ok_or(HeartbeatRejection::Terminated)?;
        let position = (heartbeat.agent_epoch, heartbeat.sequence);
        if heartbeat.agent_epoch < machine.agent_epoch || position <= machine.latest_heartbeat {
            return Err(HeartbeatRejection::Superseded);
        }
        machine.latest_heartbeat = position;
        machine.lease_expired = false;
        if now - machine.last_heartbeat > heartbeat_timeout {
            machine.allocations.values_mut().for_each(|allocation| allocation.fully_observed = false);
        }
        Ok(())
    }

    /// Decides whether the response may renew the worker's lease. Also a heartbeat that an answer to
    /// orders has overtaken renews it.
    fn renew_lease(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        token: FencingToken,
        route: HeartbeatRoute,
    ) -> Result<(), HeartbeatRejection> {
        let machine = self.machines.known.get_mut(id).ok_or(HeartbeatRejection::Terminated)?;
        if token >= FencingToken::new(self.term, machine.fence) {
            machine.unacknowledged_since = None;
        } else if now - *machine.unacknowledged_since.get_or_insert(now) > self.limits.lease
            && !self.machines.many_unacknowledged
        {
            return Err(HeartbeatRejection::UnacknowledgedToken);
        }
        machine.last_heartbeat = now;
        machine.route = Some(route);
        Ok(())
    }

    /// The response to an accepted heartbeat. It carries every stop that is due, whatever else is under
    /// way: a worker whose lease it renews must not keep a cancelled task.
    fn respond(&mut self, id: &MachineId, is_newer: bool) -> Result<HeartbeatResponse, HeartbeatRejection> {
        let machine = self.machines.known.get_mut(id).ok_or(HeartbeatRejection::Terminated)?;
        let token = FencingToken::new(self.term, machine.fence);
        let mut orders = machine.pending_stops();
        if orders.len() > MAX_ORDERS_PER_MESSAGE {
            self.flush_machine(id);
            return Err(HeartbeatRejection::TooManyStops { stops: orders.len() });
        }
        machine.outbox.retain(|order| !matches!(order, Order::Stop { .. }));
        if is_newer && machine.in_flight.is_none() {
            // Runs only go out directly, where an answer proves them; clears may ride along.
            let left = MAX_ORDERS_PER_MESSAGE - orders.len();
            let (clears, mut rest): (Vec<Order>, Vec<Order>) =
                machine.outbox.drain(..).partition(|order| matches!(order, Order::Clear { .. }));
            rest.extend_from_slice(clears.get(left..).unwrap_or_default());
            orders.extend(clears.into_iter().take(left));
            machine.outbox = rest;
        }
        self.flush_machine(id);
        Ok(HeartbeatResponse { token, orders })
    }

    /// Brings the cluster state up to date with what a worker lists, in a heartbeat or in an answer to
    /// orders. False: a later message has been applied before, so nothing was done.
    pub(super) fn apply_heartbeat(&mut self, now: MonotonicTime, id: &MachineId, heartbeat: &Heartbeat) -> bool {
        let Some(machine) = self.machines.known.get_mut(id) else { return false };
        if (heartbeat.agent_epoch, heartbeat.sequence) <= (machine.agent_epoch, machine.sequence) {
            return false;
        }
        machine.endpoint.clone_from(&heartbeat.endpoint);
        if !machine.up {
            machine.up = true;
            machine.idle_since = None;
            info!("machine {id} is up after_s={:.0}", (now - machine.since).as_secs_f64());
        }
        if heartbeat.agent_epoch > machine.agent_epoch && machine.agent_epoch.0 > 0 {
            // The worker has killed and forgotten all that it had.
            if !machine.allocations.is_empty() {
                info!("machine {id}: new agent epoch, tasks={}", machine.allocations.len());
            }
            self.remove_all_lost_tasks(id, false);
        }
        let Some(machine) = self.machines.known.get_mut(id) else { return false };
        if machine.advance_sequence(now, heartbeat, self.term) {
            self.rounds.request();
        }
        if let Some(notice_s) = heartbeat.notice_s {
            self.apply_spot_notice(now, id, notice_s);
        }
        self.apply_task_list(now, id, &heartbeat.tasks);
        let Some(machine) = self.machines.known.get_mut(id) else { return false };
        let is_newly_reconciled = machine.reconcile(heartbeat.token, self.term);
        let awaits_registration = machine.registration == Registration::Unregistered && !machine.retiring;
        let gone = machine.unlisted_tasks(heartbeat.token);
        if is_newly_reconciled || awaits_registration {
            self.rounds.request();
        }
        self.remove_lost_tasks(id, gone, false);
        true
    }

    /// The first notice that a machine is reclaimed in `notice_s` seconds drains it.
    fn apply_spot_notice(&mut self, now: MonotonicTime, id: &MachineId, notice_s: f64) {
        let Some(machine) = self.machines.known.get_mut(id).filter(|machine| !machine.spot_notice) else { return };
        info!("machine {id} is reclaimed soon, notice_s={notice_s:.0}");
        machine.spot_notice = true;
        if machine.spot {
            self.spot_lives.ended((now - machine.since).as_secs_f64());
        }
        self.drain(now, id, notice_s);
    }

    fn apply_task_list(&mut self, now: MonotonicTime, id: &MachineId, tasks: &[TaskStatus]) {
        let Some(machine) = self.machines.known.get_mut(id) else { return };
        machine.heartbeats_applied += 1;
        self.cost.add_tasks(machine.allocations.len() + tasks.len());
        let mut changed: Vec<(TaskAttempt, &TaskStatus)> = Vec::new();
        for listed in tasks {
            let Some(task) = listed.task else {
                warn!("machine {id} lists a task with a malformed name");
                continue;
            };
            let key = (task, listed.attempt);
            let job = self.jobs.live.get(&task.job);
            match machine.allocations.get_mut(&key) {
                // Most of what workers list, they have listed before.
                Some(allocation)
                    if allocation.is_unchanged(listed.phase) && job.is_some_and(|job| job.may_continue(&key)) =>
                {
                    allocation.last_listed = machine.heartbeats_applied;
                }
                // Done, and kept by the worker until that is durable.
                Some(allocation)
                    if allocation.has_exited()
                        && listed.is_done()
                        && job.is_some_and(|job| !job.is_durably_done(task.index)) =>
                {
                    allocation.last_listed = machine.heartbeats_applied;
                }
                _ => changed.push((key, listed)),
            }
        }
        for (key, listed) in changed {
            self.apply_task_status(now, id, &key, listed);
        }
    }
}

/// The response of a leader that is still loading its cluster state. It can't tell which tasks are
/// cancelled, so it renews no lease over any: workers drop a response without a token, but it keeps
/// them at this controller.
pub fn response_before_load(term: Term, heartbeat: &Heartbeat) -> HeartbeatResponse {
    let is_empty = heartbeat.tasks.iter().all(|listed| listed.phase == TaskPhase::Exited);
    let token = if is_empty { FencingToken::new(term, 0) } else { FencingToken::NONE };
    HeartbeatResponse { token, orders: Vec::new() }
}

#[cfg(test)]
mod tests;
