//! Shared test support: a connection with its harness, and the bytes that a client sends and receives.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cache_router::client_context::ClientContext;
use cache_router::clock::Clock;
use cache_router::lifecycle::LifecyclePhase;
use cache_router::listener::listen;
use cache_router::memory_budget::MemoryBudget;
use cache_router::message::{ClientReply, ClientRequest, Reply, RouterEvent};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::Instant;

pub const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// A reply with the value `v`.
pub const VALUE_REPLY: &[u8] = b"$1\r\nv\r\n";

/// A reply that rejects a request.
pub const BUSY_REPLY: &[u8] = b"-BUSY\r\n";

/// The environment of a test's connections: their events, their shared context and the phase of the lifecycle.
pub struct Harness {
    pub events: mpsc::Receiver<RouterEvent>,
    pub context: Arc<ClientContext>,
    pub lifecycle: watch::Sender<LifecyclePhase>,
}

impl Harness {
    /// Waits for the report that the client disconnected. Returns how many requests came before it.
    pub async fn wait_for_disconnect(&mut self) -> usize {
        let mut request_count = 0;
        loop {
            let input = tokio::time::timeout(Duration::from_secs(60), self.events.recv()).await;
            match input.expect("the disconnect is reported") {
                Some(RouterEvent::ClientRequest(_)) => request_count += 1,
                Some(RouterEvent::ClientDisconnected(_)) => return request_count,
                other => panic!("{other:?}"),
            }
        }
    }

    /// Receives the next requests.
    pub async fn next_requests(&mut self, count: usize) -> Vec<Box<ClientRequest>> {
        let mut requests = Vec::new();
        while requests.len() < count {
            let input = tokio::time::timeout(Duration::from_secs(60), self.events.recv()).await;
            match input.expect("a request") {
                Some(RouterEvent::ClientRequest(request)) => requests.push(request),
                other => panic!("expected a request, got {other:?}"),
            }
        }
        requests
    }
}

/// Connects a client to a new listener with four slots.
pub async fn connected() -> (TcpStream, Harness) {
    connected_with_slots(4).await
}

/// As [`connected`], with a given number of slots.
pub async fn connected_with_slots(slots: usize) -> (TcpStream, Harness) {
    let (event_sender, events) = mpsc::channel(16);
    let (lifecycle_sender, lifecycle) = watch::channel(LifecyclePhase::Ready);
    let deployment = routing_policy::settings::read(br#"{"classes":[{"name":"read"}]}"#).unwrap();
    let context = Arc::new(ClientContext {
        deployment: Arc::new(deployment),
        clock: Clock::start(),
        events: event_sender,
        lifecycle,
        connection_slots: Arc::new(Semaphore::new(slots)),
        reserved_slots: 1,
        closable_connections: Arc::default(),
        request_slots: Arc::new(Semaphore::new(1_024)),
        request_memory: MemoryBudget::new(1024 * 1024),
        reply_memory: MemoryBudget::new(1024 * 1024),
        memory_usage: Arc::default(),
        incomplete_commands: Arc::default(),
        bulk_turns: Arc::default(),
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(listen(listener, context.clone()));
    let stream = TcpStream::connect(address).await.unwrap();
    // The delay of Nagle's algorithm passes in real time, for which these tests do not wait.
    stream.set_nodelay(true).unwrap();
    (
        stream,
        Harness {
            events,
            context,
            lifecycle: lifecycle_sender,
        },
    )
}

/// Waits until the router closes a connection. Returns how long that took.
pub async fn closed_after(stream: &mut TcpStream) -> Duration {
    let (since, mut buffer) = (Instant::now(), [0; 256]);
    let end = async { while matches!(stream.read(&mut buffer).await, Ok(count) if count > 0) {} };
    tokio::time::timeout(Duration::from_secs(60), end)
        .await
        .expect("the router closes the connection");
    since.elapsed()
}

/// Connects more clients until all four slots are taken. Returns them together with the first one.
pub async fn take_all_slots(first: TcpStream) -> Vec<TcpStream> {
    let address = first.peer_addr().unwrap();
    let mut clients = vec![first];
    for _ in 1..4 {
        clients.push(TcpStream::connect(address).await.unwrap());
    }
    clients
}

/// Sends the reply to a request, as the event loop does.
pub async fn reply(request: &ClientRequest, bytes: impl Into<Bytes>) {
    let reply = ClientReply {
        sequence: request.sequence,
        reply: Reply::Encoded(bytes.into()),
    };
    request.replies.send(reply).await.unwrap();
}

/// A read of the key `a`.
pub fn get(id: usize) -> Vec<u8> {
    let id = id.to_string();
    format!(
        "*4\r\n$7\r\nOBJ.GET\r\n$1\r\na\r\n${}\r\n{id}\r\n$13\r\nc=read,d=9000\r\n",
        id.len()
    )
    .into_bytes()
}
