//! Why a router does not start, and which of the reasons may pass.

use std::io;
use std::net::SocketAddr;

use router_config::logging;
use thiserror::Error;

use crate::config::ConfigError;
use crate::socket::listen;

/// Why a router does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings of the program can't be used.
    #[error(transparent)]
    Settings(#[from] router_config::ConfigError),
    /// The log can't be set up.
    #[error(transparent)]
    Logging(#[from] logging::AlreadySet),
    /// The configuration can't be used.
    #[error("{0}")]
    Config(ConfigError),
    /// Signals can't be received.
    #[error("cannot receive signals: {0}; {remedy}", remedy = listen::remedy(.0))]
    Signals(io::Error),
    /// The runtime is not to be had.
    #[error("cannot wait for events: {0}; {remedy}", remedy = listen::remedy(.0))]
    Runtime(io::Error),
    /// The address for clients can't be listened on.
    #[error("cannot listen on {address}: {source}; {remedy}", remedy = listen::remedy(.source))]
    Listen {
        /// The address for clients.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The router was told to shut down before it had started.
    #[error("told to shut down before the start was over")]
    ShutDown,
}

impl StartError {
    /// Whether the step of the start that has failed may succeed if it is tried again.
    pub fn may_pass(&self) -> bool {
        match self {
            StartError::Settings(error) => {
                matches!(error, router_config::ConfigError::Unreadable { .. })
            }
            StartError::Config(error) => error.may_pass(),
            StartError::Signals(error) | StartError::Runtime(error) => listen::may_pass(error),
            StartError::Listen { source, .. } => listen::may_pass(source),
            StartError::Logging(_) | StartError::ShutDown => false,
        }
    }
}
