//! Clients that make the router do much work, and requests of other clients at the same time. Each test guards against
//! requests of the others that have no final answer in time because the router's thread serves the bulk clients.
//!
//! The bulk clients are meant to send more than the router can handle on any machine, so the tests don't depend on its
//! speed.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::support::{
    Behaviour, Client, Cluster, PING, cache_server, command, hit, read, read_with_deadline,
};

/// The deadline of the requests of the other clients, in milliseconds: the shortest that a client of the site has.
const DEADLINE_MS: u32 = 480;
/// A final answer that comes later than this after the deadline counts as lost.
const MAX_OVERTIME: Duration = Duration::from_millis(500);
/// The most that a client sends which sends no proper requests.
const MAX_BULK_BYTES: usize = 60_000_000;
const BULK_CLIENTS: usize = 20;
/// How long the bulk clients send before the other client's first request.
const HEAD_START: Duration = Duration::from_millis(500);
/// For how long the other client sends requests.
const DURATION: Duration = Duration::from_secs(2);
/// The pause of the other client between a reply and its next request.
const PAUSE: Duration = Duration::from_millis(20);
/// How much a bulk client writes at once, in bytes.
const BYTES_PER_WRITE: usize = 64 * 1024;
/// A bulk client whose reads and writes block checks this often whether the test is over.
const BULK_TIMEOUT: Duration = Duration::from_millis(50);

/// The platform may kill a router this long after SIGTERM: the longest deadline, counted as 3 s, and 0.7 s.
const TIME_TO_KILL: Duration = Duration::from_millis(3_700);

/// One test at a time has bulk clients: they keep several cores busy, and other tests run at the same time.
static BULK_CLIENTS_IN_USE: Mutex<()> = Mutex::new(());

/// What a bulk client does beside sending.
#[derive(Clone, Copy, PartialEq)]
pub enum Reading {
    /// It reads none of its replies.
    Nothing,
    /// It reads its replies as they come.
    Everything,
    /// It reads its replies once it has sent everything.
    Afterwards,
    /// It ends its sending direction once it has sent everything, reads its replies, and starts again.
    AfterHalfClose,
}

/// A kind of bulk client.
pub struct Bulk {
    /// What it sends again and again.
    command: Vec<u8>,
    /// How much it sends on a connection, in bytes.
    bytes_per_connection: usize,
    reading: Reading,
    clients: usize,
}

impl Bulk {
    /// Clients that send as much as they may.
    pub fn of(command: Vec<u8>, reading: Reading) -> Bulk {
        Bulk {
            command,
            bytes_per_connection: MAX_BULK_BYTES,
            reading,
            clients: BULK_CLIENTS,
        }
    }
}

/// Running bulk clients. They end when this is dropped.
pub struct RunningBulk {
    _in_use: MutexGuard<'static, ()>,
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl RunningBulk {
    /// Starts bulk clients.
    pub fn start(router: SocketAddr, bulk: Bulk) -> RunningBulk {
        // A test that failed has ended its bulk clients too.
        let in_use = BULK_CLIENTS_IN_USE
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let bulk = Arc::new(bulk);
        let is_over = Arc::new(AtomicBool::new(false));
        let clients = bulk.clients;
        let client = |_| {
            let (bulk, is_over) = (bulk.clone(), is_over.clone());
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    // The router may end the connection at any time.
                    let _ = run_connection(router, &bulk, &is_over);
                }
            })
        };
        RunningBulk {
            _in_use: in_use,
            threads: (0..clients).map(client).collect(),
            is_over,
        }
    }
}

