//! Nothing is sent to a server long after the notice that it drains or is gone.

use std::collections::BTreeMap;

use super::notification::KnownChanges;
use super::{Invariants, ViolationKind};
use crate::Micros;
use crate::endpoint_list::NodeId;

/// A node's notice about a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Notice {
    node: NodeId,
    server: u32,
}

/// What is known of servers that are not ready.
#[derive(Debug, Default)]
pub(super) struct DrainNotices {
    /// Servers that nodes were notified are not ready, and since when.
    notified: BTreeMap<Notice, Micros>,
    /// Servers of which discovery knows that they are not ready.
    pub(super) not_ready: KnownChanges,
}

impl DrainNotices {
    /// Since when a node counts as notified that a server is not ready.
    fn notified_since(&self, node: NodeId, server: u32, notified_after: Micros) -> Option<Micros> {
        let notified = self.notified.get(&Notice { node, server }).copied();
        let should_know = self
            .not_ready
            .reachable_since(server)
            .map(|since| since + notified_after);
        notified.into_iter().chain(should_know).min()
    }

    /// A node's process ended, and with it what it was notified of.
    pub(super) fn forget_node(&mut self, node: NodeId) {
        self.notified.retain(|notice, _| notice.node != node);
    }
}

impl Invariants {
    /// Discovery learns whether a server is ready. One that is ready has started.
    pub fn readiness_known(&mut self, now: Micros, server: u32, ready: bool) {
        if ready {
            self.drain_notices.not_ready.remove(server);
            self.known_starts.insert(now, server);
        } else {
            self.drain_notices.not_ready.insert_first(now, server);
        }
    }

    /// A node is notified whether a server is ready.
    pub fn notified(&mut self, now: Micros, node: NodeId, server: u32, ready: bool) {
        let notice = Notice { node, server };
        let notified = &mut self.drain_notices.notified;
        if ready {
            notified.remove(&notice);
        } else {
            notified.entry(notice).or_insert(now);
        }
    }

    /// Checks that the node of an attempt was not notified too long ago that the server is not ready.
    pub(super) fn check_drained(&mut self, now: Micros, node: NodeId, server: u32) {
        let notified_after = self.limits.notified_after;
        let since = self
            .drain_notices
            .notified_since(node, server, notified_after);
        let Some(after) = since.and_then(|since| now.checked_sub(since)) else {
            return;
        };
        if after > self.limits.drain_grace {
            let kind = ViolationKind::SentToDrained {
                node,
                server,
                after,
            };
            self.violated(now, kind);
        }
    }
}
