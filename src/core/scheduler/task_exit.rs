//! The end of tasks: exits that workers report, tasks that are proven lost, and stopping the rest of a gang.

use super::Scheduler;
use crate::core::machine::{QUARANTINE_PERIOD, TaskAttempt};
use crate::ids::{Attempt, JobId, MachineId, TaskId};
use crate::time::{Millis, MonotonicTime};
use crate::wire::{ExitCause, JobKind};
use log::{debug, info};

/// A machine is quarantined (gets no new tasks) for [`QUARANTINE_PERIOD`] after this many consecutive task failures
/// that weren't their jobs' fault.
pub(super) const QUARANTINE_FAILURE_THRESHOLD: u32 = 2;

/// How long a machine gets no new tasks after a single failed task.
const FIRST_FAILURE_QUARANTINE_PERIOD: Millis = Millis(10_000);

/// Upper bound, in seconds, of the exponential backoff of a job that is at fault for the failures of its tasks.
const MAX_JOB_FAILURE_BACKOFF_S: f64 = 60.0;

/// How long no task of a job is started after a worker has refused a task of the job for lack of capacity.
const NO_ROOM_BACKOFF: Millis = Millis(500);

/// How a task ended, according to its worker.
#[derive(Clone, Copy)]
pub(super) struct TaskExit {
    /// The cause of the exit; `None` if the worker stated none.
    pub(super) cause: Option<ExitCause>,
    /// Run time in seconds. `None` if the run wasn't observed as a whole, so that its length is uncertain.
    pub(super) ran_s: Option<f64>,
    /// Whether the scheduler had ordered the worker to stop the task.
    pub(super) was_stopped: bool,
}

impl Scheduler {
    /// Processes the end of a task attempt that its worker reported.
    pub(super) fn on_task_exited(&mut self, now: MonotonicTime, id: &MachineId, key: &TaskAttempt, exit: TaskExit) {
        let (task, attempt) = key;
        let cause = exit.cause.unwrap_or(ExitCause::Other);
        let is_reclaimed = self.machines.known.get(id).is_some_and(|machine| machine.spot_notice);
        let Some(job) = self.jobs.live.get_mut(&task.job) else { return };
        job.unplace(task.index, id, *attempt);
        let is_gang = job.spec.kind == JobKind::Gang;
        match cause {
            ExitCause::Done => self.on_task_done(now, id, task, exit.ran_s),
            ExitCause::Error => self.on_task_failed(now, id, task),
            ExitCause::Halted
            | ExitCause::MatesGone
            | ExitCause::Alone
            | ExitCause::NoRoom
            | ExitCause::InUse
            | ExitCause::Unknown
            | ExitCause::Other => {
                if !exit.was_stopped && cause != ExitCause::MatesGone {
                    debug!("task {task} on machine {id} ended without success: cause={cause:?}");
                }
                job.requeue(task.index, is_reclaimed);
                if cause == ExitCause::NoRoom {
                    job.pause_until = job.pause_until.max(now + NO_ROOM_BACKOFF);
                }
            }
        }
        if is_gang && cause != ExitCause::Done {
            self.break_gang(&task.job, *attempt);
        }
    }

    /// Marks a task as done. Its run time updates the estimate for its job's class and its machine's slowness. Run
    /// times of gang tasks are not used, as these tasks wait for each other.
    fn on_task_done(&mut self, now: MonotonicTime, id: &MachineId, task: &TaskId, ran_s: Option<f64>) {
        let Some(job) = self.jobs.live.get_mut(&task.job) else { return };
        if job.spec.kind == JobKind::Gang {
            // A gang is done as a whole as soon as one of its tasks reports success.
            job.set_all_done();
            self.update_machine_after_success(now, id, None);
            return;
        }
        if let Some(ran_s) = ran_s {
            self.jobs.record_run_time(&task.job, ran_s);
        }
        let Some(job) = self.jobs.live.get_mut(&task.job) else { return };
        job.set_done(task.index);
        let ratio = ran_s.and_then(|ran_s| {
            job.run_time_totals = (job.run_time_totals.0 + 1, job.run_time_totals.1 + ran_s);
            (job.run_time_totals.0 > 4)
                .then(|| ran_s / (job.run_time_totals.1 / f64::from(job.run_time_totals.0)).max(0.1))
        });
        self.update_machine_after_success(now, id, ratio);
    }

