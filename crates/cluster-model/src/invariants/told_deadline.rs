//! The time that an attempt tells its cache server is at most what is left until its request's deadline.

use super::request::RequestKey;
use super::{Invariants, ViolationKind};
use crate::Micros;

impl Invariants {
    /// An attempt that is sent now tells its cache server that the node will wait this long.
    pub fn told_deadline(
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
        if excess > self.limits.told_deadline_slack {
            self.violated(now, ViolationKind::ToldTooLong { request, excess });
        }
    }
}
