//! A ratio of two exponentially decaying counts.

/// The fraction of observations that are positive cases. Recent observations have the highest weight.
#[derive(Default)]
pub(crate) struct DecayingRatio {
    cases: f64,
    observations: f64,
    observations_since_decay: f64,
}

impl DecayingRatio {
    /// Adds a number of cases and the number of observations that they were among.
    pub(crate) fn add(&mut self, cases: f64, observations: f64) {
        self.cases += cases;
        self.observations += observations;
        self.observations_since_decay += observations;
    }

    /// Cases per observation. Less than one observation counts as one.
    pub(crate) fn value(&self) -> f64 {
        self.cases / self.observations.max(1.0)
    }

    /// Number of observations since the last decay.
    pub(crate) fn observations_since_decay(&self) -> f64 {
        self.observations_since_decay
    }

    /// Multiplies both counts by `keep` if there are more than `min_observations`; otherwise leaves them
    /// unchanged. Restarts the count of observations since the last decay in either case.
    pub(crate) fn decay(&mut self, keep: f64, min_observations: f64) {
        let keep = if self.observations > min_observations {
            keep
        } else {
            1.0
        };
        self.cases *= keep;
        self.observations *= keep;
        self.observations_since_decay = 0.0;
    }
}
