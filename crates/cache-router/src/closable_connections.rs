//! The client connections that can give up their slot to a new client without harm. Idle connections are between two
//! requests. Bulk connections have used up their share of the router's thread and send no requests. Silent connections
//! have sent nothing since they were opened.
//!
//! If a new client finds no free slot, a connection is asked to close: a bulk connection first, else a silent one, else
//! the one that has been idle for longest. Each connection is asked at most once. If it receives its next request at that moment, the
//! close request goes to another one.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

/// Why a connection can be closed. Those of the first kind are asked first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Closable {
    /// It has more to do than its share, and none of it is a request.
    Bulk,
    /// It has not sent its first command for some time.
    Silent,
    /// It is between two requests.
    Idle,
    /// It has left a long command incomplete. It gives up the memory of the command and not its slot.
    Unfinished,
}

/// Identifies a registration. The first in the order is asked to close first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RegistrationId {
    kind: Closable,
    /// Increases, so the first of a kind has been registered for longest.
    number: u64,
}

/// All client connections that can be closed. Shared by the listener and the connections. The lock is never held across an await.
#[derive(Default)]
pub struct ClosableConnections {
    registry: Mutex<Registry>,
}

#[derive(Default)]
struct Registry {
    next_number: u64,
    /// The channels that ask the connections to close.
    close_requests: BTreeMap<RegistrationId, oneshot::Sender<()>>,
    /// Whether the next connection that registers is asked to close: a new client waits for a slot, and no connection
    /// was registered when it was accepted.
    close_next: bool,
}

impl ClosableConnections {
    /// Locks the registry. A poisoned lock can be used, since no panic leaves a change incomplete.
    fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a connection until the returned guard is dropped.
    pub fn register(self: &Arc<Self>, kind: Closable) -> CloseGuard {
        let (close_request, close_receiver) = oneshot::channel();
        let mut registry = self.registry();
        let id = RegistrationId {
            kind,
            number: registry.next_number,
        };
        registry.next_number += 1;
        if std::mem::take(&mut registry.close_next) {
            // The receiver still exists here, so the send can't fail.
            let _ = close_request.send(());
        } else {
            registry.close_requests.insert(id, close_request);
        }
        drop(registry);
        CloseGuard {
            connections: self.clone(),
            id,
            close_requested: close_receiver,
            is_closing: false,
        }
    }

    /// Asks the first connection to close; `false` if none is registered.
    pub fn request_close(&self) -> bool {
        let first = self.registry().close_requests.pop_first();
        // A guard removes its entry before its receiver is dropped, so the send fails only if the guard is being
        // dropped.
        first.is_some_and(|(_, close_request)| close_request.send(()).is_ok())
    }

    /// As [`Self::request_close`], but if no connection is registered, the next one that registers is asked to close.
    pub fn request_close_now_or_next(&self) {
        let was_found = self.request_close();
        self.registry().close_next = !was_found;
    }

    /// Withdraws the close request for the next connection that registers, since the new client has a slot.
    pub fn cancel_close_of_next(&self) {
        self.registry().close_next = false;
    }

    /// How many connections are registered and have not been asked to close.
    pub fn count(&self) -> usize {
        self.registry().close_requests.len()
    }
}

/// Keeps a connection registered. Dropping it ends the registration.
pub struct CloseGuard {
    connections: Arc<ClosableConnections>,
    id: RegistrationId,
    close_requested: oneshot::Receiver<()>,
    is_closing: bool,
}

impl CloseGuard {
    /// Why the connection can be closed.
    pub fn kind(&self) -> Closable {
        self.id.kind
    }

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

impl Drop for CloseGuard {
    fn drop(&mut self) {
        let close_request = self.connections.registry().close_requests.remove(&self.id);
        let was_requested = close_request.is_none();
        // The close request was not followed, usually because the connection has received a request. A slot is still needed, so
        // another connection is asked.
        if was_requested && !self.is_closing {
            self.connections.request_close();
        }
    }
}
