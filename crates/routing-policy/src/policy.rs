//! Every decision of a router: this file dispatches events, each module below owns one concern.
//!
//! Ordinary path: a read goes to the first server in its key's order that is not over the load bound; after
//! a miss the value is fetched from the origin, and a write goes straight there, both through the origin
//! limiter, which defers a call by a random delay where it is at capacity. All else is a departure for a
//! failure that the code names.

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
/// Fraction of the counts before it that a review keeps.
const REVIEW_KEEP: f64 = 0.85;
/// Observations below which a review reduces the counts no further: fewer are no longer enough to judge by.
const REVIEW_LEAST: f64 = 10.0;

impl Policy {
    /// Takes one event at a clock value and adds the actions that it calls for.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        std::mem::swap(&mut self.actions, actions);
        self.on_event(event);
        while let Some(timer) = self.timers.next_due(now, &mut self.actions) {
            self.on_timer(timer);
        }
        std::mem::swap(&mut self.actions, actions);
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::EndpointList { update, endpoints } => self.on_endpoint_list(update, endpoints),
            Event::Request(request) => self.on_request(&request),
            Event::AttemptOutcome(outcome) => self.on_outcome(&outcome),
            // A streamed answer belongs to the client from here on: nothing is owed, and no deadline runs.
            Event::ResponseStarted { request, .. } | Event::ClientGone(request) => {
                self.requests.remove(&request);
            }
            Event::Connection {
                request,
                attempt,
                established,
            } => self.on_connection(AttemptId::new(request, attempt), established),
            Event::Timer(_) => self.timers.fired(),
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

    /// Lets what was seen before count for less, and judges the load anew.
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
