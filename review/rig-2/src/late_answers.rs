//! Servers whose answer now and then comes a second time, some milliseconds late. A request must not be served with an
//! answer that was made for another one.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Run;
use crate::clients::{End, Pool, Request};
use crate::fleet::{self, Attempt, Discovery, Entry, List, Reaction, ms};
use crate::resp::{self, Answer};
use crate::settings::Settings;
use crate::support::{Random, Record};

const NODES: usize = 2;
const CACHE_SERVERS: usize = 4;
/// Requests a second, over all nodes.
const RATE: f64 = 110.0;
const LENGTH: Duration = Duration::from_secs(45);
/// Share of the answers that come twice.
const TWICE: f64 = 0.04;
/// How late the second answer is, in milliseconds.
const LATE_MS: (f64, f64) = (2.0, 8.0);
const SHARE_OF_MISSES: f64 = 0.1;
const KEYS: f64 = 300.0;
/// The time past the deadline in which a final answer still counts.
const PATIENCE: Duration = Duration::from_millis(550);

struct Servers {
    random: Random,
    record: Arc<Record>,
    trouble: bool,
    twice: AtomicUsize,
}

impl Servers {
    /// Has an answer come again, now and then.
    fn spoil(&self, attempt: &Attempt, server: &str, reaction: Reaction) -> Reaction {
        let mut reaction = reaction;
        let is_chosen = self.random.unit() < TWICE;
        let late = ms(self.random.between(LATE_MS.0, LATE_MS.1));
        if self.trouble && is_chosen {
            self.twice.fetch_add(1, Ordering::Relaxed);
            self.record.line(&format!(
                "{server} answers {} twice, {late:?} apart",
                attempt.id
            ));
            let (_, bytes) = reaction.parts[0].clone();
            reaction.parts.push((late, bytes));
        }
        reaction
    }
}

pub fn run(run: &Run) -> bool {
    let servers = Arc::new(Servers {
        random: Random::new(41),
        record: run.record.clone(),
        trouble: run.trouble,
        twice: AtomicUsize::new(0),
    });
    let mut entries = Vec::new();
    for number in 0..CACHE_SERVERS {
        let (name, servers) = (format!("s-{number}"), servers.clone());
        let told = name.clone();
        let server = fleet::cache_server(move |attempt| {
            let after = ms(servers.random.between(15.0, 45.0));
            let is_miss = servers.random.unit() < SHARE_OF_MISSES;
            let value = format!("{} by {told}", attempt.id);
            let value = (!is_miss && !attempt.is_write).then_some(value.as_bytes());
            servers
                .record
                .line(&format!("{told} got {} and answers {value:?}", attempt.id));
            servers.spoil(
                attempt,
                &told,
                Reaction::answer(after, resp::server_answer(value)),
            )
        });
        entries.push(Entry::new(&name, server.address, "small"));
    }
    let at_origin = servers.clone();
    let origin = fleet::origin(move |attempt| {
        let after = ms(at_origin.random.between(30.0, 70.0));
        let value = format!("{} by origin", attempt.id);
        at_origin.record.line(&format!(
            "origin got {} (write: {})",
            attempt.id, attempt.is_write
        ));
        let answer = fleet::http_answer("200 OK", "", value.as_bytes());
        at_origin.spoil(attempt, "origin", Reaction::answer(after, answer))
    });
    entries.push(Entry::new("origin", origin.address, "origin"));
    let list = List::new(entries);
    let discovery = Discovery::start(list.clone());
    let settings = Settings {
        nodes: NODES,
        sockets: 1024,
        memory_mb: 192,
    };
    let mut nodes: Vec<_> = (0..NODES)
        .map(|number| {
            let config = |listen| settings.config(number, listen, discovery.address, &list.known());
            run.place
                .start_node(&format!("n{number}"), discovery.address, config)
        })
        .collect();
    nodes.iter_mut().for_each(|node| node.wait_ready());

    let counts = Arc::<Mutex<Counts>>::default();
    let pools: Vec<_> = nodes.iter().map(|_| Arc::new(Pool::default())).collect();
    let random = Random::new(77);
    let started = Instant::now();
    let mut calls = Vec::new();
    for number in 0.. {
        std::thread::sleep(random.pause(RATE));
        if started.elapsed() > LENGTH {
            break;
        }
        let request = draw(&random, number);
        let node = number % NODES;
        let (address, pool) = (nodes[node].listen, pools[node].clone());
        let (record, counts) = (run.record.clone(), counts.clone());
        calls.push(std::thread::spawn(move || {
            record.line(&format!(
                "client sends {} {} to n{node}",
                request.class, request.id
            ));
            let end = pool.call(address, &request, PATIENCE);
            record.line(&format!("client has of {}: {}", request.id, words(&end)));
            counts.lock().unwrap().add(&request, &end, &record);
        }));
        calls.retain(|call| !call.is_finished());
    }
    for call in calls {
        let _ = call.join();
    }
    for node in &mut nodes {
        if let Some(status) = node.ended() {
            run.record.say(&format!("{} ended: {status}", node.name));
        }
    }
    let counts = counts.lock().unwrap();
    run.record.say(&format!(
        "{} requests: {} served, {} refused, {} failed, {} not answered; {} answers came twice",
        counts.requests,
        counts.served,
        counts.refused,
        counts.failed,
        counts.not_answered,
        servers.twice.load(Ordering::Relaxed)
    ));
    run.record.say(&format!(
        "served with an answer that was made for another request: {} lookups, {} writes",
        counts.foreign_reads, counts.foreign_writes
    ));
    counts.foreign_reads + counts.foreign_writes == 0
}

#[derive(Default)]
struct Counts {
    requests: usize,
    served: usize,
    refused: usize,
    failed: usize,
    not_answered: usize,
    foreign_reads: usize,
    foreign_writes: usize,
}

impl Counts {
    fn add(&mut self, request: &Request, end: &End, record: &Record) {
        self.requests += 1;
        match end {
            End::Answered(Answer::Served(value)) => {
                self.served += 1;
                let value = String::from_utf8_lossy(value);
                if value.split(' ').next() != Some(&request.id) {
                    record.line(&format!(
                        "FOREIGN: {} was served with {value:?}",
                        request.id
                    ));
                    match request.value {
                        Some(_) => self.foreign_writes += 1,
                        None => self.foreign_reads += 1,
                    }
                }
            }
            End::Answered(Answer::Refused) => self.refused += 1,
            End::Answered(Answer::Failed(_)) => self.failed += 1,
            End::Closed | End::NoAnswer => self.not_answered += 1,
        }
    }
}

fn words(end: &End) -> String {
    match end {
        End::Answered(Answer::Served(value)) => {
            format!("served {:?}", String::from_utf8_lossy(value))
        }
        other => format!("{other:?}"),
    }
}

/// Draws a request in the shares of the deployment.
fn draw(random: &Random, number: usize) -> Request {
    let kind = random.unit();
    let key = (KEYS.powf(random.unit()) - 1.0) as u64;
    let (class, deadline_ms) = match kind {
        _ if kind < 0.962 => ("lookup", 480),
        _ if kind < 0.983 => ("result-report", 800),
        _ => ("entry-fee", 2000),
    };
    let id = format!(
        "{:016x}",
        (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    );
    Request {
        key: format!("{:016x}", (key + 1).wrapping_mul(0xbf58_476d_1ce4_e5b9)),
        class,
        deadline_ms,
        value: (class != "lookup").then(|| b"points 3".to_vec()),
        idempotency_key: (class == "result-report").then(|| id.chars().rev().collect()),
        id,
    }
}
