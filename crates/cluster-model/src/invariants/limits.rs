//! Tolerances of the invariants.

use crate::Micros;

/// Tolerances of the invariants. Times are in microseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct InvariantLimits {
    /// A final answer may come this long after the request's deadline; it only earns nothing then.
    pub answer_grace: Micros,
    /// An attempt that was sent before its request was answered may still arrive for this long.
    pub sent_grace: Micros,
    /// An attempt may begin this long after the request's client has closed its connection or cancelled.
    pub client_gone_grace: Micros,
    /// An attempt may tell its server this much more time than is left until the deadline.
    pub told_deadline_slack: Micros,
    /// Attempts at a server must end within this time of the notice that it drains or is gone.
    pub drain_grace: Micros,
    /// A node counts as notified this long after discovery knew of a change and could be reached.
    pub notified_after: Micros,
    /// A collapse is a violation if more than this fraction of the load came from senders who knew of the start.
    pub informed_share: f64,
}

impl Default for InvariantLimits {
    fn default() -> Self {
        InvariantLimits {
            answer_grace: 500_000,
            sent_grace: 0,
            client_gone_grace: 100_000,
            told_deadline_slack: 150_000,
            drain_grace: 550_000,
            notified_after: 6_000_000,
            informed_share: 2.0 / 3.0,
        }
    }
}
