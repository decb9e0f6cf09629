use super::*;
use crate::core::machine::Allocation;
use crate::core::records::LiveRecord;
use crate::core::scheduler::tests::machine_types;
use crate::ids::{Attempt, FencingToken, Revision, TaskId, Term};
use crate::time::{MonotonicTime, WallTime};
use crate::wire::{JobKind, JobSpec, Priority, TaskPhase};

const LIMITED: u32 = 0;
const UNBOUNDED: u32 = 1;

fn team(name: &str, guaranteed_cpus: f64, max_cpus: f64) -> Team {
    Team { name: name.into(), guaranteed_cpus, max_cpus, guaranteed_gpus: 0.0, max_gpus: 0.0 }
}

fn tracker() -> QuotaTracker {
    QuotaTracker::new(&[team("limited", 8.0, 16.0), team("unbounded", 0.0, 0.0)])
}

fn cpus(cpus: f64) -> Resources {
    Resources { cpus, memory_gb: 1.0, ..Resources::TASK_SLOT }
}

fn job_id(number: u32) -> JobId {
    JobId::parse(&format!("req-{number:06}")).unwrap()
}

fn allocation(team: Option<u32>, phase: TaskPhase) -> Allocation {
    Allocation {
        need: cpus(4.0),
        team,
        priority: Priority::Normal,
        phase: Some(phase),
        pending_run: None,
        run_token: FencingToken::NONE,
        last_task_list: 0,
        placed_at: MonotonicTime(0),
        running_since: None,
        fully_observed: true,
        stop_leeway_s: None,
        image: 0,
        fetch_s: 0.0,
        run_s: 1.0,
    }
}

/// One machine with these allocations, each of a job of its own.
fn fleet(allocations: Vec<Allocation>) -> BTreeMap<MachineId, Machine> {
    let mut machine = Machine::new("w0".into(), 0, 0, false, MonotonicTime(0));
    for (number, allocation) in allocations.into_iter().enumerate() {
        let task = TaskId { job: job_id(number as u32), index: 0 };
        machine.allocations.insert((task, Attempt::new(Term(100), number as u64)), allocation);
    }
    BTreeMap::from([(MachineId::parse("m-1").unwrap(), machine)])
}

fn job(team: u32, tasks: u32, submitted: u64) -> Job {
    let spec = JobSpec {
        id: "req-000001".into(),
        class: "any".into(),
        team: "limited".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "img".into(),
        image_gb: 1.0,
        allowed_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        allows_spot: false,
        estimated_run_s: 20.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_s: 0.0,
        deadline_s: None,
    };
    Job::new(LiveRecord { submitted_at: WallTime(submitted), spec, depends_on: Vec::new() }, Revision(1), team)
}

#[test]
fn fits_counts_possible_usage_against_the_limit() {
    let fleet = fleet(vec![
        allocation(Some(LIMITED), TaskPhase::Running),
        allocation(Some(LIMITED), TaskPhase::Exited),
        allocation(Some(UNBOUNDED), TaskPhase::Running),
    ]);
    let mut quota = tracker();
    assert!(quota.fits(LIMITED, &cpus(4.0), 3.0, &fleet, &machine_types()), "4 used and 12 more reach the limit of 16");
    assert!(!quota.fits(LIMITED, &cpus(4.0), 4.0, &fleet, &machine_types()));
    assert!(quota.fits(UNBOUNDED, &cpus(4.0), 1_000.0, &fleet, &machine_types()), "no limit is set");
    assert!(!quota.fits(2, &cpus(1.0), 1.0, &fleet, &machine_types()), "an unknown team may not start any task");
}

#[test]
fn a_machine_with_unknown_tasks_counts_fully_against_every_limit() {
    for has_unknown_team in [true, false] {
        let allocation_team = if has_unknown_team { None } else { Some(UNBOUNDED) };
        let mut fleet = fleet(vec![allocation(allocation_team, TaskPhase::Running)]);
        let mut quota = tracker();
        assert_eq!(quota.fits(LIMITED, &cpus(16.0), 1.0, &fleet, &machine_types()), !has_unknown_team);
        fleet.values_mut().for_each(|machine| machine.reconciled = false);
        quota.invalidate_usage();
        assert!(!quota.fits(LIMITED, &cpus(9.0), 1.0, &fleet, &machine_types()));
        assert!(quota.fits(LIMITED, &cpus(8.0), 1.0, &fleet, &machine_types()));
    }
}

#[test]
fn usage_includes_starts_at_once_and_other_changes_after_invalidation() {
    let mut quota = tracker();
    let empty = fleet(Vec::new());
    assert!(quota.fits(LIMITED, &cpus(16.0), 1.0, &empty, &machine_types()));
    quota.record_start(LIMITED, &cpus(4.0));
    assert!(!quota.fits(LIMITED, &cpus(13.0), 1.0, &empty, &machine_types()));
    let headrooms = quota.headrooms(&empty, &machine_types());
    assert_eq!((headrooms[0].cpus, headrooms[0].gpus), (12.0, UNLIMITED));
    assert_eq!((headrooms[1].cpus, headrooms[1].gpus), (UNLIMITED, UNLIMITED));
    quota.invalidate_usage();
    assert_eq!(quota.headrooms(&empty, &machine_types())[0].cpus, 16.0, "recomputed from the machines");
}

#[test]
fn a_guarantee_covers_the_earliest_jobs_that_fit_together() {
    let mut quota = tracker();
    let mut waiting = job(LIMITED, 8, 0);
    waiting.depends_on.insert(job_id(9));
    let jobs = BTreeMap::from([
        (job_id(1), job(LIMITED, 5, 300)),
        (job_id(2), job(LIMITED, 6, 100)),
        (job_id(3), job(LIMITED, 2, 200)),
        (job_id(4), waiting),
        (job_id(5), job(UNBOUNDED, 1, 0)),
    ]);
    quota.update_guaranteed_jobs(&jobs);
    let guaranteed: Vec<JobId> = jobs.keys().filter(|id| quota.is_within_guarantee(id)).copied().collect();
    assert_eq!(
        guaranteed,
        [job_id(2), job_id(3)],
        "these two use all 8 processors of the guarantee, and the unbounded team has none"
    );
    quota.update_guaranteed_jobs(&BTreeMap::new());
    assert!(!quota.is_within_guarantee(&job_id(2)), "only jobs of the last update count");
}
