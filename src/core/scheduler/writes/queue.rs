//! The queue of writes to the key-value store: transactions in flight, pending deletions, the rate limit, and the
//! fence revision on which all transactions are conditional.

use crate::core::election::LEADER_KEY;
use crate::core::records::BITMAP_SEQUENCE_KEY;
use crate::core::scheduler::CommitOutcome;
use crate::ids::{JobId, MachineId, RequestId, Revision, Term};
use crate::time::{Millis, MonotonicTime, WallTime};
use crate::wire::Precondition;
use fixedbitset::FixedBitSet;
use std::collections::{BTreeSet, HashMap};

/// Maximum number of transactions in flight.
const MAX_COMMITS_IN_FLIGHT: usize = 6;

/// Delay before the next write after the store has refused a write or left it unanswered.
const FAILED_WRITE_BACKOFF: Millis = Millis(300);

/// Number of mutations of a refresh of the fence revision: the leader's key and [`BITMAP_SEQUENCE_KEY`].
const FENCE_REFRESH_MUTATIONS: f64 = 2.0;

/// Low-priority writes are sent only while at least this fraction of the rate limit is unused.
const SPARE_RATE_THRESHOLD: f64 = 0.7;

/// The purpose of a transaction, which determines how its result is processed.
pub(super) enum WritePurpose {
    /// Stores the records of new machines and deletes those of terminated machines.
    Machines {
        /// Machines whose record is stored.
        register: Vec<MachineId>,
        /// Machines whose record is deleted.
        delete: Vec<MachineId>,
    },
    /// Stores chunks of completion bitmaps. Holds for each job the tasks that are durably done once the chunks are
    /// stored.
    CompletionBitmaps(Vec<(JobId, FixedBitSet)>),
    /// Stores the terminal record of a job that was done at this time.
    Finish(JobId, WallTime),
    /// Stores the terminal records of jobs that are cancelled because a job that they depend on was cancelled.
    Cancel(Vec<JobId>),
    /// Stores the shard assignment: which controller plans for which team.
    ShardAssignment,
    /// Deletes the bitmap chunks with these keys, whose job has ended.
    DeleteBitmaps(Vec<String>),
}

/// State of the refresh of the fence revision: the rewrite of the leader's key that makes earlier unanswered writes
/// fail.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FenceRefresh {
    Idle,
    Due,
    InFlight,
}

/// A transaction whose result isn't known yet.
struct PendingWrite {
    purpose: WritePurpose,
    /// The fence revision on which the transaction is conditional.
    fence_revision: Revision,
}

/// Writes in flight and pending, with their rate limit and fence revision.
///
/// After a commit without an answer no other commit may be sent until [`WriteQueue::on_fence_refreshed`] has received a
/// newer fence revision. The caller must check [`WriteQueue::may_send`] and [`WriteQueue::needs_fence_refresh`] before
/// each commit.
pub(in crate::core::scheduler) struct WriteQueue {
    /// The revision of the leader's key on which all writes are conditional. The revision equals the term until a write
    /// goes unanswered. The store could still apply such a write at any time and overwrite newer values. So the
    /// leader's key is rewritten, which makes every write that is conditional on the key's older revision fail.
    fence_revision: Revision,
    fence_refresh: FenceRefresh,
    /// The revision of [`BITMAP_SEQUENCE_KEY`], on which the next write of completion bitmaps is conditional. `None` if
    /// it isn't known; a refresh of the fence revision makes it known.
    bitmap_sequence: Option<Revision>,
    in_flight: HashMap<RequestId, PendingWrite>,
    /// Machines whose record has to be deleted.
    machines_to_delete: BTreeSet<MachineId>,
    /// Keys of bitmap chunks whose job has ended, to be deleted.
    orphaned_bitmaps: Vec<String>,
    /// Whether the shard assignment has to be stored.
    shards_unsaved: bool,
    /// Rate limit in mutations per second.
    rate: f64,
    /// Token bucket of the rate limit: mutations that may be sent now, at most those of one second.
    tokens: f64,
    last_refill: MonotonicTime,
    last_bitmap_write: MonotonicTime,
    /// No transaction is sent before this time, as the store has refused one or left it unanswered.
    backoff_until: MonotonicTime,
}

impl WriteQueue {
    /// Creates an empty queue for a leader of this term with a limit of `rate` mutations per second.
    pub(in crate::core::scheduler) fn new(term: Term, rate: f64, now: MonotonicTime) -> WriteQueue {
        WriteQueue {
            fence_revision: Revision(term.0),
            fence_refresh: FenceRefresh::Idle,
            bitmap_sequence: None,
            in_flight: HashMap::new(),
            machines_to_delete: BTreeSet::new(),
            orphaned_bitmaps: Vec::new(),
            shards_unsaved: true,
            rate,
            tokens: rate,
            last_refill: now,
            last_bitmap_write: now,
            backoff_until: now,
        }
    }

