//! The idle client connections, which are those between two requests. If a new client finds no free slot, the
//! connection that has been idle for longest is asked to close. Each connection is asked at most once. If it receives
//! its next request at that moment, the close request goes to another idle connection.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

/// All idle client connections. Shared by the listener and the connections. The lock is never held across an await.
#[derive(Default)]
pub struct IdleConnections {
    registry: Mutex<Registry>,
}

#[derive(Default)]
struct Registry {
    next_number: u64,
    /// The channel that asks each idle connection to close. Numbers increase, so the first has been idle for longest.
    close_requests: BTreeMap<u64, oneshot::Sender<()>>,
    /// Whether the next connection that becomes idle is asked to close: a new client waits for a slot, and no
    /// connection was idle when it was accepted.
    close_next_idle: bool,
}

impl IdleConnections {
    /// Locks the registry. A poisoned lock can be used, since no panic leaves a change incomplete.
    fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a connection as idle until the returned guard is dropped.
    pub fn register(self: &Arc<Self>) -> IdleGuard {
        let (close_request, close_receiver) = oneshot::channel();
        let mut registry = self.registry();
        let number = registry.next_number;
        registry.next_number += 1;
        if std::mem::take(&mut registry.close_next_idle) {
            // The receiver still exists here, so the send can't fail.
            let _ = close_request.send(());
        } else {
            registry.close_requests.insert(number, close_request);
        }
        drop(registry);
        IdleGuard {
            connections: self.clone(),
            number,
            close_requested: close_receiver,
            is_closing: false,
        }
    }

    /// Asks the connection that has been idle for longest to close; `false` if none is idle.
    pub fn request_close(&self) -> bool {
        let longest_idle = self.registry().close_requests.pop_first();
        // A guard removes its entry before its receiver is dropped, so the send fails only if the guard is being
        // dropped.
        longest_idle.is_some_and(|(_, close_request)| close_request.send(()).is_ok())
    }

    /// As [`Self::request_close`], but if no connection is idle, the next one that becomes idle is asked to close.
    pub fn request_close_now_or_next(&self) {
        let found_idle = self.request_close();
        self.registry().close_next_idle = !found_idle;
    }

    /// Withdraws the close request for the next connection that becomes idle, since the new client has a slot.
    pub fn cancel_close_of_next(&self) {
        self.registry().close_next_idle = false;
    }

    /// How many connections are idle and have not been asked to close.
    pub fn count(&self) -> usize {
        self.registry().close_requests.len()
    }
}

/// Keeps a connection registered as idle. Dropping it ends the registration.
pub struct IdleGuard {
    connections: Arc<IdleConnections>,
    number: u64,
    close_requested: oneshot::Receiver<()>,
    is_closing: bool,
}

impl IdleGuard {
    /// Waits until the connection is asked to close.
    pub async fn close_requested(&mut self) {
        if (&mut self.close_requested).await.is_err() {
            std::future::pending().await
        }
    }

    /// Ends the registration because the connection closes, so that a close request is not passed on.
    pub fn close(mut self) {
        self.is_closing = true;
    }
}

impl Drop for IdleGuard {
    fn drop(&mut self) {
        let close_request = self
            .connections
            .registry()
            .close_requests
            .remove(&self.number);
        let was_requested = close_request.is_none();
        // The close request was not followed, usually because the connection is busy again. A slot is still needed, so
        // another connection is asked.
        if was_requested && !self.is_closing {
            self.connections.request_close();
        }
    }
}
