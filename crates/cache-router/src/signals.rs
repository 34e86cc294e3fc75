//! The signals that the process receives: SIGTERM and SIGINT shut the router down, SIGHUP has it read its configuration
//! file again for another address of discovery.

use std::future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};
use tracing::{info, warn};

use crate::config;
use crate::message::RouterEvent;

/// After SIGHUP, the file is read again after these pauses, until it names another address of discovery: it may be
/// replaced at that moment. What discovery reports counts as known 4 s after the signal.
const REREAD_PAUSES: [Duration; 6] = [
    Duration::from_millis(20),
    Duration::from_millis(50),
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
];

/// A read of the configuration file that is due.
#[derive(Clone, Copy)]
struct ScheduledRead {
    at: Instant,
    /// How many reads there were since the signal.
    reads_before: usize,
}

/// Receives the process's signals and reports them to the event loop.
pub struct SignalHandler {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    events: mpsc::Sender<RouterEvent>,
    /// The address of discovery when the file was last read.
    discovery: SocketAddr,
}

impl SignalHandler {
    /// Takes the signals over from the system.
    ///
    /// # Errors
    /// If the system does not allow it.
    pub fn install(
        events: mpsc::Sender<RouterEvent>,
        discovery: SocketAddr,
    ) -> io::Result<SignalHandler> {
        Ok(SignalHandler {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
            events,
            discovery,
        })
    }

    /// Handles signals until the task is ended.
    pub async fn run(mut self) {
        let mut next_read: Option<ScheduledRead> = None;
        loop {
            tokio::select! {
                _ = self.terminate.recv() => self.request_shutdown().await,
                _ = self.interrupt.recv() => self.request_shutdown().await,
                // Also during a shutdown: its last requests must not go to a server that drains.
                _ = self.hangup.recv() => next_read = self.read_configuration(0).await,
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
