//! Measures what one node can sustain and what it costs. Load is sent both directly to servers that answer at once and
//! through one real node in front of them. Both get the same load in one run, so the difference is due to the node
//! alone.

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
use node_keeper::{NodeProcess, NodeSupervisor};
pub use rate_search::{is_sustained, max_sustained_rate};

/// Number of cache servers behind the node.
const SERVERS: u32 = 4;
/// Duration of a clock tick in `/proc/PID/stat`, in milliseconds.
const CLOCK_TICK_MS: u64 = 10;
/// Index of the user time in `/proc/PID/stat`, counted from the field after the process name.
const USER_TIME_FIELD: usize = 11;
/// Index of the system time, counted in the same way.
const SYSTEM_TIME_FIELD: usize = 12;

/// One node in front of servers that answer at once.
pub struct NodeUnderTest {
    servers: Vec<StubServer>,
    process: NodeProcess,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl NodeUnderTest {
    /// Starts a node and the servers behind it. The node's files are written to `folder`.
    ///
    /// # Errors
    /// Returns an error if the system provides no port or process, or if the node does not start.
    pub fn start(
        program: &Path,
        folder: &Path,
        value_bytes: usize,
    ) -> Result<NodeUnderTest, SocketError> {
        let servers: Vec<StubServer> = (0..SERVERS)
            .map(|_| StubServer::start(value_bytes, Duration::ZERO))
            .collect::<Result<_, _>>()
            .map_err(|e| SocketError::io("cannot start the servers", e))?;
        let supervisor = NodeSupervisor {
            program: program.to_path_buf(),
            folder: folder.to_path_buf(),
            value_bytes: value_bytes as u64,
            servers: servers.iter().map(StubServer::address).collect(),
        };
        let (stop, stopped) = oneshot::channel();
        let (started_sender, started) = channel();
        let thread = std::thread::spawn(move || supervisor.run(&started_sender, stopped));
        let ended = || {
            let error = std::io::ErrorKind::Other.into();
            SocketError::io("the node supervisor thread ended without a result", error)
        };
        let process = started.recv().map_err(|_| ended())??;
        Ok(NodeUnderTest {
            servers,
            process,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Address of the node.
    pub fn node_address(&self) -> SocketAddr {
        self.process.address
    }

    /// Address of the first server.
    pub fn server_address(&self) -> SocketAddr {
        self.servers[0].address()
    }

    /// Process id of the node, for tools that inspect it.
    pub fn pid(&self) -> u32 {
        self.process.pid
    }

    /// CPU time that the node has used, if the system provides it.
    pub fn cpu_time(&self) -> Option<Duration> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.process.pid)).ok()?;
        // The process name may contain any character, but the last closing parenthesis ends it.
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        let ticks = |field: usize| fields.get(field)?.parse::<u64>().ok();
        let used = ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?;
        Some(Duration::from_millis(used * CLOCK_TICK_MS))
    }
}

impl Drop for NodeUnderTest {
    fn drop(&mut self) {
        // Dropping the sender tells the supervisor to stop.
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
