//! Runs of the simulation with many seeds.

use super::*;

#[test]
fn election_simulation_has_one_active_term_and_cancelled_tasks_end_in_time() {
    let (mut extended, mut learned, mut confirmed) = (0, 0, 0);
    for seed in 0..200 {
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
