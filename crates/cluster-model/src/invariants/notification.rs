//! Tracks since when every node could have learned of a change from discovery.

use std::collections::BTreeMap;

use crate::Micros;

/// Changes that discovery knows of, by server, with the time since which nodes could have learned of each change: the
/// time when discovery both knew of the change and was reachable.
#[derive(Debug, Default)]
pub(super) struct KnownChanges {
    /// `None` if discovery has been down ever since it learned of the change.
    reachable_since: BTreeMap<u32, Option<Micros>>,
    discovery_down: bool,
}

impl KnownChanges {
    /// Records that discovery learns of a change. It replaces an earlier change of the same server.
    pub(super) fn insert(&mut self, now: Micros, server: u32) {
        let since = (!self.discovery_down).then_some(now);
        self.reachable_since.insert(server, since);
    }

    /// Records that discovery learns of a change, unless a change of the same server is recorded already.
    pub(super) fn insert_if_absent(&mut self, now: Micros, server: u32) {
        if !self.reachable_since.contains_key(&server) {
            self.insert(now, server);
        }
    }

    /// Removes the change of a server that was reversed.
    pub(super) fn remove(&mut self, server: u32) {
        self.reachable_since.remove(&server);
    }

    /// Records that discovery goes down or becomes reachable again.
    pub(super) fn set_discovery_reachable(&mut self, now: Micros, reachable: bool) {
        self.discovery_down = !reachable;
        if reachable {
            for since in self.reachable_since.values_mut() {
                since.get_or_insert(now);
            }
        }
    }

    /// Time since which nodes could have learned of a server's change.
    pub(super) fn reachable_since(&self, server: u32) -> Option<Micros> {
        self.reachable_since.get(&server).copied().flatten()
    }
}
