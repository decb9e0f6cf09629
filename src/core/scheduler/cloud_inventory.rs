//! What the cloud says of machines: its list of them, and terminations that it has carried out.

use super::Scheduler;
use crate::core::machine::{Machine, Registration};
use crate::ids::MachineId;
use crate::time::{Millis, MonotonicTime};
use crate::wire::{ListPhase, ListedMachine};
use log::info;

/// A termination that the cloud refused or didn't answer is repeated after this time.
const TERMINATION_RETRY_INTERVAL: Millis = Millis(1_000);

/// A machine that the cloud lists as running has this long, beyond the list's lag, to send a heartbeat.
const NEVER_HEARD_TIMEOUT: Millis = Millis(60_000);

impl Scheduler {
    /// The cloud has carried out a termination (`ok`), or it isn't known whether it has.
    pub fn on_terminated(&mut self, now: MonotonicTime, ids: &[MachineId], ok: bool) {
        for id in ids {
            if ok {
                self.remove_terminated_machine(now, id);
            } else if let Some(machine) = self.machines.known.get_mut(id) {
                machine.termination_in_flight = false;
                machine.terminate_after = now + TERMINATION_RETRY_INTERVAL;
            }
        }
        self.machines.forget_terminated();
    }

    fn remove_terminated_machine(&mut self, now: MonotonicTime, id: &MachineId) {
        let Some(machine) = self.machines.known.get(id) else { return };
        let (pool, registration) = (machine.pool(), machine.registration);
        self.provisioner.on_capacity_freed(pool, now);
        self.remove_all_lost_tasks(id, pool.spot);
        self.machines.remove_terminated(id);
        if registration != Registration::Unregistered {
            self.writes.delete_machine(id.clone());
        }
        self.rounds.request();
    }

    /// The cloud's list of machines.
    pub fn on_list(&mut self, now: MonotonicTime, list: &[ListedMachine]) {
        for listed in list {
            let Some(id) = MachineId::parse(&listed.id) else { continue };
            if self.machines.is_terminated(&id) {
                continue;
            }
            if listed.phase == ListPhase::Failed {
                self.retire_failed_machine(now, id, listed);
            } else if self.machines.known.contains_key(&id) {
                self.machines.clear_never_heard(&id);
            } else {
                self.enter_listed_machine(now, id, listed);
            }
        }
    }

    /// The machine has stopped of its own accord; terminating it proves that nothing is left on it.
    fn retire_failed_machine(&mut self, now: MonotonicTime, id: MachineId, listed: &ListedMachine) {
        if !self.machines.known.contains_key(&id) {
            let Some((kind, zone)) = self.catalog.place_of(&listed.kind, &listed.zone) else { return };
            let machine = Machine::new(String::new(), kind, zone, listed.spot, now);
            self.machines.known.insert(id.clone(), machine);
        }
        if let Some(machine) = self.machines.known.get_mut(&id) {
            machine.retiring = true;
        }
    }

    /// Enters a machine that this leader knows by the cloud's list only.
    fn enter_listed_machine(&mut self, now: MonotonicTime, id: MachineId, listed: &ListedMachine) {
        let Some((kind, zone)) = self.catalog.place_of(&listed.kind, &listed.zone) else { return };
        let mut machine = Machine::new(listed.endpoint.clone().unwrap_or_default(), kind, zone, listed.spot, now);
        // Its age may reach back to before this process began.
        machine.created_at = MonotonicTime(now.0.saturating_sub(Millis::from_secs_f64(listed.age_s).0));
        if listed.phase == ListPhase::Running {
            // It may be gone already, as the list is late, or about to send a heartbeat.
            let since = self.machines.never_heard_since(&id, now);
            if now - since < NEVER_HEARD_TIMEOUT + self.limits.list_lag {
                return;
            }
            machine.retiring = true;
            self.machines.clear_never_heard(&id);
        }
        info!("machine {id} is in the cloud's list: kind={} zone={}", listed.kind, listed.zone);
        self.machines.known.insert(id, machine);
        self.rounds.request();
    }
}
