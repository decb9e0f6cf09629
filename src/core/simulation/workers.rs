//! The workers of the model: they report, execute orders, run tasks and gangs, and lose their leases.

use super::*;

impl Simulation {
    pub(super) fn add_worker(&mut self, kind: usize, zone: usize, spot: bool, up_at: u64) -> String {
        self.workers.push(Worker {
            kind,
            zone,
            spot,
            up_at,
            dead: false,
            hangs_until: 0,
            cut_until: 0,
            deaf_until: 0,
            mute_until: 0,
            sick: false,
            agent_epoch: 1,
            sequence: 0,
            token: 0,
            began: up_at,
            answered_sent: up_at,
            next_heartbeat: up_at,
            in_flight: None,
            tasks: BTreeMap::new(),
            notice_at: None,
        });
        format!("m-{:06}", self.workers.len() - 1)
    }

    pub(super) fn heartbeat(&mut self, i: usize) -> Heartbeat {
        let w = &mut self.workers[i];
        w.sequence += 1;
        Heartbeat {
            machine: format!("m-{i:06}"),
            endpoint: i.to_string(),
            kind: self.types[w.kind].name.clone(),
            zone: self.types[w.kind].zones[w.zone].clone(),
            spot: w.spot,
            agent_epoch: AgentEpoch(w.agent_epoch),
            sequence: SequenceNumber(w.sequence),
            token: FencingToken(w.token),
            notice_s: w.notice_at.map(|t| t.saturating_sub(self.now) as f64 / 1000.0),
            tasks: w
                .tasks
                .iter()
                .map(|((t, a), x)| TaskStatus {
                    task: Some(*t),
                    attempt: *a,
                    phase: x.phase,
                    cause: x.cause,
                    kept: x.kept.then_some(true),
                })
                .collect(),
        }
    }

    pub(super) fn execute(&mut self, i: usize, orders: &[Order]) {
        for o in orders {
            match o {
                Order::Run { task, attempt } => {
                    let key = (*task, *attempt);
                    if !self.workers[i].tasks.contains_key(&key) {
                        self.check_start(i, &key.0);
                        self.starts += 1;
                        let next = self.now + self.rng.random_range(50..2_000);
                        let t = Task { phase: TaskPhase::Pulling, cause: None, next, kept: false };
                        self.workers[i].tasks.insert(key, t);
                    }
                }
                Order::Stop { task, attempt, leeway_s } => {
                    let key = (*task, *attempt);
                    let saves = self.specs[&key.0.job].checkpoint_s > 0.0;
                    let now = self.now;
                    if let Some(t) = self.workers[i].tasks.get_mut(&key) {
                        if t.phase == TaskPhase::Running && saves && *leeway_s > 0.0 {
                            t.phase = TaskPhase::Flushing;
                            t.next = now + 500;
                        } else if t.phase != TaskPhase::Exited && !(t.phase == TaskPhase::Flushing && *leeway_s > 0.0) {
                            t.phase = TaskPhase::Exited;
                            t.cause = Some(Cause::Halted);
                        }
                    }
                }
                Order::Clear { task, attempt } => {
                    let key = (*task, *attempt);
                    if self.workers[i].tasks.get(&key).is_some_and(|t| t.phase == TaskPhase::Exited) {
                        let t = self.workers[i].tasks.remove(&key);
                        if t.is_some_and(|t| t.cause == Some(Cause::Done)) {
                            self.cleared.insert(*task);
                            self.check_done_bits();
                        }
                    }
                }
            }
        }
    }

    pub(super) fn step_workers(&mut self) {
        for i in 0..self.workers.len() {
            let now = self.now;
            let w = &self.workers[i];
            if w.dead || now < w.up_at {
                continue;
            }
            // Hanging or not: a machine that resumes past its lease kills before anything else.
            self.step_lease(i);
            let w = &mut self.workers[i];
            if now < w.hangs_until {
                continue;
            }
            if w.notice_at.is_some_and(|t| t <= now) {
                w.dead = true;
                w.tasks.clear();
                continue;
            }
            let mut ended = Vec::new();
            for ((task, attempt), t) in &mut w.tasks {
                if t.next > now {
                    continue;
                }
                match t.phase {
                    TaskPhase::Pulling => {
                        t.phase = if self.specs[&task.job].kind == Kind::Gang {
                            TaskPhase::Waiting
                        } else {
                            TaskPhase::Running
                        };
                        t.next = now + 2_000 + (attempt.0 * 7919 + u64::from(task.index) * 104_729) % 6_000;
                        if w.sick {
                            t.phase = TaskPhase::Exited;
                            t.cause = Some(Cause::Error);
                        }
                    }
                    TaskPhase::Running if self.specs[&task.job].kind == Kind::Array => {
                        t.phase = TaskPhase::Exited;
                        t.cause = Some(Cause::Done);
                        ended.push(*task);
                    }
                    TaskPhase::Flushing => {
                        t.phase = TaskPhase::Exited;
                        t.cause = Some(Cause::Halted);
                        t.kept = true;
                    }
                    _ => {}
                }
            }
            self.really_done.extend(ended);
            let w = &mut self.workers[i];
            if w.in_flight.is_some_and(|(_, sent)| now - sent > 4_000) {
                w.in_flight = None;
                w.next_heartbeat = now + 1_000;
            }
            if w.in_flight.is_none() && now >= w.next_heartbeat {
                let heartbeat = self.heartbeat(i);
                let w = &mut self.workers[i];
                w.in_flight = Some((heartbeat.sequence.0, now));
                w.next_heartbeat = now + 1_500;
                let cut = now < w.cut_until;
                // A heartbeat on its way into a cut comes late or never.
                if cut && self.chance(0.5) || self.lost() || now < self.workers[i].mute_until {
                    continue;
                }
                let delay = if cut { self.rng.random_range(3_000..20_000) } else { self.delay() };
                if self.faults && self.chance(0.05) {
                    // A copy, seconds to well over a lease later; nobody hears an answer to it.
                    let late = self.rng.random_range(1_000..30_000);
                    let copy = heartbeat.clone();
                    self.post(late, Mail::Heartbeat { worker: i, sent: 0, heartbeat: copy });
                }
                if self.chance(self.forwarded) {
                    self.gathered.push((i, now, heartbeat));
                } else {
                    self.post(delay, Mail::Heartbeat { worker: i, sent: now, heartbeat });
                }
            }
        }
        self.step_gangs();
        self.forward();
    }

