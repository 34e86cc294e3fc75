//! An open-loop load generator: the times of requests do not depend on replies. Latencies are measured from the
//! intended time of a request, so that a slow server or a late sender does not hide the time that a client would have
//! waited (coordinated omission).
//!
//! One thread sends all requests, since it only waits for the clock. One thread per connection receives replies.
//! Sockets are blocking, because timers of an async runtime have a resolution of 1 ms, which is too coarse.

mod receiver;
mod sender;
mod stub_server;

use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::sync_channel;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use hdrhistogram::errors::AdditionError;

use receiver::{ReplyStats, receive};
use sender::{Connection, Sender};
pub use stub_server::StubServer;

/// Maximum number of requests in flight per connection. A request whose intended time comes while all connections are
/// full is not sent, and counted in [`Outcome::unsent`].
const PIPELINE_DEPTH: usize = 64;
/// How long to wait for outstanding replies after the last request.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between checks whether all replies have arrived.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Largest latency that is recorded: 600 s.
const MAX_LATENCY_NS: u64 = 600_000_000_000;
/// Significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// The load to generate.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// Requests per second.
    pub per_s: f64,
    /// How long requests are sent.
    pub duration: Duration,
    /// Number of connections.
    pub connections: usize,
    /// Number of keys.
    pub keys: u64,
    /// Exponent of the Zipf distribution of keys; 0 if all keys are equally likely.
    pub zipf_exponent: f64,
    /// Name of the class of the requests.
    pub class: String,
    /// Deadline given in the requests.
    pub deadline: Duration,
    /// Random seed of arrival times and keys.
    pub seed: u64,
}

/// The result of sending a load.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Number of requests whose intended time has come, sent or not.
    pub intended: u64,
    /// Number of requests served.
    pub served: u64,
    /// Number of requests rejected.
    pub rejected: u64,
    /// Number of requests with any other reply.
    pub failed: u64,
    /// Number of requests sent without a reply.
    pub unanswered: u64,
    /// Number of requests that were not sent because all connections were full or broken.
    pub unsent: u64,
    /// Latencies of requests served, from their intended time, in nanoseconds.
    pub latency: Histogram<u64>,
    /// The same latencies from the time of sending, without correction for coordinated omission: what a closed-loop
    /// tool would report.
    pub latency_from_send: Histogram<u64>,
    /// Time from the start to the last reply.
    pub elapsed: Duration,
}

impl Outcome {
    /// Requests served per second.
    pub fn per_s(&self) -> f64 {
        self.served as f64 / self.elapsed.as_secs_f64().max(1e-9)
    }
}

/// An empty histogram of latencies in nanoseconds.
#[expect(
    clippy::expect_used,
    reason = "the bounds are constants that the histogram accepts"
)]
fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_NS, LATENCY_DIGITS).expect("the bounds are valid")
}

fn histogram_error(error: AdditionError) -> std::io::Error {
    std::io::Error::other(error)
}

/// Sends a load to an address, and waits for the replies.
///
/// # Errors
/// If the address can't be reached.
pub fn send(to: SocketAddr, load: &Load) -> std::io::Result<Outcome> {
    let mut connections = Vec::new();
    let mut receivers = Vec::new();
    for _ in 0..load.connections.max(1) {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        let (in_flight, expected) = sync_channel(PIPELINE_DEPTH);
        let mut input = stream.try_clone()?;
        receivers.push(thread::spawn(move || receive(&mut input, &expected)));
        connections.push(Connection { stream, in_flight });
    }
    let begin = Instant::now();
    let sent = Sender::new(load, connections).run(begin);
    wait_for_replies(&receivers);
    for stream in &sent.streams {
        // The peer may have closed the connection already.
        let _ = stream.shutdown(Shutdown::Both);
    }
    let mut total = ReplyStats::new(begin);
    for receiver in receivers {
        if let Ok(stats) = receiver.join() {
            total.add(&stats).map_err(histogram_error)?;
        }
    }
    let replied = total.served + total.rejected + total.failed;
    Ok(Outcome {
        intended: sent.intended,
        served: total.served,
        rejected: total.rejected,
        failed: total.failed,
        unanswered: sent.intended.saturating_sub(sent.unsent + replied),
        unsent: sent.unsent,
        latency: total.latency,
        latency_from_send: total.latency_from_send,
        elapsed: total.last_reply_at - begin,
    })
}

/// Waits for the receivers, which end after their last reply, but at most [`DRAIN_TIMEOUT`].
fn wait_for_replies(receivers: &[JoinHandle<ReplyStats>]) {
    let deadline = Instant::now() + DRAIN_TIMEOUT;
    while receivers.iter().any(|receiver| !receiver.is_finished()) && Instant::now() < deadline {
        thread::sleep(DRAIN_POLL_INTERVAL);
    }
}
