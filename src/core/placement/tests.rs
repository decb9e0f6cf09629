use super::estimates::estimate;
use super::job_selection::{MAX_ESTIMATES, MIN_JOBS_PER_ROUND};
use super::*;
use crate::peer::{ImageView, JobView, MachineTypeView, MachineView, ProvisionOffer, TeamHeadroom};

fn machine_type(cpus: f64, gpus: f64, price: f64) -> MachineTypeView {
    let spot_price = price / 3.0;
    MachineTypeView { cpus, gpus, memory_gb: 32.0, fetch_gb_per_s: 0.5, price, spot_price, boot_s: 30.0 }
}

fn machine(key: u32, free_cpus: f64) -> MachineView {
    MachineView { key, up: true, free_cpus, free_memory_gb: 32.0, slowness: 1.0, ..Default::default() }
}

fn job(key: u32, ready_tasks: u32) -> JobView {
    JobView {
        key,
        ready_tasks,
        tasks: ready_tasks,
        cpus: 2.0,
        memory_gb: 1.0,
        image_gb: 1.0,
        run_s: 36.0,
        allows_spot: true,
        may_provision_spot: true,
        may_scale_out: true,
        priority: 2,
        ..Default::default()
    }
}

fn input(machines: Vec<MachineView>, jobs: Vec<JobView>) -> PlanInput {
    PlanInput {
        version: VERSION,
        types: vec![machine_type(8.0, 0.0, 1.0)],
        machines,
        jobs,
        batch_size: 100,
        budget_share: 0.25,
        spot_mu: 5400f64.ln(),
        spot_sigma: 1.0,
        ..Default::default()
    }
}

fn placements(out: &PlanOutput) -> Vec<(u32, u32, u32)> {
    out.placements.iter().map(|placement| (placement.job, placement.machine, placement.count)).collect()
}

#[test]
fn log_normal_cdf_matches_tables_of_the_normal_distribution() {
    let mu = 5400f64.ln();
    // By the tables of the normal distribution, the probability is 0.5 at the median and 0.1587 one sigma below it.
    assert!((log_normal_cdf(5400.0, mu, 1.0) - 0.5).abs() < 1e-9);
    assert!((log_normal_cdf(5400.0 / 1f64.exp(), mu, 1.0) - 0.158_655).abs() < 1e-5);
    assert_eq!(log_normal_cdf(0.0, mu, 1.0), 0.0);
}

#[test]
fn estimate_covers_machines_that_are_up_booting_or_offered() {
    let mut booting = machine(1, 8.0);
    (booting.up, booting.ready_in_s, booting.spot) = (false, 12.0, true);
    let mut view = input(vec![machine(0, 8.0), booting], vec![job(0, 1)]);
    view.offers = vec![ProvisionOffer { type_index: 0, zone: 0, spot: false, max_count: 1 }];
    let meter = OperationMeter::default();
    let planner = Planner::new(&view, &meter);
    // A machine that is up: the task fetches 1 GB at 0.5 GB/s, then runs for 36 s, on a quarter of the machine, which
    // costs 1.0 per hour.
    let up = estimate(&view, &view.jobs[0], &planner.candidates()[0]).unwrap();
    assert_eq!((up.finish_s, up.start_s, up.reliability), (38.0, 2.0, 1.0));
    assert!((up.cost - 0.25 * 38.0 / 3600.0).abs() < 1e-12);
    // A spot machine that is booting: the task starts 12 s later, at a third of the price, and the machine may be
    // reclaimed.
    let boot = estimate(&view, &view.jobs[0], &planner.candidates()[1]).unwrap();
    assert_eq!(boot.finish_s, 50.0);
    assert!((boot.cost - 0.25 * 38.0 / 3600.0 / 3.0).abs() < 1e-12);
    assert!((boot.reliability - (1.0 - log_normal_cdf(50.0, view.spot_mu, 1.0))).abs() < 1e-12);
    // A machine of an offer: the only task on the machine is charged for the whole boot time.
    let new = estimate(&view, &view.jobs[0], &planner.candidates()[2]).unwrap();
    assert_eq!(new.finish_s, 68.0);
    assert!((new.cost - (0.25 * 38.0 + 30.0) / 3600.0).abs() < 1e-12);
}

#[test]
fn quality_is_the_sum_of_time_cost_and_reliability() {
    let candidate = |finish_s, cost, reliability| Estimate { finish_s, start_s: 0.0, cost, reliability, spot: false };
    let (lowest, highest) = (candidate(10.0, 1.0, 0.0), candidate(30.0, 5.0, 0.0));
    assert!((quality(&candidate(15.0, 4.0, 0.9), &lowest, &highest) - (0.75 + 0.25 + 0.9)).abs() < 1e-12);
    assert!((quality(&candidate(10.0, 1.0, 1.0), &lowest, &lowest) - 3.0).abs() < 1e-12, "all candidates are equal");
}

