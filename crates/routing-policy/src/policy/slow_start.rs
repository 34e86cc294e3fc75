//! Slow start: a server that warms up gets a part of its keys that grows, and no burst of attempts.

use super::Policy;
use crate::interface::{Key, ServerId};
use crate::state::{Burst, InFlightRequest, LeakyBucket, Purpose, Server, unit_hash};

/// A server that warms up gets at most this part of what makes it collapse, scaled by its present part of
/// capacity; a warm one's attempts are taken for what it can do, though it may be able to do more.
const SAFE_LOAD_FRACTION: f64 = 0.8;
/// So many roots of what comes to it in the time in which it collapses are left to chance: each router counts its own
/// attempts only, their sum varies by about its root, and the worst of many windows is three roots above.
const CHANCE_ROOTS: f64 = 3.0;
/// A server takes at once what it takes within this part of the time in which it collapses.
const BURST_WINDOWS: f64 = 0.5;
/// A key is hot that was asked for twice among so many requests.
pub(super) const HOT_KEY_REQUESTS: usize = 64;

impl Policy {
    /// Whether a server may take a request. One that warms up gets a part of its keys that grows, the same
    /// keys from every router, and from each no more than a part of a warm server's requests. What the warm
    /// ones reject in an overload goes along the order at all routers at once, and must not come down on it.
    pub(super) fn may_take(&self, key: Key, request: &InFlightRequest, server: &Server) -> bool {
        let warm_up = self.warm_up(server);
        if warm_up >= 1.0 {
            return true;
        }
        let key_share = self.safe_load(warm_up) * self.capacity(server) / self.fleet.mean_capacity;
        // A hot key would come from all routers at once, from each within its burst.
        request.attempts_sent == 0
            && unit_hash(key, server.endpoint.id, Purpose::SlowStart) < key_share
            && self.burst(server).has_room()
            && !self.recent_keys.has_repeated(key)
    }

    /// Fraction of its capacity that a server has at the least, some time after its start.
    fn warm_up(&self, server: &Server) -> f64 {
        let started = server.endpoint.started;
        if started == 0 {
            return 1.0;
        }
        let period = self.settings.warm_up_period.max(1);
        let age = self.now.saturating_sub(started) as f64 / period as f64;
        let share = self.settings.cold_capacity_share;
        (share + (1.0 - share) * age).min(1.0)
    }

    /// Multiple of a warm server's load that one that is warmed up so far can take.
    fn safe_load(&self, warm_up: f64) -> f64 {
        SAFE_LOAD_FRACTION * self.settings.overload_multiple * warm_up
    }

    /// Recent attempts at a server, as they leak at the rate that it can take, and how many it takes at once.
    fn burst(&self, server: &Server) -> Burst {
        let most = self.safe_load(self.warm_up(server)) * self.warm_server_rate(server) / 1e6;
        let window = self.settings.overload_window as f64;
        let routers = self.settings.router_count();
        // Of all that may be sent within the window, m is usual where m + C * sqrt(m) = all.
        let all = most * window * routers;
        let chance = CHANCE_ROOTS * (1.0 - 1.0 / routers);
        let root = ((chance * chance + 4.0 * all).sqrt() - chance) / 2.0;
        // A window holds this router's burst beside what leaks within it; that the bursts of others fall into the same
        // window is left to chance.
        let usual = most * root * root / all / (1.0 + BURST_WINDOWS / routers);
        let rate = if all > 0.0 { usual } else { 0.0 };
        Burst {
            attempts: server.slow_start.level(self.now, rate),
            depth: (rate * window * BURST_WINDOWS).max(1.0),
        }
    }

    /// Requests per second that a warm server like this one has from this router: its part of the usual ones
    /// (client retries swell the current ones), or what the warm ones of its kind answer where that is less. An
    /// overload shows in the second only: all kinds are left fewer keys in it, and requests are more than any
    /// server can take.
    fn warm_server_rate(&self, server: &Server) -> f64 {
        let usual_rate = self.own_rate(self.request_rate.admitted_usually());
        let part = usual_rate * self.capacity(server) / self.fleet.total_capacity;
        let kind = self.fleet.kind_of(server);
        match kind.map(|kind| kind.answers_per_server.long_term()) {
            Some(answered) if answered > 0.0 => answered.min(part),
            _ => part,
        }
    }

    pub(super) fn count_attempt(&mut self, id: ServerId) {
        let attempts = self.fleet.get(id).map(|s| self.burst(s).attempts + 1.0);
        if let (Some(attempts), Some(server)) = (attempts, self.fleet.get_mut(id)) {
            server.slow_start = LeakyBucket::new(attempts, self.now);
            server.in_flight += 1;
        }
    }

    /// The burst of a server that has just started is used up: the first attempt comes after a random part of
    /// the time between two. One at once from each of many routers would overload it.
    pub(super) fn begin_slow_start(&mut self, id: ServerId) {
        let wait = self.random.unit();
        let attempts = self.fleet.get(id).map(|s| wait + self.burst(s).depth);
        if let (Some(attempts), Some(server)) = (attempts, self.fleet.get_mut(id)) {
            server.slow_start = LeakyBucket::new(attempts, self.now);
        }
    }
}
