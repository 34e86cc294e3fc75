//! Clients that stop in the middle of a request and stay, as many as a node has descriptors for clients. Other clients'
//! requests must get their final answer.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Run;
use crate::clients::{End, Pool, Request};
use crate::fleet::{self, Discovery, Entry, List, Reaction, ms};
use crate::resp::{self, Answer};
use crate::settings::Settings;
use crate::support::{Random, Record};

/// Descriptors of the node, the fewest that the pages allow for.
const SOCKETS: usize = 256;
const RATE: f64 = 40.0;
const LENGTH: Duration = Duration::from_secs(24);
/// When the peers come, and over how long.
const WAVES: [Duration; 3] = [
    Duration::from_secs(4),
    Duration::from_secs(10),
    Duration::from_secs(16),
];
const WAVE_LENGTH: Duration = Duration::from_millis(500);
/// Peers in a wave. Beside them, the clients have a third of the descriptors at most.
const PEERS: usize = 150;
/// The time past the deadline in which a final answer still counts.
const PATIENCE: Duration = Duration::from_millis(550);
/// The beginning of a request.
const HALF: &[u8] = b"*4\r\n$7\r\nOBJ.GET\r\n$16\r\n7f3a9c21";

#[derive(Default)]
struct Counts {
    requests: usize,
    served: usize,
    refused: usize,
    failed: usize,
    closed: usize,
    lost: usize,
    peers: usize,
    peers_late: usize,
    longest_ms: f64,
}

pub fn run(run: &Run) -> bool {
    let random = Arc::new(Random::new(9));
    let mut entries = Vec::new();
    for number in 0..4 {
        let (name, random) = (format!("s-{number}"), random.clone());
        let server = fleet::cache_server(move |attempt| {
            let answer = resp::server_answer(Some(attempt.id.as_bytes()));
            Reaction::answer(ms(random.between(15.0, 45.0)), answer)
        });
        entries.push(Entry::new(&name, server.address, "small"));
    }
    let origin = fleet::origin(move |attempt| {
        Reaction::answer(
            ms(50.0),
            fleet::http_answer("200 OK", "", attempt.id.as_bytes()),
        )
    });
    entries.push(Entry::new("origin", origin.address, "origin"));
    let list = List::new(entries);
    let discovery = Discovery::start(list.clone());
    let settings = Settings {
        nodes: 1,
        sockets: SOCKETS,
        memory_mb: 192,
    };
    let config = |listen| settings.config(0, listen, discovery.address, &list.known());
    let mut node = run.place.start_node("n0", discovery.address, config);
    node.wait_ready();

    let counts = Arc::<Mutex<Counts>>::default();
    let pool = Arc::new(Pool::default());
    let started = Instant::now();
    let address = node.listen;
    if run.trouble {
        for wave in WAVES {
            for _ in 0..PEERS {
                let at = wave + WAVE_LENGTH.mul_f64(random.unit());
                let (record, counts) = (run.record.clone(), counts.clone());
                std::thread::spawn(move || {
                    std::thread::sleep(at.saturating_sub(started.elapsed()));
                    let took = stay(address, &record);
                    let mut counts = counts.lock().unwrap();
                    counts.peers += 1;
                    counts.peers_late += usize::from(took > Duration::from_millis(3_050));
                });
            }
        }
    }
    let mut calls = Vec::new();
    for number in 0u64.. {
        std::thread::sleep(random.pause(RATE));
        if started.elapsed() > LENGTH {
            break;
        }
        let request = Request {
            id: format!("{:016x}", (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            key: format!(
                "{:016x}",
                (random.next() % 200 + 1).wrapping_mul(0xbf58_476d_1ce4_e5b9)
            ),
            class: "lookup",
            deadline_ms: 480,
            value: None,
            idempotency_key: None,
        };
        let (record, counts, pool) = (run.record.clone(), counts.clone(), pool.clone());
        calls.push(std::thread::spawn(move || {
            let sent = Instant::now();
            let end = pool.call(address, &request, PATIENCE);
            let took = sent.elapsed().as_secs_f64() * 1e3;
            record.line(&format!(
                "client has of {} after {took:.1} ms: {end:?}",
                request.id
            ));
            let mut counts = counts.lock().unwrap();
            counts.requests += 1;
            counts.longest_ms = counts.longest_ms.max(took);
            match end {
                End::Answered(Answer::Served(_)) => counts.served += 1,
                End::Answered(Answer::Refused) => counts.refused += 1,
                End::Answered(Answer::Failed(_)) => counts.failed += 1,
                End::Closed => counts.closed += 1,
                End::NoAnswer => counts.lost += 1,
            }
        }));
        calls.retain(|call| !call.is_finished());
    }
    for call in calls {
        let _ = call.join();
    }
    std::thread::sleep(Duration::from_secs(2));
    if let Some(status) = node.ended() {
        run.record.say(&format!("n0 ended: {status}"));
    }
    let c = counts.lock().unwrap();
    run.record.say(&format!(
        "{} requests: {} served, {} refused, {} failed, {} closed unread, {} without an answer; longest {:.0} ms",
        c.requests, c.served, c.refused, c.failed, c.closed, c.lost, c.longest_ms
    ));
    run.record.say(&format!(
        "{} peers had an error or a close, {} of them after 3 s",
        c.peers, c.peers_late
    ));
    c.lost == 0
}

/// Sends half a request and stays until the node closes. Returns how long the node left it without an error or a close.
fn stay(node: SocketAddr, record: &Record) -> Duration {
    let started = Instant::now();
    let Ok(mut stream) = TcpStream::connect(node) else {
        return started.elapsed();
    };
    let _ = stream.write_all(HALF);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
    let mut byte = [0; 64];
    let _ = stream.read(&mut byte);
    let took = started.elapsed();
    record.line(&format!("a peer had its error or close after {took:?}"));
    while matches!(stream.read(&mut byte), Ok(1..)) {}
    took
}
