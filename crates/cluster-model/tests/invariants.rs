//! Each violation of an invariant is reported. Behaviour just within the limits is not.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use cluster_model::invariants::{
    Idempotency, InvariantLimits, Invariants, RequestKey, ViolationKind,
};
use cluster_model::slow_start_budget::Collapse;

/// The request of most tests, which node 3 accepts.
const REQUEST: RequestKey = RequestKey { node: 3, id: 17 };
const SECOND: u64 = 1_000_000;

fn request(node: u32, id: u64) -> RequestKey {
    RequestKey { node, id }
}

/// Creates a checker with an answer grace of 20 ms instead of the default of 500 ms.
fn invariants() -> Invariants {
    Invariants::new(InvariantLimits {
        answer_grace: 20_000,
        ..InvariantLimits::default()
    })
}

fn violations(invariants: &Invariants) -> Vec<ViolationKind> {
    invariants
        .violations()
        .iter()
        .map(|violation| violation.kind.clone())
        .collect()
}

#[test]
fn a_request_answered_late_or_never_is_lost_unless_its_client_has_left() {
    let mut checker = invariants();
    for id in 0..4 {
        checker.accepted(request(3, id), SECOND, Idempotency::Idempotent);
    }
    checker.answered(SECOND + 20_000, request(3, 0), false);
    checker.answered(SECOND + 20_001, request(3, 1), true);
    checker.client_gone(SECOND, request(3, 2));
    checker.finish(2 * SECOND);
    assert_eq!(
        violations(&checker),
        [
            ViolationKind::Lost(request(3, 1)),
            ViolationKind::Lost(request(3, 3))
        ]
    );
    assert_eq!(
        checker.violations()[0].to_string(),
        "1.020 s: lost: node 3 gave request 1 no final answer in time"
    );
    let mut with_killed_node = invariants();
    with_killed_node.accepted(REQUEST, SECOND, Idempotency::Idempotent);
    with_killed_node.killed(3);
    with_killed_node.finish(2 * SECOND);
    assert_eq!(
        violations(&with_killed_node),
        [],
        "the clients of a killed node retry"
    );
}

#[test]
fn a_paused_node_learns_which_clients_left_only_when_it_resumes() {
    // The grace of 100 ms after the client left starts when the node resumes.
    for (sent_at, allowed) in [(2 * SECOND + 100_000, true), (2 * SECOND + 100_001, false)] {
        let mut checker = invariants();
        checker.accepted(REQUEST, SECOND, Idempotency::Idempotent);
        checker.paused(SECOND / 2, 3);
        checker.client_gone(SECOND, REQUEST);
        checker.resumed(2 * SECOND, 3);
        checker.sent(sent_at, REQUEST, 0, 7);
        assert_eq!(
            violations(&checker).is_empty(),
            allowed,
            "sent at {sent_at}"
        );
    }
    let mut checker = invariants();
    checker.accepted(REQUEST, SECOND, Idempotency::Idempotent);
    checker.client_gone(SECOND, REQUEST);
    checker.paused(3 * SECOND / 2, 3);
    checker.resumed(2 * SECOND, 3);
    checker.sent(2 * SECOND, REQUEST, 0, 7);
    assert_eq!(
        violations(&checker),
        [ViolationKind::SentAfterEnd(REQUEST)],
        "the client had left before the pause"
    );
}

#[test]
fn a_paused_node_must_answer_within_the_grace_after_it_resumes() {
    let violations_if_answered = |resumed_at: u64, answered_at: u64| {
        let mut checker = Invariants::default();
        checker.accepted(REQUEST, SECOND, Idempotency::Idempotent);
        checker.paused(SECOND / 2, 3);
        checker.resumed(resumed_at, 3);
        checker.answered(answered_at, REQUEST, true);
        violations(&checker)
    };
    assert_eq!(violations_if_answered(3 * SECOND, 3_500_000), []);
    let lost = [ViolationKind::Lost(REQUEST)];
    assert_eq!(
        violations_if_answered(3 * SECOND, 3_500_001),
        lost,
        "a pause does not release the node from answering"
    );
    assert_eq!(
        violations_if_answered(600_000, 1_500_001),
        lost,
        "a pause that ends before the deadline does not extend the time limit"
    );
    let mut checker = Invariants::default();
    checker.accepted(REQUEST, SECOND, Idempotency::Idempotent);
    checker.paused(2 * SECOND, 3);
    checker.resumed(3 * SECOND, 3);
    checker.answered(3 * SECOND, REQUEST, true);
    assert_eq!(
        violations(&checker),
        lost,
        "the answer was overdue before the pause"
    );
}

