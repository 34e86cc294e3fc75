//! Selection of a cache server: the order of servers for a key, the load bound, and the servers to skip.

use super::Policy;
use crate::interface::{Key, RequestId, ServerId};
use crate::state::{HashPurpose, InFlightRequest, OrderSegment, Server, unit_hash};

/// Load bound factor: a server is skipped once it holds this multiple of its capacity share of the router's
/// attempts in flight.
const LOAD_BOUND_FACTOR: f64 = 1.25;
/// The load bound factor while the origin has no capacity for the fetches that skipping a server causes.
const LOAD_BOUND_FACTOR_CONGESTED: f64 = 3.0;
/// Lower limit of the load bound: this many attempts in flight, divided by the number of routers. Without it, a
/// router with little traffic would scatter its keys over many servers.
const MIN_BOUND_ATTEMPTS: f64 = 8.0;
/// A server is full if the estimated wait there exceeds this fraction of the time in which an answer is useful.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// Recent answers credited to every server, so that a few attempts in flight at an idle server are accepted
/// before it has answered any.
const ANSWER_CREDIT: f64 = 2.0;
/// Once the service time is known, a server is credited with the answers that this many cores give within one
/// latency objective. One of many routers gets few answers from an idle server because it sends few requests,
/// not because the server is slow.
const CREDITED_CORES: f64 = 3.0;

/// Factor that lowers a bound on a position by more than the rounding errors of a logarithm and a division.
const ROUNDING_MARGIN: f64 = 1.0 - 1e-9;

/// Rank of a server for one request. Ranks are compared field by field; the lowest is the best.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Rank {
    /// Ejected servers rank last but stay candidates: when most servers are ejected, the failures have a shared
    /// cause, and no server is a better choice.
    is_ejected: bool,
    /// Whether an answer would be too late even in the server's minimum answer time. A client with little time
    /// left is served by a server nearby or not at all.
    is_too_slow: bool,
    is_skipped: bool,
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
    max_weight: f64,
    /// Time left in which an answer is useful, in microseconds.
    remaining_time: f64,
    bound_per_capacity: f64,
    min_bound: f64,
}

impl Rank {
    fn is_deprioritized(&self) -> bool {
        self.is_ejected || self.is_too_slow || self.is_skipped
    }
}

impl Policy {
    /// Picks the best server for a request: normally the first in the key's order within the load bound, or the
    /// first of all if none is. Returns `None` if that server is full or too slow to answer in time.
    pub(super) fn pick(&mut self, id: RequestId) -> Option<ServerId> {
        let key = self.requests.get(&id)?.key;
        let key = if key == 0 { id } else { key };
        let first = self.fleet.key_orders.take_first_segment(key);
        let picked = self.pick_from(id, key, &first);
        self.fleet.key_orders.cache_first_segment(key, first);
        picked
    }

    fn pick_from(&self, id: RequestId, key: Key, first: &OrderSegment) -> Option<ServerId> {
        let request = self.requests.get(&id)?;
        let selection = Selection::new(self, id, key, request);
        let best = selection.best(first)?;
        let is_full = selection.is_full(self.fleet.get(best.server)?);
        // A full server is not replaced by one far down the order: that would scatter the keys and empty the
        // caches.
        (!best.is_too_slow && !is_full).then_some(best.server)
    }

    /// Whether this router has enough recent answers from a server to judge its performance.
    pub(super) fn is_well_known(&self, server: &Server) -> bool {
        server.recent_answers(self.now, self.objective) >= ANSWER_CREDIT
    }
}

impl<'a> Selection<'a> {
    fn new(policy: &'a Policy, id: RequestId, key: Key, request: &'a InFlightRequest) -> Self {
        let congestion = policy.origin_limiter.congestion();
        let bound_factor =
            LOAD_BOUND_FACTOR + (LOAD_BOUND_FACTOR_CONGESTED - LOAD_BOUND_FACTOR) * congestion;
        let attempts = f64::from(policy.fleet.cache_attempts_in_flight + 1);
        // A single router counts as two: with the whole lower limit to itself, it would overload one server.
        let router_count = f64::from(policy.settings.router_count.max(2));
        let heaviest = policy.fleet.heaviest.and_then(|id| policy.fleet.get(id));
        Selection {
            policy,
            id,
            key,
            request,
            max_weight: heaviest.map_or(f64::INFINITY, |server| policy.weight(server)),
            remaining_time: request.answer_useful_until.saturating_sub(policy.now) as f64,
            bound_per_capacity: bound_factor * attempts / policy.fleet.total_capacity,
            min_bound: MIN_BOUND_ATTEMPTS / router_count,
        }
    }

    /// The best of all servers. Searching the first segment is usually enough: a server that is not
    /// deprioritized ranks before all servers that come later in the order.
    fn best(&self, first: &OrderSegment) -> Option<Rank> {
        let mut best = self.best_in_segment(first, None);
        let mut current: Option<OrderSegment> = None;
        loop {
            let segment = current.as_ref().unwrap_or(first);
            if segment.is_last() || self.beats_all_later(best, segment.max_unit_hash_after()) {
                return best;
            }
            let next = self.policy.fleet.key_orders.next_segment(self.key, segment);
            best = self.best_in_segment(&next, best);
            current = Some(next);
        }
    }

