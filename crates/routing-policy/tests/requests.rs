//! Requests from their arrival to their one final answer.
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
fn every_request_is_answered_before_its_deadline_when_no_server_answers() {
    let mut router = TestRouter::new(settings(), 3);
    router.send_request(read(1, 9));
    router.send_request(Request {
        remaining_deadline: SECOND,
        ..write(2, 2)
    });
    let after = router.advance(1500 * MS);
    assert!(is_rejected(&after, 1), "idempotent: may be rejected");
    assert!(
        is_failed(&after, 2),
        "may have run: must be reported as failed"
    );
}

#[test]
fn a_timeout_at_the_deadline_is_answered_at_once() {
    let mut router = TestRouter::new(settings(), 3);
    router.send_request(Request {
        remaining_deadline: 300 * MS,
        ..write(1, 2)
    });
    router.now += 300 * MS;
    assert!(is_failed(
        &router.complete_attempt(1, 0, ORIGIN, AttemptStatus::TimedOut),
        1
    ));
}

#[test]
fn a_deadline_shorter_than_a_tick_is_rejected_at_once() {
    let mut router = TestRouter::new(settings(), 3);
    let answer = router.send_request(Request {
        remaining_deadline: MS,
        ..read(1, 9)
    });
    assert!(is_rejected(&answer, 1) && count_sends(&answer) == 0);
}

#[test]
fn routers_send_no_peer_messages_and_ignore_what_they_receive() {
    // In a full-size run, 515 routers that each messaged all others sent 12,360 broadcasts in 18 s, and the run
    // failed.
    let mut config = settings();
    (config.tenants, config.router_count) = (vec![Tenant { quota_per_s: 100.0 }], 4);
    config.may_message_peers = true;
    let mut router = TestRouter::new(config, 20);
    router.handle_event(Event::PeerMessage {
        from: 1,
        bytes: vec![0xff; 300],
    });
    assert!(sent_to(&router.send_request(read(1, 9))).is_some());
    router.advance(30 * SECOND);
    assert!(
        !router
            .actions
            .iter()
            .any(|a| matches!(a, Action::SendToPeer { .. }))
    );
}

#[test]
fn a_rejected_client_is_given_a_short_retry_after() {
    // Full-size run big-1: a client that waited 2 s came back too late. Its answer was worthless and took the
    // token of a request that was in time.
    let retry_afters = |max_retry_after: Micros| {
        let mut config = Settings {
            max_retry_after,
            router_count: 400,
            ..settings()
        };
        config.tenants = vec![Tenant { quota_per_s: 1.0 }];
        let mut router = TestRouter::just_started(config, 20);
        (1..=40).for_each(|id| {
            router.send_request(read(id, id));
        });
        let retry_after_of = |a: &Action| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        };
        router
            .actions
            .iter()
            .filter_map(retry_after_of)
            .collect::<Vec<_>>()
    };
    let given = retry_afters(SECOND);
    assert!(
        given.len() > 20 && given.iter().all(|h| (12 * MS..38 * MS).contains(h)),
        "{given:?}"
    );
    assert!(
        retry_afters(0).iter().all(|h| *h == 0),
        "no Retry-After is sent to clients that honour none"
    );
}

#[test]
fn a_read_ends_at_its_objective_unless_its_fetch_is_in_flight() {
    // In full-size runs, a fifth of all answers were late, and made the following ones late too.
    let mut router = TestRouter::new(
        Settings {
            may_cancel: true,
            may_hedge: false,
            ..settings()
        },
        3,
    );
    router.send_request(read(1, 9));
    let at_objective = router.advance(760 * MS);
    assert!(
        is_rejected(&at_objective, 1)
            && at_objective.contains(&Action::Cancel {
                request: 1,
                attempt: 0
            })
    );
    // A fetch that was cancelled at the objective was never stored, so the origin's work was wasted: the score
    // of rough-2 fell by a quarter.
    let mut router = TestRouter::new(
        Settings {
            may_cancel: true,
            may_hedge: false,
            ..settings()
        },
        3,
    );
    let first = sent_to(&router.send_request(read(2, 9))).unwrap();
    assert_eq!(
        sent_to(&router.complete_attempt(2, 0, first, AttemptStatus::Miss)),
        Some(ORIGIN)
    );
    let at_objective = router.advance(760 * MS);
    assert!(
        !is_rejected(&at_objective, 2)
            && !at_objective
                .iter()
                .any(|a| matches!(a, Action::Cancel { .. }))
    );
    assert!(
        is_rejected(&router.advance(SECOND), 2),
        "but not beyond the client's deadline"
    );
}

