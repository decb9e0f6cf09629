//! Runs of the simulation with many seeds.

use super::*;

#[test]
fn election_simulation_has_one_active_term_and_cancelled_tasks_end_in_time() {
    let (mut extended, mut learned, mut confirmed) = (0, 0, 0);
    for seed in 0..200 {
        // Shown only if the test fails.
        println!("seed {seed}");
        let mut simulation = ElectionSimulation::new(seed);
        simulation.run(100);
        extended += simulation.extension_count;
        learned += simulation.learned_from_pledges_count;
        confirmed += simulation.confirmed.len();
    }
    // Guards against a simulation that doesn't exercise the protocol: leaders must have extended their leases on the
    // peers' pledges not to stand for election, and learned cancellations from these pledges.
    assert!(
        extended > 1_000 && learned > 100 && confirmed > 1_000,
        "extended={extended} learned={learned} confirmed={confirmed}"
    );
}

#[test]
fn election_simulation_has_one_active_term_when_copies_of_requests_arrive_late() {
    let (mut leaders, mut extended) = (0, 0);
    for seed in 1_000..1_100 {
        // Shown only if the test fails.
        println!("seed {seed}");
        let mut simulation = ElectionSimulation::new(seed);
        simulation.copy_probability = 0.3;
        simulation.run(100);
        leaders += simulation.election_count;
        extended += simulation.extension_count;
    }
    assert!(leaders > 200 && extended > 300, "leaders={leaders} extended={extended}");
}
