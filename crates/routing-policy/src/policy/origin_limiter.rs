//! The limiter of origin calls: a cap on those outstanding, a windowed tally, and deferral at capacity.

use super::{Policy, REVIEW_KEEP, REVIEW_LEAST};
use crate::interface::{Action, AttemptStatus, Micros, RequestId, Settings};
use crate::log_event::LogEvent;
use crate::state::{
    Attempt, CallKind, Crossing, DecayingRatio, Deferral, OriginCalls, SmoothedTime, Timer,
};

/// The most calls that one router has outstanding. It starts with half of them.
const MOST_OUTSTANDING_CALLS: f64 = 20.0;
/// So many routers may each have the most outstanding calls and the least rate; more of them share what these have
/// together, as the origin bears the sum. It is not fewer, since a router with only a call or two at a time has to find
/// room in spite of chance.
const ROUTERS_AT_FULL_LIMIT: f64 = 15.0;
/// Calls per second that a router may make, whatever its request rate.
const LEAST_CALLS_PER_S: f64 = 30.0;
/// The window of the tally, as a fraction of the longest latency objective: short enough that a burst over it can still
/// wait. It is longer where a router has so small a share that chance would overrun it.
const WINDOW_FRACTION: f64 = 0.25;
/// The longest window of the tally, in microseconds.
const LONGEST_WINDOW_US: f64 = 1e6;
/// Fraction of the cap and of the tally that fetches may use; writes have the rest for themselves.
const FETCH_FRACTION: f64 = 0.7;
/// Factor of the cap at a sign of congestion.
const CAP_CUT_FACTOR: f64 = 0.8;
/// The lowest cap, as a fraction of the most calls of an equal share.
const CAP_FLOOR_FRACTION: f64 = 0.1;
/// Fraction of its ceiling at which the cap is logged when it crosses it.
const LOGGED_CAP_FRACTION: f64 = 0.25;
/// Fraction of the shortest latency objective after which an answer is a sign of congestion.
const SLOW_FRACTION: f64 = 0.8;
/// The origin is short of capacity while this fraction of the calls finds the limiter at capacity.
const CONGESTED_FRACTION: f64 = 0.05;
/// Weight of an answer in the usual time of a fetch.
const FETCH_TIME_WEIGHT: f64 = 0.1;
/// Factor of the usual time of a fetch at each fetch that is not made for it: the origin may have become quicker.
const FETCH_TIME_DECAY: f64 = 0.98;
/// The shortest deferral, as a fraction of the latency objective: 1 s of 60 s.
const SHORTEST_DEFERRAL: f64 = 1.0 / 60.0;
/// The longest deferral, as a fraction of the latency objective: 3 s of 60 s. A random time between the two keeps
/// deferred calls from coming back together.
const LONGEST_DEFERRAL: f64 = 3.0 / 60.0;

/// The limits on this router's calls to the origin.
#[derive(Default)]
pub(super) struct OriginLimiter {
    cap: f64,
    calls: OriginCalls,
    cut_at: Micros,
    fetch_time: SmoothedTime,
    fetches_rest_until: Micros,
    /// Calls of late that found the limiter at capacity.
    at_capacity: DecayingRatio,
    /// This router's equal share of the limits, 1 for all of them.
    equal_share: f64,
    window: f64,
    slow_after: f64,
}

impl OriginLimiter {
    pub(super) fn new(settings: &Settings) -> Self {
        let equal_share = (ROUTERS_AT_FULL_LIMIT / settings.router_count()).min(1.0);
        let window = settings.longest_objective() as f64 * WINDOW_FRACTION / equal_share;
        OriginLimiter {
            // Calls from before a restart of this router may still run: the cap rises gradually.
            cap: MOST_OUTSTANDING_CALLS / 2.0 * equal_share,
            equal_share,
            window: window.min(LONGEST_WINDOW_US),
            slow_after: settings.shortest_objective() as f64 * SLOW_FRACTION,
            ..OriginLimiter::default()
        }
    }

    /// How short the origin is of capacity, from 0 to 1.
    pub(super) fn congestion(&self) -> f64 {
        (self.at_capacity.value() / CONGESTED_FRACTION).min(1.0)
    }

    /// Where some calls find no room, what can't be answered in time takes the place of what can: the origin
    /// would work for nobody, and what its client has given up by then is not stored either.
    fn is_too_late(&self, now: Micros, useful_until: Micros) -> bool {
        let in_time = now as f64 + self.fetch_time.get() < useful_until as f64;
        self.at_capacity.value() > CONGESTED_FRACTION && !in_time
    }

    /// This router's share of the limits: an equal one, or what its own requests ask for by Little's law. With
    /// equal ones a router with more clients would reject what the origin has capacity for.
    fn share(&self, usual_rate: f64) -> f64 {
        let needed = usual_rate * (self.slow_after / 1e6) / MOST_OUTSTANDING_CALLS;
        self.equal_share.max(needed.min(1.0))
    }

