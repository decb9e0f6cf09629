//! The workers of the model: they send heartbeats, execute orders, run tasks and gangs, and lose their leases.

use super::*;

/// After this a worker sends its next heartbeat without the answer to the last.
pub(super) const HEARTBEAT_TIMEOUT: u64 = 4_000;
const HEARTBEAT_INTERVAL: u64 = 1_500;
const HEARTBEAT_BACKOFF: u64 = 1_000;
/// How long the controller that relays gathers heartbeats.
const RELAY_INTERVAL: u64 = 100;

/// What a worker lists of one task attempt.
pub(super) struct Task {
    phase: TaskPhase,
    cause: Option<Cause>,
    next_phase_at: u64,
    kept: bool,
}

pub(super) struct Worker {
    /// Index of its machine type.
    pub(super) type_index: usize,
    /// Index among the zones of its type.
    pub(super) zone_index: usize,
    pub(super) spot: bool,
    pub(super) up_at: u64,
    pub(super) dead: bool,
    /// Executes and says nothing until then.
    pub(super) hangs_until: u64,
    pub(super) cut_until: u64,
    /// Its heartbeats arrive, but neither answers nor orders reach it.
    pub(super) inbound_cut_until: u64,
    /// Its heartbeats reach no controller, while orders reach it.
    pub(super) outbound_cut_until: u64,
    pub(super) fails_tasks: bool,
    pub(super) agent_epoch: u64,
    sequence: u64,
    pub(super) token: u64,
    epoch_started_at: u64,
    /// When the latest heartbeat that was answered was sent; the lease counts from there.
    pub(super) lease_renewed_at: u64,
    pub(super) next_heartbeat: u64,
    /// When the heartbeat was sent whose answer it waits for.
    pub(super) unanswered_heartbeat_sent_at: Option<u64>,
    pub(super) tasks: BTreeMap<(TaskId, Attempt), Task>,
    /// When the cloud reclaims this spot machine.
    pub(super) reclaimed_at: Option<u64>,
}

/// A heartbeat on its way. Nobody hears the answer to a copy, whose `sent_at` is 0.
pub(super) struct SentHeartbeat {
    pub(super) worker: usize,
    pub(super) sent_at: u64,
    pub(super) heartbeat: Heartbeat,
}

impl Task {
    pub(super) fn has_exited(&self) -> bool {
        self.phase == TaskPhase::Exited
    }

    fn exit(&mut self, cause: Cause) {
        self.phase = TaskPhase::Exited;
        self.cause = Some(cause);
    }

    fn stop(&mut self, saves: bool, leeway_s: f64, now: u64) {
        let has_leeway = leeway_s > 0.0;
        match self.phase {
            TaskPhase::Running if saves && has_leeway => {
                self.phase = TaskPhase::Flushing;
                self.next_phase_at = now + 500;
            }
            TaskPhase::Exited => {}
            TaskPhase::Flushing if has_leeway => {}
            TaskPhase::Pulling | TaskPhase::Waiting | TaskPhase::Running | TaskPhase::Flushing => {
                self.exit(Cause::Halted);
            }
        }
    }

    fn finish_pulling(&mut self, kind: Kind, fails: bool, run_time: u64, now: u64) {
        self.phase = if kind == Kind::Gang { TaskPhase::Waiting } else { TaskPhase::Running };
        self.next_phase_at = now + run_time;
        if fails {
            self.exit(Cause::Error);
        }
    }
}

impl Worker {
    fn new(type_index: usize, zone_index: usize, spot: bool, up_at: u64) -> Worker {
        Worker {
            type_index,
            zone_index,
            spot,
            up_at,
            dead: false,
            hangs_until: 0,
            cut_until: 0,
            inbound_cut_until: 0,
            outbound_cut_until: 0,
            fails_tasks: false,
            agent_epoch: 1,
            sequence: 0,
            token: 0,
            epoch_started_at: up_at,
            lease_renewed_at: up_at,
            next_heartbeat: up_at,
            unanswered_heartbeat_sent_at: None,
            tasks: BTreeMap::new(),
            reclaimed_at: None,
        }
    }

    /// All tasks are gone, and the next heartbeat says so.
    pub(super) fn begin_agent_epoch(&mut self, now: u64) {
        self.agent_epoch += 1;
        self.epoch_started_at = now;
        self.tasks.clear();
        self.unanswered_heartbeat_sent_at = None;
    }

    fn task_statuses(&self) -> Vec<TaskStatus> {
        let status = |((task, attempt), listed): (&(TaskId, Attempt), &Task)| TaskStatus {
            task: Some(*task),
            attempt: *attempt,
            phase: listed.phase,
            cause: listed.cause,
            kept: listed.kept.then_some(true),
        };
        self.tasks.iter().map(status).collect()
    }
}

