//! The task of one client connection: it owns the socket and its buffers, takes commands off the input, hands requests
//! to the event loop and writes the replies in the order of the commands.
//!
//! The [listener](crate::listener) spawns the task. It ends by itself when the client closes its connection, when the
//! router shuts down, or when an idle connection has to give up its place.

pub mod arrival_times;
mod close;
mod commands;
pub mod input;
pub mod local_failures;
pub mod output;
pub mod reply_queue;
mod wait;

use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use tokio::time::Instant;

use crate::client_context::ClientContext;
use crate::idle_connections::IdleGuard;
use crate::lifecycle::LifecyclePhase;
use crate::message::{ClientId, ClientReply, DepartureCause};
use crate::socket::SocketStream;
use close::ConnectionEnd;
use input::{ClientInput, Intake};
use local_failures::Disconnected;
use output::ClientOutput;
use reply_queue::ReplyQueue;

pub use close::{LINGER_AFTER_ERROR, LINGER_WHEN_IDLE};
pub use output::OUTPUT_STALL_TIMEOUT;

/// Requests of one connection that are served at the same time; more wait until one of them is answered.
pub const MAX_PIPELINED: usize = 64;
/// A new client that has sent no complete command for this long is cut off, and so is one that has left a command
/// incomplete, however slowly its bytes come: it holds one of few slots. A silent peer has to be closed within 3 s; the
/// time that it may have waited to be accepted is left off.
pub const COMMAND_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A connection that is about to close reads commands for this long, to reject them. It has to leave most of the time
/// for the last replies of a shutdown.
const REJECT_TIME: Duration = Duration::from_millis(40);
/// A router that shuts down closes a connection between requests, a new one only after this: its first request is on
/// its way, and closed without a reply it would count as rejected.
pub const FIRST_COMMAND_GRACE: Duration = Duration::from_millis(250);

/// Serves a client until its connection ends. `from_reserve` tells that its slot is one of the reserve, for connections
/// whose first request is rejected; `_slot` is held until the connection is closed.
pub async fn serve(
    stream: TcpStream,
    context: Arc<ClientContext>,
    client: ClientId,
    from_reserve: bool,
    _slot: OwnedSemaphorePermit,
) {
    let stream = SocketStream::new(stream);
    let mut connection = ClientConnection::new(stream, context, client, from_reserve);
    match connection.run().await {
        ConnectionEnd::ByClient => connection.end_disconnected(DepartureCause::Closed).await,
        ConnectionEnd::CutOff => connection.end_disconnected(DepartureCause::CutOff).await,
        ConnectionEnd::ByRouter => connection.linger().await,
    }
}

struct ClientConnection {
    stream: SocketStream,
    client: ClientId,
    context: Arc<ClientContext>,
    /// Cloned into each request.
    reply_sender: mpsc::Sender<ClientReply>,
    reply_receiver: mpsc::Receiver<ClientReply>,
    input: ClientInput,
    replies: ReplyQueue,
    output: ClientOutput,
    /// When it was opened.
    opened_at: Instant,
    /// Until when a router that shuts down waits for the first command.
    first_command_until: Instant,
    /// Until when commands are read to be rejected, once the connection is about to close.
    rejects_until: Option<Instant>,
    /// Held while the connection is idle.
    idle_guard: Option<IdleGuard>,
    /// Its slot is one of the reserve, and no request of it was accepted yet.
    from_reserve: bool,
}

impl ClientConnection {
    fn new(
        stream: SocketStream,
        context: Arc<ClientContext>,
        client: ClientId,
        from_reserve: bool,
    ) -> Self {
        // Room for every reply that can be owed, so that the event loop never waits for a client.
        let (reply_sender, reply_receiver) = mpsc::channel(MAX_PIPELINED + 1);
        let now = Instant::now();
        ClientConnection {
            stream,
            client,
            context,
            reply_sender,
            reply_receiver,
            input: ClientInput::default(),
            replies: ReplyQueue::default(),
            output: ClientOutput::default(),
            opened_at: now,
            first_command_until: now + FIRST_COMMAND_GRACE,
            rejects_until: None,
            idle_guard: None,
            from_reserve,
        }
    }