    /// Whether the outstanding cap and the windowed tally let one more call through.
    fn has_room(&mut self, call: CallKind, now: Micros, rate: f64) -> bool {
        let most_calls = rate.max(LEAST_CALLS_PER_S * self.equal_share) * self.window / 1e6;
        let tally = self.calls.tally(now, self.window as Micros);
        let in_tally = tally.has_room(most_calls.max(1.0));
        let fetch_in_tally = tally.has_fetch_room((most_calls * FETCH_FRACTION).max(1.0));
        let outstanding = self.calls.outstanding();
        let in_cap = outstanding.has_room(self.cap.max(1.0));
        let fetch_cap = (self.cap * FETCH_FRACTION).max(1.0);
        let fetch_in_cap = in_cap && outstanding.has_fetch_room(fetch_cap);
        let has_room = in_tally
            && match call {
                // Where there is less than one call for each router, a write does not wait for its fetches.
                CallKind::OriginWrite => in_cap || outstanding.has_only_fetches(),
                _ => fetch_in_cap && fetch_in_tally && now >= self.fetches_rest_until,
            };
        self.at_capacity.add(f64::from(u8::from(!has_room)), 1.0);
        has_room
    }

    pub(super) fn begin_call(&mut self, call: CallKind) {
        self.calls.begin(call);
    }

    fn end_call(&mut self, attempt: &Attempt, status: AttemptStatus, now: Micros, jitter: f64) {
        self.calls.end(attempt.call);
        // A cap of less than one is kept by a rest after each call.
        let rest = (1.0 / (self.cap * FETCH_FRACTION) - 1.0).max(0.0) * jitter;
        let elapsed = attempt.elapsed(now) as f64;
        self.fetches_rest_until = now + (rest * elapsed) as Micros;
        if status == AttemptStatus::Served && attempt.call == CallKind::OriginFetch {
            self.fetch_time.record(elapsed, FETCH_TIME_WEIGHT);
        }
    }

    /// A slow, failing or rejecting origin lowers the cap, good answers restore it.
    fn adjust_cap(&mut self, attempt: &Attempt, status: AttemptStatus, now: Micros, share: f64) {
        let is_slow = attempt.elapsed(now) > self.slow_after as Micros;
        if status == AttemptStatus::Served && !is_slow {
            let raised = self.cap + (share / self.cap).min(self.cap);
            self.cap = raised.min(MOST_OUTSTANDING_CALLS * share);
        } else if status != AttemptStatus::NotSent && attempt.sent_at >= self.cut_at {
            // One cut for all calls that were outstanding together.
            self.cut_at = now;
            let floor = MOST_OUTSTANDING_CALLS * self.equal_share * CAP_FLOOR_FRACTION;
            self.cap = (self.cap * CAP_CUT_FACTOR).max(floor);
        }
    }

    pub(super) fn review(&mut self) {
        self.at_capacity.decay(REVIEW_KEEP, REVIEW_LEAST);
    }
}

impl Policy {
    /// Calls the origin for a write or a missed read, or defers the call.
    pub(super) fn call_origin(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (class, call) = (request.class, request.origin_call());
        let (limiter, useful_until) = (&mut self.origin_limiter, request.useful_until);
        if call == CallKind::OriginFetch && limiter.is_too_late(self.now, useful_until) {
            limiter.fetch_time.scale(FETCH_TIME_DECAY);
            return self.end_unless_in_flight(id);
        }
        // Servers that fetch for themselves take writes too.
        let target = match self.settings.origin_kind {
            Some(_) => self.fleet.ready_origin(),
            None => self.pick(id),
        };
        let Some(target) = target else {
            return self.defer(id, class);
        };
        let rate = self.own_rate(self.request_rate.admitted_lately());
        if !self.origin_limiter.has_room(call, self.now, rate) {
            self.defer(id, class);
        } else if !self.send(id, target, call) {
            self.end(id);
        }
    }

    pub(super) fn on_origin_outcome(&mut self, attempt: &Attempt, status: AttemptStatus) {
        let jitter = 0.5 + self.random.unit();
        let usual_rate = self.own_rate(self.request_rate.admitted_usually());
        let share = self.origin_limiter.share(usual_rate);
        let limiter = &mut self.origin_limiter;
        let before = limiter.cap;
        limiter.end_call(attempt, status, self.now, jitter);
        limiter.adjust_cap(attempt, status, self.now, share);
        let threshold = MOST_OUTSTANDING_CALLS * share * LOGGED_CAP_FRACTION;
        let (fallen, risen) = (LogEvent::OriginLimitLowered, LogEvent::OriginLimitRestored);
        let crossing = Crossing::new(before, limiter.cap, threshold).choose(fallen, risen);
        self.actions.extend(crossing.map(Action::Log));
    }

    /// Queues a request for a random delay, while its answer can still earn.
    pub(super) fn defer(&mut self, id: RequestId, class: usize) {
        let retry_at = self.now + self.deferral(class);
        match self.requests.get_mut(&id) {
            Some(request) if retry_at < request.useful_until => {
                let deferral = request.next_deferral(id);
                self.timers.set(retry_at, Timer::Deferred(deferral));
            }
            _ => self.end_unless_in_flight(id),
        }
    }

    /// The random delay of a call that found no room.
    pub(super) fn deferral(&mut self, class: usize) -> Micros {
        let objective = self.settings.classes[class].latency_objective as f64;
        let range = LONGEST_DEFERRAL - SHORTEST_DEFERRAL;
        (objective * (SHORTEST_DEFERRAL + range * self.random.unit())) as Micros + 1
    }

    pub(super) fn on_deferred(&mut self, deferral: Deferral) {
        let request = self.requests.get(&deferral.request);
        if request.is_some_and(|request| request.deferral == deferral.number) {
            self.proceed(deferral.request);
        }
    }
}
