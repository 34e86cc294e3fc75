//! The event loop over loopback sockets, driven step by step: which connection an attempt uses, and how attempts end
//! that are given up, late or waiting.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

mod harness;
mod local_failures;
mod revoked_sends;
mod shutdown;

use bytes::Bytes;
use cache_router::connection_pool::ConnectionState;
use cache_router::event_loop::timers::Timer;
use cache_router::message::{ClientReply, DiscoveredEndpoint, Reply};
use routing_policy::AttemptStatus;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use harness::{
    FIRST_CONNECTION, Harness, LONG_TIME, RESPONSE, VALUE, accept, assert_closed_unused, endpoint,
    first_attempt, read_request,
};

#[tokio::test]
async fn an_attempt_given_up_before_its_response_is_due_keeps_its_connection_open() {
    let mut harness = Harness::new().await;
    let cancelled = harness.request("1d");
    let mut stream = harness.accept().await;
    harness.step().await; // The connection is established.
    read_request(&mut stream, "1d").await;
    harness.cancel(cancelled);
    harness.respond(&mut stream).await; // Late: it is not sent to the client.
    let next = harness.request("2d");
    harness.serve(&mut stream, "2d").await;
    assert_eq!(
        harness.replies.try_recv(),
        Ok(ClientReply {
            sequence: next,
            reply: Reply::Value(Bytes::from_static(VALUE)),
        })
    );
}

#[tokio::test]
async fn an_idle_connection_is_kept_until_shortly_before_its_server_closes_it() {
    for (idle_for, is_kept) in [(LONG_TIME / 10 * 7, true), (LONG_TIME / 10 * 9, false)] {
        let mut harness = Harness::new().await;
        harness.request("1d");
        let mut stream = harness.accept().await;
        harness.step().await; // The connection is established.
        harness.serve(&mut stream, "1d").await;
        let server = harness.server();
        let later = harness.clock.now() + idle_for;
        harness.pool_mut().close_expired(later);
        let reused = harness
            .pool_mut()
            .take_idle(server, first_attempt(9), later);
        assert_eq!(reused.is_some(), is_kept);
    }
}

#[tokio::test]
async fn a_waiting_attempt_takes_the_first_free_connection_and_not_the_one_opened_for_it() {
    let (mut harness, mut stream) = Harness::with_idle_connection().await;
    let first = harness.request("1d");
    read_request(&mut stream, "1d").await;
    let second = harness.request("2d");
    // Simulates a slow network: the new connection is reported after the response on the first one.
    let established = harness.next_event().await;
    harness.respond(&mut stream).await;
    read_request(&mut stream, "2d").await;
    harness.handle(established);
    harness.respond(&mut stream).await;
    harness.assert_reply_to(first);
    harness.assert_reply_to(second);
    assert!(harness.pool().waiting_attempts(harness.server()).is_empty());
    assert_eq!(harness.in_flight().attempt_count(), 0);
}

#[tokio::test]
async fn a_connection_established_after_its_timeout_serves_the_next_request() {
    let mut harness = Harness::with_connect_timeout(1).await;
    let timed_out = harness.request("1d");
    let mut stream = harness.accept().await;
    let established = harness.next_event().await;
    let attempt = first_attempt(timed_out);
    let waiting_since = harness.in_flight().attempt(attempt).unwrap().waiting_since;
    let timer = Timer::ConnectTimeout {
        attempt,
        waiting_since,
    };
    harness.handle_timer(timer, harness.clock.now());
    // The request is rejected because there is no other server.
    harness.assert_reply_to(timed_out);
    let after_timeout = harness.clock.now() + 1_000;
    while harness.clock.now() < after_timeout {
        tokio::task::yield_now().await;
    }
    harness.handle(established);
    harness.request("2d");
    read_request(&mut stream, "2d").await;
}

#[tokio::test]
async fn a_request_past_its_deadline_before_the_first_byte_is_not_written() {
    let mut harness = Harness::new().await;
    let served = harness.request("1d");
    let mut stream = harness.accept().await;
    harness.step().await; // The connection is established.
    harness.serve(&mut stream, "1d").await;
    // Simulates a process that is suspended between the decision to write and the write, until the deadline.
    let server = harness.server();
    let now = harness.clock.now();
    let pool = harness.pool_mut();
    let connection = pool.take_idle(server, first_attempt(9), now).unwrap();
    assert!(pool.start_write(connection, Bytes::from_static(b"too late"), now, false));
    harness.step().await;
    let next = harness.request("2d");
    harness.serve(&mut stream, "2d").await;
    harness.assert_reply_to(served);
    harness.assert_reply_to(next);
}

