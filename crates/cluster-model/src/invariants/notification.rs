//! When changes that discovery knows of count as notified at every node.

use std::collections::BTreeMap;

use crate::Micros;

/// Changes that discovery knows of, by the server that changed, and since when a node could have learned of each: since
/// discovery knew of it and could be reached.
#[derive(Debug, Default)]
pub(super) struct KnownChanges {
    /// `None` where discovery has been down since it knew of the change.
    reachable_since: BTreeMap<u32, Option<Micros>>,
    discovery_is_down: bool,
}

impl KnownChanges {
    /// Discovery learns of a change, in place of an earlier one of the same server.
    pub(super) fn insert(&mut self, now: Micros, server: u32) {
        let since = (!self.discovery_is_down).then_some(now);
        self.reachable_since.insert(server, since);
    }

    /// Discovery learns of a change, unless it knew of one of the same server.
    pub(super) fn insert_first(&mut self, now: Micros, server: u32) {
        if !self.reachable_since.contains_key(&server) {
            self.insert(now, server);
        }
    }

    /// The change is undone.
    pub(super) fn remove(&mut self, server: u32) {
        self.reachable_since.remove(&server);
    }

    /// Discovery goes down, or can be reached again.
    pub(super) fn set_discovery_reachable(&mut self, now: Micros, reachable: bool) {
        self.discovery_is_down = !reachable;
        if reachable {
            for since in self.reachable_since.values_mut() {
                since.get_or_insert(now);
            }
        }
    }

    /// Since when a node could have learned of a server's change.
    pub(super) fn reachable_since(&self, server: u32) -> Option<Micros> {
        self.reachable_since.get(&server).copied().flatten()
    }
}
