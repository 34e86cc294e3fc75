//! Discovery moves with a new configuration while it is crowded, and a cache server begins to drain just then.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{Context, Outcome, Verdict};
use crate::client::{self, Clients, Request, Seen};
use crate::discovery::{Discovery, Entry, Queue, Wait};
use crate::node::{Node, Plan};
use crate::origin;
use crate::record::Record;
use crate::rng::Rng;
use crate::server;
use crate::settings::{self, SITE_CLASSES, ZONES};

const NODES: usize = 8;
const SERVERS: usize = 15;
const RATE: f64 = 280.0;
const LENGTH: Duration = Duration::from_secs(88);
const MOVES: usize = 6;
const BETWEEN_MOVES: Duration = Duration::from_secs(13);
/// The drain begins so long after the signal.
const DRAIN_AFTER: Duration = Duration::from_millis(300);
/// The earlier address closes its open connections so long after the signal.
const OLD_CLOSES_AFTER: Duration = Duration::from_millis(1500);
/// What discovery has to tell counts as told so long after the signal.
const TOLD_AFTER_MS: f64 = 4000.0;
/// The grace of a drain, what a socket adds to it, and what this test adds for its own delays.
const GRACE_MS: f64 = 500.0 + 50.0 + 50.0;

pub fn run(context: &Context) -> Outcome {
    let record = Record::create(&context.folder.join("record.txt"))?;
    // When the drain of a server counts as told to a node, in milliseconds of the record.
    let told: Arc<Mutex<HashMap<(usize, String), f64>>> = Arc::default();
    let late: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut nodes = Vec::new();
    let mut current = Vec::new();
    let mut lists = Vec::new();
    for node in 0..NODES {
        let mut entries = Vec::new();
        for number in 0..SERVERS {
            let name = format!("s{number}");
            let behaviour = server::Behaviour {
                name: name.clone(),
                service_ms: (27.0, 48.0),
                miss_share: 0.1,
                second_answers: 0.0,
                second_after_ms: (0.0, 0.0),
            };
            let (told, late, clock) = (told.clone(), late.clone(), record.clone());
            let on_attempt = move |server: &str, words: &[Vec<u8>]| {
                let now = clock.now_ms();
                let told = told
                    .lock()
                    .unwrap()
                    .get(&(node, server.to_string()))
                    .copied();
                if let Some(told) = told.filter(|told| now > told + GRACE_MS) {
                    let id = String::from_utf8_lossy(&words[2]).into_owned();
                    let text = format!(
                        "SENT TO A DRAINING SERVER: n{node} sends {id} to {server} {:.0} ms after it counts as told",
                        now - told
                    );
                    late.lock().unwrap().push(text);
                }
            };
            let seed = (node * SERVERS + number) as u64 + 1;
            entries.push(Entry {
                address: server::start(behaviour, record.clone(), Arc::new(on_attempt), seed)?,
                name,
                zone: ZONES[number % ZONES.len()].into(),
                kind: if number % 3 == 0 { "standard" } else { "small" }.into(),
                status: "active".into(),
            });
        }
        let behaviour = origin::Behaviour {
            places: 16,
            service_ms: (28.0, 66.0),
            second_answers: 0.0,
            second_after_ms: (0.0, 0.0),
        };
        entries.push(Entry {
            name: "origin".into(),
            address: origin::start(behaviour, record.clone(), origin::Runs::default(), 77)?,
            zone: ZONES[0].into(),
            kind: "origin".into(),
            status: "active".into(),
        });
        let queue: Queue = Arc::new(|_| Wait::Answered(5));
        let discovery = Discovery::start(
            &format!("discovery0 of n{node}"),
            &entries,
            queue,
            record.clone(),
        )?;
        nodes.push(Node::start(Plan {
            root: &context.root,
            tmp: &context.tmp,
            name: &format!("n{node}"),
            discovery: discovery.address,
            known: discovery.list_json(),
            settings: settings::settings(NODES, node, &SITE_CLASSES),
            memory_mb: 128,
            sockets: 1024,
        })?);
        current.push(discovery);
        lists.push(entries);
    }
    let next_id = Arc::new(AtomicU64::new(1));
    let mut loads = Vec::new();
    for (number, node) in nodes.iter().enumerate() {
        let next_id = next_id.clone();
        let make = move |rng: &mut Rng| {
            let id = format!("{:016x}", next_id.fetch_add(1, Ordering::Relaxed));
            Request {
                key: format!("{:016x}", rng.next() % 500 * 7_919_000_003),
                id,
                class: "lookup",
                deadline_ms: 500,
                value: None,
                extra: String::new(),
            }
        };
        let clients = Clients::new(&node.name, node.address, record.clone());
        let judge = Arc::new(|_: &Request, _: &Seen| {});
        loads.push(client::load(
            clients,
            RATE / NODES as f64,
            LENGTH,
            number as u64 + 5,
            make,
            judge,
        ));
    }
    std::thread::sleep(Duration::from_secs(4));
    for number in 1..=MOVES {
        let begin = Instant::now();
        let server = format!("s{number}");
        let mut next = Vec::new();
        for (node, entries) in lists.iter().enumerate() {
            let trouble = context.trouble;
            let queue: Queue = Arc::new(move |call| match call {
                0 if trouble => Wait::Failed(2000),
                1 if trouble => Wait::Answered(1900),
                _ => Wait::Answered(5),
            });
            next.push(Discovery::start(
                &format!("discovery{number} of n{node}"),
                entries,
                queue,
                record.clone(),
            )?);
        }
        record.line(&format!("SIGHUP to all nodes, move {number}"));
        let signal = record.now_ms();
        for (node, discovery) in nodes.iter().zip(&next) {
            node.move_discovery(discovery.address)?;
        }
        for old in &current {
            old.close_after(OLD_CLOSES_AFTER);
        }
        std::thread::sleep(DRAIN_AFTER);
        record.line(&format!("{server} begins to drain"));
        for (node, entries) in lists.iter_mut().enumerate() {
            for entry in entries.iter_mut().filter(|entry| entry.name == server) {
                entry.status = "leaving".into();
            }
            told.lock()
                .unwrap()
                .insert((node, server.clone()), signal + TOLD_AFTER_MS);
        }
        for discovery in current.iter().chain(&next) {
            discovery.set_status(&server, "leaving");
        }
        current = next;
        std::thread::sleep(BETWEEN_MOVES.saturating_sub(begin.elapsed()));
    }
    for load in loads {
        let _ = load.join();
    }
    for node in &mut nodes {
        node.kill();
    }
    let late = late.lock().unwrap();
    for text in late.iter() {
        record.say(text);
    }
    record.say(&format!(
        "{} moves, {} attempts sent to a draining server too late",
        MOVES,
        late.len()
    ));
    record.flush();
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
