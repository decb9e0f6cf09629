//! Leader election: who leads, and until when.
//!
//! The leader owns the key `ctl/leader`, which is attached to a lease of the key-value store; its term
//! is the key's revision. Unless a lease is revoked, the store keeps it for its whole time to live, so no
//! other controller can lead until one time to live after the leader sent its latest successful grant
//! or renewal request. The leader stops acting at that moment.
//!
//! While the store is unavailable to the leader, the leader may extend its lease only if the store is
//! unavailable to every peer too and every peer pledges not to stand for election. A pledge binds a
//! peer even across a restart (see [`Election::can_stand_for_election`]). Along with the pledge, the
//! peer sends the cancellations that it has confirmed to users and that the leader can't have read.
//!
//! A leader that can't read cancellations from the store must not act either, even if it can renew its
//! lease: it may act only for a limited time after its last read (see [`Election::live_jobs_read`]).
//!
//! This module is a state machine without I/O; `net::election` drives it.

use super::cancellations::ConfirmedCancellations;
use crate::ids::{JobId, LeaseId, Revision, Term};
use crate::time::{Millis, MonotonicTime};
use serde::{Deserialize, Serialize};

/// The key that the leader owns. Its value is a [`LeaderRecord`].
pub const LEADER_KEY: &str = "ctl/leader";
/// Key that marks that the cluster has had a leader. Written together with the first leader's key, never removed.
pub const INITIALIZED_KEY: &str = "ctl/founded";

/// Key under which a leader that hands over stores the name of its successor. The key is attached to a lease of
/// [`SUCCESSOR_BACKOFF`]; while it exists, the other controllers don't stand for election. Controllers that the
/// leader can't reach learn of the hand-over from this key.
pub const SUCCESSOR_KEY: &str = "ctl/heir";

/// How long the controllers that aren't the named successor don't stand for election after a leader hands over.
pub const SUCCESSOR_BACKOFF: Millis = Millis(2_000);

/// A leader hands over only if it suspects at least this many machines of having failed. With fewer, the machines
/// themselves are more likely to have failed than the leader's network.
const MIN_SUSPECTED_TO_HAND_OVER: usize = 2;
/// A leader hands over only if it suspects at least one in this many of all machines of having failed.
const MACHINES_PER_SUSPECTED_MACHINE: usize = 12;

/// Whether a leader should hand over to a peer because its workers can't reach it.
///
/// That is so if the leader suspects many of its machines of having failed, but at least two thirds of those
/// have sent heartbeats to its peers and so are alive.
///
/// `suspected` is the number of suspected machines, `redirected` the number of those that have sent heartbeats to
/// peers, and `machines` the number of all machines.
pub fn should_hand_over(suspected: usize, redirected: usize, machines: usize) -> bool {
    suspected >= MIN_SUSPECTED_TO_HAND_OVER
        && suspected * MACHINES_PER_SUSPECTED_MACHINE >= machines
        && redirected * 3 >= suspected * 2
}

/// The value of [`LEADER_KEY`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The name of the controller that leads.
    pub node: String,
    /// Distinguishes this process from earlier and later ones at the same address.
    pub incarnation: u64,
    /// The lease that the key is attached to.
    #[serde(alias = "hold")]
    pub lease: LeaseId,
}

/// A leader's lease, and how long the leader may act under it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaderLease {
    /// The term for which the controller was elected leader: the store's revision of the leader's key.
    pub term: Term,
    /// The lease in the key-value store to which the leader's key is attached.
    pub id: LeaseId,
    /// No other controller can lead before this moment.
    expires_at: MonotonicTime,
    /// Until this moment, the leader's last read of the live jobs is recent enough to act on.
    read_expires_at: MonotonicTime,
    /// The store's revision up to which the leader has read all changes of live jobs.
    pub read_through: Revision,
}

/// A follower's pledge not to stand for election, given to a leader to which the store is unavailable.
#[derive(Clone, Debug, PartialEq)]
pub struct Pledge {
    /// How long the follower will not stand for election, counted from when it gives the pledge.
    pub duration: Millis,
    /// Cancellations that the follower has confirmed to users and that the leader can't have read.
    pub cancelled: Vec<JobId>,
}

