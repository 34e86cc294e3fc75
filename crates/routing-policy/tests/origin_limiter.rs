//! Calls to the origin: cap on outstanding calls, limit per window, deferral, congestion.
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
fn a_miss_is_fetched_from_the_origin_and_a_write_is_sent_there_directly() {
    let mut router = TestRouter::new(settings(), 3);
    let first = sent_to(&router.send_request(read(1, 9))).unwrap();
    assert_ne!(first, ORIGIN);
    assert_eq!(
        sent_to(&router.complete_attempt(1, 0, first, AttemptStatus::Miss)),
        Some(ORIGIN)
    );
    assert_eq!(sent_to(&router.send_request(write(2, 1))), Some(ORIGIN));
}

#[test]
fn a_call_at_the_outstanding_cap_is_deferred_and_rejected_when_it_is_never_sent() {
    let mut router = TestRouter::new(
        Settings {
            tenants: vec![Tenant { quota_per_s: 1e3 }],
            ..settings()
        },
        3,
    );
    let mut sent = 0;
    for id in 1..=20 {
        sent += count_sends(&router.send_request(write(id, 1)));
    }
    assert_eq!(
        sent, 10,
        "a router just started sends half of its twenty calls"
    );
    let answers = router.complete_attempt(1, 0, ORIGIN, AttemptStatus::Served);
    assert_eq!(
        count_sends(&answers),
        0,
        "a deferred call waits for its delay"
    );
    assert_eq!(
        count_sends(&router.advance(8 * MS)),
        1,
        "an outcome lowers the count, and one more call is sent"
    );
    let later = router.advance(SECOND);
    let rejections = (11..=20).filter(|id| is_rejected(&later, *id)).count();
    assert_eq!(rejections, 9, "what was never sent is rejected, not failed");
}

#[test]
fn the_window_limits_calls_that_are_within_the_outstanding_cap() {
    let mut config = settings();
    config.tenants = vec![Tenant { quota_per_s: 40.0 }];
    config.router_count = 1;
    let mut router = TestRouter::new(config, 3);
    let mut sent = 0;
    for id in 1..=12 {
        sent += count_sends(&router.send_request(write(id, 2)));
        router.complete_attempt(id, 0, ORIGIN, AttemptStatus::Served);
    }
    assert_eq!(
        sent, 7,
        "in a quarter of the longest objective, 187 ms, 7.5 calls at 40 per second"
    );
}

#[test]
fn the_window_limit_admits_the_whole_quota_when_most_reads_miss() {
    let mut config = settings();
    config.tenants = vec![Tenant { quota_per_s: 100.0 }];
    let mut router = TestRouter::new(config, 3);
    let mut fetched = 0;
    for id in 1..=100 {
        let first = sent_to(&router.send_request(read(id, 100 + id))).unwrap();
        let fetch = router.complete_attempt(id, 0, first, AttemptStatus::Miss);
        fetched += count_sends(&fetch);
        router.complete_attempt(id, 1, ORIGIN, AttemptStatus::Served);
        fetched += count_sends(&router.advance(SECOND / 60));
    }
    assert!(
        fetched >= 95,
        "at six tenths of the quota, {fetched} of 100 fetched"
    );
}

#[test]
fn fetches_leave_capacity_for_writes() {
    let mut router = TestRouter::new(settings(), 3);
    for id in 1..=12 {
        let first = sent_to(&router.send_request(read(id, 100 + id))).unwrap();
        router.complete_attempt(id, 0, first, AttemptStatus::Miss);
    }
    assert_eq!(sent_to(&router.send_request(write(50, 1))), Some(ORIGIN));
}

