//! State that the emulated services and the driver share: the cluster's state behind one lock, the clock, and the
//! addresses that nodes are given.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cluster_model::Micros;
use cluster_model::endpoint_list::{EndpointRecord, NodeId, ServerState};
use cluster_model::network::Zone;
use serde_json::{Value, json};
use tokio::sync::Notify;

use super::clock::Clock;
use super::cluster::{ClusterState, HEARTBEAT_INTERVAL, ServerNumber, server_name};
use crate::scenario::Scenario;

/// Locks a mutex even if it is poisoned, because a panic in another task fails the run anyway.
pub fn lock_ignoring_poison<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An endpoint list, or a change to it, that is sent to nodes.
#[derive(Debug, Clone, Copy)]
pub struct EndpointListMessage<'a> {
    /// The version of the list that a node holds once it has applied the message.
    pub version: u64,
    /// Whether the message is a complete list, which replaces the list that the node holds.
    pub complete: bool,
    /// The cache servers that are listed or changed.
    pub records: &'a [EndpointRecord],
}

/// A sudden change of a wall clock.
#[derive(Debug, Clone, Copy)]
struct ClockStep {
    /// Time of the step by the clock of the run.
    at: Micros,
    /// Offset in microseconds; negative for a step back.
    offset: i64,
}

/// Counts of the traffic between the nodes and the emulated services.
#[derive(Debug, Default)]
pub struct Traffic {
    server_connections: AtomicU64,
    list_bytes: AtomicU64,
}

impl Traffic {
    /// Counts a connection that a cache server has accepted.
    pub fn count_server_connection(&self) {
        self.server_connections.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts bytes that discovery sends.
    pub fn count_list_bytes(&self, bytes: usize) {
        self.list_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Connections that cache servers have accepted so far.
    pub fn server_connections(&self) -> u64 {
        self.server_connections.load(Ordering::Relaxed)
    }

    /// Bytes that discovery has sent so far.
    pub fn list_bytes(&self) -> u64 {
        self.list_bytes.load(Ordering::Relaxed)
    }
}

/// The emulated cluster, shared by the services and the driver. No lock is held across an await.
pub struct SharedCluster {
    clock: Clock,
    state: Mutex<ClusterState>,
    work_scheduled: Notify,
    traffic: Traffic,
    value: Bytes,
    /// Steps of the discovery service's wall clock, in chronological order.
    discovery_clock_steps: Mutex<Vec<ClockStep>>,
    /// For the nodes of each zone, the addresses at which they reach the cache servers. Indexed by zone, then by
    /// [`address_index`].
    server_addresses: Mutex<Vec<Vec<SocketAddr>>>,
    origin_address: SocketAddr,
    /// Names of the server kinds, by index of the kind in the scenario.
    kind_names: Vec<String>,
}

impl SharedCluster {
    /// Creates the cluster of a scenario and starts its clock. Nodes are given `origin_address` as the address of the
    /// origin.
    pub fn new(scenario: &Scenario, seed: u64, origin_address: SocketAddr) -> SharedCluster {
        let clock = Clock::start();
        let state = ClusterState::new(scenario, seed, clock.unix_start());
        SharedCluster {
            clock,
            state: Mutex::new(state),
            work_scheduled: Notify::new(),
            traffic: Traffic::default(),
            value: Bytes::from(vec![b'v'; scenario.load.value_bytes as usize]),
            discovery_clock_steps: Mutex::default(),
            server_addresses: Mutex::new(vec![Vec::new(); usize::from(scenario.zones)]),
            origin_address,
            kind_names: scenario
                .kinds
                .iter()
                .map(|kind| kind.name.clone())
                .collect(),
        }
    }

    /// Current Unix time, in microseconds.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Converts a Unix time in microseconds to an instant.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        self.clock.instant(at)
    }

    /// The value of every key, which cache servers and the origin return.
    pub fn value(&self) -> &Bytes {
        &self.value
    }

    /// Counts of the traffic between the nodes and the emulated services.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Locks the cluster's state. The guard must not be held across an await.
    pub fn state(&self) -> MutexGuard<'_, ClusterState> {
        lock_ignoring_poison(&self.state)
    }

