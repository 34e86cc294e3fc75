//! The sender thread: draws arrival times and keys, waits until each intended time, and writes a command.

use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use cluster_model::{RandomStream, random_stream};
use rand_distr::{Distribution, Exp1, Zipf};

use super::Load;
use super::receiver::InFlightRequest;
use crate::sockets::client_connections::encode_command;

/// A sleep may overrun by about this much, so the last part of a wait is a busy loop.
const SLEEP_RESOLUTION: Duration = Duration::from_micros(120);
/// Number of the random stream for arrival times.
const ARRIVAL_STREAM: u64 = 1;
/// Number of the random stream for keys.
const KEY_STREAM: u64 = 2;

/// The sender's side of a connection.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    /// Passes the requests to the receiver, in the order of their commands.
    pub(super) in_flight: SyncSender<InFlightRequest>,
}

/// The result of sending.
pub(super) struct Sent {
    /// Number of requests whose intended time has come, sent or not.
    pub(super) intended: u64,
    /// Number of requests that were not sent because all connections were full or broken.
    pub(super) unsent: u64,
    /// The connections, still open.
    pub(super) streams: Vec<TcpStream>,
}

/// Sends a load over a set of connections.
pub(super) struct Sender<'a> {
    load: &'a Load,
    connections: Vec<Connection>,
    /// Index of the connection that was tried last.
    last_tried: usize,
    arrivals: RandomStream,
    keys: RandomStream,
    key_distribution: Zipf<f64>,
}

impl<'a> Sender<'a> {
    #[expect(
        clippy::expect_used,
        reason = "there is at least one key and the exponent is not negative"
    )]
    pub(super) fn new(load: &'a Load, connections: Vec<Connection>) -> Self {
        let key_distribution = Zipf::new(load.keys.max(1) as f64, load.zipf_exponent.max(0.0));
        Sender {
            load,
            connections,
            last_tried: 0,
            arrivals: random_stream(load.seed, ARRIVAL_STREAM),
            keys: random_stream(load.seed, KEY_STREAM),
            key_distribution: key_distribution.expect("keys and exponent are valid"),
        }
    }

    /// Sends all requests, then closes the receivers' queues.
    pub(super) fn run(mut self, begin: Instant) -> Sent {
        let duration = self.load.duration.as_secs_f64();
        let mut intended = 0;
        let mut unsent = 0;
        let mut seconds = 0.0;
        loop {
            let gap: f64 = Exp1.sample(&mut self.arrivals);
            seconds += gap / self.load.per_s;
            if seconds >= duration {
                break;
            }
            let intended_at = begin + Duration::from_secs_f64(seconds);
            wait_until(intended_at);
            intended += 1;
            let command = self.next_command(intended);
            if !self.send(&command, intended_at) {
                unsent += 1;
            }
        }
        let connections = self.connections.into_iter();
        Sent {
            intended,
            unsent,
            streams: connections.map(|connection| connection.stream).collect(),
        }
    }

    /// Encodes a read of a random key.
    fn next_command(&mut self, number: u64) -> BytesMut {
        let key = self.key_distribution.sample(&mut self.keys) as u64;
        let key = format!("{key:016x}");
        let id = format!("{:016x}", (self.load.seed << 40) ^ number);
        let deadline_ms = self.load.deadline.as_millis();
        let options = format!("c={},d={deadline_ms}", self.load.class);
        let words = [
            &b"OBJ.GET"[..],
            key.as_bytes(),
            id.as_bytes(),
            options.as_bytes(),
        ];
        encode_command(&words)
    }

    /// Writes a command to the next connection that has room for a request. Returns false if all are full or broken.
    fn send(&mut self, command: &[u8], intended_at: Instant) -> bool {
        let count = self.connections.len();
        (0..count).any(|_| {
            self.last_tried = (self.last_tried + 1) % count;
            let connection = &mut self.connections[self.last_tried];
            let request = InFlightRequest {
                intended_at,
                sent_at: Instant::now(),
            };
            connection.in_flight.try_send(request).is_ok()
                && connection.stream.write_all(command).is_ok()
        })
    }
}

fn wait_until(due: Instant) {
    loop {
        let remaining = due.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return;
        }
        if remaining > SLEEP_RESOLUTION {
            thread::sleep(remaining - SLEEP_RESOLUTION);
        } else {
            std::hint::spin_loop();
        }
    }
}
