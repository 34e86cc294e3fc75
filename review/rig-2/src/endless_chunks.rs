//! An origin some of whose answers come in small chunks and never end. Requests must get their final answer.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Run;
use crate::clients::{End, Pool, Request};
use crate::fleet::{self, Discovery, Entry, List, Reaction, ms};
use crate::resp::{self, Answer};
use crate::settings::Settings;
use crate::support::Random;

const CACHE_SERVERS: usize = 4;
/// Requests a second: a node's share of the deployment's.
const RATE: f64 = 56.0;
const LENGTH: Duration = Duration::from_secs(30);
/// Share of the reads that miss.
const MISSES: f64 = 0.3;
/// Share of the origin's answers to reads that never end.
const ENDLESS: f64 = 0.5;
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The chunk that comes again and again, of one byte and with a chunk extension.
const CHUNK: &[u8] = b"1;note=0123456789abcdef\r\nv\r\n";
/// Chunks that come at once. What comes after them are single ones; all together are less than the longest value.
const AT_ONCE: usize = 60_000;
/// The pause before each single chunk.
const PAUSE: Duration = Duration::from_millis(1);
/// Single chunks; far more than come before the node gives the call up.
const SINGLE: usize = 4_000;
/// The time past the deadline in which a final answer still counts.
const PATIENCE: Duration = Duration::from_millis(550);

#[derive(Default)]
struct Counts {
    requests: usize,
    served: usize,
    refused: usize,
    failed: usize,
    closed: usize,
    lost: usize,
    longest_ms: f64,
}

pub fn run(run: &Run) -> bool {
    let random = Arc::new(Random::new(13));
    let mut entries = Vec::new();
    for number in 0..CACHE_SERVERS {
        let random = random.clone();
        let server = fleet::cache_server(move |attempt| {
            let is_miss = random.unit() < MISSES;
            let value = (!is_miss).then_some(attempt.id.as_bytes());
            Reaction::answer(ms(random.between(15.0, 45.0)), resp::server_answer(value))
        });
        entries.push(Entry::new(&format!("s-{number}"), server.address, "small"));
    }
    let endless = Arc::<AtomicUsize>::default();
    let (at_origin, record, trouble, counted) = (
        random.clone(),
        run.record.clone(),
        run.trouble,
        endless.clone(),
    );
    let origin = fleet::origin(move |attempt| {
        let after = ms(at_origin.between(30.0, 70.0));
        let is_chosen = at_origin.unit() < ENDLESS;
        if !trouble || !is_chosen {
            record.line(&format!("origin answers {}", attempt.id));
            return Reaction::answer(
                after,
                fleet::http_answer("200 OK", "", attempt.id.as_bytes()),
            );
        }
        record.line(&format!(
            "origin answers {} in small chunks without end",
            attempt.id
        ));
        counted.fetch_add(1, Ordering::Relaxed);
        let mut parts = vec![
            (Duration::ZERO, HEAD.to_vec()),
            (Duration::ZERO, CHUNK.repeat(AT_ONCE)),
        ];
        parts.extend((0..SINGLE).map(|_| (PAUSE, CHUNK.to_vec())));
        Reaction {
            after,
            parts,
            reset: false,
        }
    });
    entries.push(Entry::new("origin", origin.address, "origin"));
    let list = List::new(entries);
    let discovery = Discovery::start(list.clone());
    let settings = Settings {
        nodes: 1,
        sockets: 1024,
        memory_mb: 192,
    };
    let config = |listen| settings.config(0, listen, discovery.address, &list.known());
    let mut node = run.place.start_node("n0", discovery.address, config);
    node.wait_ready();

    let counts = Arc::<Mutex<Counts>>::default();
    let pool = Arc::new(Pool::default());
    let (started, address) = (Instant::now(), node.listen);
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
            record.line(&format!("client sends {}", request.id));
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
    if let Some(status) = node.ended() {
        run.record.say(&format!("n0 ended: {status}"));
    }
    let c = counts.lock().unwrap();
    run.record.say(&format!(
        "{} requests: {} served, {} refused, {} failed, {} closed unread, {} without an answer; longest {:.0} ms",
        c.requests, c.served, c.refused, c.failed, c.closed, c.lost, c.longest_ms
    ));
    run.record.say(&format!(
        "{} answers of the origin did not end; the node used {:.1} s of processor time in {} s",
        endless.load(Ordering::Relaxed),
        node.cpu_s().unwrap_or(0.0),
        LENGTH.as_secs()
    ));
    c.lost == 0
}
