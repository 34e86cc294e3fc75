//! Limits on calls to the origin: a cap on outstanding calls and a limit on the calls in each time window. Calls
//! over a limit are deferred.

use super::{MIN_OBSERVATIONS_FOR_DECAY, Policy, REVIEW_DECAY_FACTOR};
use crate::interface::{Action, AttemptStatus, Micros, RequestId, Settings};
use crate::log_event::LogEvent;
use crate::state::{
    Attempt, AttemptKind, DecayingRatio, Deferral, OriginCalls, SmoothedTime, ThresholdCrossing,
    Timer,
};

/// The highest cap on the outstanding calls of one router. The cap is half of this at the start.
const MAX_OUTSTANDING_CALLS: f64 = 20.0;
/// Up to this many routers may each use the full limits on outstanding calls and call rate. If there are more,
/// they share the total limits of this many routers, since the origin gets the calls of all routers. A lower
/// number could limit a router to one or two calls at a time. Random variation alone would then often leave it
/// without room.
const ROUTERS_AT_FULL_LIMIT: f64 = 15.0;
/// Calls per second that a router with the full limits may make, even if its request rate is lower.
const MIN_CALLS_PER_S: f64 = 30.0;
/// Length of the counting window for a router with the full limits, as a fraction of the longest latency
/// objective. The window is short enough that a call over the limit can still wait for the next window. A router
/// with a small share of the limits has a longer window, because random variation would exceed a small limit in a
/// short one.
const WINDOW_FRACTION: f64 = 0.25;
/// The longest counting window, in microseconds.
const MAX_WINDOW_US: f64 = 1e6;
/// Fraction of the cap and of the window's limit that fetches may use. The rest is reserved for writes.
const FETCH_FRACTION: f64 = 0.7;
/// Factor applied to the cap at a congestion signal.
const CAP_CUT_FACTOR: f64 = 0.8;
/// The lowest cap, as a fraction of this router's equal share of `MAX_OUTSTANDING_CALLS`.
const CAP_FLOOR_FRACTION: f64 = 0.1;
/// The log reports when the cap crosses this fraction of its maximum.
const LOGGED_CAP_FRACTION: f64 = 0.25;
/// Fraction of the shortest latency objective after which an answer is a congestion signal.
const SLOW_ANSWER_FRACTION: f64 = 0.8;
/// The origin counts as congested when the limiter had no room for this fraction of recent calls.
const CONGESTED_FRACTION: f64 = 0.05;
/// Weight of a new answer in the smoothed fetch time.
const FETCH_TIME_WEIGHT: f64 = 0.1;
/// Factor applied to the smoothed fetch time whenever a fetch is skipped as too late. The origin may have become
/// faster, and a skipped fetch does not measure its time.
const FETCH_TIME_DECAY: f64 = 0.98;
/// The shortest deferral, as a fraction of the latency objective: 1 s for an objective of 60 s.
const SHORTEST_DEFERRAL_FRACTION: f64 = 1.0 / 60.0;
/// The longest deferral, as a fraction of the latency objective: 3 s for an objective of 60 s. A random delay
/// between the shortest and the longest keeps deferred calls from being retried together.
const LONGEST_DEFERRAL_FRACTION: f64 = 3.0 / 60.0;

/// The limits on this router's calls to the origin.
#[derive(Default)]
pub(super) struct OriginLimiter {
    /// The present limit on outstanding calls.
    cap: f64,
    calls: OriginCalls,
    /// When the cap was last cut.
    cap_cut_at: Micros,
    fetch_time: SmoothedTime,
    fetches_paused_until: Micros,
    /// The fraction of recent calls that found no room.
    no_room_ratio: DecayingRatio,
    /// This router's equal share of the limits; 1 is the full limits.
    equal_share: f64,
    /// Length of the counting window.
    window_us: f64,
    /// An answer that takes longer than this is a congestion signal.
    slow_after_us: f64,
}

