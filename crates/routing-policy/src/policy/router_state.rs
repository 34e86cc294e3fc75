//! The state of a policy and its initial values. Decisions are in the neighbouring modules.

use std::collections::BTreeMap;

use super::admission::Admission;
use super::origin_limiter::OriginLimiter;
use super::overload::LoadShedding;
use super::{attempts, endpoints};
use crate::interface::{Action, Micros, RequestId, Settings};
use crate::log_event::LogEvent;
use crate::state::{
    Attempt, AttemptId, Fleet, InFlightRequest, Random, RecentKeys, RequestRate, RetryBudget,
    Timer, TimerQueue,
};

/// The policy of one router: its settings, its observations, and the requests and attempts in flight.
pub struct Policy {
    pub(super) settings: Settings,
    pub(super) random: Random,
    pub(super) now: Micros,
    /// The actions for the event being handled.
    pub(super) actions: Vec<Action>,
    /// The longest latency objective of all classes.
    pub(super) objective: Micros,
    /// The interval between two visits of this router to a server, as a multiple of that in a small deployment.
    pub(super) relative_visit_interval: f64,
    /// Whether idle connections are closed, because they cost more than they save.
    pub(super) closes_idle_connections: bool,
    pub(super) requests: BTreeMap<RequestId, InFlightRequest>,
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    pub(super) fleet: Fleet,
    pub(super) recent_keys: RecentKeys,
    pub(super) request_rate: RequestRate,
    pub(super) admission: Admission,
    pub(super) load_shedding: LoadShedding,
    pub(super) origin_limiter: OriginLimiter,
    pub(super) retry_budget: RetryBudget,
    /// Consecutive failed calls to discovery.
    pub(super) discovery_failures: u32,
    pub(super) timers: TimerQueue,
}

impl Policy {
    /// Creates the policy of a router that has its settings and no observations yet. The seed determines its
    /// random draws.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut policy = Policy {
            random: Random::new(seed),
            now: 0,
            actions: Vec::new(),
            objective: settings.longest_objective(),
            relative_visit_interval: endpoints::relative_visit_interval(&settings),
            closes_idle_connections: attempts::closes_idle_connections(&settings),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            fleet: Fleet::default(),
            recent_keys: RecentKeys::default(),
            request_rate: RequestRate::new(&settings),
            admission: Admission::new(&settings),
            load_shedding: LoadShedding::new(),
            origin_limiter: OriginLimiter::new(&settings),
            retry_budget: RetryBudget::new(attempts::MAX_BUDGETED_RETRIES),
            discovery_failures: 0,
            timers: TimerQueue::default(),
            settings,
        };
        policy.set_timer(0, Timer::Subscribe);
        policy.set_timer(0, Timer::Review);
        policy
    }

    /// How many timers are pending.
    pub fn pending_timers(&self) -> usize {
        self.timers.len()
    }

    /// Removes the timers of requests and attempts that have ended, if they may be most of the timers. They would have
    /// no effect, but a client states the deadline of its request, so that they could be many.
    pub(super) fn remove_obsolete_timers(&mut self) {
        let (requests, attempts) = (&self.requests, &self.attempts);
        self.timers.remove_obsolete(|timer| match timer {
            Timer::RequestDue(request) => requests.contains_key(request),
            Timer::Deferred(deferral) => requests.contains_key(&deferral.request),
            Timer::AttemptSlow(attempt) => attempts.contains_key(attempt),
            Timer::Subscribe | Timer::Review => true,
        });
    }

    pub(super) fn set_timer(&mut self, after: Micros, timer: Timer) {
        self.timers.set(self.now + after, timer);
    }

    pub(super) fn log(&mut self, event: LogEvent) {
        self.actions.push(Action::Log(event));
    }
}
