//! The task of one client connection. It owns the socket and its buffers, parses commands from the input, sends
//! requests to the event loop and writes the replies in the order of the commands.
//!
//! The [listener](crate::listener) spawns the task. The task ends when the client closes its connection, when the
//! router shuts down, or when an idle connection is closed to free its slot for a new client. It also ends if the
//! client sends invalid input, leaves a command incomplete for too long or stops reading its replies.

pub mod arrival_times;
mod close;
mod commands;
pub mod input;
pub mod local_failures;
pub mod output;
mod pipeline_memory;
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
use crate::closable_connections::{Closable, CloseGuard};
use crate::fair_share::{FairShare, Peer, Work};
use crate::lifecycle::LifecyclePhase;
use crate::memory_usage::{HeldBytes, Holder};
use crate::message::{ClientId, ClientReply, DisconnectCause};
use crate::socket::SocketStream;
use close::CloseReason;
use input::{ClientInput, InputMode, MAX_UNRESERVED_INPUT_BYTES};
use local_failures::Disconnected;
use output::{ClientOutput, MAX_UNRESERVED_OUTPUT_BYTES};
use pipeline_memory::{PipelineMemory, UNRESERVED_PIPELINE_BYTES};
use reply_queue::ReplyQueue;

pub use close::{LINGER_AFTER_ERROR, LINGER_WHEN_IDLE};
pub use output::OUTPUT_STALL_TIMEOUT;

/// The most commands of one connection that may be waiting for a reply, if there is memory for so many. Later ones wait
/// until one of them is answered.
pub const MAX_PIPELINED: usize = 64;
/// A client is disconnected if it has not completed its first command within this time, or has left a later command
/// incomplete for this long, even if it keeps sending bytes: it occupies one of a limited number of slots. A silent
/// peer has to be closed within 3 s, which includes the time that the connection may have waited to be accepted.
pub const COMMAND_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A connection that is about to close still reads commands for this long and rejects them. Most of the last phase of a
/// shutdown has to remain for writing the last replies.
const REJECTION_PERIOD: Duration = Duration::from_millis(40);
/// During a shutdown, and for a new client, connections are closed as soon as they are between requests, but a new
/// connection only after this time: its first request may be in transit, and closing without a reply would count as a
/// rejection.
pub const FIRST_COMMAND_GRACE: Duration = Duration::from_millis(250);

/// An incomplete long command is not discarded in its first moments, however short memory is: most arrive at once.
const INCOMPLETE_GRACE: Duration = Duration::from_millis(100);
/// If the memory for replies is short, a client that has taken none for this long is disconnected, and long values that
/// have waited for this long behind a pending reply are failed.
const STALL_GRACE: Duration = Duration::from_secs(1);
/// Memory of a connection beside its input and replies: its task, its socket and the channel for its replies, in bytes.
const TASK_BYTES: usize = 6 * 1024;
/// What a connection holds at most without a reservation, in bytes.
pub const CLIENT_CONNECTION_BYTES: usize = TASK_BYTES
    + MAX_UNRESERVED_INPUT_BYTES
    + UNRESERVED_PIPELINE_BYTES
    + MAX_UNRESERVED_OUTPUT_BYTES;
/// How often a client that takes no replies is checked while it holds memory.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Serves a client until its connection ends.
///
/// `uses_reserved_slot` says that the connection has one of the slots that are reserved for rejecting clients: its
/// first request is rejected if only reserved slots are left by then. `_slot` is held until the connection is closed.
pub async fn serve(
    stream: TcpStream,
    context: Arc<ClientContext>,
    client: ClientId,
    uses_reserved_slot: bool,
    _slot: OwnedSemaphorePermit,
) {
    let stream = SocketStream::new(stream);
    let mut connection = ClientConnection::new(stream, context, client, uses_reserved_slot);
    match connection.run().await {
        CloseReason::ClosedByClient => {
            connection
                .handle_disconnect(DisconnectCause::ClosedByClient)
                .await
        }
        CloseReason::OutputStalled => {
            connection
                .handle_disconnect(DisconnectCause::OutputStalled)
                .await
        }
        CloseReason::ClosedByRouter => connection.linger().await,
        CloseReason::SlotReclaimed => {}
    }
}

