//! The policy's random number generator.

use oorandom::Rand64;

/// A deterministic random number generator: the sequence depends on the seed alone.
pub(crate) struct Random(Rand64);

impl Random {
    /// Creates a generator from a seed.
    pub(crate) fn new(seed: u64) -> Self {
        Random(Rand64::new(seed.into()))
    }

    /// Returns a uniform random number in [0, 1).
    pub(crate) fn unit(&mut self) -> f64 {
        self.0.rand_float()
    }
}
