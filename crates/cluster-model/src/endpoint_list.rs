//! The endpoint list service: one service for all nodes, which handles calls one at a time. Watches are notified of
//! each published change. A call that waits longer than the timeout fails.

use std::collections::{BTreeMap, VecDeque};

use crate::Micros;

/// Identifies a node. A node is one router process.
pub type NodeId = u32;

/// Properties of the service. Times are in microseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointListConfig {
    /// Time to handle one call.
    pub call_time: Micros,
    /// Time to write one change to one watch.
    pub write_time: Micros,
    /// Time after which a waiting call fails.
    pub timeout: Micros,
    /// Number of changes that are kept. A watch that resumes from an older version gets the complete list.
    pub history: usize,
}

impl Default for EndpointListConfig {
    fn default() -> Self {
        EndpointListConfig {
            call_time: 10_000,
            write_time: 0,
            timeout: 2_000_000,
            history: 1_000,
        }
    }
}

/// State of a server as known to the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// The server accepts requests.
    Ready,
    /// The server completes the requests that it has accepted and accepts no others.
    Draining,
    /// The server was removed. Only changes contain such records; the list itself does not.
    Removed,
}

/// The entry of a server in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointRecord {
    /// Id of the server.
    pub server: u32,
    /// State of the server.
    pub state: ServerState,
    /// Time of the latest start of the server; 0 for long ago.
    pub started: Micros,
}

/// A call of a node to the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListCall {
    /// The complete list, once.
    Complete,
    /// All changes after a version until the watch ends. Version 0 requests the complete list first.
    Watch {
        /// The version of the list that the node has.
        after: u64,
    },
}

/// A message of the service to a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListResponse {
    /// The complete list, or changes of it.
    Update {
        /// Version of the list that the node has after this update.
        version: u64,
        /// Whether this is the complete list. Servers that a complete list does not contain were removed.
        complete: bool,
        /// The entries of the listed or changed servers.
        records: Vec<EndpointRecord>,
    },
    /// The call has failed or the watch has ended.
    Failed,
}

/// A message to a node, in response to its call or at the end of its watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeResponse {
    /// The receiving node.
    pub node: NodeId,
    /// The message.
    pub response: ListResponse,
}

/// The notification of a watch that a server has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notification {
    /// Time at which the notification is sent.
    pub at: Micros,
    /// The node that has the watch.
    pub node: NodeId,
    /// The update with the change.
    pub response: ListResponse,
}

/// A change of the list that is kept in the history.
#[derive(Debug, Clone, Copy)]
struct Change {
    /// Version of the list after the change.
    version: u64,
    record: EndpointRecord,
}

/// A call that is waiting to be handled.
#[derive(Debug, Clone, Copy)]
struct PendingCall {
    arrived: Micros,
    node: NodeId,
    call: ListCall,
}

/// The endpoint list service.
#[derive(Debug)]
pub struct EndpointList {
    config: EndpointListConfig,
    version: u64,
    records: BTreeMap<u32, EndpointRecord>,
    /// The latest changes, oldest first.
    history: VecDeque<Change>,
    /// Calls that are waiting, oldest first.
    queue: VecDeque<PendingCall>,
    /// Nodes that have a watch, with the latest version that was sent to each.
    watches: BTreeMap<NodeId, u64>,
    busy_until: Micros,
    available: bool,
}

impl EndpointList {
    /// Creates a list of ready servers that all started long ago.
    pub fn new(config: EndpointListConfig, servers: impl IntoIterator<Item = u32>) -> Self {
        let ready = |server| EndpointRecord {
            server,
            state: ServerState::Ready,
            started: 0,
        };
        EndpointList {
            config,
            version: 1,
            records: servers
                .into_iter()
                .map(|server| (server, ready(server)))
                .collect(),
            history: VecDeque::new(),
            queue: VecDeque::new(),
            watches: BTreeMap::new(),
            busy_until: 0,
            available: true,
        }
    }

    /// The version of the list. It never decreases.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The complete list.
    pub fn records(&self) -> Vec<EndpointRecord> {
        self.records.values().copied().collect()
    }

