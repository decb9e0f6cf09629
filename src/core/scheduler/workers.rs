//! What workers say, and the orders they get.

use super::*;

impl Scheduler {
    /// A worker's heartbeat that has come directly. None: not to be answered.
    pub fn on_heartbeat(&mut self, now: MonotonicTime, r: &Heartbeat) -> Option<HeartbeatResponse> {
        self.on_heartbeat_via(now, r, HeartbeatRoute::DIRECT)
    }

    /// A worker's heartbeat, and the way that it took.
    pub fn on_heartbeat_via(
        &mut self,
        now: MonotonicTime,
        r: &Heartbeat,
        route: HeartbeatRoute,
    ) -> Option<HeartbeatResponse> {
        let id = MachineId::parse(&r.machine)?;
        if self.machines.terminated.contains(&id) {
            return None;
        }
        if !self.machines.known.contains_key(&id) {
            if !r.tasks.is_empty() {
                // Machines are recorded before their first order and until their return is proven,
                // so what lists tasks without a record is a late copy of one that is gone.
                debug!("machine {id} has no record and lists tasks={}", r.tasks.len());
                return None;
            }
            let Some((kind, zone)) = self.place_of(&r.kind, &r.zone) else {
                warn!("machine {id} is of unknown kind {} or zone {}", r.kind, r.zone);
                return None;
            };
            // Nobody has ordered anything here: orders come after the machine's record.
            self.machines.known.insert(id.clone(), Machine::new(r.endpoint.clone(), kind, zone, r.spot, now));
        }
        let heartbeat_timeout = self.heartbeat_timeout();
        let unacknowledged_after = self.limits.lease;
        let m = self.machines.known.get_mut(&id)?;
        if r.agent_epoch < m.agent_epoch || (r.agent_epoch, r.sequence) <= m.latest_heartbeat {
            // Of an agent epoch that has ended, or a copy: nobody waits for an answer to it, and it is
            // no sign of life.
            return None;
        }
        m.latest_heartbeat = (r.agent_epoch, r.sequence);
        m.lease_expired = false;
        if now - m.last_heartbeat > heartbeat_timeout {
            m.allocations.values_mut().for_each(|s| s.fully_observed = false);
        }
        let newer = self.apply_heartbeat(now, &id, r);
        let m = self.machines.known.get_mut(&id)?;
        if r.token >= FencingToken::new(self.term, m.fence) {
            m.unacknowledged_since = None;
        } else if now - *m.unacknowledged_since.get_or_insert(now) > unacknowledged_after
            && !self.machines.many_unacknowledged
        {
            // Answers don't reach it. Without them its lease runs out, which proves it empty.
            return None;
        }
        // Even a heartbeat that other news has overtaken renews the lease by being answered.
        m.last_heartbeat = now;
        m.route = Some(route);
        let token = FencingToken::new(self.term, m.fence);
        // The answer renews the lease, so it carries every stop, whatever else is under way: a worker
        // that lives on by it must not keep a cancelled task.
        let mut orders = m.pending_stops();
        if orders.len() > MAX_ORDERS_PER_MESSAGE {
            warn!("machine {id} has stops={} due, too many for an answer", orders.len());
            self.flush_machine(&id);
            return None;
        }
        m.outbox.retain(|o| !matches!(o, Order::Stop { .. }));
        if newer && m.in_flight.is_none() {
            // Runs only go out directly, where an answer proves them; clears may ride along.
            let room = MAX_ORDERS_PER_MESSAGE - orders.len();
            let (clears, mut rest): (Vec<Order>, Vec<Order>) =
                m.outbox.drain(..).partition(|o| matches!(o, Order::Clear { .. }));
            rest.extend_from_slice(clears.get(room..).unwrap_or_default());
            orders.extend(clears.into_iter().take(room));
            m.outbox = rest;
        }
        self.flush_machine(&id);
        Some(HeartbeatResponse { token, orders })
    }