    /// The revision of the leader's key on which the next writes are conditional.
    pub(in crate::core::scheduler) fn fence_revision(&self) -> Revision {
        self.fence_revision
    }

    /// The precondition that every transaction of this leader carries.
    pub(in crate::core::scheduler) fn fence_precondition(&self) -> Precondition {
        Precondition { key: LEADER_KEY.into(), revision: self.fence_revision.0 }
    }

    /// The precondition of the next write of completion bitmaps, which changes the key and so makes a late copy of
    /// itself fail. `None` if the key's revision isn't known or another such write is in flight.
    pub(super) fn bitmap_precondition(&self) -> Option<Precondition> {
        if self.is_in_flight(|purpose| matches!(purpose, WritePurpose::CompletionBitmaps(_))) {
            return None;
        }
        Some(Precondition { key: BITMAP_SEQUENCE_KEY.into(), revision: self.bitmap_sequence?.0 })
    }

    /// Whether the revision of [`BITMAP_SEQUENCE_KEY`] is known.
    pub(super) fn is_bitmap_sequence_known(&self) -> bool {
        self.bitmap_sequence.is_some()
    }

    /// Number of transactions in flight.
    pub(in crate::core::scheduler) fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Whether a transaction whose purpose satisfies the predicate is in flight.
    pub(super) fn is_in_flight(&self, purpose: impl Fn(&WritePurpose) -> bool) -> bool {
        self.in_flight.values().any(|write| purpose(&write.purpose))
    }

