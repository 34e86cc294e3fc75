//! The phases of the router's lifecycle and the deadlines of its shutdown.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use cache_router::lifecycle::{
    FINAL_WRITE_TIME, KILL_GRACE_PERIOD, Lifecycle, LifecyclePhase, MAX_KILL_DEADLINE, ShutdownStep,
};
use routing_policy::Micros;
use tokio::sync::watch;

/// The longest deadline of a request class.
const LONGEST_DEADLINE: Micros = 2_000_000;
/// The longest time for which the process may be suspended, according to the operators.
const MAX_SUSPENSION: Micros = 150_000;
/// When the router is told to shut down.
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
    assert_eq!(
        *phase.borrow(),
        LifecyclePhase::Ready,
        "unchanged until it drains"
    );
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
fn a_second_shutdown_signal_changes_no_deadline() {
    let (mut lifecycle, _phase) = lifecycle();
    lifecycle.begin_shutdown(TERMINATED_AT).unwrap();
    let reply_by = lifecycle.reply_by();
    assert_eq!(lifecycle.begin_shutdown(TERMINATED_AT + 1_000), None);
    assert_eq!(lifecycle.reply_by(), reply_by);
}

#[test]
fn a_shutdown_limits_the_deadlines_of_requests() {
    let (mut lifecycle, _phase) = lifecycle();
    let distant_deadline = TERMINATED_AT + 60_000_000;
    assert_eq!(lifecycle.limit_deadline(distant_deadline), distant_deadline);
    lifecycle.begin_shutdown(TERMINATED_AT).unwrap();
    let end_by = lifecycle.end_by().unwrap();
    // The router's own time limit after the longest deadline is shorter than the platform's before the kill.
    assert!(end_by < TERMINATED_AT + LONGEST_DEADLINE + KILL_GRACE_PERIOD);
    assert_eq!(
        lifecycle.limit_deadline(distant_deadline),
        end_by - FINAL_WRITE_TIME
    );
    // The router exits only after the time for writing the last replies.
    lifecycle.close(end_by - FINAL_WRITE_TIME);
    assert!(!lifecycle.is_past_end(end_by - 1));
    assert!(lifecycle.is_past_end(end_by));
}

#[test]
fn the_last_replies_of_a_shutdown_are_written_before_the_kill_even_after_a_suspension() {
    for longest_deadline in [100_000, 500_000, 1_000_000, 3_000_000, 3_100_000, 8_000_000] {
        let mut lifecycle =
            Lifecycle::new(watch::channel(LifecyclePhase::Ready).0, longest_deadline);
        lifecycle.begin_shutdown(TERMINATED_AT).unwrap();
        let killed_at = TERMINATED_AT + longest_deadline.min(MAX_KILL_DEADLINE) + KILL_GRACE_PERIOD;
        let reply_by = lifecycle.reply_by().unwrap();
        assert!(reply_by + MAX_SUSPENSION + FINAL_WRITE_TIME <= killed_at);
        // A request that arrives while connections are still accepted has its full deadline, up to the limit that the
        // platform counts.
        let last_accepted = TERMINATED_AT + 400_000;
        let counted_deadline = longest_deadline.min(MAX_KILL_DEADLINE);
        assert!(
            reply_by >= last_accepted + counted_deadline,
            "{longest_deadline}"
        );
    }
}

#[test]
fn a_router_suspended_beyond_the_end_of_its_shutdown_still_writes_its_last_replies() {
    let (mut lifecycle, _phase) = lifecycle();
    lifecycle.begin_shutdown(TERMINATED_AT).unwrap();
    let late = lifecycle.end_by().unwrap() + MAX_SUSPENSION;
    assert!(!lifecycle.is_past_end(late), "its replies are still owed");
    lifecycle.close(late);
    assert!(!lifecycle.is_past_end(late + FINAL_WRITE_TIME - 1));
    assert!(lifecycle.is_past_end(late + FINAL_WRITE_TIME));
}
