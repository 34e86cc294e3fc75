//! The load generator: requests at times of their own, whatever the answers (open loop). A latency counts from the time
//! at which a request was intended, so that neither a slow server nor a late sender hides what a client would have waited
//! (coordinated omission).
//!
//! One thread sends, as it has nothing to wait for but the clock, and one thread per connection receives, with blocking
//! sockets: the timers of an async runtime have a resolution of a millisecond, which is too coarse.

mod receiver;
mod sender;
mod stub_server;

use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::sync_channel;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use hdrhistogram::errors::AdditionError;

use receiver::{Received, receive};
use sender::{Connection, Sender};
pub use stub_server::StubServer;

/// Largest number of requests that wait for their answers on one connection. A request that is intended while all
/// connections are full is not sent, and counted.
const PIPELINE_DEPTH: usize = 64;
/// Answers may arrive for this long after the last request.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// How often it is checked whether all answers have arrived.
const DRAIN_CHECK: Duration = Duration::from_millis(1);
/// Largest latency that is recorded, in nanoseconds.
const MAX_LATENCY: u64 = 600_000_000_000;
/// Significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// The load to send.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// Requests per second.
    pub per_s: f64,
    /// For how long.
    pub duration: Duration,
    /// Number of connections.
    pub connections: usize,
    /// Number of keys.
    pub keys: u64,
    /// Exponent of the Zipf distribution of their popularity; 0 if all are equally popular.
    pub zipf_exponent: f64,
    /// Name of the class of the requests.
    pub class: String,
    /// Deadline that the requests state.
    pub deadline: Duration,
    /// Seed of arrivals and keys.
    pub seed: u64,
}

/// The result of sending a load.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Number of requests intended.
    pub intended: u64,
    /// Number of requests served.
    pub served: u64,
    /// Number of requests rejected.
    pub rejected: u64,
    /// Number of requests answered otherwise.
    pub failed: u64,
    /// Number of requests without an answer.
    pub unanswered: u64,
    /// Number of requests that were not sent, as all connections were full.
    pub unsent: u64,
    /// Latencies of the requests served, in nanoseconds from the intended time.
    pub latency: Histogram<u64>,
    /// The same from the time of sending: what a tool that waits for each answer would have reported.
    pub uncorrected: Histogram<u64>,
    /// From the beginning to the last answer.
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
    Histogram::new_with_bounds(1, MAX_LATENCY, LATENCY_DIGITS).expect("the bounds are valid")
}

fn addition_failed(error: AdditionError) -> std::io::Error {
    std::io::Error::other(error)
}

/// Sends a load to an address, and waits for its answers.
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
    wait_for_answers(&receivers);
    for stream in &sent.streams {
        // It may have ended before.
        let _ = stream.shutdown(Shutdown::Both);
    }
    let mut total = Received::new(begin);
    for receiver in receivers {
        if let Ok(received) = receiver.join() {
            total.add(&received).map_err(addition_failed)?;
        }
    }
    let answered = total.served + total.rejected + total.failed;
    Ok(Outcome {
        intended: sent.intended,
        served: total.served,
        rejected: total.rejected,
        failed: total.failed,
        unanswered: sent.intended.saturating_sub(sent.unsent + answered),
        unsent: sent.unsent,
        latency: total.latency,
        uncorrected: total.uncorrected,
        elapsed: total.last - begin,
    })
}

/// Waits until the receivers have ended, as they do with their last answer, but no longer than [`DRAIN_TIMEOUT`].
fn wait_for_answers(receivers: &[JoinHandle<Received>]) {
    let until = Instant::now() + DRAIN_TIMEOUT;
    while receivers.iter().any(|receiver| !receiver.is_finished()) && Instant::now() < until {
        thread::sleep(DRAIN_CHECK);
    }
}