    pub fn on_orders_result(&mut self, now: MonotonicTime, request: u64, result: OrdersResult) {
        let Some((id, sent)) = self.orders.remove(&request) else { return };
        let Some(m) = self.machines.known.get_mut(&id) else { return };
        if m.in_flight == Some(request) {
            m.in_flight = None;
        }
        match result {
            OrdersResult::Executed(r) => {
                for k in &sent {
                    if let Some(s) = m.allocations.get_mut(k).and_then(|s| s.pending_run.as_mut()) {
                        s.answered = true;
                    }
                }
                self.apply_heartbeat(now, &id, &r);
            }
            OrdersResult::Rejected(r) => {
                // Nothing of it was carried out, nor will it be.
                for k in &sent {
                    self.remove_lost_task(&id, k, false);
                }
                self.apply_heartbeat(now, &id, &r);
            }
            OrdersResult::Unknown => {
                // The orders may be carried out at any time within the agent epoch, so the fence
                // rises: once the worker has reported it, they are dead.
                if m.fence >= MAX_FENCE {
                    m.retiring = true;
                } else {
                    m.fence += 1;
                }
                m.fencing = true;
                debug!("machine {id}: orders unanswered, fence={}", m.fence);
            }
        }
        self.flush_machine(&id);
    }

    /// Takes in what a worker lists. False: something newer was known.
    pub(super) fn apply_heartbeat(&mut self, now: MonotonicTime, id: &MachineId, r: &Heartbeat) -> bool {
        let Some(m) = self.machines.known.get_mut(id) else { return false };
        if (r.agent_epoch, r.sequence) <= (m.agent_epoch, m.sequence) {
            return false;
        }
        m.endpoint.clone_from(&r.endpoint);
        if !m.up {
            m.up = true;
            m.idle_since = None;
            info!("machine {id} is up after {:.0} s", (now - m.since).as_secs_f64());
        }
        if r.agent_epoch > m.agent_epoch && m.agent_epoch.0 > 0 {
            // A new agent epoch: the worker has killed and forgotten all it had.
            let keys: Vec<TaskAttempt> = m.allocations.keys().cloned().collect();
            if !keys.is_empty() {
                info!("machine {id}: new agent epoch, tasks={}", keys.len());
            }
            for k in keys {
                self.remove_lost_task(id, &k, false);
            }
        }
        let own = FencingToken::new(self.term, 0);
        let Some(m) = self.machines.known.get_mut(id) else { return false };
        if r.agent_epoch > m.agent_epoch || m.sequence == SequenceNumber(0) {
            m.agent_epoch_first_heard = now;
        }
        m.agent_epoch = r.agent_epoch;
        m.sequence = r.sequence;
        let fence = FencingToken::new(self.term, m.fence);
        if m.fencing && r.token >= fence {
            m.fencing = false;
            self.rounds.needed = true;
        }
        if let Some(s) = r.notice_s
            && !m.spot_notice
        {
            info!("machine {id} will be taken in {s:.0} s");
            m.spot_notice = true;
            if m.spot {
                self.spot_lives.ended((now - m.since).as_secs_f64());
            }
            self.drain(now, id, s);
        }
        let Some(m) = self.machines.known.get_mut(id) else { return false };
        m.heartbeats_applied += 1;
        self.cost.add_tasks(m.allocations.len() + r.tasks.len());
        let mut news: Vec<(TaskAttempt, &TaskStatus)> = Vec::new();
        for listed in &r.tasks {
            let Some(task) = listed.task else {
                warn!("machine {id} lists a task of an unknown form");
                continue;
            };
            let key = (task, listed.attempt);
            // Most of what workers list, they have listed before.
            let job = self.jobs.live.get(&task.job);
            match m.allocations.get_mut(&key) {
                Some(s) if s.is_unchanged(listed.phase) && job.is_some_and(|j| j.goes_on(&key)) => {
                    s.last_listed = m.heartbeats_applied
                }
                // Done, and kept by the worker until that is durable.
                Some(s)
                    if s.has_exited() && listed.is_done() && job.is_some_and(|j| !j.is_durably_done(task.index)) =>
                {
                    s.last_listed = m.heartbeats_applied;
                }
                _ => news.push((key, listed)),
            }
        }
        for (key, listed) in news {
            self.apply_task_status(now, id, &key, listed);
        }
        let Some(m) = self.machines.known.get_mut(id) else { return false };
        if r.token >= own && !(m.reconciled && m.token_acknowledged) {
            m.reconciled = true;
            m.token_acknowledged = true;
            self.rounds.needed = true;
        }
        // What is not listed is gone, if the worker has listed it before, has answered its order,
        // or will refuse the order because it has seen a higher fence since.
        let missing: Vec<TaskAttempt> = m
            .allocations
            .iter()
            .filter(|(_, s)| {
                s.last_listed != m.heartbeats_applied
                    && match s.pending_run {
                        Some(sent) if s.phase.is_none() => sent.answered || r.token > sent.token,
                        // Its order hasn't left yet.
                        None if s.phase.is_none() => false,
                        _ => true,
                    }
            })
            .map(|(k, _)| *k)
            .collect();
        for k in missing {
            self.remove_lost_task(id, &k, false);
        }
        let Some(m) = self.machines.known.get_mut(id) else { return false };
        if m.registration == Registration::Unregistered && !m.retiring {
            self.rounds.needed = true;
        }
        true
    }

