//! The signals that the process receives: SIGTERM and SIGINT shut the router down, SIGHUP has it read its configuration
//! file again for another address of discovery.
//!
//! A signal's handler may do little: it sets a flag and writes a byte to a socket on which the runtime waits. The flag
//! is what counts. The byte only ends the runtime's sleep, and is not needed if its write fails: the runtime looks at
//! the flags whenever it goes to sleep and whenever it wakes up, and a signal wakes it up by itself. Only a signal that
//! arrives in the moment between the last look and the sleep, and whose byte is lost too, waits for the next event.

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

/// How many bytes of wake-ups are read at a time.
const WAKE_UPS_READ: usize = 64;
/// After SIGHUP, the file is read again after these pauses, until it names another address of discovery: it may be
/// replaced at that moment, or not be readable. What discovery reports counts as known 4 s after the signal.
const REREAD_PAUSES: [Duration; 7] = [
    Duration::from_millis(20),
    Duration::from_millis(50),
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
    Duration::from_millis(1_000),
];

/// A read of the configuration file that is due.
#[derive(Clone, Copy)]
struct ScheduledRead {
    at: Instant,
    /// How many reads there were since the signal.
    reads_before: usize,
}

/// The signals that have arrived and are not handled yet.
#[derive(Default)]
pub struct PendingSignals {
    shutdown: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    /// Wakes the task that handles them.
    arrived: Notify,
}

impl PendingSignals {
    /// Whether the router has been told to shut down and has not begun to.
    pub fn is_shutdown_requested(&self) -> bool {
        self.shutdown.load(Ordering::SeqCst)
    }

    /// Wakes the task that handles signals if there are any. The runtime calls this before and after each sleep.
    pub fn wake_handler(&self) {
        if self.is_shutdown_requested() || self.reload.load(Ordering::SeqCst) {
            self.arrived.notify_one();
        }
    }
}

/// The bytes that the handlers of signals write, before the runtime waits for them.
pub struct UnregisteredWakeUps(StdUnixStream);

/// The bytes that the handlers of signals write.
pub struct WakeUps(UnixStream);

/// Takes the signals over from the system.
///
/// # Errors
/// If the system does not allow it. It can be tried again.
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
    /// From a socket that does not block.
    fn from(receiver: StdUnixStream) -> Self {
        UnregisteredWakeUps(receiver)
    }
}

impl UnregisteredWakeUps {
    /// Has the runtime in whose context this is called wait for them.
    ///
    /// # Errors
    /// If the system does not allow it. It can be tried again.
    pub fn in_runtime(&self) -> io::Result<WakeUps> {
        UnixStream::from_std(self.0.try_clone()?).map(WakeUps)
    }
}

impl WakeUps {
    /// Waits for a byte, and reads all that there are.
    async fn wait(&self) {
        if self.0.readable().await.is_err() {
            // The runtime shuts down.
            return future::pending().await;
        }
        let mut sink = [0; WAKE_UPS_READ];
        loop {
            match self.0.try_read(&mut sink) {
                // The handlers never close it.
                Ok(0) => return future::pending().await,
                Ok(_) => {}
                Err(error) if is_not_ready(&error) => return,
                Err(error) if classify(&error) == ErrorMeaning::RetryNow => {}
                Err(_) => sleep(LOCAL_RETRY_PAUSE).await,
            }
        }
    }
}

/// Receives the process's signals and reports them to the event loop.
pub struct SignalHandler {
    /// The signals that have arrived.
    pub signals: Arc<PendingSignals>,
    /// What tells that there are any.
    pub wake_ups: WakeUps,
    /// The event loop.
    pub events: mpsc::Sender<RouterEvent>,
    /// The address of discovery when the file was last read.
    pub discovery: SocketAddr,
}

impl SignalHandler {
    /// Handles signals until the task is ended.
    pub async fn run(mut self) {
        let mut next_read: Option<ScheduledRead> = None;
        loop {
            if self.signals.shutdown.swap(false, Ordering::SeqCst) {
                self.request_shutdown().await;
            }
            // Also during a shutdown: its last requests must not go to a server that drains.
            if self.signals.reload.swap(false, Ordering::SeqCst) {
                next_read = self.read_configuration(0).await;
            }
            tokio::select! {
                () = self.signals.arrived.notified() => {}
                () = self.wake_ups.wait() => {}
                reads_before = due(next_read) => {
                    next_read = self.read_configuration(reads_before).await;
                }
            }
        }
    }

    async fn request_shutdown(&self) {
        // It fails only if the event loop has ended, and the process is about to.
        let _ = self.events.send(RouterEvent::Terminate).await;
    }

    /// Reads the configuration file, and reports another address of discovery; when to read it again, if ever.
    async fn read_configuration(&mut self, reads_before: usize) -> Option<ScheduledRead> {
        let next_read = REREAD_PAUSES.get(reads_before).map(|pause| ScheduledRead {
            at: Instant::now() + *pause,
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
            // Better the address that is known than none.
            Err(error) if next_read.is_none() => {
                warn!(%error, "the configuration file is unusable; the configuration stays as it was");
            }
            Err(_) => {}
        }
        next_read
    }
}

/// Waits until a read is due, forever if there is none; how many reads there were before it.
async fn due(read: Option<ScheduledRead>) -> usize {
    let Some(read) = read else {
        return future::pending().await;
    };
    sleep_until(read.at).await;
    read.reads_before
}
