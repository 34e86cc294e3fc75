//! Passes events to the policy of a node and performs its actions.

use cluster_model::endpoint_list::{ListCall, NodeId};
use routing_policy::{Action, Event as PolicyEvent, RequestId};

use super::clients::CLIENT_DELAY;
use super::lifecycle::NodeEvent;
use super::nodes::OpenRequest;
use super::{Defect, Event, Simulation};
use crate::clients::Reply;

impl Simulation<'_> {
    /// Passes an event to a node's policy and performs its actions. While the node is paused, the event is deferred.
    pub(super) fn notify_policy(&mut self, node: NodeId, event: PolicyEvent) {
        let actions = self.nodes[node].handle(self.now, event);
        for action in &actions {
            self.perform(node, action);
        }
    }

    fn perform(&mut self, node: NodeId, action: &Action) {
        match *action {
            Action::Send {
                request, server, ..
            } => self.send_attempt(node, request, server),
            Action::Reject {
                request,
                retry_after,
            } => self.answer(node, request, Reply::Rejected(retry_after)),
            Action::Fail(request) => self.answer(node, request, Reply::Failed),
            Action::Cancel { request, attempt } => self.cancel_attempt(node, request, attempt),
            Action::Timer { after, token } => {
                let timer = NodeEvent::Timer {
                    node,
                    incarnation: self.nodes[node].incarnation(),
                    token,
                };
                self.schedule(self.now + after.max(1), Event::Node(timer));
            }
            Action::Subscribe(true) => {
                let after = self.nodes[node].list_version;
                self.call_list(node, ListCall::Watch { after });
            }
            Action::Subscribe(false) => self.list.disconnect(node),
            Action::FetchEndpoints => self.call_list(node, ListCall::Complete),
            // Connections have no cost in virtual time, and peers and health checks are not modelled.
            Action::CloseIdle(_)
            | Action::CheckHealth(_)
            | Action::SendToPeer { .. }
            | Action::Log(_)
            | Action::Fault(_) => {}
        }
    }

    /// Sends a node's final answer to a request, unless the request is complete already.
    pub(super) fn answer(&mut self, node: NodeId, request: RequestId, reply: Reply) {
        let withheld = self.has_defect(Defect::NoRejectionsOrFailures) && reply != Reply::Served;
        let Some(open) = self.nodes[node].open.get_mut(&request) else {
            return;
        };
        if open.complete || withheld {
            return;
        }
        open.complete = true;
        let client = open.client;
        let rejected = matches!(reply, Reply::Rejected(_));
        self.invariants
            .answered(self.now, (node, request), rejected);
        self.schedule_reply(CLIENT_DELAY, client, reply);
        self.forget_if_finished(node, request);
    }

    /// Forgets a request that is complete and has no attempt in flight.
    pub(super) fn forget_if_finished(&mut self, node: NodeId, request: RequestId) {
        let open = &mut self.nodes[node].open;
        let is_finished = |open: &OpenRequest| open.complete && open.in_flight == 0;
        if open.get(&request).is_some_and(is_finished) {
            open.remove(&request);
            self.invariants.untrack_ended((node, request));
        }
    }
}
