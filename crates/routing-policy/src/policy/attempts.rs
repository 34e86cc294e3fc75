//! Attempts: sending, outcomes, the retry budget, hedging, and idempotency.

use super::Policy;
use crate::interface::{
    Action, AttemptOutcome, AttemptStatus, EndpointState, Idempotency, Micros, RequestId, ServerId,
    Settings,
};
use crate::state::{Attempt, AttemptId, AttemptKind, InFlightRequest, Server, Timer};

/// Fraction of its latency objective after which an attempt is slow. After twice that it is nearly late.
const SLOW_FRACTION: f64 = 0.4;
/// Retries that each request adds to the budget for hedged requests and for retries of attempts that may have
/// run.
pub(super) const BUDGETED_RETRIES_PER_REQUEST: f64 = 0.05;
/// The most retries that the budget holds.
pub(super) const MAX_BUDGETED_RETRIES: f64 = 5.0;
/// Retries that the budget is charged for a hedged request, or for a retry of an attempt that may still be
/// running.
const RETRY_COST: f64 = 1.0;
/// Ticks before the end of a deduplication window from which nothing is sent again: a timer may be a tick late,
/// and the server's window may have begun a tick earlier.
const DEDUPLICATION_MARGIN_TICKS: Micros = 2;
/// Weight of an answer in the smoothed service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Weight of an answer in its server's minimum answer time, if it is slower than that. A faster answer replaces
/// the minimum, so that it measures the network without random variation or queueing.
const MIN_ANSWER_TIME_WEIGHT: f64 = 0.02;
/// The costs of connections in the settings are those of one router in a deployment of this many.
const CONNECTION_COST_ROUTERS: f64 = 100.0;

/// Whether idle connections are closed, because they cost more than they save. Whatever the traffic, the cost
/// of keeping connections open grows with the number of routers, and the cost of opening them again does not.
pub(super) fn closes_idle_connections(settings: &Settings) -> bool {
    let keeping_cost = f64::from(settings.router_count) * settings.connection_cost;
    keeping_cost > CONNECTION_COST_ROUTERS * settings.handshake_cost
}

impl Policy {
    /// Sends an attempt, or returns false if a rule forbids it. No other function sends attempts.
    pub(super) fn send(&mut self, id: RequestId, server: ServerId, kind: AttemptKind) -> bool {
        let may_send = self.may_send(id, server);
        let Some(request) = self.requests.get_mut(&id).filter(|_| may_send) else {
            return false;
        };
        let objective = self.settings.classes[request.class].latency_objective;
        let slow_after = (objective as f64 * SLOW_FRACTION) as Micros;
        let attempt = Attempt::new(server, kind, self.now, objective, slow_after);
        let attempt_id = AttemptId::new(id, request.begin_attempt(server, self.now));
        self.record_sent_attempt(server);
        if attempt.is_cache_read() {
            self.fleet.cache_attempts_in_flight += 1;
            self.set_timer(attempt.slow_after, Timer::AttemptSlow(attempt_id));
        } else {
            self.origin_limiter.begin_call(kind);
        }
        self.attempts.insert(attempt_id, attempt);
        self.actions.push(Action::Send {
            request: id,
            server,
            give_up_after: 0,
        });
        true
    }

    fn may_send(&self, id: RequestId, server: ServerId) -> bool {
        let (Some(request), Some(server)) = (self.requests.get(&id), self.fleet.get(server)) else {
            return false;
        };
        self.now < request.deadline_at
            && u32::from(request.attempts_sent) < self.settings.max_attempts
            && server.endpoint.state == EndpointState::Ready
            && (request.attempts_in_flight == 0 || self.settings.may_hedge)
            && self.may_run_again(request, server)
    }

