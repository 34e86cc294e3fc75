//! Discovery is down for some seconds and then has too many callers: it answers one node at once, and the first two calls
//! of each other node wait too long and end with 503. A cache server begins to drain right after the return.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Run;
use crate::clients::{Pool, Request};
use crate::fleet::{self, Discovery, Entry, List, Reaction, Treat, Treatment, ms};
use crate::resp;
use crate::settings::Settings;
use crate::support::{Random, Record};

const NODES: usize = 5;
const CACHE_SERVERS: usize = 4;
/// Requests a second at each node.
const RATE: f64 = 40.0;
const DOWN_AT: Duration = Duration::from_secs(5);
const DOWN_FOR: Duration = Duration::from_secs(8);
/// How many calls of a node end with 503 after discovery's return. The first node is answered at once.
const REFUSED_CALLS: usize = 2;
/// A call that waits longer fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// When the cache server begins to drain, after discovery's return.
const DRAIN_AFTER: Duration = Duration::from_millis(300);
/// A change counts as told after this time, whether or not it arrived.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// The grace of a drain, and what time limits grow by on sockets.
const GRACE: Duration = Duration::from_millis(550);
const LENGTH: Duration = Duration::from_secs(26);
const PATIENCE: Duration = Duration::from_millis(550);

struct ForNode {
    number: usize,
    started: Instant,
    trouble: bool,
    record: Arc<Record>,
    ends_watches: Arc<AtomicBool>,
    /// Calls of the node since discovery's return.
    calls: AtomicUsize,
    /// When the change was written to the node, in microseconds of the record; 0 if it was not.
    written_at: AtomicU64,
}

impl Treat for ForNode {
    fn call(&self) -> Treatment {
        let now = self.started.elapsed();
        let up_at = DOWN_AT + DOWN_FOR;
        let (answer, treatment) = if !self.trouble || now < DOWN_AT {
            ("answered", Treatment::Answer(ms(50.0)))
        } else if now < up_at {
            ("503, down", Treatment::Unavailable(ms(5.0)))
        } else if self.number > 0 && self.calls.fetch_add(1, Ordering::SeqCst) < REFUSED_CALLS {
            (
                "503 after 2 s, crowded",
                Treatment::Unavailable(CALL_TIMEOUT),
            )
        } else {
            ("answered", Treatment::Answer(ms(300.0)))
        };
        self.record
            .line(&format!("n{} calls discovery: {answer}", self.number));
        treatment
    }

    fn ends_watches(&self) -> bool {
        self.ends_watches.load(Ordering::SeqCst)
    }

    fn written(&self, index: u64) {
        let now = self.record.now();
        self.record
            .line(&format!("n{} has version {index} of the list", self.number));
        if index > 1 {
            let _ = self
                .written_at
                .compare_exchange(0, now, Ordering::SeqCst, Ordering::SeqCst);
        }
    }
}

pub fn run(run: &Run) -> bool {
    let started = Instant::now();
    let random = Arc::new(Random::new(23));
    let ends_watches = Arc::<AtomicBool>::default();
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
    let (mut nodes, mut lists, mut treats, mut sends) = (vec![], vec![], vec![], vec![]);
    for number in 0..NODES {
        // A node reaches the cache servers at addresses that are kept for it alone.
        let to_draining = Arc::<Mutex<Vec<u64>>>::default();
        let mut entries = vec![Entry::new("origin", origin.address, "origin")];
        for server in 0..CACHE_SERVERS {
            let (random, record) = (random.clone(), run.record.clone());
            let sends = to_draining.clone();
            let address = fleet::cache_server(move |attempt| {
                if server == 0 {
                    sends.lock().unwrap().push(record.now());
                    record.line(&format!("n{number} sends {} to s-0", attempt.id));
                }
                let answer = resp::server_answer(Some(attempt.id.as_bytes()));
                Reaction::answer(ms(random.between(15.0, 45.0)), answer)
            });
            entries.push(Entry::new(&format!("s-{server}"), address.address, "small"));
        }
        let list = List::new(entries);
        let treat = Arc::new(ForNode {
            number,
            started,
            trouble: run.trouble,
            record: run.record.clone(),
            ends_watches: ends_watches.clone(),
            calls: AtomicUsize::new(0),
            written_at: AtomicU64::new(0),
        });
        let discovery = Discovery::start_with(list.clone(), treat.clone());
        let config = |listen| settings.config(number, listen, discovery.address, &list.known());
        nodes.push(
            run.place
                .start_node(&format!("n{number}"), discovery.address, config),
        );
        lists.push(list);
        treats.push(treat);
        sends.push(to_draining);
    }
    nodes.iter_mut().for_each(|node| node.wait_ready());

    let load: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(number, node)| {
            let (address, random) = (node.listen, random.clone());
            std::thread::spawn(move || {
                let pool = Arc::new(Pool::default());
                let mut calls = Vec::new();
                for request in 0u64.. {
                    std::thread::sleep(random.pause(RATE));
                    if started.elapsed() > LENGTH {
                        break;
                    }
                    let id = (number as u64) << 32 | request;
                    let request = Request {
                        id: format!("{id:016x}"),
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
            })
        })
        .collect();

    let wait_until = |at: Duration| std::thread::sleep(at.saturating_sub(started.elapsed()));
    wait_until(DOWN_AT);
    ends_watches.store(run.trouble, Ordering::SeqCst);
    run.record.line("discovery is down (with the disruption)");
    let up_at = DOWN_AT + DOWN_FOR;
    wait_until(up_at);
    ends_watches.store(false, Ordering::SeqCst);
    run.record.line("discovery is back");
    wait_until(up_at + DRAIN_AFTER);
    let changed_at = run.record.now();
    run.record.line("s-0 begins to drain");
    for list in &lists {
        list.change(vec![Entry {
            status: "leaving",
            ..list.entry("s-0")
        }]);
    }
    for load in load {
        let _ = load.join();
    }
    let mut broken = 0;
    for number in 0..NODES {
        let written = treats[number].written_at.load(Ordering::SeqCst);
        let at_latest = changed_at + TOLD_AFTER.as_micros() as u64;
        let told = if written == 0 {
            at_latest
        } else {
            written.min(at_latest)
        };
        let end = told + GRACE.as_micros() as u64;
        let sends = sends[number].lock().unwrap();
        let late = sends.iter().filter(|at| **at > end).count();
        let last = sends.iter().max().copied().unwrap_or(0);
        broken += late;
        run.record.say(&format!(
            "n{number}: told {:.2} s after the change (written after {:.2} s), last send to s-0 after {:.2} s, {late} sends after the grace",
            (told - changed_at) as f64 / 1e6,
            written.saturating_sub(changed_at) as f64 / 1e6,
            last.saturating_sub(changed_at) as f64 / 1e6,
        ));
    }
    broken == 0
}
