//! Selection of a cache server: the key's order, the load bound, and servers to be passed over.

use super::Policy;
use crate::interface::{Key, RequestId, ServerId};
use crate::state::{InFlightRequest, OrderSegment, Purpose, Server, unit_hash};

/// A server is passed over from this multiple of its part of this router's attempts in flight.
const LOAD_BOUND: f64 = 1.25;
/// The same multiple while the origin has no capacity for the fetches that passing over costs.
const LOAD_BOUND_CONGESTED: f64 = 3.0;
/// The bound is not below this router's part of so many attempts: a quiet router would scatter its keys otherwise.
const LEAST_BOUND_ATTEMPTS: f64 = 8.0;
/// A server is full if its queue takes longer than this fraction of the remaining time.
const FULL_FRACTION: f64 = 0.5;
/// Answers that a server is credited with before any were seen: a few attempts in flight at an idle one pass.
const ANSWER_CREDIT: f64 = 2.0;
/// Once the time that servers take is known, a server is credited with the answers of so many cores within a latency
/// objective. The few answers that one of many routers draws from an idle server tell how little it asked, not how little
/// the server can do.
const CREDITED_CORES: f64 = 3.0;

/// Less than the least error that a logarithm and a division could add to a position.
const ROUNDING: f64 = 1.0 - 1e-9;

/// How good a server is for a request; the least is the best, compared field by field.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Rank {
    /// Last, not left out: when most look bad the cause is shared, and there is no better place.
    is_ejected: bool,
    /// A client in a hurry is served by a server near by or not at all.
    is_too_slow: bool,
    is_passed_over: bool,
    position: f64,
    server: ServerId,
}

/// The search for a server for one request.
struct Selection<'a> {
    policy: &'a Policy,
    id: RequestId,
    key: Key,
    request: &'a InFlightRequest,
    /// The largest weight of any server.
    most_weight: f64,
    /// Time in which an answer still earns, microseconds.
    remaining: f64,
    bound_per_capacity: f64,
    least_bound: f64,
}

impl Rank {
    fn has_objection(&self) -> bool {
        self.is_ejected || self.is_too_slow || self.is_passed_over
    }
}

impl Policy {
    /// The first server in the key's order within the load bound, else the first; none where that is full.
    pub(super) fn pick(&mut self, id: RequestId) -> Option<ServerId> {
        let key = self.requests.get(&id)?.key;
        let key = if key == 0 { id } else { key };
        let first = self.fleet.key_orders.take_first(key);
        let picked = self.pick_from(id, key, &first);
        self.fleet.key_orders.keep(key, first);
        picked
    }

    fn pick_from(&self, id: RequestId, key: Key, first: &OrderSegment) -> Option<ServerId> {
        let request = self.requests.get(&id)?;
        let selection = Selection::new(self, id, key, request);
        let best = selection.best(first)?;
        let is_full = selection.is_full(self.fleet.get(best.server)?);
        // Passing over a full server for one far down the order would scatter the keys and empty the caches.
        (!best.is_too_slow && !is_full).then_some(best.server)
    }

    /// Whether this router sees enough of a server to tell how it does.
    pub(super) fn is_well_known(&self, server: &Server) -> bool {
        server.recent_answers(self.now, self.objective) >= ANSWER_CREDIT
    }
}

impl<'a> Selection<'a> {
    fn new(policy: &'a Policy, id: RequestId, key: Key, request: &'a InFlightRequest) -> Self {
        let congestion = policy.origin_limiter.congestion();
        let multiple = LOAD_BOUND + (LOAD_BOUND_CONGESTED - LOAD_BOUND) * congestion;
        let attempts = f64::from(policy.fleet.cache_attempts + 1);
        // All of it from one router alone is a crowd.
        let routers = f64::from(policy.settings.balancer_count.max(2));
        let heaviest = policy.fleet.heaviest.and_then(|id| policy.fleet.get(id));
        Selection {
            policy,
            id,
            key,
            request,
            most_weight: heaviest.map_or(f64::INFINITY, |server| policy.weight(server)),
            remaining: request.useful_until.saturating_sub(policy.now) as f64,
            bound_per_capacity: multiple * attempts / policy.fleet.total_capacity,
            least_bound: LEAST_BOUND_ATTEMPTS / routers,
        }
    }

