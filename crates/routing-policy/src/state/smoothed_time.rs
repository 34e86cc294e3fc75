//! An exponentially weighted moving average of times.

/// A smoothed time in microseconds; 0 until the first sample.
#[derive(Default, Clone, Copy)]
pub(crate) struct SmoothedTime {
    average: f64,
}

impl SmoothedTime {
    /// Adds a sample with the given weight. The first sample sets the average.
    pub(crate) fn record(&mut self, sample: f64, weight: f64) {
        let weight = if self.average == 0.0 { 1.0 } else { weight };
        self.average += weight * (sample - self.average);
    }

    /// Multiplies the average by a fraction.
    pub(crate) fn scale(&mut self, fraction: f64) {
        self.average *= fraction;
    }

    /// The average.
    pub(crate) fn get(self) -> f64 {
        self.average
    }
}
