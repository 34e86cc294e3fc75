//! The load tool: requests at times of their own, whatever the answers (open loop). A latency counts from the time that a
//! request was meant for, so that neither a slow server nor a late sender hides what a client would have waited
//! (coordinated omission).
//!
//! Taken: one thread that sends, as it has nothing to wait for but the clock, and one that reads for each connection,
//! with blocking sockets. Not taken: the async runtime of the driver on sockets, whose timers are a millisecond coarse.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use cluster_model::{Chance, chance};
use hdrhistogram::Histogram;
use rand_distr::{Distribution, Exp1, Zipf};
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::types::BytesFrame;

use crate::sockets::clients::command;

/// Requests that wait for their answers on one connection at most; what is meant for a time when all connections are full
/// is not sent, and counted.
const WAITING: usize = 64;
/// A sleep may end later than asked for by about this: the rest is waited for awake.
const COARSE: Duration = Duration::from_micros(120);
/// Answers may come for so long after the last request.
const REST: Duration = Duration::from_secs(2);

/// What is sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// Requests a second.
    pub per_s: f64,
    /// For how long.
    pub lasts: Duration,
    /// Connections.
    pub connections: usize,
    /// Keys, and the exponent of their popularity.
    pub keys: (u64, f64),
    /// Name of the class that requests are of.
    pub class: String,
    /// Time that the requests are told to have.
    pub deadline: Duration,
    /// Seed of arrivals and keys.
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Requests meant.
    pub meant: u64,
    /// Those served.
    pub served: u64,
    /// Those refused.
    pub refused: u64,
    /// Those answered with something else.
    pub failed: u64,
    /// Those that never had an answer.
    pub unanswered: u64,
    /// Those that were not sent, as all connections were full.
    pub unsent: u64,
    /// Latencies of what was served, in nanoseconds from the time meant.
    pub latency: Histogram<u64>,
    /// The same from the time sent: what a tool that waits for its answers would have reported.
    pub uncorrected: Histogram<u64>,
    /// From the time meant to the last request's answer.
    pub took: Duration,
}

impl Outcome {
    /// Requests served a second.
    pub fn per_s(&self) -> f64 {
        self.served as f64 / self.took.as_secs_f64().max(1e-9)
    }
}

struct Sent {
    meant: Instant,
    at: Instant,
}

#[derive(Default)]
struct Ends {
    served: u64,
    refused: u64,
    failed: u64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000_000, 3).expect("the bounds are sound")
}

/// Sends a load to an address and waits for its answers.
///
/// # Errors
/// Where the address can't be reached.
pub fn send(to: SocketAddr, load: &Load) -> std::io::Result<Outcome> {
    let mut lanes = Vec::new();
    let mut readers = Vec::new();
    for _ in 0..load.connections.max(1) {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        let (tell, sent) = sync_channel(WAITING);
        let mut input = stream.try_clone()?;
        readers.push(thread::spawn(move || read(&mut input, &sent)));
        lanes.push((stream, tell));
    }
    let begin = Instant::now();
    let (meant, unsent) = write(&mut lanes, load, begin);
    // The readers end with their queues, or when the connections are shut.
    let streams: Vec<TcpStream> = lanes.into_iter().map(|(stream, _)| stream).collect();
    let until = Instant::now() + REST;
    while readers.iter().any(|reader| !reader.is_finished()) && Instant::now() < until {
        thread::sleep(Duration::from_millis(1));
    }
    streams
        .iter()
        .for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    let (mut latency, mut uncorrected, mut sum) = (histogram(), histogram(), Ends::default());
    let mut last = begin;
    for reader in readers {
        let Ok((read, its, raw, at)) = reader.join() else {
            continue;
        };
        sum.served += read.served;
        sum.refused += read.refused;
        sum.failed += read.failed;
        latency.add(&its).expect("bounds are the same");
        uncorrected.add(&raw).expect("bounds are the same");
        last = last.max(at);
    }
    let Ends {
        served,
        refused,
        failed,
    } = sum;
    let unanswered = meant.saturating_sub(unsent + served + refused + failed);
    let took = last - begin;
    Ok(Outcome {
        meant,
        served,
        refused,
        failed,
        unanswered,
        unsent,
        latency,
        uncorrected,
        took,
    })
}

