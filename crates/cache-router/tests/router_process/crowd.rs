//! A router with its servers, and clients of many kinds that hold what they can.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use crate::memory::VALUE_BYTES;
use crate::support::{
    Behaviour, FakeDiscovery, FakeServer, RouterProcess, StartOptions, cache_server, command,
    endpoint, endpoint_list, hit, miss, origin_server, settings,
};

/// How many cache servers there are.
const CACHE_SERVERS: usize = 4;
/// How many commands a client may have pending.
pub const MAX_PIPELINED: usize = 64;
/// The receive buffer of a client that reads nothing, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024;
/// How long a client tries to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// What a router may use.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Memory, in MiB.
    pub memory_mb: usize,
    /// Descriptors.
    pub sockets: usize,
}

/// A router with cache servers, and an origin that does not answer.
pub struct Fleet {
    /// The first field, so that the router is dropped before the servers that it calls.
    pub router: RouterProcess,
    pub servers: Vec<FakeServer>,
    discovery: FakeDiscovery,
    list: String,
    limits: Limits,
}

impl Fleet {
    pub fn start(limits: Limits) -> Fleet {
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
        Fleet {
            router: start_router(&discovery, &list, limits),
            servers,
            discovery,
            list,
            limits,
        }
    }

    /// Starts the router anew, with the list that it had.
    pub fn restart(&mut self) {
        self.router = start_router(&self.discovery, &self.list, self.limits);
    }
}

fn start_router(discovery: &FakeDiscovery, list: &str, limits: Limits) -> RouterProcess {
    let options = StartOptions {
        memory_mb: limits.memory_mb,
        sockets: limits.sockets,
        settings: settings().replace("1000.0", "100000.0"), // No request exceeds the tenant's quota.
        ..StartOptions::default()
    };
    RouterProcess::start_with(discovery.address, list, options)
}

/// Connects a client for which this machine buffers few replies; `None` if the router does not accept it.
pub fn try_connect(router: SocketAddr) -> Option<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
    socket
        .connect_timeout(&router.into(), CONNECT_TIMEOUT)
        .ok()?;
    socket.set_nonblocking(true).ok()?;
    Some(socket.into())
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

/// A read of a key, with a deadline of a minute.
pub fn read(key: &str, id: usize) -> Vec<u8> {
    let fields = "c=read,t=acme,d=60000";
    command(&["OBJ.GET", &format!("{key}{id}"), &format!("i{id}"), fields])
}

/// A write with the longest value and long arguments.
pub fn long_write() -> Vec<u8> {
    let long_argument = "a".repeat(512);
    let fields = format!("c=put,t=acme,d=8000,k=77,x={}", "x".repeat(480));
    let value = "v".repeat(VALUE_BYTES);
    command(&["OBJ.SET", &long_argument, &long_argument, &fields, &value])
}

/// A read that stays pending, and as many other commands as may be pending.
pub fn pending_commands() -> Vec<u8> {
    let unknown = command(&["UNKNOWN-COMMAND"]);
    [read("h", 1), unknown.repeat(MAX_PIPELINED - 1)].concat()
}

/// As many reads of long values as may be pending.
pub fn long_reads() -> Vec<u8> {
    (0..MAX_PIPELINED).flat_map(|id| read("b", id)).collect()
}
