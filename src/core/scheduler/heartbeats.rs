//! Processing of worker heartbeats: validation, lease renewal, and reconciliation of the cluster state with
//! the tasks that the worker lists.
//!
//! A response renews the worker's lease (see "leases" in PROTOCOL). Every reason to withhold the response is therefore
//! an explicit [`HeartbeatRejection`].

use super::Scheduler;
use super::orders::{MAX_ORDERS_PER_MESSAGE, describe_orders};
use crate::core::machine::{HeartbeatRoute, Machine, Registration, TaskAttempt};
use crate::ids::{FencingToken, MachineId, Term};
use crate::time::MonotonicTime;
use crate::wire::{Heartbeat, HeartbeatResponse, TaskPhase, TaskStatus};
use log::{Level, debug, info, log, warn};
use thiserror::Error;

/// Why a heartbeat gets no response; the worker's lease is then not renewed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HeartbeatRejection {
    /// The machine's name is not a valid [`MachineId`], so it can't be part of a stored key.
    #[error("malformed machine name")]
    MalformedName,
    /// The cloud has terminated the machine.
    #[error("machine is terminated")]
    Terminated,
    /// The machine is not in the machine table, yet the heartbeat lists tasks. A machine's record is stored
    /// before its first order and deleted only after its termination, so this is a delayed duplicate from a
    /// machine that no longer exists.
    #[error("machine has no record but lists tasks={tasks}")]
    NoRecord {
        /// Number of tasks listed in the heartbeat.
        tasks: usize,
    },
    /// The machine's type or zone is in neither the settings nor the cloud's list of machine types.
    #[error("unknown machine type or zone, kind={kind} zone={zone}")]
    UnknownPool {
        /// Machine type stated by the worker.
        kind: String,
        /// Zone stated by the worker.
        zone: String,
    },
    /// The heartbeat belongs to an agent epoch that has ended (an epoch ends when the worker loses its lease), or is a
    /// duplicate of (or older than) one that was already accepted. No worker waits for the response, and the heartbeat
    /// doesn't show that the machine is alive.
    #[error("duplicate heartbeat, or from an agent epoch that has ended")]
    Superseded,
    /// The worker has not acknowledged its fencing token for longer than a lease, so responses probably don't reach it.
    /// Without a response the worker's lease expires, which proves that it runs no task any more.
    #[error("worker has not acknowledged its fencing token within a lease")]
    UnacknowledgedToken,
}

impl HeartbeatRejection {
    /// Whether an operator should investigate. The other rejections are expected on a lossy network.
    fn needs_attention(&self) -> bool {
        match self {
            HeartbeatRejection::UnknownPool { .. } => true,
            HeartbeatRejection::MalformedName
            | HeartbeatRejection::Terminated
            | HeartbeatRejection::NoRecord { .. }
            | HeartbeatRejection::Superseded
            | HeartbeatRejection::UnacknowledgedToken => false,
        }
    }
}

impl Scheduler {
    /// Processes a heartbeat that was received directly from its worker.
    ///
    /// # Errors
    /// Returns the reason why the heartbeat gets no response.
    pub fn on_heartbeat(
        &mut self,
        now: MonotonicTime,
        heartbeat: &Heartbeat,
    ) -> Result<HeartbeatResponse, HeartbeatRejection> {
        self.on_heartbeat_via(now, heartbeat, HeartbeatRoute::DIRECT)
    }

    /// Processes a worker's heartbeat that was received over `route`.
    ///
    /// # Errors
    /// Returns the reason why the heartbeat gets no response.
    pub fn on_heartbeat_via(
        &mut self,
        now: MonotonicTime,
        heartbeat: &Heartbeat,
        route: HeartbeatRoute,
    ) -> Result<HeartbeatResponse, HeartbeatRejection> {
        let response = self.accept_heartbeat(now, heartbeat, route);
        if let Err(rejection) = &response {
            let level = if rejection.needs_attention() { Level::Warn } else { Level::Debug };
            log!(level, "machine {}: heartbeat rejected: {rejection}", heartbeat.machine);
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
            self.add_reporting_machine(now, &id, heartbeat)?;
        }
        self.record_liveness(now, &id, heartbeat)?;
        let is_newer = self.apply_heartbeat(now, &id, heartbeat);
        self.renew_lease(now, &id, heartbeat.token, route)?;
        self.respond(&id, is_newer)
    }

