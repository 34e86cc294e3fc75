//! The invariants of the protocol, checked while a cluster runs. The driver reports what nodes do; each violation is kept
//! with its time and its parties.
//!
//! | module | invariant |
//! | --- | --- |
//! | `final_answer` | every accepted request gets its final answer in time |
//! | `late_send` | nothing is sent for a request that was answered or whose client has gone |
//! | `told_deadline` | an attempt tells its server no more time than is left |
//! | `duplicate_effect` | no effect happens twice |
//! | `drain` | nothing is sent to a server long after the notice that it drains |
//! | `slow_start` | no server that warms up collapses under load from senders who knew of its start |
//!
//! `notification` says when a change counts as known to every node, `pause` what becomes of a node's time while its process
//! does not run.

mod drain;
mod duplicate_effect;
mod final_answer;
mod late_send;
mod limits;
mod notification;
mod pause;
mod request;
mod slow_start;
mod told_deadline;
mod violation;

use std::collections::BTreeMap;

use crate::Micros;
use crate::endpoint_list::NodeId;
use drain::DrainNotices;
pub use duplicate_effect::Idempotency;
pub use limits::InvariantLimits;
use notification::KnownChanges;
use request::AcceptedRequest;
pub use request::RequestKey;
pub use violation::{Violation, ViolationKind};

/// Checks the invariants, and keeps the violations so far.
#[derive(Debug, Default)]
pub struct Invariants {
    limits: InvariantLimits,
    requests: BTreeMap<RequestKey, AcceptedRequest>,
    drain_notices: DrainNotices,
    /// Servers whose latest start discovery knows of.
    known_starts: KnownChanges,
    /// Nodes that are paused, and since when.
    paused: BTreeMap<NodeId, Micros>,
    violations: Vec<Violation>,
}

impl Invariants {
    /// A checker with these limits.
    pub fn new(limits: InvariantLimits) -> Self {
        Invariants {
            limits,
            ..Invariants::default()
        }
    }

    /// The violations so far, in order.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    fn violated(&mut self, at: Micros, kind: ViolationKind) {
        self.violations.push(Violation { at, kind });
    }

    /// A node has accepted a request whose client waits until `deadline`.
    pub fn accepted(
        &mut self,
        request: impl Into<RequestKey>,
        deadline: Micros,
        idempotency: Idempotency,
    ) {
        let accepted = AcceptedRequest::new(deadline, idempotency);
        self.requests.insert(request.into(), accepted);
    }

    /// A node sends an attempt of a request to a server.
    pub fn sent(&mut self, now: Micros, request: impl Into<RequestKey>, attempt: u16, server: u32) {
        let request = request.into();
        self.check_drained(now, request.node, server);
        let Some(accepted) = self.requests.get_mut(&request) else {
            return;
        };
        let ran_twice = accepted.effect.sent(now, attempt);
        let after_end = accepted.forbids_sending(now, &self.limits);
        if ran_twice {
            self.violated(now, ViolationKind::RanTwice(request));
        }
        if after_end {
            self.violated(now, ViolationKind::SentAfterEnd(request));
        }
    }

    /// An attempt is proved never to have run.
    pub fn never_ran(&mut self, request: impl Into<RequestKey>, attempt: u16) {
        if let Some(accepted) = self.requests.get_mut(&request.into()) {
            accepted.effect.never_ran(attempt);
        }
    }

    /// No attempt of a request is in flight any more: it is forgotten if it has ended.
    pub fn forget(&mut self, request: impl Into<RequestKey>) {
        let request = request.into();
        let accepted = self.requests.get(&request);
        if accepted.is_some_and(|accepted| accepted.end.is_some()) {
            self.requests.remove(&request);
        }
    }

    /// Discovery goes down, or can be reached again.
    pub fn discovery_reachable(&mut self, now: Micros, reachable: bool) {
        self.drain_notices
            .not_ready
            .set_discovery_reachable(now, reachable);
        self.known_starts.set_discovery_reachable(now, reachable);
    }

    /// A node is killed: its clients must retry, and what it was notified of is forgotten.
    pub fn killed(&mut self, node: NodeId) {
        self.paused.remove(&node);
        self.requests.retain(|request, _| request.node != node);
        self.drain_notices.forget_node(node);
    }
}
