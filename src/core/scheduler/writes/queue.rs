//! The queue of writes to the key-value store: what is in flight, what waits, the rate that both are held
//! to, and the fence revision that guards them.

use crate::core::election::LEADER_KEY;
use crate::core::scheduler::CommitOutcome;
use crate::ids::{JobId, MachineId, RequestId, Revision, Term};
use crate::time::{Millis, MonotonicTime, WallTime};
use crate::wire::Precondition;
use fixedbitset::FixedBitSet;
use std::collections::{BTreeSet, HashMap};

/// Most transactions in flight at once.
const MAX_COMMITS_IN_FLIGHT: usize = 6;

/// Nothing is sent for this long after the store has refused a write or left it unanswered.
const FAILED_WRITE_BACKOFF: Millis = Millis(300);

/// Writes that can wait are sent only while at least this part of the full rate is unused.
const SPARE_RATE_THRESHOLD: f64 = 0.7;

/// What a transaction in flight is for, and so what its result means.
pub(super) enum WritePurpose {
    /// Stores the records of machines before their first order, and deletes those of machines that are gone.
    Machines {
        /// Machines whose record is stored.
        register: Vec<MachineId>,
        /// Machines whose record is deleted.
        delete: Vec<MachineId>,
    },
    /// Stores chunks of completion bitmaps: for each job, what is durably done once they are stored.
    CompletionBitmaps(Vec<(JobId, FixedBitSet)>),
    /// Stores the terminal record of a job that was done at this time.
    Finish(JobId, WallTime),
    /// Stores the terminal records of jobs that are cancelled with a job that they depend on.
    Cancel(Vec<JobId>),
    /// Stores which controller plans for which team.
    ShardAssignment,
    /// Deletes these keys of bitmap chunks whose job is over.
    DeleteBitmaps(Vec<String>),
}

/// How far the refresh of the fence revision has come.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FenceRefresh {
    Idle,
    Due,
    InFlight,
}

/// A transaction whose result isn't known yet.
struct PendingWrite {
    purpose: WritePurpose,
    /// The fence revision that guards it.
    fence_revision: Revision,
}

/// Writes in flight and waiting.
///
/// After a commit without an answer none may be sent until [`WriteQueue::on_fence_refreshed`] has brought a
/// newer fence revision: the caller asks [`WriteQueue::may_send`] and
/// [`WriteQueue::needs_fence_refresh`] first.
pub(in crate::core::scheduler) struct WriteQueue {
    /// The revision of the leader's key that guards all writes: the term, until a write goes unanswered.
    /// The store may still carry out such a write at any time, over newer ones. So the key is written
    /// again, and what is guarded by its older revision never takes effect.
    fence_revision: Revision,
    fence_refresh: FenceRefresh,
    in_flight: HashMap<RequestId, PendingWrite>,
    /// Machines whose record is to be deleted.
    machines_to_delete: BTreeSet<MachineId>,
    /// Keys of bitmap chunks whose job is over.
    orphaned_bitmaps: Vec<String>,
    /// Whether the shard assignment differs from the stored one.
    shards_unsaved: bool,
    /// Mutations per second that the leader may send.
    rate: f64,
    /// Mutations that may be sent now: at most those of one second.
    tokens: f64,
    refilled_at: MonotonicTime,
    bitmaps_written_at: MonotonicTime,
    paused_until: MonotonicTime,
}

impl WriteQueue {
    /// An empty queue of a leader of this term that may send `rate` mutations per second.
    pub(in crate::core::scheduler) fn new(term: Term, rate: f64, now: MonotonicTime) -> WriteQueue {
        WriteQueue {
            fence_revision: Revision(term.0),
            fence_refresh: FenceRefresh::Idle,
            in_flight: HashMap::new(),
            machines_to_delete: BTreeSet::new(),
            orphaned_bitmaps: Vec::new(),
            shards_unsaved: true,
            rate,
            tokens: rate,
            refilled_at: now,
            bitmaps_written_at: now,
            paused_until: now,
        }
    }

    /// The revision of the leader's key that guards the writes sent from now on.
    pub(in crate::core::scheduler) fn fence_revision(&self) -> Revision {
        self.fence_revision
    }

    /// The precondition that every transaction of this leader carries.
    pub(in crate::core::scheduler) fn fence_precondition(&self) -> Precondition {
        Precondition { key: LEADER_KEY.into(), revision: self.fence_revision.0 }
    }

    /// Transactions whose result isn't known.
    pub(in crate::core::scheduler) fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Whether a transaction with such a purpose is in flight.
    pub(super) fn is_in_flight(&self, purpose: impl Fn(&WritePurpose) -> bool) -> bool {
        self.in_flight.values().any(|write| purpose(&write.purpose))
    }

    /// Adds the tokens of the time that has passed.
    pub(super) fn refill(&mut self, now: MonotonicTime) {
        let elapsed_s = (now - self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * self.rate).min(self.rate);
        self.refilled_at = now;
    }

    /// Whether something may be sent at all: no backoff is running and not too much is in flight.
    pub(super) fn may_send(&self, now: MonotonicTime) -> bool {
        now >= self.paused_until && self.has_free_place()
    }

    /// Whether fewer than the most transactions are in flight.
    pub(super) fn has_free_place(&self) -> bool {
        self.in_flight.len() < MAX_COMMITS_IN_FLIGHT
    }

