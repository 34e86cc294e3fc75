//! Ejection of servers that fail, and their readmission.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

mod common;

use common::*;
use routing_policy::*;

#[test]
fn a_silent_server_is_ejected_and_readmitted_when_it_answers_a_trial() {
    let mut router = TestRouter::new(
        Settings {
            may_hedge: false,
            ..settings()
        },
        4,
    );
    let failing_server = sent_to(&router.send_request(read(1, 9))).unwrap();
    for id in 2..=3 {
        router.send_request(read(id, 9));
    }
    router.advance(1600 * MS);
    for id in 1..=3 {
        router.complete_attempt(id, 0, failing_server, AttemptStatus::TimedOut);
    }
    assert_ne!(
        sent_to(&router.send_request(read(10, 9))),
        Some(failing_server),
        "ejected"
    );
    router.advance(10 * SECOND);
    assert_eq!(
        sent_to(&router.send_request(read(11, 9))),
        Some(failing_server),
        "one trial"
    );
    assert_ne!(
        sent_to(&router.send_request(read(12, 9))),
        Some(failing_server),
        "no more while it is in flight"
    );
    router.complete_attempt(11, 0, failing_server, AttemptStatus::Served);
    assert_eq!(
        sent_to(&router.send_request(read(13, 9))),
        Some(failing_server),
        "readmitted"
    );
}

#[test]
fn one_slow_answer_ejects_no_server() {
    let mut router = TestRouter::new(settings(), 4);
    let first = sent_to(&router.send_request(read(1, 10))).unwrap();
    router.advance(1600 * MS);
    router.complete_attempt(1, 0, first, AttemptStatus::TimedOut);
    assert_eq!(sent_to(&router.send_request(read(2, 10))), Some(first));
}

#[test]
fn servers_are_still_tried_when_most_are_ejected() {
    let mut router = TestRouter::new(settings(), 4);
    for id in 1..=60 {
        let mut to = sent_to(&router.send_request(read(id, id)));
        let mut attempt = 0;
        while let Some(server) = to {
            to = sent_to(&router.complete_attempt(
                id,
                attempt,
                server,
                AttemptStatus::ConnectFailed,
            ));
            attempt += 1;
        }
    }
    assert!(
        sent_to(&router.send_request(read(100, 3))).is_some(),
        "still tried, since the cause is shared"
    );
}

#[test]
fn a_server_that_refused_connections_and_answers_again_is_presumed_restarted() {
    // When servers crashed, the endpoint list showed the new process only seconds after it had begun to take
    // requests.
    let mut router = TestRouter::new(settings(), 4);
    let failing_server = sent_to(&router.send_request(read(1, 9))).unwrap();
    for id in 1..=3 {
        let next =
            sent_to(&router.complete_attempt(id, 0, failing_server, AttemptStatus::ConnectFailed))
                .unwrap();
        router.complete_attempt(id, 1, next, AttemptStatus::Served);
        router.advance(10 * SECOND);
        assert_eq!(
            sent_to(&router.send_request(read(id + 1, 9))),
            Some(failing_server),
            "on trial"
        );
    }
    router.complete_attempt(4, 0, failing_server, AttemptStatus::Served);
    let mut on_trial = 0;
    for id in 10..200 {
        router.advance(20 * MS);
        let to = sent_to(&router.send_request(read(id, id))).unwrap();
        on_trial += usize::from(to == failing_server);
        router.complete_attempt(id, 0, to, AttemptStatus::Served);
    }
    assert!(
        (1..30).contains(&on_trial),
        "few while it is presumed to have restarted: {on_trial} of about 48"
    );
}

#[test]
fn a_server_whose_connections_break_is_not_presumed_restarted() {
    // When connections were reset, a single lost connection, however long ago, took a server's keys away for
    // its whole warm-up period.
    let mut router = TestRouter::new(settings(), 4);
    let mut failing_server = 0;
    let statuses = [
        AttemptStatus::ConnectFailed,
        AttemptStatus::Served,
        AttemptStatus::Reset,
        AttemptStatus::Reset,
        AttemptStatus::Reset,
    ];
    for (id, status) in (1..).zip(statuses) {
        failing_server = sent_to(&router.send_request(read(id, 9))).unwrap();
        if let Some(next) = sent_to(&router.complete_attempt(id, 0, failing_server, status)) {
            router.complete_attempt(id, 1, next, AttemptStatus::Served);
        }
    }
    let other = sent_to(&router.send_request(read(20, 9))).unwrap();
    assert_ne!(other, failing_server, "ejected");
    router.complete_attempt(20, 0, other, AttemptStatus::Served);
    router.advance(10 * SECOND);
    let mut attempts_at_failing_server = 0;
    for id in 100..300 {
        let to = sent_to(&router.send_request(read(id, id))).unwrap();
        attempts_at_failing_server += usize::from(to == failing_server);
        router.complete_attempt(id, 0, to, AttemptStatus::Served);
    }
    assert!(
        attempts_at_failing_server >= 30,
        "its share of the keys: {attempts_at_failing_server} of about 50"
    );
}

