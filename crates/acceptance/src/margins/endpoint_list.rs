//! The endpoint list of a process, rebuilt from the lines of its trace.

use std::collections::HashMap;

use crate::trace::{ListedServer, Micros};

/// State of a server in a node's list.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct KnownServer {
    /// Time of its last start; 0 if that was long ago.
    pub(super) started: Micros,
    /// Time since which it is not ready, if it is not.
    pub(super) unready_since: Option<Micros>,
}

/// The header line of a list or of a change to one.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReceivedList {
    pub(super) at: Micros,
    /// Whether servers missing from it are removed.
    pub(super) is_complete: bool,
    /// Whether it is the cached list that a process loads at start.
    pub(super) is_cached: bool,
    pub(super) version: u64,
}

/// A complete list that is being read.
#[derive(Debug)]
struct CompleteList {
    received: Micros,
    /// Ids of the servers read so far.
    listed: Vec<u32>,
}

/// Servers that were removed because a complete list does not contain them.
#[derive(Debug, Default)]
pub(super) struct Removal {
    /// Time at which the list was received.
    pub(super) received: Micros,
    /// The removed servers.
    pub(super) servers: Vec<RemovedServer>,
}

/// A removed server, with its last known start.
#[derive(Debug, Clone, Copy)]
pub(super) struct RemovedServer {
    pub(super) id: u32,
    pub(super) started: Micros,
}

/// The endpoint list of a process.
#[derive(Debug, Default)]
pub(super) struct EndpointList {
    servers: HashMap<u32, KnownServer>,
    complete: Option<CompleteList>,
    is_cached: bool,
    /// Version of the list that was read last.
    version: u64,
}

impl EndpointList {
    /// Whether the list that is being read is the cached one that a process loads at start, which is not a
    /// notification.
    pub(super) fn is_cached(&self) -> bool {
        self.is_cached
    }

    /// Version of the list that was read last.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// State of a server in the list.
    pub(super) fn server(&self, id: u32) -> KnownServer {
        self.servers.get(&id).copied().unwrap_or_default()
    }

    /// Begins a new list or a change to the current one.
    pub(super) fn begin(&mut self, list: ReceivedList) {
        self.complete = list.is_complete.then(|| CompleteList {
            received: list.at,
            listed: Vec::new(),
        });
        self.is_cached = list.is_cached;
        self.version = list.version;
    }

    /// Sets the state of a server of the list. Returns whether the server changed from ready to not ready.
    pub(super) fn set(&mut self, at: Micros, server: ListedServer) -> bool {
        if let Some(list) = &mut self.complete {
            list.listed.push(server.id);
        }
        let known = self.servers.entry(server.id).or_default();
        known.started = known.started.max(server.started);
        let was_unready_since = known.unready_since;
        known.unready_since = (!server.ready).then(|| was_unready_since.unwrap_or(at));
        !server.ready && was_unready_since.is_none()
    }

    /// Ends a list. If it is complete, servers missing from it are removed.
    pub(super) fn end(&mut self) -> Removal {
        let Some(CompleteList { received, listed }) = self.complete.take() else {
            return Removal::default();
        };
        let mut servers = Vec::new();
        for (server, known) in &mut self.servers {
            if listed.contains(server) || known.unready_since.is_some() {
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
