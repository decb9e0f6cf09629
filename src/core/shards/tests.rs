use super::*;

fn shards() -> ShardAssignment {
    ShardAssignment::new("a", ["b", "c"].map(String::from).into_iter(), 6, MonotonicTime(0))
}

#[test]
fn only_answering_controllers_get_shards() {
    let mut s = shards();
    assert_eq!(s.planner_for(1, MonotonicTime(100)), None, "never heard of");
    s.mark_responsive("b", MonotonicTime(100));
    assert_eq!(s.planner_for(0, MonotonicTime(200)), None, "the leader's own");
    assert_eq!(s.planner_for(1, MonotonicTime(200)), Some("b"));
    assert_eq!(s.planner_for(1, MonotonicTime(2_700)), None);
    s.mark_responsive("b", MonotonicTime(3_000));
    s.mark_unresponsive("b");
    assert_eq!(s.planner_for(1, MonotonicTime(3_100)), None);
}

#[test]
fn shards_leave_unanswering_controllers_and_follow_the_load() {
    let mut s = shards();
    s.mark_responsive("b", MonotonicTime(9_000));
    let moves = s.rebalance(MonotonicTime(10_000));
    assert_eq!(moves.len(), 2, "both teams of c");
    assert!(moves.iter().all(|(_, from, to)| from == "c" && to != "c"));
    for _ in 0..200 {
        s.record_load(1, 50);
        s.record_load(4, 40);
    }
    s.mark_responsive("b", MonotonicTime(20_000));
    let moves = s.rebalance(MonotonicTime(20_500));
    assert!(moves.len() == 1 && moves[0].1 == "b" && moves[0].2 == "a", "{moves:?}");
    s.mark_responsive("b", MonotonicTime(30_500));
    assert!(s.rebalance(MonotonicTime(31_000)).is_empty(), "even enough");
}

#[test]
fn stored_shards_are_restored_and_unknown_controllers_ignored() {
    let names: Vec<String> = (0..6).map(|i| format!("t{i}")).collect();
    let mut s = shards();
    let mut to_record = s.to_record(&names);
    to_record.insert("t0".into(), "c".into());
    to_record.insert("t1".into(), "gone".into());
    s.restore(&to_record, &names);
    s.mark_responsive("c", MonotonicTime(0));
    s.mark_responsive("b", MonotonicTime(0));
    assert_eq!((s.planner_for(0, MonotonicTime(1)), s.planner_for(1, MonotonicTime(1))), (Some("c"), Some("b")));
}
