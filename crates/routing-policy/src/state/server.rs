//! State of one server.

use super::{KeyShare, LeakyBucket, SmoothedTime};
use crate::interface::{DeduplicationScope, Endpoint, EndpointState, Micros};

/// Lower bound on a weight that is used as a divisor.
const MIN_WEIGHT: f32 = 1e-3;

/// The ejection of a server from the candidates for requests.
#[derive(Clone, Copy)]
pub(crate) struct Ejection {
    /// When the ejection ends.
    pub(crate) until: Micros,
    /// Duration of the ejection.
    pub(crate) duration: Micros,
}

/// A server of the endpoint list, and what this router has observed of it.
#[derive(Default)]
pub(crate) struct Server {
    /// Its entry in the endpoint list.
    pub(crate) endpoint: Endpoint,
    /// Whether it is the origin.
    pub(crate) is_origin: bool,
    /// The highest weight seen. If weights fall with load, this is the weight of the idle server.
    pub(crate) idle_weight: f32,
    /// Number of attempts of this router in flight there.
    pub(crate) in_flight: u32,
    /// Time of its last answer.
    pub(crate) answered_at: Micros,
    /// Count of its answers, as of `answered_at`. The count decays exponentially with a time constant of one
    /// latency objective.
    pub(crate) answers: f64,
    /// Approximately its shortest answer time, including the network.
    pub(crate) min_answer_time: SmoothedTime,
    /// The fraction of its keys that it keeps.
    pub(crate) key_share: KeyShare,
    /// Total of the steps by which it has reduced its machine kind's key share since its last answer in time.
    pub(crate) kind_cut_steps: f64,
    /// Up-down count of failures: each failure adds one, each answer subtracts one, not below 0.
    pub(crate) failure_count: u32,
    /// Whether its last failure was a failure to connect.
    pub(crate) unreachable: bool,
    /// Its ejection. It remains set after its end, until the server answers.
    pub(crate) ejection: Option<Ejection>,
    /// Recent attempts at this server, which slow start limits.
    pub(crate) slow_start_bucket: LeakyBucket,
}

impl Server {
    /// Whether it is a cache server that may receive requests.
    pub(crate) fn is_ready_cache(&self) -> bool {
        self.endpoint.state == EndpointState::Ready && !self.is_origin
    }

    /// Counts an answer to an attempt with the given latency objective.
    pub(crate) fn count_answer(&mut self, now: Micros, objective: Micros) {
        self.answers = 1.0 + self.recent_answers(now, objective);
        self.answered_at = now;
    }

    /// Reduces the failure count by one, not below 0.
    pub(crate) fn decrement_failures(&mut self) {
        self.failure_count = self.failure_count.saturating_sub(1);
    }

    /// The count of its answers, decayed to `now` with the given time constant.
    pub(crate) fn recent_answers(&self, now: Micros, time_constant: Micros) -> f64 {
        self.answers * (-((now - self.answered_at) as f64) / time_constant as f64).exp()
    }

    /// Requests in flight at the server per core, from all routers, as derived from its weight.
    pub(crate) fn requests_per_core(&self) -> f64 {
        f64::from(self.idle_weight / self.endpoint.weight.max(MIN_WEIGHT) - 1.0).max(0.0)
    }

    /// Whether the warm-up period since the start of its process has passed.
    pub(crate) fn is_warm(&self, now: Micros, warm_up_period: Micros) -> bool {
        self.endpoint.started.saturating_add(warm_up_period) <= now
    }

    /// Whether two servers share the idempotency keys that they have seen. The origin forms a group of its own,
    /// because cache servers do not know which keys it has seen.
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
