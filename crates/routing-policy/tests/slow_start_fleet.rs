//! A few dozen routers and servers in slow start: what all of them together send, first attempts, retries and
//! hedged requests.
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
/// Requests per second over all routers; a warm server takes its part of them.
const RATE: u64 = 600;
/// Servers that start, the last of them a new one.
const STARTING: [ServerId; 3] = [2, 3, 21];
/// Time between two steps of the play.
const STEP: Micros = 5 * MS;
const PLAY_TIME: Micros = 25 * SECOND;
/// When the servers start, from the begin of the play.
const START_AFTER: Micros = 15 * SECOND;
/// Request ids for which the next attempt's number is held.
const ID_SLOTS: u64 = 1 << 16;

/// Random numbers that are the same in each run.
struct Draw(u64);

impl Draw {
    fn below(&mut self, end: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % end
    }
}

/// An outcome to come. The order of the fields is the order in which outcomes happen.
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

/// The fullest window of attempts at a starting server.
struct FullestWindow {
    attempts: usize,
    most_allowed: f64,
}

/// Routers before servers of which three start during the play.
struct Fleet {
    draw: Draw,
    routers: Vec<Router>,
    due: BinaryHeap<Reverse<DueOutcome>>,
    /// Whether each router has been notified of the starts.
    notified: Vec<bool>,
    /// Attempts at starting servers by routers that had been notified.
    sent: Vec<SentAttempt>,
    started_at: Micros,
    /// Number of the next attempt of each request.
    next_attempt: Vec<u16>,
    last_request: RequestId,
}

impl Fleet {
    fn new(router_count: u32, seed: u64) -> Self {
        let config = Fleet::settings(router_count);
        let router = |index: u32| {
            let settings = Settings {
                balancer_index: index,
                ..config.clone()
            };
            Router::seeded(settings, SERVERS, seed * 1_000 + u64::from(index))
        };
        let routers: Vec<_> = (0..router_count).map(router).collect();
        Fleet {
            draw: Draw(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            notified: vec![false; routers.len()],
            routers,
            due: BinaryHeap::new(),
            sent: Vec::new(),
            started_at: 0,
            next_attempt: vec![0; ID_SLOTS as usize],
            last_request: 0,
        }
    }

    fn settings(routers: u32) -> Settings {
        Settings {
            balancer_count: routers,
            cold_capacity_share: 0.2,
            warm_up_period: 20 * SECOND,
            overload_multiple: 2.5,
            may_hedge: true,
            ..settings()
        }
    }

    /// Carries out what a router wants sent: most is answered soon, some is rejected, some late, some a miss.
    fn carry_out(&mut self, router: usize, actions: &[Action]) {
        let now = self.routers[router].now;
        for action in actions {
            let Action::Send {
                request, server, ..
            } = action
            else {
                continue;
            };
            if STARTING.contains(server) && self.started_at > 0 && self.notified[router] {
                self.sent.push(SentAttempt {
                    at: now,
                    server: *server,
                });
            }
            let slot = &mut self.next_attempt[(*request % ID_SLOTS) as usize];
            let attempt = *slot;
            *slot += 1;
            let is_late = self.draw.below(12) == 0;
            let is_full = self.draw.below(8) == 0;
            let after = if is_late {
                400 * MS
            } else {
                (15 + self.draw.below(40)) * MS
            };
            self.due.push(Reverse(DueOutcome {
                at: now + after,
                router,
                request: *request,
                attempt,
                server: *server,
                is_rejected: is_full && *server != ORIGIN,
            }));
        }
    }

    /// Plays some seconds. The lists reach the routers over one and a half; some have just restarted.
    fn play(&mut self, with_restarts: bool) {
        let begin = self.routers[0].now;
        let started_at = begin + START_AFTER;
        let notified_at: Vec<_> = self
            .routers
            .iter()
            .map(|_| started_at + self.draw.below(1_500) * MS)
            .collect();
        for step in 0..(PLAY_TIME / STEP) {
            let now = begin + step * STEP;
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
                let behind = now.saturating_sub(self.routers[router].now);
                let actions = self.routers[router].advance(behind);
                self.carry_out(router, &actions);
            }
            self.end_attempts(now);
            // A burst of three times as much for two seconds, soon after the start.
            let burst = now >= started_at + SECOND && now < started_at + 3 * SECOND;
            self.ask(RATE * if burst { 3 } else { 1 } * STEP / SECOND);
        }
    }