impl OriginLimiter {
    pub(super) fn new(settings: &Settings) -> Self {
        let equal_share = (ROUTERS_AT_FULL_LIMIT / settings.router_count()).min(1.0);
        let window_us = settings.longest_objective() as f64 * WINDOW_FRACTION / equal_share;
        OriginLimiter {
            // Calls from before a restart of this router may still be running, so the cap rises gradually.
            cap: MAX_OUTSTANDING_CALLS / 2.0 * equal_share,
            equal_share,
            window_us: window_us.min(MAX_WINDOW_US),
            slow_after_us: settings.shortest_objective() as f64 * SLOW_ANSWER_FRACTION,
            ..OriginLimiter::default()
        }
    }

    /// Congestion of the origin, from 0 to 1.
    pub(super) fn congestion(&self) -> f64 {
        (self.no_room_ratio.value() / CONGESTED_FRACTION).min(1.0)
    }

    /// Whether the origin is congested and a fetch would be answered too late. Such a fetch would take the place
    /// of one that can be in time. Its work would be wasted, since the answer to a request that the client has
    /// given up is not stored in the cache either.
    fn is_too_late(&self, now: Micros, answer_useful_until: Micros) -> bool {
        let in_time = now as f64 + self.fetch_time.get() < answer_useful_until as f64;
        self.no_room_ratio.value() > CONGESTED_FRACTION && !in_time
    }

    /// This router's share of the limits: its equal share or, if that is more, the share that its own request rate
    /// needs by Little's law. With equal shares alone, a router with more clients than others would reject calls
    /// for which the origin has capacity.
    fn share(&self, long_term_rate: f64) -> f64 {
        let needed = long_term_rate * (self.slow_after_us / 1e6) / MAX_OUTSTANDING_CALLS;
        self.equal_share.max(needed.min(1.0))
    }

    /// Whether the cap on outstanding calls and the limit of the window allow one more call. Counts the result
    /// as an observation of congestion.
    fn has_room(&mut self, kind: AttemptKind, now: Micros, requests_per_s: f64) -> bool {
        let window_limit =
            requests_per_s.max(MIN_CALLS_PER_S * self.equal_share) * self.window_us / 1e6;
        let window_counts = self.calls.sent_in_window(now, self.window_us as Micros);
        let is_within_window = window_counts.has_room(window_limit.max(1.0));
        let is_fetch_within_window =
            window_counts.has_fetch_room((window_limit * FETCH_FRACTION).max(1.0));
        let outstanding = self.calls.outstanding();
        let is_within_cap = outstanding.has_room(self.cap.max(1.0));
        let fetch_cap = (self.cap * FETCH_FRACTION).max(1.0);
        let is_fetch_within_cap = is_within_cap && outstanding.has_fetch_room(fetch_cap);
        let has_room = is_within_window
            && match kind {
                // A write does not wait for outstanding fetches of this router, since the limits may allow less
                // than one call per router.
                AttemptKind::OriginWrite => is_within_cap || outstanding.has_only_fetches(),
                _ => {
                    is_fetch_within_cap
                        && is_fetch_within_window
                        && now >= self.fetches_paused_until
                }
            };
        self.no_room_ratio.add(f64::from(u8::from(!has_room)), 1.0);
        has_room
    }

    pub(super) fn begin_call(&mut self, kind: AttemptKind) {
        self.calls.record_sent(kind);
    }

    fn end_call(&mut self, attempt: &Attempt, status: AttemptStatus, now: Micros, jitter: f64) {
        self.calls.record_ended(attempt.kind);
        // A fetch cap below one call is enforced by a pause in fetches after each call, in proportion to the time
        // that the call took.
        let pause_ratio = (1.0 / (self.cap * FETCH_FRACTION) - 1.0).max(0.0) * jitter;
        let elapsed = attempt.elapsed(now) as f64;
        self.fetches_paused_until = now + (pause_ratio * elapsed) as Micros;
        if status == AttemptStatus::Served && attempt.kind == AttemptKind::OriginFetch {
            self.fetch_time.record(elapsed, FETCH_TIME_WEIGHT);
        }
    }

