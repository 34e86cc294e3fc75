//! No server that warms up collapses under load from senders who knew of its start.

use super::{Invariants, ViolationKind};
use crate::slow_start_budget::Collapse;

impl Invariants {
    /// A server that was warming up collapsed.
    pub fn collapsed(&mut self, server: u32, collapse: Collapse) {
        if collapse.informed_share > self.limits.informed_share {
            let kind = ViolationKind::Overloaded { server, collapse };
            self.violated(collapse.at, kind);
        }
    }
}
