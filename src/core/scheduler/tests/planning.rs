//! Tests of planning: which jobs get capacity, and which machines each planner considers.

use super::*;
use crate::core::scheduler::planner_view::PlannerView;
use crate::core::task_slots::MAX_TASKS_PER_MACHINE;
use crate::peer::{JobView, MachineTypeView, MachineView, Placement, PlanInput, PlanOutput, VERSION};

/// When the largest gang that six machines hold starts, while smaller gangs keep arriving, and beside another gang of
/// the same class with `other_tasks` tasks.
fn start_of_the_largest_gang(other_tasks: Option<u32>) -> Option<u64> {
    let mut harness = SchedulerHarness::new(6);
    harness.run(2_000);
    let gang = |number: u32, tasks: u32| spec(&format!("req-{number:06}"), JobKind::Gang, tasks, 8.0);
    if let Some(tasks) = other_tasks {
        harness.submit(200, gang(900, tasks));
    }
    for number in 1..=8 {
        harness.submit(200, gang(number, 1));
    }
    harness.run(1_000);
    let large = harness.submit(200, gang(100, 6));
    let mut started_at = None;
    for number in 0..60 {
        // Every 2 s another gang of one task is submitted, and the running gang that started first ends.
        harness.submit(200, gang(200 + number, 1));
        let running = harness
            .workers
            .values()
            .flat_map(|worker| &worker.tasks)
            .filter(|status| status.phase == TaskPhase::Running);
        if let Some((task, attempt)) =
            running.min_by_key(|status| status.attempt).map(|status| (status.task, status.attempt))
        {
            harness
                .workers
                .values_mut()
                .for_each(|worker| SchedulerHarness::exit_task(worker, task, attempt, ExitCause::Done));
        }
        harness.run(2_000);
        if harness.running_count(&large) == 6 {
            started_at.get_or_insert(harness.now);
            break;
        }
    }
    started_at
}

#[test]
fn largest_gang_starts_while_smaller_gangs_keep_arriving() {
    let started_at = start_of_the_largest_gang(None);
    assert!(started_at.is_some_and(|at| at < 60_000), "start time of the largest gang in ms: {started_at:?}");
}

/// A gang that the fleet can't hold kept all other gangs of its class from having capacity reserved.
#[test]
fn gang_that_the_fleet_cannot_hold_keeps_no_other_gang_of_its_class_waiting() {
    let started_at = start_of_the_largest_gang(Some(100_000));
    assert!(started_at.is_some_and(|at| at < 60_000), "start time of the largest gang in ms: {started_at:?}");
}

/// With a bound on the tasks of a machine, a gang of tiny tasks may need more machines than processors: it would wait
/// forever where the backlog in processor time is small.
#[test]
fn gang_that_the_fleet_cannot_hold_scales_out_whatever_the_backlog() {
    let mut harness = SchedulerHarness::new(1);
    harness.run(2_000);
    let spec = spec("req-000001", JobKind::Gang, 2 * MAX_TASKS_PER_MACHINE, 0.0005);
    harness.submit(300, JobSpec { priority: Priority::Normal, memory_gb: 0.001, estimated_run_s: 1.0, ..spec });
    let mut requested = false;
    for _ in 0..40 {
        harness.now += TICK_INTERVAL.0;
        harness.tick();
        requested |= harness.scheduler.take_effects().iter().any(|effect| matches!(effect, Effect::Provision(_)));
    }
    assert!(requested, "machines are requested for the gang");
}

#[test]
fn work_within_a_guarantee_preempts_work_beyond_guarantees() {
    let mut harness = SchedulerHarness::new(2);
    harness.run(2_000);
    let beyond = harness.submit(200, spec("req-000001", JobKind::Array, 2, 8.0));
    harness.run(2_000);
    assert_eq!(harness.running_count(&beyond), 2);
    // team-a's guarantee of 8 CPUs covers exactly one machine.
    let within = harness.submit(200, JobSpec { team: "team-a".into(), ..spec("req-000002", JobKind::Array, 1, 8.0) });
    let exceeding =
        harness.submit(200, JobSpec { team: "team-a".into(), ..spec("req-000003", JobKind::Array, 1, 8.0) });
    harness.run(2_000);
    assert_eq!(
        (harness.running_count(&within), harness.running_count(&exceeding), harness.running_count(&beyond)),
        (1, 0, 1)
    );
}

#[test]
fn image_fetch_counts_as_late_start_of_a_lost_replica_however_old_its_service_is() {
    let mut harness = SchedulerHarness::new(1);
    harness.run(2_000);
    let feed = |id: &str, kind: JobKind| JobSpec {
        class: "feed".into(),
        priority: Priority::Prod,
        image_gb: 20.0,
        ..spec(id, kind, 1, 9.0)
    };
    let service = harness.submit(200, feed("req-000001", JobKind::Service));
    let array = harness.submit(200, feed("req-000002", JobKind::Array));
    let machine = MachineId::parse("m-000000").unwrap();
    // Fetching the image takes 20 s, and the start-time objective of the jobs' class is 3 s. The planner's view gives
    // both jobs an age of 100 s, which exceeds that objective.
    let old = JobView { age_s: 100.0, ..JobView::default() };
    assert!(
        harness.scheduler.starts_late(MonotonicTime(harness.now), &service, &machine, Some(&old)),
        "a replica should start on a machine that has its image, so without it the start counts as late"
    );
    assert!(
        !harness.scheduler.starts_late(MonotonicTime(harness.now), &array, &machine, Some(&old)),
        "the array has missed its objective already"
    );
}

