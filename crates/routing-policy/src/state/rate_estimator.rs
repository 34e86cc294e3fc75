//! Event rates, smoothed over a short and a long time scale.

use crate::interface::Micros;

/// Averaging time of the long-term rate, in seconds.
const LONG_TERM_S: f64 = 30.0;

/// Exponentially weighted moving averages of a rate in events per second. The short-term average covers about
/// one second. The long-term average covers half a minute, or the time since the start if that is shorter.
#[derive(Default)]
pub(crate) struct RateEstimator {
    period_events: f64,
    averaged_s: f64,
    short_term: f64,
    long_term: f64,
}

impl RateEstimator {
    /// Counts an event, or a fraction of one.
    pub(crate) fn count(&mut self, events: f64) {
        self.period_events += events;
    }

    /// Events per second over about the last second.
    pub(crate) fn short_term(&self) -> f64 {
        self.short_term
    }

    /// Events per second over about the last 30 s.
    pub(crate) fn long_term(&self) -> f64 {
        self.long_term
    }

    /// Updates both rates with the events counted in a period, and starts the next period.
    pub(crate) fn end_period(&mut self, period: Micros) {
        let period_s = period as f64 / 1e6;
        let rate = self.period_events / period_s;
        self.averaged_s = (self.averaged_s + period_s).min(LONG_TERM_S);
        self.short_term += (rate - self.short_term) * period_s.min(1.0);
        self.long_term += (rate - self.long_term) * period_s / self.averaged_s;
        self.period_events = 0.0;
    }
}
