//! What a client's close, half-close or reset meets.

use std::time::Duration;

use bytes::Bytes;
use cache_router::client_connection::MAX_PIPELINED;
use cache_router::message::RouterEvent;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::support::{BUSY_REPLY, VALUE_REPLY, connected, connected_with_slots, get, reply};

/// What the operators allow between a client's close and the last moment at which an attempt may begin for it.
const NOTIFY_WITHIN: Duration = Duration::from_millis(100);

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
async fn a_client_that_ends_its_sending_and_goes_on_reading_has_its_final_answers() {
    // None and many behind those that are in service, up to more than is read ahead.
    for behind in [0, 100, 2_000] {
        let (client, mut surroundings) = connected().await;
        let (mut reader, mut writer) = client.into_split();
        let all: Vec<u8> = (0..MAX_PIPELINED + behind).flat_map(get).collect();
        writer.write_all(&all).await.unwrap();
        let requests = surroundings.next_requests(MAX_PIPELINED).await;
        reply(&requests[0], VALUE_REPLY).await;
        reply(&requests[2], VALUE_REPLY).await;
        drop(writer);
        let mut received = Vec::new();
        reader.read_to_end(&mut received).await.unwrap();
        let received = String::from_utf8(received).unwrap();
        // The first reply lets one more request be accepted.
        let count = |reply: &str| received.matches(reply).count();
        let accepted = MAX_PIPELINED + behind.min(1);
        assert!(received.starts_with("$1\r\nv\r\n-ERR failed\r\n$1\r\nv\r\n-ERR"));
        assert_eq!(count("-ERR failed\r\n"), accepted - 2, "{behind} behind");
        assert_eq!(count("-BUSY\r\n"), behind - behind.min(1));
        assert!(requests[1].replies.is_closed(), "nothing is sent for it");
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_is_read_together_with_the_end_of_sending_is_rejected() {
    let (client, mut surroundings) = connected().await;
    tokio::task::yield_now().await;
    let client = client.into_std().unwrap();
    std::io::Write::write_all(&mut &client, &get(1)).unwrap();
    client.shutdown(std::net::Shutdown::Write).unwrap();
    let mut client = TcpStream::from_std(client).unwrap();
    let mut received = Vec::new();
    client.read_to_end(&mut received).await.unwrap();
    assert_eq!(received, BUSY_REPLY);
    assert_eq!(surroundings.until_disconnected().await, 0);
}

#[tokio::test(start_paused = true)]
async fn a_disconnect_behind_more_input_than_all_buffers_hold_is_noticed() {
    const MEBIBYTE: usize = 1024 * 1024;
    for (megabytes, disconnect) in [1, 8]
        .into_iter()
        .flat_map(|n| Disconnect::ALL.map(|way| (n, way)))
    {
        let (mut client, mut surroundings) = connected().await;
        let all: Vec<u8> = (0..).flat_map(get).take(megabytes * MEBIBYTE).collect();
        let sends = client.write_all(&all);
        let taken = surroundings.next_requests(MAX_PIPELINED);
        let (sent, taken) =
            tokio::join!(tokio::time::timeout(Duration::from_secs(60), sends), taken);
        sent.expect("all is read").unwrap();
        let _half = disconnect.apply(client).await;
        let since = Instant::now();
        assert_eq!(surroundings.until_disconnected().await, 0);
        assert!(
            since.elapsed() <= NOTIFY_WITHIN,
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
        let (first, mut surroundings) = connected_with_slots(CLIENTS + 2).await;
        let address = first.peer_addr().unwrap();
        let mut clients = vec![first];
        while clients.len() < CLIENTS {
            clients.push(TcpStream::connect(address).await.unwrap());
        }
        let mut requests = Vec::new();
        for client in &mut clients {
            client.write_all(&get(1)).await.unwrap();
            requests.extend(surroundings.next_requests(1).await);
        }
        let mut halves = Vec::new();
        for client in clients {
            halves.push(disconnect.apply(client).await);
        }
        let since = Instant::now();
        // The queue of events holds far fewer than the burst.
        while !requests.iter().all(|request| request.replies.is_closed()) {
            tokio::time::sleep(Duration::from_millis(1)).await;
            assert!(since.elapsed() <= NOTIFY_WITHIN, "{disconnect:?}");
        }
        for _ in 0..CLIENTS {
            surroundings.until_disconnected().await;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_client_that_ends_its_sending_has_whole_replies_of_more_than_the_buffers_hold() {
    const REPLY_BYTES: usize = 16 * 1024 * 1024;
    let (client, mut surroundings) = connected().await;
    let (mut reader, mut writer) = client.into_split();
    writer.write_all(&[get(1), get(2)].concat()).await.unwrap();
    let request = surroundings.next_requests(2).await.remove(0);
    reply(&request, vec![b'v'; REPLY_BYTES]).await;
    drop(writer);
    let mut received = Vec::new();
    reader.read_to_end(&mut received).await.unwrap();
    assert_eq!(received.len(), REPLY_BYTES + b"-ERR failed\r\n".len());
}
