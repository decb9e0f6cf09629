//! How long spot machines live before they are reclaimed.

/// The log-normal of spot machines' lives: starts at the settings' median and shifts with what is
/// seen (ours: the paper leaves the fit to "historical data").
pub(super) struct SpotLives {
    /// Mean of the logarithm of the life in seconds.
    pub mu: f64,
    pub sigma: f64,
    seen: f64,
}

impl SpotLives {
    pub fn new(median_s: f64, sigma: f64) -> SpotLives {
        SpotLives { mu: median_s.ln(), sigma, seen: 0.0 }
    }

    /// A spot machine of this age was reclaimed.
    pub fn ended(&mut self, age_s: f64) {
        self.seen += 1.0;
        let weight = 1.0 / (20.0 + self.seen.min(200.0));
        let mu = self.mu + weight * (age_s.max(1.0).ln() - self.mu);
        self.mu = mu.clamp(60f64.ln(), 1e6f64.ln());
    }
}
