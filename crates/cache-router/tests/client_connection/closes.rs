//! Connections that the router closes: during a shutdown, and to free a slot for a new client.

use std::time::Duration;

use cache_router::client_connection::{
    FIRST_COMMAND_GRACE, LINGER_AFTER_ERROR, MAX_PIPELINED, OUTPUT_STALL_TIMEOUT,
};
use cache_router::lifecycle::LifecyclePhase;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::support::{
    BUSY_REPLY, PING, VALUE_REPLY, closed_after, connected, get, reply, take_all_slots,
};

#[tokio::test(start_paused = true)]
async fn a_shutdown_gives_a_new_connection_a_grace_period_for_its_first_command_only() {
    let (mut client, harness) = connected().await;
    harness.lifecycle.send(LifecyclePhase::Draining).unwrap();
    tokio::time::sleep(FIRST_COMMAND_GRACE / 2).await;
    client.write_all(PING).await.unwrap();
    let mut answer = [0; 7];
    client.read_exact(&mut answer).await.unwrap();
    assert_eq!(
        (&answer, closed_after(&mut client).await),
        (b"+PONG\r\n", Duration::ZERO)
    );
    let (mut silent, harness) = connected().await;
    harness.lifecycle.send(LifecyclePhase::Draining).unwrap();
    assert_eq!(closed_after(&mut silent).await, FIRST_COMMAND_GRACE);
}

