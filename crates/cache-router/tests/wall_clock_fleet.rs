//! Routers whose wall clocks are wrong, in front of servers that collapse under too much while they warm up.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::collections::BTreeSet;
use std::sync::Arc;

use cache_router::clock::{Moment, UnixTime};
use cache_router::event_loop::endpoints::EndpointTable;
use cache_router::message::{DiscoveredEndpoint, EndpointListUpdate};
use routing_policy::settings::Deployment;
use routing_policy::{
    Action, AttemptOutcome, AttemptStatus, CacheLookup, Event, ListUpdate, LoadReport, Micros,
    Policy, Request, RequestId, ServerId, Settings,
};

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const BEGIN: Micros = 1_800_000_000 * SECOND;
const ROUTERS: usize = 6;
const SERVERS: usize = 12;
/// Requests per second over all routers.
const RATE: usize = 600;
const RESTART_AT: Micros = BEGIN + 10 * SECOND;
const END: Micros = RESTART_AT + 4 * SECOND;
const STEP: Micros = 10 * MILLISECOND;
/// How wrong clocks are, in seconds.
const ERRORS: [i64; 5] = [-3_600, -3, 0, 3, 3_600];

fn settings() -> Settings {
    Settings {
        balancer_count: ROUTERS as u32,
        cold_capacity_share: 0.1,
        warm_up_period: 10 * SECOND,
        overload_multiple: 2.0,
        overload_window: SECOND,
        may_hedge: false,
        ..Settings::default()
    }
}

/// A list with servers of these stamps, by their number.
fn list(stamps: &[u64]) -> EndpointListUpdate {
    let endpoints = stamps.iter().enumerate().map(|(number, stamp)| {
        serde_json::from_value::<DiscoveredEndpoint>(serde_json::json!({
            "name": format!("s-{number}"), "address": "127.0.0.1:1",
            "status": "active", "since_ms": stamp,
        }))
        .unwrap()
    });
    EndpointListUpdate {
        version: 1,
        is_complete: true,
        endpoints: endpoints.collect(),
    }
}

struct Node {
    policy: Policy,
    table: EndpointTable,
    wall_clock_error: i64,
    timers: Vec<Micros>,
}

impl Node {
    fn new(seed: u64, wall_clock_error: i64) -> Self {
        let deployment = Deployment {
            settings: settings(),
            ..routing_policy::settings::read(b"{}").unwrap()
        };
        Node {
            policy: Policy::new(settings(), seed),
            table: EndpointTable::new(Arc::new(deployment)),
            wall_clock_error,
            timers: Vec::new(),
        }
    }

    fn handle(&mut self, now: Micros, event: Event) -> Vec<ServerId> {
        let mut actions = Vec::new();
        self.policy.handle(now, event, &mut actions);
        let mut servers = Vec::new();
        for action in actions {
            match action {
                Action::Timer { after, .. } => self.timers.push(now + after.max(1)),
                Action::Send { server, .. } => servers.push(server),
                _ => {}
            }
        }
        servers
    }

    fn fire_timers(&mut self, now: Micros) {
        let due = self.timers.iter().filter(|at| **at <= now).count();
        self.timers.retain(|at| *at > now);
        for _ in 0..due {
            self.handle(now, Event::Timer(0));
        }
    }

    /// Takes a list in; returns the ids of the servers in its order.
    fn apply(&mut self, now: Micros, list: &EndpointListUpdate) -> Vec<ServerId> {
        let wall_clock = now.saturating_add_signed(self.wall_clock_error * SECOND as i64);
        let moment = Moment {
            at: now,
            unix: UnixTime::from_micros(wall_clock),
        };
        let endpoints = self.table.apply(list, ListUpdate::Full, moment).endpoints;
        let ids = endpoints.iter().map(|endpoint| endpoint.id).collect();
        self.handle(
            now,
            Event::EndpointList {
                update: ListUpdate::Full,
                endpoints,
            },
        );
        ids
    }

    /// A read, served at once; returns the server that it went to.
    fn read(&mut self, now: Micros, id: RequestId) -> Option<ServerId> {
        let request = Request {
            id,
            key: (id % 4_000).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            remaining_deadline: SECOND,
            ..Request::default()
        };
        let server = self.handle(now, Event::Request(request)).first().copied()?;
        let outcome = AttemptOutcome {
            request: id,
            attempt: 0,
            server,
            status: AttemptStatus::Served,
            elapsed: 5 * MILLISECOND,
            request_complete: true,
            cache_lookup: CacheLookup::Hit,
            load: LoadReport::default(),
        };
        self.handle(now, Event::AttemptOutcome(outcome));
        Some(server)
    }
}

