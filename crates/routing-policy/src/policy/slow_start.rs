//! Slow start: a server that is warming up gets a growing fraction of its keys, and no bursts of attempts.

use super::Policy;
use crate::interface::{Key, ServerId};
use crate::state::{BurstAllowance, HashPurpose, InFlightRequest, LeakyBucket, Server, unit_hash};

/// A server in slow start gets at most this fraction of the load at which it collapses. That load is
/// proportional to the fraction of its capacity that it has reached. The present load of a warm server counts
/// as full capacity, although a warm server may be able to take more.
const SAFE_LOAD_FRACTION: f64 = 0.8;
/// Margin, in standard deviations, between the mean number of attempts in an overload window and the number
/// that is safe. Each router counts only its own attempts. Their sum over all routers varies like a Poisson
/// count, whose standard deviation is the square root of its mean, and the worst of many windows is three
/// standard deviations above the mean.
const MARGIN_STD_DEVS: f64 = 3.0;
/// A server may get as many attempts at once as it takes within this fraction of the overload window.
const BURST_WINDOW_FRACTION: f64 = 0.5;
/// A key is hot if it occurs at least twice among this many latest requests.
pub(super) const HOT_KEY_WINDOW_REQUESTS: usize = 64;

impl Policy {
    /// Whether slow start lets a server take a request. A server that is warming up gets a growing fraction of
    /// its keys, the same keys from every router, and from each router no more than a fraction of what a warm
    /// server gets. It gets first attempts only: in an overload, the requests that warm servers reject move on
    /// along the key order at all routers at once, and would overload it.
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
        let key_share =
            self.safe_load(capacity_fraction) * self.capacity(server) / self.fleet.mean_capacity;
        // A hot key would come from all routers at once, within the burst that each of them may send.
        request.attempts_sent == 0
            && unit_hash(key, server.endpoint.id, HashPurpose::SlowStart) < key_share
            && self.burst_allowance(server).has_room()
            && !self.recent_keys.is_repeated(key)
    }

    /// Fraction of its capacity that a server has at least, at its present age.
    fn capacity_fraction(&self, server: &Server) -> f64 {
        let started = server.endpoint.started;
        if started == 0 {
            return 1.0;
        }
        let period = self.settings.warm_up_period.max(1);
        let age = self.now.saturating_sub(started) as f64 / period as f64;
        let share = self.settings.cold_capacity_share;
        (share + (1.0 - share) * age).min(1.0)
    }

    /// Load that a server with this fraction of its capacity can safely take, as a multiple of a warm server's
    /// load.
    fn safe_load(&self, capacity_fraction: f64) -> f64 {
        SAFE_LOAD_FRACTION * self.settings.overload_multiple * capacity_fraction
    }

    /// The recent attempts at a server, in a leaky bucket that leaks at the rate the server can take, and the
    /// number it takes at once.
    fn burst_allowance(&self, server: &Server) -> BurstAllowance {
        let max_rate = self.safe_load(self.capacity_fraction(server))
            * self.warm_server_requests_per_s(server)
            / 1e6;
        let window = self.settings.overload_window as f64;
        let router_count = self.settings.router_count();
        // The mean m for which the margin just fits: m + C * sqrt(m) = max_attempts, with C the margin in
        // standard deviations. C is 0 for a single router, which counts all attempts.
        let max_attempts = max_rate * window * router_count;
        let margin = MARGIN_STD_DEVS * (1.0 - 1.0 / router_count);
        let sqrt_mean = ((margin * margin + 4.0 * max_attempts).sqrt() - margin) / 2.0;
        // A window contains this router's burst in addition to what leaks within it, hence the divisor. The
        // margin covers the bursts of other routers that fall into the same window.
        let mean_rate = max_rate * sqrt_mean * sqrt_mean
            / max_attempts
            / (1.0 + BURST_WINDOW_FRACTION / router_count);
        let rate = if max_attempts > 0.0 { mean_rate } else { 0.0 };
        BurstAllowance {
            attempts: server.slow_start_bucket.level(self.now, rate),
            depth: (rate * window * BURST_WINDOW_FRACTION).max(1.0),
        }
    }

    /// Requests per second that this router sends to a warm server like this one: the lower of two estimates.
    /// The first is the server's capacity share of this router's long-term request rate, since client retries
    /// inflate the current rate. The second is the rate at which warm servers of its kind answer. Only the
    /// second shows an overload, in which the key shares of all kinds are cut and the request rate is more than
    /// any server can take.
    fn warm_server_requests_per_s(&self, server: &Server) -> f64 {
        let long_term_rate = self.own_rate(self.request_rate.admitted_long_term());
        let expected_rate = long_term_rate * self.capacity(server) / self.fleet.total_capacity;
        let kind = self.fleet.machine_kind_of(server);
        match kind.map(|kind| kind.answers_per_server.long_term()) {
            Some(answer_rate) if answer_rate > 0.0 => answer_rate.min(expected_rate),
            _ => expected_rate,
        }
    }

    pub(super) fn count_attempt(&mut self, id: ServerId) {
        let attempts = self
            .fleet
            .get(id)
            .map(|s| self.burst_allowance(s).attempts + 1.0);
        if let (Some(attempts), Some(server)) = (attempts, self.fleet.get_mut(id)) {
            server.slow_start_bucket = LeakyBucket::new(attempts, self.now);
            server.in_flight += 1;
        }
    }

    /// A server that has just started begins with its burst allowance used up, and the first attempt is allowed
    /// after a random part of the interval between two attempts. One attempt at once from each of many routers
    /// would overload it.
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
