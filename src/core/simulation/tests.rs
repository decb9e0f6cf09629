//! Random histories, plain and with more of one trouble than usual.

use super::*;
use std::ops::Range;

/// Histories in which something happens more than usual; how many starts and leaders there were.
fn play(seeds: Range<u64>, configure: impl Fn(&mut Simulation)) -> (u64, u64) {
    let (mut start_count, mut leader_count) = (0, 0);
    for seed in seeds {
        let mut simulation = Simulation::new(seed);
        configure(&mut simulation);
        simulation.run(120, 0);
        start_count += simulation.start_count;
        leader_count += simulation.leader_count;
    }
    (start_count, leader_count)
}

#[test]
fn simulation_keeps_all_rules_in_random_histories() {
    let (start_count, leader_count) = play(0..60, |_| {});
    // The histories are worth something only if a lot happens in them.
    assert!(start_count > 4_000 && leader_count > 150, "starts={start_count} leaders={leader_count}");
}

#[test]
fn simulation_keeps_all_rules_when_every_heartbeat_is_relayed() {
    let (start_count, leader_count) =
        play(600..620, |simulation| (simulation.relay_probability, simulation.leader_crash_probability) = (1.0, 0.004));
    assert!(start_count > 1_000 && leader_count > 80, "starts={start_count} leaders={leader_count}");
}

#[test]
fn simulation_keeps_all_rules_when_transactions_are_late() {
    let (start_count, _) = play(200..230, |simulation| simulation.late_commit_probability = 0.25);
    assert!(start_count > 1_500, "starts={start_count}");
}

#[test]
fn simulation_keeps_all_rules_with_ten_leaders_in_two_minutes() {
    let (start_count, leader_count) = play(300..320, |simulation| {
        (simulation.leader_crash_probability, simulation.max_leaderless_time, simulation.late_commit_probability) =
            (0.008, 2_000, 0.1)
    });
    assert!(start_count > 1_000 && leader_count > 200, "starts={start_count} leaders={leader_count}");
}

#[test]
fn simulation_keeps_all_rules_when_no_leader_is_there_for_longer_than_a_lease_while_users_cancel() {
    let (start_count, leader_count) = play(400..420, |simulation| {
        (simulation.leader_crash_probability, simulation.max_leaderless_time, simulation.cancellation_probability) =
            (0.002, 25_000, 0.03)
    });
    assert!(start_count > 500 && leader_count > 40, "starts={start_count} leaders={leader_count}");
}

#[test]
fn simulation_keeps_all_rules_with_slow_links_and_more_work_than_capacity() {
    let (start_count, _) =
        play(500..520, |simulation| (simulation.extra_delay, simulation.cancellation_probability) = (1_500, 0.02));
    assert!(start_count > 500, "starts={start_count}");
}

#[test]
fn simulation_keeps_all_rules_for_pipelines_over_changes_of_leader() {
    let (start_count, leader_count) = play(700..730, |simulation| {
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
fn pipelines_end_once_faults_are_over() {
    for seed in 800..806 {
        let mut simulation = Simulation::new(seed);
        (simulation.dependency_probability, simulation.cancellation_probability) = (0.8, 0.004);
        simulation.run(60, 400);
        assert!(simulation.unfinished().is_empty(), "seed {seed}: {:?}", simulation.unfinished());
    }
}

#[test]
fn jobs_end_once_faults_are_over() {
    for seed in 100..106 {
        let mut simulation = Simulation::new(seed);
        simulation.run(60, 400);
        assert!(simulation.unfinished().is_empty(), "seed {seed}: {:?}", simulation.unfinished());
    }
}
