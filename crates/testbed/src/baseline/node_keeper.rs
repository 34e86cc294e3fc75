//! Keeps the node under test and its endpoint list service on a thread of its own.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use super::scenario::scenario;
use crate::sockets::SocketError;
use crate::sockets::loopback::{LoopbackBlock, listen};
use crate::sockets::router_process::RouterProcess;
use crate::sockets::services::discovery;
use crate::sockets::shared::{SharedCluster, run_due_work};

/// A node that was told to end is killed after this time.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);

/// The node's process.
#[derive(Debug, Clone, Copy)]
pub(super) struct NodeProcess {
    /// Where clients reach it.
    pub(super) address: SocketAddr,
    /// Its id.
    pub(super) pid: u32,
}

/// The process of a node that has started, or why it did not.
pub(super) type Started = Result<NodeProcess, SocketError>;

/// A node that runs, with what it needs. The service ends when its tasks are dropped; its addresses are free for other
/// runs after that.
struct RunningNode {
    node: RouterProcess,
    _service: JoinSet<()>,
    _addresses: LoopbackBlock,
}

/// Starts a node with its endpoint list service, and keeps both until it is told to stop.
pub(super) struct NodeKeeper {
    pub(super) program: PathBuf,
    pub(super) folder: PathBuf,
    pub(super) value_bytes: u64,
    /// Addresses of the cache servers.
    pub(super) servers: Vec<SocketAddr>,
}

impl NodeKeeper {
    /// Runs on a thread of its own until `stopped` ends.
    pub(super) fn run(self, started: &Sender<Started>, stopped: oneshot::Receiver<()>) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        match runtime {
            Ok(runtime) => runtime.block_on(self.keep(started, stopped)),
            Err(e) => {
                let _ = started.send(Err(SocketError::io("cannot start a runtime", e)));
            }
        }
    }

    async fn keep(self, started: &Sender<Started>, stopped: oneshot::Receiver<()>) {
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
        // Nobody may wait for it any more; then `stopped` has ended as well.
        let _ = started.send(Ok(process));
        let _ = stopped.await;
        // It is told to end before it is killed, so that a profiler that it runs under can write its results.
        running.node.signal(Signal::SIGTERM);
        let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, running.node.wait()).await;
        running.node.kill().await;
    }

    /// Starts the endpoint list service and the node.
    async fn start(self) -> Result<RunningNode, SocketError> {
        let system_error = |e| SocketError::io("cannot start a node", e);
        let scenario = scenario(self.value_bytes);
        let mut addresses = LoopbackBlock::reserve().map_err(system_error)?;
        let listener =
            listen(addresses.next_address().map_err(system_error)?).map_err(system_error)?;
        let list = listener.local_addr().map_err(system_error)?;
        // The origin needs an address, and is never called: nothing misses.
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
        let known = shared.begin_node(0, 0);
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
