//! How long spot machines live before they are reclaimed.

/// With how many observations the settings' values weigh in.
const PRIOR_WEIGHT: f64 = 20.0;

/// Observations beyond this number no longer make the estimate slower to change.
const MAX_OBSERVATIONS: f64 = 200.0;

/// The log-normal of spot machines' lives: starts at the settings' median and shifts with what is
/// seen (ours: the paper leaves the fit to "historical data").
pub(super) struct SpotLives {
    /// Mean of the logarithm of the life in seconds.
    mu: f64,
    /// Standard deviation of the logarithm of the life in seconds.
    sigma: f64,
    observations: f64,
}

impl SpotLives {
    /// By the settings: the median life in seconds, and the standard deviation of its logarithm.
    pub(super) fn new(median_s: f64, sigma: f64) -> SpotLives {
        SpotLives { mu: median_s.ln(), sigma, observations: 0.0 }
    }

    /// Mean of the logarithm of the life in seconds.
    pub(super) fn mu(&self) -> f64 {
        self.mu
    }

    /// Standard deviation of the logarithm of the life in seconds.
    pub(super) fn sigma(&self) -> f64 {
        self.sigma
    }

    /// A spot machine of this age in seconds was reclaimed.
    pub(super) fn ended(&mut self, age_s: f64) {
        self.observations += 1.0;
        let weight = 1.0 / (PRIOR_WEIGHT + self.observations.min(MAX_OBSERVATIONS));
        let mu = self.mu + weight * (age_s.max(1.0).ln() - self.mu);
        self.mu = mu.clamp(60f64.ln(), 1e6f64.ln());
    }
}

#[cfg(test)]
mod tests;
