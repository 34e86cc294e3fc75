//! The limits of the operators' rules, from the current version of the rules.

use crate::trace::Micros;

/// Nodes count as notified of a change this long after discovery had it and was reachable.
pub(super) const COUNTS_AS_NOTIFIED_AFTER_US: Micros = 6_000_000;
/// A request counts as lost if its final answer comes later than this after its deadline.
pub(super) const ANSWER_LOST_AFTER_US: Micros = 500_000;
/// The time limits of the older rules are extended by this when the test runs on sockets.
pub(super) const SOCKET_ALLOWANCE_US: Micros = 50_000;
/// No attempt may begin later than this after its client disconnected.
pub(super) const DISCONNECT_GRACE_US: Micros = 100_000;
/// The deadline that an attempt states may exceed the time left to its client by at most this much.
pub(super) const STATED_DEADLINE_SLACK_US: Micros = 150_000;
/// Nine in ten restarted processes must be ready within this time.
pub(super) const READY_TIME_LIMIT_US: Micros = 10_000_000;
/// Replaces [`READY_TIME_LIMIT_US`] for processes that were launched less than that before the end of the day.
pub(super) const READY_TIME_LIMIT_AT_DAY_END_US: Micros = 6_000_000;
/// Share of the restarted processes that may be ready later than the limit.
pub(super) const MAX_LATE_READY_SHARE: f64 = 0.1;
/// Every restarted process must be ready within this time.
pub(super) const MAX_READY_TIME_US: Micros = 30_000_000;
/// A request that is received more than this after SIGTERM must be answered before SIGKILL.
pub(super) const ANSWER_REQUIRED_AFTER_SIGTERM_US: Micros = 700_000;

/// From this many requests on, the slow-start budget has a smaller allowance for random variation.
const LARGE_REQUEST_COUNT: f64 = 30.0;

/// The slow-start budget: a server that is warming up collapses if all nodes together send it more requests than this
/// within the window of the settings. `allowed` is the number of requests that the settings allow at that time.
pub(super) fn slow_start_budget(allowed: f64) -> f64 {
    if allowed < LARGE_REQUEST_COUNT {
        allowed + 3.0 * allowed.sqrt() + 3.0
    } else {
        allowed + 2.0 * allowed.sqrt() + 2.0
    }
}

/// Whether more than two thirds of the attempts came from notified nodes. Only then does the load on the server count
/// against the nodes.
pub(super) fn is_mostly_from_notified_nodes(notified_attempts: usize, attempts: usize) -> bool {
    notified_attempts * 3 > attempts * 2
}
