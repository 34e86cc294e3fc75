//! Some answers of the cache servers and of the origin come a second time, some milliseconds late.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

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

const NODES: usize = 5;
const SERVERS: usize = 15;
/// Requests a second, at all nodes.
const RATE: f64 = 280.0;
const LENGTH: Duration = Duration::from_secs(90);
/// Share of the answers that come a second time.
const SHARE: f64 = 0.05;
/// How long after the first one the second answer comes, in milliseconds.
const AFTER_MS: (f64, f64) = (2.0, 9.0);
const KEYS: f64 = 2000.0;
/// Share of the keys that the caches lack.
const MISS_SHARE: f64 = 0.15;
/// How many calls the origin works on at once; it turns others away with 503.
const PLACES: usize = 4;

pub fn run(context: &Context) -> Outcome {
    let record = Record::create(&context.folder.join("record.txt"))?;
    let share = if context.trouble { SHARE } else { 0.0 };
    let mut entries = Vec::new();
    for number in 0..SERVERS {
        let name = format!("s{number}");
        let behaviour = server::Behaviour {
            name: name.clone(),
            service_ms: (27.0, 48.0),
            miss_share: MISS_SHARE,
            second_answers: share,
            second_after_ms: AFTER_MS,
        };
        let address = server::start(
            behaviour,
            record.clone(),
            Arc::new(|_, _| {}),
            number as u64 + 1,
        )?;
        entries.push(Entry {
            name,
            address,
            zone: ZONES[number % ZONES.len()].into(),
            kind: if number % 3 == 0 { "standard" } else { "small" }.into(),
            status: "active".into(),
        });
    }
    let runs = origin::Runs::default();
    let behaviour = origin::Behaviour {
        places: PLACES,
        service_ms: (28.0, 66.0),
        second_answers: share,
        second_after_ms: AFTER_MS,
    };
    entries.push(Entry {
        name: "origin".into(),
        address: origin::start(behaviour, record.clone(), runs.clone(), 77)?,
        zone: ZONES[0].into(),
        kind: "origin".into(),
        status: "active".into(),
    });

    let mut nodes = Vec::new();
    for number in 0..NODES {
        let queue = Arc::new(|_| Wait::Answered(5));
        let discovery = Discovery::start(
            &format!("discovery{number}"),
            &entries,
            queue,
            record.clone(),
        )?;
        nodes.push(Node::start(Plan {
            root: &context.root,
            tmp: &context.tmp,
            name: &format!("n{number}"),
            discovery: discovery.address,
            known: discovery.list_json(),
            settings: settings::settings(NODES, number, &SITE_CLASSES),
            memory_mb: 128,
            sockets: 1024,
        })?);
    }

    let seen: Arc<Mutex<HashMap<String, (Request, Seen)>>> = Arc::default();
    let next_id = Arc::new(AtomicU64::new(1));
    let mut loads = Vec::new();
    let mut resent = Vec::new();
    for (number, node) in nodes.iter().enumerate() {
        let next_id = next_id.clone();
        let make = move |rng: &mut Rng| make_request(rng, next_id.fetch_add(1, Ordering::Relaxed));
        let seen = seen.clone();
        let judge = Arc::new(move |request: &Request, what: &Seen| {
            let what = (request.clone(), what.clone());
            seen.lock().unwrap().insert(request.id.clone(), what);
        });
        let clients = Clients::new(&node.name, node.address, record.clone());
        resent.push(clients.resent.clone());
        let rate = RATE / NODES as f64;
        loads.push(client::load(
            clients,
            rate,
            LENGTH,
            number as u64 + 11,
            make,
            judge,
        ));
    }
    for load in loads {
        let _ = load.join();
    }
    std::thread::sleep(Duration::from_millis(500));
    for node in &mut nodes {
        if node.has_ended() {
            record.say(&format!("{} has ended by itself", node.name));
        }
        node.kill();
    }

    let seen = seen.lock().unwrap();
    let resent: HashSet<String> = resent
        .iter()
        .flat_map(|ids| ids.lock().unwrap().clone())
        .collect();
    let runs = runs.lock().unwrap();
    let verdict = judge(&record, &seen, &runs, &resent);
    record.flush();
    Ok(verdict)
}

