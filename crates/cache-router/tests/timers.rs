//! The timer queue of the event loop.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use cache_router::event_loop::timers::{Timer, TimerQueue};
use cache_router::lifecycle::ShutdownStep;
use cache_router::message::AttemptId;
use routing_policy::RequestId;

#[test]
fn timers_are_due_in_the_order_of_their_times_and_not_earlier() {
    let mut queue = TimerQueue::default();
    queue.schedule(20, Timer::Policy(2));
    queue.schedule(10, Timer::Policy(1));
    assert_eq!(queue.next_due_at(), Some(10));
    assert_eq!(queue.pop_due(9), None);
    assert_eq!(queue.pop_due(20), Some(Timer::Policy(1)));
    assert_eq!(queue.pop_due(20), Some(Timer::Policy(2)));
    assert_eq!(queue.pop_due(20), None);
    assert_eq!(queue.next_due_at(), None);
}

#[test]
fn obsolete_timers_are_removed_and_the_others_stay_in_order() {
    // Guards against a queue that grows with each request that has ended, until its deadline.
    let mut queue = TimerQueue::default();
    let mut longest = 0;
    for request in 0..100_000 {
        queue.schedule(1_000_000 - request, Timer::RequestDeadline(request));
        let is_in_flight = |other: RequestId| other + 10 > request;
        queue.remove_obsolete(|timer| match timer {
            Timer::RequestDeadline(other) => is_in_flight(*other),
            _ => true,
        });
        longest = longest.max(queue.len());
    }
    assert!(longest <= 1_024, "{longest} timers");
    let mut due = std::iter::from_fn(|| queue.pop_due(2_000_000));
    assert_eq!(due.next(), Some(Timer::RequestDeadline(99_999)));
    assert_eq!(due.next(), Some(Timer::RequestDeadline(99_998)));
}

#[test]
fn timers_due_at_the_same_time_have_a_fixed_order() {
    let attempt = AttemptId {
        request: 1,
        number: 0,
    };
    let waiting_since = 0;
    let in_order = [
        Timer::Policy(7),
        Timer::AttemptTimeout(attempt),
        Timer::AttemptTimeout(AttemptId {
            number: 1,
            ..attempt
        }),
        Timer::ExtraConnection {
            attempt,
            waiting_since,
        },
        Timer::ConnectTimeout {
            attempt,
            waiting_since,
        },
        Timer::AbandonedResponse {
            connection: 1,
            sent_at: 0,
        },
        Timer::RequestDeadline(1),
        Timer::SweepConnections,
        Timer::Shutdown(ShutdownStep::Drain),
        Timer::Shutdown(ShutdownStep::Close),
        Timer::Shutdown(ShutdownStep::CheckFinished),
    ];
    let mut queue = TimerQueue::default();
    for timer in in_order.into_iter().rev() {
        queue.schedule(10, timer);
    }
    for expected in in_order {
        assert_eq!(queue.pop_due(10), Some(expected));
    }
}
