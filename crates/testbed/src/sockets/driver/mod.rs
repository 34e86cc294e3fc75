//! The driver of a run on sockets. One task owns the schedule, the clients and the nodes, and handles scheduled actions
//! and the messages of its other tasks.
//!
//! Tasks: the driver owns the services (`services`), the clients' requests and the waits for nodes to start (`tasks`),
//! the links and the node processes. All of them end when it is dropped.

mod clients;
mod faults;
mod load_balancer;
mod nodes;
mod schedule;
mod servers;
mod setup;
mod system_faults;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cluster_model::{Micros, RandomStream, random_stream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};

use super::client_connections::RequestError;
use super::cluster::{ClusterEvents, CountedKind, RequestId, SOCKETS_STREAM_OFFSET, server_name};
use super::link::Link;
use super::loopback::LoopbackBlock;
use super::router_process::RouterProcess;
use super::shared::SharedCluster;
use super::{Progress, RunOptions};
use crate::clients::{Clients, Reply, Stream};
use crate::event_queue::EventQueue;
use crate::micros;
use crate::report::{self, Counts, Report};
use crate::scenario::Scenario;
use load_balancer::LoadBalancer;
use schedule::Scheduled;
use system_faults::SystemFaults;

pub(super) use system_faults::needs_fault_injector;

/// Maximum time after the last client arrival for which the run waits for open requests, in microseconds.
const MAX_COMPLETION_WAIT: Micros = 10_000_000;
/// Interval at which progress is reported, exits of nodes are detected, and old requests are forgotten.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// The number of a client.
type ClientId = u64;

/// One process of a node. Actions that were scheduled for an earlier incarnation are ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct NodeIncarnation {
    node: u32,
    incarnation: u32,
}

/// A message from a task to the driver.
#[derive(Debug, Clone, Copy)]
enum Message {
    /// A client's request has ended.
    RequestEnded {
        client: ClientId,
        request: RequestId,
        result: RequestResult,
    },
    /// A node that was started answers, or did not answer in time.
    NodeReady {
        started: NodeIncarnation,
        ready: bool,
    },
}

/// The result of a client's request.
#[derive(Debug, Clone, Copy)]
enum RequestResult {
    /// The request ended, with or without a reply, before the client disconnected or after its deadline.
    Ended(Result<Reply, RequestError>),
    /// The client disconnected before its deadline.
    ClientDisconnected,
    /// The client's deadline has passed. Its connection stays open, because the node must still answer.
    DeadlinePassed,
}

/// Random streams of the driver. Each has its own seed, so that draws from one do not shift the draws from another.
struct RandomStreams {
    malformed_traffic: RandomStream,
    node_seeds: RandomStream,
    system_faults: RandomStream,
}

impl RandomStreams {
    fn new(seed: u64) -> RandomStreams {
        // The stream without the offset is used by the cluster for its faults.
        let malformed_traffic = Stream::Faults as u64 + SOCKETS_STREAM_OFFSET;
        RandomStreams {
            malformed_traffic: random_stream(seed, malformed_traffic),
            node_seeds: random_stream(seed, Stream::Nodes as u64),
            system_faults: random_stream(seed, Stream::Nodes as u64 + SOCKETS_STREAM_OFFSET),
        }
    }
}

/// A run in progress.
pub(super) struct Driver<'a> {
    scenario: &'a Scenario,
    options: &'a RunOptions<'a>,
    shared: Arc<SharedCluster>,
    /// When the first client may arrive.
    begin: Micros,
    schedule: EventQueue<Scheduled>,
    clients: Clients<'a>,
    nodes: Vec<RouterProcess>,
    load_balancer: LoadBalancer,
    /// Links to the cache servers, indexed by source zone and server.
    links: Vec<Vec<Link>>,
    /// Tasks of the cluster's timers and of the listeners of its services.
    services: JoinSet<()>,
    /// Handles of the discovery listeners' tasks in `services`.
    discovery_listeners: Vec<AbortHandle>,
    /// Tasks of requests, waits for nodes to start, and peers that send malformed bytes.
    tasks: JoinSet<()>,
    last_request: RequestId,
    /// Requests whose deadlines have passed without an answer.
    overdue: BTreeSet<RequestId>,
    message_sender: mpsc::Sender<Message>,
    messages: mpsc::Receiver<Message>,
    random: RandomStreams,
    system_faults: SystemFaults,
    /// Descriptions of faults and recoveries for the next progress report.
    progress_messages: Vec<String>,
    /// Descriptions of failures other than violations of the protocol's invariants.
    failures: Vec<String>,
    /// The addresses of the run. Declared last so that it is dropped after everything that listens on them.
    addresses: LoopbackBlock,
}

