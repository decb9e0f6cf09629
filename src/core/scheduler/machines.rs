//! Machines as such: leases that run out, silence, idleness, and the cloud.

use super::*;

/// Leases and silence are looked at this often; each look goes through all machines.
const REVIEW_INTERVAL: Millis = Millis(200);
const MAX_ROUND_INTERVAL_MS: f64 = 1_500.0;
/// With ticks this late on average reports wait unread, so that silence says little about machines.
const STRAINED_LAG_MS: f64 = 250.0;

/// Where many machines are silent at once.
struct MassSuspicion {
    everywhere: bool,
    /// Of those whose heartbeats came this way.
    routes: BTreeSet<Option<HeartbeatRoute>>,
}

/// Whether so many of the machines that are up are in trouble that the machines themselves are hardly its cause.
fn many(count: usize, up: usize) -> bool {
    count > 2 && count * 3 > up
}

impl Scheduler {
    pub fn tick(&mut self, now: MonotonicTime, wall: WallTime) {
        self.note_lag(now);
        if now - self.machines.reviewed_at >= REVIEW_INTERVAL {
            self.machines.reviewed_at = now;
            self.expire_leases(now);
            self.review_machines(now);
        }
        self.look_up_dependencies(now);
        self.write(now, wall);
        // Rounds are the bulk of the work: where ticks come late, rounds come seldom, and each
        // decides more.
        let due = Millis((self.tuning.round_ms + 6.0 * self.load.lag_ms).min(MAX_ROUND_INTERVAL_MS) as u64);
        self.rebalance_shards(now);
        self.use_reservations(now);
        self.consolidate_replicas(now);
        self.close_round(now);
        let news = self.rounds.needed || now - self.rounds.last_at >= Millis(1_000);
        if self.rounds.open.is_none() && now - self.rounds.last_at >= due && news && !self.in_doubt {
            self.round(now, wall);
        }
        self.flush_orders();
    }

    /// By how much ticks come late on average: a measure of the processor's load.
    pub fn lag(&self) -> Millis {
        Millis(self.load.lag_ms as u64)
    }

    /// Averages by how much ticks come later than they should.
    fn note_lag(&mut self, now: MonotonicTime) {
        let late = (now - self.load.ticked_at).0.saturating_sub(TICK_INTERVAL.0) as f64;
        self.load.ticked_at = now;
        self.load.lag_ms += 0.1 * (late - self.load.lag_ms);
    }

    /// Past its lease a worker that nobody answered has killed everything.
    pub(super) fn expire_leases(&mut self, now: MonotonicTime) {
        let lease = self.limits.lease.plus_clock_drift() + Millis(300);
        let mut dead = Vec::new();
        for (id, m) in &mut self.machines.known {
            // Before this leader, answers may have been given until it was elected.
            let answered = m.last_heartbeat.max(self.since);
            if now - answered.max(m.agent_epoch_first_heard) <= lease {
                continue;
            }
            if !m.reconciled {
                m.reconciled = true;
                self.rounds.needed = true;
            }
            if !m.lease_expired {
                m.lease_expired = true;
                dead.push(id.clone());
            }
        }
        for id in dead {
            let Some(m) = self.machines.known.get_mut(&id) else { continue };
            if !m.allocations.is_empty() {
                info!("machine {id} is silent past its lease, tasks={}", m.allocations.len());
            }
            // Messages of the ended agent epoch that come late mean nothing any more.
            if m.agent_epoch.0 > 0 {
                m.agent_epoch.0 += 1;
                m.sequence.0 = 0;
                m.latest_heartbeat = (m.agent_epoch, m.sequence);
            }
            m.outbox.clear();
            let spot = m.spot;
            let keys: Vec<TaskAttempt> = m.allocations.keys().cloned().collect();
            for k in keys {
                self.remove_lost_task(&id, &k, spot);
            }
        }
    }

