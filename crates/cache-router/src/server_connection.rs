//! The task of one connection to a cache server or the origin. It owns the socket and its read buffer, and handles one
//! request at a time: a connection answers in order, so a slow response would delay the responses after it.
//!
//! The [connection pool](crate::connection_pool) spawns and aborts the task. The task also ends by itself when its
//! connection is lost. It reports to the event loop.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use routing_policy::Micros;
use routing_policy::settings::Deployment;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tracing::warn;

use crate::clock::Clock;
use crate::fair_share::{BulkTurns, FairShare, Peer, Work};
use crate::memory_budget::MemoryBudget;
use crate::memory_usage::{HeldBytes, Holder, MemoryUsage};
use crate::message::{
    ConnectionId, LossCause, LostConnection, RouterEvent, ServerConnectionEvent, ServerProtocol,
    ServerResponse, ServerTarget,
};
use crate::response_buffer::ResponseBuffer;
use crate::socket::errors::{classify, out_of_memory};
use crate::socket::stream::LOCAL_RETRY_PAUSE;
use crate::socket::{self, SocketStream};
use crate::write_progress::{SharedWriteProgress, WriteProgress};

/// Memory of a connection beside the received part of a response: its task, its socket and its channel, in bytes.
const TASK_BYTES: usize = 4 * 1024;
/// What a connection holds at most without a reservation, in bytes: its task, and the received part of a response.
pub const SERVER_CONNECTION_BYTES: usize = 8 * 1024;

/// How long a response waits for memory. While it does, its connection and its request are kept from others.
const MEMORY_TIMEOUT: Duration = Duration::from_millis(100);

/// A request that is handed to a connection.
pub struct OutgoingRequest {
    /// The encoded request.
    pub bytes: Bytes,
    /// The request may not be written from this time on: the process may have been suspended since the event loop
    /// decided to send it.
    pub write_by: Micros,
    /// From this time on the event loop has to confirm the write before it starts.
    pub confirm_from: Micros,
    /// The progress of its write.
    pub progress: Arc<SharedWriteProgress>,
}

/// What all connections to servers share.
#[derive(Clone)]
pub struct ServerConnectionContext {
    /// The settings of the deployment.
    pub deployment: Arc<Deployment>,
    /// The router's clock.
    pub clock: Clock,
    /// The event loop.
    pub events: mpsc::Sender<RouterEvent>,
    /// The memory for long responses.
    pub reply_memory: MemoryBudget,
    /// What is held without a reservation.
    pub memory_usage: Arc<MemoryUsage>,
    /// The queue of the connections that have more to do than their share.
    pub bulk_turns: Arc<BulkTurns>,
}

/// The pool's handle to a connection. Dropping it aborts the task, which closes the connection.
pub struct ServerConnectionHandle {
    /// Holds one request at a time.
    requests: mpsc::Sender<OutgoingRequest>,
    /// Whether opening the connection has been delayed by this machine and not by the server.
    is_delayed_locally: Arc<AtomicBool>,
    task: AbortHandle,
}

impl ServerConnectionHandle {
    /// Hands a request to the connection; `false` if its task has ended or another request is queued.
    pub fn send(&self, request: OutgoingRequest) -> bool {
        self.requests.try_send(request).is_ok()
    }

    /// Whether opening the connection has been delayed by this machine. The delay then does not count as a failure of
    /// the server.
    pub fn is_delayed_locally(&self) -> bool {
        self.is_delayed_locally.load(Ordering::Relaxed)
    }

    /// Whether the connection's task has ended.
    pub fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }
}