    /// Publishes a change. Returns the notifications of all watches. They are sent one after another, and each takes
    /// the write time.
    pub fn publish(&mut self, now: Micros, record: EndpointRecord) -> Vec<Notification> {
        self.record_change(record);
        if !self.available {
            return Vec::new();
        }
        let version = self.version;
        let mut notifications = Vec::new();
        for (node, sent_version) in &mut self.watches {
            self.busy_until = self.busy_until.max(now) + self.config.write_time;
            *sent_version = version;
            let update = ListResponse::Update {
                version,
                complete: false,
                records: vec![record],
            };
            notifications.push(Notification {
                at: self.busy_until,
                node: *node,
                response: update,
            });
        }
        notifications
    }

    /// Applies a change to the list and adds it to the history.
    fn record_change(&mut self, record: EndpointRecord) {
        self.version += 1;
        if record.state == ServerState::Removed {
            self.records.remove(&record.server);
        } else {
            self.records.insert(record.server, record);
        }
        let version = self.version;
        self.history.push_back(Change { version, record });
        while self.history.len() > self.config.history {
            self.history.pop_front();
        }
    }

    /// Adds a call of a node. It replaces an earlier call or watch of that node. Returns a response if the service is
    /// down.
    pub fn call(&mut self, now: Micros, node: NodeId, call: ListCall) -> Option<ListResponse> {
        if !self.available {
            return Some(ListResponse::Failed);
        }
        self.disconnect(node);
        let arrived = now;
        self.queue.push_back(PendingCall {
            arrived,
            node,
            call,
        });
        None
    }

    /// Removes the watch and the waiting call of a node.
    pub fn disconnect(&mut self, node: NodeId) {
        self.watches.remove(&node);
        self.queue.retain(|pending| pending.node != node);
    }

    /// Time at which [`EndpointList::process`] has to handle or fail the next call.
    pub fn next_event_at(&self) -> Option<Micros> {
        let next = self.queue.front()?;
        let handled_at = self.busy_until.max(next.arrived) + self.config.call_time;
        Some(handled_at.min(next.arrived + self.config.timeout))
    }

    /// Handles the calls that are due, and returns their responses.
    pub fn process(&mut self, now: Micros) -> Vec<NodeResponse> {
        let mut responses = Vec::new();
        while let Some(&pending) = self.queue.front() {
            let handled_at = self.busy_until.max(pending.arrived) + self.config.call_time;
            let fails_at = pending.arrived + self.config.timeout;
            if handled_at.min(fails_at) > now {
                break;
            }
            let response = if handled_at > fails_at {
                // A call that timed out takes none of the service's time.
                ListResponse::Failed
            } else {
                self.busy_until = handled_at;
                self.respond(pending.node, pending.call)
            };
            let node = pending.node;
            responses.push(NodeResponse { node, response });
            self.queue.pop_front();
        }
        responses
    }

    fn respond(&mut self, node: NodeId, call: ListCall) -> ListResponse {
        let version = self.version;
        let complete = ListResponse::Update {
            version,
            complete: true,
            records: self.records(),
        };
        let ListCall::Watch { after } = call else {
            return complete;
        };
        self.watches.insert(node, version);
        let oldest_in_history = self
            .history
            .front()
            .map_or(version + 1, |change| change.version);
        // Changes are sufficient only if they follow the node's version without a gap.
        if after == 0 || after > version || after + 1 < oldest_in_history {
            return complete;
        }
        let changes = self.history.iter().filter(|change| change.version > after);
        ListResponse::Update {
            version,
            complete: false,
            records: changes.map(|change| change.record).collect(),
        }
    }

    /// Moves the service to another address, which ends all watches and calls. Returns their failures.
    pub fn move_to_new_address(&mut self) -> Vec<NodeResponse> {
        let watching = std::mem::take(&mut self.watches).into_keys();
        let waiting = std::mem::take(&mut self.queue).into_iter();
        watching
            .chain(waiting.map(|pending| pending.node))
            .map(|node| NodeResponse {
                node,
                response: ListResponse::Failed,
            })
            .collect()
    }

    /// Stops or restarts the service. Returns the failures of all watches and calls that a stop ends.
    pub fn set_available(&mut self, now: Micros, available: bool) -> Vec<NodeResponse> {
        self.available = available;
        self.busy_until = self.busy_until.max(now);
        if available {
            Vec::new()
        } else {
            self.move_to_new_address()
        }
    }
}
