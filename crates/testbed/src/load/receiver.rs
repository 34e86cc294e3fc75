//! The threads that receive: one for each connection reads the answers and records their latencies.

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

/// Bytes that are read from a connection at once.
pub(super) const READ_SIZE: usize = 64 * 1024;

/// A request that waits for its answer.
pub(super) struct InFlightRequest {
    pub(super) intended_at: Instant,
    pub(super) sent_at: Instant,
}

/// What was received.
pub(super) struct Received {
    pub(super) served: u64,
    pub(super) rejected: u64,
    pub(super) failed: u64,
    /// Latencies from the intended time, in nanoseconds.
    pub(super) latency: Histogram<u64>,
    /// Latencies from the time of sending, in nanoseconds.
    pub(super) uncorrected: Histogram<u64>,
    /// When the last answer arrived.
    pub(super) last: Instant,
}

impl Received {
    /// Nothing yet.
    pub(super) fn new(begin: Instant) -> Self {
        Received {
            served: 0,
            rejected: 0,
            failed: 0,
            latency: latency_histogram(),
            uncorrected: latency_histogram(),
            last: begin,
        }
    }

    /// Adds what another connection has received.
    pub(super) fn add(&mut self, other: &Received) -> Result<(), AdditionError> {
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.latency.add(&other.latency)?;
        self.uncorrected.add(&other.uncorrected)?;
        self.last = self.last.max(other.last);
        Ok(())
    }

    fn record(&mut self, request: &InFlightRequest, answer: &BytesFrame) {
        self.last = Instant::now();
        match answer {
            BytesFrame::BulkString(_) | BytesFrame::Array(_) => {
                self.served += 1;
                let latency = self.last - request.intended_at;
                self.latency.saturating_record(latency.as_nanos() as u64);
                let uncorrected = self.last - request.sent_at;
                self.uncorrected
                    .saturating_record(uncorrected.as_nanos() as u64);
            }
            BytesFrame::Error(line) if line.starts_with("BUSY") => self.rejected += 1,
            _ => self.failed += 1,
        }
    }
}

/// Reads answers until the connection ends or no request is expected any more.
pub(super) fn receive(input: &mut TcpStream, expected: &Receiver<InFlightRequest>) -> Received {
    let mut received = Received::new(Instant::now());
    let mut buffer = BytesMut::new();
    let mut chunk = vec![0; READ_SIZE];
    // The sender's end of the queue is dropped after its last request.
    while let Ok(request) = expected.recv() {
        let Some(answer) = read_answer(input, &mut buffer, &mut chunk) else {
            break;
        };
        received.record(&request, &answer);
    }
    received
}

/// The next answer; `None` if the connection has ended or brought malformed bytes.
fn read_answer(
    input: &mut TcpStream,
    buffer: &mut BytesMut,
    chunk: &mut [u8],
) -> Option<BytesFrame> {
    loop {
        if let Some((answer, ..)) = decode_bytes_mut(buffer).ok()? {
            return Some(answer);
        }
        let count = input.read(chunk).ok()?;
        if count == 0 {
            return None;
        }
        buffer.extend_from_slice(&chunk[..count]);
    }
}
