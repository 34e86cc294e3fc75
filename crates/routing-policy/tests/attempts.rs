//! Attempts: retries, hedged requests, idempotency, connections.
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
fn rejected_and_unconnected_attempts_are_retried_along_the_order_at_once() {
    let mut router = TestRouter::new(settings(), 4);
    let first = sent_to(&router.send_request(read(1, 9))).unwrap();
    let second = sent_to(&router.complete_attempt(1, 0, first, AttemptStatus::Rejected)).unwrap();
    let third =
        sent_to(&router.complete_attempt(1, 1, second, AttemptStatus::ConnectFailed)).unwrap();
    assert!(first != second && second != third && first != third);
    let fourth = sent_to(&router.complete_attempt(1, 2, third, AttemptStatus::Rejected)).unwrap();
    let last = router.complete_attempt(1, 3, fourth, AttemptStatus::Rejected);
    assert!(is_rejected(&last, 1), "no attempts are left");
}

#[test]
fn a_request_that_is_not_idempotent_is_retried_only_when_it_has_not_run() {
    let mut router = TestRouter::new(settings(), 3);
    router.send_request(Request {
        remaining_deadline: SECOND,
        ..write(1, 2)
    });
    router.complete_attempt(1, 0, ORIGIN, AttemptStatus::Rejected);
    assert_eq!(
        count_sends(&router.advance(100 * MS)),
        1,
        "rejected before execution: may be retried"
    );
    let answer = router.complete_attempt(1, 1, ORIGIN, AttemptStatus::Reset);
    assert!(
        is_failed(&answer, 1) && count_sends(&answer) == 0,
        "may have run: failed, nothing sent"
    );
}

#[test]
fn reads_whose_connections_break_early_are_all_retried_and_late_ones_on_a_budget() {
    // When many connections were reset, the retry budget, which is meant for load, was spent, and reads were
    // rejected.
    let retried = |after: Micros| {
        let mut router = TestRouter::new(
            Settings {
                may_hedge: false,
                ..settings()
            },
            12,
        );
        let retry_target = |id| {
            let to = sent_to(&router.send_request(read(id, id))).unwrap();
            router.advance(after);
            let next = sent_to(&router.complete_attempt(id, 0, to, AttemptStatus::Reset));
            next.inspect(|next| drop(router.complete_attempt(id, 1, *next, AttemptStatus::Served)))
        };
        (1..=60).filter_map(retry_target).count()
    };
    assert_eq!(retried(20 * MS), 60);
    assert!(
        retried(500 * MS) < 20,
        "{} of 60 that may still be running",
        retried(500 * MS)
    );
}

#[test]
fn reads_that_fail_early_are_all_retried_and_late_ones_on_a_budget() {
    // In large simulated fleets, ten bad servers failed a quarter of their reads at once. That was more than
    // the budget for retries of attempts that may still be running, and nineteen in twenty of these reads were
    // rejected.
    let mut router = TestRouter::new(
        Settings {
            may_hedge: false,
            ..settings()
        },
        4,
    );
    let is_retried = |router: &mut TestRouter, id: u64, after: Micros| {
        let first = sent_to(&router.send_request(read(id, id))).unwrap();
        router.advance(after);
        let next = sent_to(&router.complete_attempt(id, 0, first, AttemptStatus::Error));
        next.into_iter()
            .for_each(|next| drop(router.complete_attempt(id, 1, next, AttemptStatus::Served)));
        next.is_some()
    };
    assert!(
        (1..=40).all(|id| is_retried(&mut router, id, MS)),
        "each is retried"
    );
    let late = (51..=90)
        .filter(|id| is_retried(&mut router, *id, 310 * MS))
        .count();
    assert!(late <= 15, "{late} of 40 that failed late are retried");
}

#[test]
fn a_slow_read_is_hedged_and_the_losing_attempt_is_cancelled() {
    // One of 500 routers visits a slow server once in 20 s. That is too rare to learn to avoid the server, so
    // the router hedges instead.
    let mut router = TestRouter::new(
        Settings {
            may_cancel: true,
            ..settings()
        },
        5,
    );
    let first = sent_to(&router.send_request(read(1, 9))).unwrap();
    let second = sent_to(&router.advance(310 * MS)).expect("a hedged request");
    assert_ne!(second, first);
    let after = router.complete_attempt(1, 1, second, AttemptStatus::Served);
    assert!(after.contains(&Action::Cancel {
        request: 1,
        attempt: 0
    }));
    let mut router = TestRouter::new(
        Settings {
            may_hedge: false,
            may_cancel: true,
            ..settings()
        },
        5,
    );
    router.send_request(read(1, 9));
    assert_eq!(
        count_sends(&router.advance(310 * MS)),
        0,
        "not where hedging is forbidden"
    );
}

