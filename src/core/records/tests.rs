//! Tests that different versions of the program can read each other's records, or ignore records that they must not
//! act on.

use super::*;
use serde_json::json;

/// The records as declared by versions without support for dependencies.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierLiveRecord {
    at: WallTime,
    spec: JobSpec,
}
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierTerminalRecord {
    phase: JobPhase,
    tasks: u32,
}

fn spec() -> JobSpec {
    serde_json::from_value(json!({"id": "req-000412", "berth": "train", "crew": "team-a", "shape": "batch",
        "rank": "high", "lots": 4, "cores": 8.0, "gpus": 1.0, "ram_gb": 64.0, "cast": "img-07", "pull_gb": 6.2,
        "same_place": true, "apart": false, "loaner": true, "expect_s": 240.0, "mark_s": 30.0, "stow_s": 4.0}))
    .unwrap()
}

fn read<T: serde::de::DeserializeOwned>(value: &Value) -> Option<T> {
    serde_json::from_value(value.clone()).ok()
}

#[test]
fn live_records_without_dependencies_are_identical_in_all_versions() {
    let record = LiveRecord { submitted_at: WallTime(7), spec: spec(), depends_on: Vec::new() };
    let earlier = EarlierLiveRecord { at: WallTime(7), spec: spec() };
    assert_eq!(json!(record), json!(earlier));
    assert!(!has_dependencies(&json!(record)));
    assert_eq!(read::<LiveRecord>(&json!(earlier)), Some(record));
}

#[test]
fn an_earlier_version_cannot_read_a_job_with_dependencies() {
    let depends_on = vec![JobId::parse("req-000398").unwrap(), JobId::parse("req-0000405").unwrap()];
    let record = LiveRecord { submitted_at: WallTime(7), spec: spec(), depends_on };
    assert_eq!(read::<EarlierLiveRecord>(&json!(record)), None);
    assert!(has_dependencies(&json!(record)));
    assert_eq!(read::<LiveRecord>(&json!(record)), Some(record));
}

#[test]
fn terminal_records_are_read_by_all_versions() {
    for record in [TerminalRecord::done(3, WallTime(9)), TerminalRecord::cancelled(3)] {
        let earlier = EarlierTerminalRecord { phase: record.phase, tasks: 3 };
        assert_eq!(read::<EarlierTerminalRecord>(&json!(record)).as_ref(), Some(&earlier));
        assert_eq!(read::<TerminalRecord>(&json!(earlier)).map(|record| record.phase), Some(record.phase));
    }
    assert_eq!(
        read::<TerminalRecord>(&json!({"phase": "done", "tasks": 1})).unwrap().outcome(),
        JobOutcome::Done(None)
    );
}
