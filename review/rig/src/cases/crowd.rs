//! Other clients trouble a node that sound clients use. Either idle ones fill the descriptors: they connect and say
//! nothing until the node ends them. Or a few bad ones send much at once that is no proper request, and go.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{Context, Outcome, Verdict};
use crate::client::{self, Clients, Request, Seen};
use crate::discovery::{Discovery, Entry, Wait};
use crate::node::{Node, Plan};
use crate::origin;
use crate::record::Record;
use crate::resp::Answer;
use crate::rng::Rng;
use crate::server;
use crate::settings::{self, SITE_CLASSES, ZONES};

/// The limits of the nodes in the operators' reports.
const MEMORY_MB: u64 = 48;
const SOCKETS: u64 = 384;
const NODES: usize = 5;
const SERVERS: usize = 15;
/// Requests a second at this node.
const RATE: f64 = 56.0;
const LENGTH: Duration = Duration::from_secs(40);
/// Idle clients that come at once: more than half of the descriptors.
const IDLE: usize = 200;
/// Bad clients that come at once, and how much each of them sends at most: what the terms name.
const BAD: usize = 5;
const BAD_BYTES: usize = 60_000_000;
/// What they send, again and again: a command that the protocol doesn't have.
const BAD_COMMAND: &[u8] = b"*1\r\n$3\r\nFOO\r\n";
const WAVES: usize = 4;
const BETWEEN_WAVES: Duration = Duration::from_secs(8);

/// Which clients trouble the node.
#[derive(Clone, Copy)]
pub enum Others {
    Idle,
    Bad,
}

pub fn run(context: &Context, others: Others) -> Outcome {
    let record = Record::create(&context.folder.join("record.txt"))?;
    let attempts: Arc<Mutex<Vec<String>>> = Arc::default();
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
        let attempts = attempts.clone();
        let on_attempt = move |_: &str, words: &[Vec<u8>]| {
            let id = String::from_utf8_lossy(&words[2]).into_owned();
            attempts.lock().unwrap().push(id);
        };
        entries.push(Entry {
            address: server::start(
                behaviour,
                record.clone(),
                Arc::new(on_attempt),
                number as u64 + 1,
            )?,
            name,
            zone: ZONES[number % ZONES.len()].into(),
            kind: if number % 3 == 0 { "standard" } else { "small" }.into(),
            status: "active".into(),
        });
    }
    let behaviour = origin::Behaviour {
        places: 12,
        service_ms: (28.0, 66.0),
        second_answers: 0.0,
        second_after_ms: (0.0, 0.0),
    };
    let runs = origin::Runs::default();
    entries.push(Entry {
        name: "origin".into(),
        address: origin::start(behaviour, record.clone(), runs.clone(), 77)?,
        zone: ZONES[0].into(),
        kind: "origin".into(),
        status: "active".into(),
    });
    let queue = Arc::new(|_| Wait::Answered(5));
    let discovery = Discovery::start("discovery", &entries, queue, record.clone())?;
    let mut node = Node::start(Plan {
        root: &context.root,
        tmp: &context.tmp,
        name: "n0",
        discovery: discovery.address,
        known: discovery.list_json(),
        settings: settings::settings(NODES, 0, &SITE_CLASSES),
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
    })?;
    let address = node.address;
    let next_id = AtomicU64::new(1);
    let make = move |rng: &mut Rng| {
        let id = format!("{:016x}", next_id.fetch_add(1, Ordering::SeqCst));
        let draw = rng.unit();
        let (class, deadline_ms, is_write) = if draw < 0.017 {
            ("entry-fee", 2500, true)
        } else {
            ("lookup", 600, false)
        };
        Request {
            key: format!("{:016x}", rng.next() % 500 * 7_919_000_003),
            class,
            deadline_ms: (deadline_ms as f64 * rng.between(0.8, 1.0)) as u64,
            value: is_write.then(|| b"fee".to_vec()),
            extra: String::new(),
            id,
        }
    };
    let seen: Arc<Mutex<Vec<(Request, Seen)>>> = Arc::default();
    let judge = {
        let seen = seen.clone();
        Arc::new(move |request: &Request, what: &Seen| {
            seen.lock().unwrap().push((request.clone(), what.clone()));
        })
    };
    let clients = Clients::new("n0", address, record.clone());
    let load = client::load(clients, RATE, LENGTH, 5, make, judge);
    let longest = Arc::new(AtomicU64::new(0));
    thread::sleep(Duration::from_secs(4));
    for _ in 0..WAVES {
        let begin = Instant::now();
        if context.trouble {
            let count = match others {
                Others::Idle => IDLE,
                Others::Bad => BAD,
            };
            record.line(&format!("{count} other clients connect"));
            for _ in 0..count {
                let (record, longest) = (record.clone(), longest.clone());
                thread::spawn(move || {
                    let begin = Instant::now();
                    let (sent, ended) = trouble(address, others);
                    let ms = begin.elapsed().as_millis() as u64;
                    longest.fetch_max(ms, Ordering::SeqCst);
                    record.line(&format!(
                        "another client sent {sent} bytes and is ended after {ms} ms: {ended}"
                    ));
                });
            }
        }
        thread::sleep(BETWEEN_WAVES.saturating_sub(begin.elapsed()));
    }
    let _ = load.join();
    node.kill();
    let seen = seen.lock().unwrap();
    let (mut served, mut refused, mut failed, mut closed, mut lost) = (0, 0, 0, 0, 0);
    for (request, what) in seen.iter() {
        match what {
            Seen::Answer(Answer::Served(_)) => served += 1,
            Seen::Answer(Answer::Refused) => refused += 1,
            Seen::Answer(Answer::Failed(_)) => failed += 1,
            Seen::Closed => closed += 1,
            Seen::Nothing => {
                lost += 1;
                record.line(&format!(
                    "LOST: {} {}, {} ms, no answer and no close half a second after its time",
                    request.class, request.id, request.deadline_ms
                ));
            }
        }
    }
    let forwarded = attempts.lock().unwrap();
    let late_work = seen
        .iter()
        .filter(|(request, what)| {
            matches!(what, Seen::Nothing)
                && (forwarded.contains(&request.id)
                    || runs.lock().unwrap().contains_key(&request.id))
        })
        .count();
    record.say(&format!(
        "{} requests: {served} served, {refused} refused, {failed} failed, {closed} shut unread, {lost} lost",
        seen.len()
    ));
    record.say(&format!(
        "{late_work} of the lost ones were forwarded all the same; the other clients were ended after {} ms at most",
        longest.load(Ordering::SeqCst)
    ));
    record.flush();
    Ok(if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// One other client: sends what it has to send, waits until it is ended, and goes.
fn trouble(node: std::net::SocketAddr, others: Others) -> (usize, String) {
    let Ok(mut stream) = TcpStream::connect(node) else {
        return (0, "not connected".into());
    };
    let patience = Some(Duration::from_secs(7));
    let _ = stream.set_read_timeout(patience);
    let _ = stream.set_write_timeout(patience);
    let mut sent = 0;
    if let Others::Bad = others {
        let block = BAD_COMMAND.repeat(5000);
        while sent + block.len() <= BAD_BYTES && stream.write_all(&block).is_ok() {
            sent += block.len();
        }
    }
    let ended = stream.read(&mut [0; 64]);
    (sent, format!("{ended:?}"))
}
