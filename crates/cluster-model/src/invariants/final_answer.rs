//! Invariant: every accepted request gets its final answer, at most the answer grace after its deadline. Only the
//! request's own client can release the node from answering, by closing the connection or cancelling. An expired
//! deadline, failing servers and other clients do not.

use super::late_send::RequestEnd;
use super::request::{AcceptedRequest, RequestKey};
use super::{Invariants, Violation, ViolationKind};
use crate::Micros;

impl Invariants {
    /// Records that a node sends the final answer to a request, which may be a rejection.
    pub fn answered(&mut self, now: Micros, request: impl Into<RequestKey>, rejected: bool) {
        let request = request.into();
        let Some(accepted) = self.open_request(request) else {
            return;
        };
        accepted.end = Some(RequestEnd::Answered { at: now });
        let answer_due = accepted.answer_due;
        let false_rejection = rejected && accepted.effect.rejection_would_be_false();
        if now > answer_due + self.limits.answer_grace {
            self.record_violation(now, ViolationKind::Lost(request));
        }
        if false_rejection {
            self.record_violation(now, ViolationKind::FalseRejection(request));
        }
    }

    /// Records that the connection of a request was closed before the complete answer, either by the node or because
    /// its process ended after it was told to shut down.
    pub fn aborted(&mut self, now: Micros, request: impl Into<RequestKey>) {
        let request = request.into();
        if let Some(accepted) = self.open_request(request) {
            accepted.end = Some(RequestEnd::Answered { at: now });
            self.record_violation(now, ViolationKind::Lost(request));
        }
    }

    /// Returns a request that has not ended.
    fn open_request(&mut self, request: RequestKey) -> Option<&mut AcceptedRequest> {
        let accepted = self.requests.get_mut(&request)?;
        accepted.end.is_none().then_some(accepted)
    }

    /// Ends the run. Requests that should have been answered by now and were not are reported as lost.
    pub fn finish(&mut self, now: Micros) {
        let grace = self.limits.answer_grace;
        let overdue = |accepted: &AcceptedRequest| {
            accepted.end.is_none() && now > accepted.answer_due + grace
        };
        let lost = self.requests.iter();
        let lost: Vec<Violation> = lost
            .filter(|(_, accepted)| overdue(accepted))
            .map(|(request, accepted)| Violation {
                at: accepted.answer_due + grace,
                kind: ViolationKind::Lost(*request),
            })
            .collect();
        self.violations.extend(lost);
    }
}
