//! What one node bears and costs: the load tool straight to servers that answer at once, and through one real node that
//! stands before them. The same load both ways in one run, so that what is compared is the node alone.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;

use nix::sys::signal::Signal;
use router_config::Span;
use tokio::sync::oneshot;

use crate::load::{Instantly, Load, Outcome, send};
use crate::scenario::{
    Class, Front, Kind, List, Load as Clients, Network, Origin, Rules, Scenario,
};
use crate::sockets::SocketError;
use crate::sockets::doors::{self, Shared, lock};
use crate::sockets::link;
use crate::sockets::nodes::{Node, address};
use crate::sockets::stage::Stage;

/// Cache servers that stand behind the node.
const SERVERS: u32 = 4;
/// A node that was told to end has this long.
const ENDS: Duration = Duration::from_secs(10);
/// The most requests a second that are tried.
const MOST: f64 = 1_000_000.0;
/// A rate is borne where so much is served
const SERVED: f64 = 0.999;
/// and 99 of 100 answers come within this.
const WITHIN: Duration = Duration::from_millis(50);
/// A search for the most ends where its steps are this near.
const NEAR: f64 = 1.04;

/// One node before servers that answer at once.
pub struct Through {
    servers: Vec<Instantly>,
    node: SocketAddr,
    pid: u32,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

fn scenario(value_bytes: u64) -> Scenario {
    let ms = |ms| Span(Duration::from_millis(ms));
    Scenario {
        base: None,
        seed: 1,
        length: ms(1_000),
        nodes: 1,
        zones: 1,
        load: Clients {
            per_s: 1.0,
            keys: 1,
            zipf: 0.0,
            value_bytes,
            retries: 0,
            backoff: ms(50),
            drift_per_s: 0.0,
            give_up: 0.0,
            give_up_after: ms(50),
        },
        class: vec![Class {
            name: "lookup".into(),
            share: 1.0,
            work: ms(1),
            spread: 0.0,
            aim: ms(250),
            deadline: ms(1_000),
            worth: 1.0,
            effect: crate::scenario::Effect::Pure,
            write: false,
        }],
        kind: vec![Kind {
            name: "instant".into(),
            servers: SERVERS,
            cores: 1.0,
            speed: 1.0,
            slots: 1_000,
            waiting: 1_000,
            memory_bytes: 1,
            cold_share: 1.0,
            warm_up: ms(1),
            warm_by_work: 0.0,
        }],
        origin: Origin {
            slots: 1,
            waiting: 1,
            work: ms(1),
            cores: 1.0,
            fall_after: ms(0),
            back_after: ms(1),
        },
        network: Network::default(),
        front: Front::default(),
        list: List::default(),
        rules: Rules::default(),
        event: Vec::new(),
    }
}

impl Through {
    /// Starts a node and what stands behind it; its files go to a folder.
    ///
    /// # Errors
    /// Where the system gives no port or process, or the node does not start.
    pub fn start(
        program: &Path,
        folder: &Path,
        value_bytes: usize,
    ) -> Result<Through, SocketError> {
        let system = |e| SocketError::System("cannot start the servers", e);
        let servers = (0..SERVERS).map(|_| Instantly::start(value_bytes, Duration::ZERO));
        let servers: Vec<Instantly> = servers.collect::<Result<_, _>>().map_err(system)?;
        let addresses = servers.iter().map(Instantly::address).collect();
        let (program, folder) = (program.to_path_buf(), folder.to_path_buf());
        let (stop, stopped) = oneshot::channel();
        let (tell, told) = channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let failed = |e| drop(tell.send(Err(SocketError::System("cannot start a runtime", e))));
            match runtime {
                Ok(runtime) => runtime.block_on(keep(
                    &program,
                    &folder,
                    value_bytes as u64,
                    addresses,
                    &tell,
                    stopped,
                )),
                Err(e) => failed(e),
            }
        });
        let never = || {
            SocketError::System(
                "the node's keeper has ended",
                std::io::ErrorKind::Other.into(),
            )
        };
        let (node, pid) = told.recv().map_err(|_| never())??;
        Ok(Through {
            servers,
            node,
            pid,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Where the node is.
    pub fn node(&self) -> SocketAddr {
        self.node
    }

    /// Where the first of the servers is.
    pub fn server(&self) -> SocketAddr {
        self.servers[0].address()
    }

    /// Its process, for those who want to look at it.
    pub fn pid(&self) -> u32 {
        self.pid
    }

    /// Processor time that the node has used, where the system tells it.
    pub fn cpu(&self) -> Option<Duration> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.pid)).ok()?;
        // After the name, which may hold anything but ends with the last bracket: user and system ticks of 10 ms.
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        let ticks: u64 =
            fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        Some(Duration::from_millis(ticks * 10))
    }
}

