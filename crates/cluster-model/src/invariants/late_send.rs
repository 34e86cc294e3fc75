//! Invariant: nothing is sent for a request that was answered, or whose client closed its connection or cancelled
//! longer ago than the grace. This covers first attempts, retries, hedged requests and deferred calls to the origin.

use super::request::{AcceptedRequest, RequestKey};
use super::{InvariantLimits, Invariants, ViolationKind};
use crate::Micros;

/// How and when a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// The node ended the request, usually by sending the final answer.
    Answered { at: Micros },
    /// The client closed the connection or cancelled.
    ClientGone { at: Micros },
}

impl RequestEnd {
    /// Returns the same kind of end at another time.
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

    /// Whether an attempt that starts now violates the invariant.
    fn forbids_sending(self, now: Micros, limits: &InvariantLimits) -> bool {
        match self {
            RequestEnd::Answered { at } => now >= at + limits.in_flight_grace,
            RequestEnd::ClientGone { at } => now > at + limits.client_gone_grace,
        }
    }
}

impl AcceptedRequest {
    /// Whether an attempt that starts now violates the invariant.
    pub(super) fn forbids_sending(&self, now: Micros, limits: &InvariantLimits) -> bool {
        self.end.is_some_and(|end| end.forbids_sending(now, limits))
    }
}

impl Invariants {
    /// Records that the client of a request has closed its connection or cancelled. The node need not answer it any
    /// more.
    pub fn client_gone(&mut self, now: Micros, request: impl Into<RequestKey>) {
        if let Some(accepted) = self.requests.get_mut(&request.into()) {
            accepted
                .end
                .get_or_insert(RequestEnd::ClientGone { at: now });
        }
    }

    /// Records that a node sends an attempt of a request that had ended and is no longer tracked.
    pub fn sent_untracked_request(&mut self, now: Micros, request: impl Into<RequestKey>) {
        self.record_violation(now, ViolationKind::SentAfterEnd(request.into()));
    }
}
