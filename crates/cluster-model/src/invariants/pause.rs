//! Pauses of a node's process, as on a suspended machine. They are faults of the machine, like a kill: a paused process
//! neither learns nor answers anything, so that its time begins anew when it resumes. They free no request.

use super::Invariants;
use super::request::AcceptedRequest;
use crate::Micros;
use crate::endpoint_list::NodeId;

impl AcceptedRequest {
    /// The node was paused from `since` until now.
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
    /// A node's process is paused: it learns nothing until it resumes.
    pub fn paused(&mut self, now: Micros, node: NodeId) {
        self.paused.entry(node).or_insert(now);
    }

    /// A paused node resumes: only now can it answer what became due, and learn which clients left meanwhile.
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
