//! What the listener and all connections of clients share.

use std::sync::Arc;

use routing_policy::settings::Deployment;
use tokio::sync::{Semaphore, mpsc, watch};

use crate::clock::Clock;
use crate::idle_connections::IdleConnections;
use crate::lifecycle::LifecyclePhase;
use crate::message::RouterEvent;

/// What the listener and all connections of clients share.
pub struct ClientContext {
    /// The settings of the deployment.
    pub deployment: Arc<Deployment>,
    /// The router's clock.
    pub clock: Clock,
    /// The event loop.
    pub events: mpsc::Sender<RouterEvent>,
    /// The phase of the router's lifecycle.
    pub lifecycle: watch::Receiver<LifecyclePhase>,
    /// Connections that may still be accepted, the reserve included.
    pub connection_slots: Arc<Semaphore>,
    /// How many of these are a reserve for connections that are rejected in order instead of left to wait.
    pub reserved_slots: usize,
    /// The idle connections, of which one closes if a new client needs its place.
    pub idle_connections: Arc<IdleConnections>,
    /// Requests that may still be accepted. One counts until its reply is passed on, which bounds memory.
    pub request_slots: Arc<Semaphore>,
}

impl ClientContext {
    /// Whether only slots of the reserve are left for connections.
    pub fn only_reserve_left(&self) -> bool {
        self.connection_slots.available_permits() < self.reserved_slots
    }
}
