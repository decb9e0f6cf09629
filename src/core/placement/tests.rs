use super::estimates::estimate;
use super::job_selection::{MAX_ESTIMATES, MIN_JOBS_PER_ROUND};
use super::*;
use crate::peer::{ImageView, JobView, MachineView, ProvisionOffer, TeamHeadroom, TypeView};

fn kind(cpus: f64, gpus: f64, price: f64) -> TypeView {
    let spot_price = price / 3.0;
    TypeView { cpus, gpus, memory_gb: 32.0, fetch_gb_per_s: 0.5, price, spot_price, boot_s: 30.0 }
}

fn machine(key: u32, free_cpus: f64) -> MachineView {
    MachineView { key, up: true, free_cpus, free_memory_gb: 32.0, slowness: 1.0, ..Default::default() }
}

fn job(key: u32, ready: u32) -> JobView {
    JobView {
        key,
        ready,
        tasks: ready,
        cpus: 2.0,
        memory_gb: 1.0,
        image_gb: 1.0,
        run_s: 36.0,
        spot: true,
        new_spot: true,
        may_scale_out: true,
        priority: 2,
        ..Default::default()
    }
}

fn input(machines: Vec<MachineView>, jobs: Vec<JobView>) -> PlanInput {
    PlanInput {
        version: VERSION,
        types: vec![kind(8.0, 0.0, 1.0)],
        machines,
        jobs,
        batch: 100,
        budget_share: 0.25,
        spot_mu: 5400f64.ln(),
        spot_sigma: 1.0,
        ..Default::default()
    }
}

fn placements(out: &PlanOutput) -> Vec<(u32, u32, u32)> {
    out.placements.iter().map(|p| (p.job, p.machine, p.count)).collect()
}

#[test]
fn log_normal_cdf_agrees_with_the_tables_of_the_normal_distribution() {
    let mu = 5400f64.ln();
    // At the median one half; one sigma below it 0.1587 (tables of the normal distribution).
    assert!((log_normal_cdf(5400.0, mu, 1.0) - 0.5).abs() < 1e-9);
    assert!((log_normal_cdf(5400.0 / 1f64.exp(), mu, 1.0) - 0.158_655).abs() < 1e-5);
    assert_eq!(log_normal_cdf(0.0, mu, 1.0), 0.0);
}

#[test]
fn estimate_of_running_booting_and_new_machines_follows_the_formulas() {
    let mut booting = machine(1, 8.0);
    (booting.up, booting.ready_s, booting.spot) = (false, 12.0, true);
    let mut view = input(vec![machine(0, 8.0), booting], vec![job(0, 1)]);
    view.offers = vec![ProvisionOffer { kind: 0, zone: 0, spot: false, most: 1 }];
    let meter = CostMeter::default();
    let planner = Planner::new(&view, &meter);
    // Running: 1 GB at 0.5 GB/s, then 36 s, on a quarter of a machine at 1.0 an hour.
    let up = estimate(&view, &view.jobs[0], &planner.candidates()[0]).unwrap();
    assert_eq!((up.finish_s, up.start_s, up.reliability), (38.0, 2.0, 1.0));
    assert!((up.cost - 0.25 * 38.0 / 3600.0).abs() < 1e-12);
    // Booting and spot: 12 s later, a third of the price, less reliable.
    let boot = estimate(&view, &view.jobs[0], &planner.candidates()[1]).unwrap();
    assert_eq!(boot.finish_s, 50.0);
    assert!((boot.cost - 0.25 * 38.0 / 3600.0 / 3.0).abs() < 1e-12);
    assert!((boot.reliability - (1.0 - log_normal_cdf(50.0, view.spot_mu, 1.0))).abs() < 1e-12);
    // New: the one task that asks for it pays the whole boot.
    let new = estimate(&view, &view.jobs[0], &planner.candidates()[2]).unwrap();
    assert_eq!(new.finish_s, 68.0);
    assert!((new.cost - (0.25 * 38.0 + 30.0) / 3600.0).abs() < 1e-12);
}

#[test]
fn quality_is_the_sum_of_time_cost_and_reliability() {
    let c = |finish_s, cost, reliability| Estimate { finish_s, start_s: 0.0, cost, reliability, spot: false };
    let (lo, hi) = (c(10.0, 1.0, 0.0), c(30.0, 5.0, 0.0));
    assert!((quality(&c(15.0, 4.0, 0.9), &lo, &hi) - (0.75 + 0.25 + 0.9)).abs() < 1e-12);
    assert!((quality(&c(10.0, 1.0, 1.0), &lo, &lo) - 3.0).abs() < 1e-12, "nothing to choose between");
}

