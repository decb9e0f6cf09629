//! Writes to the state service, most urgent first, within the leader's share of its rate.

use super::*;

/// Most transactions under way at once.
const MAX_COMMITS_IN_FLIGHT: usize = 6;

/// What a write in flight is for, and so what its result means.
pub(super) enum Purpose {
    Machines { registration: Vec<MachineId>, forget: Vec<MachineId> },
    CompletionBitmaps(Vec<(JobId, FixedBitSet)>),
    Finish(JobId, WallTime),
    Cancel(Vec<JobId>),
    ShardAssignment,
    Tidy(Vec<String>),
}

/// How far the renewal of the fence revision has come.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum FenceRefresh {
    Idle,
    Due,
    InFlight,
}

/// Writes in flight and those that wait, and the rate that they are held to.
pub(super) struct WriteQueue {
    /// The revision of the leader's key that guards all writes: the term, until a write goes
    /// unanswered. It may be carried out at any time, over newer ones; so the key is written anew, and
    /// what is guarded by an older revision of it never will be.
    pub fence_revision: Revision,
    pub fence_refresh: FenceRefresh,
    /// Each with the fence revision that guards it.
    pub in_flight: HashMap<u64, (Purpose, Revision)>,
    pub machines_to_delete: BTreeSet<MachineId>,
    pub orphaned_bitmaps: Vec<String>,
    pub shards_unsaved: bool,
    /// Mutations that may be sent now.
    pub tokens: f64,
    pub refilled_at: MonotonicTime,
    pub bitmaps_written_at: MonotonicTime,
    pub paused_until: MonotonicTime,
}

impl WriteQueue {
    pub fn new(term: Term, tokens: f64, now: MonotonicTime) -> WriteQueue {
        WriteQueue {
            fence_revision: Revision(term.0),
            fence_refresh: FenceRefresh::Idle,
            in_flight: HashMap::new(),
            machines_to_delete: BTreeSet::new(),
            orphaned_bitmaps: Vec::new(),
            shards_unsaved: true,
            tokens,
            refilled_at: now,
            bitmaps_written_at: now,
            paused_until: now,
        }
    }
}

impl Scheduler {
    pub(super) fn fence_precondition(&self) -> Precondition {
        Precondition { key: LEADER_KEY.into(), revision: self.writes.fence_revision.0 }
    }

    pub(super) fn commit(&mut self, purpose: Purpose, transaction: Transaction) {
        self.last_request += 1;
        self.writes.tokens -= transaction.mutations.len() as f64;
        self.writes.in_flight.insert(self.last_request, (purpose, self.writes.fence_revision));
        self.effects.push(Effect::Commit { request: self.last_request, transaction });
    }

    /// Writes what must be durable, most urgent first, within the share of writes.
    pub(super) fn write(&mut self, now: MonotonicTime, wall: WallTime) {
        let dt = (now - self.writes.refilled_at).as_secs_f64();
        self.writes.tokens = (self.writes.tokens + dt * self.limits.write_rps).min(self.limits.write_rps);
        self.writes.refilled_at = now;
        if now < self.writes.paused_until || self.writes.in_flight.len() >= MAX_COMMITS_IN_FLIGHT {
            return;
        }
        if self.writes.fence_refresh != FenceRefresh::Idle {
            self.refresh_fence();
            return;
        }
        self.write_machines();
        self.write_cascaded_cancellations();
        self.write_finished(wall);
        // What can wait takes turns.
        if !self.write_completion_bitmaps(now) && !self.write_shards() {
            self.delete_orphaned_bitmaps();
        }
    }

    fn refresh_fence(&mut self) {
        if self.writes.fence_refresh != FenceRefresh::Due || self.writes.tokens < 1.0 {
            return;
        }
        self.writes.fence_refresh = FenceRefresh::InFlight;
        self.writes.tokens -= 1.0;
        let value = serde_json::json!(self.record);
        let write = Mutation::Put { key: LEADER_KEY.into(), value, lease: Some(self.record.lease.0) };
        self.effects.push(Effect::RefreshFence(Transaction {
            preconditions: vec![self.fence_precondition()],
            mutations: vec![write],
        }));
    }

    /// Records machines before their first order, and forgets those that are gone.
    fn write_machines(&mut self) {
        let under_way = self.writes.in_flight.values().any(|(p, _)| matches!(p, Purpose::Machines { .. }));
        if self.writes.tokens < 1.0 || under_way {
            return;
        }
        let mut mutations = Vec::new();
        let mut registration = Vec::new();
        for (id, m) in &mut self.machines.known {
            if mutations.len() < self.limits.txn_ops
                && m.up
                && m.registration == Registration::Unregistered
                && !m.retiring
            {
                m.registration = Registration::InFlight;
                let record = MachineRecord {
                    endpoint: m.endpoint.clone(),
                    kind: self.catalog.types[m.kind].name.clone(),
                    zone: self.catalog.zones[m.zone as usize].clone(),
                    spot: m.spot,
                };
                mutations.push(Mutation::put(machine_key(id), serde_json::json!(record)));
                registration.push(id.clone());
            }
        }
        let room = self.limits.txn_ops - mutations.len();
        let forget: Vec<MachineId> = self.writes.machines_to_delete.iter().take(room).cloned().collect();
        mutations.extend(forget.iter().map(|id| Mutation::delete(machine_key(id))));
        if !mutations.is_empty() {
            let transaction = Transaction { preconditions: vec![self.fence_precondition()], mutations };
            self.commit(Purpose::Machines { registration, forget }, transaction);
        }
    }

