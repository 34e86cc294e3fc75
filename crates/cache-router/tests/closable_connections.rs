//! Which connections are asked to close.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::task::{Context, Waker};

use cache_router::closable_connections::{Closable, ClosableConnections, CloseGuard};

fn is_asked_to_close(guard: &mut CloseGuard) -> bool {
    let close_requested = pin!(guard.close_requested());
    let mut context = Context::from_waker(Waker::noop());
    close_requested.poll(&mut context).is_ready()
}

#[test]
fn a_request_for_a_place_goes_to_whoever_is_idle_first_and_ends_with_the_new_clients_wait() {
    let connections = Arc::new(ClosableConnections::default());
    // No connection is idle: only the next one that becomes idle is asked.
    connections.request_close_now_or_next();
    let mut first = connections.register(Closable::Idle);
    let mut second = connections.register(Closable::Idle);
    assert!(is_asked_to_close(&mut first) && !is_asked_to_close(&mut second));
    // The first is busy again although it was asked: the close request goes to the second.
    drop(first);
    assert!(is_asked_to_close(&mut second));
    second.close();
    // Once the new client has a slot, no close request remains.
    connections.request_close_now_or_next();
    connections.cancel_close_of_next();
    assert!(!is_asked_to_close(
        &mut connections.register(Closable::Idle)
    ));
    assert!(!connections.request_close(), "no connection is idle");
}

#[test]
fn bulk_connections_are_asked_before_silent_ones_and_those_before_idle_ones() {
    let connections = Arc::new(ClosableConnections::default());
    let mut idle = connections.register(Closable::Idle);
    let mut silent = connections.register(Closable::Silent);
    let mut bulk = connections.register(Closable::Bulk);
    assert!(connections.request_close());
    assert!(is_asked_to_close(&mut bulk) && !is_asked_to_close(&mut silent));
    assert!(connections.request_close());
    assert!(is_asked_to_close(&mut silent) && !is_asked_to_close(&mut idle));
}
