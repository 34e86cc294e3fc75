//! What the tests share: a connection with its surroundings, and what a client sends and receives.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cache_router::client_context::ClientContext;
use cache_router::clock::Clock;
use cache_router::lifecycle::LifecyclePhase;
use cache_router::listener::listen;
use cache_router::message::{ClientReply, ClientRequest, RouterEvent};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::Instant;

pub const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// A reply with the value `v`.
pub const VALUE_REPLY: &[u8] = b"$1\r\nv\r\n";

/// A reply that rejects a request.
pub const BUSY_REPLY: &[u8] = b"-BUSY\r\n";

/// What surrounds the connections of a test: their events, what they share, and the phase of the lifecycle.
pub struct Surroundings {
    pub events: mpsc::Receiver<RouterEvent>,
    pub context: Arc<ClientContext>,
    pub lifecycle: watch::Sender<LifecyclePhase>,
}

impl Surroundings {
    /// Waits for the report that the client disconnected. Returns how many requests came before it.
    pub async fn until_disconnected(&mut self) -> usize {
        let mut request_count = 0;
        loop {
            let input = tokio::time::timeout(Duration::from_secs(60), self.events.recv()).await;
            match input.expect("a report of the disconnect") {
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
                other => panic!("{other:?} and no request"),
            }
        }
        requests
    }
}

/// A client that is connected to a listener of its own, which has four slots.
pub async fn connected() -> (TcpStream, Surroundings) {
    connected_with_slots(4).await
}

/// The same with a number of slots.
pub async fn connected_with_slots(slots: usize) -> (TcpStream, Surroundings) {
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
        idle_connections: Arc::default(),
        request_slots: Arc::new(Semaphore::new(1_024)),
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(listen(listener, context.clone()));
    let stream = TcpStream::connect(address).await.unwrap();
    // What the kernel holds back would come in real time, which does not pass here.
    stream.set_nodelay(true).unwrap();
    (
        stream,
        Surroundings {
            events,
            context,
            lifecycle: lifecycle_sender,
        },
    )
}

/// How long until the router closes a connection.
pub async fn closed_after(stream: &mut TcpStream) -> Duration {
    let (since, mut sink) = (Instant::now(), [0; 256]);
    let end = async { while matches!(stream.read(&mut sink).await, Ok(count) if count > 0) {} };
    tokio::time::timeout(Duration::from_secs(60), end)
        .await
        .expect("it is closed");
    since.elapsed()
}

/// The first client and as many more as take all slots.
pub async fn take_all_slots(first: TcpStream) -> Vec<TcpStream> {
    let address = first.peer_addr().unwrap();
    let mut clients = vec![first];
    for _ in 1..4 {
        clients.push(TcpStream::connect(address).await.unwrap());
    }
    clients
}

/// Answers a request as the event loop would.
pub async fn reply(request: &ClientRequest, bytes: impl Into<Bytes>) {
    let reply = ClientReply {
        sequence: request.sequence,
        bytes: bytes.into(),
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