    /// Cancels jobs one of whose awaited jobs was cancelled.
    fn write_cascaded_cancellations(&mut self) {
        let under_way = self.writes.in_flight.values().any(|(p, _)| matches!(p, Purpose::Cancel(_)));
        if self.writes.tokens < 1.0 || under_way {
            return;
        }
        let most = (self.limits.txn_ops / MUTATIONS_PER_TERMINATION).max(1);
        let cascade_cancelled =
            self.jobs.dependencies.cascade_cancelled().filter_map(|id| Some((*id, self.jobs.live.get(id)?)));
        let mut preconditions = vec![self.fence_precondition()];
        let mut mutations = Vec::new();
        let mut ids = Vec::new();
        for (id, job) in cascade_cancelled.take(most) {
            preconditions.push(live_precondition(&id, job.revision));
            mutations.extend(termination_mutations(&id, &TerminalRecord::cancelled(job.spec.tasks)));
            ids.push(id);
        }
        if !ids.is_empty() {
            self.commit(Purpose::Cancel(ids), Transaction { preconditions, mutations });
        }
    }

    /// Ends jobs whose tasks are all done, those first that others await.
    fn write_finished(&mut self, wall: WallTime) {
        let finished = self.jobs.live.iter().filter(|(_, j)| j.all_done() && !j.finishing);
        let mut finished: Vec<JobId> = finished.map(|(id, _)| *id).collect();
        finished.sort_by_key(|id| !self.jobs.dependencies.has_dependents(id));
        for id in finished {
            if self.writes.tokens < 1.0 || self.writes.in_flight.len() >= MAX_COMMITS_IN_FLIGHT {
                break;
            }
            let guard = self.fence_precondition();
            let Some(job) = self.jobs.live.get_mut(&id) else { continue };
            job.finishing = true;
            let preconditions = vec![guard, live_precondition(&id, job.revision)];
            let mutations = termination_mutations(&id, &TerminalRecord::done(job.spec.tasks, wall)).into();
            self.commit(Purpose::Finish(id, wall), Transaction { preconditions, mutations });
        }
    }

    /// Keeps which tasks are done, so that workers may forget them: the more jobs, the more seldom. False:
    /// nothing was due.
    fn write_completion_bitmaps(&mut self, now: MonotonicTime) -> bool {
        let changed =
            |j: &Job| j.done_count > 0 && !j.all_done() && !j.bitmap_write_in_flight && j.durably_done != j.done;
        let dirty: Vec<JobId> = self.jobs.live.iter().filter(|(_, j)| changed(j)).map(|(id, _)| *id).collect();
        let every = Millis::from_secs_f64((dirty.len() as f64 / (self.limits.write_rps * 0.4)).max(1.5));
        if dirty.is_empty() || now - self.writes.bitmaps_written_at < every || self.writes.tokens < 2.0 {
            return false;
        }
        self.writes.bitmaps_written_at = now;
        let room = self.limits.txn_ops.min(self.writes.tokens as usize);
        let mut mutations = Vec::new();
        let mut which = Vec::new();
        for id in dirty {
            let Some(job) = self.jobs.live.get_mut(&id) else { continue };
            let mut rows = self.limits.layout.chunks(job.spec.tasks);
            rows.retain(|row| row.differs(&job.done, &job.durably_done));
            if mutations.len() + rows.len() > room && !mutations.is_empty() {
                break;
            }
            rows.truncate(room);
            let mut durably_done = job.durably_done.clone();
            for row in rows {
                durably_done.extend(row.members(&job.done));
                mutations.push(Mutation::put(row.key(&id), row.encode(&job.done)));
            }
            job.bitmap_write_in_flight = true;
            which.push((id, durably_done));
            if mutations.len() >= room {
                break;
            }
        }
        let transaction = Transaction { preconditions: vec![self.fence_precondition()], mutations };
        self.commit(Purpose::CompletionBitmaps(which), transaction);
        true
    }

