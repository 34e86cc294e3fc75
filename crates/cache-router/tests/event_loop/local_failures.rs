//! Failures of this machine must not be reported to the policy as failures of a server.

use cache_router::message::{
    DiscoveredEndpoint, LossCause, LostConnection, RouterEvent, ServerConnectionEvent,
};
use cache_router::write_progress::WriteProgress;
use routing_policy::{AttemptStatus, Event};

use crate::harness::{FIRST_CONNECTION, Harness, endpoint, first_attempt, read_request};

/// Reports the loss of the first connection, and returns the statuses of the attempts that end because of it.
fn lose_first_connection(harness: &mut Harness, lost: LostConnection) -> Vec<AttemptStatus> {
    let dispatcher = harness.event_loop.dispatcher_mut();
    dispatcher.handle_connection_event(FIRST_CONNECTION, ServerConnectionEvent::Lost(lost));
    pending_outcomes(harness)
}

/// Returns the statuses of the attempts that have ended since the policy last ran.
fn pending_outcomes(harness: &mut Harness) -> Vec<AttemptStatus> {
    let dispatcher = harness.event_loop.dispatcher_mut();
    std::iter::from_fn(|| dispatcher.pop_policy_event())
        .filter_map(|event| match event {
            Event::AttemptOutcome(outcome) => Some(outcome.status),
            _ => None,
        })
        .collect()
}

#[tokio::test]
async fn only_a_connection_lost_by_its_server_is_reported_as_the_servers_reset() {
    let cases = [
        (LossCause::Server, AttemptStatus::Reset),
        (LossCause::ThisMachine, AttemptStatus::Cancelled),
    ];
    for (cause, expected) in cases {
        let mut harness = Harness::new().await;
        harness.request("1d");
        let mut stream = harness.accept().await;
        harness.step().await; // The connection is established.
        read_request(&mut stream, "1d").await;
        let lost = LostConnection {
            progress: WriteProgress::Written,
            cause,
        };
        assert_eq!(lose_first_connection(&mut harness, lost), [expected]);
        assert!(!expected.proves_not_run());
    }
}

#[tokio::test]
async fn an_attempt_that_this_machine_could_not_write_goes_over_another_connection() {
    let mut harness = Harness::new().await;
    let request = harness.request("1d");
    let _first = harness.accept().await;
    harness.step().await; // The connection is established.
    let lost = LostConnection {
        progress: WriteProgress::Writing,
        cause: LossCause::ThisMachine,
    };
    harness.handle(RouterEvent::ServerConnection(
        FIRST_CONNECTION,
        ServerConnectionEvent::Lost(lost),
    ));
    let mut second = harness.accept().await;
    harness.step().await; // The connection is established.
    harness.serve(&mut second, "1d").await;
    harness.assert_reply_to(request);
}

#[tokio::test]
async fn an_attempt_whose_connection_the_server_closed_before_the_last_byte_did_not_run() {
    for progress in [WriteProgress::NotStarted, WriteProgress::Writing] {
        let mut harness = Harness::new().await;
        harness.request("1d");
        let _stream = harness.accept().await;
        harness.step().await; // The connection is established.
        let lost = LostConnection {
            progress,
            cause: LossCause::Server,
        };
        let ended = lose_first_connection(&mut harness, lost);
        assert_eq!(ended, [AttemptStatus::ConnectFailed]);
    }
}

#[tokio::test]
async fn a_connection_that_this_machine_cannot_open_is_not_the_servers_failure() {
    let mut harness = Harness::new().await;
    // The kernel refuses to open a TCP connection to this address, with ENETUNREACH, and sends nothing.
    harness.change_endpoint(DiscoveredEndpoint {
        address: "255.255.255.255:9".into(),
        ..endpoint(&harness.cache, "active")
    });
    let request = harness.request("1d");
    let server = harness.server();
    while !harness.pool().is_connecting_delayed_locally(server) {
        tokio::task::yield_now().await;
    }
    let attempt = first_attempt(request);
    let waiting_since = harness.in_flight().attempt(attempt).unwrap().waiting_since;
    let dispatcher = harness.event_loop.dispatcher_mut();
    dispatcher.fail_unconnected(attempt, waiting_since);
    assert_eq!(pending_outcomes(&mut harness), [AttemptStatus::NotSent]);
}

#[tokio::test]
async fn a_connect_timeout_without_local_failure_is_reported_as_the_servers_failure() {
    let mut harness = Harness::new().await;
    let request = harness.request("1d");
    let attempt = first_attempt(request);
    let waiting_since = harness.in_flight().attempt(attempt).unwrap().waiting_since;
    let dispatcher = harness.event_loop.dispatcher_mut();
    dispatcher.fail_unconnected(attempt, waiting_since);
    assert_eq!(
        pending_outcomes(&mut harness),
        [AttemptStatus::ConnectFailed]
    );
}