#[test]
fn sub_deadline_on_spot_is_one_run_time_earlier_and_limits_the_wait_for_spot_machines() {
    assert_eq!((sub_deadline(100.0, 30.0, true), sub_deadline(100.0, 30.0, false)), (70.0, 100.0));
    // With a sub-deadline at 70 s and a finish at 50 s, the slack is 20 s. The wait is over if that is less than the
    // time waited, 8 s or 11 s, plus a window of 10 s.
    assert!(!spot_wait_is_over(70.0, 50.0, 8.0, 10.0));
    assert!(spot_wait_is_over(70.0, 50.0, 11.0, 10.0));
}

#[test]
fn cost_filter_holds_until_the_budget_is_spent() {
    // Of the two machine types, one has five times the price. Only the expensive machine already has the image.
    let mut expensive = machine(1, 8.0);
    expensive.type_index = 1;
    expensive.images = vec![ImageView { image: 0, ready_in_s: 0.0 }];
    let mut view = input(vec![machine(0, 8.0), expensive], vec![job(0, 4)]);
    view.types.push(machine_type(8.0, 0.0, 5.0));
    view.budget_share = 0.0;
    assert_eq!(placements(&plan(&view)), [(0, 0, 4)], "no budget beyond the cheapest candidate");
    // With the whole cost range as its budget, the job is limited by its deadline alone. Without a deadline, both
    // candidates would have the same quality, and the first one would win.
    view.budget_share = 1.0;
    view.jobs[0].due_s = Some(37.0);
    assert_eq!(placements(&plan(&view)), [(0, 1, 4)], "only the expensive machine meets the deadline");
}

#[test]
fn plan_takes_the_best_of_all_candidates_when_none_passes_the_filters() {
    let mut view = input(vec![machine(0, 8.0)], vec![job(0, 1)]);
    view.jobs[0].due_s = Some(-100.0);
    assert_eq!(placements(&plan(&view)), [(0, 0, 1)]);
}

#[test]
fn plan_serves_urgent_jobs_first_and_the_others_round_robin() {
    let mut view = input(vec![machine(0, 8.0)], vec![job(0, 4), job(1, 4), job(2, 1)]);
    view.jobs[2].priority = 0;
    let out = plan(&view);
    assert_eq!(placements(&out), [(2, 0, 1), (0, 0, 2), (1, 0, 1)]);
    assert_eq!(out.waiting.iter().map(|waiting| waiting.count).sum::<u32>(), 5);
}

#[test]
fn turn_order_prefers_the_higher_rank_among_jobs_with_the_same_time_left() {
    // The only machine has capacity for one task. Both jobs are due at the same time, but the dependents of one job
    // take longer, which gives that job the higher rank (equation 1 of the paper that `core::placement` cites).
    let job_followed_by =
        |key: u32, dependents_rank_s: f64| JobView { slo_deadline_s: Some(80.0), dependents_rank_s, ..job(key, 1) };
    let placed = |jobs: Vec<JobView>| placements(&plan(&input(vec![machine(0, 2.0)], jobs)));
    assert_eq!(placed(vec![job_followed_by(0, 5.0), job_followed_by(1, 30.0)]), [(1, 0, 1)]);
    assert_eq!(placed(vec![job_followed_by(0, 30.0), job_followed_by(1, 5.0)]), [(0, 0, 1)]);
}

#[test]
fn urgency_class_puts_jobs_that_missed_fewer_slos_first() {
    let mut view = input(vec![machine(0, 8.0)], vec![job(0, 4), job(1, 4)]);
    view.jobs[0].missed_slos = 1;
    assert_eq!(placements(&plan(&view)), [(1, 0, 4)]);
}

#[test]
fn scale_out_requests_for_a_long_queue_exceed_the_batch() {
    // One machine is up, and four tasks fit on it. Of the job's 40 tasks, a batch of 4 starts.
    let mut view = input(vec![machine(0, 8.0)], vec![job(0, 40)]);
    view.batch_size = 4;
    view.offers = vec![ProvisionOffer { type_index: 0, zone: 0, spot: false, max_count: 50 }];
    let out = plan(&view);
    assert_eq!(placements(&out), [(0, 0, 4)]);
    // Machines are requested for the tasks that can't start now, up to eight batches of tasks.
    view.jobs[0].ready_tasks = 36;
    view.machines.clear();
    assert_eq!(plan(&view).scale_out.len(), 8, "32 tasks at 8 CPUs a machine");
}