#[test]
fn a_server_that_fails_each_request_at_once_is_ejected() {
    // Incident i0f0c3e: fast errors made a server look idle, and it got ever more requests.
    let mut router = TestRouter::new(settings(), 4);
    let failing_server = sent_to(&router.send_request(read(1, 9))).unwrap();
    for id in 1..=8 {
        let status = if id % 4 == 0 {
            AttemptStatus::Served
        } else {
            AttemptStatus::Error
        };
        router.complete_attempt(id, 0, failing_server, status);
        router.send_request(read(id + 1, 9));
    }
    assert!(
        router
            .actions
            .iter()
            .any(|a| matches!(a, Action::Log(LogEvent::ServerEjected { .. })))
    );
}

#[test]
fn a_server_whose_connection_comes_up_late_is_readmitted() {
    let mut router = TestRouter::new(settings(), 3);
    let first = sent_to(&router.send_request(read(1, 9))).unwrap();
    let second =
        sent_to(&router.complete_attempt(1, 0, first, AttemptStatus::ConnectFailed)).unwrap();
    router.complete_attempt(1, 1, second, AttemptStatus::Served);
    assert_ne!(
        sent_to(&router.send_request(read(2, 9))),
        Some(first),
        "ejected"
    );
    router.handle_event(Event::HealthChecked {
        server: first,
        healthy: true,
        elapsed: 200 * MS,
        load: LoadReport::default(),
    });
    assert_eq!(
        sent_to(&router.send_request(read(3, 9))),
        Some(first),
        "and readmitted"
    );
}

#[test]
fn one_of_many_routers_ejects_a_server_that_refused_one_connection_until_its_next_visit() {
    // In large simulated fleets, an outdated list made each of 32 routers try each of 40 removed servers again
    // and again. Three refused connections ejected a server, for less time than passes between two attempts
    // there.
    let attempts_there = |routers: u32| {
        let mut router = TestRouter::new(
            Settings {
                router_count: routers,
                ..settings()
            },
            4,
        );
        let mut attempts_there = 0;
        for id in 1..=200 {
            router.advance(100 * MS);
            let mut next = sent_to(&router.send_request(read(id, id)));
            for attempt in 0.. {
                let Some(to) = next else { break };
                let status = if to == 1 {
                    AttemptStatus::ConnectFailed
                } else {
                    AttemptStatus::Served
                };
                attempts_there += usize::from(to == 1);
                next = sent_to(&router.complete_attempt(id, attempt, to, status));
            }
        }
        attempts_there
    };
    assert!(
        (2..=8).contains(&attempts_there(5)),
        "{} attempts by one of 5 routers in 20 s",
        attempts_there(5)
    );
    assert!(
        (1..=2).contains(&attempts_there(100)),
        "{} attempts by one of 100 routers in 20 s",
        attempts_there(100)
    );
}

#[test]
fn a_server_that_refused_one_connection_is_not_presumed_restarted() {
    let mut router = TestRouter::new(settings(), 4);
    let failing_server = sent_to(&router.send_request(read(1, 9))).unwrap();
    let next =
        sent_to(&router.complete_attempt(1, 0, failing_server, AttemptStatus::ConnectFailed))
            .unwrap();
    router.complete_attempt(1, 1, next, AttemptStatus::Served);
    router.advance(10 * SECOND);
    let mut attempts_at_failing_server = 0;
    for id in 10..210 {
        let to = sent_to(&router.send_request(read(id, id))).unwrap();
        attempts_at_failing_server += usize::from(to == failing_server);
        router.complete_attempt(id, 0, to, AttemptStatus::Served);
    }
    assert!(
        attempts_at_failing_server >= 30,
        "its share of the keys: {attempts_at_failing_server} of about 50"
    );
}
