use super::*;
use crate::core::cancellations::MAX_CANCELLATIONS;

#[test]
fn leader_stops_before_its_lease_can_end() {
    let mut l = election();
    l.elected(Term(7), LeaseId(1), MonotonicTime(10_000));
    assert_eq!(l.active_term(MonotonicTime(13_900)), Some(Term(7)));
    assert_eq!(l.active_term(MonotonicTime(14_000)), None);
    l.renewed(MonotonicTime(12_000));
    assert_eq!(l.active_term(MonotonicTime(15_900)), Some(Term(7)));
    // An answer that comes late to an earlier renewal changes nothing.
    l.renewed(MonotonicTime(11_000));
    assert_eq!(l.active_term(MonotonicTime(15_900)), Some(Term(7)));
    l.step_down();
    assert_eq!(l.active_term(MonotonicTime(12_000)), None);
}

#[test]
fn leader_that_workers_cannot_reach_hands_over() {
    assert!(should_hand_over(10, 10, 10), "cut off from all workers");
    assert!(should_hand_over(4, 3, 12), "cut off from a zone");
    assert!(!should_hand_over(1, 1, 12), "one machine may well be dead");
    assert!(!should_hand_over(4, 0, 12), "heard by nobody: dead, or cut off from all");
    assert!(!should_hand_over(2, 2, 30), "not worth a change");
}

fn election() -> Election {
    Election::new(Millis(4_000), Millis(10_000))
}

fn job(n: u64) -> JobId {
    JobId::parse(&format!("req-{n:06}")).unwrap()
}

/// The cancellations of a process that has been there since the store was empty.
fn told_nothing() -> Cancellations {
    let mut c = Cancellations::default();
    c.at_revision(Revision(0));
    c
}

#[test]
fn pledge_needs_a_refusal_by_the_store_and_binds() {
    let mut p = election();
    let ask = |p: &mut Election| p.pledge_to(MonotonicTime(20_000), Term(7), Revision(9), &told_nothing());
    assert_eq!(ask(&mut p), None, "it is served by the state service");
    p.store_refused();
    p.candidacy_sent();
    assert_eq!(ask(&mut p), None, "an open bid may be carried out late");
    p.candidacy_settled();
    let span = ask(&mut p).unwrap().span;
    assert!(span > Millis(0));
    assert!(!p.may_stand(MonotonicTime(20_000) + span, true), "bound even by a fast clock");
    assert!(p.may_stand(MonotonicTime(20_000) + span.plus_clock_drift(), true));
}

#[test]
fn later_leader_gives_no_pledge_to_an_earlier_term() {
    let mut p = election();
    p.elected(Term(8), LeaseId(1), MonotonicTime(0));
    p.step_down();
    p.store_refused();
    assert_eq!(p.pledge_to(MonotonicTime(20_000), Term(7), Revision(9), &told_nothing()), None);
    assert!(p.pledge_to(MonotonicTime(20_000), Term(9), Revision(9), &told_nothing()).is_some());
}

#[test]
fn pledge_carries_the_cancellations_that_the_leader_cannot_have_read() {
    let mut p = election();
    p.store_refused();
    let mut c = Cancellations::default();
    let ask = |p: &mut Election, c: &Cancellations, read_through| {
        p.pledge_to(MonotonicTime(20_000), Term(7), Revision(read_through), c).map(|p| p.cancelled)
    };
    c.tell(job(1), Revision(11));
    assert_eq!(ask(&mut p, &c, 90), None, "an earlier process here may have confirmed more");
    c.at_revision(Revision(12));
    c.tell(job(2), Revision(13));
    c.tell(job(3), Revision(15));
    assert_eq!(ask(&mut p, &c, 11), None, "what it vouches for begins later");
    assert_eq!(ask(&mut p, &c, 12), Some(vec![job(2), job(3)]));
    assert_eq!(ask(&mut p, &c, 13), Some(vec![job(3)]));
    // More than are remembered: what is forgotten isn't pledged.
    for n in 0..MAX_CANCELLATIONS as u64 {
        c.tell(job(100 + n), Revision(100 + n));
    }
    assert_eq!(ask(&mut p, &c, 13), None);
    assert_eq!(ask(&mut p, &c, 15).map(|l| l.len()), Some(MAX_CANCELLATIONS));
}

#[test]
fn leader_acts_only_on_what_it_has_read_lately() {
    let mut l = election();
    l.elected(Term(7), LeaseId(1), MonotonicTime(10_000));
    // Its renewals succeed, but it reads nothing.
    for t in 10..40 {
        l.renewed(MonotonicTime(t * 1_000));
    }
    assert_eq!(l.active_term(MonotonicTime(19_900)), Some(Term(7)));
    assert_eq!(l.active_term(MonotonicTime(20_000)), None);
    l.read(MonotonicTime(29_000), MonotonicTime(30_000), Revision(30));
    assert_eq!(l.active_term(MonotonicTime(30_100)), Some(Term(7)));
    assert_eq!(l.lease().unwrap().read_through, Revision(30));
    // Past its bound somebody else may lead, whose changes these may be.
    l.read(MonotonicTime(49_000), MonotonicTime(50_000), Revision(50));
    assert_eq!(l.lease().unwrap().read_through, Revision(30));
}

#[test]
fn restarted_process_keeps_pledges_it_has_forgotten() {
    let p = election();
    assert!(!p.may_stand(MonotonicTime(4_000), true));
    assert!(p.may_stand(MonotonicTime(4_100), true));
    assert!(p.may_stand(MonotonicTime(0), false), "nobody ever led");
}
