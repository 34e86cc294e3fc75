//! The output of a client: replies that are not written to its socket yet.

use std::io::ErrorKind;
use std::time::Duration;

use bytes::BytesMut;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::Disconnected;
use super::reply_queue::ReplyQueue;

/// While this many bytes wait to be written to a client, no further command of it is taken.
const MAX_OUTPUT_BYTES: usize = 64 * 1024;
/// A client that takes none of its replies for this long is cut off.
pub const OUTPUT_STALL_TIMEOUT: Duration = Duration::from_secs(20);

/// The output of a client.
pub struct ClientOutput {
    buffer: BytesMut,
    /// When the client last took something of the output, or there was none.
    progress_at: Instant,
}

impl ClientOutput {
    /// Without replies.
    pub fn new() -> Self {
        ClientOutput {
            buffer: BytesMut::new(),
            progress_at: Instant::now(),
        }
    }

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
        while !self.is_full()
            && let Some(reply) = replies.pop_ready()
        {
            self.buffer.extend_from_slice(&reply);
        }
    }

    /// Writes what the kernel takes; `true` if it took something.
    ///
    /// # Errors
    ///
    /// If the connection is lost.
    pub fn write(&mut self, stream: &TcpStream) -> Result<bool, Disconnected> {
        if self.buffer.is_empty() {
            // Gives back the memory that a large reply took.
            self.buffer = BytesMut::new();
            self.progress_at = Instant::now();
            return Ok(false);
        }
        match stream.try_write(&self.buffer) {
            Ok(count) => {
                let _ = self.buffer.split_to(count);
                self.progress_at = Instant::now();
                Ok(true)
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(false),
            Err(_) => Err(Disconnected),
        }
    }
}
