//! The resident memory of a router at its peak while hundreds of clients hold all that they can at once: commands and
//! replies, and also what is small and counts by the number of connections. Each test guards against a router that the
//! platform kills for its memory.

use std::io::Write;
use std::net::TcpStream;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use crate::memory::{
    IN_USE, KIB_PER_MIB, LEAST_MEMORY_MB, VALUE_BYTES, connect_writers, options, watch_memory,
};
use crate::support::{
    Behaviour, FakeDiscovery, FakeServer, RouterProcess, StartOptions, cache_server, command,
    endpoint, endpoint_list, hit, miss, origin_server, peak_kib, settings, wait_until,
};

/// How many cache servers there are.
const CACHE_SERVERS: usize = 4;
/// Clients that write in small pieces behind a pending request.
const PIECEMEAL_CLIENTS: usize = 330;
/// Clients that read none of their long replies.
const STALLED_READERS: usize = 60;
/// Clients that stop half way through a long write. All clients together leave the slots reserved for rejections.
const HALF_WAY_CLIENTS: usize = 50;
/// How many commands a client may have pending.
const MAX_PIPELINED: usize = 64;
/// A piece of a command.
const PIECE: &[u8] = b"*1\r\n$3\r\n";
/// How often the piecemeal clients write a piece: together nearly as much as is read ahead without a reservation.
const PIECES: usize = 1_000;
/// The pause between two pieces, longer than the time in which a router takes them for one arrival.
const PIECE_PAUSE: Duration = Duration::from_millis(4);

/// How many reads in a row are served where service goes on.
const SERVED_IN_A_ROW: usize = 30;

/// A router with cache servers, and an origin that does not answer.
struct Fleet {
    /// The first field, so that the router is dropped before the servers that it calls.
    router: RouterProcess,
    _servers: Vec<FakeServer>,
    _discovery: FakeDiscovery,
}

impl Fleet {
    fn start() -> Fleet {
        let mut servers: Vec<_> = (0..CACHE_SERVERS).map(|_| mixed_values()).collect();
        let mut endpoints: Vec<_> = (0..)
            .zip(&servers)
            .map(|(number, server): (usize, _)| {
                endpoint(&format!("s-{number}"), server.address, "std", "active")
            })
            .collect();
        let origin = origin_server(|_| Behaviour::Hang);
        endpoints.push(endpoint("o-1", origin.address, "origin", "active"));
        servers.push(origin);
        let discovery = FakeDiscovery::unchanging();
        let list = endpoint_list(5, true, &endpoints);
        let options = StartOptions {
            settings: settings().replace("1000.0", "100000.0"), // No request exceeds the tenant's quota.
            ..options(LEAST_MEMORY_MB)
        };
        Fleet {
            router: RouterProcess::start_with(discovery.address, &list, options),
            _servers: servers,
            _discovery: discovery,
        }
    }

    fn assert_peak_within_limit(&self) {
        let limit = LEAST_MEMORY_MB * KIB_PER_MIB;
        let peak = peak_kib(self.router.id());
        let log = self.router.log.try_iter();
        let by_holder = log.filter(|line| line.contains("memory of the process"));
        println!("peak of {peak} KiB of {limit}; {:?}", by_holder.last());
        assert!(peak <= limit, "peak of {peak} KiB of {limit}");
    }

    /// Checks that reads of short values are answered in time, and some of them with their value.
    fn assert_reads_are_served(&self) {
        let (_, served) = watch_memory(&self.router);
        println!("{served} reads were served");
        assert!(served > 0, "no read was served");
    }
}

/// A cache server that knows no key that begins with `h`, has long values for those that begin with `b`, and short values
/// for all others.
fn mixed_values() -> FakeServer {
    let long_value = "v".repeat(VALUE_BYTES);
    cache_server(move |parts| {
        Behaviour::Respond(match parts[1].as_bytes().first() {
            Some(b'h') => miss(),
            Some(b'b') => hit(&long_value),
            _ => hit("short"),
        })
    })
}

fn read(key: &str, id: usize) -> Vec<u8> {
    let fields = "c=read,t=acme,d=60000";
    command(&["OBJ.GET", &format!("{key}{id}"), &format!("i{id}"), fields])
}

/// Connects clients with a request that stays pending, as many other commands as may be pending, and unread input that
/// arrives in small pieces.
fn connect_piecemeal_clients(router: &RouterProcess) -> Vec<TcpStream> {
    let unknown = command(&["UNKNOWN-COMMAND"]);
    let commands = [read("h", 1), unknown.repeat(MAX_PIPELINED - 1)].concat();
    let mut clients = connect_writers(router, PIECEMEAL_CLIENTS, &commands);
    for _ in 0..PIECES {
        for client in &mut clients {
            let _ = client.write(PIECE);
        }
        thread::sleep(PIECE_PAUSE);
    }
    clients
}

fn connect_stalled_readers(router: &RouterProcess) -> Vec<TcpStream> {
    let reads: Vec<u8> = (0..MAX_PIPELINED).flat_map(|id| read("b", id)).collect();
    connect_writers(router, STALLED_READERS, &reads)
}

fn connect_half_way_clients(router: &RouterProcess) -> Vec<TcpStream> {
    let long_argument = "a".repeat(512);
    let fields = format!("c=put,t=acme,d=8000,k=77,x={}", "x".repeat(480));
    let value = "v".repeat(VALUE_BYTES);
    let write = command(&["OBJ.SET", &long_argument, &long_argument, &fields, &value]);
    connect_writers(router, HALF_WAY_CLIENTS, &write[..write.len() - 1])
}

#[test]
fn all_that_hundreds_of_clients_hold_at_once_stays_within_the_least_memory() {
    let _in_use = IN_USE.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = Fleet::start();
    let _clients = [
        connect_piecemeal_clients(&fleet.router),
        connect_stalled_readers(&fleet.router),
        connect_half_way_clients(&fleet.router),
    ];
    fleet.assert_peak_within_limit();
    fleet.assert_reads_are_served();
}

#[test]
fn a_long_value_is_served_beside_clients_whose_values_wait_behind_a_pending_reply() {
    // Guards against values that hold all memory for replies until the requests before them end.
    const CLIENTS: usize = 24;
    const LONG_READS: usize = 12;
    let _in_use = IN_USE.lock().unwrap_or_else(PoisonError::into_inner);
    let fleet = Fleet::start();
    let long_reads = (0..LONG_READS).flat_map(|id| read("b", id));
    let commands: Vec<u8> = read("h", 1).into_iter().chain(long_reads).collect();
    let _clients = connect_writers(&fleet.router, CLIENTS, &commands);
    let long_value = "v".repeat(VALUE_BYTES);
    let mut served_in_a_row = 0;
    wait_until("long values are served", || {
        let reply = fleet.router.client().execute(&read("b", 1));
        let is_served = reply.is_some_and(|reply| reply == long_value);
        served_in_a_row = if is_served { served_in_a_row + 1 } else { 0 };
        served_in_a_row == SERVED_IN_A_ROW
    });
}
