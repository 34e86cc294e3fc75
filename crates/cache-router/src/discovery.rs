//! The client of the discovery service. It fetches the endpoint list, watches for changes, and uses their versions to
//! tell which updates are still current.
//!
//! The event loop owns the [`DiscoveryClient`]. Each call runs in a task of its own, which sends what it receives to
//! the event loop. The client aborts the task when another call replaces it; the last tasks end with the runtime. The
//! module [`call`] makes a single call, and [`list_decoder`] decodes its bytes into endpoint lists.
//!
//! Calls belong to generations. A new one begins when the address changes, and when the whole list is needed again. The
//! calls of earlier generations go on until a list of a later one arrives (`earlier_calls.rs`), so that changes are
//! received however long a new call waits for its answer.

pub mod call;
mod earlier_calls;
pub mod list_decoder;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tracing::{info, warn};

use crate::message::{DiscoveryCall, EndpointListUpdate, RouterEvent};
use call::{CallError, HALF_OPEN_TIMEOUT};
use earlier_calls::EarlierCalls;
use list_decoder::EndpointListDecoder;

/// The agent that pushes lists runs on this machine and answers at once. A call without a response after this time
/// counts as half open.
const AGENT_HALF_OPEN_TIMEOUT: Duration = Duration::from_millis(300);
/// A watch sends a line every two seconds, so one that is silent for this long is dead. Discovery counts a change as
/// notified after six seconds, so there must be time left to ask again: even if the next call is half open, three
/// quarters of that time are used. A list that has begun must be complete within the same timeout, however slowly its
/// bytes arrive.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(2_400);
/// First backoff before a watch on the agent is reopened. It is short because the agent is on this machine, so a call
/// to it is cheap.
pub const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff before a watch on the agent is reopened. Changes that the agent has received count as notified at
/// once, so a longer backoff would use up the grace period of a draining server.
pub const MAX_BACKOFF: Duration = Duration::from_millis(200);

const LIST_PATH: &str = "/v1/servers";

/// How current an update is, according to the call that returned it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateFreshness {
    /// The update is the latest known state.
    Current,
    /// The update is older than the current list, or was received by a call of an earlier generation.
    Stale,
    /// A change with an earlier version, although nothing newer was received since the call began: discovery has lost
    /// its state.
    VersionRegressed,
}

/// The list in force, as the calls see it.
struct HeldList {
    version: AtomicU64,
    /// Generation of the call that brought it.
    generation: AtomicU64,
}

/// Data that every call needs; cloned into the task of each call.
#[derive(Clone)]
struct CallContext {
    address: SocketAddr,
    /// Generation of the call.
    generation: u64,
    /// Generation of the present calls.
    present_generation: Arc<AtomicU64>,
    held: Arc<HeldList>,
    next_call_number: Arc<AtomicU64>,
    events: mpsc::Sender<RouterEvent>,
    half_open_timeout: Duration,
}

impl CallContext {
    /// Returns the identity of a call that begins now. Versions of different generations cannot be compared, so the
    /// first calls of a generation hold no version.
    fn begin_call(&self) -> DiscoveryCall {
        let number = self.next_call_number.fetch_add(1, Ordering::Relaxed);
        let has_list = self.held.generation.load(Ordering::Relaxed) == self.generation;
        let held_version = match has_list {
            true => self.held.version.load(Ordering::Relaxed),
            false => 0,
        };
        DiscoveryCall {
            number,
            generation: self.generation,
            held_version,
        }
    }

    /// Whether calls of a later generation have begun.
    fn is_replaced(&self) -> bool {
        self.present_generation.load(Ordering::Relaxed) != self.generation
    }
}

/// The open calls to discovery: at most one watch and one fetch of the complete list, and calls of earlier generations.
pub struct DiscoveryClient {
    context: CallContext,
    watch: Option<AbortHandle>,
    /// Number of the open watch, if the policy decides when to open it.
    open_watch: Option<u64>,
    /// Whether the watch is on a local agent that pushes lists, and is reopened without the policy.
    watches_agent: bool,
    fetch: Option<AbortHandle>,
    earlier_calls: EarlierCalls,
}