#[test]
fn search_scope_of_a_service_includes_gpu_machines_last() {
    let mut gpu = machine(1, 8.0);
    (gpu.type_index, gpu.urgent_headroom_cpus, gpu.urgent_headroom_memory_gb) = (1, 2.0, 8.0);
    let mut view = input(vec![machine(0, 4.0), gpu], vec![job(0, 4)]);
    view.types.push(machine_type(8.0, 2.0, 9.0));
    (view.jobs[0].service, view.jobs[0].priority) = (true, 0);
    // Two tasks fit on the machine without GPUs. One uses the headroom of 2 CPUs on the GPU machine, and the last one
    // exceeds the headroom, as services take precedence over GPU jobs.
    assert_eq!(placements(&plan(&view)), [(0, 0, 2), (0, 1, 2)]);
    view.jobs[0].service = false;
    assert_eq!(placements(&plan(&view)), [(0, 0, 2), (0, 1, 1)], "other urgent jobs stay within the headroom");
}

#[test]
fn one_zone_gang_is_placed_in_a_zone_with_capacity_for_all_of_it() {
    // The best candidate for a single task is in zone 0, where the machines lack capacity for all three tasks.
    let (mut a, mut b) = (machine(0, 4.0), machine(1, 8.0));
    (a.zone, b.zone) = (0, 1);
    a.images = vec![ImageView { image: 0, ready_in_s: 0.0 }];
    b.free_memory_gb = 8.0;
    let mut view = input(vec![a, b], vec![job(0, 3)]);
    (view.jobs[0].gang, view.jobs[0].one_zone) = (true, true);
    assert_eq!(placements(&plan(&view)), [(0, 1, 3)]);
}

#[test]
fn gangs_are_placed_whole_and_within_the_zone_rules() {
    let mut other = machine(1, 8.0);
    other.zone = 1;
    let mut view = input(vec![machine(0, 4.0), other], vec![job(0, 5)]);
    view.jobs[0].gang = true;
    assert_eq!(placements(&plan(&view)), [(0, 0, 2), (0, 1, 3)]);
    view.jobs[0].one_zone = true;
    assert!(placements(&plan(&view)).is_empty(), "no zone has capacity for all five");
    view.jobs[0] = JobView { spread: true, ..job(0, 3) };
    let out = plan(&view);
    assert!(out.placements.iter().all(|placement| placement.count <= 2), "at most half, rounded up, in a zone");
}

#[test]
fn plan_stays_within_the_remaining_quota_of_a_team() {
    let mut view = input(vec![machine(0, 8.0)], vec![job(0, 4)]);
    view.teams = vec![TeamHeadroom { team: 0, cpus: 5.0, gpus: 0.0 }];
    assert_eq!(placements(&plan(&view)), [(0, 0, 2)]);
}

#[test]
fn plan_for_an_inconsistent_input_is_empty() {
    let mut view = input(vec![machine(0, 8.0)], vec![job(0, 4)]);
    view.machines[0].type_index = 7;
    assert_eq!(plan(&view), PlanOutput::default());
}

#[test]
fn jobs_in_round_are_the_most_urgent_ones_and_the_others_in_rotation() {
    let candidates = MAX_ESTIMATES / MIN_JOBS_PER_ROUND;
    let full_machines = (0..candidates as u32).map(|key| machine(key, 0.0)).collect();
    let urgent = |key: u32| key.is_multiple_of(25);
    let jobs = (0..400).map(|key| JobView { priority: if urgent(key) { 0 } else { 2 }, ..job(key, 1) }).collect();
    let mut input = input(full_machines, jobs);
    let mut rounds_of = vec![0; 400];
    for round in 0..80 {
        input.round = round;
        let jobs = jobs_in_round(&input);
        assert_eq!(jobs.len(), MIN_JOBS_PER_ROUND, "the number of jobs per round is bounded");
        jobs.iter().for_each(|job| rounds_of[job.key as usize] += 1);
    }
    let (most_urgent, others): (Vec<_>, Vec<_>) =
        rounds_of.iter().enumerate().partition(|(key, _)| urgent(*key as u32));
    assert!(most_urgent.iter().all(|(_, rounds)| **rounds == 80));
    assert!(others.iter().all(|(_, rounds)| **rounds >= 1), "every job has its turn: {others:?}");
    input.jobs.truncate(MIN_JOBS_PER_ROUND);
    assert_eq!(jobs_in_round(&input).len(), MIN_JOBS_PER_ROUND);
}
