//! How tasks end: exits that workers report, tasks that are proven lost, and gangs that break with them.

use super::Scheduler;
use super::orders::stop_allocation;
use crate::core::machine::{QUARANTINE_PERIOD, TaskAttempt};
use crate::ids::{Attempt, JobId, MachineId, TaskId};
use crate::time::{Millis, MonotonicTime};
use crate::wire::{Cause, Kind, Order};
use log::{debug, info};

/// A machine on which this many tasks failed in a row, none of them by their job's fault, is quarantined
/// for [`QUARANTINE_PERIOD`].
pub(super) const QUARANTINE_ERROR_THRESHOLD: u32 = 2;

/// How long a machine is avoided after a single failed task.
const FIRST_ERROR_QUARANTINE_PERIOD: Millis = Millis(10_000);

/// How long a job waits at most after tasks that failed by its own fault, in seconds.
const MAX_JOB_ERROR_BACKOFF_S: f64 = 60.0;

/// How long a job waits after a worker found no capacity for its task.
const NO_ROOM_BACKOFF: Millis = Millis(500);

/// What a worker reports of a task that has exited.
#[derive(Clone, Copy)]
pub(super) struct TaskExit {
    /// None: the worker stated no cause.
    pub(super) cause: Option<Cause>,
    /// For how many seconds it ran, if all of its run was observed.
    pub(super) ran_s: Option<f64>,
    /// A stop had been ordered.
    pub(super) was_stopped: bool,
}

impl Scheduler {
    /// A task has ended, according to its worker.
    pub(super) fn on_task_exited(&mut self, now: MonotonicTime, id: &MachineId, key: &TaskAttempt, exit: TaskExit) {
        let (task, attempt) = key;
        let cause = exit.cause.unwrap_or(Cause::Other);
        let is_reclaimed = self.machines.known.get(id).is_some_and(|machine| machine.spot_notice);
        let Some(job) = self.jobs.live.get_mut(&task.job) else { return };
        job.unplace(task.index, id, *attempt);
        let is_gang = job.spec.kind == Kind::Gang;
        match cause {
            Cause::Done => self.on_task_done(now, id, task, exit.ran_s),
            Cause::Error => self.on_task_failed(now, id, task),
            Cause::Halted
            | Cause::MatesGone
            | Cause::Alone
            | Cause::NoRoom
            | Cause::InUse
            | Cause::Unknown
            | Cause::Other => {
                if !exit.was_stopped && cause != Cause::MatesGone {
                    debug!("task {task} on {id} ended: cause={cause:?}");
                }
                job.requeue(task.index, is_reclaimed);
                if cause == Cause::NoRoom {
                    job.pause_until = job.pause_until.max(now + NO_ROOM_BACKOFF);
                }
            }
        }
        if is_gang && cause != Cause::Done {
            self.break_gang(&task.job, *attempt);
        }
    }

    /// A task is done. Its time counts towards its class and its machine's slowness; gangs' times don't,
    /// as their tasks wait for each other.
    fn on_task_done(&mut self, now: MonotonicTime, id: &MachineId, task: &TaskId, ran_s: Option<f64>) {
        let Some(job) = self.jobs.live.get_mut(&task.job) else { return };
        if job.spec.kind == Kind::Gang {
            // A gang completes as one.
            for index in 0..job.spec.tasks {
                job.set_done(index);
            }
            self.review_slowness(now, id, None);
            return;
        }
        if let Some(ran_s) = ran_s {
            self.jobs.learn_run_time(&task.job, ran_s);
        }
        let Some(job) = self.jobs.live.get_mut(&task.job) else { return };
        job.set_done(task.index);
        let ratio = ran_s.and_then(|ran_s| {
            job.run_time_count_and_sum_s = (job.run_time_count_and_sum_s.0 + 1, job.run_time_count_and_sum_s.1 + ran_s);
            (job.run_time_count_and_sum_s.0 > 4)
                .then(|| ran_s / (job.run_time_count_and_sum_s.1 / f64::from(job.run_time_count_and_sum_s.0)).max(0.1))
        });
        self.review_slowness(now, id, ratio);
    }