    /// Whether the rate allows this many mutations now. A larger transaction may follow all the same: the
    /// tokens then fall below zero.
    pub(super) fn has_tokens(&self, mutations: f64) -> bool {
        self.tokens >= mutations
    }

    /// How many whole mutations the rate allows now.
    pub(super) fn whole_tokens(&self) -> usize {
        self.tokens as usize
    }

    /// Whether a write that can wait may be sent: most of the rate is unused, and nothing is in flight.
    pub(super) fn has_spare_rate(&self) -> bool {
        self.tokens >= self.rate * SPARE_RATE_THRESHOLD && self.in_flight.is_empty()
    }

    /// A transaction with this many mutations is sent.
    pub(super) fn start(&mut self, request: RequestId, purpose: WritePurpose, mutations: usize) {
        self.tokens -= mutations as f64;
        self.in_flight.insert(request, PendingWrite { purpose, fence_revision: self.fence_revision });
    }

    /// The result of a transaction. Returns what it was for; none: it isn't in flight.
    ///
    /// A write that the store refused or left unanswered starts a backoff. One that was left unanswered, or
    /// that failed on the fence revision still in use, makes a refresh of that revision due.
    pub(super) fn finish(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        result: &CommitOutcome,
    ) -> Option<WritePurpose> {
        let write = self.in_flight.remove(&request)?;
        if matches!(result, CommitOutcome::Rejected | CommitOutcome::Unknown) {
            self.paused_until = now + FAILED_WRITE_BACKOFF;
        }
        if (result.conflicts_on(LEADER_KEY) || *result == CommitOutcome::Unknown)
            && write.fence_revision == self.fence_revision
            && self.fence_refresh == FenceRefresh::Idle
        {
            self.fence_refresh = FenceRefresh::Due;
        }
        Some(write.purpose)
    }

    /// Whether no commit may be sent, as the fence revision has to be refreshed first.
    pub(super) fn needs_fence_refresh(&self) -> bool {
        self.fence_refresh != FenceRefresh::Idle
    }

    /// Starts the refresh of the fence revision; false: it is in flight or the rate doesn't allow it yet.
    pub(super) fn start_fence_refresh(&mut self) -> bool {
        if self.fence_refresh != FenceRefresh::Due || !self.has_tokens(1.0) {
            return false;
        }
        self.fence_refresh = FenceRefresh::InFlight;
        self.tokens -= 1.0;
        true
    }

    /// The result of a refresh: the revision that the leader's key has now. Without one, or with one that
    /// isn't newer, the refresh is due again after a backoff. Returns whether commits may be sent again.
    pub(super) fn on_fence_refreshed(&mut self, now: MonotonicTime, revision: Option<Revision>) -> bool {
        match revision.filter(|revision| *revision > self.fence_revision) {
            Some(revision) => {
                self.fence_revision = revision;
                self.fence_refresh = FenceRefresh::Idle;
                true
            }
            None => {
                self.fence_refresh = FenceRefresh::Due;
                self.paused_until = now + FAILED_WRITE_BACKOFF;
                false
            }
        }
    }

    /// The record of a machine is to be deleted.
    pub(in crate::core::scheduler) fn delete_machine(&mut self, id: MachineId) {
        self.machines_to_delete.insert(id);
    }

    /// The next machines whose record is to be deleted. They stay in the queue until
    /// [`WriteQueue::machines_deleted`].
    pub(super) fn next_machines_to_delete(&self, most: usize) -> Vec<MachineId> {
        self.machines_to_delete.iter().take(most).cloned().collect()
    }

    /// The records of these machines are deleted.
    pub(super) fn machines_deleted(&mut self, ids: &[MachineId]) {
        for id in ids {
            self.machines_to_delete.remove(id);
        }
    }

    /// These keys of bitmap chunks are to be deleted.
    pub(in crate::core::scheduler) fn delete_bitmaps(&mut self, keys: impl IntoIterator<Item = String>) {
        self.orphaned_bitmaps.extend(keys);
    }

    /// Takes the next keys of bitmap chunks to be deleted out of the queue.
    pub(super) fn take_orphaned_bitmaps(&mut self, most: usize) -> Vec<String> {
        let count = self.orphaned_bitmaps.len().min(most);
        self.orphaned_bitmaps.drain(..count).collect()
    }

    /// Whether keys of bitmap chunks are to be deleted.
    pub(super) fn has_orphaned_bitmaps(&self) -> bool {
        !self.orphaned_bitmaps.is_empty()
    }

    /// How long ago completion bitmaps were last sent.
    pub(super) fn since_bitmaps_written(&self, now: MonotonicTime) -> Millis {
        now - self.bitmaps_written_at
    }

    /// Completion bitmaps are sent.
    pub(super) fn set_bitmaps_written(&mut self, now: MonotonicTime) {
        self.bitmaps_written_at = now;
    }

    /// Whether the shard assignment is to be stored.
    pub(super) fn shards_unsaved(&self) -> bool {
        self.shards_unsaved
    }

    /// The shard assignment has changed, or its write has failed.
    pub(in crate::core::scheduler) fn set_shards_unsaved(&mut self) {
        self.shards_unsaved = true;
    }

    /// The shard assignment is stored as it is now, on its way there, or can't be stored.
    pub(in crate::core::scheduler) fn set_shards_saved(&mut self) {
        self.shards_unsaved = false;
    }
}
