//! Applying the status of one task that a worker lists, and entering tasks that the cluster state lacks.

use super::Scheduler;
use super::orders::stop_allocation;
use super::task_exit::TaskExit;
use crate::core::jobs::GangRun;
use crate::core::machine::{Allocation, Resources, TaskAttempt};
use crate::ids::MachineId;
use crate::time::MonotonicTime;
use crate::wire::{Kind, Order, Priority, TaskPhase, TaskStatus};
use log::info;

impl Scheduler {
    /// Applies what a worker lists of one task attempt.
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
        let before = allocation.phase;
        allocation.last_listed = machine.heartbeats_applied;
        allocation.phase = Some(listed.phase);
        allocation.pending_run = None;
        if listed.phase == TaskPhase::Running && before != Some(TaskPhase::Running) {
            allocation.running_since.get_or_insert(now);
            if before == Some(TaskPhase::Pulling) {
                self.rounds.request();
            }
        }
        if listed.phase != TaskPhase::Exited {
            self.stop_if_due(id, key, listed.phase);
            return;
        }
        if before != Some(TaskPhase::Exited) {
            self.rounds.request();
            let observed_since = allocation.running_since.filter(|_| allocation.fully_observed);
            let exit = TaskExit {
                cause: listed.cause,
                ran_s: observed_since.map(|since| (now - since).as_secs_f64()),
                was_stopped: allocation.stop.is_some(),
            };
            self.on_task_exited(now, id, key, exit);
        }
        // The worker may forget it once a done task is durably so; other ends need no keeping.
        let may_forget = match self.jobs.live.get(&task.job) {
            Some(job) if listed.is_done() => job.is_durably_done(task.index),
            _ => true,
        };
        if may_forget && let Some(machine) = self.machines.known.get_mut(id) {
            machine.queue_order(Order::Clear { task: *task, attempt: *attempt });
        }
    }

    /// Orders a stop of a task whose job has ended, that was stopped before, or that has no purpose any
    /// more. A stop is repeated until it works.
    fn stop_if_due(&mut self, id: &MachineId, key: &TaskAttempt, phase: TaskPhase) {
        let Some(machine) = self.machines.known.get_mut(id) else { return };
        let Some(allocation) = machine.allocations.get(key) else { return };
        let Some(job) = self.jobs.live.get(&key.0.job) else {
            stop_allocation(machine, key, 0.0);
            return;
        };
        if let Some(leeway_s) = allocation.stop {
            if phase != TaskPhase::Flushing || leeway_s == 0.0 {
                stop_allocation(machine, key, leeway_s);
            }
        } else if !job.may_continue(key) {
            stop_allocation(machine, key, 0.0);
        }
    }

    /// Enters a listed task that the cluster state doesn't have.
    fn adopt_task(&mut self, now: MonotonicTime, id: &MachineId, key: &TaskAttempt, listed: &TaskStatus) {
        let (task, attempt) = key;
        self.quota.invalidate_usage();
        let Some(machine) = self.machines.known.get_mut(id) else { return };
        let mut allocation = unknown_allocation(now);
        if let Some(job) = self.jobs.live.get(&task.job).filter(|job| task.index < job.spec.tasks) {
            if let Some(places) = job.placed.get(&task.index)
                && listed.phase != TaskPhase::Exited
            {
                // One of the two heartbeats is late, and which one isn't known: both count until one
                // is proven gone.
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
                job.place(task.index, id, *attempt);
                if job.spec.kind == Kind::Gang {
                    match &mut job.gang {
                        None => job.gang = Some(GangRun { attempt: *attempt, broken: false }),
                        Some(run) if run.attempt != *attempt => run.broken = true,
                        Some(_) => {}
                    }
                }
            }
        }
        machine.allocations.insert(*key, allocation);
    }
}

/// An allocation of a task that nothing is known of but that it exists.
fn unknown_allocation(now: MonotonicTime) -> Allocation {
    Allocation {
        need: Resources::default(),
        team: None,
        priority: Priority::Low,
        phase: None,
        pending_run: None,
        last_listed: 0,
        placed_at: now,
        running_since: None,
        fully_observed: false,
        stop: None,
        image: u32::MAX,
        fetch_s: 0.0,
        run_s: 0.0,
    }
}
