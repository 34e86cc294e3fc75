//! Every accepted request gets its final answer, at most a grace after its deadline. Only its own client frees it, by
//! closing the connection: neither the deadline nor trouble at servers or with other clients does.

use super::late_send::RequestEnd;
use super::request::{AcceptedRequest, RequestKey};
use super::{Invariants, Violation, ViolationKind};
use crate::Micros;

impl Invariants {
    /// A node gives its final answer, which may be a rejection.
    pub fn answered(&mut self, now: Micros, request: impl Into<RequestKey>, rejected: bool) {
        let request = request.into();
        let Some(accepted) = self.open_request(request) else {
            return;
        };
        accepted.end = Some(RequestEnd::Answered { at: now });
        let answer_due = accepted.answer_due;
        let untrue = rejected && accepted.effect.rejection_is_untrue();
        if now > answer_due + self.limits.answer_grace {
            self.violated(now, ViolationKind::Lost(request));
        }
        if untrue {
            self.violated(now, ViolationKind::RejectedThoughRun(request));
        }
    }

    /// A request's connection was closed before the complete answer, by the node or by the end of its process after it
    /// was told to shut down.
    pub fn aborted(&mut self, now: Micros, request: impl Into<RequestKey>) {
        let request = request.into();
        if let Some(accepted) = self.open_request(request) {
            accepted.end = Some(RequestEnd::Answered { at: now });
            self.violated(now, ViolationKind::Lost(request));
        }
    }

    /// A request that has not ended.
    fn open_request(&mut self, request: RequestKey) -> Option<&mut AcceptedRequest> {
        let accepted = self.requests.get_mut(&request)?;
        accepted.end.is_none().then_some(accepted)
    }

    /// The run ends: requests that should have been answered by now and were not are lost.
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
