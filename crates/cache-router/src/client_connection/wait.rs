//! The events that a connection waits for once its buffers need no more work, and how it handles them.

use std::io;
use std::ops::ControlFlow;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::input::THROTTLE_INTERVAL;
use super::{ClientConnection, CloseReason};
use crate::closable_connections::CloseGuard;
use crate::lifecycle::LifecyclePhase;
use crate::message::ClientReply;
use crate::socket::SocketStream;

/// While a connection is not read from or waits for its turn, how often it checks for the client's close and whether it
/// may read again.
const CLOSE_CHECK_INTERVAL: Duration = THROTTLE_INTERVAL;

/// If the memory for replies is short, the unsent replies of one client take at most one part in this many of it.
const MAX_SHARE_OF_MEMORY: usize = 32;

/// The event that ended a wait.
pub(super) enum WakeUp {
    /// The event loop has sent a reply.
    Reply(Option<ClientReply>),
    /// Input may be available, or the socket has failed.
    Readable(io::Result<()>),
    /// The kernel may accept more output, or the socket has failed.
    Writable(io::Result<()>),
    /// A read that failed for lack of resources on this machine is to be retried.
    ReadRetryDue,
    /// A write that failed for lack of resources on this machine is to be retried.
    WriteRetryDue,
    /// The phase of the router's lifecycle has changed.
    PhaseChanged,
    /// The router is shutting down, and the first command has not arrived in time.
    FirstCommandOverdue,
    /// The router is shutting down, and the connection is idle.
    IdleInShutdown,
    /// The connection can be registered as closable, or its command as discardable.
    RegistrationDue,
    /// The memory of its incomplete command is needed.
    MemoryNeeded,
    /// A new client needs the slot of this idle or silent connection.
    CloseRequested,
    /// A new client needs the slot of this bulk connection.
    SlotReclaimed,
    /// It is time to check whether the client still reads none of its replies, or holds memory for others.
    StallCheckDue,
    /// It is time to check whether the client has closed a connection that is not being read.
    CloseCheckDue,
    /// The client has not completed its first command, or an incomplete one, in time.
    CommandOverdue,
}

impl ClientConnection {
    /// Waits for the first event. If several are ready, the branches are tried in the order of their priority.
    pub(super) async fn wait(
        &mut self,
        lifecycle: &mut watch::Receiver<LifecyclePhase>,
        phase: LifecyclePhase,
        is_reading: bool,
    ) -> WakeUp {
        let has_output = !self.output.is_empty();
        let read_retry_at = self.input.failures().retry_at().filter(|_| is_reading);
        let write_retry_at = self.output.failures().retry_at().filter(|_| has_output);
        let is_idle = self.idle_guard.is_some();
        let is_bulk = self.bulk_guard.is_some();
        let is_shutting_down = phase.is_shutting_down();
        let awaits_first_command = self.is_between_requests() && self.replies.is_unused();
        let may_become_silent = awaits_first_command && !is_shutting_down;
        let registration_at = self.next_registration_at(may_become_silent);
        let is_incomplete = self.incomplete_guard.is_some();
        let stall_check_at = self.next_stall_check();
        let command_deadline = self.command_deadline();
        tokio::select! {
            biased;
            reply = self.reply_receiver.recv() => WakeUp::Reply(reply),
            ready = self.stream.readable(), if is_reading && read_retry_at.is_none() => {
                WakeUp::Readable(ready)
            }
            ready = self.stream.writable(), if has_output && write_retry_at.is_none() => {
                WakeUp::Writable(ready)
            }
            () = sleep_until(read_retry_at), if read_retry_at.is_some() => WakeUp::ReadRetryDue,
            () = sleep_until(write_retry_at), if write_retry_at.is_some() => WakeUp::WriteRetryDue,
            Ok(()) = lifecycle.changed() => WakeUp::PhaseChanged,
            () = tokio::time::sleep_until(self.first_command_until),
                if is_shutting_down && awaits_first_command => WakeUp::FirstCommandOverdue,
            () = sleep_until(registration_at), if registration_at.is_some() => {
                WakeUp::RegistrationDue
            }
            () = close_requested(&mut self.incomplete_guard), if is_incomplete => {
                WakeUp::MemoryNeeded
            }
            () = std::future::ready(()), if is_shutting_down && is_idle => WakeUp::IdleInShutdown,
            () = close_requested(&mut self.idle_guard), if is_idle => WakeUp::CloseRequested,
            () = close_requested(&mut self.bulk_guard), if is_bulk => WakeUp::SlotReclaimed,
            () = sleep_until(stall_check_at), if stall_check_at.is_some() => WakeUp::StallCheckDue,
            () = tokio::time::sleep(CLOSE_CHECK_INTERVAL), if !is_reading => WakeUp::CloseCheckDue,
            () = sleep_until(command_deadline), if command_deadline.is_some() => {
                WakeUp::CommandOverdue
            }
        }
    }

