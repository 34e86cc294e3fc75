//! State of the emulated cluster: cache servers, origin, discovery, the protocol's invariants, and the attempts that
//! wait for a reply. This module has no sockets; the emulated services report to it what they receive.
//!
//! Times are Unix microseconds. One lock guards the whole state (`SharedCluster`), so nothing in this module blocks.

mod attempts;
mod cuts;
mod discovery;
mod faults;
mod requests;
mod suspensions;
mod warm_up;

use std::collections::BTreeMap;

use cluster_model::endpoint_list::NodeId;
use cluster_model::invariants::Invariants;
use cluster_model::machine::JobId;
use cluster_model::network::{Network, Zone};
use cluster_model::origin::Origin;
use cluster_model::server::CacheServer;
use cluster_model::{Micros, RandomStream, random_stream};

pub use attempts::{AttemptReply, PendingAttempt, ReceivedAttempt};

use crate::clients::Stream;
use crate::deployment;
use crate::scenario::Scenario;
use attempts::Job;
use cuts::ZoneIsolations;
use discovery::Discovery;
use requests::OpenRequest;
pub use suspensions::HEARTBEAT_INTERVAL;
use suspensions::Suspensions;

/// The number of a cache server, counted from 1.
pub type ServerNumber = u32;
/// The number of a request, which is one attempt of a client at one node.
pub type RequestId = u64;

/// An attempt may arrive this long after the end of its request, in microseconds, because it was in transit on a
/// socket.
const TRANSIT_GRACE: Micros = 50_000;
/// Offset of the random streams that must differ from those of the virtual-time driver.
pub const SOCKETS_STREAM_OFFSET: u64 = 100;

struct Server {
    cache: CacheServer,
    placement: ServerPlacement,
}

/// Kind and zone of a cache server.
#[derive(Debug, Clone, Copy)]
pub struct ServerPlacement {
    /// Index of its kind in the scenario.
    pub kind: usize,
    /// Its zone.
    pub zone: Zone,
}

/// The kind of an event that counts in the clients' reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CountedKind {
    /// An attempt at a cache server.
    Attempt,
    /// An attempt that a cache server rejected.
    Rejected,
    /// A call to the origin.
    OriginCall,
}

/// An event that is counted for a client's request.
#[derive(Debug, Clone, Copy)]
pub struct CountedEvent {
    /// Intended arrival time of the client.
    pub intended_at: Micros,
    /// Kind of the event.
    pub kind: CountedKind,
}

/// Events since the driver last took them.
#[derive(Debug, Default)]
pub struct ClusterEvents {
    /// Events that count in the clients' reports.
    pub counted: Vec<CountedEvent>,
    /// Cache servers whose processes have died of overload.
    pub collapsed: Vec<ServerNumber>,
}

/// The emulated cluster.
pub struct ClusterState {
    scenario: Scenario,
    servers: BTreeMap<ServerNumber, Server>,
    origin: Origin,
    /// Decides which replies are damaged. Delays and isolated zones are simulated by the links instead.
    network: Network,
    discovery: Discovery,
    invariants: Invariants,
    requests: BTreeMap<RequestId, OpenRequest>,
    /// How long requests are kept after their end.
    request_retention: Micros,
    jobs: BTreeMap<JobId, Job>,
    last_job: JobId,
    isolations: ZoneIsolations,
    suspensions: Suspensions,
    work_random: RandomStream,
    fault_random: RandomStream,
    events: ClusterEvents,
    attempts_by_server: BTreeMap<ServerNumber, u64>,
}

impl ClusterState {
    /// Creates the cluster of a scenario, with servers that have been running for a long time.
    pub fn new(scenario: &Scenario, seed: u64, now: Micros) -> ClusterState {
        let servers = initial_servers(scenario, now);
        ClusterState {
            network: deployment::network(scenario),
            discovery: Discovery::new(deployment::endpoint_list(scenario), servers.keys().copied()),
            servers,
            origin: deployment::origin(scenario, now),
            invariants: deployment::invariants(scenario, TRANSIT_GRACE),
            requests: BTreeMap::new(),
            request_retention: requests::retention(scenario),
            jobs: BTreeMap::new(),
            last_job: 0,
            isolations: ZoneIsolations::default(),
            suspensions: Suspensions::default(),
            work_random: random_stream(seed, Stream::Work as u64 + SOCKETS_STREAM_OFFSET),
            fault_random: random_stream(seed, Stream::Faults as u64),
            events: ClusterEvents::default(),
            attempts_by_server: BTreeMap::new(),
            scenario: scenario.clone(),
        }
    }

    /// The numbers of all cache servers, in ascending order.
    pub fn server_numbers(&self) -> Vec<ServerNumber> {
        self.servers.keys().copied().collect()
    }

    /// Kind and zone of a cache server.
    pub fn server_placement(&self, number: ServerNumber) -> Option<ServerPlacement> {
        self.servers.get(&number).map(|server| server.placement)
    }

    /// Returns whether a cache server's process is running.
    pub fn is_server_up(&self, number: ServerNumber) -> bool {
        self.servers
            .get(&number)
            .is_some_and(|server| server.cache.is_running())
    }

    /// Number of running cache servers.
    pub fn servers_up(&self) -> usize {
        self.servers
            .values()
            .filter(|server| server.cache.is_running())
            .count()
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> ClusterEvents {
        std::mem::take(&mut self.events)
    }

    /// Returns the number of attempts at each cache server, and resets the counts.
    pub fn take_attempts_by_server(&mut self) -> BTreeMap<ServerNumber, u64> {
        std::mem::take(&mut self.attempts_by_server)
    }

    /// Ends the run: checks for unanswered requests, and returns the invariants with their violations.
    pub fn end(&mut self, now: Micros) -> &Invariants {
        self.invariants.finish(now);
        &self.invariants
    }

    /// The invariants, with the violations so far.
    pub fn invariants(&self) -> &Invariants {
        &self.invariants
    }

    /// A node's process was paused.
    pub fn node_paused(&mut self, now: Micros, node: NodeId) {
        self.suspensions.paused(now, node);
        self.invariants.paused(now, node);
    }

    /// A node's process resumed after a pause.
    pub fn node_resumed(&mut self, now: Micros, node: NodeId) {
        self.suspensions.resumed(now, node);
        self.invariants.resumed(now, node);
    }

    /// Returns the time of the next work for [`ClusterState::run_due`].
    pub fn next_due(&self) -> Option<Micros> {
        let servers = self
            .servers
            .values()
            .filter_map(|server| server.cache.next_event_at());
        servers
            .chain(self.origin.next_event_at())
            .chain(self.discovery.next_due())
            .min()
    }

    /// Performs all work that is due by now.
    pub fn run_due(&mut self, now: Micros) {
        for number in self.server_numbers() {
            self.run_due_at_server(now, number);
        }
        self.run_due_at_origin(now);
        self.discovery.run_due(now);
    }
}

fn initial_servers(scenario: &Scenario, now: Micros) -> BTreeMap<ServerNumber, Server> {
    let mut servers = BTreeMap::new();
    for (kind, spec) in scenario.kinds.iter().enumerate() {
        for _ in 0..spec.servers {
            let number = servers.len() as ServerNumber + 1;
            let zone = deployment::zone(scenario, number);
            let server = Server {
                cache: CacheServer::new(deployment::cache_server(scenario, spec), 0, now),
                placement: ServerPlacement { kind, zone },
            };
            servers.insert(number, server);
        }
    }
    servers
}

/// Returns a cache server's name in the endpoint list.
pub fn server_name(number: ServerNumber) -> String {
    format!("s-{number}")
}
