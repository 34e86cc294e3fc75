//! No server that warms up collapses under load of which over two thirds came from senders who knew of its start.

use super::{Invariants, ViolationKind};
use crate::Micros;
use crate::slow_start_budget::Collapse;

impl Invariants {
    /// Whether every node counts as notified of a server's latest start, be it notified or not.
    pub fn start_counts_as_notified(&self, now: Micros, server: u32) -> bool {
        self.known_starts
            .reachable_since(server)
            .is_some_and(|since| now >= since + self.limits.notified_after)
    }

    /// A server that was warming up collapsed.
    pub fn collapsed(&mut self, server: u32, collapse: Collapse) {
        if collapse.informed_share > self.limits.informed_share {
            let kind = ViolationKind::Overloaded { server, collapse };
            self.violated(collapse.at, kind);
        }
    }
}
