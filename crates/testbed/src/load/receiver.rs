//! The receiver threads. Each reads the replies on one connection and records their latencies.

use std::io::Read;
use std::net::TcpStream;
use std::sync::mpsc::Receiver;
use std::time::Instant;

use bytes::BytesMut;
use hdrhistogram::Histogram;
use hdrhistogram::errors::AdditionError;
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::types::BytesFrame;

use super::latency_histogram;

/// Size of the buffer for one read from a connection.
pub(super) const READ_BUFFER_SIZE: usize = 64 * 1024;

/// A request that has no reply yet.
pub(super) struct InFlightRequest {
    /// When the request was due to be sent.
    pub(super) intended_at: Instant,
    /// When the sender began to write it.
    pub(super) sent_at: Instant,
}

/// Counts and latencies of the replies received.
pub(super) struct ReplyStats {
    pub(super) served: u64,
    pub(super) rejected: u64,
    pub(super) failed: u64,
    /// Latencies from the time at which the request was due, in nanoseconds.
    pub(super) latency: Histogram<u64>,
    /// Latencies from the time of sending, not corrected for coordinated omission, in nanoseconds.
    pub(super) latency_from_send: Histogram<u64>,
    /// When the last reply arrived.
    pub(super) last_reply_at: Instant,
}

impl ReplyStats {
    /// Counts of 0. `start` is reported as the time of the last reply until a reply arrives.
    pub(super) fn new(start: Instant) -> Self {
        ReplyStats {
            served: 0,
            rejected: 0,
            failed: 0,
            latency: latency_histogram(),
            latency_from_send: latency_histogram(),
            last_reply_at: start,
        }
    }

    /// Adds the replies of another connection.
    pub(super) fn add(&mut self, other: &ReplyStats) -> Result<(), AdditionError> {
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.latency.add(&other.latency)?;
        self.latency_from_send.add(&other.latency_from_send)?;
        self.last_reply_at = self.last_reply_at.max(other.last_reply_at);
        Ok(())
    }

    fn record(&mut self, request: &InFlightRequest, reply: &BytesFrame) {
        self.last_reply_at = Instant::now();
        match reply {
            BytesFrame::BulkString(_) | BytesFrame::Array(_) => {
                self.served += 1;
                let latency = self.last_reply_at - request.intended_at;
                self.latency.saturating_record(latency.as_nanos() as u64);
                let latency_from_send = self.last_reply_at - request.sent_at;
                self.latency_from_send
                    .saturating_record(latency_from_send.as_nanos() as u64);
            }
            BytesFrame::Error(message) if message.starts_with("BUSY") => self.rejected += 1,
            _ => self.failed += 1,
        }
    }
}

/// Reads the replies to the requests from the `in_flight` queue, in order. Ends when the sender has closed the queue
/// and all its requests have replies, when the connection ends, or when a reply is malformed.
pub(super) fn receive(input: &mut TcpStream, in_flight: &Receiver<InFlightRequest>) -> ReplyStats {
    let mut stats = ReplyStats::new(Instant::now());
    let mut buffer = BytesMut::new();
    let mut chunk = vec![0; READ_BUFFER_SIZE];
    // `recv` fails once the queue is empty and the sender, after its last request, has dropped its end.
    while let Ok(request) = in_flight.recv() {
        let Some(reply) = read_reply(input, &mut buffer, &mut chunk) else {
            break;
        };
        stats.record(&request, &reply);
    }
    stats
}

/// Reads the next reply; `None` if the connection has ended or the reply is malformed.
fn read_reply(
    input: &mut TcpStream,
    buffer: &mut BytesMut,
    chunk: &mut [u8],
) -> Option<BytesFrame> {
    loop {
        if let Some((reply, ..)) = decode_bytes_mut(buffer).ok()? {
            return Some(reply);
        }
        let bytes_read = input.read(chunk).ok()?;
        if bytes_read == 0 {
            return None;
        }
        buffer.extend_from_slice(&chunk[..bytes_read]);
    }
}
