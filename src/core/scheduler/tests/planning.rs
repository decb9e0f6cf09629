//! Who gets capacity, and which machines are counted on.

use super::*;
use crate::peer::{JobView, MachineView, PlanInput, TypeView, VERSION};

#[test]
fn largest_gang_begins_although_smaller_work_keeps_coming() {
    let mut harness = SchedulerHarness::new(6);
    harness.run(2_000);
    let whole = |n: u32, tasks: u32| spec(&format!("req-{n:06}"), Kind::Gang, tasks, 8.0);
    for n in 1..=8 {
        harness.submit(200, whole(n, 1));
    }
    harness.run(1_000);
    let large = harness.submit(200, whole(100, 6));
    let mut began = None;
    for n in 0..60 {
        // Every 2 s another small gang comes, and the one that has run longest ends.
        harness.submit(200, whole(200 + n, 1));
        let oldest = harness.workers.values().flat_map(|r| &r.tasks).filter(|l| l.phase == TaskPhase::Running);
        if let Some((listed, attempt)) = oldest.min_by_key(|l| l.attempt).map(|l| (l.task, l.attempt)) {
            harness.workers.values_mut().for_each(|r| SchedulerHarness::exit_task(r, listed, attempt, Cause::Done));
        }
        harness.run(2_000);
        if harness.running_count(&large) == 6 {
            began.get_or_insert(harness.now);
            break;
        }
    }
    assert!(began.is_some_and(|at| at < 60_000), "{began:?}");
}

#[test]
fn guaranteed_work_preempts_work_beyond_a_guarantee() {
    let mut harness = SchedulerHarness::new(2);
    harness.run(2_000);
    let beyond = harness.submit(200, spec("req-000001", Kind::Array, 2, 8.0));
    harness.run(2_000);
    assert_eq!(harness.running_count(&beyond), 2);
    // team-a is guaranteed 8 CPUs: one whole machine, and no more.
    let within = harness.submit(200, JobSpec { team: "team-a".into(), ..spec("req-000002", Kind::Array, 1, 8.0) });
    let more = harness.submit(200, JobSpec { team: "team-a".into(), ..spec("req-000003", Kind::Array, 1, 8.0) });
    harness.run(2_000);
    assert_eq!(
        (harness.running_count(&within), harness.running_count(&more), harness.running_count(&beyond)),
        (1, 0, 1)
    );
}

#[test]
fn image_wait_delays_a_lost_replica_however_old_its_service_is() {
    let mut harness = SchedulerHarness::new(1);
    harness.run(2_000);
    let feed = |id: &str, kind: Kind| JobSpec {
        class: "feed".into(),
        priority: Priority::Prod,
        image_gb: 20.0,
        ..spec(id, kind, 1, 9.0)
    };
    let service = harness.submit(200, feed("req-000001", Kind::Service));
    let array = harness.submit(200, feed("req-000002", Kind::Array));
    let machine = MachineId::parse("m-000000").unwrap();
    // The image takes 20 s to fetch, the objective of the class is 3 s, and both jobs are old.
    let old = JobView { age_s: 100.0, ..JobView::default() };
    assert!(
        harness.scheduler.starts_late(MonotonicTime(harness.now), &service, &machine, Some(&old)),
        "better where its image is"
    );
    assert!(
        !harness.scheduler.starts_late(MonotonicTime(harness.now), &array, &machine, Some(&old)),
        "its objective is missed anyway"
    );
}

#[test]
fn partitioned_view_gives_each_booting_machine_to_one_planner() {
    // Each of five planners took the same few booting machines for its own jobs, and too few were
    // provisioned: a fleet of 1,300 took 100 s to come up instead of 30.
    let kinds = [(8.0, 0.0), (16.0, 2.0)].map(|(cpus, gpus)| TypeView { cpus, gpus, ..Default::default() });
    let machine = |key: u32| MachineView { key, kind: key % 2, up: key < 10, ..Default::default() };
    let job = |key: u32, gpus: f64| JobView { key, ready: 10, tasks: 10, cpus: 1.0, gpus, ..Default::default() };
    let input = PlanInput {
        version: VERSION,
        types: kinds.to_vec(),
        machines: (0..40).map(machine).collect(),
        jobs: vec![job(0, 0.0), job(1, 2.0), job(2, 2.0), job(3, 0.0)],
        ..Default::default()
    };
    let parts = partition_view(&input, &[&[0, 1], &[2], &[3]]);
    let coming: Vec<u32> =
        parts.iter().flat_map(|part| &part.machines).filter(|machine| !machine.up).map(|machine| machine.key).collect();
    assert_eq!(coming.iter().collect::<BTreeSet<_>>().len(), 30, "each to one part");
    assert_eq!(coming.len(), 30);
    let of = |part: usize, kind: u32| {
        parts[part].machines.iter().filter(|machine| !machine.up && machine.kind == kind).count()
    };
    assert!(of(0, 0).abs_diff(of(2, 0)) <= 1 && of(1, 0) == 0, "plain ones by what is wanted of them");
    assert!(of(0, 1).abs_diff(of(1, 1)) <= 1 && of(2, 1) == 0, "GPU machines to parts with GPU jobs");
    for part in &parts {
        assert_eq!(part.machines.iter().filter(|machine| machine.up).count(), 10, "all see what is up");
    }
    assert_ne!(parts[0].machines[0].key, parts[1].machines[0].key, "each in an order of its own");
}

#[test]
fn gpu_lending_leaves_what_gpu_jobs_wanted_lately() {
    // Plain work filled every GPU machine that came free and was cleared off it again: nearly half
    // of all starts were of tasks that had been stopped so.
    let mut scheduler = Scheduler::new(
        sample_settings(),
        Tuning::default(),
        machine_types(),
        Term(1),
        leader_record(),
        MonotonicTime(0),
    );
    let gpu =
        scheduler.catalog.types.iter().position(|machine_type| machine_type.gpus > 0.0).expect("there is a GPU kind");
    for i in 0..4 {
        let mut machine = Machine::new(String::new(), gpu, 0, false, MonotonicTime(0));
        machine.up = true;
        scheduler.machines.known.insert(MachineId::parse(&format!("m-{i}")).unwrap(), machine);
    }
    let lent = |scheduler: &mut Scheduler, at: MonotonicTime, waiting: &BTreeSet<JobId>| {
        scheduler.update_lendable_gpu_machines(at, waiting);
        scheduler.gpus.lendable.len()
    };
    assert_eq!(lent(&mut scheduler, MonotonicTime(0), &BTreeSet::new()), 4, "nobody wants GPUs");
    let mut gang = spec("req-000001", Kind::Gang, 3, 1.0);
    gang.gpus = scheduler.catalog.types[gpu].gpus;
    let id = JobId::parse(&gang.id).unwrap();
    scheduler.on_job_accepted(
        &id,
        &json!(LiveRecord { submitted_at: WallTime(0), spec: gang, depends_on: Vec::new() }),
        Revision(1),
    );
    let waiting = BTreeSet::from([id]);
    assert_eq!(lent(&mut scheduler, MonotonicTime(100), &waiting), 1);
    assert_eq!(lent(&mut scheduler, MonotonicTime(1_000), &BTreeSet::new()), 1, "not forgotten at once");
    assert_eq!(lent(&mut scheduler, MonotonicTime(200_000), &BTreeSet::new()), 4);
}
