//! The invariants of the protocol, checked against the actual state of the simulation.

use super::*;

impl Simulation {
    /// Checks a job's terminal record right after it has been written: all tasks of a done job have completed, and a
    /// cancelled job was cancelled by a user or depends on a cancelled job.
    pub(super) fn check_terminal_record(&self, id: &JobId) {
        let record: TerminalRecord = serde_json::from_value(self.store[&terminal_key(id)].0.clone()).unwrap();
        if record.phase == JobPhase::Done {
            for index in 0..self.specs[id].tasks {
                let task = TaskId { job: *id, index };
                assert!(
                    self.completed_tasks.contains(&task),
                    "{task} has not completed, but its job is recorded as done at {} ms",
                    self.now
                );
            }
            assert!(!self.cancelled.contains_key(id), "{id} is recorded as done after its cancellation was confirmed");
        } else {
            let has_cancelled_dependency =
                self.depends_on[id].iter().any(|dependency| self.is_cancelled_or_depends_on_cancelled(dependency));
            assert!(
                self.cancelled.contains_key(id) || has_cancelled_dependency,
                "{id} is recorded as cancelled without a reason at {} ms",
                self.now
            );
        }
    }

    fn is_cancelled_or_depends_on_cancelled(&self, id: &JobId) -> bool {
        self.cancelled.contains_key(id)
            || self.depends_on[id].iter().any(|id| self.is_cancelled_or_depends_on_cancelled(id))
    }

    /// Checks that the completion of every cleared task of a live job is recorded in the job's stored completion
    /// bitmap. Workers no longer list cleared tasks, so a new leader that doesn't find them in the bitmap would start
    /// them again.
    pub(super) fn check_cleared_tasks_are_done(&self) {
        let layout = BitmapLayout::new(&self.settings.cluster.store);
        for task in &self.cleared_tasks {
            if !self.store.contains_key(&live_key(&task.job)) {
                continue;
            }
            let mut done = FixedBitSet::with_capacity(self.specs[&task.job].tasks as usize);
            for row in self.rows(&format!("{BITMAP_PREFIX}{}/", task.job)) {
                let (_, chunk) = parse_chunk_key(&row.key).expect("key of a bitmap chunk");
                assert!(layout.read_chunk(&mut done, chunk, &row.value));
            }
            assert!(
                done.contains(task.index as usize),
                "{task} was cleared, but is not stored as done at {} ms",
                self.now
            );
        }
    }

    /// Checks that this attempt has not started on this worker before: a worker that has forgotten an attempt, because
    /// the attempt was cleared, must not be made to start it anew.
    pub(super) fn check_attempt_is_new(&mut self, index: usize, task: TaskId, attempt: Attempt) {
        let is_new = self.started_attempts.insert((index, task, attempt));
        assert!(is_new, "{task} attempt {attempt} starts a second time on m-{index:06} at {} ms", self.now);
    }

    /// Checks that a task may start now on the worker with the given index: the job permits the machine, was not
    /// cancelled 30 s or more ago, and has no unfinished dependencies. Also checks the task against those that already
    /// run.
    pub(super) fn check_start(&self, index: usize, task: &TaskId) {
        let spec = &self.specs[&task.job];
        let (now, worker) = (self.now, &self.workers[index]);
        let machine_type = &self.types[worker.type_index];
        let zone = &machine_type.zones[worker.zone_index];
        assert!(!worker.spot || spec.allows_spot, "{task} starts on a spot machine, which its job doesn't permit");
        assert!(
            spec.zone.as_ref().is_none_or(|wanted| wanted == zone),
            "{task} starts in a zone that its job doesn't permit"
        );
        let types = spec.allowed_types.as_ref();
        assert!(
            types.is_none_or(|types| types.contains(&machine_type.name)),
            "{task} starts on a machine type that its job doesn't permit"
        );
        if let Some(at) = self.cancelled.get(&task.job) {
            assert!(now - at < 30_000, "{task} starts at {now} ms, cancellation confirmed at {at} ms");
        }
        for dependency in &self.depends_on[&task.job] {
            let done = matches!(self.outcome(dependency), Some(JobOutcome::Done(_)));
            assert!(done, "{task} starts before its dependency {dependency} is done, at {now} ms");
        }
        self.check_start_against_running_tasks(index, task, spec);
    }

    /// Checks the start of a task against all running tasks: no other attempt of the same task is active, and the
    /// team's quota and the job's rules on zones (one zone only, or spread over zones) are kept.
    fn check_start_against_running_tasks(&self, index: usize, task: &TaskId, spec: &JobSpec) {
        let (now, zone_index) = (self.now, self.workers[index].zone_index);
        let mut used_cpus = spec.cpus;
        let mut tasks_by_zone = [0; 2];
        tasks_by_zone[zone_index] += 1;
        for (other_index, worker) in self.workers.iter().enumerate().filter(|(_, worker)| !worker.is_gone) {
            for ((other, _), _) in worker.tasks.iter().filter(|(_, state)| !state.has_exited()) {
                assert!(other != task, "{task} runs on m-{other_index:06} and starts on m-{index:06} at {now} ms");
                let other_spec = &self.specs[&other.job];
                if other_spec.team == spec.team {
                    used_cpus += other_spec.cpus;
                }
                if other.job == task.job {
                    tasks_by_zone[worker.zone_index] += 1;
                }
            }
        }
        let team = self.settings.cluster.teams.iter().find(|team| team.name == spec.team).unwrap();
        assert!(
            team.max_cpus == 0.0 || used_cpus <= team.max_cpus + 1e-6,
            "team {} uses {used_cpus} CPUs, over its limit, at {now} ms",
            team.name
        );
        if spec.one_zone {
            assert!(
                tasks_by_zone.contains(&0),
                "tasks of a one-zone job run in two zones after the start of {task} at {now} ms"
            );
        }
        if spec.spread {
            let max_per_zone = spec.tasks.div_ceil(2);
            assert!(
                tasks_by_zone[zone_index] <= max_per_zone,
                "{task} starts at {now} ms in a zone that already runs half of the job's tasks"
            );
        }
    }

    /// Checks that no task of a cancelled job still runs more than 30 s after the cancellation was confirmed to the
    /// user. 30 s is the limit in the settings (`cancel_s`).
    pub(super) fn check_cancelled_jobs_do_not_run(&self) {
        for (index, worker) in self.workers.iter().enumerate().filter(|(_, worker)| !worker.is_gone) {
            for ((task, _), state) in &worker.tasks {
                if let Some(at) = self.cancelled.get(&task.job) {
                    let allowed = state.has_exited() || self.now - at <= 30_000;
                    assert!(
                        allowed,
                        "{task} still runs on m-{index:06} at {} ms, cancellation confirmed at {at} ms",
                        self.now
                    );
                }
            }
        }
    }

    /// Ids of the live jobs, except for services, which never end by themselves.
    pub(super) fn unfinished_jobs(&self) -> Vec<String> {
        let live = self.store.keys().filter_map(|key| key.strip_prefix(LIVE_PREFIX).and_then(JobId::parse));
        live.filter(|id| self.specs[id].kind != JobKind::Service).map(|id| id.to_string()).collect()
    }
}
