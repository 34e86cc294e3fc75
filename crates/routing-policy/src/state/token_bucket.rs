//! A token bucket that is refilled on access.

use crate::interface::Micros;

/// Stores the tokens and the time of the last refill. Rate and depth are supplied on each refill, because they
/// change.
#[derive(Default, Clone)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Adds the tokens that have accrued since the last refill, up to `depth`. Returns whether at least one
    /// token is available.
    pub(crate) fn refill(&mut self, now: Micros, per_s: f64, depth: f64) -> bool {
        let added = per_s.max(0.0) * now.saturating_sub(self.refilled_at) as f64 / 1e6;
        // An infinite rate times zero elapsed time is NaN.
        if !added.is_nan() {
            self.tokens = (self.tokens + added).min(depth);
        }
        self.refilled_at = now;
        self.tokens >= 1.0
    }

    /// Removes one token, or the remaining fraction if there is less than one.
    pub(crate) fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Returns one token to the bucket.
    pub(crate) fn refund(&mut self) {
        self.tokens += 1.0;
    }
}
