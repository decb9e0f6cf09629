//! Processing of write results: updates the cluster state according to the purpose of the write.

use super::queue::WritePurpose;
use crate::core::election::LEADER_KEY;
use crate::core::machine::Registration;
use crate::core::records::{JobOutcome, live_key};
use crate::core::scheduler::{CommitOutcome, Scheduler};
use crate::ids::{JobId, MachineId, RequestId, Revision};
use crate::time::{MonotonicTime, WallTime};
use fixedbitset::FixedBitSet;
use log::{debug, info};

impl Scheduler {
    /// Processes the result of an [`Effect::RefreshFence`](crate::core::scheduler::Effect::RefreshFence): the new
    /// revision of the leader's key, or `None` if that revision isn't known or the key is no longer this leader's.
    pub fn on_fence_refreshed(&mut self, now: MonotonicTime, revision: Option<Revision>) {
        if self.writes.on_fence_refreshed(now, revision) {
            debug!("fence revision refreshed: revision={}", self.writes.fence_revision());
        }
    }

    /// Processes the result of an [`Effect::Commit`](crate::core::scheduler::Effect::Commit). Results of unknown
    /// requests are ignored.
    pub fn on_committed(&mut self, now: MonotonicTime, request: RequestId, result: CommitOutcome) {
        let Some(purpose) = self.writes.finish(now, request, &result) else { return };
        self.rounds.request();
        let committed = result.is_committed();
        match purpose {
            WritePurpose::Machines { register, delete } => self.on_machines_written(register, &delete, &result),
            WritePurpose::CompletionBitmaps(jobs) => self.on_completion_bitmaps_written(jobs, committed),
            WritePurpose::Finish(id, at) => self.on_finish_written(&id, at, &result),
            WritePurpose::Cancel(ids) => self.on_cancellations_written(&ids, &result),
            WritePurpose::ShardAssignment if committed => {}
            WritePurpose::ShardAssignment => self.writes.set_shards_unsaved(),
            WritePurpose::DeleteBitmaps(_) if committed => {}
            WritePurpose::DeleteBitmaps(keys) => self.writes.queue_bitmap_deletions(keys),
        }
    }

    fn on_machines_written(&mut self, register: Vec<MachineId>, delete: &[MachineId], result: &CommitOutcome) {
        let committed = result.is_committed();
        for id in register {
            if let Some(machine) = self.machines.known.get_mut(&id) {
                machine.registration = if committed { Registration::Registered } else { Registration::Unregistered };
            } else if *result != CommitOutcome::Rejected {
                // The machine was terminated in the meantime, but its record is in the store or may yet be written
                // there, so the record must be deleted.
                self.writes.queue_machine_deletion(id);
            }
        }
        if committed {
            self.writes.on_machines_deleted(delete);
        }
    }

    fn on_completion_bitmaps_written(&mut self, jobs: Vec<(JobId, FixedBitSet)>, committed: bool) {
        // Clear orders for tasks whose completion is now in the store are queued when workers list the tasks again.
        for (id, durably_done) in jobs {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.finish_bitmap_write(committed.then_some(durably_done));
        }
    }

    fn on_finish_written(&mut self, id: &JobId, at: WallTime, result: &CommitOutcome) {
        match result {
            CommitOutcome::Committed(_) => {
                info!("job done: job={id}");
                self.on_job_terminated(id, JobOutcome::Done(Some(at)));
            }
            // The job's key has changed: the job was cancelled, or an earlier attempt of this write was applied. The
            // watch will report which. Until then no task of the job starts, as all are done.
            CommitOutcome::Conflict(_) if !result.conflicts_on(LEADER_KEY) => {}
            CommitOutcome::Conflict(_) | CommitOutcome::Rejected | CommitOutcome::Unknown => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.finishing = false;
                }
            }
        }
    }

    fn on_cancellations_written(&mut self, ids: &[JobId], result: &CommitOutcome) {
        match result {
            CommitOutcome::Committed(_) => {
                for id in ids {
                    info!("job cancelled with a dependency: job={id}");
                    self.on_job_terminated(id, JobOutcome::Cancelled);
                }
            }
            // The jobs whose precondition failed have already ended. Their outcome isn't known to this leader, as the
            // watch only reports that they ended.
            CommitOutcome::Conflict(failed) => {
                for id in ids.iter().filter(|id| failed.contains(&live_key(id))) {
                    self.on_job_terminated(id, JobOutcome::Unknown);
                }
            }
            CommitOutcome::Rejected | CommitOutcome::Unknown => {}
        }
    }
}
