//! The module event by event, without the bench: one test for each behaviour and each failure found.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

mod common;

use common::*;
use routing_policy::*;

/// The server that a key goes to first; the request is served at once.
fn place(node: &mut Node, key: Key) -> ServerId {
    let id = 1_000_000 + node.actions.len() as RequestId;
    let server = sent_to(&node.request(read(id, key))).unwrap();
    node.outcome(id, 0, server, AttemptStatus::Served);
    server
}

#[test]
fn a_key_follows_one_order_at_every_balancer_and_little_moves_when_a_server_goes() {
    let place = |servers: &[u32], key: Key, seed: u64| {
        let mut policy = Policy::new(settings(), seed);
        let lines = servers.iter().map(|id| server(*id)).collect();
        let mut out = Vec::new();
        policy.handle(
            SECOND,
            Event::EndpointList {
                update: ListUpdate::Cached,
                endpoints: lines,
            },
            &mut out,
        );
        policy.handle(SECOND, Event::Request(read(1, key)), &mut out);
        sent_to(&out).expect("sent")
    };
    let all: Vec<u32> = (1..=10).collect();
    let without: Vec<u32> = (1..=9).collect();
    let mut moved = 0;
    for key in 1..=500 {
        let first = place(&all, key, 1);
        assert_eq!(
            first,
            place(&all, key, 2),
            "another balancer, another seed, the same server"
        );
        let now = place(&without, key, 1);
        assert!(
            now == first || first == 10,
            "only keys of the server that went move"
        );
        moved += usize::from(now != first);
    }
    assert!((20..=90).contains(&moved), "{moved} of 500 keys moved");
}

#[test]
fn a_server_over_the_load_bound_is_skipped_and_the_next_in_the_order_is_used() {
    let mut node = Node::new(settings(), 4);
    let first = sent_to(&node.request(read(1, 9))).unwrap();
    let mut seen = vec![first];
    for id in 2..=12 {
        seen.push(sent_to(&node.request(read(id, 9))).unwrap());
    }
    assert_eq!(&seen[..4], [first; 4], "within the floor the order holds");
    // Incident i3bc6f5: with a floor of eight from one balancer, the busiest server had seven times the mean.
    assert_ne!(seen[4], first, "over the bound the next server is used");
}

#[test]
fn a_skip_is_held_back_while_the_origin_has_no_room_for_the_fetch_it_costs() {
    // Incidents ia996fa (the origin had room, queues at few servers) and iaa6bb1 (the gate refused).
    let taken = |pressed: bool| {
        let mut node = Node::new(
            Settings {
                balancer_count: 8,
                ..settings()
            },
            4,
        );
        for id in (1..=30).filter(|_| pressed) {
            node.request(write(id, 1));
        }
        node.pass(20 * MS);
        let first = sent_to(&node.request(read(101, 9))).unwrap();
        (102..=106)
            .take_while(|id| sent_to(&node.request(read(*id, 9))) == Some(first))
            .count()
    };
    assert_eq!(
        taken(false),
        0,
        "the second request of eight balancers' fleet already goes on"
    );
    assert_eq!(taken(true), 2, "the bound is three times the mean");
}

#[test]
fn a_miss_is_fetched_from_the_origin_and_a_write_goes_there_at_once() {
    let mut node = Node::new(settings(), 3);
    let first = sent_to(&node.request(read(1, 9))).unwrap();
    assert_ne!(first, ORIGIN);
    assert_eq!(
        sent_to(&node.outcome(1, 0, first, AttemptStatus::Miss)),
        Some(ORIGIN)
    );
    assert_eq!(sent_to(&node.request(write(2, 1))), Some(ORIGIN));
}

#[test]
fn a_shut_gate_postpones_a_call_by_a_random_delay_and_what_ends_postponed_is_refused() {
    let mut node = Node::new(
        Settings {
            tenants: vec![Tenant { quota_per_s: 1e3 }],
            ..settings()
        },
        3,
    );
    let mut through = 0;
    for id in 1..=20 {
        through += sends(&node.request(write(id, 1)));
    }
    assert_eq!(
        through, 10,
        "a balancer just started lets half of its twenty calls out"
    );
    let answers = node.outcome(1, 0, ORIGIN, AttemptStatus::Served);
    assert_eq!(sends(&answers), 0, "a postponed call waits for its delay");
    assert_eq!(
        sends(&node.pass(8 * MS)),
        1,
        "an outcome lowers the counter and one more call goes"
    );
    let later = node.pass(SECOND);
    let gone = (11..=20).filter(|id| refused(&later, *id)).count();
    assert_eq!(gone, 9, "what was never sent is refused, not failed");
}

#[test]
fn the_windowed_tally_holds_calls_that_the_outstanding_cap_would_let_through() {
    let mut config = settings();
    config.tenants = vec![Tenant { quota_per_s: 40.0 }];
    config.balancer_count = 1;
    let mut node = Node::new(config, 3);
    let mut through = 0;
    for id in 1..=12 {
        through += sends(&node.request(write(id, 2)));
        node.outcome(id, 0, ORIGIN, AttemptStatus::Served);
    }
    assert_eq!(
        through, 7,
        "in a quarter of the longest aim, 187 ms, 7.5 of 40 a second"
    );
}

#[test]
fn when_a_shrunken_fleet_misses_most_reads_the_tally_still_lets_the_quota_through() {
    let mut config = settings();
    config.tenants = vec![Tenant { quota_per_s: 100.0 }];
    let mut node = Node::new(config, 3);
    let mut fetched = 0;
    for id in 1..=100 {
        let first = sent_to(&node.request(read(id, 100 + id))).unwrap();
        let fetch = node.outcome(id, 0, first, AttemptStatus::Miss);
        fetched += sends(&fetch);
        node.outcome(id, 1, ORIGIN, AttemptStatus::Served);
        fetched += sends(&node.pass(SECOND / 60));
    }
    assert!(
        fetched >= 95,
        "six in ten of the quota a second, {fetched} of 100 fetched"
    );
}

#[test]
fn fetches_leave_room_for_writes_at_the_gate() {
    let mut node = Node::new(settings(), 3);
    for id in 1..=12 {
        let first = sent_to(&node.request(read(id, 100 + id))).unwrap();
        node.outcome(id, 0, first, AttemptStatus::Miss);
    }
    assert_eq!(sent_to(&node.request(write(50, 1))), Some(ORIGIN));
}

#[test]
fn an_origin_that_refuses_lowers_the_gate_and_good_answers_restore_it() {
    let lowered = || {
        let tenants = vec![Tenant { quota_per_s: 1e3 }];
        let mut node = Node::new(
            Settings {
                max_attempts: 1,
                tenants,
                ..settings()
            },
            3,
        );
        for id in 1..=12 {
            node.request(write(id, 1));
            node.outcome(id, 0, ORIGIN, AttemptStatus::Rejected);
            node.pass(MS);
        }
        node.pass(SECOND);
        assert!(
            node.actions
                .iter()
                .any(|a| matches!(a, Action::Log(l) if *l == LogEvent::OriginLimitLowered))
        );
        node
    };
    let mut node = lowered();
    let burst = (100..120)
        .map(|id| sends(&node.request(write(id, 1))))
        .sum::<usize>();
    assert_eq!(burst, 2, "the floor of a tenth of the ceiling");
    let mut node = lowered();
    for id in 100..190 {
        node.pass(50 * MS);
        node.request(write(id, 1));
        node.outcome(id, 0, ORIGIN, AttemptStatus::Served);
    }
    assert!(
        node.actions
            .iter()
            .any(|a| matches!(a, Action::Log(l) if *l == LogEvent::OriginLimitRestored))
    );
}

#[test]
fn many_balancers_share_out_the_gate_so_that_the_origin_bears_the_sum_of_them() {
    // Found on the fleet days: a hundred balancers at a floor of two calls each held 200 at an origin that
    // answers 30 at a time well, and nine in ten were called off before their answer.
    let (quick, most) = fetched(100, 1000, 40 * MS, 50 * MS);
    assert!(most <= 2, "{most} out at once");
    assert!(
        (80..=400).contains(&quick),
        "{quick} in 20 s: two may be out at a time"
    );
    let (slow, _) = fetched(100, 1000, 40 * MS, 200 * MS);
    assert!(
        (1..=30).contains(&slow),
        "{slow} in 20 s at the floor: a fifth of the time one is out"
    );
}

/// Sends reads that all miss, one in each span of time, to one of many balancers, before an origin that takes
/// so long for each fetch. Returns the fetches in the second half and the most that were out at once.
fn fetched(balancers: u32, reads: u64, every: Micros, takes: Micros) -> (usize, usize) {
    let mut node = Node::new(
        Settings {
            balancer_count: balancers,
            ..settings()
        },
        3,
    );
    let (mut out, mut most, mut sent) = (Vec::new(), 0, 0);
    for id in 1..=reads {
        let first = sent_to(&node.request(read(id, id))).unwrap();
        let mut actions = node.outcome(id, 0, first, AttemptStatus::Miss);
        for _ in 0..every / (10 * MS) {
            actions.extend(node.pass(10 * MS));
            for action in actions.drain(..) {
                if let Action::Send {
                    request,
                    server: ORIGIN,
                    ..
                } = action
                {
                    out.push((request, node.now + takes));
                    sent += usize::from(id > reads / 2);
                }
            }
            most = most.max(out.len());
            while let Some(at) = out.iter().position(|(_, at)| *at <= node.now) {
                actions.extend(node.outcome(out.remove(at).0, 1, ORIGIN, AttemptStatus::Served));
            }
        }
    }
    (sent, most)
}

