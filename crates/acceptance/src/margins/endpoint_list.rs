//! A process's endpoint list, as its trace tells of it line by line.

use std::collections::HashMap;

use crate::trace::{ListedServer, Micros};

/// What a node's list says of a server.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct KnownServer {
    /// Its last start; 0 for long ago.
    pub(super) started: Micros,
    /// Since when it is not ready, if it is not.
    pub(super) unready_since: Option<Micros>,
}

/// The head of a list, or of a change of one.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReceivedList {
    pub(super) at: Micros,
    /// Whether a server that it does not name is removed.
    pub(super) is_complete: bool,
    /// Whether it is the saved one that a process starts with.
    pub(super) is_cached: bool,
    pub(super) version: u64,
}

/// A complete list that is being read.
#[derive(Debug)]
struct CompleteList {
    received: Micros,
    /// The servers that it has named so far.
    named: Vec<u32>,
}

/// Servers that are removed since a complete list does not name them.
#[derive(Debug, Default)]
pub(super) struct Removal {
    /// When the list came.
    pub(super) received: Micros,
    /// The servers, with their starts as the list had them.
    pub(super) servers: Vec<RemovedServer>,
}

/// A server that is removed.
#[derive(Debug, Clone, Copy)]
pub(super) struct RemovedServer {
    pub(super) id: u32,
    pub(super) started: Micros,
}

/// The list of a process.
#[derive(Debug, Default)]
pub(super) struct EndpointList {
    servers: HashMap<u32, KnownServer>,
    complete: Option<CompleteList>,
    is_cached: bool,
    /// Of the list that was read last.
    version: u64,
}

impl EndpointList {
    /// Whether the list that is being read is the saved one that a process starts with, which notifies of nothing.
    pub(super) fn is_cached(&self) -> bool {
        self.is_cached
    }

    /// The version of the list that was read last.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// What the list says of a server.
    pub(super) fn server(&self, id: u32) -> KnownServer {
        self.servers.get(&id).copied().unwrap_or_default()
    }

    /// Begins with a new list, or a change of the one in force.
    pub(super) fn begin(&mut self, list: ReceivedList) {
        self.complete = list.is_complete.then(|| CompleteList {
            received: list.at,
            named: Vec::new(),
        });
        self.is_cached = list.is_cached;
        self.version = list.version;
    }

    /// Takes a server of the list; whether it was ready until now and is not any more.
    pub(super) fn set(&mut self, at: Micros, server: ListedServer) -> bool {
        if let Some(list) = &mut self.complete {
            list.named.push(server.id);
        }
        let known = self.servers.entry(server.id).or_default();
        known.started = known.started.max(server.started);
        let was_unready_since = known.unready_since;
        known.unready_since = (!server.ready).then(|| was_unready_since.unwrap_or(at));
        !server.ready && was_unready_since.is_none()
    }

    /// Ends a complete list: what it has not named is removed.
    pub(super) fn end(&mut self) -> Removal {
        let Some(CompleteList { received, named }) = self.complete.take() else {
            return Removal::default();
        };
        let mut servers = Vec::new();
        for (server, known) in &mut self.servers {
            if named.contains(server) || known.unready_since.is_some() {
                continue;
            }
            known.unready_since = Some(received);
            servers.push(RemovedServer {
                id: *server,
                started: known.started,
            });
        }
        Removal { received, servers }
    }
}