    /// Updates a machine after a done task: quarantines it if it has proven slow, otherwise resets its count of
    /// consecutive failures. `ratio` is the task's run time over the average of its job.
    fn update_machine_after_success(&mut self, now: MonotonicTime, id: &MachineId, ratio: Option<f64>) {
        let Some(machine) = self.machines.known.get_mut(id) else { return };
        let is_slow = ratio.is_some_and(|ratio| machine.record_slowdown(ratio));
        if machine.quarantined_until > now {
            return;
        }
        if is_slow {
            // A slow machine is treated like one with repeated failures, so it is retired once no task runs on it.
            info!("machine {id} quarantined: its tasks run slowly, slowness={:.1}", machine.slowness);
            machine.quarantined_until = now + QUARANTINE_PERIOD;
            machine.consecutive_failures = QUARANTINE_FAILURE_THRESHOLD;
        } else {
            machine.consecutive_failures = 0;
        }
    }

    /// Processes a failed task: either the job is at fault and backs off, or the failure counts against the
    /// machine.
    fn on_task_failed(&mut self, now: MonotonicTime, id: &MachineId, task: &TaskId) {
        let Some(job) = self.jobs.live.get_mut(&task.job) else { return };
        job.requeue(task.index, false);
        job.failure_count += 1;
        job.last_failure_by_machine.insert(id.clone(), now);
        debug!("task {task} failed on machine {id}, errors={}", job.failure_count);
        if job.is_at_fault(now) {
            let backoff_s = f64::from(1u32 << job.failure_count.min(6)).min(MAX_JOB_FAILURE_BACKOFF_S);
            job.pause_until = now + Millis::from_secs_f64(backoff_s);
            return;
        }
        let Some(machine) = self.machines.known.get_mut(id) else { return };
        machine.consecutive_failures += 1;
        if machine.quarantined_until > now {
            return;
        }
        if machine.consecutive_failures >= QUARANTINE_FAILURE_THRESHOLD {
            machine.quarantined_until = now + QUARANTINE_PERIOD;
            info!("machine {id} quarantined: consecutive task failures, errors={}", machine.consecutive_failures);
        } else {
            machine.quarantined_until = now + FIRST_FAILURE_QUARANTINE_PERIOD;
        }
    }

    /// Removes all tasks of a machine, which are proven not to run there. `reclaimed` says whether they were lost with
    /// a reclaimed spot machine.
    pub(super) fn remove_all_lost_tasks(&mut self, id: &MachineId, reclaimed: bool) {
        let Some(machine) = self.machines.known.get(id) else { return };
        let keys: Vec<TaskAttempt> = machine.allocations.keys().copied().collect();
        self.remove_lost_tasks(id, keys, reclaimed);
    }

    /// Removes task attempts from a machine that are proven not to run there. `reclaimed` says whether they were lost
    /// with a reclaimed spot machine.
    pub(super) fn remove_lost_tasks(&mut self, id: &MachineId, keys: Vec<TaskAttempt>, reclaimed: bool) {
        for key in keys {
            self.remove_lost_task(id, &key, reclaimed);
        }
    }

    /// Removes a task attempt from a machine, where it is proven not to run, and makes the task ready again unless its
    /// worker had reported how it ended. `reclaimed` says whether the task was lost with a reclaimed spot machine.
    pub(super) fn remove_lost_task(&mut self, id: &MachineId, key: &TaskAttempt, reclaimed: bool) {
        let Some(machine) = self.machines.known.get_mut(id) else { return };
        let Some(allocation) = machine.allocations.remove(key) else { return };
        let (task, attempt) = key;
        machine.outbox.remove_run(key);
        self.rounds.request();
        if allocation.has_exited() {
            return;
        }
        let Some(job) = self.jobs.live.get_mut(&task.job) else { return };
        job.unplace(task.index, id, *attempt);
        job.requeue(task.index, reclaimed);
        if job.spec.kind == JobKind::Gang {
            self.break_gang(&task.job, *attempt);
        }
    }

    /// Stops the remaining tasks of a gang attempt after one of them has ended. The gang can start again once no task
    /// of it runs any more.
    pub(super) fn break_gang(&mut self, id: &JobId, attempt: Attempt) {
        if self.jobs.live.get(id).and_then(|job| job.gang.as_ref()).is_some_and(|run| run.attempt == attempt) {
            self.end_gang_start(id);
        }
        let Some(job) = self.jobs.live.get_mut(id) else { return };
        if job.placed.is_empty() {
            // No task of any attempt of the gang is placed any more, so the gang can start again.
            job.gang = None;
            return;
        }
        // Stops are queued once. The responses to heartbeats repeat them.
        let Some(run) = job.gang.as_mut().filter(|run| run.attempt == attempt && !run.stops_queued) else { return };
        run.broken = true;
        run.stops_queued = true;
        let machines = self.stop_placed_tasks(id, 0.0);
        machines.iter().for_each(|machine| self.flush_machine(machine));
    }
}