    /// Whether a retry has no second effect. A retry of an attempt that may have run goes only to servers that
    /// drop it as a duplicate, and only while they do so.
    fn may_run_again(&self, request: &InFlightRequest, server: &Server) -> bool {
        let Some(first) = request.possible_executions.first() else {
            return true;
        };
        match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::Deduplicated { scope, window } => {
                let first_server = self.fleet.get(first.server);
                let is_dropped = first_server.is_some_and(|s| s.deduplicates_with(server, scope));
                let margin = DEDUPLICATION_MARGIN_TICKS * self.settings.tick;
                is_dropped && self.now + margin < first.sent_at + window
            }
        }
    }

    pub(super) fn is_idempotent(&self, class: usize) -> bool {
        self.settings.classes[class].idempotency == Idempotency::Idempotent
    }

    /// Ends an attempt: its request has its final answer, waits for other attempts, or makes the next call.
    pub(super) fn on_outcome(&mut self, outcome: &AttemptOutcome) {
        let (id, status) = (outcome.request, outcome.status);
        let attempt_id = AttemptId::new(id, outcome.attempt);
        let Some(attempt) = self.attempts.remove(&attempt_id) else {
            return;
        };
        self.record_outcome(&attempt, status);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.end_attempt(outcome.attempt, status);
        if attempt.is_cache_read() && status != AttemptStatus::Miss {
            request.excluded_servers.push(attempt.server);
        }
        let (class, others_in_flight) = (request.class, request.attempts_in_flight > 0);
        if outcome.request_complete || status == AttemptStatus::Served {
            return self.remove_request(id);
        }
        if others_in_flight && status != AttemptStatus::Miss {
            return; // Their outcomes decide.
        }
        if !attempt.is_cache_read() && status == AttemptStatus::Rejected {
            return self.defer(id, class);
        }
        if let Some(cost) = self.retry_cost(&attempt, status) {
            if !self.is_idempotent(class) || !self.retry_budget.covers(cost) {
                return self.end(id);
            }
            self.retry_budget.withdraw(cost);
        }
        self.make_next_call(id);
    }

    /// What a retry costs the budget; `None` if the attempt cost its server no work. Retries of attempts that
    /// may still be running add load just when servers are slow.
    fn retry_cost(&self, attempt: &Attempt, status: AttemptStatus) -> Option<f64> {
        // Where each attempt opens a connection, even a rejected attempt has cost its server work. One that was
        // never sent has not.
        let has_no_cost = matches!(status, AttemptStatus::Miss | AttemptStatus::NotSent);
        let opened_connection =
            self.closes_idle_connections && attempt.is_cache_read() && !has_no_cost;
        if status.proves_not_run() && !opened_connection {
            return None;
        }
        // A connection that broke, or a request that failed, before its answer was due is no evidence of load.
        let is_early = attempt.elapsed(self.now) < attempt.slow_after;
        let has_failed = matches!(status, AttemptStatus::Reset | AttemptStatus::Error);
        Some(if has_failed && is_early {
            0.0
        } else {
            RETRY_COST
        })
    }

    /// Updates what is known of the origin, or of the cache server and of the load on the fleet.
    fn record_outcome(&mut self, attempt: &Attempt, status: AttemptStatus) {
        let Some(server) = self.fleet.get_mut(attempt.server) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        // The connection tables of the servers have no room for an idle connection from each of many routers.
        if server.in_flight == 0 && self.closes_idle_connections {
            self.actions.push(Action::CloseIdle(attempt.server));
        }
        if !attempt.is_cache_read() {
            return self.on_origin_outcome(attempt, status);
        }
        self.fleet.cache_attempts_in_flight -= 1;
        let elapsed = attempt.elapsed(self.now);
        let is_rejected = status == AttemptStatus::Rejected;
        // A slow answer was counted when it became slow. Counting it at its end would detect an overload too
        // late.
        if elapsed < attempt.slow_after {
            let signals = f64::from(u8::from(is_rejected));
            self.load_shedding.observe(signals, 1.0);
        }
        let is_answered = matches!(status, AttemptStatus::Served | AttemptStatus::Miss);
        if is_rejected {
            self.on_server_overloaded(attempt.server);
        } else if is_answered && elapsed < 2 * attempt.slow_after {
            self.on_answer_in_time(attempt.server);
        }
        match status {
            // A server that fails every request at once looks idle and would attract ever more of them.
            AttemptStatus::ConnectFailed | AttemptStatus::Reset | AttemptStatus::Error => {
                let is_unreachable = status == AttemptStatus::ConnectFailed;
                self.fleet.set_unreachable(attempt.server, is_unreachable);
                self.on_server_failed(attempt.server);
            }
            AttemptStatus::TimedOut => self.fleet.set_unreachable(attempt.server, false),
            AttemptStatus::NotSent | AttemptStatus::Cancelled => {}
            AttemptStatus::Served | AttemptStatus::Miss | AttemptStatus::Rejected => {
                if status == AttemptStatus::Served {
                    let (service_weight, min_time_weight) =
                        (SERVICE_TIME_WEIGHT, MIN_ANSWER_TIME_WEIGHT);
                    self.fleet.record_answer_time(
                        attempt,
                        self.now,
                        service_weight,
                        min_time_weight,
                    );
                }
                self.on_server_answered(attempt);
            }
        }
    }

    /// Measures the time of an attempt from when it is written. The wait for a connection is no evidence of load.
    pub(super) fn on_connection(&mut self, id: AttemptId, established: bool) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.connecting = !established;
        if established {
            attempt.sent_at = self.now;
            let slow_after = attempt.slow_after;
            self.set_timer(slow_after, Timer::AttemptSlow(id));
        }
    }

    /// An attempt is slow. This is an overload signal, and also a failure if the server has answered nothing
    /// since the attempt was sent, as it may hang.
    pub(super) fn on_attempt_slow(&mut self, id: AttemptId) {
        let Some(&attempt) = self.attempts.get(&id) else {
            return;
        };
        if attempt.connecting {
            return self.hedge(id.request, attempt.server);
        }
        let elapsed = attempt.elapsed(self.now);
        if elapsed < attempt.slow_after {
            return; // It was written later than it was sent. The timer that was set at the write checks it.
        }
        let check_interval = attempt.slow_after + 1;
        let is_first_check = elapsed < check_interval * 3 / 2;
        let is_in_time = elapsed < attempt.objective;
        // Half a signal when the attempt becomes slow, at which point it is counted, and half when it is nearly
        // late: a slow attempt may still be in time.
        let signals = if is_in_time { 0.5 } else { 0.0 };
        let attempts = if is_first_check { 1.0 } else { 0.0 };
        self.load_shedding.observe(signals, attempts);
        if is_first_check {
            self.hedge(id.request, attempt.server);
        } else if is_in_time {
            self.on_server_overloaded(attempt.server);
        }
        if is_in_time {
            return self.set_timer(check_interval, Timer::AttemptSlow(id));
        }
        // Counted as one failure per attempt: a single slow request does not make a server an outlier.
        let server = self.fleet.get(attempt.server);
        if server.is_some_and(|server| server.answered_at < attempt.sent_at) {
            self.on_server_failed(attempt.server);
        }
    }

    /// Hedges a slow read. One of many routers sees too little of a slow or hanging server to avoid it. Where
    /// the router sees enough of the server, a hedged request would only add a fetch.
    fn hedge(&mut self, id: RequestId, slow_server: ServerId) {
        let server = self.fleet.get(slow_server);
        let is_well_known = server.is_some_and(|server| self.is_well_known(server));
        let has_budget = self.retry_budget.covers(RETRY_COST);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let class = &self.settings.classes[request.class];
        let may_hedge = self.settings.may_hedge && class.idempotency == Idempotency::Idempotent;
        let is_only_cache_read = request.attempts_in_flight == 1 && !request.has_missed;
        if !may_hedge || !is_only_cache_read || !has_budget || is_well_known {
            return;
        }
        request.excluded_servers.push(slow_server);
        let next = self.pick(id);
        if next.is_some_and(|next| self.send(id, next, AttemptKind::CacheRead)) {
            self.retry_budget.withdraw(RETRY_COST);
        }
    }
}