#[test]
fn partitioned_view_gives_each_booting_machine_to_one_planner() {
    // Guards against several planners that all count on the same booting machines, so that too few new machines are
    // provisioned. With five planners, 1,300 machines took 100 s to start instead of 30 s.
    let kinds = [(8.0, 0.0), (16.0, 2.0)].map(|(cpus, gpus)| MachineTypeView { cpus, gpus, ..Default::default() });
    let machine = |key: u32| MachineView { key, type_index: key % 2, up: key < 10, ..Default::default() };
    let job = |key: u32, gpus: f64| JobView { key, ready_tasks: 10, tasks: 10, cpus: 1.0, gpus, ..Default::default() };
    let input = PlanInput {
        version: VERSION,
        types: kinds.to_vec(),
        machines: (0..40).map(machine).collect(),
        jobs: vec![job(0, 0.0), job(1, 2.0), job(2, 2.0), job(3, 0.0)],
        ..Default::default()
    };
    let parts = partition_view(&input, &[&[0, 1], &[2], &[3]]);
    let booting: Vec<u32> =
        parts.iter().flat_map(|part| &part.machines).filter(|machine| !machine.up).map(|machine| machine.key).collect();
    assert_eq!(booting.iter().collect::<BTreeSet<_>>().len(), 30, "each booting machine is in one part");
    assert_eq!(booting.len(), 30);
    let booting_count = |part: usize, kind: u32| {
        parts[part].machines.iter().filter(|machine| !machine.up && machine.type_index == kind).count()
    };
    assert!(
        booting_count(0, 0).abs_diff(booting_count(2, 0)) <= 1 && booting_count(1, 0) == 0,
        "machines without GPUs in proportion to demand"
    );
    assert!(
        booting_count(0, 1).abs_diff(booting_count(1, 1)) <= 1 && booting_count(2, 1) == 0,
        "GPU machines only in parts with GPU jobs"
    );
    for part in &parts {
        assert_eq!(part.machines.iter().filter(|machine| machine.up).count(), 10, "running machines are in all parts");
    }
    assert_ne!(parts[0].machines[0].key, parts[1].machines[0].key, "the order of machines differs between parts");
}

#[test]
fn gpu_lending_keeps_machines_that_gpu_jobs_needed_recently() {
    // Guards against jobs without GPUs that fill every free GPU machine and are then preempted by GPU jobs. Nearly half
    // of all task starts were restarts of tasks preempted in this way.
    let mut scheduler = Scheduler::new(
        sample_settings(),
        Tuning::default(),
        machine_types(),
        Term(1),
        leader_record(),
        MonotonicTime(0),
    );
    let gpu = scheduler
        .catalog
        .types
        .iter()
        .position(|machine_type| machine_type.gpus > 0.0)
        .expect("a machine type with GPUs");
    for number in 0..4 {
        let mut machine = Machine::new(String::new(), gpu, 0, false, MonotonicTime(0));
        machine.up = true;
        scheduler.machines.known.insert(MachineId::parse(&format!("m-{number}")).unwrap(), machine);
    }
    let lendable_count = |scheduler: &mut Scheduler, at: MonotonicTime, waiting: &BTreeSet<JobId>| {
        scheduler.update_lendable_gpu_machines(at, waiting);
        scheduler.gpus.lendable.len()
    };
    assert_eq!(lendable_count(&mut scheduler, MonotonicTime(0), &BTreeSet::new()), 4, "no job needs GPUs");
    let mut gang = spec("req-000001", JobKind::Gang, 3, 1.0);
    gang.gpus = scheduler.catalog.types[gpu].gpus;
    let id = JobId::parse(&gang.id).unwrap();
    scheduler.on_job_accepted(
        &id,
        &json!(LiveRecord { submitted_at: WallTime(0), spec: gang, depends_on: Vec::new() }),
        Revision(1),
    );
    let waiting = BTreeSet::from([id]);
    assert_eq!(lendable_count(&mut scheduler, MonotonicTime(100), &waiting), 1);
    assert_eq!(lendable_count(&mut scheduler, MonotonicTime(1_000), &BTreeSet::new()), 1, "recent demand still counts");
    assert_eq!(lendable_count(&mut scheduler, MonotonicTime(200_000), &BTreeSet::new()), 4);
}

/// Planned placements that no longer held marked the job's image as cached on their machines, and later tasks were placed
/// there and waited for the image.
#[test]
fn placement_that_no_longer_holds_leaves_no_image_on_its_machine() {
    let mut harness = SchedulerHarness::new(1);
    harness.run(2_000);
    let full = harness.submit(300, JobSpec { image: "other".into(), ..spec("req-000001", JobKind::Array, 1, 8.0) });
    harness.run(2_000);
    assert_eq!(harness.running_count(&full), 1);
    let id = harness.submit(300, spec("req-000002", JobKind::Array, 1, 8.0));
    let (now, wall) = (MonotonicTime(harness.now), WallTime(harness.now));
    let view = harness.scheduler.planner_view(now, wall);
    let machine = harness.scheduler.machines.known.keys().next().cloned().unwrap();
    let view = PlannerView { machines: vec![Some(machine.clone())], ..view };
    let job = view.jobs.iter().position(|planned| planned.id == id).unwrap() as u32;
    let placements = vec![Placement { job, machine: 0, count: 1, excess_cost: 0.0 }];
    harness.scheduler.commit_plan(now, &view, &PlanOutput { placements, ..PlanOutput::default() });
    assert_eq!(harness.scheduler.machines.known[&machine].images.len(), 1, "only the image of the running task");
}
