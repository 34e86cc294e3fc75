//! The life of the nodes: they start, are paused, killed, and shut down gracefully to restart.

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

/// Time that a node leaves itself for its last answers before the platform may kill it, in microseconds.
const FINAL_ANSWER_TIME: Micros = 100_000;
/// How often it is checked whether a node that shuts down has answered all requests, in microseconds.
const SHUTDOWN_CHECK: Micros = 10_000;
/// Time that a process takes to start, in microseconds.
const PROCESS_START: Micros = 50_000;

/// An event of a node's life. One that names an incarnation is void in any other.
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
    /// A node is told to shut down and restart.
    Restart { node: NodeId },
    /// The load balancer stops sending requests to a node that shuts down.
    Deregister { node: NodeId, incarnation: u32 },
    /// It is checked whether a node that shuts down has answered all requests.
    CheckShutdown { node: NodeId, incarnation: u32 },
    /// A node's process starts again.
    Start { node: NodeId },
    /// The load balancer notices that a node has died.
    DeathDetected { node: NodeId, incarnation: u32 },
}

/// The request whose client has gone by an event.
fn gone_request(event: &PolicyEvent) -> Option<RequestId> {
    match event {
        PolicyEvent::ClientGone(request) => Some(*request),
        _ => None,
    }
}

/// Whether an event may forbid attempts that others would lead to.
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
                let its = &self.nodes[node];
                if !its.is_running() && its.incarnation() == incarnation {
                    self.load_balancer.deregister(node);
                }
            }
        }
    }

    /// Whether a node runs in an incarnation.
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

    /// A pause of a node ends, perhaps its last. What waited is handled: first what revokes attempts, then the outcomes
    /// of attempts, then the rest.
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
            self.outcome_arrives(job, status);
        }
        for event in others {
            self.handle_after_pause(node, event, &gone);
        }
    }

    /// Handles an event that waited. A request whose client has gone is passed over, another has what is left of its
    /// time.
    fn handle_after_pause(&mut self, node: NodeId, event: PolicyEvent, gone: &BTreeSet<RequestId>) {
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

    /// A node is told to shut down; the load balancer sends it requests for a while longer.
    fn begin_restart(&mut self, node: NodeId) {
        if !self.nodes[node].is_running() {
            return;
        }
        let killed_at = self.now + deployment::earliest_kill_after_terminate(self.scenario);
        self.nodes[node].begin_shutdown(Shutdown {
            answer_by: killed_at - FINAL_ANSWER_TIME,
            killed_at,
        });
        let deregister = NodeEvent::Deregister {
            node,
            incarnation: self.nodes[node].incarnation(),
        };
        let delay = DEREGISTRATION_DELAY.as_micros() as Micros;
        self.schedule(self.now + delay, Event::Node(deregister));
    }

    /// Ends a node that has answered all its requests or whose time is over, and starts it again; else checks later.
    fn check_shutdown(&mut self, node: NodeId, incarnation: u32) {
        let Some(shutdown) = self.nodes[node].shutdown() else {
            return;
        };
        if self.now >= shutdown.answer_by && !self.has_defect(Defect::NoAnswersBeforeExit) {
            self.answer_all(node);
        }
        if self.nodes[node].open.is_empty() || self.now >= shutdown.killed_at {
            self.end_process(node);
            let start = NodeEvent::Start { node };
            self.schedule(self.now + PROCESS_START, Event::Node(start));
            return;
        }
        let check = NodeEvent::CheckShutdown { node, incarnation };
        let next = (self.now + SHUTDOWN_CHECK).min(shutdown.killed_at);
        self.schedule(next, Event::Node(check));
    }

    /// A node whose shutdown is nearly over gives the answers that are left, which say that the requests failed.
    fn answer_all(&mut self, node: NodeId) {
        for request in self.nodes[node].unanswered() {
            self.answer(node, request, Reply::Failed);
            self.notify_policy(node, PolicyEvent::ClientGone(request));
        }
    }

    /// The process of a node that was told to shut down ends: what it leaves unanswered is lost.
    fn end_process(&mut self, node: NodeId) {
        for request in self.nodes[node].unanswered() {
            self.invariants.aborted(self.now, (node, request));
        }
        self.kill_node(node);
    }

    /// The time that a node has for a request with a deadline, which is less near the end of its shutdown.
    pub(super) fn remaining_at_node(&self, node: NodeId, deadline: Micros) -> Micros {
        let answer_by = match self.nodes[node].shutdown() {
            Some(shutdown) if !self.has_defect(Defect::NoAnswersBeforeExit) => shutdown.answer_by,
            _ => Micros::MAX,
        };
        deadline.min(answer_by).saturating_sub(self.now)
    }

    /// A node's process ends: its attempts are cancelled, and its clients' connections break.
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

    /// A node's process starts again, with the endpoint list that it had. Two faults may each try to start it.
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
