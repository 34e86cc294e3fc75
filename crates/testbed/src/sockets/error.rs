//! Why a run on sockets failed.

use super::{MAX_CACHE_SERVERS, MAX_NODES};
use crate::program::ProgramError;

/// Why a run on sockets could not start, or did not finish.
#[derive(Debug, thiserror::Error)]
pub enum SocketError {
    /// The scenario is larger than one machine bears.
    #[error(
        "{nodes} nodes and {servers} cache servers: on sockets at most {MAX_NODES} and \
         {MAX_CACHE_SERVERS}; run it in virtual time"
    )]
    TooLarge {
        /// Nodes that the scenario asks for.
        nodes: u32,
        /// Cache servers that the scenario asks for.
        servers: u32,
    },
    /// The operating system refused a port, a file or a process.
    #[error("{action}: {source}")]
    Io {
        /// What failed.
        action: &'static str,
        /// The reason that the system gave.
        source: std::io::Error,
    },
    /// The scenario has faults of system calls, and the library is missing that injects them.
    #[error(transparent)]
    FaultInjector(#[from] ProgramError),
    /// A node ended, or did not answer, while it was starting.
    #[error("node {node} does not start: {last_log_line}")]
    NotReady {
        /// The node's number.
        node: u32,
        /// The last line of the node's log.
        last_log_line: String,
    },
    /// The caller's stop signal came before the end of the run.
    #[error("interrupted")]
    Interrupted,
}

impl SocketError {
    /// An error of the operating system, with what failed because of it.
    pub fn io(action: &'static str, source: std::io::Error) -> SocketError {
        SocketError::Io { action, source }
    }
}
