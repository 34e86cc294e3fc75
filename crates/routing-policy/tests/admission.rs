//! Admission by tenants' quotas, and clients' retries.
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
fn a_clients_retry_has_the_rest_of_its_objective_and_a_late_one_is_rejected_at_once() {
    // Scenario calm+mass: a fifth of the requests sent to servers were retries whose answers were worthless,
    // because the objective counts from the first try. Here the deadline is 1.5 s and the objective 0.75 s;
    // most tries have 1.2 s left.
    let read_with_time_left = |id, left: u64| Request {
        remaining_deadline: left * MS,
        ..read(id, id)
    };
    let serve_reads = |router: &mut TestRouter, ids: std::ops::RangeInclusive<u64>, left| {
        for id in ids {
            let server =
                sent_to(&router.send_request(read_with_time_left(id, left))).expect("sent");
            router.complete_attempt(id, 0, server, AttemptStatus::Served);
        }
    };
    let mut unloaded_router = TestRouter::new(settings(), 4);
    serve_reads(&mut unloaded_router, 1..=20, 1200);
    assert_eq!(
        count_sends(&unloaded_router.send_request(read_with_time_left(21, 600))),
        1,
        "late, but there is no overload"
    );
    let mut router = TestRouter::just_started(settings(), 4);
    serve_reads(&mut router, 1..=1, 600); // Nothing is known of the usual deadline yet.
    serve_reads(&mut router, 2..=20, 1200);
    serve_reads(&mut router, 22..=22, 1198); // The network took a little of the time.
    assert!(
        is_rejected(&router.send_request(read_with_time_left(23, 600)), 23),
        "its first try was 900 ms ago"
    );
    assert_eq!(
        count_sends(&router.send_request(read_with_time_left(24, 900))),
        1,
        "150 ms of its objective are left"
    );
    assert_eq!(
        count_sends(&router.send_request(read_with_time_left(25, 1400))),
        1,
        "650 ms of its objective are left"
    );
    assert!(!is_rejected(&router.advance(140 * MS), 24));
    assert!(is_rejected(&router.advance(15 * MS), 24));
    assert!(!is_rejected(&router.advance(485 * MS), 25));
    assert!(is_rejected(&router.advance(15 * MS), 25));
    let late = Request {
        remaining_deadline: 100 * MS,
        ..write(26, 1)
    };
    assert_eq!(
        count_sends(&router.send_request(late)),
        1,
        "a write takes effect even if it is late"
    );
    let mut rejections = 0;
    for id in 31..=60 {
        let answer = router.send_request(read_with_time_left(id, 600));
        rejections += usize::from(is_rejected(&answer, id));
        sent_to(&answer)
            .map(|server| router.complete_attempt(id, 0, server, AttemptStatus::Served));
    }
    assert!(
        rejections < 20,
        "{rejections} rejected: by then this is the usual remaining deadline"
    );
}

#[test]
fn under_overload_a_tenant_over_its_quota_is_rejected_and_the_other_is_served() {
    let mut config = settings();
    config.tenants = vec![Tenant { quota_per_s: 50.0 }, Tenant { quota_per_s: 50.0 }];
    let mut router = TestRouter::new(config, 20);
    let (mut served, mut requested) = ([0, 0], [0, 0]);
    for id in 1..=3000u64 {
        router.advance(5 * MS);
        let tenant = usize::from(id % 6 == 0);
        let answer = router.send_request(Request {
            tenant,
            ..read(id, id)
        });
        if id > 1000 {
            requested[tenant] += 1;
            served[tenant] += count_sends(&answer);
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
            while let Some(next) = sent_to(&router.complete_attempt(id, attempt, to, status)) {
                (to, attempt) = (next, attempt + 1);
            }
        }
    }
    assert!(
        served[1] * 100 >= requested[1] * 98,
        "within its quota: {} of {}",
        served[1],
        requested[1]
    );
    assert!(
        served[0] * 2 < requested[0],
        "at three times its quota: {} of {}",
        served[0],
        requested[0]
    );
}

#[test]
fn one_of_many_routers_admits_a_tenant_within_its_quota_and_limits_one_three_times_over_it() {
    // With 515 routers, a rate extrapolated from one request a second rejected tenants within their quotas.
    let config = Settings {
        router_count: 500,
        tenants: vec![Tenant { quota_per_s: 500.0 }, Tenant { quota_per_s: 500.0 }],
        may_hedge: false,
        ..settings()
    };
    let mut router = TestRouter::just_started(config, 70);
    let (mut sent, mut requested) = ([0, 0], [0, 0]);
    for id in 1..=400u64 {
        router.advance(250 * MS);
        let tenant = usize::from(id % 6 == 0); // 3.3 a second of the first, 0.67 of the other, quota 1 each.
        let answer = router.send_request(Request {
            tenant,
            ..read(id, id)
        });
        (requested[tenant], sent[tenant]) =
            (requested[tenant] + 1, sent[tenant] + count_sends(&answer));
        if let Some(to) = sent_to(&answer) {
            router.advance(650 * MS * u64::from(id % 5 == 0)); // One in five is nearly late: some overload.
            router.complete_attempt(id, 0, to, AttemptStatus::Served);
        }
    }
    assert!(
        sent[1] * 100 >= requested[1] * 95,
        "within its quota: {sent:?} of {requested:?}"
    );
    assert!(
        sent[0] * 10 < requested[0] * 8,
        "over its quota: {sent:?} of {requested:?}"
    );
}

#[test]
fn saved_tokens_do_not_keep_an_overload_going() {
    // Incident i291613: full buckets at 1,499 routers held 15 s of traffic at the lowest quota multiplier.
    let mut config = Settings {
        router_count: 1000,
        may_hedge: false,
        ..settings()
    };
    config.tenants = vec![Tenant { quota_per_s: 100.0 }; 9];
    let mut router = TestRouter::just_started(config, 500);
    let mut sent = Vec::new();
    for id in 1..=45u64 {
        router.advance(200 * MS);
        sent.push(count_sends(&router.send_request(Request {
            tenant: id as usize % 9,
            ..read(id, id)
        }))); // No server answers.
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
