//! Statistics of one machine kind.

use super::{KeyShare, RateEstimator};

/// Statistics over all servers of one machine kind. When there are many routers, each one rarely contacts a
/// given server but often some server of its kind.
#[derive(Default)]
pub(crate) struct MachineKind {
    /// The fraction of its keys that each server of this kind keeps.
    pub(crate) key_share: KeyShare,
    /// Number of ready, warm servers of this kind.
    pub(crate) warm_servers: u32,
    /// Rate of answers that this router receives per warm server.
    pub(crate) answer_rate_per_server: RateEstimator,
    judged_attempts: f64,
}

impl MachineKind {
    /// Counts an answer in time from a warm server of this kind.
    pub(crate) fn count_warm_answer(&mut self) {
        if self.warm_servers > 0 {
            let count_per_server = 1.0 / f64::from(self.warm_servers);
            self.answer_rate_per_server.count(count_per_server);
        }
    }

    /// Step size for adjusting the key share at the next attempt. It falls linearly from 1 to `min_step` over
    /// the first `ramp_attempts` attempts.
    pub(crate) fn next_step_size(&mut self, min_step: f64, ramp_attempts: f64) -> f64 {
        self.judged_attempts += 1.0;
        min_step.max(1.0 - (1.0 - min_step) * self.judged_attempts / ramp_attempts)
    }
}