impl Drop for ServerConnectionHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Spawns the task of a connection, which starts by opening it.
pub fn spawn(
    id: ConnectionId,
    target: ServerTarget,
    connect_timeout: Duration,
    context: ServerConnectionContext,
) -> ServerConnectionHandle {
    let (requests, receiver) = mpsc::channel(1);
    let is_delayed_locally = Arc::<AtomicBool>::default();
    let connection = ServerConnection {
        id,
        protocol: target.protocol,
        requests: receiver,
        is_delayed_locally: is_delayed_locally.clone(),
        _task: HeldBytes::new(
            context.memory_usage.clone(),
            Holder::ServerConnections,
            TASK_BYTES,
        ),
        context,
    };
    let task = tokio::spawn(connection.run(target.address, connect_timeout));
    ServerConnectionHandle {
        requests,
        is_delayed_locally,
        task: task.abort_handle(),
    }
}

/// The state of a connection's task.
struct ServerConnection {
    id: ConnectionId,
    protocol: ServerProtocol,
    requests: mpsc::Receiver<OutgoingRequest>,
    is_delayed_locally: Arc<AtomicBool>,
    _task: HeldBytes,
    context: ServerConnectionContext,
}

impl ServerConnection {
    async fn run(mut self, address: SocketAddr, connect_timeout: Duration) {
        let last_event = self.handle_requests(address, connect_timeout).await;
        let _ = self.report(last_event).await;
    }

