//! Model of the workers, which send heartbeats, execute orders, and run tasks and gangs. A worker whose lease expires
//! kills its tasks and begins a new agent epoch.

use super::*;

/// Time for which a worker waits for the response to a heartbeat. The worker ignores a later response.
pub(super) const HEARTBEAT_TIMEOUT_MS: u64 = 4_000;
const HEARTBEAT_INTERVAL_MS: u64 = 1_500;
/// Time between the timeout of an unanswered heartbeat and the worker's next heartbeat.
const HEARTBEAT_BACKOFF_MS: u64 = 1_000;
/// Interval at which the relaying controller sends the heartbeats that it has collected to the leader.
const RELAY_INTERVAL_MS: u64 = 100;

/// The state of a task attempt on a worker.
pub(super) struct AttemptState {
    phase: TaskPhase,
    /// Why the attempt exited, or `None` if it has not exited.
    cause: Option<ExitCause>,
    /// Simulated time at which the attempt's current phase ends.
    next_phase_at: u64,
    /// Whether a checkpoint was saved when the attempt was stopped.
    progress_saved: bool,
}

pub(super) struct Worker {
    /// Index of the machine's type in [`Simulation::types`].
    pub(super) type_index: usize,
    /// Index of the machine's zone in the list of zones of its machine type.
    pub(super) zone_index: usize,
    pub(super) spot: bool,
    /// Simulated time at which the machine finishes booting and its worker starts.
    pub(super) boots_at: u64,
    /// Whether the machine no longer exists: it crashed, was reclaimed by the cloud, or was terminated on request.
    pub(super) is_gone: bool,
    /// Simulated time until which the machine executes nothing and sends nothing.
    pub(super) frozen_until: u64,
    /// Simulated time until which messages to and from the worker are lost or delayed.
    pub(super) partitioned_until: u64,
    /// Simulated time until which the worker's heartbeats arrive, but neither responses nor orders reach the worker.
    pub(super) inbound_partitioned_until: u64,
    /// Simulated time until which orders reach the worker, but its heartbeats reach no controller.
    pub(super) outbound_partitioned_until: u64,
    /// Whether every task on the machine fails as soon as its image is pulled.
    pub(super) fails_tasks: bool,
    pub(super) agent_epoch: u64,
    sequence: u64,
    /// The highest fencing token that the worker has received since its machine started.
    pub(super) token: u64,
    epoch_started_at: u64,
    /// Time at which the latest answered heartbeat was sent. The worker's lease runs from this time, or from the start
    /// of the agent epoch if that is later.
    pub(super) lease_renewed_at: u64,
    pub(super) next_heartbeat_at: u64,
    /// Time at which the heartbeat that awaits a response was sent, or `None` if no heartbeat awaits one.
    pub(super) unanswered_heartbeat_sent_at: Option<u64>,
    /// Task attempts on the worker, including exited ones that have not been cleared.
    pub(super) tasks: BTreeMap<(TaskId, Attempt), AttemptState>,
    /// Time at which the cloud reclaims this spot machine, or `None` if no reclamation has been announced.
    pub(super) reclaimed_at: Option<u64>,
}

/// A heartbeat in transit. A duplicate has `sent_at` 0, so the worker ignores the response to the duplicate.
pub(super) struct SentHeartbeat {
    pub(super) worker: usize,
    pub(super) sent_at: u64,
    pub(super) heartbeat: Heartbeat,
}

impl AttemptState {
    pub(super) fn has_exited(&self) -> bool {
        self.phase == TaskPhase::Exited
    }

    fn exit(&mut self, cause: ExitCause) {
        self.phase = TaskPhase::Exited;
        self.cause = Some(cause);
    }

