//! Shared test support: fake servers and a fake discovery, the router as a process, and its clients.

mod client;
mod discovery;
mod process;
mod servers;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

pub use client::{Client, PING, command, read, read_with_deadline, read_with_fields, write};
pub use discovery::{
    FakeDiscovery, UNAVAILABLE, endpoint, endpoint_list, keep_watch_open, watch_head, watch_with,
};
pub use process::{
    LogReader, RouterProcess, StartOptions, allocated_kib, config_file, peak_kib, send_signal,
    settings, try_peak_kib,
};
pub use servers::{
    Behaviour, FakeServer, Gate, ReceivedRequest, cache_server, failing_origin, hit, http, miss,
    origin_server,
};

/// The timeout for any wait in these tests; longer than any of them takes on a busy machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A router with a fake cache server, a fake origin and a fake discovery.
pub struct Cluster {
    /// The first field, so that the router is dropped before the servers that it calls.
    pub router: RouterProcess,
    pub cache: FakeServer,
    pub origin: FakeServer,
    #[expect(dead_code, reason = "dropping it closes its watch")]
    discovery: FakeDiscovery,
}

impl Cluster {
    /// A cluster with an origin that fails each request.
    pub fn with_cache(cache: FakeServer) -> Cluster {
        Cluster::start(cache, failing_origin())
    }

    /// A cluster with default options of the router.
    pub fn start(cache: FakeServer, origin: FakeServer) -> Cluster {
        Cluster::start_with(cache, origin, StartOptions::default())
    }

    /// A cluster with an origin that fails each request, and with options of the router.
    pub fn with_cache_and_options(cache: FakeServer, options: StartOptions) -> Cluster {
        Cluster::start_with(cache, failing_origin(), options)
    }

    /// A cluster with options of the router.
    pub fn start_with(cache: FakeServer, origin: FakeServer, options: StartOptions) -> Cluster {
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

    /// Connects a new client to the router.
    pub fn client(&self) -> Client {
        self.router.client()
    }
}

/// Two cache servers that respond with `first` and `second`, and an origin that fails each request.
pub struct TwoCacheServers {
    pub first: FakeServer,
    pub second: FakeServer,
    pub origin: FakeServer,
}

impl TwoCacheServers {
    pub fn new() -> TwoCacheServers {
        TwoCacheServers {
            first: cache_server(|_| Behaviour::Respond(hit("first"))),
            second: cache_server(|_| Behaviour::Respond(hit("second"))),
            origin: failing_origin(),
        }
    }

    /// The endpoints, with the given status for the first cache server.
    pub fn endpoints(&self, status_of_first: &str) -> [String; 3] {
        [
            endpoint("s-1", self.first.address, "std", status_of_first),
            endpoint("s-2", self.second.address, "std", "active"),
            endpoint("o-1", self.origin.address, "origin", "active"),
        ]
    }
}

/// Reads 40 keys. Returns how many of them the first of two cache servers served.
pub fn reads_served_by_first(client: &mut Client) -> usize {
    let mut replies = Vec::new();
    for key in 0..40 {
        let reply = client.execute(&read(&format!("{key:x}"), "1"));
        replies.push(reply.unwrap_or_else(|| panic!("connection closed after {replies:?}")));
    }
    replies.iter().filter(|reply| *reply == "first").count()
}

/// A complete endpoint list of version 5 with one cache server and an origin.
pub fn complete_list(cache: &FakeServer, origin: &FakeServer) -> String {
    let endpoints = [
        endpoint("s-1", cache.address, "std", "active"),
        endpoint("o-1", origin.address, "origin", "active"),
    ];
    endpoint_list(5, true, &endpoints)
}

/// An address that refuses connections, like that of a machine on which the service does not run. It is reserved until
/// it is dropped: the system could give a free address to the server of another test.
pub struct RefusingAddress {
    pub address: SocketAddr,
    #[expect(dead_code, reason = "reserves the address until it is dropped")]
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
    let end = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "{description}");
        std::thread::sleep(Duration::from_millis(2));
    }
}
