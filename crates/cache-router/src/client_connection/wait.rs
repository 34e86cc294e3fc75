//! What a connection waits for between two looks at its buffers, and what it does when that has come.

use std::io;
use std::ops::ControlFlow;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::input::UNSERVED_INTERVAL;
use super::{ClientConnection, ConnectionEnd};
use crate::idle_connections::IdleGuard;
use crate::lifecycle::LifecyclePhase;
use crate::message::ClientReply;

/// How often a connection that is not read from is checked for the client's close, and for whether it is read again.
const CLOSE_CHECK_INTERVAL: Duration = UNSERVED_INTERVAL;
/// Why a wait is over.
pub(super) enum WakeUp {
    /// The event loop has sent a reply.
    Reply(Option<ClientReply>),
    /// There may be something to read, or the socket has failed.
    Readable(io::Result<()>),
    /// The kernel may take more of the output, or the socket has failed.
    Writable(io::Result<()>),
    /// A read that failed for want of something on this machine is made again.
    ReadRetryDue,
    /// The same of a write.
    WriteRetryDue,
    /// The phase of the router's life has changed.
    PhaseChanged,
    /// The router shuts down, and the first command has not come in time.
    FirstCommandOverdue,
    /// The router shuts down, and the connection is idle.
    IdleInShutdown,
    /// A new client needs the place of an idle connection.
    CloseRequested,
    /// The client has taken none of its replies for too long.
    OutputStalled,
    /// It is time to look for a close behind input that is not read.
    CloseCheckDue,
    /// The client has left a command incomplete for too long.
    CommandOverdue,
}

impl ClientConnection {
    /// Waits for whatever comes first. The branches are in the order of their priority.
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
        let is_shutting_down = phase.is_shutting_down();
        let awaits_first_command = self.is_between_requests() && self.replies.is_unused();
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
            () = std::future::ready(()), if is_shutting_down && is_idle => WakeUp::IdleInShutdown,
            () = close_requested(&mut self.idle_guard), if is_idle => WakeUp::CloseRequested,
            () = tokio::time::sleep_until(self.output.stalled_at()),
                if has_output => WakeUp::OutputStalled,
            () = tokio::time::sleep(CLOSE_CHECK_INTERVAL), if !is_reading => WakeUp::CloseCheckDue,
            () = sleep_until(command_deadline), if command_deadline.is_some() => {
                WakeUp::CommandOverdue
            }
        }
    }

    /// Does what a wake-up asks for. The connection goes on with a look at its buffers, or ends.
    pub(super) async fn handle_wake_up(&mut self, wake_up: WakeUp) -> ControlFlow<ConnectionEnd> {
        match wake_up {
            WakeUp::Reply(reply) => self.handle_reply(reply),
            WakeUp::Readable(ready) => self.handle_readable(&ready),
            WakeUp::ReadRetryDue => self.handle_readable(&Ok(())),
            WakeUp::Writable(ready) => handle_writable(&ready),
            // The output is written with the next look at the buffers.
            WakeUp::PhaseChanged | WakeUp::CloseCheckDue | WakeUp::WriteRetryDue => {
                ControlFlow::Continue(())
            }
            WakeUp::FirstCommandOverdue | WakeUp::IdleInShutdown | WakeUp::CloseRequested => {
                self.close_if_idle().await
            }
            WakeUp::OutputStalled => ControlFlow::Break(ConnectionEnd::CutOff),
            WakeUp::CommandOverdue => self.handle_overdue_command().await,
        }
    }

    fn handle_reply(&mut self, reply: Option<ClientReply>) -> ControlFlow<ConnectionEnd> {
        if let Some(reply) = reply {
            self.replies.fill(reply);
        }
        ControlFlow::Continue(())
    }

    fn handle_readable(&mut self, ready: &io::Result<()>) -> ControlFlow<ConnectionEnd> {
        if ready.is_err() || self.read().is_err() {
            return ControlFlow::Break(ConnectionEnd::ByClient);
        }
        ControlFlow::Continue(())
    }
}

/// The output is written with the next look at the buffers.
fn handle_writable(ready: &io::Result<()>) -> ControlFlow<ConnectionEnd> {
    match ready {
        Ok(()) => ControlFlow::Continue(()),
        Err(_) => ControlFlow::Break(ConnectionEnd::ByClient),
    }
}

/// Waits until a time; for ever if there is none.
async fn sleep_until(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time).await,
        None => std::future::pending().await,
    }
}

/// Waits until an idle connection is asked to close.
async fn close_requested(idle_guard: &mut Option<IdleGuard>) {
    if let Some(idle_guard) = idle_guard {
        idle_guard.close_requested().await;
    }
}