impl Driver<'_> {
    /// Runs until all clients' requests have ended.
    pub(super) async fn run(&mut self, progress: &mut impl FnMut(&Progress)) {
        let mut progress_timer = tokio::time::interval(PROGRESS_INTERVAL);
        let mut reported = Counts::default();
        while !self.is_finished() {
            let due = self
                .schedule
                .next_event_at()
                .unwrap_or_else(|| self.latest_end());
            let due = self.shared.instant(due);
            tokio::select! {
                () = tokio::time::sleep_until(due) => self.run_due().await,
                Some(message) = self.messages.recv() => self.handle_message(message),
                _ = progress_timer.tick() => self.report_progress(&mut reported, progress),
                Some(_) = self.tasks.join_next() => {}
            }
            self.handle_cluster_events();
        }
        // Answers that nodes send while they are being stopped are not read.
        let now = self.shared.now();
        self.shared.state().end(now);
    }

    /// When the last client may arrive.
    fn last_arrival(&self) -> Micros {
        self.begin + micros(self.scenario.duration)
    }

    fn latest_end(&self) -> Micros {
        self.last_arrival() + MAX_COMPLETION_WAIT
    }

    fn is_finished(&self) -> bool {
        let now = self.shared.now();
        if now > self.latest_end() {
            return true;
        }
        let arrivals_pending = self
            .schedule
            .contains(|scheduled| matches!(scheduled, Scheduled::NextArrival));
        let all_answered = self.clients.open_count() == 0 && self.overdue.is_empty();
        !arrivals_pending && now > self.last_arrival() && all_answered
    }

    fn schedule_at(&mut self, at: Micros, scheduled: Scheduled) {
        self.schedule.schedule(at, scheduled);
    }

    async fn run_due(&mut self) {
        let now = self.shared.now();
        while self.schedule.next_event_at().is_some_and(|due| due <= now) {
            if let Some((at, scheduled)) = self.schedule.pop() {
                self.execute(at, scheduled).await;
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::RequestEnded {
                client,
                request,
                result,
            } => self.request_ended(client, request, result),
            Message::NodeReady { started, ready } => self.node_ready(started, ready),
        }
    }

    /// Adds the cluster's counted events to the clients' counts, and handles servers that have died of overload.
    fn handle_cluster_events(&mut self) {
        let now = self.shared.now();
        let ClusterEvents { counted, collapsed } = self.shared.state().take_events();
        for event in counted {
            self.clients
                .count(event.intended_at, |counts| match event.kind {
                    CountedKind::Attempt => counts.attempts += 1,
                    CountedKind::Rejected => counts.rejected_attempts += 1,
                    CountedKind::OriginCall => counts.origin_calls += 1,
                });
        }
        for server in collapsed {
            self.progress_messages
                .push(format!("{} crashed from overload", server_name(server)));
            self.server_ended(now, server);
        }
    }

    fn report_progress(&mut self, reported: &mut Counts, progress: &mut impl FnMut(&Progress)) {
        let now = self.shared.now();
        let servers_up = {
            let mut state = self.shared.state();
            state.forget_finished_requests(now);
            state.servers_up()
        };
        self.handle_node_exits(now);
        let counts = self.clients.totals();
        let recent = counts.since(reported);
        *reported = counts;
        progress(&Progress {
            elapsed: now.saturating_sub(self.begin),
            length: micros(self.scenario.duration),
            recent,
            nodes_up: self.load_balancer.node_count(),
            servers_up,
            server_connections: self.shared.traffic().server_connections(),
            list_bytes: self.shared.traffic().list_bytes(),
            messages: std::mem::take(&mut self.progress_messages),
        });
    }

    /// Returns the report of a completed run.
    pub(super) fn into_report(mut self, seed: u64) -> Report {
        let injected_faults = self.injected_faults();
        let mut state = self.shared.state();
        let mut violations = report::violations(state.invariants(), self.begin);
        let violation_count = violations.count + self.failures.len();
        violations.descriptions.append(&mut self.failures);
        let results = self.clients.results();
        Report {
            seed,
            nodes: self.scenario.nodes,
            servers: self.scenario.kinds.iter().map(|kind| kind.servers).sum(),
            service_level: results.service_level,
            classes: results.classes,
            windows: results.windows,
            attempts_by_server: state.take_attempts_by_server(),
            events: self.schedule.scheduled_count(),
            violations: violations.descriptions,
            violation_count,
            injected_faults,
        }
    }
}
