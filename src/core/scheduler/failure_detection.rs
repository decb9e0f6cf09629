//! Failure detection: leases that expire, suspected machines, and the machines to retire.
//!
//! Only an expired lease or a termination proves a machine's tasks gone; suspicion merely retires it.

use super::Scheduler;
use super::scale_in::{idle_timeout, is_termination_due, review_idleness};
use super::task_exit::QUARANTINE_ERROR_THRESHOLD;
use crate::core::machine::{HeartbeatRoute, Machine, Registration};
use crate::ids::MachineId;
use crate::time::{Millis, MonotonicTime};
use crate::wire::MachineType;
use log::{Level, info, log};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Added to the lease before it counts as expired: for the message's way to the worker.
const LEASE_MARGIN: Millis = Millis(300);

/// Part of the lease without heartbeats after which a machine is suspected.
const SUSPICION_LEASE_FACTOR: f64 = 0.55;

/// The same where the leader's load or the network is the likelier cause.
const EXCUSED_SUSPICION_LEASE_FACTOR: f64 = 3.0;

/// How many times its type's boot time a machine may take to come up.
const BOOT_TIMEOUT_FACTOR: f64 = 3.5;

/// The shortest time that a machine has to come up, in seconds.
const MIN_BOOT_TIMEOUT_S: f64 = 60.0;

/// Where many machines are suspected at once: rather a cut, a peer that has ended or a leader just
/// elected than dead machines.
struct MassSuspicion {
    everywhere: bool,
    /// Of those whose heartbeats came this way.
    routes: BTreeSet<Option<HeartbeatRoute>>,
}

/// Whether so many of the machines that are up are in trouble that the machines themselves are hardly
/// its cause.
fn is_mass_failure(count: usize, up: usize) -> bool {
    count > 2 && count * 3 > up
}

/// Why a machine is retired.
enum RetirementReason {
    /// It was provisioned, and no heartbeat has come for longer than it may take to boot.
    NeverCameUp,
    /// Its heartbeats have been late for this long.
    Suspected(Millis),
    /// It doesn't acknowledge its token: responses and orders don't reach it.
    Unacknowledged,
    /// It is empty, and the cloud reclaims it.
    Reclaimed,
    /// It is empty and quarantined.
    Quarantined,
}

impl fmt::Display for RetirementReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RetirementReason::NeverCameUp => f.write_str("it has not come up"),
            RetirementReason::Suspected(late) => write!(f, "suspected, no heartbeat for_s={:.1}", late.as_secs_f64()),
            RetirementReason::Unacknowledged => f.write_str("it doesn't acknowledge its token"),
            RetirementReason::Reclaimed => f.write_str("it is reclaimed and empty"),
            RetirementReason::Quarantined => f.write_str("it is quarantined and empty"),
        }
    }
}

impl RetirementReason {
    /// A machine that is retired once it is empty was logged when it was reclaimed or quarantined.
    fn log_level(&self) -> Level {
        match self {
            RetirementReason::NeverCameUp | RetirementReason::Suspected(_) | RetirementReason::Unacknowledged => {
                Level::Info
            }
            RetirementReason::Reclaimed | RetirementReason::Quarantined => Level::Debug,
        }
    }
}

/// What one review of the machines decides by.
struct Review {
    now: MonotonicTime,
    /// Since when this leader has its cluster state.
    since: MonotonicTime,
    lease: Millis,
    list_lag: Millis,
    is_overloaded: bool,
    mass_suspicion: MassSuspicion,
    many_unacknowledged: bool,
}

impl Review {
    /// How long a machine's heartbeats may be missing until it is suspected.
    fn suspicion_timeout(&self, machine: &Machine) -> Millis {
        let suspicion = &self.mass_suspicion;
        let excused = self.is_overloaded || suspicion.everywhere || suspicion.routes.contains(&machine.route);
        let factor = if excused { EXCUSED_SUSPICION_LEASE_FACTOR } else { SUSPICION_LEASE_FACTOR };
        let timeout = self.lease.mul_f64(factor);
        // A worker may need some seconds to find a new leader: until it has, its heartbeats may be
        // missing for a lease.
        if machine.token_acknowledged { timeout } else { timeout.max(self.lease) }
    }

    fn retirement_reason(&self, machine: &Machine, machine_type: &MachineType) -> Option<RetirementReason> {
        let boot_s = (machine_type.boot_s * BOOT_TIMEOUT_FACTOR).max(MIN_BOOT_TIMEOUT_S);
        let boot_timeout = Millis::from_secs_f64(boot_s) + self.list_lag;
        let late = self.now - machine.last_heartbeat_at.max(self.since);
        if !machine.up
            && machine.registration == Registration::Unregistered
            && self.now - machine.created_at > boot_timeout
        {
            Some(RetirementReason::NeverCameUp)
        } else if machine.registration == Registration::Registered && late > self.suspicion_timeout(machine) {
            Some(RetirementReason::Suspected(late))
        } else if is_unacknowledged(machine, self.now, self.lease) && !self.many_unacknowledged {
            Some(RetirementReason::Unacknowledged)
        } else if !machine.up || machine.has_active_tasks() || !machine.reconciled {
            None
        } else if machine.spot_notice {
            Some(RetirementReason::Reclaimed)
        } else if machine.consecutive_failures >= QUARANTINE_ERROR_THRESHOLD && machine.quarantined_until > self.now {
            Some(RetirementReason::Quarantined)
        } else {
            None
        }
    }
}

/// The machine has been answered for longer than a lease without acknowledging its token.
fn is_unacknowledged(machine: &Machine, now: MonotonicTime, lease: Millis) -> bool {
    machine.unacknowledged_since.is_some_and(|since| now - since > lease)
}

