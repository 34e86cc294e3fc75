//! Tolerances of the invariants.

use crate::Micros;

/// Tolerances of the invariants. Times are in microseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct InvariantLimits {
    /// A final answer may arrive this long after the request's deadline. It is worth nothing then, but is no violation.
    pub answer_grace: Micros,
    /// An attempt that was sent before its request was answered may be observed up to this long after the answer.
    pub in_flight_grace: Micros,
    /// An attempt may start up to this long after the request's client has closed its connection or cancelled.
    pub client_gone_grace: Micros,
    /// An attempt may overstate the time that is left until the deadline by this much.
    pub deadline_slack: Micros,
    /// A node must stop sending attempts to a server within this time of the notice that it drains or was removed.
    pub drain_grace: Micros,
    /// A node counts as notified of a change this long after discovery both knew of it and was reachable.
    pub notified_after: Micros,
    /// A collapse is a violation if more than this fraction of the load came from senders who knew of the server's
    /// start.
    pub max_notified_share: f64,
}

impl Default for InvariantLimits {
    fn default() -> Self {
        InvariantLimits {
            answer_grace: 500_000,
            in_flight_grace: 0,
            client_gone_grace: 100_000,
            deadline_slack: 150_000,
            drain_grace: 550_000,
            notified_after: 6_000_000,
            max_notified_share: 2.0 / 3.0,
        }
    }
}
