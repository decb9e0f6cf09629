//! Failure detection: expired leases, suspected machines, and the decision to retire a machine.
//!
//! Missing heartbeats only make a machine suspected. A suspected machine is retired: it gets no new tasks and is
//! terminated. Its tasks count as lost only once its lease has expired or the cloud has terminated it.

use super::Scheduler;
use super::scale_in::{idle_timeout, is_termination_due, review_idleness};
use super::task_exit::QUARANTINE_FAILURE_THRESHOLD;
use crate::core::machine::{HeartbeatRoute, Machine, Registration};
use crate::ids::MachineId;
use crate::time::{Millis, MonotonicTime};
use crate::wire::MachineType;
use log::{Level, info, log};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Time added to a worker's lease before the leader treats the lease as expired, to cover the delivery time of the
/// response that renewed the lease.
const LEASE_MARGIN: Millis = Millis(300);

/// A machine is suspected after this fraction of a lease without a heartbeat.
const SUSPICION_LEASE_FACTOR: f64 = 0.55;

/// Replaces [`SUSPICION_LEASE_FACTOR`] while an overloaded leader or a network fault is the likelier cause of
/// missing heartbeats.
const LENIENT_SUSPICION_LEASE_FACTOR: f64 = 3.0;

/// A provisioned machine must send its first heartbeat within this multiple of its machine type's boot time.
const BOOT_TIMEOUT_FACTOR: f64 = 3.5;

/// Lower bound, in seconds, of the time within which a provisioned machine must send its first heartbeat.
const MIN_BOOT_TIMEOUT_S: f64 = 60.0;

/// Where so many heartbeats are late at the same time that a network partition, a failed peer or a recent election is
/// the likelier cause than failed machines.
struct MassSuspicion {
    /// Whether too many of all machines are late.
    everywhere: bool,
    /// The routes over which the heartbeats of too many machines are late.
    routes: BTreeSet<Option<HeartbeatRoute>>,
}

/// Whether `count` affected machines out of `up` running ones are too many for independent machine failures:
/// at least three, and more than a third.
fn is_mass_failure(count: usize, up: usize) -> bool {
    count > 2 && count * 3 > up
}

/// Why a machine is retired: it gets no new tasks any more and is terminated in the cloud.
enum RetirementReason {
    /// The machine was provisioned but sent no heartbeat within the boot timeout.
    BootTimeout,
    /// No heartbeat of the machine has been accepted for this long.
    Suspected(Millis),
    /// The worker doesn't acknowledge its fencing token, so responses and orders probably don't reach it.
    Unacknowledged,
    /// The cloud reclaims the machine, and no task runs on it any more.
    Reclaimed,
    /// The machine is quarantined, and no task runs on it any more.
    Quarantined,
}

impl fmt::Display for RetirementReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RetirementReason::BootTimeout => f.write_str("no heartbeat within its boot timeout"),
            RetirementReason::Suspected(late) => write!(f, "suspected, no heartbeat for_s={:.1}", late.as_secs_f64()),
            RetirementReason::Unacknowledged => f.write_str("its fencing token was not acknowledged within a lease"),
            RetirementReason::Reclaimed => f.write_str("reclaimed by the cloud and empty"),
            RetirementReason::Quarantined => f.write_str("quarantined and empty"),
        }
    }
}

impl RetirementReason {
    /// `Debug` if the reclamation or quarantine was already logged when it began, otherwise `Info`.
    fn log_level(&self) -> Level {
        match self {
            RetirementReason::BootTimeout | RetirementReason::Suspected(_) | RetirementReason::Unacknowledged => {
                Level::Info
            }
            RetirementReason::Reclaimed | RetirementReason::Quarantined => Level::Debug,
        }
    }
}

/// Cluster-wide inputs of one review, the same for all machines.
struct Review {
    now: MonotonicTime,
    /// When this leader finished loading the cluster state.
    loaded_at: MonotonicTime,
    lease: Millis,
    list_lag: Millis,
    is_overloaded: bool,
    mass_suspicion: MassSuspicion,
    many_unacknowledged: bool,
}

impl Review {
    /// How long a machine may go without an accepted heartbeat until it is suspected.
    fn suspicion_timeout(&self, machine: &Machine) -> Millis {
        let suspicion = &self.mass_suspicion;
        let is_lenient = self.is_overloaded || suspicion.everywhere || suspicion.routes.contains(&machine.route);
        let factor = if is_lenient { LENIENT_SUSPICION_LEASE_FACTOR } else { SUSPICION_LEASE_FACTOR };
        let timeout = self.lease.mul_f64(factor);
        // After an election a worker may need some seconds to find the new leader, so its heartbeats may be
        // missing for up to a lease.
        if machine.token_acknowledged { timeout } else { timeout.max(self.lease) }
    }