    /// Adds the address at which the nodes of a zone reach a cache server. Must be called for the servers in the order
    /// of their numbers.
    pub fn add_server_address(&self, zone: Zone, address: SocketAddr) {
        lock_ignoring_poison(&self.server_addresses)[usize::from(zone)].push(address);
    }

    /// Makes [`run_due_work`] check again when work is due. Must be called after a change that may make work due
    /// earlier.
    pub fn notify_work_scheduled(&self) {
        self.work_scheduled.notify_one();
    }

    /// Steps the wall clock of the discovery service. Servers that start at `at` or later are listed with a start time
    /// by the stepped clock.
    pub fn step_discovery_clock(&self, at: Micros, offset: i64) {
        lock_ignoring_poison(&self.discovery_clock_steps).push(ClockStep { at, offset });
    }

    /// Converts the start time of a server to the discovery service's wall clock. A start time of 0 means long ago, and
    /// stays 0.
    fn discovery_time(&self, at: Micros) -> Micros {
        if at == 0 {
            return 0;
        }
        let steps = lock_ignoring_poison(&self.discovery_clock_steps);
        let past_steps = steps.iter().filter(|step| step.at <= at);
        at.saturating_add_signed(past_steps.map(|step| step.offset).sum())
    }

    /// Records that a node's process starts, and returns the endpoint list that it holds from the beginning, in the
    /// protocol's JSON form.
    pub fn record_node_start(&self, node: NodeId, zone: Zone) -> Value {
        let now = self.now();
        let held = self.state().record_node_start(now, node);
        self.endpoint_list_json(
            zone,
            EndpointListMessage {
                version: held.version,
                complete: true,
                records: &held.records,
            },
        )
    }

    /// Returns an endpoint list, or a change to it, in the protocol's JSON form, with the addresses at which the nodes
    /// of a zone reach the servers.
    pub fn endpoint_list_json(&self, zone: Zone, message: EndpointListMessage<'_>) -> Value {
        let state = self.state();
        let addresses = lock_ignoring_poison(&self.server_addresses);
        let endpoint_json = |record: &EndpointRecord| {
            let placement = state.server_placement(record.server)?;
            let address = addresses
                .get(usize::from(zone))?
                .get(address_index(record.server))?;
            Some(json!({
                "name": server_name(record.server),
                "address": address,
                "zone": format!("z{}", placement.zone),
                "type": self.kind_names[placement.kind],
                "group": 1,
                "status": status_name(record.state),
                "weight": 1.0,
                "since_ms": self.discovery_time(record.started) / 1_000,
            }))
        };
        let mut endpoints: Vec<Value> = message.records.iter().filter_map(endpoint_json).collect();
        if message.complete {
            endpoints.push(json!({
                "name": "origin",
                "address": self.origin_address,
                "zone": format!("z{zone}"),
                "type": "origin",
                "group": 1,
                "status": "active",
                "weight": 1.0,
                "since_ms": 0,
            }));
        }
        json!({"index": message.version, "snapshot": message.complete, "endpoints": endpoints})
    }
}

/// Index of a cache server in the addresses for each zone. Servers are numbered from 1.
fn address_index(server: ServerNumber) -> usize {
    server as usize - 1
}

fn status_name(state: ServerState) -> &'static str {
    match state {
        ServerState::Ready => "active",
        ServerState::Draining => "leaving",
        ServerState::Removed => "left",
    }
}

/// Records at a fixed interval that the testbed is running, so that stalls of the testbed are detected. Never returns:
/// the owner of the task ends it.
pub async fn record_heartbeats(shared: Arc<SharedCluster>) {
    let interval = Duration::from_micros(HEARTBEAT_INTERVAL);
    loop {
        let now = shared.now();
        shared.state().heartbeat(now);
        tokio::time::sleep(interval).await;
    }
}

/// Performs the work of the cluster's servers, origin and discovery service when it is due. Never returns: the owner of
/// the task ends it.
pub async fn run_due_work(shared: Arc<SharedCluster>) {
    loop {
        let due = shared.state().next_due();
        match due {
            Some(due) => tokio::select! {
                () = tokio::time::sleep_until(shared.instant(due)) => {}
                () = shared.work_scheduled.notified() => {}
            },
            None => shared.work_scheduled.notified().await,
        }
        let now = shared.now();
        shared.state().run_due(now);
    }
}
