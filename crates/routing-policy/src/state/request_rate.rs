//! The request rate that a router has to serve.

use super::RateEstimator;
use crate::interface::{Micros, Settings};

/// This router's equal share of the sum of all quotas, and the rate of requests that it admits.
#[derive(Default)]
pub(crate) struct RequestRate {
    quota_share: f64,
    admitted: RateEstimator,
}

impl RequestRate {
    /// Creates the state from the settings. The admitted rate starts at 0.
    pub(crate) fn new(settings: &Settings) -> Self {
        let quotas: f64 = settings.tenants.iter().map(|t| t.quota_per_s).sum();
        RequestRate {
            quota_share: quotas / settings.router_count(),
            admitted: RateEstimator::default(),
        }
    }

    /// This router's equal share of the sum of all quotas, in requests per second; 0 if there are no tenants.
    pub(crate) fn quota_share(&self) -> f64 {
        self.quota_share
    }

    /// Requests admitted per second, over about the last second.
    pub(crate) fn short_term_admitted_rate(&self) -> f64 {
        self.admitted.short_term()
    }

    /// Requests admitted per second, over about the last 30 s.
    pub(crate) fn long_term_admitted_rate(&self) -> f64 {
        self.admitted.long_term()
    }

    /// Counts an admitted request.
    pub(crate) fn count(&mut self) {
        self.admitted.count(1.0);
    }

    /// Updates the rates with the requests counted in the period that ends.
    pub(crate) fn end_period(&mut self, period: Micros) {
        self.admitted.end_period(period);
    }
}