fn write(lanes: &mut [(TcpStream, SyncSender<Sent>)], load: &Load, begin: Instant) -> (u64, u64) {
    let (mut arrivals, mut keys): (Chance, Chance) = (chance(load.seed, 1), chance(load.seed, 2));
    let zipf = Zipf::new(load.keys.0.max(1) as f64, load.keys.1.max(0.0)).expect("keys are sound");
    let facts = format!("c={},d={}", load.class, load.deadline.as_millis());
    let (mut meant, mut unsent, mut lane) = (0, 0, 0);
    let mut at = 0.0;
    loop {
        let gap: f64 = Exp1.sample(&mut arrivals);
        at += gap / load.per_s;
        if at >= load.lasts.as_secs_f64() {
            return (meant, unsent);
        }
        let due = begin + Duration::from_secs_f64(at);
        wait_until(due);
        meant += 1;
        let key = format!("{:016x}", zipf.sample(&mut keys) as u64);
        let words = [
            &b"OBJ.GET"[..],
            key.as_bytes(),
            &id(load.seed, meant),
            facts.as_bytes(),
        ];
        let command = command(&words);
        // The next connection with room; a full or broken one is passed over.
        let sent = (0..lanes.len()).any(|_| {
            lane = (lane + 1) % lanes.len();
            let (stream, tell) = &mut lanes[lane];
            match tell.try_send(Sent {
                meant: due,
                at: Instant::now(),
            }) {
                Ok(()) => stream.write_all(&command).is_ok(),
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
            }
        });
        unsent += u64::from(!sent);
    }
}

fn id(seed: u64, number: u64) -> [u8; 16] {
    let text = format!("{:016x}", (seed << 40) ^ number);
    text.as_bytes().try_into().expect("sixteen digits")
}

fn wait_until(due: Instant) {
    loop {
        let left = due.saturating_duration_since(Instant::now());
        match left {
            Duration::ZERO => return,
            left if left > COARSE => thread::sleep(left - COARSE),
            _ => std::hint::spin_loop(),
        }
    }
}

/// Reads answers until the connection ends or nothing is waited for any more.
fn read(
    input: &mut TcpStream,
    sent: &Receiver<Sent>,
) -> (Ends, Histogram<u64>, Histogram<u64>, Instant) {
    let (mut latency, mut uncorrected, mut read) = (histogram(), histogram(), Ends::default());
    let (mut buffer, mut part) = (BytesMut::new(), vec![0; 64 * 1024]);
    let mut last = Instant::now();
    // The sender's end of the queue is dropped after its last request.
    while let Ok(of) = sent.recv() {
        let frame = loop {
            match decode_bytes_mut(&mut buffer) {
                Ok(Some((frame, ..))) => break Some(frame),
                Ok(None) => {}
                Err(_) => break None,
            }
            match input.read(&mut part) {
                Ok(count) if count > 0 => buffer.extend_from_slice(&part[..count]),
                _ => break None,
            }
        };
        let Some(frame) = frame else { break };
        last = Instant::now();
        match frame {
            BytesFrame::BulkString(_) | BytesFrame::Array(_) => {
                read.served += 1;
                latency.saturating_record((last - of.meant).as_nanos() as u64);
                uncorrected.saturating_record((last - of.at).as_nanos() as u64);
            }
            BytesFrame::Error(line) if line.starts_with("BUSY") => read.refused += 1,
            _ => read.failed += 1,
        }
    }
    (read, latency, uncorrected, last)
}

/// A server that answers each command at once with one value, for measuring what stands before it.
pub struct Instantly {
    address: SocketAddr,
    listener: TcpListener,
    thread: Option<JoinHandle<()>>,
}

impl Instantly {
    /// Listens on a port given by the system; each answer has so many bytes, after a pause. With none it is at once.
    ///
    /// # Errors
    /// Where the system gives no port.
    pub fn start(value_bytes: usize, pause: Duration) -> std::io::Result<Instantly> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let incoming = listener.try_clone()?;
        let value = "v".repeat(value_bytes);
        let answer =
            format!("*3\r\n${value_bytes}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n").into_bytes();
        let thread = thread::spawn(move || {
            for stream in incoming.incoming() {
                // It is told to end by its listener being shut.
                let Ok(stream) = stream else { return };
                let answer = answer.clone();
                // Ends with its connection.
                thread::spawn(move || drop(answer_all(stream, &answer, pause)));
            }
        });
        Ok(Instantly {
            address,
            listener,
            thread: Some(thread),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Instantly {
    fn drop(&mut self) {
        let _ = socket2::SockRef::from(&self.listener).shutdown(Shutdown::Both);
        self.thread
            .take()
            .into_iter()
            .for_each(|thread| drop(thread.join()));
    }
}

fn answer_all(mut stream: TcpStream, answer: &[u8], pause: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut buffer, mut part, mut out) = (BytesMut::new(), vec![0; 64 * 1024], Vec::new());
    loop {
        match stream.read(&mut part)? {
            0 => return Ok(()),
            count => buffer.extend_from_slice(&part[..count]),
        }
        out.clear();
        while let Ok(Some((frame, ..))) = decode_bytes_mut(&mut buffer) {
            match frame {
                BytesFrame::Array(words) if words.len() == 1 => out.extend_from_slice(b"+PONG\r\n"),
                _ => out.extend_from_slice(answer),
            }
        }
        if !pause.is_zero() {
            thread::sleep(pause);
        }
        stream.write_all(&out)?;
    }
}
