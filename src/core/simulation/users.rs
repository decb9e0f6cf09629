//! Model of the users, who submit and cancel jobs.

use super::*;

impl Simulation {
    pub(super) fn step_users(&mut self) {
        if self.faults_enabled && self.chance(0.03) {
            self.submit();
        }
        if self.chance(self.cancellation_probability)
            && let Some(id) = self.specs.keys().nth(self.rng.random_range(0..self.specs.len().max(1))).copied()
        {
            self.cancel(&id);
        }
    }

    /// Submits a job and reports it to the leader. As in a real submission, dependencies that are done are left out of
    /// the live record, and a job with a cancelled dependency is recorded as cancelled immediately instead.
    fn submit(&mut self) {
        self.last_job_number += 1;
        let id = JobId::parse(&format!("req-{:06}", self.last_job_number)).unwrap();
        let spec = self.random_spec(&id);
        self.specs.insert(id, spec.clone());
        let dependencies =
            if self.chance(self.dependency_probability) { self.random_dependencies(id) } else { Vec::new() };
        self.depends_on.insert(id, dependencies.clone());
        if dependencies.iter().any(|dependency| self.outcome(dependency) == Some(JobOutcome::Cancelled)) {
            self.revision += 1;
            self.store.insert(terminal_key(&id), (json!(TerminalRecord::cancelled(spec.tasks)), self.revision));
            return;
        }
        let depends_on = dependencies.into_iter().filter(|dependency| self.outcome(dependency).is_none()).collect();
        let record = json!(LiveRecord { submitted_at: WallTime(self.now), spec, depends_on });
        self.revision += 1;
        self.store.insert(live_key(&id), (record.clone(), self.revision));
        let (leader, revision) = (self.leader_number, self.revision);
        let delay = self.rng.random_range(1..300);
        self.send(delay, Message::WatchEvent { leader, key: live_key(&id), value: Some((record, revision)) });
    }

    /// Draws the spec of a new job. The fields of the literal are evaluated in the order written, so reordering them
    /// changes the sequence of random draws.
    fn random_spec(&mut self, id: &JobId) -> JobSpec {
        let kind = [JobKind::Array, JobKind::Array, JobKind::Gang, JobKind::Service][self.rng.random_range(0..4)];
        let gpu = self.chance(0.2);
        JobSpec {
            id: id.to_string(),
            class: format!("{kind:?}"),
            team: if self.chance(0.6) { "team-a".into() } else { "team-b".into() },
            kind,
            priority: match kind {
                JobKind::Service => Priority::Prod,
                JobKind::Gang => Priority::High,
                JobKind::Array => [Priority::Normal, Priority::Low][self.rng.random_range(0..2)],
            },
            tasks: if kind == JobKind::Array { self.rng.random_range(1..20) } else { self.rng.random_range(1..4) },
            cpus: self.rng.random_range(1..5) as f64,
            gpus: if gpu { 1.0 } else { 0.0 },
            memory_gb: 2.0,
            image: format!("img-{}", self.rng.random_range(0..4)),
            image_gb: 1.0,
            allowed_types: if self.chance(0.1) { Some(vec!["large".into()]) } else { None },
            zone: if self.chance(0.1) { Some("a".into()) } else { None },
            one_zone: kind == JobKind::Gang && self.chance(0.5),
            spread: kind == JobKind::Service,
            allows_spot: kind != JobKind::Service && self.chance(0.6),
            estimated_run_s: 5.0,
            checkpoint_interval_s: if kind == JobKind::Gang { 2.0 } else { 0.0 },
            checkpoint_save_s: 0.5,
            deadline_s: None,
        }
    }

    /// Draws up to two dependencies for a new job, from the five latest earlier jobs that are not services. A service
    /// never ends, so its dependents would never start.
    fn random_dependencies(&mut self, new: JobId) -> Vec<JobId> {
        let earlier = self.specs.iter().rev().filter(|(id, spec)| **id != new && spec.kind != JobKind::Service);
        let earlier: Vec<JobId> = earlier.map(|(id, _)| *id).take(5).collect();
        let count = self.rng.random_range(1..3);
        earlier.into_iter().filter(|_| self.rng.random_bool(0.4)).take(count).collect()
    }

    /// Cancels a live job for a user, unless the store rejects the transaction.
    fn cancel(&mut self, id: &JobId) {
        let Some((_, revision)) = self.store.get(&live_key(id)) else { return };
        let record = TerminalRecord::cancelled(self.specs[id].tasks);
        let preconditions = vec![Precondition { key: live_key(id), revision: *revision }];
        let mutations = vec![Mutation::delete(live_key(id)), Mutation::put(terminal_key(id), json!(record))];
        let cancelled_before = self.cancelled.insert(*id, self.now);
        if !self.commit(&Transaction { preconditions, mutations }).is_committed() {
            match cancelled_before {
                Some(at) => self.cancelled.insert(*id, at),
                None => self.cancelled.remove(id),
            };
        }
    }
}
