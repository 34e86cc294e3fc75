//! Opening connections: failures for lack of local resources, and failures of the peer.

use std::cell::Cell;
use std::future;
use std::io;
use std::time::Duration;

use cache_router::socket::connect::{ConnectError, connect_with};
use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_millis(200);

/// Opens a connection with calls of which the first `failures` fail with `errno` and later ones succeed. Returns the
/// result, the number of reported failures and the elapsed time.
async fn connect_after_failures(
    errno: i32,
    failures: u32,
) -> (Result<(), ConnectError>, u32, Duration) {
    let calls = Cell::new(0);
    let open = || {
        calls.set(calls.get() + 1);
        let opened = if calls.get() <= failures {
            Err(io::Error::from_raw_os_error(errno))
        } else {
            Ok(())
        };
        future::ready(opened)
    };
    let reported = Cell::new(0);
    let started_at = Instant::now();
    let report = || reported.set(reported.get() + 1);
    let connected = connect_with(open, started_at + TIMEOUT, report).await;
    (connected, reported.get(), started_at.elapsed())
}

#[tokio::test(start_paused = true)]
async fn a_temporary_lack_of_local_resources_is_retried_and_reported() {
    for errno in [
        libc::ENFILE,
        libc::EMFILE,
        libc::ENOBUFS,
        libc::EADDRNOTAVAIL,
        libc::ENETUNREACH,
        libc::EINTR,
    ] {
        let (connected, reported, _) = connect_after_failures(errno, 3).await;
        connected.unwrap();
        assert_eq!(reported, 3);
    }
}

#[tokio::test(start_paused = true)]
async fn a_lack_of_local_resources_until_the_deadline_is_not_attributed_to_the_peer() {
    let (connected, _, elapsed) = connect_after_failures(libc::ENFILE, u32::MAX).await;
    assert!(matches!(connected, Err(ConnectError::Local(_))));
    assert!(elapsed <= TIMEOUT);
}

#[tokio::test(start_paused = true)]
async fn a_refused_connection_is_not_retried() {
    for errno in [libc::ECONNREFUSED, libc::EHOSTUNREACH, libc::EINVAL] {
        let (connected, reported, elapsed) = connect_after_failures(errno, 1).await;
        assert!(matches!(connected, Err(ConnectError::Peer(_))));
        assert_eq!((reported, elapsed), (0, Duration::ZERO));
    }
}

#[tokio::test(start_paused = true)]
async fn a_silent_peer_times_out_at_the_deadline() {
    let started_at = Instant::now();
    let silent = || future::pending::<io::Result<()>>();
    let connected = connect_with(silent, started_at + TIMEOUT, || {}).await;
    assert!(matches!(connected, Err(ConnectError::TimedOut)));
    assert_eq!(started_at.elapsed(), TIMEOUT);
}