#[test]
fn idle_connections_are_closed_where_many_routers_make_them_cost_more_than_handshakes() {
    // With 413 routers and connection tables of 75 entries, four in five attempts got no connection.
    let closes = |routers| {
        let costly_connections = Settings {
            connection_cost: 0.03,
            handshake_cost: 0.03,
            ..settings()
        };
        let mut router = TestRouter::new(
            Settings {
                router_count: routers,
                ..costly_connections
            },
            3,
        );
        let to = sent_to(&router.send_request(read(1, 9))).unwrap();
        router
            .complete_attempt(1, 0, to, AttemptStatus::Served)
            .contains(&Action::CloseIdle(to))
    };
    assert!(!closes(50) && closes(400));
}

#[test]
fn an_attempt_that_was_never_sent_is_free_where_each_one_opens_a_connection() {
    let costly_connections = Settings {
        connection_cost: 0.03,
        handshake_cost: 0.03,
        router_count: 400,
        ..settings()
    };
    let is_retried = |status| {
        let mut router = TestRouter::new(costly_connections.clone(), 4);
        let not_idempotent = Request {
            class: 2,
            ..read(1, 9)
        };
        let first = sent_to(&router.send_request(not_idempotent)).unwrap();
        count_sends(&router.complete_attempt(1, 0, first, status)) == 1
    };
    assert!(is_retried(AttemptStatus::NotSent));
    assert!(!is_retried(AttemptStatus::Reset), "it may have run");
}

#[test]
fn the_wait_for_a_connection_is_no_sign_of_overload_and_a_slow_answer_is() {
    // Counts the keys that still go to server 1 first, of 20 that did, after ten late answers.
    let keys_kept_after = |connecting: bool| {
        let mut router = TestRouter::new(
            Settings {
                may_hedge: false,
                ..settings()
            },
            3,
        );
        let keys: Vec<Key> = (1..)
            .filter(|key| first_server_for(&mut router, *key) == 1)
            .take(20)
            .collect();
        for (id, key) in (1..=10).zip(&keys) {
            let to = sent_to(&router.send_request(read(id, *key))).unwrap();
            if connecting {
                router.handle_event(Event::Connection {
                    request: id,
                    attempt: 0,
                    established: false,
                });
            }
            router.advance(700 * MS);
            if connecting {
                router.handle_event(Event::Connection {
                    request: id,
                    attempt: 0,
                    established: true,
                });
            }
            router.advance(20 * MS);
            router.complete_attempt(id, 0, to, AttemptStatus::Served);
        }
        keys.iter()
            .filter(|key| first_server_for(&mut router, **key) == 1)
            .count()
    };
    assert_eq!(keys_kept_after(true), 20, "it keeps all of its keys");
    assert!(
        keys_kept_after(false) < 20,
        "a server that answers so late keeps fewer"
    );
}

#[test]
fn a_write_that_may_have_run_is_never_retried_within_its_deduplication_window_or_after_it() {
    for (class, status) in [1, 2].into_iter().flat_map(|class| {
        [
            AttemptStatus::Reset,
            AttemptStatus::Error,
            AttemptStatus::TimedOut,
            AttemptStatus::Cancelled,
        ]
        .map(|status| (class, status))
    }) {
        for late in [
            0,
            100 * MS,
            180 * MS,
            189 * MS,
            190 * MS,
            199 * MS,
            200 * MS,
            250 * MS,
        ] {
            let mut router = TestRouter::new(settings(), 3);
            assert_eq!(count_sends(&router.send_request(write(1, class))), 1);
            let mut after = router.advance(late);
            after.extend(router.complete_attempt(1, 0, ORIGIN, status));
            after.extend(router.advance(SECOND));
            assert_eq!(
                count_sends(&after),
                0,
                "class {class}, {status:?} after {late}"
            );
        }
    }
}
