//! Selection of a cache server: key order, load bound, full servers.
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
fn every_router_has_the_same_server_order_for_a_key_and_few_keys_move_when_a_server_is_removed() {
    let first_server = |servers: &[u32], key: Key, seed: u64| {
        let mut policy = Policy::new(settings(), seed);
        let listed = servers.iter().map(|id| server(*id)).collect();
        let mut actions = Vec::new();
        policy.handle(
            SECOND,
            Event::EndpointList {
                update: ListUpdate::Cached,
                endpoints: listed,
            },
            &mut actions,
        );
        policy.handle(SECOND, Event::Request(read(1, key)), &mut actions);
        sent_to(&actions).expect("sent")
    };
    let all: Vec<u32> = (1..=10).collect();
    let without: Vec<u32> = (1..=9).collect();
    let mut moved = 0;
    for key in 1..=500 {
        let first = first_server(&all, key, 1);
        assert_eq!(
            first,
            first_server(&all, key, 2),
            "another router, another seed, the same server"
        );
        let new_first = first_server(&without, key, 1);
        assert!(
            new_first == first || first == 10,
            "only keys of the removed server move"
        );
        moved += usize::from(new_first != first);
    }
    assert!((20..=90).contains(&moved), "{moved} of 500 keys moved");
}

#[test]
fn a_server_over_the_load_bound_is_skipped_for_the_next_in_the_order() {
    let mut router = TestRouter::new(settings(), 4);
    let first = sent_to(&router.send_request(read(1, 9))).unwrap();
    let mut chosen = vec![first];
    for id in 2..=12 {
        chosen.push(sent_to(&router.send_request(read(id, 9))).unwrap());
    }
    assert_eq!(
        &chosen[..4],
        [first; 4],
        "up to the lower limit of the bound, the first server is used"
    );
    // Incident i3bc6f5: with a lower limit of eight attempts for one router, the busiest server had seven times
    // the mean.
    assert_ne!(chosen[4], first, "over the bound the next server is used");
}

#[test]
fn the_load_bound_is_higher_while_the_origin_is_at_capacity() {
    // Incidents ia996fa (the origin had capacity while a few servers had queues) and iaa6bb1 (the limiter was
    // at capacity).
    let sent_to_first = |at_capacity: bool| {
        let mut router = TestRouter::new(
            Settings {
                router_count: 8,
                ..settings()
            },
            4,
        );
        for id in (1..=30).filter(|_| at_capacity) {
            router.send_request(write(id, 1));
        }
        router.advance(20 * MS);
        let first = sent_to(&router.send_request(read(101, 9))).unwrap();
        (102..=106)
            .take_while(|id| sent_to(&router.send_request(read(*id, 9))) == Some(first))
            .count()
    };
    assert_eq!(
        sent_to_first(false),
        0,
        "the second request at one of eight routers already goes to the next server"
    );
    assert_eq!(sent_to_first(true), 2, "the bound is three times the mean");
}

#[test]
fn a_request_for_a_full_server_is_rejected_while_load_is_shed_and_sent_otherwise() {
    // Incident i53252a: a bound relative to the mean let all queues grow together.
    let mut router = TestRouter::just_started(settings(), 2);
    let mut sent = 0;
    for id in 1..=40 {
        sent += count_sends(&router.send_request(read(id, id)));
    }
    assert!(
        sent < 12,
        "{sent} requests in flight at two servers that have answered nothing"
    );
    assert!(is_rejected(&router.actions, 40));
    let mut idle_router = TestRouter::new(settings(), 2);
    let sent = (1..=10)
        .map(|id| count_sends(&idle_router.send_request(read(id, id))))
        .sum::<usize>();
    assert_eq!(sent, 10, "a burst at an idle fleet is served");
}

#[test]
fn a_few_requests_in_flight_at_fast_servers_with_few_answers_are_no_backlog() {
    // Case r8880: servers that answer within a third of the objective counted as full with three attempts in
    // flight.
    let mut router = TestRouter::just_started(settings(), 2);
    for id in 1..=4 {
        let to = sent_to(&router.send_request(read(id, id))).unwrap();
        router.advance(60 * MS);
        router.complete_attempt(id, 0, to, AttemptStatus::Served);
    }
    let sent = (11..=20)
        .map(|id| count_sends(&router.send_request(read(id, id))))
        .sum::<usize>();
    assert_eq!(
        sent, 10,
        "five at each, of the twelve that one core answers within the objective"
    );
    let more = (21..=200)
        .map(|id| count_sends(&router.send_request(read(id, id))))
        .sum::<usize>();
    assert!(
        more < 60,
        "but what they cannot answer is rejected: {more} more"
    );
}

#[test]
fn a_full_server_does_not_spill_its_keys_to_servers_further_down_the_order() {
    // Incident ia996fa: requests for full servers went to servers without their values. The caches lost their
    // values, and fetches were two fifths of all attempts.
    let mut router = TestRouter::just_started(settings(), 12);
    let mut used = std::collections::BTreeSet::new();
    for id in 1..=60 {
        used.extend(sent_to(&router.send_request(read(id, 9))));
    }
    assert!(used.len() <= 4, "one key at {} of 12 servers", used.len());
    assert!(is_rejected(&router.actions, 60));
}

#[test]
fn a_request_with_little_time_goes_to_a_server_that_answers_in_time_or_is_rejected() {
    // Case r7044: requests were sent to servers whose network delay was longer than the client's remaining
    // time.
    let mut router = TestRouter::new(settings(), 2);
    let near = keys_sent_to(&mut router, 1000, 1, MS);
    let far = (1..=200).find(|key| !near.contains(key)).unwrap();
    // The minimum answer time of a server follows slower answers slowly.
    for id in 1..=200 {
        router.send_request(read(id, far));
        router.advance(60 * MS);
        router.complete_attempt(id, 0, 2, AttemptStatus::Served);
    }
    let within = |id, time| Request {
        remaining_deadline: time,
        ..read(id, far)
    };
    assert_eq!(
        sent_to(&router.send_request(within(301, 100 * MS))),
        Some(2),
        "there is time for its first server"
    );
    assert_eq!(
        sent_to(&router.send_request(within(302, 40 * MS))),
        Some(1),
        "only the near one is in time"
    );
    let actions = router.send_request(within(303, 2 * settings().tick + MS / 2));
    assert!(
        count_sends(&actions) == 0 && is_rejected(&actions, 303),
        "none is"
    );
}

#[test]
fn a_server_full_of_other_routers_requests_is_skipped_by_its_live_weight() {
    // When all servers were slow, queues grew to twelve requests per core, of which each router saw only its
    // own one.
    let config = Settings {
        weights_are_live: true,
        may_hedge: false,
        ..settings()
    };
    let mut router = TestRouter::new(config, 3);
    let first = sent_to(&router.send_request(read(1, 9))).unwrap();
    router.advance(200 * MS);
    router.complete_attempt(1, 0, first, AttemptStatus::Served); // 0.2 s for one request without a queue
    router.update_endpoints(
        ListUpdate::Delta,
        vec![Endpoint {
            weight: 0.1,
            ..server(first)
        }],
    );
    let next = sent_to(&router.send_request(read(2, 9))).expect("another has capacity");
    assert_ne!(next, first, "nine requests per core wait there");
    let all = (1..=3)
        .map(|id| Endpoint {
            weight: 0.1,
            ..server(id)
        })
        .collect();
    router.update_endpoints(ListUpdate::Delta, all);
    assert!(
        is_rejected(&router.send_request(read(3, 9)), 3),
        "all are full"
    );
}