    /// The best of all servers. Those of the first segment mostly do: a server without objection is better
    /// than all that have to come later in the order.
    fn best(&self, first: &OrderSegment) -> Option<Rank> {
        let mut best = self.best_of(first, None);
        let mut last: Option<OrderSegment> = None;
        loop {
            let segment = last.as_ref().unwrap_or(first);
            if segment.is_last() || self.beats_all_behind(best, segment.most_draw_behind()) {
                return best;
            }
            let next = self.policy.fleet.key_orders.next_segment(self.key, segment);
            best = self.best_of(&next, best);
            last = Some(next);
        }
    }

    /// The better of a server and the best of a segment.
    fn best_of(&self, segment: &OrderSegment, mut best: Option<Rank>) -> Option<Rank> {
        for place in &segment.servers {
            if self.beats_all_behind(best, place.draw()) {
                break;
            }
            let server = self.policy.fleet.get(place.server);
            let Some(server) = server.filter(|server| self.is_eligible(server)) else {
                continue;
            };
            let rank = self.rank(server, place.draw());
            if best.is_none_or(|best| rank < best) {
                best = Some(rank);
            }
        }
        best
    }

    /// Whether a server is better than all whose draws are at most this.
    fn beats_all_behind(&self, rank: Option<Rank>, draw: f64) -> bool {
        rank.is_some_and(|rank| !rank.has_objection() && rank.position < self.first_position(draw))
    }

    fn is_eligible(&self, server: &Server) -> bool {
        let is_excluded = self.request.excluded_servers.contains(&server.endpoint.id);
        !is_excluded && self.policy.may_take(self.key, self.request, server)
    }

    fn rank(&self, server: &Server, draw: f64) -> Rank {
        Rank {
            is_ejected: self.policy.is_ejected(server),
            is_too_slow: server.fastest.get() > self.remaining,
            is_passed_over: self.is_passed_over(server),
            position: self.position(server, draw),
            server: server.endpoint.id,
        }
    }

    /// Whether the next server in the order is to be preferred.
    fn is_passed_over(&self, server: &Server) -> bool {
        let bound = self.bound_per_capacity * self.policy.capacity(server);
        let shed = 1.0 - self.policy.fleet.key_share(server);
        f64::from(server.in_flight) >= bound.max(self.least_bound)
            || (shed > 0.0 && unit_hash(self.key, server.endpoint.id, Purpose::KeyShare) < shed)
            || self.queue_time(server) > self.remaining * FULL_FRACTION
    }

    /// Position of a server in the key's order, the smaller the earlier (weighted rendezvous hashing): the same
    /// at every router, and little moves when a server comes or goes.
    fn position(&self, server: &Server, draw: f64) -> f64 {
        // The same order without the logarithm, which was most of a pick at 475 servers.
        if self.policy.settings.weights_are_sizes {
            -draw.ln() / self.policy.weight(server)
        } else {
            -draw
        }
    }

    /// No server whose draw is at most this comes earlier in the order.
    fn first_position(&self, draw: f64) -> f64 {
        if self.policy.settings.weights_are_sizes {
            // A bound of the logarithm that costs less and holds whatever its last digits are.
            (1.0 - draw) * ROUNDING / self.most_weight
        } else {
            -draw
        }
    }

    fn is_full(&self, server: &Server) -> bool {
        let most = self.remaining * FULL_FRACTION;
        let limits_tenants = self.policy.load_shedding.limits_tenants();
        self.queue_time(server) > most || (limits_tenants && self.backlog_time(server) > most)
    }

    /// Wait at a server by what the list tells of the requests that all routers together have there. Each
    /// request takes it for more or less, else all routers would reject, and come back, in step.
    fn queue_time(&self, server: &Server) -> f64 {
        let wait = self.policy.fleet.service_time.get() * server.requests_per_core();
        if wait > 0.0 {
            wait * (0.5 + unit_hash(self.id, server.endpoint.id, Purpose::Queue))
        } else {
            0.0
        }
    }

    /// Time until a server has answered what this router has in flight there, at the pace of its latest
    /// answers (Little's law), with a credit for a server that has had little to answer.
    fn backlog_time(&self, server: &Server) -> f64 {
        let objective = self.policy.objective as f64;
        let service_time = self.policy.fleet.service_time.get();
        let cores = CREDITED_CORES * objective / service_time;
        let credit = if service_time > 0.0 { cores } else { 0.0 };
        let answers = server.recent_answers(self.policy.now, self.policy.objective);
        f64::from(server.in_flight) * objective / (answers + credit.max(ANSWER_CREDIT))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/selection_reference.rs"]
mod reference;
