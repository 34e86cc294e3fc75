//! New configurations in a row, each of which moves discovery, while discovery takes its time to answer. A cache server
//! begins to drain right after the first.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Run;
use crate::clients::{Pool, Request};
use crate::fleet::{self, Discovery, Entry, List, Reaction, Treat, Treatment, ms};
use crate::resp;
use crate::settings::Settings;
use crate::support::{Random, Record, SIGHUP};

const NODES: usize = 3;
const CACHE_SERVERS: usize = 4;
/// Requests a second at each node.
const RATE: f64 = 40.0;
const FIRST_AT: Duration = Duration::from_secs(5);
const CONFIGURATIONS: u32 = 6;
/// Time from one configuration to the next.
const APART: Duration = Duration::from_millis(1_200);
/// How long a call to discovery waits for its answer; one that waits 2 s fails.
const ANSWER_AFTER: Duration = Duration::from_millis(1_400);
/// How long an earlier address of discovery keeps its open connections.
const OPEN_FOR: Duration = Duration::from_millis(1_500);
/// When the cache server begins to drain, after the first signal.
const DRAIN_AFTER: Duration = Duration::from_millis(200);
/// A change counts as told after this time, whether or not it arrived.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// The grace of a drain, and what time limits grow by on sockets.
const GRACE: Duration = Duration::from_millis(550);
const LENGTH: Duration = Duration::from_secs(18);
const PATIENCE: Duration = Duration::from_millis(550);

/// One address of discovery.
struct Address {
    number: u32,
    record: Arc<Record>,
    closed: AtomicBool,
}

impl Treat for Address {
    fn call(&self) -> Treatment {
        self.record
            .line(&format!("address {} of discovery gets a call", self.number));
        Treatment::Answer(ANSWER_AFTER)
    }

    fn ends_watches(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    fn written(&self, index: u64) {
        self.record.line(&format!(
            "address {} of discovery writes version {index}",
            self.number
        ));
    }
}

pub fn run(run: &Run) -> bool {
    let started = Instant::now();
    let random = Arc::new(Random::new(31));
    let settings = Settings {
        nodes: NODES,
        sockets: 1024,
        memory_mb: 192,
    };
    let origin = fleet::origin(|attempt| {
        Reaction::answer(
            ms(50.0),
            fleet::http_answer("200 OK", "", attempt.id.as_bytes()),
        )
    });
    let sends = Arc::<Mutex<Vec<(u64, String)>>>::default();
    let mut entries = vec![Entry::new("origin", origin.address, "origin")];
    for server in 0..CACHE_SERVERS {
        let (random, record, sends) = (random.clone(), run.record.clone(), sends.clone());
        let address = fleet::cache_server(move |attempt| {
            if server == 0 {
                sends
                    .lock()
                    .unwrap()
                    .push((record.now(), attempt.id.clone()));
                record.line(&format!("s-0 gets {}", attempt.id));
            }
            let answer = resp::server_answer(Some(attempt.id.as_bytes()));
            Reaction::answer(ms(random.between(15.0, 45.0)), answer)
        });
        entries.push(Entry::new(&format!("s-{server}"), address.address, "small"));
    }
    let list = List::new(entries);
    let open = |number| {
        let address = Arc::new(Address {
            number,
            record: run.record.clone(),
            closed: AtomicBool::new(false),
        });
        (
            Discovery::start_with(list.clone(), address.clone()),
            address,
        )
    };
    let (discovery, first) = open(0);
    let mut nodes: Vec<_> = (0..NODES)
        .map(|number| {
            let config = |listen| settings.config(number, listen, discovery.address, &list.known());
            run.place
                .start_node(&format!("n{number}"), discovery.address, config)
        })
        .collect();
    nodes.iter_mut().for_each(|node| node.wait_ready());

    let load: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(number, node)| {
            let (address, random) = (node.listen, random.clone());
            std::thread::spawn(move || send_requests(number, address, &random, started))
        })
        .collect();

    let wait_until = |at: Duration| std::thread::sleep(at.saturating_sub(started.elapsed()));
    let mut earlier = first;
    let mut changed_at = 0;
    for number in 1..=CONFIGURATIONS {
        let at = FIRST_AT + APART * (number - 1);
        wait_until(at);
        if run.trouble {
            let (next, address) = open(number);
            for (index, node) in nodes.iter().enumerate() {
                let config = settings.config(index, node.listen, next.address, &list.known());
                run.place.replace_config(&node.name, &config);
                node.signal(SIGHUP);
            }
            run.record
                .line(&format!("SIGHUP: discovery is at its address {number}"));
            let before = std::mem::replace(&mut earlier, address);
            std::thread::spawn(move || {
                std::thread::sleep(OPEN_FOR);
                before.closed.store(true, Ordering::SeqCst);
            });
        }
        if number == 1 {
            wait_until(at + DRAIN_AFTER);
            changed_at = run.record.now();
            run.record.line("s-0 begins to drain");
            list.change(vec![Entry {
                status: "leaving",
                ..list.entry("s-0")
            }]);
        }
    }
    for load in load {
        let _ = load.join();
    }
    let end = changed_at + (TOLD_AFTER + GRACE).as_micros() as u64;
    let mut broken = 0;
    let sends = sends.lock().unwrap();
    for number in 0..NODES {
        let prefix = format!("{number:08x}");
        let own = || {
            sends
                .iter()
                .filter(|(_, id)| id.starts_with(&prefix))
                .map(|(at, _)| *at)
        };
        let late = own().filter(|at| *at > end).count();
        broken += late;
        run.record.say(&format!(
            "n{number}: last send to s-0 {:.2} s after the change, {late} sends after it counts as told and the grace",
            own().max().unwrap_or(0).saturating_sub(changed_at) as f64 / 1e6,
        ));
    }
    for node in &mut nodes {
        if let Some(status) = node.ended() {
            run.record.say(&format!("{} ended: {status}", node.name));
        }
    }
    broken == 0
}

fn send_requests(node: usize, address: std::net::SocketAddr, random: &Random, started: Instant) {
    let pool = Arc::new(Pool::default());
    let mut calls = Vec::new();
    for number in 0u32.. {
        std::thread::sleep(random.pause(RATE));
        if started.elapsed() > LENGTH {
            break;
        }
        let request = Request {
            id: format!("{node:08x}{number:08x}"),
            key: format!(
                "{:016x}",
                (random.next() % 200 + 1).wrapping_mul(0xbf58_476d_1ce4_e5b9)
            ),
            class: "lookup",
            deadline_ms: 480,
            value: None,
            idempotency_key: None,
        };
        let pool = pool.clone();
        calls.push(std::thread::spawn(move || {
            pool.call(address, &request, PATIENCE)
        }));
        calls.retain(|call| !call.is_finished());
    }
    for call in calls {
        let _ = call.join();
    }
}
