//! The lifecycle of the nodes: start, pause, kill, and graceful shutdown with a restart.

use std::collections::{BTreeMap, BTreeSet};

use cluster_model::Micros;
use cluster_model::endpoint_list::NodeId;
use rand::Rng;
use routing_policy::{Event as PolicyEvent, Policy, Request, RequestId};

use super::clients::CLIENT_DELAY;
use super::nodes::{Deferred, DeferredOutcome, Node, Shutdown};
use super::{Defect, Event, Simulation};
use crate::clients::Reply;
use crate::scenario::DEREGISTRATION_DELAY;
use crate::{deployment, micros};

/// Time that a node reserves for its last answers before the platform may kill it, in microseconds.
const FINAL_ANSWERS_TIME: Micros = 100_000;
/// Interval of the check whether a node that is shutting down has answered all requests, in microseconds.
const SHUTDOWN_CHECK_INTERVAL: Micros = 10_000;
/// Start-up time of a process, in microseconds.
const PROCESS_START_TIME: Micros = 50_000;

/// A lifecycle event of a node. An event with an incarnation is ignored in any other incarnation.
#[derive(Debug, Clone, Copy)]
pub(super) enum NodeEvent {
    /// A timer of the policy fires.
    Timer {
        node: NodeId,
        incarnation: u32,
        token: u32,
    },
    /// A pause of a node ends.
    PauseEnds { node: NodeId },
    /// A node is asked to shut down and is then started again.
    Restart { node: NodeId },
    /// The load balancer stops sending requests to a node that is shutting down.
    Deregister { node: NodeId, incarnation: u32 },
    /// Time to check whether a node that is shutting down has answered all requests.
    CheckShutdown { node: NodeId, incarnation: u32 },
    /// A node's process starts again.
    Start { node: NodeId },
    /// The load balancer notices that a node has died.
    DeathDetected { node: NodeId, incarnation: u32 },
}

/// The request whose client has gone, if that is what an event reports.
fn gone_request(event: &PolicyEvent) -> Option<RequestId> {
    match event {
        PolicyEvent::ClientGone(request) => Some(*request),
        _ => None,
    }
}

/// Whether an event may rule out attempts that later events would otherwise cause.
fn revokes_attempts(event: &PolicyEvent) -> bool {
    matches!(
        event,
        PolicyEvent::ClientGone(_) | PolicyEvent::EndpointList { .. }
    )
}

