//! The output of a client: replies that are not written to its socket yet.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use tokio::time::Instant;

use super::local_failures::{Disconnected, LocalFailures};
use super::reply_queue::ReplyQueue;
use crate::socket::SocketStream;
use crate::socket::errors::is_not_ready;

/// While this many bytes wait to be written to a client, no further command of it is taken.
const MAX_OUTPUT_BYTES: usize = 64 * 1024;
/// A client that takes none of its replies for this long is cut off.
pub const OUTPUT_STALL_TIMEOUT: Duration = Duration::from_secs(20);

/// The output of a client.
pub struct ClientOutput {
    buffer: BytesMut,
    /// When the client last took something of the output, or there was none.
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
    /// Whether all is written.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether so much waits to be written that no further command is taken.
    pub fn is_full(&self) -> bool {
        self.buffer.len() >= MAX_OUTPUT_BYTES
    }

    /// When the client is cut off if it takes nothing until then.
    pub fn stalled_at(&self) -> Instant {
        self.progress_at + OUTPUT_STALL_TIMEOUT
    }

    /// Moves the replies here that are ready, in their order.
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

    /// Writes that failed for want of something on this machine.
    pub fn failures(&self) -> &LocalFailures {
        &self.failures
    }

    /// Waits until the next write may succeed.
    pub async fn may_write(&self, stream: &SocketStream) {
        match self.failures.retry_at() {
            Some(retry_at) => tokio::time::sleep_until(retry_at).await,
            // Whether the socket is ready or has failed, the write tells.
            None => drop(stream.writable().await),
        }
    }

    /// Writes what the kernel takes, with `try_write` for the call on the socket, unless the next write has to wait;
    /// `true` if it took something.
    ///
    /// # Errors
    ///
    /// If the connection is lost.
    pub fn write(
        &mut self,
        try_write: impl FnOnce(&[u8]) -> io::Result<usize>,
    ) -> Result<bool, Disconnected> {
        if self.buffer.is_empty() {
            // Gives back the memory that a large reply took.
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
                self.failures.succeeded();
                Ok(true)
            }
            Err(error) if is_not_ready(&error) => {
                self.failures.succeeded();
                Ok(false)
            }
            Err(error) => self.failures.failed(&error).map(|()| false),
        }
    }
}
