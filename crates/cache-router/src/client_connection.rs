//! The task of one client connection: it owns the socket and its buffers, takes commands off the input, hands requests
//! to the event loop and writes the replies in the order of the commands.
//!
//! The [listener](crate::listener) spawns the task. It ends by itself when the client closes its connection, when the
//! router shuts down, or when an idle connection has to give up its place.

mod arrival_times;
mod reply_queue;

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use routing_policy::Micros;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, mpsc, watch};
use tokio::time::Instant;

use crate::client_command::{self, Command};
use crate::client_context::ClientContext;
use crate::idle_connections::IdleGuard;
use crate::lifecycle::LifecyclePhase;
use crate::message::{ClientCommand, ClientId, ClientReply, ClientRequest, RouterEvent};
use crate::resp;
use arrival_times::ArrivalTimes;
use reply_queue::ReplyQueue;

/// Requests of one connection that are served at the same time; more wait until one of them is answered.
pub const MAX_PIPELINED: usize = 64;
/// While this many bytes wait to be written to a client, no further command of it is taken.
const MAX_OUTPUT_BYTES: usize = 64 * 1024;
/// While no command is taken, this many bytes are read ahead all the same: behind them may be the client's close, and
/// the time of a request counts from when it arrived.
const READ_AHEAD_BYTES: usize = 16 * 1024;
/// Of a client whose input is ignored this many bytes are read and discarded while it is still owed replies.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
/// Free space in the input buffer before each read, in bytes.
const READ_CAPACITY: usize = 4096;
/// How often a connection that is not read from is checked for the client's close.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// How long input is read and discarded after the router has closed its side: closing a socket with unread input resets
/// the connection, which can take the last reply away from the client. After an error the client may be sending still.
pub const LINGER_AFTER_ERROR: Duration = Duration::from_millis(500);
/// The same for a connection that was idle: what crossed the close has arrived soon, and a new client, or the router's
/// end, waits for the slot.
pub const LINGER_WHEN_IDLE: Duration = Duration::from_millis(100);
/// The most reads while lingering, against a client that never stops sending.
const MAX_LINGER_READS: usize = 256;
/// A client that takes none of its replies for this long is cut off.
pub const OUTPUT_STALL_TIMEOUT: Duration = Duration::from_secs(20);
/// A new client that has sent no complete command for this long is cut off, and so is one that has left a command
/// incomplete, however slowly its bytes come: it holds one of few slots. A silent peer has to be closed within 3 s; the
/// time that it may have waited to be accepted is left off.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A router that shuts down closes a connection between requests, a new one only after this: its first request is on
/// its way, and closed without a reply it would count as rejected.
pub const FIRST_COMMAND_GRACE: Duration = Duration::from_millis(250);

const PONG_REPLY: &[u8] = b"+PONG\r\n";
const LOADING_REPLY: &[u8] = b"-LOADING no list of servers yet\r\n";
const BUSY_REPLY: &[u8] = b"-BUSY\r\n";

/// Serves a client until its connection ends. `from_reserve` tells that its slot is one of the reserve, for connections
/// whose first request is rejected; `_slot` is held until the connection is closed.
pub async fn serve(
    stream: TcpStream,
    context: Arc<ClientContext>,
    client: ClientId,
    from_reserve: bool,
    _slot: OwnedSemaphorePermit,
) {
    // Without it replies are only slower.
    let _ = stream.set_nodelay(true);
    let mut connection = ClientConnection::new(stream, context, client, from_reserve);
    match connection.run().await {
        ConnectionEnd::ByClient => connection.report_disconnect().await,
        ConnectionEnd::ByRouter => connection.linger().await,
    }
}

/// Why a connection ends.
enum ConnectionEnd {
    /// The client has closed it, or takes no replies.
    ByClient,
    /// The router closes it: between requests, or after input that is not a command.
    ByRouter,
}

/// The client has closed the connection.
struct Disconnected;

/// What a connection has to do after a wait.
enum WakeUp {
    /// It looks at its buffers again.
    Continue,
    /// It closes, unless a command has arrived.
    CloseIfIdle,
    /// It ends.
    End(ConnectionEnd),
}

