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
    /// The version that a node holds after it.
    pub version: u64,
    /// Whether it replaces the list that the node holds.
    pub complete: bool,
    /// Cache servers in the message.
    pub records: &'a [EndpointRecord],
}

/// A step of a wall clock.
#[derive(Debug, Clone, Copy)]
struct ClockStep {
    at: Micros,
    /// Offset in microseconds; negative for a step back.
    by: i64,
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
    due_changed: Notify,
    traffic: Traffic,
    value: Bytes,
    /// Steps of the discovery service's wall clock, in chronological order.
    discovery_clock_steps: Mutex<Vec<ClockStep>>,
    /// The address of each cache server for the nodes of each zone.
    server_addresses: Mutex<Vec<Vec<SocketAddr>>>,
    origin: SocketAddr,
    kind_names: Vec<String>,
}

impl SharedCluster {
    /// Creates the cluster of a scenario, with its origin at this address. The clock starts now.
    pub fn new(scenario: &Scenario, seed: u64, origin: SocketAddr) -> SharedCluster {
        let clock = Clock::start();
        let state = ClusterState::new(scenario, seed, clock.unix_start());
        SharedCluster {
            clock,
            state: Mutex::new(state),
            due_changed: Notify::new(),
            traffic: Traffic::default(),
            value: Bytes::from(vec![b'v'; scenario.load.value_bytes as usize]),
            discovery_clock_steps: Mutex::default(),
            server_addresses: Mutex::new(vec![Vec::new(); usize::from(scenario.zones)]),
            origin,
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

    /// Adds the address of the next cache server, by number, for the nodes of a zone.
    pub fn add_server_address(&self, zone: Zone, address: SocketAddr) {
        lock_ignoring_poison(&self.server_addresses)[usize::from(zone)].push(address);
    }

    /// Wakes [`run_due_work`], because work may be due earlier than before.
    pub fn notify_due_changed(&self) {
        self.due_changed.notify_one();
    }

    /// Steps the wall clock of the discovery service. Servers that start from now on are listed with the stepped time.
    pub fn step_discovery_clock(&self, at: Micros, by: i64) {
        lock_ignoring_poison(&self.discovery_clock_steps).push(ClockStep { at, by });
    }

    /// Converts a time to the discovery service's wall clock. 0 means long ago, and stays 0.
    fn discovery_time(&self, at: Micros) -> Micros {
        if at == 0 {
            return 0;
        }
        let steps = lock_ignoring_poison(&self.discovery_clock_steps);
        let offset = steps.iter().filter(|step| step.at <= at);
        at.saturating_add_signed(offset.map(|step| step.by).sum())
    }

    /// Starts a node's process: returns the endpoint list that it holds from the beginning, in the protocol's JSON
    /// form.
    pub fn begin_node(&self, node: NodeId, zone: Zone) -> Value {
        let now = self.now();
        let held = self.state().begin_node(now, node);
        self.endpoint_list_json(
            zone,
            EndpointListMessage {
                version: held.version,
                complete: true,
                records: &held.records,
            },
        )
    }

    /// Returns an endpoint list, or a change to it, in the protocol's JSON form, with the addresses for the nodes of a
    /// zone.
    pub fn endpoint_list_json(&self, zone: Zone, message: EndpointListMessage<'_>) -> Value {
        let state = self.state();
        let addresses = lock_ignoring_poison(&self.server_addresses);
        let endpoint = |record: &EndpointRecord| {
            let server = state.server_placement(record.server)?;
            let address = addresses
                .get(usize::from(zone))?
                .get(address_index(record.server))?;
            Some(json!({
                "name": server_name(record.server),
                "address": address,
                "zone": format!("z{}", server.zone),
                "type": self.kind_names[server.kind],
                "group": 1,
                "status": status_name(record.condition),
                "weight": 1.0,
                "since_ms": self.discovery_time(record.started) / 1_000,
            }))
        };
        let mut endpoints: Vec<Value> = message.records.iter().filter_map(endpoint).collect();
        if message.complete {
            endpoints.push(json!({
                "name": "origin",
                "address": self.origin,
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

/// Index of a cache server's address in its zone. Servers are numbered from 1.
fn address_index(server: ServerNumber) -> usize {
    server as usize - 1
}

fn status_name(condition: ServerState) -> &'static str {
    match condition {
        ServerState::Ready => "active",
        ServerState::Draining => "leaving",
        ServerState::Removed => "left",
    }
}

/// Records indefinitely that the testbed is running. The run's driver owns this task and ends it.
pub async fn send_heartbeats(shared: Arc<SharedCluster>) {
    let interval = Duration::from_micros(HEARTBEAT_INTERVAL);
    loop {
        let now = shared.now();
        shared.state().heartbeat(now);
        tokio::time::sleep(interval).await;
    }
}

/// Performs the cluster's due work indefinitely. The run's driver owns this task and ends it.
pub async fn run_due_work(shared: Arc<SharedCluster>) {
    loop {
        let due = shared.state().next_due();
        match due {
            Some(due) => tokio::select! {
                () = tokio::time::sleep_until(shared.instant(due)) => {}
                () = shared.due_changed.notified() => {}
            },
            None => shared.due_changed.notified().await,
        }
        let now = shared.now();
        shared.state().run_due(now);
    }
}
