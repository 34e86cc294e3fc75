//! Slow start: a server that is warming up gets a growing fraction of its keys, and no bursts of attempts.

use super::Policy;
use crate::interface::{Key, ServerId};
use crate::state::{BurstAllowance, HashPurpose, InFlightRequest, LeakyBucket, Server, unit_hash};

/// A server in slow start gets at most this fraction of the load at which it collapses. The collapse load is
/// the overload multiple times the server's present capacity. The present load of a warm server counts as full
/// capacity. This is a low estimate, since a warm server may be able to take more.
const SAFE_LOAD_FRACTION: f64 = 0.8;
/// The mean number of attempts at a server in an overload window is this many standard deviations below the
/// safe number. Each router counts only its own attempts. Their sum over all routers varies like a Poisson
/// count, whose standard deviation is the square root of its mean. In the worst of many windows, the sum is
/// three standard deviations above the mean.
const MARGIN_STD_DEVS: f64 = 3.0;
/// A router may send a server a burst of as many attempts as its permitted rate gives in this fraction of the
/// overload window.
const BURST_WINDOW_FRACTION: f64 = 0.5;
/// A key is hot if at least two of this many most recent requests are for it.
pub(super) const HOT_KEY_WINDOW_REQUESTS: usize = 64;

impl Policy {
    /// Whether slow start allows a request to be sent to a server. A server that is warming up gets a growing
    /// fraction of its keys, and every router chooses the same keys. Each router also limits its attempts at the
    /// server, in proportion to what it sends to a warm server. The server gets only first attempts. In an
    /// overload, warm servers reject requests, and all routers at once retry these at the next server in the key
    /// order. Such retries would overload a server that is warming up.
    pub(super) fn is_allowed_by_slow_start(
        &self,
        key: Key,
        request: &InFlightRequest,
        server: &Server,
    ) -> bool {
        let capacity_fraction = self.capacity_fraction(server);
        if capacity_fraction >= 1.0 {
            return true;
        }
        let allowed_key_fraction =
            self.safe_load(capacity_fraction) * self.capacity(server) / self.fleet.mean_capacity;
        // Requests for a hot key arrive at all routers at once. Each router would stay within its own burst
        // allowance, but the server would get the sum of these bursts.
        request.attempts_sent == 0
            && unit_hash(key, server.endpoint.id, HashPurpose::SlowStart) < allowed_key_fraction
            && self.burst_allowance(server).has_room()
            && !self.recent_keys.is_repeated(key)
    }

    /// Lower bound on the fraction of its capacity that a server has reached. It grows linearly during the
    /// warm-up period.
    fn capacity_fraction(&self, server: &Server) -> f64 {
        let started = server.endpoint.started;
        if started == 0 {
            return 1.0;
        }
        let warm_up_period = self.settings.warm_up_period.max(1);
        let relative_age = self.now.saturating_sub(started) as f64 / warm_up_period as f64;
        let cold_share = self.settings.cold_capacity_share;
        (cold_share + (1.0 - cold_share) * relative_age).min(1.0)
    }

    /// Load that a server with this fraction of its capacity can safely take, as a multiple of a warm server's
    /// load.
    fn safe_load(&self, capacity_fraction: f64) -> f64 {
        SAFE_LOAD_FRACTION * self.settings.overload_multiple * capacity_fraction
    }

    /// This router's recent attempts at a server, and the highest number of them that is allowed. Attempts leak
    /// from the server's bucket at the rate that this router may send to it.
    fn burst_allowance(&self, server: &Server) -> BurstAllowance {
        let safe_rate_per_us = self.safe_load(self.capacity_fraction(server))
            * self.warm_server_requests_per_s(server)
            / 1e6;
        let window = self.settings.overload_window as f64;
        let router_count = self.settings.router_count();
        // Solves m + C * sqrt(m) = safe_attempts, where m is the mean number of attempts of all routers in an
        // overload window and C is the margin in standard deviations. C is 0 for a single router, which counts
        // all attempts.
        let safe_attempts = safe_rate_per_us * window * router_count;
        let margin = MARGIN_STD_DEVS * (1.0 - 1.0 / router_count);
        let sqrt_mean = ((margin * margin + 4.0 * safe_attempts).sqrt() - margin) / 2.0;
        // Within one window, this router may send a burst in addition to the attempts that leak from the bucket.
        // The divisor 1.0 + ... allows for this burst. The margin covers the bursts of other routers in the same
        // window.
        let mean_rate_per_us = safe_rate_per_us * sqrt_mean * sqrt_mean
            / safe_attempts
            / (1.0 + BURST_WINDOW_FRACTION / router_count);
        let rate_per_us = if safe_attempts > 0.0 {
            mean_rate_per_us
        } else {
            0.0
        };
        BurstAllowance {
            attempts: server.slow_start_bucket.level(self.now, rate_per_us),
            depth: (rate_per_us * window * BURST_WINDOW_FRACTION).max(1.0),
        }
    }

    /// Requests per second that this router sends to a warm server like this one: the lower of two estimates.
    /// The first is this router's request rate times the server's fraction of the total capacity. It uses the
    /// long-term rate, since client retries inflate the current rate. The second is the rate at which a warm
    /// server of the same kind answers. Only the second shows an overload. The first does not, because the key
    /// shares of all kinds are cut, and because the request rate is more than any server can take.
    fn warm_server_requests_per_s(&self, server: &Server) -> f64 {
        let long_term_rate = self.router_request_rate(self.request_rate.long_term_admitted_rate());
        let expected_rate = long_term_rate * self.capacity(server) / self.fleet.total_capacity;
        let kind = self.fleet.machine_kind_of(server);
        match kind.map(|kind| kind.answer_rate_per_server.long_term()) {
            Some(answer_rate) if answer_rate > 0.0 => answer_rate.min(expected_rate),
            _ => expected_rate,
        }
    }

    pub(super) fn record_sent_attempt(&mut self, id: ServerId) {
        let attempts = self
            .fleet
            .get(id)
            .map(|s| self.burst_allowance(s).attempts + 1.0);
        if let (Some(attempts), Some(server)) = (attempts, self.fleet.get_mut(id)) {
            server.slow_start_bucket = LeakyBucket::new(attempts, self.now);
            server.in_flight += 1;
        }
    }

    /// Begins the slow start of a server that has just started. Its burst allowance is used up at first, so the
    /// first attempt is allowed only after a random fraction of the interval between two attempts. Otherwise
    /// each of many routers could send an attempt at once, which would overload the server.
    pub(super) fn begin_slow_start(&mut self, id: ServerId) {
        let random_level = self.random.unit();
        let attempts = self
            .fleet
            .get(id)
            .map(|s| random_level + self.burst_allowance(s).depth);
        if let (Some(attempts), Some(server)) = (attempts, self.fleet.get_mut(id)) {
            server.slow_start_bucket = LeakyBucket::new(attempts, self.now);
        }
    }
}
