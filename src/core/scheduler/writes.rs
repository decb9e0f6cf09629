//! Writes to the key-value store. Pending changes are collected from the cluster state and sent, the most urgent
//! first, within the leader's share of the store's write rate.
//!
//! Every transaction is conditional on the fence revision: the latest revision of the leader's key that this leader
//! wrote. So a delayed write, of an earlier leader or of this one from before a refresh of the fence revision, can't
//! overwrite newer values.

mod queue;
mod results;

use self::queue::WritePurpose;
pub(super) use self::queue::WriteQueue;
use super::{Effect, Scheduler};
use crate::core::election::LEADER_KEY;
use crate::core::machine::{MachineRecord, Registration, machine_key};
use crate::core::records::{
    BITMAP_SEQUENCE_KEY, MUTATIONS_PER_TERMINATION, TerminalRecord, live_precondition, termination_mutations,
};
use crate::core::shards::SHARDS_KEY;
use crate::ids::{JobId, MachineId};
use crate::time::{Millis, MonotonicTime, WallTime};
use crate::wire::{Mutation, Precondition, Transaction};
use fixedbitset::FixedBitSet;
use log::warn;

/// Fraction of the leader's write rate that may be used for completion bitmaps (which tasks of a job are done).
const BITMAP_RATE_SHARE: f64 = 0.4;

/// Number of mutations of [`BITMAP_SEQUENCE_KEY`] in a write of completion bitmaps.
const BITMAP_SEQUENCE_MUTATIONS: usize = 1;

/// Minimum interval between two writes of completion bitmaps, in seconds.
const MIN_BITMAP_INTERVAL_S: f64 = 1.5;

/// Maximum number of completion bitmap chunks of ended jobs that are deleted in one transaction.
const MAX_BITMAPS_DELETED_AT_ONCE: usize = 4;

impl Scheduler {
    /// Sends pending writes, the most urgent first, as far as the write rate and the limit of transactions in flight
    /// allow.
    pub(super) fn send_writes(&mut self, now: MonotonicTime, wall: WallTime) {
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
        self.write_finished_jobs(wall);
        // Of the writes that can wait, at most one is sent per call.
        if !self.write_completion_bitmaps(now) && !self.write_shards() {
            self.delete_orphaned_bitmaps();
        }
    }

    /// Sends a transaction that is conditional on the fence revision and on the given preconditions.
    fn commit(&mut self, purpose: WritePurpose, preconditions: Vec<Precondition>, mutations: Vec<Mutation>) {
        self.last_request.0 += 1;
        let request = self.last_request;
        self.writes.start(request, purpose, mutations.len());
        let transaction =
            Transaction { preconditions: [vec![self.writes.fence_precondition()], preconditions].concat(), mutations };
        self.effects.push(Effect::Commit { request, transaction });
    }

    /// Rewrites the leader's key under the same store lease. The key's new revision becomes the fence revision, on
    /// which all later writes are conditional. [`BITMAP_SEQUENCE_KEY`] gets the same revision.
    fn refresh_fence(&mut self) {
        if !self.writes.start_fence_refresh() {
            return;
        }
        let value = serde_json::json!(self.record);
        let put = Mutation::Put { key: LEADER_KEY.into(), value, lease: Some(self.record.lease.0) };
        self.effects.push(Effect::RefreshFence(Transaction {
            preconditions: vec![self.writes.fence_precondition()],
            mutations: vec![put, self.bitmap_sequence_mutation()],
        }));
    }

    /// Stores the records of new machines, which must precede their first order, and deletes those of terminated
    /// machines.
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

    /// Marks unregistered machines as being registered, as many as fit in a transaction, and returns them with the
    /// mutations that store their records.
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

    /// Stores the cancellation of jobs that depend on a cancelled job.
    fn write_cascaded_cancellations(&mut self) {
        if !self.writes.has_tokens(1.0)
            || self.writes.is_in_flight(|purpose| matches!(purpose, WritePurpose::Cancel(_)))
        {
            return;
        }
        let max_jobs = (self.limits.txn_ops / MUTATIONS_PER_TERMINATION).max(1);
        let mut preconditions = Vec::new();
        let mut mutations = Vec::new();
        let mut ids = Vec::new();
        for (id, job) in self.jobs.cascade_cancelled().take(max_jobs) {
            preconditions.push(live_precondition(id, job.revision));
            mutations.extend(termination_mutations(id, &TerminalRecord::cancelled(job.spec.tasks)));
            ids.push(*id);
        }
        if !ids.is_empty() {
            self.commit(WritePurpose::Cancel(ids), preconditions, mutations);
        }
    }

