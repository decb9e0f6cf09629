//! Writes to the state service, most urgent first, within the leader's share of its rate.

use super::*;

impl Leader {
    pub(super) fn own_guard(&self) -> Guard {
        Guard { path: LEADER_KEY.into(), revision: self.guard.0 }
    }

    pub(super) fn commit(&mut self, purpose: Purpose, txn: Txn) {
        self.tickets += 1;
        self.tokens -= txn.apply.len() as f64;
        self.commits.insert(self.tickets, (purpose, self.guard));
        self.actions.push(Action::Commit { ticket: self.tickets, txn });
    }

    /// Writes what must be durable, most urgent first, within the share of writes.
    pub(super) fn write(&mut self, now: Mono) {
        let dt = (now - self.tokens_at).as_secs();
        self.tokens = (self.tokens + dt * self.p.write_rps).min(self.p.write_rps);
        self.tokens_at = now;
        if now < self.commit_pause || self.commits.len() >= 6 {
            return;
        }
        if self.reguard != Reguard::No {
            if self.reguard == Reguard::Due && self.tokens >= 1.0 {
                self.reguard = Reguard::UnderWay;
                self.tokens -= 1.0;
                let value = serde_json::json!(self.record);
                let write = Change::Write { write: LEADER_KEY.into(), value, tenure: Some(self.record.lease.0) };
                self.actions.push(Action::Reguard(Txn { guards: vec![self.own_guard()], apply: vec![write] }));
            }
            return;
        }
        // Machines before their first order.
        let fleet_busy = self.commits.values().any(|(p, _)| matches!(p, Purpose::Fleet { .. }));
        if self.tokens >= 1.0 && !fleet_busy {
            let mut apply = Vec::new();
            let mut commission = Vec::new();
            for (id, m) in &mut self.machines {
                if apply.len() < self.p.txn_ops && m.up && m.commission == Commission::No && !m.doomed {
                    m.commission = Commission::Writing;
                    let record = FleetRecord {
                        endpoint: m.endpoint.clone(),
                        kind: self.types[m.kind].name.clone(),
                        zone: self.zones[m.zone as usize].clone(),
                        spot: m.spot,
                    };
                    apply.push(Change::write(fleet_key(id), serde_json::json!(record)));
                    commission.push(id.clone());
                }
            }
            let room = self.p.txn_ops - apply.len();
            let forget: Vec<MachineId> = self.forget.iter().take(room).cloned().collect();
            apply.extend(forget.iter().map(|id| Change::drop(fleet_key(id))));
            if !apply.is_empty() {
                let txn = Txn { guards: vec![self.own_guard()], apply };
                self.commit(Purpose::Fleet { commission, forget }, txn);
            }
        }
        // Jobs whose tasks are all done.
        let finish: Vec<JobId> =
            self.jobs.iter().filter(|(_, j)| j.all_done() && !j.finishing).map(|(id, _)| *id).take(8).collect();
        for id in finish {
            if self.tokens < 1.0 || self.commits.len() >= 6 {
                break;
            }
            let guard = self.own_guard();
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.finishing = true;
            let record = OverRecord { phase: JobPhase::Done, tasks: job.spec.tasks };
            let guards = vec![guard, Guard { path: live_key(&id), revision: job.revision.0 }];
            let apply = vec![Change::drop(live_key(&id)), Change::write(over_key(&id), serde_json::json!(record))];
            self.commit(Purpose::Finish(id), Txn { guards, apply });
        }
        // Done tasks, so that workers may forget them: the more jobs, the more seldom.
        let dirty: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.done_count > 0 && !j.all_done() && !j.bits_in_flight && j.durable != j.done)
            .map(|(id, _)| *id)
            .collect();
        let every = Span::secs((dirty.len() as f64 / (self.p.write_rps * 0.4)).max(1.5));
        if !dirty.is_empty() && now - self.bits_at >= every && self.tokens >= 2.0 {
            self.bits_at = now;
            let room = self.p.txn_ops.min(self.tokens as usize);
            let mut apply = Vec::new();
            let mut which = Vec::new();
            for id in dirty {
                let Some(job) = self.jobs.get_mut(&id) else { continue };
                let mut changed: Vec<u32> =
                    job.done.difference(&job.durable).map(|i| i as u32 / self.p.chunk).collect();
                changed.dedup();
                if apply.len() + changed.len() > room && !apply.is_empty() {
                    break;
                }
                changed.truncate(room);
                let mut durable = job.durable.clone();
                for c in changed {
                    let from = (c * self.p.chunk) as usize;
                    let to = (from + self.p.chunk as usize).min(job.done.len());
                    job.done.ones().filter(|i| (from..to).contains(i)).for_each(|i| durable.insert(i));
                    let value = encode_bits(&job.done, c, self.p.chunk);
                    apply.push(Change::write(format!("{BITS}{id}/{c}"), value));
                }
                job.bits_in_flight = true;
                which.push((id, durable));
                if apply.len() >= room {
                    break;
                }
            }
            let txn = Txn { guards: vec![self.own_guard()], apply };
            self.commit(Purpose::Bits(which), txn);
        } else if self.shares_dirty && self.tokens >= self.p.write_rps * 0.7 && self.commits.is_empty() {
            self.shares_dirty = false;
            let value = serde_json::json!(self.shares.kept(&self.team_names));
            let txn = Txn { guards: vec![self.own_guard()], apply: vec![Change::write(SHARES_KEY, value)] };
            self.commit(Purpose::Shares, txn);
        } else if !self.orphaned_sets.is_empty() && self.tokens >= self.p.write_rps * 0.7 && self.commits.is_empty() {
            let n = self.orphaned_sets.len().min(self.p.txn_ops).min(4);
            let keys: Vec<String> = self.orphaned_sets.drain(..n).collect();
            let apply = keys.iter().map(Change::drop).collect();
            let txn = Txn { guards: vec![self.own_guard()], apply };
            self.commit(Purpose::Tidy(keys), txn);
        }
    }

    /// The leader's key has this revision now; none: it isn't known, or no longer this leader's.
    pub fn on_reguarded(&mut self, now: Mono, revision: Option<Revision>) {
        match revision.filter(|r| *r > self.guard) {
            Some(r) => {
                debug!("writes are guarded by revision {r}");
                self.guard = r;
                self.reguard = Reguard::No;
            }
            None => {
                self.reguard = Reguard::Due;
                self.commit_pause = now + Span(300);
            }
        }
    }

    pub fn on_committed(&mut self, now: Mono, ticket: u64, result: CommitResult) {
        let Some((purpose, guard)) = self.commits.remove(&ticket) else { return };
        let ok = result == CommitResult::Done;
        if matches!(result, CommitResult::Refused | CommitResult::Unknown) {
            self.commit_pause = now + Span(300);
        }
        // Guarded by an older revision of the key it can't be carried out any more.
        let outdated = matches!(&result, CommitResult::Conflict(failed) if failed.iter().any(|k| k == LEADER_KEY));
        if (outdated || result == CommitResult::Unknown) && guard == self.guard && self.reguard == Reguard::No {
            self.reguard = Reguard::Due;
        }
        self.dirty = true;
        match purpose {
            Purpose::Fleet { commission, forget } => {
                for id in commission {
                    if let Some(m) = self.machines.get_mut(&id) {
                        m.commission = if ok { Commission::Yes } else { Commission::No };
                    } else if result != CommitResult::Refused {
                        self.forget.insert(id);
                    }
                }
                if ok {
                    for id in forget {
                        self.forget.remove(&id);
                    }
                }
            }
            Purpose::Bits(jobs) => {
                // Workers are told to forget what is kept now as they list it again.
                for (id, durable) in jobs {
                    let Some(job) = self.jobs.get_mut(&id) else { continue };
                    job.bits_in_flight = false;
                    if ok {
                        job.durable = durable;
                    }
                }
            }
            Purpose::Finish(id) => match result {
                CommitResult::Done => {
                    info!("job {id} is done");
                    self.on_over(&id);
                }
                // The job's key has changed: cancelled, or an earlier try was carried out. The
                // watch says which; until then nothing of it is started, as all is done.
                CommitResult::Conflict(_) if !outdated => {}
                _ => {
                    if let Some(j) = self.jobs.get_mut(&id) {
                        j.finishing = false;
                    }
                }
            },
            Purpose::Shares => self.shares_dirty |= !ok,
            Purpose::Tidy(keys) if !ok => self.orphaned_sets.extend(keys),
            Purpose::Tidy(_) => {}
        }
    }
}
