//! The ratio of two counts that both decay.

/// How many cases there were among all observations, recent ones counting most.
#[derive(Default)]
pub(crate) struct DecayingRatio {
    cases: f64,
    all: f64,
    since_decay: f64,
}

impl DecayingRatio {
    /// Counts cases, and among how many observations.
    pub(crate) fn add(&mut self, cases: f64, all: f64) {
        self.cases += cases;
        self.all += all;
        self.since_decay += all;
    }

    /// The cases as a fraction of all observations, or of one where there were fewer.
    pub(crate) fn value(&self) -> f64 {
        self.cases / self.all.max(1.0)
    }

    /// Observations since the last decay.
    pub(crate) fn since_decay(&self) -> f64 {
        self.since_decay
    }

    /// Keeps this fraction of the past while more observations than the least remain.
    pub(crate) fn decay(&mut self, keep: f64, least: f64) {
        let keep = if self.all > least { keep } else { 1.0 };
        self.cases *= keep;
        self.all *= keep;
        self.since_decay = 0.0;
    }
}