#[test]
fn sub_deadline_on_spot_is_a_run_earlier_and_an_unfilled_spot_request_ends() {
    assert_eq!((sub_deadline(100.0, 30.0, true), sub_deadline(100.0, 30.0, false)), (70.0, 100.0));
    // Sub-deadline 70, finish 50: 20 s of slack against a slip of 8 s and a window of 10 s.
    assert!(!spot_wait_is_over(70.0, 50.0, 8.0, 10.0));
    assert!(spot_wait_is_over(70.0, 50.0, 11.0, 10.0));
}

#[test]
fn cost_filter_holds_until_the_budget_is_spent() {
    // Two kinds, one five times as dear; the dear machine holds the image.
    let mut dear = machine(1, 8.0);
    dear.kind = 1;
    dear.images = vec![ImageView { image: 0, ready_s: 0.0 }];
    let mut view = input(vec![machine(0, 8.0), dear], vec![job(0, 4)]);
    view.types.push(kind(8.0, 0.0, 5.0));
    view.budget_share = 0.0;
    assert_eq!(placements(&plan(&view)), [(0, 0, 4)], "no budget beyond the cheapest");
    // With the whole range as its budget the job may choose by quality; both ends of time and
    // cost weigh the same, and the first of equals wins.
    view.budget_share = 1.0;
    view.jobs[0].due_s = Some(37.0);
    assert_eq!(placements(&plan(&view)), [(0, 1, 4)], "only the dear machine is in time");
}

#[test]
fn plan_takes_the_best_of_all_candidates_when_none_passes_the_filters() {
    let mut view = input(vec![machine(0, 8.0)], vec![job(0, 1)]);
    view.jobs[0].due_s = Some(-100.0);
    assert_eq!(placements(&plan(&view)), [(0, 0, 1)]);
}

#[test]
fn plan_is_round_robin_over_the_jobs_after_the_urgent_ones() {
    let mut view = input(vec![machine(0, 8.0)], vec![job(0, 4), job(1, 4), job(2, 1)]);
    view.jobs[2].priority = 0;
    let out = plan(&view);
    assert_eq!(placements(&out), [(2, 0, 1), (0, 0, 2), (1, 0, 1)]);
    assert_eq!(out.waiting.iter().map(|w| w.count).sum::<u32>(), 5);
}

#[test]
fn turn_order_prefers_the_higher_rank_among_jobs_with_the_same_time_left() {
    // Capacity for one task. Both are due at the same time, but one has more after it (eq. 1).
    let job_timing = |key: u32, dependents_s: f64| JobView { slo_deadline_s: Some(80.0), dependents_s, ..job(key, 1) };
    let first = |jobs: Vec<JobView>| placements(&plan(&input(vec![machine(0, 2.0)], jobs)));
    assert_eq!(first(vec![job_timing(0, 5.0), job_timing(1, 30.0)]), [(1, 0, 1)]);
    assert_eq!(first(vec![job_timing(0, 30.0), job_timing(1, 5.0)]), [(0, 0, 1)]);
}

#[test]
fn urgency_class_puts_jobs_that_missed_fewer_slos_first() {
    let mut view = input(vec![machine(0, 8.0)], vec![job(0, 4), job(1, 4)]);
    view.jobs[0].missed_slos = 1;
    assert_eq!(placements(&plan(&view)), [(1, 0, 4)]);
}

#[test]
fn scale_out_requests_of_a_long_queue_go_beyond_the_batch() {
    // One machine is up; of 40 tasks, four to a machine, a batch of 4 starts.
    let mut view = input(vec![machine(0, 8.0)], vec![job(0, 40)]);
    view.batch = 4;
    view.offers = vec![ProvisionOffer { kind: 0, zone: 0, spot: false, most: 50 }];
    let out = plan(&view);
    assert_eq!(placements(&out), [(0, 0, 4)]);
    // Those that wait say how many machines they want: within the batch's outlook, all.
    view.jobs[0].ready = 36;
    view.machines.clear();
    assert_eq!(plan(&view).scale_out.len(), 8, "32 tasks at 8 CPUs a machine");
}

