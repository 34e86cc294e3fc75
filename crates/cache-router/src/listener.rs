//! The listener: accepts client connections, acquires a slot for each, and spawns its task.
//!
//! The listener runs as a task of its own, which ends once the router drains and no connection waits to be accepted.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::OwnedSemaphorePermit;
use tracing::warn;

use crate::client_connection::{self, LINGER_WHEN_IDLE};
use crate::client_context::ClientContext;
use crate::message::ClientId;
use crate::socket::listen::AcceptRetry;

/// While the router drains, the listener ends when it has accepted no connection for this long. Connections that the
/// kernel has already established are returned at once.
const FINAL_ACCEPT_TIMEOUT: Duration = Duration::from_millis(5);
/// If a new client has no slot after this time, another idle connection is asked to close: the first one may be slow to
/// close, or may have received its next request at that moment.
const SLOT_RETRY_DELAY: Duration = LINGER_WHEN_IDLE.saturating_mul(2);

/// A source of client connections.
pub trait ConnectionSource: Send + Sync + 'static {
    /// Waits for the next connection.
    ///
    /// # Errors
    /// As accept(2).
    fn accept(&self) -> impl Future<Output = io::Result<TcpStream>> + Send;
}

impl ConnectionSource for TcpListener {
    async fn accept(&self) -> io::Result<TcpStream> {
        TcpListener::accept(self).await.map(|(stream, _)| stream)
    }
}

/// Accepts connections until the router drains, and then those that the kernel has already established.
pub async fn listen(listener: impl ConnectionSource, context: Arc<ClientContext>) {
    let mut lifecycle = context.lifecycle.clone();
    let mut last_client: ClientId = 0;
    let mut retry = AcceptRetry::default();
    loop {
        let is_draining = lifecycle.borrow_and_update().is_shutting_down();
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = tokio::time::sleep(FINAL_ACCEPT_TIMEOUT), if is_draining => return,
            Ok(()) = lifecycle.changed(), if !is_draining => continue,
        };
        let stream = match accepted {
            Ok(stream) => stream,
            Err(error) => {
                wait_after_failure(&mut retry, &error).await;
                continue;
            }
        };
        retry.record_success();
        last_client += 1;
        // A connection is accepted before it has a slot, because accepting is the only way to learn that a client is
        // waiting. While no slot is free, further connections wait in the kernel's queue.
        let Some(slot) = acquire_slot(&context).await else {
            return;
        };
        // The kernel may have received the new client's request already, so the client must not wait for nothing: an
        // idle connection is closed to free a slot. If none is idle, the request is rejected at once.
        let uses_reserved_slot =
            context.only_reserved_slots_left() && !context.closable_connections.request_close();
        tokio::spawn(client_connection::serve(
            stream,
            context.clone(),
            last_client,
            uses_reserved_slot,
            slot,
        ));
    }
}

/// Waits until accepting can be retried. No failure ends the listener, and while the router drains, connections that
/// the kernel has established are accepted in spite of failures.
async fn wait_after_failure(retry: &mut AcceptRetry, error: &io::Error) {
    let Some(pause) = retry.pause_after(error) else {
        return;
    };
    if retry.is_first_pause() {
        warn!(%error, "cannot accept connections for now; check the limits on descriptors and memory");
    }
    tokio::time::sleep(pause).await;
}

/// Acquires a slot for a connection. If none is free, idle connections are asked to close. Returns `None` if the
/// semaphore is closed.
async fn acquire_slot(context: &ClientContext) -> Option<OwnedSemaphorePermit> {
    let slots = &context.connection_slots;
    if let Ok(slot) = slots.clone().try_acquire_owned() {
        return Some(slot);
    }
    loop {
        context.closable_connections.request_close_now_or_next();
        let free_slot = slots.clone().acquire_owned();
        if let Ok(slot) = tokio::time::timeout(SLOT_RETRY_DELAY, free_slot).await {
            context.closable_connections.cancel_close_of_next();
            return slot.ok();
        }
    }
}
