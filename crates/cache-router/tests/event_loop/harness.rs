//! An event loop that a test drives step by step, with one cache server and one client.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cache_router::clock::Clock;
use cache_router::connection_pool::{ConnectionPool, ConnectionState};
use cache_router::event_loop::in_flight::InFlight;
use cache_router::event_loop::timers::Timer;
use cache_router::event_loop::{EventLoop, EventLoopConfig, STALL_THRESHOLD};
use cache_router::lifecycle::LifecyclePhase;
use cache_router::memory_budget::MemoryBudget;
use cache_router::message::{
    AttemptId, ClientCommand, ClientDisconnect, ClientId, ClientReply, ClientRequest, ConnectionId,
    DisconnectCause, DiscoveredEndpoint, EndpointListUpdate, Reply, RouterEvent,
};
use cache_router::trace::Trace;
use cache_router::unread_input::UnreadInput;
use routing_policy::{AttemptStatus, ListUpdate, Micros, RequestId, ServerId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// Longer than any of the tests runs, in microseconds: the deadline, latency objective and timeouts in the settings.
pub const LONG_TIME: Micros = 600_000_000;
/// Longer than any step of a test takes.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// The id of the client's connection.
pub const CLIENT: ClientId = 1;
/// The id of the first connection that a pool opens.
pub const FIRST_CONNECTION: ConnectionId = 1;
/// A cache server's response with the value `v`.
pub const RESPONSE: &[u8] = b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n";
/// The value of [`RESPONSE`].
pub const VALUE: &[u8] = b"v";

/// An event loop with its client and its cache server.
pub struct Harness {
    pub event_loop: EventLoop,
    pub clock: Clock,
    pub events: mpsc::Receiver<RouterEvent>,
    pub event_sender: mpsc::Sender<RouterEvent>,
    pub cache: TcpListener,
    pub replies: mpsc::Receiver<ClientReply>,
    pub reply_sender: mpsc::Sender<ClientReply>,
    requests_sent: RequestId,
}

impl Harness {
    pub async fn new() -> Self {
        Harness::with_connect_timeout(LONG_TIME).await
    }

    /// Creates a harness with a connect timeout in microseconds.
    pub async fn with_connect_timeout(timeout: Micros) -> Self {
        let cache = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let settings = format!(
            r#"{{"classes":[{{"name":"read","effect":"pure","goalTimeUs":{LONG_TIME},"deadlineUs":{LONG_TIME}}}],
            "limits":{{"maxAttempts":4,"connectTimeoutUs":{timeout},"idleCloseUs":{LONG_TIME}}}}}"#
        );
        let deployment = routing_policy::settings::read(settings.as_bytes()).unwrap();
        let (event_sender, events) = mpsc::channel(64);
        let clock = Clock::start();
        let mut event_loop = EventLoop::new(EventLoopConfig {
            deployment: Arc::new(deployment),
            seed: 1,
            discovery: cache.local_addr().unwrap(),
            cached_list: EndpointListUpdate::default(),
            max_server_connections: 16,
            reply_memory: MemoryBudget::new(1024 * 1024),
            memory_usage: Arc::default(),
            bulk_turns: Arc::default(),
            events: event_sender.clone(),
            phase: watch::channel(LifecyclePhase::Starting).0,
            clock,
            trace: Trace::new(false),
        });
        let list = EndpointListUpdate {
            version: 1,
            is_complete: true,
            endpoints: vec![endpoint(&cache, "active")],
        };
        event_loop.apply_endpoint_list(&list, ListUpdate::Full);
        let (reply_sender, replies) = mpsc::channel(16);
        Harness {
            event_loop,
            clock,
            events,
            event_sender,
            cache,
            replies,
            reply_sender,
            requests_sent: 0,
        }
    }

    /// Creates a harness with an idle connection to the cache server, which has served one request.
    pub async fn with_idle_connection() -> (Self, TcpStream) {
        let mut harness = Harness::new().await;
        harness.request("0d");
        let mut stream = harness.accept().await;
        harness.step().await; // The connection is established.
        harness.serve(&mut stream, "0d").await;
        harness.replies.try_recv().unwrap();
        (harness, stream)
    }

    /// Sends a read from the client; returns the request's id.
    pub fn request(&mut self, client_id: &'static str) -> RequestId {
        self.request_with(ClientCommand {
            request_id: client_id.into(),
            ..read_command()
        })
    }

    /// Sends a command from the client; returns the request's id.
    pub fn request_with(&mut self, command: ClientCommand) -> RequestId {
        self.requests_sent += 1;
        let request = self.client_request(command, self.requests_sent);
        self.handle(RouterEvent::ClientRequest(Box::new(request)));
        self.requests_sent
    }

    /// Creates a request of the client that was received now.
    pub fn client_request(&self, command: ClientCommand, sequence: u64) -> ClientRequest {
        ClientRequest {
            unread_input: UnreadInput::default(),
            command,
            received_at: self.clock.now(),
            client: CLIENT,
            sequence,
            replies: self.reply_sender.clone(),
        }
    }

    /// Passes an event to the event loop.
    pub fn handle(&mut self, event: RouterEvent) {
        self.event_loop.handle_event(event);
    }

    /// Closes the client's connection.
    pub fn disconnect(&mut self) {
        self.handle(RouterEvent::ClientDisconnected(ClientDisconnect {
            client: CLIENT,
            at: self.clock.now(),
            cause: DisconnectCause::ClosedByClient,
        }));
    }

    /// Passes a timer to the event loop.
    pub fn handle_timer(&mut self, timer: Timer, now: Micros) {
        self.event_loop.handle_timer(timer, now);
    }

    /// Returns the next event that a task reports.
    pub async fn next_event(&mut self) -> RouterEvent {
        let next = tokio::time::timeout(STEP_TIMEOUT, self.events.recv()).await;
        next.expect("an event").unwrap()
    }

    /// Passes the next event that a task reports to the event loop.
    pub async fn step(&mut self) {
        let event = self.next_event().await;
        self.handle(event);
    }

    /// Accepts a connection at the cache server.
    pub async fn accept(&self) -> TcpStream {
        accept(&self.cache).await
    }

    /// Reads a request at the cache server, responds, and passes the response to the event loop.
    pub async fn serve(&mut self, stream: &mut TcpStream, client_id: &str) {
        read_request(stream, client_id).await;
        self.respond(stream).await;
    }

    /// Responds from the cache server, and passes the response to the event loop.
    pub async fn respond(&mut self, stream: &mut TcpStream) {
        stream.write_all(RESPONSE).await.unwrap();
        self.step().await;
    }

    /// Sends a read from the client, and requires that it is the next request that the cache server reads on a
    /// connection.
    pub async fn request_and_serve(&mut self, stream: &mut TcpStream, client_id: &'static str) {
        self.request(client_id);
        self.serve(stream, client_id).await;
    }

    /// Cancels the first attempt of a request, as the policy would, and completes the request.
    pub fn cancel(&mut self, request: RequestId) {
        self.give_up(request, AttemptStatus::Cancelled);
        let dispatcher = self.event_loop.dispatcher_mut();
        dispatcher.in_flight_mut().complete(request);
    }

    /// Gives up the first attempt of a request.
    pub fn give_up(&mut self, request: RequestId, status: AttemptStatus) {
        let attempt = first_attempt(request);
        self.event_loop.dispatcher_mut().give_up(attempt, status);
    }

    /// Applies a change of the endpoint list that concerns only the cache server.
    pub fn change_endpoint(&mut self, endpoint: DiscoveredEndpoint) {
        self.event_loop
            .apply_endpoint_list(&change(endpoint), ListUpdate::Delta);
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> &InFlight {
        self.event_loop.dispatcher().in_flight()
    }

    /// Returns when the first attempt of a request was sent.
    pub fn sent_at(&self, request: RequestId) -> Micros {
        let attempt = self.in_flight().attempt(first_attempt(request));
        attempt.unwrap().sent_at
    }

    /// Sets when the first attempt of a request was sent.
    pub fn set_sent_at(&mut self, request: RequestId, sent_at: Micros) {
        let in_flight = self.event_loop.dispatcher_mut().in_flight_mut();
        let attempt = in_flight.attempt_mut(first_attempt(request));
        attempt.unwrap().sent_at = sent_at;
    }

    /// Returns the connections to the cache server.
    pub fn pool(&self) -> &ConnectionPool {
        self.event_loop.dispatcher().pool()
    }

    /// Returns the connections to the cache server for modification.
    pub fn pool_mut(&mut self) -> &mut ConnectionPool {
        self.event_loop.dispatcher_mut().pool_mut()
    }

    /// Returns the state of the first connection.
    pub fn first_connection_state(&self) -> Option<ConnectionState> {
        let state = self.pool().state(FIRST_CONNECTION);
        state.map(|(_, state)| state)
    }

    /// Returns the id of the cache server.
    pub fn server(&self) -> ServerId {
        let mut ids = self.event_loop.dispatcher().endpoints().server_ids();
        ids.next().unwrap()
    }

    /// Requires that neither a request nor an attempt is in flight.
    pub fn assert_nothing_in_flight(&self) {
        assert_eq!(self.in_flight().attempt_count(), 0, "attempts");
        assert_eq!(self.in_flight().request_count(), 0, "requests");
    }

    /// Requires that the next reply rejects a request; returns its sequence.
    pub fn assert_rejected(&mut self) -> u64 {
        let reply = self.replies.try_recv().unwrap();
        let Reply::Encoded(line) = &reply.reply else {
            panic!("{reply:?}");
        };
        assert!(line.starts_with(b"-BUSY"), "{reply:?}");
        reply.sequence
    }

    /// Requires that the next reply is for a request.
    pub fn assert_reply_to(&mut self, request: RequestId) {
        assert_eq!(self.replies.try_recv().unwrap().sequence, request);
    }
}

