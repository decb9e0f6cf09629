//! Tests that the protocol's invariants hold in random runs, with the default fault probabilities and with increased
//! ones.

use super::*;
use std::ops::Range;

/// Runs the simulation once with each seed. Returns the total numbers of task starts and of elected leaders. The tests
/// require minimum totals, as a run with few starts or elections hardly exercises the scheduler.
fn run(seeds: Range<u64>, configure: impl Fn(&mut Simulation)) -> (u64, u64) {
    let (mut start_count, mut leader_count) = (0, 0);
    for seed in seeds {
        // Shown only if the test fails.
        println!("seed {seed}");
        let mut simulation = Simulation::new(seed);
        configure(&mut simulation);
        simulation.run(120, 0);
        start_count += simulation.start_count;
        leader_count += simulation.leader_count;
    }
    (start_count, leader_count)
}

#[test]
fn invariants_hold_in_random_runs() {
    let (start_count, leader_count) = run(0..60, |_| {});
    assert!(start_count > 4_000 && leader_count > 150, "starts={start_count} leaders={leader_count}");
}

#[test]
fn invariants_hold_when_every_heartbeat_is_relayed() {
    let (start_count, leader_count) =
        run(600..620, |simulation| (simulation.relay_probability, simulation.leader_crash_probability) = (1.0, 0.004));
    assert!(start_count > 1_000 && leader_count > 80, "starts={start_count} leaders={leader_count}");
}

#[test]
fn invariants_hold_when_commits_are_late() {
    let (start_count, _) = run(200..230, |simulation| simulation.late_commit_probability = 0.25);
    assert!(start_count > 1_500, "starts={start_count}");
}

#[test]
fn invariants_hold_with_frequent_leader_changes() {
    let (start_count, leader_count) = run(300..320, |simulation| {
        (simulation.leader_crash_probability, simulation.max_leaderless_time, simulation.late_commit_probability) =
            (0.008, 2_000, 0.1)
    });
    assert!(start_count > 1_000 && leader_count > 200, "starts={start_count} leaders={leader_count}");
}

#[test]
fn invariants_hold_when_users_cancel_during_leaderless_periods_longer_than_a_lease() {
    let (start_count, leader_count) = run(400..420, |simulation| {
        (simulation.leader_crash_probability, simulation.max_leaderless_time, simulation.cancellation_probability) =
            (0.002, 25_000, 0.03)
    });
    assert!(start_count > 500 && leader_count > 40, "starts={start_count} leaders={leader_count}");
}

#[test]
fn invariants_hold_with_slow_messages_and_more_work_than_capacity() {
    let (start_count, _) =
        run(500..520, |simulation| (simulation.max_extra_delay, simulation.cancellation_probability) = (1_500, 0.02));
    assert!(start_count > 500, "starts={start_count}");
}

#[test]
fn invariants_hold_when_copies_of_commits_arrive_late() {
    let (start_count, leader_count) = run(1_000..1_020, |simulation| simulation.commit_copy_probability = 0.5);
    assert!(start_count > 1_000 && leader_count > 40, "starts={start_count} leaders={leader_count}");
}

#[test]
fn invariants_hold_when_copies_of_bitmap_writes_arrive_late() {
    // Guards against a copy of a carried-out write that replaces a newer completion bitmap, after workers were told to
    // clear the tasks that only the newer one has.
    let (start_count, leader_count) = run(1_100..1_120, |simulation| simulation.bitmap_copy_probability = 0.3);
    assert!(start_count > 1_000 && leader_count > 40, "starts={start_count} leaders={leader_count}");
}

#[test]
fn invariants_hold_when_copies_of_orders_and_cloud_requests_arrive_late() {
    // Guards against a copy of a carried-out run order that starts a cleared task anew (docs/incidents/late-copies.md).
    let (start_count, leader_count) = run(900..940, |simulation| simulation.copy_probability = 0.6);
    assert!(start_count > 2_000 && leader_count > 80, "starts={start_count} leaders={leader_count}");
}

#[test]
fn invariants_hold_for_dependent_jobs_across_leader_changes() {
    let (start_count, leader_count) = run(700..730, |simulation| {
        (
            simulation.dependency_probability,
            simulation.cancellation_probability,
            simulation.leader_crash_probability,
            simulation.late_commit_probability,
        ) = (0.7, 0.02, 0.004, 0.1)
    });
    assert!(start_count > 1_000 && leader_count > 120, "starts={start_count} leaders={leader_count}");
}

#[test]
fn dependent_jobs_end_after_faults_have_ceased() {
    for seed in 800..806 {
        let mut simulation = Simulation::new(seed);
        (simulation.dependency_probability, simulation.cancellation_probability) = (0.8, 0.004);
        simulation.run(60, 400);
        assert!(simulation.unfinished_jobs().is_empty(), "seed {seed}: {:?}", simulation.unfinished_jobs());
    }
}

#[test]
fn jobs_end_after_faults_have_ceased() {
    for seed in 100..106 {
        let mut simulation = Simulation::new(seed);
        simulation.run(60, 400);
        assert!(simulation.unfinished_jobs().is_empty(), "seed {seed}: {:?}", simulation.unfinished_jobs());
    }
}
