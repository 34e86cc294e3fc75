//! The output of a client: replies that have not been written to its socket yet.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use tokio::time::Instant;

use super::local_failures::{Disconnected, LocalFailures};
use super::reply_queue::ReplyQueue;
use crate::socket::SocketStream;
use crate::socket::errors::is_not_ready;

/// While this many bytes wait to be written to a client, no further command is taken from it.
const MAX_OUTPUT_BYTES: usize = 64 * 1024;
/// A client that reads none of its replies for this long is disconnected.
pub const OUTPUT_STALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Buffered replies to a client.
pub struct ClientOutput {
    buffer: BytesMut,
    /// When output was last written to the socket, or became non-empty.
    progress_at: Instant,
    failures: LocalFailures,
}

impl Default for ClientOutput {
    fn default() -> Self {
        ClientOutput {
            buffer: BytesMut::new(),
            progress_at: Instant::now(),
            failures: LocalFailures::default(),
        }
    }
}

impl ClientOutput {
    /// Whether all output is written.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether so much output is waiting that no further command is taken.
    pub fn is_full(&self) -> bool {
        self.buffer.len() >= MAX_OUTPUT_BYTES
    }

    /// When the client is disconnected if nothing more has been written by then.
    pub fn stall_deadline(&self) -> Instant {
        self.progress_at + OUTPUT_STALL_TIMEOUT
    }

    /// Moves the replies that are ready from the queue to the output, in order.
    pub fn take_ready(&mut self, replies: &mut ReplyQueue) {
        let was_empty = self.buffer.is_empty();
        while !self.is_full()
            && let Some(reply) = replies.pop_ready()
        {
            self.buffer.extend_from_slice(&reply);
        }
        if was_empty && !self.buffer.is_empty() {
            self.progress_at = Instant::now();
        }
    }

    /// Writes that failed for lack of resources on this machine.
    pub fn failures(&self) -> &LocalFailures {
        &self.failures
    }

    /// Waits until the next write may succeed.
    pub async fn wait_until_writable(&self, stream: &SocketStream) {
        match self.failures.retry_at() {
            Some(retry_at) => tokio::time::sleep_until(retry_at).await,
            // The result is ignored: if the socket has failed, the next write reports it.
            None => drop(stream.writable().await),
        }
    }

    /// Writes as much as the kernel accepts, unless the pause after a failed write is not over. `try_write` writes to
    /// the socket. Returns `true` if something was written.
    ///
    /// # Errors
    ///
    /// If the connection is lost.
    pub fn write(
        &mut self,
        try_write: impl FnOnce(&[u8]) -> io::Result<usize>,
    ) -> Result<bool, Disconnected> {
        if self.buffer.is_empty() {
            // Frees the memory of a large reply.
            self.buffer = BytesMut::new();
            return Ok(false);
        }
        if self.failures.is_paused() {
            return Ok(false);
        }
        match try_write(&self.buffer) {
            Ok(count) => {
                let _ = self.buffer.split_to(count);
                self.progress_at = Instant::now();
                self.failures.record_success();
                Ok(true)
            }
            Err(error) if is_not_ready(&error) => {
                self.failures.record_success();
                Ok(false)
            }
            Err(error) => self.failures.record_failure(&error).map(|()| false),
        }
    }
}
