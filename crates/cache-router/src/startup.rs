//! The start of the router: reads its configuration, shares out its sockets, and starts its tasks.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use router_config::{Layers, logging};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::{Semaphore, mpsc, watch};
use tracing::info;

use crate::clock::Clock;
use crate::config::{Config, ConfigError};
use crate::event_loop::{EventLoop, EventLoopConfig};
use crate::lifecycle::LifecyclePhase;
use crate::listener::{self, ClientContext};
use crate::signals::{self, PendingSignals, SignalHandler};
use crate::trace::Trace;

/// Events that wait between the other tasks and the event loop.
const EVENT_CAPACITY: usize = 1024;
/// Requests accepted and not yet replied to; each may hold a value of 64 KiB.
const MAX_OPEN_REQUESTS: usize = 1024;
/// Sockets reserved for the listener, discovery and the runtime, and for those that are just being closed.
const RESERVED_SOCKETS: usize = 16;
/// One in this many of the client connections is reserved for rejections.
const CLIENTS_PER_REJECTION: usize = 8;

/// Why the router does not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings of the program can't be used.
    #[error(transparent)]
    Settings(#[from] router_config::ConfigError),
    /// The log can't be set up.
    #[error(transparent)]
    Logging(#[from] logging::AlreadySet),
    /// The configuration can't be used.
    #[error("{0}")]
    Config(ConfigError),
    /// The address for clients can't be listened on, or the runtime is not to be had.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address for clients.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
}

/// Runs the router as the environment configures it, until it has shut down.
///
/// # Errors
/// If the router can't start.
pub fn run() -> Result<(), StartError> {
    let settings = Layers::from_env().read()?;
    let _flushes_log_when_dropped = logging::init(&settings.log)?;
    let config = Config::from_env().map_err(StartError::Config)?;
    let address = config.listen;
    let signals = Arc::new(PendingSignals::default());
    build_runtime(&signals)
        .and_then(|runtime| {
            let trace = Trace::new(settings.node.trace);
            runtime.block_on(serve(config, trace, signals))
        })
        .map_err(|source| StartError::Listen { address, source })
}

/// The runtime, which looks for signals whenever it goes to sleep or wakes up.
///
/// # Errors
/// If the system does not have what it needs. It can be tried again.
pub fn build_runtime(signals: &Arc<PendingSignals>) -> io::Result<Runtime> {
    let (before_sleep, after_sleep) = (signals.clone(), signals.clone());
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .on_thread_park(move || before_sleep.wake_handler())
        .on_thread_unpark(move || after_sleep.wake_handler())
        .build()
}

/// Starts the router's tasks, and runs the event loop until the router has shut down.
async fn serve(config: Config, trace: Trace, signals: Arc<PendingSignals>) -> io::Result<()> {
    let (events, received_events) = mpsc::channel(EVENT_CAPACITY);
    let (phase, phase_of_clients) = watch::channel(LifecyclePhase::Starting);
    let clock = Clock::start();
    let max_connections = connections_per_side(config.max_sockets);
    let client_capacity = Arc::new(Semaphore::new(max_connections));
    let signal_handler = SignalHandler {
        wake_ups: signals::install(&signals)?.in_runtime()?,
        signals,
        events: events.clone(),
        discovery: config.discovery,
    };
    let listener = TcpListener::bind(config.listen).await?;
    // The address stays part of the message: whoever starts the router on port 0 reads the port from it.
    info!("listening on {}", listener.local_addr()?);
    let deployment = Arc::new(config.deployment);
    let max_open_requests = deployment.max_open.min(MAX_OPEN_REQUESTS);
    let client_context = ClientContext {
        deployment: deployment.clone(),
        clock,
        events: events.clone(),
        lifecycle: phase_of_clients,
        connection_slots: client_capacity.clone(),
        reserved_slots: (max_connections / CLIENTS_PER_REJECTION).max(1),
        idle_connections: Arc::default(),
        request_slots: Arc::new(Semaphore::new(max_open_requests)),
    };
    tokio::spawn(listener::listen(listener, Arc::new(client_context)));
    tokio::spawn(signal_handler.run());
    let event_loop = EventLoop::new(EventLoopConfig {
        deployment,
        seed: config.seed,
        discovery: config.discovery,
        cached_list: config.cached_list,
        max_server_connections: max_connections,
        events,
        phase,
        clock,
        trace,
    });
    // All of the capacity, that of rejections included: their clients may have replies to be written.
    let is_idle = move || client_capacity.available_permits() >= max_connections;
    event_loop.run(received_events, is_idle).await;
    Ok(())
}

/// The table of sockets is shared out beforehand: clients have one half, servers the other.
fn connections_per_side(sockets: usize) -> usize {
    (sockets - RESERVED_SOCKETS.min(sockets / 2)) / 2
}