    pub(super) fn review_machines(&mut self, now: MonotonicTime) {
        let up = self.machines.known.values().filter(|m| m.up && m.registration == Registration::Registered).count();
        let mass_suspicion = self.mass_suspicion(now);
        let strained = self.load.lag_ms >= STRAINED_LAG_MS;
        let silent_after = |route: &Option<HeartbeatRoute>| {
            let excused = strained || mass_suspicion.everywhere || mass_suspicion.routes.contains(route);
            self.limits.lease.mul_f64(if excused { 3.0 } else { 0.55 })
        };
        // The same for machines that answers don't reach.
        let unacknowledged_after = self.limits.lease;
        let is_unacknowledged = |m: &Machine| m.unacknowledged_since.is_some_and(|t| now - t > unacknowledged_after);
        let deaf = self.machines.known.values().filter(|m| is_unacknowledged(m)).count();
        self.machines.many_unacknowledged = many(deaf, up);
        let many_unacknowledged = self.machines.many_unacknowledged;
        let lease = self.limits.lease;
        let mut returns: Vec<MachineId> = Vec::new();
        let mut idle: Vec<MachineId> = Vec::new();
        for (id, m) in &mut self.machines.known {
            let busy = m.busy();
            let t_gpus = self.catalog.types[m.kind].gpus > 0.0;
            if !m.retiring {
                let t = &self.catalog.types[m.kind];
                let boot = Millis::from_secs_f64((t.boot_s * 3.5).max(60.0)) + self.limits.list_lag;
                let silent = now - m.last_heartbeat.max(self.since);
                // A worker may need some seconds to find a new leader: one that hasn't yet is no
                // more silent than its lease is long.
                let silent_after = silent_after(&m.route);
                let silent_after = if m.token_acknowledged { silent_after } else { silent_after.max(lease) };
                if !m.up && m.registration == Registration::Unregistered && now - m.since > boot {
                    info!("machine {id} has not come up and goes back");
                    m.retiring = true;
                } else if m.registration == Registration::Registered && silent > silent_after {
                    info!("machine {id} is silent for {:.1} s and goes back", silent.as_secs_f64());
                    m.retiring = true;
                } else if is_unacknowledged(m) && !many_unacknowledged {
                    info!("machine {id} doesn't confirm what it is told and goes back");
                    m.retiring = true;
                } else if m.up
                    && !busy
                    && m.reconciled
                    && (m.spot_notice || (m.errors >= 2 && m.quarantined_until > now))
                {
                    m.retiring = true;
                }
            }
            if busy || !m.reconciled {
                m.idle_since = None;
            } else if m.up && !m.retiring {
                let since = *m.idle_since.get_or_insert(now);
                // GPU machines boot slowly and are few, so they stay longer.
                let factor = if t_gpus { self.tuning.gpu_idle_factor } else { 1.0 };
                if now - since > Millis::from_secs_f64(self.tuning.idle_s * factor)
                    && m.outbox.is_empty()
                    && m.in_flight.is_none()
                {
                    idle.push(id.clone());
                }
            }
            if m.retiring && !m.termination_in_flight && m.terminate_after <= now {
                returns.push(id.clone());
            }
        }
        for id in idle {
            if let Some(m) = self.machines.known.get_mut(&id) {
                info!("machine {id} is idle and goes back");
                m.retiring = true;
                returns.push(id);
            }
        }
        returns.truncate(100);
        if !returns.is_empty() {
            for id in &returns {
                if let Some(m) = self.machines.known.get_mut(id) {
                    m.termination_in_flight = true;
                }
            }
            self.effects.push(Effect::Terminate(returns));
        }
    }

