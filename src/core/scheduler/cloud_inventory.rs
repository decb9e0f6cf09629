//! Reconciliation of the machine table with the cloud: its machine list and the results of terminations.

use super::Scheduler;
use crate::core::machine::{Machine, Registration};
use crate::ids::MachineId;
use crate::time::{Millis, MonotonicTime};
use crate::wire::{ListedMachine, MachinePhase};
use log::info;

/// Delay before a termination that the cloud refused or didn't answer is retried.
const TERMINATION_RETRY_INTERVAL: Millis = Millis(1_000);

/// How long, in addition to the lag of the cloud's machine list, an unknown machine that the cloud lists as running may
/// take to send its first heartbeat before it is retired.
const FIRST_HEARTBEAT_TIMEOUT: Millis = Millis(60_000);

impl Scheduler {
    /// Processes the result of an [`Effect::Terminate`](super::Effect::Terminate): the machines are terminated if
    /// `ok`, otherwise it isn't known whether they are, and the termination is retried.
    pub fn on_terminated(&mut self, now: MonotonicTime, ids: &[MachineId], ok: bool) {
        for id in ids {
            if ok {
                self.remove_terminated_machine(now, id);
            } else if let Some(machine) = self.machines.known.get_mut(id) {
                machine.termination_in_flight = false;
                machine.terminate_after = now + TERMINATION_RETRY_INTERVAL;
            }
        }
        self.machines.trim_terminated();
    }

    fn remove_terminated_machine(&mut self, now: MonotonicTime, id: &MachineId) {
        let Some(machine) = self.machines.known.get(id) else { return };
        let (pool, registration) = (machine.pool(), machine.registration);
        self.provisioner.on_capacity_freed(pool, now);
        self.remove_all_lost_tasks(id, pool.spot);
        self.machines.remove_terminated(id);
        if registration != Registration::Unregistered {
            self.writes.queue_machine_deletion(id.clone());
        }
        self.rounds.request();
    }

    /// Processes the cloud's list of machines, which may lag behind their actual state.
    pub fn on_machine_list(&mut self, now: MonotonicTime, list: &[ListedMachine]) {
        for listed in list {
            let Some(id) = MachineId::parse(&listed.id) else { continue };
            if self.machines.is_terminated(&id) {
                continue;
            }
            if listed.phase == MachinePhase::Failed {
                self.retire_failed_machine(now, id, listed);
            } else if self.machines.known.contains_key(&id) {
                self.machines.stop_awaiting_first_heartbeat(&id);
            } else {
                self.add_listed_machine(now, id, listed);
            }
        }
    }

    /// Retires a machine that has failed according to the cloud. Only the machine's termination proves that no task
    /// runs on it any more.
    fn retire_failed_machine(&mut self, now: MonotonicTime, id: MachineId, listed: &ListedMachine) {
        if !self.machines.known.contains_key(&id) {
            let Some((kind, zone)) = self.catalog.type_and_zone_numbers(&listed.machine_type, &listed.zone) else {
                return;
            };
            let machine = Machine::new(String::new(), kind, zone, listed.spot, now);
            self.machines.known.insert(id.clone(), machine);
        }
        if let Some(machine) = self.machines.known.get_mut(&id) {
            machine.retiring = true;
        }
    }

    /// Adds a machine that is known only from the cloud's list. One that is listed as running is added, as retiring,
    /// only once its first heartbeat is overdue.
    fn add_listed_machine(&mut self, now: MonotonicTime, id: MachineId, listed: &ListedMachine) {
        let Some((kind, zone)) = self.catalog.type_and_zone_numbers(&listed.machine_type, &listed.zone) else { return };
        let mut machine = Machine::new(listed.endpoint.clone().unwrap_or_default(), kind, zone, listed.spot, now);
        // The subtraction saturates, as the machine may be older than this process's monotonic clock.
        machine.created_at = MonotonicTime(now.0.saturating_sub(Millis::from_secs_f64(listed.age_s).0));
        if listed.phase == MachinePhase::Running {
            // The list lags, so the machine may already be terminated; or its first heartbeat is on its way.
            let since = self.machines.awaiting_first_heartbeat_since(&id, now);
            if now - since < FIRST_HEARTBEAT_TIMEOUT + self.limits.list_lag {
                return;
            }
            machine.retiring = true;
            self.machines.stop_awaiting_first_heartbeat(&id);
        }
        info!("machine {id} added from the cloud's list: kind={} zone={}", listed.machine_type, listed.zone);
        self.machines.known.insert(id, machine);
        self.rounds.request();
    }
}