#[test]
fn a_balancer_that_many_clients_come_to_has_more_of_the_gate_while_the_origin_answers_in_time() {
    // Found on calm+mass: 50 of 300 balancers, with several times the mean of requests, refused a fifth of them
    // as they had one call out at a time each, while the origin answered all within 30 ms.
    let (many, most) = fetched(300, 2000, 10 * MS, 30 * MS);
    assert!(
        many >= 650,
        "{many} of 1000: all but the part that the tally leaves to writes"
    );
    assert!(most >= 3, "{most} out at once");
    let (few, most) = fetched(300, 400, 100 * MS, 30 * MS);
    assert!(
        few >= 130 && most == 1,
        "{few} of 200, {most} out at once: an equal part is enough for a tenth"
    );
    let (slow, _) = fetched(300, 2000, 10 * MS, 200 * MS);
    assert!(
        (1..=40).contains(&slow),
        "{slow} in 10 s: a slow origin bears no more from it than from others"
    );
}

#[test]
fn a_later_try_of_a_client_has_what_is_left_of_the_aim_and_a_late_one_is_refused_at_once() {
    // Found on calm+mass: a fifth of what the servers were sent was for tries whose answer earned nothing, as the
    // aim counts from the first one. Deadline 1.5 s, aim 0.75 s; most tries are waited for for 1.2 s.
    let try_for = |id, left: u64| Request {
        remaining_deadline: left * MS,
        ..read(id, id)
    };
    let usual = |node: &mut Node, ids: std::ops::RangeInclusive<u64>, left| {
        for id in ids {
            let server = sent_to(&node.request(try_for(id, left))).expect("sent");
            node.outcome(id, 0, server, AttemptStatus::Served);
        }
    };
    let mut quiet = Node::new(settings(), 4);
    usual(&mut quiet, 1..=20, 1200);
    assert_eq!(
        sends(&quiet.request(try_for(21, 600))),
        1,
        "late, but there is no strain"
    );
    let mut node = Node::just_started(settings(), 4);
    usual(&mut node, 1..=1, 600); // Nothing is known of the usual wait yet.
    usual(&mut node, 2..=20, 1200);
    usual(&mut node, 22..=22, 1198); // The way took a little.
    assert!(
        refused(&node.request(try_for(23, 600)), 23),
        "its first try was 900 ms ago"
    );
    assert_eq!(
        sends(&node.request(try_for(24, 900))),
        1,
        "150 ms are left of its aim"
    );
    assert_eq!(
        sends(&node.request(try_for(25, 1400))),
        1,
        "and 650 ms of this one's"
    );
    assert!(!refused(&node.pass(140 * MS), 24));
    assert!(refused(&node.pass(15 * MS), 24));
    assert!(!refused(&node.pass(485 * MS), 25));
    assert!(refused(&node.pass(15 * MS), 25));
    let late = Request {
        remaining_deadline: 100 * MS,
        ..write(26, 1)
    };
    assert_eq!(
        sends(&node.request(late)),
        1,
        "a write has its effect, late or not"
    );
    let mut refusals = 0;
    for id in 31..=60 {
        let answer = node.request(try_for(id, 600));
        refusals += usize::from(refused(&answer, id));
        sent_to(&answer).map(|server| node.outcome(id, 0, server, AttemptStatus::Served));
    }
    assert!(
        refusals < 20,
        "{refusals}: then most clients wait for so long"
    );
}

#[test]
fn what_warm_servers_turn_away_does_not_come_down_on_a_cold_one() {
    // Found on join+mass: of 46 attempts in 2 s at a cold server that fell over 25 had been turned away elsewhere.
    let mut node = Node::new(settings(), 3);
    node.list(
        ListUpdate::Delta,
        vec![Endpoint {
            started: node.now,
            ..server(4)
        }],
    );
    let (mut first, mut later) = (0, 0);
    for id in 1..=300 {
        let (mut answer, mut attempt) = (node.request(read(id, id)), 0);
        while let Some(server) = sent_to(&answer) {
            let count = if attempt == 0 { &mut first } else { &mut later };
            *count += usize::from(server == 4);
            let status = if server == 4 {
                AttemptStatus::Served
            } else {
                AttemptStatus::Rejected
            };
            answer = node.outcome(id, attempt, server, status);
            attempt += 1;
        }
        node.pass(10 * MS);
    }
    assert!(
        first > 0 && later == 0,
        "{first} of its own, {later} of the others"
    );
}

#[test]
fn a_cold_server_gets_no_more_when_clients_ask_twice_in_a_jam() {
    // Found on join+mass: with 1.8 tries for each request, cold servers were sent up to four times what they bear.
    let sent_cold = |later_tries: u64| {
        let mut node = Node::just_started(settings(), 3);
        let mut cold = 0;
        for step in 1..=300u64 {
            for again in 0..3 + later_tries {
                let id = step * 10 + again;
                let time_left = if again < 3 { 1200 * MS } else { 700 * MS };
                // The warm ones are full and left few of their keys: these come to the cold one.
                let (mut answer, mut attempt) = (
                    node.request(Request {
                        remaining_deadline: time_left,
                        ..read(id, id)
                    }),
                    0,
                );
                while let Some(server) = sent_to(&answer) {
                    cold += usize::from(server == 4);
                    let status = if server == 4 {
                        AttemptStatus::Served
                    } else {
                        AttemptStatus::Rejected
                    };
                    answer = node.outcome(id, attempt, server, status);
                    attempt += 1;
                }
            }
            node.pass(10 * MS);
            if step == 150 {
                node.list(
                    ListUpdate::Delta,
                    vec![Endpoint {
                        kind: 2,
                        started: node.now,
                        ..server(4)
                    }],
                );
            }
        }
        cold
    };
    let (once, twice) = (sent_cold(0), sent_cold(2));
    assert!(
        once > 0 && twice <= once + once / 10,
        "{twice} sent to it, {once} when each asks once"
    );
}

#[test]
fn full_and_failed_connects_go_on_along_the_order_at_once() {
    let mut node = Node::new(settings(), 4);
    let first = sent_to(&node.request(read(1, 9))).unwrap();
    let second = sent_to(&node.outcome(1, 0, first, AttemptStatus::Rejected)).unwrap();
    let third = sent_to(&node.outcome(1, 1, second, AttemptStatus::ConnectFailed)).unwrap();
    assert!(first != second && second != third && first != third);
    let fourth = sent_to(&node.outcome(1, 2, third, AttemptStatus::Rejected)).unwrap();
    let last = node.outcome(1, 3, fourth, AttemptStatus::Rejected);
    assert!(refused(&last, 1), "no attempts are left");
}

#[test]
fn every_request_is_ended_before_its_time_is_up_when_nothing_answers() {
    let mut node = Node::new(settings(), 3);
    node.request(read(1, 9));
    node.request(Request {
        remaining_deadline: SECOND,
        ..write(2, 2)
    });
    let after = node.pass(1500 * MS);
    assert!(refused(&after, 1), "safe to repeat: a refusal is true");
    assert!(failed(&after, 2), "may have run: only a failure is true");
}

#[test]
fn a_time_out_at_the_deadline_is_answered_in_the_same_reply() {
    let mut node = Node::new(settings(), 3);
    node.request(Request {
        remaining_deadline: 300 * MS,
        ..write(1, 2)
    });
    node.now += 300 * MS;
    assert!(failed(
        &node.outcome(1, 0, ORIGIN, AttemptStatus::TimedOut),
        1
    ));
}

#[test]
fn a_budget_shorter_than_a_tick_is_refused_at_once() {
    let mut node = Node::new(settings(), 3);
    let answer = node.request(Request {
        remaining_deadline: MS,
        ..read(1, 9)
    });
    assert!(refused(&answer, 1) && sends(&answer) == 0);
}

#[test]
fn an_unsafe_request_is_sent_again_only_when_it_is_known_not_to_have_run() {
    let mut node = Node::new(settings(), 3);
    node.request(Request {
        remaining_deadline: SECOND,
        ..write(1, 2)
    });
    node.outcome(1, 0, ORIGIN, AttemptStatus::Rejected);
    assert_eq!(
        sends(&node.pass(100 * MS)),
        1,
        "turned away unseen: may go again"
    );
    let answer = node.outcome(1, 1, ORIGIN, AttemptStatus::Reset);
    assert!(
        failed(&answer, 1) && sends(&answer) == 0,
        "may have run: failed, nothing sent"
    );
}

#[test]
fn nothing_new_goes_to_a_server_that_drains_is_gone_or_left_the_list() {
    for (kind, condition) in [
        (ListUpdate::Delta, EndpointState::Draining),
        (ListUpdate::Delta, EndpointState::Removed),
        (ListUpdate::Full, EndpointState::Removed),
    ] {
        let mut node = Node::new(settings(), 3);
        let first = sent_to(&node.request(read(1, 9))).unwrap();
        let lines = match kind {
            ListUpdate::Full => (1..=3)
                .filter(|id| *id != first)
                .map(server)
                .chain([origin()])
                .collect(),
            _ => vec![Endpoint {
                state: condition,
                ..server(first)
            }],
        };
        node.list(kind, lines);
        for id in 2..=40 {
            assert_ne!(sent_to(&node.request(read(id, id))), Some(first));
        }
    }
}

