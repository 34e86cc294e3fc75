//! A budget for retries.

/// The number of retries that may still be made. Fractions accumulate.
pub(crate) struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    /// Creates a budget of `retries` retries.
    pub(crate) fn new(retries: f64) -> Self {
        RetryBudget { retries }
    }

    /// Adds to the budget, up to `max`.
    pub(crate) fn deposit(&mut self, retries: f64, max: f64) {
        self.retries = (self.retries + retries).min(max);
    }

    /// Whether the budget covers a cost in retries.
    pub(crate) fn covers(&self, cost: f64) -> bool {
        self.retries >= cost
    }

    /// Deducts a cost in retries.
    pub(crate) fn withdraw(&mut self, cost: f64) {
        self.retries -= cost;
    }
}
