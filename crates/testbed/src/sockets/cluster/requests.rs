//! Requests that clients have open at nodes. A request is kept for a while after its end, so that attempts that begin too
//! late are recognised and reported to the invariants.

use cluster_model::Micros;
use cluster_model::endpoint_list::NodeId;
use cluster_model::invariants::InvariantLimits;

use super::{ClusterState, RequestId, SENT_GRACE, ServerNumber};
use crate::clients::Client;
use crate::deployment;
use crate::scenario::Scenario;

/// Requests that have ended and are kept at most; beyond it the earliest are forgotten.
const MAX_ENDED_REQUESTS: usize = 100_000;

/// How long requests of a scenario are kept after their end: a node may send an attempt until the longest deadline has
/// passed, and its answer may take the grace on top.
pub(super) fn retention(scenario: &Scenario) -> Micros {
    let graces = InvariantLimits::default().answer_grace + 2 * SENT_GRACE;
    deployment::longest_deadline(scenario) + graces
}

/// A request as the cluster knows it.
pub(super) struct OpenRequest {
    pub(super) node: NodeId,
    /// Its class, by the place in the scenario.
    pub(super) class: usize,
    pub(super) key: u64,
    /// Work of an answer, in microseconds of the reference core.
    pub(super) work: f64,
    /// When the client was meant to arrive.
    pub(super) intended_at: Micros,
    pub(super) begun_at: Micros,
    /// Attempts that the node has sent so far.
    pub(super) attempts: u16,
    /// Attempts that have no reply yet.
    pub(super) attempts_in_flight: u16,
    /// Cache servers that lacked the key.
    pub(super) missed_at: Vec<ServerNumber>,
    pub(super) ended_at: Option<Micros>,
    /// Whether it was open when its node was killed in a shutdown.
    unanswered_at_kill: bool,
}

impl OpenRequest {
    /// Whether it has ended and has no attempt in flight.
    fn is_over(&self) -> bool {
        self.attempts_in_flight == 0 && self.ended_at.is_some()
    }

    fn can_be_forgotten(&self, now: Micros, retention: Micros) -> bool {
        let ended_long_ago = |ended_at| ended_at + retention < now;
        self.is_over() && self.ended_at.is_some_and(ended_long_ago)
    }
}

impl ClusterState {
    /// A client sends a request to a node, which owes it an answer until its deadline.
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

    /// A request has its answer, which may be a rejection.
    pub fn request_answered(&mut self, now: Micros, request: RequestId, rejected: bool) {
        let Some(node) = self.end_request(now, request) else {
            return;
        };
        self.invariants.answered(now, (node, request), rejected);
        self.forget_if_over(now, request);
    }

    /// No answer is owed any more: the client has gone, or its node was killed.
    pub fn request_abandoned(&mut self, now: Micros, request: RequestId) {
        let Some(node) = self.end_request(now, request) else {
            return;
        };
        self.invariants.client_gone(now, (node, request));
        self.forget_if_over(now, request);
    }

    /// The node closed the request's connection without an answer.
    pub fn request_broken_off(&mut self, now: Micros, request: RequestId) {
        let Some(node) = self.end_request(now, request) else {
            return;
        };
        self.invariants.aborted(now, (node, request));
        self.forget_if_over(now, request);
    }

    /// Forgets all requests that ended long ago, and the earliest of the others that are over where these are too many.
    pub fn forget_requests_over(&mut self, now: Micros) {
        let requests: Vec<RequestId> = self.requests.keys().copied().collect();
        for request in requests {
            self.forget_if_over(now, request);
        }
        let over = self.requests.iter().filter(|(_, open)| open.is_over());
        let over: Vec<RequestId> = over.map(|(request, _)| *request).collect();
        let excess = over.len().saturating_sub(MAX_ENDED_REQUESTS);
        for request in &over[..excess] {
            self.forget(*request);
        }
    }

    /// A node was killed: its clients ask again for what it had open.
    pub fn node_killed(&mut self, now: Micros, node: NodeId) {
        self.invariants.killed(node);
        self.node_exited(now, node);
    }

    /// A node that was told to shut down was killed: what it had not answered is lost, unless its answer was on its way.
    pub fn node_killed_in_shutdown(&mut self, now: Micros, node: NodeId) {
        self.node_resumed(now, node);
        for open in self.requests.values_mut() {
            open.unanswered_at_kill |= open.node == node && open.ended_at.is_none();
        }
        self.node_exited(now, node);
    }

    /// A connection that a request had used ended without a byte of an answer, and its node accepts no other. It may
    /// have closed an idle connection just then, but not if the connection lasted until it was killed.
    pub fn request_not_taken(&mut self, now: Micros, request: RequestId) {
        let open = self.requests.get(&request);
        if open.is_some_and(|open| open.unanswered_at_kill) {
            self.request_broken_off(now, request);
        } else {
            self.request_abandoned(now, request);
        }
    }

    /// A node's process has ended by itself: what it owes stays owed.
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

    /// Forgets a request that ended long ago and has no attempt in flight.
    pub(super) fn forget_if_over(&mut self, now: Micros, request: RequestId) {
        let retention = self.request_retention;
        let over = self
            .requests
            .get(&request)
            .is_some_and(|open| open.can_be_forgotten(now, retention));
        if over {
            self.forget(request);
        }
    }

    fn forget(&mut self, request: RequestId) {
        if let Some(open) = self.requests.remove(&request) {
            self.invariants.forget((open.node, request));
        }
    }
}
