//! Tests of the write queue: rate limit, backoff, transactions in flight and the fence refresh.

use super::WriteQueue;
use super::queue::WritePurpose;
use crate::core::election::LEADER_KEY;
use crate::core::records::BITMAP_SEQUENCE_KEY;
use crate::core::scheduler::CommitOutcome;
use crate::ids::{MachineId, RequestId, Revision, Term};
use crate::time::{Millis, MonotonicTime};

const START: MonotonicTime = MonotonicTime(1_000);
const RATE: f64 = 10.0;
const COMMITTED: CommitOutcome = CommitOutcome::Committed(Revision(9));

fn queue() -> WriteQueue {
    WriteQueue::new(Term(7), RATE, START)
}

fn after(millis: u64) -> MonotonicTime {
    START + Millis(millis)
}

fn machine(name: &str) -> MachineId {
    MachineId::parse(name).unwrap()
}

fn start(queue: &mut WriteQueue, request: u64) {
    queue.start(RequestId(request), WritePurpose::ShardAssignment, 1);
}

#[test]
fn rate_refills_up_to_one_second_of_mutations() {
    let mut queue = queue();
    queue.start(RequestId(1), WritePurpose::ShardAssignment, 25);
    assert!(!queue.has_tokens(-14.0), "10 - 25 tokens are left");
    queue.refill(after(1_500));
    assert!(queue.has_tokens(0.0) && !queue.has_tokens(0.5));
    queue.refill(after(1_750));
    assert_eq!(queue.whole_tokens(), 2);
    queue.refill(after(60_000));
    assert!(queue.has_tokens(RATE) && !queue.has_tokens(RATE + 0.1));
}

#[test]
fn spare_rate_needs_most_tokens_and_nothing_in_flight() {
    let mut queue = queue();
    assert!(queue.has_spare_rate());
    start(&mut queue, 1);
    assert!(!queue.has_spare_rate(), "a write is in flight");
    queue.finish(START, RequestId(1), &COMMITTED);
    assert!(queue.has_spare_rate(), "9 of 10 tokens are left");
    queue.start(RequestId(2), WritePurpose::ShardAssignment, 3);
    queue.finish(START, RequestId(2), &COMMITTED);
    assert!(!queue.has_spare_rate(), "6 of 10 tokens are left");
}

#[test]
fn at_most_six_commits_are_in_flight() {
    let mut queue = queue();
    for request in 1..=6 {
        assert!(queue.may_send(START) && queue.has_free_slot());
        start(&mut queue, request);
    }
    assert!(!queue.may_send(START) && !queue.has_free_slot());
    assert_eq!(queue.in_flight(), 6);
    assert!(queue.finish(START, RequestId(3), &COMMITTED).is_some());
    assert!(queue.may_send(START));
}

#[test]
fn a_result_counts_once_and_only_for_a_known_request() {
    let mut queue = queue();
    queue.start(RequestId(4), WritePurpose::DeleteBitmaps(vec!["bits/req-000001/0".into()]), 1);
    assert!(queue.is_in_flight(|purpose| matches!(purpose, WritePurpose::DeleteBitmaps(_))));
    assert!(!queue.is_in_flight(|purpose| matches!(purpose, WritePurpose::Machines { .. })));
    assert!(queue.finish(START, RequestId(5), &CommitOutcome::Unknown).is_none());
    assert!(queue.may_send(START) && !queue.needs_fence_refresh(), "an unknown request changes nothing");
    assert!(matches!(queue.finish(START, RequestId(4), &COMMITTED), Some(WritePurpose::DeleteBitmaps(_))));
    assert!(queue.finish(START, RequestId(4), &COMMITTED).is_none());
}

#[test]
fn results_decide_on_backoff_and_fence_refresh() {
    let conflict = |key: &str| CommitOutcome::Conflict(vec!["live/req-000001".into(), key.into()]);
    let cases = [
        (COMMITTED, false, false),
        (conflict("live/req-000002"), false, false),
        (conflict(LEADER_KEY), false, true),
        (CommitOutcome::Rejected, true, false),
        (CommitOutcome::Unknown, true, true),
    ];
    for (result, backoff, refresh) in cases {
        let mut queue = queue();
        start(&mut queue, 1);
        queue.finish(START, RequestId(1), &result);
        assert_eq!(!queue.may_send(after(299)), backoff, "{result:?}");
        assert!(queue.may_send(after(300)), "{result:?}");
        assert_eq!(queue.needs_fence_refresh(), refresh, "{result:?}");
    }
}

#[test]
fn a_fence_refresh_starts_once_and_takes_two_tokens() {
    let mut queue = queue();
    assert!(!queue.start_fence_refresh(), "none is due");
    queue.start(RequestId(1), WritePurpose::ShardAssignment, 8);
    queue.finish(START, RequestId(1), &CommitOutcome::Unknown);
    assert!(queue.start_fence_refresh());
    assert!(!queue.has_tokens(0.5), "the last two tokens are taken, for two mutations");
    assert!(!queue.start_fence_refresh(), "it is in flight");
    assert!(queue.needs_fence_refresh());
}

#[test]
fn a_fence_refresh_waits_for_the_rate() {
    let mut queue = queue();
    queue.start(RequestId(1), WritePurpose::ShardAssignment, 10);
    queue.finish(START, RequestId(1), &CommitOutcome::Unknown);
    assert!(!queue.start_fence_refresh());
    queue.refill(after(100));
    assert!(!queue.start_fence_refresh(), "one token is too few");
    queue.refill(after(200));
    assert!(queue.start_fence_refresh());
}