    /// The controller that passes heartbeats on sends a batch. Batches are lost, late and doubled as a
    /// whole, and that controller restarts.
    pub(super) fn forward(&mut self) {
        if self.gathered.is_empty() || !self.now.is_multiple_of(FORWARD_EVERY) {
            return;
        }
        let heartbeats = std::mem::take(&mut self.gathered);
        if self.lost() {
            return;
        }
        if self.faults && self.chance(0.03) {
            let late = self.rng.random_range(1_000..30_000);
            let copies = heartbeats.iter().map(|(worker, _, heartbeat)| (*worker, 0, heartbeat.clone())).collect();
            self.post(late, Mail::Batch { heartbeats: copies });
        }
        let delay = self.delay();
        self.post(delay, Mail::Batch { heartbeats });
    }

    /// What the leader answers to a heartbeat, if the answer can reach the worker.
    pub(super) fn answer(&mut self, worker: usize, sent: u64, heartbeat: &Heartbeat) -> Option<Mail> {
        let leader = self.leader.as_mut()?;
        let answer = leader.on_heartbeat(MonotonicTime(self.now), heartbeat).ok();
        self.digest.answer(answer.as_ref());
        let answer = answer?;
        let w = &self.workers[worker];
        let reachable = self.now >= w.cut_until && self.now >= w.deaf_until;
        reachable.then_some(Mail::Answer { worker, sent, agent_epoch: heartbeat.agent_epoch.0, answer })
    }

    /// Gangs begin when all tasks wait, complete together, and break when one is gone.
    pub(super) fn step_gangs(&mut self) {
        let mut runs: BTreeMap<(JobId, Attempt), Vec<(usize, TaskId)>> = BTreeMap::new();
        for (i, w) in self.workers.iter().enumerate().filter(|(_, w)| !w.dead) {
            for ((t, a), x) in &w.tasks {
                if self.specs[&t.job].kind == Kind::Gang && x.phase != TaskPhase::Exited {
                    runs.entry((t.job, *a)).or_default().push((i, *t));
                }
            }
        }
        for ((job, a), members) in runs {
            let all = members.len() as u32 == self.specs[&job].tasks;
            let now = self.now;
            let mut phases = Vec::new();
            for (i, t) in &members {
                phases.push(self.workers[*i].tasks[&(*t, a)].phase);
            }
            let begin = all && phases.iter().all(|p| *p == TaskPhase::Waiting);
            let broken = !all && phases.contains(&TaskPhase::Running);
            let done = all
                && members.iter().all(|(i, t)| {
                    let x = &self.workers[*i].tasks[&(*t, a)];
                    x.phase == TaskPhase::Running && x.next <= now
                });
            for (i, t) in &members {
                let x = self.workers[*i].tasks.get_mut(&(*t, a)).unwrap();
                if begin {
                    x.phase = TaskPhase::Running;
                    x.next = now + 4_000;
                } else if done || broken && x.phase == TaskPhase::Running {
                    x.phase = TaskPhase::Exited;
                    x.cause = Some(if done { Cause::Done } else { Cause::MatesGone });
                    if done {
                        self.really_done.insert(*t);
                    }
                }
            }
        }
    }

    pub(super) fn step_lease(&mut self, i: usize) {
        let lease = Millis::from_secs_f64(self.settings.cluster.workers.lease_s).0;
        let now = self.now;
        let w = &mut self.workers[i];
        if now - w.answered_sent.max(w.began) > lease {
            w.agent_epoch += 1;
            w.began = now;
            w.tasks.clear();
            w.in_flight = None;
        }
    }
}