/// How the stamps of servers change when the first of them restarts.
struct Play {
    /// By how much the routers' wall clocks are ahead, in seconds.
    wall_clock_error: i64,
    /// By how much discovery's clock is stepped before the restart, in seconds.
    discovery_step: i64,
    /// Whether the process has another name, that of a new server, and the first server is gone.
    is_new_server: bool,
}

impl Play {
    /// The attempts at the cold server in the fullest window, as a part of those that make it collapse.
    fn fullest_window(&self) -> f64 {
        let mut nodes: Vec<_> = (0..ROUTERS as u64)
            .map(|seed| Node::new(seed, self.wall_clock_error))
            .collect();
        let hour = 3_600 * SECOND;
        let mut stamps = vec![(BEGIN - 10 * hour) / MILLISECOND; SERVERS];
        if self.is_new_server {
            stamps.pop();
        }
        let mut cold = None;
        let mut attempts = Vec::new();
        let mut request = 0;
        for step in 0..(END - BEGIN) / STEP {
            let now = BEGIN + step * STEP;
            if now == RESTART_AT {
                let stamp = now.saturating_add_signed(self.discovery_step * SECOND as i64);
                if self.is_new_server {
                    stamps.push(stamp / MILLISECOND);
                } else {
                    stamps[SERVERS - 1] = stamp / MILLISECOND;
                }
            }
            // Lists come half a second after the start, and every second.
            if (now - BEGIN) % SECOND == SECOND / 2 {
                for node in &mut nodes {
                    let ids = node.apply(now, &list(&stamps));
                    cold = (now > RESTART_AT).then(|| ids[SERVERS - 1]);
                }
            }
            for node in &mut nodes {
                node.fire_timers(now);
            }
            for _ in 0..RATE * STEP as usize / SECOND as usize {
                request += 1;
                let server = nodes[request % ROUTERS].read(now, request as u64);
                if server.is_some() && server == cold {
                    attempts.push(now);
                }
            }
        }
        let fullness = |from: &Micros| {
            let window = *from..from + settings().overload_window;
            let within = attempts.iter().filter(|at| window.contains(at)).count();
            within as f64 / collapse_limit(window.end)
        };
        attempts.iter().map(fullness).fold(0.0, f64::max)
    }
}

/// A cold server collapses when more than this comes to it in the window that ends then.
fn collapse_limit(window_end: Micros) -> f64 {
    let Settings {
        cold_capacity_share: share,
        warm_up_period,
        overload_multiple,
        overload_window,
        ..
    } = settings();
    let age = (window_end - overload_window / 2 - RESTART_AT) as f64 / warm_up_period as f64;
    let capacity = (share + (1.0 - share) * age) * RATE as f64 / SERVERS as f64;
    let usual = overload_multiple * capacity * overload_window as f64 / SECOND as f64;
    usual + 2.0 * usual.sqrt() + 2.0
}

#[test]
fn a_server_that_restarts_does_not_collapse_though_clocks_are_wrong() {
    for wall_clock_error in ERRORS {
        for discovery_step in ERRORS {
            for is_new_server in [false, true] {
                let play = Play {
                    wall_clock_error,
                    discovery_step,
                    is_new_server,
                };
                let window = play.fullest_window();
                assert!(
                    window > 0.1 && window <= 1.0,
                    "wall clock {wall_clock_error} s ahead, discovery's stepped by {discovery_step} s, \
                     new server {is_new_server}: {window:.2} of what makes it collapse"
                );
            }
        }
    }
}

#[test]
fn a_router_whose_clock_is_behind_uses_a_warm_fleet_as_one_whose_clock_is_right() {
    let minute = 60 * SECOND;
    // All have started within the error of the clock.
    let stamps = (0..SERVERS as u64).map(|n| (BEGIN - (50 - n) * minute) / MILLISECOND);
    let stamps: Vec<_> = stamps.collect();
    let used_by = |error: i64| {
        let mut node = Node::new(1, error);
        let ids = node.apply(BEGIN, &list(&stamps));
        let first = (1..=400).map(|id| node.read(BEGIN + SECOND, id));
        let used: BTreeSet<_> = first.flatten().collect();
        (ids, used)
    };
    let (ids, used) = used_by(0);
    assert_eq!(used.len(), SERVERS);
    let (_, used_behind) = used_by(-3_600);
    let without_newest = &ids[..SERVERS - 1];
    assert!(without_newest.iter().all(|id| used_behind.contains(id)));
}
