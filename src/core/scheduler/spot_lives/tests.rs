use super::*;

#[test]
fn spot_lifetimes_move_towards_the_observed_ages() {
    let mut lifetimes = SpotLifetimes::new(3_600.0, 1.0);
    let first = lifetimes.mu;
    lifetimes.record_reclamation(600.0);
    assert!(600f64.ln() < lifetimes.mu && lifetimes.mu < first);
    for _ in 0..2_000 {
        lifetimes.record_reclamation(600.0);
    }
    assert!((lifetimes.mu - 600f64.ln()).abs() < 0.01, "mu={}", lifetimes.mu);
}
