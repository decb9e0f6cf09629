//! The live jobs: how they come to be known, and what is done when they end.

use super::*;

/// Jobs that the scheduler remembers as terminated, so that late news of them mean nothing.
const MAX_RECENTLY_TERMINATED: usize = 1024;

/// The live jobs and their dependencies.
pub(super) struct JobTable {
    pub live: BTreeMap<JobId, Job>,
    pub dependencies: DependencyGraph,
    /// The store is being asked how dependencies have ended; otherwise it isn't before `next_lookup_at`.
    pub lookup_in_flight: bool,
    pub next_lookup_at: MonotonicTime,
    /// The latest jobs that have ended.
    pub recently_terminated: VecDeque<JobId>,
    pub class_times: ClassTimes,
}

impl JobTable {
    pub fn new(now: MonotonicTime) -> JobTable {
        JobTable {
            live: BTreeMap::new(),
            dependencies: DependencyGraph::default(),
            lookup_in_flight: false,
            next_lookup_at: now,
            recently_terminated: VecDeque::new(),
            class_times: ClassTimes::default(),
        }
    }
}

impl Scheduler {
    /// A job was accepted (or seen again).
    pub fn on_job_accepted(&mut self, id: &JobId, value: &Value, revision: Revision) {
        // The watch may tell of a job's start after its end came by another way.
        if self.jobs.live.contains_key(id) || self.jobs.recently_terminated.contains(id) {
            return;
        }
        let record = match serde_json::from_value::<LiveRecord>(value.clone()) {
            Ok(r) => r,
            Err(e) => return warn!("state: job {id} can't be read: {e}"),
        };
        let Some(team) = self.settings.cluster.teams.iter().position(|t| t.name == record.spec.team) else {
            return warn!("state: job {id} is of unknown team {}", record.spec.team);
        };
        let s = &record.spec;
        if s.gpus > 0.0 {
            for (t, need) in
                self.catalog.types.iter().zip(&mut self.gpus.needs).filter(|(t, _)| submissions::type_allows(s, t))
            {
                need.cpus = need.cpus.max(s.cpus).min(t.cpus);
                need.memory_gb = need.memory_gb.max(s.memory_gb).min(t.memory_gb);
            }
        }
        let job = Job::new(record, revision, team as u32);
        self.jobs.dependencies.add(*id, &job.depends_on, |dependency| self.jobs.live.contains_key(dependency));
        self.jobs.live.insert(*id, job);
        self.rounds.needed = true;
    }

    /// The watch has missed changes: what is no longer listed is over.
    pub fn resync_live_jobs(&mut self, rows: Vec<KeyValue>, revision: u64) {
        let mut listed = BTreeSet::new();
        for row in rows {
            if let Some(id) = row.key.strip_prefix(LIVE_PREFIX).and_then(JobId::parse) {
                self.on_job_accepted(&id, &row.value, Revision(row.revision));
                listed.insert(id);
            }
        }
        let gone = |(id, j): &(&JobId, &Job)| !listed.contains(*id) && j.revision.0 <= revision;
        let over: Vec<JobId> = self.jobs.live.iter().filter(gone).map(|(id, _)| *id).collect();
        for id in over {
            self.on_job_terminated(&id, JobOutcome::Unknown);
        }
    }

    /// The job is over: done, or cancelled by its user. Whatever of it is on machines must go.
    pub fn on_job_terminated(&mut self, id: &JobId, outcome: JobOutcome) {
        if !self.jobs.recently_terminated.contains(id) {
            self.jobs.recently_terminated.push_back(*id);
            if self.jobs.recently_terminated.len() > MAX_RECENTLY_TERMINATED {
                self.jobs.recently_terminated.pop_front();
            }
        }
        self.settle_dependents(id, outcome);
        let Some(job) = self.jobs.live.remove(id) else { return };
        self.rounds.needed = true;
        self.jobs.dependencies.remove(id, &job.depends_on);
        let rows = self.limits.layout.chunks(job.spec.tasks);
        let stored = rows.iter().filter(|row| row.members(&job.durably_done).next().is_some());
        self.writes.delete_bitmaps(stored.map(|row| row.key(id)));
        for (index, machine, attempt) in job.places() {
            if let Some(m) = self.machines.known.get_mut(machine) {
                stop_allocation(m, &(TaskId { job: *id, index }, attempt), 0.0);
                self.flush_machine(machine);
            }
        }
    }
}
