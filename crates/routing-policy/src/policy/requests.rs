//! Requests: arrival, next call, final answer.

use super::Policy;
use super::attempts::{BUDGETED_RETRIES_PER_REQUEST, MAX_BUDGETED_RETRIES};
use super::slow_start::HOT_KEY_WINDOW_REQUESTS;
use crate::interface::{Action, Micros, Request, RequestId};
use crate::state::{AttemptId, AttemptKind, InFlightRequest, Timer};

/// Ticks before its objective or deadline at which a request ends, since a timer may be late.
const TIMER_MARGIN_TICKS: Micros = 2;

impl Policy {
    /// Accepts a request, or rejects it at once.
    pub(super) fn on_request(&mut self, arrived: &Request) {
        let since_first_request = self.time_since_first_request(arrived);
        let margin = TIMER_MARGIN_TICKS * self.settings.tick;
        let deadline_at = self.now + arrived.remaining_deadline.saturating_sub(margin);
        let class = &self.settings.classes[arrived.class];
        let objective_at = self.now + class.latency_objective.saturating_sub(since_first_request);
        let is_late_answer_useful = class.late_weight_fraction > 0.0;
        let late_from = objective_at.saturating_sub(margin).min(deadline_at);
        let answer_useful_until = if is_late_answer_useful {
            deadline_at
        } else {
            late_from
        };
        let mut request = InFlightRequest::new(arrived);
        request.deadline_at = deadline_at;
        request.answer_useful_until = answer_useful_until;
        self.retry_budget
            .deposit(BUDGETED_RETRIES_PER_REQUEST, MAX_BUDGETED_RETRIES);
        self.recent_keys.add(arrived.key, HOT_KEY_WINDOW_REQUESTS);
        let is_admitted = self.admit(&mut request, arrived.tenant);
        self.requests.insert(arrived.id, request);
        if !is_admitted || self.now >= deadline_at {
            return self.end(arrived.id);
        }
        // A known client retry is not counted again. Otherwise an overload in which each client retries once
        // would look like a fleet with twice the capacity, and servers in slow start would be sent twice as
        // much as they can take.
        if since_first_request == 0 {
            self.request_rate.count();
        }
        self.timers.set(deadline_at, Timer::RequestDue(arrived.id));
        self.timers
            .set(answer_useful_until, Timer::RequestDue(arrived.id));
        self.remove_obsolete_timers();
        self.make_next_call(arrived.id);
    }

    /// Chooses and makes the next call of a request that has none in flight.
    pub(super) fn make_next_call(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let has_attempts_left = u32::from(request.attempts_sent) < self.settings.max_attempts;
        if self.now >= request.answer_useful_until || !has_attempts_left {
            return self.end(id);
        }
        if request.is_write || request.has_missed {
            return self.call_origin(id);
        }
        let server = self.pick(id);
        if !server.is_some_and(|server| self.send(id, server, AttemptKind::CacheRead)) {
            self.end(id);
        }
    }

    /// Handles the objective and the deadline of a request. At the objective, if late answers are worthless, an
    /// attempt at a cache server only takes capacity from requests that can still be in time. A call to the
    /// origin continues, because its answer fills the cache.
    pub(super) fn on_request_due(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let is_at_origin = |number| {
            let attempt = self.attempts.get(&AttemptId::new(id, number));
            attempt.is_some_and(|attempt| !attempt.is_cache_read())
        };
        if self.now >= request.deadline_at || !(0..request.attempts_sent).any(is_at_origin) {
            self.end(id);
        }
    }

    /// Ends a request that has no attempt to wait for.
    pub(super) fn end_if_no_attempt_in_flight(&mut self, id: RequestId) {
        let request = self.requests.get(&id);
        if request.is_some_and(|request| request.attempts_in_flight == 0) {
            self.end(id);
        }
    }

    /// Gives a request its final answer: a rejection if a retry is harmless, else a failure. No other function
    /// does so.
    pub(super) fn end(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let class = request.class;
        let is_harmless = request.possible_executions.is_empty() || self.is_idempotent(class);
        if !self.load_shedding.is_below_quotas() {
            self.admission.refund(request.charged_tenant);
        }
        let answer = if is_harmless {
            // The random delay of a deferred call. After a longer delay the client's retry would be too late,
            // and its answer would take the place of another.
            let retry_after = self
                .random_deferral_delay(class)
                .min(self.settings.max_retry_after);
            Action::Reject {
                request: id,
                retry_after,
            }
        } else {
            Action::Fail(id)
        };
        self.actions.push(answer);
        self.remove_request(id);
    }

    /// Removes an answered request and cancels its attempts: work that nobody waits for is wasted and delays
    /// other requests.
    pub(super) fn remove_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        if request.attempts_in_flight == 0 || !self.settings.may_cancel {
            return;
        }
        for attempt in 0..request.attempts_sent {
            if self.attempts.contains_key(&AttemptId::new(id, attempt)) {
                let request = id;
                self.actions.push(Action::Cancel { request, attempt });
            }
        }
    }
}