    /// Adds the machine that sent this heartbeat to the machine table, which doesn't contain it yet.
    fn add_reporting_machine(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        heartbeat: &Heartbeat,
    ) -> Result<(), HeartbeatRejection> {
        if !heartbeat.tasks.is_empty() {
            return Err(HeartbeatRejection::NoRecord { tasks: heartbeat.tasks.len() });
        }
        let Some((kind, zone)) = self.catalog.type_and_zone_numbers(&heartbeat.machine_type, &heartbeat.zone) else {
            let (kind, zone) = (heartbeat.machine_type.clone(), heartbeat.zone.clone());
            return Err(HeartbeatRejection::UnknownPool { kind, zone });
        };
        // A machine's record is stored before its first order, so no leader has sent orders to a machine without a
        // record. Such a machine counts as reconciled (all its tasks are known) from the start.
        let machine = Machine::new(heartbeat.endpoint.clone(), kind, zone, heartbeat.spot, now);
        self.machines.known.insert(id.clone(), machine);
        Ok(())
    }

    /// Records the heartbeat as the machine's latest, which shows that its agent epoch is still alive. Rejects
    /// duplicates and heartbeats of agent epochs that have ended. After a gap in the heartbeats, the run times of the
    /// machine's tasks count as not fully observed.
    fn record_liveness(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        heartbeat: &Heartbeat,
    ) -> Result<(), HeartbeatRejection> {
        let heartbeat_timeout = self.heartbeat_timeout();
        let machine = self.machines.known.get_mut(id).ok_or(HeartbeatRejection::Terminated)?;
        let position = (heartbeat.agent_epoch, heartbeat.sequence);
        if heartbeat.agent_epoch < machine.agent_epoch || position <= machine.latest_heartbeat_position {
            return Err(HeartbeatRejection::Superseded);
        }
        machine.latest_heartbeat_position = position;
        machine.lease_expired = false;
        if now - machine.last_heartbeat_at > heartbeat_timeout {
            machine.allocations.values_mut().for_each(|allocation| allocation.fully_observed = false);
        }
        Ok(())
    }

    /// Decides whether the response may renew the worker's lease. A heartbeat whose contents are outdated by a later
    /// answer to orders still renews the lease.
    fn renew_lease(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        token: FencingToken,
        route: HeartbeatRoute,
    ) -> Result<(), HeartbeatRejection> {
        let machine = self.machines.known.get_mut(id).ok_or(HeartbeatRejection::Terminated)?;
        if token >= machine.required_token(self.term) {
            machine.unacknowledged_since = None;
        } else if now - *machine.unacknowledged_since.get_or_insert(now) > self.limits.lease
            && !self.machines.many_unacknowledged
        {
            return Err(HeartbeatRejection::UnacknowledgedToken);
        }
        machine.last_heartbeat_at = now;
        machine.route = Some(route);
        Ok(())
    }

    /// Builds the response to an accepted heartbeat. It carries every stop order that is due, however many and even
    /// while other orders are in flight: a worker whose lease is renewed must not keep running a cancelled task. Clear
    /// orders are added only if `is_newer`: no later message has been applied before this heartbeat.
    fn respond(&mut self, id: &MachineId, is_newer: bool) -> Result<HeartbeatResponse, HeartbeatRejection> {
        self.stop_ended_tasks(id);
        let machine = self.machines.known.get_mut(id).ok_or(HeartbeatRejection::Terminated)?;
        let mut orders = machine.pending_stops();
        machine.outbox.discard_stops();
        // The worker would refuse orders in flight if it got a response with a higher token before them.
        if is_newer && machine.orders_in_flight.is_none() && self.raise_fence_for_clears(id) {
            // Run orders are only sent directly, where the worker's answer confirms them. Clear orders, which delete
            // exited tasks from the worker's list, only go with responses to heartbeats.
            let machine = self.machines.known.get_mut(id).ok_or(HeartbeatRejection::Terminated)?;
            orders.extend(machine.outbox.take_clears(MAX_ORDERS_PER_MESSAGE.saturating_sub(orders.len())));
        }
        let machine = self.machines.known.get(id).ok_or(HeartbeatRejection::Terminated)?;
        let token = machine.token(self.term);
        if !orders.is_empty() {
            debug!("machine {id}: orders sent with a response, token={token} orders={}", describe_orders(&orders));
        }
        self.flush_machine(id);
        Ok(HeartbeatResponse { token, orders })
    }

