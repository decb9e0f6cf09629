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
    // A late answer to a renewal request that was sent earlier doesn't shorten the lease.
    leader.renewed(MonotonicTime(11_000));
    assert_eq!(leader.active_term(MonotonicTime(15_900)), Some(Term(7)));
    leader.step_down();
    assert_eq!(leader.active_term(MonotonicTime(12_000)), None);
}

#[test]
fn leader_that_workers_cannot_reach_hands_over() {
    assert!(should_hand_over(10, 10, 10), "the leader is cut off from all workers");
    assert!(should_hand_over(4, 3, 12), "the leader is cut off from a zone");
    assert!(!should_hand_over(1, 1, 12), "a single machine may have failed itself");
    assert!(!should_hand_over(4, 0, 12), "machines that reach no controller have failed or are cut off from all");
    assert!(!should_hand_over(2, 2, 30), "too few machines for a change of leader");
}

fn election() -> Election {
    Election::new(Millis(4_000), Millis(10_000))
}

fn job(n: u64) -> JobId {
    JobId::parse(&format!("req-{n:06}")).unwrap()
}

/// The cancellations of a process that has run since the store was empty and has confirmed none.
fn no_cancellations() -> ConfirmedCancellations {
    let mut cancellations = ConfirmedCancellations::default();
    cancellations.set_first_revision(Revision(0));
    cancellations
}

#[test]
fn follower_pledges_only_without_store_and_then_does_not_stand() {
    let mut follower = election();
    let request_pledge =
        |follower: &mut Election| follower.pledge_to(MonotonicTime(20_000), Term(7), Revision(9), &no_cancellations());
    assert_eq!(request_pledge(&mut follower), Err(PledgeRefusal::StoreAvailable));
    follower.store_failed();
    follower.candidacy_sent();
    assert_eq!(request_pledge(&mut follower), Err(PledgeRefusal::CandidacyPending), "the store may still commit it");
    follower.candidacy_settled();
    let duration = request_pledge(&mut follower).unwrap().duration;
    assert!(duration > Millis(0));
    assert!(
        !follower.can_stand_for_election(MonotonicTime(20_000) + duration, true),
        "a fast clock must not end the pledge early"
    );
    assert!(follower.can_stand_for_election(MonotonicTime(20_000) + duration.plus_clock_drift(), true));
}

#[test]
fn controller_does_not_pledge_to_an_earlier_term_than_it_led() {
    let mut controller = election();
    controller.elected(Term(8), LeaseId(1), MonotonicTime(0));
    controller.step_down();
    controller.store_failed();
    assert_eq!(
        controller.pledge_to(MonotonicTime(20_000), Term(7), Revision(9), &no_cancellations()),
        Err(PledgeRefusal::LedLaterTerm)
    );
    assert!(controller.pledge_to(MonotonicTime(20_000), Term(9), Revision(9), &no_cancellations()).is_ok());
}

#[test]
fn pledge_lists_the_cancellations_that_the_leader_cannot_have_read() {
    let mut follower = election();
    follower.store_failed();
    let mut confirmed = ConfirmedCancellations::default();
    let request_pledge = |follower: &mut Election, confirmed: &ConfirmedCancellations, read_through| {
        follower
            .pledge_to(MonotonicTime(20_000), Term(7), Revision(read_through), confirmed)
            .map(|pledge| pledge.cancelled)
    };
    confirmed.record(job(1), Revision(11));
    assert_eq!(
        request_pledge(&mut follower, &confirmed, 90),
        Err(PledgeRefusal::CancellationsUnknown),
        "an earlier process of this controller may have confirmed others"
    );
    confirmed.set_first_revision(Revision(12));
    confirmed.record(job(2), Revision(13));
    confirmed.record(job(3), Revision(15));
    assert_eq!(
        request_pledge(&mut follower, &confirmed, 11),
        Err(PledgeRefusal::CancellationsUnknown),
        "the known cancellations begin at a later revision"
    );
    assert_eq!(request_pledge(&mut follower, &confirmed, 12), Ok(vec![job(2), job(3)]));
    assert_eq!(request_pledge(&mut follower, &confirmed, 13), Ok(vec![job(3)]));
    // Of more than MAX_CANCELLATIONS cancellations the oldest are dropped, so that the list is complete only from a
    // later revision on.
    for n in 0..MAX_CANCELLATIONS as u64 {
        confirmed.record(job(100 + n), Revision(100 + n));
    }
    assert_eq!(request_pledge(&mut follower, &confirmed, 13), Err(PledgeRefusal::CancellationsUnknown));
    assert_eq!(request_pledge(&mut follower, &confirmed, 15).map(|cancelled| cancelled.len()), Ok(MAX_CANCELLATIONS));
}

#[test]
fn leader_acts_only_on_recent_reads() {
    let mut leader = election();
    leader.elected(Term(7), LeaseId(1), MonotonicTime(10_000));
    // The leader renews its lease, but doesn't read the live jobs, so that it may not act any more.
    for t in 10..40 {
        leader.renewed(MonotonicTime(t * 1_000));
    }
    assert_eq!(leader.active_term(MonotonicTime(19_900)), Some(Term(7)));
    assert_eq!(leader.active_term(MonotonicTime(20_000)), None);
    leader.live_jobs_read(MonotonicTime(29_000), MonotonicTime(30_000), Revision(30));
    assert_eq!(leader.active_term(MonotonicTime(30_100)), Some(Term(7)));
    assert_eq!(leader.lease().unwrap().read_through, Revision(30));
    // After the lease has expired, the revision of a read may be of a later leader's term and is not recorded.
    leader.live_jobs_read(MonotonicTime(49_000), MonotonicTime(50_000), Revision(50));
    assert_eq!(leader.lease().unwrap().read_through, Revision(30));
}

#[test]
fn restarted_process_keeps_the_pledges_of_its_predecessor() {
    let restarted = election();
    assert!(!restarted.can_stand_for_election(MonotonicTime(4_000), true));
    assert!(restarted.can_stand_for_election(MonotonicTime(4_100), true));
    assert!(restarted.can_stand_for_election(MonotonicTime(0), false), "the cluster has never had a leader");
}
