use super::*;

fn assignment() -> ShardAssignment {
    ShardAssignment::new("a", ["b", "c"].map(String::from).into_iter(), 6, MonotonicTime(0))
}

#[test]
fn planner_for_is_the_leader_unless_the_owner_has_responded() {
    let mut shards = assignment();
    assert_eq!(shards.planner_for(1, MonotonicTime(100)), None, "b has never responded");
    shards.mark_responsive("b", MonotonicTime(100));
    assert_eq!(shards.planner_for(0, MonotonicTime(200)), None, "team 0 is the leader's own");
    assert_eq!(shards.planner_for(1, MonotonicTime(200)), Some("b"));
    assert_eq!(shards.planner_for(1, MonotonicTime(2_700)), None);
    shards.mark_responsive("b", MonotonicTime(3_000));
    shards.mark_unresponsive("b");
    assert_eq!(shards.planner_for(1, MonotonicTime(3_100)), None);
}

#[test]
fn rebalance_moves_teams_from_unresponsive_controllers_and_by_load() {
    let mut shards = assignment();
    shards.mark_responsive("b", MonotonicTime(9_000));
    let moves = shards.rebalance(MonotonicTime(10_000));
    assert_eq!(moves.len(), 2, "both teams of c");
    assert!(moves.iter().all(|shard_move| shard_move.from == "c" && shard_move.to != "c"));
    for _ in 0..200 {
        shards.record_load(1, 50);
        shards.record_load(4, 40);
    }
    shards.mark_responsive("b", MonotonicTime(20_000));
    let moves = shards.rebalance(MonotonicTime(20_500));
    assert!(moves.len() == 1 && moves[0].from == "b" && moves[0].to == "a", "{moves:?}");
    shards.mark_responsive("b", MonotonicTime(30_500));
    assert!(shards.rebalance(MonotonicTime(31_000)).is_empty(), "the load is even enough");
}

#[test]
fn restore_applies_stored_owners_and_ignores_unknown_controllers() {
    let names: Vec<String> = (0..6).map(|i| format!("t{i}")).collect();
    let mut shards = assignment();
    let mut record = shards.to_record(&names);
    record.insert("t0".into(), "c".into());
    record.insert("t1".into(), "gone".into());
    shards.restore(&record, &names);
    shards.mark_responsive("c", MonotonicTime(0));
    shards.mark_responsive("b", MonotonicTime(0));
    assert_eq!(
        (shards.planner_for(0, MonotonicTime(1)), shards.planner_for(1, MonotonicTime(1))),
        (Some("c"), Some("b"))
    );
}
