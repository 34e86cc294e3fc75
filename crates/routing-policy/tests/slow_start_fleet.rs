//! Simulates a few dozen routers while servers are in slow start, and checks the attempts that all routers
//! together send there: first attempts, retries and hedged requests.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use common::*;
use routing_policy::*;

const SERVERS: u32 = 20;
/// Requests per second over all routers. A warm server receives an equal share of them.
const REQUESTS_PER_S: u64 = 600;
/// Servers that start during the run. The first two restart, the last one is new.
const STARTING_SERVERS: [ServerId; 3] = [2, 3, 21];
/// Time between two simulation steps.
const STEP: Micros = 5 * MS;
const RUN_TIME: Micros = 25 * SECOND;
/// When the servers start, relative to the start of the run.
const START_AFTER: Micros = 15 * SECOND;
/// Size of the ring of attempt counters, which is indexed by request ID.
const ID_SLOTS: u64 = 1 << 16;

/// A deterministic random number generator (xorshift).
struct Rng(u64);

impl Rng {
    fn below(&mut self, end: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % end
    }
}

/// A scheduled outcome. The order of the fields is the order in which outcomes are delivered.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueOutcome {
    at: Micros,
    router: usize,
    request: RequestId,
    attempt: u16,
    server: ServerId,
    is_rejected: bool,
}

/// An attempt at a starting server.
struct SentAttempt {
    at: Micros,
    server: ServerId,
}

/// The overload window with the most attempts at a starting server, relative to its limit.
struct FullestWindow {
    attempts: usize,
    max_allowed: f64,
}

/// A simulated fleet of routers and servers. Three of the servers start during the run.
struct Fleet {
    rng: Rng,
    routers: Vec<TestRouter>,
    due_outcomes: BinaryHeap<Reverse<DueOutcome>>,
    /// Whether each router has been notified that the servers started.
    notified: Vec<bool>,
    /// Attempts at starting servers, by routers that had been notified.
    sent: Vec<SentAttempt>,
    started_at: Micros,
    /// Number of the next attempt of each request, indexed by request ID modulo `ID_SLOTS`.
    next_attempt: Vec<u16>,
    last_request: RequestId,
}

impl Fleet {
    fn new(router_count: u32, seed: u64) -> Self {
        let base_settings = Fleet::settings(router_count);
        let router = |index: u32| {
            let settings = Settings {
                router_index: index,
                ..base_settings.clone()
            };
            TestRouter::seeded(settings, SERVERS, seed * 1_000 + u64::from(index))
        };
        let routers: Vec<_> = (0..router_count).map(router).collect();
        Fleet {
            rng: Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            notified: vec![false; routers.len()],
            routers,
            due_outcomes: BinaryHeap::new(),
            sent: Vec::new(),
            started_at: 0,
            next_attempt: vec![0; ID_SLOTS as usize],
            last_request: 0,
        }
    }

    fn settings(routers: u32) -> Settings {
        Settings {
            router_count: routers,
            cold_capacity_share: 0.2,
            warm_up_period: 20 * SECOND,
            overload_multiple: 2.5,
            may_hedge: true,
            ..settings()
        }
    }

    /// Schedules an outcome for each attempt that a router sends: most soon, some late, some rejected. Misses
    /// are drawn when the outcome is delivered.
    fn schedule_outcomes(&mut self, router: usize, actions: &[Action]) {
        let now = self.routers[router].now;
        for action in actions {
            let Action::Send {
                request, server, ..
            } = action
            else {
                continue;
            };
            if STARTING_SERVERS.contains(server) && self.started_at > 0 && self.notified[router] {
                self.sent.push(SentAttempt {
                    at: now,
                    server: *server,
                });
            }
            let slot = &mut self.next_attempt[(*request % ID_SLOTS) as usize];
            let attempt = *slot;
            *slot += 1;
            let is_late = self.rng.below(12) == 0;
            let is_rejection = self.rng.below(8) == 0;
            let after = if is_late {
                400 * MS
            } else {
                (15 + self.rng.below(40)) * MS
            };
            self.due_outcomes.push(Reverse(DueOutcome {
                at: now + after,
                router,
                request: *request,
                attempt,
                server: *server,
                is_rejected: is_rejection && *server != ORIGIN,
            }));
        }
    }

    /// Runs the simulation. The endpoint lists reach the routers spread over 1.5 s; with `with_restarts`, every
    /// third router restarts just before it is notified.
    fn run(&mut self, with_restarts: bool) {
        let run_start = self.routers[0].now;
        let started_at = run_start + START_AFTER;
        let notified_at: Vec<_> = self
            .routers
            .iter()
            .map(|_| started_at + self.rng.below(1_500) * MS)
            .collect();
        for step in 0..(RUN_TIME / STEP) {
            let now = run_start + step * STEP;
            if self.started_at == 0 && now >= started_at {
                self.started_at = now;
            }
            for (router, notified_at) in notified_at.iter().enumerate() {
                if now >= *notified_at && !self.notified[router] {
                    self.notified[router] = true;
                    if with_restarts && router % 3 == 0 {
                        self.restart(router, now);
                    }
                    self.notify(router, started_at);
                }
                let elapsed = now.saturating_sub(self.routers[router].now);
                let actions = self.routers[router].advance(elapsed);
                self.schedule_outcomes(router, &actions);
            }
            self.end_attempts(now);
            // Triples the request rate for two seconds, soon after the servers start.
            let burst = now >= started_at + SECOND && now < started_at + 3 * SECOND;
            self.send_requests(REQUESTS_PER_S * if burst { 3 } else { 1 } * STEP / SECOND);
        }
    }