    /// Keeps who plans for which team. False: nothing was due.
    fn write_shards(&mut self) -> bool {
        if !self.writes.shards_unsaved || !self.has_writes_to_spare() {
            return false;
        }
        self.writes.shards_unsaved = false;
        let value = serde_json::json!(self.shards.to_record(&self.quota.team_names));
        if value.to_string().len() > self.limits.value_bytes {
            // They save moves after a change of leader, and nothing rests on them.
            warn!("{SHARDS_KEY} has too many teams for a value and isn't kept");
            return false;
        }
        let transaction = Transaction {
            preconditions: vec![self.fence_precondition()],
            mutations: vec![Mutation::put(SHARDS_KEY, value)],
        };
        self.commit(Purpose::ShardAssignment, transaction);
        true
    }

    /// Drops what is left of jobs that are over.
    fn delete_orphaned_bitmaps(&mut self) {
        if self.writes.orphaned_bitmaps.is_empty() || !self.has_writes_to_spare() {
            return;
        }
        let n = self.writes.orphaned_bitmaps.len().min(self.limits.txn_ops).min(4);
        let keys: Vec<String> = self.writes.orphaned_bitmaps.drain(..n).collect();
        let mutations = keys.iter().map(Mutation::delete).collect();
        let transaction = Transaction { preconditions: vec![self.fence_precondition()], mutations };
        self.commit(Purpose::Tidy(keys), transaction);
    }

    fn has_writes_to_spare(&self) -> bool {
        self.writes.tokens >= self.limits.write_rps * 0.7 && self.writes.in_flight.is_empty()
    }

    /// The leader's key has this revision now; none: it isn't known, or no longer this leader's.
    pub fn on_fence_refreshed(&mut self, now: MonotonicTime, revision: Option<Revision>) {
        match revision.filter(|r| *r > self.writes.fence_revision) {
            Some(r) => {
                debug!("writes are guarded by revision {r}");
                self.writes.fence_revision = r;
                self.writes.fence_refresh = FenceRefresh::Idle;
            }
            None => {
                self.writes.fence_refresh = FenceRefresh::Due;
                self.writes.paused_until = now + Millis(300);
            }
        }
    }

    pub fn on_committed(&mut self, now: MonotonicTime, request: u64, result: CommitOutcome) {
        let Some((purpose, guard)) = self.writes.in_flight.remove(&request) else { return };
        let ok = result == CommitOutcome::Committed;
        if matches!(result, CommitOutcome::Rejected | CommitOutcome::Unknown) {
            self.writes.paused_until = now + Millis(300);
        }
        // Guarded by an older revision of the key it can't be carried out any more.
        let outdated = matches!(&result, CommitOutcome::Conflict(failed) if failed.iter().any(|k| k == LEADER_KEY));
        if (outdated || result == CommitOutcome::Unknown)
            && guard == self.writes.fence_revision
            && self.writes.fence_refresh == FenceRefresh::Idle
        {
            self.writes.fence_refresh = FenceRefresh::Due;
        }
        self.rounds.needed = true;
        match purpose {
            Purpose::Machines { registration, forget } => {
                for id in registration {
                    if let Some(m) = self.machines.known.get_mut(&id) {
                        m.registration = if ok { Registration::Registered } else { Registration::Unregistered };
                    } else if result != CommitOutcome::Rejected {
                        self.writes.machines_to_delete.insert(id);
                    }
                }
                if ok {
                    for id in forget {
                        self.writes.machines_to_delete.remove(&id);
                    }
                }
            }
            Purpose::CompletionBitmaps(jobs) => {
                // Workers are told to forget what is kept now as they list it again.
                for (id, durably_done) in jobs {
                    let Some(job) = self.jobs.live.get_mut(&id) else { continue };
                    job.bitmap_write_in_flight = false;
                    if ok {
                        job.durably_done = durably_done;
                    }
                }
            }
            Purpose::Finish(id, at) => match result {
                CommitOutcome::Committed => {
                    info!("job {id} is done");
                    self.on_job_terminated(&id, JobOutcome::Done(Some(at)));
                }
                // The job's key has changed: cancelled, or an earlier try was carried out. The
                // watch says which; until then nothing of it is started, as all is done.
                CommitOutcome::Conflict(_) if !outdated => {}
                _ => {
                    if let Some(j) = self.jobs.live.get_mut(&id) {
                        j.finishing = false;
                    }
                }
            },
            Purpose::Cancel(ids) => match result {
                CommitOutcome::Committed => {
                    for id in ids {
                        info!("job {id} is cancelled with one that it needs");
                        self.on_job_terminated(&id, JobOutcome::Cancelled);
                    }
                }
                // It is over already: the watch says so, late perhaps, and says no more than that.
                CommitOutcome::Conflict(failed) => {
                    let over = ids.iter().filter(|id| failed.contains(&live_key(id)));
                    over.for_each(|id| self.on_job_terminated(id, JobOutcome::Unknown));
                }
                _ => {}
            },
            Purpose::ShardAssignment => self.writes.shards_unsaved |= !ok,
            Purpose::Tidy(keys) if !ok => self.writes.orphaned_bitmaps.extend(keys),
            Purpose::Tidy(_) => {}
        }
    }
}
