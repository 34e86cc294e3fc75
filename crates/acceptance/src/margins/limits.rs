//! The limits of the operators' rules, as their present page states them.

use crate::trace::Micros;

/// A change counts as notified this long after discovery had it and could be reached.
pub(super) const NOTIFIED_AFTER: Micros = 6_000_000;
/// A final answer counts as lost this long after its request's deadline.
pub(super) const ANSWER_LOST_AFTER: Micros = 500_000;
/// Time limits of the older rules are longer by this where the test runs on sockets.
pub(super) const SOCKET_ALLOWANCE: Micros = 50_000;
/// No attempt may begin later than this after its client has departed.
pub(super) const DEPARTURE_GRACE: Micros = 100_000;
/// An attempt may state at most this much more than is left to its client.
pub(super) const STATED_DEADLINE_SLACK: Micros = 150_000;
/// Nine in ten restarted processes are ready within this time ...
pub(super) const READY_IN_TIME: Micros = 10_000_000;
/// ... or within this one, where the day ends sooner.
pub(super) const READY_IN_TIME_AT_DAY_END: Micros = 6_000_000;
/// The part of the restarted processes that may be ready later than that.
pub(super) const READY_LATE_SHARE: f64 = 0.1;
/// No process may take longer than this to be ready.
pub(super) const READY_AT_LATEST: Micros = 30_000_000;
/// A request that came more than this after SIGTERM has to be answered before SIGKILL.
pub(super) const ANSWERED_BEFORE_KILL_FROM: Micros = 700_000;

/// From this many requests on the slow-start budget leaves less room for chance.
const LARGE_ALLOWANCE: f64 = 30.0;

/// The slow-start budget: with more requests than this in the window of the settings, all nodes together, a server that
/// is warming up collapses. `allowed` is the number that the settings allow it then.
pub(super) fn slow_start_budget(allowed: f64) -> f64 {
    if allowed < LARGE_ALLOWANCE {
        allowed + 3.0 * allowed.sqrt() + 3.0
    } else {
        allowed + 2.0 * allowed.sqrt() + 2.0
    }
}

/// Whether so many of some attempts from notified nodes make them answerable for a collapse: over two thirds.
pub(super) fn is_blamed_on_notified(notified_attempts: usize, attempts: usize) -> bool {
    notified_attempts * 3 > attempts * 2
}
