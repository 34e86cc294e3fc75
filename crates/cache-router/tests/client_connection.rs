//! Connections of clients and the listener, driven by hand in paused time.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cache_router::client_connection::{
    FIRST_COMMAND_GRACE, LINGER_AFTER_ERROR, MAX_PIPELINED, OUTPUT_STALL_TIMEOUT,
};
use cache_router::client_context::ClientContext;
use cache_router::clock::Clock;
use cache_router::lifecycle::LifecyclePhase;
use cache_router::listener::listen;
use cache_router::message::{ClientReply, ClientRequest, RouterEvent};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::Instant;

/// What surrounds the connections of a test: their events, what they share, and the phase of the lifecycle.
struct Surroundings {
    events: mpsc::Receiver<RouterEvent>,
    context: Arc<ClientContext>,
    lifecycle: watch::Sender<LifecyclePhase>,
}

/// A client that is connected to a listener of its own.
async fn connected() -> (TcpStream, Surroundings) {
    let (event_sender, events) = mpsc::channel(16);
    let (lifecycle_sender, lifecycle) = watch::channel(LifecyclePhase::Ready);
    let deployment = routing_policy::settings::read(br#"{"classes":[{"name":"read"}]}"#).unwrap();
    let context = Arc::new(ClientContext {
        deployment: Arc::new(deployment),
        clock: Clock::start(),
        events: event_sender,
        lifecycle,
        connection_slots: Arc::new(Semaphore::new(4)),
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
async fn closed_after(stream: &mut TcpStream) -> Duration {
    let (since, mut sink) = (Instant::now(), [0; 256]);
    let end = async { while matches!(stream.read(&mut sink).await, Ok(count) if count > 0) {} };
    tokio::time::timeout(Duration::from_secs(60), end)
        .await
        .expect("it is closed");
    since.elapsed()
}

const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
/// The operators' time within which a silent peer is closed.
const CLOSE_WITHIN: Duration = Duration::from_secs(3);
/// A reply with the value `v`.
const VALUE_REPLY: &[u8] = b"$1\r\nv\r\n";

/// Answers a request as the event loop would.
async fn reply(request: &ClientRequest, bytes: impl Into<Bytes>) {
    let reply = ClientReply {
        sequence: request.sequence,
        bytes: bytes.into(),
    };
    request.replies.send(reply).await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_sends_nothing_is_closed_in_time_and_frees_its_slot() {
    let (mut peer, surroundings) = connected().await;
    let since = Instant::now();
    assert!(closed_after(&mut peer).await <= CLOSE_WITHIN);
    // The peer keeps its side open, and is waited for a moment.
    tokio::time::sleep_until(since + CLOSE_WITHIN).await;
    assert_eq!(surroundings.context.connection_slots.available_permits(), 4);
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_sends_a_command_too_slowly_is_closed_in_time() {
    let (peer, _surroundings) = connected().await;
    let (mut reader, mut writer) = peer.into_split();
    let slow_sender = tokio::spawn(async move {
        for byte in b"*1\r\n$64\r\nxxxxxxxxxxxxxxxxxxxxxxxx" {
            if writer.write_all(&[*byte]).await.is_err() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        std::future::pending().await
    });
    let (since, mut sink) = (Instant::now(), [0; 16]);
    let end = tokio::time::timeout(Duration::from_secs(60), reader.read(&mut sink)).await;
    assert!(
        end.is_ok() && since.elapsed() <= CLOSE_WITHIN,
        "{end:?} after {:?}",
        since.elapsed()
    );
    slow_sender.abort();
}

#[tokio::test(start_paused = true)]
async fn a_client_that_was_served_may_be_idle_but_not_leave_a_command_incomplete() {
    let (mut client, _surroundings) = connected().await;
    let mut answer = [0; 7];
    for _ in 0..2 {
        client.write_all(PING).await.unwrap();
        client.read_exact(&mut answer).await.unwrap();
        assert_eq!(&answer, b"+PONG\r\n");
        tokio::time::sleep(Duration::from_secs(30)).await;
    }
    client.write_all(&PING[..9]).await.unwrap();
    assert!(closed_after(&mut client).await <= CLOSE_WITHIN);
}

#[tokio::test(start_paused = true)]
async fn a_shutdown_waits_a_moment_for_the_first_command_of_a_new_connection_but_not_for_the_next()
{
    let (mut client, surroundings) = connected().await;
    surroundings
        .lifecycle
        .send(LifecyclePhase::Draining)
        .unwrap();
    tokio::time::sleep(FIRST_COMMAND_GRACE / 2).await;
    client.write_all(PING).await.unwrap();
    let mut answer = [0; 7];
    client.read_exact(&mut answer).await.unwrap();
    assert_eq!(
        (&answer, closed_after(&mut client).await),
        (b"+PONG\r\n", Duration::ZERO)
    );
    let (mut silent, surroundings) = connected().await;
    surroundings
        .lifecycle
        .send(LifecyclePhase::Draining)
        .unwrap();
    assert_eq!(closed_after(&mut silent).await, FIRST_COMMAND_GRACE);
}

#[tokio::test(start_paused = true)]
async fn a_client_that_is_owed_a_reply_is_not_cut_off() {
    let (mut client, mut surroundings) = connected().await;
    let get = b"*4\r\n$7\r\nOBJ.GET\r\n$1\r\na\r\n$1\r\n1\r\n$13\r\nc=read,d=9000\r\n";
    client.write_all(get).await.unwrap();
    let Some(RouterEvent::ClientRequest(request)) = surroundings.events.recv().await else {
        panic!("no request")
    };
    tokio::time::sleep(Duration::from_secs(8)).await;
    reply(&request, VALUE_REPLY).await;
    let mut answer = [0; 7];
    client.read_exact(&mut answer).await.unwrap();
    assert_eq!(&answer, b"$1\r\nv\r\n");
}

// What a client's close, half-close or reset meets.

/// What the operators allow between a client's close and the last moment at which an attempt may begin for it.
const NOTIFY_WITHIN: Duration = Duration::from_millis(100);

/// A read of the key `a`.
fn get(id: usize) -> Vec<u8> {
    let id = id.to_string();
    format!(
        "*4\r\n$7\r\nOBJ.GET\r\n$1\r\na\r\n${}\r\n{id}\r\n$13\r\nc=read,d=9000\r\n",
        id.len()
    )
    .into_bytes()
}

/// The ways in which a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disconnect {
    Close,
    HalfClose,
    Reset,
}

impl Disconnect {
    const ALL: [Disconnect; 3] = [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset];

    /// Disconnects; what is returned keeps the half that stays open.
    async fn apply(self, mut client: TcpStream) -> Option<TcpStream> {
        match self {
            Disconnect::Close => drop(client),
            Disconnect::HalfClose => {
                client.shutdown().await.unwrap();
                return Some(client);
            }
            Disconnect::Reset => {
                client.set_zero_linger().unwrap();
                drop(client);
            }
        }
        None
    }
}

impl Surroundings {
    /// Waits for the report that the client disconnected. Returns how many requests came before it.
    async fn until_disconnected(&mut self) -> usize {
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
    async fn next_requests(&mut self, count: usize) -> Vec<Box<ClientRequest>> {
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

#[tokio::test(start_paused = true)]
async fn a_disconnect_with_all_reply_slots_taken_is_noticed_whatever_is_unread_before_it() {
    // No requests beyond the slots; as many as are read ahead; more than that.
    for (behind, disconnect) in [0, 100, 2_000]
        .into_iter()
        .flat_map(|n| Disconnect::ALL.map(|way| (n, way)))
    {
        let (mut client, mut surroundings) = connected().await;
        let all: Vec<u8> = (0..MAX_PIPELINED + behind).flat_map(get).collect();
        client.write_all(&all).await.unwrap();
        let taken = surroundings.next_requests(16).await.len();
        // All slots are taken once the event queue is full of their requests.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        let _half = disconnect.apply(client).await;
        let since = Instant::now();
        let request_count = taken + surroundings.until_disconnected().await;
        assert!(
            since.elapsed() <= NOTIFY_WITHIN,
            "{behind} {disconnect:?}: after {:?}",
            since.elapsed()
        );
        assert!(
            request_count <= MAX_PIPELINED,
            "{behind} {disconnect:?}: {request_count} reached the event loop"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_disconnect_of_a_client_that_takes_no_replies_or_lost_its_framing_is_noticed_too() {
    for disconnect in Disconnect::ALL {
        let (mut client, mut surroundings) = connected().await;
        client
            .write_all(&[get(1), b"rubbish\r\n".repeat(20)].concat())
            .await
            .unwrap();
        surroundings.next_requests(1).await;
        let _half = disconnect.apply(client).await;
        let since = Instant::now();
        assert_eq!(surroundings.until_disconnected().await, 0);
        assert!(
            since.elapsed() <= NOTIFY_WITHIN,
            "framing lost, {disconnect:?}: after {:?}",
            since.elapsed()
        );

        let (mut client, mut surroundings) = connected().await;
        client
            .write_all(&(0..MAX_PIPELINED).flat_map(get).collect::<Vec<_>>())
            .await
            .unwrap();
        let value = Bytes::from(vec![b'v'; 1024 * 1024]);
        for request in surroundings.next_requests(MAX_PIPELINED).await {
            reply(&request, value.clone()).await;
        }
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        client
            .write_all(&(0..1_000).flat_map(get).collect::<Vec<_>>())
            .await
            .unwrap();
        let _half = disconnect.apply(client).await;
        let since = Instant::now();
        surroundings.until_disconnected().await;
        assert!(
            since.elapsed() <= NOTIFY_WITHIN,
            "takes nothing, {disconnect:?}: after {:?}",
            since.elapsed()
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_is_read_together_with_a_disconnect_never_reaches_the_event_loop() {
    for disconnect in Disconnect::ALL {
        let (client, mut surroundings) = connected().await;
        // Accepted before anything is sent, so that both are there when the connection next reads.
        tokio::task::yield_now().await;
        let client = client.into_std().unwrap();
        std::io::Write::write_all(&mut &client, &get(1)).unwrap();
        let _half = disconnect.apply(TcpStream::from_std(client).unwrap()).await;
        assert_eq!(surroundings.until_disconnected().await, 0, "{disconnect:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn the_reply_channel_closes_before_the_report_of_a_disconnect_is_received() {
    let (mut client, mut surroundings) = connected().await;
    client.write_all(&get(1)).await.unwrap();
    let request = surroundings.next_requests(1).await.remove(0);
    // The event queue is full.
    while surroundings
        .context
        .events
        .try_send(RouterEvent::Terminate)
        .is_ok()
    {}
    drop(client);
    let left = Instant::now();
    while !request.replies.is_closed() {
        tokio::time::sleep(Duration::from_millis(1)).await;
        assert!(left.elapsed() <= NOTIFY_WITHIN);
    }
    while let Some(RouterEvent::Terminate) = surroundings.events.recv().await {}
}

#[tokio::test(start_paused = true)]
async fn the_time_of_a_request_that_waits_for_a_slot_counts_from_its_arrival() {
    let (mut client, mut surroundings) = connected().await;
    client
        .write_all(&(0..=MAX_PIPELINED).flat_map(get).collect::<Vec<_>>())
        .await
        .unwrap();
    let first = surroundings.next_requests(16).await;
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    let came = surroundings.context.clock.now();
    let remaining = surroundings.next_requests(MAX_PIPELINED - 16).await;
    // In real time, which the router's clock counts in.
    while surroundings.context.clock.now() < came + 50_000 {
        tokio::task::yield_now().await;
    }
    for request in first.iter().chain(&remaining) {
        reply(request, VALUE_REPLY).await;
    }
    let last = surroundings.next_requests(1).await.remove(0);
    assert!(
        last.received_at <= came,
        "{} us after it came",
        last.received_at - came
    );
}

#[tokio::test(start_paused = true)]
async fn a_request_in_pieces_is_served_although_a_shutdown_begins_between_two_of_them() {
    for cut in 1..get(1).len() {
        let (mut client, mut surroundings) = connected().await;
        client.write_all(PING).await.unwrap();
        client.read_exact(&mut [0; 7]).await.unwrap();
        client.write_all(&get(1)[..cut]).await.unwrap();
        surroundings
            .lifecycle
            .send(LifecyclePhase::Draining)
            .unwrap();
        for byte in &get(1)[cut..] {
            tokio::time::sleep(Duration::from_millis(5)).await;
            client
                .write_all(&[*byte])
                .await
                .unwrap_or_else(|e| panic!("cut at {cut}: {e}"));
        }
        let request = surroundings.next_requests(1).await.remove(0);
        reply(&request, VALUE_REPLY).await;
        let mut received = Vec::new();
        client.read_to_end(&mut received).await.unwrap();
        assert_eq!(received, b"$1\r\nv\r\n", "cut at {cut}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_close_between_requests_loses_no_reply_whatever_crosses_it() {
    // By a shutdown, and by a new client where all slots are taken.
    for by_new_client in [false, true] {
        let (mut client, surroundings) = connected().await;
        client.write_all(PING).await.unwrap();
        while surroundings.context.idle_connections.count() == 0 {
            tokio::task::yield_now().await;
        }
        // The client has not read the reply yet.
        match by_new_client {
            true => assert!(surroundings.context.idle_connections.ask_one_to_close()),
            false => surroundings
                .lifecycle
                .send(LifecyclePhase::Draining)
                .unwrap(),
        }
        let mut first = [0; 7];
        client.read_exact(&mut first[..1]).await.unwrap();
        // The router has closed its side when the next request comes.
        while client.peek(&mut [0; 16]).await.unwrap() > 6 {
            tokio::task::yield_now().await;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        client.write_all(&get(2)).await.unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
        client.write_all(&get(3)).await.unwrap();
        let mut received = Vec::new();
        client
            .read_to_end(&mut received)
            .await
            .expect("an end, not a reset");
        assert_eq!(received, b"PONG\r\n");
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_the_kernel_received_before_its_idle_connection_is_closed_is_served() {
    for by_new_client in [false, true] {
        let (mut client, mut surroundings) = connected().await;
        client.write_all(PING).await.unwrap();
        client.read_exact(&mut [0; 7]).await.unwrap();
        // At one moment, before the connection reads again.
        let client = client.into_std().unwrap();
        match by_new_client {
            true => assert!(surroundings.context.idle_connections.ask_one_to_close()),
            false => surroundings
                .lifecycle
                .send(LifecyclePhase::Draining)
                .unwrap(),
        }
        std::io::Write::write_all(&mut &client, &get(1)).unwrap();
        assert_eq!(
            surroundings.next_requests(1).await.len(),
            1,
            "by a new client: {by_new_client}"
        );
    }
}

/// The first client and as many more as take all slots.
async fn take_all_slots(first: TcpStream) -> Vec<TcpStream> {
    let address = first.peer_addr().unwrap();
    let mut clients = vec![first];
    for _ in 1..4 {
        clients.push(TcpStream::connect(address).await.unwrap());
    }
    clients
}

#[tokio::test(start_paused = true)]
async fn with_all_slots_taken_the_connection_that_was_idle_for_longest_closes_and_no_other_later() {
    let (first, _surroundings) = connected().await;
    let address = first.peer_addr().unwrap();
    let mut clients = take_all_slots(first).await;
    // The second is idle for longest, the first has been busy since.
    for number in [1, 0, 2, 3, 0] {
        clients[number].write_all(PING).await.unwrap();
        clients[number].read_exact(&mut [0; 7]).await.unwrap();
    }
    let mut new_client = TcpStream::connect(address).await.unwrap();
    new_client.write_all(PING).await.unwrap();
    new_client.read_exact(&mut [0; 7]).await.unwrap();
    let is_closed = async |client: &mut TcpStream| {
        matches!(
            tokio::time::timeout(Duration::from_secs(30), client.read(&mut [0; 8])).await,
            Ok(Ok(0))
        )
    };
    assert!(
        is_closed(&mut clients[1]).await,
        "the one that was idle for longest"
    );
    // Slots are free again: no connection is asked to close by a request that was left over.
    drop(new_client);
    clients.remove(1);
    let mut remaining = 0;
    for client in &mut clients {
        remaining += usize::from(!is_closed(client).await);
    }
    assert!(
        remaining >= 2,
        "{remaining} of three stay; one more may be asked while the new client is there"
    );
}

#[tokio::test(start_paused = true)]
async fn idle_clients_in_all_slots_keep_no_new_client_waiting_during_a_shutdown() {
    let (first, surroundings) = connected().await;
    let address = first.peer_addr().unwrap();
    let mut idle_clients = take_all_slots(first).await;
    for client in &mut idle_clients {
        client.write_all(PING).await.unwrap();
        client.read_exact(&mut [0; 7]).await.unwrap();
    }
    // The kernel has accepted these, the router has not.
    let mut new_clients = Vec::new();
    for _ in 0..3 {
        let mut client = TcpStream::connect(address).await.unwrap();
        client.write_all(PING).await.unwrap();
        new_clients.push(client);
    }
    surroundings
        .lifecycle
        .send(LifecyclePhase::Draining)
        .unwrap();
    let since = Instant::now();
    for client in &mut new_clients {
        let mut answer = [0; 7];
        client
            .read_exact(&mut answer)
            .await
            .expect("it is accepted and answered");
        assert_eq!(&answer, b"+PONG\r\n");
    }
    assert!(
        since.elapsed() <= LINGER_AFTER_ERROR * 2,
        "after {:?}",
        since.elapsed()
    );
}

#[tokio::test(start_paused = true)]
async fn a_client_that_never_stops_sending_has_its_last_reply_and_an_orderly_close_when_the_time_is_up()
 {
    let (mut client, mut surroundings) = connected().await;
    client.write_all(&[get(1), get(2)].concat()).await.unwrap();
    let first = surroundings.next_requests(2).await;
    surroundings
        .lifecycle
        .send(LifecyclePhase::Draining)
        .unwrap();
    client.write_all(&get(3)).await.unwrap();
    let third = surroundings.next_requests(1).await;
    surroundings
        .lifecycle
        .send(LifecyclePhase::Closing)
        .unwrap();
    tokio::time::sleep(Duration::from_millis(5)).await;
    client.write_all(&get(4)).await.unwrap();
    tokio::time::sleep(Duration::from_millis(5)).await;
    for request in first.iter().chain(&third) {
        reply(request, VALUE_REPLY).await;
    }
    let mut received = Vec::new();
    client
        .read_to_end(&mut received)
        .await
        .expect("an end, not a reset");
    assert_eq!(
        received,
        b"$1\r\nv\r\n".repeat(3),
        "and the fourth was never accepted"
    );
    assert!(surroundings.events.try_recv().is_err());
}

#[tokio::test(start_paused = true)]
async fn a_client_that_takes_no_replies_is_cut_off_although_it_goes_on_sending() {
    let (client, mut surroundings) = connected().await;
    let (_reader, mut writer) = client.into_split();
    writer.write_all(&get(1)).await.unwrap();
    let request = surroundings.next_requests(1).await.remove(0);
    let value = Bytes::from(vec![b'v'; 32 * 1024 * 1024]);
    reply(&request, value).await;
    let since = Instant::now();
    let sender = tokio::spawn(async move {
        while writer.write_all(PING).await.is_ok() {
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    });
    surroundings.until_disconnected().await;
    assert!(
        since.elapsed() <= OUTPUT_STALL_TIMEOUT + Duration::from_secs(2),
        "after {:?}",
        since.elapsed()
    );
    sender.abort();
}
