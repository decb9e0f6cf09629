use super::*;
use crate::core::cancellations::MAX_CANCELLATIONS;

#[test]
fn leader_stops_before_its_lease_can_end() {
    let mut leader = election();
    leader.elected(Term(7), LeaseId(1), MonotonicTime(10_000));
    assert_eq!(leader.active_term(MonotonicTime(13_900)), Some(Term(7)));
    assert_eq!(leader.active_term(MonotonicTime(14_000)), None);
    leader.renewed(MonotonicTime(12_000));
    assert_eq!(leader.active_term(MonotonicTime(15_900)), Some(Term(7)));
    // An answer that comes late to an earlier renewal changes nothing.
    leader.renewed(MonotonicTime(11_000));
    assert_eq!(leader.active_term(MonotonicTime(15_900)), Some(Term(7)));
    leader.step_down();
    assert_eq!(leader.active_term(MonotonicTime(12_000)), None);
}

#[test]
fn leader_that_workers_cannot_reach_hands_over() {
    assert!(should_hand_over(10, 10, 10), "cut off from all workers");
    assert!(should_hand_over(4, 3, 12), "cut off from a zone");
    assert!(!should_hand_over(1, 1, 12), "one machine may well be dead");
    assert!(!should_hand_over(4, 0, 12), "reaching nobody: dead, or cut off from all");
    assert!(!should_hand_over(2, 2, 30), "not worth a change");
}

fn election() -> Election {
    Election::new(Millis(4_000), Millis(10_000))
}

fn job(n: u64) -> JobId {
    JobId::parse(&format!("req-{n:06}")).unwrap()
}

/// The cancellations of a process that has been there since the store was empty.
fn told_nothing() -> ConfirmedCancellations {
    let mut cancellations = ConfirmedCancellations::default();
    cancellations.set_first_revision(Revision(0));
    cancellations
}

#[test]
fn a_pledge_needs_a_refusal_and_binds() {
    let mut follower = election();
    let ask =
        |follower: &mut Election| follower.pledge_to(MonotonicTime(20_000), Term(7), Revision(9), &told_nothing());
    assert_eq!(ask(&mut follower), Err(PledgeRefusal::StoreAnswers));
    follower.store_refused();
    follower.candidacy_sent();
    assert_eq!(ask(&mut follower), Err(PledgeRefusal::CandidacyPending), "it may be carried out late");
    follower.candidacy_settled();
    let span = ask(&mut follower).unwrap().span;
    assert!(span > Millis(0));
    assert!(!follower.may_stand(MonotonicTime(20_000) + span, true), "bound even by a fast clock");
    assert!(follower.may_stand(MonotonicTime(20_000) + span.plus_clock_drift(), true));
}

#[test]
fn who_led_later_pledges_nothing_to_an_earlier_term() {
    let mut controller = election();
    controller.elected(Term(8), LeaseId(1), MonotonicTime(0));
    controller.step_down();
    controller.store_refused();
    assert_eq!(
        controller.pledge_to(MonotonicTime(20_000), Term(7), Revision(9), &told_nothing()),
        Err(PledgeRefusal::LedLater)
    );
    assert!(controller.pledge_to(MonotonicTime(20_000), Term(9), Revision(9), &told_nothing()).is_ok());
}

#[test]
fn a_pledge_carries_what_the_leader_cannot_have_read() {
    let mut follower = election();
    follower.store_refused();
    let mut told = ConfirmedCancellations::default();
    let ask = |follower: &mut Election, told: &ConfirmedCancellations, read_through| {
        follower.pledge_to(MonotonicTime(20_000), Term(7), Revision(read_through), told).map(|pledge| pledge.cancelled)
    };
    told.record(job(1), Revision(11));
    assert_eq!(
        ask(&mut follower, &told, 90),
        Err(PledgeRefusal::CancellationsUnknown),
        "an earlier process here may have confirmed more"
    );
    told.set_first_revision(Revision(12));
    told.record(job(2), Revision(13));
    told.record(job(3), Revision(15));
    assert_eq!(ask(&mut follower, &told, 11), Err(PledgeRefusal::CancellationsUnknown), "what it knows begins later");
    assert_eq!(ask(&mut follower, &told, 12), Ok(vec![job(2), job(3)]));
    assert_eq!(ask(&mut follower, &told, 13), Ok(vec![job(3)]));
    // More than are remembered: what is forgotten isn't known any more.
    for n in 0..MAX_CANCELLATIONS as u64 {
        told.record(job(100 + n), Revision(100 + n));
    }
    assert_eq!(ask(&mut follower, &told, 13), Err(PledgeRefusal::CancellationsUnknown));
    assert_eq!(ask(&mut follower, &told, 15).map(|cancelled| cancelled.len()), Ok(MAX_CANCELLATIONS));
}

#[test]
fn leader_acts_only_on_what_it_has_read_lately() {
    let mut leader = election();
    leader.elected(Term(7), LeaseId(1), MonotonicTime(10_000));
    // Its renewals succeed, but it reads nothing.
    for t in 10..40 {
        leader.renewed(MonotonicTime(t * 1_000));
    }
    assert_eq!(leader.active_term(MonotonicTime(19_900)), Some(Term(7)));
    assert_eq!(leader.active_term(MonotonicTime(20_000)), None);
    leader.read(MonotonicTime(29_000), MonotonicTime(30_000), Revision(30));
    assert_eq!(leader.active_term(MonotonicTime(30_100)), Some(Term(7)));
    assert_eq!(leader.lease().unwrap().read_through, Revision(30));
    // Past its bound somebody else may lead, whose changes these may be.
    leader.read(MonotonicTime(49_000), MonotonicTime(50_000), Revision(50));
    assert_eq!(leader.lease().unwrap().read_through, Revision(30));
}

#[test]
fn a_restarted_process_keeps_pledges_it_has_forgotten() {
    let restarted = election();
    assert!(!restarted.may_stand(MonotonicTime(4_000), true));
    assert!(restarted.may_stand(MonotonicTime(4_100), true));
    assert!(restarted.may_stand(MonotonicTime(0), false), "nobody ever led");
}