#[test]
fn only_a_newer_revision_ends_a_fence_refresh() {
    for stale in [None, Some(Revision(6)), Some(Revision(7))] {
        let mut queue = queue();
        start(&mut queue, 1);
        queue.finish(START, RequestId(1), &CommitOutcome::Unknown);
        assert!(queue.start_fence_refresh());
        assert!(!queue.on_fence_refreshed(after(1_000), stale), "{stale:?}");
        assert_eq!(queue.fence_revision(), Revision(7));
        assert!(!queue.may_send(after(1_299)) && queue.may_send(after(1_300)), "{stale:?}");
        assert!(queue.start_fence_refresh(), "it is due again after {stale:?}");
        assert!(queue.on_fence_refreshed(after(2_000), Some(Revision(8))));
        assert!(!queue.needs_fence_refresh());
        assert_eq!(queue.fence_precondition().revision, 8);
        assert_eq!(queue.fence_precondition().key, LEADER_KEY);
    }
}

#[test]
fn a_late_result_of_an_older_fence_revision_needs_no_further_refresh() {
    let mut queue = queue();
    start(&mut queue, 1);
    start(&mut queue, 2);
    start(&mut queue, 3);
    queue.finish(START, RequestId(1), &CommitOutcome::Unknown);
    assert!(queue.start_fence_refresh());
    queue.finish(START, RequestId(2), &CommitOutcome::Unknown);
    assert!(!queue.start_fence_refresh(), "the one in flight covers it");
    assert!(queue.on_fence_refreshed(START, Some(Revision(9))));
    queue.finish(START, RequestId(3), &CommitOutcome::Conflict(vec![LEADER_KEY.into()]));
    assert!(!queue.needs_fence_refresh());
}

#[test]
fn machines_stay_queued_until_their_deletion_is_committed() {
    let mut queue = queue();
    for name in ["m-3", "m-1", "m-2"] {
        queue.queue_machine_deletion(machine(name));
    }
    let first = queue.next_machines_to_delete(2);
    assert_eq!(first, [machine("m-1"), machine("m-2")]);
    assert_eq!(queue.next_machines_to_delete(2), first);
    queue.on_machines_deleted(&first);
    assert_eq!(queue.next_machines_to_delete(2), [machine("m-3")]);
}

#[test]
fn orphaned_bitmaps_are_taken_in_order() {
    let mut queue = queue();
    assert!(!queue.has_orphaned_bitmaps());
    queue.queue_bitmap_deletions(["a", "b", "c"].map(String::from));
    assert_eq!(queue.take_orphaned_bitmaps(2), ["a", "b"]);
    assert_eq!(queue.take_orphaned_bitmaps(2), ["c"]);
    assert!(!queue.has_orphaned_bitmaps() && queue.take_orphaned_bitmaps(2).is_empty());
}

#[test]
fn shards_are_unsaved_at_first_and_after_changes() {
    let mut queue = queue();
    assert!(queue.shards_unsaved());
    queue.set_shards_saved();
    assert!(!queue.shards_unsaved());
    queue.set_shards_unsaved();
    assert!(queue.shards_unsaved());
}

/// A queue whose fence revision was refreshed, so that the revision of the sequence key of bitmap writes is known.
fn refreshed_queue() -> WriteQueue {
    let mut queue = queue();
    queue.request_fence_refresh();
    assert!(queue.start_fence_refresh() && queue.on_fence_refreshed(START, Some(Revision(20))));
    queue
}

fn start_bitmaps(queue: &mut WriteQueue, request: u64) {
    queue.start(RequestId(request), WritePurpose::CompletionBitmaps(Vec::new()), 1);
}

#[test]
fn bitmap_writes_are_sent_one_at_a_time_and_each_is_conditional_on_the_one_before() {
    assert!(queue().bitmap_precondition().is_none(), "the key's revision isn't known before a refresh");
    let mut queue = refreshed_queue();
    assert_eq!(queue.bitmap_precondition().map(|precondition| precondition.revision), Some(20));
    start_bitmaps(&mut queue, 1);
    assert!(queue.bitmap_precondition().is_none(), "one is in flight");
    queue.finish(START, RequestId(1), &CommitOutcome::Committed(Revision(25)));
    assert_eq!(queue.bitmap_precondition().map(|precondition| precondition.revision), Some(25));
}

#[test]
fn results_of_bitmap_writes_decide_on_the_sequence() {
    let conflict = CommitOutcome::Conflict(vec![BITMAP_SEQUENCE_KEY.into()]);
    let cases = [
        (CommitOutcome::Committed(Revision(25)), Some(25)),
        (CommitOutcome::Rejected, Some(20)),
        (CommitOutcome::Unknown, None),
        (conflict, None),
    ];
    for (result, revision) in cases {
        let mut queue = refreshed_queue();
        start_bitmaps(&mut queue, 1);
        queue.finish(START, RequestId(1), &result);
        assert_eq!(queue.bitmap_precondition().map(|precondition| precondition.revision), revision, "{result:?}");
    }
}

#[test]
fn a_bitmap_result_from_before_a_refresh_does_not_change_the_sequence() {
    let mut queue = refreshed_queue();
    start_bitmaps(&mut queue, 1);
    queue.request_fence_refresh();
    assert!(queue.start_fence_refresh() && queue.on_fence_refreshed(START, Some(Revision(30))));
    queue.finish(START, RequestId(1), &CommitOutcome::Committed(Revision(25)));
    assert_eq!(queue.bitmap_precondition().map(|precondition| precondition.revision), Some(30));
}