#[test]
fn search_scope_of_a_service_takes_in_gpu_machines_last() {
    let mut gpu = machine(1, 8.0);
    (gpu.kind, gpu.urgent_cpus, gpu.urgent_memory_gb) = (1, 2.0, 8.0);
    let mut view = input(vec![machine(0, 4.0), gpu], vec![job(0, 4)]);
    view.types.push(kind(8.0, 2.0, 9.0));
    (view.jobs[0].service, view.jobs[0].priority) = (true, 0);
    // Two on the machine without GPUs, one in the headroom of 2 CPUs on the other, and the last
    // beyond the headroom, as GPU jobs come after services.
    assert_eq!(placements(&plan(&view)), [(0, 0, 2), (0, 1, 2)]);
    view.jobs[0].service = false;
    assert_eq!(placements(&plan(&view)), [(0, 0, 2), (0, 1, 1)], "other urgent work leaves GPU jobs their headroom");
}

#[test]
fn one_zone_gang_is_placed_in_the_zone_that_holds_it() {
    // The best candidate for one task is in zone 0, which can't hold three.
    let (mut a, mut b) = (machine(0, 4.0), machine(1, 8.0));
    (a.zone, b.zone) = (0, 1);
    a.images = vec![ImageView { image: 0, ready_s: 0.0 }];
    b.free_memory_gb = 8.0;
    let mut view = input(vec![a, b], vec![job(0, 3)]);
    (view.jobs[0].gang, view.jobs[0].one_zone) = (true, true);
    assert_eq!(placements(&plan(&view)), [(0, 1, 3)]);
}

#[test]
fn gangs_are_placed_whole_and_by_the_rule_on_zones() {
    let mut other = machine(1, 8.0);
    other.zone = 1;
    let mut view = input(vec![machine(0, 4.0), other], vec![job(0, 5)]);
    view.jobs[0].gang = true;
    assert_eq!(placements(&plan(&view)), [(0, 0, 2), (0, 1, 3)]);
    view.jobs[0].one_zone = true;
    assert!(placements(&plan(&view)).is_empty(), "no zone holds all five");
    view.jobs[0] = JobView { spread: true, ..job(0, 3) };
    let out = plan(&view);
    assert!(out.placements.iter().all(|p| p.count <= 2), "at most half, rounded up, in a zone");
}

#[test]
fn plan_stays_within_the_headroom_of_a_team() {
    let mut view = input(vec![machine(0, 8.0)], vec![job(0, 4)]);
    view.teams = vec![TeamHeadroom { team: 0, cpus: 5.0, gpus: 0.0 }];
    assert_eq!(placements(&plan(&view)), [(0, 0, 2)]);
}

#[test]
fn plan_of_an_inconsistent_view_is_empty() {
    let mut view = input(vec![machine(0, 8.0)], vec![job(0, 4)]);
    view.machines[0].kind = 7;
    assert_eq!(plan(&view), PlanOutput::default());
}

#[test]
fn jobs_in_scope_are_the_most_urgent_and_the_others_in_turn() {
    let candidates = MAX_ESTIMATES / MIN_JOBS_PER_ROUND;
    let full = (0..candidates as u32).map(|key| machine(key, 0.0)).collect();
    let urgent = |key: u32| key.is_multiple_of(25);
    let jobs = (0..400).map(|key| JobView { priority: if urgent(key) { 0 } else { 2 }, ..job(key, 1) }).collect();
    let mut input = input(full, jobs);
    let mut rounds_of = vec![0; 400];
    for round in 0..80 {
        input.round = round;
        let jobs = jobs_in_scope(&input);
        assert_eq!(jobs.len(), MIN_JOBS_PER_ROUND, "the work of a round is bounded");
        jobs.iter().for_each(|j| rounds_of[j.key as usize] += 1);
    }
    let (most_urgent, others): (Vec<_>, Vec<_>) =
        rounds_of.iter().enumerate().partition(|(key, _)| urgent(*key as u32));
    assert!(most_urgent.iter().all(|(_, rounds)| **rounds == 80));
    assert!(others.iter().all(|(_, rounds)| **rounds >= 1), "nobody starves: {others:?}");
    input.jobs.truncate(MIN_JOBS_PER_ROUND);
    assert_eq!(jobs_in_scope(&input).len(), MIN_JOBS_PER_ROUND);
}