struct ClientConnection {
    stream: TcpStream,
    client: ClientId,
    context: Arc<ClientContext>,
    /// Cloned into each request.
    reply_sender: mpsc::Sender<ClientReply>,
    reply_receiver: mpsc::Receiver<ClientReply>,
    input: BytesMut,
    arrival_times: ArrivalTimes,
    output: BytesMut,
    replies: ReplyQueue,
    /// When the client last took something of the output, or there was none.
    output_progress_at: Instant,
    /// Since when the client has owed a complete command; `None` while it owes none.
    owes_command_since: Option<Instant>,
    /// Until when a router that shuts down waits for the first command.
    first_command_until: Instant,
    /// Held while the connection is idle.
    idle_guard: Option<IdleGuard>,
    /// No further command is taken: the framing of the input is lost, or the client was rejected.
    ignores_input: bool,
    /// Bytes that were discarded since.
    discarded_bytes: usize,
    /// Its slot is one of the reserve, and no request of it was accepted yet.
    from_reserve: bool,
}

impl ClientConnection {
    fn new(
        stream: TcpStream,
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
            input: BytesMut::new(),
            arrival_times: ArrivalTimes::default(),
            output: BytesMut::new(),
            replies: ReplyQueue::default(),
            output_progress_at: now,
            owes_command_since: Some(now),
            first_command_until: now + FIRST_COMMAND_GRACE,
            idle_guard: None,
            ignores_input: false,
            discarded_bytes: 0,
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
            self.take_commands(phase).await;
            self.move_replies_to_output();
            if self.is_finished(phase) {
                return ConnectionEnd::ByRouter;
            }
            self.update_command_timeout();
            match self.write_output() {
                Ok(true) => continue,
                Ok(false) => {}
                Err(Disconnected) => return ConnectionEnd::ByClient,
            }
            let is_reading = self.can_read(phase);
            if !is_reading && self.is_closed_behind_input().await {
                return ConnectionEnd::ByClient;
            }
            self.update_idle_guard();
            let wake_up = match self.wait(&mut lifecycle, phase, is_reading).await {
                WakeUp::CloseIfIdle => self.close_if_idle(phase).await,
                other => other,
            };
            if let WakeUp::End(end) = wake_up {
                return end;
            }
        }
    }

    // The state between two waits.

    /// Whether the client is owed a reply or a part of one.
    fn owes_reply(&self) -> bool {
        !self.replies.is_empty() || !self.output.is_empty()
    }

    /// Whether the connection is between two requests, or before the first.
    fn is_between_requests(&self) -> bool {
        !self.owes_reply() && self.input.is_empty()
    }

    /// Whether all is answered that is going to be.
    fn is_finished(&self, phase: LifecyclePhase) -> bool {
        !self.owes_reply() && (self.ignores_input || phase == LifecyclePhase::Closing)
    }

    /// Whether commands are taken off the input.
    fn can_take_commands(&self, phase: LifecyclePhase) -> bool {
        !self.ignores_input
            && phase != LifecyclePhase::Closing
            && self.replies.len() < MAX_PIPELINED
            && self.output.len() < MAX_OUTPUT_BYTES
    }

    /// Whether input is read.
    fn can_read(&self, phase: LifecyclePhase) -> bool {
        if self.ignores_input {
            return self.discarded_bytes < MAX_DISCARDED_BYTES;
        }
        self.can_take_commands(phase) || self.input.len() < READ_AHEAD_BYTES
    }

    /// Begins or ends the time within which the client has to complete a command.
    fn update_command_timeout(&mut self) {
        let has_begun = self.replies.is_unused() || !self.input.is_empty();
        if !self.owes_reply() && has_begun {
            self.owes_command_since.get_or_insert_with(Instant::now);
        } else {
            self.owes_command_since = None;
        }
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

    // Waiting.

    /// Waits for whatever comes first. The branches are in the order of their priority.
    async fn wait(
        &mut self,
        lifecycle: &mut watch::Receiver<LifecyclePhase>,
        phase: LifecyclePhase,
        is_reading: bool,
    ) -> WakeUp {
        let has_output = !self.output.is_empty();
        let is_idle = self.idle_guard.is_some();
        let is_shutting_down = phase.is_shutting_down();
        let awaits_first_command = self.is_between_requests() && self.replies.is_unused();
        let command_deadline = self.owes_command_since.map(|since| since + COMMAND_TIMEOUT);
        tokio::select! {
            biased;
            reply = self.reply_receiver.recv() => {
                if let Some(reply) = reply {
                    self.replies.fill(reply);
                }
                WakeUp::Continue
            }
            ready = self.stream.readable(), if is_reading => {
                if ready.is_err() || self.read(phase).is_err() {
                    return WakeUp::End(ConnectionEnd::ByClient);
                }
                WakeUp::Continue
            }
            ready = self.stream.writable(), if has_output => match ready {
                Ok(()) => WakeUp::Continue,
                Err(_) => WakeUp::End(ConnectionEnd::ByClient),
            },
            Ok(()) = lifecycle.changed() => WakeUp::Continue,
            () = tokio::time::sleep_until(self.first_command_until),
                if is_shutting_down && awaits_first_command => WakeUp::CloseIfIdle,
            () = std::future::ready(()), if is_shutting_down && is_idle => WakeUp::CloseIfIdle,
            () = close_requested(&mut self.idle_guard), if is_idle => WakeUp::CloseIfIdle,
            () = tokio::time::sleep_until(self.output_progress_at + OUTPUT_STALL_TIMEOUT),
                if has_output => WakeUp::End(ConnectionEnd::ByClient),
            () = tokio::time::sleep(CLOSE_CHECK_INTERVAL), if !is_reading => WakeUp::Continue,
            () = async { tokio::time::sleep_until(command_deadline.unwrap_or_else(Instant::now)).await },
                if command_deadline.is_some() => WakeUp::End(ConnectionEnd::ByRouter),
        }
    }

    /// Closes the connection, unless a command has arrived.
    async fn close_if_idle(&mut self, phase: LifecyclePhase) -> WakeUp {
        // What the kernel has received by now is still served: the runtime looks for it once more.
        tokio::task::yield_now().await;
        if self.read(phase).is_err() {
            return WakeUp::End(ConnectionEnd::ByClient);
        }
        if !self.input.is_empty() {
            return WakeUp::Continue;
        }
        if let Some(idle_guard) = self.idle_guard.take() {
            idle_guard.close();
        }
        WakeUp::End(ConnectionEnd::ByRouter)
    }

    /// Whether a client of which nothing is read has closed its connection behind its unread input.
    async fn is_closed_behind_input(&self) -> bool {
        tokio::select! {
            biased;
            ready = self.stream.ready(Interest::READABLE) => {
                ready.map_or(true, |ready| ready.is_read_closed())
            }
            () = std::future::ready(()) => false,
        }
    }

    // Input.

    /// Reads what has arrived. A client that has closed its connection is disconnected whatever it had sent before:
    /// nobody waits for the replies.
    fn read(&mut self, phase: LifecyclePhase) -> Result<(), Disconnected> {
        while self.can_read(phase) {
            self.input.reserve(READ_CAPACITY);
            match self.stream.try_read_buf(&mut self.input) {
                Ok(0) => return Err(Disconnected),
                Ok(count) if self.ignores_input => {
                    self.discarded_bytes += count;
                    self.input.clear();
                }
                Ok(count) => {
                    self.arrival_times.add(count, self.context.clock.now());
                    // More than one command holds: the rest is read once this has been parsed.
                    if self.input.len() > resp::MAX_COMMAND_BYTES {
                        break;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return Err(Disconnected),
            }
        }
        Ok(())
    }

    /// Takes the commands that are complete.
    async fn take_commands(&mut self, phase: LifecyclePhase) {
        while self.can_take_commands(phase) {
            let length_before = self.input.len();
            match resp::take_command(&mut self.input) {
                Ok(Some(words)) => {
                    let taken = length_before - self.input.len();
                    let arrived_at = self.arrival_times.take(taken);
                    let received_at = arrived_at.unwrap_or_else(|| self.context.clock.now());
                    self.handle_command(&words, received_at).await;
                }
                Ok(None) => break,
                Err(error) => {
                    let reply = format!("-ERR protocol error: {error}\r\n");
                    self.replies.push_ready(reply);
                    self.ignores_input = true;
                    self.input = BytesMut::new();
                    self.arrival_times = ArrivalTimes::default();
                }
            }
        }
    }

    async fn handle_command(&mut self, words: &[Bytes], received_at: Micros) {
        match client_command::parse(words, &self.context.deployment) {
            Ok(Command::Ping) => {
                let phase = *self.context.lifecycle.borrow();
                let reply = match phase {
                    LifecyclePhase::Starting => LOADING_REPLY,
                    _ => PONG_REPLY,
                };
                self.replies.push_ready(reply);
            }
            Ok(Command::Request(command)) => self.handle_request(command, received_at).await,
            Err(error) => self.replies.push_ready(format!("-ERR {error}\r\n")),
        }
    }

    /// Hands a request to the event loop, unless there is no slot for it: it is rejected then without the policy, which
    /// is harmless as it was never sent to a server.
    async fn handle_request(&mut self, command: ClientCommand, received_at: Micros) {
        if self.from_reserve && self.context.only_reserve_left() {
            self.ignores_input = true;
            self.replies.push_ready(BUSY_REPLY);
            return;
        }
        self.from_reserve = false;
        let Ok(permit) = self.context.request_slots.clone().try_acquire_owned() else {
            self.replies.push_ready(BUSY_REPLY);
            return;
        };
        let request = ClientRequest {
            command,
            received_at,
            client: self.client,
            sequence: self.replies.reserve(permit),
            replies: self.reply_sender.clone(),
        };
        let event = RouterEvent::ClientRequest(Box::new(request));
        let _ = self.context.events.send(event).await;
    }

    // Output.

    fn move_replies_to_output(&mut self) {
        while self.output.len() < MAX_OUTPUT_BYTES
            && let Some(reply) = self.replies.pop_ready()
        {
            self.output.extend_from_slice(&reply);
        }
    }

    /// Writes what the kernel takes of the output; `true` if it took something.
    fn write_output(&mut self) -> Result<bool, Disconnected> {
        if self.output.is_empty() {
            // Gives back the memory that a large reply took.
            self.output = BytesMut::new();
            self.output_progress_at = Instant::now();
            return Ok(false);
        }
        match self.stream.try_write(&self.output) {
            Ok(count) => {
                let _ = self.output.split_to(count);
                self.output_progress_at = Instant::now();
                Ok(true)
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(false),
            Err(_) => Err(Disconnected),
        }
    }

    // The end.

    /// Tells the event loop that the client is gone.
    async fn report_disconnect(&mut self) {
        // First: whoever is about to send for this client sees it at once, whatever is queued before the event.
        self.reply_receiver.close();
        let event = RouterEvent::ClientDisconnected(self.client);
        let _ = self.context.events.send(event).await;
    }

    /// Ends the connection in order: the last reply goes out completely, and then its end. What arrives meanwhile is
    /// discarded.
    async fn linger(&mut self) {
        let timeout = if self.ignores_input {
            LINGER_AFTER_ERROR
        } else {
            LINGER_WHEN_IDLE
        };
        let _ = self.stream.shutdown().await;
        let discard = async {
            let mut buffer = [0u8; READ_CAPACITY];
            for _ in 0..MAX_LINGER_READS {
                if !matches!(self.stream.read(&mut buffer).await, Ok(count) if count > 0) {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(timeout, discard).await;
    }
}

/// Waits until an idle connection is asked to close.
async fn close_requested(idle_guard: &mut Option<IdleGuard>) {
    if let Some(idle_guard) = idle_guard {
        idle_guard.close_requested().await;
    }
}