impl Scheduler {
    /// Past its lease a worker that nobody answered has killed all its tasks (PROTOCOL, leases).
    pub(super) fn expire_leases(&mut self, now: MonotonicTime) {
        let lease = self.limits.lease.plus_clock_drift() + LEASE_MARGIN;
        let mut expired = Vec::new();
        for (id, machine) in &mut self.machines.known {
            // Before this leader, answers may have been given until it was elected.
            let answered_at = machine.last_heartbeat_at.max(self.since);
            if now - answered_at.max(machine.agent_epoch_first_heard) <= lease {
                continue;
            }
            if !machine.reconciled {
                machine.reconciled = true;
                self.rounds.request();
            }
            if !machine.lease_expired {
                machine.lease_expired = true;
                expired.push(id.clone());
            }
        }
        for id in expired {
            let Some(machine) = self.machines.known.get_mut(&id) else { continue };
            if !machine.allocations.is_empty() {
                info!("machine {id}: lease expired, tasks={}", machine.allocations.len());
            }
            // Messages of the ended agent epoch that come late mean nothing any more.
            if machine.agent_epoch.0 > 0 {
                machine.agent_epoch.0 += 1;
                machine.sequence.0 = 0;
                machine.latest_heartbeat_position = (machine.agent_epoch, machine.sequence);
            }
            machine.outbox.clear();
            let is_spot = machine.spot;
            self.remove_all_lost_tasks(&id, is_spot);
        }
    }

    /// Retires machines that have failed or are idle, and has retiring ones terminated.
    pub(super) fn review_machines(&mut self, now: MonotonicTime) {
        let review = self.start_review(now);
        let mut retiring: Vec<MachineId> = Vec::new();
        let mut idle: Vec<MachineId> = Vec::new();
        for (id, machine) in &mut self.machines.known {
            let machine_type = &self.catalog.types[machine.kind];
            if !machine.retiring
                && let Some(reason) = review.retirement_reason(machine, machine_type)
            {
                log!(reason.log_level(), "machine {id} is retired: {reason}");
                machine.retiring = true;
            }
            if review_idleness(machine, now, idle_timeout(&self.tuning, machine_type)) {
                idle.push(id.clone());
            }
            if is_termination_due(machine, now) {
                retiring.push(id.clone());
            }
        }
        self.terminate(retiring, idle);
    }

    /// Looks at all machines together, before each is decided on.
    fn start_review(&mut self, now: MonotonicTime) -> Review {
        let lease = self.limits.lease;
        let machines = || self.machines.known.values();
        let up = machines().filter(|machine| machine.up && machine.registration == Registration::Registered).count();
        let unacknowledged = machines().filter(|machine| is_unacknowledged(machine, now, lease)).count();
        let many_unacknowledged = is_mass_failure(unacknowledged, up);
        self.machines.many_unacknowledged = many_unacknowledged;
        Review {
            now,
            since: self.since,
            lease,
            list_lag: self.limits.list_lag,
            is_overloaded: self.load.is_overloaded(),
            mass_suspicion: self.mass_suspicion(now),
            many_unacknowledged,
        }
    }

    fn mass_suspicion(&self, now: MonotonicTime) -> MassSuspicion {
        let heartbeat_timeout = self.heartbeat_timeout();
        let mut counts: BTreeMap<Option<HeartbeatRoute>, (usize, usize)> = BTreeMap::new();
        let machines = self.machines.known.values();
        for machine in machines.filter(|machine| machine.registration == Registration::Registered) {
            let (up, late) = counts.entry(machine.route).or_default();
            *up += usize::from(machine.up);
            *late += usize::from(now - machine.last_heartbeat_at > heartbeat_timeout);
        }
        let up = counts.values().map(|(up, _)| up).sum();
        let late = counts.values().map(|(_, late)| late).sum();
        // Machines that were never heard from tell nothing about a route.
        let on_route = |(route, (up, late)): (&Option<HeartbeatRoute>, &(usize, usize))| {
            (route.is_some() && is_mass_failure(*late, *up)).then_some(*route)
        };
        let routes = counts.iter().filter_map(on_route).collect();
        MassSuspicion { everywhere: is_mass_failure(late, up), routes }
    }

    /// Leading for long enough that workers which can find this leader have done so. Before that,
    /// missing heartbeats prove nothing, and two leaders would hand over to and fro.
    pub fn settled(&self, now: MonotonicTime) -> bool {
        now - self.since > self.limits.lease
    }

    /// Machines whose heartbeats are missing, and how many machines should send some.
    pub fn suspected_machines(&self, now: MonotonicTime) -> (Vec<String>, usize) {
        // Less than what makes a machine unusable: a cut leaves little time to find another leader.
        let timeout = self.limits.heartbeat.mul_f64(1.25) + Millis(500);
        let is_expected = |machine: &Machine| machine.registration == Registration::Registered && !machine.retiring;
        let expected = || self.machines.known.iter().filter(|(_, machine)| is_expected(machine));
        // Those on their way to a new leader must still be sent to it.
        let settled = self.settled(now);
        let suspected = expected().filter(|(_, machine)| {
            (settled || machine.token_acknowledged) && now - machine.last_heartbeat_at.max(self.since) > timeout
        });
        (suspected.map(|(id, _)| id.to_string()).collect(), expected().count())
    }

    /// A worker whose last heartbeat is older gets no new tasks.
    pub(super) fn heartbeat_timeout(&self) -> Millis {
        self.limits.heartbeat.mul_f64(2.0) + Millis(500)
    }
}

#[cfg(test)]
mod tests;
