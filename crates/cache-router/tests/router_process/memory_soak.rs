//! Seeded runs of a router under clients of many kinds, with signals in series and a kill at the earliest time that the
//! platform allows. Each run guards against a router that passes its memory limit, ends by itself, or leaves a request
//! that it has forwarded without an answer.
//!
//! `MEMORY_SOAK_SEEDS=1..51` plays other seeds than the few that run by default.

use std::collections::HashSet;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::crowd::{Fleet, Limits, long_reads, long_write, pending_commands, try_connect};
use crate::memory::{IN_USE, KIB_PER_MIB, VALUE_BYTES};
use crate::support::{Client, command, read_with_fields, send_signal, try_peak_kib};

/// The seeds that are played by default.
const DEFAULT_SEEDS: Range<u64> = 1..9;
/// The variable that names other seeds.
const SEEDS_VARIABLE: &str = "MEMORY_SOAK_SEEDS";
/// Clients that read their replies and keep their connections open.
const SOUND_CLIENTS: usize = 4;
/// The pause between two requests of a sound client.
const SOUND_PAUSE: Duration = Duration::from_millis(10);
/// The platform kills a router no sooner after SIGTERM: the longest deadline, which counts as 3 s, and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// A request that comes later after SIGTERM must have its reply before the kill.
const LATE_AFTER: Duration = Duration::from_millis(700);
/// How often the memory is looked at.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// The limits that are played by turns.
const LIMITS: [Limits; 4] = [
    Limits {
        memory_mb: 32,
        sockets: 1_024,
    },
    Limits {
        memory_mb: 32,
        sockets: 256,
    },
    Limits {
        memory_mb: 48,
        sockets: 384,
    },
    Limits {
        memory_mb: 32,
        sockets: 1_024,
    },
];

/// A small generator of pseudo-random numbers (splitmix64).
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, limit: usize) -> usize {
        (self.next() % limit as u64) as usize
    }

    fn milliseconds(&mut self, range: Range<usize>) -> Duration {
        let milliseconds = range.start + self.below(range.len());
        Duration::from_millis(milliseconds as u64)
    }
}

/// What a client may write.
struct Kind {
    name: &'static str,
    bytes: fn() -> Vec<u8>,
}

const KINDS: [Kind; 8] = [
    Kind {
        name: "a long write",
        bytes: long_write,
    },
    Kind {
        name: "long writes",
        bytes: || long_write().repeat(6),
    },
    Kind {
        name: "a pending request and pieces of others",
        bytes: || [pending_commands(), b"*1\r\n$3\r\n".repeat(900)].concat(),
    },
    Kind {
        name: "long reads",
        bytes: || long_reads().repeat(4),
    },
    Kind {
        name: "many fields",
        bytes: || command(&["OBJ.GET", "aa", "1", &"a=1,".repeat(16_000)]),
    },
    Kind {
        name: "many arguments",
        bytes: || [b"*1000000\r\n", &b"$1\r\na\r\n".repeat(10_000)[..]].concat(),
    },
    Kind {
        name: "unknown commands",
        bytes: || command(&["UNKNOWN"]).repeat(20_000),
    },
    Kind {
        name: "nothing",
        bytes: Vec::new,
    },
];

/// What the clients of a group write, and how.
struct Group {
    clients: usize,
    /// What each client writes; it is cut at another length for each.
    bytes: Vec<u8>,
    /// How much is written at once.
    piece_bytes: usize,
    pause: Duration,
    /// Whether clients that have written everything connect anew.
    reconnects: bool,
}

impl Group {
    fn random(random: &mut Random, clients: usize) -> Group {
        let kind = &KINDS[random.below(KINDS.len())];
        let piece_sizes = [8, 700, 3_000, 64 * 1024];
        let group = Group {
            clients,
            bytes: (kind.bytes)(),
            piece_bytes: piece_sizes[random.below(piece_sizes.len())],
            pause: random.milliseconds(2..30),
            reconnects: random.below(3) == 0,
        };
        println!(
            "  {clients} clients with {}, {} bytes each {:?}, reconnecting: {}",
            kind.name, group.piece_bytes, group.pause, group.reconnects
        );
        group
    }

