//! Nothing is sent for a request that has ended.

use super::Invariants;
use super::request::{AcceptedRequest, RequestKey};
use crate::Micros;
use crate::endpoint_list::NodeId;

impl AcceptedRequest {
    /// Whether an attempt that is sent now is sent after the end.
    pub(super) fn is_over(&self, now: Micros, sent_grace: Micros) -> bool {
        self.ended.is_some_and(|ended| now >= ended + sent_grace)
    }
}

impl Invariants {
    /// The client of a request has gone: its node owes it no answer.
    pub fn client_gone(&mut self, now: Micros, request: impl Into<RequestKey>) {
        if let Some(accepted) = self.requests.get_mut(&request.into()) {
            accepted.ended.get_or_insert(now);
        }
    }

    /// A node's process is paused: it learns nothing until it resumes.
    pub fn paused(&mut self, now: Micros, node: NodeId) {
        self.paused.insert(node, now);
    }

    /// A paused node resumes: only now can it learn which clients left meanwhile.
    pub fn resumed(&mut self, now: Micros, node: NodeId) {
        let Some(since) = self.paused.remove(&node) else {
            return;
        };
        for (request, accepted) in &mut self.requests {
            let ended_meanwhile = accepted.ended.is_some_and(|ended| ended >= since);
            if request.node == node && ended_meanwhile {
                accepted.ended = Some(now);
            }
        }
    }
}