impl DiscoveryClient {
    /// Creates a client for discovery at `address`, where the current endpoint list has version `held_version`. It
    /// makes no call yet.
    pub fn new(address: SocketAddr, held_version: u64, events: mpsc::Sender<RouterEvent>) -> Self {
        DiscoveryClient {
            context: CallContext {
                address,
                generation: 0,
                present_generation: Arc::default(),
                held: Arc::new(HeldList {
                    version: AtomicU64::new(held_version),
                    generation: AtomicU64::new(0),
                }),
                next_call_number: Arc::default(),
                events,
                half_open_timeout: HALF_OPEN_TIMEOUT,
            },
            watch: None,
            open_watch: None,
            watches_agent: false,
            fetch: None,
            earlier_calls: EarlierCalls::default(),
        }
    }

    /// Records the version of the current endpoint list.
    pub fn set_held_version(&self, version: u64) {
        self.context.held.version.store(version, Ordering::Relaxed);
    }

    /// Records that a call has brought the current endpoint list. Calls of earlier generations are not needed any more.
    pub fn record_list_of(&mut self, call: &DiscoveryCall) {
        let held = &self.context.held;
        held.generation.store(call.generation, Ordering::Relaxed);
        self.earlier_calls.abort_before(call.generation);
    }

    /// Returns the identity of a call that would begin now.
    pub fn begin_call(&self) -> DiscoveryCall {
        self.context.begin_call()
    }

    /// Returns whether a call is of the generation that has brought the current endpoint list.
    pub fn has_brought_list(&self, call: &DiscoveryCall) -> bool {
        call.generation == self.context.held.generation.load(Ordering::Relaxed)
    }

    /// Returns how current an update is. The events of two calls may arrive in either order.
    pub fn freshness(&self, call: &DiscoveryCall, update: &EndpointListUpdate) -> UpdateFreshness {
        let held = &self.context.held;
        let held_version = held.version.load(Ordering::Relaxed);
        let held_generation = held.generation.load(Ordering::Relaxed);
        if call.generation < held_generation {
            return UpdateFreshness::Stale;
        }
        if call.generation > held_generation || update.version >= held_version {
            return UpdateFreshness::Current;
        }
        if call.held_version != held_version {
            return UpdateFreshness::Stale;
        }
        // Nothing newer was received since the call began: discovery has restarted with new version numbers.
        if update.is_complete {
            UpdateFreshness::Current
        } else {
            UpdateFreshness::VersionRegressed
        }
    }

    /// Records that a call has ended. Returns `true` if it was the open watch, which then counts as closed.
    pub fn watch_ended(&mut self, call: &DiscoveryCall) -> bool {
        let is_open_watch = self.open_watch == Some(call.number);
        if is_open_watch {
            self.open_watch = None;
        }
        is_open_watch
    }

    /// Changes the address of discovery. Open calls are repeated at the new address.
    pub fn set_address(&mut self, address: SocketAddr) {
        if address == self.context.address {
            return;
        }
        self.context.address = address;
        let is_fetching = self
            .fetch
            .as_ref()
            .is_some_and(|fetch| !fetch.is_finished());
        // Versions of different discovery services cannot be compared, so the complete list is requested.
        self.restart_watch();
        if is_fetching {
            self.fetch();
        }
    }

    /// Opens a new watch that begins with the complete list, because the current list may come from another discovery
    /// service. Calls that are open go on until the new watch has brought a list.
    pub fn restart_watch(&mut self) {
        let earlier_generation = self.context.generation;
        self.context.generation += 1;
        let present = &self.context.present_generation;
        present.store(self.context.generation, Ordering::Relaxed);
        let has_watch = self.watch.is_some();
        for call in [self.watch.take(), self.fetch.take()].into_iter().flatten() {
            self.earlier_calls.add(earlier_generation, call);
        }
        self.open_watch = None;
        if self.watches_agent {
            self.watch_agent();
        } else if has_watch {
            self.subscribe(true);
        }
    }

