//! Arrival times of requests, requests received in pieces, and clients that do not read their replies.

use std::time::Duration;

use bytes::Bytes;
use cache_router::client_connection::arrival_times::ArrivalTimes;
use cache_router::client_connection::output::ClientOutput;
use cache_router::client_connection::reply_queue::ReplyQueue;
use cache_router::client_connection::{MAX_PIPELINED, OUTPUT_STALL_TIMEOUT};
use cache_router::lifecycle::LifecyclePhase;
use cache_router::memory_budget::MemoryBudget;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

use crate::support::{PING, VALUE_REPLY, connected, get, reply};

#[tokio::test(start_paused = true)]
async fn the_time_of_a_request_that_waits_for_a_slot_counts_from_its_arrival() {
    let (mut client, mut harness) = connected().await;
    client
        .write_all(&(0..=MAX_PIPELINED).flat_map(get).collect::<Vec<_>>())
        .await
        .unwrap();
    let first = harness.next_requests(16).await;
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    let arrived_at = harness.context.clock.now();
    let remaining = harness.next_requests(MAX_PIPELINED - 16).await;
    // Waits in real time, which the router's clock measures.
    while harness.context.clock.now() < arrived_at + 50_000 {
        tokio::task::yield_now().await;
    }
    for request in first.iter().chain(&remaining) {
        reply(request, VALUE_REPLY).await;
    }
    let last = harness.next_requests(1).await.remove(0);
    assert!(
        last.received_at <= arrived_at,
        "{} us after it arrived",
        last.received_at - arrived_at
    );
}

#[test]
fn requests_read_ahead_one_by_one_keep_their_arrival_times() {
    let mut arrival_times = ArrivalTimes::new(MemoryBudget::new(1024 * 1024));
    for number in 0..1_000 {
        arrival_times.add(60, number * 2_000);
    }
    for number in 0..1_000 {
        assert_eq!(arrival_times.take(60), Some(number * 2_000));
    }
    assert_eq!(arrival_times.take(60), None);
}

#[tokio::test(start_paused = true)]
async fn a_request_received_in_pieces_is_served_although_a_shutdown_begins_between_them() {
    for cut in 1..get(1).len() {
        let (mut client, mut harness) = connected().await;
        client.write_all(PING).await.unwrap();
        client.read_exact(&mut [0; 7]).await.unwrap();
        client.write_all(&get(1)[..cut]).await.unwrap();
        harness.lifecycle.send(LifecyclePhase::Draining).unwrap();
        for byte in &get(1)[cut..] {
            tokio::time::sleep(Duration::from_millis(5)).await;
            client
                .write_all(&[*byte])
                .await
                .unwrap_or_else(|e| panic!("cut at {cut}: {e}"));
        }
        let request = harness.next_requests(1).await.remove(0);
        reply(&request, VALUE_REPLY).await;
        let mut received = Vec::new();
        client.read_to_end(&mut received).await.unwrap();
        assert_eq!(received, b"$1\r\nv\r\n", "cut at {cut}");
    }
}

#[tokio::test(start_paused = true)]
async fn each_request_beyond_the_read_ahead_limit_has_exactly_one_reply() {
    const REQUESTS: usize = 10_000;
    let (client, mut harness) = connected().await;
    let (mut reader, mut writer) = client.into_split();
    let sender = tokio::spawn(async move {
        let all: Vec<u8> = (0..REQUESTS).flat_map(get).collect();
        writer.write_all(&all).await.unwrap();
        writer
    });
    let first = harness.next_requests(MAX_PIPELINED).await;
    let _writer = sender.await.unwrap();
    for request in &first {
        reply(request, VALUE_REPLY).await;
    }
    let answer_rest = async {
        loop {
            let request = harness.next_requests(1).await.remove(0);
            reply(&request, VALUE_REPLY).await;
        }
    };
    let count_replies = async {
        let mut received = Vec::new();
        while received
            .iter()
            .filter(|byte| **byte == b'v' || **byte == b'B')
            .count()
            < REQUESTS
        {
            assert_ne!(reader.read_buf(&mut received).await.unwrap(), 0);
        }
        String::from_utf8(received).unwrap()
    };
    let received = tokio::select! {
        received = count_replies => received,
        () = answer_rest => unreachable!("the loop never ends"),
    };
    let served = received.matches("$1\r\nv\r\n").count();
    let rejected = received.matches("-BUSY\r\n").count();
    assert_eq!(served + rejected, REQUESTS);
    assert!(
        served > MAX_PIPELINED && rejected > 0,
        "{served} served, {rejected} rejected"
    );
}

#[tokio::test(start_paused = true)]
async fn the_stall_timeout_of_a_reply_starts_when_the_reply_is_queued_for_output() {
    let mut replies = ReplyQueue::default();
    let mut output = ClientOutput::default();
    tokio::time::sleep(OUTPUT_STALL_TIMEOUT * 2).await;
    replies.push_ready(VALUE_REPLY);
    output.take_ready(&mut replies);
    let would_block = |_: &[u8]| Err(std::io::ErrorKind::WouldBlock.into());
    assert!(matches!(output.write(would_block), Ok(false)));
    assert_eq!(
        output.stall_deadline(),
        Instant::now() + OUTPUT_STALL_TIMEOUT
    );
    // Further replies do not extend the deadline.
    tokio::time::sleep(OUTPUT_STALL_TIMEOUT).await;
    replies.push_ready(VALUE_REPLY);
    output.take_ready(&mut replies);
    assert_eq!(output.stall_deadline(), Instant::now());
}

#[tokio::test(start_paused = true)]
async fn a_client_that_takes_no_replies_is_cut_off_although_it_goes_on_sending() {
    let (client, mut harness) = connected().await;
    let (_reader, mut writer) = client.into_split();
    writer.write_all(&get(1)).await.unwrap();
    let request = harness.next_requests(1).await.remove(0);
    let value = Bytes::from(vec![b'v'; 32 * 1024 * 1024]);
    reply(&request, value).await;
    let since = Instant::now();
    let sender = tokio::spawn(async move {
        while writer.write_all(PING).await.is_ok() {
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    });
    harness.wait_for_disconnect().await;
    assert!(
        since.elapsed() <= OUTPUT_STALL_TIMEOUT + Duration::from_secs(2),
        "after {:?}",
        since.elapsed()
    );
    sender.abort();
}
