//! A signal is handled although the wake-up byte of its handler is lost.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::Duration;

use cache_router::message::RouterEvent;
use cache_router::signals::{PendingSignals, SignalHandler, UnregisteredWakeUps, install};
use cache_router::startup::build_runtime;
use signal_hook::consts::SIGTERM;
use signal_hook::low_level::raise;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Longer than the test takes on the busiest machine.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn a_signal_is_handled_though_the_write_of_its_handler_is_lost() {
    let signals = Arc::new(PendingSignals::default());
    // The runtime waits on another socket than the one to which the signal handler writes.
    let _unread = install(&signals).unwrap();
    let (silent, _never_written) = UnixStream::pair().unwrap();
    silent.set_nonblocking(true).unwrap();
    let runtime = build_runtime(&signals).unwrap();
    runtime.block_on(async {
        let (events, mut received) = mpsc::channel(4);
        let handler = SignalHandler {
            signals,
            wake_ups: UnregisteredWakeUps::from(silent)
                .register_with_runtime()
                .unwrap(),
            events,
            discovery: SocketAddr::from(([127, 0, 0, 1], 1)),
        };
        tokio::spawn(handler.run());
        // The runtime is asleep when the signal arrives.
        tokio::time::sleep(Duration::from_millis(5)).await;
        raise(SIGTERM).unwrap();
        let event = timeout(EVENT_TIMEOUT, received.recv()).await;
        assert!(matches!(event, Ok(Some(RouterEvent::Terminate))));
    });
}