#[test]
fn an_origin_that_rejects_lowers_the_cap_and_timely_answers_restore_it() {
    let lowered = || {
        let tenants = vec![Tenant { quota_per_s: 1e3 }];
        let mut router = TestRouter::new(
            Settings {
                max_attempts: 1,
                tenants,
                ..settings()
            },
            3,
        );
        for id in 1..=12 {
            router.send_request(write(id, 1));
            router.complete_attempt(id, 0, ORIGIN, AttemptStatus::Rejected);
            router.advance(MS);
        }
        router.advance(SECOND);
        assert!(
            router
                .actions
                .iter()
                .any(|a| matches!(a, Action::Log(l) if *l == LogEvent::OriginLimitLowered))
        );
        router
    };
    let mut router = lowered();
    let burst = (100..120)
        .map(|id| count_sends(&router.send_request(write(id, 1))))
        .sum::<usize>();
    assert_eq!(burst, 2, "the lowest cap is a tenth of the ceiling");
    let mut router = lowered();
    for id in 100..190 {
        router.advance(50 * MS);
        router.send_request(write(id, 1));
        router.complete_attempt(id, 0, ORIGIN, AttemptStatus::Served);
    }
    assert!(
        router
            .actions
            .iter()
            .any(|a| matches!(a, Action::Log(l) if *l == LogEvent::OriginLimitRestored))
    );
}

#[test]
fn many_routers_share_the_cap_so_that_the_origin_can_handle_all_their_calls() {
    // In large simulated fleets, a hundred routers with at least two calls each had 200 calls in flight at an
    // origin that answers 30 at a time well. Nine in ten were cancelled before their answer.
    let (from_fast_origin, max_in_flight) = fetched(100, 1000, 40 * MS, 50 * MS);
    assert!(max_in_flight <= 2, "{max_in_flight} in flight at once");
    assert!(
        (80..=400).contains(&from_fast_origin),
        "{from_fast_origin} in 20 s: two may be in flight at once"
    );
    let (from_slow_origin, _) = fetched(100, 1000, 40 * MS, 200 * MS);
    assert!(
        (1..=30).contains(&from_slow_origin),
        "{from_slow_origin} in 20 s at the lowest cap: one is in flight for a fifth of the time"
    );
}

#[test]
fn a_router_with_more_clients_has_a_larger_share_of_the_cap_while_the_origin_answers_in_time() {
    // Scenario calm+mass: 50 of 300 routers had several times the mean number of requests. Limited to one call
    // in flight each, they rejected a fifth of them, while the origin answered all calls within 30 ms.
    let (at_high_rate, max_in_flight) = fetched(300, 2000, 10 * MS, 30 * MS);
    assert!(
        at_high_rate >= 650,
        "{at_high_rate} of 1000: all but the part of the window limit that is reserved for writes"
    );
    assert!(max_in_flight >= 3, "{max_in_flight} in flight at once");
    let (at_low_rate, max_in_flight) = fetched(300, 400, 100 * MS, 30 * MS);
    assert!(
        at_low_rate >= 130 && max_in_flight == 1,
        "{at_low_rate} of 200, {max_in_flight} in flight at once: an equal share is enough for a tenth of the rate"
    );
    let (from_slow_origin, _) = fetched(300, 2000, 10 * MS, 200 * MS);
    assert!(
        (1..=40).contains(&from_slow_origin),
        "{from_slow_origin} in 10 s: with a slow origin it has no more than an equal share"
    );
}

#[test]
fn a_deferred_call_is_not_sent_to_an_origin_that_is_draining() {
    let mut router = TestRouter::new(settings(), 3);
    for id in 1..=6 {
        router.send_request(write(id, 1));
    }
    router.update_endpoints(
        ListUpdate::Delta,
        vec![Endpoint {
            state: EndpointState::Draining,
            ..origin()
        }],
    );
    router.complete_attempt(1, 0, ORIGIN, AttemptStatus::Served);
    let after = router.advance(SECOND);
    assert_eq!(count_sends(&after), 0);
    assert!(is_rejected(&after, 6));
}

