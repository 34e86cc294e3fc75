//! What the emulated services and the driver share: the cluster's state behind one lock, the clock, and the addresses
//! that nodes are given.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cluster_model::Micros;
use cluster_model::endpoint_list::{Condition, EndpointRecord, NodeId};
use cluster_model::network::Zone;
use serde_json::{Value, json};
use tokio::sync::Notify;

use super::clock::Clock;
use super::cluster::{ClusterState, HEARTBEAT_INTERVAL, ServerNumber, server_name};
use crate::scenario::Scenario;

/// Locks a mutex, poisoned or not: a panic of another task fails the run anyway.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An endpoint list, or a change of it, as nodes are sent it.
#[derive(Debug, Clone, Copy)]
pub struct EndpointListMessage<'a> {
    /// The version that a node holds with it.
    pub version: u64,
    /// Whether it replaces all that the node held.
    pub complete: bool,
    /// Its cache servers.
    pub records: &'a [EndpointRecord],
}

/// A step of a wall clock.
#[derive(Debug, Clone, Copy)]
struct ClockStep {
    at: Micros,
    /// By how many microseconds; back where negative.
    by: i64,
}

/// What passed between the nodes and the emulated services.
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

    /// Counts what discovery sends.
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

/// The emulated cluster as the services and the driver share it. No lock is held over an await.
pub struct SharedCluster {
    clock: Clock,
    state: Mutex<ClusterState>,
    due_changed: Notify,
    traffic: Traffic,
    value: Bytes,
    /// Steps of the wall clock of the discovery service, in order.
    discovery_clock_steps: Mutex<Vec<ClockStep>>,
    /// Where the nodes of each zone reach each cache server.
    server_addresses: Mutex<Vec<Vec<SocketAddr>>>,
    origin: SocketAddr,
    kind_names: Vec<String>,
}

impl SharedCluster {
    /// The cluster of a scenario, whose origin is reached at an address. Its clock starts now.
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

    /// Unix time, in microseconds.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// The instant of a Unix time in microseconds.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        self.clock.instant(at)
    }

    /// The value of all keys, which cache servers and the origin answer with.
    pub fn value(&self) -> &Bytes {
        &self.value
    }

    /// What passed between the nodes and the emulated services.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// The state of the cluster, locked. The guard must not be held over an await.
    pub fn state(&self) -> MutexGuard<'_, ClusterState> {
        lock(&self.state)
    }

    /// Adds the address at which the nodes of a zone reach the next cache server, by number.
    pub fn add_server_address(&self, zone: Zone, address: SocketAddr) {
        lock(&self.server_addresses)[usize::from(zone)].push(address);
    }

    /// Makes [`run_due_work`] look again, as something may be due earlier than it was.
    pub fn notify_due_changed(&self) {
        self.due_changed.notify_one();
    }

    /// Steps the wall clock of the discovery service: servers that start from now on are listed by the new time.
    pub fn step_discovery_clock(&self, at: Micros, by: i64) {
        lock(&self.discovery_clock_steps).push(ClockStep { at, by });
    }

    /// A time as the wall clock of the discovery service had it; 0, which is long ago, on any clock.
    fn discovery_time(&self, at: Micros) -> Micros {
        if at == 0 {
            return 0;
        }
        let steps = lock(&self.discovery_clock_steps);
        let offset = steps.iter().filter(|step| step.at <= at);
        at.saturating_add_signed(offset.map(|step| step.by).sum())
    }

    /// A process of a node starts: returns the endpoint list that it holds from the beginning, in the protocol's form.
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

    /// An endpoint list or a change of it in the protocol's form, with the addresses that the nodes of a zone use.
    pub fn endpoint_list_json(&self, zone: Zone, message: EndpointListMessage<'_>) -> Value {
        let state = self.state();
        let addresses = lock(&self.server_addresses);
        let endpoint = |record: &EndpointRecord| {
            let server = state.server_site(record.server)?;
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

/// The place of a cache server among those of a zone: they are numbered from 1.
fn address_index(server: ServerNumber) -> usize {
    server as usize - 1
}

fn status_name(condition: Condition) -> &'static str {
    match condition {
        Condition::Ready => "active",
        Condition::Draining => "leaving",
        Condition::Removed => "left",
    }
}

/// Shows the cluster that the testbed runs, for ever. The run's driver owns this task and ends it.
pub async fn send_heartbeats(shared: Arc<SharedCluster>) {
    let interval = Duration::from_micros(HEARTBEAT_INTERVAL);
    loop {
        let now = shared.now();
        shared.state().heartbeat(now);
        tokio::time::sleep(interval).await;
    }
}

/// Makes what is due in the cluster happen, for ever. The run's driver owns this task and ends it.
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
