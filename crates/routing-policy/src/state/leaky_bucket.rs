//! A leaky bucket whose leak rate is supplied on each read.

use crate::interface::Micros;

/// The recent attempts at a server, and the limit on them.
pub(crate) struct BurstAllowance {
    /// The bucket level: attempts that have not yet leaked away.
    pub(crate) attempts: f64,
    /// The highest level of the bucket.
    pub(crate) depth: f64,
}

impl BurstAllowance {
    /// Whether another attempt is allowed.
    pub(crate) fn has_room(&self) -> bool {
        self.attempts < self.depth
    }
}

/// Stores the level of the bucket as of its last change.
#[derive(Default, Clone, Copy)]
pub(crate) struct LeakyBucket {
    level: f64,
    changed_at: Micros,
}

impl LeakyBucket {
    /// Creates a bucket with the given level at `now`.
    pub(crate) fn new(level: f64, now: Micros) -> Self {
        LeakyBucket {
            level,
            changed_at: now,
        }
    }

    /// The level at `now`, given a leak rate per microsecond.
    pub(crate) fn level(self, now: Micros, leak_per_us: f64) -> f64 {
        let level = self.level - leak_per_us * (now - self.changed_at) as f64;
        level.max(0.0)
    }
}