#[test]
fn an_objective_shorter_than_two_ticks_is_handled() {
    // The timer of the objective was set before the present time, and the subtraction underflowed.
    let mut config = Settings {
        router_count: 0,
        ..settings()
    };
    config.classes[0].latency_objective = 0;
    let mut router = TestRouter::just_started(config, 2);
    let answer = router.send_request(read(1, 9));
    assert!(is_rejected(&answer, 1) || count_sends(&answer) == 1);
    assert!(router.advance(2 * SECOND).len() < 200);
}

#[test]
fn events_for_ended_requests_and_repeated_or_unknown_outcomes_have_no_effect() {
    let mut router = TestRouter::new(settings(), 3);
    let to = sent_to(&router.send_request(read(1, 9))).unwrap();
    router.complete_attempt(1, 0, to, AttemptStatus::Served);
    for status in [
        AttemptStatus::Served,
        AttemptStatus::Miss,
        AttemptStatus::Rejected,
        AttemptStatus::TimedOut,
        AttemptStatus::Cancelled,
    ] {
        let answer = router.complete_attempt(1, 0, to, status);
        assert!(
            count_sends(&answer) == 0 && !is_rejected(&answer, 1) && !is_failed(&answer, 1),
            "repeated: {status:?}"
        );
        let answer = router.complete_attempt(77, 3, 4242, status);
        assert!(
            count_sends(&answer) == 0 && !is_rejected(&answer, 77),
            "never sent: {status:?}"
        );
    }
    assert!(count_sends(&router.handle_event(Event::ClientGone(1))) == 0);
    router.send_request(read(2, 9));
    router.handle_event(Event::ClientGone(2));
    let late = router.complete_attempt(2, 0, to, AttemptStatus::Miss);
    assert!(
        count_sends(&late) == 0 && !is_rejected(&late, 2),
        "its client has left: no fetch and no answer"
    );
    assert!(count_sends(&router.advance(3 * SECOND)) == 0);
}

#[test]
fn settings_and_weights_that_are_not_finite_are_handled() {
    let config = Settings {
        tenants: vec![
            Tenant {
                quota_per_s: f64::NAN,
            },
            Tenant {
                quota_per_s: f64::INFINITY,
            },
        ],
        weights_are_sizes: true,
        cold_capacity_share: f64::NAN,
        connection_cost: f64::NAN,
        ..settings()
    };
    let mut router = TestRouter::new(config, 2);
    let weights = [f32::NAN, f32::INFINITY, -1.0];
    let endpoint = |(id, weight)| Endpoint {
        weight,
        started: 60 * SECOND,
        ..server(id)
    };
    let mut endpoints: Vec<_> = (1..).zip(weights).map(endpoint).collect();
    endpoints.push(origin());
    router.update_endpoints(ListUpdate::Full, endpoints);
    for id in 1..=30 {
        let answer = router.send_request(Request {
            tenant: id as usize % 2,
            value_size: f32::NAN,
            ..read(id, id)
        });
        assert!(
            count_sends(&answer) == 1 || is_rejected(&answer, id),
            "sent or rejected"
        );
    }
    let after = router.advance(2 * SECOND);
    assert!(
        (1..=30).all(|id| is_rejected(&router.actions, id)),
        "each is answered: {}",
        after.len()
    );
}