impl Simulation {
    /// Returns the name of the new machine.
    pub(super) fn add_worker(&mut self, type_index: usize, zone_index: usize, spot: bool, up_at: u64) -> String {
        self.workers.push(Worker::new(type_index, zone_index, spot, up_at));
        format!("m-{:06}", self.workers.len() - 1)
    }

    pub(super) fn heartbeat(&mut self, index: usize) -> Heartbeat {
        let worker = &mut self.workers[index];
        worker.sequence += 1;
        let machine_type = &self.types[worker.type_index];
        Heartbeat {
            machine: format!("m-{index:06}"),
            endpoint: index.to_string(),
            kind: machine_type.name.clone(),
            zone: machine_type.zones[worker.zone_index].clone(),
            spot: worker.spot,
            agent_epoch: AgentEpoch(worker.agent_epoch),
            sequence: SequenceNumber(worker.sequence),
            token: FencingToken(worker.token),
            notice_s: worker.reclaimed_at.map(|at| at.saturating_sub(self.now) as f64 / 1000.0),
            tasks: worker.task_statuses(),
        }
    }

    pub(super) fn execute(&mut self, index: usize, orders: &[Order]) {
        for order in orders {
            match order {
                Order::Run { task, attempt } => self.start_task(index, *task, *attempt),
                Order::Stop { task, attempt, leeway_s } => {
                    let saves = self.specs[&task.job].checkpoint_s > 0.0;
                    let now = self.now;
                    if let Some(listed) = self.workers[index].tasks.get_mut(&(*task, *attempt)) {
                        listed.stop(saves, *leeway_s, now);
                    }
                }
                Order::Clear { task, attempt } => self.clear_task(index, *task, *attempt),
            }
        }
    }

    fn start_task(&mut self, index: usize, task: TaskId, attempt: Attempt) {
        if self.workers[index].tasks.contains_key(&(task, attempt)) {
            return;
        }
        self.check_start(index, &task);
        self.start_count += 1;
        let next_phase_at = self.now + self.rng.random_range(50..2_000);
        let pulling = Task { phase: TaskPhase::Pulling, cause: None, next_phase_at, kept: false };
        self.workers[index].tasks.insert((task, attempt), pulling);
    }

    fn clear_task(&mut self, index: usize, task: TaskId, attempt: Attempt) {
        let tasks = &mut self.workers[index].tasks;
        if !tasks.get(&(task, attempt)).is_some_and(Task::has_exited) {
            return;
        }
        let cleared = tasks.remove(&(task, attempt));
        if cleared.is_some_and(|cleared| cleared.cause == Some(Cause::Done)) {
            self.cleared_tasks.insert(task);
            self.check_cleared_tasks_are_done();
        }
    }

    pub(super) fn step_workers(&mut self) {
        for index in 0..self.workers.len() {
            let worker = &self.workers[index];
            if worker.dead || self.now < worker.up_at {
                continue;
            }
            // Hanging or not: a machine that resumes past its lease kills before anything else.
            self.step_lease(index);
            let now = self.now;
            let worker = &mut self.workers[index];
            if now < worker.hangs_until {
                continue;
            }
            if worker.reclaimed_at.is_some_and(|at| at <= now) {
                worker.dead = true;
                worker.tasks.clear();
                continue;
            }
            self.step_tasks(index);
            self.step_heartbeat(index);
        }
        self.step_gangs();
        self.send_relay_batch();
    }

    fn step_lease(&mut self, index: usize) {
        let lease = Millis::from_secs_f64(self.settings.cluster.workers.lease_s).0;
        let now = self.now;
        let worker = &mut self.workers[index];
        if now - worker.lease_renewed_at.max(worker.epoch_started_at) > lease {
            worker.begin_agent_epoch(now);
        }
    }

    fn step_tasks(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        for ((task, attempt), listed) in &mut worker.tasks {
            if listed.next_phase_at > now {
                continue;
            }
            let kind = self.specs[&task.job].kind;
            match listed.phase {
                TaskPhase::Pulling => {
                    let run_time = 2_000 + (attempt.0 * 7919 + u64::from(task.index) * 104_729) % 6_000;
                    listed.finish_pulling(kind, worker.fails_tasks, run_time, now);
                }
                TaskPhase::Running if kind == Kind::Array => {
                    listed.exit(Cause::Done);
                    self.completed_tasks.insert(*task);
                }
                TaskPhase::Flushing => {
                    listed.exit(Cause::Halted);
                    listed.kept = true;
                }
                TaskPhase::Running | TaskPhase::Waiting | TaskPhase::Exited => {}
            }
        }
    }

