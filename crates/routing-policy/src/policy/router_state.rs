//! What a policy holds, and how it begins. No decisions: these are in the modules beside this one.

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

/// The policy of one router: its settings, what it has learned, and the requests and attempts in flight.
pub struct Policy {
    pub(super) settings: Settings,
    pub(super) random: Random,
    pub(super) now: Micros,
    /// The actions that the present event calls for.
    pub(super) actions: Vec<Action>,
    /// The longest latency objective of all classes.
    pub(super) objective: Micros,
    /// How many times less often than one of few routers this one meets each server.
    pub(super) visit_interval: f64,
    /// Whether an idle connection costs more than it saves.
    pub(super) closes_idle: bool,
    pub(super) requests: BTreeMap<RequestId, InFlightRequest>,
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    pub(super) fleet: Fleet,
    pub(super) recent_keys: RecentKeys,
    pub(super) request_rate: RequestRate,
    pub(super) admission: Admission,
    pub(super) load_shedding: LoadShedding,
    pub(super) origin_limiter: OriginLimiter,
    pub(super) retry_budget: RetryBudget,
    /// Calls to discovery that failed in a row.
    pub(super) discovery_failures: u32,
    pub(super) timers: TimerQueue,
}

impl Policy {
    /// A router that knows its settings and nothing else yet. The seed fixes its random draws.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut policy = Policy {
            random: Random::new(seed),
            now: 0,
            actions: Vec::new(),
            objective: settings.longest_objective(),
            visit_interval: endpoints::visit_interval(&settings),
            closes_idle: attempts::closes_idle(&settings),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            fleet: Fleet::default(),
            recent_keys: RecentKeys::default(),
            request_rate: RequestRate::new(&settings),
            admission: Admission::new(&settings),
            load_shedding: LoadShedding::new(),
            origin_limiter: OriginLimiter::new(&settings),
            retry_budget: RetryBudget::new(attempts::MOST_RETRIES),
            discovery_failures: 0,
            timers: TimerQueue::default(),
            settings,
        };
        policy.set_timer(0, Timer::Subscribe);
        policy.set_timer(0, Timer::Review);
        policy
    }

    pub(super) fn set_timer(&mut self, after: Micros, timer: Timer) {
        self.timers.set(self.now + after, timer);
    }

    pub(super) fn log(&mut self, event: LogEvent) {
        self.actions.push(Action::Log(event));
    }
}