    /// Handles a wake-up. The connection then processes its buffers again, or is closed.
    pub(super) async fn handle_wake_up(&mut self, wake_up: WakeUp) -> ControlFlow<CloseReason> {
        match wake_up {
            WakeUp::Reply(reply) => self.handle_reply(reply),
            WakeUp::Readable(ready) => self.handle_readable(&ready),
            WakeUp::ReadRetryDue => self.handle_readable(&Ok(())),
            WakeUp::Writable(ready) => handle_writable(&ready),
            // The next iteration of the connection's loop writes the output, or registers the connection as silent.
            WakeUp::PhaseChanged
            | WakeUp::CloseCheckDue
            | WakeUp::WriteRetryDue
            | WakeUp::RegistrationDue => ControlFlow::Continue(()),
            WakeUp::FirstCommandOverdue | WakeUp::IdleInShutdown | WakeUp::CloseRequested => {
                self.close_if_idle().await
            }
            WakeUp::SlotReclaimed => self.reclaim_slot(),
            WakeUp::MemoryNeeded => self.discard_incomplete_command(),
            WakeUp::StallCheckDue if self.is_output_stalled() => {
                ControlFlow::Break(CloseReason::OutputStalled)
            }
            WakeUp::StallCheckDue => {
                self.fail_held_values();
                ControlFlow::Continue(())
            }
            WakeUp::CommandOverdue => self.handle_overdue_command().await,
        }
    }

    fn handle_reply(&mut self, reply: Option<ClientReply>) -> ControlFlow<CloseReason> {
        if let Some(reply) = reply {
            self.fill_reply(reply);
        }
        ControlFlow::Continue(())
    }

    /// Puts a reply in its place. If the memory for replies is short and this client has many that are not sent, its
    /// further values are replaced by a failure.
    fn fill_reply(&mut self, reply: ClientReply) {
        let memory = &self.context.reply_memory;
        let unsent_bytes = || self.replies.known_bytes() + self.output.segment_bytes();
        if memory.is_short() && unsent_bytes() > memory.limit() / MAX_SHARE_OF_MEMORY {
            self.replies.fill_with_failure(&reply);
        } else {
            self.replies.fill(reply);
        }
    }

    /// Discards the incomplete command, which is rejected once the client has completed it.
    fn discard_incomplete_command(&mut self) -> ControlFlow<CloseReason> {
        if let Some(guard) = self.incomplete_guard.take() {
            guard.close();
        }
        self.input.discard_command();
        ControlFlow::Continue(())
    }

    fn handle_readable(&mut self, ready: &io::Result<()>) -> ControlFlow<CloseReason> {
        self.input.record_arrival(self.context.clock.now());
        if ready.is_err() || self.read().is_err() {
            return ControlFlow::Break(CloseReason::ClosedByClient);
        }
        ControlFlow::Continue(())
    }
}

/// Checks the socket for failure. The next iteration of the connection's loop writes the output.
fn handle_writable(ready: &io::Result<()>) -> ControlFlow<CloseReason> {
    match ready {
        Ok(()) => ControlFlow::Continue(()),
        Err(_) => ControlFlow::Break(CloseReason::ClosedByClient),
    }
}

/// Waits until a time, or forever if it is `None`.
async fn sleep_until(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time).await,
        None => std::future::pending().await,
    }
}

/// Waits until a client has closed its connection, which is checked from time to time.
pub(super) async fn closed_by_client(stream: &SocketStream) {
    loop {
        tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
        if stream.is_read_closed().await {
            return;
        }
    }
}

/// Waits until a connection is asked to close.
pub(super) async fn close_requested(guard: &mut Option<CloseGuard>) {
    if let Some(guard) = guard {
        guard.close_requested().await;
    }
}
