//! The phases of the router's life and the deadlines of its shutdown.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use cache_router::lifecycle::{
    FINAL_WRITE_TIME, KILL_SLACK, Lifecycle, LifecyclePhase, ShutdownStep,
};
use routing_policy::Micros;
use tokio::sync::watch;

/// The longest deadline of a request class.
const LONGEST_DEADLINE: Micros = 2_000_000;
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
    lifecycle.close();
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
    assert!(!lifecycle.is_past_end(end_by - 1));
    assert!(lifecycle.is_past_end(end_by));
}