#[test]
fn a_postponed_call_is_not_sent_to_an_origin_that_left_meanwhile() {
    let mut node = Node::new(settings(), 3);
    for id in 1..=6 {
        node.request(write(id, 1));
    }
    node.list(
        ListUpdate::Delta,
        vec![Endpoint {
            state: EndpointState::Draining,
            ..origin()
        }],
    );
    node.outcome(1, 0, ORIGIN, AttemptStatus::Served);
    let after = node.pass(SECOND);
    assert_eq!(sends(&after), 0);
    assert!(refused(&after, 6));
}

#[test]
fn a_cold_server_gets_a_part_of_its_keys_that_grows_as_it_warms() {
    let share_at = |age: Micros| {
        let mut node = Node::new(settings(), 4);
        let started = node.now;
        node.list(
            ListUpdate::Delta,
            vec![Endpoint {
                started,
                ..server(2)
            }],
        );
        node.now += age;
        let mut at_cold = 0;
        for id in 1..=2000 {
            node.now += 20 * MS / 100;
            let to = sent_to(&node.request(read(id, id))).unwrap();
            at_cold += usize::from(to == 2);
            node.outcome(id, 0, to, AttemptStatus::Served);
        }
        at_cold as f64 / 500.0
    };
    assert!(share_at(0) < 0.45, "cold: {}", share_at(0));
    assert!(
        share_at(12 * SECOND) > 0.8,
        "warm: {}",
        share_at(12 * SECOND)
    );
}

#[test]
fn a_silent_server_is_set_aside_and_let_back_when_it_answers_a_trial() {
    let mut node = Node::new(
        Settings {
            may_hedge: false,
            ..settings()
        },
        4,
    );
    let victim = sent_to(&node.request(read(1, 9))).unwrap();
    for id in 2..=3 {
        node.request(read(id, 9));
    }
    node.pass(1600 * MS);
    for id in 1..=3 {
        node.outcome(id, 0, victim, AttemptStatus::TimedOut);
    }
    assert_ne!(
        sent_to(&node.request(read(10, 9))),
        Some(victim),
        "set aside"
    );
    node.pass(10 * SECOND);
    assert_eq!(
        sent_to(&node.request(read(11, 9))),
        Some(victim),
        "one trial"
    );
    assert_ne!(
        sent_to(&node.request(read(12, 9))),
        Some(victim),
        "no more while it is out"
    );
    node.outcome(11, 0, victim, AttemptStatus::Served);
    assert_eq!(
        sent_to(&node.request(read(13, 9))),
        Some(victim),
        "let back"
    );
}

#[test]
fn one_slow_answer_sets_no_server_aside() {
    let mut node = Node::new(settings(), 4);
    let first = sent_to(&node.request(read(1, 10))).unwrap();
    node.pass(1600 * MS);
    node.outcome(1, 0, first, AttemptStatus::TimedOut);
    assert_eq!(sent_to(&node.request(read(2, 10))), Some(first));
}

#[test]
fn when_most_servers_look_bad_none_is_set_aside() {
    let mut node = Node::new(settings(), 4);
    for id in 1..=60 {
        let mut to = sent_to(&node.request(read(id, id)));
        let mut attempt = 0;
        while let Some(server) = to {
            to = sent_to(&node.outcome(id, attempt, server, AttemptStatus::ConnectFailed));
            attempt += 1;
        }
    }
    assert!(
        sent_to(&node.request(read(100, 3))).is_some(),
        "still tried, the cause is shared"
    );
}

#[test]
fn a_server_that_refused_connections_and_answers_again_is_presumed_cold() {
    // Found on a crash day: the list learns of the new process seconds after it takes requests.
    let mut node = Node::new(settings(), 4);
    let victim = sent_to(&node.request(read(1, 9))).unwrap();
    for id in 1..=3 {
        let next = sent_to(&node.outcome(id, 0, victim, AttemptStatus::ConnectFailed)).unwrap();
        node.outcome(id, 1, next, AttemptStatus::Served);
        node.pass(10 * SECOND);
        assert_eq!(
            sent_to(&node.request(read(id + 1, 9))),
            Some(victim),
            "on trial"
        );
    }
    node.outcome(4, 0, victim, AttemptStatus::Served);
    let mut on_trial = 0;
    for id in 10..200 {
        node.pass(20 * MS);
        let to = sent_to(&node.request(read(id, id))).unwrap();
        on_trial += usize::from(to == victim);
        node.outcome(id, 0, to, AttemptStatus::Served);
    }
    assert!(
        (1..30).contains(&on_trial),
        "few while presumed cold: {on_trial} of about 48"
    );
}

#[test]
fn under_strain_a_request_is_refused_when_its_server_is_full_and_in_quiet_it_is_not() {
    // Found on incident i53252a: a bound relative to the mean lets every queue grow at once.
    let mut node = Node::just_started(settings(), 2);
    let mut sent = 0;
    for id in 1..=40 {
        sent += sends(&node.request(read(id, id)));
    }
    assert!(
        sent < 12,
        "{sent} requests in flight at two servers that have answered nothing"
    );
    assert!(refused(&node.actions, 40));
    let mut quiet = Node::new(settings(), 2);
    let sent = (1..=10)
        .map(|id| sends(&quiet.request(read(id, id))))
        .sum::<usize>();
    assert_eq!(sent, 10, "a burst at an idle fleet is served");
}

#[test]
fn a_few_in_flight_at_servers_known_to_be_quick_are_no_backlog_though_they_had_little_to_answer() {
    // Found on r8880: boxes that answer within a third of an aim were held to be full with three in flight.
    let mut node = Node::just_started(settings(), 2);
    for id in 1..=4 {
        let to = sent_to(&node.request(read(id, id))).unwrap();
        node.pass(60 * MS);
        node.outcome(id, 0, to, AttemptStatus::Served);
    }
    let sent = (11..=20)
        .map(|id| sends(&node.request(read(id, id))))
        .sum::<usize>();
    assert_eq!(
        sent, 10,
        "five at each, of the twelve that one core answers in an aim"
    );
    let more = (21..=200)
        .map(|id| sends(&node.request(read(id, id))))
        .sum::<usize>();
    assert!(
        more < 60,
        "but what they cannot answer is refused: {more} more"
    );
}

#[test]
fn a_full_server_does_not_spill_its_keys_down_the_order() {
    // Found on incident ia996fa: full servers passed their keys on to servers that lacked them, the caches
    // lost what they held, and fetches were two fifths of all sends.
    let mut node = Node::just_started(settings(), 12);
    let mut used = std::collections::BTreeSet::new();
    for id in 1..=60 {
        used.extend(sent_to(&node.request(read(id, 9))));
    }
    assert!(used.len() <= 4, "one key at {} of 12 servers", used.len());
    assert!(refused(&node.actions, 60));
}

#[test]
fn reads_whose_connections_break_young_go_again_however_many_and_old_ones_on_a_budget() {
    // Found on a day of resets: the budget against repeats under load was spent, and reads were refused.
    let repeated = |after: Micros| {
        let mut node = Node::new(
            Settings {
                may_hedge: false,
                ..settings()
            },
            12,
        );
        let again = |id| {
            let to = sent_to(&node.request(read(id, id))).unwrap();
            node.pass(after);
            let next = sent_to(&node.outcome(id, 0, to, AttemptStatus::Reset));
            next.inspect(|next| drop(node.outcome(id, 1, *next, AttemptStatus::Served)))
        };
        (1..=60).filter_map(again).count()
    };
    assert_eq!(repeated(20 * MS), 60);
    assert!(
        repeated(500 * MS) < 20,
        "{} of 60 that may still run",
        repeated(500 * MS)
    );
}

#[test]
fn reads_that_a_server_fails_early_go_on_to_the_next_however_many() {
    // Found on the fleet days: ten bad boxes failed a quarter of their reads at once, more than the budget for
    // repeats of what may still run, and nineteen in twenty of those were refused.
    let mut node = Node::new(
        Settings {
            may_hedge: false,
            ..settings()
        },
        4,
    );
    let ask = |node: &mut Node, id: u64, after: Micros| {
        let first = sent_to(&node.request(read(id, id))).unwrap();
        node.pass(after);
        let next = sent_to(&node.outcome(id, 0, first, AttemptStatus::Error));
        next.into_iter()
            .for_each(|next| drop(node.outcome(id, 1, next, AttemptStatus::Served)));
        next.is_some()
    };
    assert!((1..=40).all(|id| ask(&mut node, id, MS)), "each goes on");
    let late = (51..=90).filter(|id| ask(&mut node, *id, 310 * MS)).count();
    assert!(late <= 15, "{late} of 40 that failed late go on");
}

#[test]
fn a_warm_server_whose_connections_break_is_not_presumed_cold() {
    // Found on a day of resets: one lost connection, however long ago, cost a box its keys for its warm-up.
    let mut node = Node::new(settings(), 4);
    let mut victim = 0;
    let fates = [
        AttemptStatus::ConnectFailed,
        AttemptStatus::Served,
        AttemptStatus::Reset,
        AttemptStatus::Reset,
        AttemptStatus::Reset,
    ];
    for (id, status) in (1..).zip(fates) {
        victim = sent_to(&node.request(read(id, 9))).unwrap();
        if let Some(next) = sent_to(&node.outcome(id, 0, victim, status)) {
            node.outcome(id, 1, next, AttemptStatus::Served);
        }
    }
    let other = sent_to(&node.request(read(20, 9))).unwrap();
    assert_ne!(other, victim, "set aside");
    node.outcome(20, 0, other, AttemptStatus::Served);
    node.pass(10 * SECOND);
    let mut at_victim = 0;
    for id in 100..300 {
        let to = sent_to(&node.request(read(id, id))).unwrap();
        at_victim += usize::from(to == victim);
        node.outcome(id, 0, to, AttemptStatus::Served);
    }
    assert!(
        at_victim >= 30,
        "its part of the keys: {at_victim} of about 50"
    );
}