#[tokio::test]
async fn an_attempt_waiting_for_a_connection_to_a_draining_server_is_rejected_at_once() {
    for status in ["leaving", "left"] {
        let mut harness = Harness::new().await;
        let waiting = harness.request("1d");
        harness.change_endpoint(endpoint(&harness.cache, status));
        assert_eq!(harness.assert_rejected(), waiting);
    }
}

#[tokio::test]
async fn a_connection_established_for_a_cancelled_attempt_serves_the_next_request() {
    let mut harness = Harness::new().await;
    let cancelled = harness.request("1d");
    let mut stream = harness.accept().await;
    harness.cancel(cancelled);
    harness.step().await; // The connection is established.
    harness.request("2d");
    read_request(&mut stream, "2d").await;
}

#[tokio::test]
async fn a_connection_is_closed_when_an_overdue_attempt_is_given_up_on_it() {
    let mut harness = Harness::new().await;
    let overdue = harness.request("1d");
    let mut stream = harness.accept().await;
    harness.step().await; // The connection is established.
    read_request(&mut stream, "1d").await;
    let sent_at = harness.sent_at(overdue);
    harness.set_sent_at(overdue, sent_at - LONG_TIME);
    harness.give_up(overdue, AttemptStatus::TimedOut);
    assert_eq!(harness.first_connection_state(), None);
    assert_closed_unused(&mut stream).await;
}

#[tokio::test]
async fn a_connection_that_stays_silent_after_an_attempt_was_given_up_is_closed() {
    let mut harness = Harness::new().await;
    let abandoned = harness.request("1d");
    let mut stream = harness.accept().await;
    harness.step().await; // The connection is established.
    read_request(&mut stream, "1d").await;
    let sent_at = harness.sent_at(abandoned);
    harness.give_up(abandoned, AttemptStatus::TimedOut);
    assert_eq!(
        harness.pool().state(FIRST_CONNECTION),
        Some((harness.server(), ConnectionState::Abandoned(sent_at)))
    );
    let timer = Timer::AbandonedResponse {
        connection: FIRST_CONNECTION,
        sent_at,
    };
    harness.handle_timer(timer, sent_at + LONG_TIME);
    assert_eq!(harness.first_connection_state(), None);
    assert_closed_unused(&mut stream).await;
}

#[tokio::test]
async fn the_timer_of_an_abandoned_attempt_does_not_close_the_connection_of_a_later_one() {
    let (mut harness, mut stream) = Harness::with_idle_connection().await;
    let first = harness.request("1d");
    read_request(&mut stream, "1d").await;
    let sent_at = harness.sent_at(first);
    harness.cancel(first);
    harness.respond(&mut stream).await; // Late, but received: the connection stays open.
    let second = harness.request("2d");
    read_request(&mut stream, "2d").await;
    harness.set_sent_at(second, sent_at + 1);
    harness.give_up(second, AttemptStatus::Cancelled);
    assert_eq!(
        harness.first_connection_state(),
        Some(ConnectionState::Abandoned(sent_at + 1))
    );
    let timer_of_first = Timer::AbandonedResponse {
        connection: FIRST_CONNECTION,
        sent_at,
    };
    harness.handle_timer(timer_of_first, sent_at + LONG_TIME);
    assert!(harness.first_connection_state().is_some());
}

#[tokio::test]
async fn an_attempt_waiting_for_a_server_that_moves_is_sent_to_its_new_address_at_once() {
    let mut harness = Harness::new().await;
    harness.request("1d");
    let new_address = TcpListener::bind("127.0.0.1:0").await.unwrap();
    harness.change_endpoint(DiscoveredEndpoint {
        started_ms: 5,
        ..endpoint(&new_address, "active")
    });
    let mut stream = accept(&new_address).await;
    // Both connections are established, in either order. The one to the old address carries no data.
    while harness.replies.is_empty() {
        let mut received = [0; 1024];
        tokio::select! {
            event = harness.events.recv() => harness.handle(event.unwrap()),
            count = stream.read(&mut received) => {
                assert!(count.unwrap() > 0);
                stream.write_all(RESPONSE).await.unwrap();
            }
        }
    }
    let reply = harness.replies.try_recv().unwrap().reply;
    assert_eq!(reply, Reply::Value(Bytes::from_static(VALUE)));
    let mut old_address = harness.accept().await;
    assert_closed_unused(&mut old_address).await;
}

#[tokio::test]
async fn requests_that_have_ended_leave_no_timers_behind() {
    // Guards against memory that grows with each request of a client that states long deadlines.
    let mut harness = Harness::new().await;
    let mut most = 0;
    for _ in 0..3_000 {
        let request = harness.request("1d");
        harness.event_loop.dispatcher_mut().cancel_request(request);
        let timers = harness.event_loop.dispatcher_mut().timers_mut();
        most = most.max(timers.len());
    }
    assert!(most <= 2_048, "{most} timers");
}
