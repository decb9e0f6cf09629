//! Leader election: who leads, and until when.
//!
//! A leader holds the key `ctl/leader` under a lease of the key-value store; its term is the key's
//! revision. The lease never ends early, so a leader that counts it from before the request was sent
//! knows a bound up to which no other controller can lead. It stops answering at that bound.
//!
//! When the store refuses the leader, it may extend its lease only while the store refuses every
//! peer too and every peer pledges not to stand for election. Each peer keeps its pledge, even over
//! a restart (see [`Election::may_stand`]). With its pledge a peer passes on the cancellations that
//! it has confirmed to users and that the leader can't have read.
//!
//! A leader that can't read cancellations must not act, whatever its renewals come to: the moment of
//! its last reading bounds its acting as well (see [`Election::read`]).
//!
//! This module is a state machine without I/O; `net::election` drives it.

use super::cancellations::ConfirmedCancellations;
use crate::ids::{JobId, LeaseId, Revision, Term};
use crate::time::{Millis, MonotonicTime};
use serde::{Deserialize, Serialize};

/// The key that the leader holds. Its value is a [`LeaderRecord`].
pub const LEADER_KEY: &str = "ctl/leader";
/// Written with the first leader's key and never removed: somebody has led before.
pub const INITIALIZED_KEY: &str = "ctl/founded";

/// Names the successor of a leader that hands over. It hangs on a lease of [`SUCCESSOR_BACKOFF`]: other
/// controllers don't stand for as long, also those that the leader can't reach.
pub const SUCCESSOR_KEY: &str = "ctl/heir";

/// For how long other controllers leave the election to a successor.
pub const SUCCESSOR_BACKOFF: Millis = Millis(2_000);

/// Fewer suspected machines than this may well be dead.
const MIN_SUSPECTED_TO_HAND_OVER: usize = 2;
/// A leader hands over only if at least one in this many machines is suspected.
const MACHINES_PER_SUSPECTED: usize = 12;

/// Whether a leader should hand over to a peer: it suspects many of its machines, and at least two
/// thirds as many have tried in vain at its peers, so that it is the leader that can't be reached.
///
/// `suspected` and `redirected` are counts of machines, `machines` is how many there are in all.
pub fn should_hand_over(suspected: usize, redirected: usize, machines: usize) -> bool {
    suspected >= MIN_SUSPECTED_TO_HAND_OVER
        && suspected * MACHINES_PER_SUSPECTED >= machines
        && redirected * 3 >= suspected * 2
}

/// The value of [`LEADER_KEY`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The name of the controller that leads.
    pub node: String,
    /// Tells one process from the next at the same address.
    pub incarnation: u64,
    /// The lease that the key hangs on.
    #[serde(alias = "hold")]
    pub lease: LeaseId,
}

/// A leader's lease, and for how long it entitles the leader to act.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaderLease {
    /// The term that the leader was elected for.
    pub term: Term,
    /// The lease in the key-value store.
    pub id: LeaseId,
    /// Until then nobody else can lead.
    bound: MonotonicTime,
    /// Until then what has been read of the live jobs is new enough to act on.
    read_bound: MonotonicTime,
    /// All changes of live jobs up to here are known.
    pub read_through: Revision,
}

/// A follower's pledge to a leader that the store refuses.
#[derive(Clone, Debug, PartialEq)]
pub struct Pledge {
    /// For how long the follower will not stand for election.
    pub span: Millis,
    /// Cancellations that the follower has confirmed to users and that the leader can't have read.
    pub cancelled: Vec<JobId>,
}

/// Why a controller doesn't pledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PledgeRefusal {
    /// The store answers this controller, so it may learn of changes that the leader can't read.
    #[error("the store answers this controller")]
    StoreAnswers,
    /// The controller's own candidacy may still be carried out.
    #[error("a candidacy is pending")]
    CandidacyPending,
    /// The controller holds the leader's lease itself.
    #[error("this controller leads")]
    Leading,
    /// The controller has led for a later term than the one that asks.
    #[error("this controller has led for a later term")]
    LedLater,
    /// The controller can't tell all that users were told after the revision that the leader has read.
    #[error("cancellations since that revision are not known")]
    CancellationsUnknown,
}

/// One controller's part in the election. All moments are on its own clock.
pub struct Election {
    ttl: Millis,
    /// How long a leader may act on what it has last read.
    read_ttl: Millis,
    pledge_span: Millis,
    pledged_until: MonotonicTime,
    /// Another controller is to lead next, so this one doesn't stand until then.
    backoff_until: MonotonicTime,
    candidacy_pending: bool,
    /// The last call to the store was refused or not answered.
    refused: bool,
    lease: Option<LeaderLease>,
    /// The last term that this process has led for.
    last_term: Term,
}

impl Election {
    /// A controller that has just started.
    ///
    /// `ttl` is the length of the leader's lease and of a pledge; `read_ttl` is how long a leader may
    /// act on what it has last read of the live jobs.
    pub fn new(ttl: Millis, read_ttl: Millis) -> Election {
        Election {
            ttl,
            read_ttl,
            pledge_span: ttl,
            pledged_until: MonotonicTime(0),
            backoff_until: MonotonicTime(0),
            candidacy_pending: false,
            refused: false,
            lease: None,
            last_term: Term(0),
        }
    }