/// A request with the site's shares of classes, for a key by Zipf's law.
fn make_request(rng: &mut Rng, number: u64) -> Request {
    let id = format!("{number:016x}");
    let rank = (KEYS.powf(rng.unit())) as u64;
    let key = format!("{:016x}", rank.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let draw = rng.unit();
    let (class, deadline_ms, is_write, extra) = if draw < 0.017 {
        ("entry-fee", 2500, true, String::new())
    } else if draw < 0.038 {
        ("result-report", 1000, true, format!(",k={id}"))
    } else {
        ("lookup", 600, false, String::new())
    };
    Request {
        value: is_write.then(|| format!("write {id}").into_bytes()),
        id,
        key,
        class,
        deadline_ms: (deadline_ms as f64 * rng.between(0.8, 1.0)) as u64,
        extra,
    }
}

fn judge(
    record: &Record,
    seen: &HashMap<String, (Request, Seen)>,
    runs: &HashMap<String, u32>,
    resent: &HashSet<String>,
) -> Verdict {
    let (mut served, mut refused, mut failed, mut lost) = (0, 0, 0, 0);
    let (mut foreign_reads, mut foreign_writes, mut served_unrun) = (0, 0, 0);
    for (id, (request, what)) in seen {
        match what {
            Seen::Answer(Answer::Served(value)) => {
                served += 1;
                let expected = match &request.value {
                    Some(_) => format!("receipt of {} for {id}", request.key).into_bytes(),
                    None => server::value_for(&request.key, id),
                };
                if *value == expected {
                    continue;
                }
                let value = String::from_utf8_lossy(value);
                let (class, key) = (request.class, &request.key);
                record.say(&format!("FOREIGN: {class} {id} of {key} got: {value}"));
                if request.value.is_some() {
                    foreign_writes += 1;
                    if !runs.contains_key(id) {
                        served_unrun += 1;
                        record.say(&format!("SERVED, NEVER RUN: {class} {id}"));
                    }
                } else {
                    foreign_reads += 1;
                }
            }
            Seen::Answer(Answer::Refused) => refused += 1,
            Seen::Answer(Answer::Failed(_)) => failed += 1,
            Seen::Closed | Seen::Nothing => lost += 1,
        }
    }
    let (mut twice, mut refused_though_run) = (0, 0);
    for (id, count) in runs {
        let Some((request, what)) = seen.get(id) else {
            continue;
        };
        // The settings allow no repeat of this class. A refusal says that nothing has run. What a client has sent once
        // more itself says nothing of the node.
        if request.class != "entry-fee" || resent.contains(id) {
            continue;
        }
        if *count > 1 {
            twice += 1;
            record.say(&format!("RUN {count} TIMES: entry-fee {id}"));
        }
        if matches!(what, Seen::Answer(Answer::Refused)) {
            refused_though_run += 1;
            record.say(&format!("REFUSED, BUT RUN: entry-fee {id}"));
        }
    }
    record.say(&format!(
        "{} requests: {served} served, {refused} refused, {failed} failed, {lost} without an answer",
        seen.len()
    ));
    record.say(&format!(
        "rule lost: {foreign_reads} reads and {foreign_writes} writes served with what was made for another request, {served_unrun} of these writes never ran"
    ));
    record.say(&format!(
        "rule duplicate: {twice} entry fees run more than once, {refused_though_run} refused that have run"
    ));
    // Requests without an answer are not judged here: a connection that ends without one is not always a break.
    if foreign_reads + foreign_writes + twice + refused_though_run > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
