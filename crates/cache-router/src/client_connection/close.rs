//! How the connection of a client ends: by the client, or by the router in order.

use std::ops::ControlFlow;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::Interest;
use tokio::time::Instant;

use super::ClientConnection;
use super::commands::INCOMPLETE_REPLY;
use super::input::Intake;
use super::local_failures::Disconnected;
use crate::event_loop::in_flight::{BUSY_REPLY, FAILED_REPLY};
use crate::message::{ClientDeparture, DepartureCause, RouterEvent};
use crate::socket::SocketStream;
use crate::socket::errors::{classify, is_not_ready};
use crate::socket::stream::LOCAL_RETRY_PAUSE;

/// How long input is read and discarded after the router has closed its side: closing a socket with unread input resets
/// the connection, which can take the last reply away from the client. After an error the client may be sending still.
pub const LINGER_AFTER_ERROR: Duration = Duration::from_millis(500);
/// The same for a connection that was idle: what crossed the close has arrived soon, and a new client, or the router's
/// end, waits for the slot.
pub const LINGER_WHEN_IDLE: Duration = Duration::from_millis(100);
/// The most reads while lingering, against a client that never stops sending.
const MAX_LINGER_READS: usize = 256;
/// Bytes of each of these reads at most.
const LINGER_READ_BYTES: usize = 4096;

/// Why a connection ends.
pub(super) enum ConnectionEnd {
    /// The client has closed it.
    ByClient,
    /// The client takes no replies.
    CutOff,
    /// The router closes it: between requests, or after input that is not a command.
    ByRouter,
}

impl ClientConnection {
    /// Closes the connection, unless a command has arrived.
    pub(super) async fn close_if_idle(&mut self) -> ControlFlow<ConnectionEnd> {
        if self.look_for_input().await.is_err() {
            return ControlFlow::Break(ConnectionEnd::ByClient);
        }
        if !self.input.is_empty() {
            return ControlFlow::Continue(());
        }
        if let Some(idle_guard) = self.idle_guard.take() {
            idle_guard.close();
        }
        ControlFlow::Break(ConnectionEnd::ByRouter)
    }

    /// Closes the connection of a client that owes a complete command, unless it has arrived. An incomplete one is
    /// answered, behind all that the client is owed; a client that has sent nothing has nothing to be answered.
    pub(super) async fn handle_overdue_command(&mut self) -> ControlFlow<ConnectionEnd> {
        if self.look_for_input().await.is_err() {
            return ControlFlow::Break(ConnectionEnd::ByClient);
        }
        self.take_commands().await;
        let is_overdue = self
            .command_deadline()
            .is_some_and(|deadline| deadline <= Instant::now());
        if is_overdue && !self.reject_incomplete_command(INCOMPLETE_REPLY) {
            return ControlFlow::Break(ConnectionEnd::ByRouter);
        }
        ControlFlow::Continue(())
    }

    /// Ends a connection that is about to close and has answered all, unless more commands have arrived or one is
    /// incomplete: each gets its answer first.
    pub(super) async fn finish(&mut self) -> ControlFlow<ConnectionEnd> {
        if self.input.intake() == Intake::Reject {
            if self.look_for_input().await.is_err() {
                return ControlFlow::Break(ConnectionEnd::ByClient);
            }
            self.take_commands().await;
            self.reject_incomplete_command(BUSY_REPLY);
        }
        if self.owes_reply() {
            return ControlFlow::Continue(());
        }
        ControlFlow::Break(ConnectionEnd::ByRouter)
    }

    /// Reads what the kernel has received by now, of which the runtime may not know yet.
    async fn look_for_input(&mut self) -> Result<(), Disconnected> {
        tokio::task::yield_now().await;
        self.read()
    }

    /// Whether a client of which nothing is read has closed its connection behind its unread input.
    pub(super) async fn is_closed_behind_input(&self) -> bool {
        tokio::select! {
            biased;
            ready = self.stream.ready(Interest::READABLE) => {
                ready.map_or(true, |ready| ready.is_read_closed())
            }
            () = std::future::ready(()) => false,
        }
    }

    /// Ends the connection of a client that has closed its side, or all of it: no attempt is sent for it any more. If it
    /// still waits, it has its final answers.
    pub(super) async fn end_disconnected(&mut self, cause: DepartureCause) {
        self.report_disconnect(cause).await;
        self.answer_at_disconnect().await;
    }

    /// Tells the event loop that the client is gone.
    async fn report_disconnect(&mut self, cause: DepartureCause) {
        // First: whoever is about to send for this client sees it at once, whatever is queued before the event.
        self.reply_receiver.close();
        let departure = ClientDeparture {
            client: self.client,
            at: self.context.clock.now(),
            cause,
        };
        let event = RouterEvent::ClientDisconnected(departure);
        let _ = self.context.events.send(event).await;
    }

    /// Answers all that the client has sent: one that has ended only its sending still reads. What is in service has been
    /// cancelled and may have run; what is not was never sent to a server. One that has gone resets the connection.
    async fn answer_at_disconnect(&mut self) {
        while let Ok(reply) = self.reply_receiver.try_recv() {
            self.replies.fill(reply);
        }
        self.replies.fill_owed(FAILED_REPLY);
        self.input.reject();
        loop {
            tokio::task::coop::consume_budget().await;
            // Up to the end of its sending, which was seen: behind it nothing comes.
            let _ = self.read();
            self.take_commands().await;
            self.output.take_ready(&mut self.replies);
            match self.output.write(|bytes| self.stream.try_write(bytes)) {
                Ok(true) => continue,
                Ok(false) if self.owes_reply() => {}
                Ok(false) | Err(Disconnected) => return,
            }
            let may_write = self.output.may_write(&self.stream);
            if tokio::time::timeout(LINGER_AFTER_ERROR, may_write)
                .await
                .is_err()
            {
                return;
            }
        }
    }

    /// Ends the connection in order: the last reply goes out completely, and then its end. What arrives meanwhile is
    /// discarded.
    pub(super) async fn linger(&mut self) {
        let timeout = match self.input.intake() {
            Intake::Discard => LINGER_AFTER_ERROR,
            Intake::Reject if self.from_reserve => LINGER_AFTER_ERROR,
            Intake::Reject | Intake::Serve => LINGER_WHEN_IDLE,
        };
        // A connection that the client has ended already needs no end.
        let _ = self.stream.shutdown_write();
        let _ = tokio::time::timeout(timeout, discard_input(&self.stream)).await;
    }
}

/// Reads and discards what arrives, until the client has closed its side.
async fn discard_input(stream: &SocketStream) {
    let mut buffer = BytesMut::with_capacity(LINGER_READ_BYTES);
    for _ in 0..MAX_LINGER_READS {
        if stream.readable().await.is_err() {
            return;
        }
        match stream.try_read_buf(&mut buffer) {
            Ok(0) => return,
            Ok(_) => buffer.clear(),
            Err(error) if is_not_ready(&error) => {}
            Err(error) if classify(&error).is_transient() => {
                tokio::time::sleep(LOCAL_RETRY_PAUSE).await;
            }
            Err(_) => return,
        }
    }
}