/// What a connection holds without a reservation.
struct ConnectionMemory {
    _task: HeldBytes,
    input: HeldBytes,
    replies: HeldBytes,
}

impl ConnectionMemory {
    fn new(context: &ClientContext) -> Self {
        let hold = |holder, bytes| HeldBytes::new(context.memory_usage.clone(), holder, bytes);
        ConnectionMemory {
            _task: hold(Holder::ClientConnections, TASK_BYTES),
            input: hold(Holder::ClientInput, 0),
            replies: hold(Holder::ClientReplies, 0),
        }
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
    pipeline_memory: PipelineMemory,
    output: ClientOutput,
    /// What the connection holds without a reservation.
    held: ConnectionMemory,
    /// Limits the work that is done before other tasks run.
    share: FairShare,
    opened_at: Instant,
    /// How long the connection stays open for its first command if the router shuts down or a new client needs its slot.
    first_command_until: Instant,
    /// Set once the connection is about to close: commands are read and rejected until then.
    reject_until: Option<Instant>,
    /// Held while the connection is idle or silent.
    idle_guard: Option<CloseGuard>,
    /// Held while the connection is a bulk connection that sends no requests.
    bulk_guard: Option<CloseGuard>,
    /// Held while a long command is incomplete that can be discarded.
    incomplete_guard: Option<CloseGuard>,
    /// Whether the client has ever sent a request.
    has_sent_request: bool,
    /// How many commands have been answered that are not requests.
    other_commands: usize,
    /// Whether the connection has a reserved slot and no request of it has been accepted yet.
    uses_reserved_slot: bool,
}

impl ClientConnection {
    fn new(
        stream: SocketStream,
        context: Arc<ClientContext>,
        client: ClientId,
        uses_reserved_slot: bool,
    ) -> Self {
        // Capacity for every reply that can be pending, so that the event loop never waits for a client.
        let (reply_sender, reply_receiver) = mpsc::channel(MAX_PIPELINED + 1);
        let now = Instant::now();
        let share = FairShare::new(Peer::Client(client), context.bulk_turns.clone());
        let input = ClientInput::new(context.request_memory.clone());
        let pipeline_memory = PipelineMemory::new(context.reply_memory.clone());
        let held = ConnectionMemory::new(&context);
        ClientConnection {
            stream,
            client,
            context,
            reply_sender,
            reply_receiver,
            input,
            replies: ReplyQueue::default(),
            pipeline_memory,
            output: ClientOutput::default(),
            held,
            share,
            opened_at: now,
            first_command_until: now + FIRST_COMMAND_GRACE,
            reject_until: None,
            idle_guard: None,
            bulk_guard: None,
            incomplete_guard: None,
            has_sent_request: false,
            other_commands: 0,
            uses_reserved_slot,
        }
    }

    async fn run(&mut self) -> CloseReason {
        let end = self.serve_commands().await;
        // The connection ends and frees its slot, whoever ends it, so a close request is not passed on to another one.
        let guards = [
            self.idle_guard.take(),
            self.bulk_guard.take(),
            self.incomplete_guard.take(),
        ];
        guards.into_iter().flatten().for_each(CloseGuard::close);
        end
    }

    async fn serve_commands(&mut self) -> CloseReason {
        let mut lifecycle = self.context.lifecycle.clone();
        loop {
            if let ControlFlow::Break(end) = self.wait_for_share().await {
                return end;
            }
            // Nothing may be sent for a client that has gone, however much of its input is still unread.
            if self.stream.is_read_closed().await {
                return CloseReason::ClosedByClient;
            }
            let phase = *lifecycle.borrow_and_update();
            if phase == LifecyclePhase::Closing {
                self.start_rejecting();
            }
            let is_interrupted = self.take_commands().await || self.reject_excess_commands();
            self.output.take_ready(&mut self.replies);
            if self.replies.is_empty() {
                self.replies.shrink();
                self.pipeline_memory.release();
            }
            if self.is_ready_to_close() {
                match self.close_when_answered().await {
                    ControlFlow::Continue(()) => continue,
                    ControlFlow::Break(end) => return end,
                }
            }
            match self.write() {
                Ok(true) => continue,
                Ok(false) if is_interrupted => continue,
                Ok(false) => {}
                Err(Disconnected) => return CloseReason::ClosedByClient,
            }
            self.input.update_interval();
            let is_reading = self.can_read();
            self.update_idle_guard();
            self.update_incomplete_guard();
            self.record_held_bytes();
            self.share.end_turn();
            if self.stream.is_read_ready().await {
                self.input.record_unread(self.context.clock.now());
            }
            let wake_up = self.wait(&mut lifecycle, phase, is_reading).await;
            self.share.resume();
            if let ControlFlow::Break(end) = self.handle_wake_up(wake_up).await {
                return end;
            }
        }
    }

