//! Pauses of a node's process, as on a suspended machine. A pause is a fault of the machine, like a kill. A paused
//! process can neither receive nor answer anything, so the time limits that expire during a pause start anew when the
//! process resumes. A pause does not release a node from answering a request.

use super::Invariants;
use super::request::AcceptedRequest;
use crate::Micros;
use crate::endpoint_list::NodeId;

impl AcceptedRequest {
    /// Extends the limits of a request whose node was paused from `since` until now.
    fn resumed(&mut self, since: Micros, now: Micros, answer_grace: Micros) {
        match self.end {
            Some(end) if end.at() >= since => self.end = Some(end.postponed_to(now)),
            Some(_) => {}
            None if self.answer_due + answer_grace >= since => {
                self.answer_due = self.answer_due.max(now);
            }
            None => {}
        }
    }
}

impl Invariants {
    /// Records that a node's process is paused. It receives nothing until it resumes.
    pub fn paused(&mut self, now: Micros, node: NodeId) {
        self.paused.entry(node).or_insert(now);
    }

    /// Records that a paused node resumes. Only now can it send answers that became due during the pause, and learn
    /// which clients left.
    pub fn resumed(&mut self, now: Micros, node: NodeId) {
        let Some(since) = self.paused.remove(&node) else {
            return;
        };
        for (request, accepted) in &mut self.requests {
            if request.node == node {
                accepted.resumed(since, now, self.limits.answer_grace);
            }
        }
    }
}
