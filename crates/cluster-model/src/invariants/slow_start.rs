//! Invariant: no server that is warming up collapses under load of which more than two thirds came from senders who
//! knew of its start.

use super::{Invariants, ViolationKind};
use crate::Micros;
use crate::slow_start_budget::Collapse;

impl Invariants {
    /// Whether every node counts as notified of a server's latest start, even if the notification was not delivered.
    pub fn start_counts_as_notified(&self, now: Micros, server: u32) -> bool {
        self.known_starts
            .reachable_since(server)
            .is_some_and(|since| now >= since + self.limits.notified_after)
    }

    /// Records that a server collapsed while it was warming up.
    pub fn server_collapsed(&mut self, server: u32, collapse: Collapse) {
        if collapse.notified_share > self.limits.max_notified_share {
            let kind = ViolationKind::Overloaded { server, collapse };
            self.record_violation(collapse.at, kind);
        }
    }
}