/// Blocks all tasks of the process for longer than a decision to write is valid.
pub fn suspend_process() {
    std::thread::sleep(Duration::from_micros(STALL_THRESHOLD + 10_000));
}

/// Returns the id of the first attempt of a request.
pub fn first_attempt(request: RequestId) -> AttemptId {
    AttemptId { request, number: 0 }
}

/// Creates a read command.
pub fn read_command() -> ClientCommand {
    ClientCommand {
        key: Bytes::from_static(b"aa"),
        fields: "c=read".into(),
        remaining_deadline: LONG_TIME,
        ..ClientCommand::default()
    }
}

/// Creates the discovery entry of the cache server.
pub fn endpoint(cache: &TcpListener, status: &str) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        name: "s-1".into(),
        address: cache.local_addr().unwrap().to_string(),
        zone: String::new(),
        kind: String::new(),
        cell: 0,
        status: status.into(),
        weight: 1.0,
        started_ms: 0,
    }
}

/// Creates a change of the endpoint list.
pub fn change(endpoint: DiscoveredEndpoint) -> EndpointListUpdate {
    EndpointListUpdate {
        version: 2,
        is_complete: false,
        endpoints: vec![endpoint],
    }
}

/// Accepts the next connection to a server.
pub async fn accept(server: &TcpListener) -> TcpStream {
    let accepted = tokio::time::timeout(STEP_TIMEOUT, server.accept()).await;
    accepted.expect("a connection").unwrap().0
}

/// Reads the next command on a connection, which must be the read with the client's id.
pub async fn read_request(stream: &mut TcpStream, client_id: &str) {
    let mut received = Vec::new();
    while !received.ends_with(b"c=read\r\n") {
        let read = tokio::time::timeout(STEP_TIMEOUT, stream.read_buf(&mut received)).await;
        assert_ne!(read.expect("a command").unwrap(), 0, "connection closed");
    }
    let received = String::from_utf8(received).unwrap();
    assert!(
        received.starts_with("*4\r\n") && received.contains(&format!("\r\n{client_id}\r\n")),
        "{received:?}"
    );
}

/// Requires that a connection is closed, without another byte on it.
pub async fn assert_closed_unused(stream: &mut TcpStream) {
    assert_eq!(stream.read(&mut [0; 8]).await.unwrap(), 0, "closed");
}
