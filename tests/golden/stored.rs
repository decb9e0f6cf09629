//! Golden tests of the keys of the key-value store and of the records stored under them.

use crate::samples::Samples;
use crate::values::{full_job, job_id, machine_type, parse_job_id, sparse_job};
use fixedbitset::FixedBitSet;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use wallstile::config::{StoreLimits, UpcomingStoreLimits};
use wallstile::core::completion_bitmap::{BitmapLayout, parse_chunk_key};
use wallstile::core::election::{INITIALIZED_KEY, LEADER_KEY, LeaderRecord, SUCCESSOR_KEY};
use wallstile::core::machine::{MACHINE_PREFIX, MachineRecord, machine_key};
use wallstile::core::records::{
    BITMAP_PREFIX, BITMAP_SEQUENCE_KEY, LIVE_PREFIX, LiveRecord, TERMINAL_PREFIX, TerminalRecord, absent_preconditions,
    has_dependencies, live_key, live_precondition, terminal_key, termination_mutations,
};
use wallstile::core::shards::{SHARDS_KEY, ShardAssignment};
use wallstile::ids::{LeaseId, MachineId, Revision};
use wallstile::net::leader_loop::MACHINE_TYPES_KEY;
use wallstile::time::{MonotonicTime, WallTime};
use wallstile::wire::{JobPhase, Transaction};

const TIMESTAMP: WallTime = WallTime(1_700_000_000_123);

fn live_record(depends_on: &[&str]) -> LiveRecord {
    LiveRecord {
        submitted_at: TIMESTAMP,
        spec: full_job(),
        depends_on: depends_on.iter().map(|id| parse_job_id(id)).collect(),
    }
}

#[test]
fn keys_match_samples() {
    let machine = MachineId::parse("m-000231").expect("a valid machine id");
    let keys = json!({
        "live": live_key(&job_id()),
        "over": terminal_key(&job_id()),
        "machine": machine_key(&machine),
        "leader": LEADER_KEY,
        "bitmap_sequence": BITMAP_SEQUENCE_KEY,
        "founded": INITIALIZED_KEY,
        "heir": SUCCESSOR_KEY,
        "kinds": MACHINE_TYPES_KEY,
        "shares": SHARDS_KEY,
        "prefixes": [LIVE_PREFIX, TERMINAL_PREFIX, BITMAP_PREFIX, MACHINE_PREFIX],
    });
    Samples::stored().assert_text("keys", &keys.to_string());
}

#[test]
fn live_records_match_samples() {
    let sparse = LiveRecord { spec: sparse_job(), ..live_record(&[]) };
    let samples = Samples::stored();
    for (name, record, depends_on) in [
        ("live_plain", live_record(&[]), false),
        ("live_plain_sparse", sparse, false),
        ("live_waiting", live_record(&["req-000007", "req-0000000008"]), true),
    ] {
        samples.assert_stored(name, &record);
        assert_eq!(has_dependencies(&samples.read(name)), depends_on, "{name}");
    }
}

#[test]
fn terminal_records_match_samples() {
    let samples = Samples::stored();
    for (name, record) in [
        ("over_done", TerminalRecord::done(17, TIMESTAMP)),
        ("over_cancelled", TerminalRecord::cancelled(17)),
        ("over_done_by_an_earlier_version", TerminalRecord { phase: JobPhase::Done, tasks: 17, at: None }),
    ] {
        samples.assert_stored(name, &record);
    }
}

#[test]
fn job_transactions_match_samples() {
    let samples = Samples::stored();
    let submission = Transaction { preconditions: absent_preconditions(&job_id()), mutations: Vec::new() };
    samples.assert_round_trip("guards_of_a_new_job", &submission);
    let record = TerminalRecord::done(17, TIMESTAMP);
    let termination = Transaction {
        preconditions: vec![live_precondition(&job_id(), Revision(9001))],
        mutations: termination_mutations(&job_id(), &record).into(),
    };
    samples.assert_round_trip("ending_of_a_job", &termination);
}

#[test]
fn machine_records_match_samples() {
    let record = MachineRecord { endpoint: "10.1.0.7:9000".into(), kind: "g8".into(), zone: "a".into(), spot: true };
    Samples::stored().assert_stored("machine", &record);
    Samples::stored().assert_stored("machine_types", &vec![machine_type()]);
}

#[test]
fn leader_record_matches_sample() {
    let samples = Samples::stored();
    let record = LeaderRecord { node: "plinth-0".into(), incarnation: 77, lease: LeaseId(12) };
    samples.assert_stored("leader", &record);
    let earlier_version: LeaderRecord = samples.read("leader_by_an_earlier_version");
    assert_eq!(earlier_version, record);
}

#[test]
fn shard_assignment_matches_sample() {
    let teams = ["team-a".to_string(), "team-b".to_string()];
    let mut assignment = ShardAssignment::new("plinth-0", ["plinth-1".to_string()].into_iter(), 2, MonotonicTime(0));
    let samples = Samples::stored();
    let stored: BTreeMap<String, String> = samples.read("shares");
    assert_ne!(assignment.to_record(&teams), stored);
    assignment.restore(&stored, &teams);
    samples.assert_text("shares", &json!(assignment.to_record(&teams)).to_string());
}

/// Returns the layout of completion bitmaps with 150 tasks per stored chunk, as the upcoming limit on value sizes
/// requires. Earlier versions used the current limit, under which chunks have 306 tasks.
fn layout() -> BitmapLayout {
    let next = UpcomingStoreLimits { max_value_kb: Some(0.05), ..UpcomingStoreLimits::default() };
    BitmapLayout::new(&StoreLimits { rps: 100.0, write_rps: 20.0, max_value_kb: 0.1, max_transaction_ops: 12, next })
}

fn new_bitmap(tasks: usize, done: &[usize]) -> FixedBitSet {
    let mut bitmap = FixedBitSet::with_capacity(tasks);
    bitmap.extend(done.iter().copied());
    bitmap
}

#[test]
fn completion_bitmaps_match_samples() {
    let samples = Samples::stored();
    for (name, tasks, done) in
        [("done_set_small", 20, vec![0, 3, 19]), ("done_set_large", 200, vec![1, 8, 149, 150, 153, 199])]
    {
        let bitmap = new_bitmap(tasks as usize, &done);
        let chunks = layout().chunks(tasks);
        let written: BTreeMap<String, Value> =
            chunks.iter().map(|chunk| (chunk.key(&job_id()), chunk.encode(&bitmap))).collect();
        samples.assert_text(name, &json!(written).to_string());
        assert_eq!(read_bitmap(name, tasks as usize), bitmap, "{name}");
    }
}

#[test]
fn completion_bitmaps_of_an_earlier_version_are_read() {
    assert_eq!(read_bitmap("done_set_by_an_earlier_version", 400), new_bitmap(400, &[2, 305, 306, 315]));
}

/// Decodes the completion bitmap whose chunks are in the sample of the given name.
fn read_bitmap(name: &str, tasks: usize) -> FixedBitSet {
    let chunks: BTreeMap<String, Value> = Samples::stored().read(name);
    let mut bitmap = FixedBitSet::with_capacity(tasks);
    for (key, value) in &chunks {
        let (job, chunk_number) = parse_chunk_key(key).expect("the key of a bitmap chunk");
        assert_eq!(job, job_id(), "{key}");
        assert!(layout().read_chunk(&mut bitmap, chunk_number, value), "{key}");
    }
    bitmap
}
