//! Invariant: no attempt is sent to a server later than the drain grace after the notice that it drains or was removed.

use std::collections::BTreeMap;

use super::notification::KnownChanges;
use super::{Invariants, ViolationKind};
use crate::Micros;
use crate::endpoint_list::NodeId;

/// Identifies the notice that a node received about a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Notice {
    node: NodeId,
    server: u32,
}

/// The servers that are not ready, as known to discovery and as notified to each node.
#[derive(Debug, Default)]
pub(super) struct DrainNotices {
    /// Notices that a server is not ready, with the time at which the node received each.
    notified: BTreeMap<Notice, Micros>,
    /// Servers that discovery knows to be not ready.
    pub(super) not_ready: KnownChanges,
}

impl DrainNotices {
    /// Time since which a node counts as notified that a server is not ready.
    fn notified_since(&self, node: NodeId, server: u32, notified_after: Micros) -> Option<Micros> {
        let notified = self.notified.get(&Notice { node, server }).copied();
        let presumed_since = self
            .not_ready
            .reachable_since(server)
            .map(|since| since + notified_after);
        notified.into_iter().chain(presumed_since).min()
    }

    /// Drops the notices of a node whose process has ended.
    pub(super) fn forget_node(&mut self, node: NodeId) {
        self.notified.retain(|notice, _| notice.node != node);
    }
}

impl Invariants {
    /// Records that discovery learns whether a server is ready. A ready server counts as newly started.
    pub fn discovery_learned_readiness(&mut self, now: Micros, server: u32, ready: bool) {
        if ready {
            self.drain_notices.not_ready.remove(server);
            self.known_starts.insert(now, server);
        } else {
            self.drain_notices.not_ready.insert_if_absent(now, server);
        }
    }

    /// Records that a node is notified whether a server is ready.
    pub fn node_notified(&mut self, now: Micros, node: NodeId, server: u32, ready: bool) {
        let notice = Notice { node, server };
        let notified = &mut self.drain_notices.notified;
        if ready {
            notified.remove(&notice);
        } else {
            notified.entry(notice).or_insert(now);
        }
    }

    /// Checks that an attempt is not sent too long after its node was notified that the server is not ready.
    pub(super) fn check_drained(&mut self, now: Micros, node: NodeId, server: u32) {
        let notified_after = self.limits.notified_after;
        let since = self
            .drain_notices
            .notified_since(node, server, notified_after);
        let Some(after) = since.and_then(|since| now.checked_sub(since)) else {
            return;
        };
        if after > self.limits.drain_grace {
            let kind = ViolationKind::SentAfterDrainNotice {
                node,
                server,
                after,
            };
            self.record_violation(now, kind);
        }
    }
}
