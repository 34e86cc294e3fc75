//! The decisions of a router. This file dispatches events; each module below handles one concern.
//!
//! Normal path: a read goes to the first server in its key's order that is below the load bound. After a miss,
//! the value is fetched from the origin. A write goes to the origin directly. The origin limiter applies to
//! both, and defers a call by a random delay when it is at capacity. All other code handles failure cases, each
//! named where it is handled.

mod admission;
mod attempts;
mod endpoints;
mod origin_limiter;
mod outlier;
mod overload;
mod requests;
mod router_state;
mod selection;
mod slow_start;

use crate::interface::{Action, Event, Micros};
use crate::state::{AttemptId, Timer};

pub use router_state::Policy;

/// Reviews of the load within the longest latency objective.
const REVIEWS_PER_OBJECTIVE: Micros = 8;
/// Factor by which a review decays earlier counts.
const REVIEW_DECAY_FACTOR: f64 = 0.85;
/// Counts with no more observations than this are not decayed further: fewer would not be enough to judge by.
const MIN_OBSERVATIONS_FOR_DECAY: f64 = 10.0;

impl Policy {
    /// Handles one event at a clock value and adds the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        std::mem::swap(&mut self.actions, actions);
        self.on_event(event);
        while let Some(timer) = self.timers.pop_due_or_arm(now, &mut self.actions) {
            self.on_timer(timer);
        }
        std::mem::swap(&mut self.actions, actions);
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::EndpointList { update, endpoints } => self.on_endpoint_list(update, endpoints),
            Event::Request(request) => self.on_request(&request),
            Event::AttemptOutcome(outcome) => self.on_outcome(&outcome),
            // A streamed response goes directly to the client: from its start no answer is owed and no deadline
            // applies.
            Event::ResponseStarted { request, .. } | Event::ClientGone(request) => {
                self.requests.remove(&request);
            }
            Event::Connection {
                request,
                attempt,
                established,
            } => self.on_connection(AttemptId::new(request, attempt), established),
            Event::Timer(_) => self.timers.router_timer_fired(),
            Event::HealthChecked {
                server,
                healthy: true,
                ..
            } => self.on_server_reached(server),
            Event::PeerMessage { .. } | Event::HealthChecked { .. } => {}
        }
    }

    fn on_timer(&mut self, timer: Timer) {
        match timer {
            Timer::RequestDue(request) => self.on_request_due(request),
            Timer::Deferred(deferral) => self.on_deferred(deferral),
            Timer::AttemptSlow(attempt) => self.on_attempt_slow(attempt),
            Timer::Subscribe if !self.settings.poll_discovery => {}
            Timer::Subscribe => self.actions.push(Action::Subscribe(true)),
            Timer::Review => self.review(),
        }
    }

    /// Decays earlier observations and reassesses the load.
    fn review(&mut self) {
        let period = self.objective / REVIEWS_PER_OBJECTIVE;
        let period = period.max(self.settings.tick).max(1);
        self.review_load(period);
        self.origin_limiter.review();
        self.request_rate.end_period(period);
        self.sum_capacities();
        self.set_timer(period, Timer::Review);
    }
}
