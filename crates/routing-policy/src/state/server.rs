//! The record of one server.

use super::{KeyShare, LeakyBucket, SmoothedTime};
use crate::interface::{DeduplicationScope, Endpoint, EndpointState, Micros};

/// Below this a weight is taken for it, as it divides.
const MIN_WEIGHT: f32 = 1e-3;

/// An ejection of a server.
#[derive(Clone, Copy)]
pub(crate) struct Ejection {
    /// When its time is over.
    pub(crate) until: Micros,
    /// How long it lasts.
    pub(crate) time: Micros,
}

/// A server of the endpoint list, and what this router has seen of it.
#[derive(Default)]
pub(crate) struct Server {
    /// Its line of the list.
    pub(crate) endpoint: Endpoint,
    /// Whether it is the origin.
    pub(crate) is_origin: bool,
    /// The highest weight seen; where weights fall with load, that of the idle server.
    pub(crate) idle_weight: f32,
    /// Attempts of this router without outcome.
    pub(crate) in_flight: u32,
    /// When it last answered.
    pub(crate) answered_at: Micros,
    /// Its answers within about one objective, as a decaying count at `answered_at`.
    pub(crate) answers: f64,
    /// About the least time in which it serves, the network included.
    pub(crate) fastest: SmoothedTime,
    /// The share of its keys that it is left.
    pub(crate) key_share: KeyShare,
    /// Steps by which its kind was reduced since its last answer in good time.
    pub(crate) kind_steps: f64,
    /// Failures with no answer between them, less one for each answer since.
    pub(crate) consecutive_failures: u32,
    /// Whether the last failure was one to connect.
    pub(crate) unreachable: bool,
    /// Its ejection, over or not, until it answers.
    pub(crate) ejection: Option<Ejection>,
    /// Recent attempts at it, for its slow start.
    pub(crate) slow_start: LeakyBucket,
}

impl Server {
    /// Whether it is a cache server that may get requests.
    pub(crate) fn is_ready_cache(&self) -> bool {
        self.endpoint.state == EndpointState::Ready && !self.is_origin
    }

    /// Counts an answer to an attempt with this objective.
    pub(crate) fn count_answer(&mut self, now: Micros, objective: Micros) {
        self.answers = 1.0 + self.recent_answers(now, objective);
        self.answered_at = now;
    }

    /// Takes one failure off the count.
    pub(crate) fn forgive_failure(&mut self) {
        self.consecutive_failures = self.consecutive_failures.saturating_sub(1);
    }

    /// Its answers as they count now, decaying over a span.
    pub(crate) fn recent_answers(&self, now: Micros, span: Micros) -> f64 {
        self.answers * (-((now - self.answered_at) as f64) / span as f64).exp()
    }

    /// Requests in flight there for each core, from all routers, as far as its weight tells.
    pub(crate) fn requests_per_core(&self) -> f64 {
        f64::from(self.idle_weight / self.endpoint.weight.max(MIN_WEIGHT) - 1.0).max(0.0)
    }

    /// Whether it is past the time in which a started process warms up.
    pub(crate) fn is_warm(&self, now: Micros, warm_up_period: Micros) -> bool {
        self.endpoint.started.saturating_add(warm_up_period) <= now
    }

    /// Whether two servers know of each other's requests with idempotency keys. The origin is a group of its
    /// own: cache servers do not know what it has seen.
    pub(crate) fn deduplicates_with(&self, other: &Server, scope: DeduplicationScope) -> bool {
        let (this, that) = (&self.endpoint, &other.endpoint);
        match scope {
            _ if self.is_origin || other.is_origin => this.id == that.id,
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => this.zone == that.zone,
            DeduplicationScope::Cell => this.cell == that.cell,
        }
    }
}
