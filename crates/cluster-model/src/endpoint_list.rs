//! The endpoint list service: one service for all nodes, which handles calls one after another. Watches are notified of
//! each change that is published, and a call that waits too long fails.

use std::collections::{BTreeMap, VecDeque};

use crate::Micros;

/// Identifies a node, that is one router process.
pub type NodeId = u32;

/// Properties of the service. Times are in microseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointListConfig {
    /// Time to handle one call.
    pub call_time: Micros,
    /// Time to write one change to one watch.
    pub write_time: Micros,
    /// A call that has waited for this long fails.
    pub timeout: Micros,
    /// Number of changes that it remembers; a watch that resumes from before gets the complete list.
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

/// State of a server as the service knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// It takes requests.
    Ready,
    /// It completes what it has accepted.
    Draining,
    /// It is gone. Only changes hold such a record, the list does not.
    Removed,
}

/// A server as it stands in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointRecord {
    /// Id of the server.
    pub server: u32,
    /// Its state.
    pub condition: Condition,
    /// When it last started, 0 for long ago.
    pub started: Micros,
}

/// What a node asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListCall {
    /// The complete list, once.
    Complete,
    /// All changes after a version (0: the list first), until the watch ends.
    Watch {
        /// The version that the node holds.
        after: u64,
    },
}

/// What a node is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListResponse {
    /// A list, or changes of it.
    Update {
        /// Version that the node holds with it.
        version: u64,
        /// Whether it is complete: servers that it does not name are gone.
        complete: bool,
        /// The servers.
        records: Vec<EndpointRecord>,
    },
    /// The call failed or the watch ended.
    Failed,
}

/// The response to a node's call or watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeResponse {
    /// The node.
    pub node: NodeId,
    /// What it is sent.
    pub response: ListResponse,
}

/// The notification of a watch about a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notification {
    /// When it is sent.
    pub at: Micros,
    /// The node with the watch.
    pub node: NodeId,
    /// The change.
    pub response: ListResponse,
}

/// A change of the list.
#[derive(Debug, Clone, Copy)]
struct Change {
    /// The version that it made.
    version: u64,
    record: EndpointRecord,
}

/// A call that waits to be handled.
#[derive(Debug, Clone, Copy)]
struct PendingCall {
    arrived: Micros,
    node: NodeId,
    call: ListCall,
}

/// The service.
#[derive(Debug)]
pub struct EndpointList {
    config: EndpointListConfig,
    version: u64,
    records: BTreeMap<u32, EndpointRecord>,
    /// The latest changes, oldest first.
    history: VecDeque<Change>,
    /// Calls that wait, oldest first.
    queue: VecDeque<PendingCall>,
    /// Nodes with a watch, and the version that each was last sent.
    watches: BTreeMap<NodeId, u64>,
    busy_until: Micros,
    available: bool,
}

impl EndpointList {
    /// A list of servers that all started long ago.
    pub fn new(config: EndpointListConfig, servers: impl IntoIterator<Item = u32>) -> Self {
        let ready = |server| EndpointRecord {
            server,
            condition: Condition::Ready,
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

    /// The version of the list; it only grows.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The complete list.
    pub fn records(&self) -> Vec<EndpointRecord> {
        self.records.values().copied().collect()
    }

    /// A change is published. Returns the notifications of the watches, which are sent one after another, each after the
    /// time that its write takes.
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

    /// Applies a change to the list, and keeps it in the history.
    fn record_change(&mut self, record: EndpointRecord) {
        self.version += 1;
        if record.condition == Condition::Removed {
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

    /// A node calls. Its new call or watch replaces its old one. The response, if the service is down.
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

    /// A node closes its watch or gives up its call.
    pub fn disconnect(&mut self, node: NodeId) {
        self.watches.remove(&node);
        self.queue.retain(|pending| pending.node != node);
    }

    /// When [`EndpointList::process`] has something to do.
    pub fn next_event_at(&self) -> Option<Micros> {
        let next = self.queue.front()?;
        let handled_at = self.busy_until.max(next.arrived) + self.config.call_time;
        Some(handled_at.min(next.arrived + self.config.timeout))
    }

    /// Handles the calls that are due. Returns the response to each.
    pub fn process(&mut self, now: Micros) -> Vec<NodeResponse> {
        let mut responses = Vec::new();
        while let Some(&pending) = self.queue.front() {
            let handled_at = self.busy_until.max(pending.arrived) + self.config.call_time;
            let fails_at = pending.arrived + self.config.timeout;
            if handled_at.min(fails_at) > now {
                break;
            }
            let response = if handled_at > fails_at {
                // It waited in vain, and cost the service no work.
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
        let oldest_remembered = self
            .history
            .front()
            .map_or(version + 1, |change| change.version);
        // Changes will do only if they follow the node's version without a gap.
        if after == 0 || after > version || after + 1 < oldest_remembered {
            return complete;
        }
        let changes = self.history.iter().filter(|change| change.version > after);
        ListResponse::Update {
            version,
            complete: false,
            records: changes.map(|change| change.record).collect(),
        }
    }

    /// The service moves to another address: all watches and calls end. Returns their failures.
    pub fn relocate(&mut self) -> Vec<NodeResponse> {
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

    /// The service goes down, which fails all watches and calls, or comes back.
    pub fn set_available(&mut self, now: Micros, available: bool) -> Vec<NodeResponse> {
        self.available = available;
        self.busy_until = self.busy_until.max(now);
        if available {
            Vec::new()
        } else {
            self.relocate()
        }
    }
}
