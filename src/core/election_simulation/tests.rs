//! Random histories.

use super::*;

#[test]
fn election_simulation_has_one_active_term_and_no_cancelled_task_outlives_its_time() {
    let (mut extended, mut carried, mut confirmed) = (0, 0, 0);
    for seed in 0..200 {
        let mut simulation = ElectionSimulation::new(seed);
        simulation.run(100);
        extended += simulation.extension_count;
        carried += simulation.carried_count;
        confirmed += simulation.confirmed.len();
    }
    // The histories are worth something only if leaders extend their leases, and learn what they couldn't read.
    assert!(
        extended > 1_000 && carried > 100 && confirmed > 1_000,
        "extended={extended} carried={carried} confirmed={confirmed}"
    );
}