/// Asks for keys 1 to 200, each answered after a time at one server and at once at the others; returns those
/// that went to the one.
fn keys_at(node: &mut Node, first_id: RequestId, victim: ServerId, takes: Micros) -> Vec<Key> {
    let ask = |key: Key| {
        let id = first_id + key;
        let to = sent_to(&node.request(read(id, key))).unwrap();
        node.pass(if to == victim { takes } else { MS });
        node.outcome(id, 0, to, AttemptStatus::Served);
        (to == victim).then_some(key)
    };
    (1..=200).filter_map(ask).collect()
}

#[test]
fn a_server_that_is_late_with_its_part_of_the_keys_gets_fewer_and_all_again_when_it_keeps_up() {
    // Found on r8880: boxes of a third of the others' speed had as many keys, and jammed beside idle ones.
    let mut node = Node::new(
        Settings {
            may_hedge: false,
            ..settings()
        },
        4,
    );
    let all = keys_at(&mut node, 1000, 1, MS);
    assert!(
        (30..70).contains(&all.len()),
        "its part while it keeps up: {}",
        all.len()
    );
    keys_at(&mut node, 2000, 1, 700 * MS);
    let fewer = keys_at(&mut node, 3000, 1, 700 * MS);
    assert!(
        (1..=all.len() / 2).contains(&fewer.len()),
        "{} of {} when late",
        fewer.len(),
        all.len()
    );
    assert!(fewer.iter().all(|key| all.contains(key)), "of its own keys");
    for round in 4..12 {
        keys_at(&mut node, round * 1000, 1, MS);
    }
    assert_eq!(keys_at(&mut node, 20_000, 1, MS), all, "the same as before");
}

#[test]
fn a_server_that_is_late_now_and_then_keeps_its_keys_and_one_that_is_late_often_keeps_few() {
    // Found on the sixth day of the score: small boxes were left with what they were late with by a third.
    let kept = |every: usize| {
        let mut node = Node::new(
            Settings {
                may_hedge: false,
                ..settings()
            },
            4,
        );
        let (mut there, mut at_victim) = (0, 0);
        for id in 1..=6000 {
            let to = sent_to(&node.request(read(id, id % 200 + 1))).unwrap();
            at_victim += usize::from(to == 1);
            let late = to == 1 && at_victim % every == 0;
            node.pass(if late { 700 * MS } else { MS });
            node.outcome(id, 0, to, AttemptStatus::Served);
            there += usize::from(to == 1 && id > 4000);
        }
        there
    };
    let all = kept(usize::MAX);
    assert!(
        kept(40) * 10 >= all * 8,
        "{} of {all} when one in forty is late",
        kept(40)
    );
    assert!(
        kept(5) * 10 <= all * 3,
        "{} of {all} when one in five is late",
        kept(5)
    );
}

#[test]
fn a_server_that_was_late_once_has_all_its_keys_again_after_some_time_without_any() {
    let mut node = Node::new(
        Settings {
            may_hedge: false,
            ..settings()
        },
        4,
    );
    let all = keys_at(&mut node, 1000, 1, MS);
    keys_at(&mut node, 2000, 1, 700 * MS);
    node.pass(256 * 750 * MS);
    assert_eq!(keys_at(&mut node, 3000, 1, MS), all);
}

#[test]
fn a_balancer_that_meets_each_server_seldom_learns_of_the_weak_ones_by_their_kind() {
    // Found on the fleet days: one of a hundred sends each of 60 servers an attempt in four seconds, and 41
    // small boxes were sent three times what they could do all day long.
    let mut node = Node::new(
        Settings {
            may_hedge: false,
            balancer_count: 100,
            ..settings()
        },
        0,
    );
    let fleet = (1..=60).map(|id| Endpoint {
        kind: 2 + (id % 2) as u16,
        ..server(id)
    });
    node.list(ListUpdate::Full, fleet.chain([origin()]).collect());
    let mut weak = |ids: std::ops::RangeInclusive<u64>| {
        let ask = |id: &u64| {
            let to = sent_to(&node.request(read(*id, *id))).unwrap();
            node.pass(if to % 2 == 1 { 700 * MS } else { MS });
            node.outcome(*id, 0, to, AttemptStatus::Served);
            to % 2 == 1
        };
        ids.filter(ask).count()
    };
    let early = weak(1..=30);
    assert!(
        (8..=20).contains(&early),
        "{early} of 30 before it was known"
    );
    // Seventy balancers that restart together jammed them for two seconds, while it was learnt in small steps.
    let soon = weak(31..=90);
    assert!(
        soon <= 7,
        "{soon} of 60 after half of the weak ones were met once"
    );
    let late = weak(91..=190);
    assert!((1..=25).contains(&late), "{late} of 100 later");
}

#[test]
fn one_of_many_balancers_spares_a_late_server_after_the_few_times_that_it_meets_it() {
    // Found on the fleet days: a bad box of a good kind was sent three times what it could do for seconds on
    // end, as one of a hundred balancers needs ten attempts there to know it and makes one in four seconds.
    let there = |balancers: u32| {
        let mut node = Node::new(
            Settings {
                may_hedge: false,
                balancer_count: balancers,
                ..settings()
            },
            4,
        );
        let mut ask = |id: u64, victim_takes: Micros| {
            let to = sent_to(&node.request(read(id, id))).unwrap();
            node.pass(if to == 1 { victim_takes } else { MS });
            node.outcome(id, 0, to, AttemptStatus::Served);
            to == 1
        };
        (1..).filter(|id| ask(*id, 700 * MS)).take(3).for_each(drop);
        (1001..=1060).filter(|id| ask(*id, MS)).count()
    };
    assert!(
        (7..=20).contains(&there(5)),
        "{} of 60 after three late answers to one of 5",
        there(5)
    );
    assert!(
        there(100) <= 4,
        "{} of 60 after three late answers to one of 100",
        there(100)
    );
}

#[test]
fn a_client_in_a_hurry_is_served_by_a_server_near_by_or_refused_at_once() {
    // Found on r7044: clients with less time than the way to a box took were sent there all the same.
    let mut node = Node::new(settings(), 2);
    let near = keys_at(&mut node, 1000, 1, MS);
    let far = (1..=200).find(|key| !near.contains(key)).unwrap();
    // It follows slower answers slowly.
    for id in 1..=200 {
        node.request(read(id, far));
        node.pass(60 * MS);
        node.outcome(id, 0, 2, AttemptStatus::Served);
    }
    let within = |id, time| Request {
        remaining_deadline: time,
        ..read(id, far)
    };
    assert_eq!(
        sent_to(&node.request(within(301, 100 * MS))),
        Some(2),
        "there is time for its own server"
    );
    assert_eq!(
        sent_to(&node.request(within(302, 40 * MS))),
        Some(1),
        "only the near one is in time"
    );
    let actions = node.request(within(303, 2 * settings().tick + MS / 2));
    assert!(sends(&actions) == 0 && refused(&actions, 303), "none is");
}

#[test]
fn balancers_that_find_a_server_full_pass_the_same_keys_by() {
    let keys_left = |turned_away: RequestId| {
        let mut node = Node::new(settings(), 4);
        for id in 1..=turned_away {
            // A key of its own each: what is passed by already goes elsewhere.
            let to = sent_to(&node.request(read(id, id))).unwrap();
            let next = if to == 1 {
                sent_to(&node.outcome(id, 0, 1, AttemptStatus::Rejected))
            } else {
                None
            };
            node.outcome(
                id,
                u16::from(to == 1),
                next.unwrap_or(to),
                AttemptStatus::Served,
            );
        }
        keys_at(&mut node, 1000, 1, MS)
    };
    let [all, many, few] = [0, 20, 40].map(keys_left);
    assert!(
        few.len() < many.len() && many.len() < all.len(),
        "{few:?} {many:?} {all:?}"
    );
    assert!(
        few.iter().all(|key| many.contains(key)),
        "{few:?} within {many:?}"
    );
}

#[test]
fn a_server_that_fails_each_request_at_once_is_set_aside() {
    // Found on incident i0f0c3e: quick errors made a server look idle, and it drew ever more requests.
    let mut node = Node::new(settings(), 4);
    let victim = sent_to(&node.request(read(1, 9))).unwrap();
    for id in 1..=8 {
        let status = if id % 4 == 0 {
            AttemptStatus::Served
        } else {
            AttemptStatus::Error
        };
        node.outcome(id, 0, victim, status);
        node.request(read(id + 1, 9));
    }
    assert!(
        node.actions
            .iter()
            .any(|a| matches!(a, Action::Log(LogEvent::ServerEjected { .. })))
    );
}

