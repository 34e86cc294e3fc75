//! The endpoint list: its servers, their states, and how an update relates to the list in force.

use crate::identifiers::{Micros, ServerId};

/// A server in the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Its id.
    pub id: ServerId,
    /// Its zone.
    pub zone: u8,
    /// Its cell, a small group that shares which idempotency keys it has seen.
    pub cell: u16,
    /// Its machine kind.
    pub kind: u16,
    /// Its weight; the settings say what it means.
    pub weight: f32,
    /// When its process started; 0 for long ago.
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
    /// It completes what it has in flight; nothing new may be sent to it.
    Draining,
    /// It is no longer there.
    Removed,
}

/// How an endpoint list relates to the one in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListUpdate {
    /// The whole list; a server not in it is removed.
    Full,
    /// The list cached before a restart of the router, whole but perhaps old.
    Cached,
    /// Only endpoints that changed.
    Delta,
    /// A call to discovery failed or the watch broke; the list stays in force.
    Failed,
    /// An open watch has stalled, which is not for discovery to say: the list stays in force, but changes that
    /// it misses count as notified soon.
    WatchSilent,
}
