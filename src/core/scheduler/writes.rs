//! Writes to the key-value store: what has to be stored is gathered from the cluster state, the most urgent
//! first, and sent within the leader's share of the store's rate. Every transaction is guarded by the fence
//! revision, so that nothing of an earlier leader, or of this one before an unanswered write, takes effect
//! over newer writes.

mod queue;
mod results;

use self::queue::WritePurpose;
pub(super) use self::queue::WriteQueue;
use super::{Effect, Scheduler};
use crate::core::election::LEADER_KEY;
use crate::core::machine::{MachineRecord, Registration, machine_key};
use crate::core::records::{MUTATIONS_PER_TERMINATION, TerminalRecord, live_precondition, termination_mutations};
use crate::core::shards::SHARDS_KEY;
use crate::ids::{JobId, MachineId};
use crate::time::{Millis, MonotonicTime, WallTime};
use crate::wire::{Mutation, Precondition, Transaction};
use fixedbitset::FixedBitSet;
use log::warn;

/// Part of the leader's rate that completion bitmaps may take.
const BITMAP_RATE_SHARE: f64 = 0.4;

/// Least seconds between two writes of completion bitmaps.
const MIN_BITMAP_INTERVAL_S: f64 = 1.5;

/// Most orphaned bitmap chunks that one transaction deletes.
const MAX_BITMAPS_DELETED_AT_ONCE: usize = 4;

impl Scheduler {
    /// Sends what has to be stored, the most urgent first, as far as the leader's rate allows.
    pub(super) fn write(&mut self, now: MonotonicTime, wall: WallTime) {
        self.writes.refill(now);
        if !self.writes.may_send(now) {
            return;
        }
        if self.writes.needs_fence_refresh() {
            self.refresh_fence();
            return;
        }
        self.write_machines();
        self.write_cascaded_cancellations();
        self.write_finished(wall);
        // Of what can wait, one is sent at a time.
        if !self.write_completion_bitmaps(now) && !self.write_shards() {
            self.delete_orphaned_bitmaps();
        }
    }

    /// Sends mutations guarded by the fence revision and by further preconditions.
    fn commit(&mut self, purpose: WritePurpose, preconditions: Vec<Precondition>, mutations: Vec<Mutation>) {
        self.last_request.0 += 1;
        let request = self.last_request;
        self.writes.start(request, purpose, mutations.len());
        let transaction =
            Transaction { preconditions: [vec![self.writes.fence_precondition()], preconditions].concat(), mutations };
        self.effects.push(Effect::Commit { request, transaction });
    }

    /// Writes the leader's key again under the same lease: its new revision guards all that follows.
    fn refresh_fence(&mut self) {
        if !self.writes.start_fence_refresh() {
            return;
        }
        let value = serde_json::json!(self.record);
        let put = Mutation::Put { key: LEADER_KEY.into(), value, lease: Some(self.record.lease.0) };
        self.effects.push(Effect::RefreshFence(Transaction {
            preconditions: vec![self.writes.fence_precondition()],
            mutations: vec![put],
        }));
    }

    /// Stores the records of machines before their first order, and deletes those of machines that are gone.
    fn write_machines(&mut self) {
        if !self.writes.has_tokens(1.0)
            || self.writes.is_in_flight(|purpose| matches!(purpose, WritePurpose::Machines { .. }))
        {
            return;
        }
        let (register, mut mutations) = self.start_registrations();
        let delete = self.writes.next_machines_to_delete(self.limits.txn_ops - mutations.len());
        mutations.extend(delete.iter().map(|id| Mutation::delete(machine_key(id))));
        if !mutations.is_empty() {
            self.commit(WritePurpose::Machines { register, delete }, Vec::new(), mutations);
        }
    }

    /// The machines to be registered next, as many as fit in a transaction, and the writes of their records.
    fn start_registrations(&mut self) -> (Vec<MachineId>, Vec<Mutation>) {
        let mut mutations = Vec::new();
        let mut register = Vec::new();
        for (id, machine) in &mut self.machines.known {
            if mutations.len() < self.limits.txn_ops
                && machine.up
                && machine.registration == Registration::Unregistered
                && !machine.retiring
            {
                machine.registration = Registration::InFlight;
                let record = MachineRecord {
                    endpoint: machine.endpoint.clone(),
                    kind: self.catalog.types[machine.kind].name.clone(),
                    zone: self.catalog.zones[machine.zone as usize].clone(),
                    spot: machine.spot,
                };
                mutations.push(Mutation::put(machine_key(id), serde_json::json!(record)));
                register.push(id.clone());
            }
        }
        (register, mutations)
    }

