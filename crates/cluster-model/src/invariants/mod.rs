//! The invariants of the protocol, checked while a cluster runs. The driver reports the actions of the nodes. Each
//! violation is stored with its time and the node, server or request concerned.
//!
//! | module | invariant |
//! | --- | --- |
//! | `final_answer` | every accepted request gets its final answer in time |
//! | `late_send` | nothing is sent for a request that was answered or whose client has left |
//! | `told_deadline` | an attempt does not overstate the remaining time to its server |
//! | `duplicate_effect` | no effect happens twice |
//! | `drain` | nothing is sent to a server after the drain grace, which starts at the drain notice |
//! | `slow_start` | no server that is warming up collapses under load from senders who knew of its start |
//!
//! `notification` determines when a change counts as known to every node. `pause` extends the time limits of a node
//! whose process is paused.

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

/// Checks the invariants and records violations.
#[derive(Debug, Default)]
pub struct Invariants {
    limits: InvariantLimits,
    requests: BTreeMap<RequestKey, AcceptedRequest>,
    drain_notices: DrainNotices,
    /// The latest start of each server that discovery knows of.
    known_starts: KnownChanges,
    /// Paused nodes, with the time at which each was paused.
    paused: BTreeMap<NodeId, Micros>,
    violations: Vec<Violation>,
}

impl Invariants {
    /// Creates a checker with these limits.
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

    fn record_violation(&mut self, at: Micros, kind: ViolationKind) {
        self.violations.push(Violation { at, kind });
    }

    /// Records that a node has accepted a request whose client waits until `deadline`.
    pub fn accepted(
        &mut self,
        request: impl Into<RequestKey>,
        deadline: Micros,
        idempotency: Idempotency,
    ) {
        let accepted = AcceptedRequest::new(deadline, idempotency);
        self.requests.insert(request.into(), accepted);
    }

    /// Records that a node sends an attempt of a request to a server.
    pub fn sent(&mut self, now: Micros, request: impl Into<RequestKey>, attempt: u16, server: u32) {
        let request = request.into();
        self.check_drained(now, request.node, server);
        let Some(accepted) = self.requests.get_mut(&request) else {
            return;
        };
        let possible_duplicate = accepted.effect.sent(now, attempt);
        let after_end = accepted.forbids_sending(now, &self.limits);
        if possible_duplicate {
            self.record_violation(now, ViolationKind::PossibleDuplicate(request));
        }
        if after_end {
            self.record_violation(now, ViolationKind::SentAfterEnd(request));
        }
    }

    /// Records the proof that an attempt never ran.
    pub fn never_ran(&mut self, request: impl Into<RequestKey>, attempt: u16) {
        if let Some(accepted) = self.requests.get_mut(&request.into()) {
            accepted.effect.never_ran(attempt);
        }
    }

    /// Stops tracking a request that has ended. To be called once no attempt of the request is in flight any more.
    pub fn untrack_ended(&mut self, request: impl Into<RequestKey>) {
        let request = request.into();
        let accepted = self.requests.get(&request);
        if accepted.is_some_and(|accepted| accepted.end.is_some()) {
            self.requests.remove(&request);
        }
    }

    /// Records that discovery goes down or becomes reachable again.
    pub fn discovery_reachable(&mut self, now: Micros, reachable: bool) {
        self.drain_notices
            .not_ready
            .set_discovery_reachable(now, reachable);
        self.known_starts.set_discovery_reachable(now, reachable);
    }

    /// Records that a node is killed. Its clients must retry, and its notices are dropped.
    pub fn killed(&mut self, node: NodeId) {
        self.paused.remove(&node);
        self.requests.retain(|request, _| request.node != node);
        self.drain_notices.forget_node(node);
    }
}
