//! Each rule broken on purpose is reported, and what keeps it is not.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use cluster_model::rules::{Broken, Effect, Figures, Rules};
use cluster_model::server::Fall;

const R: (u32, u64) = (3, 17);
const SECOND: u64 = 1_000_000;

fn rules() -> Rules {
    Rules::new(Figures {
        answer_grace: 20_000,
        ..Figures::default()
    })
}

fn broken(rules: &Rules) -> Vec<Broken> {
    rules
        .breaks()
        .iter()
        .map(|broken| broken.what.clone())
        .collect()
}

#[test]
fn a_request_that_is_answered_late_or_never_is_lost_and_one_in_time_or_whose_client_went_is_not() {
    let mut all = rules();
    for id in 0..4 {
        all.taken((3, id), SECOND, Effect::Pure);
    }
    all.answered(SECOND + 20_000, (3, 0), false);
    all.answered(SECOND + 20_001, (3, 1), true);
    all.client_gone(SECOND, (3, 2));
    all.end(2 * SECOND);
    assert_eq!(broken(&all), [Broken::Lost((3, 1)), Broken::Lost((3, 3))]);
    let told = all.breaks()[0].to_string();
    assert_eq!(
        told,
        "1.020 s: lost: node 3 gave request 1 no final answer in time"
    );
    let mut killed = rules();
    killed.taken(R, SECOND, Effect::Pure);
    killed.killed(3);
    killed.end(2 * SECOND);
    assert_eq!(broken(&killed), [], "its client asks again");
}

#[test]
fn a_stopped_node_learns_of_its_clients_that_left_when_it_goes_on_and_not_before() {
    let figures = Figures {
        answer_grace: 20_000,
        sent_grace: 50_000,
        ..Figures::default()
    };
    for (sent, kept) in [(2 * SECOND + 49_999, true), (2 * SECOND + 50_000, false)] {
        let mut all = Rules::new(figures.clone());
        all.taken(R, SECOND, Effect::Pure);
        all.stopped(SECOND / 2, 3);
        all.client_gone(SECOND, R);
        all.went_on(2 * SECOND, 3);
        all.sent(sent, R, 0, 7);
        assert_eq!(broken(&all).is_empty(), kept, "sent at {sent}");
    }
    let mut all = Rules::new(figures.clone());
    all.taken(R, SECOND, Effect::Pure);
    all.client_gone(SECOND, R);
    all.stopped(3 * SECOND / 2, 3);
    all.went_on(2 * SECOND, 3);
    all.sent(2 * SECOND, R, 0, 7);
    assert_eq!(
        broken(&all),
        [Broken::SentAfterEnd(R)],
        "it had left before"
    );
}

#[test]
fn a_request_whose_node_breaks_it_off_is_lost_at_once_and_only_once() {
    let mut all = rules();
    all.taken(R, SECOND, Effect::Pure);
    all.broken_off(10, R);
    all.broken_off(20, R);
    all.end(2 * SECOND);
    assert_eq!(broken(&all), [Broken::Lost(R)]);
    let mut answered = rules();
    answered.taken(R, SECOND, Effect::Pure);
    answered.answered(10, R, false);
    answered.broken_off(20, R);
    assert_eq!(broken(&answered), [], "what it answered is not lost");
}

#[test]
fn a_send_after_the_end_is_reported() {
    let mut all = rules();
    all.taken(R, SECOND, Effect::Pure);
    all.sent(10, R, 0, 1);
    all.answered(20, R, false);
    all.sent(30, R, 1, 2);
    assert_eq!(broken(&all), [Broken::SentAfterEnd(R)]);
    // What was on its way is forgiven for as long as is stated, and still counts for what must not run twice.
    let mut all = Rules::new(Figures {
        sent_grace: 50,
        ..Figures::default()
    });
    all.taken(R, SECOND, Effect::Once);
    all.sent(10, R, 0, 1);
    all.answered(20, R, false);
    all.sent(69, R, 1, 2);
    assert_eq!(broken(&all), [Broken::Twice(R)]);
    all.never_ran(R, 0);
    all.never_ran(R, 1);
    all.sent(70, R, 2, 2);
    assert_eq!(broken(&all), [Broken::Twice(R), Broken::SentAfterEnd(R)]);
}

#[test]
fn what_must_not_run_twice_goes_out_again_only_when_it_never_ran() {
    let mut all = rules();
    all.taken(R, SECOND, Effect::Once);
    all.sent(10, R, 0, 1);
    all.never_ran(R, 0);
    all.sent(20, R, 1, 1);
    assert_eq!(broken(&all), []);
    all.sent(30, R, 2, 1);
    all.answered(40, R, true);
    assert_eq!(
        broken(&all),
        [Broken::Twice(R), Broken::RefusedThoughRun(R)]
    );
}

#[test]
fn a_keyed_request_is_repeated_within_its_window_only_and_may_be_refused() {
    let mut all = rules();
    all.taken(R, 9 * SECOND, Effect::Keyed(2 * SECOND));
    all.sent(0, R, 0, 1);
    all.sent(2 * SECOND, R, 1, 1);
    assert_eq!(broken(&all), []);
    all.sent(2 * SECOND + 1, R, 2, 1);
    all.answered(3 * SECOND, R, true);
    assert_eq!(broken(&all), [Broken::Twice(R)]);
}

#[test]
fn a_send_to_a_drained_server_counts_from_when_its_node_was_told_or_six_seconds_after_it_was_known()
{
    let mut all = rules();
    all.known(SECOND, 8, false);
    all.told(2 * SECOND, 3, 8, false);
    all.sent(2 * SECOND + 550_000, R, 0, 8);
    all.sent(7 * SECOND + 550_000, (4, 1), 0, 8);
    assert_eq!(broken(&all), []);
    all.sent(2 * SECOND + 550_001, R, 1, 8);
    all.sent(7 * SECOND + 600_000, (4, 1), 1, 8);
    assert_eq!(
        broken(&all),
        [Broken::Drain(3, 8, 550_001), Broken::Drain(4, 8, 600_000)]
    );
    all.known(8 * SECOND, 8, true);
    all.told(8 * SECOND, 3, 8, true);
    all.sent(9 * SECOND, R, 2, 8);
    all.sent(20 * SECOND, (4, 1), 2, 8);
    assert_eq!(all.breaks().len(), 2, "it is back");
}

#[test]
fn a_fall_is_a_break_where_two_thirds_of_the_load_came_from_those_who_knew() {
    let fall = |knew| Fall {
        at: 5 * SECOND,
        age: SECOND,
        multiple: 2.6,
        knew,
    };
    let mut all = rules();
    all.fell(8, fall(0.66));
    assert_eq!(broken(&all), []);
    all.fell(8, fall(0.67));
    assert_eq!(broken(&all), [Broken::PushedOver(8, fall(0.67))]);
    let told = all.breaks()[0].to_string();
    assert_eq!(
        told,
        "5.000 s: failback: server 8 fell over 1.0 s after its start, sent 2.6 times what it could do"
    );
}