    fn retirement_reason(&self, machine: &Machine, machine_type: &MachineType) -> Option<RetirementReason> {
        let boot_s = (machine_type.boot_s * BOOT_TIMEOUT_FACTOR).max(MIN_BOOT_TIMEOUT_S);
        let boot_timeout = Millis::from_secs_f64(boot_s) + self.list_lag;
        let late = self.now - machine.last_heartbeat_at.max(self.loaded_at);
        if !machine.up
            && machine.registration == Registration::Unregistered
            && self.now - machine.created_at > boot_timeout
        {
            Some(RetirementReason::BootTimeout)
        } else if machine.registration == Registration::Registered && late > self.suspicion_timeout(machine) {
            Some(RetirementReason::Suspected(late))
        } else if is_unacknowledged(machine, self.now, self.lease) && !self.many_unacknowledged {
            Some(RetirementReason::Unacknowledged)
        } else if !machine.up || machine.has_active_tasks() || !machine.reconciled {
            None
        } else if machine.spot_notice {
            Some(RetirementReason::Reclaimed)
        } else if machine.consecutive_failures >= QUARANTINE_FAILURE_THRESHOLD && machine.quarantined_until > self.now {
            Some(RetirementReason::Quarantined)
        } else {
            None
        }
    }
}

/// Whether the machine has been sent responses for longer than a lease without acknowledging its fencing token.
fn is_unacknowledged(machine: &Machine, now: MonotonicTime, lease: Millis) -> bool {
    machine.unacknowledged_since.is_some_and(|since| now - since > lease)
}

impl Scheduler {
    /// Expires the leases of machines whose heartbeats nobody has answered for longer than a lease. The worker of such
    /// a machine has killed all its tasks (see "leases" in PROTOCOL), so these tasks are removed as lost.
    pub(super) fn expire_leases(&mut self, now: MonotonicTime) {
        let lease = self.limits.lease.plus_clock_drift() + LEASE_MARGIN;
        let mut expired = Vec::new();
        for (id, machine) in &mut self.machines.known {
            // Until the cluster state was loaded, other leaders, or this one while loading, may have answered
            // heartbeats that `last_heartbeat_at` doesn't show.
            let answered_at = machine.last_heartbeat_at.max(self.loaded_at);
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
            // Advancing the epoch makes delayed messages of the ended agent epoch count as outdated.
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

    /// Reviews all machines: retires those that have failed or are idle, and terminates retiring ones when due.
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
        self.terminate_machines(retiring, idle);
    }

    /// Gathers the cluster-wide inputs of a review, before the machines are reviewed one by one.
    fn start_review(&mut self, now: MonotonicTime) -> Review {
        let lease = self.limits.lease;
        let machines = || self.machines.known.values();
        let up = machines().filter(|machine| machine.up && machine.registration == Registration::Registered).count();
        let unacknowledged = machines().filter(|machine| is_unacknowledged(machine, now, lease)).count();
        let many_unacknowledged = is_mass_failure(unacknowledged, up);
        self.machines.many_unacknowledged = many_unacknowledged;
        Review {
            now,
            loaded_at: self.loaded_at,
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
        // Machines without an accepted heartbeat have no route, so they say nothing about any route.
        let on_route = |(route, (up, late)): (&Option<HeartbeatRoute>, &(usize, usize))| {
            (route.is_some() && is_mass_failure(*late, *up)).then_some(*route)
        };
        let routes = counts.iter().filter_map(on_route).collect();
        MassSuspicion { everywhere: is_mass_failure(late, up), routes }
    }

    /// Whether the cluster state was loaded longer than a lease ago, so that every worker that can reach this
    /// leader has found it. Before that, missing heartbeats prove nothing, and acting on them could make two
    /// controllers hand leadership back and forth.
    pub fn has_led_for_lease(&self, now: MonotonicTime) -> bool {
        now - self.loaded_at > self.limits.lease
    }

    /// The machines whose heartbeats are late, and the number of machines that are expected to send heartbeats.
    pub fn suspected_machines(&self, now: MonotonicTime) -> (Vec<String>, usize) {
        // Shorter than `heartbeat_timeout`: in a network partition little time remains to find another leader before
        // leases expire.
        let timeout = self.limits.heartbeat.mul_f64(1.25) + Millis(500);
        let is_expected = |machine: &Machine| machine.registration == Registration::Registered && !machine.retiring;
        let expected = || self.machines.known.iter().filter(|(_, machine)| is_expected(machine));
        // Until this leader has led for a lease, workers that have not found it yet don't count as late.
        let has_led_for_lease = self.has_led_for_lease(now);
        let suspected = expected().filter(|(_, machine)| {
            (has_led_for_lease || machine.token_acknowledged)
                && now - machine.last_heartbeat_at.max(self.loaded_at) > timeout
        });
        (suspected.map(|(id, _)| id.to_string()).collect(), expected().count())
    }

    /// The age of a machine's last heartbeat beyond which it gets no new tasks.
    pub(super) fn heartbeat_timeout(&self) -> Millis {
        self.limits.heartbeat.mul_f64(2.0) + Millis(500)
    }
}

#[cfg(test)]
mod tests;
