//! The end of a client connection: closed by the client, or closed gracefully by the router.

use std::ops::ControlFlow;
use std::time::Duration;

use bytes::BytesMut;
use tokio::time::Instant;

use super::ClientConnection;
use super::commands::INCOMPLETE_REPLY;
use super::input::InputMode;
use super::local_failures::Disconnected;
use crate::closable_connections::Closable;
use crate::event_loop::in_flight::{BUSY_REPLY, FAILED_REPLY};
use crate::fair_share::Work;
use crate::message::{ClientDisconnect, DisconnectCause, RouterEvent};
use crate::socket::errors::{classify, is_not_ready};
use crate::socket::stream::LOCAL_RETRY_PAUSE;

/// How long input is read and discarded after the router has shut down its sending side. Closing a socket with unread
/// input resets the connection, and the client can lose the last reply. After an error the client may still be sending.
pub const LINGER_AFTER_ERROR: Duration = Duration::from_millis(500);
/// As [`LINGER_AFTER_ERROR`], for a connection that was idle. Input that was in transit at the close arrives soon, and
/// a new client or the shutdown of the router waits for the slot.
pub const LINGER_WHEN_IDLE: Duration = Duration::from_millis(100);
/// The most reads while lingering, in case a client never stops sending.
const MAX_LINGER_READS: usize = 256;
/// The most bytes of each of these reads.
const LINGER_READ_BYTES: usize = 4096;

/// Why a connection is closed.
pub(super) enum CloseReason {
    /// The client has closed it, or it was lost.
    ClosedByClient,
    /// The client has not read its replies for too long.
    OutputStalled,
    /// The router closes it: between requests, after input that is not a command, or after an incomplete command.
    ClosedByRouter,
    /// The slot is needed, and there is no reply that a reset could destroy: the connection is a bulk connection or a
    /// silent one.
    SlotReclaimed,
}

impl ClientConnection {
    /// Closes the connection, unless input has arrived.
    pub(super) async fn close_if_idle(&mut self) -> ControlFlow<CloseReason> {
        if self.read_available().await.is_err() {
            return ControlFlow::Break(CloseReason::ClosedByClient);
        }
        if !self.input.is_empty() {
            // The registration has served its close request, which goes to another connection.
            self.idle_guard = None;
            return ControlFlow::Continue(());
        }
        let is_silent = self.idle_kind() == Some(Closable::Silent);
        if let Some(idle_guard) = self.idle_guard.take() {
            idle_guard.close();
        }
        ControlFlow::Break(match is_silent {
            true => CloseReason::SlotReclaimed,
            false => CloseReason::ClosedByRouter,
        })
    }

    /// Closes a bulk connection at once: its client may go on sending, and a new client waits for the slot.
    pub(super) fn reclaim_slot(&mut self) -> ControlFlow<CloseReason> {
        if let Some(bulk_guard) = self.bulk_guard.take() {
            bulk_guard.close();
        }
        ControlFlow::Break(CloseReason::SlotReclaimed)
    }

    /// Closes the connection if its command deadline has passed and the command is still not complete. An incomplete
    /// command is answered with an error after all pending replies. A client that has sent nothing gets no reply.
    pub(super) async fn handle_overdue_command(&mut self) -> ControlFlow<CloseReason> {
        if self.read_available().await.is_err() {
            return ControlFlow::Break(CloseReason::ClosedByClient);
        }
        self.take_commands().await;
        let is_overdue = self
            .command_deadline()
            .is_some_and(|deadline| deadline <= Instant::now());
        if is_overdue && !self.reject_incomplete_command(INCOMPLETE_REPLY) {
            return ControlFlow::Break(CloseReason::ClosedByRouter);
        }
        ControlFlow::Continue(())
    }

    /// Ends a connection that is about to close and has no reply pending. Commands that have arrived meanwhile, and an
    /// incomplete one, are rejected first.
    pub(super) async fn close_when_answered(&mut self) -> ControlFlow<CloseReason> {
        if self.input.mode() == InputMode::Reject {
            if self.read_available().await.is_err() {
                return ControlFlow::Break(CloseReason::ClosedByClient);
            }
            self.take_commands().await;
            self.reject_incomplete_command(BUSY_REPLY);
        }
        if self.has_unsent_replies() {
            return ControlFlow::Continue(());
        }
        ControlFlow::Break(CloseReason::ClosedByRouter)
    }

