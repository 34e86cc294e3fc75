//! Invariant: the remaining time that an attempt tells its cache server does not exceed the time that is left until the
//! deadline of its request, apart from a slack.

use super::request::RequestKey;
use super::{Invariants, ViolationKind};
use crate::Micros;

impl Invariants {
    /// Records that an attempt that is sent now tells its cache server how long the node will wait.
    pub fn attempt_stated_deadline(
        &mut self,
        now: Micros,
        request: impl Into<RequestKey>,
        remaining: Micros,
    ) {
        let request = request.into();
        let Some(accepted) = self.requests.get(&request) else {
            return;
        };
        let excess = (now + remaining).saturating_sub(accepted.deadline);
        if excess > self.limits.deadline_slack {
            self.record_violation(now, ViolationKind::DeadlineOverstated { request, excess });
        }
    }
}
