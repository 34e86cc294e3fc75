//! The discovery service's state: the endpoint list, the calls and watches that nodes have open, and what each node
//! holds of the list.

use std::collections::BTreeMap;

use cluster_model::Micros;
use cluster_model::endpoint_list::{
    Condition, EndpointList, EndpointListConfig, EndpointRecord, ListCall, ListResponse, NodeId,
    NodeResponse,
};
use cluster_model::invariants::Invariants;
use tokio::sync::mpsc;

use super::{ClusterState, ServerNumber};

/// Messages that wait to be written to one watch at most; a watch that is slower is ended and has to begin anew.
const MAX_UNWRITTEN: usize = 64;

/// What a node holds of the endpoint list.
#[derive(Debug, Clone)]
pub struct HeldList {
    /// Its version.
    pub version: u64,
    /// Its cache servers.
    pub records: Vec<EndpointRecord>,
}

/// What was written to a node of the endpoint list.
#[derive(Debug, Default)]
struct WrittenList {
    version: u64,
    records: BTreeMap<ServerNumber, EndpointRecord>,
}

/// The discovery service.
pub(super) struct Discovery {
    list: EndpointList,
    /// Who waits for messages: the call or watch that each node has open.
    waiting: BTreeMap<NodeId, mpsc::Sender<ListResponse>>,
    written: BTreeMap<NodeId, WrittenList>,
}

impl Discovery {
    pub(super) fn new(
        config: EndpointListConfig,
        servers: impl IntoIterator<Item = ServerNumber>,
    ) -> Discovery {
        Discovery {
            list: EndpointList::new(config, servers),
            waiting: BTreeMap::new(),
            written: BTreeMap::new(),
        }
    }

    /// Whether a server's latest start was written to a node.
    fn start_was_written(&self, node: NodeId, server: ServerNumber, started: Micros) -> bool {
        let written = self.written.get(&node);
        written
            .and_then(|written| written.records.get(&server))
            .is_some_and(|record| record.started >= started)
    }

    /// When [`Discovery::run_due`] has something to do.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.list.next_event_at()
    }

    pub(super) fn run_due(&mut self, now: Micros) {
        let messages = self.list.process(now);
        self.notify_all(messages);
    }

    /// A node's process has ended, and its call or watch with it.
    pub(super) fn disconnect(&mut self, node: NodeId) {
        self.waiting.remove(&node);
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
        let (sender, messages) = mpsc::channel(MAX_UNWRITTEN);
        self.waiting.insert(node, sender);
        Some(messages)
    }

    fn hang_up(&mut self, node: NodeId) {
        if self.waiting.get(&node).is_some_and(mpsc::Sender::is_closed) {
            self.disconnect(node);
        }
    }

    /// Queues a message to a node. A call that failed ends, and so does a watch that is too slow.
    fn notify(&mut self, node: NodeId, message: ListResponse) {
        let failed = message == ListResponse::Failed;
        let queued = self
            .waiting
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

    /// Records that a message was written to a node, and tells the invariants what the node knows by it.
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
            invariants.notified(now, node, server, false);
        }
        notify_invariants(now, node, records, invariants);
    }

    /// What a node held when its last process ended; the complete list for its first process.
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

/// Tells the invariants what a node knows of cache servers.
fn notify_invariants(
    now: Micros,
    node: NodeId,
    records: &[EndpointRecord],
    invariants: &mut Invariants,
) {
    for record in records {
        let ready = record.condition == Condition::Ready;
        invariants.notified(now, node, record.server, ready);
    }
}

impl ClusterState {
    /// A node calls the discovery service. Messages come through the channel, which ends with the call or watch; `None`
    /// where the call fails at once.
    pub fn call_discovery(
        &mut self,
        now: Micros,
        node: NodeId,
        call: ListCall,
    ) -> Option<mpsc::Receiver<ListResponse>> {
        self.discovery.call(now, node, call)
    }

    /// A node has ended its call or watch, unless it has begun another since.
    pub fn hang_up_discovery(&mut self, node: NodeId) {
        self.discovery.hang_up(node);
    }

    /// An endpoint list or a change of it was written to a node.
    pub fn discovery_written(&mut self, now: Micros, node: NodeId, message: &ListResponse) {
        self.discovery
            .record_written(now, node, message, &mut self.invariants);
    }

    /// A node's process starts with the endpoint list that the process before it held.
    pub fn begin_node(&mut self, now: Micros, node: NodeId) -> HeldList {
        let held = self.discovery.held_by(node);
        notify_invariants(now, node, &held.records, &mut self.invariants);
        held
    }

    /// The discovery service learns the condition of a cache server.
    pub fn endpoint_changed(&mut self, now: Micros, record: EndpointRecord) {
        let ready = record.condition == Condition::Ready;
        self.invariants.readiness_known(now, record.server, ready);
        for notification in self.discovery.list.publish(now, record) {
            self.discovery
                .notify(notification.node, notification.response);
        }
    }

    /// The discovery service moves to other addresses: all calls and watches end, and the versions that nodes hold mean
    /// nothing to the new service.
    pub fn move_discovery(&mut self) {
        let messages = self.discovery.list.relocate();
        self.discovery.notify_all(messages);
    }

    /// Whether a node knows of a server's latest start, or counts as notified of it.
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

    /// The discovery service goes down or comes back.
    pub fn set_discovery_up(&mut self, now: Micros, up: bool) {
        self.invariants.discovery_reachable(now, up);
        let messages = self.discovery.list.set_available(now, up);
        self.discovery.notify_all(messages);
    }
}
