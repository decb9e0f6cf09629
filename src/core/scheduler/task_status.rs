//! Applies the status of a task that a worker lists, and adopts listed tasks that the cluster state lacks.

use super::Scheduler;
use super::orders::stop_allocation;
use super::task_exit::TaskExit;
use crate::core::jobs::{GangRun, TaskPlace};
use crate::core::machine::{Allocation, Resources, TaskAttempt};
use crate::ids::{FencingToken, MachineId};
use crate::time::MonotonicTime;
use crate::wire::{JobKind, Order, Priority, TaskPhase, TaskStatus};
use log::info;

impl Scheduler {
    /// Applies the status of one task attempt in a worker's list.
    pub(super) fn apply_task_status(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        key: &TaskAttempt,
        listed: &TaskStatus,
    ) {
        let (task, attempt) = key;
        let is_known = self.machines.known.get(id).is_some_and(|machine| machine.allocations.contains_key(key));
        if !is_known {
            self.adopt_task(now, id, key, listed);
        }
        let Some(machine) = self.machines.known.get_mut(id) else { return };
        let Some(allocation) = machine.allocations.get_mut(key) else { return };
        let previous_phase = allocation.phase;
        allocation.last_task_list = machine.task_lists_applied;
        allocation.phase = Some(listed.phase);
        allocation.pending_run = None;
        if listed.phase == TaskPhase::Running && previous_phase != Some(TaskPhase::Running) {
            allocation.running_since.get_or_insert(now);
            if previous_phase == Some(TaskPhase::Pulling) {
                self.rounds.request();
            }
        }
        if listed.phase != TaskPhase::Exited {
            self.stop_if_due(id, key, listed.phase);
            return;
        }
        if previous_phase != Some(TaskPhase::Exited) {
            self.rounds.request();
            let observed_since = allocation.running_since.filter(|_| allocation.fully_observed);
            let exit = TaskExit {
                cause: listed.cause,
                ran_s: observed_since.map(|since| (now - since).as_secs_f64()),
                was_stopped: allocation.stop_leeway_s.is_some(),
            };
            self.on_task_exited(now, id, key, exit);
        }
        // The worker must keep a done task until its completion is in the key-value store. A task that exited for any
        // other reason may be cleared from the worker's list without delay.
        let may_clear = match self.jobs.live.get(&task.job) {
            Some(job) if listed.is_done() => job.is_durably_done(task.index),
            _ => true,
        };
        if may_clear && let Some(machine) = self.machines.known.get_mut(id) {
            machine.outbox.push(Order::Clear { task: *task, attempt: *attempt });
        }
    }

    /// Orders a stop of a listed task if its job has ended, its task is done elsewhere, its gang attempt is broken, or
    /// a stop was already ordered. A stop is repeated until the task has exited, but a task that is saving its
    /// checkpoint isn't stopped again unless its grace period is zero.
    fn stop_if_due(&mut self, id: &MachineId, key: &TaskAttempt, phase: TaskPhase) {
        let Some(machine) = self.machines.known.get_mut(id) else { return };
        let Some(allocation) = machine.allocations.get(key) else { return };
        let Some(job) = self.jobs.live.get(&key.0.job) else {
            stop_allocation(machine, key, 0.0);
            return;
        };
        if let Some(leeway_s) = allocation.stop_leeway_s {
            if phase != TaskPhase::SavingCheckpoint || leeway_s == 0.0 {
                stop_allocation(machine, key, leeway_s);
            }
        } else if !job.may_continue(key) {
            stop_allocation(machine, key, 0.0);
        }
    }

    /// Adds an allocation for a listed task attempt that the cluster state lacks.
    fn adopt_task(&mut self, now: MonotonicTime, id: &MachineId, key: &TaskAttempt, listed: &TaskStatus) {
        let (task, attempt) = key;
        self.quota.invalidate_usage();
        let Some(machine) = self.machines.known.get_mut(id) else { return };
        let zone = machine.zone;
        let mut allocation = unknown_allocation(now, machine.token(self.term));
        if let Some(job) = self.jobs.live.get(&task.job).filter(|job| task.index < job.spec.tasks) {
            if let Some(places) = job.placed.get(&task.index)
                && listed.phase != TaskPhase::Exited
            {
                // The task is listed in two places, so one of the two heartbeats is outdated, but it isn't known which.
                // Both places count until the task is proven not to run in one of them.
                info!("machine {id} lists task={task} attempt={attempt}, which is also placed on {places:?}");
            }
            let spec = &job.spec;
            allocation.need = Resources::of_task(spec);
            allocation.team = Some(job.team);
            allocation.priority = job.priority();
            allocation.run_s = self.jobs.expected_run_s(spec);
            allocation.image = self.catalog.assign_image_number(&spec.image);
            machine.cache_image(allocation.image, spec.image_gb, self.catalog.types[machine.kind].cache_gb);
            if listed.phase != TaskPhase::Exited
                && let Some(job) = self.jobs.live.get_mut(&task.job)
            {
                job.place(task.index, TaskPlace { machine: id.clone(), zone, attempt: *attempt });
                if job.spec.kind == JobKind::Gang {
                    match &mut job.gang {
                        None => job.gang = Some(GangRun::new(*attempt)),
                        Some(run) if run.attempt != *attempt => run.broken = true,
                        Some(_) => {}
                    }
                }
            }
        }
        machine.allocations.insert(*key, allocation);
    }
}

/// An allocation of a task about which nothing is known except that the worker lists it. `token` is the highest
/// fencing token that its run order can have carried.
fn unknown_allocation(now: MonotonicTime, token: FencingToken) -> Allocation {
    Allocation {
        need: Resources::TASK_SLOT,
        team: None,
        priority: Priority::Low,
        phase: None,
        pending_run: None,
        run_token: token,
        last_task_list: 0,
        placed_at: now,
        running_since: None,
        fully_observed: false,
        stop_leeway_s: None,
        image: u32::MAX,
        fetch_s: 0.0,
        run_s: 0.0,
    }
}