    /// Reads the input that is available, unless reading is paused.
    fn read(&mut self) -> Result<(), Disconnected> {
        if !self.can_read() {
            return Ok(());
        }
        let takes_commands = self.can_take_commands();
        let try_read = |buffer: &mut BytesMut| {
            let count = self.stream.try_read_buf(buffer)?;
            self.share.charge(Work::Input(count));
            Ok(count)
        };
        let result = self
            .input
            .read(try_read, self.context.clock, takes_commands);
        if self.input.is_short_of_memory() || self.context.request_memory.is_short() {
            self.context.incomplete_commands.request_close();
        }
        result
    }

    /// Writes as much output as the kernel accepts. Returns `true` if something was written.
    fn write(&mut self) -> Result<bool, Disconnected> {
        let try_write = |bytes: &[u8]| {
            let count = self.stream.try_write(bytes)?;
            self.share.charge(Work::Output(count));
            Ok(count)
        };
        self.output.write(try_write)
    }

    /// Records what the connection holds while it waits.
    fn record_held_bytes(&mut self) {
        self.held.input.set(self.input.unreserved_bytes());
        let queued_bytes = self.replies.held_bytes();
        let queued_bytes = queued_bytes.saturating_sub(self.pipeline_memory.reserved_bytes());
        self.held
            .replies
            .set(queued_bytes + self.output.unreserved_bytes());
    }

    /// Whether a reply is pending or not completely written.
    fn has_unsent_replies(&self) -> bool {
        !self.replies.is_empty() || !self.output.is_empty()
    }

    /// Whether the connection is between two requests, or before the first.
    fn is_between_requests(&self) -> bool {
        !self.has_unsent_replies() && self.input.is_empty()
    }

    /// Whether the connection is about to close and everything read from it has been answered.
    fn is_ready_to_close(&self) -> bool {
        !self.has_unsent_replies() && self.input.mode() != InputMode::Serve
    }

    /// Makes the connection close once everything read from it has been answered. Commands that arrive within
    /// [`REJECTION_PERIOD`] are rejected.
    fn start_rejecting(&mut self) {
        self.input.reject();
        self.reject_until
            .get_or_insert_with(|| Instant::now() + REJECTION_PERIOD);
    }

    /// Whether input may be read now.
    fn can_read(&self) -> bool {
        let is_rejection_over = self.input.mode() == InputMode::Reject
            && self
                .reject_until
                .is_some_and(|until| Instant::now() >= until);
        !is_rejection_over && self.input.can_read(self.can_take_commands())
    }

    /// Whether commands may be taken from the input now.
    fn can_take_commands(&self) -> bool {
        self.input.mode() != InputMode::Discard
            && self.replies.len() < self.pipeline_memory.max_pending()
            && !self.output.is_full()
    }

    /// As [`Self::can_take_commands`], once memory has been reserved for the next reply if possible.
    fn can_take_next_command(&mut self) -> bool {
        self.pipeline_memory.extend(self.replies.len());
        self.can_take_commands()
    }

    /// When the client must have completed its first or its incomplete command; `None` if there is neither. Replies
    /// that are pending do not extend the deadline.
    fn command_deadline(&self) -> Option<Instant> {
        let awaits_first_command = self.replies.is_unused() && self.replies.is_empty();
        let waiting_since = match awaits_first_command {
            true => Some(self.opened_at),
            false => self.input.incomplete_since(),
        };
        waiting_since.map(|since| since + COMMAND_TIMEOUT)
    }

    /// Whether the client has sent more commands than can be pipelined and no request among them.
    fn sends_no_requests(&self) -> bool {
        !self.has_sent_request && self.other_commands > MAX_PIPELINED
    }