    /// Opens the connection and handles one request after the other. Returns the last event of the connection, which is
    /// then closed.
    async fn handle_requests(
        &mut self,
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> ServerConnectionEvent {
        const LOST: ServerConnectionEvent = ServerConnectionEvent::Lost(LostConnection {
            progress: WriteProgress::NotStarted,
            cause: LossCause::Server,
        });
        // A machine that is down answers nothing, so connecting has a timeout of its own. It is longer than the timeout
        // of the attempts that wait for the connection: one that is established late shows that the server is up.
        let deadline = Instant::now() + connect_timeout;
        let record_local_failure = || self.is_delayed_locally.store(true, Ordering::Relaxed);
        let connected = socket::connect::connect(address, deadline, record_local_failure).await;
        let Ok(mut stream) = connected else {
            return LOST;
        };
        let mut buffer = ResponseBuffer::new(self.protocol);
        let mut share = FairShare::new(Peer::Server(self.id), self.context.bulk_turns.clone());
        let mut event = ServerConnectionEvent::Established;
        loop {
            if !self.report(event).await {
                return LOST;
            }
            let mut unexpected = [0];
            let next_request = tokio::select! {
                // Reads come first: nothing is written to a connection that the server has closed, so the request has
                // certainly not run.
                biased;
                _ = stream.read(&mut unexpected) => return LOST,
                request = self.requests.recv() => request,
            };
            let Some(request) = next_request else {
                return LOST;
            };
            event = self
                .handle_request(request, &mut stream, &mut buffer, &mut share)
                .await;
            share.end_turn();
            if closes_connection(&event) {
                return event;
            }
        }
    }

    /// Sends an event to the event loop; `false` if the event loop has ended.
    async fn report(&self, event: ServerConnectionEvent) -> bool {
        let event = RouterEvent::ServerConnection(self.id, event);
        self.context.events.send(event).await.is_ok()
    }

    /// Writes one request and reads its response, unless its deadline has passed, it was withdrawn, or the write has to
    /// be confirmed.
    async fn handle_request(
        &self,
        request: OutgoingRequest,
        stream: &mut SocketStream,
        buffer: &mut ResponseBuffer,
        share: &mut FairShare,
    ) -> ServerConnectionEvent {
        // The process may have been suspended since the event loop decided to write. A request must not be written
        // after its deadline.
        let now = self.context.clock.now();
        if now < request.write_by && now >= request.confirm_from {
            // Yields first, so that the event loop receives what arrived in the meantime.
            tokio::task::yield_now().await;
            return ServerConnectionEvent::ConfirmWrite;
        }
        let progress = &request.progress;
        if now >= request.write_by
            || !progress.advance(WriteProgress::NotStarted, WriteProgress::Writing)
        {
            return ServerConnectionEvent::NotWritten;
        }
        let first_write = match stream.begin_write(&request.bytes).await {
            Ok(count) => count,
            Err(error) if classify(&error).is_transient() => {
                return self.postpone_write(progress).await;
            }
            Err(error) => return connection_lost(&error, WriteProgress::Writing),
        };
        if let Err(error) = stream.write_all(&request.bytes[first_write..]).await {
            return connection_lost(&error, WriteProgress::Writing);
        }
        progress.advance(WriteProgress::Writing, WriteProgress::Written);
        // Frees the memory of a large value before waiting for the response.
        drop(request);
        match self.read_response(stream, buffer, share).await {
            Ok(response) => ServerConnectionEvent::Response(response),
            Err(error) => connection_lost(&error, WriteProgress::Written),
        }
    }

    /// Handles a local failure to write the first byte of a request. The write is repeated only after the event loop
    /// has confirmed it: in the meantime the client may disconnect, and the remaining time that the request states
    /// becomes wrong.
    async fn postpone_write(&self, progress: &SharedWriteProgress) -> ServerConnectionEvent {
        progress.advance(WriteProgress::Writing, WriteProgress::NotStarted);
        tokio::time::sleep(LOCAL_RETRY_PAUSE).await;
        ServerConnectionEvent::ConfirmWrite
    }

    /// Reserves the memory for a response; an error of this machine if there is none for too long.
    async fn reserve_memory(&self, buffer: &mut ResponseBuffer) -> io::Result<()> {
        let reserved = buffer.reserve(&self.context.reply_memory);
        if tokio::time::timeout(MEMORY_TIMEOUT, reserved).await.is_ok() {
            return Ok(());
        }
        warn!(
            connection = self.id,
            "a connection is closed because there is no memory for its response"
        );
        Err(out_of_memory())
    }

    /// Reads a response; an error if the connection is lost or the server violates the protocol.
    async fn read_response(
        &self,
        stream: &mut SocketStream,
        buffer: &mut ResponseBuffer,
        share: &mut FairShare,
    ) -> io::Result<ServerResponse> {
        let load_report_names = &self.context.deployment.load_report_names;
        let usage = self.context.memory_usage.clone();
        let mut held = HeldBytes::new(usage, Holder::ServerResponses, 0);
        loop {
            let decoded = buffer.decode(load_report_names);
            if let Some(response) = decoded.map_err(io::Error::other)? {
                return Ok(response);
            }
            share.wait_for_more().await;
            if buffer.needs_memory() {
                share.end_turn();
                self.reserve_memory(buffer).await?;
            }
            buffer.free_space();
            held.set(buffer.unreserved_bytes());
            let count = read_by_turns(stream, buffer.free_space(), share).await?;
            if count == 0 {
                let last = buffer.decode_at_end(load_report_names);
                return last.ok_or(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// Reads what has arrived. If nothing has, ends the turn of the connection and waits.
async fn read_by_turns(
    stream: &mut SocketStream,
    buffer: &mut BytesMut,
    share: &mut FairShare,
) -> io::Result<usize> {
    let available = tokio::select! {
        biased;
        count = stream.read_buf(buffer) => Some(count?),
        () = std::future::ready(()) => None,
    };
    let count = match available {
        Some(count) => count,
        None => {
            share.end_turn();
            let count = stream.read_buf(buffer).await?;
            share.resume();
            count
        }
    };
    share.charge(Work::Input(count));
    Ok(count)
}

/// The event for a connection that was lost by an error. `progress` is the write progress of its request.
fn connection_lost(error: &io::Error, progress: WriteProgress) -> ServerConnectionEvent {
    let cause = if classify(error).is_transient() {
        LossCause::ThisMachine
    } else {
        LossCause::Server
    };
    ServerConnectionEvent::Lost(LostConnection { progress, cause })
}

/// Whether a connection has to be closed after an event.
fn closes_connection(event: &ServerConnectionEvent) -> bool {
    match event {
        ServerConnectionEvent::Lost(_) => true,
        ServerConnectionEvent::Response(response) => !response.reusable,
        ServerConnectionEvent::Established
        | ServerConnectionEvent::NotWritten
        | ServerConnectionEvent::ConfirmWrite => false,
    }
}
