//! One node: clients on one side, cache servers, the origin and discovery on the other, the decision module
//! between them.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::Instant;

use router_config::{Layers, logging};
use tracing::{info, warn};

use cache_router::clients::Frontend;
use cache_router::clock::Clock;
use cache_router::config::Config;
use cache_router::lifecycle::LifecyclePhase;
use cache_router::message::RouterEvent;
use cache_router::node::Node;
use cache_router::trace::Trace;

/// What waits between the connections and the node's loop.
const INPUTS: usize = 1024;
/// Requests taken and not yet answered; each may hold a value of 64 KiB.
const MAX_OPEN: usize = 1024;
/// Sockets kept back for the listener, discovery and the runtime, and for those just being closed.
const RESERVE: usize = 16;

/// After SIGHUP the file is read again so long after it was read last, until it names another discovery: it may just
/// be being replaced, and what discovery has to tell counts as told 4 s after the signal.
const READ_AGAIN: [Duration; 6] = [
    Duration::from_millis(20),
    Duration::from_millis(50),
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
];

/// What the signals that reach the process mean for the node.
struct Signals {
    hub: mpsc::Sender<RouterEvent>,
    /// Where discovery was when the file was read last.
    discovery: SocketAddr,
}

impl Signals {
    /// Reads the configuration, which was read so often before since the signal; when to read it again, if ever.
    async fn read(&mut self, times: usize) -> Option<(Instant, usize)> {
        let again = READ_AGAIN
            .get(times)
            .map(|after| (Instant::now() + *after, times + 1));
        match cache_router::config::discovery() {
            Ok(address) if address != self.discovery => {
                info!("discovery is at {address} now");
                self.discovery = address;
                let _ = self.hub.send(RouterEvent::DiscoveryMoved(address)).await;
                return None;
            }
            Ok(_) => {}
            // Better the discovery that it has than none.
            Err(e) if again.is_none() => warn!("the configuration stays as it was: {e}"),
            Err(_) => {}
        }
        again
    }
}

async fn run(config: Config, trace: Trace) -> std::io::Result<()> {
    let (hub, inputs) = mpsc::channel(INPUTS);
    let (phase_set, phase) = watch::channel(LifecyclePhase::Starting);
    let clock = Clock::start();
    // The table of sockets is shared out beforehand: clients have one half, servers the other.
    let part = (config.sockets - RESERVE.min(config.sockets / 2)) / 2;
    let room = Arc::new(Semaphore::new(part));
    let mut terms = [
        signal(SignalKind::terminate())?,
        signal(SignalKind::interrupt())?,
    ];
    let mut hangup = signal(SignalKind::hangup())?;
    let listener = TcpListener::bind(config.listen).await?;
    info!("listening on {}", listener.local_addr()?);
    let deployment = Arc::new(config.deployment.clone());
    let open = Arc::new(Semaphore::new(deployment.max_open.min(MAX_OPEN)));
    let front = Frontend {
        deployment: deployment.clone(),
        clock,
        hub: hub.clone(),
        phase,
        room: room.clone(),
        refusals: (part / 8).max(1),
        resting: Arc::default(),
        open,
    };
    tokio::spawn(cache_router::clients::listen(listener, Arc::new(front)));
    let mut signals = Signals {
        hub: hub.clone(),
        discovery: config.discovery,
    };
    tokio::spawn(async move {
        let [term, int] = &mut terms;
        let mut reads = None;
        loop {
            tokio::select! {
                _ = term.recv() => drop(signals.hub.send(RouterEvent::Terminate).await),
                _ = int.recv() => drop(signals.hub.send(RouterEvent::Terminate).await),
                // Also while the node ends: what it holds still must not go to a server that drains.
                _ = hangup.recv() => reads = signals.read(0).await,
                () = async { tokio::time::sleep_until(reads.map_or_else(Instant::now, |(at, _)| at)).await },
                    if reads.is_some() => reads = signals.read(reads.map_or(0, |(_, times)| times)).await,
            }
        }
    });
    // All places: a client's may have answers to write.
    let idle = move || room.available_permits() >= part;
    Node::new(config, deployment, clock, hub, part, trace)
        .run(inputs, phase_set, idle)
        .await;
    Ok(())
}

/// Says why the node does not start, in one line and whatever the level of the log is.
fn refuse(why: impl std::fmt::Display) -> ExitCode {
    eprintln!("cache-router: {why}");
    ExitCode::from(2)
}

fn main() -> ExitCode {
    let chosen = match Layers::from_env().read() {
        Ok(chosen) => chosen,
        Err(e) => return refuse(e),
    };
    let _told_at_the_end = match logging::init(&chosen.log) {
        Ok(guard) => guard,
        Err(e) => return refuse(e),
    };
    let config = match Config::from_env() {
        Ok(config) => config,
        Err(e) => return refuse(e),
    };
    let listen = config.listen;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime.and_then(|runtime| runtime.block_on(run(config, Trace::new(chosen.node.trace)))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => refuse(format_args!("cannot listen on {listen}: {e}")),
    }
}
