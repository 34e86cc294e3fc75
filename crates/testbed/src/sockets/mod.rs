//! Runs scenarios in real time on sockets: real `cache-router` processes on 127.0.0.0/8 in front of the same cluster
//! model that virtual time uses.
//!
//! One process, the testbed, runs the emulated cache servers, the origin, the discovery service and the clients, each
//! with its own listeners. Links that can fail connect the nodes to the cache servers. A node is one `cache-router`
//! process. Time is real: two runs with the same seed draw the same clients and faults, but timing on the machine makes
//! them differ.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `driver` | the run: set-up, schedule of faults, clients, progress, report |
//! | `cluster` | the cluster's state and the protocol's invariants, without sockets |
//! | `shared` | the cluster's state behind one lock, with clock and addresses |
//! | `services` | emulated cache servers, origin and discovery |
//! | [`link`] | a proxy between two endpoints that delays, stalls and resets connections |
//! | `router_process` | the nodes' processes, their configurations and logs |
//! | `fault_injection` | the fault injector that is preloaded into a node |
//! | `client_connections` | pooled connections of clients to a node |
//! | [`loopback`] | addresses and listeners |
//!
//! Tasks: the driver owns all listeners, links, requests and node processes. Dropping it, as on an interrupt, ends
//! them.
//!
//! The whole cluster runs in one process, because two hundred processes would measure the machine's scheduler, and the
//! invariants could only be checked after the run.

pub(crate) mod client_connections;
mod clock;
pub mod cluster;
mod driver;
mod error;
mod fault_injection;
pub mod link;
pub mod loopback;
pub(crate) mod router_process;
pub(crate) mod services;
pub(crate) mod shared;

use std::path::Path;

use cluster_model::Micros;

pub use error::SocketError;

use crate::program;
use crate::report::{Counts, Report};
use crate::scenario::Scenario;
use driver::{Driver, needs_fault_injector};

/// Maximum number of nodes on sockets, limited by one machine's socket table and six cores.
pub const MAX_NODES: u32 = 300;
/// Maximum number of cache servers on sockets. This is the largest fleet that nodes are tested with.
pub const MAX_CACHE_SERVERS: u32 = 3_200;

/// Options of a run in addition to its scenario.
pub struct RunOptions<'a> {
    /// The `cache-router` program.
    pub program: &'a Path,
    /// An existing folder for the nodes' configurations and logs.
    pub folder: &'a Path,
}

/// Progress of a run.
#[derive(Debug, Clone)]
pub struct Progress {
    /// Time since the first possible client arrival, in microseconds.
    pub elapsed: Micros,
    /// Length of the scenario, in microseconds.
    pub length: Micros,
    /// Counts since the last progress report.
    pub recent: Counts,
    /// Nodes that receive requests.
    pub nodes_up: usize,
    /// Running cache servers.
    pub servers_up: usize,
    /// Connections that cache servers have accepted so far.
    pub server_connections: u64,
    /// Bytes of endpoint lists, and of changes to them, that discovery has sent so far.
    pub list_bytes: u64,
    /// Descriptions of faults and recoveries since the last progress report.
    pub messages: Vec<String>,
}

/// Runs a scenario with a seed, and reports progress twice a second. Whether the run completes, fails or is dropped, it
/// leaves no process, task or socket behind.
///
/// # Errors
/// Returns an error if the scenario is too large, the fault injector that it needs is missing, a node does not start,
/// the system refuses a socket or process, or `stop` completes first.
pub async fn run(
    scenario: &Scenario,
    seed: u64,
    options: &RunOptions<'_>,
    stop: impl Future<Output = ()>,
    mut progress: impl FnMut(&Progress),
) -> Result<Report, SocketError> {
    check_size(scenario)?;
    let injector = if needs_fault_injector(scenario) {
        Some(program::find_fault_injector()?)
    } else {
        None
    };
    let ended = async {
        let mut driver = Driver::new(scenario, seed, options, injector.as_deref())?;
        driver.begin().await?;
        driver.run(&mut progress).await;
        driver.stop_nodes().await;
        Ok(driver.into_report(seed))
    };
    tokio::pin!(stop);
    tokio::select! {
        result = ended => result,
        () = &mut stop => Err(SocketError::Interrupted),
    }
}

fn check_size(scenario: &Scenario) -> Result<(), SocketError> {
    let nodes = scenario.nodes;
    let servers = scenario.kinds.iter().map(|kind| kind.servers).sum();
    if nodes > MAX_NODES || servers > MAX_CACHE_SERVERS {
        return Err(SocketError::TooLarge { nodes, servers });
    }
    Ok(())
}