    /// Stores the terminal records of jobs whose tasks are all done, starting with those that others depend on.
    fn write_finished_jobs(&mut self, wall: WallTime) {
        let finished = self.jobs.iter().filter(|(_, job)| job.all_done() && !job.finishing);
        let mut finished: Vec<JobId> = finished.map(|(id, _)| *id).collect();
        finished.sort_by_key(|id| !self.jobs.has_dependents(id));
        for id in finished {
            if !self.writes.has_tokens(1.0) || !self.writes.has_free_slot() {
                break;
            }
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.finishing = true;
            let preconditions = vec![live_precondition(&id, job.revision)];
            let mutations = termination_mutations(&id, &TerminalRecord::done(job.spec.tasks, wall)).into();
            self.commit(WritePurpose::Finish(id, wall), preconditions, mutations);
        }
    }

    /// Stores which tasks are done, so that workers may forget them. The interval between two writes grows with the
    /// number of jobs whose done tasks have changed, as far as one transaction can store them, to stay within the rate
    /// for bitmaps. Returns `false` if nothing was due.
    fn write_completion_bitmaps(&mut self, now: MonotonicTime) -> bool {
        let jobs = self.jobs.iter();
        let changed: Vec<JobId> = jobs.filter(|(_, job)| job.has_unsaved_bitmap()).map(|(id, _)| *id).collect();
        let mutations = (changed.len() + BITMAP_SEQUENCE_MUTATIONS).min(self.limits.txn_ops);
        let interval_s = mutations as f64 / (self.limits.write_rps * BITMAP_RATE_SHARE);
        let interval = Millis::from_secs_f64(interval_s.max(MIN_BITMAP_INTERVAL_S));
        if changed.is_empty() || self.writes.since_bitmap_write(now) < interval || !self.writes.has_tokens(2.0) {
            return false;
        }
        if !self.writes.is_bitmap_sequence_known() {
            self.writes.request_fence_refresh();
        }
        let Some(precondition) = self.writes.bitmap_precondition() else { return false };
        self.writes.record_bitmap_write(now);
        let (bitmaps, mut mutations) = self.start_bitmap_writes(changed);
        mutations.push(self.bitmap_sequence_mutation());
        self.commit(WritePurpose::CompletionBitmaps(bitmaps), vec![precondition], mutations);
        true
    }

    /// Gives [`BITMAP_SEQUENCE_KEY`] a new revision.
    fn bitmap_sequence_mutation(&self) -> Mutation {
        Mutation::put(BITMAP_SEQUENCE_KEY, serde_json::json!(self.term))
    }

    /// Starts the bitmap writes of as many of these jobs as fit in a transaction. Returns for each of them the tasks
    /// that will be durably done, and the mutations that store the changed chunks. If the first job alone has too many
    /// changed chunks, only the first of that job's changed chunks are written.
    fn start_bitmap_writes(&mut self, changed: Vec<JobId>) -> (Vec<(JobId, FixedBitSet)>, Vec<Mutation>) {
        let max_mutations = self.limits.txn_ops.min(self.writes.whole_tokens()) - BITMAP_SEQUENCE_MUTATIONS;
        let mut mutations = Vec::new();
        let mut bitmaps = Vec::new();
        for id in changed {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let mut chunks = self.limits.layout.chunks(job.spec.tasks);
            chunks.retain(|chunk| chunk.differs(job.done(), job.durably_done()));
            if mutations.len() + chunks.len() > max_mutations && !mutations.is_empty() {
                break;
            }
            chunks.truncate(max_mutations);
            let mut durably_done = job.durably_done().clone();
            for chunk in chunks {
                durably_done.extend(chunk.done_tasks(job.done()));
                mutations.push(Mutation::put(chunk.key(&id), chunk.encode(job.done())));
            }
            job.start_bitmap_write();
            bitmaps.push((id, durably_done));
            if mutations.len() >= max_mutations {
                break;
            }
        }
        (bitmaps, mutations)
    }

    /// Stores the shard assignment (which controller plans for which team) if it has changed. Returns `false` if
    /// nothing was written.
    fn write_shards(&mut self) -> bool {
        if !self.writes.shards_unsaved() || !self.writes.has_spare_rate() {
            return false;
        }
        self.writes.set_shards_saved();
        let value = serde_json::json!(self.shards.to_record(self.quota.team_names()));
        if value.to_string().len() > self.limits.value_bytes {
            // Without a stored assignment the next leader only has to move teams again, so the write is not essential.
            warn!("shard assignment not stored, exceeds the maximum size of a value: key={SHARDS_KEY}");
            return false;
        }
        self.commit(WritePurpose::ShardAssignment, Vec::new(), vec![Mutation::put(SHARDS_KEY, value)]);
        true
    }

    /// Deletes chunks of completion bitmaps whose job has ended.
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
