//! The driver in virtual time: an event queue, the policy of each node, and the parts of the cluster model. The clock
//! advances from event to event. Events at the same time are handled in the order in which they were scheduled.
//!
//! Each concern has a module, and most modules define the events that they handle: `clients` and `load_balancer`;
//! `nodes`, the `lifecycle` of their processes and the `policy_driver`; `attempts` in flight between nodes and servers;
//! `servers`, including the origin; `discovery` through the endpoint list; and `faults`. `node_options` is for tests of
//! the invariants.

mod attempts;
mod clients;
mod discovery;
mod faults;
mod lifecycle;
mod load_balancer;
mod node_options;
mod nodes;
mod policy_driver;
mod servers;

use std::collections::BTreeMap;

use cluster_model::endpoint_list::EndpointList;
use cluster_model::invariants::Invariants;
use cluster_model::network::Network;
use cluster_model::origin::Origin;
use cluster_model::{Micros, RandomStream, random_stream};
use routing_policy::ServerId;

use crate::clients::{Clients, Stream};
use crate::event_queue::EventQueue;
use crate::report::{self, Counts, Report};
use crate::scenario::Scenario;
use crate::{deployment, micros};
use attempts::{AttemptEvent, InFlightAttempts};
use clients::ClientEvent;
use discovery::DiscoveryEvent;
use faults::InjectionEvent;
use lifecycle::NodeEvent;
use load_balancer::LoadBalancer;
pub use node_options::{Defect, NodeOptions};
use nodes::Nodes;
use servers::{Server, ServerEvent};

/// Time at which a run begins, in microseconds. It is large, so that servers can have started long before it.
const BEGIN: Micros = 1_000_000_000;
/// After the last arrival a run continues until all requests are answered, but for at most this time, in microseconds.
const MAX_DRAIN_TIME: Micros = 10_000_000;

/// A future event, by the module that handles it.
enum Event {
    Client(ClientEvent),
    Node(NodeEvent),
    Attempt(AttemptEvent),
    Server(ServerEvent),
    Discovery(DiscoveryEvent),
    Injection(InjectionEvent),
}

/// The random streams that the driver draws from.
struct RandomStreams {
    work: RandomStream,
    network: RandomStream,
    load_balancer: RandomStream,
    faults: RandomStream,
    node_seeds: RandomStream,
}

impl RandomStreams {
    fn new(seed: u64) -> Self {
        let stream = |stream: Stream| random_stream(seed, stream as u64);
        RandomStreams {
            work: stream(Stream::Work),
            network: stream(Stream::Network),
            load_balancer: stream(Stream::LoadBalancer),
            faults: stream(Stream::Faults),
            node_seeds: stream(Stream::Nodes),
        }
    }
}

/// A run in progress.
struct Simulation<'a> {
    scenario: &'a Scenario,
    now: Micros,
    queue: EventQueue<Event>,
    events: u64,
    random: RandomStreams,
    clients: Clients<'a>,
    load_balancer: LoadBalancer,
    nodes: Nodes,
    attempts: InFlightAttempts,
    network: Network,
    servers: BTreeMap<ServerId, Server>,
    origin: Origin,
    /// Incremented whenever the origin's next event is rescheduled. Events with an earlier generation are ignored.
    origin_generation: u64,
    list: EndpointList,
    invariants: Invariants,
    attempts_by_server: BTreeMap<ServerId, u64>,
    options: NodeOptions,
}

/// Runs a scenario with a seed.
pub fn run(scenario: &Scenario, seed: u64) -> Report {
    run_with_options(scenario, seed, NodeOptions::default())
}

/// Runs a scenario with a seed, and with nodes that deviate from its deployment.
pub fn run_with_options(scenario: &Scenario, seed: u64, options: NodeOptions) -> Report {
    let mut simulation = Simulation::new(scenario, seed, options);
    simulation.begin();
    let end = BEGIN + micros(scenario.duration) + MAX_DRAIN_TIME;
    while let Some((at, event)) = simulation.queue.pop() {
        if at > end {
            break;
        }
        simulation.now = at;
        simulation.events += 1;
        simulation.handle(event);
    }
    // Requests that are still open without any event left will never be answered.
    simulation.now = end;
    simulation.report(seed)
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, seed: u64, options: NodeOptions) -> Self {
        let servers = servers::initial_servers(scenario);
        let list = EndpointList::new(deployment::endpoint_list(scenario), servers.keys().copied());
        Simulation {
            now: BEGIN,
            queue: EventQueue::new(),
            events: 0,
            random: RandomStreams::new(seed),
            clients: Clients::new(scenario, seed, BEGIN),
            load_balancer: LoadBalancer::new(scenario.nodes),
            nodes: Nodes::default(),
            attempts: InFlightAttempts::default(),
            network: deployment::network(scenario),
            servers,
            origin: deployment::origin(scenario, BEGIN),
            origin_generation: 0,
            list,
            invariants: deployment::invariants(scenario, 0),
            attempts_by_server: BTreeMap::new(),
            options,
            scenario,
        }
    }

    /// Fills the caches, starts the nodes, and schedules the faults and the first arrival.
    fn begin(&mut self) {
        self.fill_caches();
        self.start_all_nodes();
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            let begin = InjectionEvent::Begin { index };
            self.schedule(BEGIN + micros(fault.at()), Event::Injection(begin));
        }
        self.schedule_next_arrival();
    }

    fn has_defect(&self, defect: Defect) -> bool {
        self.options.defect == Some(defect)
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.queue.schedule(at.max(self.now), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Client(event) => self.handle_client_event(event),
            Event::Node(event) => self.handle_node_event(event),
            Event::Attempt(event) => self.handle_attempt_event(event),
            Event::Server(event) => self.handle_server_event(event),
            Event::Discovery(event) => self.handle_discovery_event(event),
            Event::Injection(event) => self.handle_injection_event(event),
        }
    }

    /// Updates the counts for the request of a client, or for the current time if that request has ended.
    fn count(&mut self, client: u64, update: impl FnOnce(&mut Counts)) {
        let intended_at = self
            .clients
            .get(client)
            .map_or(self.now, |client| client.intended_at);
        self.clients.count(intended_at, update);
    }

    fn report(mut self, seed: u64) -> Report {
        self.invariants.finish(self.now);
        let results = self.clients.results();
        let violations = report::violations(&self.invariants, BEGIN);
        Report {
            seed,
            nodes: self.scenario.nodes,
            servers: self.scenario.server_count(),
            service_level: results.service_level,
            classes: results.classes,
            windows: results.windows,
            attempts_by_server: self.attempts_by_server,
            events: self.events,
            violations: violations.descriptions,
            violation_count: violations.count,
            injected_faults: Vec::new(),
        }
    }
}