    /// Stops the attempt. An attempt that runs, writes checkpoints and is granted leeway saves its progress before it
    /// exits.
    fn stop(&mut self, writes_checkpoints: bool, leeway_s: f64, now: u64) {
        let has_leeway = leeway_s > 0.0;
        match self.phase {
            TaskPhase::Running if writes_checkpoints && has_leeway => {
                self.phase = TaskPhase::SavingCheckpoint;
                self.next_phase_at = now + 500;
            }
            TaskPhase::Exited => {}
            TaskPhase::SavingCheckpoint if has_leeway => {}
            TaskPhase::Pulling | TaskPhase::Waiting | TaskPhase::Running | TaskPhase::SavingCheckpoint => {
                self.exit(ExitCause::Halted);
            }
        }
    }

    /// Ends the phase in which the task's image is pulled. A gang member then waits for the other members, other tasks
    /// run, and the attempt exits with an error if `fails` is set.
    fn finish_pulling(&mut self, kind: JobKind, fails: bool, run_time: u64, now: u64) {
        self.phase = if kind == JobKind::Gang { TaskPhase::Waiting } else { TaskPhase::Running };
        self.next_phase_at = now + run_time;
        if fails {
            self.exit(ExitCause::Error);
        }
    }
}

impl Worker {
    fn new(type_index: usize, zone_index: usize, spot: bool, boots_at: u64) -> Worker {
        Worker {
            type_index,
            zone_index,
            spot,
            boots_at,
            is_gone: false,
            frozen_until: 0,
            partitioned_until: 0,
            inbound_partitioned_until: 0,
            outbound_partitioned_until: 0,
            fails_tasks: false,
            agent_epoch: 1,
            sequence: 0,
            token: 0,
            epoch_started_at: boots_at,
            lease_renewed_at: boots_at,
            next_heartbeat_at: boots_at,
            unanswered_heartbeat_sent_at: None,
            tasks: BTreeMap::new(),
            reclaimed_at: None,
        }
    }

    /// Kills all tasks of the worker and begins a new agent epoch, whose number the next heartbeat states.
    pub(super) fn begin_agent_epoch(&mut self, now: u64) {
        self.agent_epoch += 1;
        self.epoch_started_at = now;
        self.tasks.clear();
        self.unanswered_heartbeat_sent_at = None;
    }

    fn task_statuses(&self) -> Vec<TaskStatus> {
        let status = |((task, attempt), state): (&(TaskId, Attempt), &AttemptState)| TaskStatus {
            task: Some(*task),
            attempt: *attempt,
            phase: state.phase,
            cause: state.cause,
            progress_saved: state.progress_saved.then_some(true),
        };
        self.tasks.iter().map(status).collect()
    }
}

impl Simulation {
    /// Adds a machine and its worker, and returns the machine's name.
    pub(super) fn add_worker(&mut self, type_index: usize, zone_index: usize, spot: bool, boots_at: u64) -> String {
        self.workers.push(Worker::new(type_index, zone_index, spot, boots_at));
        format!("m-{:06}", self.workers.len() - 1)
    }

    /// Creates the next heartbeat of a worker. The worker's responses to orders have the same form.
    pub(super) fn next_heartbeat(&mut self, index: usize) -> Heartbeat {
        let worker = &mut self.workers[index];
        worker.sequence += 1;
        let machine_type = &self.types[worker.type_index];
        Heartbeat {
            machine: format!("m-{index:06}"),
            endpoint: index.to_string(),
            machine_type: machine_type.name.clone(),
            zone: machine_type.zones[worker.zone_index].clone(),
            spot: worker.spot,
            agent_epoch: AgentEpoch(worker.agent_epoch),
            sequence: SequenceNumber(worker.sequence),
            token: FencingToken(worker.token),
            notice_s: worker.reclaimed_at.map(|at| at.saturating_sub(self.now) as f64 / 1000.0),
            tasks: worker.task_statuses(),
        }
    }

