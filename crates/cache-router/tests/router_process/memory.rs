//! The memory of a router that has many long requests, replies or unfinished commands at once. Each test guards against
//! a router that takes more memory than its configuration allows, for which the platform kills it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use crate::support::{
    Behaviour, Client, Cluster, FakeServer, RouterProcess, StartOptions, allocated_kib,
    cache_server, command, failing_origin, hit, http, miss, origin_server, read,
};

/// The least memory that a deployment gives, in MiB.
pub const LEAST_MEMORY_MB: usize = 32;
const MOST_MEMORY_MB: usize = 192;
pub const KIB_PER_MIB: usize = 1024;
/// The longest value of the protocol.
pub const VALUE_BYTES: usize = 64 * 1024;
/// How often the clients that read nothing go on writing.
const WRITE_ROUNDS: usize = 40;
/// The receive buffer of a client that reads nothing, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024;
/// How often the memory is looked at.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// How long the memory is watched once the clients have sent everything.
const WATCH_TIME: Duration = Duration::from_millis(1_500);
/// A read of a short value takes at most this long beside the others.
const MAX_READ_TIME: Duration = Duration::from_secs(2);

/// One test at a time needs many sockets and much memory of the machine.
pub static IN_USE: Mutex<()> = Mutex::new(());

pub fn options(memory_mb: usize) -> StartOptions {
    StartOptions {
        memory_mb,
        sockets: 1_024,
        ..StartOptions::default()
    }
}

/// A cache server that serves each key with a short value.
fn short_values() -> FakeServer {
    cache_server(|_| Behaviour::Respond(hit("short")))
}

/// Connects clients that write `bytes`, as far as the router takes them, and read nothing. They stay connected until
/// they are dropped.
pub fn connect_writers(router: &RouterProcess, count: usize, bytes: &[u8]) -> Vec<TcpStream> {
    let mut clients: Vec<_> = (0..count)
        .map(|_| connect_without_reading(router.address))
        .collect();
    let mut written = vec![0; count];
    for _ in 0..WRITE_ROUNDS {
        for (client, written) in clients.iter_mut().zip(&mut written) {
            while let Ok(count @ 1..) = client.write(&bytes[*written..]) {
                *written += count;
            }
        }
        thread::sleep(SAMPLE_INTERVAL);
    }
    clients
}

/// Connects a client for which this machine buffers few replies.
fn connect_without_reading(router: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.connect(&router.into()).unwrap();
    socket.set_nonblocking(true).unwrap();
    socket.into()
}