impl Drop for RunningBulk {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Serves one connection of a bulk client until it or the test is over.
fn run_connection(
    router: SocketAddr,
    bulk: &Bulk,
    is_over: &Arc<AtomicBool>,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(router)?;
    stream.set_read_timeout(Some(BULK_TIMEOUT))?;
    stream.set_write_timeout(Some(BULK_TIMEOUT))?;
    let reader = (bulk.reading == Reading::Everything).then(|| {
        let (stream, is_over) = (stream.try_clone(), is_over.clone());
        thread::spawn(move || read_until_closed(&mut stream?, &is_over))
    });
    let block = bulk
        .command
        .repeat(BYTES_PER_WRITE.div_ceil(bulk.command.len()));
    for _ in 0..bulk.bytes_per_connection.div_ceil(block.len()) {
        write_block(&mut stream, &block, is_over)?;
    }
    match bulk.reading {
        Reading::Nothing => {}
        Reading::Afterwards => read_until_closed(&mut stream, is_over)?,
        Reading::AfterHalfClose => {
            stream.shutdown(Shutdown::Write)?;
            read_until_closed(&mut stream, is_over)?;
        }
        Reading::Everything => {
            if let Some(reader) = reader {
                let _ = reader.join();
            }
        }
    }
    Ok(())
}

fn write_block(
    stream: &mut TcpStream,
    mut block: &[u8],
    is_over: &AtomicBool,
) -> std::io::Result<()> {
    while !block.is_empty() {
        if is_over.load(Ordering::Relaxed) {
            return Err(ErrorKind::Interrupted.into());
        }
        match stream.write(block) {
            Ok(count) => block = &block[count..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn read_until_closed(stream: &mut TcpStream, is_over: &AtomicBool) -> std::io::Result<()> {
    let mut buffer = vec![0; 256 * 1024];
    while !is_over.load(Ordering::Relaxed) {
        match stream.read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Sends a request and returns its reply; `None` if the connection is closed without one.
fn execute(client: &mut Client, request: &[u8]) -> Option<String> {
    client.output.write_all(request).ok()?;
    client.reply()
}

/// The replies to the requests of another client beside those that trouble the router.
#[derive(Debug, Default)]
pub struct OtherClient {
    served: usize,
    rejected: usize,
    /// Requests whose connection the router closed instead of reading them, also once more on a new connection.
    unread: usize,
    longest: Duration,
}

impl OtherClient {
    /// Sends requests, each when the one before has its reply, on a connection that stays open and on new ones by turns.
    pub fn run(cluster: &Cluster) -> OtherClient {
        let mut result = OtherClient::default();
        let mut kept = cluster.client();
        let end = Instant::now() + DURATION;
        for number in 0.. {
            if Instant::now() >= end {
                break;
            }
            let request = read_with_deadline(&format!("r{number}"), DEADLINE_MS);
            let sent_at = Instant::now();
            let mut reply = match number % 2 {
                0 => execute(&mut kept, &request),
                _ => execute(&mut cluster.client(), &request),
            };
            if reply.is_none() && number % 2 == 0 {
                // The router has closed the connection between two requests: the request is sent once more.
                kept = cluster.client();
                reply = execute(&mut kept, &request);
            }
            result.longest = result.longest.max(sent_at.elapsed());
            match reply {
                Some(reply) if reply.starts_with('-') => result.rejected += 1,
                Some(_) => result.served += 1,
                None => result.unread += 1,
            }
            thread::sleep(PAUSE);
        }
        result
    }

    /// Checks that each request had its final answer within its deadline and the time that it may be late.
    pub fn assert_answered_in_time(&self) {
        let limit = Duration::from_millis(DEADLINE_MS.into()) + MAX_OVERTIME;
        println!("{self:?}, of at most {limit:?}");
        assert!(self.longest <= limit, "{self:?}, of at most {limit:?}");
    }
}

/// Checks that the requests of another client have their final answers in time beside bulk clients.
fn assert_others_are_answered(bulk: Bulk) {
    let cache = cache_server(|parts| Behaviour::Respond(hit(&parts[1])));
    let cluster = Cluster::with_cache(cache);
    let _bulk = RunningBulk::start(cluster.router.address, bulk);
    thread::sleep(HEAD_START);
    OtherClient::run(&cluster).assert_answered_in_time();
}

#[test]
fn others_are_answered_beside_unknown_commands_whose_replies_are_not_read() {
    assert_others_are_answered(Bulk::of(command(&["FOO"]), Reading::Nothing));
}

#[test]
fn others_are_answered_beside_unknown_commands_whose_replies_are_read() {
    assert_others_are_answered(Bulk::of(command(&["FOO"]), Reading::Everything));
}

#[test]
fn others_are_answered_beside_empty_commands_whose_replies_are_read_afterwards() {
    let bulk = Bulk {
        bytes_per_connection: 2_000_000,
        ..Bulk::of(b"*0\r\n".to_vec(), Reading::Afterwards)
    };
    assert_others_are_answered(bulk);
}

#[test]
fn others_are_answered_beside_health_checks_in_bulk() {
    assert_others_are_answered(Bulk::of(command(&PING), Reading::Everything));
}

#[test]
fn others_are_answered_beside_requests_of_an_unknown_class_with_long_values() {
    let value = "v".repeat(60_000);
    let write = command(&["OBJ.SET", "aa", "1", "c=other,d=480", &value]);
    assert_others_are_answered(Bulk::of(write, Reading::Nothing));
}

#[test]
fn others_are_answered_beside_requests_in_bulk() {
    let read = read_with_deadline("1", DEADLINE_MS);
    assert_others_are_answered(Bulk::of(read, Reading::Everything));
}

#[test]
fn others_are_answered_beside_input_that_is_no_command() {
    assert_others_are_answered(Bulk::of(b"x".repeat(100), Reading::Nothing));
}

#[test]
fn others_are_answered_beside_bulk_clients_that_end_their_sending() {
    let bulk = Bulk {
        bytes_per_connection: 2_000_000,
        ..Bulk::of(command(&["FOO"]), Reading::AfterHalfClose)
    };
    assert_others_are_answered(bulk);
}

#[test]
fn others_are_answered_beside_one_client_that_sends_requests_under_ever_new_names() {
    // Guards against work or memory that grows with the number of keys, ids, fields, classes or commands seen so far.
    const NAMES: usize = 5_000;
    let commands = (0..NAMES).flat_map(|number| {
        let id = format!("i{number}");
        let key = format!("k{number}");
        let new_field = format!("c=read,t=acme,d=60000,f{number}={number}");
        let new_class = format!("c=class{number},t=acme");
        [
            command(&["OBJ.GET", &key, &id, &new_field]),
            command(&["OBJ.GET", &key, &id, &new_class]),
            command(&[&format!("FOO{number}")]),
        ]
        .concat()
    });
    let bulk = Bulk {
        clients: 1,
        ..Bulk::of(commands.collect(), Reading::Everything)
    };
    assert_others_are_answered(bulk);
}

#[test]
fn others_are_answered_though_bulk_clients_have_taken_all_slots() {
    // The router has 120 slots for clients.
    let bulk = Bulk {
        clients: 160,
        ..Bulk::of(command(&["FOO"]), Reading::Nothing)
    };
    assert_others_are_answered(bulk);
}

#[test]
fn in_a_shutdown_open_requests_have_their_replies_before_the_kill_beside_bulk_clients() {
    const OPEN_REQUESTS: usize = 20;
    let mut cluster = Cluster::with_cache(cache_server(|_| Behaviour::Hang));
    let bulk = Bulk::of(command(&["FOO"]), Reading::Everything);
    let running_bulk = RunningBulk::start(cluster.router.address, bulk);
    let mut clients: Vec<Client> = (0..OPEN_REQUESTS).map(|_| cluster.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&read("aa", &format!("r{number}")));
    }
    for _ in 0..OPEN_REQUESTS {
        cluster.cache.next_request();
    }
    let terminated_at = Instant::now();
    cluster.router.terminate();
    for client in &mut clients {
        let reply = client.reply();
        assert!(reply.is_some(), "closed without a reply");
    }
    let last_reply_after = terminated_at.elapsed();
    println!("the last reply came {last_reply_after:?} after SIGTERM");
    assert!(last_reply_after <= TIME_TO_KILL, "{last_reply_after:?}");
    drop(running_bulk);
    cluster.router.assert_exits_with_success();
}