/// Why a controller refuses to pledge to a leader that it won't stand for election.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PledgeRefusal {
    /// The store serves this controller, which may therefore confirm cancellations that the leader can't read.
    #[error("the store is available to this controller")]
    StoreAvailable,
    /// This controller has stood for election itself, and the store may still commit its candidacy.
    #[error("this controller's own candidacy is pending")]
    CandidacyPending,
    /// This controller holds a leader's lease itself.
    #[error("this controller is the leader")]
    Leading,
    /// This controller has led for a later term than that of the leader that asks.
    #[error("this controller has led for a later term")]
    LedLaterTerm,
    /// This controller can't list all cancellations confirmed to users after the revision that the
    /// leader has read up to.
    #[error("cancellations confirmed since the leader's last read revision are not all known")]
    CancellationsUnknown,
}

/// The election state of one controller. All moments are on its own clock.
pub struct Election {
    lease_ttl: Millis,
    /// How long a leader may act after it has requested the live jobs from the store; every read starts this anew.
    read_ttl: Millis,
    pledge_duration: Millis,
    /// This controller has pledged not to stand for election before this moment.
    pledged_until: MonotonicTime,
    /// This controller doesn't stand for election before this moment, because a leader has named another controller
    /// as its successor.
    backoff_until: MonotonicTime,
    /// Whether the store may still commit a candidacy that this controller has sent.
    candidacy_pending: bool,
    /// Whether the store refused or didn't answer this controller's last request.
    store_unavailable: bool,
    lease: Option<LeaderLease>,
    /// The last term for which this process was the leader.
    last_term: Term,
}

impl Election {
    /// The state of a controller process that has just started.
    ///
    /// `lease_ttl` is the time to live of the leader's lease and the duration of a pledge; `read_ttl` is how long a
    /// leader may act after it has requested the live jobs from the store.
    pub fn new(lease_ttl: Millis, read_ttl: Millis) -> Election {
        Election {
            lease_ttl,
            read_ttl,
            pledge_duration: lease_ttl,
            pledged_until: MonotonicTime(0),
            backoff_until: MonotonicTime(0),
            candidacy_pending: false,
            store_unavailable: false,
            lease: None,
            last_term: Term(0),
        }
    }

    /// Records that the store has served a request of this controller.
    pub fn store_served(&mut self) {
        self.store_unavailable = false;
    }

    /// Records that the store has refused a request of this controller or has not answered it.
    pub fn store_failed(&mut self) {
        self.store_unavailable = true;
    }

    /// Whether the store has refused or not answered this controller's last request.
    pub fn is_store_unavailable(&self) -> bool {
        self.store_unavailable
    }

    /// Whether this controller may stand for election now.
    ///
    /// An earlier process of this controller may have given a pledge, so a new process first waits as
    /// long as a pledge lasts. The wait isn't needed if `predecessor_may_have_pledged` is false, for
    /// instance because the cluster has never had a leader.
    pub fn can_stand_for_election(&self, now: MonotonicTime, predecessor_may_have_pledged: bool) -> bool {
        now >= self.pledged_until
            && now >= self.backoff_until
            && (!predecessor_may_have_pledged || now >= MonotonicTime(0) + self.pledge_duration.plus_clock_drift())
    }

    /// Keeps this controller from standing for election for [`SUCCESSOR_BACKOFF`], so that the named successor is
    /// elected. Safety doesn't depend on this: if another controller stands first, it becomes leader instead.
    pub fn back_off_for_successor(&mut self, now: MonotonicTime) {
        self.backoff_until = now + SUCCESSOR_BACKOFF;
    }

    /// Records that the transaction that makes this controller the leader is about to be sent to the store. Until
    /// [`Self::candidacy_settled`] is called, the store may commit this candidacy at any time.
    pub fn candidacy_sent(&mut self) {
        self.candidacy_pending = true;
    }

    /// Records that the store answered the candidacy, or that the lease that the candidacy names has ended, so that
    /// the store can't commit the candidacy any more.
    pub fn candidacy_settled(&mut self) {
        self.candidacy_pending = false;
    }