    /// One task that a worker lists.
    pub(super) fn apply_task_status(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        key: &TaskAttempt,
        listed: &TaskStatus,
    ) {
        let (task, attempt) = key;
        let known = self.machines.known.get(id).is_some_and(|m| m.allocations.contains_key(key));
        if !known {
            self.adopt_task(now, id, key, listed);
        }
        let over = !self.jobs.live.contains_key(&task.job);
        let Some(m) = self.machines.known.get_mut(id) else { return };
        let Some(s) = m.allocations.get_mut(key) else { return };
        let before = s.phase;
        s.last_listed = m.heartbeats_applied;
        s.phase = Some(listed.phase);
        s.pending_run = None;
        if listed.phase == TaskPhase::Running && before != Some(TaskPhase::Running) {
            s.running_since.get_or_insert(now);
            self.rounds.needed |= before == Some(TaskPhase::Pulling);
        }
        if listed.phase != TaskPhase::Exited {
            if over {
                stop_allocation(m, key, 0.0);
            } else if let Some(leeway) = s.stop {
                // Told before; said again until it works.
                if listed.phase != TaskPhase::Flushing || leeway == 0.0 {
                    stop_allocation(m, key, leeway);
                }
            } else if self.jobs.live.get(&task.job).is_some_and(|j| !j.goes_on(key)) {
                stop_allocation(m, key, 0.0);
            }
            return;
        }
        if before != Some(TaskPhase::Exited) {
            self.rounds.needed = true;
            let ran = s.running_since.filter(|_| s.fully_observed).map(|t| (now - t).as_secs_f64());
            let stopped = s.stop.is_some();
            self.on_task_exited(now, id, key, listed, ran, stopped);
        }
        // The worker may forget it once a done task is durably so; other ends need no keeping.
        let durably_done = match self.jobs.live.get(&task.job) {
            Some(j) if listed.is_done() => j.is_durably_done(task.index),
            _ => true,
        };
        if durably_done && let Some(m) = self.machines.known.get_mut(id) {
            m.queue_order(Order::Clear { task: *task, attempt: *attempt });
        }
    }

    /// Enters a listed task that the cluster state doesn't have.
    pub(super) fn adopt_task(&mut self, now: MonotonicTime, id: &MachineId, key: &TaskAttempt, listed: &TaskStatus) {
        let (task, attempt) = key;
        self.quota.usage = None;
        let Some(m) = self.machines.known.get_mut(id) else { return };
        let mut allocation = Allocation {
            need: Resources::default(),
            team: None,
            priority: Priority::Low,
            phase: None,
            pending_run: None,
            last_listed: 0,
            placed_at: now,
            running_since: None,
            fully_observed: false,
            stop: None,
            image: u32::MAX,
            fetch_s: 0.0,
            run_s: 0.0,
        };
        if let Some(job) = self.jobs.live.get_mut(&task.job).filter(|j| task.index < j.spec.tasks) {
            if let Some(places) = job.placed.get(&task.index)
                && listed.phase != TaskPhase::Exited
            {
                // One of the two heartbeats is late, and which one isn't known: both count until one
                // is proven gone.
                info!("machine {id} lists {task} try {attempt}, and so do {places:?}");
            }
            let s = &job.spec;
            allocation.need = Resources::of_task(s);
            allocation.team = Some(job.team);
            allocation.priority = job.priority();
            allocation.run_s = self.jobs.class_times.expect(&s.class, s.estimate_s);
            let next = self.catalog.images.len() as u32;
            allocation.image = *self.catalog.images.entry(s.image.clone()).or_insert(next);
            m.cache_image(allocation.image, s.image_gb, self.catalog.types[m.kind].cache_gb);
            if listed.phase != TaskPhase::Exited {
                let gang = s.kind == Kind::Gang;
                job.place(task.index, id, *attempt);
                if gang {
                    match &mut job.gang {
                        None => job.gang = Some(GangRun { attempt: *attempt, broken: false }),
                        Some(g) if g.attempt != *attempt => g.broken = true,
                        Some(_) => {}
                    }
                }
            }
        }
        m.allocations.insert(*key, allocation);
    }

