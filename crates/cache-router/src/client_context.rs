//! State that the listener and all client connections share.

use std::sync::Arc;

use routing_policy::settings::Deployment;
use tokio::sync::{Semaphore, mpsc, watch};

use crate::clock::Clock;
use crate::closable_connections::ClosableConnections;
use crate::fair_share::BulkTurns;
use crate::lifecycle::LifecyclePhase;
use crate::memory_budget::MemoryBudget;
use crate::memory_usage::MemoryUsage;
use crate::message::RouterEvent;

/// State that the listener and all client connections share.
pub struct ClientContext {
    /// The settings of the deployment.
    pub deployment: Arc<Deployment>,
    /// The router's clock.
    pub clock: Clock,
    /// Sends events to the event loop.
    pub events: mpsc::Sender<RouterEvent>,
    /// The phase of the router's lifecycle.
    pub lifecycle: watch::Receiver<LifecyclePhase>,
    /// One permit for each connection that may still be served, including the reserved slots.
    pub connection_slots: Arc<Semaphore>,
    /// How many of the slots are reserved for connections whose requests are rejected, so that clients get a reply
    /// instead of waiting when all other slots are taken.
    pub reserved_slots: usize,
    /// The connections that can be closed, one of which is if a new client needs its slot.
    pub closable_connections: Arc<ClosableConnections>,
    /// One permit for each request that may still be accepted. A request holds its permit until its reply is moved to
    /// the output, which bounds memory.
    pub request_slots: Arc<Semaphore>,
    /// The memory for what clients send.
    pub request_memory: MemoryBudget,
    /// The memory for replies.
    pub reply_memory: MemoryBudget,
    /// What is held without a reservation.
    pub memory_usage: Arc<MemoryUsage>,
    /// The connections that have left a long command incomplete, one of which discards it if memory is short.
    pub incomplete_commands: Arc<ClosableConnections>,
    /// The queue of the connections that have more to do than their share.
    pub bulk_turns: Arc<BulkTurns>,
}

impl ClientContext {
    /// Whether only reserved slots are left for connections.
    pub fn only_reserved_slots_left(&self) -> bool {
        self.connection_slots.available_permits() < self.reserved_slots
    }
}
