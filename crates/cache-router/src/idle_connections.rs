//! The connections of clients that are idle, which is between two requests: where a new client finds no place, the one
//! that has been idle for longest is asked to close. Each is asked once, and one that receives its next
//! request at that moment passes the close request on.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

/// All idle connections of clients. Shared by the listener and the connections; its lock is never held over an await.
#[derive(Default)]
pub struct IdleConnections {
    registry: Mutex<Registry>,
}

#[derive(Default)]
struct Registry {
    next_number: u64,
    /// How to ask each idle connection to close. Numbers grow, so the first has been idle for longest.
    close_requests: BTreeMap<u64, oneshot::Sender<()>>,
    /// A new client waits for a place and none was idle when it came: the next connection that becomes idle is asked.
    close_next: bool,
}

impl IdleConnections {
    /// The lock. A panic elsewhere leaves no half-made change behind, so a poisoned one is used on.
    fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a connection that becomes idle, until the returned guard is dropped.
    pub fn register(self: &Arc<Self>) -> IdleGuard {
        let (close_request, requested) = oneshot::channel();
        let mut registry = self.registry();
        let number = registry.next_number;
        registry.next_number += 1;
        if std::mem::take(&mut registry.close_next) {
            // It is asked as it becomes idle; its guard is not there yet, so the send can't fail.
            let _ = close_request.send(());
        } else {
            registry.close_requests.insert(number, close_request);
        }
        drop(registry);
        IdleGuard {
            connections: self.clone(),
            number,
            close_requested: requested,
            closes: false,
        }
    }

    /// Asks the connection that has been idle for longest to close; `false` if none is idle.
    pub fn ask_one_to_close(&self) -> bool {
        let longest_idle = self.registry().close_requests.pop_first();
        // One that was dropped at this moment has taken itself off before.
        longest_idle.is_some_and(|(_, close_request)| close_request.send(()).is_ok())
    }

    /// The same for a new client that waits for a place: if none is idle, the next that becomes idle is asked.
    pub fn ask_one_or_next_to_close(&self) {
        let asked = self.ask_one_to_close();
        self.registry().close_next = !asked;
    }

    /// Withdraws the close request for the next connection that becomes idle, since the new client has its place.
    pub fn cancel_ask_next(&self) {
        self.registry().close_next = false;
    }

    /// How many connections are idle and have not been asked to close.
    pub fn count(&self) -> usize {
        self.registry().close_requests.len()
    }
}

/// A connection's time between two requests.
pub struct IdleGuard {
    connections: Arc<IdleConnections>,
    number: u64,
    close_requested: oneshot::Receiver<()>,
    closes: bool,
}

impl IdleGuard {
    /// Waits until the connection is asked to close.
    pub async fn close_requested(&mut self) {
        if (&mut self.close_requested).await.is_err() {
            std::future::pending().await
        }
    }

    /// Ends the idle time because the connection closes, whether it was asked to or not.
    pub fn close(mut self) {
        self.closes = true;
    }
}

impl Drop for IdleGuard {
    fn drop(&mut self) {
        let close_request = self
            .connections
            .registry()
            .close_requests
            .remove(&self.number);
        let was_asked = close_request.is_none();
        // It was asked and yet is busy again: its place is still wanted, now from the next.
        if was_asked && !self.closes {
            self.connections.ask_one_to_close();
        }
    }
}