#[test]
fn under_strain_the_tenant_over_its_quota_is_turned_away_and_the_other_is_served() {
    let mut config = settings();
    config.tenants = vec![Tenant { quota_per_s: 50.0 }, Tenant { quota_per_s: 50.0 }];
    let mut node = Node::new(config, 20);
    let (mut served, mut asked) = ([0, 0], [0, 0]);
    for id in 1..=3000u64 {
        node.pass(5 * MS);
        let tenant = usize::from(id % 6 == 0);
        let answer = node.request(Request {
            tenant,
            ..read(id, id)
        });
        if id > 1000 {
            asked[tenant] += 1;
            served[tenant] += sends(&answer);
        }
        let (status, to) = (
            if id % 16 == 0 {
                AttemptStatus::Rejected
            } else {
                AttemptStatus::Served
            },
            sent_to(&answer),
        );
        if let Some(mut to) = to {
            let mut attempt = 0;
            while let Some(next) = sent_to(&node.outcome(id, attempt, to, status)) {
                (to, attempt) = (next, attempt + 1);
            }
        }
    }
    assert!(
        served[1] * 100 >= asked[1] * 98,
        "within its quota: {} of {}",
        served[1],
        asked[1]
    );
    assert!(
        served[0] * 2 < asked[0],
        "at three times its quota: {} of {}",
        served[0],
        asked[0]
    );
}

#[test]
fn a_fleet_many_times_too_slow_is_sent_well_under_half_of_the_quotas() {
    // Incident i4dbf06: every server eight times slower; 0.6 of the quotas kept the fleet jammed.
    let mut config = settings();
    config.tenants = vec![Tenant { quota_per_s: 50.0 }];
    let mut node = Node::new(config, 300);
    let (mut out, mut late) = (std::collections::VecDeque::new(), 0);
    for id in 1..=800u64 {
        node.pass(20 * MS);
        if let Some(to) = sent_to(&node.request(read(id, id))) {
            out.push_back((id, to, node.now));
            late += u32::from(id > 600);
        }
        while out
            .front()
            .is_some_and(|(_, _, sent)| node.now - sent > 900 * MS)
        {
            let (id, to, _) = out.pop_front().unwrap();
            node.outcome(id, 0, to, AttemptStatus::Served);
        }
    }
    // It also failed while one attempt was counted twice, at both of its marks.
    assert!((30..80).contains(&late), "{late} of the last 200 sent");
}

#[test]
fn slow_answers_within_the_aim_do_not_turn_away_tenants_within_their_quotas() {
    // Found on hunted day h292ed5: answers at half of the aim counted as overload, and the level fell below 1.
    let mut config = Settings {
        may_hedge: false,
        ..settings()
    };
    config.tenants = vec![Tenant { quota_per_s: 100.0 }];
    let mut node = Node::new(config, 3000);
    let mut out = std::collections::VecDeque::new();
    for id in 1..=400u64 {
        node.pass(20 * MS);
        if let Some(to) = sent_to(&node.request(read(id, id))) {
            out.push_back((id, to));
        }
        if out.len() > 22 {
            let (id, to) = out.pop_front().unwrap();
            node.outcome(id, 0, to, AttemptStatus::Served);
        }
    }
    let refusals = node
        .actions
        .iter()
        .filter(|a| matches!(a, Action::Reject { .. }))
        .count();
    assert!(
        refusals < 8,
        "{refusals} of 400 refused at 50 a second within a quota of 100"
    );
}

#[test]
fn balancers_send_each_other_nothing_and_bear_whatever_a_peer_says() {
    // Found at full size: what each of 515 told all others was 12,360 broadcasts in 18 s, and the day was lost.
    let mut config = settings();
    (config.tenants, config.balancer_count) = (vec![Tenant { quota_per_s: 100.0 }], 4);
    config.may_message_peers = true;
    let mut node = Node::new(config, 20);
    node.event(Event::PeerMessage {
        from: 1,
        bytes: vec![0xff; 300],
    });
    assert!(sent_to(&node.request(read(1, 9))).is_some());
    node.pass(30 * SECOND);
    assert!(
        !node
            .actions
            .iter()
            .any(|a| matches!(a, Action::SendToPeer { .. }))
    );
}

#[test]
fn a_refused_client_is_told_to_come_back_soon_and_is_not_asked_to_stay_away() {
    // The node's users want to be told when to come back. Found on big-1 of the first full-size day: who waited 2 s came back too late, was served for nothing and
    // took the token of a request in time.
    let hints = |max_retry_after: Micros| {
        let mut config = Settings {
            max_retry_after,
            balancer_count: 400,
            ..settings()
        };
        config.tenants = vec![Tenant { quota_per_s: 1.0 }];
        let mut node = Node::just_started(config, 20);
        (1..=40).for_each(|id| {
            node.request(read(id, id));
        });
        let hint = |a: &Action| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        };
        node.actions.iter().filter_map(hint).collect::<Vec<_>>()
    };
    let told = hints(SECOND);
    assert!(
        told.len() > 20 && told.iter().all(|h| (12 * MS..38 * MS).contains(h)),
        "{told:?}"
    );
    assert!(
        hints(0).iter().all(|h| *h == 0),
        "where clients honour none, none is given"
    );
}

#[test]
fn one_of_many_balancers_lets_a_tenant_within_its_quota_through_and_holds_one_three_times_over() {
    // Found at 515 balancers: a rate scaled up from one request a second turned away tenants within quotas.
    let config = Settings {
        balancer_count: 500,
        tenants: vec![Tenant { quota_per_s: 500.0 }, Tenant { quota_per_s: 500.0 }],
        may_hedge: false,
        ..settings()
    };
    let mut node = Node::just_started(config, 70);
    let (mut sent, mut asked) = ([0, 0], [0, 0]);
    for id in 1..=400u64 {
        node.pass(250 * MS);
        let tenant = usize::from(id % 6 == 0); // 3.3 a second of the first, 0.67 of the other, quota 1 each.
        let answer = node.request(Request {
            tenant,
            ..read(id, id)
        });
        (asked[tenant], sent[tenant]) = (asked[tenant] + 1, sent[tenant] + sends(&answer));
        if let Some(to) = sent_to(&answer) {
            node.pass(650 * MS * u64::from(id % 5 == 0)); // One in five nearly late: some strain.
            node.outcome(id, 0, to, AttemptStatus::Served);
        }
    }
    assert!(
        sent[1] * 100 >= asked[1] * 95,
        "within its quota: {sent:?} of {asked:?}"
    );
    assert!(
        sent[0] * 10 < asked[0] * 8,
        "over its quota: {sent:?} of {asked:?}"
    );
}

#[test]
fn a_read_ends_at_its_aim_where_late_answers_earn_nothing_but_its_fetch_runs_on() {
    // Found on full-size days: a fifth of all answers came late, and kept the next ones late too.
    let mut node = Node::new(
        Settings {
            may_cancel: true,
            may_hedge: false,
            ..settings()
        },
        3,
    );
    node.request(read(1, 9));
    let at_aim = node.pass(760 * MS);
    assert!(
        refused(&at_aim, 1)
            && at_aim.contains(&Action::Cancel {
                request: 1,
                attempt: 0
            })
    );
    // A fetch cut at the aim was never stored, and the origin worked for nobody: rough-2 fell by a quarter.
    let mut node = Node::new(
        Settings {
            may_cancel: true,
            may_hedge: false,
            ..settings()
        },
        3,
    );
    let first = sent_to(&node.request(read(2, 9))).unwrap();
    assert_eq!(
        sent_to(&node.outcome(2, 0, first, AttemptStatus::Miss)),
        Some(ORIGIN)
    );
    let at_aim = node.pass(760 * MS);
    assert!(!refused(&at_aim, 2) && !at_aim.iter().any(|a| matches!(a, Action::Cancel { .. })));
    assert!(
        refused(&node.pass(SECOND), 2),
        "but not beyond the client's time"
    );
}

#[test]
fn a_slow_read_is_sent_to_the_next_server_too_and_the_loser_is_cancelled() {
    // One of 500 balancers meets a sick server once in 20 s: it cannot learn to avoid it, only not wait for it.
    let mut node = Node::new(
        Settings {
            may_cancel: true,
            ..settings()
        },
        5,
    );
    let first = sent_to(&node.request(read(1, 9))).unwrap();
    let second = sent_to(&node.pass(310 * MS)).expect("a second copy");
    assert_ne!(second, first);
    let after = node.outcome(1, 1, second, AttemptStatus::Served);
    assert!(after.contains(&Action::Cancel {
        request: 1,
        attempt: 0
    }));
    let mut node = Node::new(
        Settings {
            may_hedge: false,
            may_cancel: true,
            ..settings()
        },
        5,
    );
    node.request(read(1, 9));
    assert_eq!(
        sends(&node.pass(310 * MS)),
        0,
        "not where two copies are forbidden"
    );
}

#[test]
fn idle_connections_are_closed_where_so_many_balancers_make_them_dearer_than_handshakes() {
    // Found at 413 balancers before tables of 75: four in five attempts got no connection.
    let closes = |balancers| {
        let prices = Settings {
            connection_cost: 0.03,
            handshake_cost: 0.03,
            ..settings()
        };
        let mut node = Node::new(
            Settings {
                balancer_count: balancers,
                ..prices
            },
            3,
        );
        let to = sent_to(&node.request(read(1, 9))).unwrap();
        node.outcome(1, 0, to, AttemptStatus::Served)
            .contains(&Action::CloseIdle(to))
    };
    assert!(!closes(50) && closes(400));
}

