//! The reasons why a router cannot start, and which of them are transient.

use std::io;
use std::net::SocketAddr;

use router_config::logging;
use thiserror::Error;

use crate::config::ConfigError;
use crate::socket::listen;

/// The reason why a router cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings of the program are unusable.
    #[error(transparent)]
    Settings(#[from] router_config::ConfigError),
    /// The log cannot be set up.
    #[error(transparent)]
    Logging(#[from] logging::AlreadyInitialized),
    /// The configuration is unusable.
    #[error("{0}")]
    Config(ConfigError),
    /// Signal handlers cannot be installed.
    #[error("cannot receive signals: {0}; {remedy}", remedy = listen::remedy(.0))]
    Signals(io::Error),
    /// The async runtime cannot be created.
    #[error("cannot create the async runtime: {0}; {remedy}", remedy = listen::remedy(.0))]
    Runtime(io::Error),
    /// The router cannot listen on the address for clients.
    #[error("cannot listen on {address}: {source}; {remedy}", remedy = listen::remedy(.source))]
    Listen {
        /// The address for clients.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The router received a shutdown signal during startup.
    #[error("shutdown requested during startup")]
    ShutDown,
}

impl StartError {
    /// Returns whether the failed startup step may succeed if it is retried.
    pub fn is_transient(&self) -> bool {
        match self {
            StartError::Settings(error) => {
                matches!(error, router_config::ConfigError::Unreadable { .. })
            }
            StartError::Config(error) => error.is_transient(),
            StartError::Signals(error) | StartError::Runtime(error) => listen::is_transient(error),
            StartError::Listen { source, .. } => listen::is_transient(source),
            StartError::Logging(_) | StartError::ShutDown => false,
        }
    }
}