#[test]
fn requests_are_rejected_without_servers_and_sent_when_servers_return() {
    let mut router = TestRouter::new(settings(), 2);
    router.update_endpoints(ListUpdate::Full, Vec::new());
    assert!(is_rejected(&router.send_request(read(1, 9)), 1));
    router.send_request(write(2, 1));
    assert!(
        is_rejected(&router.advance(SECOND), 2),
        "no origin: deferred, then rejected"
    );
    router.update_endpoints(ListUpdate::Full, vec![server(1), origin()]);
    assert_eq!(sent_to(&router.send_request(read(3, 9))), Some(1));
}

#[test]
fn an_idle_router_sets_few_timers() {
    let mut router = TestRouter::new(settings(), 3);
    router.send_request(read(1, 9));
    router.actions.clear();
    router.advance(60 * SECOND);
    assert!(
        router.actions.len() < 1500,
        "{} actions in an idle minute",
        router.actions.len()
    );
}

#[test]
fn a_client_that_leaves_frees_the_place_of_its_deferred_call() {
    let mut router = TestRouter::new(
        Settings {
            router_count: 100,
            ..settings()
        },
        3,
    );
    for id in 1..=40 {
        router.send_request(write(id, 1));
    }
    let was_sent = |actions: &[Action], id: RequestId| {
        actions
            .iter()
            .any(|a| matches!(a, Action::Send { request, .. } if *request == id))
    };
    let deferred: Vec<_> = (1..=40)
        .filter(|id| !was_sent(&router.actions, *id))
        .collect();
    assert!(!deferred.is_empty(), "some wait for the origin");
    let before = router.actions.len();
    for id in &deferred {
        router.handle_event(Event::ClientGone(*id));
    }
    for id in (1..=40).filter(|id| !deferred.contains(id)) {
        router.complete_attempt(id, 0, ORIGIN, AttemptStatus::Served);
    }
    router.advance(5 * SECOND);
    assert_eq!(
        count_sends(&router.actions[before..]),
        0,
        "none of those that left is sent"
    );
}

#[test]
fn a_request_is_not_retried_after_its_client_has_left() {
    for status in [
        AttemptStatus::Rejected,
        AttemptStatus::NotSent,
        AttemptStatus::ConnectFailed,
        AttemptStatus::Miss,
        AttemptStatus::Reset,
    ] {
        let mut router = TestRouter::new(settings(), 3);
        let to = sent_to(&router.send_request(read(1, 7))).unwrap();
        router.handle_event(Event::ClientGone(1));
        let mut after = router.complete_attempt(1, 0, to, status);
        after.extend(router.advance(5 * SECOND));
        assert_eq!(count_sends(&after), 0, "{status:?}");
    }
}

#[test]
fn a_request_is_not_hedged_or_fetched_after_its_client_has_left() {
    for hedge_in_flight in [false, true] {
        let mut router = TestRouter::new(
            Settings {
                router_count: 100,
                may_hedge: true,
                ..settings()
            },
            20,
        );
        let first = sent_to(&router.send_request(read(1, 7))).unwrap();
        if hedge_in_flight {
            assert_eq!(
                count_sends(&router.advance(350 * MS)),
                1,
                "a hedged request"
            );
        }
        let mut after = router.handle_event(Event::ClientGone(1));
        after.extend(router.advance(5 * SECOND));
        assert_eq!(count_sends(&after), 0, "hedge in flight: {hedge_in_flight}");
        let mut after = router.complete_attempt(1, 0, first, AttemptStatus::Miss);
        after.extend(router.advance(5 * SECOND));
        assert_eq!(count_sends(&after), 0, "hedge in flight: {hedge_in_flight}");
    }
}

#[test]
fn requests_with_long_deadlines_leave_no_timers_behind() {
    // Guards against memory that grows with each request that has ended, until its deadline.
    let mut router = TestRouter::new(settings(), 3);
    let mut most = 0;
    for id in 1..=20_000 {
        let sent = router.send_request(Request {
            remaining_deadline: 60 * SECOND,
            ..read(id, id)
        });
        if let Some(server) = sent_to(&sent) {
            router.complete_attempt(id, 0, server, AttemptStatus::Served);
        }
        router.now += 100;
        most = most.max(router.policy.pending_timers());
    }
    assert!(most <= 2_048, "{most} timers");
}
