//! Estimate of how long spot machines live before the cloud reclaims them.

/// Weight of the configured median lifetime in the estimate, as a number of observed reclamations.
const PRIOR_WEIGHT: f64 = 20.0;

/// Reclamations observed beyond this number don't lower the weight of the next one any further, so the estimate keeps
/// adapting.
const MAX_OBSERVATIONS: f64 = 200.0;

/// Log-normal distribution of spot machines' lifetimes. Its median starts at the configured value and moves with
/// each observed reclamation. The update rule is not from the paper that [`crate::core::placement`] cites,
/// which only says that the distribution is fitted to "historical data".
pub(super) struct SpotLifetimes {
    /// Mean of the logarithm of the lifetime in seconds.
    mu: f64,
    /// Standard deviation of the logarithm of the lifetime in seconds.
    sigma: f64,
    /// Number of observed reclamations.
    observations: f64,
}

impl SpotLifetimes {
    /// Creates the distribution from its median in seconds and the standard deviation of the lifetime's
    /// logarithm.
    pub(super) fn new(median_s: f64, sigma: f64) -> SpotLifetimes {
        SpotLifetimes { mu: median_s.ln(), sigma, observations: 0.0 }
    }

    /// Mean of the logarithm of the lifetime in seconds.
    pub(super) fn mu(&self) -> f64 {
        self.mu
    }

    /// Standard deviation of the logarithm of the lifetime in seconds.
    pub(super) fn sigma(&self) -> f64 {
        self.sigma
    }

    /// Updates the estimate with a spot machine that was reclaimed at this age in seconds.
    pub(super) fn record_reclamation(&mut self, age_s: f64) {
        self.observations += 1.0;
        let weight = 1.0 / (PRIOR_WEIGHT + self.observations.min(MAX_OBSERVATIONS));
        let mu = self.mu + weight * (age_s.max(1.0).ln() - self.mu);
        self.mu = mu.clamp(60f64.ln(), 1e6f64.ln());
    }
}

#[cfg(test)]
mod tests;
