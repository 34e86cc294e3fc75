//! What the tests share: fake servers and discovery, the router as a process, and its clients.

mod client;
mod discovery;
mod process;
mod servers;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

pub use client::{Client, PING, command, read, read_within, write};
pub use discovery::{
    FakeDiscovery, UNAVAILABLE, endpoint, endpoint_list, keep_watch_open, watch_head, watch_with,
};
pub use process::{LogReader, RouterProcess, StartOptions, config_file, send_signal, settings};
pub use servers::{
    Behaviour, FakeServer, Gate, cache_server, failing_origin, hit, http, miss, origin_server,
};

/// Longer than anything here takes, on the busiest machine.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A router between a cache server, an origin and discovery, all of them fakes.
pub struct Cluster {
    /// First, so that it is dropped before what it calls.
    pub router: RouterProcess,
    pub cache: FakeServer,
    pub origin: FakeServer,
    #[expect(dead_code, reason = "its watch is open for as long as it is kept")]
    discovery: FakeDiscovery,
}

impl Cluster {
    /// With a cache server, and an origin that fails each request.
    pub fn with_cache(cache: FakeServer) -> Cluster {
        Cluster::start(cache, failing_origin())
    }

    /// With a cache server and an origin.
    pub fn start(cache: FakeServer, origin: FakeServer) -> Cluster {
        Cluster::start_with(cache, origin, StartOptions::default())
    }

    /// With a cache server, an origin that fails each request, and options of the router.
    pub fn with_cache_and_options(cache: FakeServer, options: StartOptions) -> Cluster {
        Cluster::start_with(cache, failing_origin(), options)
    }

    fn start_with(cache: FakeServer, origin: FakeServer, options: StartOptions) -> Cluster {
        let discovery = FakeDiscovery::unchanging();
        let cached_list = complete_list(&cache, &origin);
        let router = RouterProcess::start_with(discovery.address, &cached_list, options);
        Cluster {
            router,
            cache,
            origin,
            discovery,
        }
    }

    /// A new client of the router.
    pub fn client(&self) -> Client {
        self.router.client()
    }
}

/// Two cache servers that respond with `first` and `second`, and an origin that fails each request.
pub struct TwoCaches {
    pub first: FakeServer,
    pub second: FakeServer,
    pub origin: FakeServer,
}

impl TwoCaches {
    pub fn new() -> TwoCaches {
        TwoCaches {
            first: cache_server(|_| Behaviour::Respond(hit("first"))),
            second: cache_server(|_| Behaviour::Respond(hit("second"))),
            origin: failing_origin(),
        }
    }

    /// The endpoints, with a status of the first cache server.
    pub fn endpoints(&self, status_of_first: &str) -> [String; 3] {
        [
            endpoint("s-1", self.first.address, "std", status_of_first),
            endpoint("s-2", self.second.address, "std", "active"),
            endpoint("o-1", self.origin.address, "origin", "active"),
        ]
    }
}

/// Reads 40 keys; how many of them the first of two cache servers served.
pub fn reads_served_by_first(client: &mut Client) -> usize {
    let mut replies = Vec::new();
    for key in 0..40 {
        let reply = client.ask(&read(&format!("{key:x}"), "1"));
        replies.push(reply.unwrap_or_else(|| panic!("connection closed after {replies:?}")));
    }
    replies.iter().filter(|reply| *reply == "first").count()
}

/// The complete endpoint list, of version 5, with one cache server and an origin.
pub fn complete_list(cache: &FakeServer, origin: &FakeServer) -> String {
    let endpoints = [
        endpoint("s-1", cache.address, "std", "active"),
        endpoint("o-1", origin.address, "origin", "active"),
    ];
    endpoint_list(5, true, &endpoints)
}

/// An address that refuses connections, as a machine without the service does. It is reserved for as long as it is kept:
/// the system would give a free one to another test's server.
pub struct RefusingAddress {
    pub address: SocketAddr,
    #[expect(dead_code, reason = "held for its drop")]
    socket: Socket,
}

impl RefusingAddress {
    pub fn new() -> RefusingAddress {
        // Bound, but not listened on.
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any_port.into()).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        RefusingAddress { address, socket }
    }
}

/// Waits until a condition holds.
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < end, "{description}");
        std::thread::sleep(Duration::from_millis(2));
    }
}