    /// A task has ended, by its worker's word.
    pub(super) fn on_task_exited(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        key: &TaskAttempt,
        listed: &TaskStatus,
        ran: Option<f64>,
        stopped: bool,
    ) {
        let (task, attempt) = key;
        let cause = listed.cause.unwrap_or(Cause::Other);
        let reclaimed = self.machines.known.get(id).is_some_and(|m| m.spot_notice);
        let Some(job) = self.jobs.live.get_mut(&task.job) else { return };
        job.unplace(task.index, id, *attempt);
        let alone = job.spec.kind != Kind::Gang;
        match cause {
            Cause::Done => {
                if let Some(s) = ran
                    && alone
                {
                    self.jobs.class_times.learn(&job.spec.class, job.spec.estimate_s, s);
                }
                if alone {
                    job.set_done(task.index);
                } else {
                    // A gang completes as one.
                    for i in 0..job.spec.tasks {
                        job.set_done(i);
                    }
                }
                let ratio = ran.filter(|_| alone).and_then(|s| {
                    job.ran = (job.ran.0 + 1, job.ran.1 + s);
                    (job.ran.0 > 4).then(|| s / (job.ran.1 / f64::from(job.ran.0)).max(0.1))
                });
                if let Some(m) = self.machines.known.get_mut(id)
                    && ratio.is_some_and(|r| m.record_slowdown(r))
                    && m.quarantined_until <= now
                {
                    // Like one that fails: avoided, and returned once it is empty.
                    info!("machine {id} is slow and is avoided, slowness={:.1}", m.slowness);
                    m.quarantined_until = now + QUARANTINE_PERIOD;
                    m.errors = 2;
                } else if let Some(m) = self.machines.known.get_mut(id)
                    && m.quarantined_until <= now
                {
                    m.errors = 0;
                }
            }
            Cause::Error => {
                job.requeue(task.index, false);
                job.errors += 1;
                job.error_machines.insert(id.clone(), now);
                let fault = job.at_fault(now);
                if fault {
                    let pause = Millis::from_secs_f64(f64::from(1u32 << job.errors.min(6)).min(60.0));
                    job.pause_until = now + pause;
                }
                debug!("task {task} failed on {id}, errors={}", job.errors);
                if !fault && let Some(m) = self.machines.known.get_mut(id) {
                    m.errors += 1;
                    if m.errors >= 2 && m.quarantined_until <= now {
                        m.quarantined_until = now + QUARANTINE_PERIOD;
                        info!("machine {id} fails tasks and is avoided, errors={}", m.errors);
                    } else if m.quarantined_until <= now {
                        m.quarantined_until = now + Millis(10_000);
                    }
                }
            }
            _ => {
                if !stopped && cause != Cause::MatesGone {
                    debug!("task {task} on {id} ended: {cause:?}");
                }
                job.requeue(task.index, reclaimed);
                if cause == Cause::NoRoom {
                    job.pause_until = job.pause_until.max(now + Millis(500));
                }
            }
        }
        if !alone && cause != Cause::Done {
            self.break_gang(&task.job, *attempt);
        }
    }

    /// A task is proven to be gone without its worker's word on how it ended.
    pub(super) fn remove_lost_task(&mut self, id: &MachineId, key: &TaskAttempt, reclaimed: bool) {
        let Some(m) = self.machines.known.get_mut(id) else { return };
        let Some(allocation) = m.allocations.remove(key) else { return };
        let run = Order::Run { task: key.0, attempt: key.1 };
        m.outbox.retain(|o| *o != run);
        self.rounds.needed = true;
        if allocation.has_exited() {
            return;
        }
        let (task, attempt) = key;
        let Some(job) = self.jobs.live.get_mut(&task.job) else { return };
        job.unplace(task.index, id, *attempt);
        job.requeue(task.index, reclaimed);
        if job.spec.kind == Kind::Gang {
            self.break_gang(&task.job, *attempt);
        }
    }

    /// The rest of a gang's attempt goes; a new attempt starts once all are gone.
    pub(super) fn break_gang(&mut self, id: &JobId, attempt: Attempt) {
        let Some(job) = self.jobs.live.get_mut(id) else { return };
        if job.placed.is_empty() {
            // Whatever attempt the last one was of.
            job.gang = None;
            return;
        }
        let Some(g) = job.gang.as_mut().filter(|g| g.attempt == attempt) else { return };
        g.broken = true;
        let placed: Vec<(u32, MachineId, Attempt)> = job.places().map(|(i, m, a)| (i, m.clone(), a)).collect();
        for (index, machine, attempt) in placed {
            if let Some(m) = self.machines.known.get_mut(&machine) {
                stop_allocation(m, &(TaskId { job: *id, index }, attempt), 0.0);
            }
            self.flush_machine(&machine);
        }
    }

