//! What the key-value store keeps: keys, and the records under them.

use crate::samples::Samples;
use crate::values::{full_job, job_id, job_named, machine_type, sparse_job};
use fixedbitset::FixedBitSet;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use wallstile::config::{StoreLimits, UpcomingStoreLimits};
use wallstile::core::completion_bitmap::{BitmapLayout, parse_chunk_key};
use wallstile::core::election::{INITIALIZED_KEY, LEADER_KEY, LeaderRecord, SUCCESSOR_KEY};
use wallstile::core::machine::{MACHINE_PREFIX, MachineRecord, machine_key};
use wallstile::core::records::{
    BITMAP_PREFIX, LIVE_PREFIX, LiveRecord, TERMINAL_PREFIX, TerminalRecord, absent_preconditions, has_dependencies,
    live_key, live_precondition, terminal_key, termination_mutations,
};
use wallstile::core::shards::{SHARDS_KEY, ShardAssignment};
use wallstile::ids::{LeaseId, MachineId, Revision};
use wallstile::net::leader_loop::MACHINE_TYPES_KEY;
use wallstile::time::{MonotonicTime, WallTime};
use wallstile::wire::{JobPhase, Transaction};

const AT: WallTime = WallTime(1_700_000_000_123);

fn live(depends_on: &[&str]) -> LiveRecord {
    LiveRecord {
        submitted_at: AT,
        spec: full_job(),
        depends_on: depends_on.iter().map(|name| job_named(name)).collect(),
    }
}

#[test]
fn keys_are_the_samples() {
    let machine = MachineId::parse("m-000231").expect("it is the name of a machine");
    let keys = json!({
        "live": live_key(&job_id()),
        "over": terminal_key(&job_id()),
        "machine": machine_key(&machine),
        "leader": LEADER_KEY,
        "founded": INITIALIZED_KEY,
        "heir": SUCCESSOR_KEY,
        "kinds": MACHINE_TYPES_KEY,
        "shares": SHARDS_KEY,
        "prefixes": [LIVE_PREFIX, TERMINAL_PREFIX, BITMAP_PREFIX, MACHINE_PREFIX],
    });
    Samples::stored().assert_text("keys", &keys.to_string());
}

#[test]
fn live_records_are_kept_as_the_samples() {
    let sparse = LiveRecord { spec: sparse_job(), ..live(&[]) };
    let samples = Samples::stored();
    for (name, record, depends_on) in [
        ("live_plain", live(&[]), false),
        ("live_plain_sparse", sparse, false),
        ("live_waiting", live(&["req-000007", "req-0000000008"]), true),
    ] {
        samples.assert_kept(name, &record);
        assert_eq!(has_dependencies(&samples.read(name)), depends_on, "{name}");
    }
}

#[test]
fn terminal_records_are_kept_as_the_samples() {
    let samples = Samples::stored();
    for (name, record) in [
        ("over_done", TerminalRecord::done(17, AT)),
        ("over_cancelled", TerminalRecord::cancelled(17)),
        ("over_done_by_an_earlier_version", TerminalRecord { phase: JobPhase::Done, tasks: 17, at: None }),
    ] {
        samples.assert_kept(name, &record);
    }
}

#[test]
fn job_mutations_are_the_samples() {
    let samples = Samples::stored();
    let begun = Transaction { preconditions: absent_preconditions(&job_id()), mutations: Vec::new() };
    samples.assert_both_ways("guards_of_a_new_job", &begun);
    let record = TerminalRecord::done(17, AT);
    let ended = Transaction {
        preconditions: vec![live_precondition(&job_id(), Revision(9001))],
        mutations: termination_mutations(&job_id(), &record).into(),
    };
    samples.assert_both_ways("ending_of_a_job", &ended);
}

#[test]
fn machine_records_are_kept_as_the_samples() {
    let record = MachineRecord { endpoint: "10.1.0.7:9000".into(), kind: "g8".into(), zone: "a".into(), spot: true };
    Samples::stored().assert_kept("machine", &record);
    Samples::stored().assert_kept("machine_types", &vec![machine_type()]);
}

#[test]
fn leader_record_is_kept_as_the_sample() {
    let samples = Samples::stored();
    let record = LeaderRecord { node: "plinth-0".into(), incarnation: 77, lease: LeaseId(12) };
    samples.assert_kept("leader", &record);
    let earlier: LeaderRecord = samples.read("leader_by_an_earlier_version");
    assert_eq!(earlier, record);
}

#[test]
fn shards_are_kept_as_the_sample() {
    let teams = ["team-a".to_string(), "team-b".to_string()];
    let mut shares = ShardAssignment::new("plinth-0", ["plinth-1".to_string()].into_iter(), 2, MonotonicTime(0));
    let samples = Samples::stored();
    let kept: BTreeMap<String, String> = samples.read("shares");
    assert_ne!(shares.to_record(&teams), kept);
    shares.restore(&kept, &teams);
    samples.assert_text("shares", &json!(shares.to_record(&teams)).to_string());
}

/// Chunks of 150 tasks, which become the limit later; today's chunks hold 306.
fn layout() -> BitmapLayout {
    let next = UpcomingStoreLimits { max_value_kb: Some(0.05), ..UpcomingStoreLimits::default() };
    BitmapLayout::new(&StoreLimits { rps: 100.0, write_rps: 20.0, max_value_kb: 0.1, max_transaction_ops: 12, next })
}

fn set_of(tasks: usize, done: &[usize]) -> FixedBitSet {
    let mut set = FixedBitSet::with_capacity(tasks);
    set.extend(done.iter().copied());
    set
}

#[test]
fn completion_bitmaps_are_kept_as_the_samples() {
    let samples = Samples::stored();
    for (name, tasks, done) in
        [("done_set_small", 20, vec![0, 3, 19]), ("done_set_large", 200, vec![1, 8, 149, 150, 153, 199])]
    {
        let set = set_of(tasks as usize, &done);
        let rows = layout().chunks(tasks);
        let written: BTreeMap<String, Value> = rows.iter().map(|row| (row.key(&job_id()), row.encode(&set))).collect();
        samples.assert_text(name, &json!(written).to_string());
        assert_eq!(read_set(name, tasks as usize), set, "{name}");
    }
}

#[test]
fn completion_bitmaps_of_an_earlier_version_are_read() {
    assert_eq!(read_set("done_set_by_an_earlier_version", 400), set_of(400, &[2, 305, 306, 315]));
}

/// The bitmap that the chunks of a sample make up.
fn read_set(name: &str, tasks: usize) -> FixedBitSet {
    let rows: BTreeMap<String, Value> = Samples::stored().read(name);
    let mut set = FixedBitSet::with_capacity(tasks);
    for (key, value) in &rows {
        let (job, number) = parse_chunk_key(key).expect("it is the key of a row");
        assert_eq!(job, job_id(), "{key}");
        assert!(layout().read_chunk(&mut set, number, value), "{key}");
    }
    set
}
