//! Tests of the state of a single job, and of the run time estimates of classes.

use super::*;
use serde_json::json;

const MACHINE: &str = "m-1";
const OTHER_MACHINE: &str = "m-2";

fn machine(name: &str) -> MachineId {
    MachineId::parse(name).unwrap()
}

fn place(name: &str, attempt: u64) -> TaskPlace {
    TaskPlace { machine: machine(name), zone: 0, attempt: Attempt(attempt) }
}

/// A job of three tasks, submitted at 10 s.
fn job() -> Job {
    let spec = json!({
        "id": "req-000001", "berth": "web", "crew": "shop", "shape": "batch", "rank": "normal", "lots": 3,
        "cores": 1.0, "gpus": 0.0, "ram_gb": 1.0, "cast": "img", "pull_gb": 1.0, "same_place": false,
        "apart": false, "loaner": true, "expect_s": 5.0, "mark_s": 0.0, "stow_s": 0.0
    });
    let spec = serde_json::from_value(spec).unwrap();
    Job::new(LiveRecord { submitted_at: WallTime(10_000), spec, depends_on: Vec::new() }, Revision(1), 0)
}

fn ready(job: &Job) -> Vec<u32> {
    job.ready.iter().collect()
}

fn bitmap(tasks: &[usize]) -> FixedBitSet {
    let mut bitmap = FixedBitSet::with_capacity(3);
    bitmap.extend(tasks.iter().copied());
    bitmap
}

#[test]
fn a_placed_task_is_ready_again_only_once_all_its_attempts_are_gone() {
    let mut job = job();
    job.place(1, place(MACHINE, 7));
    job.place(1, place(MACHINE, 7));
    job.place(1, place(OTHER_MACHINE, 8));
    assert_eq!(job.places().count(), 2);
    job.unplace(1, &machine(MACHINE), Attempt(7));
    job.requeue(1, true);
    assert_eq!(ready(&job), [0, 2]);
    job.unplace(1, &machine(OTHER_MACHINE), Attempt(7));
    assert_eq!(job.places().count(), 1, "an attempt that is not there is ignored");
    job.unplace(1, &machine(OTHER_MACHINE), Attempt(8));
    job.requeue(1, true);
    assert_eq!(ready(&job), [0, 1, 2]);
    assert!(job.reclaimed.contains(1) && job.placed.is_empty());
    job.place(1, place(MACHINE, 9));
    assert!(job.reclaimed.is_empty());
}

#[test]
fn a_done_task_counts_once_and_is_never_ready_again() {
    let mut job = job();
    job.set_done(2);
    job.set_done(2);
    job.requeue(2, false);
    assert_eq!((job.done_count, ready(&job)), (1, vec![0, 1]));
    job.set_done(0);
    assert!(!job.all_done());
    job.set_done(1);
    assert!(job.all_done());
}

#[test]
fn a_bitmap_is_unsaved_while_it_differs_and_no_write_is_in_flight() {
    let mut job = job();
    assert!(!job.has_unsaved_bitmap(), "nothing to write while no task is done");
    job.set_done(1);
    assert!(job.has_unsaved_bitmap());
    job.start_bitmap_write();
    assert!(!job.has_unsaved_bitmap());
    job.finish_bitmap_write(None);
    assert!(job.has_unsaved_bitmap() && !job.is_durably_done(1), "a failed write stores nothing");
    job.start_bitmap_write();
    job.finish_bitmap_write(Some(bitmap(&[1])));
    assert!(!job.has_unsaved_bitmap() && job.is_durably_done(1));
    job.set_done(0);
    assert!(job.has_unsaved_bitmap());
    job.set_done(2);
    assert!(!job.has_unsaved_bitmap(), "the terminal record is written instead of the bitmap");
}

#[test]
fn a_loaded_bitmap_counts_as_done_and_durably_done() {
    let mut job = job();
    assert!(job.load_bitmap(|bitmap| {
        bitmap.insert(2);
        true
    }));
    assert!(!job.load_bitmap(|_| false));
    assert_eq!((job.done(), job.durably_done()), (&bitmap(&[2]), &bitmap(&[2])));
    assert_eq!((job.done_count, ready(&job)), (1, vec![0, 1]));
}

#[test]
fn a_job_that_failed_recently_on_two_machines_is_at_fault() {
    let mut job = job();
    job.last_failure_by_machine.insert(machine(MACHINE), MonotonicTime(0));
    assert!(!job.is_at_fault(MonotonicTime(0)));
    job.last_failure_by_machine.insert(machine(OTHER_MACHINE), MonotonicTime(1_000));
    assert!(job.is_at_fault(MonotonicTime(149_999)));
    assert!(!job.is_at_fault(MonotonicTime(150_000)), "the first failure is outside the window");
    job.set_done(0);
    assert!(!job.is_at_fault(MonotonicTime(1_000)), "a job with a done task is not at fault");
}

#[test]
fn a_job_avoids_a_machine_where_it_failed_for_the_quarantine_period() {
    let mut job = job();
    job.last_failure_by_machine.insert(machine(MACHINE), MonotonicTime(5));
    let end = MonotonicTime(5) + QUARANTINE_PERIOD;
    assert!(job.avoids(&machine(MACHINE), MonotonicTime(end.0 - 1)) && !job.avoids(&machine(MACHINE), end));
    assert!(!job.avoids(&machine(OTHER_MACHINE), MonotonicTime(5)));
}

#[test]
fn an_attempt_may_continue_unless_its_task_is_done_or_its_gang_broken() {
    let mut job = job();
    let attempt = |index, attempt| (TaskId { job: JobId::parse("req-000001").unwrap(), index }, Attempt(attempt));
    job.gang = Some(GangRun::new(Attempt(7)));
    job.set_done(0);
    assert!(!job.may_continue(&attempt(0, 7)) && job.may_continue(&attempt(1, 7)));
    job.gang = Some(GangRun { broken: true, ..GangRun::new(Attempt(7)) });
    assert!(!job.may_continue(&attempt(1, 7)) && job.may_continue(&attempt(1, 8)));
}

#[test]
fn ages_count_from_submission_and_from_when_the_job_could_start() {
    let mut job = job();
    let ages =
        |job: &Job, wall| (job.ages(WallTime(wall)).since_submission_s, job.ages(WallTime(wall)).since_startable_s);
    assert_eq!(ages(&job, 12_500), (2.5, 2.5));
    assert_eq!(ages(&job, 9_000), (0.0, 0.0), "an age is never negative, even if clocks differ");
    job.startable_at = WallTime(12_000);
    assert_eq!(ages(&job, 12_500), (2.5, 0.5));
    job.depends_on.insert(JobId::parse("req-000002").unwrap());
    assert_eq!(ages(&job, 12_500), (2.5, 0.0));
    assert_eq!(job.startable_tasks(), 0);
}

#[test]
fn measured_run_times_correct_the_estimates_of_a_class() {
    let mut times = ClassRunTimes::default();
    assert_eq!(times.expected_run_s("x", 10.0), 10.0);
    for _ in 0..200 {
        times.record("x", 10.0, 20.0);
    }
    assert!((times.expected_run_s("x", 10.0) - 20.0).abs() < 0.1);
    for i in 0..1000 {
        times.record(&format!("c{i}"), 1.0, 1.0);
    }
    assert!(times.ratios.len() <= MAX_CLASSES);
}
