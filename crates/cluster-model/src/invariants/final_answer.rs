//! Every accepted request gets its final answer in time.

use super::request::{AcceptedRequest, RequestKey};
use super::{Invariants, ViolationKind};
use crate::Micros;

impl Invariants {
    /// A node gives its final answer, which may be a rejection.
    pub fn answered(&mut self, now: Micros, request: impl Into<RequestKey>, rejected: bool) {
        let request = request.into();
        let Some(accepted) = self.open_request(request) else {
            return;
        };
        accepted.ended = Some(now);
        let deadline = accepted.deadline;
        let untrue = rejected && accepted.effect.rejection_is_untrue();
        if now > deadline + self.limits.answer_grace {
            self.violated(now, ViolationKind::Lost(request));
        }
        if untrue {
            self.violated(now, ViolationKind::RejectedThoughRun(request));
        }
    }

    /// A node that was not killed closed a request's connection before the complete answer.
    pub fn aborted(&mut self, now: Micros, request: impl Into<RequestKey>) {
        let request = request.into();
        if let Some(accepted) = self.open_request(request) {
            accepted.ended = Some(now);
            self.violated(now, ViolationKind::Lost(request));
        }
    }

    /// A request that has not ended.
    fn open_request(&mut self, request: RequestKey) -> Option<&mut AcceptedRequest> {
        let accepted = self.requests.get_mut(&request)?;
        accepted.ended.is_none().then_some(accepted)
    }

    /// The run ends: requests that should have been answered by now and were not are lost.
    pub fn finish(&mut self, now: Micros) {
        let grace = self.limits.answer_grace;
        let overdue = |accepted: &AcceptedRequest| {
            accepted.ended.is_none() && now > accepted.deadline + grace
        };
        let lost: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(_, accepted)| overdue(accepted))
            .map(|(request, _)| *request)
            .collect();
        for request in lost {
            self.violated(now, ViolationKind::Lost(request));
        }
    }
}