    /// The store has served a call.
    pub fn store_answered(&mut self) {
        self.refused = false;
    }

    /// The store has refused a call, or has not answered it.
    pub fn store_refused(&mut self) {
        self.refused = true;
    }

    /// Whether the last call to the store was refused or not answered.
    pub fn is_refused_by_store(&self) -> bool {
        self.refused
    }

    /// Whether this controller may stand for election now.
    ///
    /// A process that has just started may have forgotten a pledge, so it waits as long as one lasts.
    /// It needn't if there can be no pledge: `initialized` is false where nobody has led before.
    pub fn may_stand(&self, now: MonotonicTime, initialized: bool) -> bool {
        now >= self.pledged_until
            && now >= self.backoff_until
            && (!initialized || now >= MonotonicTime(0) + self.pledge_span.plus_clock_drift())
    }

    /// Leaves the election to a successor for [`SUCCESSOR_BACKOFF`]. No rule rests on it: whoever stands
    /// first leads.
    pub fn back_off_for_successor(&mut self, now: MonotonicTime) {
        self.backoff_until = now + SUCCESSOR_BACKOFF;
    }

    /// A candidacy is about to be sent; until it is settled it may be carried out at any time.
    pub fn candidacy_sent(&mut self) {
        self.candidacy_pending = true;
    }

    /// The candidacy was answered, or its lease has ended so that it can never be carried out.
    pub fn candidacy_settled(&mut self) {
        self.candidacy_pending = false;
    }

    /// This controller leads for a term. Its lease counts from `asked_at`, before it was asked for.
    pub fn elected(&mut self, term: Term, lease: LeaseId, asked_at: MonotonicTime) {
        self.lease = Some(LeaderLease {
            term,
            id: lease,
            bound: asked_at + self.ttl.minus_clock_drift(),
            read_bound: asked_at + self.read_ttl,
            read_through: Revision(0),
        });
        self.last_term = term;
        self.candidacy_pending = false;
    }

    /// The lease was renewed by a request sent at `asked_at`. Late answers to earlier requests do nothing.
    pub fn renewed(&mut self, asked_at: MonotonicTime) {
        if let Some(lease) = &mut self.lease {
            lease.bound = lease.bound.max(asked_at + self.ttl.minus_clock_drift());
        }
    }

    /// All changes of live jobs up to the revision are in the cluster state; they were asked for at
    /// `asked_at` and have been read by `now`.
    pub fn read(&mut self, asked_at: MonotonicTime, now: MonotonicTime, revision: Revision) {
        if let Some(lease) = &mut self.lease {
            lease.read_bound = lease.read_bound.max(asked_at + self.read_ttl);
            // Past the bound somebody else may lead, so that a revision read then may be of
            // a later term; a peer that has led, and has forgotten it, could vouch from there.
            if now < lease.bound {
                lease.read_through = lease.read_through.max(revision);
            }
        }
    }

    /// Every peer has pledged, and its cancellations are in the cluster state. Each pledge began after
    /// `asked_at`; `shortest` is the shortest of them.
    pub fn extend_on_pledges(&mut self, asked_at: MonotonicTime, shortest: Millis) {
        if let Some(lease) = &mut self.lease {
            lease.bound = lease.bound.max(asked_at + shortest.minus_clock_drift());
            lease.read_bound = lease.read_bound.max(asked_at + self.read_ttl);
        }
    }

    /// This controller doesn't lead any more.
    pub fn step_down(&mut self) {
        self.lease = None;
    }

    /// The leader's lease, whether or not its bound has passed.
    pub fn lease(&self) -> Option<LeaderLease> {
        self.lease
    }

    /// The term under which orders and answers may be sent now; none if this controller must not act.
    pub fn active_term(&self, now: MonotonicTime) -> Option<Term> {
        self.lease.filter(|lease| now < lease.bound.min(lease.read_bound)).map(|lease| lease.term)
    }

    /// Pledges to the leader of a term, which the store refuses and which has read all changes up to
    /// `read_through`. `told` are the cancellations that this controller has confirmed to users.
    pub fn pledge_to(
        &mut self,
        now: MonotonicTime,
        term: Term,
        read_through: Revision,
        told: &ConfirmedCancellations,
    ) -> Result<Pledge, PledgeRefusal> {
        if !self.refused {
            return Err(PledgeRefusal::StoreAnswers);
        }
        if self.candidacy_pending {
            return Err(PledgeRefusal::CandidacyPending);
        }
        if self.lease.is_some() {
            return Err(PledgeRefusal::Leading);
        }
        if self.last_term > term {
            return Err(PledgeRefusal::LedLater);
        }
        let cancelled = told.since(read_through).ok_or(PledgeRefusal::CancellationsUnknown)?;
        self.pledged_until = self.pledged_until.max(now + self.pledge_span.plus_clock_drift());
        Ok(Pledge { span: self.pledge_span, cancelled })
    }
}

#[cfg(test)]
mod tests;