#[test]
fn no_fetch_is_made_that_cannot_be_answered_in_time_until_the_origin_may_be_faster() {
    // In large simulated fleets, a third of the origin's calls were for requests with less time left than the
    // origin takes to answer. They were cancelled, and no value was stored for later requests.
    let mut router = TestRouter::new(
        Settings {
            may_hedge: false,
            ..settings()
        },
        10,
    );
    let miss = |router: &mut TestRouter, id: u64, after: Micros| {
        let first = sent_to(&router.send_request(read(id, id))).unwrap();
        router.advance(after);
        router.complete_attempt(id, 0, first, AttemptStatus::Miss)
    };
    for id in 1..=5 {
        assert_eq!(sent_to(&miss(&mut router, id, MS)), Some(ORIGIN));
        router.advance(200 * MS);
        router.complete_attempt(id, 1, ORIGIN, AttemptStatus::Served);
    }
    assert!(
        !is_rejected(&miss(&mut router, 6, 600 * MS), 6),
        "the limiter has room, and the origin may be faster for once"
    );
    let [seven, eight] = [7, 8].map(|id| sent_to(&router.send_request(read(id, id))).unwrap());
    router.advance(480 * MS);
    (101..=140).for_each(|id| drop(router.send_request(write(id, 1)))); // They bring the limiter to capacity.
    router.advance(20 * MS);
    assert!(
        !is_rejected(
            &router.complete_attempt(7, 0, seven, AttemptStatus::Miss),
            7
        ),
        "250 of 750 ms are left for it"
    );
    router.advance(100 * MS);
    assert!(
        is_rejected(
            &router.complete_attempt(8, 0, eight, AttemptStatus::Miss),
            8
        ),
        "150 ms are too little; it is rejected at once"
    );
    let allowed_again = (0..60u64).find(|round| {
        let id = 1000 + round * 100;
        let first = sent_to(&router.send_request(read(id, id))).unwrap();
        router.advance(580 * MS);
        (1..=40).for_each(|more| drop(router.send_request(write(id + more, 1))));
        router.advance(20 * MS);
        !is_rejected(
            &router.complete_attempt(id, 0, first, AttemptStatus::Miss),
            id,
        )
    });
    assert!(
        allowed_again.is_some(),
        "an old measurement does not prevent fetches for ever"
    );
}

/// A fetch in flight and when the origin answers it.
struct Fetch {
    request: RequestId,
    answered_at: Micros,
}

/// Sends reads that all miss to one of many routers, one per interval; the origin answers a fetch after
/// `fetch_time`. Returns the number of fetches in the second half, and the most that were in flight at once.
fn fetched(routers: u32, reads: u64, interval: Micros, fetch_time: Micros) -> (usize, usize) {
    let mut router = TestRouter::new(
        Settings {
            router_count: routers,
            ..settings()
        },
        3,
    );
    let mut in_flight: Vec<Fetch> = Vec::new();
    let (mut max_in_flight, mut sent) = (0, 0);
    for id in 1..=reads {
        let first = sent_to(&router.send_request(read(id, id))).unwrap();
        let mut actions = router.complete_attempt(id, 0, first, AttemptStatus::Miss);
        for _ in 0..interval / (10 * MS) {
            actions.extend(router.advance(10 * MS));
            for action in actions.drain(..) {
                if let Action::Send {
                    request,
                    server: ORIGIN,
                    ..
                } = action
                {
                    in_flight.push(Fetch {
                        request,
                        answered_at: router.now + fetch_time,
                    });
                    sent += usize::from(id > reads / 2);
                }
            }
            max_in_flight = max_in_flight.max(in_flight.len());
            while let Some(at) = in_flight.iter().position(|f| f.answered_at <= router.now) {
                let fetch = in_flight.remove(at);
                actions.extend(router.complete_attempt(
                    fetch.request,
                    1,
                    ORIGIN,
                    AttemptStatus::Served,
                ));
            }
        }
    }
    (sent, max_in_flight)
}