    /// Where many machines are silent at once: it is rather a cut, a peer that has ended or a leader just
    /// elected than dead machines.
    fn mass_suspicion(&self, now: MonotonicTime) -> MassSuspicion {
        let heartbeat_timeout = self.heartbeat_timeout();
        let mut counts: BTreeMap<Option<HeartbeatRoute>, (usize, usize)> = BTreeMap::new();
        for m in self.machines.known.values().filter(|m| m.registration == Registration::Registered) {
            let (up, silent) = counts.entry(m.route).or_default();
            *up += usize::from(m.up);
            *silent += usize::from(now - m.last_heartbeat > heartbeat_timeout);
        }
        let up = counts.values().map(|(up, _)| up).sum();
        let silent = counts.values().map(|(_, silent)| silent).sum();
        // Machines that were never heard from tell nothing about a way.
        let on_route = |(route, (up, silent)): (&Option<HeartbeatRoute>, &(usize, usize))| {
            (route.is_some() && many(*silent, *up)).then_some(*route)
        };
        let routes = counts.iter().filter_map(on_route).collect();
        MassSuspicion { everywhere: many(silent, up), routes }
    }

    /// Leading for long enough that workers which can find this leader have done so. Before that,
    /// silence proves nothing, and two leaders would hand over to and fro.
    pub fn settled(&self, now: MonotonicTime) -> bool {
        now - self.since > self.limits.lease
    }

    /// Machines that should report but don't, and how many should.
    pub fn suspected_machines(&self, now: MonotonicTime) -> (Vec<String>, usize) {
        // Less than what makes a machine unusable: a cut leaves little time to find another leader.
        let limit = self.limits.heartbeat.mul_f64(1.25) + Millis(500);
        let ours =
            || self.machines.known.iter().filter(|(_, m)| m.registration == Registration::Registered && !m.retiring);
        // Those on their way to a new leader must still be sent to it.
        let settled = self.settled(now);
        let silent =
            ours().filter(|(_, m)| (settled || m.token_acknowledged) && now - m.last_heartbeat.max(self.since) > limit);
        (silent.map(|(id, _)| id.to_string()).collect(), ours().count())
    }

    /// A worker that hasn't reported for longer gets no new tasks.
    pub(super) fn heartbeat_timeout(&self) -> Millis {
        self.limits.heartbeat.mul_f64(2.0) + Millis(500)
    }

    /// The cloud has carried out a return, or it isn't known.
    pub fn on_terminated(&mut self, now: MonotonicTime, ids: &[MachineId], ok: bool) {
        for id in ids {
            if !ok {
                if let Some(m) = self.machines.known.get_mut(id) {
                    m.termination_in_flight = false;
                    m.terminate_after = now + Millis(1_000);
                }
                continue;
            }
            let Some(m) = self.machines.known.get(id) else { continue };
            let keys: Vec<TaskAttempt> = m.allocations.keys().cloned().collect();
            let (spot, registered) = (m.spot, m.registration != Registration::Unregistered);
            self.provisioner.on_capacity_freed(InstancePool { kind: m.kind, zone: m.zone, spot }, now);
            for k in keys {
                self.remove_lost_task(id, &k, spot);
            }
            self.machines.known.remove(id);
            self.machines.terminated.insert(id.clone());
            if registered {
                self.writes.machines_to_delete.insert(id.clone());
            }
            self.rounds.needed = true;
        }
        while self.machines.terminated.len() > 4096 {
            self.machines.terminated.pop_first();
        }
    }

    pub fn on_list(&mut self, now: MonotonicTime, list: &[ListedMachine]) {
        for l in list {
            let Some(id) = MachineId::parse(&l.id) else { continue };
            if self.machines.terminated.contains(&id) {
                continue;
            }
            if l.phase == ListPhase::Failed {
                // Stopped of its own accord; returning it proves that nothing is left on it.
                let place = self.place_of(&l.kind, &l.zone);
                if let (None, Some((kind, zone))) = (self.machines.known.get(&id), place) {
                    let m = Machine::new(String::new(), kind, zone, l.spot, now);
                    self.machines.known.insert(id.clone(), m);
                }
                if let Some(m) = self.machines.known.get_mut(&id) {
                    m.retiring = true;
                }
                continue;
            }
            if self.machines.known.contains_key(&id) {
                self.machines.never_heard.remove(&id);
                continue;
            }
            let Some((kind, zone)) = self.place_of(&l.kind, &l.zone) else { continue };
            let mut m = Machine::new(l.endpoint.clone().unwrap_or_default(), kind, zone, l.spot, now);
            // Its age may reach back to before this process began.
            m.since = MonotonicTime(now.0.saturating_sub(Millis::from_secs_f64(l.age_s).0));
            if l.phase == ListPhase::Running {
                // It may be gone already, as the list is late, or about to report.
                let first = *self.machines.never_heard.entry(id.clone()).or_insert(now);
                if now - first < Millis(60_000) + self.limits.list_lag {
                    continue;
                }
                m.retiring = true;
                self.machines.never_heard.remove(&id);
            }
            info!("machine {id} is in the cloud's list: kind={} zone={}", l.kind, l.zone);
            self.machines.known.insert(id, m);
            self.rounds.needed = true;
        }
    }

