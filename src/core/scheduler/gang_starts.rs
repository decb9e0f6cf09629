//! Starts of gangs. A gang starts as a whole: it is checked before its first task starts, and the capacity for all its
//! tasks is reserved. The start of a large gang takes several ticks, so that other inputs don't wait for it.

use super::Scheduler;
use super::starts::GangPlacement;
use crate::core::jobs::GangRun;
use crate::core::machine::Resources;
use crate::ids::{Attempt, JobId, MachineId};
use crate::time::MonotonicTime;
use std::collections::{BTreeMap, VecDeque};

/// Limit on the gang tasks that are started between two ticks.
const MAX_GANG_TASKS_PER_TICK: u32 = 4_096;

/// A gang of which some tasks have not been started yet.
struct GangStart {
    attempt: Attempt,
    /// The machines that are still to get tasks.
    parts: VecDeque<GangPlacement>,
    /// Index of the next task to start.
    next_index: u32,
}

/// The gangs that are being started.
pub(super) struct GangStarts {
    by_job: BTreeMap<JobId, GangStart>,
    /// How many gang tasks may still start before the next tick.
    tasks_left: u32,
}

impl Default for GangStarts {
    fn default() -> GangStarts {
        GangStarts { by_job: BTreeMap::new(), tasks_left: MAX_GANG_TASKS_PER_TICK }
    }
}

impl GangStarts {
    /// Whether some tasks of the gang are still to be started.
    pub(super) fn contains(&self, job: &JobId) -> bool {
        self.by_job.contains_key(job)
    }

    /// Takes the next machine of a gang, with the index of the first task that is to start there.
    fn next_part(&mut self, job: &JobId) -> Option<(MachineId, u32, u32, Attempt)> {
        let start = self.by_job.get_mut(job)?;
        let (machine, tasks) = start.parts.pop_front()?;
        let first = start.next_index;
        start.next_index += tasks;
        Some((machine, first, tasks, start.attempt))
    }
}

impl Scheduler {
    /// Starts a gang on these machines, each of which is named once. If one of the machines can't take the tasks meant
    /// for it any more, no task of the gang is started.
    pub(super) fn start_gang(&mut self, now: MonotonicTime, job_id: &JobId, parts: &[GangPlacement]) {
        let attempt = self.next_attempt();
        if !self.may_place_gang(now, job_id, parts) {
            return;
        }
        let Some(job) = self.jobs.live.get_mut(job_id) else { return };
        job.gang = Some(GangRun::new(attempt));
        let (team, need) = (job.team, Resources::of_task(&job.spec));
        self.reservations.release(job_id);
        for (machine, tasks) in parts {
            self.reservations.add_tasks(now, machine.clone(), *job_id, need, *tasks);
        }
        self.quota.set_starting(job_id, team, need, job.spec.tasks);
        let start = GangStart { attempt, parts: parts.iter().cloned().collect(), next_index: 0 };
        self.gang_starts.by_job.insert(*job_id, start);
        self.continue_gang_start(now, job_id);
    }

    /// Starts further tasks of the gangs that are being started. Called once a tick.
    pub(super) fn continue_gang_starts(&mut self, now: MonotonicTime) {
        self.gang_starts.tasks_left = MAX_GANG_TASKS_PER_TICK;
        let jobs: Vec<JobId> = self.gang_starts.by_job.keys().copied().collect();
        for job in jobs {
            self.reservations.renew(now, &job);
            self.continue_gang_start(now, &job);
        }
    }

    /// Starts tasks of a gang until all have started or the limit for this tick is reached. If a machine can't take
    /// its tasks any more, the gang is stopped.
    fn continue_gang_start(&mut self, now: MonotonicTime, job_id: &JobId) {
        while self.gang_starts.tasks_left > 0 {
            let Some((machine, first, tasks, attempt)) = self.gang_starts.next_part(job_id) else {
                self.end_gang_start(job_id);
                return;
            };
            if !self.may_place_gang_part(now, job_id, &machine, tasks) {
                self.end_gang_start(job_id);
                self.break_gang(job_id, attempt);
                return;
            }
            self.gang_starts.tasks_left = self.gang_starts.tasks_left.saturating_sub(tasks);
            self.reservations.use_tasks(job_id, &machine, tasks);
            let started: Vec<(u32, Attempt)> = (first..first + tasks).map(|index| (index, attempt)).collect();
            self.quota.record_gang_start(job_id, tasks);
            self.start_tasks(now, job_id, &machine, &started);
        }
    }

    /// Ends the start of a gang: no further task of this attempt starts, and capacity that is reserved for such tasks is
    /// released.
    pub(super) fn end_gang_start(&mut self, job_id: &JobId) {
        if self.gang_starts.by_job.remove(job_id).is_some() {
            self.reservations.release(job_id);
            self.quota.clear_starting(job_id);
        }
    }
}
