//! Nodes of a run: the starts, exits and shutdowns of their processes, and their place in the load balancer's rotation.

use std::time::Duration;

use cluster_model::Micros;
use nix::sys::signal::Signal;
use rand::Rng;

use super::schedule::Scheduled;
use super::{Driver, Message, NodeIncarnation};
use crate::deployment;
use crate::scenario::DEREGISTRATION_DELAY;

/// Nodes that were told to shut down at the end of a run are killed after this time.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(12);

impl Driver<'_> {
    /// Starts a node's process, and a task that reports when the node answers.
    pub(super) fn start_node(&mut self, node: u32) -> std::io::Result<()> {
        let zone = deployment::zone(self.scenario, node);
        let known_endpoints = self.shared.record_node_start(node, zone);
        let seed = self.random.node_seeds.random();
        let process = &mut self.nodes[node as usize];
        process.start(self.options.program, self.scenario, &known_endpoints, seed)?;
        let ready = process.ready();
        let started = self.current_incarnation(node);
        let messages = self.message_sender.clone();
        self.tasks.spawn(async move {
            let ready = ready.await;
            // The send fails only if the driver has been dropped.
            let _ = messages.send(Message::NodeReady { started, ready }).await;
        });
        Ok(())
    }

    /// Starts a node's process unless it is running: two faults may each schedule a start of the same node.
    pub(super) fn start_node_if_stopped(&mut self, node: u32) {
        if self.nodes[node as usize].has_process() {
            return;
        }
        if let Err(error) = self.start_node(node) {
            self.failures
                .push(format!("node {node} could not be started again: {error}"));
        }
    }

    pub(super) fn current_incarnation(&self, node: u32) -> NodeIncarnation {
        NodeIncarnation {
            node,
            incarnation: self.nodes[node as usize].incarnation(),
        }
    }

    fn is_current(&self, node: NodeIncarnation) -> bool {
        self.current_incarnation(node.node) == node
    }

    /// Handles the report that a started node answers, or did not answer in time.
    pub(super) fn node_ready(&mut self, started: NodeIncarnation, ready: bool) {
        let node = started.node;
        let process = &self.nodes[node as usize];
        if !self.is_current(started) || !process.has_process() {
            return;
        }
        if !ready {
            self.failures.push(process.startup_error().to_string());
            return;
        }
        self.load_balancer.add(node);
        self.progress_messages.push(format!("node {node} is ready"));
    }

    /// Tells a node to shut down. The node still gets new requests until it is removed from the rotation.
    pub(super) fn terminate_node(&mut self, now: Micros, node: u32) {
        let process = &mut self.nodes[node as usize];
        if !process.has_process() {
            return;
        }
        process.terminate();
        let leaves_at = now + DEREGISTRATION_DELAY.as_micros() as Micros;
        let leaving = self.current_incarnation(node);
        self.schedule_at(leaves_at, Scheduled::RemoveFromRotation(leaving));
        let killed_at = now + deployment::earliest_kill_after_terminate(self.scenario);
        self.schedule_at(killed_at, Scheduled::KillTerminated(leaving));
    }

    /// Kills a node that has not shut down in the time that the platform allows. Unlike after other kills, its
    /// unanswered requests are lost, because it was told early enough to answer them.
    pub(super) async fn kill_terminated(&mut self, now: Micros, terminated: NodeIncarnation) {
        self.handle_node_exits(now);
        let node = terminated.node;
        if !self.is_current(terminated) || !self.nodes[node as usize].has_process() {
            return;
        }
        self.nodes[node as usize].kill().await;
        let killed_at = self.shared.now();
        self.shared.state().node_killed_in_shutdown(killed_at, node);
        self.load_balancer.remove(node);
        self.progress_messages
            .push(format!("node {node} was killed during its shutdown"));
        self.schedule_at(killed_at, Scheduled::StartNode(node));
    }

    pub(super) fn remove_from_rotation(&mut self, leaving: NodeIncarnation) {
        if self.is_current(leaving) {
            self.load_balancer.remove(leaving.node);
        }
    }

    /// Removes a killed node from the rotation, unless it has been started again.
    pub(super) fn handle_node_death(&mut self, killed: NodeIncarnation) {
        if !self.nodes[killed.node as usize].has_process() {
            self.remove_from_rotation(killed);
        }
    }

    /// Removes nodes whose processes have ended from the rotation, and schedules their restarts.
    pub(super) fn handle_node_exits(&mut self, now: Micros) {
        for node in 0..self.nodes.len() as u32 {
            let process = &mut self.nodes[node as usize];
            let Some(status) = process.take_exit_status() else {
                continue;
            };
            process.connections().close_idle();
            self.load_balancer.remove(node);
            if !process.is_terminating() || !status.success() {
                self.failures
                    .push(format!("crash: node {node} ended by itself with {status}"));
            }
            self.shared.state().node_exited(now, node);
            self.schedule_at(now, Scheduled::StartNode(node));
        }
    }

    /// Shuts all nodes down as a platform does: they are told to shut down, and killed if they do not end in time.
    pub(in crate::sockets) async fn stop_nodes(&mut self) {
        let now = self.shared.now();
        for (node, process) in (0..).zip(&mut self.nodes) {
            process.connections().close_idle();
            // A paused process can't react to SIGTERM.
            self.shared.state().node_resumed(now, node);
            process.signal(Signal::SIGCONT);
            process.terminate();
        }
        let deadline = tokio::time::Instant::now() + SHUTDOWN_TIMEOUT;
        for process in &mut self.nodes {
            match tokio::time::timeout_at(deadline, process.wait()).await {
                Ok(None) => {}
                Ok(Some(Ok(status))) if status.success() => {}
                Ok(Some(status)) => self.failures.push(format!(
                    "crash: a node ended with {status:?} when told to end"
                )),
                Err(_) => self.failures.push("a node did not end when told to".into()),
            }
            process.kill().await;
        }
    }
}
