//! The endpoint list: its servers, their states, and how an update relates to the list in force.

use crate::identifiers::{Micros, ServerId};

/// A server in the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Its id.
    pub id: ServerId,
    /// Its zone.
    pub zone: u8,
    /// Its cell: a small group of servers that share their records of seen idempotency keys.
    pub cell: u16,
    /// Its machine kind.
    pub kind: u16,
    /// Its weight. The settings define what it means.
    pub weight: f32,
    /// When its process started; 0 if that was long ago.
    pub started: Micros,
    /// Whether it takes requests.
    pub state: EndpointState,
}

impl Default for Endpoint {
    fn default() -> Self {
        Endpoint {
            id: 0,
            zone: 0,
            cell: 0,
            kind: 0,
            weight: 1.0,
            started: 0,
            state: EndpointState::Ready,
        }
    }
}

/// The state of a server in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Ready,
    /// It completes its requests in flight; nothing new may be sent to it.
    Draining,
    /// It no longer exists.
    Removed,
}

/// How an endpoint list relates to the one in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListUpdate {
    /// The complete list; a server that is not in it is removed.
    Full,
    /// The list cached before a restart of the router: complete, but possibly outdated.
    Cached,
    /// Only endpoints that changed.
    Delta,
    /// A call to discovery failed or the watch broke; the list stays in force.
    Failed,
    /// An open watch has stalled, which discovery itself cannot report. The list stays in force, but the router
    /// soon counts as notified of changes that it misses.
    WatchStalled,
}