    /// A slow, failing or rejecting origin lowers the cap; timely answers raise it.
    fn adjust_cap(&mut self, attempt: &Attempt, status: AttemptStatus, now: Micros, share: f64) {
        let is_slow = attempt.elapsed(now) > self.slow_after_us as Micros;
        if status == AttemptStatus::Served && !is_slow {
            let raised = self.cap + (share / self.cap).min(self.cap);
            self.cap = raised.min(MAX_OUTSTANDING_CALLS * share);
        } else if status != AttemptStatus::NotSent && attempt.sent_at >= self.cap_cut_at {
            // Calls that were outstanding together cut the cap only once. A call sent before the last cut does
            // not cut it again.
            self.cap_cut_at = now;
            let floor = MAX_OUTSTANDING_CALLS * self.equal_share * CAP_FLOOR_FRACTION;
            self.cap = (self.cap * CAP_CUT_FACTOR).max(floor);
        }
    }

    /// Gives earlier observations of congestion less weight at the periodic review.
    pub(super) fn review(&mut self) {
        self.no_room_ratio
            .decay(REVIEW_DECAY_FACTOR, MIN_OBSERVATIONS_FOR_DECAY);
    }
}

impl Policy {
    /// Calls the origin for a write, or for a read that missed in the cache. Defers the call if a limit forbids
    /// it, and skips a fetch that would be too late.
    pub(super) fn call_origin(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (class, kind) = (request.class, request.origin_attempt_kind());
        let (limiter, answer_useful_until) =
            (&mut self.origin_limiter, request.answer_useful_until);
        if kind == AttemptKind::OriginFetch && limiter.is_too_late(self.now, answer_useful_until) {
            limiter.fetch_time.scale(FETCH_TIME_DECAY);
            return self.end_if_no_attempt_in_flight(id);
        }
        // Without an origin in the endpoint list, cache servers fetch for themselves and also take writes.
        let target = match self.settings.origin_kind {
            Some(_) => self.fleet.ready_origin(),
            None => self.pick(id),
        };
        let Some(target) = target else {
            return self.defer(id, class);
        };
        let rate = self.router_request_rate(self.request_rate.short_term_admitted_rate());
        if !self.origin_limiter.has_room(kind, self.now, rate) {
            self.defer(id, class);
        } else if !self.send(id, target, kind) {
            self.end(id);
        }
    }

    pub(super) fn on_origin_outcome(&mut self, attempt: &Attempt, status: AttemptStatus) {
        let jitter = 0.5 + self.random.unit();
        let long_term_rate = self.router_request_rate(self.request_rate.long_term_admitted_rate());
        let share = self.origin_limiter.share(long_term_rate);
        let limiter = &mut self.origin_limiter;
        let previous_cap = limiter.cap;
        limiter.end_call(attempt, status, self.now, jitter);
        limiter.adjust_cap(attempt, status, self.now, share);
        let threshold = MAX_OUTSTANDING_CALLS * share * LOGGED_CAP_FRACTION;
        let (lowered, restored) = (LogEvent::OriginLimitLowered, LogEvent::OriginLimitRestored);
        let crossing = ThresholdCrossing::new(previous_cap, limiter.cap, threshold)
            .event_for_direction(lowered, restored);
        self.actions.extend(crossing.map(Action::Log));
    }

    /// Retries a call after a random delay. If an answer would no longer be useful then, ends the request unless
    /// it has an attempt in flight.
    pub(super) fn defer(&mut self, id: RequestId, class: usize) {
        let retry_at = self.now + self.random_deferral_delay(class);
        match self.requests.get_mut(&id) {
            Some(request) if retry_at < request.answer_useful_until => {
                let deferral = request.next_deferral(id);
                self.timers.set(retry_at, Timer::Deferred(deferral));
            }
            _ => self.end_if_no_attempt_in_flight(id),
        }
    }

    /// Draws the random delay of a deferred call.
    pub(super) fn random_deferral_delay(&mut self, class: usize) -> Micros {
        let objective = self.settings.classes[class].latency_objective as f64;
        let range = LONGEST_DEFERRAL_FRACTION - SHORTEST_DEFERRAL_FRACTION;
        (objective * (SHORTEST_DEFERRAL_FRACTION + range * self.random.unit())) as Micros + 1
    }

    pub(super) fn on_deferred(&mut self, deferral: Deferral) {
        let request = self.requests.get(&deferral.request);
        if request.is_some_and(|request| request.latest_deferral == deferral.sequence_number) {
            self.make_next_call(deferral.request);
        }
    }
}
