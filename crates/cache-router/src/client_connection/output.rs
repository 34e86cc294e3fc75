//! The output of a client: replies that have not been written to its socket yet.
//!
//! Short replies are collected in a buffer, so that one write sends many of them. Long values are not copied: they are
//! written from the memory that is reserved for them, which is given back once they are written. What is not reserved is
//! bounded, also if it is between long values.

use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::time::Instant;

use super::local_failures::{Disconnected, LocalFailures};
use super::reply_queue::ReplyQueue;
use crate::message::Reply;
use crate::resp;
use crate::response_buffer::MAX_UNRESERVED_VALUE_BYTES;
use crate::socket::SocketStream;
use crate::socket::errors::is_not_ready;

/// While this many bytes wait to be written to a client, no further command is taken from it.
const MAX_OUTPUT_BYTES: usize = 64 * 1024;
/// The same for the bytes of short replies, whose memory is not reserved.
const MAX_UNRESERVED_BYTES: usize = 2 * 1024;
/// Values longer than this are not copied, in bytes.
const MAX_COPIED_BYTES: usize = 1024;
/// Room for the longest copied value beside the others, in bytes.
const COLLECTED_CAPACITY: usize = MAX_UNRESERVED_BYTES + MAX_COPIED_BYTES + 64;
/// What the output holds at most without a reservation, in bytes: the buffer, copies of its content between long values,
/// and one more value.
pub const MAX_UNRESERVED_OUTPUT_BYTES: usize =
    COLLECTED_CAPACITY + MAX_UNRESERVED_BYTES + MAX_UNRESERVED_VALUE_BYTES;
/// A client that reads none of its replies for this long is disconnected.
pub const OUTPUT_STALL_TIMEOUT: Duration = Duration::from_secs(20);

/// A part of the output that is written from its own memory.
struct Segment {
    bytes: Bytes,
    /// Whether its memory is reserved.
    is_reserved: bool,
}

/// Buffered replies to a client.
pub struct ClientOutput {
    /// Long values and the replies before them, in order.
    segments: VecDeque<Segment>,
    /// Short replies after the segments.
    collected: BytesMut,
    /// How many bytes are in the segments.
    segment_bytes: usize,
    /// How many of these have no reservation.
    unreserved_segment_bytes: usize,
    /// When output was last written to the socket, or became non-empty.
    progress_at: Instant,
    failures: LocalFailures,
}

impl Segment {
    /// How many bytes it holds without a reservation.
    fn unreserved_bytes(&self) -> usize {
        if self.is_reserved {
            0
        } else {
            self.bytes.len()
        }
    }
}

impl Default for ClientOutput {
    fn default() -> Self {
        ClientOutput {
            segments: VecDeque::new(),
            collected: BytesMut::new(),
            segment_bytes: 0,
            unreserved_segment_bytes: 0,
            progress_at: Instant::now(),
            failures: LocalFailures::default(),
        }
    }
}

impl ClientOutput {
    /// Whether all output is written.
    pub fn is_empty(&self) -> bool {
        self.segments.is_empty() && self.collected.is_empty()
    }

    /// When output was last written to the socket, or became non-empty.
    pub fn progress_at(&self) -> Instant {
        self.progress_at
    }

    /// How many bytes of long values are waiting.
    pub fn segment_bytes(&self) -> usize {
        self.segment_bytes
    }

    /// How many bytes are held without a reservation.
    pub fn unreserved_bytes(&self) -> usize {
        self.collected.capacity() + self.unreserved_segment_bytes
    }

    /// Whether so much output is waiting that no further command is taken.
    pub fn is_full(&self) -> bool {
        self.collected.len() + self.unreserved_segment_bytes >= MAX_UNRESERVED_BYTES
            || self.segment_bytes + self.collected.len() >= MAX_OUTPUT_BYTES
    }

    /// When the client is disconnected if nothing more has been written by then.
    pub fn stall_deadline(&self) -> Instant {
        self.progress_at + OUTPUT_STALL_TIMEOUT
    }

    /// Moves the replies that are ready from the queue to the output, in order.
    pub fn take_ready(&mut self, replies: &mut ReplyQueue) {
        let was_empty = self.is_empty();
        while !self.is_full()
            && let Some(reply) = replies.pop_ready()
        {
            self.push(reply);
        }
        if was_empty && !self.is_empty() {
            self.progress_at = Instant::now();
        }
    }

    fn push(&mut self, reply: Reply) {
        if self.collected.capacity() == 0 {
            // A buffer that grows by itself could take twice the memory that it needs.
            self.collected.reserve(COLLECTED_CAPACITY);
        }
        match reply {
            Reply::Encoded(line) if line.len() <= MAX_COPIED_BYTES => {
                self.collected.extend_from_slice(&line);
            }
            Reply::Encoded(long) => self.push_segment(long),
            Reply::Value(value) if value.len() <= MAX_COPIED_BYTES => {
                resp::put_bulk_string(&mut self.collected, &value);
            }
            Reply::Value(value) => {
                resp::put_bulk_string_start(&mut self.collected, value.len());
                self.push_segment(value);
                resp::put_bulk_string_end(&mut self.collected);
            }
        }
    }

    /// Appends bytes that are not copied.
    fn push_segment(&mut self, segment: Bytes) {
        let before = Segment {
            bytes: Bytes::copy_from_slice(&self.collected),
            is_reserved: false,
        };
        self.collected.clear();
        let segment = Segment {
            is_reserved: segment.len() > MAX_UNRESERVED_VALUE_BYTES,
            bytes: segment,
        };
        let is_not_empty = |segment: &Segment| !segment.bytes.is_empty();
        for segment in [before, segment].into_iter().filter(is_not_empty) {
            self.segment_bytes += segment.bytes.len();
            self.unreserved_segment_bytes += segment.unreserved_bytes();
            self.segments.push_back(segment);
        }
    }

    /// The bytes that are written next.
    fn front(&self) -> &[u8] {
        self.segments
            .front()
            .map_or(&self.collected, |segment| &segment.bytes)
    }

    /// Removes bytes that have been written.
    fn advance(&mut self, count: usize) {
        let Some(segment) = self.segments.front_mut() else {
            self.collected.advance(count);
            return;
        };
        let unreserved_before = segment.unreserved_bytes();
        segment.bytes.advance(count);
        self.unreserved_segment_bytes -= unreserved_before - segment.unreserved_bytes();
        self.segment_bytes -= count;
        if segment.bytes.is_empty() {
            self.segments.pop_front();
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
        if self.is_empty() {
            // Frees the memory of earlier replies.
            self.collected = BytesMut::new();
            return Ok(false);
        }
        if self.failures.is_paused() {
            return Ok(false);
        }
        match try_write(self.front()) {
            Ok(count) => {
                self.advance(count);
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