    /// Records that this controller has become the leader of a term. `requested_at` is a moment before the
    /// request for the lease was sent; the lease's time to live is counted from that moment.
    pub fn elected(&mut self, term: Term, lease: LeaseId, requested_at: MonotonicTime) {
        self.lease = Some(LeaderLease {
            term,
            id: lease,
            expires_at: requested_at + self.lease_ttl.minus_clock_drift(),
            read_expires_at: requested_at + self.read_ttl,
            read_through: Revision(0),
        });
        self.last_term = term;
        self.candidacy_pending = false;
    }

    /// Records that the store renewed the leader's lease on a request sent at `requested_at`. A late answer to an
    /// earlier request doesn't shorten the lease.
    pub fn renewed(&mut self, requested_at: MonotonicTime) {
        if let Some(lease) = &mut self.lease {
            lease.expires_at = lease.expires_at.max(requested_at + self.lease_ttl.minus_clock_drift());
        }
    }

    /// Records that this leader's cluster state contains all changes of live jobs up to the store's `revision`. The
    /// changes were requested from the store at `requested_at` and have been read by `now`.
    pub fn live_jobs_read(&mut self, requested_at: MonotonicTime, now: MonotonicTime, revision: Revision) {
        if let Some(lease) = &mut self.lease {
            lease.read_expires_at = lease.read_expires_at.max(requested_at + self.read_ttl);
            // After the lease has expired, another controller may have led, and `revision` may be of that later
            // term. A peer that led for that term and has restarted since doesn't know that it did. It pledges only
            // to a leader that has read everything from before its restart, which `read_through` must not claim for
            // this outdated leader.
            if now < lease.expires_at {
                lease.read_through = lease.read_through.max(revision);
            }
        }
    }

    /// Extends the lease, after every peer has pledged not to stand for election and the cancellations sent with the
    /// pledges have been applied to the cluster state. Each pledge began after `requested_at`; `shortest` is the
    /// duration of the shortest pledge.
    pub fn extend_on_pledges(&mut self, requested_at: MonotonicTime, shortest: Millis) {
        if let Some(lease) = &mut self.lease {
            lease.expires_at = lease.expires_at.max(requested_at + shortest.minus_clock_drift());
            lease.read_expires_at = lease.read_expires_at.max(requested_at + self.read_ttl);
        }
    }

    /// Records that this controller doesn't lead any more.
    pub fn step_down(&mut self) {
        self.lease = None;
    }

    /// The leader's lease, whether or not it has expired.
    pub fn lease(&self) -> Option<LeaderLease> {
        self.lease
    }

    /// The term under which this controller may act as leader now, by sending orders and answers. Returns `None` if
    /// this controller doesn't lead, its lease has expired or its last read of the live jobs is too old.
    pub fn active_term(&self, now: MonotonicTime) -> Option<Term> {
        self.lease.filter(|lease| now < lease.expires_at.min(lease.read_expires_at)).map(|lease| lease.term)
    }

    /// Promises the leader of `term`, to which the store is unavailable, not to stand for election for the time to
    /// live of a leader's lease. Returns the reason if this controller can't give this pledge.
    ///
    /// The leader has read all changes of live jobs up to `read_through`. `confirmed` are the cancellations that this
    /// controller has confirmed to users; the pledge contains those that the leader can't have read.
    pub fn pledge_to(
        &mut self,
        now: MonotonicTime,
        term: Term,
        read_through: Revision,
        confirmed: &ConfirmedCancellations,
    ) -> Result<Pledge, PledgeRefusal> {
        if !self.store_unavailable {
            return Err(PledgeRefusal::StoreAvailable);
        }
        if self.candidacy_pending {
            return Err(PledgeRefusal::CandidacyPending);
        }
        if self.lease.is_some() {
            return Err(PledgeRefusal::Leading);
        }
        if self.last_term > term {
            return Err(PledgeRefusal::LedLaterTerm);
        }
        let cancelled = confirmed.since(read_through).ok_or(PledgeRefusal::CancellationsUnknown)?;
        self.pledged_until = self.pledged_until.max(now + self.pledge_duration.plus_clock_drift());
        Ok(Pledge { duration: self.pledge_duration, cancelled })
    }
}

#[cfg(test)]
mod tests;
