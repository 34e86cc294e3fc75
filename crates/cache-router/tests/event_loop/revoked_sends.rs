//! Sends that are revoked between the decision to send and the first byte, because the client disconnects, the server
//! drains, the attempt is cancelled, or the process is suspended.

use bytes::Bytes;
use cache_router::message::{ClientCommand, ClientRequest, DiscoveryCall, RouterEvent};
use cache_router::unread_input::MAX_UNREAD_AGE;
use cache_router::write_progress::WriteProgress;
use tokio::io::AsyncReadExt;
use tokio::sync::mpsc;

use crate::harness::{
    CLIENT, Harness, change, endpoint, first_attempt, read_command, suspend_process,
};

#[tokio::test]
async fn a_request_whose_client_disconnects_while_it_waits_for_a_connection_is_never_written() {
    let mut harness = Harness::new().await;
    harness.request("1d");
    let mut stream = harness.accept().await;
    harness.disconnect();
    harness.assert_nothing_in_flight();
    assert!(harness.pool().waiting_attempts(harness.server()).is_empty());
    harness.step().await; // The connection is established.
    harness.request_and_serve(&mut stream, "2d").await;
}

#[tokio::test]
async fn a_request_whose_client_disconnects_before_the_first_byte_is_never_written() {
    let (mut harness, mut stream) = Harness::with_idle_connection().await;
    harness.request("1d"); // Assigned to the idle connection, whose task has not run yet.
    harness.disconnect();
    harness.assert_nothing_in_flight();
    harness.step().await; // The connection's task has seen the withdrawal, and the connection is free.
    harness.request_and_serve(&mut stream, "2d").await;
}

#[tokio::test]
async fn a_queued_request_whose_client_has_disconnected_is_not_accepted() {
    let mut harness = Harness::new().await;
    let (replies, disconnected) = mpsc::channel(1);
    drop(disconnected);
    let request = ClientRequest {
        client: CLIENT + 1,
        replies,
        ..harness.client_request(read_command(), 0)
    };
    harness.handle(RouterEvent::ClientRequest(Box::new(request)));
    harness.assert_nothing_in_flight();
}

#[tokio::test]
async fn a_request_is_not_written_while_the_disconnect_of_its_client_is_still_queued() {
    let mut harness = Harness::new().await;
    harness.request("1d");
    let mut stream = harness.accept().await;
    // The client's task has ended, but the event loop has not been notified yet.
    harness.replies.close();
    harness.step().await; // The connection is established.
    (harness.reply_sender, harness.replies) = mpsc::channel(16);
    harness.request_and_serve(&mut stream, "2d").await;
}

#[tokio::test]
async fn an_attempt_cancelled_before_its_first_byte_is_never_written_and_keeps_its_connection() {
    let (mut harness, mut stream) = Harness::with_idle_connection().await;
    let cancelled = harness.request("1d");
    harness.cancel(cancelled);
    harness.step().await;
    harness.request_and_serve(&mut stream, "2d").await;
}

#[tokio::test]
async fn a_drain_that_arrived_during_a_suspension_stops_a_pending_write() {
    let (mut harness, mut stream) = Harness::with_idle_connection().await;
    let pending = harness.request("1d");
    suspend_process();
    harness.change_endpoint(endpoint(&harness.cache, "leaving"));
    harness.step().await; // The connection asks for the write to be confirmed.
    assert_eq!(harness.assert_rejected(), pending);
    let mut received = Vec::new();
    let count = stream.read_to_end(&mut received).await.unwrap();
    assert_eq!(count, 0, "{received:?}");
}

#[tokio::test]
async fn a_write_confirmed_after_a_suspension_is_made_once_and_costs_no_attempt() {
    let (mut harness, mut stream) = Harness::with_idle_connection().await;
    let first = harness.request("1d");
    suspend_process();
    harness.step().await; // The connection asks for the write to be confirmed.
    let in_flight = harness.in_flight().request(first).unwrap();
    assert_eq!(in_flight.attempts_started(), 1);
    harness.serve(&mut stream, "1d").await;
    harness.assert_reply_to(first);
    // The second write is delayed twice. It is confirmed only once, so that it is written even on a machine that is
    // always late.
    let second = harness.request("2d");
    suspend_process();
    let confirm_write = harness.next_event().await;
    harness.handle(confirm_write);
    suspend_process();
    harness.serve(&mut stream, "2d").await;
    harness.assert_reply_to(second);
}

#[tokio::test]
async fn after_a_suspension_events_that_revoke_sends_are_handled_before_requests() {
    let (mut harness, _stream) = Harness::with_idle_connection().await;
    let request = |harness: &Harness| {
        let request = harness.client_request(read_command(), 9);
        RouterEvent::ClientRequest(Box::new(request))
    };
    let call = DiscoveryCall {
        number: 0,
        generation: 0,
        held_version: 1,
    };
    let drain = change(endpoint(&harness.cache, "leaving"));
    let queued = request(&harness);
    harness.event_sender.try_send(queued).unwrap();
    let drain = RouterEvent::EndpointList(call, drain);
    harness.event_sender.try_send(drain).unwrap();
    let received = request(&harness);
    harness
        .event_loop
        .catch_up(&mut harness.events, Some(received))
        .await;
    for _ in 0..2 {
        harness.assert_rejected();
    }
    assert_eq!(harness.in_flight().attempt_count(), 0);
}

#[tokio::test]
async fn a_value_cancelled_half_written_is_never_completed() {
    let (mut harness, mut stream) = Harness::with_idle_connection().await;
    // More than the system's buffers hold, since the server reads nothing.
    let value = Bytes::from(vec![b'v'; 64 * 1024 * 1024]);
    let request = harness.request_with(ClientCommand {
        request_id: Bytes::from_static(b"1d"),
        value: Some(value),
        ..read_command()
    });
    let attempt = harness.in_flight().attempt(first_attempt(request));
    let connection = attempt.unwrap().connection.unwrap();
    while harness.pool().write_progress(connection) != WriteProgress::Writing {
        tokio::task::yield_now().await;
    }
    harness.disconnect();
    assert_eq!(harness.in_flight().attempt_count(), 0);
    assert_eq!(harness.pool().state(connection), None);
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received).await;
    assert!(!received.ends_with(b"v\r\n"), "{} bytes", received.len());
}

#[tokio::test]
async fn nothing_is_sent_for_a_client_that_may_have_gone_behind_unread_input() {
    let (mut harness, mut stream) = Harness::with_idle_connection().await;
    let request = harness.client_request(read_command(), 9);
    let now = harness.clock.now();
    request.unread_input.record(now - 2 * MAX_UNREAD_AGE);
    harness.handle(RouterEvent::ClientRequest(Box::new(request)));
    harness.assert_rejected();
    harness.assert_nothing_in_flight();
    // The connection carries the next request and nothing before it.
    harness.request_and_serve(&mut stream, "2d").await;
}