    /// The best server of a segment, or `best` if none of the segment is better.
    fn best_in_segment(&self, segment: &OrderSegment, mut best: Option<Rank>) -> Option<Rank> {
        for ranked in &segment.servers {
            if self.beats_all_later(best, ranked.unit_hash()) {
                break;
            }
            let server = self.policy.fleet.get(ranked.server);
            let Some(server) = server.filter(|server| self.is_eligible(server)) else {
                continue;
            };
            let rank = self.rank(server, ranked.unit_hash());
            if best.is_none_or(|best| rank < best) {
                best = Some(rank);
            }
        }
        best
    }

    /// Whether a rank is better than that of every server whose unit hash is at most `max_unit_hash`.
    fn beats_all_later(&self, rank: Option<Rank>, max_unit_hash: f64) -> bool {
        rank.is_some_and(|rank| {
            !rank.is_deprioritized() && rank.position < self.min_position(max_unit_hash)
        })
    }

    fn is_eligible(&self, server: &Server) -> bool {
        let is_excluded = self.request.excluded_servers.contains(&server.endpoint.id);
        !is_excluded
            && self
                .policy
                .is_allowed_by_slow_start(self.key, self.request, server)
    }

    fn rank(&self, server: &Server, unit_hash: f64) -> Rank {
        Rank {
            is_ejected: self.policy.is_ejected(server),
            is_too_slow: server.min_answer_time.get() > self.remaining_time,
            is_skipped: self.is_skipped(server),
            position: self.position(server, unit_hash),
            server: server.endpoint.id,
        }
    }

    /// Whether a later server in the order is preferred: this one has reached the load bound, its key share
    /// excludes the key, or its queue is too long.
    fn is_skipped(&self, server: &Server) -> bool {
        let bound = self.bound_per_capacity * self.policy.capacity(server);
        let skipped_share = 1.0 - self.policy.fleet.key_share(server);
        f64::from(server.in_flight) >= bound.max(self.min_bound)
            || (skipped_share > 0.0
                && unit_hash(self.key, server.endpoint.id, HashPurpose::KeyShare) < skipped_share)
            || self.queue_time(server) > self.remaining_time * MAX_WAIT_FRACTION
    }

    /// Position of a server in the key's order, lowest first (weighted rendezvous hashing). It is the same at
    /// every router, and few keys move when a server is added or removed.
    fn position(&self, server: &Server, unit_hash: f64) -> f64 {
        // The negated unit hash gives the same order without the logarithm, which took most of the time of a pick
        // at 475 servers.
        if self.policy.settings.weights_are_sizes {
            -unit_hash.ln() / self.policy.weight(server)
        } else {
            -unit_hash
        }
    }

    /// Lower bound of the positions of all servers whose unit hash is at most `max_unit_hash`.
    fn min_position(&self, max_unit_hash: f64) -> f64 {
        if self.policy.settings.weights_are_sizes {
            // -ln(x) >= 1 - x. This bound is cheaper than the logarithm and holds despite rounding.
            (1.0 - max_unit_hash) * ROUNDING_MARGIN / self.max_weight
        } else {
            -max_unit_hash
        }
    }

    fn is_full(&self, server: &Server) -> bool {
        let max_wait = self.remaining_time * MAX_WAIT_FRACTION;
        let limits_tenants = self.policy.load_shedding.limits_tenants();
        self.queue_time(server) > max_wait
            || (limits_tenants && self.backlog_time(server) > max_wait)
    }

    /// Estimated wait in a server's queue. The endpoint list gives the requests per core that all routers
    /// together have in flight there. The estimate is scaled by a factor that differs between requests;
    /// otherwise all routers would reject requests, and return to the server, in step.
    fn queue_time(&self, server: &Server) -> f64 {
        let wait = self.policy.fleet.service_time.get() * server.requests_per_core();
        if wait > 0.0 {
            wait * (0.5 + unit_hash(self.id, server.endpoint.id, HashPurpose::Queue))
        } else {
            0.0
        }
    }

    /// Time until a server has answered this router's attempts in flight, at the rate of its recent answers
    /// (Little's law). A credit of answers keeps a server that has had few requests from looking slow.
    fn backlog_time(&self, server: &Server) -> f64 {
        let objective = self.policy.objective as f64;
        let service_time = self.policy.fleet.service_time.get();
        let core_answers = CREDITED_CORES * objective / service_time;
        let credit = if service_time > 0.0 {
            core_answers
        } else {
            0.0
        };
        let answers = server.recent_answers(self.policy.now, self.policy.objective);
        f64::from(server.in_flight) * objective / (answers + credit.max(ANSWER_CREDIT))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/selection_reference.rs"]
mod reference;
