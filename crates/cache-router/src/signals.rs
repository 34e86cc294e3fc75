//! Signal handling of the process. SIGTERM and SIGINT shut the router down. On SIGHUP it reads its configuration file
//! again for a new address of discovery.
//!
//! A signal handler may do only little: it sets a flag and writes a byte to a socket on which the runtime waits. The
//! flag holds the state. The byte only wakes the runtime, and its write may fail without harm: the runtime checks the
//! flags before and after each sleep, and the signal itself ends a sleep. There is one exception. If a signal arrives
//! between the last check and the sleep, and its byte is lost too, it is handled only at the next event.

use std::future;
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level};
use tokio::net::UnixStream;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep, sleep_until};
use tracing::{info, warn};

use crate::config;
use crate::message::RouterEvent;
use crate::socket::errors::{ErrorMeaning, classify, is_not_ready};
use crate::socket::stream::LOCAL_RETRY_PAUSE;

/// Size of the buffer for wake-up bytes.
const WAKE_UP_BUFFER_BYTES: usize = 64;
/// After SIGHUP, the file is read again after each of these delays until it names a new address of discovery, because
/// it may be in the process of replacement, or be unreadable for a moment. What discovery reports counts as known to
/// the router 4 s after the signal.
const REREAD_DELAYS: [Duration; 7] = [
    Duration::from_millis(20),
    Duration::from_millis(50),
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
    Duration::from_millis(1_000),
];

/// A scheduled read of the configuration file.
#[derive(Clone, Copy)]
struct ScheduledRead {
    at: Instant,
    /// Number of reads since the signal.
    reads_before: usize,
}

/// The signals that have arrived and have not been handled yet.
#[derive(Default)]
pub struct PendingSignals {
    shutdown: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    /// Wakes the task that handles signals.
    arrived: Notify,
}

impl PendingSignals {
    /// Returns whether a shutdown was requested and has not begun.
    pub fn is_shutdown_requested(&self) -> bool {
        self.shutdown.load(Ordering::SeqCst)
    }

    /// Wakes the task that handles signals if any are pending. The runtime calls this before and after each sleep.
    pub fn wake_handler(&self) {
        if self.is_shutdown_requested() || self.reload.load(Ordering::SeqCst) {
            self.arrived.notify_one();
        }
    }
}

/// The receiving socket for the wake-up bytes of the signal handlers, before it is registered with the runtime.
pub struct UnregisteredWakeUps(StdUnixStream);

/// The receiving socket for the wake-up bytes of the signal handlers.
pub struct WakeUps(UnixStream);

/// Installs the signal handlers.
///
/// # Errors
/// If the system does not allow it. The call can be retried.
pub fn install(pending: &PendingSignals) -> io::Result<UnregisteredWakeUps> {
    let (receiver, sender) = StdUnixStream::pair()?;
    receiver.set_nonblocking(true)?;
    let signals = [
        (SIGTERM, &pending.shutdown),
        (SIGINT, &pending.shutdown),
        (SIGHUP, &pending.reload),
    ];
    for (signal, is_pending) in signals {
        flag::register(signal, is_pending.clone())?;
        low_level::pipe::register(signal, sender.try_clone()?)?;
    }
    Ok(receiver.into())
}

impl From<StdUnixStream> for UnregisteredWakeUps {
    /// Wraps a non-blocking socket.
    fn from(receiver: StdUnixStream) -> Self {
        UnregisteredWakeUps(receiver)
    }
}

impl UnregisteredWakeUps {
    /// Registers the socket with the runtime in whose context this is called.
    ///
    /// # Errors
    /// If the system does not allow it. The call can be retried.
    pub fn register_with_runtime(&self) -> io::Result<WakeUps> {
        UnixStream::from_std(self.0.try_clone()?).map(WakeUps)
    }
}

impl WakeUps {
    /// Waits for a byte, then reads all available bytes.
    async fn wait(&self) {
        if self.0.readable().await.is_err() {
            // The runtime is shutting down.
            return future::pending().await;
        }
        let mut buffer = [0; WAKE_UP_BUFFER_BYTES];
        loop {
            match self.0.try_read(&mut buffer) {
                // The signal handlers never close the sending socket, so this does not occur.
                Ok(0) => return future::pending().await,
                Ok(_) => {}
                Err(error) if is_not_ready(&error) => return,
                Err(error) if classify(&error) == ErrorMeaning::RetryNow => {}
                Err(_) => sleep(LOCAL_RETRY_PAUSE).await,
            }
        }
    }
}

/// Handles the signals of the process and reports them to the event loop.
pub struct SignalHandler {
    /// The signals that have arrived.
    pub signals: Arc<PendingSignals>,
    /// Wakes the task when a signal arrives.
    pub wake_ups: WakeUps,
    /// Channel to the event loop.
    pub events: mpsc::Sender<RouterEvent>,
    /// The address of discovery when the file was last read.
    pub discovery: SocketAddr,
}

impl SignalHandler {
    /// Handles signals until the task is aborted.
    pub async fn run(mut self) {
        let mut next_read: Option<ScheduledRead> = None;
        loop {
            if self.signals.shutdown.swap(false, Ordering::SeqCst) {
                self.request_shutdown().await;
            }
            // Handled during a shutdown too, so that its last requests do not go to a draining server.
            if self.signals.reload.swap(false, Ordering::SeqCst) {
                next_read = self.read_configuration(0).await;
            }
            tokio::select! {
                () = self.signals.arrived.notified() => {}
                () = self.wake_ups.wait() => {}
                reads_before = wait_until_due(next_read) => {
                    next_read = self.read_configuration(reads_before).await;
                }
            }
        }
    }

    async fn request_shutdown(&self) {
        // Sending fails only if the event loop has ended, in which case the process is about to exit.
        let _ = self.events.send(RouterEvent::Terminate).await;
    }

    /// Reads the configuration file and reports a new address of discovery. Returns when to read the file again, if at
    /// all.
    async fn read_configuration(&mut self, reads_before: usize) -> Option<ScheduledRead> {
        let next_read = REREAD_DELAYS.get(reads_before).map(|delay| ScheduledRead {
            at: Instant::now() + *delay,
            reads_before: reads_before + 1,
        });
        match config::read_discovery_address() {
            Ok(address) if address != self.discovery => {
                info!(%address, "discovery is at a new address");
                self.discovery = address;
                let moved = RouterEvent::DiscoveryMoved(address);
                let _ = self.events.send(moved).await;
                return None;
            }
            Ok(_) => {}
            // The known address stays in use.
            Err(error) if next_read.is_none() => {
                warn!(%error, "the configuration file is unusable; the configuration stays as it was");
            }
            Err(_) => {}
        }
        next_read
    }
}

/// Waits until a read is due, forever if there is none. Returns the number of reads before it.
async fn wait_until_due(read: Option<ScheduledRead>) -> usize {
    let Some(read) = read else {
        return future::pending().await;
    };
    sleep_until(read.at).await;
    read.reads_before
}
