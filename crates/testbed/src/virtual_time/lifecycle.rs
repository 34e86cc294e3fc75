//! The life of the nodes: they start, are paused, killed, and shut down gracefully to restart.

use std::collections::BTreeMap;

use cluster_model::Micros;
use cluster_model::endpoint_list::NodeId;
use rand::Rng;
use routing_policy::{Event as PolicyEvent, Policy};

use super::clients::CLIENT_DELAY;
use super::nodes::Node;
use super::{Event, Simulation};
use crate::clients::Reply;
use crate::scenario::DEREGISTRATION_DELAY;
use crate::{deployment, micros};

/// A node that shuts down and has not answered all requests after this time is killed, as a platform does; in
/// microseconds.
const SHUTDOWN_TIMEOUT: Micros = 10_000_000;
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
    CheckShutdown {
        node: NodeId,
        incarnation: u32,
        since: Micros,
    },
    /// A node's process starts again.
    Start { node: NodeId },
    /// The load balancer notices that a node has died.
    DeathDetected { node: NodeId, incarnation: u32 },
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
                    self.check_shutdown(node, incarnation, self.now);
                }
            }
            NodeEvent::CheckShutdown {
                node,
                incarnation,
                since,
            } => {
                if self.is_current(node, incarnation) {
                    self.check_shutdown(node, incarnation, since);
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
        Policy::new(settings, self.random.node_seeds.random())
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

    /// A pause of a node ends, perhaps its last.
    fn end_pause(&mut self, node: NodeId) {
        for event in self.nodes[node].resume() {
            self.notify_policy(node, event);
        }
    }

    /// A node is told to shut down; the load balancer sends it requests for a while longer.
    fn begin_restart(&mut self, node: NodeId) {
        if !self.nodes[node].is_running() {
            return;
        }
        let deregister = NodeEvent::Deregister {
            node,
            incarnation: self.nodes[node].incarnation(),
        };
        let delay = DEREGISTRATION_DELAY.as_micros() as Micros;
        self.schedule(self.now + delay, Event::Node(deregister));
    }

    /// Ends a node that has answered all its requests or has taken too long, and starts it again; else checks later.
    fn check_shutdown(&mut self, node: NodeId, incarnation: u32, since: Micros) {
        let timed_out = self.now > since + SHUTDOWN_TIMEOUT;
        if self.nodes[node].open.is_empty() || timed_out {
            self.kill_node(node);
            let start = NodeEvent::Start { node };
            self.schedule(self.now + PROCESS_START, Event::Node(start));
            return;
        }
        let check = NodeEvent::CheckShutdown {
            node,
            incarnation,
            since,
        };
        self.schedule(self.now + SHUTDOWN_CHECK, Event::Node(check));
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