    /// Waits until the connection may do more work, its client has closed it, or it has to give its slot to a new client.
    async fn wait_for_share(&mut self) -> ControlFlow<CloseReason> {
        if self.bulk_guard.is_none() && self.share.is_used_up() && self.sends_no_requests() {
            let guard = self.context.closable_connections.register(Closable::Bulk);
            self.bulk_guard = Some(guard);
        }
        let is_bulk = self.bulk_guard.is_some();
        tokio::select! {
            biased;
            () = wait::close_requested(&mut self.bulk_guard), if is_bulk => {}
            () = wait::closed_by_client(&self.stream), if self.share.is_used_up() => {
                return ControlFlow::Break(CloseReason::ClosedByClient);
            }
            () = self.share.wait_for_more() => return ControlFlow::Continue(()),
        }
        self.reclaim_slot()
    }

    /// Whether the connection has nothing to do and can be closed.
    fn idle_kind(&self) -> Option<Closable> {
        if !self.is_between_requests() {
            None
        } else if !self.replies.is_unused() {
            Some(Closable::Idle)
        } else if Instant::now() >= self.first_command_until {
            Some(Closable::Silent)
        } else {
            None
        }
    }

    /// When the client has left a long command incomplete for so long that it can be discarded.
    fn discardable_at(&self) -> Option<Instant> {
        let since = self.input.reserved_since()?;
        Some(since + INCOMPLETE_GRACE)
    }

    /// Registers the connection if its incomplete command can be discarded, or removes its registration.
    fn update_incomplete_guard(&mut self) {
        let is_discardable = self.discardable_at().is_some_and(|at| at <= Instant::now());
        if !is_discardable {
            self.incomplete_guard = None;
        } else if self.incomplete_guard.is_none() {
            let registry = &self.context.incomplete_commands;
            self.incomplete_guard = Some(registry.register(Closable::Unfinished));
        }
    }

    /// When the connection next has to be registered as closable or discardable.
    fn next_registration_at(&self, awaits_first_command: bool) -> Option<Instant> {
        let silent_at = Some(self.first_command_until)
            .filter(|_| awaits_first_command && self.idle_guard.is_none());
        let discardable_at = self
            .discardable_at()
            .filter(|_| self.incomplete_guard.is_none());
        [silent_at, discardable_at].into_iter().flatten().min()
    }

    /// When to check whether the client still takes no replies, if any are unsent: at the stall timeout, or sooner while it
    /// holds memory.
    fn next_stall_check(&self) -> Option<Instant> {
        let deadline = Some(self.output.stall_deadline()).filter(|_| !self.output.is_empty());
        let unsent_since =
            Some(self.output.progress_at()).filter(|_| self.output.segment_bytes() > 0);
        let held_since = [unsent_since, self.replies.long_values_since()];
        let next_interval = Instant::now() + STALL_CHECK_INTERVAL;
        let first_checks = held_since.into_iter().flatten();
        let checks = first_checks.map(|since| next_interval.max(since + STALL_GRACE));
        checks.chain(deadline).min()
    }

    /// If the memory for replies is short, fails the long values that have waited for too long behind a pending reply.
    fn fail_held_values(&mut self) {
        let since = self.replies.long_values_since();
        let is_past_grace = since.is_some_and(|since| Instant::now() >= since + STALL_GRACE);
        if is_past_grace && self.context.reply_memory.is_short() {
            self.replies.fail_long_values();
        }
    }

    /// Whether the client has taken no replies for too long: for less time if the memory for replies is short.
    fn is_output_stalled(&self) -> bool {
        let now = Instant::now();
        let is_past_grace = now >= self.output.progress_at() + STALL_GRACE;
        let is_needed = is_past_grace && self.context.reply_memory.is_short();
        let is_unsent = !self.output.is_empty();
        is_unsent && (now >= self.output.stall_deadline() || is_needed)
    }

    /// Registers the connection as idle or silent, or removes its registration.
    fn update_idle_guard(&mut self) {
        let kind = self.idle_kind();
        if kind.is_some() {
            self.bulk_guard = None;
        }
        if self.idle_guard.as_ref().map(CloseGuard::kind) != kind {
            // The earlier registration ends first, which passes its close request on to another connection.
            self.idle_guard = None;
            let register = |kind| self.context.closable_connections.register(kind);
            self.idle_guard = kind.map(register);
        }
    }
}
