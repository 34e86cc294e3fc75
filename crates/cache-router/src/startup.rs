//! The startup of the router: reads its configuration, divides its sockets between clients and servers, and starts its
//! tasks. A step with a transient failure is retried.

mod error;
pub mod retry;
mod router_memory;

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
use self::router_memory::RouterMemory;
use crate::client_context::ClientContext;
use crate::clock::Clock;
use crate::config::Config;
use crate::event_loop::{EventLoop, EventLoopConfig};
use crate::fair_share::BulkTurns;
use crate::lifecycle::LifecyclePhase;
use crate::listener;
use crate::memory_plan::Capacity;
use crate::signals::{self, PendingSignals, SignalHandler, WakeUps};
use crate::trace::Trace;

pub use self::error::StartError;

/// Capacity of the queue of events for the event loop.
const EVENT_CAPACITY: usize = 1024;
/// Maximum number of requests that are accepted and not yet replied to. Each may hold a value of 64 KiB.
const MAX_OPEN_REQUESTS: usize = 1024;
/// Sockets reserved for the listener, discovery and the runtime, and for sockets that are just being closed.
const RESERVED_SOCKETS: usize = 16;
/// One in this many client connections is reserved for rejections.
const CLIENTS_PER_REJECTION: usize = 8;

/// The environment of retries in the router process.
struct ProcessEnvironment {
    signals: Arc<PendingSignals>,
}

impl Environment for ProcessEnvironment {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn sleep(&self, duration: Duration) {
        thread::sleep(duration);
    }

    fn is_shutdown_requested(&self) -> bool {
        self.signals.is_shutdown_requested()
    }

    fn report(&self, error: &StartError, remaining: Duration) {
        let remaining_ms = remaining.as_millis();
        if dispatcher::has_been_set() {
            warn!(%error, remaining_ms, "a startup step failed, trying again");
            return;
        }
        // Logging is not set up yet.
        let line = format!("cache-router: {error}; trying again for {remaining_ms} ms\n");
        logging::standard_error().push(line.into_bytes());
    }
}

/// Runs the router with the configuration that the environment names, until it has shut down.
///
/// # Errors
/// If the router cannot start.
pub fn run() -> Result<(), StartError> {
    match start_and_serve() {
        Err(StartError::ShutDown) => Ok(()),
        result => result,
    }
}

fn start_and_serve() -> Result<(), StartError> {
    // Started first, because the trace states how long after its launch the router was ready.
    let clock = Clock::start();
    let signals = Arc::new(PendingSignals::default());
    let retries = Retries::new(ProcessEnvironment {
        signals: signals.clone(),
    });
    // Signal handlers are installed before everything else, because a signal without a handler ends the process.
    let unregistered_wake_ups = retries.run(START_TIMEOUT, || {
        signals::install(&signals).map_err(StartError::Signals)
    })?;
    let settings = retries.run(FILE_TIMEOUT, || Ok(Layers::from_env().read()?))?;
    let _log_flush_guard = logging::init(&settings.log)?;
    let config = retries.run(FILE_TIMEOUT, || {
        Config::from_env().map_err(StartError::Config)
    })?;
    let runtime = retries.run(START_TIMEOUT, || {
        build_runtime(&signals).map_err(StartError::Runtime)
    })?;
    let listener = retries.run(START_TIMEOUT, || listen(&runtime, config.listen))?;
    let wake_ups = retries.run(START_TIMEOUT, || {
        let _runtime_guard = runtime.enter();
        unregistered_wake_ups
            .register_with_runtime()
            .map_err(StartError::Signals)
    })?;
    drop(unregistered_wake_ups);
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

/// Builds the runtime, which checks for pending signals before and after each sleep.
///
/// # Errors
/// If the system lacks the necessary resources. The call can be retried.
pub fn build_runtime(signals: &Arc<PendingSignals>) -> io::Result<Runtime> {
    let (before_sleep, after_sleep) = (signals.clone(), signals.clone());
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .on_thread_park(move || before_sleep.wake_handler())
        .on_thread_unpark(move || after_sleep.wake_handler())
        .build()
}

/// Opens the listening socket for clients.
fn listen(runtime: &Runtime, address: SocketAddr) -> Result<TcpListener, StartError> {
    let open = async {
        let listener = TcpListener::bind(address).await?;
        // The address is part of the message because programs that start the router on port 0 read the port from it.
        info!("listening on {}", listener.local_addr()?);
        Ok(listener)
    };
    runtime
        .block_on(open)
        .map_err(|source| StartError::Listen { address, source })
}

/// The parts of a router that were created during startup.
struct StartedRouter {
    config: Config,
    clock: Clock,
    trace: Trace,
    listener: TcpListener,
    signals: Arc<PendingSignals>,
    wake_ups: WakeUps,
}

/// Starts the router's tasks and runs the event loop until the router has shut down.
async fn serve(router: StartedRouter) {
    let config = router.config;
    let (events, received_events) = mpsc::channel(EVENT_CAPACITY);
    let (phase, phase_receiver) = watch::channel(LifecyclePhase::Starting);
    let clock = router.clock;
    let max_connections = connections_per_side(config.max_sockets);
    let client_capacity = Arc::new(Semaphore::new(max_connections));
    let deployment = Arc::new(config.deployment);
    let max_open_requests = deployment.max_open.min(MAX_OPEN_REQUESTS);
    let capacity = Capacity {
        memory_mb: config.memory_mb,
        connections: max_connections,
        requests: max_open_requests,
        endpoints: config.cached_list.endpoints.len(),
    };
    let memory = RouterMemory::start(&capacity);
    let bulk_turns = Arc::<BulkTurns>::default();
    let client_context = ClientContext {
        deployment: deployment.clone(),
        clock,
        events: events.clone(),
        lifecycle: phase_receiver,
        connection_slots: client_capacity.clone(),
        reserved_slots: (max_connections / CLIENTS_PER_REJECTION).max(1),
        closable_connections: Arc::default(),
        request_slots: Arc::new(Semaphore::new(max_open_requests)),
        request_memory: memory.requests,
        reply_memory: memory.replies.clone(),
        memory_usage: memory.usage.clone(),
        incomplete_commands: Arc::default(),
        bulk_turns: bulk_turns.clone(),
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
        reply_memory: memory.replies,
        memory_usage: memory.usage,
        bulk_turns,
        events,
        phase,
        clock,
        trace: router.trace,
    });
    // All slots count, including those reserved for rejections: their clients may have replies that are not yet
    // written.
    let no_client_connected = move || client_capacity.available_permits() >= max_connections;
    event_loop.run(received_events, no_client_connected).await;
}

/// Returns the maximum number of connections to clients, which is also that of connections to servers: each side gets
/// half of the sockets.
fn connections_per_side(sockets: usize) -> usize {
    (sockets - RESERVED_SOCKETS.min(sockets / 2)) / 2
}