#[test]
fn a_key_asked_for_again_and_again_does_not_go_to_a_cold_server() {
    // Incident ibfd28e: one request for a hot key from each of 1,096 balancers pushed a cold server over.
    let at_cold = |again: bool| {
        let tenants = vec![Tenant {
            quota_per_s: 100_000.0,
        }];
        let config = Settings {
            balancer_count: 1000,
            cold_capacity_share: 0.9,
            tenants,
            ..settings()
        };
        let mut node = Node::new(config, 4);
        let ask = |node: &mut Node, id, key| {
            node.pass(20 * MS);
            let to = sent_to(&node.request(read(id, key)));
            node.outcome(id, 0, to.unwrap(), AttemptStatus::Served);
            to
        };
        let key = (1..)
            .find(|key| ask(&mut node, 1000 + key, *key) == Some(2))
            .unwrap();
        for id in 5000..5100 {
            ask(&mut node, id, if again { key } else { id });
        }
        node.list(
            ListUpdate::Delta,
            vec![Endpoint {
                started: node.now,
                ..server(2)
            }],
        );
        ask(&mut node, 9999, key) == Some(2)
    };
    assert!(at_cold(false), "a key of its own goes there");
    assert!(!at_cold(true), "a hot one does not");
}

#[test]
fn a_hundred_balancers_together_spare_a_cold_server_from_its_first_moment() {
    // Found on the fleet days: each of a hundred had a token for it at once, and there is always a key that is
    // popular with all and asked for once by each: 74 attempts from 58 of them in 2 s, and it fell over.
    let tenants = vec![Tenant {
        quota_per_s: 2_000.0,
    }];
    let config = Settings {
        balancer_count: 100,
        cold_capacity_share: 0.12,
        tenants,
        ..settings()
    };
    let at_cold = |key: Key| {
        let balancer = |seed: u64| {
            let mut node = Node::seeded(config.clone(), 20, seed);
            node.pass(10 * SECOND);
            node.list(
                ListUpdate::Delta,
                vec![Endpoint {
                    started: node.now,
                    ..server(2)
                }],
            );
            node.pass(seed * 20 * MS);
            sent_to(&node.request(read(1, key))) == Some(2)
        };
        (1..=100).filter(|seed| balancer(*seed)).count()
    };
    let most = (1..=80).map(at_cold).max().unwrap();
    // A warm one of twenty has 200 requests in 2 s. This one falls when sent three times an eighth of that.
    assert!((5..=60).contains(&most), "{most} attempts in two seconds");
}

#[test]
fn a_cold_server_gets_attempts_by_what_its_kind_can_do_and_no_more_when_clients_ask_again() {
    // Found on the fleet days: a small box that had just started was allowed as much as one of three times its
    // capacity, and more as clients repeated what was refused: it fell over 9 s after its start.
    let config = Settings {
        balancer_count: 100,
        cold_capacity_share: 0.2,
        may_hedge: false,
        ..settings()
    };
    let (mut strong, mut weak) = (0, 0);
    for seed in 1..=30u64 {
        let mut node = Node::seeded(config.clone(), 0, seed);
        let line = |id| Endpoint {
            kind: 2 + (id % 2) as u16,
            ..server(id)
        };
        node.list(
            ListUpdate::Full,
            (1..=20).map(line).chain([origin()]).collect(),
        );
        let ask = |node: &mut Node, id: u64| {
            let to = sent_to(&node.request(read(id, seed * 10_000 + id)));
            // One in four of the weak ones' attempts is turned away, and the next server answers.
            let full = to.is_some_and(|to| to % 2 == 1) && id.is_multiple_of(4);
            let mut next = to.zip(Some(if full {
                AttemptStatus::Rejected
            } else {
                AttemptStatus::Served
            }));
            for attempt in 0.. {
                let Some((to, status)) = next else { break };
                next = sent_to(&node.outcome(id, attempt, to, status))
                    .zip(Some(AttemptStatus::Served));
            }
            to
        };
        for id in 1..=300 {
            node.pass(50 * MS);
            ask(&mut node, id);
        }
        let cold = |id| Endpoint {
            started: node.now,
            ..line(id)
        };
        node.list(ListUpdate::Delta, vec![cold(1), cold(2)]);
        for id in 1001..=1500 {
            node.pass(2 * MS); // Twenty-five times as many as usual.
            let to = ask(&mut node, id);
            (weak, strong) = (
                weak + usize::from(to == Some(1)),
                strong + usize::from(to == Some(2)),
            );
        }
    }
    assert!(
        weak > 0 && weak * 2 < strong,
        "{weak} at the weak one, {strong} at the other"
    );
    assert!(
        strong < 120,
        "{strong} of 30 balancers in a second, of which each usually sends a warm one one"
    );
}

#[test]
fn a_cold_server_gets_attempts_by_what_warm_ones_of_its_kind_answer_though_no_kind_is_spared() {
    // Found on join+mass, seed 453681421112: a jam left both kinds a tenth of their keys, the bucket of a cold small
    // server filled as fast as that of a standard one, and one was sent 53 attempts in 2 s of which it took in 26.
    let (mut strong, mut weak) = (0, 0);
    for seed in 1..=30u64 {
        let config = Settings {
            balancer_count: 100,
            cold_capacity_share: 0.2,
            may_hedge: false,
            ..settings()
        };
        let mut node = Node::seeded(config, 0, seed);
        let line = |id| Endpoint {
            kind: 2 + (id % 2) as u16,
            ..server(id)
        };
        node.list(
            ListUpdate::Full,
            (1..=20).map(line).chain([origin()]).collect(),
        );
        let ask = |node: &mut Node, id: u64| {
            let to = sent_to(&node.request(read(id, seed * 10_000 + id)));
            // Three of four clients of the weak ones go before the answer: that spares no kind.
            if to.is_some_and(|to| to % 2 == 1) && !id.is_multiple_of(4) {
                node.event(Event::ClientGone(id));
                node.outcome(id, 0, to.unwrap(), AttemptStatus::Cancelled);
            } else if let Some(to) = to {
                node.outcome(id, 0, to, AttemptStatus::Served);
            }
            to
        };
        for id in 1..=300 {
            node.pass(50 * MS);
            ask(&mut node, id);
        }
        let cold = |id| Endpoint {
            started: node.now,
            ..line(id)
        };
        node.list(ListUpdate::Delta, vec![cold(1), cold(2)]);
        for id in 1001..=1200 {
            node.pass(50 * MS);
            let to = ask(&mut node, id);
            (weak, strong) = (
                weak + usize::from(to == Some(1)),
                strong + usize::from(to == Some(2)),
            );
        }
    }
    assert!(
        weak > 0 && weak * 2 < strong,
        "{weak} at the weak one, {strong} at the other"
    );
}

#[test]
fn a_cold_server_that_bears_few_attempts_is_left_more_room_for_chance_among_balancers() {
    // Found on join+mass, seed 453681421112: a bucket at each of 300 balancers, filling as fast as the server bears on
    // the mean, let 40 attempts come within 2 s at one that answered 17 of them.
    let at_cold = |quota_per_s: f64| {
        let tenants = vec![Tenant { quota_per_s }];
        let (balancers, warm_up) = (100, 1_000_000 * SECOND);
        let config = Settings {
            balancer_count: balancers,
            warm_up_period: warm_up,
            cold_capacity_share: 0.2,
            tenants,
            ..settings()
        };
        let mut node = Node::new(config, 20);
        node.list(
            ListUpdate::Delta,
            vec![Endpoint {
                started: node.now,
                ..server(2)
            }],
        );
        // Clients ask for three times what they usually do, so that the bucket is always wanted.
        let gap = (100.0 / quota_per_s * SECOND as f64 / 3.0) as u64;
        let ask = |id: &u64| {
            node.pass(gap);
            let to = sent_to(&node.request(read(*id, *id)));
            to.into_iter()
                .for_each(|to| drop(node.outcome(*id, 0, to, AttemptStatus::Served)));
            to == Some(2)
        };
        (1..=12_000).filter(ask).count()
    };
    // A warm one has 200 of them. By the settings this one may have half of that: at a hundredth of the traffic 8,
    // and at all of it 800, in the 2 s after which it falls over.
    let (few, many) = (at_cold(200.0), at_cold(20_000.0));
    assert!(
        few > 20 && few * 3 < many * 2,
        "{few} where it bears 8 at a time, {many} where it bears 800"
    );
}

#[test]
fn cold_servers_get_what_they_can_bear_so_that_the_warm_ones_are_not_jammed() {
    // Found on the fleet days: 36 of 60 servers were new, each was given a part of its keys as if it were half
    // as strong as it must at least be, and the warm 24 turned away three of four attempts.
    let at_cold = |fall_multiple: f64| {
        let tenants = vec![Tenant { quota_per_s: 100.0 }];
        let config = Settings {
            cold_capacity_share: 0.12,
            warm_up_period: 24 * SECOND,
            overload_multiple: fall_multiple,
            tenants,
            ..settings()
        };
        let mut node = Node::new(config, 10);
        node.list(
            ListUpdate::Delta,
            vec![Endpoint {
                started: node.now,
                ..server(2)
            }],
        );
        let mut ask = |id: u64| {
            node.pass(10 * MS);
            let to = sent_to(&node.request(read(id, id))).unwrap();
            node.outcome(id, 0, to, AttemptStatus::Served);
            to == 2
        };
        (1..=1000).filter(|id| ask(*id)).count()
    };
    // A warm one has a hundred, this one can do 12 to 49 of them in its first ten seconds, 30 in all.
    let (of_two, of_four) = (at_cold(2.0), at_cold(4.0));
    assert!(
        (25..=56).contains(&of_two),
        "{of_two} where it falls at twice what it can do"
    );
    assert!(
        (60..=96).contains(&of_four),
        "{of_four} where it falls at four times that"
    );
}

