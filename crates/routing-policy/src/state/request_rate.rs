//! The rate of requests that a router has to serve.

use super::RateEstimator;
use crate::interface::{Micros, Settings};

/// This router's equal part of all quotas, and the rate of the requests that it admits.
#[derive(Default)]
pub(crate) struct RequestRate {
    quota_share: f64,
    admitted: RateEstimator,
}

impl RequestRate {
    /// The rate by these settings, before any request.
    pub(crate) fn new(settings: &Settings) -> Self {
        let quotas: f64 = settings.tenants.iter().map(|t| t.quota_per_s).sum();
        RequestRate {
            quota_share: quotas / settings.router_count(),
            admitted: RateEstimator::default(),
        }
    }

    /// This router's equal part of all quotas; 0 where there are none.
    pub(crate) fn quota_share(&self) -> f64 {
        self.quota_share
    }

    /// Requests admitted per second, over about the last second.
    pub(crate) fn admitted_lately(&self) -> f64 {
        self.admitted.short_term()
    }

    /// Requests admitted per second, over about the last half minute.
    pub(crate) fn admitted_usually(&self) -> f64 {
        self.admitted.long_term()
    }

    /// Counts a request that was admitted.
    pub(crate) fn count(&mut self) {
        self.admitted.count(1.0);
    }

    /// Takes what was counted in a period into the rates.
    pub(crate) fn end_period(&mut self, period: Micros) {
        self.admitted.end_period(period);
    }
}