    pub fn on_provisioned(&mut self, now: MonotonicTime, name: &str, result: ProvisionOutcome) {
        let Some(r) = self.provisioner.requests.get_mut(name) else { return };
        let pool = r.pool;
        match result {
            ProvisionOutcome::Provisioned(names) => {
                let asked = r.number as usize;
                self.provisioner.requests.remove(name);
                info!("rented {} of {asked}: {}", names.len(), self.describe(pool));
                if names.len() < asked {
                    self.provisioner.on_refused(pool, now);
                } else {
                    self.provisioner.on_granted(pool);
                }
                for id in names.iter().filter_map(|n| MachineId::parse(n)) {
                    if !self.machines.terminated.contains(&id) {
                        self.machines
                            .known
                            .entry(id)
                            .or_insert_with(|| Machine::new(String::new(), pool.kind, pool.zone, pool.spot, now));
                    }
                }
            }
            ProvisionOutcome::NoCapacity => {
                info!("no capacity: {}", self.describe(pool));
                self.provisioner.requests.remove(name);
                self.provisioner.on_refused(pool, now);
            }
            ProvisionOutcome::Malformed => {
                warn!("the cloud finds a request malformed: {}", self.describe(pool));
                self.provisioner.requests.remove(name);
                self.provisioner.on_refused(pool, now);
            }
            ProvisionOutcome::Unknown => {
                // The same name again rents nothing twice.
                r.in_flight = false;
                r.again_at = now + Millis(2_000);
            }
        }
        self.rounds.needed = true;
    }

    pub(super) fn describe(&self, m: InstancePool) -> String {
        format!("kind={} zone={} spot={}", self.catalog.types[m.kind].name, self.catalog.zones[m.zone as usize], m.spot)
    }

    pub(super) fn scale_out(&mut self, now: MonotonicTime, scale_out: &[ScaleOutRequest]) {
        let mut loads: BTreeMap<InstancePool, f64> = BTreeMap::new();
        for w in scale_out {
            let m = InstancePool { kind: w.kind as usize, zone: w.zone, spot: w.spot };
            if m.kind < self.catalog.types.len() && (m.zone as usize) < self.catalog.zones.len() {
                *loads.entry(m).or_default() += w.load.clamp(0.0, 1.0);
            }
        }
        for (pool, load) in loads {
            let number = ((load - 1e-6).ceil().max(1.0) as u32).min(50);
            if !self.provisioner.has_capacity() || !self.provisioner.open(pool, now) {
                continue;
            }
            self.provision_requests += 1;
            let name = format!("w{}-{}", self.term, self.provision_requests);
            let request = PendingProvision { pool, number, in_flight: false, again_at: now };
            self.provisioner.requests.insert(name, request);
        }
        let mut send = Vec::new();
        for (name, r) in &mut self.provisioner.requests {
            if !r.in_flight && r.again_at <= now {
                r.in_flight = true;
                send.push(ProvisionRequest {
                    name: name.clone(),
                    kind: self.catalog.types[r.pool.kind].name.clone(),
                    zone: self.catalog.zones[r.pool.zone as usize].clone(),
                    spot: r.pool.spot,
                    number: r.number,
                });
            }
        }
        self.effects.extend(send.into_iter().map(Effect::Provision));
    }
}
