use super::*;

#[test]
fn spot_lives_shift_towards_the_ages_that_are_seen() {
    let mut lives = SpotLives::new(3_600.0, 1.0);
    let first = lives.mu;
    lives.ended(600.0);
    assert!(600f64.ln() < lives.mu && lives.mu < first);
    for _ in 0..2_000 {
        lives.ended(600.0);
    }
    assert!((lives.mu - 600f64.ln()).abs() < 0.01, "mu={}", lives.mu);
}