impl Simulation<'_> {
    pub(super) fn handle_node_event(&mut self, event: NodeEvent) {
        match event {
            NodeEvent::Timer {
                node,
                incarnation,
                token,
            } => {
                if self.is_current(node, incarnation) {
                    self.notify_policy(node, PolicyEvent::Timer(token));
                }
            }
            NodeEvent::PauseEnds { node } => self.end_pause(node),
            NodeEvent::Restart { node } => self.begin_restart(node),
            NodeEvent::Deregister { node, incarnation } => {
                if self.is_current(node, incarnation) {
                    self.load_balancer.deregister(node);
                    self.check_shutdown(node, incarnation);
                }
            }
            NodeEvent::CheckShutdown { node, incarnation } => {
                if self.is_current(node, incarnation) {
                    self.check_shutdown(node, incarnation);
                }
            }
            NodeEvent::Start { node } => self.restart_node(node),
            NodeEvent::DeathDetected { node, incarnation } => {
                let state = &self.nodes[node];
                if !state.is_running() && state.incarnation() == incarnation {
                    self.load_balancer.deregister(node);
                }
            }
        }
    }

    /// Whether a node is running and has this incarnation.
    pub(super) fn is_current(&self, node: NodeId, incarnation: u32) -> bool {
        let node = &self.nodes[node];
        node.is_running() && node.incarnation() == incarnation
    }

    fn new_policy(&mut self, node: NodeId) -> Policy {
        let settings = deployment::settings(self.scenario, node);
        Policy::new(
            self.options.apply(settings),
            self.random.node_seeds.random(),
        )
    }

    pub(super) fn start_all_nodes(&mut self) {
        let records = self.list.records();
        let endpoints: BTreeMap<_, _> = records
            .into_iter()
            .map(|record| (record.server, record))
            .collect();
        for id in 0..self.scenario.nodes {
            let policy = self.new_policy(id);
            let zone = deployment::zone(self.scenario, id);
            let version = self.list.version();
            self.nodes
                .add(Node::new(policy, zone, endpoints.clone(), version));
            self.load_cached_endpoints(id);
        }
    }

    /// Ends one pause of a node. After its last pause, the deferred events are handled: first those that revoke
    /// attempts, then the outcomes of attempts, then the others.
    fn end_pause(&mut self, node: NodeId) {
        let Deferred { events, outcomes } = self.nodes[node].resume();
        if !self.nodes[node].is_paused() {
            self.invariants.resumed(self.now, node);
        }
        let gone: BTreeSet<RequestId> = events.iter().filter_map(gone_request).collect();
        let (revoking, others): (Vec<_>, Vec<_>) = events.into_iter().partition(revokes_attempts);
        for event in revoking {
            self.notify_policy(node, event);
        }
        for DeferredOutcome { job, status } in outcomes {
            self.receive_outcome(job, status);
        }
        for event in others {
            self.handle_deferred(node, event, &gone);
        }
    }

    /// Handles a deferred event. A request whose client has gone is skipped; any other has its remaining time updated.
    fn handle_deferred(&mut self, node: NodeId, event: PolicyEvent, gone: &BTreeSet<RequestId>) {
        let event = match event {
            PolicyEvent::Request(request) if gone.contains(&request.id) => return,
            PolicyEvent::Request(request) => {
                let open = self.nodes[node].open.get(&request.id);
                let remaining = open.map_or(0, |open| open.deadline.saturating_sub(self.now));
                PolicyEvent::Request(Request {
                    remaining_deadline: remaining,
                    ..request
                })
            }
            other => other,
        };
        self.notify_policy(node, event);
    }

    /// Asks a node to shut down. The load balancer continues to send it requests for [`DEREGISTRATION_DELAY`].
    fn begin_restart(&mut self, node: NodeId) {
        if !self.nodes[node].is_running() {
            return;
        }
        let killed_at = self.now + deployment::earliest_kill_after_terminate(self.scenario);
        self.nodes[node].begin_shutdown(Shutdown {
            answer_by: killed_at - FINAL_ANSWERS_TIME,
            killed_at,
        });
        let deregister = NodeEvent::Deregister {
            node,
            incarnation: self.nodes[node].incarnation(),
        };
        let delay = DEREGISTRATION_DELAY.as_micros() as Micros;
        self.schedule(self.now + delay, Event::Node(deregister));
    }

    /// Restarts a node that has answered all its requests or has reached its kill time. Otherwise checks again later.
    fn check_shutdown(&mut self, node: NodeId, incarnation: u32) {
        let Some(shutdown) = self.nodes[node].shutdown() else {
            return;
        };
        if self.now >= shutdown.answer_by && !self.has_defect(Defect::NoFinalAnswersOnShutdown) {
            self.fail_unanswered_requests(node);
        }
        if self.nodes[node].open.is_empty() || self.now >= shutdown.killed_at {
            self.end_process(node);
            let start = NodeEvent::Start { node };
            self.schedule(self.now + PROCESS_START_TIME, Event::Node(start));
            return;
        }
        let check = NodeEvent::CheckShutdown { node, incarnation };
        let next = (self.now + SHUTDOWN_CHECK_INTERVAL).min(shutdown.killed_at);
        self.schedule(next, Event::Node(check));
    }

    /// Answers all open requests with a failure, near the end of a node's shutdown.
    fn fail_unanswered_requests(&mut self, node: NodeId) {
        for request in self.nodes[node].unanswered() {
            self.answer(node, request, Reply::Failed);
            self.notify_policy(node, PolicyEvent::ClientGone(request));
        }
    }

    /// Ends the process of a node that was asked to shut down. Requests without an answer are lost.
    fn end_process(&mut self, node: NodeId) {
        for request in self.nodes[node].unanswered() {
            self.invariants.aborted(self.now, (node, request));
        }
        self.kill_node(node);
    }

    /// The time that a node has for a request. It is limited by the request's deadline and by the node's shutdown.
    pub(super) fn remaining_at_node(&self, node: NodeId, deadline: Micros) -> Micros {
        let answer_by = match self.nodes[node].shutdown() {
            Some(shutdown) if !self.has_defect(Defect::NoFinalAnswersOnShutdown) => {
                shutdown.answer_by
            }
            _ => Micros::MAX,
        };
        deadline.min(answer_by).saturating_sub(self.now)
    }

    /// Ends a node's process: its attempts are cancelled, and its clients' connections are closed.
    pub(super) fn kill_node(&mut self, id: NodeId) {
        let node = &mut self.nodes[id];
        if !node.is_running() {
            return;
        }
        let open = node.stop();
        let detected = NodeEvent::DeathDetected {
            node: id,
            incarnation: node.incarnation(),
        };
        let detection_delay = micros(self.scenario.load_balancer.detection_delay);
        self.schedule(self.now + detection_delay, Event::Node(detected));
        self.list.disconnect(id);
        self.invariants.killed(id);
        for job in self.attempts.of_node(id) {
            self.cancel_at_server(job);
            self.attempts.remove(job);
        }
        for request in open.into_values().filter(|request| !request.complete) {
            self.schedule_reply(CLIENT_DELAY, request.client, Reply::Failed);
        }
    }

    /// Starts a node's process again with its copy of the endpoint list. Does nothing if the node is running, because
    /// two faults may each schedule a start.
    fn restart_node(&mut self, id: NodeId) {
        if self.nodes[id].is_running() {
            return;
        }
        let policy = self.new_policy(id);
        self.nodes[id].restart(policy);
        self.load_balancer.register(id);
        self.load_cached_endpoints(id);
    }
}