    /// Quarantines a machine that has turned out slow; on others a done task ends a row of failures.
    /// `ratio`: how many times as long as its job's average the task ran.
    fn review_slowness(&mut self, now: MonotonicTime, id: &MachineId, ratio: Option<f64>) {
        let Some(machine) = self.machines.known.get_mut(id) else { return };
        let is_slow = ratio.is_some_and(|ratio| machine.record_slowdown(ratio));
        if machine.quarantined_until > now {
            return;
        }
        if is_slow {
            // Like one that fails tasks: retired once it is empty.
            info!("machine {id} is slow and quarantined, slowness={:.1}", machine.slowness);
            machine.quarantined_until = now + QUARANTINE_PERIOD;
            machine.errors = QUARANTINE_ERROR_THRESHOLD;
        } else {
            machine.errors = 0;
        }
    }

    /// A task has failed, by its job's or by its machine's fault.
    fn on_task_failed(&mut self, now: MonotonicTime, id: &MachineId, task: &TaskId) {
        let Some(job) = self.jobs.live.get_mut(&task.job) else { return };
        job.requeue(task.index, false);
        job.failure_count += 1;
        job.last_failure_by_machine.insert(id.clone(), now);
        debug!("task {task} failed on {id}, errors={}", job.failure_count);
        if job.is_at_fault(now) {
            let backoff_s = f64::from(1u32 << job.failure_count.min(6)).min(MAX_JOB_ERROR_BACKOFF_S);
            job.pause_until = now + Millis::from_secs_f64(backoff_s);
            return;
        }
        let Some(machine) = self.machines.known.get_mut(id) else { return };
        machine.errors += 1;
        if machine.quarantined_until > now {
            return;
        }
        if machine.errors >= QUARANTINE_ERROR_THRESHOLD {
            machine.quarantined_until = now + QUARANTINE_PERIOD;
            info!("machine {id} fails tasks and is quarantined, errors={}", machine.errors);
        } else {
            machine.quarantined_until = now + FIRST_ERROR_QUARANTINE_PERIOD;
        }
    }

    /// All that was possibly on a machine is proven gone.
    pub(super) fn remove_all_lost_tasks(&mut self, id: &MachineId, reclaimed: bool) {
        let Some(machine) = self.machines.known.get(id) else { return };
        let keys: Vec<TaskAttempt> = machine.allocations.keys().copied().collect();
        self.remove_lost_tasks(id, keys, reclaimed);
    }

    /// These task attempts are proven gone.
    pub(super) fn remove_lost_tasks(&mut self, id: &MachineId, keys: Vec<TaskAttempt>, reclaimed: bool) {
        for key in keys {
            self.remove_lost_task(id, &key, reclaimed);
        }
    }

    /// A task is proven to be gone without its worker's statement on how it ended.
    pub(super) fn remove_lost_task(&mut self, id: &MachineId, key: &TaskAttempt, reclaimed: bool) {
        let Some(machine) = self.machines.known.get_mut(id) else { return };
        let Some(allocation) = machine.allocations.remove(key) else { return };
        let (task, attempt) = key;
        let run = Order::Run { task: *task, attempt: *attempt };
        machine.outbox.retain(|order| *order != run);
        self.rounds.request();
        if allocation.has_exited() {
            return;
        }
        let Some(job) = self.jobs.live.get_mut(&task.job) else { return };
        job.unplace(task.index, id, *attempt);
        job.requeue(task.index, reclaimed);
        if job.spec.kind == Kind::Gang {
            self.break_gang(&task.job, *attempt);
        }
    }

    /// Stops the rest of a gang's attempt; a new attempt starts once all of it is gone.
    pub(super) fn break_gang(&mut self, id: &JobId, attempt: Attempt) {
        let Some(job) = self.jobs.live.get_mut(id) else { return };
        if job.placed.is_empty() {
            // Whatever attempt the last one was of.
            job.gang = None;
            return;
        }
        let Some(run) = job.gang.as_mut().filter(|run| run.attempt == attempt) else { return };
        run.broken = true;
        let placed: Vec<(u32, MachineId, Attempt)> =
            job.places().map(|(index, machine, attempt)| (index, machine.clone(), attempt)).collect();
        for (index, machine_id, attempt) in placed {
            if let Some(machine) = self.machines.known.get_mut(&machine_id) {
                stop_allocation(machine, &(TaskId { job: *id, index }, attempt), 0.0);
            }
            self.flush_machine(&machine_id);
        }
    }
}