    async fn run(&mut self) -> ConnectionEnd {
        let end = self.serve_commands().await;
        // Not idle any more: a close request that it did not follow goes to another connection.
        self.idle_guard = None;
        end
    }

    async fn serve_commands(&mut self) -> ConnectionEnd {
        let mut lifecycle = self.context.lifecycle.clone();
        loop {
            // A client whose input never ends must not keep the others waiting.
            tokio::task::coop::consume_budget().await;
            let phase = *lifecycle.borrow_and_update();
            if phase == LifecyclePhase::Closing {
                self.stop_serving();
            }
            self.take_commands().await;
            self.reject_excess_commands();
            self.output.take_ready(&mut self.replies);
            if self.is_finished() {
                match self.finish().await {
                    ControlFlow::Continue(()) => continue,
                    ControlFlow::Break(end) => return end,
                }
            }
            match self.output.write(|bytes| self.stream.try_write(bytes)) {
                Ok(true) => continue,
                Ok(false) => {}
                Err(Disconnected) => return ConnectionEnd::ByClient,
            }
            self.input.update_interval();
            let is_reading = self.can_read();
            if !is_reading && self.is_closed_behind_input().await {
                return ConnectionEnd::ByClient;
            }
            self.update_idle_guard();
            let wake_up = self.wait(&mut lifecycle, phase, is_reading).await;
            if let ControlFlow::Break(end) = self.handle_wake_up(wake_up).await {
                return end;
            }
        }
    }

    /// Reads what has arrived.
    fn read(&mut self) -> Result<(), Disconnected> {
        if !self.can_read() {
            return Ok(());
        }
        let takes_commands = self.can_take_commands();
        let try_read = |buffer: &mut BytesMut| self.stream.try_read_buf(buffer);
        self.input
            .read(try_read, self.context.clock, takes_commands)
    }

    /// Whether the client is owed a reply or a part of one.
    fn owes_reply(&self) -> bool {
        !self.replies.is_empty() || !self.output.is_empty()
    }

    /// Whether the connection is between two requests, or before the first.
    fn is_between_requests(&self) -> bool {
        !self.owes_reply() && self.input.is_empty()
    }

    /// Whether the connection is about to close and all is answered that has been read.
    fn is_finished(&self) -> bool {
        !self.owes_reply() && self.input.intake() != Intake::Serve
    }

    /// Has the connection close once all is answered that has been read; what comes for a moment yet is rejected.
    fn stop_serving(&mut self) {
        self.input.reject();
        self.rejects_until
            .get_or_insert_with(|| Instant::now() + REJECT_TIME);
    }

    /// Whether input is read.
    fn can_read(&self) -> bool {
        let is_too_late = self.input.intake() == Intake::Reject
            && self
                .rejects_until
                .is_some_and(|until| Instant::now() >= until);
        !is_too_late && self.input.can_read(self.can_take_commands())
    }

    /// Whether commands are taken off the input.
    fn can_take_commands(&self) -> bool {
        self.input.intake() != Intake::Discard
            && self.replies.len() < MAX_PIPELINED
            && !self.output.is_full()
    }

    /// When the client has to have completed a command; `None` while it owes none. What it is owed itself makes no
    /// difference.
    fn command_deadline(&self) -> Option<Instant> {
        let awaits_first_command = self.replies.is_unused() && self.replies.is_empty();
        let owes_since = match awaits_first_command {
            true => Some(self.opened_at),
            false => self.input.incomplete_since(),
        };
        owes_since.map(|since| since + COMMAND_TIMEOUT)
    }

    /// Registers the connection as idle, or no longer.
    fn update_idle_guard(&mut self) {
        let is_idle = self.is_between_requests() && !self.replies.is_unused();
        if !is_idle {
            self.idle_guard = None;
        } else if self.idle_guard.is_none() {
            self.idle_guard = Some(self.context.idle_connections.register());
        }
    }
}
