//! Which idle connection is asked to close, and which is not.
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

use cache_router::idle_connections::{IdleConnections, IdleGuard};

fn is_asked_to_close(guard: &mut IdleGuard) -> bool {
    let close_requested = pin!(guard.close_requested());
    let mut context = Context::from_waker(Waker::noop());
    close_requested.poll(&mut context).is_ready()
}

#[test]
fn a_request_for_a_place_goes_to_whoever_is_idle_first_and_ends_with_the_new_clients_wait() {
    let connections = Arc::new(IdleConnections::default());
    // None is idle: the next that becomes idle is asked, once.
    connections.ask_one_or_next_to_close();
    let mut first = connections.register();
    let mut second = connections.register();
    assert!(is_asked_to_close(&mut first) && !is_asked_to_close(&mut second));
    // Asked, and busy again at that moment: the close request goes to the next.
    drop(first);
    assert!(is_asked_to_close(&mut second));
    second.close();
    // A new client that has its place leaves no close request behind.
    connections.ask_one_or_next_to_close();
    connections.cancel_ask_next();
    assert!(!is_asked_to_close(&mut connections.register()));
    assert!(!connections.ask_one_to_close(), "none is left behind");
}
