//! Who leads, and until when. A leader holds the key `ctl/leader` under a lease of the state
//! service; its term is the key's revision.
//!
//! The lease never ends early, so a leader that counts it from before the request was sent knows
//! a bound up to which no other can lead. It stops answering at that bound. When the
//! state service refuses it, it may hold on only while every peer is refused too and pledges not
//! to run for leader: a pledge that each peer keeps, even over a restart (see `may_stand`). With its
//! pledge a peer passes on the cancellations that it has told users and the leader can't have read.
//!
//! A leader that isn't told of cancellations is as blind as one without a lease, whatever its
//! renewals come to: what it has read bounds its acting as well (`read`).

use super::cancellations::Cancellations;
use crate::ids::{JobId, LeaseId, Revision, Term};
use crate::time::{Millis, MonotonicTime};
use serde::{Deserialize, Serialize};

pub const LEADER_KEY: &str = "ctl/leader";
/// Written with the first leader's key and never removed: someone has led.
pub const INITIALIZED_KEY: &str = "ctl/founded";

/// Who is to lead next, written by a leader that hands over. It hangs on a short lease: others hold
/// back for as long, also those that the leader can't reach.
pub const SUCCESSOR_KEY: &str = "ctl/heir";

pub const SUCCESSOR_BACKOFF: Millis = Millis(2_000);

/// Whether a leader should hand over to a peer: many of its machines are silent, and about as many
/// report to its peers in vain, so it is the leader that can't be reached.
pub fn should_hand_over(suspected: usize, redirected: usize, machines: usize) -> bool {
    suspected >= 2 && suspected * 12 >= machines && redirected * 3 >= suspected * 2
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub node: String,
    /// Tells one process from the next at the same address.
    pub incarnation: u64,
    #[serde(alias = "hold")]
    pub lease: LeaseId,
}

/// A leader's lease, and for how long it entitles to act.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaderLease {
    pub term: Term,
    pub id: LeaseId,
    /// Until then nobody else can lead.
    bound: MonotonicTime,
    /// Until then what has been read of the live jobs is new enough to act on.
    read_bound: MonotonicTime,
    /// All changes of live jobs up to here are known.
    pub read_through: Revision,
}

/// A peer's word to a leader that is refused: for how long it will not run for leader, and the
/// cancellations that users have been told by it.
#[derive(Clone, Debug, PartialEq)]
pub struct Pledge {
    pub span: Millis,
    pub cancelled: Vec<JobId>,
}

pub struct Election {
    ttl: Millis,
    /// How long a leader may act on what it has last read.
    read_ttl: Millis,
    /// How long a pledge lasts.
    pub pledge: Millis,
    pledged_until: MonotonicTime,
    /// Another controller is to lead next, so this one holds back until then.
    backoff_until: MonotonicTime,
    /// A bid to lead was sent and its outcome isn't known.
    candidacy_pending: bool,
    /// Whether the last word of the state service was a refusal or none at all.
    refused: bool,
    lease: Option<LeaderLease>,
    /// The last term that this process has led for.
    last_term: Term,
}

impl Election {
    pub fn new(ttl: Millis, read_ttl: Millis) -> Election {
        Election {
            ttl,
            read_ttl,
            pledge: ttl,
            pledged_until: MonotonicTime(0),
            backoff_until: MonotonicTime(0),
            candidacy_pending: false,
            refused: false,
            lease: None,
            last_term: Term(0),
        }
    }

    pub fn store_answered(&mut self) {
        self.refused = false;
    }
    pub fn store_refused(&mut self) {
        self.refused = true;
    }
    pub fn is_refused_by_store(&self) -> bool {
        self.refused
    }

    /// A process that has just begun may have forgotten a pledge, so it waits as long as one
    /// lasts, unless nobody has ever led.
    pub fn may_stand(&self, now: MonotonicTime, initialized: bool) -> bool {
        now >= self.pledged_until
            && now >= self.backoff_until
            && (!initialized || now >= MonotonicTime(0) + self.pledge.plus_clock_drift())
    }

    /// Only a matter of manners: whoever bids first leads.
    pub fn back_off_for_successor(&mut self, now: MonotonicTime) {
        self.backoff_until = now + SUCCESSOR_BACKOFF;
    }

    pub fn candidacy_sent(&mut self) {
        self.candidacy_pending = true;
    }
    /// The bid was answered, or its lease is gone so that it can never be carried out.
    pub fn candidacy_settled(&mut self) {
        self.candidacy_pending = false;
    }

    /// The lease counts from before the request that made or renewed it was sent.
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

    pub fn renewed(&mut self, asked_at: MonotonicTime) {
        if let Some(lease) = &mut self.lease {
            lease.bound = lease.bound.max(asked_at + self.ttl.minus_clock_drift());
        }
    }

    /// All changes of live jobs up to the revision are in the cluster state; they were asked for at `asked_at`.
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

    /// Every peer has pledged, and its cancellations are in the cluster state; each pledge began after
    /// `asked_at`.
    pub fn extend_on_pledges(&mut self, asked_at: MonotonicTime, shortest: Millis) {
        if let Some(lease) = &mut self.lease {
            lease.bound = lease.bound.max(asked_at + shortest.minus_clock_drift());
            lease.read_bound = lease.read_bound.max(asked_at + self.read_ttl);
        }
    }

    pub fn step_down(&mut self) {
        self.lease = None;
    }

    /// The leader's lease, whether or not its bound has passed.
    pub fn lease(&self) -> Option<LeaderLease> {
        self.lease
    }

    /// The term under which orders and answers may go out now.
    pub fn active_term(&self, now: MonotonicTime) -> Option<Term> {
        self.lease.filter(|lease| now < lease.bound.min(lease.read_bound)).map(|lease| lease.term)
    }

    /// Asked by a leader that is refused, which has read all up to a revision. None: a no. A process
    /// that has led since, or can't tell what users have been told since, gives no pledge.
    pub fn pledge_to(
        &mut self,
        now: MonotonicTime,
        term: Term,
        read_through: Revision,
        told: &Cancellations,
    ) -> Option<Pledge> {
        if !self.refused || self.candidacy_pending || self.lease.is_some() || self.last_term > term {
            return None;
        }
        let cancelled = told.since(read_through)?;
        self.pledged_until = self.pledged_until.max(now + self.pledge.plus_clock_drift());
        Some(Pledge { span: self.pledge, cancelled })
    }
}

#[cfg(test)]
mod tests;