#[test]
fn an_answer_up_to_half_a_second_after_the_deadline_is_no_violation_and_a_later_one_is_lost() {
    for (answered_at, allowed) in [(1_500_000, true), (1_500_001, false)] {
        let mut checker = Invariants::default();
        checker.accepted(REQUEST, SECOND, Idempotency::Idempotent);
        checker.answered(answered_at, REQUEST, false);
        assert_eq!(violations(&checker).is_empty(), allowed, "at {answered_at}");
    }
}

#[test]
fn an_attempt_more_than_a_tenth_of_a_second_after_the_client_closed_is_reported() {
    for (sent_at, allowed) in [(400_000, true), (400_001, false)] {
        let mut checker = Invariants::default();
        checker.accepted(REQUEST, SECOND, Idempotency::Idempotent);
        checker.client_gone(300_000, REQUEST);
        checker.answered(310_000, REQUEST, false);
        checker.sent(sent_at, REQUEST, 0, 1);
        assert_eq!(violations(&checker).is_empty(), allowed, "at {sent_at}");
    }
    let mut checker = Invariants::default();
    checker.sent_untracked_request(SECOND, REQUEST);
    assert_eq!(violations(&checker), [ViolationKind::SentAfterEnd(REQUEST)]);
}

#[test]
fn an_attempt_may_overstate_the_remaining_time_to_its_server_by_at_most_the_slack() {
    // The slack is 150 ms.
    let mut checker = Invariants::default();
    checker.accepted(REQUEST, SECOND, Idempotency::Idempotent);
    checker.attempt_stated_deadline(0, REQUEST, SECOND);
    checker.attempt_stated_deadline(400_000, REQUEST, 750_000);
    assert_eq!(violations(&checker), []);
    checker.attempt_stated_deadline(400_000, REQUEST, 750_001);
    let request = REQUEST;
    let excess = 150_001;
    assert_eq!(
        violations(&checker),
        [ViolationKind::DeadlineOverstated { request, excess }]
    );
}

#[test]
fn a_request_that_its_node_aborts_is_reported_as_lost_exactly_once() {
    let mut checker = invariants();
    checker.accepted(REQUEST, SECOND, Idempotency::Idempotent);
    checker.aborted(10, REQUEST);
    checker.aborted(20, REQUEST);
    checker.finish(2 * SECOND);
    assert_eq!(violations(&checker), [ViolationKind::Lost(REQUEST)]);
    let mut already_answered = invariants();
    already_answered.accepted(REQUEST, SECOND, Idempotency::Idempotent);
    already_answered.answered(10, REQUEST, false);
    already_answered.aborted(20, REQUEST);
    assert_eq!(
        violations(&already_answered),
        [],
        "an answered request is not lost"
    );
}

#[test]
fn an_attempt_sent_after_the_end_of_its_request_is_reported() {
    let mut checker = invariants();
    checker.accepted(REQUEST, SECOND, Idempotency::Idempotent);
    checker.sent(10, REQUEST, 0, 1);
    checker.answered(20, REQUEST, false);
    checker.sent(30, REQUEST, 1, 2);
    assert_eq!(violations(&checker), [ViolationKind::SentAfterEnd(REQUEST)]);
    // An attempt that was in flight when its request was answered is no violation within the grace period. It still
    // counts as an attempt that may have run.
    let mut checker = Invariants::new(InvariantLimits {
        in_flight_grace: 50,
        ..InvariantLimits::default()
    });
    checker.accepted(REQUEST, SECOND, Idempotency::NotIdempotent);
    checker.sent(10, REQUEST, 0, 1);
    checker.answered(20, REQUEST, false);
    checker.sent(69, REQUEST, 1, 2);
    assert_eq!(
        violations(&checker),
        [ViolationKind::PossibleDuplicate(REQUEST)]
    );
    checker.never_ran(REQUEST, 0);
    checker.never_ran(REQUEST, 1);
    checker.sent(70, REQUEST, 2, 2);
    assert_eq!(
        violations(&checker),
        [
            ViolationKind::PossibleDuplicate(REQUEST),
            ViolationKind::SentAfterEnd(REQUEST)
        ]
    );
}

#[test]
fn a_request_that_is_not_idempotent_may_be_retried_only_if_no_attempt_ran() {
    let mut checker = invariants();
    checker.accepted(REQUEST, SECOND, Idempotency::NotIdempotent);
    checker.sent(10, REQUEST, 0, 1);
    checker.never_ran(REQUEST, 0);
    checker.sent(20, REQUEST, 1, 1);
    assert_eq!(violations(&checker), []);
    checker.sent(30, REQUEST, 2, 1);
    checker.answered(40, REQUEST, true);
    assert_eq!(
        violations(&checker),
        [
            ViolationKind::PossibleDuplicate(REQUEST),
            ViolationKind::FalseRejection(REQUEST)
        ]
    );
}

