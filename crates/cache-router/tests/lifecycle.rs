//! The phases of the router's life and the deadlines of its shutdown.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use cache_router::lifecycle::{
    FINAL_WRITE_TIME, KILL_LONGEST_DEADLINE, KILL_SLACK, Lifecycle, LifecyclePhase, ShutdownStep,
};
use routing_policy::Micros;
use tokio::sync::watch;

/// The longest deadline of a request class.
const LONGEST_DEADLINE: Micros = 2_000_000;
/// The operators' longest time for which the process may be held up.
const LONGEST_HOLD_UP: Micros = 150_000;
/// When the router is asked to shut down.
const TERMINATED_AT: Micros = 1_000_000_000;

fn lifecycle() -> (Lifecycle, watch::Receiver<LifecyclePhase>) {
    let (phase, receiver) = watch::channel(LifecyclePhase::Starting);
    (Lifecycle::new(phase, LONGEST_DEADLINE), receiver)
}

#[test]
fn a_router_becomes_ready_drains_and_closes_in_this_order() {
    let (mut lifecycle, phase) = lifecycle();
    assert!(!lifecycle.has_been_ready());
    lifecycle.become_ready();
    assert!(lifecycle.has_been_ready());
    assert_eq!(*phase.borrow(), LifecyclePhase::Ready);
    let mut steps = lifecycle.begin_shutdown(TERMINATED_AT).unwrap();
    steps.sort_by_key(|scheduled| scheduled.at);
    assert_eq!(
        steps.map(|scheduled| scheduled.step),
        [
            ShutdownStep::Drain,
            ShutdownStep::CheckFinished,
            ShutdownStep::Close
        ]
    );
    assert_eq!(*phase.borrow(), LifecyclePhase::Ready, "until it drains");
    lifecycle.drain();
    assert_eq!(*phase.borrow(), LifecyclePhase::Draining);
    lifecycle.close(TERMINATED_AT);
    assert_eq!(*phase.borrow(), LifecyclePhase::Closing);
}

#[test]
fn a_router_that_shuts_down_does_not_become_ready() {
    let (mut lifecycle, phase) = lifecycle();
    lifecycle.begin_shutdown(TERMINATED_AT).unwrap();
    lifecycle.drain();
    lifecycle.become_ready();
    assert_eq!(*phase.borrow(), LifecyclePhase::Draining);
}

#[test]
fn a_second_request_to_shut_down_changes_no_deadline() {
    let (mut lifecycle, _phase) = lifecycle();
    lifecycle.begin_shutdown(TERMINATED_AT).unwrap();
    let reply_by = lifecycle.reply_by();
    assert_eq!(lifecycle.begin_shutdown(TERMINATED_AT + 1_000), None);
    assert_eq!(lifecycle.reply_by(), reply_by);
}

#[test]
fn a_shutdown_limits_the_deadlines_of_requests_to_its_last_time_for_replies() {
    let (mut lifecycle, _phase) = lifecycle();
    let far = TERMINATED_AT + 60_000_000;
    assert_eq!(lifecycle.limit_deadline(far), far);
    lifecycle.begin_shutdown(TERMINATED_AT).unwrap();
    let end_by = lifecycle.end_by().unwrap();
    // The slack before the end is shorter than the platform's before it kills.
    assert!(end_by < TERMINATED_AT + LONGEST_DEADLINE + KILL_SLACK);
    assert_eq!(lifecycle.limit_deadline(far), end_by - FINAL_WRITE_TIME);
    // Its end comes after the last replies, which it gives before that.
    lifecycle.close(end_by - FINAL_WRITE_TIME);
    assert!(!lifecycle.is_past_end(end_by - 1));
    assert!(lifecycle.is_past_end(end_by));
}

#[test]
fn the_last_replies_of_a_shutdown_come_before_the_kill_also_if_the_router_is_held_up() {
    for longest_deadline in [100_000, 500_000, 1_000_000, 3_000_000, 3_100_000, 8_000_000] {
        let mut lifecycle =
            Lifecycle::new(watch::channel(LifecyclePhase::Ready).0, longest_deadline);
        lifecycle.begin_shutdown(TERMINATED_AT).unwrap();
        let killed_at = TERMINATED_AT + longest_deadline.min(KILL_LONGEST_DEADLINE) + KILL_SLACK;
        let reply_by = lifecycle.reply_by().unwrap();
        assert!(reply_by + LONGEST_HOLD_UP + FINAL_WRITE_TIME <= killed_at);
        // What comes while connections are still accepted has its whole time, up to what the platform counts.
        let last_accepted = TERMINATED_AT + 400_000;
        let whole_time = longest_deadline.min(KILL_LONGEST_DEADLINE);
        assert!(reply_by >= last_accepted + whole_time, "{longest_deadline}");
    }
}

#[test]
fn a_router_held_up_through_the_end_of_its_shutdown_still_writes_its_last_replies() {
    let (mut lifecycle, _phase) = lifecycle();
    lifecycle.begin_shutdown(TERMINATED_AT).unwrap();
    let late = lifecycle.end_by().unwrap() + LONGEST_HOLD_UP;
    assert!(!lifecycle.is_past_end(late), "its replies are still owed");
    lifecycle.close(late);
    assert!(!lifecycle.is_past_end(late + FINAL_WRITE_TIME - 1));
    assert!(lifecycle.is_past_end(late + FINAL_WRITE_TIME));
}
