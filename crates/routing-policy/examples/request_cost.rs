//! Prints what a request costs the policy before fleets of several sizes, for keys that are new and keys that
//! come again, and what its regular review of the load and a change of the list cost: `cargo run --release -p routing-policy --example request_cost`.

use std::time::Instant;

use routing_policy::{
    Action, AttemptOutcome, AttemptStatus, CacheLookup, Endpoint, EndpointState, Event, ListUpdate,
    LoadReport, Policy, Request, RequestClass, Settings,
};

const FLEETS: [u32; 4] = [3, 24, 666, 3_200];
const REQUESTS: u64 = 20_000;
/// Runs of which the fastest counts: others are slowed by what else the machine does.
const RUNS: u64 = 7;
/// Of keys that come again.
const REPEATED_KEYS: u64 = 100;
const REQUEST_INTERVAL: u64 = 20_000;
const KINDS: u32 = 3;
const REVIEWS: u64 = 500;
/// The policy reviews its load eight times in an objective, here of 0.75 s.
const REVIEW_INTERVAL: u64 = 94_000;
const START: u64 = 60_000_000;

fn main() {
    println!("servers   new key   repeated key      review   list change   (nanoseconds)");
    for servers in FLEETS {
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

/// A policy that knows a fleet.
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
    policy.handle(START, list, &mut Vec::new());
    policy
}

fn nanoseconds_per_review(servers: u32) -> f64 {
    let mut policy = policy(servers);
    let mut actions = Vec::new();
    let start = Instant::now();
    for number in 1..=REVIEWS {
        actions.clear();
        policy.handle(
            START + number * REVIEW_INTERVAL,
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
        policy.handle(START, change, &mut actions);
    }
    start.elapsed().as_nanos() as f64 / REVIEWS as f64
}

fn nanoseconds_per_request(servers: u32, key_of: impl Fn(u64) -> u64) -> f64 {
    let mut policy = policy(servers);
    let mut now = START;
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