    /// Stops a task, or the whole gang that it belongs to, leaving it time to save.
    pub(super) fn stop_task(&mut self, id: &MachineId, key: &TaskAttempt) {
        let Some(job) = self.jobs.live.get(&key.0.job) else { return };
        let leeway = if job.saves() { job.spec.save_s + 0.5 } else { 0.0 };
        let mut which = vec![(id.clone(), *key)];
        if job.spec.kind == Kind::Gang {
            which = job.places().map(|(index, m, a)| (m.clone(), (TaskId { job: key.0.job, index }, a))).collect();
        }
        for (id, k) in which {
            if let Some(m) = self.machines.known.get_mut(&id) {
                stop_allocation(m, &k, leeway);
            }
        }
    }

    /// The cloud takes the machine soon: what can save does, what can't finish starts elsewhere.
    pub(super) fn drain(&mut self, now: MonotonicTime, id: &MachineId, left_s: f64) {
        let Some(m) = self.machines.known.get(id) else { return };
        let go: Vec<TaskAttempt> = m
            .allocations
            .iter()
            .filter(|(_, s)| !s.has_exited() && s.stop.is_none())
            .filter(|((task, _), s)| {
                let ran = s.running_since.map(|t| (now - t).as_secs_f64());
                let left = ran.map_or(f64::INFINITY, |r| s.run_s - r);
                let service = self.jobs.live.get(&task.job).is_some_and(|j| j.spec.kind == Kind::Service);
                service || left > left_s * 0.7
            })
            .map(|(k, _)| *k)
            .collect();
        for k in go {
            self.stop_task(id, &k);
        }
    }

    /// Sends what is in the outboxes of machines that have no orders under way.
    pub(super) fn flush_orders(&mut self) {
        self.cost.add_machines(self.machines.known.len());
        let waiting = |m: &Machine| !m.outbox.is_empty() && m.in_flight.is_none();
        let ids: Vec<MachineId> =
            self.machines.known.iter().filter(|(_, m)| waiting(m)).map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.flush_machine(&id);
        }
    }

    /// The same for one machine; reports, which are many, need no look at the others.
    pub(super) fn flush_machine(&mut self, id: &MachineId) {
        let Some(m) = self.machines.known.get_mut(id) else { return };
        if m.outbox.is_empty() || m.in_flight.is_some() || m.fencing || !m.up {
            return;
        }
        if m.retiring {
            // It gets no work any more, but what is on it is still told to go: its return may take long.
            let unsent = |o: &Order| match o {
                Order::Run { task, attempt } => Some((*task, *attempt)),
                _ => None,
            };
            let unsent: Vec<TaskAttempt> = m.outbox.iter().filter_map(unsent).collect();
            unsent.iter().for_each(|k| self.remove_lost_task(id, k, false));
        }
        let Some(m) = self.machines.known.get_mut(id) else { return };
        // Clears can wait for the next heartbeat.
        if m.outbox.iter().all(|o| matches!(o, Order::Clear { .. })) {
            return;
        }
        let mut orders: Vec<Order> = std::mem::take(&mut m.outbox);
        // Room first: what ends goes before what starts.
        orders.sort_by_key(|o| match o {
            Order::Clear { .. } => 0,
            Order::Stop { .. } => 1,
            Order::Run { .. } => 2,
        });
        m.outbox = orders.split_off(orders.len().min(MAX_ORDERS_PER_MESSAGE));
        let token = FencingToken::new(self.term, m.fence);
        let mut runs = Vec::new();
        for o in &orders {
            if let Order::Run { task, attempt } = o {
                let key = (*task, *attempt);
                if let Some(s) = m.allocations.get_mut(&key) {
                    s.pending_run = Some(PendingRun { token, answered: false });
                }
                runs.push(key);
            }
        }
        self.last_request += 1;
        m.in_flight = Some(self.last_request);
        self.orders.insert(self.last_request, (id.clone(), runs));
        let body = DirectOrders { token, agent_epoch: m.agent_epoch, orders };
        self.effects.push(Effect::Orders { request: self.last_request, endpoint: m.endpoint.clone(), body });
    }
}
