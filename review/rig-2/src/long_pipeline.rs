//! Clients that send many requests at once, some of them long. The node must stay under the memory that its configuration states: over
//! it, the platform kills it.

use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Run;
use crate::clients::{Connection, Request};
use crate::fleet::{self, Discovery, Entry, List, Reaction, ms};
use crate::resp::{self, Answer};
use crate::settings::Settings;
use crate::support::{Random, SIGKILL};

/// Memory and descriptors of the deployment's nodes, as its reports have them.
const MEMORY_MB: usize = 48;
const SOCKETS: usize = 384;
const CONNECTIONS: usize = 24;
/// Requests that a client sends at once; every second one is a long write, the others are lookups.
const AT_ONCE: usize = 60;
/// The longest value that the protocol allows.
const VALUE_BYTES: usize = 64 * 1024;
const ROUNDS: usize = 3;
/// How often the platform looks at the memory.
const LOOK_EVERY: Duration = Duration::from_millis(10);

pub fn run(run: &Run) -> bool {
    let random = Arc::new(Random::new(5));
    let mut entries = Vec::new();
    for number in 0..4 {
        let server = fleet::cache_server(|attempt| {
            let value = (!attempt.is_write).then_some(attempt.id.as_bytes());
            Reaction::answer(ms(30.0), resp::server_answer(value))
        });
        entries.push(Entry::new(&format!("s-{number}"), server.address, "small"));
    }
    let at_origin = random.clone();
    let origin = fleet::origin(move |attempt| {
        let answer = fleet::http_answer("200 OK", "", attempt.id.as_bytes());
        Reaction::answer(ms(at_origin.between(30.0, 70.0)), answer)
    });
    entries.push(Entry::new("origin", origin.address, "origin"));
    let list = List::new(entries);
    let discovery = Discovery::start(list.clone());
    let settings = Settings {
        nodes: 1,
        sockets: SOCKETS,
        memory_mb: MEMORY_MB,
    };
    let config = |listen| settings.config(0, listen, discovery.address, &list.known());
    let mut node = run.place.start_node("n0", discovery.address, config);
    node.wait_ready();
    let (address, trouble) = (node.listen, run.trouble);
    let counts = Arc::<Mutex<[usize; 4]>>::default();
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|client| {
            let (record, counts) = (run.record.clone(), counts.clone());
            std::thread::spawn(move || {
                let Ok(mut connection) = Connection::open(address) else {
                    return;
                };
                let _ = connection
                    .stream
                    .set_read_timeout(Some(Duration::from_secs(4)));
                for round in 0..ROUNDS {
                    let requests: Vec<_> =
                        (0..AT_ONCE).map(|n| request(client, round, n)).collect();
                    let batches = if trouble {
                        vec![&requests[..]]
                    } else {
                        requests.chunks(1).collect()
                    };
                    for batch in batches {
                        record.line(&format!(
                            "client {client} sends {} requests at once",
                            batch.len()
                        ));
                        let bytes: Vec<u8> = batch.iter().flat_map(Request::bytes).collect();
                        let _ = connection.stream.write_all(&bytes);
                        for request in batch {
                            let answer = resp::read_answer(&mut connection.reader);
                            record.line(&format!(
                                "client {client} has of {}: {answer:?}",
                                request.id
                            ));
                            let kind = match answer {
                                Ok(Some(Answer::Served(_))) => 0,
                                Ok(Some(Answer::Refused)) => 1,
                                Ok(Some(Answer::Failed(_))) => 2,
                                Ok(None) | Err(_) => 3,
                            };
                            counts.lock().unwrap()[kind] += 1;
                        }
                    }
                    std::thread::sleep(Duration::from_secs(1));
                }
            })
        })
        .collect();

    // The platform.
    let is_over = Arc::<AtomicBool>::default();
    let waits = {
        let is_over = is_over.clone();
        std::thread::spawn(move || {
            for client in clients {
                let _ = client.join();
            }
            is_over.store(true, Ordering::SeqCst);
        })
    };
    let (mut most_kb, mut killed) = (0, false);
    let started = Instant::now();
    while !is_over.load(Ordering::SeqCst) && started.elapsed() < Duration::from_secs(60) {
        if let Some(kb) = node.memory_kb() {
            most_kb = most_kb.max(kb);
            if kb > MEMORY_MB * 1024 && !killed {
                run.record.say(&format!(
                    "the platform kills n0 at {} MB of {MEMORY_MB}",
                    kb / 1024
                ));
                node.signal(SIGKILL);
                killed = true;
            }
        }
        std::thread::sleep(LOOK_EVERY);
    }
    if started.elapsed() < Duration::from_secs(60) {
        let _ = waits.join();
    }
    let [served, refused, failed, lost] = *counts.lock().unwrap();
    run.record.say(&format!(
        "{served} served, {refused} refused, {failed} failed, {lost} without an answer; most memory seen: {} MB of {MEMORY_MB}",
        most_kb / 1024
    ));
    if let (Some(status), false) = (node.ended(), killed) {
        run.record.say(&format!("n0 ended: {status}"));
    }
    !killed
}

fn request(client: usize, round: usize, number: usize) -> Request {
    let id = format!("{client:04x}{round:04x}{number:08x}");
    let is_write = number % 2 == 0;
    Request {
        key: format!(
            "{:016x}",
            (number as u64 + 1).wrapping_mul(0xbf58_476d_1ce4_e5b9)
        ),
        class: if is_write { "result-report" } else { "lookup" },
        deadline_ms: if is_write { 800 } else { 480 },
        value: is_write.then(|| vec![b'v'; VALUE_BYTES]),
        idempotency_key: is_write.then(|| id.chars().rev().collect()),
        id,
    }
}