    /// Opens the watch unless it is open already, or closes it. When the watch breaks, the event loop is notified, and
    /// the policy decides when to open it again.
    pub fn subscribe(&mut self, on: bool) {
        if on && self.open_watch.is_some() {
            return; // It was opened after the policy's decision, because discovery's address changed.
        }
        abort(self.watch.take());
        self.open_watch = None;
        if !on {
            self.earlier_calls.abort_before(self.context.generation);
            return;
        }
        let context = self.context.clone();
        let call = self.context.begin_call();
        self.open_watch = Some(call.number);
        let task = async move {
            let event = match watch(&context, call).await {
                Ok(()) => {
                    info!("discovery closed the watch");
                    RouterEvent::DiscoveryFailed(call)
                }
                Err(error @ CallError::Stalled) => {
                    warn!(%error, "the discovery watch has stalled");
                    RouterEvent::WatchStalled(call)
                }
                Err(error) => {
                    warn!(%error, "the discovery watch has failed");
                    RouterEvent::DiscoveryFailed(call)
                }
            };
            let _ = context.events.send(event).await;
        };
        self.watch = Some(tokio::spawn(task).abort_handle());
    }

    /// Requests the complete list once.
    pub fn fetch(&mut self) {
        abort(self.fetch.take());
        let context = self.context.clone();
        let call = self.context.begin_call();
        let task = async move {
            if let Err(error) = receive_updates(&context, LIST_PATH, call).await {
                warn!(%error, "failed to fetch the endpoint list from discovery");
                let event = RouterEvent::DiscoveryFailed(call);
                let _ = context.events.send(event).await;
            }
        };
        self.fetch = Some(tokio::spawn(task).abort_handle());
    }

    /// Watches a local agent that pushes lists. The watch is reopened automatically.
    pub fn watch_agent(&mut self) {
        self.watches_agent = true;
        abort(self.watch.take());
        self.context.half_open_timeout = AGENT_HALF_OPEN_TIMEOUT;
        let task = keep_watching(self.context.clone());
        self.watch = Some(tokio::spawn(task).abort_handle());
    }
}

fn abort(task: Option<AbortHandle>) {
    if let Some(task) = task {
        task.abort();
    }
}

/// Reopens the watch after a backoff whenever it ends, until calls of a later generation have begun.
async fn keep_watching(context: CallContext) {
    let mut backoff = FIRST_BACKOFF;
    loop {
        let watched = watch(&context, context.begin_call()).await;
        if context.is_replaced() {
            return;
        }
        match watched {
            // The stall timeout has passed already, so there is no further delay.
            Err(CallError::Stalled) => {
                backoff = FIRST_BACKOFF;
                continue;
            }
            // The agent was reachable a moment ago. The delay remains for an agent that ends each watch at once.
            Ok(()) => backoff = FIRST_BACKOFF,
            Err(_) => {}
        }
        tokio::time::sleep(backoff).await;
        if context.is_replaced() {
            return;
        }
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Receives changes until the watch ends, beginning after the version that was held when the call began.
async fn watch(context: &CallContext, call: DiscoveryCall) -> Result<(), CallError> {
    let path = match call.held_version {
        0 => format!("{LIST_PATH}?watch=1"),
        version => format!("{LIST_PATH}?watch=1&after={version}"),
    };
    receive_updates(context, &path, call).await
}

/// Makes a call and sends each list of its response to the event loop, until the response ends.
async fn receive_updates(
    context: &CallContext,
    path: &str,
    call: DiscoveryCall,
) -> Result<(), CallError> {
    let mut response = call::request(context.address, path, context.half_open_timeout).await?;
    let mut decoder = EndpointListDecoder::default();
    loop {
        let silent_since = decoder.incomplete_since().unwrap_or_else(Instant::now);
        let Some(frame) = response.next_frame(silent_since + STALL_TIMEOUT).await? else {
            return Ok(decoder.finish()?);
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let updates = decoder.decode(&data)?;
        if data.trim_ascii().is_empty() && decoder.incomplete_since().is_none() {
            let event = RouterEvent::EndpointListUnchanged(call);
            let _ = context.events.send(event).await;
        }
        for update in updates {
            let event = RouterEvent::EndpointList(call, update);
            let _ = context.events.send(event).await;
        }
    }
}
