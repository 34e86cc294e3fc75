//! The state of the nodes: each has a policy, its open requests, and its copy of the endpoint list.

use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};

use cluster_model::Micros;
use cluster_model::endpoint_list::{EndpointRecord, NodeId};
use cluster_model::machine::JobId;
use cluster_model::network::Zone;
use routing_policy::{Action, AttemptStatus, Event as PolicyEvent, Policy, RequestId, ServerId};

/// Id of the first request of an incarnation.
const FIRST_REQUEST: RequestId = 1;

/// A request that a node has accepted and still keeps track of.
pub(super) struct OpenRequest {
    /// Id of its client.
    pub(super) client: u64,
    /// Deadline in microseconds.
    pub(super) deadline: Micros,
    /// Time from its arrival to its deadline, in microseconds.
    pub(super) initial_remaining: Micros,
    /// Attempts sent so far.
    pub(super) attempts_sent: u16,
    /// Attempts without an outcome so far.
    pub(super) in_flight: u16,
    /// Whether the request has its final answer or its client has gone.
    pub(super) complete: bool,
    /// Servers that answered with a miss.
    pub(super) missed: Vec<ServerId>,
}

impl OpenRequest {
    pub(super) fn new(client: u64, deadline: Micros, initial_remaining: Micros) -> Self {
        OpenRequest {
            client,
            deadline,
            initial_remaining,
            attempts_sent: 0,
            in_flight: 0,
            complete: false,
            missed: Vec::new(),
        }
    }
}

/// An outcome that has reached a paused node.
#[derive(Debug, Clone, Copy)]
pub(super) struct DeferredOutcome {
    pub(super) job: JobId,
    pub(super) status: AttemptStatus,
}

/// What is deferred while a node is paused, in the order of arrival.
#[derive(Default)]
pub(super) struct Deferred {
    /// Events for the policy.
    pub(super) events: Vec<PolicyEvent>,
    pub(super) outcomes: Vec<DeferredOutcome>,
}

/// The times by which a node that was asked to shut down must be done, in microseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Shutdown {
    /// The node answers all open requests by this time.
    pub(super) answer_by: Micros,
    /// The platform kills the node at this time.
    pub(super) killed_at: Micros,
}

/// A node, over all its incarnations.
pub(super) struct Node {
    policy: Policy,
    zone: Zone,
    running: bool,
    /// Incremented whenever the process ends.
    incarnation: u32,
    next_request: RequestId,
    pub(super) open: BTreeMap<RequestId, OpenRequest>,
    /// Number of pauses that have not ended.
    pauses: u32,
    /// What is deferred while the node is paused.
    deferred: Deferred,
    /// Set once the node was asked to shut down.
    shutdown: Option<Shutdown>,
    /// The node's copy of the endpoint list.
    pub(super) endpoints: BTreeMap<ServerId, EndpointRecord>,
    /// Version of that copy.
    pub(super) list_version: u64,
}

impl Node {
    /// A node whose process has just started for the first time.
    pub(super) fn new(
        policy: Policy,
        zone: Zone,
        endpoints: BTreeMap<ServerId, EndpointRecord>,
        list_version: u64,
    ) -> Self {
        Node {
            policy,
            zone,
            running: true,
            incarnation: 0,
            next_request: FIRST_REQUEST,
            open: BTreeMap::new(),
            pauses: 0,
            deferred: Deferred::default(),
            shutdown: None,
            endpoints,
            list_version,
        }
    }

    pub(super) fn zone(&self) -> Zone {
        self.zone
    }

    /// Whether the process is running; a paused process is running too.
    pub(super) fn is_running(&self) -> bool {
        self.running
    }

    pub(super) fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Adds a request under a new id, which is returned.
    pub(super) fn open_request(&mut self, request: OpenRequest) -> RequestId {
        let id = self.next_request;
        self.next_request += 1;
        self.open.insert(id, request);
        id
    }

    /// Passes an event to the policy and returns its actions. While the node is paused, the event is deferred.
    pub(super) fn handle(&mut self, now: Micros, event: PolicyEvent) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.pauses > 0 {
            self.deferred.events.push(event);
        } else {
            self.policy.handle(now, event, &mut actions);
        }
        actions
    }

    pub(super) fn is_paused(&self) -> bool {
        self.pauses > 0
    }

    /// Begins a pause. Pauses may overlap.
    pub(super) fn pause(&mut self) {
        self.pauses += 1;
    }

    /// Defers an outcome of an attempt until the node resumes.
    pub(super) fn defer_outcome(&mut self, outcome: DeferredOutcome) {
        self.deferred.outcomes.push(outcome);
    }

    /// Ends one pause. If it was the last one, the node resumes, and what was deferred is returned.
    pub(super) fn resume(&mut self) -> Deferred {
        self.pauses = self.pauses.saturating_sub(1);
        if self.pauses > 0 {
            return Deferred::default();
        }
        std::mem::take(&mut self.deferred)
    }

    /// Begins a shutdown, unless one has begun already.
    pub(super) fn begin_shutdown(&mut self, shutdown: Shutdown) {
        self.shutdown.get_or_insert(shutdown);
    }

    pub(super) fn shutdown(&self) -> Option<Shutdown> {
        self.shutdown
    }

    /// The requests that have no final answer yet.
    pub(super) fn unanswered(&self) -> Vec<RequestId> {
        let open = self.open.iter();
        open.filter(|(_, request)| !request.complete)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Ends the process. Returns the requests that were open.
    pub(super) fn stop(&mut self) -> BTreeMap<RequestId, OpenRequest> {
        self.running = false;
        self.incarnation += 1;
        self.shutdown = None;
        std::mem::take(&mut self.open)
    }

    /// Starts the process again with a new policy. The node keeps its copy of the endpoint list.
    pub(super) fn restart(&mut self, policy: Policy) {
        self.policy = policy;
        self.running = true;
        self.next_request = FIRST_REQUEST;
        self.pauses = 0;
        self.deferred = Deferred::default();
    }
}

/// All nodes, by id.
#[derive(Default)]
pub(super) struct Nodes {
    list: Vec<Node>,
}

impl Nodes {
    /// Adds a node under the next id.
    pub(super) fn add(&mut self, node: Node) {
        self.list.push(node);
    }

    pub(super) fn ids(&self) -> Vec<NodeId> {
        (0..self.list.len() as NodeId).collect()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Node> {
        self.list.iter_mut()
    }
}

impl Index<NodeId> for Nodes {
    type Output = Node;

    fn index(&self, id: NodeId) -> &Node {
        &self.list[id as usize]
    }
}

impl IndexMut<NodeId> for Nodes {
    fn index_mut(&mut self, id: NodeId) -> &mut Node {
        &mut self.list[id as usize]
    }
}