#[test]
fn an_aim_shorter_than_two_ticks_is_borne() {
    // Found while reading: the wake-up at the aim lay before the present and underflowed.
    let mut config = Settings {
        balancer_count: 0,
        ..settings()
    };
    config.classes[0].latency_objective = 0;
    let mut node = Node::just_started(config, 2);
    let answer = node.request(read(1, 9));
    assert!(refused(&answer, 1) || sends(&answer) == 1);
    assert!(node.pass(2 * SECOND).len() < 200);
}

#[test]
fn events_for_ended_requests_and_repeated_or_unknown_outcomes_call_for_nothing() {
    let mut node = Node::new(settings(), 3);
    let to = sent_to(&node.request(read(1, 9))).unwrap();
    node.outcome(1, 0, to, AttemptStatus::Served);
    for status in [
        AttemptStatus::Served,
        AttemptStatus::Miss,
        AttemptStatus::Rejected,
        AttemptStatus::TimedOut,
        AttemptStatus::Cancelled,
    ] {
        let answer = node.outcome(1, 0, to, status);
        assert!(
            sends(&answer) == 0 && !refused(&answer, 1) && !failed(&answer, 1),
            "repeated: {status:?}"
        );
        let answer = node.outcome(77, 3, 4242, status);
        assert!(
            sends(&answer) == 0 && !refused(&answer, 77),
            "never sent: {status:?}"
        );
    }
    assert!(sends(&node.event(Event::ClientGone(1))) == 0);
    node.request(read(2, 9));
    node.event(Event::ClientGone(2));
    let late = node.outcome(2, 0, to, AttemptStatus::Miss);
    assert!(
        sends(&late) == 0 && !refused(&late, 2),
        "its client has left: no fetch, no answer"
    );
    assert!(sends(&node.pass(3 * SECOND)) == 0);
}

#[test]
fn figures_that_are_not_finite_are_borne() {
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
    let mut node = Node::new(config, 2);
    let weights = [f32::NAN, f32::INFINITY, -1.0];
    let line = |(id, weight)| Endpoint {
        weight,
        started: 60 * SECOND,
        ..server(id)
    };
    let mut lines: Vec<_> = (1..).zip(weights).map(line).collect();
    lines.push(origin());
    node.list(ListUpdate::Full, lines);
    for id in 1..=30 {
        let answer = node.request(Request {
            tenant: id as usize % 2,
            value_size: f32::NAN,
            ..read(id, id)
        });
        assert!(
            sends(&answer) == 1 || refused(&answer, id),
            "sent or refused"
        );
    }
    let after = node.pass(2 * SECOND);
    assert!(
        (1..=30).all(|id| refused(&node.actions, id)),
        "each is answered: {}",
        after.len()
    );
}

#[test]
fn tokens_saved_up_do_not_keep_a_jam_going() {
    // Incident i291613: full buckets at 1,499 balancers were 15 s of traffic with the level at its floor.
    let mut config = Settings {
        balancer_count: 1000,
        may_hedge: false,
        ..settings()
    };
    config.tenants = vec![Tenant { quota_per_s: 100.0 }; 9];
    let mut node = Node::just_started(config, 500);
    let mut sent = Vec::new();
    for id in 1..=45u64 {
        node.pass(200 * MS);
        sent.push(sends(&node.request(Request {
            tenant: id as usize % 9,
            ..read(id, id)
        }))); // None answers.
    }
    let (early, late) = (
        sent[..10].iter().sum::<usize>(),
        sent[25..].iter().sum::<usize>(),
    );
    assert!(
        early == 10 && late <= 2,
        "{early} of the first 10 sent, {late} of the last 20"
    );
}

#[test]
fn a_server_that_all_balancers_have_filled_is_skipped_by_its_live_weight() {
    // Found under shared slowness: queues of twelve a core, of which each balancer saw one request of its own.
    let config = Settings {
        weights_are_live: true,
        may_hedge: false,
        ..settings()
    };
    let mut node = Node::new(config, 3);
    let first = sent_to(&node.request(read(1, 9))).unwrap();
    node.pass(200 * MS);
    node.outcome(1, 0, first, AttemptStatus::Served); // 0.2 s for one request without a queue
    node.list(
        ListUpdate::Delta,
        vec![Endpoint {
            weight: 0.1,
            ..server(first)
        }],
    );
    let next = sent_to(&node.request(read(2, 9))).expect("another has room");
    assert_ne!(next, first, "nine requests a core wait there");
    let all = (1..=3)
        .map(|id| Endpoint {
            weight: 0.1,
            ..server(id)
        })
        .collect();
    node.list(ListUpdate::Delta, all);
    assert!(refused(&node.request(read(3, 9)), 3), "all are full");
}

#[test]
fn a_server_that_is_reached_late_is_not_left_aside() {
    let mut node = Node::new(settings(), 3);
    let first = sent_to(&node.request(read(1, 9))).unwrap();
    let second = sent_to(&node.outcome(1, 0, first, AttemptStatus::ConnectFailed)).unwrap();
    node.outcome(1, 1, second, AttemptStatus::Served);
    assert_ne!(sent_to(&node.request(read(2, 9))), Some(first), "set aside");
    node.event(Event::HealthChecked {
        server: first,
        healthy: true,
        elapsed: 200 * MS,
        load: LoadReport::default(),
    });
    assert_eq!(
        sent_to(&node.request(read(3, 9))),
        Some(first),
        "and let back"
    );
}

#[test]
fn the_wait_for_a_connection_is_not_taken_for_load_and_a_slow_answer_is() {
    // The keys that go to server 1 first, of many, after some attempts at it that had their answer late.
    let left_after = |connecting: bool| {
        let mut node = Node::new(
            Settings {
                may_hedge: false,
                ..settings()
            },
            3,
        );
        let keys: Vec<Key> = (1..)
            .filter(|key| place(&mut node, *key) == 1)
            .take(20)
            .collect();
        for (id, key) in (1..=10).zip(&keys) {
            let to = sent_to(&node.request(read(id, *key))).unwrap();
            if connecting {
                node.event(Event::Connection {
                    request: id,
                    attempt: 0,
                    established: false,
                });
            }
            node.pass(700 * MS);
            if connecting {
                node.event(Event::Connection {
                    request: id,
                    attempt: 0,
                    established: true,
                });
            }
            node.pass(20 * MS);
            node.outcome(id, 0, to, AttemptStatus::Served);
        }
        keys.iter()
            .filter(|key| place(&mut node, **key) == 1)
            .count()
    };
    assert_eq!(left_after(true), 20, "it keeps all of its keys");
    assert!(
        left_after(false) < 20,
        "one that answers so late is left fewer"
    );
}

#[test]
fn a_failed_call_to_discovery_is_repeated_later_and_not_at_once() {
    let config = Settings {
        poll_discovery: true,
        ..settings()
    };
    let mut node = Node::new(config, 3);
    assert!(
        node.actions.contains(&Action::Subscribe(true)),
        "subscribes at the start"
    );
    node.actions.clear();
    node.list(ListUpdate::Failed, Vec::new());
    assert!(!node.actions.contains(&Action::Subscribe(true)));
    assert!(node.pass(2 * SECOND).contains(&Action::Subscribe(true)));
    assert!(
        sent_to(&node.request(read(1, 9))).is_some(),
        "the old list stays in force"
    );
}

#[test]
fn a_subscription_that_fell_silent_is_opened_anew_at_once() {
    let mut node = Node::new(
        Settings {
            poll_discovery: true,
            ..settings()
        },
        3,
    );
    node.actions.clear();
    for _ in 0..2 {
        node.list(ListUpdate::WatchSilent, Vec::new());
        assert!(node.actions.contains(&Action::Subscribe(true)));
        node.actions.clear();
    }
    assert!(
        !node.pass(20 * SECOND).contains(&Action::Subscribe(true)),
        "and once only"
    );
    assert!(
        sent_to(&node.request(read(1, 9))).is_some(),
        "the old list stays in force"
    );
}

#[test]
fn however_often_discovery_fails_it_is_asked_again_before_a_change_counts_as_told() {
    let config = Settings {
        poll_discovery: true,
        notified_within: 10 * SECOND,
        ..settings()
    };
    let mut node = Node::new(config, 3);
    for call in 0..50 {
        node.list(ListUpdate::Failed, Vec::new());
        assert!(
            node.pass(4 * SECOND).contains(&Action::Subscribe(true)),
            "after failure {call}"
        );
    }
}

#[test]
fn no_server_no_origin_and_servers_back_again_lose_nothing() {
    let mut node = Node::new(settings(), 2);
    node.list(ListUpdate::Full, Vec::new());
    assert!(refused(&node.request(read(1, 9)), 1));
    node.request(write(2, 1));
    assert!(
        refused(&node.pass(SECOND), 2),
        "no origin: postponed, then refused"
    );
    node.list(ListUpdate::Full, vec![server(1), origin()]);
    assert_eq!(sent_to(&node.request(read(3, 9))), Some(1));
}

#[test]
fn an_idle_balancer_does_not_spin_on_timers() {
    let mut node = Node::new(settings(), 3);
    node.request(read(1, 9));
    node.actions.clear();
    node.pass(60 * SECOND);
    assert!(
        node.actions.len() < 1500,
        "{} actions in an idle minute",
        node.actions.len()
    );
}