    pub(super) fn execute_orders(&mut self, index: usize, orders: &[Order]) {
        for order in orders {
            match order {
                Order::Run { task, attempt } => self.start_task(index, *task, *attempt),
                Order::Stop { task, attempt, leeway_s } => {
                    let writes_checkpoints = self.specs[&task.job].checkpoint_interval_s > 0.0;
                    let now = self.now;
                    if let Some(state) = self.workers[index].tasks.get_mut(&(*task, *attempt)) {
                        state.stop(writes_checkpoints, *leeway_s, now);
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
        self.check_attempt_is_new(index, task, attempt);
        self.check_start(index, &task);
        self.start_count += 1;
        let next_phase_at = self.now + self.rng.random_range(50..2_000);
        let pulling = AttemptState { phase: TaskPhase::Pulling, cause: None, next_phase_at, progress_saved: false };
        self.workers[index].tasks.insert((task, attempt), pulling);
    }

    fn clear_task(&mut self, index: usize, task: TaskId, attempt: Attempt) {
        let tasks = &mut self.workers[index].tasks;
        if !tasks.get(&(task, attempt)).is_some_and(AttemptState::has_exited) {
            return;
        }
        let cleared = tasks.remove(&(task, attempt));
        if cleared.is_some_and(|cleared| cleared.cause == Some(ExitCause::Done)) {
            self.cleared_tasks.insert(task);
            self.check_cleared_tasks_are_done();
        }
    }

    pub(super) fn step_workers(&mut self) {
        for index in 0..self.workers.len() {
            let worker = &self.workers[index];
            if worker.is_gone || self.now < worker.boots_at {
                continue;
            }
            // A worker's lease expires even while the machine is frozen, because a worker that resumes after the expiry
            // kills its tasks before it does anything else.
            self.expire_lease(index);
            let now = self.now;
            let worker = &mut self.workers[index];
            if now < worker.frozen_until {
                continue;
            }
            if worker.reclaimed_at.is_some_and(|at| at <= now) {
                worker.is_gone = true;
                worker.tasks.clear();
                continue;
            }
            self.step_tasks(index);
            self.step_heartbeat(index);
        }
        self.step_gangs();
        self.send_relay_batch();
    }

    /// Begins a new agent epoch if the worker's lease has expired.
    fn expire_lease(&mut self, index: usize) {
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
        for ((task, attempt), state) in &mut worker.tasks {
            if state.next_phase_at > now {
                continue;
            }
            let kind = self.specs[&task.job].kind;
            match state.phase {
                TaskPhase::Pulling => {
                    let run_time = 2_000 + (attempt.0 * 7919 + u64::from(task.index) * 104_729) % 6_000;
                    state.finish_pulling(kind, worker.fails_tasks, run_time, now);
                }
                TaskPhase::Running if kind == JobKind::Array => {
                    state.exit(ExitCause::Done);
                    self.completed_tasks.insert(*task);
                }
                TaskPhase::SavingCheckpoint => {
                    state.exit(ExitCause::Halted);
                    state.progress_saved = true;
                }
                TaskPhase::Running | TaskPhase::Waiting | TaskPhase::Exited => {}
            }
        }
    }

    fn step_heartbeat(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        if worker.unanswered_heartbeat_sent_at.is_some_and(|sent_at| now - sent_at > HEARTBEAT_TIMEOUT_MS) {
            worker.unanswered_heartbeat_sent_at = None;
            worker.next_heartbeat_at = now + HEARTBEAT_BACKOFF_MS;
        }
        if worker.unanswered_heartbeat_sent_at.is_some() || now < worker.next_heartbeat_at {
            return;
        }
        let heartbeat = self.next_heartbeat(index);
        let worker = &mut self.workers[index];
        worker.unanswered_heartbeat_sent_at = Some(now);
        worker.next_heartbeat_at = now + HEARTBEAT_INTERVAL_MS;
        self.send_heartbeat(index, heartbeat);
    }

    fn send_heartbeat(&mut self, index: usize, heartbeat: Heartbeat) {
        let now = self.now;
        let partitioned = now < self.workers[index].partitioned_until;
        // During a partition, half of the heartbeats are lost and the others arrive late.
        if partitioned && self.chance(0.5)
            || self.draw_message_loss()
            || now < self.workers[index].outbound_partitioned_until
        {
            return;
        }
        let delay = if partitioned { self.rng.random_range(3_000..20_000) } else { self.draw_message_delay() };
        if self.faults_enabled && self.chance(0.05) {
            // The heartbeat is duplicated, and the duplicate arrives later, possibly long after the worker's lease has
            // expired.
            let late = self.rng.random_range(1_000..30_000);
            let duplicate = SentHeartbeat { worker: index, sent_at: 0, heartbeat: heartbeat.clone() };
            self.send(late, Message::Heartbeat(duplicate));
        }
        let sent = SentHeartbeat { worker: index, sent_at: now, heartbeat };
        if self.chance(self.relay_probability) {
            self.relay_batch.push(sent);
        } else {
            self.send(delay, Message::Heartbeat(sent));
        }
    }

    /// Sends the leader all heartbeats that the relaying controller has collected, as one batch. The batch is lost,
    /// delayed or duplicated as a whole. The loss of a batch also models a restart of the relaying controller.
    fn send_relay_batch(&mut self) {
        if self.relay_batch.is_empty() || !self.now.is_multiple_of(RELAY_INTERVAL_MS) {
            return;
        }
        let batch = std::mem::take(&mut self.relay_batch);
        if self.draw_message_loss() {
            return;
        }
        if self.faults_enabled && self.chance(0.03) {
            let late = self.rng.random_range(1_000..30_000);
            let duplicate = |sent: &SentHeartbeat| SentHeartbeat {
                worker: sent.worker,
                sent_at: 0,
                heartbeat: sent.heartbeat.clone(),
            };
            self.send(late, Message::RelayBatch(batch.iter().map(duplicate).collect()));
        }
        let delay = self.draw_message_delay();
        self.send(delay, Message::RelayBatch(batch));
    }

    /// Advances the gangs: the members start to run once all of them wait, they complete together, and the running
    /// members exit if another member is lost.
    fn step_gangs(&mut self) {
        for ((job, attempt), members) in self.active_gang_attempts() {
            let complete = members.len() as u32 == self.specs[&job].tasks;
            let now = self.now;
            let state = |(index, task): &(usize, TaskId)| &self.workers[*index].tasks[&(*task, attempt)];
            let starts = complete && members.iter().all(|member| state(member).phase == TaskPhase::Waiting);
            let done = complete
                && members
                    .iter()
                    .map(state)
                    .all(|member| member.phase == TaskPhase::Running && member.next_phase_at <= now);
            let broken = !complete && members.iter().any(|member| state(member).phase == TaskPhase::Running);
            for (index, task) in &members {
                let member = self.workers[*index].tasks.get_mut(&(*task, attempt)).unwrap();
                if starts {
                    member.phase = TaskPhase::Running;
                    member.next_phase_at = now + 4_000;
                } else if done {
                    member.exit(ExitCause::Done);
                    self.completed_tasks.insert(*task);
                } else if broken && member.phase == TaskPhase::Running {
                    member.exit(ExitCause::MatesGone);
                }
            }
        }
    }

    /// Returns the members of each gang attempt that have not exited, each with the index of its worker.
    fn active_gang_attempts(&self) -> BTreeMap<(JobId, Attempt), Vec<(usize, TaskId)>> {
        let mut members: BTreeMap<(JobId, Attempt), Vec<(usize, TaskId)>> = BTreeMap::new();
        for (index, worker) in self.workers.iter().enumerate().filter(|(_, worker)| !worker.is_gone) {
            for ((task, attempt), state) in &worker.tasks {
                if self.specs[&task.job].kind == JobKind::Gang && !state.has_exited() {
                    members.entry((task.job, *attempt)).or_default().push((index, *task));
                }
            }
        }
        members
    }
}
