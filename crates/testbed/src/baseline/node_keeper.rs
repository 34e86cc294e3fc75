//! Runs the node under test and its discovery service on a dedicated thread.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use super::scenario::node_scenario;
use crate::sockets::SocketError;
use crate::sockets::loopback::{LoopbackBlock, listen};
use crate::sockets::router_process::RouterProcess;
use crate::sockets::services::discovery;
use crate::sockets::shared::{SharedCluster, run_due_work};

/// A node that was told to shut down is killed after this time.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
pub(super) struct NodeProcess {
    /// Address for clients.
    pub(super) address: SocketAddr,
    /// Process id.
    pub(super) pid: u32,
}

/// The process of a node that has started, or the reason why it did not start.
pub(super) type StartResult = Result<NodeProcess, SocketError>;

/// A running node with its discovery service and addresses. Dropping the tasks ends the service; after that, the
/// addresses are free for other runs.
struct RunningNode {
    node: RouterProcess,
    _service: JoinSet<()>,
    _addresses: LoopbackBlock,
}

/// Starts a node with its discovery service, and keeps both running until it is told to stop.
pub(super) struct NodeSupervisor {
    pub(super) program: PathBuf,
    pub(super) folder: PathBuf,
    pub(super) value_bytes: u64,
    /// Addresses of the cache servers.
    pub(super) servers: Vec<SocketAddr>,
}

impl NodeSupervisor {
    /// Runs until `stopped` completes. Called on a dedicated thread.
    pub(super) fn run(self, started: &Sender<StartResult>, stopped: oneshot::Receiver<()>) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        match runtime {
            Ok(runtime) => runtime.block_on(self.supervise(started, stopped)),
            Err(e) => {
                let _ = started.send(Err(SocketError::io("cannot start a runtime", e)));
            }
        }
    }

    async fn supervise(self, started: &Sender<StartResult>, stopped: oneshot::Receiver<()>) {
        let mut running = match self.start().await {
            Ok(running) => running,
            Err(e) => {
                let _ = started.send(Err(e));
                return;
            }
        };
        let process = NodeProcess {
            address: running.node.address(),
            pid: running.node.pid().unwrap_or(0),
        };
        // A failed send means that the receiver was dropped. `stopped` has completed as well in that case.
        let _ = started.send(Ok(process));
        let _ = stopped.await;
        // The node gets SIGTERM before it is killed, so that a profiler that it runs under can write its results.
        running.node.signal(Signal::SIGTERM);
        let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, running.node.wait()).await;
        running.node.kill().await;
    }

    /// Starts the discovery service and the node.
    async fn start(self) -> Result<RunningNode, SocketError> {
        let system_error = |e| SocketError::io("cannot start a node", e);
        let scenario = node_scenario(self.value_bytes);
        let mut addresses = LoopbackBlock::reserve().map_err(system_error)?;
        let listener =
            listen(addresses.next_address().map_err(system_error)?).map_err(system_error)?;
        let list = listener.local_addr().map_err(system_error)?;
        // The list needs an address for the origin. It is never called, because the servers never miss.
        let origin = self.servers[0];
        let shared = Arc::new(SharedCluster::new(&scenario, 1, origin));
        for server in self.servers {
            shared.add_server_address(0, server);
        }
        let mut service = JoinSet::new();
        service.spawn(run_due_work(shared.clone()));
        let serve = discovery::serve(shared.clone(), listener, 0, 0);
        service.spawn(async move { drop(serve.await) });
        let node_address = addresses.next_address().map_err(system_error)?;
        let mut node =
            RouterProcess::new(0, node_address, list, &self.folder).map_err(system_error)?;
        let known = shared.record_node_start(0, 0);
        node.start(&self.program, &scenario, &known, 1)
            .map_err(system_error)?;
        if !node.ready().await {
            return Err(node.startup_error());
        }
        Ok(RunningNode {
            node,
            _service: service,
            _addresses: addresses,
        })
    }
}