    /// Connects the clients and has them write until `is_over`.
    fn play(self, router: SocketAddr, mut random: Random, is_over: &AtomicBool) {
        let mut clients: Vec<Writer> = Vec::new();
        while !is_over.load(Ordering::Relaxed) {
            if clients.len() < self.clients {
                let missing = self.clients - clients.len();
                let length = random.below(self.bytes.len() + 1).max(self.bytes.len() / 2);
                let connected = (0..missing.min(64)).filter_map(|_| try_connect(router));
                clients.extend(connected.map(|stream| Writer {
                    stream,
                    written: 0,
                    length,
                }));
            }
            for client in &mut clients {
                client.write(&self.bytes, self.piece_bytes);
            }
            if self.reconnects {
                clients.retain(|client| client.written < client.length || client.length == 0);
            }
            thread::sleep(self.pause);
        }
    }
}

/// A client that reads nothing.
struct Writer {
    stream: TcpStream,
    written: usize,
    length: usize,
}

impl Writer {
    fn write(&mut self, bytes: &[u8], piece_bytes: usize) {
        let end = self.length.min(self.written + piece_bytes);
        if let Ok(count) = self.stream.write(&bytes[self.written..end]) {
            self.written += count;
        }
    }
}

/// A request of a sound client that has no reply.
struct Unanswered {
    id: String,
    sent_at: Instant,
    ended_at: Instant,
}

/// What a sound client has seen.
#[derive(Default)]
struct SoundRecord {
    served: usize,
    others: usize,
    unanswered: Vec<Unanswered>,
}

/// Reads on one connection, until `is_over`; connects anew when the router has closed it.
fn play_sound_client(router: SocketAddr, name: usize, is_over: &AtomicBool) -> SoundRecord {
    let mut record = SoundRecord::default();
    let mut connection: Option<Client> = None;
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        thread::sleep(SOUND_PAUSE);
        let Some(client) = &mut connection else {
            connection = Client::try_connect(router);
            continue;
        };
        let id = format!("sound-{name}-{number}");
        let key = if number % 10 == 9 { "b" } else { "aa" };
        let sent_at = Instant::now();
        let request = read_with_fields(key, &id, "c=read,t=acme,d=2000");
        let reply = client.try_execute(&request);
        match reply {
            Some(reply) if reply == "short" || reply.len() == VALUE_BYTES => record.served += 1,
            Some(_) => record.others += 1,
            None => {
                let ended_at = Instant::now();
                record.unanswered.push(Unanswered {
                    id,
                    sent_at,
                    ended_at,
                });
                connection = None;
            }
        }
    }
    record
}

/// The clients of one run.
struct Crowd {
    is_over: Arc<AtomicBool>,
    peak_kib: Arc<AtomicUsize>,
    sound: Vec<JoinHandle<SoundRecord>>,
    others: Vec<JoinHandle<()>>,
}

impl Crowd {
    fn start(fleet: &Fleet, limits: Limits, random: &mut Random) -> Crowd {
        let is_over = Arc::<AtomicBool>::default();
        let peak_kib = Arc::<AtomicUsize>::default();
        let (address, process) = (fleet.router.address, fleet.router.id());
        let spawn_sound = |name| {
            let is_over = is_over.clone();
            thread::spawn(move || play_sound_client(address, name, &is_over))
        };
        let sound = (0..SOUND_CLIENTS).map(spawn_sound).collect();
        let slots = limits.sockets / 2;
        let mut others = Vec::new();
        for _ in 0..2 + random.below(4) {
            let clients = slots / 8 + random.below(slots / 4);
            let group = Group::random(random, clients);
            let (is_over, random) = (is_over.clone(), Random(random.next()));
            others.push(thread::spawn(move || group.play(address, random, &is_over)));
        }
        let (watch_over, watch_peak) = (is_over.clone(), peak_kib.clone());
        others.push(thread::spawn(move || {
            while !watch_over.load(Ordering::Relaxed) {
                watch_peak.fetch_max(try_peak_kib(process).unwrap_or(0), Ordering::Relaxed);
                thread::sleep(SAMPLE_INTERVAL);
            }
        }));
        Crowd {
            is_over,
            peak_kib,
            sound,
            others,
        }
    }

    /// Ends all clients. Returns the peak of the memory, and what the sound clients have seen.
    fn end(self) -> (usize, Vec<SoundRecord>) {
        self.is_over.store(true, Ordering::Relaxed);
        for client in self.others {
            client.join().unwrap();
        }
        let records = self.sound.into_iter().map(|client| client.join().unwrap());
        let records = records.collect();
        (self.peak_kib.load(Ordering::Relaxed), records)
    }
}