    /// Cancels jobs that depend on a cancelled one.
    fn write_cascaded_cancellations(&mut self) {
        if !self.writes.has_tokens(1.0)
            || self.writes.is_in_flight(|purpose| matches!(purpose, WritePurpose::Cancel(_)))
        {
            return;
        }
        let most = (self.limits.txn_ops / MUTATIONS_PER_TERMINATION).max(1);
        let mut preconditions = Vec::new();
        let mut mutations = Vec::new();
        let mut ids = Vec::new();
        for (id, job) in self.jobs.cascade_cancelled().take(most) {
            preconditions.push(live_precondition(id, job.revision));
            mutations.extend(termination_mutations(id, &TerminalRecord::cancelled(job.spec.tasks)));
            ids.push(*id);
        }
        if !ids.is_empty() {
            self.commit(WritePurpose::Cancel(ids), preconditions, mutations);
        }
    }

    /// Ends jobs whose tasks are all done, first those that others depend on.
    fn write_finished(&mut self, wall: WallTime) {
        let finished = self.jobs.iter().filter(|(_, job)| job.all_done() && !job.finishing);
        let mut finished: Vec<JobId> = finished.map(|(id, _)| *id).collect();
        finished.sort_by_key(|id| !self.jobs.has_dependents(id));
        for id in finished {
            if !self.writes.has_tokens(1.0) || !self.writes.has_free_place() {
                break;
            }
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.finishing = true;
            let preconditions = vec![live_precondition(&id, job.revision)];
            let mutations = termination_mutations(&id, &TerminalRecord::done(job.spec.tasks, wall)).into();
            self.commit(WritePurpose::Finish(id, wall), preconditions, mutations);
        }
    }

    /// Stores which tasks are done, so that workers may forget them. The more jobs have changed, the longer
    /// the interval. False: nothing was due.
    fn write_completion_bitmaps(&mut self, now: MonotonicTime) -> bool {
        let jobs = self.jobs.iter();
        let changed: Vec<JobId> = jobs.filter(|(_, job)| job.has_unsaved_bitmap()).map(|(id, _)| *id).collect();
        let interval_s = changed.len() as f64 / (self.limits.write_rps * BITMAP_RATE_SHARE);
        let interval = Millis::from_secs_f64(interval_s.max(MIN_BITMAP_INTERVAL_S));
        if changed.is_empty() || self.writes.since_bitmaps_written(now) < interval || !self.writes.has_tokens(2.0) {
            return false;
        }
        self.writes.set_bitmaps_written(now);
        let (bitmaps, mutations) = self.start_bitmap_writes(changed);
        self.commit(WritePurpose::CompletionBitmaps(bitmaps), Vec::new(), mutations);
        true
    }

    /// The bitmaps of the first of these jobs, as many as fit in a transaction, and the writes of their
    /// changed chunks. A job that alone has too many of them has the first ones written.
    fn start_bitmap_writes(&mut self, changed: Vec<JobId>) -> (Vec<(JobId, FixedBitSet)>, Vec<Mutation>) {
        let most = self.limits.txn_ops.min(self.writes.whole_tokens());
        let mut mutations = Vec::new();
        let mut bitmaps = Vec::new();
        for id in changed {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let mut chunks = self.limits.layout.chunks(job.spec.tasks);
            chunks.retain(|chunk| chunk.differs(job.done(), job.durably_done()));
            if mutations.len() + chunks.len() > most && !mutations.is_empty() {
                break;
            }
            chunks.truncate(most);
            let mut durably_done = job.durably_done().clone();
            for chunk in chunks {
                durably_done.extend(chunk.done_tasks(job.done()));
                mutations.push(Mutation::put(chunk.key(&id), chunk.encode(job.done())));
            }
            job.start_bitmap_write();
            bitmaps.push((id, durably_done));
            if mutations.len() >= most {
                break;
            }
        }
        (bitmaps, mutations)
    }

    /// Stores which controller plans for which team. False: nothing was due.
    fn write_shards(&mut self) -> bool {
        if !self.writes.shards_unsaved() || !self.writes.has_spare_rate() {
            return false;
        }
        self.writes.set_shards_saved();
        let value = serde_json::json!(self.shards.to_record(self.quota.team_names()));
        if value.to_string().len() > self.limits.value_bytes {
            // The record only saves moves of teams after a change of leader; nothing depends on it.
            warn!("shard assignment not stored, too many teams for one value: key={SHARDS_KEY}");
            return false;
        }
        self.commit(WritePurpose::ShardAssignment, Vec::new(), vec![Mutation::put(SHARDS_KEY, value)]);
        true
    }

    /// Deletes chunks of completion bitmaps whose job is over.
    fn delete_orphaned_bitmaps(&mut self) {
        if !self.writes.has_orphaned_bitmaps() || !self.writes.has_spare_rate() {
            return;
        }
        let keys = self.writes.take_orphaned_bitmaps(self.limits.txn_ops.min(MAX_BITMAPS_DELETED_AT_ONCE));
        let mutations = keys.iter().map(Mutation::delete).collect();
        self.commit(WritePurpose::DeleteBitmaps(keys), Vec::new(), mutations);
    }
}

#[cfg(test)]
mod tests;