    /// Replaces a router by a new process. Its attempts in flight are lost with the old one.
    fn restart(&mut self, router: usize, now: Micros) {
        let settings = Settings {
            router_index: router as u32,
            ..Fleet::settings(self.routers.len() as u32)
        };
        let mut new_router = TestRouter::seeded(settings, SERVERS, self.rng.below(1 << 40));
        new_router.now = now;
        self.routers[router] = new_router;
        let due = std::mem::take(&mut self.due_outcomes).into_iter();
        self.due_outcomes = due
            .filter(|Reverse(outcome)| outcome.router != router)
            .collect();
    }

    fn notify(&mut self, router: usize, started: Micros) {
        let starting = STARTING_SERVERS.map(|id| Endpoint {
            started,
            ..server(id)
        });
        let actions = self.routers[router].update_endpoints(ListUpdate::Delta, starting.to_vec());
        self.schedule_outcomes(router, &actions);
    }

    fn end_attempts(&mut self, now: Micros) {
        while self
            .due_outcomes
            .peek()
            .is_some_and(|Reverse(due)| due.at <= now)
        {
            let Some(Reverse(due)) = self.due_outcomes.pop() else {
                break;
            };
            let is_miss = due.server != ORIGIN && self.rng.below(10) == 0;
            let status = if due.is_rejected {
                AttemptStatus::Rejected
            } else if is_miss {
                AttemptStatus::Miss
            } else {
                AttemptStatus::Served
            };
            let router = &mut self.routers[due.router];
            let actions = router.complete_attempt(due.request, due.attempt, due.server, status);
            self.schedule_outcomes(due.router, &actions);
        }
    }

    /// Sends requests to random routers. Popular keys are requested far more often than others.
    fn send_requests(&mut self, requests: u64) {
        for _ in 0..requests {
            self.last_request += 1;
            let id = self.last_request;
            self.next_attempt[(id % ID_SLOTS) as usize] = 0;
            let router = self.rng.below(self.routers.len() as u64) as usize;
            let rank = 1 + self.rng.below(1 + self.rng.0 % 400);
            let actions = self.routers[router].send_request(read(id, rank * 7_919));
            self.schedule_outcomes(router, &actions);
        }
    }

    /// Returns the window at any starting server that is the fullest relative to its limit.
    fn fullest_window(&self) -> FullestWindow {
        let settings = Fleet::settings(self.routers.len() as u32);
        let warm_rate = REQUESTS_PER_S as f64 / f64::from(SERVERS + 1);
        let window = |first: &SentAttempt| {
            let until = first.at + settings.overload_window;
            let is_in_window = |sent: &&SentAttempt| {
                sent.server == first.server && sent.at >= first.at && sent.at < until
            };
            let age = (until - settings.overload_window / 2 - self.started_at) as f64
                / settings.warm_up_period as f64;
            let cold_share = settings.cold_capacity_share;
            let capacity_share = (cold_share + (1.0 - cold_share) * age).min(1.0);
            let overload_attempts = settings.overload_multiple
                * capacity_share
                * warm_rate
                * settings.overload_window as f64
                / 1e6;
            FullestWindow {
                attempts: self.sent.iter().filter(is_in_window).count(),
                max_allowed: overload_attempts + 2.0 * overload_attempts.sqrt() + 2.0,
            }
        };
        let fullness = |window: &FullestWindow| window.attempts as f64 / window.max_allowed;
        let windows = self.sent.iter().map(window);
        windows
            .max_by(|a, b| fullness(a).total_cmp(&fullness(b)))
            .expect("starting servers receive attempts")
    }
}

#[test]
fn routers_together_spare_servers_in_slow_start_though_some_restart_and_lists_come_late() {
    for routers in [20, 30] {
        for with_restarts in [false, true] {
            for seed in 1..=3 {
                let mut fleet = Fleet::new(routers, seed);
                fleet.run(with_restarts);
                let window = fleet.fullest_window();
                let (attempts, limit) = (window.attempts, window.max_allowed);
                let case = format!("{routers} routers, restarts {with_restarts}, seed {seed}");
                println!(
                    "{case}: {attempts} of {limit:.1}, {} in all",
                    fleet.sent.len()
                );
                assert!(attempts as f64 <= limit, "{case}: {attempts} of {limit:.1}");
                assert!(
                    fleet.sent.len() >= 30,
                    "{case}: starting servers receive attempts"
                );
            }
        }
    }
}
