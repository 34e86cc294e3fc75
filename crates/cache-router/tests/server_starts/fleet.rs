//! Routers with wrong wall clocks send requests to servers that collapse under overload while they warm up.

use routing_policy::{
    Action, AttemptOutcome, AttemptStatus, CacheLookup, Event, ListUpdate, LoadReport, Micros,
    Policy, Request, RequestId, ServerId, Settings,
};

use super::*;

const MILLISECOND: Micros = 1_000;
const ROUTERS: usize = 6;
const SERVERS: usize = 12;
/// Requests per second from all routers together.
const REQUESTS_PER_SECOND: usize = 600;
const RESTART_AT: Micros = TEST_START + 5 * SECOND;
const END: Micros = RESTART_AT + 4 * SECOND;
const STEP: Micros = 10 * MILLISECOND;

fn settings() -> Settings {
    Settings {
        router_count: ROUTERS as u32,
        cold_capacity_share: 0.1,
        warm_up_period: 10 * SECOND,
        overload_multiple: 2.0,
        overload_window: SECOND,
        may_hedge: false,
        ..Settings::default()
    }
}

/// A router whose servers have numbers as names.
struct Router {
    policy: Policy,
    router_table: RouterTable,
    timers: Vec<Micros>,
}

impl Router {
    fn new(seed: u64, wall_clock_error: i64) -> Self {
        let deployment = Deployment {
            settings: settings(),
            ..routing_policy::settings::read(b"{}").unwrap()
        };
        Router {
            policy: Policy::new(settings(), seed),
            router_table: RouterTable::with_deployment(deployment, wall_clock_error),
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

    fn handle_due_timers(&mut self, now: Micros) {
        let due = self.timers.iter().filter(|at| **at <= now).count();
        self.timers.retain(|at| *at > now);
        for _ in 0..due {
            self.handle(now, Event::Timer(0));
        }
    }

    /// Applies a list of stamps; returns the ids of the servers in the same order.
    fn apply(&mut self, now: Micros, stamps: &[u64]) -> Vec<ServerId> {
        let names: Vec<_> = (0..stamps.len()).map(|number| number.to_string()).collect();
        let names = names.iter().map(String::as_str);
        let servers: Vec<_> = names.zip(stamps.iter().copied()).collect();
        let endpoints = self.router_table.apply(now, ListUpdate::Full, &servers);
        let ids = endpoints.iter().map(|endpoint| endpoint.id).collect();
        let update = ListUpdate::Full;
        self.handle(now, Event::EndpointList { update, endpoints });
        ids
    }

    /// Sends a read, which is served at once; returns the server that it was sent to.
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

/// The clocks and the start of the last server in one simulation.
struct Scenario {
    /// How far the routers' wall clocks are ahead, in seconds.
    wall_clock_error: i64,
    /// The step of discovery's clock before the restart, in seconds.
    discovery_step: i64,
    /// Whether no earlier list had the server.
    is_new_server: bool,
}

impl Scenario {
    /// Returns the peak number of attempts at the cold server within an overload window, as a fraction of the number
    /// that makes the server collapse.
    fn peak_load(&self) -> f64 {
        let mut routers: Vec<_> = (0..ROUTERS as u64)
            .map(|seed| Router::new(seed, self.wall_clock_error))
            .collect();
        let mut stamps = vec![(TEST_START - 10 * HOUR) / MILLISECOND; SERVERS];
        if self.is_new_server {
            stamps.pop();
        }
        let mut cold = None;
        let mut attempts = Vec::new();
        let mut request = 0;
        for step in 0..(END - TEST_START) / STEP {
            let now = TEST_START + step * STEP;
            if now == RESTART_AT {
                stamps.truncate(SERVERS - 1);
                stamps.push(clock_reading(now, self.discovery_step) / MILLISECOND);
            }
            // Lists are received every second, beginning half a second after the start.
            if (now - TEST_START) % SECOND == SECOND / 2 {
                for router in &mut routers {
                    let ids = router.apply(now, &stamps);
                    cold = (now > RESTART_AT).then(|| ids[SERVERS - 1]);
                }
            }
            for router in &mut routers {
                router.handle_due_timers(now);
            }
            for _ in 0..REQUESTS_PER_SECOND * STEP as usize / SECOND as usize {
                request += 1;
                let server = routers[request % ROUTERS].read(now, request as u64);
                if server.is_some() && server == cold {
                    attempts.push(now);
                }
            }
        }
        let load = |from: &Micros| {
            let window = *from..from + settings().overload_window;
            let within = attempts.iter().filter(|at| window.contains(at)).count();
            within as f64 / overload_limit(window.end)
        };
        attempts.iter().map(load).fold(0.0, f64::max)
    }
}

/// Returns the number of attempts above which a cold server collapses, in the window that ends at `window_end`.
fn overload_limit(window_end: Micros) -> f64 {
    let Settings {
        cold_capacity_share: share,
        warm_up_period,
        overload_multiple,
        overload_window,
        ..
    } = settings();
    let age = (window_end - overload_window / 2 - RESTART_AT) as f64 / warm_up_period as f64;
    let capacity = (share + (1.0 - share) * age) * REQUESTS_PER_SECOND as f64 / SERVERS as f64;
    let expected_limit = overload_multiple * capacity * overload_window as f64 / SECOND as f64;
    expected_limit + 2.0 * expected_limit.sqrt() + 2.0
}

#[test]
fn a_server_that_restarts_does_not_collapse_when_clocks_are_wrong() {
    for wall_clock_error in CLOCK_ERRORS {
        for discovery_step in CLOCK_ERRORS {
            for is_new_server in [false, true] {
                let scenario = Scenario {
                    wall_clock_error,
                    discovery_step,
                    is_new_server,
                };
                let peak_load = scenario.peak_load();
                assert!(
                    peak_load > 0.1 && peak_load <= 1.0,
                    "wall clock {wall_clock_error} s ahead, discovery's stepped by {discovery_step} s, \
                     new server {is_new_server}: {peak_load:.2} of the load that makes it collapse"
                );
            }
        }
    }
}
