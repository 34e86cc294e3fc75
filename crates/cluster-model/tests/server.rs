//! The cache server: responses, draining, and the collapse under load while it warms up.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use cluster_model::machine::MachineConfig;
use cluster_model::server::{Admission, CacheServer, CacheServerConfig, Lookup, Response};
use cluster_model::slow_start_budget::{SlowStartBudget, collapse_limit};
use cluster_model::{CompletedJob, Micros};

const SECOND: Micros = 1_000_000;

fn lookup(key: u64, sender_knows_start: bool) -> Lookup {
    Lookup {
        key,
        work: 10_000.0,
        sender_knows_start,
    }
}

#[test]
fn a_server_answers_hits_and_misses_and_rejects_attempts_over_its_queue_or_while_draining() {
    let machine = MachineConfig {
        cores: 1.0,
        slots: 1,
        queue_capacity: 1,
        ..MachineConfig::default()
    };
    let config = CacheServerConfig {
        machine,
        ..CacheServerConfig::default()
    };
    let mut server = CacheServer::new(config, 0, 0);
    server.memory().store(0, 7, 100);
    let busy = Admission::Answered(Response::Busy);
    assert_eq!(server.submit(0, 1, lookup(7, true)), Admission::Accepted);
    assert_eq!(server.submit(0, 2, lookup(8, true)), Admission::Accepted);
    assert_eq!(server.submit(0, 3, lookup(7, true)), busy);
    let mut responses = Vec::new();
    while let Some(at) = server.next_event_at() {
        let completed = server.take_completed(at).into_iter();
        responses.extend(completed.map(|completed| (completed, at)));
    }
    let completed = |job, response| CompletedJob { job, response };
    assert_eq!(responses[0], (completed(1, Response::Hit), 10_000));
    let (CompletedJob { response, .. }, at) = responses[1];
    assert_eq!(response, Response::Miss, "{responses:?}");
    assert!(at.abs_diff(13_000) <= 2, "{responses:?}");
    server.drain();
    assert_eq!(server.submit(SECOND, 4, lookup(7, true)), busy);
    assert!(server.stop().is_empty() && !server.is_running());
    assert_eq!(
        server.submit(SECOND, 5, lookup(7, true)),
        Admission::Answered(Response::Refused)
    );
    server.restart(2 * SECOND);
    assert!(server.is_running());
    assert_eq!(server.started(), 2 * SECOND);
    assert!(server.memory().is_empty());
}

/// Sends attempts of 10 ms of work at a constant rate to a server with one core that is warm after 20 s, until the
/// server collapses or 25 s have passed. `sender_knows_start` returns whether the sender of an attempt knows of the
/// server's start.
fn load_cold_server(
    per_second: u64,
    mean_work: f64,
    sender_knows_start: impl Fn(u64) -> bool,
) -> CacheServer {
    let machine = MachineConfig {
        cores: 1.0,
        cold_share: 0.2,
        warm_up: 20 * SECOND,
        slots: 4,
        queue_capacity: 4,
        ..MachineConfig::default()
    };
    let config = CacheServerConfig {
        machine,
        slow_start: SlowStartBudget {
            multiple: 2.5,
            mean_work,
            ..SlowStartBudget::default()
        },
        miss_work_share: 1.0,
        ..CacheServerConfig::default()
    };
    let mut server = CacheServer::new(config, SECOND, SECOND);
    for job in 0..25 * per_second {
        let now = SECOND + job * SECOND / per_second;
        server.take_completed(now);
        let admission = server.submit(now, job, lookup(job, sender_knows_start(job)));
        if matches!(admission, Admission::Collapsed(_)) {
            break;
        }
    }
    server
}

#[test]
fn a_cold_server_collapses_above_its_multiple_over_the_window_and_reports_the_informed_share() {
    // At its start the server can process 20 attempts per second, so it withstands 100 in any two seconds.
    assert_eq!(load_cold_server(49, 0.0, |_| true).collapse(), None);
    let server = load_cold_server(80, 0.0, |job| job % 4 != 0);
    let collapse = server.collapse().expect("collapses");
    assert!(collapse.age_at_collapse < 3 * SECOND, "{collapse:?}");
    assert!(
        collapse.load_multiple > 2.5 && collapse.load_multiple < 2.6,
        "{collapse:?}"
    );
    assert!(
        (collapse.notified_share - 0.75).abs() < 0.02,
        "{collapse:?}"
    );
    // After two seconds the server can process 28 attempts per second. With the margin for random variation it
    // withstands 140 + 2 * 11.8 + 2 attempts within two seconds.
    assert_eq!(load_cold_server(80, 10_000.0, |_| true).collapse(), None);
    assert!(
        load_cold_server(95, 10_000.0, |_| true)
            .collapse()
            .is_some()
    );
    let collapsed = load_cold_server(80, 0.0, |_| true);
    assert!(!collapsed.is_running(), "it does not restart by itself");
    assert!(
        collapsed.next_event_at().is_none(),
        "it does not restart by itself"
    );
}

#[test]
fn the_margin_for_random_variation_is_two_roots_or_three_for_a_budget_under_thirty() {
    assert_eq!(collapse_limit(100.0), 122.0);
    assert_eq!(collapse_limit(30.0), 30.0 + 2.0 * 30.0_f64.sqrt() + 2.0);
    assert_eq!(collapse_limit(25.0), 43.0);
    assert_eq!(collapse_limit(0.0), 3.0);
}

#[test]
fn a_warm_server_never_collapses_and_neither_does_one_that_started_long_ago() {
    let machine = MachineConfig {
        cold_share: 0.1,
        warm_up: SECOND,
        ..MachineConfig::default()
    };
    let config = CacheServerConfig {
        machine,
        slow_start: SlowStartBudget {
            multiple: 2.0,
            ..SlowStartBudget::default()
        },
        ..CacheServerConfig::default()
    };
    let mut server = CacheServer::new(config, 0, 5);
    for job in 0..10_000 {
        let admission = server.submit(5, job, lookup(job, true));
        assert!(!matches!(admission, Admission::Collapsed(_)));
    }
}
