//! Scaling in: detects idle machines and terminates retiring ones.

use super::Scheduler;
use super::effects::Effect;
use crate::config::Tuning;
use crate::core::machine::Machine;
use crate::ids::MachineId;
use crate::time::{Millis, MonotonicTime};
use crate::wire::MachineType;
use log::info;

/// Limit on the machines in one termination request.
const MAX_TERMINATIONS_PER_REQUEST: usize = 100;

/// How long a machine of this type may be idle before it is retired, which means that it gets no new tasks and is
/// terminated. GPU machines boot slowly and are scarce, so they are kept longer.
pub(super) fn idle_timeout(tuning: &Tuning, machine_type: &MachineType) -> Millis {
    let factor = if machine_type.gpus > 0.0 { tuning.gpu_idle_factor } else { 1.0 };
    Millis::from_secs_f64(tuning.idle_timeout_s * factor)
}

/// Updates the time since when a machine is idle. Returns whether the machine has been idle for longer than `timeout`
/// and has no orders queued or in flight.
pub(super) fn review_idleness(machine: &mut Machine, now: MonotonicTime, timeout: Millis) -> bool {
    if machine.has_active_tasks() || !machine.reconciled {
        machine.idle_since = None;
        return false;
    }
    if !machine.up || machine.retiring {
        return false;
    }
    let since = *machine.idle_since.get_or_insert(now);
    now - since > timeout && machine.outbox.is_empty() && machine.orders_in_flight.is_none()
}

/// Whether the cloud is to be asked now to terminate the machine.
pub(super) fn is_termination_due(machine: &Machine, now: MonotonicTime) -> bool {
    machine.retiring && !machine.termination_in_flight && machine.terminate_after <= now
}

impl Scheduler {
    /// Retires the idle machines and requests the termination of `retiring` and then `idle` machines, up to
    /// [`MAX_TERMINATIONS_PER_REQUEST`]. The next review handles the others.
    pub(super) fn terminate_machines(&mut self, retiring: Vec<MachineId>, idle: Vec<MachineId>) {
        let mut terminations = retiring;
        for id in idle {
            if let Some(machine) = self.machines.known.get_mut(&id) {
                info!("machine {id} is retired: it is idle");
                machine.retiring = true;
                terminations.push(id);
            }
        }
        terminations.truncate(MAX_TERMINATIONS_PER_REQUEST);
        if terminations.is_empty() {
            return;
        }
        for id in &terminations {
            if let Some(machine) = self.machines.known.get_mut(id) {
                machine.termination_in_flight = true;
            }
        }
        self.effects.push(Effect::Terminate(terminations));
    }
}

#[cfg(test)]
mod tests;
