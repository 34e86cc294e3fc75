//! Tolerances of the invariants.

use crate::Micros;

/// Tolerances of the invariants. Times are in microseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct InvariantLimits {
    /// An answer still counts this long after the request's deadline.
    pub answer_grace: Micros,
    /// An attempt that was sent before the request ended may still arrive for this long.
    pub sent_grace: Micros,
    /// Attempts at a server must end within this time of the notice that it drains or is gone.
    pub drain_grace: Micros,
    /// A node counts as notified this long after a change was known, whether it was notified or not.
    pub notified_after: Micros,
    /// A collapse is a violation if more than this fraction of the load came from senders who knew of the start.
    pub informed_share: f64,
}

impl Default for InvariantLimits {
    fn default() -> Self {
        InvariantLimits {
            answer_grace: 70_000,
            sent_grace: 0,
            drain_grace: 550_000,
            notified_after: 6_000_000,
            informed_share: 2.0 / 3.0,
        }
    }
}
