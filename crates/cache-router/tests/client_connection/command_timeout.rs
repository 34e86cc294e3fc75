//! The timeout for clients that do not complete a command.

use std::time::Duration;

use cache_router::client_connection::COMMAND_TIMEOUT;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

use crate::support::{PING, VALUE_REPLY, closed_after, connected, get, reply};

/// A silent peer has to be closed within this time.
const MAX_CLOSE_DELAY: Duration = Duration::from_secs(3);

#[tokio::test(start_paused = true)]
async fn a_peer_that_sends_nothing_is_closed_in_time_and_frees_its_slot() {
    let (mut peer, harness) = connected().await;
    let started_at = Instant::now();
    assert!(closed_after(&mut peer).await <= MAX_CLOSE_DELAY);
    // The peer keeps its side open, so the router lingers before it frees the slot.
    tokio::time::sleep_until(started_at + MAX_CLOSE_DELAY).await;
    assert_eq!(harness.context.connection_slots.available_permits(), 4);
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
    let (started_at, mut buffer) = (Instant::now(), [0; 16]);
    let end = tokio::time::timeout(Duration::from_secs(60), reader.read(&mut buffer)).await;
    assert!(
        end.is_ok() && started_at.elapsed() <= MAX_CLOSE_DELAY,
        "{end:?} after {:?}",
        started_at.elapsed()
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
    assert!(closed_after(&mut client).await <= MAX_CLOSE_DELAY);
}

#[tokio::test(start_paused = true)]
async fn a_client_waiting_for_a_reply_is_not_closed_by_the_command_timeout() {
    let (mut client, mut harness) = connected().await;
    client.write_all(&get(1)).await.unwrap();
    let request = harness.next_requests(1).await.remove(0);
    tokio::time::sleep(Duration::from_secs(8)).await;
    reply(&request, VALUE_REPLY).await;
    let mut answer = [0; 7];
    client.read_exact(&mut answer).await.unwrap();
    assert_eq!(&answer, b"$1\r\nv\r\n");
}

#[tokio::test(start_paused = true)]
async fn a_command_left_incomplete_behind_a_request_is_answered_as_soon_as_the_request_is() {
    // After the timeout the rest of the command is missing, arrives in part or arrives completely.
    for later in [&b""[..], &get(2)[9..12], &get(2)[9..]] {
        let (mut client, mut harness) = connected().await;
        client
            .write_all(&[get(1), get(2)[..9].to_vec()].concat())
            .await
            .unwrap();
        let request = harness.next_requests(1).await.remove(0);
        tokio::time::sleep(MAX_CLOSE_DELAY).await;
        client.write_all(later).await.unwrap();
        tokio::time::sleep(Duration::from_secs(4)).await;
        reply(&request, VALUE_REPLY).await;
        let answered_at = Instant::now();
        let mut received = Vec::new();
        client.read_to_end(&mut received).await.unwrap();
        let received = String::from_utf8(received).unwrap();
        assert_eq!(received, "$1\r\nv\r\n-ERR command not complete in time\r\n");
        assert!(answered_at.elapsed() <= Duration::from_millis(100));
        assert!(harness.events.try_recv().is_err(), "{later:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_command_that_the_kernel_received_before_its_time_was_over_is_served() {
    let started_at = Instant::now();
    let (mut client, mut harness) = connected().await;
    client.write_all(&get(1)[..9]).await.unwrap();
    tokio::time::sleep_until(started_at + COMMAND_TIMEOUT).await;
    // The rest is written before the connection's task reads again. The next command has its own timeout.
    let client = client.into_std().unwrap();
    let rest = [&get(1)[9..], &get(2)[..9]].concat();
    std::io::Write::write_all(&mut &client, &rest).unwrap();
    harness.next_requests(1).await;
    tokio::time::sleep(COMMAND_TIMEOUT / 2).await;
    std::io::Write::write_all(&mut &client, &get(2)[9..]).unwrap();
    harness.next_requests(1).await;
}
