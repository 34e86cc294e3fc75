//! The listener: accepts the connections of clients, finds each a slot, and spawns its task.
//!
//! Its owner spawns it as a task, which ends by itself once the router drains and no connection waits to be accepted.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::OwnedSemaphorePermit;
use tracing::warn;

use crate::client_connection::{self, LINGER_WHEN_IDLE};
pub use crate::client_context::ClientContext;
use crate::message::ClientId;
use crate::socket::listen::AcceptRetry;

/// While the router drains, the listener ends when no connection has come for this long: what the kernel has accepted
/// by then comes at once.
const LAST_ACCEPT_WAIT: Duration = Duration::from_millis(5);
/// A new client that has no slot after this has another idle connection asked to close: the one that was asked may be
/// slow to close, or may have received its next request at that moment.
const SLOT_RETRY_DELAY: Duration = LINGER_WHEN_IDLE.saturating_mul(2);

/// Where connections come from.
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

/// Accepts connections until the router drains, and then those that the kernel has already accepted.
pub async fn listen(listener: impl ConnectionSource, context: Arc<ClientContext>) {
    let mut lifecycle = context.lifecycle.clone();
    let mut last_client: ClientId = 0;
    let mut retry = AcceptRetry::default();
    loop {
        let is_draining = lifecycle.borrow_and_update().is_shutting_down();
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = tokio::time::sleep(LAST_ACCEPT_WAIT), if is_draining => return,
            Ok(()) = lifecycle.changed(), if !is_draining => continue,
        };
        let stream = match accepted {
            Ok(stream) => stream,
            Err(error) => {
                wait_after_failure(&mut retry, &error).await;
                continue;
            }
        };
        retry.succeeded();
        last_client += 1;
        // A connection is accepted before it has a slot, as nothing else tells that a client waits; while there is no
        // slot at all, further ones wait with the kernel.
        let Some(slot) = acquire_slot(&context).await else {
            return;
        };
        // The kernel may have received the new client's request already, so the client must not wait in vain: an idle
        // connection closes in its favour, and if all are busy its request is rejected at once.
        let from_reserve =
            context.only_reserve_left() && !context.idle_connections.ask_one_to_close();
        tokio::spawn(client_connection::serve(
            stream,
            context.clone(),
            last_client,
            from_reserve,
            slot,
        ));
    }
}

/// Waits until the next connection can be accepted. No failure ends the listener, nor the accepting of what the kernel
/// holds while the router drains.
async fn wait_after_failure(retry: &mut AcceptRetry, error: &io::Error) {
    let Some(pause) = retry.pause_after(error) else {
        return;
    };
    if retry.is_first_pause() {
        warn!(%error, "cannot accept connections for now; check the limits on descriptors and memory");
    }
    tokio::time::sleep(pause).await;
}

/// A slot for a connection, in favour of which an idle connection is asked to close if there is none; `None` once there
/// are no slots any more.
async fn acquire_slot(context: &ClientContext) -> Option<OwnedSemaphorePermit> {
    let slots = &context.connection_slots;
    if let Ok(slot) = slots.clone().try_acquire_owned() {
        return Some(slot);
    }
    loop {
        context.idle_connections.ask_one_or_next_to_close();
        let freed = slots.clone().acquire_owned();
        if let Ok(slot) = tokio::time::timeout(SLOT_RETRY_DELAY, freed).await {
            context.idle_connections.cancel_ask_next();
            return slot.ok();
        }
    }
}