    /// Adds the tokens of the rate limit for the time since the last refill, up to those of one second.
    pub(super) fn refill(&mut self, now: MonotonicTime) {
        let elapsed_s = (now - self.last_refill).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * self.rate).min(self.rate);
        self.last_refill = now;
    }

    /// Whether a write may be sent as far as backoff and the limit of transactions in flight are concerned.
    pub(super) fn may_send(&self, now: MonotonicTime) -> bool {
        now >= self.backoff_until && self.has_free_slot()
    }

    /// Whether fewer transactions than the maximum are in flight.
    pub(super) fn has_free_slot(&self) -> bool {
        self.in_flight.len() < MAX_COMMITS_IN_FLIGHT
    }

    /// Whether the rate limit allows this many mutations now. A transaction may nevertheless have more mutations, which
    /// makes the number of tokens negative and so delays the next transactions.
    pub(super) fn has_tokens(&self, mutations: f64) -> bool {
        self.tokens >= mutations
    }

    /// Number of mutations that the rate limit allows now.
    pub(super) fn whole_tokens(&self) -> usize {
        self.tokens as usize
    }

    /// Whether a low-priority write may be sent: most of the rate limit is unused, and nothing is in flight.
    pub(super) fn has_spare_rate(&self) -> bool {
        self.tokens >= self.rate * SPARE_RATE_THRESHOLD && self.in_flight.is_empty()
    }

    /// Records a transaction that is sent with this many mutations.
    pub(super) fn start(&mut self, request: RequestId, purpose: WritePurpose, mutations: usize) {
        self.tokens -= mutations as f64;
        self.in_flight.insert(request, PendingWrite { purpose, fence_revision: self.fence_revision });
    }

    /// Processes the result of a transaction and returns the transaction's purpose. Returns `None` if no such
    /// transaction is in flight.
    ///
    /// A write that the store refused or left unanswered starts a backoff. A write that was left unanswered, or whose
    /// fence precondition failed, makes a refresh of the fence revision due, unless the revision was refreshed since
    /// the write was sent or is being refreshed.
    pub(super) fn finish(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        result: &CommitOutcome,
    ) -> Option<WritePurpose> {
        let write = self.in_flight.remove(&request)?;
        if matches!(result, CommitOutcome::Rejected | CommitOutcome::Unknown) {
            self.backoff_until = now + FAILED_WRITE_BACKOFF;
        }
        if (result.conflicts_on(LEADER_KEY) || *result == CommitOutcome::Unknown)
            && write.fence_revision == self.fence_revision
        {
            self.request_fence_refresh();
        }
        // A refresh of the fence revision since the write was sent has changed the key after the write.
        if matches!(write.purpose, WritePurpose::CompletionBitmaps(_)) && write.fence_revision == self.fence_revision {
            self.update_bitmap_sequence(result);
        }
        Some(write.purpose)
    }

    fn update_bitmap_sequence(&mut self, result: &CommitOutcome) {
        match result {
            CommitOutcome::Committed(revision) => self.bitmap_sequence = Some(*revision),
            CommitOutcome::Conflict(_) | CommitOutcome::Unknown => self.bitmap_sequence = None,
            CommitOutcome::Rejected => {}
        }
    }

    /// Makes a refresh of the fence revision due, unless one is due or in flight already.
    pub(in crate::core::scheduler) fn request_fence_refresh(&mut self) {
        if self.fence_refresh == FenceRefresh::Idle {
            self.fence_refresh = FenceRefresh::Due;
        }
    }

    /// Whether the fence revision has to be refreshed before another commit may be sent.
    pub(super) fn needs_fence_refresh(&self) -> bool {
        self.fence_refresh != FenceRefresh::Idle
    }

    /// Starts the refresh of the fence revision. Returns `false` if no refresh is due, one is already in flight, or the
    /// rate limit doesn't allow it yet.
    pub(super) fn start_fence_refresh(&mut self) -> bool {
        if self.fence_refresh != FenceRefresh::Due || !self.has_tokens(FENCE_REFRESH_MUTATIONS) {
            return false;
        }
        self.fence_refresh = FenceRefresh::InFlight;
        self.tokens -= FENCE_REFRESH_MUTATIONS;
        true
    }

    /// Processes the result of a refresh of the fence revision. `revision` is the new revision of the leader's key; if
    /// it is `None` or not newer than the fence revision, the refresh is due again after a backoff. Returns whether
    /// commits may be sent again.
    pub(super) fn on_fence_refreshed(&mut self, now: MonotonicTime, revision: Option<Revision>) -> bool {
        match revision.filter(|revision| *revision > self.fence_revision) {
            Some(revision) => {
                self.fence_revision = revision;
                self.bitmap_sequence = Some(revision);
                self.fence_refresh = FenceRefresh::Idle;
                true
            }
            None => {
                self.fence_refresh = FenceRefresh::Due;
                self.backoff_until = now + FAILED_WRITE_BACKOFF;
                false
            }
        }
    }

    /// Queues the deletion of a machine's record.
    pub(in crate::core::scheduler) fn queue_machine_deletion(&mut self, id: MachineId) {
        self.machines_to_delete.insert(id);
    }

    /// The first machines whose record has to be deleted, at most `limit`. They stay in the queue until
    /// [`WriteQueue::on_machines_deleted`].
    pub(super) fn next_machines_to_delete(&self, limit: usize) -> Vec<MachineId> {
        self.machines_to_delete.iter().take(limit).cloned().collect()
    }

    /// Removes machines from the queue whose records have been deleted.
    pub(super) fn on_machines_deleted(&mut self, ids: &[MachineId]) {
        for id in ids {
            self.machines_to_delete.remove(id);
        }
    }

    /// Queues the deletion of bitmap chunks with these keys.
    pub(in crate::core::scheduler) fn queue_bitmap_deletions(&mut self, keys: impl IntoIterator<Item = String>) {
        self.orphaned_bitmaps.extend(keys);
    }

    /// Takes the first keys, at most `limit`, from the queue of bitmap chunks that have to be deleted.
    pub(super) fn take_orphaned_bitmaps(&mut self, limit: usize) -> Vec<String> {
        let count = self.orphaned_bitmaps.len().min(limit);
        self.orphaned_bitmaps.drain(..count).collect()
    }

    /// Whether any bitmap chunk is queued for deletion.
    pub(super) fn has_orphaned_bitmaps(&self) -> bool {
        !self.orphaned_bitmaps.is_empty()
    }

    /// Time since completion bitmaps were last sent.
    pub(super) fn since_bitmap_write(&self, now: MonotonicTime) -> Millis {
        now - self.last_bitmap_write
    }

    /// Records that completion bitmaps are sent.
    pub(super) fn record_bitmap_write(&mut self, now: MonotonicTime) {
        self.last_bitmap_write = now;
    }

    /// Whether the shard assignment has to be stored.
    pub(super) fn shards_unsaved(&self) -> bool {
        self.shards_unsaved
    }

    /// Records that the shard assignment has changed or that its write has failed.
    pub(in crate::core::scheduler) fn set_shards_unsaved(&mut self) {
        self.shards_unsaved = true;
    }

    /// Records that the shard assignment needs no write: it is stored, its write is in flight, or it can't be stored.
    pub(in crate::core::scheduler) fn set_shards_saved(&mut self) {
        self.shards_unsaved = false;
    }
}