#[test]
fn a_request_with_an_idempotency_key_may_be_retried_only_within_its_window_and_may_be_rejected() {
    let mut checker = invariants();
    let window = 2 * SECOND;
    checker.accepted(REQUEST, 9 * SECOND, Idempotency::Deduplicated { window });
    checker.sent(0, REQUEST, 0, 1);
    checker.sent(2 * SECOND, REQUEST, 1, 1);
    assert_eq!(violations(&checker), []);
    checker.sent(2 * SECOND + 1, REQUEST, 2, 1);
    checker.answered(3 * SECOND, REQUEST, true);
    assert_eq!(
        violations(&checker),
        [ViolationKind::PossibleDuplicate(REQUEST)]
    );
}

#[test]
fn the_drain_grace_counts_from_the_notice_or_from_six_seconds_after_discovery_knew_of_the_drain() {
    // Node 3 is notified, node 4 is not. The drain grace is 550 ms.
    let other = request(4, 1);
    let mut checker = invariants();
    checker.discovery_learned_readiness(SECOND, 8, false);
    checker.node_notified(2 * SECOND, 3, 8, false);
    checker.sent(2 * SECOND + 550_000, REQUEST, 0, 8);
    checker.sent(7 * SECOND + 550_000, other, 0, 8);
    assert_eq!(violations(&checker), []);
    checker.sent(2 * SECOND + 550_001, REQUEST, 1, 8);
    checker.sent(7 * SECOND + 600_000, other, 1, 8);
    let drained = |node, after| ViolationKind::SentAfterDrainNotice {
        node,
        server: 8,
        after,
    };
    assert_eq!(
        violations(&checker),
        [drained(3, 550_001), drained(4, 600_000)]
    );
    checker.discovery_learned_readiness(8 * SECOND, 8, true);
    checker.node_notified(8 * SECOND, 3, 8, true);
    checker.sent(9 * SECOND, REQUEST, 2, 8);
    checker.sent(20 * SECOND, other, 2, 8);
    assert_eq!(checker.violations().len(), 2, "the server is ready again");
}

#[test]
fn a_change_counts_as_notified_six_seconds_after_it_became_available_from_discovery() {
    // Discovery learns of the drain of server 7 before its outage, and of the drain of server 8 and the start of server
    // 9 during the outage. The results are the number of violations for each drain and whether the start counts as
    // notified.
    let results_at = |now| {
        let mut checker = Invariants::default();
        checker.discovery_learned_readiness(SECOND, 7, false);
        checker.discovery_reachable(2 * SECOND, false);
        checker.discovery_learned_readiness(3 * SECOND, 8, false);
        checker.discovery_learned_readiness(3 * SECOND, 9, true);
        checker.discovery_reachable(10 * SECOND, true);
        checker.sent(now, REQUEST, 0, 7);
        let before_outage = checker.violations().len();
        checker.sent(now, REQUEST, 0, 8);
        let in_outage = checker.violations().len() - before_outage;
        let start_is_notified = checker.start_counts_as_notified(now, 9);
        (before_outage, in_outage, start_is_notified)
    };
    assert_eq!(results_at(7 * SECOND + 550_000), (0, 0, false));
    assert_eq!(results_at(7 * SECOND + 550_001), (1, 0, false));
    assert_eq!(results_at(16 * SECOND - 1), (1, 0, false));
    assert_eq!(results_at(16 * SECOND), (1, 0, true));
    assert_eq!(results_at(16 * SECOND + 550_001), (1, 1, true));
}

#[test]
fn a_collapse_is_a_violation_if_over_two_thirds_of_the_load_came_from_senders_who_knew_of_the_start()
 {
    let collapse = |notified_share| Collapse {
        at: 5 * SECOND,
        age_at_collapse: SECOND,
        load_multiple: 2.6,
        notified_share,
    };
    let mut checker = invariants();
    checker.server_collapsed(8, collapse(0.66));
    checker.server_collapsed(8, collapse(2.0 / 3.0));
    assert_eq!(violations(&checker), []);
    checker.server_collapsed(8, collapse(0.67));
    let overloaded = ViolationKind::Overloaded {
        server: 8,
        collapse: collapse(0.67),
    };
    assert_eq!(violations(&checker), [overloaded]);
    assert_eq!(
        checker.violations()[0].to_string(),
        "5.000 s: failback: server 8 fell over 1.0 s after its start, sent 2.6 times what it could do"
    );
}
