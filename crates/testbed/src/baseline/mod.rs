//! What one node can do and what it costs: load sent straight to servers that answer at once, and through one real node
//! that stands before them. Both get the same load in one run, so that the difference is the node alone.

mod node_keeper;
mod rate_search;
mod scenario;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc::channel;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::load::StubServer;
use crate::sockets::SocketError;
use node_keeper::{NodeKeeper, NodeProcess};
pub use rate_search::{max_sustained_rate, sustained};

/// Number of cache servers behind the node.
const SERVERS: u32 = 4;
/// Duration of a clock tick in `/proc/PID/stat`, in milliseconds.
const CLOCK_TICK_MS: u64 = 10;
/// Index of the user time in `/proc/PID/stat`, counted from the field after the name.
const USER_TIME_FIELD: usize = 11;
/// The same for the system time.
const SYSTEM_TIME_FIELD: usize = 12;

/// One node before servers that answer at once.
pub struct NodeUnderTest {
    servers: Vec<StubServer>,
    process: NodeProcess,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl NodeUnderTest {
    /// Starts a node and the servers behind it. The node's files go to `folder`.
    ///
    /// # Errors
    /// If the system provides no port or process, or the node does not start.
    pub fn start(
        program: &Path,
        folder: &Path,
        value_bytes: usize,
    ) -> Result<NodeUnderTest, SocketError> {
        let servers: Vec<StubServer> = (0..SERVERS)
            .map(|_| StubServer::start(value_bytes, Duration::ZERO))
            .collect::<Result<_, _>>()
            .map_err(|e| SocketError::io("cannot start the servers", e))?;
        let keeper = NodeKeeper {
            program: program.to_path_buf(),
            folder: folder.to_path_buf(),
            value_bytes: value_bytes as u64,
            servers: servers.iter().map(StubServer::address).collect(),
        };
        let (stop, stopped) = oneshot::channel();
        let (started_sender, started) = channel();
        let thread = std::thread::spawn(move || keeper.run(&started_sender, stopped));
        let ended = || {
            let error = std::io::ErrorKind::Other.into();
            SocketError::io("the node's keeper has ended", error)
        };
        let process = started.recv().map_err(|_| ended())??;
        Ok(NodeUnderTest {
            servers,
            process,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Where the node is reached.
    pub fn node(&self) -> SocketAddr {
        self.process.address
    }

    /// Where the first of the servers is reached.
    pub fn server(&self) -> SocketAddr {
        self.servers[0].address()
    }

    /// Id of the node's process, for tools that inspect it.
    pub fn pid(&self) -> u32 {
        self.process.pid
    }

    /// Processor time that the node has used, if the system tells it.
    pub fn cpu(&self) -> Option<Duration> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.process.pid)).ok()?;
        // The name may hold anything, but ends with the last bracket.
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        let ticks = |field: usize| fields.get(field)?.parse::<u64>().ok();
        let used = ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?;
        Some(Duration::from_millis(used * CLOCK_TICK_MS))
    }
}

impl Drop for NodeUnderTest {
    fn drop(&mut self) {
        // This tells the keeper to end.
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
