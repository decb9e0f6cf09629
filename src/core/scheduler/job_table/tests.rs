use super::*;
use crate::core::records::LiveRecord;
use crate::ids::Revision;
use crate::time::WallTime;
use serde_json::json;

const START: MonotonicTime = MonotonicTime(1_000);

fn id(number: usize) -> JobId {
    JobId::parse(&format!("req-{number:06}")).unwrap()
}

/// A job submitted at 10 s, stored at this revision.
fn job(revision: u64, depends_on: &[usize]) -> Job {
    let spec = json!({
        "id": "req-000001", "berth": "web", "crew": "shop", "shape": "batch", "rank": "low", "lots": 2,
        "cores": 1.0, "gpus": 0.0, "ram_gb": 1.0, "cast": "img", "pull_gb": 1.0, "same_place": false,
        "apart": false, "loaner": true, "expect_s": 5.0, "mark_s": 0.0, "stow_s": 0.0
    });
    let spec = serde_json::from_value(spec).unwrap();
    let depends_on = depends_on.iter().map(|number| id(*number)).collect();
    Job::new(LiveRecord { submitted_at: WallTime(10_000), spec, depends_on }, Revision(revision), 0)
}

fn table(jobs: &[(usize, &[usize])]) -> JobTable {
    let mut table = JobTable::new(START);
    for (number, depends_on) in jobs {
        table.insert(id(*number), job(*number as u64, depends_on));
    }
    table
}

fn cancelled(table: &JobTable) -> Vec<JobId> {
    table.cascade_cancelled().map(|(id, _)| *id).collect()
}

#[test]
fn a_done_job_releases_its_dependents() {
    let mut table = table(&[(1, &[]), (2, &[1]), (3, &[1, 2])]);
    assert!(table.has_dependents(&id(1)) && !table.has_dependents(&id(3)));
    let termination = table.terminate(&id(1), JobOutcome::Done(Some(WallTime(25_000))));
    assert!(termination.job.is_some() && termination.released_dependents);
    assert!(table.get(&id(1)).is_none() && !table.has_dependents(&id(1)));
    let (second, third) = (table.get(&id(2)).unwrap(), table.get(&id(3)).unwrap());
    assert!(!second.is_waiting());
    assert_eq!(second.startable_at, WallTime(25_000));
    assert!(third.is_waiting(), "it depends on the second as well");
}

#[test]
fn a_done_job_without_a_time_leaves_the_time_of_submission() {
    let mut table = table(&[(1, &[]), (2, &[1])]);
    assert!(table.terminate(&id(1), JobOutcome::Done(None)).released_dependents);
    assert_eq!(table.get(&id(2)).unwrap().startable_at, WallTime(10_000));
}

#[test]
fn a_cancelled_job_cancels_all_that_depend_on_it() {
    let mut table = table(&[(1, &[]), (2, &[1]), (3, &[2]), (4, &[])]);
    let termination = table.terminate(&id(1), JobOutcome::Cancelled);
    assert!(termination.job.is_some() && !termination.released_dependents);
    assert_eq!(cancelled(&table), [id(2), id(3)]);
    table.terminate(&id(2), JobOutcome::Cancelled);
    assert_eq!(cancelled(&table), [id(3)]);
    assert!(table.get(&id(3)).unwrap().is_waiting());
}

#[test]
fn the_end_of_a_job_that_is_not_live_reaches_its_dependents() {
    let mut table = table(&[(2, &[1])]);
    let termination = table.terminate(&id(1), JobOutcome::Done(None));
    assert!(termination.job.is_none() && termination.released_dependents);
}

#[test]
fn an_unknown_outcome_is_looked_up() {
    let mut table = table(&[(1, &[]), (2, &[1])]);
    assert!(table.start_lookup(START).is_empty(), "the dependency is live");
    table.terminate(&id(1), JobOutcome::Unknown);
    assert!(table.get(&id(2)).unwrap().is_waiting());
    assert_eq!(table.start_lookup(START), [id(1)]);
    assert!(table.start_lookup(START).is_empty(), "a lookup is in flight");
    table.finish_lookup(START, false);
    assert!(table.start_lookup(START + Millis(499)).is_empty());
    assert_eq!(table.start_lookup(START + Millis(500)), [id(1)]);
    table.finish_lookup(START + Millis(600), true);
    assert_eq!(
        table.start_lookup(START + Millis(600)),
        [id(1)],
        "only a lookup that found nothing delays the next one"
    );
}

#[test]
fn an_empty_lookup_does_not_block_the_next_one() {
    let mut table = table(&[(1, &[])]);
    assert!(table.start_lookup(START).is_empty());
    table.insert(id(2), job(2, &[9]));
    assert_eq!(table.start_lookup(START), [id(9)]);
}

#[test]
fn recently_ended_jobs_are_remembered() {
    let mut table = table(&[]);
    for number in 0..=MAX_RECENTLY_TERMINATED {
        table.terminate(&id(number), JobOutcome::Cancelled);
        table.terminate(&id(number), JobOutcome::Cancelled);
    }
    assert!(!table.is_known(&id(0)), "the oldest ended job is no longer remembered");
    assert!((1..=MAX_RECENTLY_TERMINATED).all(|number| table.is_known(&id(number))));
}

#[test]
fn missing_from_ignores_jobs_newer_than_the_list() {
    let table = table(&[(3, &[]), (4, &[]), (5, &[])]);
    assert_eq!(table.missing_from(&BTreeSet::from([id(3)]), 4), [id(4)]);
    assert_eq!(table.missing_from(&BTreeSet::new(), 5), [id(3), id(4), id(5)]);
}

#[test]
fn inherited_priorities_are_set_and_reset() {
    use crate::wire::Priority;
    let mut table = table(&[(1, &[]), (2, &[])]);
    let high = InheritedConstraints { priority: Priority::High, due_s: None, slo_deadlines: vec![], rank_s: 1.0 };
    let inherited = BTreeMap::from([(id(1), high)]);
    assert_eq!(table.set_inherited(inherited.clone()), [id(1)]);
    assert!(table.set_inherited(inherited).is_empty(), "nothing has changed");
    assert_eq!(table.get(&id(1)).unwrap().priority(), Priority::High);
    assert_eq!(table.set_inherited(BTreeMap::new()), [id(1)]);
    assert_eq!(table.get(&id(1)).unwrap().priority(), Priority::Low);
}