#[tokio::test(start_paused = true)]
async fn a_close_between_requests_loses_no_reply_whatever_crosses_it() {
    // The close is caused by a shutdown, or by a new client when all slots are taken.
    for by_new_client in [false, true] {
        let (mut client, harness) = connected().await;
        client.write_all(PING).await.unwrap();
        while harness.context.closable_connections.count() == 0 {
            tokio::task::yield_now().await;
        }
        // The client has not read the reply yet.
        match by_new_client {
            true => assert!(harness.context.closable_connections.request_close()),
            false => harness.lifecycle.send(LifecyclePhase::Draining).unwrap(),
        }
        let mut first = [0; 7];
        client.read_exact(&mut first[..1]).await.unwrap();
        // The next request has to arrive after the router has shut down its sending side.
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
            .expect("the connection ends without a reset");
        assert_eq!(received, b"PONG\r\n");
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_the_kernel_received_before_its_idle_connection_is_closed_is_served() {
    for by_new_client in [false, true] {
        let (mut client, mut harness) = connected().await;
        client.write_all(PING).await.unwrap();
        client.read_exact(&mut [0; 7]).await.unwrap();
        // The close is requested and the bytes are written before the connection's task runs again.
        let client = client.into_std().unwrap();
        match by_new_client {
            true => assert!(harness.context.closable_connections.request_close()),
            false => harness.lifecycle.send(LifecyclePhase::Draining).unwrap(),
        }
        std::io::Write::write_all(&mut &client, &get(1)).unwrap();
        assert_eq!(
            harness.next_requests(1).await.len(),
            1,
            "by a new client: {by_new_client}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_health_check_that_crosses_a_close_request_is_answered_and_the_connection_stays() {
    // Guards against a panic of the connection's task, which waited again for a close request that it had received.
    let (mut client, harness) = connected().await;
    client.write_all(PING).await.unwrap();
    client.read_exact(&mut [0; 7]).await.unwrap();
    while harness.context.closable_connections.count() == 0 {
        tokio::task::yield_now().await;
    }
    // The close is requested and the bytes are written before the connection's task runs again.
    let client = client.into_std().unwrap();
    assert!(harness.context.closable_connections.request_close());
    std::io::Write::write_all(&mut &client, PING).unwrap();
    let mut client = TcpStream::from_std(client).unwrap();
    client.read_exact(&mut [0; 7]).await.unwrap();
    let end = tokio::time::timeout(Duration::from_secs(1), client.read(&mut [0; 8])).await;
    assert!(end.is_err(), "{end:?}: it stays open");
}

#[tokio::test(start_paused = true)]
async fn with_all_slots_taken_the_longest_idle_connection_is_closed_and_no_other_once_slots_are_free()
 {
    let (first, _surroundings) = connected().await;
    let address = first.peer_addr().unwrap();
    let mut clients = take_all_slots(first).await;
    // The second client is idle for longest; the first was busy again later.
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
    // Slots are free again: no close request must remain that would close another connection.
    drop(new_client);
    clients.remove(1);
    let mut remaining = 0;
    for client in &mut clients {
        remaining += usize::from(!is_closed(client).await);
    }
    assert!(
        remaining >= 2,
        "{remaining} of three stay open; one more may be asked to close while the new client is connected"
    );
}

#[tokio::test(start_paused = true)]
async fn a_client_that_leaves_when_it_is_asked_to_close_costs_no_other_client_its_connection() {
    // Guards against a close request that is passed on although the connection has ended and its slot is free.
    let (mut first, harness) = connected().await;
    let mut second = TcpStream::connect(first.peer_addr().unwrap())
        .await
        .unwrap();
    for client in [&mut first, &mut second] {
        client.write_all(PING).await.unwrap();
        client.read_exact(&mut [0; 7]).await.unwrap();
    }
    while harness.context.closable_connections.count() < 2 {
        tokio::task::yield_now().await;
    }
    drop(first);
    // The first client has been idle for longest. Its connection has not seen the close yet.
    assert!(harness.context.closable_connections.request_close());
    let second_reads = tokio::time::timeout(Duration::from_secs(1), second.read(&mut [0; 8])).await;
    assert!(second_reads.is_err(), "{second_reads:?}: it stays open");
}

#[tokio::test(start_paused = true)]
async fn idle_clients_in_all_slots_keep_no_new_client_waiting_during_a_shutdown() {
    let (first, harness) = connected().await;
    let address = first.peer_addr().unwrap();
    let mut idle_clients = take_all_slots(first).await;
    for client in &mut idle_clients {
        client.write_all(PING).await.unwrap();
        client.read_exact(&mut [0; 7]).await.unwrap();
    }
    // The kernel has established these connections, but the router has not accepted them.
    let mut new_clients = Vec::new();
    for _ in 0..3 {
        let mut client = TcpStream::connect(address).await.unwrap();
        client.write_all(PING).await.unwrap();
        new_clients.push(client);
    }
    harness.lifecycle.send(LifecyclePhase::Draining).unwrap();
    let since = Instant::now();
    for client in &mut new_clients {
        let mut answer = [0; 7];
        client
            .read_exact(&mut answer)
            .await
            .expect("the connection is accepted and answered");
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
    let (mut client, mut harness) = connected().await;
    client.write_all(&[get(1), get(2)].concat()).await.unwrap();
    let first = harness.next_requests(2).await;
    harness.lifecycle.send(LifecyclePhase::Draining).unwrap();
    client.write_all(&get(3)).await.unwrap();
    let third = harness.next_requests(1).await;
    harness.lifecycle.send(LifecyclePhase::Closing).unwrap();
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
        .expect("the connection ends without a reset");
    assert_eq!(
        received,
        [&VALUE_REPLY.repeat(3), BUSY_REPLY].concat(),
        "the fourth request is rejected without being accepted"
    );
    assert!(harness.events.try_recv().is_err());
}

/// A number of requests that are served, followed by two complete requests and an incomplete one that are not.
fn requests_and_incomplete_command(served: usize) -> Vec<u8> {
    let all = (0..served + 2).flat_map(get);
    all.chain(get(99).into_iter().take(20)).collect()
}

#[tokio::test(start_paused = true)]
async fn requests_that_were_read_and_not_accepted_when_the_time_is_up_are_rejected_in_order() {
    let (mut client, mut harness) = connected().await;
    let bytes = requests_and_incomplete_command(MAX_PIPELINED);
    client.write_all(&bytes).await.unwrap();
    let requests = harness.next_requests(MAX_PIPELINED).await;
    harness.lifecycle.send(LifecyclePhase::Closing).unwrap();
    for request in &requests {
        reply(request, VALUE_REPLY).await;
    }
    let mut received = Vec::new();
    client.read_to_end(&mut received).await.unwrap();
    let expected = [VALUE_REPLY.repeat(MAX_PIPELINED), BUSY_REPLY.repeat(3)].concat();
    assert_eq!(
        String::from_utf8(received),
        String::from_utf8(expected),
        "the incomplete request is rejected too, as its rest may be in transit"
    );
    assert!(harness.events.try_recv().is_err());
}

#[tokio::test(start_paused = true)]
async fn a_request_that_the_kernel_received_before_the_time_is_up_is_answered_on_a_new_connection()
{
    let (client, mut harness) = connected().await;
    tokio::task::yield_now().await;
    // The request is written and the phase changed before the connection's task reads.
    let client = client.into_std().unwrap();
    std::io::Write::write_all(&mut &client, &get(1)).unwrap();
    harness.lifecycle.send(LifecyclePhase::Closing).unwrap();
    let mut received = Vec::new();
    let mut client = TcpStream::from_std(client).unwrap();
    client.read_to_end(&mut received).await.unwrap();
    assert_eq!(received, BUSY_REPLY);
    assert!(harness.events.try_recv().is_err());
}

#[tokio::test(start_paused = true)]
async fn all_requests_of_a_client_that_is_rejected_for_want_of_a_place_are_answered() {
    let (first, mut harness) = connected().await;
    let mut clients = take_all_slots(first).await;
    for client in &mut clients[..3] {
        client.write_all(&get(1)).await.unwrap();
        harness.next_requests(1).await;
    }
    clients[3]
        .write_all(&requests_and_incomplete_command(0))
        .await
        .unwrap();
    let mut received = Vec::new();
    clients[3].read_to_end(&mut received).await.unwrap();
    assert_eq!(
        String::from_utf8(received),
        String::from_utf8(BUSY_REPLY.repeat(3))
    );
    assert!(harness.events.try_recv().is_err());
}

#[tokio::test(start_paused = true)]
async fn a_request_before_invalid_input_is_answered() {
    let (mut client, mut harness) = connected().await;
    let bytes = [&get(1)[..], b"rubbish\r\n", &get(2)].concat();
    client.write_all(&bytes).await.unwrap();
    let request = harness.next_requests(1).await.remove(0);
    tokio::time::sleep(Duration::from_secs(5)).await;
    reply(&request, VALUE_REPLY).await;
    let mut received = Vec::new();
    client.read_to_end(&mut received).await.unwrap();
    let received = String::from_utf8(received).unwrap();
    assert_eq!(
        received,
        "$1\r\nv\r\n-ERR protocol error: unexpected type\r\n"
    );
}

#[tokio::test(start_paused = true)]
async fn a_client_that_is_cut_off_after_invalid_input_and_then_reads_frees_its_slot() {
    // Guards against a connection that waits without a limit for the close of a client that stays.
    const REPLY_BYTES: usize = 16 * 1024 * 1024;
    let (mut client, mut harness) = connected().await;
    let bytes = [&get(1)[..], b"rubbish\r\n"].concat();
    client.write_all(&bytes).await.unwrap();
    let request = harness.next_requests(1).await.remove(0);
    reply(&request, vec![b'v'; REPLY_BYTES]).await;
    tokio::time::sleep(OUTPUT_STALL_TIMEOUT + Duration::from_millis(100)).await;
    let since = Instant::now();
    closed_after(&mut client).await;
    assert!(since.elapsed() <= LINGER_AFTER_ERROR * 2);
}
