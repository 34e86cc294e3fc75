//! Benchmarks the policy for fleets of several sizes: the cost of a request, for new and for repeated keys, of the
//! periodic review of the load, and of a change of the endpoint list.
//!
//! Run with `cargo run --release -p routing-policy --example request_cost`.

use std::time::Instant;

use routing_policy::{
    Action, AttemptOutcome, AttemptStatus, CacheLookup, Endpoint, EndpointState, Event, ListUpdate,
    LoadReport, Policy, Request, RequestClass, Settings,
};

const FLEET_SIZES: [u32; 4] = [3, 24, 666, 3_200];
const REQUESTS: u64 = 20_000;
/// Number of runs. The fastest one is reported, because other activity on the machine slows down runs.
const RUNS: u64 = 7;
/// Number of distinct keys in the measurement of repeated keys.
const REPEATED_KEYS: u64 = 100;
const CLOCK_STEP: u64 = 20_000;
const KINDS: u32 = 3;
const REVIEWS: u64 = 500;
/// The policy reviews its load eight times per latency objective, which is 0.75 s here.
const REVIEW_INTERVAL: u64 = 94_000;
const START_TIME: u64 = 60_000_000;

fn main() {
    println!("servers   new key   repeated key      review   list change   (nanoseconds)");
    for servers in FLEET_SIZES {
        let new_key = fastest_run(servers, |number| number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let repeated_key = fastest_run(servers, |number| 1 + number % REPEATED_KEYS);
        let review = fastest(|| nanoseconds_per_review(servers));
        let change = fastest(|| nanoseconds_per_change(servers));
        println!("{servers:>7} {new_key:>9.0} {repeated_key:>14.0} {review:>11.0} {change:>13.0}");
    }
}

fn fastest_run(servers: u32, key_of: impl Fn(u64) -> u64) -> f64 {
    fastest(|| nanoseconds_per_request(servers, &key_of))
}

fn fastest(run: impl Fn() -> f64) -> f64 {
    (0..RUNS).map(|_| run()).fold(f64::INFINITY, f64::min)
}

fn endpoint(id: u32) -> Endpoint {
    Endpoint {
        id: id * 7,
        kind: (id % KINDS) as u16,
        ..Endpoint::default()
    }
}

/// A policy that has received an endpoint list with this many servers.
fn policy(servers: u32) -> Policy {
    let class = RequestClass {
        latency_objective: 750_000,
        deadline: 1_500_000,
        ..RequestClass::default()
    };
    let settings = Settings {
        classes: vec![class],
        ..Settings::default()
    };
    let mut policy = Policy::new(settings, 1);
    let list = Event::EndpointList {
        update: ListUpdate::Cached,
        endpoints: (1..=servers).map(endpoint).collect(),
    };
    policy.handle(START_TIME, list, &mut Vec::new());
    policy
}

fn nanoseconds_per_review(servers: u32) -> f64 {
    let mut policy = policy(servers);
    let mut actions = Vec::new();
    let start = Instant::now();
    for number in 1..=REVIEWS {
        actions.clear();
        policy.handle(
            START_TIME + number * REVIEW_INTERVAL,
            Event::Timer(0),
            &mut actions,
        );
    }
    start.elapsed().as_nanos() as f64 / REVIEWS as f64
}

fn nanoseconds_per_change(servers: u32) -> f64 {
    let mut policy = policy(servers);
    let mut actions = Vec::new();
    let start = Instant::now();
    for number in 1..=REVIEWS {
        let state = if number % 2 == 0 {
            EndpointState::Ready
        } else {
            EndpointState::Draining
        };
        let change = Event::EndpointList {
            update: ListUpdate::Delta,
            endpoints: vec![Endpoint {
                state,
                ..endpoint(1)
            }],
        };
        policy.handle(START_TIME, change, &mut actions);
    }
    start.elapsed().as_nanos() as f64 / REVIEWS as f64
}

fn nanoseconds_per_request(servers: u32, key_of: impl Fn(u64) -> u64) -> f64 {
    let mut policy = policy(servers);
    let mut now = START_TIME;
    let mut actions = Vec::new();
    let start = Instant::now();
    // The clock advances only once per 1,000 requests, so that few timers come due. These have costs of their
    // own.
    for id in 1..=REQUESTS {
        now += u64::from(id % 1_000 == 0) * CLOCK_STEP;
        serve(&mut policy, now, id, key_of(id), &mut actions);
    }
    start.elapsed().as_nanos() as f64 / REQUESTS as f64
}

/// Handles a request that its server serves at once.
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