    /// Reads what the kernel has received so far. Yields first, since the runtime may not know of it yet.
    async fn read_available(&mut self) -> Result<(), Disconnected> {
        tokio::task::yield_now().await;
        self.read()
    }

    /// Ends the connection of a client that has closed it completely or only its sending side. No further attempt is
    /// sent for it. A client that still reads gets its final replies.
    pub(super) async fn handle_disconnect(&mut self, cause: DisconnectCause) {
        self.report_disconnect(cause).await;
        self.send_final_replies().await;
    }

    /// Reports the disconnect to the event loop.
    async fn report_disconnect(&mut self, cause: DisconnectCause) {
        // Closed before the event is sent: a task that is about to send an attempt for this client checks the channel,
        // and so sees the disconnect at once, even if other events are queued before this one.
        self.reply_receiver.close();
        let disconnect = ClientDisconnect {
            client: self.client,
            at: self.context.clock.now(),
            cause,
        };
        let event = RouterEvent::ClientDisconnected(disconnect);
        let _ = self.context.events.send(event).await;
    }

    /// Answers everything that the client has sent, since a client that has closed only its sending side still reads.
    /// Requests in progress fail, as they have been cancelled and may have run. Requests that were not accepted are
    /// rejected, as they were never sent to a server. If the client has closed both sides, the writes fail.
    async fn send_final_replies(&mut self) {
        while let Ok(reply) = self.reply_receiver.try_recv() {
            self.replies.fill(reply);
        }
        self.replies.fill_pending(FAILED_REPLY);
        self.input.reject();
        loop {
            self.share.wait_for_more().await;
            // Reads up to the end of the stream, which has been seen already; nothing follows it.
            let _ = self.read();
            self.take_commands().await;
            self.output.take_ready(&mut self.replies);
            match self.write() {
                Ok(true) => continue,
                Ok(false) if self.has_unsent_replies() => {}
                Ok(false) if self.input.mode() == InputMode::Discard => {
                    let discarded = self.discard_input();
                    let _ = tokio::time::timeout(LINGER_AFTER_ERROR, discarded).await;
                    return;
                }
                Ok(false) | Err(Disconnected) => return,
            }
            self.share.end_turn();
            let wait_until_writable = self.output.wait_until_writable(&self.stream);
            if tokio::time::timeout(LINGER_AFTER_ERROR, wait_until_writable)
                .await
                .is_err()
            {
                return;
            }
        }
    }

    /// Closes the connection gracefully: shuts down the sending side after the last reply, and reads and discards input
    /// until the client closes its side or the time is over.
    pub(super) async fn linger(&mut self) {
        let timeout = match self.input.mode() {
            InputMode::Discard => LINGER_AFTER_ERROR,
            InputMode::Reject if self.uses_reserved_slot => LINGER_AFTER_ERROR,
            InputMode::Reject | InputMode::Serve => LINGER_WHEN_IDLE,
        };
        // It fails only if the connection has ended already.
        let _ = self.stream.shutdown_write();
        let _ = tokio::time::timeout(timeout, self.discard_input()).await;
    }

    /// Reads and discards input until the client has closed its side.
    async fn discard_input(&mut self) {
        let mut buffer = BytesMut::with_capacity(LINGER_READ_BYTES);
        for _ in 0..MAX_LINGER_READS {
            self.share.wait_for_more().await;
            self.share.end_turn();
            if self.stream.readable().await.is_err() {
                return;
            }
            match self.stream.try_read_buf(&mut buffer) {
                Ok(0) => return,
                Ok(count) => {
                    self.share.charge(Work::Input(count));
                    buffer.clear();
                }
                Err(error) if is_not_ready(&error) => {}
                Err(error) if classify(&error).is_transient() => {
                    tokio::time::sleep(LOCAL_RETRY_PAUSE).await;
                }
                Err(_) => return,
            }
        }
    }
}
