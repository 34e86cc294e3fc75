//! How a connection reacts to a client's close, half-close or reset.

use std::time::Duration;

use bytes::Bytes;
use cache_router::client_connection::MAX_PIPELINED;
use cache_router::message::RouterEvent;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::support::{BUSY_REPLY, VALUE_REPLY, connected, connected_with_slots, get, reply};

/// No attempt may begin for a client later than this after its close.
const MAX_NOTIFY_DELAY: Duration = Duration::from_millis(100);

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disconnect {
    Close,
    HalfClose,
    Reset,
}

impl Disconnect {
    const ALL: [Disconnect; 3] = [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset];

    /// Disconnects. After a half-close, returns the stream to keep its other direction open.
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

#[tokio::test(start_paused = true)]
async fn a_disconnect_with_all_reply_slots_taken_is_noticed_whatever_is_unread_before_it() {
    // No requests beyond the reply slots, fewer than the read-ahead limit, and more than that.
    for (queued, disconnect) in [0, 100, 2_000]
        .into_iter()
        .flat_map(|n| Disconnect::ALL.map(|disconnect| (n, disconnect)))
    {
        let (mut client, mut harness) = connected().await;
        let all: Vec<u8> = (0..MAX_PIPELINED + queued).flat_map(get).collect();
        client.write_all(&all).await.unwrap();
        let taken = harness.next_requests(16).await.len();
        // Lets the connection take more requests, until all reply slots are taken or the event queue is full.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        let _open_half = disconnect.apply(client).await;
        let since = Instant::now();
        let request_count = taken + harness.wait_for_disconnect().await;
        assert!(
            since.elapsed() <= MAX_NOTIFY_DELAY,
            "{queued} {disconnect:?}: after {:?}",
            since.elapsed()
        );
        assert!(
            request_count <= MAX_PIPELINED,
            "{queued} {disconnect:?}: {request_count} reached the event loop"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_disconnect_of_a_client_that_takes_no_replies_or_lost_its_framing_is_noticed_too() {
    for disconnect in Disconnect::ALL {
        let (mut client, mut harness) = connected().await;
        client
            .write_all(&[get(1), b"rubbish\r\n".repeat(20)].concat())
            .await
            .unwrap();
        harness.next_requests(1).await;
        let _open_half = disconnect.apply(client).await;
        let since = Instant::now();
        assert_eq!(harness.wait_for_disconnect().await, 0);
        assert!(
            since.elapsed() <= MAX_NOTIFY_DELAY,
            "framing lost, {disconnect:?}: after {:?}",
            since.elapsed()
        );

        let (mut client, mut harness) = connected().await;
        client
            .write_all(&(0..MAX_PIPELINED).flat_map(get).collect::<Vec<_>>())
            .await
            .unwrap();
        let value = Bytes::from(vec![b'v'; 1024 * 1024]);
        for request in harness.next_requests(MAX_PIPELINED).await {
            reply(&request, value.clone()).await;
        }
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        client
            .write_all(&(0..1_000).flat_map(get).collect::<Vec<_>>())
            .await
            .unwrap();
        let _open_half = disconnect.apply(client).await;
        let since = Instant::now();
        harness.wait_for_disconnect().await;
        assert!(
            since.elapsed() <= MAX_NOTIFY_DELAY,
            "replies not read, {disconnect:?}: after {:?}",
            since.elapsed()
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_is_read_together_with_a_disconnect_never_reaches_the_event_loop() {
    for disconnect in Disconnect::ALL {
        let (client, mut harness) = connected().await;
        // The connection is accepted first, so that the request and the disconnect have both arrived when it reads.
        tokio::task::yield_now().await;
        let client = client.into_std().unwrap();
        std::io::Write::write_all(&mut &client, &get(1)).unwrap();
        let _open_half = disconnect.apply(TcpStream::from_std(client).unwrap()).await;
        assert_eq!(harness.wait_for_disconnect().await, 0, "{disconnect:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn the_reply_channel_closes_before_the_report_of_a_disconnect_is_received() {
    let (mut client, mut harness) = connected().await;
    client.write_all(&get(1)).await.unwrap();
    let request = harness.next_requests(1).await.remove(0);
    // Fills the event queue.
    while harness
        .context
        .events
        .try_send(RouterEvent::Terminate)
        .is_ok()
    {}
    drop(client);
    let disconnected_at = Instant::now();
    while !request.replies.is_closed() {
        tokio::time::sleep(Duration::from_millis(1)).await;
        assert!(disconnected_at.elapsed() <= MAX_NOTIFY_DELAY);
    }
    while let Some(RouterEvent::Terminate) = harness.events.recv().await {}
}

#[tokio::test(start_paused = true)]
async fn a_client_that_ends_its_sending_and_goes_on_reading_has_its_final_answers() {
    // No, some and many requests after those in progress; the last number exceeds the read-ahead limit.
    for queued in [0, 100, 2_000] {
        let (client, mut harness) = connected().await;
        let (mut reader, mut writer) = client.into_split();
        let all: Vec<u8> = (0..MAX_PIPELINED + queued).flat_map(get).collect();
        writer.write_all(&all).await.unwrap();
        let requests = harness.next_requests(MAX_PIPELINED).await;
        reply(&requests[0], VALUE_REPLY).await;
        reply(&requests[2], VALUE_REPLY).await;
        drop(writer);
        let mut received = Vec::new();
        reader.read_to_end(&mut received).await.unwrap();
        let received = String::from_utf8(received).unwrap();
        // The first reply frees a slot, so one more request is accepted.
        let count = |reply: &str| received.matches(reply).count();
        let accepted = MAX_PIPELINED + queued.min(1);
        assert!(received.starts_with("$1\r\nv\r\n-ERR failed\r\n$1\r\nv\r\n-ERR"));
        assert_eq!(count("-ERR failed\r\n"), accepted - 2, "{queued} queued");
        assert_eq!(count("-BUSY\r\n"), queued - queued.min(1));
        assert!(requests[1].replies.is_closed(), "no attempt is sent for it");
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_is_read_together_with_the_end_of_sending_is_rejected() {
    let (client, mut harness) = connected().await;
    tokio::task::yield_now().await;
    let client = client.into_std().unwrap();
    std::io::Write::write_all(&mut &client, &get(1)).unwrap();
    client.shutdown(std::net::Shutdown::Write).unwrap();
    let mut client = TcpStream::from_std(client).unwrap();
    let mut received = Vec::new();
    client.read_to_end(&mut received).await.unwrap();
    assert_eq!(received, BUSY_REPLY);
    assert_eq!(harness.wait_for_disconnect().await, 0);
}

#[tokio::test(start_paused = true)]
async fn a_disconnect_behind_more_input_than_all_buffers_hold_is_noticed() {
    const MEBIBYTE: usize = 1024 * 1024;
    for (megabytes, disconnect) in [1, 8]
        .into_iter()
        .flat_map(|n| Disconnect::ALL.map(|disconnect| (n, disconnect)))
    {
        let (mut client, mut harness) = connected().await;
        let all: Vec<u8> = (0..).flat_map(get).take(megabytes * MEBIBYTE).collect();
        let sends = client.write_all(&all);
        let taken = harness.next_requests(MAX_PIPELINED);
        let (sent, taken) =
            tokio::join!(tokio::time::timeout(Duration::from_secs(60), sends), taken);
        sent.expect("the connection reads all input").unwrap();
        let _open_half = disconnect.apply(client).await;
        let since = Instant::now();
        assert_eq!(harness.wait_for_disconnect().await, 0);
        assert!(
            since.elapsed() <= MAX_NOTIFY_DELAY,
            "{megabytes} MiB, {disconnect:?}: after {:?}",
            since.elapsed()
        );
        assert_eq!(taken.len(), MAX_PIPELINED);
    }
}

#[tokio::test(start_paused = true)]
async fn clients_that_leave_in_a_burst_revoke_all_sends_before_the_event_loop_hears_of_it() {
    const CLIENTS: usize = 300;
    for disconnect in Disconnect::ALL {
        let (first, mut harness) = connected_with_slots(CLIENTS + 2).await;
        let address = first.peer_addr().unwrap();
        let mut clients = vec![first];
        while clients.len() < CLIENTS {
            clients.push(TcpStream::connect(address).await.unwrap());
        }
        let mut requests = Vec::new();
        for client in &mut clients {
            client.write_all(&get(1)).await.unwrap();
            requests.extend(harness.next_requests(1).await);
        }
        let mut open_halves = Vec::new();
        for client in clients {
            open_halves.push(disconnect.apply(client).await);
        }
        let since = Instant::now();
        // The event queue holds far fewer events than there are clients in the burst.
        while !requests.iter().all(|request| request.replies.is_closed()) {
            tokio::time::sleep(Duration::from_millis(1)).await;
            assert!(since.elapsed() <= MAX_NOTIFY_DELAY, "{disconnect:?}");
        }
        for _ in 0..CLIENTS {
            harness.wait_for_disconnect().await;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_client_that_ends_its_sending_has_whole_replies_of_more_than_the_buffers_hold() {
    const REPLY_BYTES: usize = 16 * 1024 * 1024;
    let (client, mut harness) = connected().await;
    let (mut reader, mut writer) = client.into_split();
    writer.write_all(&[get(1), get(2)].concat()).await.unwrap();
    let request = harness.next_requests(2).await.remove(0);
    reply(&request, vec![b'v'; REPLY_BYTES]).await;
    drop(writer);
    let mut received = Vec::new();
    reader.read_to_end(&mut received).await.unwrap();
    assert_eq!(received.len(), REPLY_BYTES + b"-ERR failed\r\n".len());
}
