//! Errors of runs on sockets.

use super::{MAX_CACHE_SERVERS, MAX_NODES};
use crate::program::ProgramError;

/// The reason why a run on sockets could not start or did not finish.
#[derive(Debug, thiserror::Error)]
pub enum SocketError {
    /// The scenario is too large for one machine.
    #[error(
        "{nodes} nodes and {servers} cache servers exceed the limits on sockets, {MAX_NODES} and \
         {MAX_CACHE_SERVERS}; run the scenario in virtual time"
    )]
    TooLarge {
        /// Number of nodes in the scenario.
        nodes: u32,
        /// Number of cache servers in the scenario.
        servers: u32,
    },
    /// The operating system refused a port, a file or a process.
    #[error("{action}: {source}")]
    Io {
        /// The action that failed.
        action: &'static str,
        /// The error that the system returned.
        source: std::io::Error,
    },
    /// The scenario needs the fault injector's library, and it was not found.
    #[error(transparent)]
    FaultInjector(#[from] ProgramError),
    /// A node ended while it was starting, or did not answer in time.
    #[error("node {node} does not start: {last_log_line}")]
    NotReady {
        /// The node's number.
        node: u32,
        /// The last line of the node's log.
        last_log_line: String,
    },
    /// The caller's stop signal arrived before the end of the run.
    #[error("interrupted")]
    Interrupted,
}

impl SocketError {
    /// Wraps an error of the operating system with the action that failed.
    pub fn io(action: &'static str, source: std::io::Error) -> SocketError {
        SocketError::Io { action, source }
    }
}
