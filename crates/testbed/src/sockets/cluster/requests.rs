//! Requests that clients have open at nodes. A request is kept for a while after its end, so that attempts sent too
//! late are recognised and reported to the invariants.

use cluster_model::Micros;
use cluster_model::endpoint_list::NodeId;
use cluster_model::invariants::InvariantLimits;

use super::{ClusterState, RequestId, ServerNumber, TRANSIT_GRACE};
use crate::clients::Client;
use crate::deployment;
use crate::scenario::Scenario;

/// Maximum number of ended requests that are kept. Beyond it, the oldest are forgotten.
const MAX_ENDED_REQUESTS: usize = 100_000;

/// Returns how long the requests of a scenario are kept after their end. A node may send attempts until the longest
/// deadline has passed, and its answer may take the grace period in addition.
pub(super) fn retention(scenario: &Scenario) -> Micros {
    let total_grace = InvariantLimits::default().answer_grace + 2 * TRANSIT_GRACE;
    deployment::longest_deadline(scenario) + total_grace
}

/// A request as tracked by the cluster.
pub(super) struct OpenRequest {
    pub(super) node: NodeId,
    /// Index of its class in the scenario.
    pub(super) class: usize,
    pub(super) key: u64,
    /// Work to answer it, in microseconds of the reference core.
    pub(super) work: f64,
    /// Intended arrival time of the client.
    pub(super) intended_at: Micros,
    pub(super) begun_at: Micros,
    /// Number of attempts that the node has sent.
    pub(super) attempts: u16,
    /// Number of attempts without a reply.
    pub(super) attempts_in_flight: u16,
    /// Cache servers that did not hold the key.
    pub(super) missed_at: Vec<ServerNumber>,
    pub(super) ended_at: Option<Micros>,
    /// Whether it was open when its node was killed during a shutdown.
    unanswered_at_kill: bool,
}

impl OpenRequest {
    /// Returns whether it has ended and has no attempt in flight.
    fn is_finished(&self) -> bool {
        self.attempts_in_flight == 0 && self.ended_at.is_some()
    }

    fn is_expired(&self, now: Micros, retention: Micros) -> bool {
        let ended_long_ago = |ended_at| ended_at + retention < now;
        self.is_finished() && self.ended_at.is_some_and(ended_long_ago)
    }
}

impl ClusterState {
    /// A client sends a request to a node, which must answer it by its deadline.
    pub fn begin_request(
        &mut self,
        now: Micros,
        request: RequestId,
        node: NodeId,
        client: &Client,
    ) {
        let idempotency = deployment::idempotency(&self.scenario, client.class);
        self.invariants
            .accepted((node, request), client.deadline, idempotency);
        let open = OpenRequest {
            node,
            class: client.class,
            key: client.key,
            work: client.work,
            intended_at: client.intended_at,
            begun_at: now,
            attempts: 0,
            attempts_in_flight: 0,
            missed_at: Vec::new(),
            ended_at: None,
            unanswered_at_kill: false,
        };
        self.requests.insert(request, open);
    }

    /// A request was answered, possibly with a rejection.
    pub fn request_answered(&mut self, now: Micros, request: RequestId, rejected: bool) {
        let Some(node) = self.end_request(now, request) else {
            return;
        };
        self.invariants.answered(now, (node, request), rejected);
        self.forget_if_expired(now, request);
    }

    /// A request needs no answer any more: its client has disconnected, or its node was killed.
    pub fn request_abandoned(&mut self, now: Micros, request: RequestId) {
        let Some(node) = self.end_request(now, request) else {
            return;
        };
        self.invariants.client_gone(now, (node, request));
        self.forget_if_expired(now, request);
    }

    /// The node closed the request's connection without an answer.
    pub fn request_aborted(&mut self, now: Micros, request: RequestId) {
        let Some(node) = self.end_request(now, request) else {
            return;
        };
        self.invariants.aborted(now, (node, request));
        self.forget_if_expired(now, request);
    }

    /// Forgets all requests whose retention time has passed. If too many finished requests remain, also forgets the
    /// oldest of those.
    pub fn forget_finished_requests(&mut self, now: Micros) {
        let requests: Vec<RequestId> = self.requests.keys().copied().collect();
        for request in requests {
            self.forget_if_expired(now, request);
        }
        let over = self.requests.iter().filter(|(_, open)| open.is_finished());
        let over: Vec<RequestId> = over.map(|(request, _)| *request).collect();
        let excess = over.len().saturating_sub(MAX_ENDED_REQUESTS);
        for request in &over[..excess] {
            self.forget(*request);
        }
    }

    /// A node was killed. Its open requests need no answer, because their clients retry them.
    pub fn node_killed(&mut self, now: Micros, node: NodeId) {
        self.invariants.killed(node);
        self.node_exited(now, node);
    }

    /// A node was killed while it was shutting down. Its unanswered requests are lost, except those whose answer was
    /// already in transit.
    pub fn node_killed_in_shutdown(&mut self, now: Micros, node: NodeId) {
        self.node_resumed(now, node);
        for open in self.requests.values_mut() {
            open.unanswered_at_kill |= open.node == node && open.ended_at.is_none();
        }
        self.node_exited(now, node);
    }

    /// A request's idle connection ended before the first byte of an answer, and the node accepts no new connection.
    /// The node may have closed the idle connection just before the request arrived, which is allowed. That can't be
    /// the reason if the request was still open when the node was killed during a shutdown.
    pub fn request_lost_on_idle_connection(&mut self, now: Micros, request: RequestId) {
        let open = self.requests.get(&request);
        if open.is_some_and(|open| open.unanswered_at_kill) {
            self.request_aborted(now, request);
        } else {
            self.request_abandoned(now, request);
        }
    }

    /// A node's process ended by itself. Its open requests still need an answer.
    pub fn node_exited(&mut self, now: Micros, node: NodeId) {
        self.discovery.disconnect(node);
        let of_node = |request: &&mut OpenRequest| request.node == node;
        for request in self.requests.values_mut().filter(of_node) {
            request.ended_at.get_or_insert(now);
        }
    }

    fn end_request(&mut self, now: Micros, request: RequestId) -> Option<NodeId> {
        let open = self.requests.get_mut(&request)?;
        open.ended_at.get_or_insert(now);
        Some(open.node)
    }

    /// Forgets a request that has no attempt in flight and whose retention time has passed.
    pub(super) fn forget_if_expired(&mut self, now: Micros, request: RequestId) {
        let retention = self.request_retention;
        let over = self
            .requests
            .get(&request)
            .is_some_and(|open| open.is_expired(now, retention));
        if over {
            self.forget(request);
        }
    }

    fn forget(&mut self, request: RequestId) {
        if let Some(open) = self.requests.remove(&request) {
            self.invariants.untrack_ended((open.node, request));
        }
    }
}
