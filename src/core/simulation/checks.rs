//! The rules of the protocol, checked against the true state that the model keeps.

use super::*;

impl Simulation {
    /// A record that says done is right, and one that says cancelled has its reason.
    pub(super) fn check_terminal_record(&self, id: &JobId) {
        let record: TerminalRecord = serde_json::from_value(self.store[&terminal_key(id)].0.clone()).unwrap();
        if record.phase == JobPhase::Done {
            for index in 0..self.specs[id].tasks {
                let task = TaskId { job: *id, index };
                assert!(self.completed_tasks.contains(&task), "not_done: {task} at {}", self.now);
            }
            assert!(!self.cancelled.contains_key(id), "went_back: {id}");
        } else {
            let needed = self.depends_on[id].iter().any(|dependency| self.is_cancelled_or_follows_one(dependency));
            assert!(self.cancelled.contains_key(id) || needed, "{id} is cancelled for no reason at {}", self.now);
        }
    }

    fn is_cancelled_or_follows_one(&self, id: &JobId) -> bool {
        self.cancelled.contains_key(id) || self.depends_on[id].iter().any(|id| self.is_cancelled_or_follows_one(id))
    }

    /// What workers were ordered to clear stays durably done while its job is live.
    pub(super) fn check_cleared_tasks_are_done(&self) {
        let layout = BitmapLayout::new(&self.settings.cluster.store);
        for task in &self.cleared_tasks {
            if !self.store.contains_key(&live_key(&task.job)) {
                continue;
            }
            let mut done = FixedBitSet::with_capacity(self.specs[&task.job].tasks as usize);
            for row in self.rows(&format!("{BITMAP_PREFIX}{}/", task.job)) {
                let (_, chunk) = parse_chunk_key(&row.key).expect("the key of a chunk");
                assert!(layout.read_chunk(&mut done, chunk, &row.value));
            }
            assert!(done.contains(task.index as usize), "{task} was cleared and isn't done at {}", self.now);
        }
    }

    /// The rules at the moment of a start.
    pub(super) fn check_start(&self, index: usize, task: &TaskId) {
        let spec = &self.specs[&task.job];
        let (now, worker) = (self.now, &self.workers[index]);
        let machine_type = &self.types[worker.type_index];
        let zone = &machine_type.zones[worker.zone_index];
        assert!(!worker.spot || spec.spot, "wrong_place: {task} on a spot machine");
        assert!(spec.zone.as_ref().is_none_or(|wanted| wanted == zone), "wrong_place: zone of {task}");
        let types = spec.types.as_ref();
        assert!(types.is_none_or(|types| types.contains(&machine_type.name)), "wrong_place: type of {task}");
        if let Some(at) = self.cancelled.get(&task.job) {
            assert!(now - at < 30_000, "ran_cancelled: {task} starts");
        }
        for dependency in &self.depends_on[&task.job] {
            let done = matches!(self.outcome(dependency), Some(JobOutcome::Done(_)));
            assert!(done, "too_early: {task} starts before {dependency} is done at {now}");
        }
        self.check_start_beside_others(index, task, spec);
    }

    /// The rules on what runs elsewhere at the moment of a start: one run of a task, quota, zones.
    fn check_start_beside_others(&self, index: usize, task: &TaskId, spec: &JobSpec) {
        let (now, zone_index) = (self.now, self.workers[index].zone_index);
        let mut used = spec.cpus;
        let mut tasks_by_zone = [0; 2];
        tasks_by_zone[zone_index] += 1;
        for (other_index, worker) in self.workers.iter().enumerate().filter(|(_, worker)| !worker.dead) {
            for ((other, _), _) in worker.tasks.iter().filter(|(_, listed)| !listed.has_exited()) {
                assert!(other != task, "ran_twice: {task} on m-{other_index:06} and m-{index:06} at {now}");
                let other_spec = &self.specs[&other.job];
                if other_spec.team == spec.team {
                    used += other_spec.cpus;
                }
                if other.job == task.job {
                    tasks_by_zone[worker.zone_index] += 1;
                }
            }
        }
        let team = self.settings.cluster.teams.iter().find(|team| team.name == spec.team).unwrap();
        assert!(team.cpus_max == 0.0 || used <= team.cpus_max + 1e-6, "quota: {used} by {} at {now}", team.name);
        if spec.one_zone {
            assert!(tasks_by_zone.contains(&0), "wrong_place: {task} in two zones at {now}");
        }
        if spec.spread {
            let most = spec.tasks.div_ceil(2);
            assert!(tasks_by_zone[zone_index] <= most, "wrong_place: {task} not spread at {now}");
        }
    }

    pub(super) fn check_cancelled_jobs_do_not_run(&self) {
        for (index, worker) in self.workers.iter().enumerate().filter(|(_, worker)| !worker.dead) {
            for ((task, _), listed) in &worker.tasks {
                if let Some(at) = self.cancelled.get(&task.job) {
                    let gone = listed.has_exited() || self.now - at <= 30_000;
                    assert!(gone, "ran_cancelled: {task} on m-{index:06} at {}", self.now);
                }
            }
        }
    }

    /// Arrays and gangs that are neither done nor cancelled.
    pub(super) fn unfinished(&self) -> Vec<String> {
        let live = self.store.keys().filter_map(|key| key.strip_prefix(LIVE_PREFIX).and_then(JobId::parse));
        live.filter(|id| self.specs[id].kind != Kind::Service).map(|id| id.to_string()).collect()
    }
}
