//! Nothing is sent for a request that was answered, nor for one whose client closed its connection or cancelled more than
//! a moment ago: no first attempt, retry, hedged request or deferred call to the origin.

use super::request::{AcceptedRequest, RequestKey};
use super::{InvariantLimits, Invariants, ViolationKind};
use crate::Micros;

/// How and when a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// Its node ended it, mostly by the final answer.
    Answered { at: Micros },
    /// Its client closed the connection or cancelled.
    ClientGone { at: Micros },
}

impl RequestEnd {
    /// The same end at another time.
    pub(super) fn postponed_to(self, at: Micros) -> Self {
        match self {
            RequestEnd::Answered { .. } => RequestEnd::Answered { at },
            RequestEnd::ClientGone { .. } => RequestEnd::ClientGone { at },
        }
    }

    pub(super) fn at(self) -> Micros {
        match self {
            RequestEnd::Answered { at } | RequestEnd::ClientGone { at } => at,
        }
    }

    /// Whether an attempt that begins now is too late.
    fn forbids_sending(self, now: Micros, limits: &InvariantLimits) -> bool {
        match self {
            RequestEnd::Answered { at } => now >= at + limits.sent_grace,
            RequestEnd::ClientGone { at } => now > at + limits.client_gone_grace,
        }
    }
}

impl AcceptedRequest {
    /// Whether an attempt that begins now is too late.
    pub(super) fn forbids_sending(&self, now: Micros, limits: &InvariantLimits) -> bool {
        self.end.is_some_and(|end| end.forbids_sending(now, limits))
    }
}

impl Invariants {
    /// The client of a request has closed its connection or cancelled: its node owes it no answer.
    pub fn client_gone(&mut self, now: Micros, request: impl Into<RequestKey>) {
        if let Some(accepted) = self.requests.get_mut(&request.into()) {
            accepted
                .end
                .get_or_insert(RequestEnd::ClientGone { at: now });
        }
    }

    /// A node sends an attempt of a request that it had ended and forgotten.
    pub fn sent_after_forgetting(&mut self, now: Micros, request: impl Into<RequestKey>) {
        self.violated(now, ViolationKind::SentAfterEnd(request.into()));
    }
}