    fn step_heartbeat(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        if worker.unanswered_heartbeat_sent_at.is_some_and(|sent_at| now - sent_at > HEARTBEAT_TIMEOUT) {
            worker.unanswered_heartbeat_sent_at = None;
            worker.next_heartbeat = now + HEARTBEAT_BACKOFF;
        }
        if worker.unanswered_heartbeat_sent_at.is_some() || now < worker.next_heartbeat {
            return;
        }
        let heartbeat = self.heartbeat(index);
        let worker = &mut self.workers[index];
        worker.unanswered_heartbeat_sent_at = Some(now);
        worker.next_heartbeat = now + HEARTBEAT_INTERVAL;
        self.send_heartbeat(index, heartbeat);
    }

    fn send_heartbeat(&mut self, index: usize, heartbeat: Heartbeat) {
        let now = self.now;
        let cut = now < self.workers[index].cut_until;
        // A heartbeat on its way into a cut comes late or never.
        if cut && self.chance(0.5) || self.lost() || now < self.workers[index].outbound_cut_until {
            return;
        }
        let delay = if cut { self.rng.random_range(3_000..20_000) } else { self.delay() };
        if self.faults && self.chance(0.05) {
            // A copy, seconds to well over a lease later.
            let late = self.rng.random_range(1_000..30_000);
            let copy = SentHeartbeat { worker: index, sent_at: 0, heartbeat: heartbeat.clone() };
            self.post(late, Mail::Heartbeat(copy));
        }
        let sent = SentHeartbeat { worker: index, sent_at: now, heartbeat };
        if self.chance(self.relay_probability) {
            self.relay_batch.push(sent);
        } else {
            self.post(delay, Mail::Heartbeat(sent));
        }
    }

    /// The controller that relays heartbeats sends a batch. Batches are lost, late and doubled as a
    /// whole, and that controller restarts.
    fn send_relay_batch(&mut self) {
        if self.relay_batch.is_empty() || !self.now.is_multiple_of(RELAY_INTERVAL) {
            return;
        }
        let batch = std::mem::take(&mut self.relay_batch);
        if self.lost() {
            return;
        }
        if self.faults && self.chance(0.03) {
            let late = self.rng.random_range(1_000..30_000);
            let copy = |sent: &SentHeartbeat| SentHeartbeat {
                worker: sent.worker,
                sent_at: 0,
                heartbeat: sent.heartbeat.clone(),
            };
            self.post(late, Mail::RelayBatch(batch.iter().map(copy).collect()));
        }
        let delay = self.delay();
        self.post(delay, Mail::RelayBatch(batch));
    }

    /// Gangs begin when all tasks wait, complete together, and break when one is gone.
    fn step_gangs(&mut self) {
        for ((job, attempt), members) in self.gang_members() {
            let whole = members.len() as u32 == self.specs[&job].tasks;
            let now = self.now;
            let listed = |(index, task): &(usize, TaskId)| &self.workers[*index].tasks[&(*task, attempt)];
            let begin = whole && members.iter().all(|member| listed(member).phase == TaskPhase::Waiting);
            let done =
                whole && members.iter().map(listed).all(|x| x.phase == TaskPhase::Running && x.next_phase_at <= now);
            let broken = !whole && members.iter().any(|member| listed(member).phase == TaskPhase::Running);
            for (index, task) in &members {
                let member = self.workers[*index].tasks.get_mut(&(*task, attempt)).unwrap();
                if begin {
                    member.phase = TaskPhase::Running;
                    member.next_phase_at = now + 4_000;
                } else if done {
                    member.exit(Cause::Done);
                    self.completed_tasks.insert(*task);
                } else if broken && member.phase == TaskPhase::Running {
                    member.exit(Cause::MatesGone);
                }
            }
        }
    }

    /// The workers and tasks of each attempt of a gang.
    fn gang_members(&self) -> BTreeMap<(JobId, Attempt), Vec<(usize, TaskId)>> {
        let mut members: BTreeMap<(JobId, Attempt), Vec<(usize, TaskId)>> = BTreeMap::new();
        for (index, worker) in self.workers.iter().enumerate().filter(|(_, worker)| !worker.dead) {
            for ((task, attempt), listed) in &worker.tasks {
                if self.specs[&task.job].kind == Kind::Gang && !listed.has_exited() {
                    members.entry((task.job, *attempt)).or_default().push((index, *task));
                }
            }
        }
        members
    }
}