/// Watches the memory of a router, and checks that reads of short values are answered meanwhile. Returns the most
/// memory that was seen, in KiB, and the number of reads that were served.
pub fn watch_memory(router: &RouterProcess) -> (usize, usize) {
    let process = router.id();
    let is_over = AtomicBool::new(false);
    let most = AtomicUsize::new(0);
    let mut served = 0;
    thread::scope(|scope| {
        scope.spawn(|| {
            while !is_over.load(Ordering::Relaxed) {
                most.fetch_max(allocated_kib(process), Ordering::Relaxed);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        let end = Instant::now() + WATCH_TIME;
        for number in 0.. {
            if Instant::now() >= end {
                break;
            }
            let since = Instant::now();
            let reply = router.client().execute(&read("aa", &format!("r{number}")));
            assert!(since.elapsed() <= MAX_READ_TIME, "{:?}", since.elapsed());
            served += usize::from(reply.as_deref() == Some("short"));
            thread::sleep(SAMPLE_INTERVAL);
        }
        is_over.store(true, Ordering::Relaxed);
    });
    (most.load(Ordering::Relaxed), served)
}

fn assert_within_limit(cluster: &Cluster, memory_mb: usize) {
    let (most, served) = watch_memory(&cluster.router);
    let limit = memory_mb * KIB_PER_MIB;
    println!("{most} KiB of {limit}, {served} reads were served");
    assert!(most <= limit, "{most} KiB of {limit}");
    assert!(served > 0, "no read was served");
}

/// A write with the longest value.
fn long_write(id: usize) -> Vec<u8> {
    let id = id.to_string();
    command(&[
        "OBJ.SET",
        "aa",
        &id,
        "c=put,t=acme,d=8000,k=77",
        &"v".repeat(VALUE_BYTES),
    ])
}

fn assert_long_writes_at_once_stay_within_the_limit(memory_mb: usize, clients: usize) {
    const WRITES: usize = 30;
    let _in_use = IN_USE.lock().unwrap_or_else(PoisonError::into_inner);
    let origin = origin_server(|_| Behaviour::Hang);
    let cluster = Cluster::start_with(short_values(), origin, options(memory_mb));
    let writes: Vec<u8> = (0..WRITES).flat_map(long_write).collect();
    let senders: Vec<_> = (0..clients)
        .map(|_| {
            let (address, writes) = (cluster.router.address, writes.clone());
            thread::spawn(move || {
                let mut stream = TcpStream::connect(address).unwrap();
                stream.set_write_timeout(Some(WATCH_TIME)).unwrap();
                let _ = stream.write_all(&writes);
                stream
            })
        })
        .collect();
    assert_within_limit(&cluster, memory_mb);
    for sender in senders {
        drop(sender.join());
    }
}

#[test]
fn many_long_writes_at_once_stay_within_the_least_memory() {
    assert_long_writes_at_once_stay_within_the_limit(LEAST_MEMORY_MB, 30);
}

#[test]
fn many_long_writes_at_once_stay_within_the_most_memory() {
    assert_long_writes_at_once_stay_within_the_limit(MOST_MEMORY_MB, 160);
}

#[test]
fn commands_of_hundreds_of_clients_that_stop_half_way_stay_within_the_memory() {
    /// As many as leave slots that are not reserved for rejections.
    const CLIENTS: usize = 435;
    let _in_use = IN_USE.lock().unwrap_or_else(PoisonError::into_inner);
    let cluster = Cluster::start_with(short_values(), failing_origin(), options(LEAST_MEMORY_MB));
    let fields = format!("c=put,t=acme,d=8000,k=77,x={}", "x".repeat(480));
    let long_argument = "a".repeat(512);
    let value = "v".repeat(VALUE_BYTES);
    let write = command(&["OBJ.SET", &long_argument, &long_argument, &fields, &value]);
    let _clients = connect_writers(&cluster.router, CLIENTS, &write[..write.len() - 1]);
    assert_within_limit(&cluster, LEAST_MEMORY_MB);
}

#[test]
fn commands_of_hundreds_of_clients_that_write_slowly_stay_within_the_memory() {
    const CLIENTS: usize = 400;
    const PIECE_BYTES: usize = 3_000;
    let _in_use = IN_USE.lock().unwrap_or_else(PoisonError::into_inner);
    let cluster = Cluster::start_with(short_values(), failing_origin(), options(LEAST_MEMORY_MB));
    let write = long_write(1);
    let mut clients = connect_writers(&cluster.router, CLIENTS, &[]);
    thread::scope(|scope| {
        scope.spawn(|| {
            for piece in write.chunks(PIECE_BYTES) {
                for client in &mut clients {
                    let _ = client.write_all(piece);
                }
                thread::sleep(Duration::from_millis(60));
            }
        });
        assert_within_limit(&cluster, LEAST_MEMORY_MB);
    });
}

#[test]
fn commands_of_very_many_short_arguments_and_fields_stay_within_the_memory() {
    const CLIENTS: usize = 400;
    let _in_use = IN_USE.lock().unwrap_or_else(PoisonError::into_inner);
    let cluster = Cluster::start_with(short_values(), failing_origin(), options(LEAST_MEMORY_MB));
    let fields = "a=1,".repeat(16_000);
    let many_fields = command(&["OBJ.GET", "aa", "1", &fields]);
    let many_arguments = [b"*1000000\r\n", &b"$1\r\na\r\n".repeat(10_000)[..]].concat();
    let _clients = [
        connect_writers(&cluster.router, CLIENTS / 2, &many_fields.repeat(20)),
        connect_writers(&cluster.router, CLIENTS / 2, &many_arguments),
    ];
    assert_within_limit(&cluster, LEAST_MEMORY_MB);
}

#[test]
fn short_commands_whose_replies_are_not_read_stay_within_the_memory() {
    const CLIENTS: usize = 400;
    const COMMAND_BYTES: usize = 8 * 1024 * 1024;
    let _in_use = IN_USE.lock().unwrap_or_else(PoisonError::into_inner);
    let cluster = Cluster::start_with(short_values(), failing_origin(), options(LEAST_MEMORY_MB));
    let unknown = command(&["FOO"]);
    let commands = unknown.repeat(COMMAND_BYTES / unknown.len());
    let _clients = connect_writers(&cluster.router, CLIENTS, &commands);
    assert_within_limit(&cluster, LEAST_MEMORY_MB);
}

#[test]
fn long_replies_that_are_not_read_stay_within_the_memory() {
    const CLIENTS: usize = 40;
    const READS: usize = 60;
    let _in_use = IN_USE.lock().unwrap_or_else(PoisonError::into_inner);
    let long_value = "v".repeat(VALUE_BYTES);
    let cache = cache_server(move |parts| {
        Behaviour::Respond(match parts[1].as_str() {
            "bb" => hit(&long_value),
            _ => hit("short"),
        })
    });
    let cluster = Cluster::start_with(cache, failing_origin(), options(LEAST_MEMORY_MB));
    let reads: Vec<u8> = (0..READS)
        .flat_map(|number| read("bb", &format!("l{number}")))
        .collect();
    let _clients = connect_writers(&cluster.router, CLIENTS, &reads);
    assert_within_limit(&cluster, LEAST_MEMORY_MB);
}

#[test]
fn a_long_write_is_served_beside_hundreds_of_clients_that_stop_half_way() {
    // Guards against clients that keep the memory for requests without ever completing one.
    const CLIENTS: usize = 300;
    const TRIES: usize = 40;
    let _in_use = IN_USE.lock().unwrap_or_else(PoisonError::into_inner);
    let cache = cache_server(|_| Behaviour::Respond(miss()));
    let origin = origin_server(|_| Behaviour::Respond(http(200, "", "stored")));
    let cluster = Cluster::start_with(cache, origin, options(LEAST_MEMORY_MB));
    let write = long_write(1);
    let _clients = connect_writers(&cluster.router, CLIENTS, &write[..write.len() - 1]);
    let mut client: Client = cluster.client();
    let mut served = 0;
    for _ in 0..TRIES {
        served += usize::from(client.execute(&write).as_deref() == Some("stored"));
        thread::sleep(Duration::from_millis(25));
    }
    println!("{served} of {TRIES} long writes were served");
    assert!(served >= TRIES / 2, "{served} of {TRIES}");
}

#[test]
fn a_command_that_is_rejected_for_lack_of_memory_leaves_the_connection_usable() {
    const CLIENTS: usize = 100;
    let _in_use = IN_USE.lock().unwrap_or_else(PoisonError::into_inner);
    let origin = origin_server(|_| Behaviour::Hang);
    let cluster = Cluster::start_with(short_values(), origin, options(LEAST_MEMORY_MB));
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| cluster.client()).collect();
    for client in &mut clients {
        client.send(&long_write(1));
        client.send(&read("aa", "2"));
    }
    // The write of the last client is rejected, and its read behind it is served.
    let last = clients.last_mut().unwrap();
    assert_eq!(last.reply().unwrap(), "-BUSY");
    assert_eq!(last.reply().unwrap(), "short");
    let mut rest = [0];
    last.input.get_ref().set_nonblocking(true).unwrap();
    assert!(last.input.read(&mut rest).is_err(), "nothing follows");
}
