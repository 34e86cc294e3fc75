//! State of the discovery service: the endpoint list, the open call or watch of each node, and the list that each node
//! holds.

use std::collections::BTreeMap;

use cluster_model::Micros;
use cluster_model::endpoint_list::{
    EndpointList, EndpointListConfig, EndpointRecord, ListCall, ListResponse, NodeId, NodeResponse,
    ServerState,
};
use cluster_model::invariants::Invariants;
use tokio::sync::mpsc;

use super::{ClusterState, ServerNumber};

/// Maximum number of messages that are queued for one watch. A watch that falls behind further is ended, and the node
/// has to open a new one.
const MAX_QUEUED_MESSAGES: usize = 64;

/// The endpoint list that a node holds.
#[derive(Debug, Clone)]
pub struct HeldList {
    /// Version of the list.
    pub version: u64,
    /// Cache servers in the list.
    pub records: Vec<EndpointRecord>,
}

/// The part of the endpoint list that was written to a node.
#[derive(Debug, Default)]
struct WrittenList {
    version: u64,
    records: BTreeMap<ServerNumber, EndpointRecord>,
}

/// The discovery service.
pub(super) struct Discovery {
    list: EndpointList,
    /// The open call or watch of each node, which waits for messages.
    open_calls: BTreeMap<NodeId, mpsc::Sender<ListResponse>>,
    written: BTreeMap<NodeId, WrittenList>,
}

impl Discovery {
    pub(super) fn new(
        config: EndpointListConfig,
        servers: impl IntoIterator<Item = ServerNumber>,
    ) -> Discovery {
        Discovery {
            list: EndpointList::new(config, servers),
            open_calls: BTreeMap::new(),
            written: BTreeMap::new(),
        }
    }

    /// Returns whether a server's latest start was written to a node.
    fn start_was_written(&self, node: NodeId, server: ServerNumber, started: Micros) -> bool {
        let written = self.written.get(&node);
        written
            .and_then(|written| written.records.get(&server))
            .is_some_and(|record| record.started >= started)
    }

    /// Returns the time of the next work for [`Discovery::run_due`].
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.list.next_event_at()
    }

    pub(super) fn run_due(&mut self, now: Micros) {
        let messages = self.list.process(now);
        self.notify_all(messages);
    }

    /// A node's process has ended, which ends its call or watch.
    pub(super) fn disconnect(&mut self, node: NodeId) {
        self.open_calls.remove(&node);
        self.list.disconnect(node);
    }

    fn call(
        &mut self,
        now: Micros,
        node: NodeId,
        call: ListCall,
    ) -> Option<mpsc::Receiver<ListResponse>> {
        if self.list.call(now, node, call).is_some() {
            return None;
        }
        let (sender, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        self.open_calls.insert(node, sender);
        Some(messages)
    }

    fn close_call(&mut self, node: NodeId) {
        if self
            .open_calls
            .get(&node)
            .is_some_and(mpsc::Sender::is_closed)
        {
            self.disconnect(node);
        }
    }

    /// Queues a message for a node. Ends a call that failed and a watch that is too slow.
    fn notify(&mut self, node: NodeId, message: ListResponse) {
        let failed = message == ListResponse::Failed;
        let queued = self
            .open_calls
            .get(&node)
            .is_some_and(|sender| sender.try_send(message).is_ok());
        if failed || !queued {
            self.disconnect(node);
        }
    }

    fn notify_all(&mut self, messages: Vec<NodeResponse>) {
        for NodeResponse { node, response } in messages {
            self.notify(node, response);
        }
    }

    /// Records that a message was written to a node, and reports to the invariants what the node now knows.
    fn record_written(
        &mut self,
        now: Micros,
        node: NodeId,
        message: &ListResponse,
        invariants: &mut Invariants,
    ) {
        let ListResponse::Update {
            version,
            complete,
            records,
        } = message
        else {
            return;
        };
        let written = self.written.entry(node).or_default();
        written.version = *version;
        let mut removed = Vec::new();
        if *complete {
            let is_listed = |server| records.iter().any(|record| record.server == server);
            let held = written.records.keys().copied();
            removed = held.filter(|server| !is_listed(*server)).collect();
            written.records.clear();
        }
        written
            .records
            .extend(records.iter().map(|record| (record.server, *record)));
        for server in removed {
            invariants.node_notified(now, node, server, false);
        }
        notify_invariants(now, node, records, invariants);
    }

    /// Returns the list that a node held when its last process ended, or the complete list for its first process.
    fn held_by(&mut self, node: NodeId) -> HeldList {
        let complete_list = || WrittenList {
            version: self.list.version(),
            records: self
                .list
                .records()
                .into_iter()
                .map(|record| (record.server, record))
                .collect(),
        };
        let held = self.written.entry(node).or_insert_with(complete_list);
        HeldList {
            version: held.version,
            records: held.records.values().copied().collect(),
        }
    }
}

/// Reports to the invariants what a node knows about cache servers.
fn notify_invariants(
    now: Micros,
    node: NodeId,
    records: &[EndpointRecord],
    invariants: &mut Invariants,
) {
    for record in records {
        let ready = record.state == ServerState::Ready;
        invariants.node_notified(now, node, record.server, ready);
    }
}

impl ClusterState {
    /// Handles a call of a node to the discovery service. Messages arrive on the returned channel, which closes when
    /// the call or watch ends. Returns `None` if the call fails at once.
    pub fn call_discovery(
        &mut self,
        now: Micros,
        node: NodeId,
        call: ListCall,
    ) -> Option<mpsc::Receiver<ListResponse>> {
        self.discovery.call(now, node, call)
    }

    /// A node has closed its call or watch. If it has opened another one since, that one stays open.
    pub fn close_discovery_call(&mut self, node: NodeId) {
        self.discovery.close_call(node);
    }

    /// An endpoint list, or a change to it, was written to a node.
    pub fn discovery_written(&mut self, now: Micros, node: NodeId, message: &ListResponse) {
        self.discovery
            .record_written(now, node, message, &mut self.invariants);
    }

    /// Records that a node's process starts, and returns the endpoint list that its previous process held. The new process
    /// holds it from the beginning.
    pub fn record_node_start(&mut self, now: Micros, node: NodeId) -> HeldList {
        let held = self.discovery.held_by(node);
        notify_invariants(now, node, &held.records, &mut self.invariants);
        held
    }

    /// The discovery service learns a cache server's state.
    pub fn endpoint_changed(&mut self, now: Micros, record: EndpointRecord) {
        let ready = record.state == ServerState::Ready;
        self.invariants
            .discovery_learned_readiness(now, record.server, ready);
        for notification in self.discovery.list.publish(now, record) {
            self.discovery
                .notify(notification.node, notification.response);
        }
    }

    /// Moves the discovery service to other addresses. All calls and watches end, and the new service does not
    /// recognise the versions that nodes hold.
    pub fn move_discovery(&mut self) {
        let messages = self.discovery.list.move_to_new_address();
        self.discovery.notify_all(messages);
    }

    /// Returns whether a node knows of a server's latest start, or counts as notified of it.
    pub(super) fn knows_start(
        &self,
        now: Micros,
        node: NodeId,
        server: ServerNumber,
        started: Micros,
    ) -> bool {
        self.discovery.start_was_written(node, server, started)
            || self.invariants.start_counts_as_notified(now, server)
    }

    /// The discovery service becomes unavailable or available again.
    pub fn set_discovery_up(&mut self, now: Micros, up: bool) {
        self.invariants.discovery_reachable(now, up);
        let messages = self.discovery.list.set_available(now, up);
        self.discovery.notify_all(messages);
    }
}
