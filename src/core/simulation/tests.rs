//! Random histories, plain and with more of one trouble than usual.

use super::*;

#[test]
fn the_rules_hold_in_random_histories() {
    let (mut starts, mut leaders) = (0, 0);
    for seed in 0..60 {
        let mut m = Simulation::new(seed);
        m.run(120, 0);
        starts += m.starts;
        leaders += m.leaders;
    }
    // The histories are worth something only if a lot happens in them.
    assert!(starts > 4_000 && leaders > 150, "starts={starts} leaders={leaders}");
}

/// Histories in which something happens more than usual; how many starts and leaders there were.
fn play(seeds: std::ops::Range<u64>, set: impl Fn(&mut Simulation)) -> (u64, u64) {
    let (mut starts, mut leaders) = (0, 0);
    for seed in seeds {
        let mut m = Simulation::new(seed);
        set(&mut m);
        m.run(120, 0);
        starts += m.starts;
        leaders += m.leaders;
    }
    (starts, leaders)
}

#[test]
fn reports_may_all_go_by_way_of_a_controller_that_does_not_lead() {
    let (starts, leaders) = play(600..620, |m| (m.forwarded, m.ends) = (1.0, 0.004));
    assert!(starts > 1_000 && leaders > 80, "starts={starts} leaders={leaders}");
}

#[test]
fn late_transactions_undo_nothing() {
    let (starts, _) = play(200..230, |m| m.late_writes = 0.25);
    assert!(starts > 1_500, "starts={starts}");
}

#[test]
fn ten_leaders_in_two_minutes_break_nothing() {
    let (starts, leaders) = play(300..320, |m| (m.ends, m.away, m.late_writes) = (0.008, 2_000, 0.1));
    assert!(starts > 1_000 && leaders > 200, "starts={starts} leaders={leaders}");
}

#[test]
fn leaders_may_be_away_for_longer_than_a_lease_while_users_cancel() {
    let (starts, leaders) = play(400..420, |m| (m.ends, m.away, m.cancels) = (0.002, 25_000, 0.03));
    assert!(starts > 500 && leaders > 40, "starts={starts} leaders={leaders}");
}

#[test]
fn slow_links_and_more_work_than_room_break_nothing() {
    let (starts, _) = play(500..520, |m| (m.slow, m.cancels) = (1_500, 0.02));
    assert!(starts > 500, "starts={starts}");
}

#[test]
fn pipelines_wait_and_are_cancelled_under_every_change_of_leader() {
    let (starts, leaders) =
        play(700..730, |m| (m.pipelines, m.cancels, m.ends, m.late_writes) = (0.7, 0.02, 0.004, 0.1));
    assert!(starts > 1_000 && leaders > 120, "starts={starts} leaders={leaders}");
}

#[test]
fn pipelines_end_once_troubles_are_over() {
    for seed in 800..806 {
        let mut m = Simulation::new(seed);
        (m.pipelines, m.cancels) = (0.8, 0.004);
        m.run(60, 400);
        assert!(m.unfinished().is_empty(), "seed {seed}: {:?}", m.unfinished());
    }
}

#[test]
fn every_job_ends_once_troubles_are_over() {
    for seed in 100..106 {
        let mut m = Simulation::new(seed);
        m.run(60, 400);
        assert!(m.unfinished().is_empty(), "seed {seed}: {:?}", m.unfinished());
    }
}