impl Drop for Through {
    fn drop(&mut self) {
        drop(self.stop.take());
        self.thread
            .take()
            .into_iter()
            .for_each(|thread| drop(thread.join()));
    }
}

type Told = Result<(SocketAddr, u32), SocketError>;

/// Keeps a node and its list service until it is told to stop.
async fn keep(
    program: &Path,
    folder: &Path,
    value_bytes: u64,
    addresses: Vec<SocketAddr>,
    tell: &Sender<Told>,
    stopped: oneshot::Receiver<()>,
) {
    let begun = async {
        let system = |e| SocketError::System("cannot start a node", e);
        let (scenario, now) = (scenario(value_bytes), doors::unix());
        let listener = link::listen(address(3, 0)).map_err(system)?;
        let list = listener.local_addr().map_err(system)?;
        let stage = Stage::new(&scenario, 1, now);
        // Nothing misses: the origin is never asked.
        let shared = Arc::new(Shared::new(&scenario, stage, now, addresses[0]));
        lock(&shared.addresses)[0] = addresses;
        let mut doors = tokio::task::JoinSet::new();
        doors.spawn(doors::tick(shared.clone()));
        let serve = doors::list(shared.clone(), listener, 0, 0);
        doors.spawn(async move { drop(serve.await) });
        let mut node = Node::new(0, list, folder).map_err(system)?;
        let (version, lines) = shared.stage().begin_node(now, 0);
        let known = shared.listing(0, version, true, &lines);
        node.start(program, &scenario, known, 1).map_err(system)?;
        if !node.ready().await {
            return Err(node.refusal());
        }
        Ok((node, doors))
    };
    match begun.await {
        Ok((mut node, _doors)) => {
            let pid = node
                .child
                .as_ref()
                .and_then(tokio::process::Child::id)
                .unwrap_or(0);
            let _ = tell.send(Ok((node.address(), pid)));
            let _ = stopped.await;
            // Told first, so that what it was started under, such as a profiler, can say what it has seen.
            node.signal(Signal::SIGTERM);
            if let Some(child) = &mut node.child {
                let _ = tokio::time::timeout(ENDS, child.wait()).await;
            }
            node.kill().await;
        }
        Err(e) => drop(tell.send(Err(e))),
    }
}

/// Whether a rate was borne.
pub fn borne(outcome: &Outcome) -> bool {
    outcome.served as f64 >= outcome.meant as f64 * SERVED
        && outcome.latency.value_at_quantile(0.99) <= WITHIN.as_nanos() as u64
}

/// The most requests a second that an address bears, 0 where it bears none: from the load's rate on, rates are doubled
/// until one is not borne, or halved until one is, and what lies between is halved into.
///
/// # Errors
/// Where the address can't be reached.
pub fn most(
    to: SocketAddr,
    load: &Load,
    mut tried: impl FnMut(f64, &Outcome),
) -> std::io::Result<f64> {
    let mut bears = |per_s: f64| {
        let outcome = send(
            to,
            &Load {
                per_s,
                ..load.clone()
            },
        )?;
        tried(per_s, &outcome);
        Ok::<_, std::io::Error>(borne(&outcome))
    };
    let (mut low, mut high) = (load.per_s, load.per_s * 2.0);
    if bears(low)? {
        while high < MOST && bears(high)? {
            (low, high) = (high, high * 2.0);
        }
    } else {
        loop {
            (low, high) = (low / 2.0, low);
            if low < 1.0 {
                return Ok(0.0);
            }
            if bears(low)? {
                break;
            }
        }
    }
    while high / low > NEAR {
        let middle = (low * high).sqrt();
        *(if bears(middle)? { &mut low } else { &mut high }) = middle;
    }
    Ok(low)
}
