//! Events of live jobs from the key-value store: accepted and terminated jobs, resynchronization of the watch, and
//! lookups of dependencies.

use super::loading::{RowError, log_if_ignored};
use super::{Effect, Scheduler};
use crate::core::jobs::Job;
use crate::core::records::{JobOutcome, LIVE_PREFIX, LiveRecord};
use crate::core::submissions;
use crate::ids::{JobId, Revision};
use crate::time::MonotonicTime;
use crate::wire::{JobSpec, KeyValue};
use serde_json::Value;
use std::collections::BTreeSet;

impl Scheduler {
    /// Adds a job that was accepted, given its stored record and the record's revision. A known job is left
    /// unchanged; a record that can't be used is logged and ignored.
    pub fn on_job_accepted(&mut self, id: &JobId, value: &Value, revision: Revision) {
        log_if_ignored(self.accept_job(id, value, revision));
    }

    pub(super) fn accept_job(&mut self, id: &JobId, value: &Value, revision: Revision) -> Result<(), RowError> {
        if self.jobs.is_known(id) {
            return Ok(());
        }
        let record = serde_json::from_value::<LiveRecord>(value.clone())
            .map_err(|source| RowError::UnreadableJob { job: *id, source })?;
        let teams = &self.settings.cluster.teams;
        let Some(team) = teams.iter().position(|team| team.name == record.spec.team) else {
            return Err(RowError::UnknownTeam { job: *id, team: record.spec.team });
        };
        self.raise_gpu_needs(&record.spec);
        self.jobs.insert(*id, Job::new(record, revision, team as u32));
        self.rounds.request();
        Ok(())
    }

    /// Raises the resources that GPU jobs are known to need on each machine type that the job may use.
    fn raise_gpu_needs(&mut self, spec: &JobSpec) {
        if spec.gpus <= 0.0 {
            return;
        }
        for (machine_type, need) in self.catalog.types.iter().zip(&mut self.gpus.gpu_job_needs) {
            if submissions::is_eligible_type(spec, machine_type) {
                need.cpus = need.cpus.max(spec.cpus).min(machine_type.cpus);
                need.memory_gb = need.memory_gb.max(spec.memory_gb).min(machine_type.memory_gb);
            }
        }
    }

    /// Resynchronizes with all live jobs as stored at `revision`, after the watch has missed changes. Known jobs
    /// of older revisions that are no longer listed have ended with an unknown outcome.
    pub fn resync_live_jobs(&mut self, rows: Vec<KeyValue>, revision: u64) {
        let mut listed = BTreeSet::new();
        for row in rows {
            if let Some(id) = row.key.strip_prefix(LIVE_PREFIX).and_then(JobId::parse) {
                self.on_job_accepted(&id, &row.value, Revision(row.revision));
                listed.insert(id);
            }
        }
        for id in self.jobs.missing_from(&listed, revision) {
            self.on_job_terminated(&id, JobOutcome::Unknown);
        }
    }

    /// Processes the end of a job, whether or not the job is live in this scheduler: stops its tasks, queues the
    /// deletion of its stored bitmap, and resolves dependencies on it.
    pub fn on_job_terminated(&mut self, id: &JobId, outcome: JobOutcome) {
        let termination = self.jobs.terminate(id, outcome);
        if termination.released_dependents {
            self.rounds.request();
        }
        let Some(job) = termination.job else { return };
        self.end_gang_start(id);
        self.rounds.request();
        let chunks = self.limits.layout.chunks(job.spec.tasks);
        let stored = chunks.iter().filter(|chunk| chunk.done_tasks(job.durably_done()).next().is_some());
        self.writes.queue_bitmap_deletions(stored.map(|chunk| chunk.key(id)));
        self.pending_stops.add_placed_tasks(id, &job, 0.0);
        let machines = self.queue_pending_stops();
        machines.iter().for_each(|machine| self.flush_machine(machine));
    }

    /// Requests the outcomes of dependencies from the key-value store when a lookup is due.
    pub(super) fn look_up_dependencies(&mut self, now: MonotonicTime) {
        let ids = self.jobs.start_lookup(now);
        if !ids.is_empty() {
            self.effects.push(Effect::LookUpOutcomes(ids));
        }
    }

    /// Processes the result of an [`Effect::LookUpOutcomes`]: the outcomes of those jobs that have ended.
    pub fn on_outcomes_looked_up(&mut self, now: MonotonicTime, outcomes: &[(JobId, JobOutcome)]) {
        self.jobs.finish_lookup(now, !outcomes.is_empty());
        for (id, outcome) in outcomes {
            self.on_job_terminated(id, *outcome);
        }
    }
}
