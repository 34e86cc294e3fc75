//! Events for the operators' log. The policy reports them; the embedding program writes them.

use std::fmt;

use crate::identifiers::{Micros, ServerId};

/// A log event. Its `Display` output is one line: a constant message and key=value fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogEvent {
    /// A server failed several times in a row, or refused a connection, and is temporarily ejected.
    ServerEjected {
        /// The server.
        server: ServerId,
        /// Duration of the ejection in microseconds.
        ejected_for: Micros,
    },
    /// An ejected server responded to a request and is readmitted.
    ServerReadmitted {
        /// The server.
        server: ServerId,
    },
    /// A connection to an unreachable server was established after the attempts had stopped waiting for it; the
    /// server is readmitted.
    ServerReached {
        /// The server.
        server: ServerId,
    },
    /// The limit on outstanding origin calls fell below a quarter of its maximum: the origin is slow or
    /// failing.
    OriginLimitLowered,
    /// The limit on outstanding origin calls rose back to a quarter of its maximum or above.
    OriginLimitRestored,
    /// The router started to reject requests of tenants that exceed their quotas.
    LoadSheddingStarted,
    /// The router stopped limiting tenants to their quotas.
    LoadSheddingEnded,
    /// A call to discovery failed or the watch of the endpoint list broke.
    DiscoveryRetry {
        /// The backoff before the next call in microseconds.
        backoff: Micros,
    },
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::ServerEjected {
                server,
                ejected_for,
            } => write!(
                f,
                "server ejected server={server} ejected_for_us={ejected_for}"
            ),
            LogEvent::ServerReadmitted { server } => {
                write!(f, "server readmitted server={server} reason=answered")
            }
            LogEvent::ServerReached { server } => {
                write!(f, "server readmitted server={server} reason=connected")
            }
            LogEvent::OriginLimitLowered => f.write_str("origin limit lowered reason=origin_slow"),
            LogEvent::OriginLimitRestored => f.write_str("origin limit restored"),
            LogEvent::LoadSheddingStarted => f.write_str("load shedding started reason=over_quota"),
            LogEvent::LoadSheddingEnded => f.write_str("load shedding ended"),
            LogEvent::DiscoveryRetry { backoff } => {
                write!(f, "discovery call failed, retrying backoff_us={backoff}")
            }
        }
    }
}
