//! The rules of the protocol, checked against what the model knows to be true.

use super::*;

impl Simulation {
    pub(super) fn check_over(&self, id: &JobId) {
        let record: TerminalRecord = serde_json::from_value(self.store[&terminal_key(id)].0.clone()).unwrap();
        if record.phase == JobPhase::Done {
            for index in 0..self.specs[id].tasks {
                let t = TaskId { job: *id, index };
                assert!(self.really_done.contains(&t), "not_done: {t} at {}", self.now);
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

    /// What workers were told to forget stays durably done while its job is live.
    pub(super) fn check_done_bits(&self) {
        let layout = BitmapLayout::new(&self.settings.cluster.store);
        for task in &self.cleared {
            if !self.store.contains_key(&live_key(&task.job)) {
                continue;
            }
            let mut set = FixedBitSet::with_capacity(self.specs[&task.job].tasks as usize);
            for row in self.rows(&format!("{BITMAP_PREFIX}{}/", task.job)) {
                let (_, number) = parse_key(&row.key).expect("a key of a done set");
                assert!(layout.read(&mut set, number, &row.value));
            }
            assert!(set.contains(task.index as usize), "{task} was cleared and isn't done at {}", self.now);
        }
    }

    /// The rules at the moment of a start.
    pub(super) fn check_start(&mut self, i: usize, task: &TaskId) {
        let spec = self.specs[&task.job].clone();
        let (now, w) = (self.now, &self.workers[i]);
        let t = &self.types[w.kind];
        assert!(!w.spot || spec.spot, "wrong_place: {task} on a spot machine");
        assert!(spec.zone.as_ref().is_none_or(|z| *z == t.zones[w.zone]), "wrong_place: zone of {task}");
        assert!(spec.types.as_ref().is_none_or(|l| l.contains(&t.name)), "wrong_place: type of {task}");
        if let Some(at) = self.cancelled.get(&task.job) {
            assert!(now - at < 30_000, "ran_cancelled: {task} starts");
        }
        for dependency in &self.depends_on[&task.job] {
            let done = matches!(self.outcome(dependency), Some(JobOutcome::Done(_)));
            assert!(done, "too_early: {task} starts before {dependency} is done at {now}");
        }
        let team = self.settings.cluster.teams.iter().find(|x| x.name == spec.team).unwrap();
        let mut used = spec.cpus;
        let mut zones = [0; 2];
        zones[w.zone] += 1;
        for (n, o) in self.workers.iter().enumerate().filter(|(_, o)| !o.dead) {
            for ((other, _), x) in &o.tasks {
                if x.phase == TaskPhase::Exited {
                    continue;
                }
                assert!(other != task, "ran_twice: {task} on m-{n:06} and m-{i:06} at {now}");
                let s = &self.specs[&other.job];
                if s.team == spec.team {
                    used += s.cpus;
                }
                if other.job == task.job {
                    zones[o.zone] += 1;
                }
            }
        }
        assert!(team.cpus_max == 0.0 || used <= team.cpus_max + 1e-6, "quota: {used} by {} at {now}", team.name);
        if spec.one_zone {
            assert!(zones.contains(&0), "wrong_place: {task} in two zones at {now}");
        }
        if spec.spread {
            assert!(zones[w.zone] <= spec.tasks.div_ceil(2), "wrong_place: {task} not spread at {now}");
        }
    }

    pub(super) fn check_cancelled(&self) {
        for (i, w) in self.workers.iter().enumerate().filter(|(_, w)| !w.dead) {
            for ((t, _), x) in &w.tasks {
                if let Some(at) = self.cancelled.get(&t.job) {
                    let gone = x.phase == TaskPhase::Exited || self.now - at <= 30_000;
                    assert!(gone, "ran_cancelled: {t} on m-{i:06} at {}", self.now);
                }
            }
        }
    }

    /// Arrays and gangs that are neither done nor cancelled.
    pub fn unfinished(&self) -> Vec<String> {
        let live = self.store.keys().filter_map(|k| k.strip_prefix(LIVE_PREFIX).and_then(JobId::parse));
        live.filter(|id| self.specs[id].kind != Kind::Service).map(|id| id.to_string()).collect()
    }
}
