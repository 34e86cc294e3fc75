//! Prints what a request costs the policy before fleets of several sizes, for keys that are new and keys that
//! come again: `cargo run --release -p routing-policy --example request_cost`.

use std::time::Instant;

use routing_policy::{
    Action, AttemptOutcome, AttemptStatus, CacheLookup, Endpoint, Event, ListUpdate, LoadReport,
    Policy, Request, RequestClass, Settings,
};

const FLEETS: [u32; 4] = [3, 24, 666, 3_200];
const REQUESTS: u64 = 20_000;
/// Runs of which the fastest counts: others are slowed by what else the machine does.
const RUNS: u64 = 7;
/// Of keys that come again.
const REPEATED_KEYS: u64 = 100;
const REQUEST_INTERVAL: u64 = 20_000;

fn main() {
    println!("servers   new key   repeated key   (nanoseconds a request, all of its events)");
    for servers in FLEETS {
        let new_key = fastest_run(servers, |number| number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let repeated_key = fastest_run(servers, |number| 1 + number % REPEATED_KEYS);
        println!("{servers:>7} {new_key:>9.0} {repeated_key:>14.0}");
    }
}

fn fastest_run(servers: u32, key_of: impl Fn(u64) -> u64) -> f64 {
    let runs = (0..RUNS).map(|seed| nanoseconds_per_request(servers, seed, &key_of));
    runs.fold(f64::INFINITY, f64::min)
}

fn nanoseconds_per_request(servers: u32, seed: u64, key_of: impl Fn(u64) -> u64) -> f64 {
    let class = RequestClass {
        latency_objective: 750_000,
        deadline: 1_500_000,
        ..RequestClass::default()
    };
    let settings = Settings {
        classes: vec![class],
        ..Settings::default()
    };
    let mut policy = Policy::new(settings, seed);
    let mut now = 60_000_000;
    let endpoints = (1..=servers).map(|id| Endpoint {
        id: id * 7,
        ..Endpoint::default()
    });
    let list = Event::EndpointList {
        update: ListUpdate::Cached,
        endpoints: endpoints.collect(),
    };
    policy.handle(now, list, &mut Vec::new());
    let mut actions = Vec::new();
    let start = Instant::now();
    // One clock value for all: timers, which have their own costs, do not come due.
    for id in 1..=REQUESTS {
        now += u64::from(id % 1_000 == 0) * REQUEST_INTERVAL;
        serve(&mut policy, now, id, key_of(id), &mut actions);
    }
    start.elapsed().as_nanos() as f64 / REQUESTS as f64
}

/// A request that its server answers at once.
fn serve(policy: &mut Policy, now: u64, id: u64, key: u64, actions: &mut Vec<Action>) {
    let request = Request {
        id,
        key,
        remaining_deadline: 1_500_000,
        ..Request::default()
    };
    actions.clear();
    policy.handle(now, Event::Request(request), actions);
    let sent = actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    });
    let Some(server) = sent else { return };
    let outcome = AttemptOutcome {
        request: id,
        attempt: 0,
        server,
        status: AttemptStatus::Served,
        request_complete: true,
        cache_lookup: CacheLookup::Unknown,
        elapsed: 1_000,
        load: LoadReport::default(),
    };
    policy.handle(now, Event::AttemptOutcome(outcome), actions);
}