/// When the router was told to end and when it was killed.
struct Ending {
    terminated_at: Instant,
    killed_at: Option<Instant>,
}

/// Sends signals in series, has the router shut down, and kills it if it has not ended in time.
fn play_signals(fleet: &mut Fleet, random: &mut Random) -> Ending {
    let process = fleet.router.id();
    thread::sleep(random.milliseconds(800..2_500));
    for _ in 0..random.below(5) {
        send_signal(process, "HUP");
        thread::sleep(random.milliseconds(1..200));
    }
    assert!(
        fleet.router.exit_code().is_none(),
        "the router has ended by itself"
    );
    send_signal(process, "TERM");
    let terminated_at = Instant::now();
    for name in ["HUP", "TERM", "TERM"].into_iter().take(random.below(4)) {
        thread::sleep(random.milliseconds(1..300));
        if fleet.router.exit_code().is_none() {
            send_signal(process, name);
        }
    }
    while terminated_at.elapsed() < KILL_AFTER && fleet.router.exit_code().is_none() {
        thread::sleep(SAMPLE_INTERVAL);
    }
    let Some(code) = fleet.router.exit_code() else {
        let killed_at = Some(Instant::now());
        send_signal(process, "KILL");
        return Ending {
            terminated_at,
            killed_at,
        };
    };
    assert_eq!(code, Some(0), "the exit code after SIGTERM");
    Ending {
        terminated_at,
        killed_at: None,
    }
}

impl Ending {
    /// Whether a request without a reply that was forwarded is lost. The kill excuses requests that came soon after SIGTERM.
    fn is_lost(&self, request: &Unanswered) -> bool {
        let is_late = request.sent_at > self.terminated_at + LATE_AFTER;
        let was_killed = self.killed_at.is_some_and(|at| request.ended_at >= at);
        is_late || !was_killed
    }
}

/// Plays one life of the router, from its start to its end.
fn play_life(fleet: &mut Fleet, limits: Limits, random: &mut Random, name: &str) {
    let crowd = Crowd::start(fleet, limits, random);
    let ending = play_signals(fleet, random);
    let (peak, records) = crowd.end();
    let forwarded: HashSet<String> = fleet
        .servers
        .iter()
        .flat_map(|server| server.requests.try_iter())
        .filter_map(|request| request.parts.into_iter().nth(2))
        .collect();
    let unanswered = records.iter().flat_map(|record| &record.unanswered);
    let lost: Vec<&str> = unanswered
        .filter(|request| forwarded.contains(&request.id) && ending.is_lost(request))
        .map(|request| request.id.as_str())
        .collect();
    let served: usize = records.iter().map(|record| record.served).sum();
    let others: usize = records.iter().map(|record| record.others).sum();
    let limit = limits.memory_mb * KIB_PER_MIB;
    println!("{name}, {limits:?}: peak {peak} KiB, {served} served, {others} not, lost {lost:?}");
    assert!(peak <= limit, "{name}: a peak of {peak} KiB of {limit}");
    assert!(lost.is_empty(), "{name}: lost {lost:?}");
    assert!(served > 0, "{name}: no read was served");
}

fn play(seed: u64) {
    let mut random = Random(seed);
    let limits = LIMITS[seed as usize % LIMITS.len()];
    let mut fleet = Fleet::start(limits);
    play_life(&mut fleet, limits, &mut random, &format!("seed {seed}"));
    if random.below(2) == 0 {
        fleet.restart();
        play_life(
            &mut fleet,
            limits,
            &mut random,
            &format!("seed {seed}, restarted"),
        );
    }
}

/// The seeds that are played.
fn seeds() -> Range<u64> {
    let text = std::env::var(SEEDS_VARIABLE).unwrap_or_default();
    let named = text.split_once("..");
    named.map_or(DEFAULT_SEEDS, |(start, end)| {
        start.parse().unwrap()..end.parse().unwrap()
    })
}

#[test]
fn clients_of_all_kinds_and_signals_in_series_keep_the_router_within_its_memory() {
    let _in_use = IN_USE.lock().unwrap_or_else(PoisonError::into_inner);
    for seed in seeds() {
        play(seed);
    }
}
