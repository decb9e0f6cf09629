//! Who leads, and until when. A leader holds the key `ctl/leader` under a lease of the state
//! service; its term is the key's stamp.
//!
//! The lease never ends early, so a leader that counts it from before the request was sent knows
//! a bound up to which no other can be in office. It stops answering at that bound. When the
//! state service refuses it, it may hold on only while every peer is refused too and promises not
//! to run for office: a promise that each peer keeps, even over a restart (see `may_run`).

use crate::ids::{Hold, Term};
use crate::time::{Mono, Span};
use serde::{Deserialize, Serialize};

pub const LEADER_KEY: &str = "ctl/leader";
/// Written with the first leader's key and never removed: someone has been in office.
pub const FOUNDED_KEY: &str = "ctl/founded";

/// Who is to lead next, written by a leader that hands over. It hangs on a short lease: others hold
/// back for as long, also those that the leader can't reach.
pub const HEIR_KEY: &str = "ctl/heir";

pub const YIELD: Span = Span(2_000);

/// Whether a leader should hand over to a peer: many of its machines are silent, and about as many
/// report to its peers in vain, so it is the leader that can't be reached.
pub fn should_hand_over(silent: usize, strays: usize, machines: usize) -> bool {
    silent >= 2 && silent * 12 >= machines && strays * 3 >= silent * 2
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub node: String,
    /// Tells one process from the next at the same address.
    pub incarnation: u64,
    pub hold: Hold,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Office {
    pub term: Term,
    pub hold: Hold,
    bound: Mono,
}

pub struct Leadership {
    ttl: Span,
    /// How long a promise lasts.
    pub promise: Span,
    promised_until: Mono,
    /// Another controller is to lead next, so this one holds back until then.
    yields_until: Mono,
    /// A bid for office was sent and its outcome isn't known.
    bid_open: bool,
    /// Whether the last word of the state service was a refusal or none at all.
    refused: bool,
    office: Option<Office>,
}

impl Leadership {
    pub fn new(ttl: Span) -> Leadership {
        Leadership {
            ttl,
            promise: ttl,
            promised_until: Mono(0),
            yields_until: Mono(0),
            bid_open: false,
            refused: false,
            office: None,
        }
    }

    pub fn state_answered(&mut self) {
        self.refused = false;
    }
    pub fn state_refused(&mut self) {
        self.refused = true;
    }
    pub fn is_refused(&self) -> bool {
        self.refused
    }

    /// A process that has just begun may have forgotten a promise, so it waits as long as one
    /// lasts, unless nobody has ever been in office.
    pub fn may_run(&self, now: Mono, founded: bool) -> bool {
        now >= self.promised_until
            && now >= self.yields_until
            && (!founded || now >= Mono(0) + self.promise.stretched())
    }

    /// Only a matter of manners: whoever bids first leads.
    pub fn yield_office(&mut self, now: Mono) {
        self.yields_until = now + YIELD;
    }

    pub fn bid_sent(&mut self) {
        self.bid_open = true;
    }
    /// The bid was answered, or its lease is gone so that it can never be carried out.
    pub fn bid_settled(&mut self) {
        self.bid_open = false;
    }

    /// The lease counts from before the request that made or renewed it was sent.
    pub fn took_office(&mut self, term: Term, hold: Hold, asked_at: Mono) {
        self.office = Some(Office { term, hold, bound: asked_at + self.ttl.shrunk() });
        self.bid_open = false;
    }

    pub fn renewed(&mut self, asked_at: Mono) {
        if let Some(o) = &mut self.office {
            o.bound = o.bound.max(asked_at + self.ttl.shrunk());
        }
    }

    /// Every peer has promised; each promise began after `asked_at`.
    pub fn all_promised(&mut self, asked_at: Mono, shortest: Span) {
        if let Some(o) = &mut self.office {
            o.bound = o.bound.max(asked_at + shortest.shrunk());
        }
    }

    pub fn lost_office(&mut self) {
        self.office = None;
    }

    /// The office, whether or not its bound has passed.
    pub fn office(&self) -> Option<Office> {
        self.office
    }

    /// The term under which orders and answers may go out now.
    pub fn acting(&self, now: Mono) -> Option<Term> {
        self.office.filter(|o| now < o.bound).map(|o| o.term)
    }

    /// Asked by a leader that is refused: the length of the promise, or 0 for no.
    pub fn promise_to(&mut self, now: Mono) -> Span {
        if !self.refused || self.bid_open || self.office.is_some() {
            return Span(0);
        }
        self.promised_until = self.promised_until.max(now + self.promise.stretched());
        self.promise
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_leader_stops_before_its_lease_can_end() {
        let mut l = Leadership::new(Span(4_000));
        l.took_office(Term(7), Hold(1), Mono(10_000));
        assert_eq!(l.acting(Mono(13_900)), Some(Term(7)));
        assert_eq!(l.acting(Mono(14_000)), None);
        l.renewed(Mono(12_000));
        assert_eq!(l.acting(Mono(15_900)), Some(Term(7)));
        // An answer that comes late to an earlier renewal changes nothing.
        l.renewed(Mono(11_000));
        assert_eq!(l.acting(Mono(15_900)), Some(Term(7)));
        l.lost_office();
        assert_eq!(l.acting(Mono(12_000)), None);
    }

    #[test]
    fn a_leader_that_workers_cannot_reach_hands_over() {
        assert!(should_hand_over(10, 10, 10), "cut off from all workers");
        assert!(should_hand_over(4, 3, 12), "cut off from a zone");
        assert!(!should_hand_over(1, 1, 12), "one machine may well be dead");
        assert!(!should_hand_over(4, 0, 12), "silent to everyone: dead, or cut off from all");
        assert!(!should_hand_over(2, 2, 30), "not worth a change");
    }

    #[test]
    fn a_promise_needs_a_refusal_and_binds() {
        let mut p = Leadership::new(Span(4_000));
        assert_eq!(p.promise_to(Mono(20_000)), Span(0), "it is served by the state service");
        p.state_refused();
        p.bid_sent();
        assert_eq!(p.promise_to(Mono(20_000)), Span(0), "an open bid may be carried out late");
        p.bid_settled();
        let span = p.promise_to(Mono(20_000));
        assert!(span > Span(0));
        assert!(!p.may_run(Mono(20_000) + span, true), "bound even by a fast clock");
        assert!(p.may_run(Mono(20_000) + span.stretched(), true));
    }

    #[test]
    fn a_restarted_process_keeps_promises_it_has_forgotten() {
        let p = Leadership::new(Span(4_000));
        assert!(!p.may_run(Mono(4_000), true));
        assert!(p.may_run(Mono(4_100), true));
        assert!(p.may_run(Mono(0), false), "nobody was ever in office");
    }
}