    /// Updates the cluster state with the task list that a worker sent, in a heartbeat or in an answer to
    /// orders. Returns `false` and changes nothing if a later message was already applied.
    pub(super) fn apply_heartbeat(&mut self, now: MonotonicTime, id: &MachineId, heartbeat: &Heartbeat) -> bool {
        let Some(machine) = self.machines.known.get_mut(id) else { return false };
        if (heartbeat.agent_epoch, heartbeat.sequence) <= (machine.agent_epoch, machine.sequence) {
            return false;
        }
        machine.endpoint.clone_from(&heartbeat.endpoint);
        if !machine.up {
            machine.up = true;
            machine.idle_since = None;
            info!("machine {id} is up after_s={:.0}", (now - machine.created_at).as_secs_f64());
        }
        if heartbeat.agent_epoch > machine.agent_epoch && machine.agent_epoch.0 > 0 {
            // With a new agent epoch the worker has killed and forgotten all tasks of the previous one.
            if !machine.allocations.is_empty() {
                info!(
                    "machine {id}: new agent epoch, tasks of the previous one are lost, tasks={}",
                    machine.allocations.len()
                );
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
        let needs_registration = machine.registration == Registration::Unregistered && !machine.retiring;
        let lost = machine.lost_tasks(heartbeat.token);
        if is_newly_reconciled || needs_registration {
            self.rounds.request();
        }
        self.remove_lost_tasks(id, lost, false);
        true
    }

    /// Drains a machine on the first notice that the cloud reclaims it in `notice_s` seconds.
    fn apply_spot_notice(&mut self, now: MonotonicTime, id: &MachineId, notice_s: f64) {
        let Some(machine) = self.machines.known.get_mut(id).filter(|machine| !machine.spot_notice) else { return };
        info!("machine {id}: spot reclamation notice, notice_s={notice_s:.0}");
        machine.spot_notice = true;
        if machine.spot {
            self.spot_lifetimes.record_reclamation((now - machine.created_at).as_secs_f64());
        }
        self.drain(now, id, notice_s);
    }

    fn apply_task_list(&mut self, now: MonotonicTime, id: &MachineId, tasks: &[TaskStatus]) {
        let Some(machine) = self.machines.known.get_mut(id) else { return };
        machine.task_lists_applied += 1;
        self.meter.add_tasks(machine.allocations.len() + tasks.len());
        let mut changed: Vec<(TaskAttempt, &TaskStatus)> = Vec::new();
        for listed in tasks {
            let Some(task) = listed.task else {
                warn!("machine {id} lists a task with a malformed name");
                continue;
            };
            let key = (task, listed.attempt);
            let job = self.jobs.live.get(&task.job);
            match machine.allocations.get_mut(&key) {
                // The common case: nothing has changed since the last list.
                Some(allocation)
                    if allocation.is_unchanged(listed.phase) && job.is_some_and(|job| job.may_continue(&key)) =>
                {
                    allocation.last_task_list = machine.task_lists_applied;
                }
                // The task is done and its exit already processed. The worker keeps listing the task until its
                // completion is in the key-value store.
                Some(allocation)
                    if allocation.has_exited()
                        && listed.is_done()
                        && job.is_some_and(|job| !job.is_durably_done(task.index)) =>
                {
                    allocation.last_task_list = machine.task_lists_applied;
                }
                _ => changed.push((key, listed)),
            }
        }
        for (key, listed) in changed {
            self.apply_task_status(now, id, &key, listed);
        }
    }
}

/// The response of a leader that is still loading the cluster state. It can't tell which tasks are cancelled,
/// so it must not renew the lease of a worker that runs tasks: such a worker gets no token and so ignores the
/// response, but doesn't look for another controller either.
pub fn response_before_load(term: Term, heartbeat: &Heartbeat) -> HeartbeatResponse {
    let is_empty = heartbeat.tasks.iter().all(|listed| listed.phase == TaskPhase::Exited);
    let token = if is_empty { FencingToken::new(term, 0) } else { FencingToken::NONE };
    HeartbeatResponse { token, orders: Vec::new() }
}

#[cfg(test)]
mod tests;