#[test]
fn no_fetch_is_made_that_cannot_be_answered_in_time_and_a_quicker_origin_is_found_out() {
    // Found on the fleet days: a third of the origin's calls was made for requests with less time left than it
    // takes to answer; they were called off, and nothing was stored for the next.
    let mut node = Node::new(
        Settings {
            may_hedge: false,
            ..settings()
        },
        10,
    );
    let miss = |node: &mut Node, id: u64, after: Micros| {
        let first = sent_to(&node.request(read(id, id))).unwrap();
        node.pass(after);
        node.outcome(id, 0, first, AttemptStatus::Miss)
    };
    for id in 1..=5 {
        assert_eq!(sent_to(&miss(&mut node, id, MS)), Some(ORIGIN));
        node.pass(200 * MS);
        node.outcome(id, 1, ORIGIN, AttemptStatus::Served);
    }
    assert!(
        !refused(&miss(&mut node, 6, 600 * MS), 6),
        "the gate is open, and it may be quicker for once"
    );
    let [seven, eight] = [7, 8].map(|id| sent_to(&node.request(read(id, id))).unwrap());
    node.pass(480 * MS);
    (101..=140).for_each(|id| drop(node.request(write(id, 1)))); // They shut the gate.
    node.pass(20 * MS);
    assert!(
        !refused(&node.outcome(7, 0, seven, AttemptStatus::Miss), 7),
        "250 of 750 ms are left for it"
    );
    node.pass(100 * MS);
    assert!(
        refused(&node.outcome(8, 0, eight, AttemptStatus::Miss), 8),
        "150 ms are too little; it is told at once"
    );
    let late = (0..60u64).find(|round| {
        let id = 1000 + round * 100;
        let first = sent_to(&node.request(read(id, id))).unwrap();
        node.pass(580 * MS);
        (1..=40).for_each(|more| drop(node.request(write(id + more, 1))));
        node.pass(20 * MS);
        !refused(&node.outcome(id, 0, first, AttemptStatus::Miss), id)
    });
    assert!(late.is_some(), "it does not go by an old figure for ever");
}

#[test]
fn one_of_many_balancers_leaves_a_server_alone_that_refused_it_once_until_it_would_meet_it_again() {
    // Found on the fleet days: while the list was late, each of 32 balancers tried each of 40 servers that were
    // gone again and again: three refusals set one aside, for less time than passes between two attempts there.
    let tries = |balancers: u32| {
        let mut node = Node::new(
            Settings {
                balancer_count: balancers,
                ..settings()
            },
            4,
        );
        let mut tries = 0;
        for id in 1..=200 {
            node.pass(100 * MS);
            let mut next = sent_to(&node.request(read(id, id)));
            for attempt in 0.. {
                let Some(to) = next else { break };
                let status = if to == 1 {
                    AttemptStatus::ConnectFailed
                } else {
                    AttemptStatus::Served
                };
                tries += usize::from(to == 1);
                next = sent_to(&node.outcome(id, attempt, to, status));
            }
        }
        tries
    };
    assert!(
        (2..=8).contains(&tries(5)),
        "{} of 5 balancers in 20 s",
        tries(5)
    );
    assert!(
        (1..=2).contains(&tries(100)),
        "{} of 100 balancers in 20 s",
        tries(100)
    );
}

#[test]
fn a_server_that_refused_one_connection_for_want_of_room_is_not_presumed_cold() {
    let mut node = Node::new(settings(), 4);
    let victim = sent_to(&node.request(read(1, 9))).unwrap();
    let next = sent_to(&node.outcome(1, 0, victim, AttemptStatus::ConnectFailed)).unwrap();
    node.outcome(1, 1, next, AttemptStatus::Served);
    node.pass(10 * SECOND);
    let mut at_victim = 0;
    for id in 10..210 {
        let to = sent_to(&node.request(read(id, id))).unwrap();
        at_victim += usize::from(to == victim);
        node.outcome(id, 0, to, AttemptStatus::Served);
    }
    assert!(
        at_victim >= 30,
        "its part of the keys: {at_victim} of about 50"
    );
}

#[test]
fn many_balancers_leave_discovery_time_between_their_calls_from_the_first_failure_on() {
    // Found on the fleet days: 70 that restarted together asked again within a second of each failure, and the
    // calls that waited in vain kept 65 of them without a list until the day ended. The longest pause at once left
    // one of 208 on herd+mass, seed 11, without the news of a drain for 5.8 s; it counts as told after 6 s.
    let pause = |balancers: u32, failures: usize, seed: u64| {
        let config = Settings {
            poll_discovery: true,
            notified_within: 10 * SECOND,
            balancer_count: balancers,
            ..settings()
        };
        let mut node = Node::seeded(config, 3, seed);
        let mut again = || {
            node.list(ListUpdate::Failed, Vec::new());
            (1..400)
                .find(|_| node.pass(10 * MS).contains(&Action::Subscribe(true)))
                .expect("asks again")
        };
        (0..failures).map(|_| again()).last().unwrap()
    };
    assert!(
        (1..=20).all(|seed| pause(5, 1, seed) <= 94),
        "few ask again within a second"
    );
    assert!(
        (1..=20).all(|seed| (62..=188).contains(&pause(100, 1, seed))),
        "there is time for a second call"
    );
    let pauses: Vec<_> = (1..=20).map(|seed| pause(100, 2, seed)).collect();
    // Not 3.76 s any more: a change counts as told 6 s after it could be had, whatever failed before.
    assert!(
        pauses.iter().all(|pause| (78..=241).contains(pause)),
        "{pauses:?}"
    );
    assert!(
        pauses.iter().max().unwrap() - pauses.iter().min().unwrap() > 100,
        "not in step: {pauses:?}"
    );
}

// Crossings of a request's life with its client's leave, the window of its repeats and discovery's failures.

#[test]
fn a_client_that_leaves_takes_its_request_off_every_queue_timer_and_retry() {
    let gone_sends = |node: &mut Node, id: RequestId| {
        let mut actions = node.event(Event::ClientGone(id));
        actions.extend(node.pass(5 * SECOND));
        sends(&actions)
    };
    // Postponed at a gate that is shut: its place is free at once.
    let mut node = Node::new(
        Settings {
            balancer_count: 100,
            ..settings()
        },
        3,
    );
    for id in 1..=40 {
        node.request(write(id, 1));
    }
    let waits: Vec<_> = (1..=40)
        .filter(|id| {
            !node
                .actions
                .iter()
                .any(|a| matches!(a, Action::Send { request, .. } if request == id))
        })
        .collect();
    assert!(!waits.is_empty(), "some wait for their turn at the origin");
    let before = node.actions.len();
    for id in &waits {
        node.event(Event::ClientGone(*id));
    }
    for id in (1..=40).filter(|id| !waits.contains(id)) {
        node.outcome(id, 0, ORIGIN, AttemptStatus::Served);
    }
    node.pass(5 * SECOND);
    assert_eq!(
        sends(&node.actions[before..]),
        0,
        "none of those that left is sent"
    );

    // Between two attempts: the first has failed, or was a miss, after its client left.
    for status in [
        AttemptStatus::Rejected,
        AttemptStatus::NotSent,
        AttemptStatus::ConnectFailed,
        AttemptStatus::Miss,
        AttemptStatus::Reset,
    ] {
        let mut node = Node::new(settings(), 3);
        let to = sent_to(&node.request(read(1, 7))).unwrap();
        node.event(Event::ClientGone(1));
        let mut after = node.outcome(1, 0, to, status);
        after.extend(node.pass(5 * SECOND));
        assert_eq!(sends(&after), 0, "{status:?}");
    }

    // Waiting long for its answer, when a second copy would be sent; and with the copy out.
    for copy_out in [false, true] {
        let mut node = Node::new(
            Settings {
                balancer_count: 100,
                may_hedge: true,
                ..settings()
            },
            20,
        );
        let first = sent_to(&node.request(read(1, 7))).unwrap();
        if copy_out {
            assert_eq!(sends(&node.pass(350 * MS)), 1, "a second copy");
        }
        assert_eq!(gone_sends(&mut node, 1), 0);
        let mut after = node.outcome(1, 0, first, AttemptStatus::Miss);
        after.extend(node.pass(5 * SECOND));
        assert_eq!(sends(&after), 0, "copy out: {copy_out}");
    }
}

#[test]
fn a_write_that_may_have_run_is_not_sent_again_at_any_moment_of_its_window_or_after_it() {
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
            let mut node = Node::new(settings(), 3);
            assert_eq!(sends(&node.request(write(1, class))), 1);
            let mut after = node.pass(late);
            after.extend(node.outcome(1, 0, ORIGIN, status));
            after.extend(node.pass(SECOND));
            assert_eq!(sends(&after), 0, "class {class}, {status:?} after {late}");
        }
    }
}

#[test]
fn discovery_is_asked_again_in_time_for_what_counts_as_told_however_long_the_settings_allow() {
    // A call that failed may have waited two seconds; a quarter of the six is to spare.
    for (balancers, ask_within) in [
        (1, SECOND),
        (1, 60 * SECOND),
        (300, 10 * SECOND),
        (300, 600 * SECOND),
    ] {
        for seed in 0..20 {
            let config = Settings {
                balancer_count: balancers,
                poll_discovery: true,
                notified_within: ask_within,
                ..settings()
            };
            let mut node = Node::seeded(config, 3, seed);
            for _ in 0..6 {
                node.list(ListUpdate::Failed, Vec::new());
                let since = node.now;
                while !node.pass(10 * MS).contains(&Action::Subscribe(true)) {
                    assert!(
                        node.now - since <= 2_400 * MS,
                        "{balancers} {ask_within} {seed}"
                    );
                }
                assert!(
                    balancers == 1 || node.now - since >= 300 * MS,
                    "not all at once"
                );
            }
        }
    }
}