    /// Replaces a router by a new process; what it had in flight ends with the old one.
    fn restart(&mut self, router: usize, now: Micros) {
        let settings = Settings {
            balancer_index: router as u32,
            ..Fleet::settings(self.routers.len() as u32)
        };
        let mut fresh = Router::seeded(settings, SERVERS, self.draw.below(1 << 40));
        fresh.now = now;
        self.routers[router] = fresh;
        let due = std::mem::take(&mut self.due).into_iter();
        self.due = due
            .filter(|Reverse(outcome)| outcome.router != router)
            .collect();
    }

    fn notify(&mut self, router: usize, started: Micros) {
        let starting = STARTING.map(|id| Endpoint {
            started,
            ..server(id)
        });
        let actions = self.routers[router].list(ListUpdate::Delta, starting.to_vec());
        self.carry_out(router, &actions);
    }

    fn end_attempts(&mut self, now: Micros) {
        while self.due.peek().is_some_and(|Reverse(due)| due.at <= now) {
            let Some(Reverse(due)) = self.due.pop() else {
                break;
            };
            let is_miss = due.server != ORIGIN && self.draw.below(10) == 0;
            let status = if due.is_rejected {
                AttemptStatus::Rejected
            } else if is_miss {
                AttemptStatus::Miss
            } else {
                AttemptStatus::Served
            };
            let router = &mut self.routers[due.router];
            let actions = router.outcome(due.request, due.attempt, due.server, status);
            self.carry_out(due.router, &actions);
        }
    }

    /// Sends requests to random routers, popular keys far more often than others.
    fn ask(&mut self, requests: u64) {
        for _ in 0..requests {
            self.last_request += 1;
            let id = self.last_request;
            self.next_attempt[(id % ID_SLOTS) as usize] = 0;
            let router = self.draw.below(self.routers.len() as u64) as usize;
            let rank = 1 + self.draw.below(1 + self.draw.0 % 400);
            let actions = self.routers[router].request(read(id, rank * 7_919));
            self.carry_out(router, &actions);
        }
    }

    /// The window at any starting server that is the fullest for what may be in it.
    fn fullest_window(&self) -> FullestWindow {
        let settings = Fleet::settings(self.routers.len() as u32);
        let warm_rate = RATE as f64 / f64::from(SERVERS + 1);
        let window = |first: &SentAttempt| {
            let until = first.at + settings.overload_window;
            let is_within = |sent: &&SentAttempt| {
                sent.server == first.server && sent.at >= first.at && sent.at < until
            };
            let age = (until - settings.overload_window / 2 - self.started_at) as f64
                / settings.warm_up_period as f64;
            let share = settings.cold_capacity_share;
            let warmth = (share + (1.0 - share) * age).min(1.0);
            let most =
                settings.overload_multiple * warmth * warm_rate * settings.overload_window as f64
                    / 1e6;
            FullestWindow {
                attempts: self.sent.iter().filter(is_within).count(),
                most_allowed: most + 2.0 * most.sqrt() + 2.0,
            }
        };
        let fullness = |window: &FullestWindow| window.attempts as f64 / window.most_allowed;
        let windows = self.sent.iter().map(window);
        windows
            .max_by(|a, b| fullness(a).total_cmp(&fullness(b)))
            .expect("starting servers are used")
    }
}

#[test]
fn routers_together_spare_servers_in_slow_start_though_some_restart_and_lists_come_late() {
    for routers in [20, 30] {
        for with_restarts in [false, true] {
            for seed in 1..=3 {
                let mut fleet = Fleet::new(routers, seed);
                fleet.play(with_restarts);
                let window = fleet.fullest_window();
                let (attempts, most) = (window.attempts, window.most_allowed);
                let case = format!("{routers} routers, restarts {with_restarts}, seed {seed}");
                println!(
                    "{case}: {attempts} of {most:.1}, {} in all",
                    fleet.sent.len()
                );
                assert!(attempts as f64 <= most, "{case}: {attempts} of {most:.1}");
                assert!(fleet.sent.len() >= 30, "{case}: they are used");
            }
        }
    }
}
