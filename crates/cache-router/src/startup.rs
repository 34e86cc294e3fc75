//! The start of the router: reads its configuration, shares out its sockets, and starts its tasks. A step that fails
//! for a moment is tried again.

mod error;
pub mod retry;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use router_config::{Layers, logging};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::{Semaphore, mpsc, watch};
use tracing::{dispatcher, info, warn};

use self::retry::{Environment, FILE_TIMEOUT, Retries, START_TIMEOUT};
use crate::clock::Clock;
use crate::config::Config;
use crate::event_loop::{EventLoop, EventLoopConfig};
use crate::lifecycle::LifecyclePhase;
use crate::listener::{self, ClientContext};
use crate::signals::{self, PendingSignals, SignalHandler, WakeUps};
use crate::trace::Trace;

pub use self::error::StartError;

/// Events that wait between the other tasks and the event loop.
const EVENT_CAPACITY: usize = 1024;
/// Requests accepted and not yet replied to; each may hold a value of 64 KiB.
const MAX_OPEN_REQUESTS: usize = 1024;
/// Sockets reserved for the listener, discovery and the runtime, and for those that are just being closed.
const RESERVED_SOCKETS: usize = 16;
/// One in this many of the client connections is reserved for rejections.
const CLIENTS_PER_REJECTION: usize = 8;

/// The process that starts.
struct StartingProcess {
    signals: Arc<PendingSignals>,
}

impl Environment for StartingProcess {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn pause(&self, duration: Duration) {
        thread::sleep(duration);
    }

    fn is_shutdown_requested(&self) -> bool {
        self.signals.is_shutdown_requested()
    }

    fn report(&self, error: &StartError, remaining: Duration) {
        let remaining_ms = remaining.as_millis();
        if dispatcher::has_been_set() {
            warn!(%error, remaining_ms, "the start has failed, trying again");
            return;
        }
        // The settings of the log are not read yet.
        let line = format!("cache-router: {error}; trying again for {remaining_ms} ms\n");
        logging::standard_error().push(line.into_bytes());
    }
}

/// Runs the router as the environment configures it, until it has shut down.
///
/// # Errors
/// If the router can't start.
pub fn run() -> Result<(), StartError> {
    match start_and_serve() {
        Err(StartError::ShutDown) => Ok(()),
        result => result,
    }
}

fn start_and_serve() -> Result<(), StartError> {
    // The trace tells how long after its launch the router was ready.
    let clock = Clock::start();
    let signals = Arc::new(PendingSignals::default());
    let retries = Retries::new(StartingProcess {
        signals: signals.clone(),
    });
    // First of all: a signal that has no handler ends the process.
    let unregistered = retries.run(START_TIMEOUT, || {
        signals::install(&signals).map_err(StartError::Signals)
    })?;
    let settings = retries.run(FILE_TIMEOUT, || Ok(Layers::from_env().read()?))?;
    let _flushes_log_when_dropped = logging::init(&settings.log)?;
    let config = retries.run(FILE_TIMEOUT, || {
        Config::from_env().map_err(StartError::Config)
    })?;
    let runtime = retries.run(START_TIMEOUT, || {
        build_runtime(&signals).map_err(StartError::Runtime)
    })?;
    let listener = retries.run(START_TIMEOUT, || listen(&runtime, config.listen))?;
    let wake_ups = retries.run(START_TIMEOUT, || {
        let _in_runtime = runtime.enter();
        unregistered.in_runtime().map_err(StartError::Signals)
    })?;
    drop(unregistered);
    runtime.block_on(serve(StartedRouter {
        config,
        clock,
        trace: Trace::new(settings.node.trace),
        listener,
        signals,
        wake_ups,
    }));
    Ok(())
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

/// Listens for clients.
fn listen(runtime: &Runtime, address: SocketAddr) -> Result<TcpListener, StartError> {
    let open = async {
        let listener = TcpListener::bind(address).await?;
        // The address stays part of the message: whoever starts the router on port 0 reads the port from it.
        info!("listening on {}", listener.local_addr()?);
        Ok(listener)
    };
    runtime
        .block_on(open)
        .map_err(|source| StartError::Listen { address, source })
}

/// What the start has made.
struct StartedRouter {
    config: Config,
    clock: Clock,
    trace: Trace,
    listener: TcpListener,
    signals: Arc<PendingSignals>,
    wake_ups: WakeUps,
}

/// Starts the router's tasks, and runs the event loop until the router has shut down.
async fn serve(router: StartedRouter) {
    let config = router.config;
    let (events, received_events) = mpsc::channel(EVENT_CAPACITY);
    let (phase, phase_of_clients) = watch::channel(LifecyclePhase::Starting);
    let clock = router.clock;
    let max_connections = connections_per_side(config.max_sockets);
    let client_capacity = Arc::new(Semaphore::new(max_connections));
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
    tokio::spawn(listener::listen(router.listener, Arc::new(client_context)));
    let signal_handler = SignalHandler {
        signals: router.signals,
        wake_ups: router.wake_ups,
        events: events.clone(),
        discovery: config.discovery,
    };
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
        trace: router.trace,
    });
    // All of the capacity, that of rejections included: their clients may have replies to be written.
    let is_idle = move || client_capacity.available_permits() >= max_connections;
    event_loop.run(received_events, is_idle).await;
}

/// The table of sockets is shared out beforehand: clients have one half, servers the other.
fn connections_per_side(sockets: usize) -> usize {
    (sockets - RESERVED_SOCKETS.min(sockets / 2)) / 2
}
